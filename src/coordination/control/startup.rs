//! Confirmation of the view after a start or a process pause, before the node may act on it.

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
use crate::coordination::members::UNREACHABLE_AFTER_FAILURES;
use crate::instance::DomainName;

/// Maximum number of queries that a starting reader has open at once.
const MAX_OPEN_READER_QUERIES: usize = 64;

/// Number of random members that a starting node queries in each round, besides the readers.
const RANDOM_QUERIES_PER_ROUND: usize = 3;

/// Maximum interval between two rounds of queries.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(4);

/// Interval after the first round of queries; it doubles with each round.
const FIRST_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time that the seeds have to supply an instance list before the node reads it from the platform.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether the view is confirmed, and progress towards that while it is not.
#[derive(Clone, Debug, Default)]
pub(super) struct StartupState {
    ready: bool,
    /// Whether the view was confirmed before a pause.
    had_confirmed_view: bool,
    /// Whether a ready node of the local domain answered.
    confirmed_by_domain: bool,
    /// Whether a ready node of another domain answered.
    confirmed_by_other_domain: bool,
    /// Whether the platform answered, by document.
    platform_answered: [bool; 2],
    /// Highest revision that a peer of the local domain reported, by document.
    min_revision: [Revision; 2],
    queries: BTreeMap<SocketAddr, QueryState>,
    /// Nodes to query while there is no instance list: readers that peers named, or a peer that
    /// sent a request.
    learned_readers: Vec<Contact>,
    /// Number of rounds of queries so far.
    round: u32,
    next_round: Time,
    /// Time of the first tick while the view was unconfirmed.
    started_at: Option<Time>,
}

/// State of the query to one peer. `failures` counts the failed attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueryState {
    Open { failures: u32 },
    Answered,
    Failed { failures: u32 },
}

impl StartupState {
    pub(super) fn new() -> StartupState {
        StartupState::default()
    }

    pub(super) fn is_ready(&self) -> bool {
        self.ready
    }

    pub(super) fn record_platform_response(&mut self, kind: DocumentKind) {
        self.platform_answered[kind as usize] = true;
    }

    pub(super) fn learn_readers(&mut self, readers: Vec<Contact>) {
        if !readers.is_empty() {
            self.learned_readers = readers;
        }
    }

    /// Remembers a peer that sent a request, to query it as if it were a reader, unless readers are
    /// known.
    pub(super) fn learn_requester(&mut self, requester: Contact) {
        if self.learned_readers.is_empty() {
            self.learned_readers.push(requester);
        }
    }

    pub(super) fn learned_readers(&self) -> &[Contact] {
        &self.learned_readers
    }

    /// Records the reply of a peer. `domain` is the local domain.
    ///
    /// The view must reach the highest revision that any peer of the local domain reports.
    pub(super) fn record_reply(
        &mut self,
        from: &Contact,
        domain: &DomainName,
        status: &PeerStatus,
    ) {
        if self.ready {
            return;
        }
        self.queries.insert(from.address, QueryState::Answered);
        if status.domain != *domain {
            self.confirmed_by_other_domain |= status.ready;
            return;
        }
        self.confirmed_by_domain |= status.ready;
        for kind in DocumentKind::BOTH {
            let min = &mut self.min_revision[kind as usize];
            *min = (*min).max(status.stamp(kind).revision);
        }
    }

    /// Records that a query failed.
    pub(super) fn record_failure(&mut self, to: &Contact) {
        let Some(query) = self.queries.get_mut(&to.address) else {
            return;
        };
        if let QueryState::Open { failures } = *query {
            let failures = failures + 1;
            *query = QueryState::Failed { failures };
        }
    }

    fn open_queries(&self) -> usize {
        let open = |query: &&QueryState| matches!(query, QueryState::Open { .. });
        self.queries.values().filter(open).count()
    }

    fn record_query(&mut self, address: SocketAddr) {
        let failures = match self.queries.get(&address) {
            Some(QueryState::Failed { failures }) => *failures,
            _ => 0,
        };
        self.queries.insert(address, QueryState::Open { failures });
    }

    /// Returns whether a peer has answered or counts as unreachable.
    fn is_settled(&self, address: SocketAddr) -> bool {
        match self.queries.get(&address) {
            Some(QueryState::Answered) => true,
            Some(QueryState::Failed { failures }) => *failures >= UNREACHABLE_AFTER_FAILURES,
            Some(QueryState::Open { .. }) | None => false,
        }
    }

    fn is_open(&self, address: SocketAddr) -> bool {
        matches!(self.queries.get(&address), Some(QueryState::Open { .. }))
    }
}

impl Control {
    /// Marks the view as unconfirmed and starts to query peers again.
    pub(super) fn begin_revalidation(&mut self) {
        let learned_readers = std::mem::take(&mut self.startup.learned_readers);
        self.startup = StartupState {
            had_confirmed_view: self.startup.ready || self.startup.had_confirmed_view,
            learned_readers,
            ..StartupState::default()
        };
        self.changed = true;
    }

