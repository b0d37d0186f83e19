//! Distribution of the store's content within a failure domain.
//!
//! Of the nodes of a failure domain, only the first by rendezvous hash read the configuration and
//! the list of targets from the store. The others, the followers, ask these readers, so that the
//! calls to the store grow with the number of failure domains and not with the number of nodes. A
//! follower whose readers the store has not answered for [`MAX_SUPPLY_AGE`] reads the store itself
//! until it does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::clock::Time;
use crate::coordination::reader;
use crate::coordination::supply;
use crate::coordination::supply::MAX_SUPPLY_AGE;
use crate::coordination::supply::Supply;
use crate::instance::Instance;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;
use crate::protocol::sync::TargetList;
use crate::relay::Relay;
use crate::relay::config_source::ConfigSource;
use crate::relay::freshness::millis;

/// Number of nodes of a failure domain that read the store. A second one serves the followers
/// without a pause when the first fails.
pub const READERS: usize = 2;

/// Time that a reader waits for news before it replies that there are none.
const SYNC_WAIT: Duration = Duration::from_millis(500);

/// Time that a node waits for a reply: [`SYNC_WAIT`] and a margin.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause of a follower after a reader did not reply or had no recent content itself.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time between two checks of whether this node still follows or reads.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time between two evaluations of an unchanged list, which drops targets that have been missing
/// for too long.
const REEVALUATION_PERIOD: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Returns the addresses of the readers in the failure domain of this node, or none if the node
    /// is a reader itself.
    pub fn readers(&self) -> Vec<SocketAddr> {
        let cfg = self.cfg();
        let view = self.view();
        let near = view.nodes.live().filter(|i| i.domain == cfg.domain);
        let near: Vec<&Instance> = near.collect();
        let ranked = reader::readers(near.iter().map(|instance| &instance.name));
        let selected = ranked.into_iter().take(READERS);
        let addresses: Vec<SocketAddr> = selected
            .filter_map(|name| near.iter().find(|instance| instance.name == *name))
            .map(|instance| instance.peer)
            .collect();
        match addresses.contains(&cfg.peers) {
            true => Vec::new(),
            false => addresses,
        }
    }

    /// Returns whether this node is one of the readers of its failure domain.
    pub fn is_reader(&self) -> bool {
        self.local_target().is_some() && self.readers().is_empty()
    }

    /// Returns whether a reader supplies this node with the content of the store.
    pub fn is_following(&self) -> bool {
        self.supply().is_valid(self.now())
    }

    /// Waits until no reader supplies this node any more.
    pub async fn wait_while_following(&self) {
        loop {
            let remaining = self.supply().remaining(self.now());
            if remaining.is_zero() {
                return;
            }
            sleep(remaining.min(ROLE_CHECK_PERIOD)).await;
        }
    }

    /// Waits until a reader supplies this node, for at most `max_time`. Returns at once if the node
    /// is a reader itself.
    pub async fn wait_for_reader(&self, max_time: Duration) {
        let until = Instant::now() + max_time;
        while !self.is_following() && !self.is_reader() && Instant::now() < until {
            sleep(ROLE_CHECK_PERIOD).await;
        }
    }

    /// Returns what this node knows from the store.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            config_version: self.config_version(),
            list_revision: self.view().list_revision,
        }
    }

    /// Replies to a node that knows `known`. Waits for news, for the next answer of the store or for
    /// [`SYNC_WAIT`], whichever comes first.
    pub async fn answer_sync(&self, known: KnownState) -> SyncReply {
        let asked = Instant::now();
        let known_answer = self.store_health().list_asked();
        loop {
            let changed = self.view_changed.notified();
            let mut reply = self.sync_reply(known);
            let held = asked.elapsed();
            let answered = self.store_health().list_asked() != known_answer;
            if !reply.is_from_store() || reply.has_news() || answered || held >= SYNC_WAIT {
                reply.held_ms = u32::try_from(held.as_millis()).unwrap_or_default();
                return reply;
            }
            tokio::select! {
                () = changed => (),
                () = tokio::time::sleep_until(asked + SYNC_WAIT) => (),
            }
        }
    }

    fn sync_reply(&self, known: KnownState) -> SyncReply {
        let now = self.now();
        let config = self.config_statement();
        let view = self.view();
        let store_unstable = self.is_store_unstable(now);
        let reads_store = view.has_list() && !self.is_following();
        let store_age = self.store_health().list_age(now);
        let store_age = store_age.filter(|age| reads_store && *age < MAX_SUPPLY_AGE);
        let newer_routes = view
            .routes
            .as_ref()
            .filter(|table| table.version > known.config_version);
        let newer_list = store_age.is_some() && view.list_revision > known.list_revision;
        SyncReply {
            store_age_ms: store_age.map(millis),
            held_ms: 0,
            config_version: config.version,
            config_age_ms: config.age_ms(),
            routes: newer_routes.map(|table| table.as_ref().clone()),
            list_proof_ms: self.list_proof_age().map(millis),
            list: newer_list.then(|| TargetList {
                targets: view.listed_targets(),
                revision: view.list_revision,
                store_unstable,
            }),
        }
    }

    /// Applies the configuration in the reply of another node, and what it proves. The node was asked
    /// at `asked`, a time of the boot clock.
    pub(super) fn apply_sync_config(
        &self,
        reply: &mut SyncReply,
        asked: Time,
        source: ConfigSource,
    ) {
        if let Some(table) = reply.routes.take() {
            let revision = reply.list.as_ref().map_or(0, |list| list.revision);
            self.apply_routes(table.with_index(), revision, source);
        }
        if let Some(age_ms) = reply.config_age_ms {
            let age = Duration::from_millis(u64::from(age_ms));
            self.record_proof(reply.config_version, asked, age);
        }
    }

    /// Applies the list of targets in the reply of a reader that was asked at `asked`, which is
    /// `boot_asked` by the boot clock, and that the store answered `store_age` before the reply. The
    /// reader supplies this node from now on.
    fn apply_sync_list(
        &self,
        reply: SyncReply,
        store_age: Duration,
        asked: Time,
        boot_asked: Time,
    ) {
        let now = self.now();
        let view = self.view();
        let answered_at = supply::answered_at(asked, reply.held(), store_age);
        let proof_age = reply.list_proof_ms;
        let held = reply.held();
        match reply.list {
            Some(list) if list.revision > view.list_revision => self.apply_list(list),
            _ if now.since(view.listed_at) >= REEVALUATION_PERIOD => {
                self.apply_targets(view.listed_targets(), view.list_revision);
            }
            _ => (),
        }
        if let Some(age_ms) = proof_age {
            let age = Duration::from_millis(u64::from(age_ms));
            self.record_proved_list(supply::answered_at(boot_asked, held, age));
        }
        if self.supply().record(answered_at) {
            log::info!("configuration and targets are received from another node");
        }
    }

    /// Makes this node read the store itself.
    fn stop_following(&self) {
        let ended = self.supply().end();
        if let Some(answered_at) = ended {
            log::info!(
                store_age_ms = self.now().since(answered_at).as_millis() as u64;
                "configuration and targets are read from the store"
            );
        }
    }

    fn supply(&self) -> MutexGuard<'_, Supply> {
        self.supply.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Keeps this node up to date from the reader with the given rank in its failure domain, as long as
/// the node is no reader itself. Never returns.
pub async fn follow_reader(relay: Arc<Relay>, rank: usize) {
    loop {
        let readers = relay.readers();
        if readers.is_empty() {
            relay.stop_following();
        }
        let Some(address) = readers.get(rank).copied() else {
            sleep(ROLE_CHECK_PERIOD).await;
            continue;
        };
        let known = relay.known_state();
        let (asked, boot_asked) = (relay.now(), relay.boot_now());
        let mut reply = relay
            .peer_client()
            .sync(address, known, REPLY_TIMEOUT)
            .await;
        if let Some(reply) = &mut reply {
            relay.apply_sync_config(reply, boot_asked, ConfigSource::Reader);
        }
        let answered = reply.and_then(|reply| Some((reply.store_age()?, reply)));
        match answered {
            Some((store_age, reply)) => relay.apply_sync_list(reply, store_age, asked, boot_asked),
            None => {
                if !relay.is_following() {
                    relay.stop_following();
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
