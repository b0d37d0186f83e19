//! Control planes under faults, in virtual time.

#[path = "support/virtual_fleet.rs"]
mod virtual_fleet;

use std::time::Duration;

use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::reader::WATCHER_SILENCE;

use virtual_fleet::Platform;
use virtual_fleet::VirtualFleet;
use virtual_fleet::policy;

/// Span within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

/// Span within which a change is in force after the platform was away: one longest backoff more.
const IN_FORCE_AFTER_OUTAGE: Duration = Duration::from_secs(37);

const MINUTE: Duration = Duration::from_secs(60);

const DOMAINS: usize = 3;
const EACH: usize = 12;

fn started(seed: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(DOMAINS, EACH, seed);
    assert!(fleet.run(MINUTE, |f| f.all_act_on(1)), "the fleet starts");
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn changed(seed: u64) -> VirtualFleet {
    let mut fleet = started(seed);
    fleet.publish(2, policy(200));
    assert!(fleet.run(IN_FORCE, |f| f.all_act_on(2)));
    fleet.run_for(Duration::from_secs(10));
    fleet
}

fn platform_down(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| Platform::Down);
    fleet.run_for(MINUTE);
    fleet.start(3);
    assert!(fleet.run(MINUTE, |f| f.all_act_on(2)), "a restart");
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    assert!(fleet.all_act_on(2));
    fleet.platform = Box::new(|_| Platform::Up);
    assert!(fleet.run(IN_FORCE_AFTER_OUTAGE, |f| f.all_act_on(3)));
}

fn platform_stale(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| Platform::Stale(1, policy(100)));
    for at in 0..DOMAINS * EACH {
        fleet.start(at);
        assert!(fleet.run(MINUTE, |f| f.all_act_on(2)), "restart of {at}");
    }
}

/// The platform answers at once with an old revision, peers answer late with the one in force.
fn platform_stale_and_peers_slow(fleet: &mut VirtualFleet) {
    fleet.latency = Duration::from_millis(400);
    platform_stale(fleet);
}

fn platform_flapping(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|_| Platform::Flapping);
    for revision in 3..13 {
        fleet.publish(revision, policy(100 * revision));
        assert!(fleet.run(IN_FORCE, |f| f.all_act_on(revision)));
    }
}

fn one_domain_cut_from_platform(fleet: &mut VirtualFleet) {
    fleet.platform = Box::new(|i| match i.domain.as_str() {
        "domain-1" => Platform::Down,
        _ => Platform::Up,
    });
    for revision in 3..8 {
        fleet.publish(revision, policy(100 * revision));
        assert!(fleet.run(IN_FORCE, |f| f.all_act_on(revision)));
        fleet.run_for(IN_FORCE);
    }
}

fn members_pause(fleet: &mut VirtualFleet) {
    let paused: Vec<usize> = (0..EACH).step_by(3).collect();
    paused.iter().for_each(|at| fleet.pause(*at));
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    for at in paused {
        fleet.resume(at);
    }
    assert!(fleet.run(IN_FORCE, |f| f.all_act_on(3)));
}

fn domains_cut_apart(fleet: &mut VirtualFleet) {
    let stale = |domain: &str| domain == "domain-1";
    fleet.passes = Box::new(move |a, b| stale(a.domain.as_str()) == stale(b.domain.as_str()));
    fleet.platform = Box::new(move |i| match stale(i.domain.as_str()) {
        true => Platform::Stale(2, policy(200)),
        false => Platform::Up,
    });
    fleet.publish(3, policy(300));
    fleet.run_for(MINUTE);
    fleet.start(EACH);
    fleet.start(0);
    fleet.run_for(MINUTE);
    let apart = |f: &VirtualFleet, domain, revision| {
        f.domain(domain).into_iter().all(|at| {
            let control = f.members[at].control.as_ref().unwrap();
            control.is_ready() && control.revision() == Revision(revision)
        })
    };
    assert!(apart(fleet, 0, 3) && apart(fleet, 1, 2) && apart(fleet, 2, 3));
    let before = fleet.counts;
    fleet.passes = Box::new(|_, _| true);
    assert!(fleet.run(IN_FORCE_AFTER_OUTAGE, |f| f.all_act_on(3)));
    let after = fleet.counts;
    let members = (DOMAINS * EACH) as u64;
    assert!(after.repairs - before.repairs < members, "{after:?}");
    assert!(after.pushes - before.pushes < 3 * members, "{after:?}");
}

