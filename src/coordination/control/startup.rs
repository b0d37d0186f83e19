//! When a node may act on its view: after a start and after a process pause it asks its peers first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::clock::Time;
use crate::coordination::control::Action;
use crate::coordination::control::Contact;
use crate::coordination::control::Control;
use crate::coordination::control::DocumentKind;
use crate::coordination::control::PeerStatus;
use crate::coordination::control::contact;
use crate::coordination::document::Revision;
use crate::coordination::members::FAILURES_UNREACHABLE;
use crate::instance::DomainName;

/// Questions that a starting reader has open at once.
const READER_OPEN_QUESTIONS: usize = 64;

/// Random members that a starting node asks in a round, beside the readers.
const RANDOM_QUESTIONS: usize = 3;

/// Longest wait between two rounds of questions.
const ROUND_MAX: Duration = Duration::from_secs(4);

/// First wait between two rounds of questions.
const ROUND_FIRST: Duration = Duration::from_millis(250);

/// Time that seeds have to answer before a node without a list turns to the platform.
const SEEDS_FIRST: Duration = Duration::from_secs(2);

/// Whether a node acts on its view, and what it learned while it does not.
#[derive(Clone, Debug, Default)]
pub(super) struct Phase {
    ready: bool,
    had_view: bool,
    trusted: bool,
    far_answered: bool,
    platform: [bool; 2],
    floor: [Revision; 2],
    asked: BTreeMap<SocketAddr, Asked>,
    readers: Vec<Contact>,
    round: u32,
    next_round: Time,
    since: Option<Time>,
}

/// State of a question to one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Open { failures: u32 },
    NotReady,
    Failed { failures: u32 },
}

impl Phase {
    pub(super) fn starting() -> Phase {
        Phase::default()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(super) fn platform_answered(&mut self, kind: DocumentKind) {
        self.platform[kind as usize] = true;
    }

    pub(super) fn learn_readers(&mut self, readers: Vec<Contact>) {
        if !readers.is_empty() {
            self.readers = readers;
        }
    }

    /// Remembers a peer that asked, if no better contact is known.
    pub(super) fn learn_asker(&mut self, asker: Contact) {
        if self.readers.is_empty() {
            self.readers.push(asker);
        }
    }

    pub(super) fn learned_readers(&self) -> &[Contact] {
        &self.readers
    }

    /// Takes the answer of a peer that a node of `domain` exchanged with.
    pub(super) fn answered(&mut self, from: &Contact, domain: &DomainName, status: &PeerStatus) {
        if self.ready {
            return;
        }
        self.asked.insert(from.address, Asked::NotReady);
        if status.domain != *domain {
            self.far_answered |= status.ready;
            return;
        }
        self.trusted |= status.ready;
        for kind in DocumentKind::BOTH {
            let floor = &mut self.floor[kind as usize];
            *floor = (*floor).max(status.stamp(kind).revision);
        }
    }

    /// Takes the failure of a question.
    pub(super) fn unanswered(&mut self, to: &Contact) {
        let Some(asked) = self.asked.get_mut(&to.address) else {
            return;
        };
        if let Asked::Open { failures } = *asked {
            let failures = failures + 1;
            *asked = Asked::Failed { failures };
        }
    }

    fn open(&self) -> usize {
        let open = |a: &&Asked| matches!(a, Asked::Open { .. });
        self.asked.values().filter(open).count()
    }

    fn ask(&mut self, address: SocketAddr) {
        let failures = match self.asked.get(&address) {
            Some(Asked::Failed { failures }) => *failures,
            _ => 0,
        };
        self.asked.insert(address, Asked::Open { failures });
    }

    /// Returns whether a peer gave all the answer that it will give.
    fn is_settled(&self, address: SocketAddr) -> bool {
        match self.asked.get(&address) {
            Some(Asked::NotReady) => true,
            Some(Asked::Failed { failures }) => *failures >= FAILURES_UNREACHABLE,
            Some(Asked::Open { .. }) | None => false,
        }
    }

    fn is_open(&self, address: SocketAddr) -> bool {
        matches!(self.asked.get(&address), Some(Asked::Open { .. }))
    }
}

impl Control {
    /// Stops acting on the view until a peer confirmed it.
    pub(super) fn check_view(&mut self) {
        let readers = std::mem::take(&mut self.phase.readers);
        self.phase = Phase {
            had_view: self.phase.ready || self.phase.had_view,
            readers,
            ..Phase::default()
        };
        self.changed = true;
    }

