//! Quotas of organisations: tokens from the holder of each, and the tokens that this node gives out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout_at;

use crate::clock::Time;
use crate::coordination::organisations::Directory;
use crate::coordination::organisations::directory::Quota;
use crate::coordination::organisations::freshness;
use crate::coordination::organisations::holder;
use crate::coordination::organisations::holder::Grant;
use crate::coordination::organisations::holder::QuotaHolder;
use crate::coordination::organisations::holder::Role;
use crate::coordination::organisations::revision_proofs::RevisionProofs;
use crate::coordination::organisations::stock::Admission;
use crate::coordination::organisations::stock::Floor;
use crate::coordination::organisations::stock::Stocks;
use crate::coordination::organisations::takeover::Candidate;
use crate::coordination::organisations::takeover::Takeover;
use crate::error::NotRunKind;
use crate::instance::OrganisationName;
use crate::protocol::frame::QuotaPurpose;
use crate::protocol::frame::QuotaReply;
use crate::protocol::store_query::CACHED_REVISION;
use crate::relay::Relay;

/// Longest wait of a request for the answer of the holder.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Time that the holder has to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that another node has to answer a question that is passed on, or to release a quota.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which the holder is not asked again after it could not be reached.
const UNREACHABLE_FOR: Duration = Duration::from_millis(200);

/// Quotas at one node: what it has of them, and those that it holds.
#[derive(Debug)]
pub(super) struct Quotas {
    stocks: Mutex<Stocks>,
    holder: Mutex<QuotaHolder>,
    revisions: Mutex<RevisionProofs>,
    /// Notified when the holder of any quota has answered.
    answered: Notify,
}

impl Quotas {
    /// Builds the state of a node that has just started, together with the whole fleet if
    /// `first_start` is set.
    pub(super) fn new(first_start: bool) -> Quotas {
        Quotas {
            stocks: Mutex::default(),
            holder: Mutex::new(QuotaHolder::new(first_start)),
            revisions: Mutex::default(),
            answered: Notify::new(),
        }
    }
}

/// A request that is refused for its organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QuotaRefusal {
    /// Reason.
    pub(super) kind: NotRunKind,
    /// Time until a request may be admitted.
    pub(super) retry_in: Duration,
}

/// Counts a request as waiting for tokens until it is dropped.
struct WaitGuard<'a> {
    relay: &'a Relay,
    name: &'a OrganisationName,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.relay.stocks().set_waiting(self.name, false);
    }
}

impl Relay {
    /// Takes a token of an organisation's quota, and waits for the holder if there is none in stock.
    ///
    /// # Errors
    ///
    /// If the quota is used up, or the holder cannot be reached and the floor share is used up.
    pub(super) async fn take_quota(
        self: &Arc<Relay>,
        name: &OrganisationName,
        quota: &Quota,
    ) -> Result<(), QuotaRefusal> {
        let floor = self.floor(name, quota);
        let mut admission = self.stocks().arrive(name, floor, self.boot_now());
        self.ask_if_needed(name, admission == Admission::Wait);
        if admission == Admission::Wait {
            admission = self.wait_for_tokens(name, floor).await;
        }
        match admission {
            Admission::Admitted => Ok(()),
            Admission::Refused(retry_in) => Err(QuotaRefusal {
                kind: NotRunKind::OverQuota,
                retry_in,
            }),
            Admission::Unreachable | Admission::Wait => Err(QuotaRefusal {
                kind: NotRunKind::NotReady,
                retry_in: UNREACHABLE_FOR,
            }),
        }
    }

    /// Waits until the holder has answered, for at most [`MAX_WAIT`]. The request is already counted as
    /// waiting.
    async fn wait_for_tokens(
        self: &Arc<Relay>,
        name: &OrganisationName,
        floor: Floor,
    ) -> Admission {
        let _waiting = WaitGuard { relay: self, name };
        let until = tokio::time::Instant::now() + MAX_WAIT;
        loop {
            let answered = self.quotas.answered.notified();
            tokio::pin!(answered);
            // An answer between the decision and the wait must not be missed.
            answered.as_mut().enable();
            let admission = self.stocks().decide(name, floor, self.boot_now());
            if admission != Admission::Wait {
                return admission;
            }
            if timeout_at(until, answered).await.is_err() {
                return Admission::Unreachable;
            }
            self.ask_if_needed(name, false);
        }
    }

