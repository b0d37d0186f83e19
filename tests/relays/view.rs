//! The store view of a node while the store is down, stale or recovering.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::instance::InstanceState;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::TEST_TIMEOUT;
use crate::support::relay_fleet::table;

#[tokio::test]
async fn a_node_refused_by_the_store_reads_through_other_nodes() {
    let fleet = RelayFleet::start(9, &["a", "b"]).await;
    let refused = fleet.members[1].node.relay().cfg().name.clone();
    fleet.store.refuse_node(refused.as_str());
    fleet.store.publish(table(5, &["a", "b", "c"]));
    fleet
        .wait_until(|fleet| fleet.members[1].node.relay().config_version() == 5)
        .await;
    fleet
        .store
        .change(|targets| targets[1].instance.state = InstanceState::Draining);
    fleet
        .wait_until(|fleet| fleet.members[1].node.relay().view().local_draining)
        .await;
    fleet.store.serve_all_nodes();
}

/// Another program's entry at the address of a target, newer than the target's own one.
#[tokio::test]
async fn an_entry_of_an_unknown_service_does_not_replace_a_target() {
    let fleet = RelayFleet::start(46, &["a", "b"]).await;
    fleet.store.change(|targets| {
        let mut odd = targets[1].clone();
        odd.instance.name = "odd".into();
        odd.instance.service = "nobody-calls-it".into();
        odd.start_time_ms += 1_000;
        targets.push(odd);
    });
    let relay = fleet.members[0].node.relay();
    let revision = relay.view().list_revision;
    fleet
        .wait_until(|_| relay.view().list_revision > revision)
        .await;
    let names: Vec<String> = relay
        .view()
        .targets
        .iter()
        .map(|target| target.instance.name.to_string())
        .collect();
    assert_eq!(names, ["a-0", "b-1"]);
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(caller.call("POST", "/b-once/", "1", b"").await.status, 200);
}

#[tokio::test]
async fn an_older_configuration_is_never_applied() {
    let fleet = RelayFleet::start(10, &["a"]).await;
    fleet.store.publish(table(7, &["a"]));
    fleet
        .wait_until(|fleet| fleet.members[0].node.relay().config_version() == 7)
        .await;
    fleet.store.publish(table(6, &["b"]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let relay = fleet.members[0].node.relay();
    assert_eq!(relay.config_version(), 7);
    assert!(
        relay
            .view()
            .routes
            .as_ref()
            .unwrap()
            .find("h.example", "/b/")
            .is_none()
    );
}

/// Guards against targets that come back because a read of the list was out of date.
#[tokio::test]
async fn an_older_list_of_targets_is_never_applied() {
    let fleet = RelayFleet::start(144, &["a", "b"]).await;
    let old = fleet.store.list();
    fleet
        .store
        .change(|targets| targets.retain(|target| target.instance.name.as_str() == "a-0"));
    fleet
        .wait_until(|fleet| fleet.members[0].node.relay().view().targets.len() == 1)
        .await;
    fleet.store.serve_old_list(old);
    let relay = fleet.members[0].node.relay();
    let listed_at = relay.view().listed_at;
    fleet
        .wait_until(|_| relay.view().listed_at > listed_at)
        .await;
    assert_eq!(relay.view().targets.len(), 1, "a removed target is back");
}

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_down_learns_from_nodes_that_reconnect() {
    let mut fleet = RelayFleet::start(16, &["a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(caller.call("GET", "/b/", "1", b"").await.status, 200);
    for member in &fleet.members {
        fleet
            .store
            .refuse_node(member.node.relay().cfg().name.as_str());
    }
    fleet.restart(1).await;
    fleet
        .wait_until(|fleet| fleet.members[1].node.relay().is_ready())
        .await;
    assert_eq!(fleet.members[1].node.relay().config_version(), 1);
    assert!(fleet.members[1].node.relay().local_target().is_some());
}

#[tokio::test]
async fn a_missing_entry_is_ignored_shortly_after_the_store_recovers() {
    let fleet = RelayFleet::start(17, &["a"]).await;
    let relay = fleet.members[0].node.relay();
    fleet.store.refuse_node(relay.cfg().name.as_str());
    fleet
        .wait_until(|fleet| {
            fleet.members[0]
                .node
                .relay()
                .store_health()
                .is_unstable(TEST_TIMEOUT, Time::ZERO)
        })
        .await;
    let mut entries = Vec::new();
    fleet
        .store
        .change(|targets| entries = std::mem::take(targets));
    fleet.store.serve_all_nodes();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(
        !relay.view().local_removed,
        "an entry may be missing shortly after a recovery of the store"
    );
    fleet
        .wait_until(|fleet| fleet.members[0].node.relay().view().local_removed)
        .await;
    fleet.store.change(|targets| *targets = entries);
    fleet
        .wait_until(|fleet| !fleet.members[0].node.relay().view().local_removed)
        .await;
    assert!(!relay.view().local_draining);
}
