//! Keeps the node's configuration and targets up to date from the platform's store.
//!
//! The store is read through closures that the platform's adapter provides. A node that the store
//! does not answer asks another node to read for it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::timeout;

use crate::coordination::watch_position;
use crate::coordination::watch_position::MAX_WATCH;
use crate::coordination::watch_position::WatchPosition;
use crate::instance::InstanceName;
use crate::protocol::store_query::CACHED_REVISION;
use crate::protocol::store_query::Content;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::store_query::TargetChange;
use crate::relay::Relay;
use crate::relay::config_source::ConfigSource;
use crate::relay::freshness::millis;

/// Time between two reads of an entry that may be missing only because of a store failure.
const RECHECK_PERIOD: Duration = Duration::from_millis(300);

/// Time that the store may take to begin its answer, beyond the wait of the query.
pub const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);

/// Time that the answer to one call may take to arrive once it has begun. A large configuration is
/// slow on a busy link.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(4_000);

/// First pause of a reader after a failed read, doubled up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause of a reader after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Wait for a change in a call that probes whether a failing store has recovered.
const PROBE_WAIT: Duration = Duration::from_millis(200);

/// Time between two reads of the list of targets.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two reads of the list while the local target is not in it.
const UNLISTED_LIST_PERIOD: Duration = Duration::from_millis(200);

/// Time that a starting node waits for a reader to supply it before it watches the store itself.
const READER_WAIT: Duration = Duration::from_millis(1_000);

/// Age up to which the revision of a list proves that it is recent enough for quotas.
const MAX_REVISION_AGE: Duration = Duration::from_millis(1_500);

/// Limit on the other nodes that are asked for one query.
const MAX_PEERS_ASKED: usize = 2;

/// Reason why the store was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store has discarded the changes after the given revision.
    #[error("history is no longer available")]
    Compacted,
    /// The store refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The store could not be reached, or the connection broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The response did not arrive in time.
    #[error("no response in time")]
    TimedOut,
    /// The response could not be decoded.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The store answered, but its configuration is invalid, so that it proves nothing about the one
    /// in force.
    #[error("invalid configuration: {0}")]
    InvalidConfiguration(String),
    /// The store failed a call and the pause before the next one is not over.
    #[error("not called, backing off after a failed call")]
    BackingOff,
}

impl StoreError {
    /// Returns whether the store has answered, so that another node would get the same answer.
    pub fn is_answer(&self) -> bool {
        matches!(
            self,
            StoreError::Compacted | StoreError::InvalidConfiguration(_)
        )
    }
}

/// Future of a query result.
pub type QueryFuture = Pin<Box<dyn Future<Output = Result<QueryResult, StoreError>> + Send>>;

/// Reads the store by calling a function of the platform's adapter.
#[derive(Clone)]
pub struct StoreReader(Arc<dyn Fn(Query) -> QueryFuture + Send + Sync>);

impl fmt::Debug for StoreReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("StoreReader").finish()
    }
}

impl StoreReader {
    /// Builds a reader from a function.
    pub fn new<F>(read: F) -> StoreReader
    where
        F: Fn(Query) -> QueryFuture + Send + Sync + 'static,
    {
        StoreReader(Arc::new(read))
    }

    /// Reads the store. The function must give up if the answer does not begin within the wait of
    /// the query plus [`CALL_TIMEOUT_MARGIN`], or if its transfer stalls.
    ///
    /// # Errors
    ///
    /// If the store refuses, cannot be reached or does not answer in time, or its response is
    /// malformed.
    pub async fn read(&self, query: Query) -> Result<QueryResult, StoreError> {
        let max_time = query.max_wait() + CALL_TIMEOUT_MARGIN + MAX_TRANSFER_TIME;
        match timeout(max_time, (self.0)(query)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::TimedOut),
        }
    }
}

/// Exponential backoff between the failed reads of one reader.
#[derive(Debug)]
struct Backoff(Duration);

impl Backoff {
    fn new() -> Backoff {
        Backoff(INITIAL_BACKOFF)
    }

    async fn wait(&mut self) {
        tokio::time::sleep(self.0).await;
        self.0 = (self.0 * 2).min(MAX_BACKOFF);
    }
}

