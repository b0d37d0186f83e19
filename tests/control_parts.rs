//! Parts of the control plane: documents, configuration, members, readers, the spreading tree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use dragonflylead::Time;
use dragonflylead::coordination::config::ConfigState;
use dragonflylead::coordination::config::OfferOutcome;
use dragonflylead::coordination::config::split;
use dragonflylead::coordination::document::Applied;
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

fn accept(text: &str) -> Result<(), String> {
    match text.contains("bad") {
        true => Err("it says bad".into()),
        false => Ok(()),
    }
}

#[test]
fn offered_revisions() {
    struct Case {
        offers: &'static [(u64, &'static str)],
        in_force: u64,
        seen: u64,
        last: &'static str,
    }
    let cases = [
        Case {
            offers: &[(1, "good"), (2, "good")],
            in_force: 2,
            seen: 2,
            last: "accepted",
        },
        Case {
            offers: &[(2, "good"), (1, "good")],
            in_force: 2,
            seen: 2,
            last: "old",
        },
        Case {
            offers: &[(1, "good"), (2, "bad")],
            in_force: 1,
            seen: 2,
            last: "rejected",
        },
        Case {
            offers: &[(1, "good"), (3, "bad"), (2, "good")],
            in_force: 1,
            seen: 3,
            last: "old",
        },
        Case {
            offers: &[(1, "good"), (2, "bad"), (2, "good")],
            in_force: 1,
            seen: 2,
            last: "old",
        },
        Case {
            offers: &[(1, "good"), (2, "bad"), (3, "good")],
            in_force: 3,
            seen: 3,
            last: "accepted",
        },
    ];
    for case in cases {
        let mut config = ConfigState::new(BTreeSet::new());
        let mut last = "";
        for (revision, text) in case.offers {
            last = match config.offer(Revision(*revision), text, accept) {
                OfferOutcome::Accepted(_) => "accepted",
                OfferOutcome::Rejected(_) => "rejected",
                OfferOutcome::Outdated => "old",
            };
        }
        let got = (config.revision().0, config.highest_seen().0, last);
        let want = (case.in_force, case.seen, case.last);
        assert_eq!(got, want, "{:?}", case.offers);
    }
}

#[test]
fn a_node_holds_the_lines_that_it_needs() {
    let text =
        "[calls]\na = GET one /* # x\nb = GET two /* # x\n[links]\nl = r1 r2 rate=1MB/s # x\n";
    let wanted = BTreeSet::from([Section::Global, Section::Service("one".into())]);
    let mut reader = ConfigState::new(BTreeSet::new());
    reader.offer(Revision(1), text, accept);
    let mut node = ConfigState::new(wanted);
    let request = node.document().repair_request(false);
    let repair = reader.document().repair(&request).unwrap();
    assert_eq!(node.apply_repair(repair, &request).0, Applied::Done);
    let got = node.text().unwrap();
    assert_eq!(
        got,
        "[calls]\na = GET one /* # x\n[links]\nl = r1 r2 rate=1MB/s # x\n"
    );
    assert!(node.want(Section::Service("two".into())));
    let request = node.document().repair_request(false);
    let repair = reader.document().repair(&request).unwrap();
    assert_eq!(repair.lines.len(), 1, "only the new section travels");
    node.apply_repair(repair, &request);
    assert!(node.text().unwrap().contains("b = GET two"));
}

