//! Shared types: outcomes, hop signatures, lock order, timers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dragonflylead::CallContext;
use dragonflylead::NotRunKind;
use dragonflylead::Outcome;
use dragonflylead::Priority;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use dragonflylead::protocol::hop::HOP_VERSION;
use dragonflylead::protocol::hop::Hop;
use dragonflylead::protocol::hop::HopError;
use dragonflylead::protocol::hop::Keyring;
use dragonflylead::state::LockRank;
use dragonflylead::state::OrderedMutex;
use dragonflylead::timer::TimerService;

#[test]
fn outcomes_merge() {
    struct Case {
        first: Outcome<u8>,
        later: Outcome<u8>,
        want: Outcome<u8>,
    }
    let not_run = Outcome::NotRun(NotRunKind::Draining);
    let unknown = Outcome::Unknown(UnknownKind::Deadline);
    let cases = [
        Case {
            first: not_run.clone(),
            later: not_run.clone(),
            want: not_run.clone(),
        },
        Case {
            first: not_run.clone(),
            later: unknown.clone(),
            want: unknown.clone(),
        },
        Case {
            first: unknown.clone(),
            later: not_run.clone(),
            want: unknown.clone(),
        },
        Case {
            first: unknown,
            later: Outcome::Completed(1),
            want: Outcome::Completed(1),
        },
        Case {
            first: Outcome::Completed(1),
            later: not_run,
            want: Outcome::Completed(1),
        },
    ];
    for case in cases {
        assert_eq!(case.first.merge(case.later), case.want);
    }
}

fn hop() -> Hop {
    Hop {
        version: HOP_VERSION,
        from: InstanceName::new("booking-1"),
        to: InstanceName::new("payments-1"),
        incarnation: Incarnation(7),
        attempt: 1,
        context: CallContext {
            request: RequestId(42),
            priority: Priority::Critical,
            idempotent: false,
            remaining: Duration::from_millis(1_500),
            spare: 2,
            depth: 1,
            moved: false,
        },
    }
}

#[test]
fn hop_headers_are_verified() {
    struct Case {
        name: &'static str,
        change: fn(String) -> String,
        want: Result<(), HopError>,
    }
    let cases = [
        Case {
            name: "genuine",
            change: |text| text,
            want: Ok(()),
        },
        Case {
            name: "more spare attempts",
            change: |text| text.replace("\"spare\":2", "\"spare\":9"),
            want: Err(HopError::BadSignature),
        },
        Case {
            name: "no dot",
            change: |_| "abc".into(),
            want: Err(HopError::Malformed),
        },
        Case {
            name: "not hex",
            change: |_| "zz.{}".into(),
            want: Err(HopError::Malformed),
        },
        Case {
            name: "multibyte",
            change: |_| "é1.{}".into(),
            want: Err(HopError::Malformed),
        },
    ];
    let keys = Keyring::new("secret", None);
    for case in cases {
        let text = (case.change)(keys.sign(&hop()));
        assert_eq!(keys.verify(&text).map(|_| ()), case.want, "{}", case.name);
    }
    let rotated = Keyring::new("newer", Some("secret"));
    assert_eq!(rotated.verify(&keys.sign(&hop())), Ok(hop()));
    assert_eq!(
        keys.verify(&rotated.sign(&hop())),
        Err(HopError::BadSignature)
    );
}

#[test]
#[cfg(debug_assertions)]
#[should_panic(expected = "out of order")]
fn locking_downwards_panics() {
    let calls = OrderedMutex::new(LockRank::Calls, ());
    let admission = OrderedMutex::new(LockRank::Admission, ());
    let _held = admission.lock();
    let _wrong = calls.lock();
}

#[test]
fn timers_run_in_virtual_time() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let sink = seen.clone();
    let mut timers = TimerService::new();
    timers.subscribe(Time::ZERO, Duration::from_millis(10), move |tick| {
        sink.lock()
            .unwrap()
            .push((tick.now.micros(), tick.after_pause()));
    });
    assert_eq!(timers.next_due(), Some(Time::from_millis(10)));
    timers.advance(Time::from_millis(9));
    timers.advance(Time::from_millis(10));
    timers.advance(Time::from_millis(900));
    assert_eq!(*seen.lock().unwrap(), [(10_000, false), (900_000, true)]);
}
