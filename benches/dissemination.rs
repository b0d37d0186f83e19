//! Dissemination of configuration changes in a failure domain of 1,050 members, in memory.
//!
//! Compares the delegation tree with an epidemic push, with and without lost members, counting
//! messages and rounds only. Then runs that many complete control planes in virtual time.
//!
//! Run with `cargo bench --bench dissemination`.

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

/// Members of the failure domain.
const MEMBERS: usize = 1_050;
/// Changes over which the comparison averages.
const CHANGES: u64 = 200;

/// Rounds until an unanswered message to a lost member is sent to the next one.
const TIMEOUT_ROUNDS: u32 = 1;

/// Cost and coverage of the dissemination of one change.
#[derive(Default)]
struct Outcome {
    /// Messages sent by all members.
    messages: u64,
    /// Rounds until the last member was reached.
    rounds: u32,
    /// Live members that were not reached.
    missed: u64,
    /// Maximum number of messages sent by one member.
    max_sent: u64,
}

/// A failure domain with some members lost.
struct Domain {
    names: Vec<InstanceName>,
    lost: BTreeSet<usize>,
}

impl Domain {
    /// Returns a domain with the share `lost` of its members lost, but never member 0.
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

    /// Summarizes the round in which each member was reached and the messages that each sent.
    fn outcome(&self, messages: u64, reached: &[Option<u32>], sent: &[u64]) -> Outcome {
        let live = (0..MEMBERS).filter(|n| !self.lost.contains(n));
        Outcome {
            messages,
            rounds: reached.iter().flatten().copied().max().unwrap_or_default(),
            missed: live.filter(|n| reached[*n].is_none()).count() as u64,
            max_sent: sent.iter().copied().max().unwrap_or_default(),
        }
    }

    /// Returns the index of a member from its name.
    fn index(&self, name: &InstanceName) -> usize {
        name.as_str()[1..]
            .parse()
            .expect("the name ends in the index")
    }

    /// Sends a change from member 0 down the delegation tree. For a lost delegate the next member
    /// of its interval is tried.
    fn tree(&self, revision: u64) -> Outcome {
        let revision = Revision(revision);
        let mut reached = vec![None; MEMBERS];
        let mut sent = vec![0; MEMBERS];
        let mut messages = 0;
        let mut pending = VecDeque::from([(0, Interval::ALL, 0)]);
        reached[0] = Some(0);
        while let Some((at, interval, round)) = pending.pop_front() {
            let others = self.names.iter().filter(|n| self.index(n) != at);
            for (name, part) in delegates(others, revision, interval) {
                let mut delegate = Some((self.index(name), part));
                for tried in 0..MAX_TRIES {
                    let due = round + 1 + tried * TIMEOUT_ROUNDS;
                    let Some((to, part)) = delegate else { break };
                    messages += 1;
                    sent[at] += 1;
                    if !self.lost.contains(&to) {
                        let first = reached[to].get_or_insert(due);
                        *first = due.min(*first);
                        pending.push_back((to, part, due));
                        break;
                    }
                    delegate = self.next_delegate(revision, part, at);
                }
            }
        }
        self.outcome(messages, &reached, &sent)
    }

    /// Returns the member of an interval that comes first, other than `at`, and the rest of the
    /// interval after it.
    fn next_delegate(
        &self,
        revision: Revision,
        part: Interval,
        at: usize,
    ) -> Option<(usize, Interval)> {
        let inside = |n: &&InstanceName| part.contains(position(n, revision));
        let others = self.names.iter().filter(|n| self.index(n) != at);
        let next = others
            .filter(inside)
            .min_by_key(|n| position(n, revision))?;
        let part = Interval::after(position(next, revision), part.last);
        Some((self.index(next), part))
    }

    /// Sends a change from member 0 by epidemic push: each member that receives it for the first
    /// time sends it to `fanout` random members.
    fn epidemic(&self, fanout: usize, rng: &mut ChaCha12Rng) -> Outcome {
        let mut reached = vec![None; MEMBERS];
        let mut sent = vec![0; MEMBERS];
        let mut messages = 0;
        let mut pending = VecDeque::from([(0, 0)]);
        reached[0] = Some(0);
        while let Some((at, round)) = pending.pop_front() {
            for _ in 0..fanout {
                let to = rng.random_range(0..MEMBERS);
                messages += 1;
                sent[at] += 1;
                if reached[to].is_none() && !self.lost.contains(&to) {
                    reached[to] = Some(round + 1);
                    pending.push_back((to, round + 1));
                }
            }
        }
        self.outcome(messages, &reached, &sent)
    }
}

