//! Property test of admission control: random histories checked against a model.

#[path = "support/admission.rs"]
mod support;

use std::collections::BTreeMap;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::admission::AdmissionConfig;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::RunResult;
use dragonflylead::coordination::admission::Ticket;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::support::Harness;
use crate::support::MS;
use crate::support::job;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        priority: usize,
        cohort: u16,
        idempotent: bool,
        exclusive: bool,
        time_left_ms: u64,
    },
    Finish(usize, bool),
    Withdraw(usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer = (0..5usize, 0..128u16, any::<bool>(), 0..12u8, 0..400u64).prop_map(
        |(priority, cohort, idempotent, exclusive, time_left_ms)| Step::Offer {
            priority,
            cohort,
            idempotent,
            exclusive: exclusive == 0,
            time_left_ms,
        },
    );
    let step = prop_oneof![
        6 => offer,
        2 => (any::<usize>(), any::<bool>()).prop_map(|(i, ok)| Step::Finish(i, ok)),
        1 => any::<usize>().prop_map(Step::Withdraw),
        2 => (1..60u64).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..400)
}

/// Model of the calls of an admission controller, built from its effects alone.
#[derive(Default)]
struct Model {
    queued: BTreeMap<u64, Job>,
    running: BTreeMap<u64, Job>,
    preempted: Vec<u64>,
}

impl Model {
    fn nth_ticket(calls: &BTreeMap<u64, Job>, i: usize) -> Option<u64> {
        calls.keys().nth(i % calls.len().max(1)).copied()
    }

    fn apply(&mut self, effects: &[Effect], limit: u32) {
        for effect in effects {
            match effect {
                Effect::Start(t) => self.start(t.0, limit),
                Effect::Drop(t, kind) => self.drop(t.0, *kind),
                Effect::Preempt(t) => {
                    assert!(self.running[&t.0].idempotent, "{t:?} must not be preempted");
                    assert!(!self.preempted.contains(&t.0), "{t:?} preempted twice");
                    self.preempted.push(t.0);
                }
            }
        }
    }

    /// Checks that a started call was queued, and respects the limit and exclusive calls.
    fn start(&mut self, ticket: u64, limit: u32) {
        let job = self
            .queued
            .remove(&ticket)
            .expect("only a queued call starts, and once");
        let alone = self.running.is_empty();
        assert!(
            alone || !job.exclusive,
            "exclusive call {ticket} started beside others"
        );
        assert!(
            !self.running.values().any(|r| r.exclusive),
            "call {ticket} started beside an exclusive call"
        );
        self.running.insert(ticket, job);
        assert!(
            self.running.len() as u32 <= limit,
            "more calls than the limit"
        );
    }

    /// Checks that a dropped call was queued. A non-idempotent call may be dropped for lack of
    /// capacity only if no idempotent call of lower priority is queued or running.
    fn drop(&mut self, ticket: u64, kind: NotRunKind) {
        let job = self
            .queued
            .remove(&ticket)
            .expect("only a queued call is dropped, and once");
        if kind != NotRunKind::Overloaded || job.idempotent {
            return;
        }
        let preemptible = |other: &Job| other.idempotent && other.priority > job.priority;
        assert!(
            !self.queued.values().any(preemptible),
            "a less important call is still queued"
        );
        let running = self.running.iter();
        let not_preempted = running.filter(|(t, j)| preemptible(j) && !self.preempted.contains(t));
        assert_eq!(
            not_preempted.count(),
            0,
            "a less important call is still running"
        );
    }
}

/// Applies the steps to a controller and to the model, then finishes all running calls.
fn run_history(steps: Vec<Step>) {
    let cfg = AdmissionConfig {
        queue_capacity: 6,
        ..AdmissionConfig::full(4)
    };
    let mut harness = Harness::new(cfg);
    let mut model = Model::default();
    for (ticket, step) in steps.into_iter().enumerate() {
        harness.effects.clear();
        match step {
            Step::Offer {
                priority,
                cohort,
                idempotent,
                exclusive,
                time_left_ms,
            } => {
                let priority = [
                    Priority::Critical,
                    Priority::High,
                    Priority::Normal,
                    Priority::Low,
                    Priority::Background,
                ][priority];
                let job = Job {
                    cohort: Cohort(cohort),
                    deadline: harness.now.plus(time_left_ms as u32 * MS),
                    exclusive,
                    ..job(ticket as u64, priority, idempotent)
                };
                model.queued.insert(ticket as u64, job.clone());
                harness.offer([job]);
            }
            Step::Finish(i, ok) => {
                if let Some(ticket) = Model::nth_ticket(&model.running, i) {
                    model.running.remove(&ticket);
                    harness.finish(
                        ticket,
                        if ok {
                            RunResult::Ok
                        } else {
                            RunResult::Cancelled
                        },
                    );
                }
            }
            Step::Withdraw(i) => {
                if let Some(ticket) = Model::nth_ticket(&model.queued, i) {
                    model.queued.remove(&ticket);
                    let now = harness.now;
                    let out = &mut harness.effects;
                    assert!(harness.admission.withdraw(Ticket(ticket), now, out));
                }
            }
            Step::Advance(ms) => harness.advance(ms as u32 * MS),
        }
        let load = harness.admission.load();
        model.apply(&harness.effects, load.limit);
        assert_eq!(load.in_flight, model.running.len() as u32);
        assert_eq!(load.queued, model.queued.len() as u32);
        assert!(
            load.queued <= cfg.queue_capacity + cfg.slots,
            "queue exceeds its capacity"
        );
    }
    while let Some(ticket) = Model::nth_ticket(&model.running, 0) {
        harness.effects.clear();
        model.running.remove(&ticket);
        harness.finish(ticket, RunResult::Ok);
        model.apply(&harness.effects, harness.admission.load().limit);
    }
    assert!(model.queued.is_empty(), "calls neither started nor dropped");
}

#[test]
fn every_call_starts_or_drops_once_and_the_least_important_drops_first() {
    let cfg = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    runner
        .run(&steps(), |steps| {
            run_history(steps);
            Ok(())
        })
        .unwrap();
}
