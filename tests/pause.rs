//! Process pauses: detection, and restrictions on sending and minting until revalidation ends.

use std::time::Duration;

use dragonflylead::Time;
use dragonflylead::coordination::pause::MAX_PEERS;
use dragonflylead::coordination::pause::PauseGuard;
use dragonflylead::coordination::pause::REVALIDATION_TIMEOUT;
use dragonflylead::coordination::pause::TICK_PERIOD;
use dragonflylead::coordination::pause::WakeUp;
use dragonflylead::instance::InstanceName;
use dragonflylead::timer::Tick;

const LAST_USE: Time = Time::from_millis(1_000);
const WAKE: Time = Time::from_millis(9_000);

enum Event {
    Tick(Time, Duration),
    Check(Time),
    Exchange(&'static str, Time),
    PeerRemoved(&'static str),
}

struct Case {
    name: &'static str,
    events: Vec<Event>,
    stale_peers: &'static [&'static str],
    may_send: [bool; 3],
    may_mint: bool,
}

fn pause_duration() -> Duration {
    WAKE.since(LAST_USE)
}

fn stale_names(guard: &PauseGuard) -> Vec<&str> {
    guard.stale_peers().map(InstanceName::as_str).collect()
}

fn wake_up() -> Vec<Event> {
    vec![Event::Tick(WAKE, pause_duration())]
}

fn wake_up_then(events: Vec<Event>) -> Vec<Event> {
    wake_up().into_iter().chain(events).collect()
}

#[test]
fn peers_are_stale_until_an_exchange_after_the_pause() {
    let after = WAKE.plus(Duration::from_millis(1));
    let base = || Case {
        name: "no pause",
        events: vec![Event::Tick(LAST_USE.plus(TICK_PERIOD), Duration::ZERO)],
        stale_peers: &[],
        may_send: [true, true, true],
        may_mint: true,
    };
    let cases = [
        base(),
        Case {
            name: "a tick that is slightly late",
            events: vec![Event::Tick(LAST_USE.plus(TICK_PERIOD * 3), TICK_PERIOD * 2)],
            ..base()
        },
        Case {
            name: "immediately after the wake-up",
            events: wake_up(),
            stale_peers: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "a worker runs before the first tick",
            events: vec![Event::Check(WAKE)],
            stale_peers: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "a late tick of a process that was busy but not paused",
            events: vec![
                Event::Check(LAST_USE.plus(TICK_PERIOD * 5)),
                Event::Tick(LAST_USE.plus(TICK_PERIOD * 8), TICK_PERIOD * 7),
            ],
            ..base()
        },
        Case {
            name: "an exchange with one of two peers",
            events: wake_up_then(vec![Event::Exchange("a", WAKE)]),
            stale_peers: &["b"],
            may_send: [true, false, false],
            may_mint: false,
        },
        Case {
            name: "exchanges that began before the pause",
            events: wake_up_then(vec![
                Event::Exchange("a", LAST_USE),
                Event::Exchange("b", LAST_USE),
            ]),
            stale_peers: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
        Case {
            name: "exchanges with both peers",
            events: wake_up_then(vec![
                Event::Exchange("a", WAKE),
                Event::Exchange("b", after),
            ]),
            stale_peers: &[],
            may_send: [true, true, true],
            may_mint: true,
        },
        Case {
            name: "an exchange with one peer, the other is removed",
            events: wake_up_then(vec![Event::Exchange("a", WAKE), Event::PeerRemoved("b")]),
            stale_peers: &[],
            may_send: [true, true, true],
            may_mint: true,
        },
        Case {
            name: "no exchange before the timeout: minting resumes, stale peers stay excluded",
            events: wake_up_then(vec![Event::Tick(
                WAKE.plus(REVALIDATION_TIMEOUT),
                Duration::ZERO,
            )]),
            stale_peers: &["a", "b"],
            may_send: [false, false, true],
            may_mint: true,
        },
        Case {
            name: "another pause during revalidation",
            events: wake_up_then(vec![
                Event::Exchange("a", WAKE),
                Event::Tick(WAKE.plus(pause_duration()), pause_duration()),
                Event::Exchange("b", after),
            ]),
            stale_peers: &["a", "b"],
            may_send: [false, false, false],
            may_mint: false,
        },
    ];
    for case in cases {
        let mut guard = PauseGuard::new();
        guard.tick(Tick {
            now: LAST_USE,
            late: Duration::ZERO,
        });
        for peer in ["a", "b"] {
            guard.record_use(LAST_USE, &InstanceName::new(peer));
        }
        case.events
            .iter()
            .for_each(|event| apply(&mut guard, event));
        assert_eq!(stale_names(&guard), case.stale_peers, "{}", case.name);
        let may_send = ["a", "b", "new"].map(|peer| guard.may_send(&InstanceName::new(peer)));
        assert_eq!(may_send, case.may_send, "{}", case.name);
        assert_eq!(guard.may_mint(), case.may_mint, "{}", case.name);
    }
}

fn apply(guard: &mut PauseGuard, event: &Event) {
    match event {
        Event::Tick(now, late) => {
            let tick = Tick {
                now: *now,
                late: *late,
            };
            guard.tick(tick);
        }
        Event::Check(now) => {
            guard.check(*now);
        }
        Event::Exchange(peer, began) => {
            guard.record_exchange(WAKE, &InstanceName::new(peer), *began)
        }
        Event::PeerRemoved(peer) => guard.remove_peer(&InstanceName::new(peer)),
    }
}

#[test]
fn a_pause_is_reported_once_with_its_duration() {
    let mut guard = PauseGuard::new();
    let on_time = |now| Tick {
        now,
        late: Duration::ZERO,
    };
    assert_eq!(guard.tick(on_time(LAST_USE)), None);
    let expected = WakeUp {
        now: WAKE,
        paused: pause_duration(),
    };
    assert_eq!(guard.check(WAKE), Some(expected));
    assert_eq!(guard.check(WAKE), None);
    let tick = Tick {
        now: WAKE,
        late: pause_duration(),
    };
    assert_eq!(guard.tick(tick), None);
}

#[test]
fn tracked_peers_are_bounded() {
    let mut guard = PauseGuard::new();
    for n in 0..2 * MAX_PEERS as u64 {
        guard.record_use(Time::from_micros(n), &InstanceName::new(&n.to_string()));
    }
    guard.tick(Tick {
        now: WAKE,
        late: pause_duration(),
    });
    assert_eq!(guard.stale_peers().count(), MAX_PEERS);
    assert!(!stale_names(&guard).contains(&"0"));
}
