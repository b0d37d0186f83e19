//! Tests the egress decisions: the attempts of single calls, and the bound on the extra attempts of
//! a whole call tree.

use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::ErrorKind;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::coordination::dispatch::Attempt;
use dragonflylead::coordination::dispatch::AttemptReport;
use dragonflylead::coordination::dispatch::Call;
use dragonflylead::coordination::dispatch::DispatchConfig;
use dragonflylead::coordination::dispatch::Dispatcher;
use dragonflylead::coordination::dispatch::Plan;
use dragonflylead::coordination::dispatch::Step;
use dragonflylead::coordination::routing::LocalNode;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;
use dragonflylead::instance::ServiceName;
use dragonflylead::state::calls::RunningCalls;
use dragonflylead::state::calls::SubCall;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LATENCY: Duration = Duration::from_millis(40);

fn instances(n: usize) -> Vec<Instance> {
    let instance = |i: usize| Instance {
        name: InstanceName::new(&format!("payments-{i}")),
        service: "payments".into(),
        domain: "d1".into(),
        region: "r1".into(),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
    };
    (0..n).map(instance).collect()
}

fn dispatcher(instances_known: usize, cfg: DispatchConfig) -> Dispatcher {
    let home = LocalNode {
        instance: "booking-1".into(),
        domain: "d1".into(),
        region: "r1".into(),
    };
    let dispatcher = Dispatcher::new(home, cfg, Time::ZERO);
    dispatcher.sync(&instances(instances_known), Time::ZERO);
    dispatcher
}

fn context(idempotent: bool, spare: u32) -> CallContext {
    CallContext {
        request: RequestId(5),
        priority: Priority::Low,
        idempotent,
        remaining: Duration::from_secs(2),
        spare,
        depth: 0,
        moved: false,
    }
}

fn report(result: Result<u16, ErrorKind>) -> AttemptReport<'static> {
    AttemptReport {
        result,
        used_attempts: Some(0),
        level: Some("background.127;50"),
        took: LATENCY,
        bytes: 100,
    }
}

/// What happens between two steps of a call.
#[derive(Clone, Copy)]
enum Event {
    /// The response to the attempt with this number arrives.
    Response(u32),
    /// The attempt with this number fails.
    Fail(u32, ErrorKind),
    /// This many milliseconds pass.
    Pass(u64),
}

struct Case {
    name: &'static str,
    cfg: fn(&mut DispatchConfig),
    instances: usize,
    idempotent: bool,
    spare: u32,
    excluded: Option<&'static str>,
    /// Earlier calls: how many, and the result of all their attempts.
    before: &'static [(u32, AttemptReport<'static>)],
    events: &'static [Event],
    /// Expected decisions: one word for each attempt sent and one for the last step.
    want: &'static str,
}

const CASE: Case = Case {
    name: "",
    cfg: |_| (),
    instances: 4,
    idempotent: true,
    spare: 2,
    excluded: None,
    before: &[],
    events: &[],
    want: "",
};

const LOST: ErrorKind = ErrorKind::Unknown(UnknownKind::ConnectionLost);
const CRASHED: ErrorKind = ErrorKind::Unknown(UnknownKind::TargetCrashed);
const OVERLOADED: ErrorKind = ErrorKind::NotRun(NotRunKind::Overloaded);
const UNREACHABLE: ErrorKind = ErrorKind::NotRun(NotRunKind::NoInstance);

