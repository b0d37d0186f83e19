//! Tests which errors may be retried, the retry allowance of services, the detection of resent
//! requests and request fingerprints.

use dragonflylead::ErrorKind;
use dragonflylead::Fingerprint;
use dragonflylead::NotRunKind;
use dragonflylead::RequestId;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::coordination::retries::INITIAL_RETRIES;
use dragonflylead::coordination::retries::MAX_REQUEST_IDS;
use dragonflylead::coordination::retries::MAX_RETRIES;
use dragonflylead::coordination::retries::MAX_SERVICES;
use dragonflylead::coordination::retries::REQUEST_ID_TTL;
use dragonflylead::coordination::retries::RequestIdMatch;
use dragonflylead::coordination::retries::RetryAllowance;
use dragonflylead::coordination::retries::SeenRequests;
use dragonflylead::coordination::retries::entry_spare_attempts;
use dragonflylead::coordination::retries::may_retry;
use dragonflylead::fingerprint::RequestParts;
use dragonflylead::instance::ServiceName;
use dragonflylead::protocol::error_response::error_response;
use dragonflylead::protocol::header::is_fingerprinted;
use strum::IntoEnumIterator;

#[test]
fn calls_are_retried_only_where_it_is_safe() {
    struct Case {
        kind: ErrorKind,
        idempotent: bool,
        non_idempotent: bool,
    }
    let cases = [
        Case {
            kind: NotRunKind::Draining.into(),
            idempotent: true,
            non_idempotent: true,
        },
        Case {
            kind: NotRunKind::Overloaded.into(),
            idempotent: true,
            non_idempotent: true,
        },
        Case {
            kind: NotRunKind::Shed.into(),
            idempotent: false,
            non_idempotent: false,
        },
        Case {
            kind: NotRunKind::Quarantined.into(),
            idempotent: false,
            non_idempotent: false,
        },
        Case {
            kind: UnknownKind::ConnectionLost.into(),
            idempotent: true,
            non_idempotent: false,
        },
        Case {
            kind: UnknownKind::Preempted.into(),
            idempotent: true,
            non_idempotent: false,
        },
        Case {
            kind: UnknownKind::TargetCrashed.into(),
            idempotent: false,
            non_idempotent: false,
        },
    ];
    for case in cases {
        assert_eq!(
            may_retry(true, case.kind),
            case.idempotent,
            "{:?}",
            case.kind
        );
        assert_eq!(
            may_retry(false, case.kind),
            case.non_idempotent,
            "{:?}",
            case.kind
        );
    }
    for kind in UnknownKind::iter().map(ErrorKind::from) {
        assert!(!may_retry(false, kind), "{kind:?}");
        assert_eq!(error_response(kind).try_other, kind.try_other());
    }
}

#[test]
fn a_failing_service_receives_only_its_allowance() {
    struct Case {
        name: &'static str,
        successes: u64,
        failures: u64,
        retries: u64,
    }
    let cases = [
        Case {
            name: "fails from the start",
            successes: 0,
            failures: 10_000,
            retries: INITIAL_RETRIES,
        },
        Case {
            name: "fails after some successes",
            successes: 50,
            failures: 10_000,
            retries: INITIAL_RETRIES + 5,
        },
        Case {
            name: "fails after many successes",
            successes: 1_000_000,
            failures: 10_000,
            retries: MAX_RETRIES,
        },
    ];
    let service = ServiceName::new("sanidad");
    for case in cases {
        let mut allowance = RetryAllowance::new();
        (0..case.successes).for_each(|_| allowance.record_success(&service));
        let retries = (0..case.failures)
            .filter(|_| allowance.take(&service))
            .count();
        assert_eq!(retries as u64, case.retries, "{}", case.name);
        assert_eq!(allowance.left(&service), 0);
        (0..20).for_each(|_| allowance.record_success(&service));
        assert_eq!(allowance.left(&service), 2);
    }
}

#[test]
fn the_number_of_allowances_is_bounded() {
    let mut allowance = RetryAllowance::new();
    for n in 0..MAX_SERVICES {
        assert!(allowance.take(&ServiceName::new(&n.to_string())));
    }
    assert!(!allowance.take(&ServiceName::new("one-more")));
    assert!(allowance.take(&ServiceName::new("0")));
}

