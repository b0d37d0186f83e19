//! Comparing with other nodes, and repairing what differs.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::coordination::control::Action;
use crate::coordination::control::Contact;
use crate::coordination::control::Control;
use crate::coordination::control::DocumentKind;
use crate::coordination::control::ExchangeReply;
use crate::coordination::control::PeerId;
use crate::coordination::control::PeerStatus;
use crate::coordination::control::Request;
use crate::coordination::control::contact;
use crate::coordination::control::name;
use crate::coordination::document::Applied;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Revision;
use crate::coordination::members::Member;
use crate::coordination::reader;
use crate::instance::DomainName;
use crate::instance::InstanceName;

/// Silence of the watching readers after which one of them is asked.
const WATCHER_ASK: Duration = Duration::from_secs(2);

impl Control {
    pub(super) fn exchange_with(&self, to: Contact) -> Action {
        Action::Send {
            to,
            request: Request::Exchange(self.status()),
            tries: 0,
        }
    }

    pub(super) fn exchanged(&self, theirs: &PeerStatus) -> ExchangeReply {
        let chain = |kind: DocumentKind| {
            let stamp = self.document(kind).stamp();
            let newer = stamp.revision > theirs.stamp(kind).revision;
            let log = newer.then_some(&self.logs[kind as usize]);
            log.map_or_else(Vec::new, |l| l.chain(theirs.stamp(kind).digest, stamp))
        };
        let listless = theirs.list.revision == Revision::default();
        let readers = if listless {
            self.readers_here()
        } else {
            Vec::new()
        };
        ExchangeReply {
            status: self.status(),
            config: chain(DocumentKind::Config),
            list: chain(DocumentKind::List),
            rejection: self.config.rejection().cloned(),
            readers,
        }
    }

    pub(super) fn take_exchanged<R>(
        &mut self,
        now: Time,
        to: &Contact,
        exchanged: ExchangeReply,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        self.confirmed = Some(now);
        if let Some(rejection) = &exchanged.rejection {
            self.config.note_rejection(rejection);
        }
        let far = exchanged.status.domain != self.me.domain && self.is_reader();
        for kind in DocumentKind::BOTH {
            for delta in exchanged.deltas(kind) {
                if self.apply(now, kind, delta) == Applied::Done && far {
                    self.spread(now, kind, delta.clone());
                }
            }
        }
        self.hear_of(now, &exchanged.status);
        self.phase.answered(to, &self.me.domain, &exchanged.status);
        self.phase.learn_readers(exchanged.readers);
        self.pull_if_newer(now, Some(to.clone()), &exchanged.status, rng, actions);
    }

    /// Returns how to reach an asker. A node without a list remembers it, to ask it in turn.
    pub(super) fn contact_of(&mut self, from: &PeerId, theirs: &PeerStatus) -> Option<Contact> {
        if self.list.stamp().revision == Revision::default() {
            let asker = Contact {
                name: Some(from.name.clone()),
                address: theirs.address,
            };
            self.phase.learn_asker(asker.clone());
            return Some(asker);
        }
        self.members.get(&from.name).map(contact)
    }

    /// Asks for what a peer has and this node has not.
    pub(super) fn pull_if_newer<R>(
        &mut self,
        now: Time,
        from: Option<Contact>,
        theirs: &PeerStatus,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let whom = from.filter(|_| theirs.complete);
        for kind in DocumentKind::BOTH {
            if theirs.stamp(kind).revision > self.document(kind).stamp().revision {
                self.ask_repair(now, kind, whom.clone(), rng, actions);
            }
        }
    }

    /// Asks a node that holds everything for the sections that differ, one request at a time.
    pub(super) fn ask_repair<R>(
        &mut self,
        now: Time,
        kind: DocumentKind,
        whom: Option<Contact>,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        if now < self.repair_until[kind as usize] {
            return;
        }
        let Some(to) = whom.or_else(|| self.draw_reader(rng)) else {
            return;
        };
        self.repair_until[kind as usize] = now.plus(self.timing.repair_timeout);
        let all = self.is_reader();
        let request = Request::Repair {
            kind,
            request: self.document(kind).repair_request(all),
        };
        actions.push(Action::Send {
            to,
            request,
            tries: 0,
        });
    }

    pub(super) fn take_repair(
        &mut self,
        now: Time,
        kind: DocumentKind,
        request: &RepairRequest,
        repair: Option<Repair>,
        near: bool,
    ) {
        self.repair_until[kind as usize] = Time::ZERO;
        let Some(repair) = repair else {
            self.repair_until[kind as usize] = now.plus(self.timing.repair_timeout);
            return;
        };
        let before = self.document(kind).stamp();
        let (applied, delta) = match kind {
            DocumentKind::Config => self.config.apply_repair(repair, request),
            DocumentKind::List => self.list.apply_repair(repair, request),
        };
        if applied != Applied::Done {
            return;
        }
        self.document_changed(now, kind);
        let newer = self.document(kind).stamp() != before;
        let Some(delta) = delta.filter(|_| newer) else {
            return;
        };
        if near {
            self.logs[kind as usize].keep(&delta);
        } else {
            self.spread(now, kind, delta);
        }
    }

