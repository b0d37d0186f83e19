//! How often a node calls the store, and what it learns although a watch is silent.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::instance::InstanceState;
use dragonflylead::protocol::store_query::TargetEntry;
use dragonflylead::relay::store_sync::StoreState;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::table;

/// Time within which a node has to know that its target leaves.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time within which a configuration has to be in force.
const APPLY: Duration = Duration::from_millis(2_000);

/// A way in which a target leaves.
struct Leaving {
    name: &'static str,
    block: u8,
    write: fn(&mut Vec<TargetEntry>),
}

const LEAVING: &[Leaving] = &[
    Leaving {
        name: "says so",
        block: 31,
        write: |targets| targets[0].instance.state = InstanceState::Leaving,
    },
    Leaving {
        name: "is removed",
        block: 32,
        write: |targets| drop(targets.remove(0)),
    },
];

#[tokio::test]
async fn a_target_that_leaves_is_noticed_although_the_watch_is_silent() {
    for case in LEAVING {
        let fleet = RelayFleet::start(case.block, &["a", "a"]).await;
        fleet.store.silence_watches();
        fleet.store.change(case.write);
        let name = fleet.members[0].name.clone();
        let relay = fleet.members[0].node.relay();
        let noticed = async {
            while relay.check_target(&name).is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let noticed = timeout(DRAIN, noticed).await;
        assert!(noticed.is_ok(), "a target that {} is still used", case.name);
    }
}

/// The store breaks its watches while a change is made, and those that follow hear nothing.
#[tokio::test]
async fn a_configuration_is_in_force_although_the_watches_are_cut_and_silent() {
    let fleet = RelayFleet::start(36, &["a", "b"]).await;
    fleet.store.silence_watches();
    fleet.store.publish(table(2, &["a", "b"]));
    fleet.store.cut_watches();
    let in_force = async {
        for member in &fleet.members {
            while member.node.relay().version() < 2 {
                sleep(Duration::from_millis(5)).await;
            }
        }
    };
    let in_force = timeout(APPLY, in_force).await;
    assert!(in_force.is_ok(), "the new configuration is not in force");
}

#[tokio::test]
async fn a_calm_store_is_called_rarely() {
    let fleet = RelayFleet::start(33, &["a", "b"]).await;
    let name = fleet.members[0].node.relay().cfg().name.clone();
    sleep(Duration::from_millis(1_500)).await;
    let before = fleet.store.calls(name.as_str());
    let began = Instant::now();
    sleep(Duration::from_secs(5)).await;
    let calls = fleet.store.calls(name.as_str()) - before;
    // Each second the list; the configuration of a fleet of two each 1 s to 2 s; the own entry.
    let most = began.elapsed().as_secs() as u32 * 2 + 3;
    assert!(calls <= most, "{calls} calls in 5 s, at most {most}");
}

#[tokio::test]
async fn a_store_that_turns_a_node_away_is_called_in_growing_pauses() {
    let fleet = RelayFleet::start(34, &["a", "b"]).await;
    let name = fleet.members[0].node.relay().cfg().name.clone();
    fleet.store.turn_away(name.as_str());
    sleep(Duration::from_secs(1)).await;
    let before = fleet.store.calls(name.as_str());
    sleep(Duration::from_secs(6)).await;
    let calls = fleet.store.calls(name.as_str()) - before;
    assert!(calls <= 10, "{calls} calls in 6 s");
    fleet.store.serve_all();
    let relay = fleet.members[0].node.relay();
    let back = async {
        while relay.store_state().is_failing() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let back = timeout(Duration::from_secs(3), back).await;
    assert!(back.is_ok(), "the store is back and not called");
}

#[test]
fn readers_of_one_node_share_the_calls_to_a_failing_store() {
    let mut state = StoreState::default();
    let at = |ms: u64| Time::from_micros(ms * 1_000);
    assert!(state.may_call(at(0)));
    assert!(state.note(false, 1.0, at(0)), "the first failure is news");
    let mut calls = 0;
    for ms in 1..10_000 {
        if state.may_call(at(ms)) {
            calls += 1;
            assert!(!state.note(false, 1.0, at(ms)), "no news");
        }
    }
    assert!((5..=9).contains(&calls), "{calls} calls in 10 s");
    assert!(state.note(true, 0.0, at(10_000)), "that it answers is news");
    assert!(state.may_call(at(10_000)));
    assert!(state.is_shaky(Duration::from_secs(1), at(10_500)));
}
