//! Guards against a node that lives on without one of its tasks.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use dragonflylead::relay::background;

use crate::support::relay_fleet::RelayFleet;

#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let fleet = RelayFleet::start(43, &["a"]).await;
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let relay = fleet.members[0].node.relay();
    let task = background::spawn(relay, "test", move |_| {
        let number = counted.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(number > 1, "a panic that the test causes");
            std::future::pending().await
        }
    });
    fleet
        .wait_until(|_| starts.load(Ordering::SeqCst) == 3)
        .await;
    assert_eq!(relay.metrics().task_restarts("test"), 2);
    task.abort();
}
