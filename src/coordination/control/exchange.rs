//! Anti-entropy: periodic exchanges with other nodes, and repair of the sections that differ.

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
use crate::coordination::document::ApplyOutcome;
use crate::coordination::document::Repair;
use crate::coordination::document::RepairRequest;
use crate::coordination::document::Revision;
use crate::coordination::members::Member;
use crate::coordination::reader;
use crate::instance::DomainName;
use crate::instance::InstanceName;

/// Time without a status of a watching reader after which a reader exchanges with one of the
/// watching readers instead of with any reader of another domain.
const WATCHER_QUERY_AFTER: Duration = Duration::from_secs(2);

impl Control {
    /// Returns the action that sends this node's status to a peer.
    pub(super) fn exchange_with(&self, to: Contact) -> Action {
        Action::Send {
            to,
            request: Request::Exchange(self.status()),
            tries: 0,
        }
    }

    /// Builds the reply to a peer's status: the logged deltas that the peer lacks, and the readers
    /// of this domain if the peer has no instance list yet.
    pub(super) fn exchange_reply(&self, theirs: &PeerStatus) -> ExchangeReply {
        let chain = |kind: DocumentKind| {
            let stamp = self.document(kind).stamp();
            let newer = stamp.revision > theirs.stamp(kind).revision;
            let log = newer.then_some(&self.delta_logs[kind as usize]);
            log.map_or_else(Vec::new, |l| l.chain(theirs.stamp(kind).digest, stamp))
        };
        let without_list = theirs.list.revision == Revision::default();
        let readers = if without_list {
            self.domain_reader_contacts()
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

    /// Applies the reply to an exchange and requests a repair if the peer is still ahead.
    ///
    /// A reader pushes what it learns from another domain to the local one.
    pub(super) fn apply_exchange_reply<R>(
        &mut self,
        now: Time,
        to: &Contact,
        reply: ExchangeReply,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        self.last_confirmed = Some(now);
        if let Some(rejection) = &reply.rejection {
            self.config.record_rejection(rejection);
        }
        let other_domain = reply.status.domain != self.instance.domain && self.is_reader();
        for kind in DocumentKind::BOTH {
            for delta in reply.deltas(kind) {
                if self.apply(now, kind, delta) == ApplyOutcome::Applied && other_domain {
                    self.queue_push(now, kind, delta.clone());
                }
            }
        }
        self.record_watcher(now, &reply.status);
        self.startup
            .record_reply(to, &self.instance.domain, &reply.status);
        self.startup.learn_readers(reply.readers);
        self.repair_if_newer(now, Some(to.clone()), &reply.status, rng, actions);
    }

    /// Returns the contact of a requester. A node without an instance list remembers the requester,
    /// to request the list from it.
    pub(super) fn contact_of(&mut self, from: &PeerId, theirs: &PeerStatus) -> Option<Contact> {
        if self.list.stamp().revision == Revision::default() {
            let requester = Contact {
                name: Some(from.name.clone()),
                address: theirs.address,
            };
            self.startup.learn_requester(requester.clone());
            return Some(requester);
        }
        self.members.get(&from.name).map(contact)
    }

    /// Requests a repair of each document of which the peer has a later revision.
    ///
    /// The request goes to the peer itself if it holds both documents completely, else to a reader.
    pub(super) fn repair_if_newer<R>(
        &mut self,
        now: Time,
        from: Option<Contact>,
        theirs: &PeerStatus,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let preferred = from.filter(|_| theirs.complete);
        for kind in DocumentKind::BOTH {
            if theirs.stamp(kind).revision > self.document(kind).stamp().revision {
                self.request_repair(now, kind, preferred.clone(), rng, actions);
            }
        }
    }

    /// Requests the sections that differ from `preferred`, or else from a reader.
    ///
    /// At most one request per document is in progress.
    pub(super) fn request_repair<R>(
        &mut self,
        now: Time,
        kind: DocumentKind,
        preferred: Option<Contact>,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        if now < self.repair_deadline[kind as usize] {
            return;
        }
        let Some(to) = preferred.or_else(|| self.pick_reader(rng)) else {
            return;
        };
        self.repair_deadline[kind as usize] = now.plus(self.timing.repair_timeout);
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

    /// Applies the reply to a repair request.
    ///
    /// The resulting delta is logged. It is also pushed to the local domain if the reply came from
    /// another domain.
    pub(super) fn apply_repair_reply(
        &mut self,
        now: Time,
        kind: DocumentKind,
        request: &RepairRequest,
        repair: Option<Repair>,
        same_domain: bool,
    ) {
        self.repair_deadline[kind as usize] = Time::ZERO;
        let Some(repair) = repair else {
            self.repair_deadline[kind as usize] = now.plus(self.timing.repair_timeout);
            return;
        };
        let before = self.document(kind).stamp();
        let (applied, delta) = match kind {
            DocumentKind::Config => self.config.apply_repair(repair, request),
            DocumentKind::List => self.list.apply_repair(repair, request),
        };
        if applied != ApplyOutcome::Applied {
            return;
        }
        self.document_changed(now, kind);
        let newer = self.document(kind).stamp() != before;
        let Some(delta) = delta.filter(|_| newer) else {
            return;
        };
        if same_domain {
            self.delta_logs[kind as usize].record(&delta);
        } else {
            self.queue_push(now, kind, delta);
        }
    }

    /// Requests missing sections: those that are needed, or at a reader all of them.
    pub(super) fn repair_periodically<R>(
        &mut self,
        now: Time,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        let reader = self.is_reader();
        for kind in DocumentKind::BOTH {
            let document = self.document(kind);
            let incomplete = reader && !document.is_complete();
            if incomplete || document.has_missing_sections() {
                self.request_repair(now, kind, None, rng, actions);
            }
        }
    }

    /// Picks a random reader of the local domain, or of another domain if there is none.
    ///
    /// A reader asks one of another domain in a quarter of the cases. A node without an instance
    /// list asks the readers that peers named.
    fn pick_reader<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let local = self.domain_reader_contacts();
        let me = &self.instance.name;
        let local: Vec<&Contact> = local
            .iter()
            .filter(|c| c.name.as_ref() != Some(me))
            .collect();
        let learned = self.startup.learned_readers();
        let other_domain = local.is_empty() || (self.is_reader() && rng.random_ratio(1, 4));
        if other_domain && let Some(reader) = self.pick_reader_of_other_domain(rng) {
            return Some(reader);
        }
        let local = local.choose(rng).map(|c| (*c).clone());
        local.or_else(|| learned.choose(rng).cloned())
    }

    /// Returns the contacts of the readers of the local domain, including this node.
    fn domain_reader_contacts(&self) -> Vec<Contact> {
        let to_contact = |n: &InstanceName| {
            if *n == self.instance.name {
                return Some(Contact {
                    name: Some(n.clone()),
                    address: self.instance.peer,
                });
            }
            self.members.get(n).map(contact)
        };
        self.domain_readers.iter().filter_map(to_contact).collect()
    }

    /// Returns the names of the reachable members of each other domain.
    fn other_domains(&self) -> BTreeMap<&DomainName, Vec<&InstanceName>> {
        let mut domains: BTreeMap<&DomainName, Vec<&InstanceName>> = BTreeMap::new();
        let reachable = self.members.iter().filter(|m| m.is_reachable());
        for member in reachable.filter(|m| m.instance.domain != self.instance.domain) {
            let names = domains.entry(&member.instance.domain).or_default();
            names.push(name(member));
        }
        domains
    }

    /// Returns the first reader of each other domain.
    pub(super) fn first_readers_of_other_domains(&self) -> Vec<Contact> {
        let domains = self.other_domains().into_values();
        let first = domains.filter_map(|names| reader::readers(names).first().copied());
        first
            .filter_map(|n| self.members.get(n))
            .map(contact)
            .collect()
    }

    /// Picks a random node among the other readers that have to watch the platform.
    fn pick_watching_reader<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let others = self.other_domains();
        let all = others.keys().copied().chain([&self.instance.domain]);
        let first = |domain: &DomainName| match others.get(domain) {
            Some(names) => reader::readers(names.iter().copied()).first().copied(),
            None => self.domain_readers.first(),
        };
        let watchers: Vec<&InstanceName> = reader::watch_domains(all)
            .into_iter()
            .filter_map(first)
            .filter(|n| **n != self.instance.name)
            .collect();
        let chosen = watchers.choose(rng)?;
        self.members.get(chosen).map(contact)
    }

    /// Picks a random reader of a random other domain; each domain is equally likely.
    fn pick_reader_of_other_domain<R>(&self, rng: &mut R) -> Option<Contact>
    where
        R: Rng,
    {
        let domains: Vec<Vec<&InstanceName>> = self.other_domains().into_values().collect();
        let names = domains.choose(rng)?;
        let readers = reader::readers(names.iter().copied());
        let chosen = readers.choose(rng)?;
        self.members.get(chosen).map(contact)
    }

    /// Starts the exchanges that are due: with a member of the domain, and at a reader with a
    /// reader of another domain. Unlisted members are preferred, to find out whether they still
    /// answer.
    pub(super) fn exchange_periodically<R>(
        &mut self,
        now: Time,
        rng: &mut R,
        actions: &mut Vec<Action>,
    ) where
        R: Rng,
    {
        if now >= self.next_exchange {
            self.next_exchange = now.plus(jittered(self.timing.exchange, rng));
            let peers: Vec<&Member> = self.domain_peers().collect();
            let chosen = self
                .members
                .random_unlisted(rng)
                .or(peers.choose(rng).copied());
            actions.extend(chosen.map(|m| self.exchange_with(contact(m))));
            actions.extend(self.probe_unreachable(rng));
        }
        if now >= self.next_cross_domain_exchange && self.is_reader() {
            self.next_cross_domain_exchange =
                now.plus(jittered(self.timing.cross_domain_exchange, rng));
            let silence = self.watcher_last_seen.map(|at| now.since(at));
            let chosen = match silence.is_some_and(|span| span < WATCHER_QUERY_AFTER) {
                true => self.pick_reader_of_other_domain(rng),
                false => self.pick_watching_reader(rng),
            };
            actions.extend(chosen.map(|to| self.exchange_with(to)));
        }
    }

    /// Exchanges with a random unreachable instance, to detect the end of a partition.
    fn probe_unreachable<R>(&self, rng: &mut R) -> Option<Action>
    where
        R: Rng,
    {
        let reader = self.is_reader();
        let in_scope = |m: &&Member| reader || m.instance.domain == self.instance.domain;
        let unreachable: Vec<&Member> = self
            .members
            .iter()
            .filter(|m| !m.is_reachable() && m.instance.name != self.instance.name)
            .filter(in_scope)
            .collect();
        let chosen = unreachable.choose(rng)?;
        Some(self.exchange_with(contact(chosen)))
    }
}

/// Returns a random duration between 0.5 and 1.5 times `mean`, so that nodes do not synchronise.
fn jittered<R>(mean: Duration, rng: &mut R) -> Duration
where
    R: Rng,
{
    mean.mul_f64(rng.random_range(0.5..1.5))
}
