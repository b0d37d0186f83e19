//! How a node reads the store, and which other nodes it can ask instead.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::MutexGuard;

use rand::Rng;
use rand::RngExt;

use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::Relay;
use crate::relay::store_sync::StoreError;
use crate::relay::store_sync::StoreState;

/// Connected nodes that are remembered, at most.
const MAX_HEARD: usize = 32;

impl Relay {
    /// Returns whether the store answers this node.
    pub fn store_state(&self) -> MutexGuard<'_, StoreState> {
        self.store_state.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Reads the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer this node.
    pub async fn read_store(&self, query: Query) -> Result<QueryResult, StoreError> {
        let began = self.now();
        let result = self.store.read(query.clone()).await;
        log::debug!(
            query:? = query, took_ms = self.now().since(began).as_millis() as u64,
            revision = result.as_ref().map_or(0, |r| r.revision),
            error:? = result.as_ref().err();
            "store read"
        );
        self.figures.store_call(result.is_ok());
        let worked = matches!(result, Ok(_) | Err(StoreError::Compacted));
        let luck = self.decisions().rng.random_range(0.0..1.0);
        let news = self.store_state().note(worked, luck, self.now());
        match &result {
            Ok(_) | Err(StoreError::Compacted) if news => log::info!("store answers again"),
            Err(e) if news => log::warn!(error:% = e; "store does not answer"),
            _ => (),
        }
        result
    }

    /// Reads the store for another node, or tells it what this node knows if the store does not
    /// answer here either.
    pub async fn read_store_for_other(&self, query: Query) -> Option<QueryResult> {
        match self.read_store(query.clone()).await {
            Ok(reading) => Some(reading),
            Err(StoreError::Compacted) => None,
            Err(_) => self.view().answer(&query),
        }
    }

    /// Notes that a node at `ip` is connected, which is how a node that cannot read the list finds
    /// others.
    pub fn heard_from(&self, ip: IpAddr) {
        let mut heard = self.heard.lock().unwrap_or_else(|p| p.into_inner());
        heard.retain(|known| *known != ip);
        if heard.len() >= MAX_HEARD {
            heard.remove(0);
        }
        heard.push(ip);
    }

    /// Returns the other nodes that are listed, and those that are connected if none is.
    fn known_peers(&self) -> Vec<(bool, SocketAddr)> {
        let cfg = self.cfg();
        let view = self.view();
        let listed = view.targets.iter().map(|t| &t.instance);
        let others = listed.filter(|instance| instance.peer.ip() != cfg.peers.ip());
        let peers: Vec<(bool, SocketAddr)> =
            others.map(|i| (i.region != cfg.region, i.peer)).collect();
        if !peers.is_empty() {
            return peers;
        }
        let heard = self.heard.lock().unwrap_or_else(|p| p.into_inner());
        let port = cfg.peers.port();
        heard
            .iter()
            .map(|ip| (false, SocketAddr::new(*ip, port)))
            .collect()
    }

    /// Returns the addresses of up to `most` other nodes, those of the own region first.
    pub fn some_peers(&self, most: usize) -> Vec<SocketAddr> {
        let known = self.known_peers();
        let mut decisions = self.decisions();
        let mut drawn: Vec<(bool, u64, SocketAddr)> = known
            .into_iter()
            .map(|(far, peer)| (far, decisions.rng.next_u64(), peer))
            .collect();
        drawn.sort_unstable();
        drawn
            .into_iter()
            .map(|(_, _, peer)| peer)
            .take(most)
            .collect()
    }
}