#[test]
fn a_request_resent_by_its_caller_gets_no_spare_attempts() {
    struct Case {
        name: &'static str,
        attempt: u32,
        id: u128,
        body: u8,
        now: Time,
        want: (RequestIdMatch, u32),
    }
    let early = Time::from_millis(1);
    let cases = [
        Case {
            name: "new id",
            attempt: 0,
            id: 1,
            body: 1,
            now: early,
            want: (RequestIdMatch::New, 3),
        },
        Case {
            name: "same id, same request",
            attempt: 0,
            id: 1,
            body: 1,
            now: early,
            want: (RequestIdMatch::Duplicate, 0),
        },
        Case {
            name: "same id, other body",
            attempt: 0,
            id: 1,
            body: 2,
            now: early,
            want: (RequestIdMatch::Mismatch, 0),
        },
        Case {
            name: "new id, but a retry according to the caller",
            attempt: 1,
            id: 2,
            body: 1,
            now: early,
            want: (RequestIdMatch::New, 0),
        },
        Case {
            name: "same id, other request, after its time to live",
            attempt: 0,
            id: 1,
            body: 2,
            now: early.plus(REQUEST_ID_TTL),
            want: (RequestIdMatch::New, 3),
        },
    ];
    let mut seen = SeenRequests::new();
    for case in cases {
        let id_match = seen.record(case.now, RequestId(case.id), Fingerprint([case.body; 16]));
        let spare = entry_spare_attempts(3, case.attempt, id_match);
        assert_eq!((id_match, spare), case.want, "{}", case.name);
    }
    for id in 0..2 * MAX_REQUEST_IDS as u128 {
        seen.record(early, RequestId(id), Fingerprint([0; 16]));
    }
    assert_eq!(seen.len(), MAX_REQUEST_IDS);
}

const BASE: RequestParts<'_> = RequestParts {
    caller: "franchise-17",
    service: "payments",
    method: "POST",
    path: "/charge",
    headers: &[("accept", b"text/plain"), ("x-society", b"9")],
    body: b"rupees=100",
};

#[test]
fn fingerprints_distinguish_requests() {
    struct Case {
        name: &'static str,
        parts: RequestParts<'static>,
        same: bool,
    }
    let cases = [
        Case {
            name: "other order and case of header names",
            parts: RequestParts {
                headers: &[("X-Society", b"9"), ("Accept", b"text/plain")],
                ..BASE
            },
            same: true,
        },
        Case {
            name: "other caller",
            parts: RequestParts {
                caller: "franchise-18",
                ..BASE
            },
            same: false,
        },
        Case {
            name: "other method",
            parts: RequestParts {
                method: "PUT",
                ..BASE
            },
            same: false,
        },
        Case {
            name: "other header value",
            parts: RequestParts {
                headers: &[("accept", b"text/plain"), ("x-society", b"8")],
                ..BASE
            },
            same: false,
        },
        Case {
            name: "other body",
            parts: RequestParts {
                body: b"rupees=101",
                ..BASE
            },
            same: false,
        },
        Case {
            name: "bytes moved between parts",
            parts: RequestParts {
                method: "POST/",
                path: "charge",
                ..BASE
            },
            same: false,
        },
        Case {
            name: "header moved into the body",
            parts: RequestParts {
                headers: &[("accept", b"text/plain")],
                body: b"x-society9rupees=100",
                ..BASE
            },
            same: false,
        },
    ];
    let base = BASE.fingerprint();
    for case in cases {
        let same = case.parts.fingerprint() == base;
        assert_eq!(same, case.same, "{}", case.name);
    }
    let included = ["Authorization", "x-tenant", "accept"];
    let ignored = [
        "dfl-attempt",
        "Traceparent",
        "connection",
        "DFL-Token",
        "Host",
    ];
    assert!(included.iter().all(|name| is_fingerprinted(name)));
    assert!(!ignored.iter().any(|name| is_fingerprinted(name)));
}