const SUCCESS: AttemptReport<'static> = AttemptReport {
    result: Ok(200),
    used_attempts: Some(0),
    level: None,
    took: LATENCY,
    bytes: 100,
};
const SHEDDING: AttemptReport<'static> = AttemptReport {
    result: Ok(200),
    level: Some("normal.0;120"),
    ..SUCCESS
};
const BROKEN: AttemptReport<'static> = AttemptReport {
    result: Err(LOST),
    ..SUCCESS
};

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "an idempotent call is retried after a broken connection",
            events: &[Event::Fail(0, LOST)],
            want: "send send-unknown wait",
            ..CASE
        },
        Case {
            name: "a non-idempotent call is not retried after a broken connection",
            idempotent: false,
            events: &[Event::Fail(0, LOST)],
            want: "send fail-connection-lost",
            ..CASE
        },
        Case {
            name: "a non-idempotent call that was not run tries the other instances",
            idempotent: false,
            spare: 3,
            events: &[
                Event::Fail(0, OVERLOADED),
                Event::Fail(1, UNREACHABLE),
                Event::Fail(2, OVERLOADED),
                Event::Fail(3, OVERLOADED),
            ],
            want: "send send-not-run send-not-run send-not-run fail-overloaded",
            ..CASE
        },
        Case {
            name: "no retry without spare attempts",
            spare: 0,
            events: &[Event::Fail(0, LOST)],
            want: "send fail-connection-lost",
            ..CASE
        },
        Case {
            name: "no retry after a crash of the target",
            events: &[Event::Fail(0, CRASHED)],
            want: "send fail-target-crashed",
            ..CASE
        },
        Case {
            name: "an instance that refused the call is not tried again",
            instances: 1,
            events: &[Event::Fail(0, OVERLOADED)],
            want: "send fail-overloaded",
            ..CASE
        },
        Case {
            name: "a single instance is tried again after a broken connection",
            instances: 1,
            events: &[Event::Fail(0, LOST)],
            want: "send send-unknown wait",
            ..CASE
        },
        Case {
            name: "an excluded instance is not used",
            instances: 1,
            excluded: Some("payments-0"),
            want: "fail-no-instance",
            ..CASE
        },
        Case {
            name: "a slow idempotent call is hedged while the first attempt continues",
            before: &[(100, SUCCESS)],
            events: &[Event::Pass(79), Event::Pass(10), Event::Response(0)],
            want: "send wait send-slow done",
            ..CASE
        },
        Case {
            name: "a slow non-idempotent call is not hedged",
            idempotent: false,
            before: &[(100, SUCCESS)],
            events: &[Event::Pass(1_000)],
            want: "send wait",
            ..CASE
        },
        Case {
            name: "hedging is switched off",
            cfg: |cfg| cfg.hedging = false,
            before: &[(100, SUCCESS)],
            events: &[Event::Pass(1_000)],
            want: "send wait",
            ..CASE
        },
        Case {
            name: "no attempt after the deadline",
            events: &[Event::Pass(2_000), Event::Fail(0, LOST)],
            want: "send wait fail-connection-lost",
            ..CASE
        },
        Case {
            name: "a call that the admission level of the service refuses is shed",
            before: &[(100, SHEDDING)],
            want: "fail-shed",
            ..CASE
        },
        Case {
            name: "shedding is switched off",
            cfg: |cfg| cfg.shed_early = false,
            before: &[(100, SHEDDING)],
            want: "send wait",
            ..CASE
        },
        Case {
            name: "a failing service earns no retries",
            before: &[(10, BROKEN)],
            events: &[Event::Fail(0, LOST)],
            want: "send fail-connection-lost",
            ..CASE
        },
        Case {
            name: "the retry allowance is switched off",
            cfg: |cfg| cfg.allowance = false,
            before: &[(10, BROKEN)],
            events: &[Event::Fail(0, LOST)],
            want: "send send-unknown wait",
            ..CASE
        },
        Case {
            name: "a non-idempotent call that was not run needs no allowance",
            idempotent: false,
            before: &[(10, BROKEN)],
            events: &[Event::Fail(0, OVERLOADED)],
            want: "send send-not-run wait",
            ..CASE
        },
    ]
}

struct Driver {
    dispatcher: Dispatcher,
    rng: ChaCha8Rng,
    now: Time,
    log: Vec<String>,
    sent: Vec<Attempt>,
}