/// Reads the store, or asks another node to read it if it does not answer this one.
///
/// A broken watch may have missed a change, and the next watch may deliver nothing either. So the
/// first watch that fails is not handed to another node; its error makes the reader start over with
/// a full read.
async fn read(relay: &Arc<Relay>, query: Query) -> Result<QueryResult, StoreError> {
    let (failing, may_call) = {
        let mut health = relay.store_health();
        (health.is_failing(), health.may_call(relay.now()))
    };
    let result = match (may_call, failing) {
        (false, _) => Err(StoreError::BackingOff),
        (true, false) => relay.read_store(query.clone()).await,
        (true, true) => {
            relay
                .read_store(query.clone().with_max_wait(PROBE_WAIT))
                .await
        }
    };
    match result {
        Ok(_) => result,
        Err(e) if e.is_answer() => Err(e),
        Err(e) if !failing && may_call && query.is_watch() => Err(e),
        Err(e) => read_through_peers(relay, &query).await.ok_or(e),
    }
}

async fn read_through_peers(relay: &Arc<Relay>, query: &Query) -> Option<QueryResult> {
    for address in relay.sample_peers(MAX_PEERS_ASKED) {
        let max_time = query.max_wait() + CALL_TIMEOUT_MARGIN;
        let asked = relay.boot_now();
        let result = relay
            .peer_client()
            .read_store(address, query.clone(), max_time)
            .await;
        if let Some(mut result) = result {
            let took = millis(relay.boot_now().since(asked));
            result.age_ms = result.age_ms.map(|age| age.saturating_add(took));
            return Some(result);
        }
    }
    None
}

/// Keeps the configuration up to date, as long as no reader does. Never returns.
pub async fn follow_routes(relay: Arc<Relay>) {
    let mut position = WatchPosition::default();
    let mut backoff = Backoff::new();
    let mut starting = true;
    loop {
        if relay.has_routes() && starting && !relay.is_reader() {
            relay.wait_for_reader(READER_WAIT).await;
            // A change during the wait must not depend on the first watch.
            position.reset();
        }
        starting &= !relay.has_routes();
        if relay.has_routes() && relay.is_following() {
            tokio::select! {
                () = relay.wait_while_following() => (),
                () = relay.wait_for_missed_version() => (),
            }
            position.reset();
        }
        let query = match position.watch_after() {
            None => Query::Routes,
            Some(revision) => Query::WatchRoutes {
                revision,
                wait_ms: routes_watch_time(&relay).as_millis() as u64,
            },
        };
        // A full read returns the newest version. Starting it again would only delay it.
        let is_watch = query.is_watch();
        let result = tokio::select! {
            result = read(&relay, query.clone()) => result,
            () = relay.wait_for_missed_version(), if is_watch => {
                position.reset();
                continue;
            }
        };
        match result {
            Ok(result) if result.revision == CACHED_REVISION => {
                handle_routes(&relay, &query, result, &mut position);
                position.reset();
                backoff.wait().await;
            }
            Ok(result) => {
                handle_routes(&relay, &query, result, &mut position);
                backoff = Backoff::new();
            }
            Err(e) => {
                position.reset();
                log::info!(dependency = "store", what = "configuration", error:% = e; "could not read from the store");
                backoff.wait().await;
            }
        }
    }
}

/// Applies the result of a query for the configuration, and records what it proves.
fn handle_routes(
    relay: &Relay,
    query: &Query,
    result: QueryResult,
    position: &mut WatchPosition<u64>,
) {
    let Content::Routes(table) = result.content else {
        return;
    };
    let version = table.as_ref().map(|table| table.version);
    if let Some(table) = table {
        let source = ConfigSource::of_result(query, result.revision);
        relay.apply_routes(table.with_index(), result.revision, source);
    }
    let proved = match query.is_watch() {
        true => position.record_watch(version, result.revision),
        false => position.record_read(version, result.revision),
    };
    if position.watch_after().is_none() {
        log::info!(
            query:? = query, revision = result.revision;
            "watch of the configuration ended without a change, the store has changed"
        );
    }
    if let (Some(version), Some(age_ms)) = (proved, result.age_ms) {
        let age = Duration::from_millis(u64::from(age_ms));
        relay.record_proof(version, relay.boot_now(), age);
    }
}

/// Returns the wait of the next watch of the configuration, jittered so that the nodes do not call
/// in step.
fn routes_watch_time(relay: &Relay) -> Duration {
    let max_time =
        watch_position::max_config_watch(relay.view().reader_count(), relay.cfg().revocation_bound);
    max_time.mul_f64(relay.coordination().rng.random_range(0.5..=1.0))
}

