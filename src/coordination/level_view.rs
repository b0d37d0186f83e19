//! What a sender knows of the admission levels of the services that it calls.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::call::Cohort;
use crate::call::Priority;
use crate::clock::Time;
use crate::coordination::level::Level;
use crate::instance::ServiceName;

/// Most services whose level is kept.
pub const MAX_SERVICES: usize = 256;

/// Time for which a level holds without being confirmed.
pub const HOLD_TIME: Duration = Duration::from_millis(500);

/// Time after [`HOLD_TIME`] in which an unconfirmed level opens fully.
pub const DECAY_TIME: Duration = Duration::from_secs(1);

/// Share of the calls below the level that are sent all the same.
pub const PROBE_SHARE: f64 = 0.01;

/// Weight of a report that is stricter than the known level.
///
/// Instances of a service differ, and only what none of them lets in is shed by senders. So a more
/// lenient report counts at once, a stricter one slowly.
const STRICTER_WEIGHT: f64 = 1.0 / 8.0;

#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: f64,
    at: Time,
}

/// Last known level of each service.
#[derive(Debug, Default)]
pub struct LevelView {
    services: BTreeMap<ServiceName, Entry>,
}

impl LevelView {
    /// Builds a view in which every service lets everything in.
    pub fn new() -> LevelView {
        LevelView::default()
    }

    /// Records the level in an answer of an instance of `service`.
    pub fn observe(&mut self, service: &ServiceName, level: Level, now: Time) {
        let known = match self.services.get(service) {
            Some(entry) => decayed(entry, now),
            None => f64::from(Level::OPEN.rank()),
        };
        let reported = f64::from(level.rank());
        let rank = match reported >= known {
            true => reported,
            false => known + (reported - known) * STRICTER_WEIGHT,
        };
        self.make_room(service);
        self.services
            .insert(service.clone(), Entry { rank, at: now });
    }

    /// Returns the level of a service.
    pub fn level(&self, service: &ServiceName, now: Time) -> Level {
        match self.services.get(service) {
            Some(entry) => rounded(decayed(entry, now)),
            None => Level::OPEN,
        }
    }

    /// Returns the strictest level of all services.
    pub fn strictest(&self, now: Time) -> Level {
        self.services
            .values()
            .map(|entry| rounded(decayed(entry, now)))
            .fold(Level::OPEN, Level::stricter)
    }

    /// Returns whether a call is to be sent: the level admits it, or it is taken for a probe.
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

    fn make_room(&mut self, service: &ServiceName) {
        if self.services.len() < MAX_SERVICES || self.services.contains_key(service) {
            return;
        }
        let oldest = self.services.iter().min_by_key(|(_, entry)| entry.at);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.services.remove(&oldest);
        }
    }
}

fn decayed(entry: &Entry, now: Time) -> f64 {
    let unconfirmed = now.since(entry.at).saturating_sub(HOLD_TIME);
    let opened = (unconfirmed.as_secs_f64() / DECAY_TIME.as_secs_f64()).min(1.0);
    let open = f64::from(Level::OPEN.rank());
    entry.rank + (open - entry.rank) * opened
}

fn rounded(rank: f64) -> Level {
    Level::from_rank(rank.round() as u16)
}
