//! Connections to a node that accepts them and closes them at once.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dragonflylead::memory::MemoryBudget;
use dragonflylead::protocol::sync::KnownState;
use dragonflylead::relay::peer_client::PeerClient;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Connections that the attempts of four seconds may make: two a second, and a few at the start.
const MAX_CONNECTIONS: usize = 12;

/// Guards against reconnecting without a pause, which takes the processor time of a whole node.
#[tokio::test]
async fn a_node_that_closes_each_connection_at_once_is_reconnected_to_with_pauses() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        loop {
            drop(listener.accept().await.unwrap());
            count.fetch_add(1, Ordering::Relaxed);
        }
    });
    let memory = MemoryBudget::new(1 << 20);
    let client = Arc::new(PeerClient::new("127.0.0.1".parse().unwrap(), 1, memory));
    let wait = Duration::from_secs(1);
    let reply = client.sync(address, KnownState::default(), wait).await;
    assert!(reply.is_none());
    sleep(Duration::from_secs(4)).await;
    let accepted = accepted.load(Ordering::Relaxed);
    assert!(accepted >= 2, "{accepted} connections were made");
    assert!(
        accepted <= MAX_CONNECTIONS,
        "{accepted} connections were made in 4 s"
    );
}
