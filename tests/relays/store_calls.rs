//! How often a node calls the store, and how it detects changes that a watch does not deliver.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::instance::InstanceState;
use dragonflylead::protocol::store_query::TargetEntry;
use dragonflylead::relay::store_health::StoreHealth;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::table;

/// Time within which a node must detect that its target is draining.
const DETECTION_LIMIT: Duration = Duration::from_millis(2_000);

/// Time within which a published configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2_000);

/// A change of the store by which a target leaves the fleet.
struct Departure {
    name: &'static str,
    block: u8,
    write: fn(&mut Vec<TargetEntry>),
}

const DEPARTURES: &[Departure] = &[
    Departure {
        name: "is listed as draining",
        block: 31,
        write: |targets| targets[0].instance.state = InstanceState::Draining,
    },
    Departure {
        name: "is removed",
        block: 32,
        write: |targets| drop(targets.remove(0)),
    },
];

#[tokio::test]
async fn the_departure_of_a_target_is_detected_although_the_watch_delivers_nothing() {
    for case in DEPARTURES {
        let fleet = RelayFleet::start(case.block, &["a", "a"]).await;
        fleet.store.silence_watches();
        fleet.store.change(case.write);
        let name = fleet.members[0].name.clone();
        let relay = fleet.members[0].node.relay();
        let detected = async {
            while relay.check_target(&name).is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        let detected = timeout(DETECTION_LIMIT, detected).await;
        assert!(
            detected.is_ok(),
            "target is still used although it {}",
            case.name
        );
    }
}

/// Guards against a departure that is lost because a watch that did not deliver it moved on, while
/// the list is out of date.
#[tokio::test]
async fn a_departure_that_a_watch_skips_is_noticed_when_the_watch_ends() {
    const LONGEST_WATCH: Duration = Duration::from_secs(20);
    let fleet = RelayFleet::start(145, &["a", "a"]).await;
    fleet.store.silence_watches();
    fleet.store.serve_old_list(fleet.store.list());
    fleet
        .store
        .change(|targets| targets[0].instance.state = InstanceState::Draining);
    let member = &fleet.members[0];
    let noticed = async {
        while member.node.relay().check_target(&member.name).is_ok() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let noticed = timeout(LONGEST_WATCH + DETECTION_LIMIT, noticed).await;
    assert!(noticed.is_ok(), "a draining target is still used");
}

/// The store breaks all watches while the configuration changes, and later watches deliver nothing.
#[tokio::test]
async fn a_configuration_is_applied_although_watches_break_and_deliver_nothing() {
    let fleet = RelayFleet::start(36, &["a", "b"]).await;
    fleet.store.silence_watches();
    fleet.store.publish(table(2, &["a", "b"]));
    fleet.store.break_watches();
    let applied = async {
        for member in &fleet.members {
            while member.node.relay().config_version() < 2 {
                sleep(Duration::from_millis(5)).await;
            }
        }
    };
    let applied = timeout(APPLY_LIMIT, applied).await;
    assert!(
        applied.is_ok(),
        "the new configuration is not in force after {APPLY_LIMIT:?}"
    );
}

/// While a node that cannot be reached reports a newer version again and again, a read that takes longer than the time
/// between two reports must come to its end.
#[tokio::test]
async fn a_slow_read_of_the_configuration_is_not_started_again() {
    let fleet = RelayFleet::start(37, &["a"]).await;
    fleet.store.silence_watches();
    fleet.store.slow_reads(Duration::from_millis(700));
    fleet.store.publish(table(2, &["a"]));
    let relay = fleet.members[0].node.relay();
    let other = "127.0.37.9:1".parse().unwrap();
    let reported = async {
        loop {
            relay.handle_peer_version(2, other);
            sleep(Duration::from_millis(20)).await;
        }
    };
    let applied = async {
        while relay.config_version() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        () = reported => (),
        () = applied => (),
        () = sleep(APPLY_LIMIT) => panic!("not in force after {APPLY_LIMIT:?}"),
    }
}

/// Only two nodes of a failure domain read the store; a node that follows them calls it only to
/// watch the entry of its target.
#[tokio::test]
async fn the_readers_of_a_failure_domain_supply_its_other_nodes() {
    let fleet = RelayFleet::start(38, &["a", "a", "a", "a", "b", "b", "b", "b"]).await;
    let following = |fleet: &RelayFleet| {
        let nodes = fleet.members.iter().map(|member| member.node.relay());
        nodes.filter(|relay| relay.is_following()).count()
    };
    fleet.wait_until(|fleet| following(fleet) == 6).await;
    let calls_before = fleet.store.all_calls();
    sleep(Duration::from_secs(5)).await;
    let calls = fleet.store.all_calls() - calls_before;
    // Two readers read the list each second and watch the configuration for 1 s to 2 s.
    let most = 2 * (5 + 5 + 2) + 8;
    assert!(
        calls <= most,
        "{calls} calls in 5 s, expected at most {most}"
    );

    fleet.store.publish(table(2, &["a", "b"]));
    fleet
        .store
        .change(|targets| targets.retain(|target| target.instance.name.as_str() != "b-7"));
    let changed = |fleet: &RelayFleet| {
        let nodes = fleet.members.iter().map(|member| member.node.relay());
        nodes.into_iter().all(|relay| {
            relay.config_version() == 2 && relay.view().targets.len() == fleet.members.len() - 1
        })
    };
    let changed = timeout(Duration::from_secs(8), fleet.wait_until(changed)).await;
    assert!(
        changed.is_ok(),
        "changes of the store did not reach all nodes"
    );
}

/// A fault of both readers, and whether the other nodes must then read the store themselves.
struct ReaderFault {
    name: &'static str,
    block: u8,
    inject: fn(&RelayFleet, &[usize]),
}

const READER_FAULTS: &[ReaderFault] = &[
    ReaderFault {
        name: "are killed",
        block: 39,
        inject: |fleet, readers| readers.iter().for_each(|at| fleet.members[*at].node.kill()),
    },
    ReaderFault {
        name: "are refused by the store",
        block: 42,
        inject: |fleet, readers| {
            for at in readers {
                let name = fleet.members[*at].node.relay().cfg().name.clone();
                fleet.store.refuse_node(name.as_str());
            }
        },
    },
];

#[tokio::test]
async fn nodes_read_the_store_themselves_when_their_readers_fail() {
    for case in READER_FAULTS {
        let fleet = RelayFleet::start(case.block, &["a", "a", "a", "a"]).await;
        let is_reader = |at: &usize| fleet.members[*at].node.relay().is_reader();
        let (readers, followers): (Vec<usize>, Vec<usize>) = (0..4).partition(is_reader);
        assert_eq!(readers.len(), 2);
        fleet
            .wait_until(|fleet| {
                followers
                    .iter()
                    .all(|at| fleet.members[*at].node.relay().is_following())
            })
            .await;
        (case.inject)(&fleet, &readers);
        fleet.store.publish(table(2, &["a"]));
        let applied = fleet.wait_until(|fleet| {
            followers
                .iter()
                .all(|at| fleet.members[*at].node.relay().config_version() == 2)
        });
        let applied = timeout(APPLY_LIMIT, applied).await;
        assert!(
            applied.is_ok(),
            "the new configuration is not in force after {APPLY_LIMIT:?} when the readers {}",
            case.name
        );
    }
}

#[tokio::test]
async fn an_unchanged_store_is_called_rarely() {
    let fleet = RelayFleet::start(33, &["a", "b"]).await;
    let name = fleet.members[0].node.relay().cfg().name.clone();
    sleep(Duration::from_millis(1_500)).await;
    let calls_before = fleet.store.calls(name.as_str());
    let began = Instant::now();
    sleep(Duration::from_secs(5)).await;
    let calls = fleet.store.calls(name.as_str()) - calls_before;
    // The list is read each second and, in a fleet of two, the configuration every 1 s to 2 s. The
    // margin covers the entry of the local target.
    let most = began.elapsed().as_secs() as u32 * 2 + 3;
    assert!(
        calls <= most,
        "{calls} calls in 5 s, expected at most {most}"
    );
}

#[tokio::test]
async fn a_store_that_refuses_a_node_is_called_with_backoff() {
    let fleet = RelayFleet::start(34, &["a", "b"]).await;
    let name = fleet.members[0].node.relay().cfg().name.clone();
    fleet.store.refuse_node(name.as_str());
    sleep(Duration::from_secs(1)).await;
    let calls_before = fleet.store.calls(name.as_str());
    sleep(Duration::from_secs(6)).await;
    let calls = fleet.store.calls(name.as_str()) - calls_before;
    assert!(calls <= 10, "{calls} calls in 6 s");
    fleet.store.serve_all_nodes();
    let relay = fleet.members[0].node.relay();
    let recovered = async {
        while relay.store_health().is_failing() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let recovered = timeout(Duration::from_secs(3), recovered).await;
    assert!(
        recovered.is_ok(),
        "the node did not detect the recovery of the store within 3 s"
    );
}

#[test]
fn readers_of_one_node_share_the_calls_to_a_failing_store() {
    let mut state = StoreHealth::default();
    let at = |ms: u64| Time::from_micros(ms * 1_000);
    assert!(state.may_call(at(0)));
    assert!(
        state.record(false, 1.0, at(0)),
        "the first failure is a change"
    );
    let mut calls = 0;
    for ms in 1..10_000 {
        if state.may_call(at(ms)) {
            calls += 1;
            assert!(
                !state.record(false, 1.0, at(ms)),
                "a repeated failure is no change"
            );
        }
    }
    assert!((5..=9).contains(&calls), "{calls} calls in 10 s");
    assert!(
        state.record(true, 0.0, at(10_000)),
        "the recovery is a change"
    );
    assert!(state.may_call(at(10_000)));
    assert!(state.is_unstable(Duration::from_secs(1), at(10_500)));
}
