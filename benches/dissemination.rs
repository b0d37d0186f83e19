//! Spreading decisions alone, in memory and in virtual time, for a failure domain of 1,050 members.
//!
//! Compares the tree with an epidemic push, with and without lost members, then runs whole control
//! planes of that number in virtual time.

#[path = "../tests/support/virtual_fleet.rs"]
mod virtual_fleet;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha12Rng;

use dragonflylead::coordination::document::Revision;
use dragonflylead::coordination::gossip::FANOUT;
use dragonflylead::coordination::gossip::Interval;
use dragonflylead::coordination::gossip::MAX_TRIES;
use dragonflylead::coordination::gossip::delegates;
use dragonflylead::coordination::gossip::position;
use dragonflylead::instance::InstanceName;

use virtual_fleet::VirtualFleet;
use virtual_fleet::policy;

const MEMBERS: usize = 1_050;
const CHANGES: u64 = 200;

/// Rounds that a message to a lost member costs before the next is tried.
const LOST_ROUNDS: u32 = 1;

#[derive(Default)]
struct Outcome {
    messages: u64,
    rounds: u32,
    missed: u64,
    most_sent: u64,
}

struct Domain {
    names: Vec<InstanceName>,
    lost: BTreeSet<usize>,
}

impl Domain {
    fn new(lost: f64, rng: &mut ChaCha12Rng) -> Domain {
        let names = (0..MEMBERS).map(|n| format!("i{n}").as_str().into());
        let mut order: Vec<usize> = (1..MEMBERS).collect();
        order.shuffle(rng);
        order.truncate((lost * MEMBERS as f64) as usize);
        Domain {
            names: names.collect(),
            lost: order.into_iter().collect(),
        }
    }

    fn outcome(&self, messages: u64, reached: &[Option<u32>], sent: &[u64]) -> Outcome {
        let alive = (0..MEMBERS).filter(|n| !self.lost.contains(n));
        Outcome {
            messages,
            rounds: reached.iter().flatten().copied().max().unwrap_or_default(),
            missed: alive.filter(|n| reached[*n].is_none()).count() as u64,
            most_sent: sent.iter().copied().max().unwrap_or_default(),
        }
    }

    fn index(&self, name: &InstanceName) -> usize {
        name.as_str()[1..].parse().expect("a number")
    }

    /// Member 0 hands a change to its delegates, and so on; a lost one is replaced by the next.
    fn tree(&self, revision: u64) -> Outcome {
        let revision = Revision(revision);
        let mut reached = vec![None; MEMBERS];
        let mut sent = vec![0; MEMBERS];
        let mut messages = 0;
        let mut open = VecDeque::from([(0, Interval::ALL, 0)]);
        reached[0] = Some(0);
        while let Some((at, interval, round)) = open.pop_front() {
            let others = self.names.iter().filter(|n| self.index(n) != at);
            for (name, part) in delegates(others, revision, interval) {
                let mut heir = Some((self.index(name), part));
                for tried in 0..MAX_TRIES {
                    let due = round + 1 + tried * LOST_ROUNDS;
                    let Some((to, part)) = heir else { break };
                    messages += 1;
                    sent[at] += 1;
                    if !self.lost.contains(&to) {
                        let first = reached[to].get_or_insert(due);
                        *first = due.min(*first);
                        open.push_back((to, part, due));
                        break;
                    }
                    heir = self.next(revision, part, at);
                }
            }
        }
        self.outcome(messages, &reached, &sent)
    }

    fn next(&self, revision: Revision, part: Interval, at: usize) -> Option<(usize, Interval)> {
        let inside = |n: &&InstanceName| part.contains(position(n, revision));
        let others = self.names.iter().filter(|n| self.index(n) != at);
        let next = others
            .filter(inside)
            .min_by_key(|n| position(n, revision))?;
        let part = Interval::after(position(next, revision), part.last);
        Some((self.index(next), part))
    }

    /// Each member sends a change that it hears of for the first time to `fanout` random members.
    fn epidemic(&self, fanout: usize, rng: &mut ChaCha12Rng) -> Outcome {
        let mut reached = vec![None; MEMBERS];
        let mut sent = vec![0; MEMBERS];
        let mut messages = 0;
        let mut open = VecDeque::from([(0, 0)]);
        reached[0] = Some(0);
        while let Some((at, round)) = open.pop_front() {
            for _ in 0..fanout {
                let to = rng.random_range(0..MEMBERS);
                messages += 1;
                sent[at] += 1;
                if reached[to].is_none() && !self.lost.contains(&to) {
                    reached[to] = Some(round + 1);
                    open.push_back((to, round + 1));
                }
            }
        }
        self.outcome(messages, &reached, &sent)
    }
}