/// Prints a row of the comparison: averages and maxima over [`CHANGES`] changes.
fn print_row<F>(method: &str, lost: f64, run: F)
where
    F: Fn(&Domain, u64, &mut ChaCha12Rng) -> Outcome,
{
    let mut rng = ChaCha12Rng::seed_from_u64(11);
    let mut total = Outcome::default();
    for revision in 1..=CHANGES {
        let domain = Domain::new(lost, &mut rng);
        let outcome = run(&domain, revision, &mut rng);
        total.messages += outcome.messages;
        total.missed += outcome.missed;
        total.rounds = total.rounds.max(outcome.rounds);
        total.max_sent = total.max_sent.max(outcome.max_sent);
    }
    let per_change = |n: u64| n as f64 / CHANGES as f64;
    println!(
        "| {method} | {:.0} % | {:.0} | {:.2} | {} | {:.2} | {} |",
        lost * 100.0,
        per_change(total.messages),
        per_change(total.messages) / MEMBERS as f64,
        total.rounds,
        per_change(total.missed),
        total.max_sent,
    );
}

/// Prints the comparison of the delegation tree with epidemic pushes.
fn print_comparison() {
    println!(
        "| method | lost | messages per change | per member | rounds, max | missed per change | sent by one member, max |"
    );
    println!("|---|---|---|---|---|---|---|");
    for lost in [0.0, 0.01, 0.05, 0.2] {
        print_row(&format!("tree of {FANOUT}"), lost, |d, revision, _| {
            d.tree(revision)
        });
        for fanout in [4, 8, 11] {
            print_row(&format!("epidemic of {fanout}"), lost, |d, _, rng| {
                d.epidemic(fanout, rng)
            });
        }
    }
}

/// Runs [`MEMBERS`] control planes in virtual time and prints their traffic: at a simultaneous
/// start, when idle, and for a change while some members are stopped.
fn simulate_control_planes() {
    let started = Instant::now();
    let mut fleet = VirtualFleet::new(1, MEMBERS, 1);
    fleet.check_revisions = false;
    let minute = Duration::from_secs(60);
    let ready = fleet.run(2 * minute, |f| f.all_act_on(1));
    let span = fleet.now.micros() as f64 / 1e6;
    let counts = fleet.counts;
    println!("\nsimultaneous start: all ready: {ready}, after {span:.1} s, {counts:?}");
    fleet.run_for(Duration::from_secs(10));
    let before = fleet.counts;
    fleet.run_for(minute);
    let after = fleet.counts;
    let rate = |n: u64| n as f64 / 60.0 / MEMBERS as f64;
    println!(
        "idle, per member and second: {:.2} exchanges, {:.3} pushes, {:.4} repairs; platform {:.2} calls/s",
        rate(after.exchanges - before.exchanges),
        rate(after.pushes - before.pushes),
        rate(after.repairs - before.repairs),
        (after.platform - before.platform) as f64 / 60.0,
    );
    for (name, lost) in [
        ("all members live", 0),
        ("5 % stopped", 52),
        ("20 % stopped", 157),
    ] {
        let stopped: Vec<usize> = (0..lost).map(|n| n * MEMBERS / lost.max(1)).collect();
        stopped.iter().for_each(|at| fleet.stop(*at));
        let revision = fleet.config.0 + 1;
        let before = fleet.counts;
        let from = fleet.now;
        fleet.publish(revision, policy(100 * revision));
        let done = fleet.run(minute, |f| f.all_act_on(revision));
        let span = fleet.now.since(from).as_secs_f64();
        let counts = fleet.counts;
        println!(
            "{name}: in force at all live members: {done}, after {span:.2} s, {:.2} pushes and {:.3} repairs per member",
            (counts.pushes - before.pushes) as f64 / MEMBERS as f64,
            (counts.repairs - before.repairs) as f64 / MEMBERS as f64,
        );
        stopped.iter().for_each(|at| fleet.start(*at));
        let back = fleet.run(minute, |f| f.all_act_on(revision));
        println!(
            "  in force at the restarted members too: {back}, {:.1} s later",
            fleet.now.since(from).as_secs_f64() - span
        );
        fleet.run_for(Duration::from_secs(10));
    }
    println!("{:.0} s of processor time", started.elapsed().as_secs_f64());
}

fn main() {
    print_comparison();
    simulate_control_planes();
}
