//! Simulations behind the tables of docs/design/retry-budget.md: attempts in a deep call chain, and
//! leases under fan-out. Run with `cargo test --test weighed_retries`.

use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::call::DEFAULT_SPARE_ATTEMPTS;
use dragonflylead::state::calls::RunningCalls;
use dragonflylead::state::calls::SubCall;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const NOW: Time = Time::from_millis(1);
const DEADLINE: Time = Time::from_millis(3_000);
const REQUESTS: u32 = 10_000;
const FAN_OUT: usize = 4;

fn context(spare: u32, depth: u8) -> CallContext {
    CallContext {
        request: RequestId(1),
        priority: Priority::Normal,
        idempotent: true,
        remaining: DEADLINE.since(NOW),
        spare,
        depth,
        moved: false,
    }
}

/// Calls a chain whose deepest service always fails. Returns the attempts at that service and the
/// spare attempts that were used.
fn failing_chain(depth: u8, context: CallContext, rng: &mut ChaCha12Rng) -> (u64, u32) {
    if context.depth == depth {
        return (1, 0);
    }
    let mut calls = RunningCalls::new();
    let id = calls.begin(context, DEADLINE, rng).unwrap();
    let sub_call = SubCall {
        idempotent: true,
        timeout: Duration::from_secs(2),
        want: u32::MAX,
    };
    let lease = calls.lease(NOW, id, &sub_call).unwrap();
    let mut left = lease.context.spare;
    let mut attempts = 0;
    loop {
        let mut attempt = lease.context.clone();
        attempt.spare = left;
        let (below, spent) = failing_chain(depth, attempt, rng);
        attempts += below;
        left -= spent;
        if left == 0 {
            break;
        }
        left -= 1;
    }
    calls.return_unused(lease.id, left);
    (attempts, calls.end(NOW, id).unwrap().spent)
}

#[test]
fn attempts_at_the_deepest_service() {
    let mut rng = ChaCha12Rng::seed_from_u64(2);
    let mut table = format!(
        "{:>5} {:>16} {:>14}\n",
        "depth", "3 tries per hop", "leased spares"
    );
    for depth in [1, 2, 4, 8, 20] {
        let root = context(DEFAULT_SPARE_ATTEMPTS, 0);
        let (attempts, spent) = failing_chain(depth, root, &mut rng);
        assert_eq!(attempts, 1 + u64::from(spent));
        assert!(spent <= DEFAULT_SPARE_ATTEMPTS);
        let tries = 3_u64.pow(u32::from(depth));
        table += &format!("{depth:>5} {tries:>16} {attempts:>14}\n");
    }
    insta::assert_snapshot!(table);
}

/// Returns whether a sub-call succeeds within one attempt and `spare` retries, each failing with
/// probability `failing`.
fn succeeds(spare: u32, failing: f64, rng: &mut ChaCha12Rng) -> bool {
    (0..=spare).any(|_| !rng.random_bool(failing))
}

#[test]
fn leases_of_concurrent_sub_calls() {
    let mut rng = ChaCha12Rng::seed_from_u64(2);
    let mut table = format!(
        "{:>9} {:>12} {:>12}   whole requests of {REQUESTS}, {FAN_OUT} sub-calls each\n",
        "failing", "lease all", "lease half"
    );
    for failing in [0.01, 0.05, 0.2] {
        let mut all = 0;
        let mut half = 0;
        for _ in 0..REQUESTS {
            let spare = DEFAULT_SPARE_ATTEMPTS;
            let granted = [spare, 0, 0, 0];
            all += u32::from(granted.iter().all(|g| succeeds(*g, failing, &mut rng)));
            let mut left = spare;
            let granted = [(); FAN_OUT].map(|()| {
                let part = left.div_ceil(2);
                left -= part;
                part
            });
            half += u32::from(granted.iter().all(|g| succeeds(*g, failing, &mut rng)));
        }
        table += &format!("{failing:>9} {all:>12} {half:>12}\n");
    }
    insta::assert_snapshot!(table);
}
