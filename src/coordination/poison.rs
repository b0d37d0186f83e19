//! Poison requests: requests suspected of crashing the targets that run them.
//!
//! When a target crashes, every request that it was running becomes a suspect. A suspect runs
//! exclusively. It is quarantined for a while if it is involved in the crash of a second target, or
//! in a further crash while it runs alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::instance::InstanceName;

/// Number of distinct crashed targets after which a request is quarantined.
pub const TARGETS_TO_QUARANTINE: usize = 2;

/// Time without a further crash after which a suspicion expires.
pub const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Duration of a quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of crashes remembered for each suspect.
pub const MAX_CRASHES: usize = 4;

/// Maximum number of remembered suspects.
pub const MAX_SUSPECTS: usize = 4_096;

/// Report to the other nodes of a service that a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Instance whose target crashed.
    pub target: InstanceName,
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

/// Crashes that involved one request.
#[derive(Debug, Default)]
struct Suspect {
    crashes: BTreeSet<(InstanceName, u64)>,
    quarantined: bool,
    expires: Time,
}

impl Suspect {
    /// Adds a crash. Returns whether it adds information; a quarantined suspect takes no more
    /// crashes.
    fn add_crash(&mut self, report: &CrashReport) -> bool {
        let known = self.crashes.len();
        let crash = (report.target.clone(), report.crash);
        if self.quarantined || known >= MAX_CRASHES || !self.crashes.insert(crash) {
            return false;
        }
        let crashed_alone_again = report.alone && known > 0;
        self.quarantined = crashed_alone_again || self.distinct_targets() >= TARGETS_TO_QUARANTINE;
        true
    }

    /// Returns the number of distinct targets that crashed.
    fn distinct_targets(&self) -> usize {
        let targets = self.crashes.iter().map(|(target, _)| target);
        targets.collect::<BTreeSet<_>>().len()
    }

    /// Returns the time for which the suspect is remembered after its last new crash.
    fn retention(&self) -> Duration {
        match self.quarantined {
            true => QUARANTINE_TIME,
            false => SUSPICION_TTL,
        }
    }
}

/// Suspected and quarantined requests known to a node.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    expiry: BTreeSet<(bool, Time, Fingerprint)>,
}

impl Suspects {
    /// Builds an empty table.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Records a crash of the target of `instance` while it ran the requests `running`. Returns the
    /// reports to send to the other nodes of the service.
    pub fn record_crash<I, R>(
        &mut self,
        now: Time,
        instance: &InstanceName,
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
                crash,
                alone,
            })
            .collect();
        for report in &reports {
            self.merge_report(now, report);
        }
        reports
    }

    /// Merges a crash report. Merging the same report again has no effect.
    pub fn merge_report(&mut self, now: Time, report: &CrashReport) {
        self.remove_expired(now);
        let mut suspect = self.remove(report.fingerprint).unwrap_or_default();
        if suspect.add_crash(report) {
            suspect.expires = now.plus(suspect.retention());
        }
        self.evict_if_full();
        self.insert(report.fingerprint, suspect);
    }

    /// Clears a request that ran to completion of suspicion. A quarantine is not lifted.
    pub fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        let suspect = self.suspects.get(&fingerprint);
        if suspect.is_some_and(|suspect| !suspect.quarantined) {
            self.remove(fingerprint);
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
