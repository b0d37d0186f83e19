//! Admission at an instance: order, bounds, preemption, exclusive calls, the adaptive limit.

use std::collections::BTreeMap;
use std::time::Duration;

use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::admission::Admission;
use dragonflylead::coordination::admission::AdmissionConfig;
use dragonflylead::coordination::admission::Effect;
use dragonflylead::coordination::admission::Ending;
use dragonflylead::coordination::admission::Job;
use dragonflylead::coordination::admission::STANDING;
use dragonflylead::coordination::admission::Ticket;
use dragonflylead::coordination::limit::Limit;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const MS: Duration = Duration::from_millis(1);

fn job(ticket: u64, priority: Priority, idempotent: bool) -> Job {
    Job {
        ticket: Ticket(ticket),
        priority,
        cohort: Cohort(0),
        idempotent,
        deadline: Time::from_millis(60_000),
        exclusive: false,
    }
}

fn lookup(ticket: u64) -> Job {
    job(ticket, Priority::Low, true)
}

fn charge(ticket: u64) -> Job {
    job(ticket, Priority::Critical, false)
}

/// Drives an admission and keeps what it decided.
struct Bench {
    admission: Admission,
    now: Time,
    effects: Vec<Effect>,
}

impl Bench {
    fn new(cfg: AdmissionConfig) -> Bench {
        let now = Time::from_millis(1_000);
        Bench {
            admission: Admission::with_config(cfg, now),
            now,
            effects: Vec::new(),
        }
    }

    fn offer<I>(&mut self, jobs: I)
    where
        I: IntoIterator<Item = Job>,
    {
        for job in jobs {
            self.admission.offer(job, self.now, &mut self.effects);
        }
    }

    fn finish(&mut self, ticket: u64, ending: Ending) {
        self.admission
            .finish(Ticket(ticket), ending, self.now, &mut self.effects);
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now.plus(span);
        self.admission.tick(self.now, &mut self.effects);
    }

    fn started(&self) -> Vec<u64> {
        let start = |e: &Effect| match e {
            Effect::Start(ticket) => Some(ticket.0),
            _ => None,
        };
        self.effects.iter().filter_map(start).collect()
    }
}

#[test]
fn waiting_calls_start_in_order() {
    struct Case {
        name: &'static str,
        cfg: AdmissionConfig,
        wait: Duration,
        want: [u64; 4],
    }
    let full = AdmissionConfig::full(1);
    let cases = [
        Case {
            name: "priority, then age",
            cfg: full,
            wait: MS,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "newest first under standing overload",
            cfg: full,
            wait: STANDING,
            want: [0, 3, 2, 1],
        },
        Case {
            name: "sojourn control off",
            cfg: AdmissionConfig {
                sojourn_control: false,
                ..full
            },
            wait: STANDING,
            want: [0, 3, 1, 2],
        },
        Case {
            name: "priority order off",
            cfg: AdmissionConfig {
                priority_order: false,
                ..full
            },
            wait: MS,
            want: [0, 1, 2, 3],
        },
    ];
    for case in cases {
        let mut bench = Bench::new(case.cfg);
        bench.offer([lookup(0), lookup(1), lookup(2), charge(3)]);
        bench.pass(case.wait);
        for done in 0..4 {
            let running = bench.started()[done];
            bench.finish(running, Ending::Failed);
        }
        assert_eq!(bench.started(), case.want, "{}", case.name);
    }
}

