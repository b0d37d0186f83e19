//! Comparison for docs/design/at-most-once.md: tokens bound to an incarnation against key
//! ownership.
//!
//! Each charge is sent once and runs; its response is lost, and its caller sends it again after a
//! fault. Run with `cargo test --test weighed_tokens`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dragonflylead::Fingerprint;
use dragonflylead::Time;
use dragonflylead::coordination::token::Redemption;
use dragonflylead::coordination::token::TokenLimits;
use dragonflylead::coordination::token::Tokens;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;
use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const CHARGES: u64 = 10_000;
const INSTANCES: u64 = 4;
const NOW: Time = Time::from_millis(1);

/// Fault that occurs between the first copy of a charge and the second.
#[derive(Clone, Copy, Debug, Display, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
enum Fault {
    /// None besides the lost response.
    ResponseLost,
    /// The instance that ran the charge restarted and lost its memory.
    OwnerRestarted,
    /// The service has one more instance.
    InstanceAdded,
    /// The list of live instances no longer contains the instance that ran the charge.
    OwnerLeftTheList,
    /// A network partition, with a list that still contains the instances on the other side.
    PartitionListLags,
    /// A network partition, with a list that contains only the instances on the same side.
    PartitionListCutUp,
}

/// Number of second copies by what happened to them.
#[derive(Default)]
struct Counts {
    ran_twice: u32,
    replayed: u32,
    unknown: u32,
}

/// Returns the instances that the entry node of the second copy considers live.
fn live_instances(fault: Fault, owner: u64) -> Vec<u64> {
    let all = 0..INSTANCES;
    match fault {
        Fault::InstanceAdded => (0..=INSTANCES).collect(),
        Fault::OwnerLeftTheList => all.filter(|n| *n != owner).collect(),
        Fault::PartitionListCutUp => all.filter(|n| !is_cut_off(*n, owner)).collect(),
        _ => all.collect(),
    }
}

/// Returns whether a partition separates `instance` from the entry node of the second copy, which
/// is on the other side from `owner`.
fn is_cut_off(instance: u64, owner: u64) -> bool {
    instance % 2 == owner % 2
}

/// Returns whether the entry node of the second copy reaches `instance`.
fn reachable(fault: Fault, instance: u64, owner: u64) -> bool {
    let partition = matches!(fault, Fault::PartitionListLags | Fault::PartitionListCutUp);
    !partition || !is_cut_off(instance, owner)
}

/// Returns the instance that owns a key, by rendezvous hashing.
fn owner_of(key: u64, instances: &[u64]) -> u64 {
    let score = |n: &u64| xxh3_64_with_seed(&n.to_le_bytes(), key);
    instances.iter().copied().max_by_key(score).unwrap()
}

/// Counts double runs if the owner of a key remembers the keys that ran.
fn run_with_key_ownership(fault: Fault) -> Counts {
    let mut counts = Counts::default();
    for key in 0..CHARGES {
        let owner = owner_of(key, &live_instances(Fault::ResponseLost, 0));
        let mut ran: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        ran.entry(owner).or_default().insert(key);
        if fault == Fault::OwnerRestarted {
            ran.remove(&owner);
        }
        let second = owner_of(key, &live_instances(fault, owner));
        if !reachable(fault, second, owner) {
            counts.unknown += 1;
        } else if ran.entry(second).or_default().insert(key) {
            counts.ran_twice += 1;
        } else {
            counts.replayed += 1;
        }
    }
    counts
}

/// Counts double runs if the second copy goes to the instance that minted its token.
fn run_with_tokens(fault: Fault) -> Counts {
    let mut rng = ChaCha12Rng::seed_from_u64(3);
    let mut counts = Counts::default();
    for key in 0..CHARGES {
        let owner = owner_of(key, &live_instances(Fault::ResponseLost, 0));
        let name = InstanceName::new(&owner.to_string());
        let charge = Fingerprint([key as u8; 16]);
        let mut tokens = Tokens::new(&name, Incarnation(1), TokenLimits::default());
        let token = tokens.mint(NOW, &mut rng).unwrap();
        assert_eq!(tokens.redeem(NOW, &token, charge), Redemption::Run);
        tokens.complete(NOW, &token, (), 0);
        if fault == Fault::OwnerRestarted {
            tokens = Tokens::new(&name, Incarnation(2), TokenLimits::default());
        }
        if !reachable(fault, owner, owner) || fault == Fault::OwnerLeftTheList {
            counts.unknown += 1;
            continue;
        }
        match tokens.redeem(NOW, &token, charge) {
            Redemption::Run => counts.ran_twice += 1,
            Redemption::Replay(()) => counts.replayed += 1,
            Redemption::InProgress | Redemption::Refused(_) => counts.unknown += 1,
        }
    }
    counts
}

fn row(fault: Fault, scheme: &str, counts: &Counts) -> String {
    let Counts {
        ran_twice,
        replayed,
        unknown,
    } = counts;
    format!("{fault:<22} {scheme:<6} {ran_twice:>9} {replayed:>9} {unknown:>9}\n")
}

#[test]
fn double_runs_of_tokens_and_of_key_ownership() {
    let mut table = format!(
        "{:<22} {:<6} {:>9} {:>9} {:>9}\n",
        "fault", "scheme", "ran twice", "replayed", "unknown"
    );
    for fault in Fault::iter() {
        let tokens = run_with_tokens(fault);
        assert_eq!(tokens.ran_twice, 0, "{fault}");
        table += &row(fault, "key", &run_with_key_ownership(fault));
        table += &row(fault, "token", &tokens);
    }
    insta::assert_snapshot!(table);
}
