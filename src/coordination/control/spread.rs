//! Spreading changes inside a domain, repairing differences, and exchanging across domains.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IndexedRandom;

use crate::clock::Time;
use crate::coordination::control::Action;
use crate::coordination::control::Contact;
use crate::coordination::control::Control;
use crate::coordination::control::Exchanged;
use crate::coordination::control::Kind;
use crate::coordination::control::Peer;
use crate::coordination::control::Push;
use crate::coordination::control::Reply;
use crate::coordination::control::Request;
use crate::coordination::control::Status;
use crate::coordination::control::contact;
use crate::coordination::control::name;
use crate::coordination::document::Applied;
use crate::coordination::document::Delta;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Revision;
use crate::coordination::gossip;
use crate::coordination::gossip::Interval;
use crate::coordination::members::Member;
use crate::coordination::reader;
use crate::instance::DomainName;
use crate::instance::InstanceName;

/// A change that a reader will send to its domain.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    delta: Delta,
    due: Time,
}

impl Control {
    /// Answers a request of a peer.
    pub fn request<R>(
        &mut self,
        now: Time,
        from: &Peer,
        request: Request,
        rng: &mut R,
    ) -> (Reply, Vec<Action>)
    where
        R: Rng,
    {
        self.notice_pause(now);
        let draining = matches!(&request, Request::Exchange(status) if status.draining);
        if !self.heard(now, from, draining) {
            return (Reply::Superseded, Vec::new());
        }
        let mut actions = Vec::new();
        let reply = match request {
            Request::Exchange(theirs) => {
                let reply = Reply::Exchanged(Box::new(self.exchanged(&theirs)));
                let contact = self.contact_of(from, &theirs);
                self.pull_if_newer(now, contact, &theirs, rng, &mut actions);
                reply
            }
            Request::Push(push) => {
                self.pushed(now, from, push, rng, &mut actions);
                Reply::Pushed
            }
            Request::Repair { kind, request } => {
                Reply::Repair(self.document(kind).repair(&request))
            }
        };
        (reply, actions)
    }

    /// Takes the reply to a request that was sent to `to`.
    pub fn reply<R>(
        &mut self,
        now: Time,
        to: &Contact,
        request: &Request,
        from: &Peer,
        reply: Reply,
        rng: &mut R,
    ) -> Vec<Action>
    where
        R: Rng,
    {
        self.notice_pause(now);
        let mut actions = Vec::new();
        let draining = matches!(&reply, Reply::Exchanged(e) if e.status.draining);
        if !self.heard(now, from, draining) {
            return actions;
        }
        match reply {
            Reply::Exchanged(exchanged) => {
                self.take_exchanged(now, to, *exchanged, rng, &mut actions);
            }
            Reply::Repair(repair) => {
                if let Request::Repair { kind, request } = request {
                    let near = self.members.get(&from.name);
                    let near = near.is_some_and(|m| m.instance.domain == self.me.domain);
                    self.take_repair(now, *kind, request, repair, near);
                }
            }
            Reply::Pushed | Reply::Superseded => (),
        }
        actions
    }

    /// Takes the failure of a request that was sent to `to`.
    pub fn failed<R>(
        &mut self,
        now: Time,
        to: &Contact,
        request: Request,
        tries: u32,
        rng: &mut R,
    ) -> Vec<Action>
    where
        R: Rng,
    {
        let mut actions = Vec::new();
        if let Some(name) = &to.name {
            self.members.failed(name);
        }
        self.changed = true;
        self.phase.unanswered(to);
        match request {
            Request::Push(push) => self.push_to_next(to, push, tries, &mut actions),
            Request::Repair { kind, .. } => {
                self.repair_until[kind as usize] = Time::ZERO;
                self.ask_repair(now, kind, None, rng, &mut actions);
            }
            Request::Exchange(_) => (),
        }
        actions
    }

    fn heard(&mut self, now: Time, from: &Peer, draining: bool) -> bool {
        let before = self.members.get(&from.name).cloned();
        let current = self
            .members
            .heard(now, &from.name, from.incarnation, draining);
        let key = |m: &Member| (m.incarnation, m.draining, m.failures);
        let after = self.members.get(&from.name);
        self.changed |= before.as_ref().map(key) != after.map(key);
        current
    }

    /// Sends a change to the domain after a while, unless another reader does so first.
    pub(super) fn spread(&mut self, now: Time, kind: Kind, delta: Delta) {
        self.logs[kind as usize].keep(&delta);
        let rank = self.reader_rank().unwrap_or(reader::READERS_PER_DOMAIN) as u32;
        let due = now.plus(self.pace.coalesce + self.pace.stagger * rank);
        let outbox = &mut self.outbox[kind as usize];
        *outbox = Some(match outbox.take() {
            Some(earlier) => Outbox {
                delta: earlier.delta.then(delta),
                due: earlier.due,
            },
            None => Outbox { delta, due },
        });
    }

    pub(super) fn send_outbox(&mut self, now: Time, actions: &mut Vec<Action>) {
        for kind in Kind::BOTH {
            let outbox = &mut self.outbox[kind as usize];
            if let Some(Outbox { delta, .. }) = outbox.take_if(|o| o.due <= now) {
                self.hand_on(kind, &delta, Interval::ALL, actions);
            }
        }
    }

