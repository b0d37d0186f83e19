//! What is known of other instances: the published list, which lags, and what peers observe.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::instance::DomainName;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;

/// Most instances that are known at once.
pub const MAX_MEMBERS: usize = 65_536;

/// Share of the known instances that may leave the list within [`REMOVAL_WINDOW`] and be believed.
pub const ACCEPTED_REMOVAL_SHARE: f64 = 0.2;

/// Number of instances that may always leave the list within [`REMOVAL_WINDOW`].
pub const ALWAYS_ACCEPTED_REMOVALS: usize = 3;

/// Span over which removals are counted.
pub const REMOVAL_WINDOW: Duration = Duration::from_secs(60);

/// Failed contacts in a row after which an instance counts as unreachable.
pub const FAILURES_UNREACHABLE: u32 = 3;

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance as last listed.
    pub instance: Instance,
    /// Latest incarnation that was heard of.
    pub incarnation: Option<Incarnation>,
    /// Whether the list still names it.
    pub listed: bool,
    /// Whether it is leaving; stays set for as long as its incarnation does.
    pub draining: bool,
    /// Failed contacts since the last answer.
    pub failures: u32,
    /// When it last answered.
    pub last_answer: Option<Time>,
}

impl Member {
    /// Returns whether it answers, as far as is known.
    pub fn is_reachable(&self) -> bool {
        self.failures < FAILURES_UNREACHABLE
    }

    fn is_unlisted(&self) -> bool {
        !self.listed
    }
}

/// The instances that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<InstanceName, Member>,
    removals: VecDeque<(Time, usize)>,
    generation: u64,
}

impl Members {
    /// Takes over a published list.
    ///
    /// Instances that are no longer listed are forgotten, unless so many disappear within a short
    /// time that the list is not believed: then each stays until it stops answering.
    pub fn update(&mut self, now: Time, listed: Vec<Instance>) {
        self.generation += 1;
        let names: BTreeSet<InstanceName> = listed.iter().map(|i| i.name.clone()).collect();
        let known = self.members.values().filter(|m| m.listed).count();
        let gone: Vec<InstanceName> = self
            .members
            .values()
            .filter(|m| m.listed && !names.contains(&m.instance.name))
            .map(|m| m.instance.name.clone())
            .collect();
        let accepted = self.accepts_removals(now, known, gone.len());
        for name in &gone {
            if accepted {
                self.members.remove(name);
            } else if let Some(member) = self.members.get_mut(name) {
                member.listed = false;
            }
        }
        for instance in listed {
            self.upsert(instance);
        }
        self.drop_reused_addresses();
    }

    fn accepts_removals(&mut self, now: Time, known: usize, gone: usize) -> bool {
        let old = |at: &Time| now.since(*at) > REMOVAL_WINDOW;
        while self.removals.front().is_some_and(|(at, _)| old(at)) {
            self.removals.pop_front();
        }
        if gone > 0 {
            self.removals.push_back((now, gone));
        }
        let recent: usize = self.removals.iter().map(|(_, n)| n).sum();
        let before = known + recent - gone;
        let share = (before as f64 * ACCEPTED_REMOVAL_SHARE) as usize;
        recent <= share.max(ALWAYS_ACCEPTED_REMOVALS)
    }

    fn upsert(&mut self, instance: Instance) {
        let leaving = instance.state == InstanceState::Leaving;
        let Some(member) = self.members.get_mut(&instance.name) else {
            if self.members.len() < MAX_MEMBERS {
                self.members.insert(
                    instance.name.clone(),
                    Member {
                        instance,
                        incarnation: None,
                        listed: true,
                        draining: leaving,
                        failures: 0,
                        last_answer: None,
                    },
                );
            }
            return;
        };
        let was_leaving = member.instance.state == InstanceState::Leaving;
        let moved = member.instance.peer != instance.peer;
        if moved {
            member.draining = leaving;
            member.failures = 0;
        }
        member.draining |= leaving && !was_leaving;
        member.listed = true;
        member.instance = instance;
    }

    /// Forgets unlisted instances whose address a listed one has now.
    fn drop_reused_addresses(&mut self) {
        if !self.members.values().any(Member::is_unlisted) {
            return;
        }
        let listed = self.members.values().filter(|m| m.listed);
        let listed_addresses: BTreeSet<_> = listed.map(|m| m.instance.peer).collect();
        self.members
            .retain(|_, m| m.listed || !listed_addresses.contains(&m.instance.peer));
    }

    /// Notes that an instance answered or sent something. Returns whether it is its latest life.
    pub fn record_contact(
        &mut self,
        now: Time,
        name: &InstanceName,
        incarnation: Incarnation,
        draining: bool,
    ) -> bool {
        let Some(member) = self.members.get_mut(name) else {
            return true;
        };
        if member.incarnation.is_some_and(|known| incarnation < known) {
            return false;
        }
        if member.incarnation.is_some_and(|known| incarnation > known) {
            member.draining = false;
        }
        self.generation += u64::from(!member.is_reachable());
        member.incarnation = Some(incarnation);
        member.draining |= draining;
        member.failures = 0;
        member.last_answer = Some(now);
        true
    }

    /// Notes that an instance did not answer.
    pub fn record_failure(&mut self, name: &InstanceName) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        self.generation += u64::from(!member.is_reachable());
        if member.is_unlisted() && !member.is_reachable() {
            self.members.remove(name);
        }
    }

    /// Returns a number that changes when instances come, go, or change in being reachable.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns what is known of an instance.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns everything that is known, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the instances of a failure domain.
    pub fn of_domain<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a Member> {
        let here = move |m: &&Member| m.instance.domain == *domain;
        self.members.values().filter(here)
    }

    /// Draws an instance that left the list and is kept for as long as it answers.
    pub fn random_unlisted<R>(&self, rng: &mut R) -> Option<&Member>
    where
        R: Rng,
    {
        let unlisted: Vec<&Member> = self.members.values().filter(|m| m.is_unlisted()).collect();
        unlisted.choose(rng).copied()
    }
}
