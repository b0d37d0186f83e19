//! Messages between nodes: they read back, and stay small.

use dragonflylead::error::NotRunKind;
use dragonflylead::instance::InstanceName;
use dragonflylead::protocol::frame;
use dragonflylead::protocol::frame::Frame;
use dragonflylead::protocol::frame::LoadReport;
use dragonflylead::protocol::frame::RunOutcome;
use dragonflylead::protocol::frame::RunRequest;

/// Most bytes of a message beyond the body, on the way to the target.
const MAX_REQUEST: usize = 120;

/// Most bytes of a message beyond the body, on the way back.
const MAX_REPLY: usize = 80;

fn run() -> Frame {
    Frame::Run(Box::new(RunRequest {
        number: 70_000,
        target: InstanceName::new("i-7f3a91c2"),
        route: "r-89anu6w".to_owned(),
        version: 12,
        remaining_ms: 4_990,
        rank: 2,
        idempotent: true,
        root: true,
        id: "9c41d07be2a35f68".to_owned(),
        caller_service: "huvo11a".to_owned(),
        method: "GET".to_owned(),
        path: "/leny950/2f".to_owned(),
        host: "hulo84.example".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    }))
}

#[test]
fn messages_read_back() {
    let load = LoadReport {
        percent: 93,
        admission_ratio: 255,
        cost_ms: 48,
        root: true,
        version: 12,
    };
    let frames = [
        run(),
        Frame::Cancel(7),
        Frame::Reply {
            number: 7,
            outcome: RunOutcome::NotRun {
                kind: NotRunKind::Draining,
                refused_by_target: false,
            },
            load,
        },
        Frame::Ping,
        Frame::Version(9),
    ];
    for frame in frames {
        let bytes = frame::encode(&frame).unwrap();
        assert_eq!(frame::decode(&bytes).unwrap(), frame);
    }
}

#[test]
fn a_request_takes_few_bytes_beyond_its_body() {
    let len = frame::encode(&run()).unwrap().len();
    assert!(len <= MAX_REQUEST, "{len}");
}

#[test]
fn what_is_no_message_is_an_error() {
    for bytes in [&b""[..], &[200, 1, 2], &[1]] {
        assert!(frame::decode(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn a_reply_takes_few_bytes_beyond_its_body() {
    let reply = Frame::Reply {
        number: 70_000,
        outcome: RunOutcome::Answered {
            status: 200,
            signature: Some("3e1b.07.5a2.600.0.c9f2a4d1".to_owned()),
            headers: Vec::new(),
            body: Vec::new(),
        },
        load: LoadReport {
            percent: 93,
            admission_ratio: 255,
            cost_ms: 48,
            root: true,
            version: 12,
        },
    };
    let len = frame::encode(&reply).unwrap().len();
    assert!(len <= MAX_REPLY, "{len} bytes");
}
