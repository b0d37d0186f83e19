//! Where a node got a configuration from.

use strum::Display;

use crate::protocol::store_query::CACHED_REVISION;
use crate::protocol::store_query::Query;

/// Where a node got a configuration from, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigSource {
    /// A read of the store.
    StoreRead,
    /// A watch of the store.
    StoreWatch,
    /// A reader of the store that supplies this node.
    Reader,
    /// The memory of another node, which did not read the store.
    OtherNode,
}

impl ConfigSource {
    /// Returns the source of the result of `query` with a revision of the store, or
    /// [`CACHED_REVISION`].
    pub fn of_result(query: &Query, revision: u64) -> ConfigSource {
        match (revision, query.is_watch()) {
            (CACHED_REVISION, _) => ConfigSource::OtherNode,
            (_, true) => ConfigSource::StoreWatch,
            (_, false) => ConfigSource::StoreRead,
        }
    }
}
