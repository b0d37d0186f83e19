//! Running calls: exact leases, ended and unknown contexts, bounded memory, cancellation.

use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::call::MAX_DEPTH;
use dragonflylead::state::calls::ContextId;
use dragonflylead::state::calls::ENDED_KEPT;
use dragonflylead::state::calls::LeaseId;
use dragonflylead::state::calls::MAX_ENDED;
use dragonflylead::state::calls::MAX_OPEN_LEASES;
use dragonflylead::state::calls::MAX_RUNNING;
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
fn leases_are_taken_exactly_from_the_remainder() {
    struct Case {
        name: &'static str,
        spare: u32,
        run: fn(&mut RunningCalls, ContextId),
        spent: u32,
    }
    let cases = [
        Case {
            name: "no sub-call",
            spare: 3,
            run: |_, _| {},
            spent: 0,
        },
        Case {
            name: "all given back",
            spare: 3,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                calls.return_unused(lease, granted);
            },
            spent: 0,
        },
        Case {
            name: "lost answer",
            spare: 3,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                assert_eq!(granted, 2);
                calls.forfeit(lease);
            },
            spent: 2,
        },
        Case {
            name: "given back twice",
            spare: 3,
            run: |calls, id| {
                let (first, _) = lease(calls, id, 9);
                let (second, _) = lease(calls, id, 9);
                calls.return_unused(first, 1);
                calls.return_unused(first, 1);
                calls.forfeit(second);
            },
            spent: 2,
        },
        Case {
            name: "given back after it was lost",
            spare: 2,
            run: |calls, id| {
                let (lease, granted) = lease(calls, id, 9);
                calls.forfeit(lease);
                calls.return_unused(lease, granted);
            },
            spent: 1,
        },
        Case {
            name: "more given back than granted",
            spare: 2,
            run: |calls, id| {
                let (lease, _) = lease(calls, id, 1);
                calls.return_unused(lease, 100);
                assert_eq!(calls.context(NOW, id).unwrap().spare, 2);
            },
            spent: 0,
        },
        Case {
            name: "open at the end",
            spare: 3,
            run: |calls, id| {
                lease(calls, id, 9);
            },
            spent: 2,
        },
        Case {
            name: "side by side until none is left",
            spare: 3,
            run: |calls, id| {
                let granted: Vec<u32> = (0..4).map(|_| lease(calls, id, 9).1).collect();
                assert_eq!(granted, [2, 1, 0, 0]);
            },
            spent: 3,
        },
    ];
    for case in cases {
        let mut calls = RunningCalls::new();
        let id = begin(&mut calls, case.spare);
        (case.run)(&mut calls, id);
        assert_eq!(
            calls.end(NOW, id).unwrap().spent,
            case.spent,
            "{}",
            case.name
        );
    }
}

proptest! {
    #[test]
    fn a_chain_never_spends_more_than_its_root_holds(
        spare in 0_u32..12,
        steps in proptest::collection::vec((any::<u8>(), 0_u32..6, any::<bool>()), 1..200),
    ) {
        let mut calls = RunningCalls::new();
        let mut rng = rng();
        let root = calls.begin(context(1, spare, 0), DEADLINE, &mut rng).unwrap();
        let mut nodes = vec![(root, None)];
        let mut used = 0;
        for (at, want, lost) in steps {
            let (parent, _) = nodes[usize::from(at) % nodes.len()];
            let Ok(lease) = calls.lease(NOW, parent, &sub_call(want)) else { continue };
            let own = u32::from(lost).min(lease.context.spare);
            used += own;
            let mut below = lease.context.clone();
            below.spare -= own;
            let child = calls.begin(below, DEADLINE, &mut rng).unwrap();
            nodes.push((child, Some((lease, own, lost))));
        }
        while let Some((id, Some((lease, own, lost)))) = nodes.pop() {
            let spent = own + calls.end(NOW, id).unwrap().spent;
            match lost {
                true => calls.forfeit(lease.id),
                false => calls.return_unused(lease.id, lease.context.spare - spent),
            }
        }
        let spent = calls.end(NOW, root).unwrap().spent;
        prop_assert!(used <= spent && spent <= spare, "used {used}, spent {spent}");
    }
}

#[test]
fn sub_calls_inherit_and_are_refused() {
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
            name: "shorter rule",
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
            name: "too deep",
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
fn context_headers_are_checked() {
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
fn memory_is_bounded() {
    let mut calls = RunningCalls::new();
    let mut rng = rng();
    let ids: Vec<ContextId> = (0..MAX_RUNNING)
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
    for _ in 0..MAX_ENDED - 1 {
        let id = calls.begin(context(1, 1, 0), DEADLINE, &mut rng).unwrap();
        calls.end(NOW, id);
    }
    let oldest = calls.context(NOW, ids[0]);
    let newest = calls.context(NOW, ids[MAX_RUNNING - 1]);
    assert_eq!(oldest, Err(NotRunKind::ContextUnknown));
    assert_eq!(newest, Err(NotRunKind::ParentEnded));
    let later = NOW.plus(ENDED_KEPT);
    let id = calls.begin(context(1, 1, 0), DEADLINE, &mut rng).unwrap();
    calls.end(later, id);
    let newest = calls.context(later, ids[MAX_RUNNING - 1]);
    assert_eq!(newest, Err(NotRunKind::ContextUnknown));
}

#[test]
fn a_cancelled_request_names_its_children() {
    let mut calls = RunningCalls::new();
    let mut rng = rng();
    let own = calls.begin(context(1, 3, 0), DEADLINE, &mut rng).unwrap();
    let other = calls.begin(context(2, 3, 0), DEADLINE, &mut rng).unwrap();
    let (first, _) = lease(&mut calls, own, 1);
    let (closed, _) = lease(&mut calls, own, 1);
    let (second, _) = lease(&mut calls, own, 1);
    lease(&mut calls, other, 1);
    calls.forfeit(closed);
    assert_eq!(calls.of_request(RequestId(1)), [own]);
    assert_eq!(calls.sub_calls_of(RequestId(1)), [first, second]);
    assert_eq!(calls.overdue(NOW), []);
    assert_eq!(calls.overdue(DEADLINE).len(), 2);
    assert_eq!(calls.end(NOW, own).unwrap().open, [first, second]);
    assert_eq!(calls.sub_calls_of(RequestId(1)), []);
    assert_eq!(calls.end(NOW, own), None);
}
