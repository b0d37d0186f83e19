//! Calls to the platform's store, and the other nodes that can be asked instead.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::MutexGuard;

use rand::Rng;
use rand::RngExt;

use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::Relay;
use crate::relay::freshness::millis;
use crate::relay::store_health::StoreHealth;
use crate::relay::store_sync::StoreError;

/// Limit on the addresses of connected nodes that are remembered.
const MAX_CONNECTED_PEERS: usize = 32;

impl Relay {
    /// Locks and returns the health of the store.
    pub fn store_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.store_health.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Reads the store, and counts and logs the call and any change of the store's health.
    ///
    /// # Errors
    ///
    /// If the store does not answer this node, or no longer has the revision of the query.
    pub async fn read_store(&self, query: Query) -> Result<QueryResult, StoreError> {
        let started_at = self.now();
        let asked = self.boot_now();
        let mut result = self.store.read(query.clone()).await;
        if let Ok(result) = &mut result {
            let age_ms = self.proof_age(&query, result, asked);
            result.age_ms = Some(age_ms);
            if query != Query::Targets {
                self.record_revision(result.revision, age_ms);
            }
        }
        log::debug!(
            query:? = query, took_ms = self.now().since(started_at).as_millis() as u64,
            revision = result.as_ref().map_or(0, |r| r.revision),
            error:? = result.as_ref().err();
            "store read"
        );
        self.metrics.record_store_call(result.is_ok());
        let worked = result.as_ref().err().is_none_or(StoreError::is_answer);
        let jitter = self.coordination().rng.random_range(0.0..1.0);
        let changed = {
            let mut health = self.store_health();
            if worked && query.is_list() {
                health.record_list(started_at);
            }
            health.record(worked, jitter, self.now())
        };
        if changed {
            self.view_changed.notify_waiters();
        }
        match &result {
            Err(e) if changed && !worked => log::warn!(error:% = e; "store is failing"),
            _ if changed => log::info!("store has recovered"),
            _ => (),
        }
        result
    }

    /// Reads the store for another node. If the store does not answer this node either, the view is
    /// returned as far as it holds the content.
    pub async fn read_store_for_peer(&self, query: Query) -> Option<QueryResult> {
        match self.read_store(query.clone()).await {
            Ok(result) => Some(result),
            Err(e) if e.is_answer() => None,
            Err(_) => {
                let age_ms = self.config_age().map(millis);
                let cached = self.view().answer(&query);
                cached.map(|cached| QueryResult { age_ms, ..cached })
            }
        }
    }

    /// Records that the node at `ip` has connected. A node that cannot read the list of targets
    /// asks the nodes recorded here.
    pub fn record_connected_peer(&self, ip: IpAddr) {
        let mut connected = self
            .connected_peers
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        connected.retain(|known| *known != ip);
        if connected.len() >= MAX_CONNECTED_PEERS {
            connected.remove(0);
        }
        connected.push(ip);
    }

    /// Returns the addresses of the other listed nodes, or of the connected ones if none is listed,
    /// each with whether the node is in another region.
    fn known_peers(&self) -> Vec<(bool, SocketAddr)> {
        let cfg = self.cfg();
        let view = self.view();
        let others = view
            .nodes
            .iter()
            .filter(|instance| instance.peer.ip() != cfg.peers.ip());
        let peers: Vec<(bool, SocketAddr)> =
            others.map(|i| (i.region != cfg.region, i.peer)).collect();
        if !peers.is_empty() {
            return peers;
        }
        let connected = self
            .connected_peers
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        let port = cfg.peers.port();
        connected
            .iter()
            .map(|ip| (false, SocketAddr::new(*ip, port)))
            .collect()
    }

    /// Returns the addresses of up to `max` other nodes in random order, those in the region of
    /// this node first.
    pub fn sample_peers(&self, max: usize) -> Vec<SocketAddr> {
        let peers = self.known_peers();
        let mut coordination = self.coordination();
        let mut shuffled: Vec<(bool, u64, SocketAddr)> = peers
            .into_iter()
            .map(|(far, peer)| (far, coordination.rng.next_u64(), peer))
            .collect();
        shuffled.sort_unstable();
        shuffled
            .into_iter()
            .map(|(_, _, peer)| peer)
            .take(max)
            .collect()
    }
}
