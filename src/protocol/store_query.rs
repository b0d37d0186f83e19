//! Queries to the platform's store and their decoded results.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::route::RouteTable;
use crate::instance::Instance;
use crate::instance::InstanceName;

/// Revision of a result that another node returned from memory, without reading the store.
pub const CACHED_REVISION: u64 = 0;

/// A read of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The current configuration.
    Routes,
    /// Waits for a change of the configuration after a revision of the store.
    WatchRoutes {
        /// Revision of the store after which changes are returned.
        revision: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// The list of targets, which may be out of date by seconds.
    Targets,
    /// The list of targets at the time of the read.
    CurrentTargets,
    /// The current entry of one target.
    Target(InstanceName),
    /// Waits for a change of one target after a revision of the store.
    WatchTarget {
        /// Name of the target's instance.
        name: InstanceName,
        /// Revision of the store after which changes are returned.
        revision: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl Query {
    /// Returns the longest wait for a change; zero for a query that is not a watch.
    pub fn max_wait(&self) -> Duration {
        match self {
            Query::WatchRoutes { wait_ms, .. } | Query::WatchTarget { wait_ms, .. } => {
                Duration::from_millis(*wait_ms)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether the query is for the list of targets.
    pub fn is_list(&self) -> bool {
        matches!(self, Query::Targets | Query::CurrentTargets)
    }

    /// Returns whether the query waits for a change.
    pub fn is_watch(&self) -> bool {
        matches!(self, Query::WatchRoutes { .. } | Query::WatchTarget { .. })
    }

    /// Returns the query with `longest` as its longest wait. Only watches are changed.
    pub fn with_max_wait(mut self, longest: Duration) -> Query {
        if let Query::WatchRoutes { wait_ms, .. } | Query::WatchTarget { wait_ms, .. } = &mut self {
            *wait_ms = longest.as_millis() as u64;
        }
        self
    }
}

/// A target's entry in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The instance; its `ingress` is the address of the target itself.
    pub instance: Instance,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Remaining warm-up time, during which the target is still slow.
    pub warmup_left: Duration,
    /// Start time of the target in milliseconds since the Unix epoch. It distinguishes restarts of
    /// a target.
    pub start_time_ms: u64,
}

/// State of one target's entry, as returned by [`Query::Target`] and [`Query::WatchTarget`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The entry did not change.
    Unchanged,
    /// The current entry.
    Updated(Box<TargetEntry>),
    /// The entry does not exist.
    Removed,
}

/// Result of a [`Query`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryResult {
    /// Revision of the store at the read, or [`CACHED_REVISION`].
    pub revision: u64,
    /// Data read.
    pub content: Content,
    /// Time since the data was known to be the newest, in milliseconds, if that is known.
    pub age_ms: Option<u32>,
}

/// Data that a [`Query`] read from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The configuration; `None` if there is none or it did not change.
    Routes(Option<RouteTable>),
    /// The list of targets.
    Targets(Vec<TargetEntry>),
    /// The state of one target.
    Target(TargetChange),
}