    /// Asks the holder for tokens if there are too few. `waits` counts a request that begins to wait.
    fn ask_if_needed(self: &Arc<Relay>, name: &OrganisationName, waits: bool) {
        let now = self.boot_now();
        let wanted = {
            let mut stocks = self.stocks();
            if waits {
                stocks.set_waiting(name, true);
            }
            stocks.ask(name, now)
        };
        let Some(wanted) = wanted else {
            return;
        };
        let relay = self.clone();
        let name = name.clone();
        tokio::spawn(async move {
            let grant = relay.ask_holder(&name, wanted).await;
            let now_answered = relay.boot_now();
            relay
                .stocks()
                .record_answer(&name, grant, now, UNREACHABLE_FOR, now_answered);
            relay.quotas.answered.notify_waiters();
        });
    }

    /// Asks the holder of an organisation's quota for tokens, or the next node if that one cannot be
    /// reached or does not hold it. Returns nothing if neither gives any.
    async fn ask_holder(self: &Arc<Relay>, name: &OrganisationName, wanted: u32) -> Option<Grant> {
        let own = self.cfg().peers;
        let mut purpose = QuotaPurpose::Use;
        for address in self.rank_holders(name) {
            let reply = match address == own {
                true => Some(self.answer_quota(name, wanted, purpose, own).await),
                false => {
                    let peers = self.peer_client();
                    let asked = peers.ask_quota(address, name, wanted, purpose, ASK_TIMEOUT);
                    asked.await
                }
            };
            if let Some(QuotaReply::Granted(grant)) = reply {
                return Some(grant);
            }
            // The next node must not ask the first one again.
            purpose = QuotaPurpose::PassedOn;
        }
        None
    }

    /// Answers a question for tokens of the node at `asking`, which may be this one.
    pub(super) async fn answer_quota(
        self: &Arc<Relay>,
        name: &OrganisationName,
        wanted: u32,
        purpose: QuotaPurpose,
        asking: SocketAddr,
    ) -> QuotaReply {
        let Some(quota) = self.quota_of(name) else {
            return QuotaReply::NotHeld;
        };
        let cfg = self.cfg();
        let now = self.boot_now();
        let role = self.holder().role(name, cfg.peers, now);
        match (role, purpose) {
            (Role::Holder, _) => self.grant_held(name, &quota, wanted),
            (_, QuotaPurpose::Takeover) => {
                let terms = cfg.quota_terms;
                let mut holder = self.holder();
                let release = holder.release(name, &quota, &terms, cfg.peers, asking, now);
                QuotaReply::Released(release)
            }
            (Role::Candidate(candidate), _) => {
                self.take_over_quota(name, &quota, wanted, candidate).await
            }
            (Role::Other(first), QuotaPurpose::Use) if first != asking => {
                let passed_on = QuotaPurpose::PassedOn;
                let peers = self.peer_client();
                let asked = peers.ask_quota(first, name, wanted, passed_on, FORWARD_TIMEOUT);
                asked.await.unwrap_or(QuotaReply::NotHeld)
            }
            _ => QuotaReply::NotHeld,
        }
    }

    fn grant_held(&self, name: &OrganisationName, quota: &Quota, wanted: u32) -> QuotaReply {
        let terms = self.cfg().quota_terms;
        let now = self.boot_now();
        let grant = self.holder().grant(name, quota, &terms, wanted, now);
        grant.map_or(QuotaReply::NotHeld, QuotaReply::Granted)
    }

    /// Takes a quota over if the nodes that may hold it release it. If one of them still holds it, that
    /// one's tokens are passed on.
    async fn take_over_quota(
        self: &Arc<Relay>,
        name: &OrganisationName,
        quota: &Quota,
        wanted: u32,
        candidate: Candidate,
    ) -> QuotaReply {
        let own = self.cfg().peers;
        let asked_at = self.boot_now();
        let mut takeover = Takeover::new(own, candidate);
        while let Some(address) = takeover.next_to_ask() {
            let purpose = QuotaPurpose::Takeover;
            let peers = self.peer_client();
            let asked = peers.ask_quota(address, name, wanted, purpose, FORWARD_TIMEOUT);
            match asked.await {
                Some(QuotaReply::Released(release)) => takeover.record(Some(release)),
                Some(QuotaReply::Granted(grant)) => return QuotaReply::Granted(grant),
                Some(QuotaReply::NotHeld) | None => takeover.record(None),
            }
        }
        let terms = self.cfg().quota_terms;
        let now = self.boot_now();
        let result = takeover.result();
        let taken = self
            .holder()
            .finish_takeover(name, quota, &terms, own, result, asked_at, now);
        let Some(tokens) = taken else {
            return QuotaReply::NotHeld;
        };
        log::info!(
            organisation:% = name, rate = quota.rate, tokens = tokens;
            "quota is held by this node"
        );
        self.grant_held(name, quota, wanted)
    }

