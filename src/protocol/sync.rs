//! What a reader of the platform's store passes on to the other nodes of its failure domain.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::route::RouteTable;
use crate::protocol::store_query::TargetEntry;

/// What a node knows already, so that a reader replies only with what is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of the configuration in force, or 0.
    pub config_version: u64,
    /// Revision of the store at which its list of targets was read, or 0.
    pub list_revision: u64,
}

/// The list of targets as a reader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The listed targets.
    pub targets: Vec<TargetEntry>,
    /// Revision of the store at which the list was read.
    pub revision: u64,
    /// Whether the store failed recently, so that entries may be missing although their targets
    /// live.
    pub store_unstable: bool,
}

/// Reply of a node that is asked for what it has read from the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Time since the store last answered the replying node, in milliseconds, if it reads the store
    /// itself and the store answers it. If not, the asking node must read the store on its own, but
    /// may use the configuration.
    pub store_age_ms: Option<u32>,
    /// Time for which the reply was held back for want of news, in milliseconds.
    pub held_ms: u32,
    /// Version of the configuration that the replying node applies.
    pub config_version: u64,
    /// Time since that was known to be the newest one, in milliseconds, if that is known.
    pub config_age_ms: Option<u32>,
    /// The configuration, if it is newer than the known one.
    pub routes: Option<RouteTable>,
    /// Time since the list of targets of the replying node was proved to be the newest one, in
    /// milliseconds, if it reads proofs.
    pub list_proof_ms: Option<u32>,
    /// The list of targets, if it is newer than the known one.
    pub list: Option<TargetList>,
}

impl SyncReply {
    /// Returns whether the replying node reads the store and answers for it.
    pub fn is_from_store(&self) -> bool {
        self.store_age_ms.is_some()
    }

    /// Returns the time since the store last answered the replying node, if that answers for the store.
    pub fn store_age(&self) -> Option<Duration> {
        let ms = self.store_age_ms?;
        Some(Duration::from_millis(u64::from(ms)))
    }

    /// Returns the time for which the reply was held back.
    pub fn held(&self) -> Duration {
        Duration::from_millis(u64::from(self.held_ms))
    }

    /// Returns whether the reply has anything that the asking node does not know.
    pub fn has_news(&self) -> bool {
        self.routes.is_some() || self.list.is_some()
    }
}