#[test]
fn the_least_important_call_leaves_a_full_instance() {
    use Effect::Drop;
    use Effect::Preempt;
    use NotRunKind::Overloaded;
    struct Case {
        name: &'static str,
        preemption: bool,
        running: Job,
        waiting: Job,
        offered: Job,
        want: Effect,
    }
    let normal = |t| job(t, Priority::Normal, true);
    let cases = [
        Case {
            name: "a waiting lookup leaves for a charge",
            preemption: true,
            running: lookup(0),
            waiting: lookup(1),
            offered: charge(2),
            want: Drop(Ticket(1), Overloaded),
        },
        Case {
            name: "a running lookup leaves for a charge when only charges wait",
            preemption: true,
            running: lookup(0),
            waiting: charge(1),
            offered: charge(2),
            want: Preempt(Ticket(0)),
        },
        Case {
            name: "preemption off",
            preemption: false,
            running: lookup(0),
            waiting: charge(1),
            offered: charge(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "a running charge is not preempted",
            preemption: true,
            running: charge(0),
            waiting: charge(1),
            offered: charge(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "nothing is preempted for an idempotent call",
            preemption: true,
            running: lookup(0),
            waiting: normal(1),
            offered: normal(2),
            want: Drop(Ticket(2), Overloaded),
        },
        Case {
            name: "equal priority is not preempted",
            preemption: true,
            running: normal(0),
            waiting: job(1, Priority::Normal, false),
            offered: job(2, Priority::Normal, false),
            want: Drop(Ticket(2), Overloaded),
        },
    ];
    for case in cases {
        let mut bench = Bench::new(AdmissionConfig {
            queue: 1,
            preemption: case.preemption,
            ..AdmissionConfig::full(1)
        });
        bench.offer([case.running, case.waiting, case.offered]);
        assert_eq!(bench.effects[1..], [case.want], "{}", case.name);
        bench.offer([]);
        if case.want == Preempt(Ticket(0)) {
            bench.finish(0, Ending::Cancelled);
            bench.finish(1, Ending::Ok);
            assert_eq!(bench.started(), [0, 1, 2], "both charges keep their places");
        }
    }
}

#[test]
fn a_charge_starts_before_its_deadline_on_an_instance_full_of_lookups() {
    for preemption in [true, false] {
        let mut bench = Bench::new(AdmissionConfig {
            preemption,
            ..AdmissionConfig::full(1)
        });
        let mut urgent = charge(1);
        urgent.deadline = bench.now.plus(200 * MS);
        bench.offer([lookup(0), urgent]);
        for _ in 0..25 {
            bench.pass(10 * MS);
            if bench.effects.last() == Some(&Effect::Preempt(Ticket(0))) {
                bench.finish(0, Ending::Cancelled);
            }
        }
        let want = match preemption {
            true => Effect::Start(Ticket(1)),
            false => Effect::Drop(Ticket(1), NotRunKind::DeadlineInQueue),
        };
        assert_eq!(bench.effects.last(), Some(&want));
    }
}

#[test]
fn calls_that_cannot_meet_their_deadline_are_dropped_before_they_run() {
    for sojourn_control in [true, false] {
        let mut bench = Bench::new(AdmissionConfig {
            sojourn_control,
            ..AdmissionConfig::full(1)
        });
        bench.offer([lookup(0)]);
        bench.pass(100 * MS);
        bench.finish(0, Ending::Ok);
        let mut late = lookup(2);
        late.deadline = bench.now.plus(STANDING + 50 * MS);
        bench.offer([lookup(1), late, lookup(3)]);
        bench.pass(STANDING);
        let dropped = Effect::Drop(Ticket(2), NotRunKind::DeadlineInQueue);
        assert_eq!(bench.effects.contains(&dropped), sojourn_control);
    }
}

#[test]
fn an_exclusive_call_runs_alone_and_others_get_their_turn() {
    let alone = |t| Job {
        exclusive: true,
        ..lookup(t)
    };
    let mut bench = Bench::new(AdmissionConfig::full(4));
    bench.offer([lookup(0), lookup(1), alone(2), alone(3), lookup(4)]);
    assert_eq!(bench.started(), [0, 1]);
    bench.finish(0, Ending::Ok);
    assert_eq!(bench.started(), [0, 1]);
    bench.finish(1, Ending::Ok);
    assert_eq!(bench.started(), [0, 1, 2]);
    bench.offer([lookup(5)]);
    bench.pass(20 * MS);
    bench.finish(2, Ending::Ok);
    assert_eq!(
        bench.started(),
        [0, 1, 2, 4, 5],
        "the second waits its turn"
    );
    bench.finish(4, Ending::Ok);
    bench.finish(5, Ending::Ok);
    assert_eq!(bench.started(), [0, 1, 2, 4, 5, 3]);
}

/// Runs `windows` of saturated calls against a target and returns the limit in each.
fn limits(adaptive: bool, latency: fn(f64) -> f64, calls: u32) -> Vec<u32> {
    let mut limit = Limit::new(64, adaptive);
    let mut now = Time::ZERO;
    let mut seen = Vec::new();
    for call in 0..calls {
        let healthy = call < 256;
        let ms = match healthy {
            true => 10.0,
            false => latency(f64::from(limit.current())),
        };
        let latency = Duration::from_secs_f64(ms / 1e3);
        now = now.plus(latency / limit.current());
        limit.observe(latency, true, now);
        seen.push(limit.current());
    }
    seen
}

#[test]
fn the_limit_follows_overload_and_not_slowness() {
    struct Case {
        name: &'static str,
        adaptive: bool,
        latency: fn(f64) -> f64,
        want: std::ops::RangeInclusive<u32>,
    }
    // A target of 16 effective slots queues the rest, a slow one takes 50 ms for each call.
    let cases = [
        Case {
            name: "overloaded",
            adaptive: true,
            latency: |n| 10.0 * (n / 16.0).max(1.0),
            want: 12..=36,
        },
        Case {
            name: "overloaded, fixed limit",
            adaptive: false,
            latency: |n| 10.0 * (n / 16.0).max(1.0),
            want: 64..=64,
        },
        Case {
            name: "steadily slow",
            adaptive: true,
            latency: |_| 50.0,
            want: 64..=64,
        },
    ];
    for case in cases {
        let seen = limits(case.adaptive, case.latency, 8_000);
        let last = &seen[6_000..];
        let (low, high) = (last.iter().min().unwrap(), last.iter().max().unwrap());
        assert!(
            case.want.contains(low) && case.want.contains(high),
            "{}: {low} to {high}",
            case.name
        );
        assert!(seen.iter().all(|l| (8..=64).contains(l)), "{}", case.name);
    }
}

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
        queue: 6,
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
                    bench.finish(ticket, if ok { Ending::Ok } else { Ending::Cancelled });
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
        assert!(load.queued <= cfg.queue + cfg.slots, "queue is bounded");
    }
    while let Some(ticket) = Model::pick(&model.running, 0) {
        bench.effects.clear();
        model.running.remove(&ticket);
        bench.finish(ticket, Ending::Ok);
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
