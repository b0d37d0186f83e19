//! A sender's view of the admission levels of the services that it calls.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::call::Cohort;
use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::level::Level;
use crate::instance::ServiceName;

/// Maximum number of services whose level is kept.
pub const MAX_SERVICES: usize = 256;

/// Time for which a reported level applies without a further report.
pub const HOLD_TIME: Duration = Duration::from_millis(500);

/// Time after [`HOLD_TIME`] during which a level without further reports opens linearly.
pub const DECAY_TIME: Duration = Duration::from_secs(1);

/// Share of the calls excluded by the level that are sent nevertheless, as probes.
pub const PROBE_SHARE: f64 = 0.01;

/// Weight of a report that is stricter than the known level.
///
/// Instances of a service differ, and senders must shed only calls that no instance admits.
/// Therefore a more lenient report applies at once and a stricter one gradually.
const STRICTER_WEIGHT: f64 = 1.0 / 8.0;

/// Smoothed rank of a service's level at the time of the last report.
#[derive(Clone, Copy, Debug)]
struct ObservedLevel {
    rank: f64,
    observed_at: Time,
}

/// Last known admission level of each service.
#[derive(Debug, Default)]
pub struct LevelView {
    services: BTreeMap<ServiceName, ObservedLevel>,
}

impl LevelView {
    /// Builds a view in which every service admits every call.
    pub fn new() -> LevelView {
        LevelView::default()
    }

    /// Records the level that a response of an instance of `service` reported.
    pub fn observe(&mut self, service: &ServiceName, level: Level, now: Time) {
        let known = match self.services.get(service) {
            Some(known) => decayed_rank(known, now),
            None => f64::from(Level::OPEN.rank()),
        };
        let reported = f64::from(level.rank());
        let rank = match reported >= known {
            true => reported,
            false => known + (reported - known) * STRICTER_WEIGHT,
        };
        self.evict_oldest(service);
        self.services.insert(
            service.clone(),
            ObservedLevel {
                rank,
                observed_at: now,
            },
        );
    }

    /// Returns the level of a service at `now`; [`Level::OPEN`] if none is known.
    pub fn level(&self, service: &ServiceName, now: Time) -> Level {
        match self.services.get(service) {
            Some(known) => nearest_level(decayed_rank(known, now)),
            None => Level::OPEN,
        }
    }

    /// Returns the strictest level of all known services at `now`.
    pub fn strictest(&self, now: Time) -> Level {
        self.services
            .values()
            .map(|known| nearest_level(decayed_rank(known, now)))
            .fold(Level::OPEN, Level::stricter)
    }

    /// Returns whether to send a call: the level admits it, or it is selected as a probe.
    pub fn admits<R>(
        &self,
        service: &ServiceName,
        priority: Priority,
        cohort: Cohort,
        now: Time,
        rng: &mut R,
    ) -> bool
    where
        R: Rng,
    {
        self.level(service, now).admits(priority, cohort) || rng.random_bool(PROBE_SHARE)
    }

    /// Makes room for `service` by evicting the service whose last report is oldest.
    fn evict_oldest(&mut self, service: &ServiceName) {
        if self.services.len() < MAX_SERVICES || self.services.contains_key(service) {
            return;
        }
        let oldest = self
            .services
            .iter()
            .min_by_key(|(_, known)| known.observed_at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.services.remove(&oldest);
        }
    }
}

/// Returns the rank at `now`, opened in proportion to the time without a report.
fn decayed_rank(known: &ObservedLevel, now: Time) -> f64 {
    let unconfirmed = now.since(known.observed_at).saturating_sub(HOLD_TIME);
    let opened_share = (unconfirmed.as_secs_f64() / DECAY_TIME.as_secs_f64()).min(1.0);
    let open = f64::from(Level::OPEN.rank());
    known.rank + (open - known.rank) * opened_share
}

/// Returns the level whose rank is nearest to `rank`.
fn nearest_level(rank: f64) -> Level {
    Level::from_rank(rank.round() as u16)
}