fn row<F>(way: &str, lost: f64, run: F)
where
    F: Fn(&Domain, u64, &mut ChaCha12Rng) -> Outcome,
{
    let mut rng = ChaCha12Rng::seed_from_u64(11);
    let mut sum = Outcome::default();
    for revision in 1..=CHANGES {
        let domain = Domain::new(lost, &mut rng);
        let outcome = run(&domain, revision, &mut rng);
        sum.messages += outcome.messages;
        sum.missed += outcome.missed;
        sum.rounds = sum.rounds.max(outcome.rounds);
        sum.most_sent = sum.most_sent.max(outcome.most_sent);
    }
    let per_change = |n: u64| n as f64 / CHANGES as f64;
    println!(
        "| {way} | {:.0} % | {:.0} | {:.2} | {} | {:.2} | {} |",
        lost * 100.0,
        per_change(sum.messages),
        per_change(sum.messages) / MEMBERS as f64,
        sum.rounds,
        per_change(sum.missed),
        sum.most_sent,
    );
}

fn compare() {
    println!(
        "| way | lost | messages a change | a member | rounds, most | missed | sent by one, most |"
    );
    println!("|---|---|---|---|---|---|---|");
    for lost in [0.0, 0.01, 0.05, 0.2] {
        row(&format!("tree of {FANOUT}"), lost, |d, revision, _| {
            d.tree(revision)
        });
        for fanout in [4, 8, 11] {
            row(&format!("epidemic of {fanout}"), lost, |d, _, rng| {
                d.epidemic(fanout, rng)
            });
        }
    }
}

fn whole_planes() {
    let started = Instant::now();
    let mut fleet = VirtualFleet::new(1, MEMBERS, 1);
    fleet.check_revisions = false;
    let minute = Duration::from_secs(60);
    let ready = fleet.run(2 * minute, |f| f.all_act_on(1));
    let span = fleet.now.micros() as f64 / 1e6;
    let counts = fleet.counts;
    println!("\nall start at once: ready {ready} after {span:.1} s, {counts:?}");
    fleet.run_for(Duration::from_secs(10));
    let before = fleet.counts;
    fleet.run_for(minute);
    let after = fleet.counts;
    let rate = |n: u64| n as f64 / 60.0 / MEMBERS as f64;
    println!(
        "at rest, a member and second: {:.2} exchanges, {:.3} pushes, {:.4} repairs; platform {:.2} calls/s",
        rate(after.exchanges - before.exchanges),
        rate(after.pushes - before.pushes),
        rate(after.repairs - before.repairs),
        (after.platform - before.platform) as f64 / 60.0,
    );
    for (name, lost) in [("all alive", 0), ("5 % dead", 52), ("20 % dead", 157)] {
        let dead: Vec<usize> = (0..lost).map(|n| n * MEMBERS / lost.max(1)).collect();
        dead.iter().for_each(|at| fleet.stop(*at));
        let revision = fleet.config.0 + 1;
        let before = fleet.counts;
        let from = fleet.now;
        fleet.publish(revision, policy(100 * revision));
        let done = fleet.run(minute, |f| f.all_act_on(revision));
        let span = fleet.now.since(from).as_secs_f64();
        let counts = fleet.counts;
        println!(
            "{name}: in force {done} after {span:.2} s, {:.2} pushes and {:.3} repairs a member",
            (counts.pushes - before.pushes) as f64 / MEMBERS as f64,
            (counts.repairs - before.repairs) as f64 / MEMBERS as f64,
        );
        dead.iter().for_each(|at| fleet.start(*at));
        let back = fleet.run(minute, |f| f.all_act_on(revision));
        println!(
            "  all back: {back}, {:.1} s later",
            fleet.now.since(from).as_secs_f64() - span
        );
        fleet.run_for(Duration::from_secs(10));
    }
    println!("{:.0} s of processor time", started.elapsed().as_secs_f64());
}

fn main() {
    compare();
    whole_planes();
}
