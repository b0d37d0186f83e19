//! Running calls: leases of spare attempts, ended and unknown contexts, limits, cancellation.

use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::call::MAX_DEPTH;
use dragonflylead::state::calls::ContextId;
use dragonflylead::state::calls::ENDED_RETENTION;
use dragonflylead::state::calls::LeaseId;
use dragonflylead::state::calls::MAX_ENDED_CONTEXTS;
use dragonflylead::state::calls::MAX_OPEN_LEASES;
use dragonflylead::state::calls::MAX_RUNNING_CALLS;
use dragonflylead::state::calls::RunningCalls;
use dragonflylead::state::calls::SubCall;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const NOW: Time = Time::from_millis(1_000);
const DEADLINE: Time = Time::from_millis(3_000);

fn rng() -> ChaCha12Rng {
    ChaCha12Rng::seed_from_u64(7)
}

fn context(request: u128, spare: u32, depth: u8) -> CallContext {
    CallContext {
        request: RequestId(request),
        priority: Priority::Critical,
        idempotent: false,
        remaining: DEADLINE.since(NOW),
        spare,
        depth,
        moved: true,
    }
}

fn sub_call(want: u32) -> SubCall {
    SubCall {
        idempotent: true,
        timeout: Duration::from_secs(10),
        want,
    }
}

fn begin(calls: &mut RunningCalls, spare: u32) -> ContextId {
    calls
        .begin(context(1, spare, 0), DEADLINE, &mut rng())
        .unwrap()
}

fn lease(calls: &mut RunningCalls, id: ContextId, want: u32) -> (LeaseId, u32) {
    let lease = calls.lease(NOW, id, &sub_call(want)).unwrap();
    (lease.id, lease.context.spare)
}

#[test]
fn used_attempts_match_the_closed_leases() {
    struct Case {
        name: &'static str,
        spare: u32,
        run: fn(&mut RunningCalls, ContextId),
        used_attempts: u32,
    }
    let cases = [
        Case {
            name: "no sub-call",
            spare: 3,
            run: |_, _| {},
            used_attempts: 0,
        },
        Case {
            name: "all returned",
            spare: 3,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                calls.return_unused(lease, granted);
            },
            used_attempts: 0,
        },
        Case {
            name: "lost response",
            spare: 3,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                assert_eq!(granted, 2);
                calls.forfeit(lease);
            },
            used_attempts: 2,
        },
        Case {
            name: "returned twice",
            spare: 3,
            run: |calls, id| {
                let (first, _) = lease(calls, id, 9);
                let (second, _) = lease(calls, id, 9);
                calls.return_unused(first, 1);
                calls.return_unused(first, 1);
                calls.forfeit(second);
            },
            used_attempts: 2,
        },
        Case {
            name: "returned after it was forfeited",
            spare: 2,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                calls.forfeit(lease);
                calls.return_unused(lease, granted);
            },
            used_attempts: 1,
        },
        Case {
            name: "more returned than granted",
            spare: 2,
            run: |calls, id| {
                let (lease, _) = lease(calls, id, 1);
                calls.return_unused(lease, 100);
                assert_eq!(calls.context(NOW, id).unwrap().spare, 2);
            },
            used_attempts: 0,
        },
        Case {
            name: "open when the call ends",
            spare: 3,
            run: |calls, id| {
                lease(calls, id, 9);
            },
            used_attempts: 2,
        },
        Case {
            name: "concurrent sub-calls until none is left",
            spare: 3,
            run: |calls, id| {
                let granted: Vec<u32> = (0..4).map(|_| lease(calls, id, 9).1).collect();
                assert_eq!(granted, [2, 1, 0, 0]);
            },
            used_attempts: 3,
        },
    ];
    for case in cases {
        let mut calls = RunningCalls::new();
        let id = begin(&mut calls, case.spare);
        (case.run)(&mut calls, id);
        assert_eq!(
            calls.end(NOW, id).unwrap().used_attempts,
            case.used_attempts,
            "{}",
            case.name
        );
    }
}

proptest! {
    /// The attempts used in a random call tree, in which responses may be lost, stay within the
    /// spare attempts of the root, and the root accounts for at least as many as were used.
    #[test]
    fn a_call_tree_never_uses_more_than_its_root_holds(
        spare in 0_u32..12,
        steps in proptest::collection::vec((any::<u8>(), 0_u32..6, any::<bool>()), 1..200),
    ) {
        let mut calls = RunningCalls::new();
        let mut rng = rng();
        let root = calls.begin(context(1, spare, 0), DEADLINE, &mut rng).unwrap();
        let mut tree = vec![(root, None)];
        let mut used = 0;
        for (at, want, lost) in steps {
            let (parent, _) = tree[usize::from(at) % tree.len()];
            let Ok(lease) = calls.lease(NOW, parent, &sub_call(want)) else { continue };
            let own_attempts = u32::from(lost).min(lease.context.spare);
            used += own_attempts;
            let mut child_context = lease.context.clone();
            child_context.spare -= own_attempts;
            let child = calls.begin(child_context, DEADLINE, &mut rng).unwrap();
            tree.push((child, Some((lease, own_attempts, lost))));
        }
        while let Some((id, Some((lease, own_attempts, lost)))) = tree.pop() {
            let counted = own_attempts + calls.end(NOW, id).unwrap().used_attempts;
            match lost {
                true => calls.forfeit(lease.id),
                false => calls.return_unused(lease.id, lease.context.spare - counted),
            }
        }
        let counted = calls.end(NOW, root).unwrap().used_attempts;
        prop_assert!(used <= counted && counted <= spare, "used {used}, counted {counted}");
    }
}