fn invalid_in_the_middle(fleet: &mut VirtualFleet) {
    fleet.publish(3, "[calls]\nno requester = here".into());
    fleet.run_for(MINUTE);
    assert!(fleet.all_act_on(2));
    for at in [0, 1, 2, EACH + 5] {
        fleet.start(at);
        assert!(fleet.run(MINUTE, |f| f.all_act_on(2)), "restart of {at}");
    }
    let reported = fleet.members.iter().filter_map(|m| m.control.as_ref());
    assert!(
        reported
            .map(|c| c.config())
            .all(|c| c.highest_seen() == Revision(3))
    );
    fleet.publish(4, policy(400));
    assert!(fleet.run(IN_FORCE, |f| f.all_act_on(4)));
}

fn list_disappears(fleet: &mut VirtualFleet) {
    fleet.publish_list(Vec::new());
    fleet.run_for(MINUTE);
    let known = |f: &VirtualFleet| {
        let controls = f.members.iter().filter_map(|m| m.control.as_ref());
        controls.map(|c| c.members().iter().count()).min()
    };
    assert!(known(fleet) >= Some(EACH));
    fleet.publish(3, policy(300));
    assert!(fleet.run(IN_FORCE, |f| f.all_act_on(3)));
}

fn members_die_during_a_change(fleet: &mut VirtualFleet) {
    for at in (0..DOMAINS * EACH).step_by(4) {
        fleet.stop(at);
    }
    fleet.publish(3, policy(300));
    assert!(fleet.run(IN_FORCE, |f| f.all_act_on(3)));
}

/// The readers that watch for others are lost together: the rest notice and watch themselves.
fn watching_readers_die(fleet: &mut VirtualFleet) {
    let watches = |f: &VirtualFleet, at: &usize| {
        let control = f.members[*at].control.as_ref();
        control.is_some_and(|c| c.status().watching)
    };
    fleet.run_for(MINUTE);
    let dead: Vec<usize> = (0..DOMAINS * EACH)
        .filter(|at| watches(fleet, at))
        .collect();
    assert_eq!(dead.len(), DOMAINS, "one reader of each domain watches");
    dead.iter().for_each(|at| fleet.stop(*at));
    fleet.publish(3, policy(300));
    assert!(fleet.run(IN_FORCE + WATCHER_SILENCE, |f| f.all_act_on(3)));
}

#[test]
fn one_reader_of_a_domain_watches() {
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
        one_domain_cut_from_platform,
        members_pause,
        domains_cut_apart,
        invalid_in_the_middle,
        list_disappears,
        members_die_during_a_change,
        watching_readers_die,
    ];
    for case in cases {
        for seed in 1..=3 {
            println!("{} with seed {seed}", case.name);
            let mut fleet = changed(seed);
            (case.run)(&mut fleet);
            assert_eq!(fleet.violations, [""; 0], "{} with seed {seed}", case.name);
        }
    }
}

/// What is not promised, and proof that the checker sees a reverted revision.
#[test]
fn a_whole_domain_that_restarts_takes_a_stale_revision() {
    let mut fleet = changed(1);
    fleet.passes = Box::new(|a, b| a.domain == b.domain);
    fleet.platform = Box::new(|_| Platform::Stale(1, policy(100)));
    (0..EACH).for_each(|at| fleet.start(at));
    fleet.run_for(MINUTE);
    assert!(!fleet.violations.is_empty());
}

/// The same restart while another domain can be reached: its readers bring the later revision back.
#[test]
fn a_restarted_domain_recovers_from_other_domains() {
    let mut fleet = changed(1);
    fleet.platform = Box::new(|_| Platform::Stale(1, policy(100)));
    (0..EACH).for_each(|at| fleet.start(at));
    assert!(fleet.run(MINUTE, |f| f.all_act_on(2)));
}
