//! Encoding of messages between nodes: round trips, malformed input and the size overhead.

use dragonflylead::call::Repetition;
use dragonflylead::error::NotRunKind;
use dragonflylead::instance::InstanceName;
use dragonflylead::memory::Body;
use dragonflylead::protocol::frame;
use dragonflylead::protocol::frame::Frame;
use dragonflylead::protocol::frame::LoadReport;
use dragonflylead::protocol::frame::RunOutcome;
use dragonflylead::protocol::frame::RunRequest;

/// Limit on the size of a request message without its body, in bytes.
const MAX_REQUEST_OVERHEAD: usize = 120;

/// Limit on the size of a reply message without its body, in bytes.
const MAX_REPLY_OVERHEAD: usize = 80;

/// Returns a typical request without a body.
fn run_frame() -> Frame {
    Frame::Run(Box::new(RunRequest {
        number: 70_000,
        target: InstanceName::new("i-7f3a91c2"),
        service: "huvo11a".to_owned(),
        route: "r-89anu6w".to_owned(),
        config_version: 12,
        remaining_ms: 4_990,
        priority: 2,
        idempotent: true,
        is_root: true,
        repetition: Repetition::None,
        id: "9c41d07be2a35f68".to_owned(),
        caller_service: "huvo11a".to_owned(),
        organisation: None,
        method: "GET".to_owned(),
        path: "/leny950/2f".to_owned(),
        host: "hulo84.example".to_owned(),
        headers: Vec::new(),
        body: Body::default(),
        streamed: None,
    }))
}

#[test]
fn messages_round_trip() {
    let load = LoadReport {
        percent: 93,
        admission_ratio: 255,
        cost_ms: 48,
        is_root: true,
        run_ms: 0,
        config_version: 12,
        config_age: 30,
    };
    let frames = [
        run_frame(),
        Frame::Cancel(7),
        Frame::Reply {
            number: 7,
            outcome: RunOutcome::NotRun {
                kind: NotRunKind::Draining,
                refused_by_target: false,
            },
            load,
            streamed_len: None,
        },
        Frame::Ping,
        Frame::ConfigVersion(9),
    ];
    for frame in frames {
        let bytes = frame::encode(&frame).unwrap();
        assert_eq!(frame::decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn request_overhead_is_bounded() {
    let len = frame::encode(&run_frame()).unwrap().len();
    assert!(len <= MAX_REQUEST_OVERHEAD, "{len} bytes");
}

#[test]
fn malformed_messages_are_errors() {
    for bytes in [&b""[..], &[200, 1, 2], &[1]] {
        assert!(frame::decode(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn reply_overhead_is_bounded() {
    let reply = Frame::Reply {
        number: 70_000,
        outcome: RunOutcome::Completed {
            status: 200,
            signature: Some("3e1b.07.5a2.600.0.c9f2a4d1".to_owned()),
            headers: Vec::new(),
            body: Body::default(),
        },
        load: LoadReport {
            percent: 93,
            admission_ratio: 255,
            cost_ms: 48,
            is_root: true,
            run_ms: 0,
            config_version: 12,
            config_age: 30,
        },
        streamed_len: None,
    };
    let len = frame::encode(&reply).unwrap().len();
    assert!(len <= MAX_REPLY_OVERHEAD, "{len} bytes");
}