    fn hand_on(&self, kind: Kind, delta: &Delta, interval: Interval, actions: &mut Vec<Action>) {
        let peers: BTreeMap<&InstanceName, &Member> =
            self.domain_peers().map(|m| (name(m), m)).collect();
        let parts = gossip::delegates(peers.keys().copied(), delta.revision, interval);
        for (name, interval) in parts {
            let push = Push {
                kind,
                delta: delta.clone(),
                interval,
            };
            actions.push(Action::Send {
                to: contact(peers[name]),
                request: Request::Push(push),
                tries: 0,
            });
        }
    }

    fn push_to_next(&self, failed: &Contact, push: Push, tries: u32, actions: &mut Vec<Action>) {
        let Some(failed) = &failed.name else { return };
        if tries + 1 >= gossip::MAX_TRIES {
            return;
        }
        let position = |m: &Member| gossip::position(name(m), push.delta.revision);
        let after = gossip::position(failed, push.delta.revision);
        let next = self
            .domain_peers()
            .filter(|m| position(m) > after && push.interval.contains(position(m)))
            .min_by_key(|m| position(m));
        if let Some(member) = next {
            let interval = Interval::after(position(member), push.interval.last);
            actions.push(Action::Send {
                to: contact(member),
                request: Request::Push(Push { interval, ..push }),
                tries: tries + 1,
            });
        }
    }

    fn pushed<R>(
        &mut self,
        now: Time,
        from: &Peer,
        push: Push,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let kind = push.kind;
        let outbox = &mut self.outbox[kind as usize];
        outbox.take_if(|o| o.delta.revision <= push.delta.revision);
        self.hand_on(kind, &push.delta, push.interval, actions);
        if self.apply(now, kind, &push.delta) == Applied::Gap {
            let sender = self.members.get(&from.name).map(contact);
            match sender {
                Some(to) => actions.push(self.exchange_with(to)),
                None => self.ask_repair(now, kind, None, rng, actions),
            }
        }
    }

    pub(super) fn exchange_with(&self, to: Contact) -> Action {
        Action::Send {
            to,
            request: Request::Exchange(self.status()),
            tries: 0,
        }
    }

    fn exchanged(&self, theirs: &Status) -> Exchanged {
        let chain = |kind: Kind| {
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
        Exchanged {
            status: self.status(),
            config: chain(Kind::Config),
            list: chain(Kind::List),
            rejection: self.config.rejection().cloned(),
            readers,
        }
    }

    fn take_exchanged<R>(
        &mut self,
        now: Time,
        to: &Contact,
        exchanged: Exchanged,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        if let Some(rejection) = &exchanged.rejection {
            self.config.note_rejection(rejection);
        }
        let far = exchanged.status.domain != self.me.domain && self.is_reader();
        for kind in Kind::BOTH {
            for delta in exchanged.deltas(kind) {
                if self.apply(now, kind, delta) == Applied::Done && far {
                    self.spread(now, kind, delta.clone());
                }
            }
        }
        self.phase.answered(to, &self.me.domain, &exchanged.status);
        self.phase.learn_readers(exchanged.readers);
        self.pull_if_newer(now, Some(to.clone()), &exchanged.status, rng, actions);
    }

    /// Returns how to reach an asker. A node without a list remembers it, to ask it in turn.
    fn contact_of(&mut self, from: &Peer, theirs: &Status) -> Option<Contact> {
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
    fn pull_if_newer<R>(
        &mut self,
        now: Time,
        from: Option<Contact>,
        theirs: &Status,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let whom = from.filter(|_| theirs.complete);
        for kind in Kind::BOTH {
            if theirs.stamp(kind).revision > self.document(kind).stamp().revision {
                self.ask_repair(now, kind, whom.clone(), rng, actions);
            }
        }
    }

    /// Asks a node that holds everything for the sections that differ, one request at a time.
    pub(super) fn ask_repair<R>(
        &mut self,
        now: Time,
        kind: Kind,
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
        self.repair_until[kind as usize] = now.plus(self.pace.repair);
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

    fn take_repair(
        &mut self,
        now: Time,
        kind: Kind,
        request: &RepairRequest,
        repair: Option<Repair>,
        near: bool,
    ) {
        self.repair_until[kind as usize] = Time::ZERO;
        let Some(repair) = repair else {
            self.repair_until[kind as usize] = now.plus(self.pace.repair);
            return;
        };
        let before = self.document(kind).stamp();
        let (applied, delta) = match kind {
            Kind::Config => self.config.apply_repair(repair, request),
            Kind::List => self.list.apply_repair(repair, request),
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
        for kind in Kind::BOTH {
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

    /// Draws a reader of another domain, each domain as likely.
    fn draw_far_reader<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let mut domains: BTreeMap<&DomainName, Vec<&InstanceName>> = BTreeMap::new();
        let reachable = self.members.iter().filter(|m| m.is_reachable());
        for member in reachable.filter(|m| m.instance.domain != self.me.domain) {
            let names = domains.entry(&member.instance.domain).or_default();
            names.push(name(member));
        }
        let domains: Vec<Vec<&InstanceName>> = domains.into_values().collect();
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
            self.next_exchange = now.plus(around(self.pace.exchange, rng));
            let peers: Vec<&Member> = self.domain_peers().collect();
            let chosen = self.members.doubted(rng).or(peers.choose(rng).copied());
            actions.extend(chosen.map(|m| self.exchange_with(contact(m))));
            actions.extend(self.probe_unreachable(rng));
        }
        if now >= self.next_cross && self.is_reader() {
            self.next_cross = now.plus(around(self.pace.cross, rng));
            let chosen = self.draw_far_reader(rng);
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