    /// Returns whether the node has to read the instance list from the platform: it has none, and
    /// its seeds, if any, did not supply one within [`SEED_TIMEOUT`].
    pub(super) fn needs_list_from_platform(&self, now: Time) -> bool {
        if self.list.stamp().revision > Revision::default() {
            return false;
        }
        let waited = self
            .startup
            .started_at
            .map_or(Duration::ZERO, |s| now.since(s));
        self.seeds.is_empty() || waited >= SEED_TIMEOUT
    }

    /// Queries peers while the view is unconfirmed, and marks the node as ready once it is.
    pub(super) fn advance_startup<R>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<Action>)
    where
        R: Rng,
    {
        if self.startup.ready {
            return;
        }
        self.startup.started_at.get_or_insert(now);
        if self.is_view_confirmed() {
            let learned_readers = std::mem::take(&mut self.startup.learned_readers);
            self.startup = StartupState {
                ready: true,
                learned_readers,
                ..StartupState::default()
            };
            self.changed = true;
            return;
        }
        let queries = if self.is_reader() {
            self.reader_queries()
        } else {
            self.member_queries(now, rng)
        };
        for to in queries {
            self.startup.record_query(to.address);
            actions.push(self.exchange_with(to));
        }
    }

    /// Returns whether both documents are loaded, are no older than those of the answering peers,
    /// and were confirmed.
    fn is_view_confirmed(&self) -> bool {
        let caught_up = DocumentKind::BOTH.into_iter().all(|kind| {
            let document = self.document(kind);
            let revision = document.stamp().revision;
            let min = self.startup.min_revision[kind as usize];
            revision > Revision::default() && revision >= min && !document.has_missing_sections()
        });
        caught_up && (self.startup.confirmed_by_domain || self.can_confirm_without_domain())
    }

    /// Returns whether a reader may confirm its view without a ready member of its domain.
    ///
    /// This requires that every member of the domain and every seed has answered or is unreachable.
    /// Then a response of the platform, a ready node of another domain, or a view that was
    /// confirmed before a pause suffices.
    fn can_confirm_without_domain(&self) -> bool {
        let settled = self
            .candidates()
            .iter()
            .all(|c| self.startup.is_settled(c.address));
        let platform = self
            .startup
            .platform_answered
            .iter()
            .all(|answered| *answered);
        let confirmed =
            platform || self.startup.confirmed_by_other_domain || self.startup.had_confirmed_view;
        self.is_reader() && settled && confirmed
    }

    /// Returns every member of the domain and every seed.
    fn candidates(&self) -> Vec<Contact> {
        let mine = self.instance.peer;
        let members = self.members.of_domain(&self.instance.domain).map(contact);
        let mut candidates: Vec<Contact> = members.filter(|c| c.address != mine).collect();
        let known: BTreeSet<SocketAddr> = candidates.iter().map(|c| c.address).collect();
        let seeds = self.seeds.iter().filter(|a| !known.contains(a));
        candidates.extend(seeds.filter(|a| **a != mine).map(|address| Contact {
            name: None,
            address: *address,
        }));
        candidates
    }

    /// Returns the contacts that a reader queries next: all candidates that are not settled.
    fn reader_queries(&self) -> Vec<Contact> {
        let free = MAX_OPEN_READER_QUERIES.saturating_sub(self.startup.open_queries());
        self.candidates()
            .into_iter()
            .filter(|c| !self.startup.is_settled(c.address) && !self.startup.is_open(c.address))
            .take(free)
            .collect()
    }

    /// Returns the contacts of the next round if it is due: all known readers and some random
    /// candidates.
    fn member_queries<R>(&mut self, now: Time, rng: &mut R) -> Vec<Contact>
    where
        R: Rng,
    {
        if now < self.startup.next_round {
            return Vec::new();
        }
        let span = FIRST_ROUND_INTERVAL * (1 << self.startup.round.min(8));
        let span = span
            .min(MAX_ROUND_INTERVAL)
            .mul_f64(rng.random_range(0.5..1.0));
        self.startup.round += 1;
        self.startup.next_round = now.plus(span);
        let mut contacts: Vec<Contact> = self.startup.learned_readers.clone();
        contacts.extend(
            self.domain_readers
                .iter()
                .filter_map(|n| self.members.get(n))
                .map(contact),
        );
        let mut others = self.candidates();
        others.shuffle(rng);
        others.truncate(RANDOM_QUERIES_PER_ROUND);
        contacts.extend(others);
        contacts.retain(|c| !self.startup.is_open(c.address) && c.address != self.instance.peer);
        contacts.sort_by_key(|c| c.address);
        contacts.dedup_by_key(|c| c.address);
        contacts
    }
}