    /// Repairs what is missing: needed sections, or everything at a reader.
    pub(super) fn repair_regularly<R>(&mut self, now: Time, rng: &mut R, actions: &mut Vec<Action>)
    where
        R: Rng,
    {
        let reader = self.is_reader();
        for kind in DocumentKind::BOTH {
            let document = self.document(kind);
            let incomplete = reader && !document.is_complete();
            if incomplete || document.has_missing() {
                self.ask_repair(now, kind, None, rng, actions);
            }
        }
    }

    /// Draws a reader of the own domain, or of any other if there is none.
    fn draw_reader<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let near = self.readers_here();
        let me = &self.me.name;
        let near: Vec<&Contact> = near
            .iter()
            .filter(|c| c.name.as_ref() != Some(me))
            .collect();
        let learned = self.phase.learned_readers();
        let far = near.is_empty() || (self.is_reader() && rng.random_ratio(1, 4));
        if far && let Some(reader) = self.draw_far_reader(rng) {
            return Some(reader);
        }
        let near = near.choose(rng).map(|c| (*c).clone());
        near.or_else(|| learned.choose(rng).cloned())
    }

    fn readers_here(&self) -> Vec<Contact> {
        let here = |n: &InstanceName| {
            if *n == self.me.name {
                return Some(Contact {
                    name: Some(n.clone()),
                    address: self.me.peer,
                });
            }
            self.members.get(n).map(contact)
        };
        self.readers.iter().filter_map(here).collect()
    }

    fn far_domains(&self) -> BTreeMap<&DomainName, Vec<&InstanceName>> {
        let mut domains: BTreeMap<&DomainName, Vec<&InstanceName>> = BTreeMap::new();
        let reachable = self.members.iter().filter(|m| m.is_reachable());
        for member in reachable.filter(|m| m.instance.domain != self.me.domain) {
            let names = domains.entry(&member.instance.domain).or_default();
            names.push(name(member));
        }
        domains
    }

    /// Returns the first reader of each other domain.
    pub(super) fn first_far_readers(&self) -> Vec<Contact> {
        let domains = self.far_domains().into_values();
        let first = domains.filter_map(|names| reader::readers(names).first().copied());
        first
            .filter_map(|n| self.members.get(n))
            .map(contact)
            .collect()
    }

    /// Draws another reader that watches the platform for all.
    fn draw_watcher<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let far = self.far_domains();
        let all = far.keys().copied().chain([&self.me.domain]);
        let first = |domain: &DomainName| match far.get(domain) {
            Some(names) => reader::readers(names.iter().copied()).first().copied(),
            None => self.readers.first(),
        };
        let watchers: Vec<&InstanceName> = reader::watch_domains(all)
            .into_iter()
            .filter_map(first)
            .filter(|n| **n != self.me.name)
            .collect();
        let chosen = watchers.choose(rng)?;
        self.members.get(chosen).map(contact)
    }

    /// Draws a reader of another domain, each domain as likely.
    fn draw_far_reader<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let domains: Vec<Vec<&InstanceName>> = self.far_domains().into_values().collect();
        let names = domains.choose(rng)?;
        let readers = reader::readers(names.iter().copied());
        let chosen = readers.choose(rng)?;
        self.members.get(chosen).map(contact)
    }

    /// Compares with a member of the domain, and as a reader with a reader of another domain.
    pub(super) fn exchange_regularly<R>(
        &mut self,
        now: Time,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        if now >= self.next_exchange {
            self.next_exchange = now.plus(around(self.timing.exchange, rng));
            let peers: Vec<&Member> = self.domain_peers().collect();
            let chosen = self.members.doubted(rng).or(peers.choose(rng).copied());
            actions.extend(chosen.map(|m| self.exchange_with(contact(m))));
            actions.extend(self.probe_unreachable(rng));
        }
        if now >= self.next_cross && self.is_reader() {
            self.next_cross = now.plus(around(self.timing.cross_domain_exchange, rng));
            let heard = self.watcher_heard.map(|at| now.since(at));
            let chosen = match heard.is_some_and(|silence| silence < WATCHER_ASK) {
                true => self.draw_far_reader(rng),
                false => self.draw_watcher(rng),
            };
            actions.extend(chosen.map(|to| self.exchange_with(to)));
        }
    }

    /// Tries an instance that did not answer lately, so that a healed partition is noticed.
    fn probe_unreachable<R>(&self, rng: &mut R) -> Option<Action>
    where
        R: Rng,
    {
        let reader = self.is_reader();
        let here = |m: &&Member| reader || m.instance.domain == self.me.domain;
        let lost: Vec<&Member> = self
            .members
            .iter()
            .filter(|m| !m.is_reachable() && m.instance.name != self.me.name)
            .filter(here)
            .collect();
        let chosen = lost.choose(rng)?;
        Some(self.exchange_with(contact(chosen)))
    }
}

/// Draws a span around `mean`, so that nodes do not act in step.
fn around<R>(mean: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    mean.mul_f64(rng.random_range(0.5..1.5))
}
