//! Requests at a node that is silent for a while, as it is while its process is paused.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dragonflylead::call::Repetition;
use dragonflylead::error::UnknownKind;
use dragonflylead::instance::InstanceName;
use dragonflylead::memory::Body;
use dragonflylead::memory::MemoryBudget;
use dragonflylead::protocol::frame;
use dragonflylead::protocol::frame::Frame;
use dragonflylead::protocol::frame::LoadReport;
use dragonflylead::protocol::frame::RunOutcome;
use dragonflylead::protocol::frame::RunRequest;
use dragonflylead::relay::peer_client::PeerClient;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Time for which the node does not reply, longer than the sender waits for a sign of life.
const SILENCE: Duration = Duration::from_millis(2_600);

fn run_request(idempotent: bool) -> RunRequest {
    RunRequest {
        number: 0,
        target: InstanceName::new("i-1"),
        service: "a".to_owned(),
        route: "r".to_owned(),
        config_version: 1,
        remaining_ms: 5_000,
        priority: 0,
        idempotent,
        is_root: true,
        repetition: Repetition::None,
        id: "1".to_owned(),
        caller_service: "a".to_owned(),
        organisation: None,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        host: "h".to_owned(),
        headers: Vec::new(),
        body: Body::default(),
        streamed: None,
    }
}

fn new_client() -> Arc<PeerClient> {
    let memory = MemoryBudget::new(1 << 26);
    Arc::new(PeerClient::new("127.0.0.1".parse().unwrap(), 1, memory))
}

fn completed() -> RunOutcome {
    RunOutcome::Completed {
        status: 200,
        signature: Some("s".to_owned()),
        headers: Vec::new(),
        body: Body::from(b"ok".to_vec()),
    }
}

/// Starts a node that replies to each request after `silence` and to nothing else. It reads nothing
/// meanwhile.
async fn start_silent_node(silence: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, silence));
        }
    });
    address
}

async fn serve(stream: TcpStream, silence: Duration) -> io::Result<()> {
    let mut frames = Framed::new(stream, frame::codec(frame::MAX_FRAME_BYTES));
    while let Some(bytes) = frames.next().await {
        if let Ok(Frame::Run(req)) = frame::decode(&bytes?) {
            tokio::time::sleep(silence).await;
            let reply = Frame::Reply {
                number: req.number,
                outcome: completed(),
                load: LoadReport::default(),
                streamed_len: None,
            };
            frames.send(frame::encode(&reply).unwrap()).await?;
        }
    }
    Ok(())
}

struct Case {
    name: &'static str,
    idempotent: bool,
    outcome: RunOutcome,
}

/// A silent node may only be paused. What it runs must not be given up if it cannot run again
/// elsewhere. A request that can is released, so that another instance may serve it in time.
#[tokio::test]
async fn only_requests_that_may_run_again_are_released_by_silence() {
    let cases = [
        Case {
            name: "non-idempotent",
            idempotent: false,
            outcome: completed(),
        },
        Case {
            name: "idempotent",
            idempotent: true,
            outcome: RunOutcome::Unknown(UnknownKind::ConnectionLost),
        },
    ];
    for case in cases {
        let address = start_silent_node(SILENCE).await;
        let client = new_client();
        let reply = client.run(address, run_request(case.idempotent)).await;
        assert_eq!(reply.outcome, case.outcome, "{}", case.name);
    }
}

/// Time for which a node reads nothing, longer than the system may take to give up a connection.
const LONG_SILENCE: Duration = Duration::from_millis(4_500);

/// Requests that do not fit into the buffers of a connection, with bodies of the greatest length
/// that is sent at once.
const LOOKUPS: usize = 256;

/// Guards against connections to a paused node that are reset because it does not read: the
/// outcome of the charge that it runs would be lost.
#[tokio::test]
async fn a_charge_is_answered_by_a_node_whose_buffers_are_full() {
    let address = start_silent_node(LONG_SILENCE).await;
    let client = new_client();
    let charge = client.run(address, run_request(false));
    let lookups = async {
        // The node has read the charge by then, and stays silent.
        tokio::time::sleep(SILENCE / 10).await;
        let lookups = (0..LOOKUPS).map(|_| {
            let mut req = run_request(true);
            req.body = Body::from(vec![b'x'; frame::MAX_INLINE_BODY]);
            client.run(address, req)
        });
        futures_util::future::join_all(lookups).await
    };
    let (charge, lookups) = tokio::join!(charge, lookups);
    assert_eq!(charge.outcome, completed());
    let lost = RunOutcome::Unknown(UnknownKind::ConnectionLost);
    assert_eq!(lookups[0].outcome, lost);
    assert!(lookups.iter().all(|reply| reply.outcome != completed()));
}
