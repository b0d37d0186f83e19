//! Membership: the instances of the fleet, by the published list and by direct contact.
//!
//! The published list lags behind, so that incarnations, reachability and draining are also taken
//! from messages of the instances themselves.

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

/// Maximum number of instances that are tracked.
pub const MAX_MEMBERS: usize = 65_536;

/// Share of the listed instances whose removal from the list within [`REMOVAL_WINDOW`] is accepted.
pub const ACCEPTED_REMOVAL_SHARE: f64 = 0.2;

/// Number of removals within [`REMOVAL_WINDOW`] that are accepted in a fleet of any size.
pub const ALWAYS_ACCEPTED_REMOVALS: usize = 3;

/// Length of the sliding window in which removals are counted.
pub const REMOVAL_WINDOW: Duration = Duration::from_secs(60);

/// Number of consecutive failed requests after which an instance counts as unreachable.
pub const UNREACHABLE_AFTER_FAILURES: u32 = 3;

/// State of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance as last listed.
    pub instance: Instance,
    /// Latest incarnation seen in a message, `None` before the first.
    pub incarnation: Option<Incarnation>,
    /// Whether the latest list contains the instance.
    pub listed: bool,
    /// Whether the instance is draining. Once set, it stays set until a new incarnation or address.
    pub draining: bool,
    /// Number of failed requests since the last contact.
    pub failures: u32,
    /// Time of the last message from the instance, `None` before the first.
    pub last_contact: Option<Time>,
}

impl Member {
    /// Returns whether fewer than [`UNREACHABLE_AFTER_FAILURES`] requests failed since the last
    /// contact.
    pub fn is_reachable(&self) -> bool {
        self.failures < UNREACHABLE_AFTER_FAILURES
    }

    fn is_unlisted(&self) -> bool {
        !self.listed
    }
}

/// The instances known to a node.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: BTreeMap<InstanceName, Member>,
    removals: VecDeque<(Time, usize)>,
    generation: u64,
}

impl Members {
    /// Updates the members from a published list.
    ///
    /// Instances missing from the list are removed. If too many disappear within
    /// [`REMOVAL_WINDOW`], the list may be wrong: they stay as unlisted members until they become
    /// unreachable.
    pub fn update(&mut self, now: Time, listed: Vec<Instance>) {
        self.generation += 1;
        let names: BTreeSet<InstanceName> = listed.iter().map(|i| i.name.clone()).collect();
        let known = self.members.values().filter(|m| m.listed).count();
        let removed: Vec<InstanceName> = self
            .members
            .values()
            .filter(|m| m.listed && !names.contains(&m.instance.name))
            .map(|m| m.instance.name.clone())
            .collect();
        let accepted = self.accepts_removals(now, known, removed.len());
        for name in &removed {
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

    /// Counts the removals of a list and returns whether they are accepted.
    fn accepts_removals(&mut self, now: Time, known: usize, removed: usize) -> bool {
        let old = |at: &Time| now.since(*at) > REMOVAL_WINDOW;
        while self.removals.front().is_some_and(|(at, _)| old(at)) {
            self.removals.pop_front();
        }
        if removed > 0 {
            self.removals.push_back((now, removed));
        }
        let recent: usize = self.removals.iter().map(|(_, n)| n).sum();
        let before = known + recent - removed;
        let share = (before as f64 * ACCEPTED_REMOVAL_SHARE) as usize;
        recent <= share.max(ALWAYS_ACCEPTED_REMOVALS)
    }

    /// Adds or updates a listed instance.
    fn upsert(&mut self, instance: Instance) {
        let listed_draining = instance.state == InstanceState::Draining;
        let Some(member) = self.members.get_mut(&instance.name) else {
            if self.members.len() < MAX_MEMBERS {
                self.members.insert(
                    instance.name.clone(),
                    Member {
                        instance,
                        incarnation: None,
                        listed: true,
                        draining: listed_draining,
                        failures: 0,
                        last_contact: None,
                    },
                );
            }
            return;
        };
        let was_listed_draining = member.instance.state == InstanceState::Draining;
        let moved = member.instance.peer != instance.peer;
        if moved {
            member.draining = listed_draining;
            member.failures = 0;
        }
        member.draining |= listed_draining && !was_listed_draining;
        member.listed = true;
        member.instance = instance;
    }

    /// Removes unlisted instances whose address now belongs to a listed one.
    fn drop_reused_addresses(&mut self) {
        if !self.members.values().any(Member::is_unlisted) {
            return;
        }
        let listed = self.members.values().filter(|m| m.listed);
        let listed_addresses: BTreeSet<_> = listed.map(|m| m.instance.peer).collect();
        self.members
            .retain(|_, m| m.listed || !listed_addresses.contains(&m.instance.peer));
    }

    /// Records a message from an instance, which shows that it is reachable.
    ///
    /// Returns false and changes nothing if a later incarnation of the instance is known. Returns
    /// true for an instance that is not a member.
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
        member.last_contact = Some(now);
        true
    }

    /// Records that a request to an instance failed. Removes an unlisted instance that thereby
    /// becomes unreachable.
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

    /// Returns a counter that increases when instances are added or removed or their reachability
    /// changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the member of that name.
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.members.get(name)
    }

    /// Returns all members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members of a failure domain, ordered by name.
    pub fn of_domain<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a Member> {
        let in_domain = move |m: &&Member| m.instance.domain == *domain;
        self.members.values().filter(in_domain)
    }

    /// Returns a random member that is no longer listed.
    pub fn random_unlisted<R>(&self, rng: &mut R) -> Option<&Member>
    where
        R: Rng,
    {
        let unlisted: Vec<&Member> = self.members.values().filter(|m| m.is_unlisted()).collect();
        unlisted.choose(rng).copied()
    }
}
