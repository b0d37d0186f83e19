//! Non-idempotent calls through real nodes: idempotency tokens, duplicates, other instances and
//! crashes of the target.

use std::net::SocketAddr;
use std::time::Duration;

use dragonflylead::Outcome;
use dragonflylead::caller::CallRequest;
use dragonflylead::caller::Caller;
use dragonflylead::protocol::header;
use dragonflylead::standin::fleet::DomainSpec;
use dragonflylead::standin::fleet::Fleet;
use dragonflylead::standin::fleet::FleetSpec;
use dragonflylead::standin::fleet::ServiceSpec;
use dragonflylead::standin::target::Behaviour;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const POLICY: &str = "\
[calls]
charge = POST payments /charge priority=critical idempotent=no timeout=10s # refunds desk
price = GET payments /prices/* priority=normal idempotent=yes timeout=10s retries=2 # price desk

[services]
payments = slots=8 connections=64 # racks
";

/// Response of an entry node.
struct NodeResponse {
    status: u16,
    outcome: String,
    kind: Option<String>,
    token: Option<String>,
    body: String,
}

async fn fleet(service_time: Duration) -> Fleet {
    Fleet::start(&spec(service_time)).await.unwrap()
}

fn spec(service_time: Duration) -> FleetSpec {
    let behaviour = Behaviour {
        service_time,
        ..Behaviour::default()
    };
    FleetSpec {
        policy: POLICY.to_owned(),
        domains: vec![DomainSpec {
            name: "sindh-1".to_owned(),
            region: "sindh".to_owned(),
        }],
        services: vec![ServiceSpec {
            name: "payments".to_owned(),
            instances: 2,
            behaviour,
        }],
        seed: 4,
    }
}

fn header_text(response: &reqwest::Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

async fn send_charge(entry: SocketAddr, token: Option<&str>, body: &'static str) -> NodeResponse {
    let mut req = reqwest::Client::new()
        .post(format!("http://{entry}/charge"))
        .header("x-op", "wallet-7")
        .body(body);
    if let Some(token) = token {
        req = req.header(header::TOKEN, token);
    }
    receive(req).await
}

async fn send_lookup(entry: SocketAddr) -> NodeResponse {
    let req = reqwest::Client::new()
        .get(format!("http://{entry}/prices/bins"))
        .header(header::REQUEST_ID, "same")
        .header("x-op", "price");
    receive(req).await
}

async fn receive(req: reqwest::RequestBuilder) -> NodeResponse {
    let response = req.send().await.unwrap();
    NodeResponse {
        status: response.status().as_u16(),
        outcome: header_text(&response, header::OUTCOME).unwrap(),
        kind: header_text(&response, header::ERROR),
        token: header_text(&response, header::TOKEN),
        body: response.text().await.unwrap(),
    }
}

/// Returns the number of runs at all targets.
fn runs(fleet: &Fleet) -> usize {
    fleet.members.iter().map(|m| m.target.runs().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicates_of_a_charge_run_once_and_get_the_same_response() {
    let fleet = fleet(Duration::from_millis(200)).await;
    let entry = fleet.ingress_addresses("payments")[0];
    let without = send_charge(entry, None, "rupees=100").await;
    assert_eq!((without.status, without.outcome.as_str()), (428, "not-run"));
    let token = without.token.unwrap();
    let token = token.as_str();
    let duplicates = (0..5).map(|_| send_charge(entry, Some(token), "rupees=100"));
    for duplicate in futures_util::future::join_all(duplicates).await {
        assert_eq!(
            (duplicate.status, duplicate.outcome.as_str()),
            (200, "completed")
        );
        assert!(
            duplicate.body.contains("wallet-7 10 bytes"),
            "{}",
            duplicate.body
        );
    }
    let later = send_charge(entry, Some(token), "rupees=100").await;
    assert_eq!((later.status, later.outcome.as_str()), (200, "completed"));
    let other = send_charge(entry, Some(token), "rupees=999").await;
    assert_eq!(other.kind.as_deref(), Some("request-mismatch"));
    let elsewhere = send_charge(
        fleet.ingress_addresses("payments")[1],
        Some(token),
        "rupees=100",
    )
    .await;
    assert_eq!(elsewhere.outcome, "unknown");
    assert_eq!(elsewhere.kind.as_deref(), Some("token-foreign"));
    assert_eq!(runs(&fleet), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicates_of_a_lookup_share_a_run() {
    let fleet = fleet(Duration::from_millis(200)).await;
    let entry = fleet.ingress_addresses("payments")[0];
    let duplicates = futures_util::future::join_all((0..5).map(|_| send_lookup(entry))).await;
    assert!(
        duplicates
            .iter()
            .all(|duplicate| duplicate.outcome == "completed")
    );
    assert!(
        duplicates
            .iter()
            .all(|duplicate| duplicate.body == duplicates[0].body)
    );
    assert_eq!(runs(&fleet), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_refused_by_a_draining_node_runs_once_elsewhere() {
    let fleet = fleet(Duration::from_millis(2)).await;
    let entry = fleet.ingress_addresses("payments")[0];
    let token = send_charge(entry, None, "rupees=100").await.token.unwrap();
    let first = &fleet.members[0];
    first.node.node().gate.drain();
    let moved = send_charge(entry, Some(&token), "rupees=100").await;
    assert_eq!(moved.outcome, "completed");
    let again = send_charge(entry, Some(&token), "rupees=100").await;
    assert_eq!((again.outcome, again.body), (moved.outcome, moved.body));
    assert_eq!(first.target.runs().len(), 0);
    assert_eq!(runs(&fleet), 1);
    let without = send_charge(entry, None, "rupees=100").await;
    assert_eq!(without.kind.as_deref(), Some("draining"));
    assert_eq!(runs(&fleet), 1);
    fleet.stop().await;
}

/// Simulates a target crash: accepts one connection, reads a request, then closes the connection
/// and the listener.
async fn crash_once(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buf = [0; 1024];
    let read = stream.read(&mut buf).await.unwrap();
    assert!(read > 0);
    drop(listener);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_charge_that_crashed_its_target_is_suspected_and_not_retried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    let spec = spec(Duration::from_millis(2));
    let fleet = Fleet::start_with_settings(&spec, |settings| settings.target = target)
        .await
        .unwrap();
    let entry = fleet.ingress_addresses("payments")[0];
    let token = send_charge(entry, None, "rupees=100").await.token.unwrap();
    let crash = tokio::spawn(crash_once(listener));
    let crashed = send_charge(entry, Some(&token), "rupees=100").await;
    crash.await.unwrap();
    assert_eq!(crashed.outcome, "unknown");
    assert_eq!(crashed.kind.as_deref(), Some("target-crashed"));
    let node = fleet.members[0].node.node().clone();
    assert_eq!(node.gate.counts().suspects, 1);
    assert_eq!(node.take_crash_reports().len(), 1);
    let again = send_charge(entry, Some(&token), "rupees=100").await;
    assert_eq!(again.kind.as_deref(), Some("target-crashed"));
    let fresh = send_charge(entry, None, "rupees=200").await.token.unwrap();
    let unreachable = send_charge(entry, Some(&fresh), "rupees=200").await;
    assert_eq!(unreachable.outcome, "not-run");
    fleet.stop().await;
}

/// Proxy to an entry node that drops the first response of a completed run.
async fn drop_first_response(listener: TcpListener, entry: SocketAddr) {
    let mut dropped = false;
    loop {
        let (mut downstream, _) = listener.accept().await.unwrap();
        let mut upstream = TcpStream::connect(entry).await.unwrap();
        let mut buf = vec![0; 64 * 1024];
        let read = downstream.read(&mut buf).await.unwrap();
        upstream.write_all(&buf[..read]).await.unwrap();
        let read = upstream.read(&mut buf).await.unwrap();
        let completed = buf[..read].windows(10).any(|part| part == b" completed");
        if completed && !dropped {
            dropped = true;
            continue;
        }
        downstream.write_all(&buf[..read]).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_response_gets_the_response_of_the_first_run() {
    let fleet = fleet(Duration::from_millis(2)).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy_address = listener.local_addr().unwrap();
    let proxy = tokio::spawn(drop_first_response(
        listener,
        fleet.ingress_addresses("payments")[0],
    ));
    let caller = Caller::new(&[proxy_address], 2, 3).unwrap();
    let mut headers = http::HeaderMap::new();
    headers.insert("x-op", "wallet-7".parse().unwrap());
    let charge = CallRequest {
        method: http::Method::POST,
        path: "/charge",
        headers,
        body: bytes::Bytes::from_static(b"rupees=100"),
        idempotent: false,
        timeout: Duration::from_secs(8),
    };
    let outcome = caller.call(&charge).await;
    assert!(matches!(outcome, Outcome::Completed(_)), "{outcome:?}");
    assert_eq!(runs(&fleet), 1);
    proxy.abort();
    fleet.stop().await;
}
