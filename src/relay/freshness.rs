//! Proofs that the configuration in force is recent, from the store and from other nodes.

use std::time::Duration;

use crate::clock::Time;
use crate::coordination::organisations::freshness;
use crate::coordination::organisations::freshness::Freshness;
use crate::protocol::frame::CONFIG_AGE_UNIT;
use crate::protocol::frame::LoadReport;
use crate::protocol::store_query::Content;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::Relay;

/// What a node states about the configuration that it applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigStatement {
    /// Its version, or 0 if there is none.
    pub version: u64,
    /// Time since that version was known to be the newest one, if that is known.
    pub age: Option<Duration>,
}

impl ConfigStatement {
    /// Returns the age in milliseconds, rounded up.
    pub(super) fn age_ms(&self) -> Option<u32> {
        self.age.map(millis)
    }

    /// Returns the age in the unit of load reports, rounded up.
    pub(super) fn reported_age(&self) -> u16 {
        let units = self.age.map(|age| {
            let units = age.as_millis() / CONFIG_AGE_UNIT.as_millis() + 1;
            u16::try_from(units).unwrap_or(u16::MAX)
        });
        units.unwrap_or(u16::MAX)
    }
}

impl Relay {
    /// Returns the current time of a clock that also counts the time for which the machine is
    /// suspended.
    pub fn boot_now(&self) -> Time {
        self.boot_clock.now()
    }

    /// Returns the time since the configuration in force was known to be the newest one, or nothing
    /// if that is not known.
    pub fn config_age(&self) -> Option<Duration> {
        let now = self.boot_now();
        self.freshness().age(now)
    }

    /// Returns the version of the configuration in force, or 0 if there is none, together with its age.
    pub fn config_statement(&self) -> ConfigStatement {
        // While the view is locked, no newer version can be put into force and proved.
        let view = self.view.read().unwrap_or_else(|p| p.into_inner());
        ConfigStatement {
            version: view.routes.as_ref().map_or(0, |table| table.version),
            age: self.config_age(),
        }
    }

    /// Returns whether keys may be accepted according to the configuration in force.
    pub fn may_accept_keys(&self) -> bool {
        let bound = self.cfg().revocation_bound;
        let now = self.boot_now();
        self.freshness().may_accept(bound, now)
    }

    /// Records that the configuration `version` was known to be the newest one `age` before the
    /// answer to a question that was sent at `asked`, a time of the boot clock.
    pub fn record_proof(&self, version: u64, asked: Time, age: Duration) {
        let at = freshness::proved_at(asked, age);
        let in_force = self.config_version();
        self.freshness().record(version, in_force, at);
    }

    /// Records the proof in the load report of a reply to a request that was sent at `asked`, a time
    /// of the boot clock.
    pub(super) fn record_reported_proof(&self, load: &LoadReport, asked: Time) {
        if load.config_age < u16::MAX {
            let age = CONFIG_AGE_UNIT * u32::from(load.config_age);
            self.record_proof(load.config_version, asked, age);
        }
    }

    /// Returns the time in milliseconds since the result of a read of the store was the newest
    /// state, if the read was sent at `asked`. The store answers a watch without a change only once
    /// its wait is over.
    pub(super) fn proof_age(&self, query: &Query, result: &QueryResult, asked: Time) -> u32 {
        let took = self.boot_now().since(asked);
        let unchanged = matches!(result.content, Content::Routes(None));
        let waited = match query.is_watch() && unchanged && took >= query.max_wait() {
            true => query.max_wait(),
            false => Duration::ZERO,
        };
        millis(took - waited)
    }

    fn freshness(&self) -> std::sync::MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Returns a duration in milliseconds, rounded up.
pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() + 1).unwrap_or(u32::MAX)
}