impl Driver {
    fn step(&mut self, plan: &mut Plan) {
        loop {
            match self.dispatcher.step(plan, self.now, &mut self.rng) {
                Step::Send(attempt) => {
                    let reason = attempt.reason.map(|r| format!("-{r}"));
                    self.log.push(format!("send{}", reason.unwrap_or_default()));
                    self.sent.push(*attempt);
                }
                Step::Wait(_) => return,
                Step::Fail(ErrorKind::NotRun(kind)) => {
                    return self.log.push(format!("fail-{kind}"));
                }
                Step::Fail(ErrorKind::Unknown(kind)) => {
                    return self.log.push(format!("fail-{kind}"));
                }
            }
        }
    }

    /// Makes a call whose attempts all end with `report`.
    fn call_before(&mut self, report: &AttemptReport<'_>) {
        let context = context(true, 1);
        let mut plan = begin(&self.dispatcher, &context, None, self.now);
        while let Step::Send(attempt) = self.dispatcher.step(&mut plan, self.now, &mut self.rng) {
            let ended = self.now.plus(report.took);
            self.dispatcher
                .record_attempt_end(&mut plan, &attempt, report, ended);
            if report.result.is_ok() {
                return;
            }
        }
    }
}

fn begin(
    dispatcher: &Dispatcher,
    context: &CallContext,
    excluded: Option<&InstanceName>,
    now: Time,
) -> Plan {
    let call = Call {
        service: &ServiceName::new("payments"),
        context,
        request_bytes: 0,
        cross_region: true,
        excluded,
    };
    dispatcher.begin(&call, now)
}

/// Plays the events of a case and returns the decisions.
fn play(case: &Case) -> String {
    let mut cfg = DispatchConfig::default();
    (case.cfg)(&mut cfg);
    let mut driver = Driver {
        dispatcher: dispatcher(case.instances, cfg),
        rng: ChaCha8Rng::seed_from_u64(3),
        now: Time::ZERO,
        log: Vec::new(),
        sent: Vec::new(),
    };
    for (times, report) in case.before {
        (0..*times).for_each(|_| driver.call_before(report));
    }
    let excluded = case.excluded.map(InstanceName::from);
    let context = context(case.idempotent, case.spare);
    let mut plan = begin(&driver.dispatcher, &context, excluded.as_ref(), driver.now);
    driver.step(&mut plan);
    for event in case.events {
        let (number, result) = match event {
            Event::Response(number) => (*number, Ok(200)),
            Event::Fail(number, kind) => (*number, Err(*kind)),
            Event::Pass(millis) => {
                driver.log.push("wait".to_owned());
                driver.now = driver.now.plus(Duration::from_millis(*millis));
                driver.step(&mut plan);
                continue;
            }
        };
        let attempt = driver.sent[number as usize].clone();
        let dispatcher = &driver.dispatcher;
        dispatcher.record_attempt_end(&mut plan, &attempt, &report(result), driver.now);
        if result.is_ok() {
            driver.log.push("done".to_owned());
            dispatcher.cancel_attempts(&mut plan, driver.now);
            let in_flight = dispatcher.with_state(|router, _| {
                let targets = router.targets(driver.now);
                targets.map(|t| t.in_flight).sum::<u32>()
            });
            assert_eq!(in_flight, 0, "{}", case.name);
            assert!(plan.used_attempts() <= case.spare, "{}", case.name);
            return driver.log.join(" ");
        }
        driver.step(&mut plan);
    }
    if plan.is_open() {
        driver.log.push("wait".to_owned());
    }
    let names: std::collections::BTreeSet<_> =
        driver.sent.iter().map(|a| &a.instance().name).collect();
    assert!(
        names.len() == driver.sent.len().min(case.instances),
        "{}",
        case.name
    );
    driver.log.join(" ")
}

#[test]
fn attempts_of_single_calls() {
    for case in cases() {
        let got = play(&case);
        let mut got: Vec<&str> = got.split(' ').collect();
        got.dedup_by(|a, b| *a == "wait" && *b == "wait");
        assert_eq!(got.join(" "), case.want, "{}", case.name);
    }
}

