//! Parts of the control plane: documents, configuration, members, readers and the push tree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use dragonflylead::Time;
use dragonflylead::coordination::config::ConfigState;
use dragonflylead::coordination::config::OfferOutcome;
use dragonflylead::coordination::config::split_lines;
use dragonflylead::coordination::document::ApplyOutcome;
use dragonflylead::coordination::document::Document;
use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::document::Section;
use dragonflylead::coordination::gossip::Interval;
use dragonflylead::coordination::gossip::delegates;
use dragonflylead::coordination::members::Members;
use dragonflylead::coordination::reader;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceName;
use dragonflylead::instance::InstanceState;

fn validate(text: &str) -> Result<(), String> {
    match text.contains("bad") {
        true => Err("the text contains bad".into()),
        false => Ok(()),
    }
}

#[test]
fn offers_of_new_old_and_invalid_revisions() {
    struct Case {
        offers: &'static [(u64, &'static str)],
        in_force: u64,
        highest_seen: u64,
        last_outcome: &'static str,
    }
    let cases = [
        Case {
            offers: &[(1, "good"), (2, "good")],
            in_force: 2,
            highest_seen: 2,
            last_outcome: "accepted",
        },
        Case {
            offers: &[(2, "good"), (1, "good")],
            in_force: 2,
            highest_seen: 2,
            last_outcome: "outdated",
        },
        Case {
            offers: &[(1, "good"), (2, "bad")],
            in_force: 1,
            highest_seen: 2,
            last_outcome: "rejected",
        },
        Case {
            offers: &[(1, "good"), (3, "bad"), (2, "good")],
            in_force: 1,
            highest_seen: 3,
            last_outcome: "outdated",
        },
        Case {
            offers: &[(1, "good"), (2, "bad"), (2, "good")],
            in_force: 1,
            highest_seen: 2,
            last_outcome: "outdated",
        },
        Case {
            offers: &[(1, "good"), (2, "bad"), (3, "good")],
            in_force: 3,
            highest_seen: 3,
            last_outcome: "accepted",
        },
    ];
    for case in cases {
        let mut config = ConfigState::new(BTreeSet::new());
        let mut last_outcome = "";
        for (revision, text) in case.offers {
            last_outcome = match config.offer(Revision(*revision), text, validate) {
                OfferOutcome::Accepted(_) => "accepted",
                OfferOutcome::Rejected(_) => "rejected",
                OfferOutcome::Outdated => "outdated",
            };
        }
        let got = (config.revision().0, config.highest_seen().0, last_outcome);
        let want = (case.in_force, case.highest_seen, case.last_outcome);
        assert_eq!(got, want, "{:?}", case.offers);
    }
}

#[test]
fn a_node_holds_only_the_sections_that_it_needs() {
    let text =
        "[calls]\na = GET one /* # x\nb = GET two /* # x\n[links]\nl = r1 r2 rate=1MB/s # x\n";
    let needed = BTreeSet::from([Section::Global, Section::Service("one".into())]);
    let mut reader = ConfigState::new(BTreeSet::new());
    reader.offer(Revision(1), text, validate);
    let mut node = ConfigState::new(needed);
    let request = node.document().repair_request(false);
    let repair = reader.document().build_repair(&request).unwrap();
    assert_eq!(node.apply_repair(repair, &request).0, ApplyOutcome::Applied);
    let got = node.text().unwrap();
    assert_eq!(
        got,
        "[calls]\na = GET one /* # x\n[links]\nl = r1 r2 rate=1MB/s # x\n"
    );
    assert!(node.add_section(Section::Service("two".into())));
    let request = node.document().repair_request(false);
    let repair = reader.document().build_repair(&request).unwrap();
    assert_eq!(repair.lines.len(), 1, "only the new section is sent");
    node.apply_repair(repair, &request);
    assert!(node.text().unwrap().contains("b = GET two"));
}

