//! Distribution of the store's content within a failure domain.
//!
//! Of the nodes of a failure domain, only the first by rendezvous hash read the configuration and
//! the list of targets from the store. The others, the followers, ask these readers, so that the
//! calls to the store grow with the number of failure domains and not with the number of nodes. A
//! follower that hears from no reader for [`SYNC_TTL`] reads the store itself until it does.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::clock::Time;
use crate::coordination::reader;
use crate::instance::Instance;
use crate::instance::InstanceState;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;
use crate::protocol::sync::TargetList;
use crate::relay::Relay;
use crate::relay::config_source::ConfigSource;

/// Number of nodes of a failure domain that read the store. A second one serves the followers
/// without a pause when the first fails.
pub const READERS: usize = 2;

/// Time that a reader waits for news before it replies that there are none.
const SYNC_WAIT: Duration = Duration::from_millis(500);

/// Time that a node waits for a reply: [`SYNC_WAIT`] and a margin.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after the last reply of a reader during which a follower does not read the store itself.
const SYNC_TTL: Duration = Duration::from_millis(1_200);

/// Pause of a follower after a reader did not reply or had no recent content itself.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time between two checks of whether this node still follows or reads.
const ROLE_CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Age of the list up to which a reader answers for the store. The list is read each second.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_800);

/// Time between two evaluations of an unchanged list, which drops targets that have been missing
/// for too long.
const REEVALUATION_PERIOD: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Returns the addresses of the readers in the failure domain of this node, or none if the node
    /// is a reader itself.
    pub fn readers(&self) -> Vec<SocketAddr> {
        let cfg = self.cfg();
        let view = self.view();
        let is_near = |i: &&Instance| i.domain == cfg.domain && i.state == InstanceState::Live;
        let near: Vec<&Instance> = view
            .targets
            .iter()
            .map(|target| &target.instance)
            .filter(is_near)
            .collect();
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
        let synced_at = *self.synced_at.lock().unwrap_or_else(|p| p.into_inner());
        synced_at.is_some_and(|at| self.now().since(at) < SYNC_TTL)
    }

    /// Waits until no reader supplies this node any more.
    pub async fn wait_while_following(&self) {
        while self.is_following() {
            sleep(ROLE_CHECK_PERIOD).await;
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

    /// Replies to a node that knows `known`. Waits up to [`SYNC_WAIT`] for news.
    pub async fn answer_sync(&self, known: KnownState) -> SyncReply {
        let until = Instant::now() + SYNC_WAIT;
        loop {
            let changed = self.view_changed.notified();
            let reply = self.sync_reply(known);
            if !reply.fresh || reply.has_news() {
                return reply;
            }
            tokio::select! {
                () = changed => (),
                () = tokio::time::sleep_until(until) => return reply,
            }
        }
    }

    fn sync_reply(&self, known: KnownState) -> SyncReply {
        let now = self.now();
        let config = self.config_statement();
        let view = self.view();
        let store_unstable = self.is_store_unstable(now);
        let store_failing = self.store_health().is_failing();
        let list_is_recent = view.has_list() && now.since(view.listed_at) < MAX_LIST_AGE;
        let newer_routes = view
            .routes
            .as_ref()
            .filter(|table| table.version > known.config_version);
        let fresh = !self.is_following() && !store_failing && list_is_recent;
        let newer_list = fresh && view.list_revision > known.list_revision;
        SyncReply {
            fresh,
            config_version: config.version,
            config_age_ms: config.age_ms(),
            routes: newer_routes.map(|table| table.as_ref().clone()),
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

    /// Applies the list of targets in the reply of a reader, which supplies this node from now on.
    fn apply_sync_list(&self, reply: SyncReply, now: Time) {
        let view = self.view();
        match reply.list {
            Some(list) if list.revision > view.list_revision => self.apply_list(list),
            _ if now.since(view.listed_at) >= REEVALUATION_PERIOD => {
                self.apply_targets(view.listed_targets(), view.list_revision);
            }
            _ => (),
        }
        let mut synced_at = self.synced_at.lock().unwrap_or_else(|p| p.into_inner());
        if synced_at.replace(now).is_none() {
            log::info!("configuration and targets are received from another node");
        }
    }

    /// Makes this node read the store itself.
    fn stop_following(&self) {
        let mut synced_at = self.synced_at.lock().unwrap_or_else(|p| p.into_inner());
        if synced_at.take().is_some() {
            log::info!("configuration and targets are read from the store");
        }
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
        let asked = relay.boot_now();
        let mut reply = relay
            .peer_client()
            .sync(address, known, REPLY_TIMEOUT)
            .await;
        if let Some(reply) = &mut reply {
            relay.apply_sync_config(reply, asked, ConfigSource::Reader);
        }
        match reply.filter(|reply| reply.fresh) {
            Some(reply) => relay.apply_sync_list(reply, relay.now()),
            None => {
                if !relay.is_following() {
                    relay.stop_following();
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