fn lines() -> impl Strategy<Value = String> {
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

    /// A part of a document follows the whole by deltas, and by repairs if a delta was missed.
    #[test]
    fn parts_follow_the_whole(texts in proptest::collection::vec((lines(), any::<bool>()), 1..12)) {
        let wanted = BTreeSet::from([Section::Service("p".into())]);
        let mut whole = Document::new(BTreeSet::new());
        let mut part = Document::new(wanted);
        for (n, (text, lost)) in texts.iter().enumerate() {
            let delta = whole.replace(Revision(n as u64 + 1), split(text));
            if *lost {
                continue;
            }
            let applied = delta.map(|d| part.apply(&d));
            if applied != Some(Applied::Done) {
                let request = part.repair_request(false);
                let repair = whole.repair(&request).unwrap();
                prop_assert_eq!(part.apply_repair(repair, &request).0, Applied::Done);
            }
            prop_assert_eq!(part.stamp(), whole.stamp());
            let section = Section::Service("p".into());
            let want: Vec<_> = whole.lines_of(&section).collect();
            prop_assert_eq!(part.lines().collect::<Vec<_>>(), want);
        }
    }

    /// Every member is handed a delta exactly once, and no interval contains its own delegate.
    #[test]
    fn the_tree_reaches_each_member_once(members in 1..400_usize, revision in any::<u64>()) {
        let names: Vec<InstanceName> = (0..members).map(|n| format!("i{n}").as_str().into()).collect();
        let mut reached: BTreeMap<&InstanceName, u32> = BTreeMap::new();
        let mut open = vec![Interval::ALL];
        while let Some(interval) = open.pop() {
            for (name, part) in delegates(&names, Revision(revision), interval) {
                *reached.entry(name).or_default() += 1;
                open.push(part);
            }
        }
        prop_assert_eq!(reached.len(), members);
        prop_assert!(reached.values().all(|n| *n == 1));
    }
}

fn listed(count: usize) -> Vec<Instance> {
    let instance = |n: usize| Instance {
        name: format!("i{n}").as_str().into(),
        service: "s".into(),
        domain: "d".into(),
        region: "r".into(),
        ingress: format!("127.0.0.1:{}", 1_000 + n).parse().unwrap(),
        peer: format!("127.0.0.1:{}", 2_000 + n).parse().unwrap(),
        state: InstanceState::Live,
    };
    (0..count).map(instance).collect()
}

#[test]
fn removals_are_believed_unless_many_come_at_once() {
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
            members.update(Time::from_millis(n as u64), listed(*count));
        }
        assert_eq!(members.iter().count(), case.known, "{:?}", case.lists);
    }
}

#[test]
fn doubted_instances_stay_while_they_answer() {
    let mut members = Members::default();
    members.update(Time::ZERO, listed(10));
    members.update(Time::ZERO, Vec::new());
    let (dead, alive) = ("i1".into(), "i2".into());
    for _ in 0..3 {
        members.failed(&dead);
        members.failed(&alive);
        members.heard(Time::ZERO, &alive, Incarnation(1), false);
    }
    assert!(members.get(&dead).is_none());
    assert!(members.get(&alive).is_some());
    let mut heir = listed(1).remove(0);
    heir.name = "heir".into();
    heir.peer = listed(10)[4].peer;
    members.update(Time::ZERO, vec![heir]);
    assert!(
        members.get(&"i4".into()).is_none(),
        "its address was reused"
    );
}

#[test]
fn draining_lasts_as_long_as_an_incarnation() {
    let mut members = Members::default();
    let name: InstanceName = "i0".into();
    let leaving = || {
        let mut list = listed(5);
        list[0].state = InstanceState::Leaving;
        list
    };
    let draining = |m: &Members| m.get(&"i0".into()).unwrap().draining;
    members.update(Time::ZERO, listed(5));
    assert!(members.heard(Time::ZERO, &name, Incarnation(7), false));
    members.update(Time::ZERO, leaving());
    members.update(Time::ZERO, listed(5));
    assert!(draining(&members), "a flapping list does not revive it");
    assert!(members.heard(Time::ZERO, &name, Incarnation(8), false));
    members.update(Time::ZERO, listed(5));
    assert!(!draining(&members), "a new incarnation is not draining");
    assert!(
        !members.heard(Time::ZERO, &name, Incarnation(7), true),
        "an old one is fenced"
    );
    assert!(!draining(&members));
    members.heard(Time::ZERO, &name, Incarnation(8), true);
    assert!(draining(&members), "peers are believed");
}

#[test]
fn platform_calls_are_bounded() {
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
