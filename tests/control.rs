//! Control planes under faults of the platform, the network and the nodes, in virtual time.

#[path = "support/virtual_fleet.rs"]
mod virtual_fleet;

use std::time::Duration;

use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::reader::WATCHER_TIMEOUT;

use virtual_fleet::PlatformState;
use virtual_fleet::VirtualFleet;
use virtual_fleet::policy;

/// Maximum time until a published change is in force on all nodes.
const MAX_PROPAGATION: Duration = Duration::from_secs(7);

/// Maximum time until a change is in force after an outage of the platform: 30 s more, the maximum
/// backoff.
const MAX_PROPAGATION_AFTER_OUTAGE: Duration = Duration::from_secs(37);

const MINUTE: Duration = Duration::from_secs(60);

const DOMAINS: usize = 3;
const EACH: usize = 12;

fn started_fleet(seed: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(DOMAINS, EACH, seed);
    assert!(
        fleet.run(MINUTE, |f| f.all_act_on(1)),
        "the fleet does not become ready"
    );
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn fleet_at_revision_2(seed: u64) -> VirtualFleet {
    let mut fleet = started_fleet(seed);
    fleet.publish(2, policy(200));
    assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(2)));
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn platform_down(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| PlatformState::Down);
    fleet.run_for(MINUTE);
    fleet.start(3);
    assert!(
        fleet.run(MINUTE, |f| f.all_act_on(2)),
        "restart of member 3"
    );
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    assert!(fleet.all_act_on(2));
    fleet.platform = Box::new(|_| PlatformState::Up);
    assert!(fleet.run(MAX_PROPAGATION_AFTER_OUTAGE, |f| f.all_act_on(3)));
}

fn platform_stale(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| PlatformState::Stale(1, policy(100)));
    for at in 0..DOMAINS * EACH {
        fleet.start(at);
        assert!(
            fleet.run(MINUTE, |f| f.all_act_on(2)),
            "restart of member {at}"
        );
    }
}

/// The platform immediately returns an old revision; peers return the one in force later.
fn platform_stale_and_peers_slow(fleet: &mut VirtualFleet) {
    fleet.latency = Duration::from_millis(400);
    platform_stale(fleet);
}

fn platform_flapping(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| PlatformState::Flapping);
    for revision in 3..13 {
        fleet.publish(revision, policy(100 * revision));
        assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(revision)));
    }
}

fn platform_down_for_one_domain(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|i| match i.domain.as_str() {
        "domain-1" => PlatformState::Down,
        _ => PlatformState::Up,
    });
    for revision in 3..8 {
        fleet.publish(revision, policy(100 * revision));
        assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(revision)));
        fleet.run_for(MAX_PROPAGATION);
    }
}

fn paused_members(fleet: &mut VirtualFleet) {
    let paused: Vec<usize> = (0..EACH).step_by(3).collect();
    paused.iter().for_each(|at| fleet.pause(*at));
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    for at in paused {
        fleet.resume(at);
    }
    assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(3)));
}

fn partitioned_domains(fleet: &mut VirtualFleet) {
    let in_partition = |domain: &str| domain == "domain-1";
    fleet.reachable =
        Box::new(move |a, b| in_partition(a.domain.as_str()) == in_partition(b.domain.as_str()));
    fleet.platform = Box::new(move |i| match in_partition(i.domain.as_str()) {
        true => PlatformState::Stale(2, policy(200)),
        false => PlatformState::Up,
    });
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    fleet.start(EACH);
    fleet.start(0);
    fleet.run_for(MINUTE);
    let domain_acts_on = |f: &VirtualFleet, domain, revision| {
        f.domain(domain).into_iter().all(|at| {
            let control = f.members[at].control.as_ref().unwrap();
            control.is_ready() && control.revision() == Revision(revision)
        })
    };
    assert!(
        domain_acts_on(fleet, 0, 3) && domain_acts_on(fleet, 1, 2) && domain_acts_on(fleet, 2, 3)
    );
    let before = fleet.counts;
    fleet.reachable = Box::new(|_, _| true);
    assert!(fleet.run(MAX_PROPAGATION_AFTER_OUTAGE, |f| f.all_act_on(3)));
    let after = fleet.counts;
    let members = (DOMAINS * EACH) as u64;
    assert!(after.repairs - before.repairs < members, "{after:?}");
    assert!(after.pushes - before.pushes < 3 * members, "{after:?}");
}

