//! Requests that are suspected of crashing the targets that run them.
//!
//! When a target crashes, every request that it was running is a suspect. A suspect runs alone; one
//! that crashes a second target, or any target while alone, is quarantined for a while.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Time;
use crate::fingerprint::Fingerprint;
use crate::instance::InstanceName;

/// Distinct targets whose crash implicates a request before it is quarantined.
pub const TARGETS_TO_QUARANTINE: usize = 2;

/// Time without a crash after which a suspicion lapses.
pub const SUSPICION_TTL: Duration = Duration::from_secs(600);

/// Time for which a request is quarantined.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Crashes remembered for each suspect at most.
pub const MAX_CRASHES: usize = 4;

/// Suspects remembered at most.
pub const MAX_SUSPECTS: usize = 4_096;

/// Tells the other nodes of a service that a target crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The instance whose target crashed.
    pub target: InstanceName,
    /// Random number of the crash, to tell it from others of the same target.
    pub crash: u64,
    /// Whether it was the only request that the target ran.
    pub alone: bool,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Beside others.
    None,
    /// With nothing else on its target.
    Exclusive,
    /// Not at all, for now.
    Quarantined,
}

#[derive(Debug, Default)]
struct Suspect {
    crashes: BTreeSet<(InstanceName, u64)>,
    quarantined: bool,
    lapses: Time,
}

impl Suspect {
    /// Adds a crash, and returns whether it says anything new.
    fn implicate(&mut self, report: &CrashReport) -> bool {
        let known = self.crashes.len();
        let crash = (report.target.clone(), report.crash);
        if self.quarantined || known >= MAX_CRASHES || !self.crashes.insert(crash) {
            return false;
        }
        let proved = report.alone && known > 0;
        self.quarantined = proved || self.targets() >= TARGETS_TO_QUARANTINE;
        true
    }

    fn targets(&self) -> usize {
        let targets = self.crashes.iter().map(|(target, _)| target);
        targets.collect::<BTreeSet<_>>().len()
    }

    fn kept(&self) -> Duration {
        match self.quarantined {
            true => QUARANTINE_TIME,
            false => SUSPICION_TTL,
        }
    }
}

/// The suspects that a node knows of.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
    lapses: BTreeSet<(bool, Time, Fingerprint)>,
}

impl Suspects {
    /// Builds an empty table.
    pub fn new() -> Suspects {
        Suspects::default()
    }

    /// Notes that the target of `instance` crashed while it ran the given requests, and returns
    /// the reports to send to the other nodes of the service.
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

    /// Merges a report of a crash. Merging the same report again changes nothing.
    pub fn merge_report(&mut self, now: Time, report: &CrashReport) {
        self.forget(now);
        let mut suspect = self.take(report.fingerprint).unwrap_or_default();
        if suspect.implicate(report) {
            suspect.lapses = now.plus(suspect.kept());
        }
        self.make_room();
        self.put(report.fingerprint, suspect);
    }

    /// Notes that a request ran to its end, which clears it of a mere suspicion.
    pub fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        let suspect = self.suspects.get(&fingerprint);
        if suspect.is_some_and(|suspect| !suspect.quarantined) {
            self.take(fingerprint);
        }
    }

    /// Returns how a request may run.
    pub fn isolation(&mut self, now: Time, fingerprint: Fingerprint) -> Isolation {
        self.forget(now);
        match self.suspects.get(&fingerprint) {
            None => Isolation::None,
            Some(suspect) if suspect.quarantined => Isolation::Quarantined,
            Some(_) => Isolation::Exclusive,
        }
    }

    /// Returns the requests that are quarantined.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| suspect.quarantined)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn take(&mut self, fingerprint: Fingerprint) -> Option<Suspect> {
        let suspect = self.suspects.remove(&fingerprint)?;
        let key = (suspect.quarantined, suspect.lapses, fingerprint);
        self.lapses.remove(&key);
        Some(suspect)
    }

    fn put(&mut self, fingerprint: Fingerprint, suspect: Suspect) {
        let key = (suspect.quarantined, suspect.lapses, fingerprint);
        self.lapses.insert(key);
        self.suspects.insert(fingerprint, suspect);
    }

    /// Drops the suspect that lapses first; a quarantined one only if all are.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        if let Some((_, _, fingerprint)) = self.lapses.pop_first() {
            self.suspects.remove(&fingerprint);
        }
    }

    fn forget(&mut self, now: Time) {
        for quarantined in [false, true] {
            let first = (quarantined, Time::ZERO, Fingerprint([0; 16]));
            let last = (quarantined, now, Fingerprint([u8::MAX; 16]));
            let lapsed: Vec<_> = self.lapses.range(first..=last).copied().collect();
            for key in lapsed {
                self.lapses.remove(&key);
                self.suspects.remove(&key.2);
            }
        }
    }
}
