//! What a node keeps of one instance that it sends calls to.

use std::time::Duration;

use crate::clock::Time;
use crate::coordination::ejection::EjectionConfig;
use crate::coordination::ejection::Health;
use crate::coordination::routing::Distance;
use crate::coordination::score::Score;
use crate::coordination::score::ScoreConfig;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceState;

/// Span after which an instance that said it is leaving, without its incarnation, is asked again.
pub const DRAINING_SPAN: Duration = Duration::from_secs(10);

/// How an attempt ended, as far as the instance is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered as it should, be it with a refusal that is the call's own fault.
    Succeeded,
    /// It could not be reached, broke off, was too late, or the target crashed.
    Failed,
    /// It refused for lack of room or because it is leaving.
    Refused,
    /// Its target cannot be reached, or refused by itself.
    TargetUnavailable,
    /// The attempt was withdrawn; nothing was learned.
    Cancelled,
}

/// What an attempt told about an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from sending to the end.
    pub latency: Duration,
    /// Load told in the answer, 1 for all slots taken.
    pub load: Option<f64>,
    /// Incarnation told in the answer.
    pub incarnation: Option<Incarnation>,
    /// Whether the answer told that the instance is leaving.
    pub draining: bool,
    /// Bytes sent and received.
    pub bytes: u64,
}

impl Observation {
    /// Builds the observation of an attempt that told nothing but how and when it ended.
    pub fn of(outcome: AttemptOutcome, latency: Duration) -> Observation {
        Observation {
            outcome,
            latency,
            load: None,
            incarnation: None,
            draining: false,
            bytes: 0,
        }
    }
}

/// State of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// The instance as published.
    pub instance: Instance,
    /// Its distance.
    pub distance: Distance,
    /// What calls to it cost.
    pub score: Score,
    /// Ejection and slow start.
    pub health: Health,
    incarnation: Option<Incarnation>,
    draining: Option<Draining>,
}

/// When an instance was said to be leaving, and which of its incarnations, if that is known.
#[derive(Clone, Copy, Debug)]
struct Draining {
    told: Time,
    incarnation: Option<Incarnation>,
}

impl TargetState {
    /// Builds the state of an instance that was not known, `cold` if it started lately.
    pub fn new(instance: &Instance, distance: Distance, cold: bool, now: Time) -> TargetState {
        let health = match cold {
            true => Health::cold(now),
            false => Health::warm(),
        };
        TargetState {
            instance: instance.clone(),
            distance,
            score: Score::default(),
            health,
            incarnation: None,
            draining: None,
        }
    }

    /// Takes over what the list says of a known instance.
    pub fn listed(mut self, instance: &Instance, distance: Distance) -> TargetState {
        self.instance = instance.clone();
        self.distance = distance;
        self
    }

    /// Returns whether the instance takes no new work.
    ///
    /// A list that still says that the instance is live does not change what it said itself.
    pub fn is_draining(&self, now: Time) -> bool {
        let said = self.draining.is_some_and(|draining| {
            draining.incarnation.is_some() || now.since(draining.told) < DRAINING_SPAN
        });
        said || self.instance.state == InstanceState::Leaving
    }

    /// Takes over what the instance or a peer told of its incarnation and draining.
    pub fn told(&mut self, incarnation: Option<Incarnation>, draining: bool, now: Time) {
        if self.is_outdated(incarnation) {
            return;
        }
        if incarnation.is_some() && incarnation != self.incarnation {
            self.restarted(incarnation, now);
        }
        if draining {
            self.draining = Some(Draining {
                told: now,
                incarnation,
            });
        }
    }

    /// Takes over how an attempt ended and returns whether the instance ought to be ejected.
    pub fn answered(
        &mut self,
        seen: &Observation,
        now: Time,
        score: &ScoreConfig,
        ejection: &EjectionConfig,
    ) -> bool {
        self.score.ended();
        self.told(seen.incarnation, seen.draining, now);
        if self.is_outdated(seen.incarnation) {
            self.health.abandoned();
            return false;
        }
        let eject = self.record_outcome(seen, now, score, ejection);
        if let Some(load) = seen
            .load
            .filter(|_| seen.outcome != AttemptOutcome::Refused)
        {
            self.score.loaded(load, now);
        }
        eject
    }

    fn record_outcome(
        &mut self,
        seen: &Observation,
        now: Time,
        score: &ScoreConfig,
        ejection: &EjectionConfig,
    ) -> bool {
        match seen.outcome {
            AttemptOutcome::Succeeded => {
                self.score.succeeded(seen.latency, now);
                self.health.succeeded(now);
            }
            AttemptOutcome::Failed => {
                self.score.failed(seen.latency, now, score);
                return self.health.failed(self.score.failure_share(now), ejection);
            }
            AttemptOutcome::Refused => {
                self.score.refused(now);
                self.health.abandoned();
            }
            AttemptOutcome::TargetUnavailable => {
                self.score.failed(Duration::ZERO, now, score);
                self.health.abandoned();
            }
            AttemptOutcome::Cancelled => self.health.abandoned(),
        }
        false
    }

    fn is_outdated(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_some() && incarnation < self.incarnation
    }

    fn restarted(&mut self, incarnation: Option<Incarnation>, now: Time) {
        let first_seen = self.incarnation.is_none();
        self.incarnation = incarnation;
        if first_seen {
            return;
        }
        self.draining = None;
        self.health = Health::cold(now);
        self.score.forget();
    }
}