    /// Returns the addresses of the holder of an organisation's quota and of the next node.
    pub fn rank_holders(&self, name: &OrganisationName) -> Vec<SocketAddr> {
        let proved = self.holder().lists().ranked(name);
        proved.unwrap_or_else(|| holder::rank(name, &self.listed_nodes(), 2))
    }

    /// Returns whether any organisation has a quota.
    pub(super) fn has_quotas(&self) -> bool {
        let view = self.view();
        let table = view.routes.as_ref();
        let directory = table.and_then(|table| table.directory.as_ref());
        directory.is_some_and(Directory::has_quotas)
    }

    /// Returns whether quotas need a proof of the list of nodes and there has been none yet.
    pub(super) fn needs_list_proof(&self) -> bool {
        self.has_quotas() && self.holder().lists().proved_at().is_none()
    }

    /// Records that the store was at `revision` at some time not before `age_ms` ago.
    pub(super) fn record_revision(&self, revision: u64, age_ms: u32) {
        let age = Duration::from_millis(u64::from(age_ms));
        let at = freshness::proved_at(self.boot_now(), age);
        self.revisions().record(revision, at);
    }

    /// Returns the time since a list with this revision was the newest one, or nothing if that is not
    /// known.
    pub(super) fn revision_age(&self, revision: u64) -> Option<Duration> {
        let proved_at = self.revisions().proved_at(revision)?;
        Some(self.boot_now().since(proved_at))
    }

    fn revisions(&self) -> MutexGuard<'_, RevisionProofs> {
        self.quotas
            .revisions
            .lock()
            .unwrap_or_else(|p| p.into_inner())
    }

    /// Records a list of targets that this node has read at `revision` and applied, and that was the
    /// newest one `age_ms` ago, if that is known.
    pub(super) fn record_read_list(&self, revision: u64, age_ms: Option<u32>) {
        let is_current = revision != CACHED_REVISION && revision >= self.view().list_revision;
        if let Some(age_ms) = age_ms.filter(|_| is_current) {
            let age = Duration::from_millis(u64::from(age_ms));
            self.record_proved_list(freshness::proved_at(self.boot_now(), age));
        }
    }

    /// Records that the list of targets in use was the newest one at some time not before `at`, a time
    /// of the boot clock.
    pub(super) fn record_proved_list(&self, at: Time) {
        if self.has_quotas() {
            let nodes = self.listed_nodes();
            let now = self.boot_now();
            self.holder().record_list(nodes, at, now);
        }
    }

    /// Returns the time since the list of targets in use was known to be the newest one, or nothing if
    /// that is not known.
    pub fn list_proof_age(&self) -> Option<Duration> {
        let proved_at = self.holder().lists().proved_at()?;
        Some(self.boot_now().since(proved_at))
    }

    /// Returns the addresses of the nodes that are in the last list and live.
    fn listed_nodes(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let live = view.nodes.live();
        let listed = live.filter(|i| !view.missing_since.contains_key(&i.name));
        listed.map(|i| i.peer).collect()
    }

    /// Returns the number of tokens that this node has of an organisation's quota.
    pub(super) fn quota_tokens(&self, name: &OrganisationName) -> u32 {
        let now = self.boot_now();
        self.stocks().tokens(name, now)
    }

    /// Returns the number of quotas that this node holds.
    pub fn held_quotas(&self) -> usize {
        self.holder().len()
    }

    fn quota_of(&self, name: &OrganisationName) -> Option<Quota> {
        let view = self.view();
        let directory = view.routes.as_ref()?.directory.as_ref()?;
        directory.named(name)?.quota
    }

    fn floor(&self, name: &OrganisationName, quota: &Quota) -> Floor {
        let cfg = self.cfg();
        let nodes = self.view().nodes.len();
        let terms = &cfg.quota_terms;
        Floor {
            share: terms.floor_share(quota, name, cfg.name.as_str(), nodes),
            window: terms.window,
        }
    }

    /// Forgets the organisations that are not in the configuration any more.
    pub(super) fn retain_organisations(&self) {
        let view = self.view();
        let directory = view
            .routes
            .as_ref()
            .and_then(|table| table.directory.as_ref());
        let known = |name: &OrganisationName| directory.is_some_and(|d| d.named(name).is_some());
        self.stocks().retain(known);
        self.holder().retain(known);
    }

    fn stocks(&self) -> MutexGuard<'_, Stocks> {
        self.quotas.stocks.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn holder(&self) -> MutexGuard<'_, QuotaHolder> {
        self.quotas.holder.lock().unwrap_or_else(|p| p.into_inner())
    }
}
