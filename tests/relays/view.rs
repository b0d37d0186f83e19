//! What a node believes of the fleet while the store is away, old or coming back.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::instance::InstanceState;

use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::PATIENCE;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::table;

#[tokio::test]
async fn a_node_that_the_store_turns_away_learns_from_others() {
    let fleet = RelayFleet::start(9, &["a", "b"]).await;
    let away = fleet.members[1].node.relay().cfg().name.clone();
    fleet.store.turn_away(away.as_str());
    fleet.store.publish(table(5, &["a", "b", "c"]));
    fleet
        .until(|fleet| fleet.members[1].node.relay().version() == 5)
        .await;
    fleet
        .store
        .change(|targets| targets[1].instance.state = InstanceState::Leaving);
    fleet
        .until(|fleet| fleet.members[1].node.relay().view().local_leaving)
        .await;
    fleet.store.serve_all();
}

#[tokio::test]
async fn an_older_configuration_never_comes_back() {
    let fleet = RelayFleet::start(10, &["a"]).await;
    fleet.store.publish(table(7, &["a"]));
    fleet
        .until(|fleet| fleet.members[0].node.relay().version() == 7)
        .await;
    fleet.store.publish(table(6, &["b"]));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let relay = fleet.members[0].node.relay();
    assert_eq!(relay.version(), 7);
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

#[tokio::test]
async fn a_node_that_starts_while_the_store_is_down_learns_from_nodes_that_greet_it() {
    let mut fleet = RelayFleet::start(16, &["a", "b"]).await;
    let mut caller = Caller::connect(fleet.members[0].outbound).await;
    assert_eq!(caller.ask("GET", "/b/", "1", b"").await.status, 200);
    for member in &fleet.members {
        fleet
            .store
            .turn_away(member.node.relay().cfg().name.as_str());
    }
    fleet.restart(1).await;
    fleet
        .until(|fleet| fleet.members[1].node.relay().is_ready())
        .await;
    assert_eq!(fleet.members[1].node.relay().version(), 1);
    assert!(fleet.members[1].node.relay().local_target().is_some());
}

#[tokio::test]
async fn a_missing_entry_means_nothing_while_the_store_settles() {
    let fleet = RelayFleet::start(17, &["a"]).await;
    let relay = fleet.members[0].node.relay();
    fleet.store.turn_away(relay.cfg().name.as_str());
    fleet
        .until(|fleet| {
            fleet.members[0]
                .node
                .relay()
                .store_health()
                .is_unstable(PATIENCE, Time::ZERO)
        })
        .await;
    let mut entries = Vec::new();
    fleet
        .store
        .change(|targets| entries = std::mem::take(targets));
    fleet.store.serve_all();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(
        !relay.view().local_removed,
        "the store came back only just now"
    );
    fleet
        .until(|fleet| fleet.members[0].node.relay().view().local_removed)
        .await;
    fleet.store.change(|targets| *targets = entries);
    fleet
        .until(|fleet| !fleet.members[0].node.relay().view().local_removed)
        .await;
    assert!(!relay.view().local_leaving);
}
