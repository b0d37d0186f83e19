//! What a node reads from the platform's store, decoded.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::route::RouteTable;
use crate::instance::Instance;
use crate::instance::InstanceName;

/// Revision of a reading that another node gave from what it knows.
pub const NOT_READ: u64 = 0;

/// What to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// The configuration as it is.
    Routes,
    /// Changes of the configuration after a revision of the store.
    RoutesAfter {
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
    TargetAfter {
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
    pub fn wait(&self) -> Duration {
        match self {
            Query::RoutesAfter { wait_ms, .. } | Query::TargetAfter { wait_ms, .. } => {
                Duration::from_millis(*wait_ms)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns whether this is a query for changes.
    pub fn is_watch(&self) -> bool {
        matches!(self, Query::RoutesAfter { .. } | Query::TargetAfter { .. })
    }

    /// Returns the query with another longest wait, if it is one for changes.
    pub fn waiting(mut self, longest: Duration) -> Query {
        if let Query::RoutesAfter { wait_ms, .. } | Query::TargetAfter { wait_ms, .. } = &mut self {
            *wait_ms = longest.as_millis() as u64;
        }
        self
    }
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The instance; its `ingress` is the address of the target itself.
    pub instance: Instance,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Time for which it is still slow after its start.
    pub warming: Duration,
    /// Start of the target in milliseconds since the Unix epoch; tells its lives apart.
    pub born: u64,
}

/// What became of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetNews {
    /// Nothing changed.
    Same,
    /// It is listed like this.
    Listed(Box<Listed>),
    /// Its entry is gone.
    Gone,
}

/// What was read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
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
    Targets(Vec<Listed>),
    /// One target.
    Target(TargetNews),
}
