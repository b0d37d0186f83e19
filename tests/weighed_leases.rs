//! Comparison of lease sizes for docs/design/routing.md: how many of the spare attempts an attempt
//! should pass on to its subtree. Run with `cargo test --test weighed_leases`.

use std::fmt::Write as _;
use std::time::Duration;

use dragonflylead::CallContext;
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
use dragonflylead::coordination::dispatch::LeaseSize;
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

const REQUESTS: u32 = 2_000;
const SPARE: u32 = 3;
const NOW: Time = Time::ZERO;

/// A chain of calls in which attempts are refused, and their responses lost, with given
/// probabilities.
struct CallChain {
    dispatcher: Dispatcher,
    rng: ChaCha8Rng,
    depth: u8,
    refusal_rate: f64,
    loss_rate: f64,
    attempts: u64,
}

impl CallChain {
    fn new(lease: LeaseSize, depth: u8, refusal_rate: f64, loss_rate: f64) -> CallChain {
        let home = LocalNode {
            instance: "own".into(),
            domain: "d1".into(),
            region: "r1".into(),
        };
        let mut cfg = DispatchConfig {
            lease,
            allowance: false,
            ..DispatchConfig::default()
        };
        cfg.routing.ejection.enabled = false;
        let dispatcher = Dispatcher::new(home, cfg, NOW);
        let instance = |i: usize| Instance {
            name: InstanceName::new(&format!("payments-{i}")),
            service: "payments".into(),
            domain: "d1".into(),
            region: "r1".into(),
            ingress: "127.0.0.1:1".parse().unwrap(),
            peer: "127.0.0.1:2".parse().unwrap(),
            state: InstanceState::Live,
        };
        dispatcher.sync(&(0..4).map(instance).collect::<Vec<_>>(), NOW);
        CallChain {
            dispatcher,
            rng: ChaCha8Rng::seed_from_u64(9),
            depth,
            refusal_rate,
            loss_rate,
            attempts: 0,
        }
    }

    /// Makes a call. Returns whether it succeeded and the number of spare attempts that it used.
    fn call(&mut self, context: &CallContext) -> (bool, u32) {
        let call = Call {
            service: &ServiceName::new("payments"),
            context,
            request_bytes: 0,
            cross_region: true,
            excluded: None,
        };
        let mut plan = self.dispatcher.begin(&call, NOW);
        while let Step::Send(attempt) = self.dispatcher.step(&mut plan, NOW, &mut self.rng) {
            let report = self.attempt(&attempt);
            self.dispatcher
                .record_attempt_end(&mut plan, &attempt, &report, NOW);
            if let Ok(status) = report.result {
                return (status == 200, plan.used_attempts());
            }
        }
        (false, plan.used_attempts())
    }

    /// Runs an attempt. A target whose sub-call failed answers with status 500, which is a complete
    /// response and therefore not retried.
    fn attempt(&mut self, attempt: &Attempt) -> AttemptReport<'static> {
        let report = |result, used_attempts| AttemptReport {
            result,
            used_attempts,
            level: None,
            took: Duration::from_millis(5),
            bytes: 100,
        };
        if self.rng.random_bool(self.refusal_rate) {
            return report(Err(NotRunKind::Overloaded.into()), Some(0));
        }
        self.attempts += 1;
        let mut calls = RunningCalls::new();
        let deadline = Time::from_millis(2_000);
        let context = attempt.context.clone();
        let id = calls.begin(context, deadline, &mut self.rng).unwrap();
        let mut status = 200;
        if attempt.context.depth < self.depth {
            let sub_call = SubCall {
                idempotent: true,
                timeout: Duration::from_secs(2),
                want: SPARE,
            };
            let lease = calls.lease(NOW, id, &sub_call).unwrap();
            let (succeeded, used) = self.call(&lease.context);
            calls.return_unused(lease.id, lease.context.spare.saturating_sub(used));
            status = if succeeded { 200 } else { 500 };
        }
        let spent = calls.end(NOW, id).map(|ended| ended.used_attempts);
        if self.rng.random_bool(self.loss_rate) {
            return report(Err(UnknownKind::ConnectionLost.into()), None);
        }
        report(Ok(status), spent)
    }

    /// Returns the percentage of successful requests and the mean number of attempts per request.
    fn run(mut self) -> (f64, f64) {
        let context = CallContext {
            request: RequestId(5),
            priority: Priority::Low,
            idempotent: true,
            remaining: Duration::from_secs(2),
            spare: SPARE,
            depth: 0,
            moved: false,
        };
        let succeeded = (0..REQUESTS).filter(|_| self.call(&context).0).count();
        let share = succeeded as f64 * 100.0 / f64::from(REQUESTS);
        (share, self.attempts as f64 / f64::from(REQUESTS))
    }
}

#[test]
fn leases() {
    let mut table = String::new();
    let leases = [
        LeaseSize::None,
        LeaseSize::HalfDown,
        LeaseSize::HalfUp,
        LeaseSize::All,
    ];
    for (depth, refusal_rate, loss_rate) in [
        (3, 0.1, 0.0),
        (3, 0.0, 0.03),
        (19, 0.03, 0.0),
        (19, 0.0, 0.01),
    ] {
        for lease in leases {
            let (success_percent, attempts) =
                CallChain::new(lease, depth, refusal_rate, loss_rate).run();
            let _ = writeln!(
                table,
                "| {} | {refusal_rate} | {loss_rate} | {lease:?} | {success_percent:.1}% | {attempts:.2} |",
                depth + 1
            );
        }
    }
    insta::assert_snapshot!(table);
}