/// Returns the wait of the next watch of the local target's entry, with jitter.
fn local_entry_watch_time(relay: &Relay) -> Duration {
    MAX_WATCH.mul_f64(relay.coordination().rng.random_range(0.5..=1.0))
}

/// Reads the list of targets. Quotas need proof that the list is the newest one: from its revision, or
/// from a read of the list as it is, which costs the store more.
async fn read_list(relay: &Arc<Relay>) -> Result<QueryResult, StoreError> {
    let stale = read_stale_list(relay).await?;
    if !relay.has_quotas() {
        return Ok(stale);
    }
    let age = relay.revision_age(stale.revision);
    if let Some(age) = age.filter(|age| *age < MAX_REVISION_AGE) {
        let age_ms = Some(millis(age));
        return Ok(QueryResult { age_ms, ..stale });
    }
    match read(relay, Query::CurrentTargets).await {
        Err(e) if e.is_answer() => Err(e),
        result => Ok(result.unwrap_or(stale)),
    }
}

async fn read_stale_list(relay: &Arc<Relay>) -> Result<QueryResult, StoreError> {
    let result = read(relay, Query::Targets).await?;
    Ok(QueryResult {
        age_ms: None,
        ..result
    })
}

/// Keeps the list of targets up to date, as long as no reader does. Never returns.
pub async fn follow_targets(relay: Arc<Relay>) {
    let mut backoff = Backoff::new();
    loop {
        if !relay.is_list_outdated() {
            tokio::select! {
                () = relay.wait_while_following() => (),
                () = relay.wait_for_outdated_list() => (),
            }
        }
        match read_list(&relay).await {
            Ok(result) => {
                backoff = Backoff::new();
                if let Content::Targets(list) = result.content {
                    relay.apply_targets(list, result.revision);
                }
                relay.record_read_list(result.revision, result.age_ms);
                let is_listed = relay.local_target().is_some() && !relay.is_list_outdated();
                let period = match is_listed {
                    true => LIST_PERIOD,
                    false => UNLISTED_LIST_PERIOD,
                };
                tokio::select! {
                    () = tokio::time::sleep(period) => (),
                    () = relay.wait_for_outdated_list(), if is_listed => (),
                }
            }
            Err(e) => {
                log::info!(dependency = "store", what = "targets", error:% = e; "could not read from the store");
                backoff.wait().await;
            }
        }
    }
}

/// Watches the entry of the local target, to detect without delay that the target is draining. The
/// entries of other targets are only read with the list, because their nodes refuse requests that
/// come too late. Never returns.
///
/// A watch may stop delivering without an error. The list, which is read each second, and responses
/// of the target that close the connection therefore trigger a read of the entry as well.
pub async fn follow_local_target(relay: Arc<Relay>) {
    let mut backoff = Backoff::new();
    let mut position = WatchPosition::default();
    let mut adopted: Option<InstanceName> = None;
    loop {
        let Some(local) = relay.local_target() else {
            relay.wait_for_local_target_change().await;
            continue;
        };
        let name = local.instance.name.clone();
        if adopted.as_ref() != Some(&name) {
            adopted = Some(name.clone());
            position.reset();
            let list_revision = relay.view().list_revision;
            if list_revision != CACHED_REVISION {
                // The list has the state of the entry, so that only later changes are needed.
                position.record_read(Some(()), list_revision);
            }
        }
        let query = match position.watch_after() {
            None => Query::Target(name.clone()),
            Some(revision) => Query::WatchTarget {
                name: name.clone(),
                revision,
                wait_ms: local_entry_watch_time(&relay).as_millis() as u64,
            },
        };
        let is_watch = query.is_watch();
        let result = tokio::select! {
            result = read(&relay, query) => result,
            () = relay.wait_for_local_target_change() => {
                position.reset();
                continue;
            }
        };
        match result {
            Ok(result) => {
                backoff = Backoff::new();
                let Content::Target(change) = result.content else {
                    continue;
                };
                let changed = (change != TargetChange::Unchanged).then_some(());
                match is_watch {
                    true => position.record_watch(changed, result.revision),
                    false => position.record_read(changed, result.revision),
                };
                if !relay.apply_local_entry(&name, change, result.revision) {
                    position.reset();
                    tokio::time::sleep(RECHECK_PERIOD).await;
                }
            }
            Err(e) => {
                position.reset();
                log::info!(dependency = "store", what = "own entry", error:% = e; "could not read from the store");
                backoff.wait().await;
            }
        }
    }
}