fn policy_texts() -> impl Strategy<Value = String> {
    let line = ("[a-d]", "[p-r]", 0..3_u8);
    proptest::collection::vec(line, 0..8).prop_map(|rules| {
        let rules: BTreeMap<String, (String, u8)> =
            rules.into_iter().map(|(n, s, v)| (n, (s, v))).collect();
        let mut text = String::from("[calls]\n");
        for (name, (service, value)) in rules {
            text.push_str(&format!("{name} = GET {service} /{value}\n"));
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    /// A partial document follows the complete one by deltas, and by a repair after a missed delta.
    #[test]
    fn partial_documents_follow_the_complete_one(texts in proptest::collection::vec((policy_texts(), any::<bool>()), 1..12)) {
        let needed = BTreeSet::from([Section::Service("p".into())]);
        let mut complete = Document::new(BTreeSet::new());
        let mut partial = Document::new(needed);
        for (n, (text, missed)) in texts.iter().enumerate() {
            let delta = complete.replace(Revision(n as u64 + 1), split_lines(text));
            if *missed {
                continue;
            }
            let applied = delta.map(|d| partial.apply(&d));
            if applied != Some(ApplyOutcome::Applied) {
                let request = partial.repair_request(false);
                let repair = complete.build_repair(&request).unwrap();
                prop_assert_eq!(partial.apply_repair(repair, &request).0, ApplyOutcome::Applied);
            }
            prop_assert_eq!(partial.stamp(), complete.stamp());
            let section = Section::Service("p".into());
            let want: Vec<_> = complete.lines_of(&section).collect();
            prop_assert_eq!(partial.lines().collect::<Vec<_>>(), want);
        }
    }

    /// Each member is the delegate of exactly one interval of the push tree.
    #[test]
    fn each_member_receives_a_delta_exactly_once(members in 1..400_usize, revision in any::<u64>()) {
        let names: Vec<InstanceName> = (0..members).map(|n| format!("i{n}").as_str().into()).collect();
        let mut reached: BTreeMap<&InstanceName, u32> = BTreeMap::new();
        let mut pending = vec![Interval::ALL];
        while let Some(interval) = pending.pop() {
            for (name, part) in delegates(&names, Revision(revision), interval) {
                *reached.entry(name).or_default() += 1;
                pending.push(part);
            }
        }
        prop_assert_eq!(reached.len(), members);
        prop_assert!(reached.values().all(|n| *n == 1));
    }
}

fn instances(count: usize) -> Vec<Instance> {
    let nth_instance = |n: usize| Instance {
        name: format!("i{n}").as_str().into(),
        service: "s".into(),
        domain: "d".into(),
        region: "r".into(),
        ingress: format!("127.0.0.1:{}", 1_000 + n).parse().unwrap(),
        peer: format!("127.0.0.1:{}", 2_000 + n).parse().unwrap(),
        state: InstanceState::Live,
    };
    (0..count).map(nth_instance).collect()
}

#[test]
fn many_removals_at_once_are_not_accepted() {
    struct Case {
        lists: &'static [usize],
        known: usize,
    }
    let cases = [
        Case {
            lists: &[40, 39],
            known: 39,
        },
        Case {
            lists: &[40, 36, 33],
            known: 33,
        },
        Case {
            lists: &[40, 0],
            known: 40,
        },
        Case {
            lists: &[40, 36, 33, 30, 20],
            known: 33,
        },
        Case {
            lists: &[40, 0, 40],
            known: 40,
        },
    ];
    for case in cases {
        let mut members = Members::default();
        for (n, count) in case.lists.iter().enumerate() {
            members.update(Time::from_millis(n as u64), instances(*count));
        }
        assert_eq!(members.iter().count(), case.known, "{:?}", case.lists);
    }
}

#[test]
fn unlisted_instances_stay_while_they_answer() {
    let mut members = Members::default();
    members.update(Time::ZERO, instances(10));
    members.update(Time::ZERO, Vec::new());
    let (unreachable, reachable) = ("i1".into(), "i2".into());
    for _ in 0..3 {
        members.record_failure(&unreachable);
        members.record_failure(&reachable);
        members.record_contact(Time::ZERO, &reachable, Incarnation(1), false);
    }
    assert!(members.get(&unreachable).is_none());
    assert!(members.get(&reachable).is_some());
    let mut successor = instances(1).remove(0);
    successor.name = "successor".into();
    successor.peer = instances(10)[4].peer;
    members.update(Time::ZERO, vec![successor]);
    assert!(
        members.get(&"i4".into()).is_none(),
        "its address belongs to another instance now"
    );
}

#[test]
fn draining_lasts_until_a_new_incarnation() {
    let mut members = Members::default();
    let name: InstanceName = "i0".into();
    let list_with_draining = || {
        let mut list = instances(5);
        list[0].state = InstanceState::Draining;
        list
    };
    let draining = |m: &Members| m.get(&"i0".into()).unwrap().draining;
    members.update(Time::ZERO, instances(5));
    assert!(members.record_contact(Time::ZERO, &name, Incarnation(7), false));
    members.update(Time::ZERO, list_with_draining());
    members.update(Time::ZERO, instances(5));
    assert!(
        draining(&members),
        "a list that reverts does not end draining"
    );
    assert!(members.record_contact(Time::ZERO, &name, Incarnation(8), false));
    members.update(Time::ZERO, instances(5));
    assert!(!draining(&members), "a new incarnation is not draining");
    assert!(
        !members.record_contact(Time::ZERO, &name, Incarnation(7), true),
        "a message of an earlier incarnation is ignored"
    );
    assert!(!draining(&members));
    members.record_contact(Time::ZERO, &name, Incarnation(8), true);
    assert!(
        draining(&members),
        "a draining peer is recorded as draining"
    );
}

#[test]
fn backoff_and_call_rates_are_bounded() {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    for failures in 1..100 {
        let wait = reader::backoff(failures, &mut rng);
        assert!(wait <= reader::BACKOFF_MAX);
        assert!(wait >= reader::BACKOFF_FIRST / 2);
        assert!(failures < 6 || wait >= reader::BACKOFF_MAX / 2);
    }
    assert_eq!(reader::backoff(0, &mut rng), Duration::ZERO);
    let rates = reader::call_rates(21_000, 20, 15_000.0, 6_600.0);
    insta::assert_debug_snapshot!(rates);
}
