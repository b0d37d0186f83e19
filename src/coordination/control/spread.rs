//! Spreading changes inside a domain, repairing differences, and exchanging across domains.

use std::collections::BTreeMap;

use rand::Rng;

use crate::clock::Time;
use crate::coordination::control::Action;
use crate::coordination::control::Contact;
use crate::coordination::control::Control;
use crate::coordination::control::DocumentKind;
use crate::coordination::control::PeerId;
use crate::coordination::control::Push;
use crate::coordination::control::Reply;
use crate::coordination::control::Request;
use crate::coordination::control::contact;
use crate::coordination::control::name;
use crate::coordination::document::Applied;
use crate::coordination::document::Delta;
use crate::coordination::gossip;
use crate::coordination::gossip::Interval;
use crate::coordination::members::Member;
use crate::coordination::reader;
use crate::instance::InstanceName;

/// A change that a reader will send.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    delta: Delta,
    due: Time,
}

impl Control {
    /// Answers a request of a peer.
    pub fn handle_request<R>(
        &mut self,
        now: Time,
        from: &PeerId,
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
                self.hear_of(now, &theirs);
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
    pub fn handle_reply<R>(
        &mut self,
        now: Time,
        to: &Contact,
        request: &Request,
        from: &PeerId,
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
            Reply::Superseded => actions.push(Action::Superseded(from.name.clone())),
            Reply::Pushed => (),
        }
        actions
    }

    /// Takes the failure of a request that was sent to `to`.
    pub fn handle_failure<R>(
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

    fn heard(&mut self, now: Time, from: &PeerId, draining: bool) -> bool {
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
    pub(super) fn spread(&mut self, now: Time, kind: DocumentKind, delta: Delta) {
        self.logs[kind as usize].keep(&delta);
        let rank = self.reader_rank().unwrap_or(reader::READERS_PER_DOMAIN) as u32;
        let due = now.plus(self.timing.coalesce + self.timing.stagger * rank);
        join(&mut self.outbox[kind as usize], delta, due);
    }

    /// Sends a change from the platform to the own domain and to a reader of each other domain,
    /// unless another reader does so first.
    pub(super) fn spread_everywhere(&mut self, now: Time, kind: DocumentKind, delta: Delta) {
        let domains_before = self.watch_rank.unwrap_or(reader::WATCH_DOMAINS);
        let readers_before = self.reader_rank().unwrap_or(reader::READERS_PER_DOMAIN);
        let before = domains_before + readers_before * (reader::WATCH_DOMAINS + 1);
        let due = now.plus(self.timing.coalesce + self.timing.stagger * before as u32);
        join(&mut self.far_outbox[kind as usize], delta.clone(), due);
        self.spread(now, kind, delta);
    }

    pub(super) fn send_far_outbox(&mut self, now: Time, actions: &mut Vec<Action>) {
        for kind in DocumentKind::BOTH {
            let outbox = &mut self.far_outbox[kind as usize];
            let Some(Outbox { delta, .. }) = outbox.take_if(|o| o.due <= now) else {
                continue;
            };
            let push = Push {
                kind,
                delta,
                interval: Interval::EMPTY,
            };
            let send = |to| Action::Send {
                to,
                request: Request::Push(push.clone()),
                tries: gossip::MAX_TRIES,
            };
            actions.extend(self.first_far_readers().into_iter().map(send));
        }
    }

    pub(super) fn send_outbox(&mut self, now: Time, actions: &mut Vec<Action>) {
        for kind in DocumentKind::BOTH {
            let outbox = &mut self.outbox[kind as usize];
            if let Some(Outbox { delta, .. }) = outbox.take_if(|o| o.due <= now) {
                self.hand_on(kind, &delta, Interval::ALL, actions);
            }
        }
    }

    fn hand_on(
        &self,
        kind: DocumentKind,
        delta: &Delta,
        interval: Interval,
        actions: &mut Vec<Action>,
    ) {
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
        from: &PeerId,
        push: Push,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let kind = push.kind;
        let far = push.interval == Interval::EMPTY;
        let outbox = match far {
            true => &mut self.far_outbox[kind as usize],
            false => &mut self.outbox[kind as usize],
        };
        outbox.take_if(|o| o.delta.revision <= push.delta.revision);
        self.hand_on(kind, &push.delta, push.interval, actions);
        let applied = self.apply(now, kind, &push.delta);
        if applied == Applied::Done && far {
            self.spread(now, kind, push.delta);
        }
        if applied == Applied::Gap {
            let sender = self.members.get(&from.name).map(contact);
            match sender {
                Some(to) => actions.push(self.exchange_with(to)),
                None => self.ask_repair(now, kind, None, rng, actions),
            }
        }
    }
}

/// Adds a change to one that waits to be sent.
fn join(outbox: &mut Option<Outbox>, delta: Delta, due: Time) {
    *outbox = Some(match outbox.take() {
        Some(earlier) => Outbox {
            delta: earlier.delta.then(delta),
            due: earlier.due,
        },
        None => Outbox { delta, due },
    });
}
