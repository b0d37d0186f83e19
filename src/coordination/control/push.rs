//! Handling of peer messages, and dissemination of deltas by pushes.

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
use crate::coordination::document::ApplyOutcome;
use crate::coordination::document::Delta;
use crate::coordination::gossip;
use crate::coordination::gossip::Interval;
use crate::coordination::members::Member;
use crate::coordination::reader;
use crate::instance::InstanceName;

/// A delta that a reader pushes at `due`, unless another reader pushes it first.
#[derive(Clone, Debug)]
pub(super) struct PendingPush {
    delta: Delta,
    due: Time,
}

impl Control {
    /// Handles a request of a peer. Returns the reply and the actions that follow.
    ///
    /// A peer of an earlier incarnation than the latest known is answered with
    /// [`Reply::Superseded`].
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
        self.handle_pause(now);
        let draining = matches!(&request, Request::Exchange(status) if status.draining);
        if !self.record_contact(now, from, draining) {
            return (Reply::Superseded, Vec::new());
        }
        let mut actions = Vec::new();
        let reply = match request {
            Request::Exchange(theirs) => {
                let reply = Reply::Exchanged(Box::new(self.exchange_reply(&theirs)));
                self.record_watcher(now, &theirs);
                let contact = self.contact_of(from, &theirs);
                self.repair_if_newer(now, contact, &theirs, rng, &mut actions);
                reply
            }
            Request::Push(push) => {
                self.apply_push(now, from, push, rng, &mut actions);
                Reply::Pushed
            }
            Request::Repair { kind, request } => {
                Reply::Repair(self.document(kind).build_repair(&request))
            }
        };
        (reply, actions)
    }

    /// Handles the reply of `from` to a request that was sent to `to`.
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
        self.handle_pause(now);
        let mut actions = Vec::new();
        let draining = matches!(&reply, Reply::Exchanged(e) if e.status.draining);
        if !self.record_contact(now, from, draining) {
            return actions;
        }
        match reply {
            Reply::Exchanged(exchanged) => {
                self.apply_exchange_reply(now, to, *exchanged, rng, &mut actions);
            }
            Reply::Repair(repair) => {
                if let Request::Repair { kind, request } = request {
                    let same_domain = self.members.get(&from.name);
                    let same_domain =
                        same_domain.is_some_and(|m| m.instance.domain == self.instance.domain);
                    self.apply_repair_reply(now, *kind, request, repair, same_domain);
                }
            }
            Reply::Superseded => actions.push(Action::Superseded(from.name.clone())),
            Reply::Pushed => (),
        }
        actions
    }

    /// Handles the failure of a request that was sent to `to`.
    ///
    /// A push is retried with the next member of its interval, a repair with another reader.
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
            self.members.record_failure(name);
        }
        self.changed = true;
        self.startup.record_failure(to);
        match request {
            Request::Push(push) => self.retry_push(to, push, tries, &mut actions),
            Request::Repair { kind, .. } => {
                self.repair_deadline[kind as usize] = Time::ZERO;
                self.request_repair(now, kind, None, rng, &mut actions);
            }
            Request::Exchange(_) => (),
        }
        actions
    }

    /// Records a message of a peer. Returns false if a later incarnation of the peer is known.
    fn record_contact(&mut self, now: Time, from: &PeerId, draining: bool) -> bool {
        let before = self.members.get(&from.name).cloned();
        let current = self
            .members
            .record_contact(now, &from.name, from.incarnation, draining);
        let key = |m: &Member| (m.incarnation, m.draining, m.failures);
        let after = self.members.get(&from.name);
        self.changed |= before.as_ref().map(key) != after.map(key);
        current
    }

    /// Queues a delta for the local domain.
    ///
    /// The delay increases with the reader rank, and the push is cancelled if another reader pushes
    /// the same or a later revision first.
    pub(super) fn queue_push(&mut self, now: Time, kind: DocumentKind, delta: Delta) {
        self.delta_logs[kind as usize].record(&delta);
        let rank = self.reader_rank().unwrap_or(reader::READERS_PER_DOMAIN) as u32;
        let due = now.plus(self.timing.coalesce + self.timing.stagger * rank);
        merge_into_outbox(&mut self.domain_outbox[kind as usize], delta, due);
    }

    /// Queues a delta from the platform for the local domain and for the first reader of each other
    /// domain.
    ///
    /// The delay increases with the rank of the domain and of the reader, and the push is cancelled
    /// if another reader pushes the same or a later revision first.
    pub(super) fn queue_push_to_all_domains(
        &mut self,
        now: Time,
        kind: DocumentKind,
        delta: Delta,
    ) {
        let domains_before = self.watch_domain_rank.unwrap_or(reader::WATCH_DOMAINS);
        let readers_before = self.reader_rank().unwrap_or(reader::READERS_PER_DOMAIN);
        let before = domains_before + readers_before * (reader::WATCH_DOMAINS + 1);
        let due = now.plus(self.timing.coalesce + self.timing.stagger * before as u32);
        merge_into_outbox(
            &mut self.cross_domain_outbox[kind as usize],
            delta.clone(),
            due,
        );
        self.queue_push(now, kind, delta);
    }

    /// Pushes the queued deltas that are due to the first reader of each other domain.
    ///
    /// The empty interval marks a push between domains; such a push is not retried.
    pub(super) fn flush_cross_domain_outbox(&mut self, now: Time, actions: &mut Vec<Action>) {
        for kind in DocumentKind::BOTH {
            let outbox = &mut self.cross_domain_outbox[kind as usize];
            let Some(PendingPush { delta, .. }) = outbox.take_if(|o| o.due <= now) else {
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
            actions.extend(self.first_readers_of_other_domains().into_iter().map(send));
        }
    }

    /// Pushes the queued deltas that are due to the local domain.
    pub(super) fn flush_domain_outbox(&mut self, now: Time, actions: &mut Vec<Action>) {
        for kind in DocumentKind::BOTH {
            let outbox = &mut self.domain_outbox[kind as usize];
            if let Some(PendingPush { delta, .. }) = outbox.take_if(|o| o.due <= now) {
                self.forward_delta(kind, &delta, Interval::ALL, actions);
            }
        }
    }

    /// Pushes a delta to the delegates of an interval of the member order.
    fn forward_delta(
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

    /// Sends a failed push to the next member of its interval, unless [`gossip::MAX_TRIES`] members
    /// were tried.
    fn retry_push(&self, failed: &Contact, push: Push, tries: u32, actions: &mut Vec<Action>) {
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

    /// Forwards and applies a pushed delta.
    ///
    /// A delta from another domain is queued for the local one. If the delta does not match the
    /// document, the node exchanges with the sender or requests a repair.
    fn apply_push<R>(
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
        let other_domain = push.interval == Interval::EMPTY;
        let outbox = match other_domain {
            true => &mut self.cross_domain_outbox[kind as usize],
            false => &mut self.domain_outbox[kind as usize],
        };
        outbox.take_if(|o| o.delta.revision <= push.delta.revision);
        self.forward_delta(kind, &push.delta, push.interval, actions);
        let applied = self.apply(now, kind, &push.delta);
        if applied == ApplyOutcome::Applied && other_domain {
            self.queue_push(now, kind, push.delta);
        }
        if applied == ApplyOutcome::BaseMismatch {
            let sender = self.members.get(&from.name).map(contact);
            match sender {
                Some(to) => actions.push(self.exchange_with(to)),
                None => self.request_repair(now, kind, None, rng, actions),
            }
        }
    }
}

/// Composes a delta with the queued one, if any, and keeps the earlier due time.
fn merge_into_outbox(outbox: &mut Option<PendingPush>, delta: Delta, due: Time) {
    *outbox = Some(match outbox.take() {
        Some(earlier) => PendingPush {
            delta: earlier.delta.compose(delta),
            due: earlier.due,
        },
        None => PendingPush { delta, due },
    });
}
