//! How long a node goes without a newer configuration, and what it takes for a proof that there is none.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::support::relay_fleet::Member;
use crate::support::relay_fleet::RelayFleet;
use crate::support::relay_fleet::table;

/// Time within which a published configuration must be in force: `config_apply_ms` of the users.
const APPLY_LIMIT: Duration = Duration::from_millis(3_000);

/// The same for the smallest fleets of the users.
const SHORT_APPLY_LIMIT: Duration = Duration::from_millis(2_000);

async fn wait_for_version(fleet: &RelayFleet, version: u64, when: &str) {
    let applied = fleet.wait_until(|fleet| {
        let mut relays = fleet.members.iter().map(|member| member.node.relay());
        relays.all(|relay| relay.config_version() == version)
    });
    let applied = timeout(APPLY_LIMIT, applied).await;
    let versions = fleet
        .members
        .iter()
        .map(|m| m.node.relay().config_version());
    assert!(
        applied.is_ok(),
        "version {version} is not in force everywhere {APPLY_LIMIT:?} after it was published, {when}: {:?}",
        versions.collect::<Vec<u64>>()
    );
}

/// Guards against a change that is lost for good because a watch that did not deliver it moved on.
#[tokio::test]
async fn a_change_that_all_watches_skip_is_in_force_in_time() {
    let fleet = RelayFleet::start(140, &["a", "a", "a", "a"]).await;
    fleet.store.silence_watches();
    fleet.store.publish(table(2, &["a"]));
    wait_for_version(&fleet, 2, "skipped by all watches").await;
}

/// Guards against nodes that look for a new configuration only at others that do not have it.
#[tokio::test]
async fn nodes_that_the_store_does_not_answer_get_a_configuration_from_the_one_it_answers() {
    let fleet = RelayFleet::start(141, &["a", "a", "a", "a", "b", "b", "b", "b"]).await;
    let is_reader = |at: &usize| fleet.members[*at].node.relay().is_reader();
    let (_, followers): (Vec<usize>, Vec<usize>) = (0..8).partition(is_reader);
    let answered = followers[0];
    for (at, member) in fleet.members.iter().enumerate() {
        if at != answered {
            let name = member.node.relay().cfg().name.clone();
            fleet.store.ignore_node(name.as_str());
        }
    }
    fleet
        .wait_until(|fleet| {
            let relay = |at: usize| fleet.members[at].node.relay();
            (0..8).all(|at| {
                !relay(at).is_following()
                    && (at == answered || relay(at).store_health().is_failing())
            })
        })
        .await;
    fleet.store.publish(table(2, &["a", "b"]));
    wait_for_version(&fleet, 2, "answered to one node").await;
}

/// Guards against followers that rely on readers long after the store has gone silent for these.
#[tokio::test]
async fn followers_turn_to_the_store_soon_after_its_last_answer_to_their_readers() {
    let fleet = RelayFleet::start(142, &["a", "a", "a", "a"]).await;
    let (readers, followers): (Vec<&Member>, Vec<&Member>) = fleet
        .members
        .iter()
        .partition(|member| member.node.relay().is_reader());
    fleet
        .wait_until(|_| followers.iter().all(|m| m.node.relay().is_following()))
        .await;
    for reader in readers {
        let name = reader.node.relay().cfg().name.clone();
        fleet.store.ignore_node(name.as_str());
    }
    let following = || followers.iter().any(|m| m.node.relay().is_following());
    while following() {
        let age = fleet.store.list_age();
        assert!(age < SHORT_APPLY_LIMIT, "{age:?} after its last answer");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against followers that learn of the store's answer so late that they read the store as well.
#[tokio::test]
async fn a_question_is_answered_when_the_store_has_answered_the_reader_again() {
    const TRIES: usize = 5;
    const FULL_WAIT: Duration = Duration::from_millis(500);
    let fleet = RelayFleet::start(143, &["a"]).await;
    let relay = fleet.members[0].node.relay();
    let mut held = Vec::new();
    for _ in 0..TRIES {
        let before_next_read = Duration::from_millis(700)..Duration::from_millis(800);
        fleet
            .wait_until(|fleet| before_next_read.contains(&fleet.store.list_age()))
            .await;
        let reply = relay.answer_sync(relay.known_state()).await;
        assert!(reply.is_from_store());
        held.push(reply.held());
    }
    assert!(
        held.iter().any(|held| *held < FULL_WAIT),
        "held for {held:?}"
    );
}
