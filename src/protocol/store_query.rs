//! What a node reads from the platform's store, decoded.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::route::RouteTable;
use crate::instance::Instance;
use crate::instance::InstanceName;

/// Revision of a reading that another node gave from what it knows.
pub const CACHED_REVISION: u64 = 0;

/// What to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The configuration as it is.
    Routes,
    /// Changes of the configuration after a revision of the store.
    WatchRoutes {
        /// Revision of the store.
        revision: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// The list of targets, which may be seconds old.
    Targets,
    /// One target as it is.
    Target(InstanceName),
    /// Changes of one target after a revision of the store.
    WatchTarget {
        /// The target.
        name: InstanceName,
        /// Revision of the store.
        revision: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

impl Query {
    /// Returns the longest wait for a change.
    pub fn max_wait(&self) -> Duration {
        match self {
            Query::WatchRoutes { wait_ms, .. } | Query::WatchTarget { wait_ms, .. } => {
                Duration::from_millis(*wait_ms)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether this is a query for changes.
    pub fn is_watch(&self) -> bool {
        matches!(self, Query::WatchRoutes { .. } | Query::WatchTarget { .. })
    }

    /// Returns the query with another longest wait, if it is one for changes.
    pub fn with_max_wait(mut self, longest: Duration) -> Query {
        if let Query::WatchRoutes { wait_ms, .. } | Query::WatchTarget { wait_ms, .. } = &mut self {
            *wait_ms = longest.as_millis() as u64;
        }
        self
    }
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The instance; its `ingress` is the address of the target itself.
    pub instance: Instance,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Time for which it is still slow after its start.
    pub warmup_left: Duration,
    /// Start of the target in milliseconds since the Unix epoch; tells its lives apart.
    pub start_time_ms: u64,
}

/// What became of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// Nothing changed.
    Unchanged,
    /// It is listed like this.
    Updated(Box<TargetEntry>),
    /// Its entry is gone.
    Removed,
}

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryResult {
    /// Revision of the store.
    pub revision: u64,
    /// The content.
    pub content: Content,
}

/// Content of a reading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The configuration, nothing if there is none or it did not change.
    Routes(Option<RouteTable>),
    /// The list of targets.
    Targets(Vec<TargetEntry>),
    /// One target.
    Target(TargetChange),
}
