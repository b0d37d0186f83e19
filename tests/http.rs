//! HTTP behaviour of the ingress and egress ports: requests and responses are forwarded unchanged,
//! truncated responses are recognized, and invalid input is refused with the right error kind.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use dragonflylead::protocol::header;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::target::Behaviour;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const POLICY: &str = "\
[calls]
all = * booking /* priority=normal idempotent=yes timeout=10s retries=0 # test desk

[services]
booking = slots=8 connections=64 # test desk
";

async fn start(behaviour: Behaviour) -> Fleet {
    Fleet::start(&common::single_domain_fleet(
        POLICY,
        &[("booking", 1, behaviour)],
    ))
    .await
    .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_unchanged() {
    struct Case {
        method: Method,
        target: &'static str,
        body: Bytes,
    }
    let large: Bytes = (0..3_000_000_u32).map(|i| (i % 251) as u8).collect();
    let cases = [
        Case {
            method: Method::GET,
            target: "/echo",
            body: Bytes::new(),
        },
        Case {
            method: Method::POST,
            target: "/echo/a%20b?x=1&y=%C3%A9",
            body: "small".into(),
        },
        Case {
            method: Method::PUT,
            target: "/echo//double/dot",
            body: large.clone(),
        },
        Case {
            method: Method::PATCH,
            target: "/echo?",
            body: "x".into(),
        },
        Case {
            method: Method::DELETE,
            target: "/echo/.hidden",
            body: Bytes::new(),
        },
    ];
    let fleet = start(Behaviour::default()).await;
    let entry = fleet.ingress_addresses("booking")[0];
    let client = reqwest::Client::new();
    for case in cases {
        let response = client
            .request(
                case.method.clone(),
                format!("http://{entry}{}", case.target),
            )
            .header("x-plain", "kept as is")
            .header("connection", "x-private")
            .header("x-private", "for this connection only")
            .body(case.body.clone())
            .send()
            .await
            .unwrap();
        assert_eq!(
            response.headers()[header::OUTCOME],
            "completed",
            "outcome of {}",
            case.target
        );
        let text = response.text().await.unwrap();
        let lines: Vec<&str> = text.lines().collect();
        assert_eq!(lines[0], format!("{} {}", case.method, case.target));
        assert!(
            lines.contains(&"x-plain: kept as is"),
            "end-to-end header is missing: {text}"
        );
        assert!(
            !text.contains("x-private"),
            "header listed in connection was forwarded: {text}"
        );
        let hash = format!("{:032x}", xxhash_rust::xxh3::xxh3_128(&case.body));
        assert_eq!(*lines.last().unwrap(), hash, "body of {}", case.target);
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_response_arrives_complete() {
    let behaviour = Behaviour {
        response_bytes: 5_000_000,
        ..Behaviour::default()
    };
    let fleet = start(behaviour).await;
    let url = format!("http://{}/x", fleet.ingress_addresses("booking")[0]);
    let response = reqwest::get(url).await.unwrap();
    assert_eq!(response.bytes().await.unwrap().len(), 5_000_000);
    fleet.stop().await;
}

/// Serves one chunked response of `chunks` chunks without the final chunk, and closes the
/// connection.
///
/// Returns the listener: while it is open, the target does not look crashed.
async fn serve_truncated(listener: TcpListener, chunks: usize) -> TcpListener {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await.unwrap();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..chunks {
        let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
        stream.write_all(chunk.as_bytes()).await.unwrap();
    }
    stream.shutdown().await.unwrap();
    listener
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_never_looks_complete() {
    struct Case {
        name: &'static str,
        chunks: usize,
        /// `None` if the connection is aborted after the head was sent.
        status: Option<u16>,
    }
    let cases = [
        Case {
            name: "buffered response",
            chunks: 1,
            status: Some(502),
        },
        Case {
            name: "streamed response",
            chunks: 64,
            status: None,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = listener.local_addr().unwrap();
        let spec = common::single_domain_fleet(POLICY, &[("booking", 1, Behaviour::default())]);
        let fleet = Fleet::start_with_settings(&spec, |cfg| cfg.target = target)
            .await
            .unwrap();
        let serving = tokio::spawn(serve_truncated(listener, case.chunks));
        let url = format!("http://{}/x", fleet.ingress_addresses("booking")[0]);
        let response = reqwest::get(url).await.unwrap();
        match case.status {
            Some(status) => {
                assert_eq!(response.status(), status, "{}", case.name);
                assert_eq!(response.headers()[header::OUTCOME], "unknown");
                assert_eq!(response.headers()[header::ERROR], "answer-truncated");
            }
            None => {
                let body = response.bytes().await;
                assert!(body.is_err(), "{}: looks complete", case.name);
            }
        }
        let _listener = serving.await.unwrap();
        fleet.stop().await;
    }
}

/// Form body from which Rocket would take another method than that of the request.
const METHOD_OVERRIDE: &str = "_method=delete&wash=7";

/// Sends a POST request with [`METHOD_OVERRIDE`] as its body and returns the response up to the end
/// of its head.
async fn send_raw(port: SocketAddr, target: &str, headers: &[(&str, String)]) -> String {
    let mut text = format!("POST {target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    headers
        .iter()
        .for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    if !headers.iter().any(|(name, _)| *name == "content-length") {
        text.push_str(&format!("content-length: {}\r\n", METHOD_OVERRIDE.len()));
    }
    text.push_str("\r\n");
    text.push_str(METHOD_OVERRIDE);
    let mut stream = TcpStream::connect(port).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let reading = async {
        while !response.windows(4).any(|end| end == b"\r\n\r\n") {
            assert_ne!(
                stream.read_buf(&mut response).await.unwrap(),
                0,
                "connection closed before the end of the head"
            );
        }
    };
    tokio::time::timeout(common::WAIT_TIMEOUT, reading)
        .await
        .unwrap();
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_and_later_requests_succeed() {
    struct Case {
        name: &'static str,
        egress: bool,
        target: &'static str,
        headers: Vec<(&'static str, String)>,
        status: u16,
        kind: &'static str,
    }
    let cases = [
        Case {
            name: "large headers",
            egress: false,
            target: "/x",
            headers: vec![("x-large", "x".repeat(70_000))],
            status: 431,
            kind: "headers-too-large",
        },
        Case {
            name: "stated length of a terabyte",
            egress: false,
            target: "/x",
            headers: vec![("content-length", "1000000000000".to_owned())],
            status: 413,
            kind: "body-too-large",
        },
        Case {
            name: "timeout that is not a number",
            egress: false,
            target: "/x",
            headers: vec![(header::TIMEOUT_MS, "soon".to_owned())],
            status: 400,
            kind: "bad-request",
        },
        Case {
            name: "form that overrides the method",
            egress: false,
            target: "/x",
            headers: vec![(
                "content-type",
                "application/x-www-form-urlencoded".to_owned(),
            )],
            status: 400,
            kind: "bad-request",
        },
        Case {
            name: "forged hop header",
            egress: false,
            target: "/x",
            headers: vec![(header::HOP, "00ff.{}".to_owned())],
            status: 403,
            kind: "hop-rejected",
        },
        Case {
            name: "forged context header",
            egress: true,
            target: "/booking/x",
            headers: vec![(header::CONTEXT, "f".repeat(32))],
            status: 403,
            kind: "context-unknown",
        },
        Case {
            name: "unknown service",
            egress: true,
            target: "/no-such/x",
            headers: vec![],
            status: 404,
            kind: "no-such-service",
        },
        Case {
            name: "no service in the path",
            egress: true,
            target: "/",
            headers: vec![],
            status: 404,
            kind: "no-such-service",
        },
    ];
    let fleet = start(Behaviour::default()).await;
    let member = &fleet.members[0];
    let client = reqwest::Client::new();
    for case in cases {
        let port = if case.egress {
            member.node.egress()
        } else {
            member.node.ingress()
        };
        let response = send_raw(port, case.target, &case.headers).await;
        let head = response.to_ascii_lowercase();
        assert!(
            head.starts_with(&format!("http/1.1 {}", case.status)),
            "{}: {head}",
            case.name
        );
        assert!(
            head.contains("dfl-outcome: not-run"),
            "{}: {head}",
            case.name
        );
        assert!(
            head.contains(&format!("dfl-error: {}", case.kind)),
            "{}: {head}",
            case.name
        );
        let valid = client.get(format!("http://{}/x", member.node.ingress()));
        assert_eq!(
            valid.send().await.unwrap().status(),
            200,
            "valid request after {}",
            case.name
        );
    }
    fleet.stop().await;
}
