//! Choice of the connections of callers that are closed when memory or descriptors run short.

use std::time::Duration;

use dragonflylead::coordination::caller_eviction;
use dragonflylead::coordination::caller_eviction::Activity;
use dragonflylead::coordination::caller_eviction::CallerState;

const KB: usize = 1024;

fn state(activity: Activity, held: usize, age_ms: u64, stalled_ms: u64) -> CallerState {
    CallerState {
        activity,
        held,
        age: Duration::from_millis(age_ms),
        stalled_for: Duration::from_millis(stalled_ms),
        transferred: 100 * KB as u64 * age_ms / 1_000,
        requests: 1,
    }
}

struct MemoryCase {
    name: &'static str,
    callers: Vec<CallerState>,
    bytes: usize,
    chosen: &'static [usize],
}

#[test]
fn memory_is_freed_by_those_that_hold_most_without_progress() {
    use Activity::Receiving;
    use Activity::Running;
    use Activity::Sending;
    let trickling = CallerState {
        transferred: 2_000,
        ..state(Receiving, 9 * KB, 4_000, 100)
    };
    let cases = [
        MemoryCase {
            name: "transfers that make progress are never chosen",
            callers: vec![
                state(Receiving, 900 * KB, 5_000, 400),
                state(Sending, 900 * KB, 5_000, 400),
            ],
            bytes: KB,
            chosen: &[],
        },
        MemoryCase {
            name: "requests that run are never chosen",
            callers: vec![state(Running, 900 * KB, 5_000, 5_000)],
            bytes: KB,
            chosen: &[],
        },
        MemoryCase {
            name: "most bytes for longest first, and no more than needed",
            callers: vec![
                state(Receiving, 10 * KB, 1_000, 800),
                state(Receiving, 100 * KB, 1_000, 800),
                state(Sending, 60 * KB, 2_000, 1_500),
            ],
            bytes: 150 * KB,
            chosen: &[2, 1],
        },
        MemoryCase {
            name: "a request that trickles in counts as stalled",
            callers: vec![trickling, state(Receiving, 9 * KB, 4_000, 100)],
            bytes: KB,
            chosen: &[0],
        },
    ];
    for case in cases {
        let callers: Vec<(usize, CallerState)> = case.callers.into_iter().enumerate().collect();
        let chosen = caller_eviction::choose_for_memory(&callers, case.bytes);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

struct DescriptorCase {
    name: &'static str,
    callers: Vec<CallerState>,
    chosen: Option<usize>,
}

#[test]
fn a_descriptor_is_freed_by_those_that_never_asked_for_anything() {
    use Activity::Idle;
    use Activity::Receiving;
    use Activity::Running;
    let new = |activity, age_ms, stalled_ms| CallerState {
        requests: 0,
        ..state(activity, 0, age_ms, stalled_ms)
    };
    let cases = [
        DescriptorCase {
            name: "never a request before one that had been served",
            callers: vec![
                state(Idle, 0, 9_000, 9_000),
                new(Idle, 100, 100),
                new(Idle, 500, 500),
            ],
            chosen: Some(2),
        },
        DescriptorCase {
            name: "half a request before an idle caller that had been served",
            callers: vec![state(Idle, 0, 9_000, 9_000), new(Receiving, 800, 700)],
            chosen: Some(1),
        },
        DescriptorCase {
            name: "the longest idle of those that had been served",
            callers: vec![state(Idle, 0, 10, 10), state(Idle, 0, 20, 20)],
            chosen: Some(1),
        },
        DescriptorCase {
            name: "no request that is run or makes progress",
            callers: vec![
                state(Running, 0, 9_000, 9_000),
                state(Receiving, 0, 9_000, 100),
            ],
            chosen: None,
        },
    ];
    for case in cases {
        let callers: Vec<(usize, CallerState)> = case.callers.into_iter().enumerate().collect();
        let chosen = caller_eviction::choose_for_descriptor(&callers);
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}