/// A call tree in which attempts are refused, lost or fail at random.
struct Tree {
    dispatcher: Dispatcher,
    rng: ChaCha8Rng,
    depth: u8,
    fan_out: u32,
    /// Extra attempts so far, over all calls.
    extra: u32,
}

impl Tree {
    /// Runs a call and its sub-calls. Returns the result and the spare attempts that were used.
    fn call(&mut self, context: &CallContext) -> (Result<u16, ErrorKind>, u32) {
        let mut plan = begin(&self.dispatcher, context, None, Time::ZERO);
        loop {
            match self.dispatcher.step(&mut plan, Time::ZERO, &mut self.rng) {
                Step::Send(attempt) => {
                    self.extra += u32::from(attempt.number > 0);
                    let report = self.attempt(&attempt);
                    let dispatcher = &self.dispatcher;
                    dispatcher.record_attempt_end(&mut plan, &attempt, &report, Time::ZERO);
                    if report.result.is_ok() {
                        return (report.result, plan.used_attempts());
                    }
                }
                Step::Wait(_) => unreachable!("no attempt is in flight"),
                Step::Fail(kind) => return (Err(kind), plan.used_attempts()),
            }
        }
    }

    /// Runs one attempt at the target, including its sub-calls.
    fn attempt(&mut self, attempt: &Attempt) -> AttemptReport<'static> {
        if self.rng.random_bool(0.1) {
            return report(Err(OVERLOADED));
        }
        let mut calls = RunningCalls::new();
        let deadline = Time::from_millis(2_000);
        let context = attempt.context.clone();
        let id = calls.begin(context, deadline, &mut self.rng).unwrap();
        let mut worst = Ok(200);
        let children = if attempt.context.depth < self.depth {
            self.fan_out
        } else {
            0
        };
        for _ in 0..children {
            let sub_call = SubCall {
                idempotent: true,
                timeout: Duration::from_secs(2),
                want: 3,
            };
            let lease = calls.lease(Time::ZERO, id, &sub_call).unwrap();
            let (result, spent) = self.call(&lease.context);
            calls.return_unused(lease.id, lease.context.spare.saturating_sub(spent));
            worst = worst.and(result);
        }
        let used_attempts = calls.end(Time::ZERO, id).map(|ended| ended.used_attempts);
        if self.rng.random_bool(0.2) {
            return AttemptReport {
                used_attempts: None,
                ..report(Err(LOST))
            };
        }
        let result = worst.map_err(|_| ErrorKind::Unknown(UnknownKind::AnswerTruncated));
        AttemptReport {
            used_attempts,
            ..report(result)
        }
    }
}

#[test]
fn extra_attempts_stay_within_the_budget_of_the_request() {
    struct Case {
        depth: u8,
        fan_out: u32,
        budget: u32,
    }
    let case = |depth, fan_out, budget| Case {
        depth,
        fan_out,
        budget,
    };
    let chains = (1..=20).map(|depth| case(depth, 1, 3));
    let cases = chains.chain([case(5, 3, 3), case(5, 3, 0), case(4, 3, 10)]);
    for case in cases {
        let max_extra = |cfg: &DispatchConfig| {
            let extra = |seed| {
                let mut tree = Tree {
                    dispatcher: dispatcher(4, cfg.clone()),
                    rng: ChaCha8Rng::seed_from_u64(seed),
                    depth: case.depth,
                    fan_out: case.fan_out,
                    extra: 0,
                };
                let _ = tree.call(&context(true, case.budget));
                tree.extra
            };
            (0..20).map(extra).max().unwrap_or(0)
        };
        let cfg = DispatchConfig {
            allowance: false,
            ..DispatchConfig::default()
        };
        let bounded = max_extra(&cfg);
        assert!(
            bounded <= case.budget,
            "{bounded} extra attempts at depth {}",
            case.depth
        );
        let per_hop = max_extra(&DispatchConfig {
            extra_per_hop: Some(2),
            ..cfg
        });
        let deep = case.depth >= 4;
        assert!(
            !deep || per_hop > case.budget,
            "{per_hop} extra attempts at depth {}",
            case.depth
        );
    }
}
