//! Test harness that drives an admission controller in virtual time.

#![allow(dead_code)]

use std::time::Duration;

use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::admission::AdmissionConfig;
use dragonflylead::coordination::admission::AdmissionController;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::Ticket;

pub(crate) const MS: Duration = Duration::from_millis(1);

/// Builds a non-exclusive job of cohort 0 with a deadline far in the future.
pub(crate) fn job(ticket: u64, priority: Priority, idempotent: bool) -> Job {
    Job {
        ticket: Ticket(ticket),
        priority,
        cohort: Cohort(0),
        idempotent,
        deadline: Time::from_millis(60_000),
        exclusive: false,
    }
}

/// Admission controller with a virtual clock and the effects that it returned so far.
pub(crate) struct Harness {
    pub(crate) admission: AdmissionController,
    pub(crate) now: Time,
    pub(crate) effects: Vec<Effect>,
}

impl Harness {
    pub(crate) fn new(cfg: AdmissionConfig) -> Harness {
        let now = Time::from_millis(1_000);
        Harness {
            admission: AdmissionController::with_config(cfg, now),
            now,
            effects: Vec::new(),
        }
    }

    pub(crate) fn offer<I>(&mut self, jobs: I)
    where
        I: IntoIterator<Item = Job>,
    {
        for job in jobs {
            self.admission.offer(job, self.now, &mut self.effects);
        }
    }

    pub(crate) fn finish(&mut self, ticket: u64, result: RunResult) {
        self.admission
            .finish(Ticket(ticket), result, self.now, &mut self.effects);
    }

    /// Moves the clock forward by `span` and runs a tick.
    pub(crate) fn advance(&mut self, span: Duration) {
        self.now = self.now.plus(span);
        self.admission.tick(self.now, &mut self.effects);
    }

    /// Returns the tickets of the started calls, in order.
    pub(crate) fn started(&self) -> Vec<u64> {
        let start = |e: &Effect| match e {
            Effect::Start(ticket) => Some(ticket.0),
            _ => None,
        };
        self.effects.iter().filter_map(start).collect()
    }
}
