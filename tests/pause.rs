//! Process pauses: detection, and what waits until the views are fresh again.

use std::time::Duration;

use dragonflylead::Time;
use dragonflylead::coordination::pause::MAX_PEERS;
use dragonflylead::coordination::pause::PauseGuard;
use dragonflylead::coordination::pause::REVALIDATE_WITHIN;
use dragonflylead::coordination::pause::TICK_PERIOD;
use dragonflylead::coordination::pause::WakeUp;
use dragonflylead::instance::InstanceName;
use dragonflylead::timer::Tick;

const USED: Time = Time::from_millis(1_000);
const WAKE: Time = Time::from_millis(9_000);

enum Event {
    Tick(Time, Duration),
    Look(Time),
    Exchange(&'static str, Time),
    Gone(&'static str),
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    awaited: &'static [&'static str],
    may_send: [bool; 3],
    may_mint: bool,
}

fn late() -> Duration {
    WAKE.since(USED)
}

fn names(guard: &PauseGuard) -> Vec<&str> {
    guard.stale_peers().map(InstanceName::as_str).collect()
}

fn woken() -> Vec<Event> {
    vec![Event::Tick(WAKE, late())]
}

fn woken_then(events: Vec<Event>) -> Vec<Event> {
    woken().into_iter().chain(events).collect()
}

#[test]
fn views_are_old_until_each_peer_has_answered() {
    let after = WAKE.plus(Duration::from_millis(1));
    let base = || Case {
        name: "no pause",
        events: vec![Event::Tick(USED.plus(TICK_PERIOD), Duration::ZERO)],
        awaited: &[],
        may_send: [true, true, true],
        may_mint: true,
    };
    let cases = [
        base(),
        Case {
            name: "a tick a little late",
            events: vec![Event::Tick(USED.plus(TICK_PERIOD * 3), TICK_PERIOD * 2)],
            ..base()
        },
        Case {
            name: "just woken",
            events: woken(),
            awaited: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "a worker runs before the first tick",
            events: vec![Event::Look(WAKE)],
            awaited: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "a late tick, but the process was busy and not paused",
            events: vec![
                Event::Look(USED.plus(TICK_PERIOD * 5)),
                Event::Tick(USED.plus(TICK_PERIOD * 8), TICK_PERIOD * 7),
            ],
            ..base()
        },
        Case {
            name: "one of two answered",
            events: woken_then(vec![Event::Exchange("a", WAKE)]),
            awaited: &["b"],
            may_send: [true, false, false],
            may_mint: false,
        },
        Case {
            name: "an answer to a question from before the pause",
            events: woken_then(vec![Event::Exchange("a", USED), Event::Exchange("b", USED)]),
            awaited: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "both answered",
            events: woken_then(vec![
                Event::Exchange("a", WAKE),
                Event::Exchange("b", after),
            ]),
            awaited: &[],
            may_send: [true, true, true],
            may_mint: true,
        },
        Case {
            name: "one answered, one is gone",
            events: woken_then(vec![Event::Exchange("a", WAKE), Event::Gone("b")]),
            awaited: &[],
            may_send: [true, true, true],
            may_mint: true,
        },
        Case {
            name: "nobody answers in time: own work goes on, old peers stay unused",
            events: woken_then(vec![Event::Tick(
                WAKE.plus(REVALIDATE_WITHIN),
                Duration::ZERO,
            )]),
            awaited: &["a", "b"],
            may_send: [false, false, true],
            may_mint: true,
        },
        Case {
            name: "paused again while checking",
            events: woken_then(vec![
                Event::Exchange("a", WAKE),
                Event::Tick(WAKE.plus(late()), late()),
                Event::Exchange("b", after),
            ]),
            awaited: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
    ];
    for case in cases {
        let mut guard = PauseGuard::new();
        guard.tick(Tick {
            now: USED,
            late: Duration::ZERO,
        });
        for peer in ["a", "b"] {
            guard.record_use(USED, &InstanceName::new(peer));
        }
        case.events.iter().for_each(|event| play(&mut guard, event));
        assert_eq!(names(&guard), case.awaited, "{}", case.name);
        let may_send = ["a", "b", "new"].map(|peer| guard.may_send(&InstanceName::new(peer)));
        assert_eq!(may_send, case.may_send, "{}", case.name);
        assert_eq!(guard.may_mint(), case.may_mint, "{}", case.name);
    }
}

fn play(guard: &mut PauseGuard, event: &Event) {
    match event {
        Event::Tick(now, late) => {
            let tick = Tick {
                now: *now,
                late: *late,
            };
            guard.tick(tick);
        }
        Event::Look(now) => {
            guard.check(*now);
        }
        Event::Exchange(peer, began) => {
            guard.record_exchange(WAKE, &InstanceName::new(peer), *began)
        }
        Event::Gone(peer) => guard.remove_peer(&InstanceName::new(peer)),
    }
}

#[test]
fn a_pause_is_told_once_with_its_length() {
    let mut guard = PauseGuard::new();
    let on_time = |now| Tick {
        now,
        late: Duration::ZERO,
    };
    assert_eq!(guard.tick(on_time(USED)), None);
    let woke = WakeUp {
        now: WAKE,
        paused: late(),
    };
    assert_eq!(guard.check(WAKE), Some(woke));
    assert_eq!(guard.check(WAKE), None);
    let tick = Tick {
        now: WAKE,
        late: late(),
    };
    assert_eq!(guard.tick(tick), None);
}

#[test]
fn peers_are_bounded() {
    let mut guard = PauseGuard::new();
    for n in 0..2 * MAX_PEERS as u64 {
        guard.record_use(Time::from_micros(n), &InstanceName::new(&n.to_string()));
    }
    guard.tick(Tick {
        now: WAKE,
        late: late(),
    });
    assert_eq!(guard.stale_peers().count(), MAX_PEERS);
    assert!(!names(&guard).contains(&"0"));
}