fn invalid_revision(fleet: &mut VirtualFleet) {
    fleet.publish(3, "[calls]\nno requester = here".into());
    fleet.run_for(MINUTE);
    assert!(fleet.all_act_on(2));
    for at in [0, 1, 2, EACH + 5] {
        fleet.start(at);
        assert!(
            fleet.run(MINUTE, |f| f.all_act_on(2)),
            "restart of member {at}"
        );
    }
    let reported = fleet.members.iter().filter_map(|m| m.control.as_ref());
    assert!(
        reported
            .map(|c| c.config())
            .all(|c| c.highest_seen() == Revision(3))
    );
    fleet.publish(4, policy(400));
    assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(4)));
}

fn empty_list(fleet: &mut VirtualFleet) {
    fleet.publish_list(Vec::new());
    fleet.run_for(MINUTE);
    let known = |f: &VirtualFleet| {
        let controls = f.members.iter().filter_map(|m| m.control.as_ref());
        controls.map(|c| c.members().iter().count()).min()
    };
    assert!(known(fleet) >= Some(EACH));
    fleet.publish(3, policy(300));
    assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(3)));
}

fn members_stop_during_a_change(fleet: &mut VirtualFleet) {
    for at in (0..DOMAINS * EACH).step_by(4) {
        fleet.stop(at);
    }
    fleet.publish(3, policy(300));
    assert!(fleet.run(MAX_PROPAGATION, |f| f.all_act_on(3)));
}

/// All watching readers stop at once. The other readers detect this and start to watch.
fn watching_readers_stop(fleet: &mut VirtualFleet) {
    let watches = |f: &VirtualFleet, at: &usize| {
        let control = f.members[*at].control.as_ref();
        control.is_some_and(|c| c.status().watching)
    };
    fleet.run_for(MINUTE);
    let stopped: Vec<usize> = (0..DOMAINS * EACH)
        .filter(|at| watches(fleet, at))
        .collect();
    assert_eq!(
        stopped.len(),
        DOMAINS,
        "one reader of each domain should watch"
    );
    stopped.iter().for_each(|at| fleet.stop(*at));
    fleet.publish(3, policy(300));
    assert!(fleet.run(MAX_PROPAGATION + WATCHER_TIMEOUT, |f| f.all_act_on(3)));
}

#[test]
fn one_reader_of_a_domain_watches_the_platform() {
    let mut fleet = VirtualFleet::new(1, EACH, 1);
    fleet.run_for(2 * MINUTE);
    let controls = fleet.members.iter().filter_map(|m| m.control.as_ref());
    assert_eq!(controls.filter(|c| c.status().watching).count(), 1);
}

#[test]
fn no_member_acts_on_an_older_revision() {
    struct Case {
        name: &'static str,
        run: fn(&mut VirtualFleet),
    }
    macro_rules! cases {
        ($($run:ident),* $(,)?) => {
            [$(Case { name: stringify!($run), run: $run }),*]
        };
    }
    let cases = cases![
        platform_down,
        platform_stale,
        platform_stale_and_peers_slow,
        platform_flapping,
        platform_down_for_one_domain,
        paused_members,
        partitioned_domains,
        invalid_revision,
        empty_list,
        members_stop_during_a_change,
        watching_readers_stop,
    ];
    for case in cases {
        for seed in 1..=3 {
            println!("{} with seed {seed}", case.name);
            let mut fleet = fleet_at_revision_2(seed);
            (case.run)(&mut fleet);
            assert_eq!(fleet.violations, [""; 0], "{} with seed {seed}", case.name);
        }
    }
}

/// Reverting is not prevented if a whole domain restarts with a stale platform and without contact
/// to other domains. The test also shows that the checker detects a reverted revision.
#[test]
fn an_isolated_domain_that_restarts_adopts_a_stale_revision() {
    let mut fleet = fleet_at_revision_2(1);
    fleet.reachable = Box::new(|a, b| a.domain == b.domain);
    fleet.platform = Box::new(|_| PlatformState::Stale(1, policy(100)));
    (0..EACH).for_each(|at| fleet.start(at));
    fleet.run_for(MINUTE);
    assert!(!fleet.violations.is_empty());
}

/// If another domain is reachable during the same restart, its readers supply the later revision.
#[test]
fn a_restarted_domain_recovers_from_other_domains() {
    let mut fleet = fleet_at_revision_2(1);
    fleet.platform = Box::new(|_| PlatformState::Stale(1, policy(100)));
    (0..EACH).for_each(|at| fleet.start(at));
    assert!(fleet.run(MINUTE, |f| f.all_act_on(2)));
}