    pub(super) fn needs_list_from_platform(&self, now: Time) -> bool {
        if self.list.stamp().revision > Revision::default() {
            return false;
        }
        let waited = self.phase.since.map_or(Duration::ZERO, |s| now.since(s));
        self.seeds.is_empty() || waited >= SEEDS_FIRST
    }

    /// Asks peers while the node does not act on its view, and decides whether it may.
    pub(super) fn start<R>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<Action>)
    where
        R: Rng,
    {
        if self.phase.ready {
            return;
        }
        self.phase.since.get_or_insert(now);
        if self.may_act() {
            let readers = std::mem::take(&mut self.phase.readers);
            self.phase = Phase {
                ready: true,
                readers,
                ..Phase::default()
            };
            self.changed = true;
            return;
        }
        let questions = if self.is_reader() {
            self.reader_questions()
        } else {
            self.member_questions(now, rng)
        };
        for to in questions {
            self.phase.ask(to.address);
            actions.push(self.exchange_with(to));
        }
    }

    fn may_act(&self) -> bool {
        let caught_up = DocumentKind::BOTH.into_iter().all(|kind| {
            let document = self.document(kind);
            let revision = document.stamp().revision;
            let floor = self.phase.floor[kind as usize];
            revision > Revision::default() && revision >= floor && !document.has_missing()
        });
        caught_up && (self.phase.trusted || self.is_alone())
    }

    /// Returns whether no member of the domain acts on a view, so that a reader may take the word
    /// of the platform, of another domain, or its own from before a pause.
    fn is_alone(&self) -> bool {
        let settled = self
            .candidates()
            .iter()
            .all(|c| self.phase.is_settled(c.address));
        let platform = self.phase.platform.iter().all(|answered| *answered);
        let confirmed = platform || self.phase.far_answered || self.phase.had_view;
        self.is_reader() && settled && confirmed
    }

    /// Returns every member of the domain and every seed.
    fn candidates(&self) -> Vec<Contact> {
        let mine = self.me.peer;
        let members = self.members.of_domain(&self.me.domain).map(contact);
        let mut candidates: Vec<Contact> = members.filter(|c| c.address != mine).collect();
        let known: BTreeSet<SocketAddr> = candidates.iter().map(|c| c.address).collect();
        let seeds = self.seeds.iter().filter(|a| !known.contains(a));
        candidates.extend(seeds.filter(|a| **a != mine).map(|address| Contact {
            name: None,
            address: *address,
        }));
        candidates
    }

    fn reader_questions(&self) -> Vec<Contact> {
        let free = READER_OPEN_QUESTIONS.saturating_sub(self.phase.open());
        self.candidates()
            .into_iter()
            .filter(|c| !self.phase.is_settled(c.address) && !self.phase.is_open(c.address))
            .take(free)
            .collect()
    }

    fn member_questions<R>(&mut self, now: Time, rng: &mut R) -> Vec<Contact>
    where
        R: Rng,
    {
        if now < self.phase.next_round {
            return Vec::new();
        }
        let span = ROUND_FIRST * (1 << self.phase.round.min(8));
        let span = span.min(ROUND_MAX).mul_f64(rng.random_range(0.5..1.0));
        self.phase.round += 1;
        self.phase.next_round = now.plus(span);
        let mut first: Vec<Contact> = self.phase.readers.clone();
        first.extend(
            self.readers
                .iter()
                .filter_map(|n| self.members.get(n))
                .map(contact),
        );
        let mut others = self.candidates();
        others.shuffle(rng);
        others.truncate(RANDOM_QUESTIONS);
        first.extend(others);
        first.retain(|c| !self.phase.is_open(c.address) && c.address != self.me.peer);
        first.sort_by_key(|c| c.address);
        first.dedup_by_key(|c| c.address);
        first
    }
}
