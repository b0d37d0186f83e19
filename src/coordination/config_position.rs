//! What a node's reads and watches of the published configuration prove about the newest version.
//!
//! A watch that ends without a change is no proof by itself: the store may not have delivered one.
//! It proves that nothing changed only if the store is still at the revision at which the watch
//! began. Otherwise the configuration has to be read.

/// Up to which revision of the store a node knows the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigPosition(Option<Known>);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    revision: u64,
    /// Newest version at that revision, or nothing if there was none.
    version: Option<u64>,
}

impl ConfigPosition {
    /// Returns the revision after which changes are to be watched, or nothing if the configuration
    /// has to be read.
    pub fn watch_after(&self) -> Option<u64> {
        self.0.map(|known| known.revision)
    }

    /// Forgets the position, so that the configuration is read next.
    pub fn reset(&mut self) {
        self.0 = None;
    }

    /// Records a read that returned `version`, or no configuration, at a revision of the store.
    /// Returns the version that is proved to be the newest one.
    pub fn record_read(&mut self, version: Option<u64>, revision: u64) -> Option<u64> {
        self.0 = Some(Known { revision, version });
        version
    }

    /// Records the end of a watch that returned a change to `version`, or none, when the store was
    /// at `revision`. Returns the version that is proved to be the newest one.
    pub fn record_watch(&mut self, version: Option<u64>, revision: u64) -> Option<u64> {
        if version.is_some() {
            return self.record_read(version, revision);
        }
        self.0 = self.0.filter(|known| known.revision == revision);
        self.0.and_then(|known| known.version)
    }
}
