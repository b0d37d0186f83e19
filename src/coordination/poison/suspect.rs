//! Evidence against one request: the crashes that involved it, and its trials.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::poison::CrashReport;
use crate::coordination::poison::QUARANTINE_TIME;
use crate::coordination::poison::SUSPICION_TTL;
use crate::coordination::rendezvous;
use crate::fingerprint::Fingerprint;
use crate::instance::DomainName;
use crate::instance::InstanceName;

/// Number of distinct crashed targets after which a request is quarantined.
pub const TARGETS_TO_QUARANTINE: usize = 2;

/// Maximum number of crashes remembered for each suspect.
pub const MAX_CRASHES: usize = 4;

/// Longest time between two crashes in one failure domain that count as one event, such as the loss
/// of a rack.
pub const EVENT_SPAN: Duration = Duration::from_millis(1_000);

/// Time from a quarantine to the trial, if all crashes happened at about the same moment. Then the
/// request may have run beside their cause, such as the loss of several targets.
pub const EARLY_TRIAL: Duration = Duration::from_millis(1_500);

/// Time from any other quarantine to the trial, and from the first trial of a request to the second.
/// Each further trial waits [`TRIAL_BACKOFF`] times as long.
pub const LATER_TRIAL: Duration = Duration::from_secs(60);

/// Factor between the pauses before two trials.
const TRIAL_BACKOFF: u32 = 4;

/// Time by which a trial is due later for each doubling of the rank of a node, so that the news of a
/// trial arrives before another node begins one.
pub const TRIAL_SLOT: Duration = Duration::from_millis(200);

/// Seed of the rendezvous hash that orders the trials.
const TRIAL_SEED: u64 = 0x791a;

/// Returns the position of the node at `own` among it and `others` in the order in which they may
/// try a quarantined request.
pub fn trial_rank<I>(fingerprint: Fingerprint, own: SocketAddr, others: I) -> usize
where
    I: IntoIterator<Item = SocketAddr>,
{
    let weight = |node: SocketAddr| {
        let node = rendezvous::node_key(node, TRIAL_SEED);
        rendezvous::weight(&fingerprint.0, node, TRIAL_SEED)
    };
    let own = weight(own);
    let others = others.into_iter();
    others.filter(|node| weight(*node) > own).count()
}

/// Crash of a target that involved the suspect.
#[derive(Debug)]
struct Crash {
    target: InstanceName,
    domain: DomainName,
    number: u64,
    at: Time,
}

/// What a node knows against one request.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    crashes: VecDeque<Crash>,
    /// Number of events that the crashes belong to.
    events: usize,
    trials: u32,
    next_trial: Time,
    /// Whether the request is quarantined.
    pub(super) quarantined: bool,
    /// When the suspicion or the quarantine expires.
    pub(super) expires: Time,
}

impl Suspect {
    /// Adds a crash that was reported at `now`. A crash that is known already has no effect.
    pub(super) fn add_crash(&mut self, report: &CrashReport, now: Time) {
        let is_same = |c: &Crash| c.number == report.crash && c.target == report.target;
        if self.crashes.iter().any(is_same) {
            return;
        }
        let crashed_alone_again = report.alone && !self.crashes.is_empty();
        self.events += usize::from(!self.continues_event(report, now));
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(Crash {
            target: report.target.clone(),
            domain: report.domain.clone(),
            number: report.crash,
            at: now,
        });
        let several = self.distinct_targets().min(self.events) >= TARGETS_TO_QUARANTINE;
        if !self.quarantined && (crashed_alone_again || several) {
            self.quarantined = true;
            let at_once = |c: &Crash| now.since(c.at) <= EVENT_SPAN;
            let pause = match !report.alone && self.crashes.iter().all(at_once) {
                true => EARLY_TRIAL,
                false => LATER_TRIAL,
            };
            self.next_trial = now.plus(pause);
        }
        self.expires = now.plus(self.retention());
    }

    /// Returns whether the request may be tried at the node with the given rank.
    pub(super) fn is_trial_due(&self, rank: usize, now: Time) -> bool {
        let doublings = (rank + 1).next_power_of_two().trailing_zeros();
        let due = self.next_trial.plus(TRIAL_SLOT * doublings);
        self.quarantined && now >= due
    }

    /// Records that a trial begins at this or another node.
    pub(super) fn record_trial(&mut self, now: Time) {
        let pause = LATER_TRIAL.saturating_mul(TRIAL_BACKOFF.saturating_pow(self.trials));
        self.trials += 1;
        self.next_trial = now.plus(pause.min(QUARANTINE_TIME));
    }

    /// Records that a trial ended without a run.
    pub(super) fn withdraw_trial(&mut self, now: Time) {
        self.trials = self.trials.saturating_sub(1);
        self.next_trial = now.plus(EARLY_TRIAL);
    }

    /// Returns whether a crash belongs to the same event as one before. A request that was the only
    /// one at its target is not a bystander of an event.
    fn continues_event(&self, report: &CrashReport, now: Time) -> bool {
        let same_event = |c: &Crash| c.domain == report.domain && now.since(c.at) <= EVENT_SPAN;
        !report.alone && self.crashes.iter().any(same_event)
    }

    /// Returns the number of distinct targets that crashed.
    fn distinct_targets(&self) -> usize {
        let targets = self.crashes.iter().map(|crash| &crash.target);
        targets.collect::<BTreeSet<_>>().len()
    }

    /// Returns the time for which the suspect is remembered after its last crash.
    fn retention(&self) -> Duration {
        match self.quarantined {
            true => QUARANTINE_TIME,
            false => SUSPICION_TTL,
        }
    }
}
