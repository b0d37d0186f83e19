//! Per-instance state of the router: score, health, incarnation and draining.

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

/// Time for which a report of draining without an incarnation is valid. After it the instance is
/// tried again.
pub const DRAINING_REPORT_TTL: Duration = Duration::from_secs(10);

/// Outcome of an attempt, from the point of view of the instance's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The instance answered, possibly with an error that the caller caused.
    Succeeded,
    /// The instance could not be reached, closed the connection or answered too late, or its target
    /// crashed.
    Failed,
    /// The instance refused the call because it is overloaded or draining.
    Refused,
    /// The instance's target cannot be reached or refused the call.
    TargetUnavailable,
    /// The attempt was cancelled, so the health of the instance is unknown.
    Cancelled,
}

/// What an attempt reveals about its instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start to the end of the attempt.
    pub latency: Duration,
    /// Load reported in the response; 1 if all slots are taken.
    pub load: Option<f64>,
    /// Expected time of a run that the response reports.
    pub run_time: Option<Duration>,
    /// Incarnation reported in the response.
    pub incarnation: Option<Incarnation>,
    /// Whether the response reported that the instance is draining.
    pub draining: bool,
    /// Bytes sent and received; 0 if unknown.
    pub bytes: u64,
}

impl Observation {
    /// Creates an observation with only an outcome and a latency.
    pub fn new(outcome: AttemptOutcome, latency: Duration) -> Observation {
        Observation {
            outcome,
            latency,
            load: None,
            run_time: None,
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
    /// Distance from this node.
    pub distance: Distance,
    /// Observations that the cost of a call is computed from.
    pub score: Score,
    /// Ejection and slow start.
    pub health: Health,
    incarnation: Option<Incarnation>,
    draining: Option<DrainingReport>,
}

/// A report that an instance is draining, with its incarnation if known.
#[derive(Clone, Copy, Debug)]
struct DrainingReport {
    reported_at: Time,
    incarnation: Option<Incarnation>,
}

impl TargetState {
    /// Creates the state of a new instance; `cold` starts it with a slow start.
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

    /// Returns the state with the published data of the instance replaced.
    pub fn with_listing(mut self, instance: &Instance, distance: Distance) -> TargetState {
        self.instance = instance.clone();
        self.distance = distance;
        self
    }

    /// Returns whether the instance accepts no new calls.
    ///
    /// The instance's own report that it is draining overrides a published list in which it is
    /// still live.
    pub fn is_draining(&self, now: Time) -> bool {
        let reported = self.draining.is_some_and(|draining| {
            draining.incarnation.is_some() || now.since(draining.reported_at) < DRAINING_REPORT_TTL
        });
        reported || self.instance.state == InstanceState::Draining
    }

    /// Records the incarnation and draining state reported by the instance or a peer. A report from
    /// an earlier incarnation is ignored.
    pub fn update_status(&mut self, incarnation: Option<Incarnation>, draining: bool, now: Time) {
        if self.is_stale(incarnation) {
            return;
        }
        if incarnation.is_some() && incarnation != self.incarnation {
            self.set_incarnation(incarnation, now);
        }
        if draining {
            self.draining = Some(DrainingReport {
                reported_at: now,
                incarnation,
            });
        }
    }

    /// Records the end of an attempt and returns whether the instance should be ejected.
    pub fn record_attempt_end(
        &mut self,
        observation: &Observation,
        now: Time,
        score: &ScoreConfig,
        ejection: &EjectionConfig,
    ) -> bool {
        self.score.record_attempt_end();
        self.update_status(observation.incarnation, observation.draining, now);
        if self.is_stale(observation.incarnation) {
            self.health.record_inconclusive();
            return false;
        }
        let eject = self.record_outcome(observation, now, score, ejection);
        if let Some(load) = observation
            .load
            .filter(|_| observation.outcome != AttemptOutcome::Refused)
        {
            self.score.record_load(load, now);
        }
        if let Some(run_time) = observation.run_time {
            self.score.record_run_time(run_time, now);
            self.health.end_slow_start();
        }
        eject
    }

    fn record_outcome(
        &mut self,
        observation: &Observation,
        now: Time,
        score: &ScoreConfig,
        ejection: &EjectionConfig,
    ) -> bool {
        match observation.outcome {
            AttemptOutcome::Succeeded => {
                self.score.record_success(observation.latency, now);
                self.health.record_success(now);
            }
            AttemptOutcome::Failed => {
                self.score.record_failure(observation.latency, now, score);
                return self
                    .health
                    .record_failure(self.score.failure_share(now), ejection);
            }
            AttemptOutcome::Refused => {
                self.score.record_refusal(now);
                self.health.record_inconclusive();
            }
            AttemptOutcome::TargetUnavailable => {
                self.score.record_failure(Duration::ZERO, now, score);
                self.health.record_inconclusive();
            }
            AttemptOutcome::Cancelled => self.health.record_inconclusive(),
        }
        false
    }

    /// Returns whether `incarnation` is earlier than the latest known one.
    fn is_stale(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_some() && incarnation < self.incarnation
    }

    /// Sets a new incarnation. A restarted instance loses its observations and starts cold.
    fn set_incarnation(&mut self, incarnation: Option<Incarnation>, now: Time) {
        let first_seen = self.incarnation.is_none();
        self.incarnation = incarnation;
        if first_seen {
            return;
        }
        self.draining = None;
        self.health = Health::cold(now);
        self.score.reset_observations();
    }
}