#[test]
fn sub_calls_inherit_their_context_or_are_refused() {
    struct Case {
        name: &'static str,
        depth: u8,
        timeout: Duration,
        end: bool,
        now: Time,
        want: Result<(Duration, u8), NotRunKind>,
    }
    let base = || Case {
        name: "inherits",
        depth: 3,
        timeout: Duration::from_secs(10),
        end: false,
        now: NOW,
        want: Ok((Duration::from_secs(2), 4)),
    };
    let cases = [
        base(),
        Case {
            name: "shorter timeout of the rule",
            timeout: Duration::from_millis(800),
            want: Ok((Duration::from_millis(800), 4)),
            ..base()
        },
        Case {
            name: "parent ended",
            end: true,
            want: Err(NotRunKind::ParentEnded),
            ..base()
        },
        Case {
            name: "parent's deadline passed",
            now: DEADLINE,
            want: Err(NotRunKind::ParentEnded),
            ..base()
        },
        Case {
            name: "maximum depth",
            depth: MAX_DEPTH,
            want: Err(NotRunKind::TooDeep),
            ..base()
        },
    ];
    for case in cases {
        let mut calls = RunningCalls::new();
        let id = calls
            .begin(context(1, 3, case.depth), DEADLINE, &mut rng())
            .unwrap();
        if case.end {
            calls.end(NOW, id);
        }
        let rule = SubCall {
            timeout: case.timeout,
            ..sub_call(1)
        };
        let got = calls.lease(case.now, id, &rule).map(|lease| {
            assert_eq!(lease.context.priority, Priority::Critical);
            assert!(lease.context.idempotent && !lease.context.moved);
            (lease.context.remaining, lease.context.depth)
        });
        assert_eq!(got, case.want, "{}", case.name);
    }
}

#[test]
fn malformed_and_unknown_context_ids_are_refused() {
    struct Case {
        text: &'static str,
        parses: bool,
    }
    let cases = [
        Case {
            text: "000102030405060708090a0b0c0d0e0f",
            parses: true,
        },
        Case {
            text: "+00102030405060708090a0b0c0d0e0f",
            parses: false,
        },
        Case {
            text: "00",
            parses: false,
        },
        Case {
            text: "é0102030405060708090a0b0c0d0e0f",
            parses: false,
        },
    ];
    for case in cases {
        let id = case.text.parse::<ContextId>();
        assert_eq!(id.is_ok(), case.parses, "{}", case.text);
        let Ok(id) = id else { continue };
        assert_eq!(id.to_string(), case.text);
        let mut calls = RunningCalls::new();
        begin(&mut calls, 1);
        let got = calls.lease(NOW, id, &sub_call(1));
        assert_eq!(got, Err(NotRunKind::ContextUnknown));
    }
}

#[test]
fn calls_leases_and_ended_contexts_are_bounded() {
    let mut calls = RunningCalls::new();
    let mut rng = rng();
    let ids: Vec<ContextId> = (0..MAX_RUNNING_CALLS)
        .map(|n| {
            calls
                .begin(context(n as u128, 1, 0), DEADLINE, &mut rng)
                .unwrap()
        })
        .collect();
    let over = calls.begin(context(0, 1, 0), DEADLINE, &mut rng);
    assert_eq!(over, Err(NotRunKind::Overloaded));
    for _ in 0..MAX_OPEN_LEASES {
        lease(&mut calls, ids[0], 0);
    }
    let over = calls.lease(NOW, ids[0], &sub_call(0));
    assert_eq!(over, Err(NotRunKind::Overloaded));
    for id in &ids {
        calls.end(NOW, *id);
    }
    assert!(calls.is_empty());
    for _ in 0..MAX_ENDED_CONTEXTS - 1 {
        let id = calls.begin(context(1, 1, 0), DEADLINE, &mut rng).unwrap();
        calls.end(NOW, id);
    }
    let oldest = calls.context(NOW, ids[0]);
    let newest = calls.context(NOW, ids[MAX_RUNNING_CALLS - 1]);
    assert_eq!(oldest, Err(NotRunKind::ContextUnknown));
    assert_eq!(newest, Err(NotRunKind::ParentEnded));
    let later = NOW.plus(ENDED_RETENTION);
    let id = calls.begin(context(1, 1, 0), DEADLINE, &mut rng).unwrap();
    calls.end(later, id);
    let newest = calls.context(later, ids[MAX_RUNNING_CALLS - 1]);
    assert_eq!(newest, Err(NotRunKind::ContextUnknown));
}

#[test]
fn sub_calls_of_a_request_are_found_for_cancellation() {
    let mut calls = RunningCalls::new();
    let mut rng = rng();
    let id = calls.begin(context(1, 3, 0), DEADLINE, &mut rng).unwrap();
    let other = calls.begin(context(2, 3, 0), DEADLINE, &mut rng).unwrap();
    let (first, _) = lease(&mut calls, id, 1);
    let (closed, _) = lease(&mut calls, id, 1);
    let (second, _) = lease(&mut calls, id, 1);
    lease(&mut calls, other, 1);
    calls.forfeit(closed);
    assert_eq!(calls.of_request(RequestId(1)), [id]);
    assert_eq!(calls.sub_calls_of(RequestId(1)), [first, second]);
    assert_eq!(calls.overdue(NOW), []);
    assert_eq!(calls.overdue(DEADLINE).len(), 2);
    assert_eq!(calls.end(NOW, id).unwrap().open, [first, second]);
    assert_eq!(calls.sub_calls_of(RequestId(1)), []);
    assert_eq!(calls.end(NOW, id), None);
}
