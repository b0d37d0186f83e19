//! Poison requests: requests suspected of crashing the targets that run them.
//!
//! When a target crashes, every request that it was running becomes a suspect. A suspect is
//! quarantined if it is involved in the crash of a second target, or in a further crash while it runs
//! alone. Crashes in one failure domain at the same moment count once.
//!
//! A run that ends unharmed at any target at that time, or later, speaks for the request and lifts
//! both at all nodes. A quarantined request gets a trial after a while, alone at one target.

mod recent_runs;
mod suspect;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::instance::DomainName;
use crate::instance::InstanceName;

use recent_runs::RecentRuns;
use suspect::Suspect;

pub use recent_runs::EVIDENCE_SPAN;
pub use recent_runs::MAX_RECENT_RUNS;
pub use suspect::EARLY_TRIAL;
pub use suspect::EVENT_SPAN;
pub use suspect::LATER_TRIAL;
pub use suspect::MAX_CRASHES;
pub use suspect::TARGETS_TO_QUARANTINE;
pub use suspect::TRIAL_SLOT;
pub use suspect::trial_rank;

/// Time without a further crash after which a suspicion expires.
pub const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Duration of a quarantine after the last crash, unless an unharmed run lifts it.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of remembered suspects.
pub const MAX_SUSPECTS: usize = 4_096;

/// Report to the other nodes of a service that a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Instance whose target crashed.
    pub target: InstanceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Random number that distinguishes this crash from others of the same target.
    pub crash: u64,
    /// Whether the target was running no other request.
    pub alone: bool,
}

/// Isolation with which a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// The request may run alongside others.
    None,
    /// The request must run with no other on its target.
    Exclusive,
    /// The request must not run until the quarantine ends.
    Quarantined,
}

/// Suspected and quarantined requests known to a node.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    expiry: BTreeSet<(bool, Time, Fingerprint)>,
    recent_runs: RecentRuns,
}

impl Suspects {
    /// Builds an empty table.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Records a crash of the target of `instance`, in `domain`, while it ran the requests `running`.
    /// Returns the reports to send to the other nodes of the service.
    pub fn record_crash<I, R>(
        &mut self,
        now: Time,
        instance: &InstanceName,
        domain: &DomainName,
        running: I,
        rng: &mut R,
    ) -> Vec<CrashReport>
    where
        I: IntoIterator<Item = Fingerprint>,
        R: Rng,
    {
        let running: BTreeSet<Fingerprint> = running.into_iter().collect();
        let alone = running.len() == 1;
        let crash = rng.next_u64();
        let reports: Vec<CrashReport> = running
            .into_iter()
            .map(|fingerprint| CrashReport {
                fingerprint,
                target: instance.clone(),
                domain: domain.clone(),
                crash,
                alone,
            })
            .collect();
        for report in &reports {
            self.merge_report(now, report);
        }
        reports
    }

    /// Merges a crash report. Merging the same report again has no effect. A crash is no evidence
    /// against a request that ran unharmed elsewhere at that time; returns whether that is so.
    pub fn merge_report(&mut self, now: Time, report: &CrashReport) -> bool {
        self.remove_expired(now);
        if self.recent_runs.contains(report.fingerprint, now) {
            return true;
        }
        let mut suspect = self.remove(report.fingerprint).unwrap_or_default();
        suspect.add_crash(report, now);
        self.evict_if_full();
        self.insert(report.fingerprint, suspect);
        false
    }

    /// Records that a request ran to its end at the local target. Returns whether it was a suspect.
    pub fn record_unharmed_run(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.recent_runs.record(fingerprint, false, now);
        self.remove(fingerprint).is_some()
    }

    /// Records that a request ran to its end at another node. Returns whether it was quarantined.
    pub fn merge_unharmed_run(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.recent_runs.record(fingerprint, true, now);
        let removed = self.remove(fingerprint);
        removed.is_some_and(|suspect| suspect.quarantined)
    }

    /// Returns whether the other nodes are to be told that a request ran unharmed. That is so once
    /// within [`EVIDENCE_SPAN`], unless another node told of it.
    pub fn take_untold_run(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        self.recent_runs.take_untold(fingerprint, now)
    }

    /// Begins a trial of a quarantined request if one is due at the node with this rank. Returns
    /// whether the request may run.
    pub fn start_trial(&mut self, now: Time, fingerprint: Fingerprint, rank: usize) -> bool {
        let due = self.suspects.get(&fingerprint);
        let due = due.is_some_and(|suspect| suspect.is_trial_due(rank, now));
        if due {
            self.record_trial(now, fingerprint);
        }
        due
    }

    /// Records that a trial of a request begins, here or at another node.
    pub fn record_trial(&mut self, now: Time, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.record_trial(now);
        }
    }

    /// Records that a trial of this node ended without a run.
    pub fn withdraw_trial(&mut self, now: Time, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.withdraw_trial(now);
        }
    }

    /// Returns the isolation with which a request may run at `now`.
    pub fn isolation(&mut self, now: Time, fingerprint: Fingerprint) -> Isolation {
        self.remove_expired(now);
        match self.suspects.get(&fingerprint) {
            None => Isolation::None,
            Some(suspect) if suspect.quarantined => Isolation::Quarantined,
            Some(_) => Isolation::Exclusive,
        }
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| suspect.quarantined)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Returns the number of suspects, including quarantined requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn remove(&mut self, fingerprint: Fingerprint) -> Option<Suspect> {
        let suspect = self.suspects.remove(&fingerprint)?;
        let key = (suspect.quarantined, suspect.expires, fingerprint);
        self.expiry.remove(&key);
        Some(suspect)
    }

    fn insert(&mut self, fingerprint: Fingerprint, suspect: Suspect) {
        let key = (suspect.quarantined, suspect.expires, fingerprint);
        self.expiry.insert(key);
        self.suspects.insert(fingerprint, suspect);
    }

    /// Evicts the suspect that expires first if the table is full. Quarantined requests are evicted
    /// only if no others are left.
    fn evict_if_full(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        if let Some((_, _, fingerprint)) = self.expiry.pop_first() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Removes suspicions and quarantines that expired by `now`.
    fn remove_expired(&mut self, now: Time) {
        for quarantined in [false, true] {
            let first = (quarantined, Time::ZERO, Fingerprint([0; 16]));
            let last = (quarantined, now, Fingerprint([u8::MAX; 16]));
            let expired: Vec<_> = self.expiry.range(first..=last).copied().collect();
            for key in expired {
                self.expiry.remove(&key);
                self.suspects.remove(&key.2);
            }
        }
    }
}
