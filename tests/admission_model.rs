//! Random histories of an admission, checked against a model of the calls.

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

use crate::support::Bench;
use crate::support::MS;
use crate::support::job;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        priority: usize,
        cohort: u16,
        idempotent: bool,
        exclusive: bool,
        within: u64,
    },
    Finish(usize, bool),
    Withdraw(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let offer = (0..5usize, 0..128u16, any::<bool>(), 0..12u8, 0..400u64).prop_map(
        |(priority, cohort, idempotent, exclusive, within)| Step::Offer {
            priority,
            cohort,
            idempotent,
            exclusive: exclusive == 0,
            within,
        },
    );
    let step = prop_oneof![
        6 => offer,
        2 => (any::<usize>(), any::<bool>()).prop_map(|(i, ok)| Step::Finish(i, ok)),
        1 => any::<usize>().prop_map(Step::Withdraw),
        2 => (1..60u64).prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..400)
}

/// What the outside knows about the calls of an admission.
#[derive(Default)]
struct Model {
    queued: BTreeMap<u64, Job>,
    running: BTreeMap<u64, Job>,
    preempted: Vec<u64>,
}

impl Model {
    fn pick(calls: &BTreeMap<u64, Job>, i: usize) -> Option<u64> {
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

    fn start(&mut self, ticket: u64, limit: u32) {
        let job = self.queued.remove(&ticket).expect("started once, queued");
        let alone = self.running.is_empty();
        assert!(alone || !job.exclusive, "exclusive beside others");
        assert!(!self.running.values().any(|r| r.exclusive), "beside one");
        self.running.insert(ticket, job);
        assert!(self.running.len() as u32 <= limit, "over the limit");
    }

    fn drop(&mut self, ticket: u64, kind: NotRunKind) {
        let job = self.queued.remove(&ticket).expect("dropped once, queued");
        if kind != NotRunKind::Overloaded || job.idempotent {
            return;
        }
        let gives_way = |other: &Job| other.idempotent && other.priority > job.priority;
        assert!(!self.queued.values().any(gives_way), "lower one is queued");
        let running = self.running.iter();
        let spared = running.filter(|(t, j)| gives_way(j) && !self.preempted.contains(t));
        assert_eq!(spared.count(), 0, "lower one is running");
    }
}

fn check(steps: Vec<Step>) {
    let cfg = AdmissionConfig {
        queue_capacity: 6,
        ..AdmissionConfig::full(4)
    };
    let mut bench = Bench::new(cfg);
    let mut model = Model::default();
    for (ticket, step) in steps.into_iter().enumerate() {
        bench.effects.clear();
        match step {
            Step::Offer {
                priority,
                cohort,
                idempotent,
                exclusive,
                within,
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
                    deadline: bench.now.plus(within as u32 * MS),
                    exclusive,
                    ..job(ticket as u64, priority, idempotent)
                };
                model.queued.insert(ticket as u64, job.clone());
                bench.offer([job]);
            }
            Step::Finish(i, ok) => {
                if let Some(ticket) = Model::pick(&model.running, i) {
                    model.running.remove(&ticket);
                    bench.finish(
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
                if let Some(ticket) = Model::pick(&model.queued, i) {
                    model.queued.remove(&ticket);
                    let now = bench.now;
                    let out = &mut bench.effects;
                    assert!(bench.admission.withdraw(Ticket(ticket), now, out));
                }
            }
            Step::Pass(ms) => bench.pass(ms as u32 * MS),
        }
        let load = bench.admission.load();
        model.apply(&bench.effects, load.limit);
        assert_eq!(load.in_flight, model.running.len() as u32);
        assert_eq!(load.queued, model.queued.len() as u32);
        assert!(
            load.queued <= cfg.queue_capacity + cfg.slots,
            "queue is bounded"
        );
    }
    while let Some(ticket) = Model::pick(&model.running, 0) {
        bench.effects.clear();
        model.running.remove(&ticket);
        bench.finish(ticket, RunResult::Ok);
        model.apply(&bench.effects, bench.admission.load().limit);
    }
    assert!(model.queued.is_empty(), "each call is started or dropped");
}

#[test]
fn every_call_is_decided_once_and_charges_go_last() {
    let cfg = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    runner
        .run(&steps(), |steps| {
            check(steps);
            Ok(())
        })
        .unwrap();
}
