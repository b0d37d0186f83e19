//! What a node reads from the platform's store, and how it keeps up with changes.
//!
//! The store is read through closures that the platform's adapter provides. A node that the store
//! turns away asks another node to read for it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::timeout;

use crate::clock::Time;
use crate::instance::InstanceName;
use crate::protocol::store_query::CACHED_REVISION;
use crate::protocol::store_query::Content;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::Relay;

/// Longest wait for a change in one call.
const LONGEST_WATCH: Duration = Duration::from_secs(20);

/// Shortest wait for a change in one call.
const SHORTEST_WATCH: Duration = Duration::from_secs(2);

/// Time between two calls for changes by any nodes of the fleet, on average. A watch may go silent
/// without notice; the node that asks next hears of a change, and the others hear of it from that
/// node.
const FLEET_WATCH_PERIOD: Duration = Duration::from_millis(250);

/// Time between two looks at an entry that says nothing definite.
const UNDECIDED_PERIOD: Duration = Duration::from_millis(300);

/// Time that an own watch gets to bring a change that other nodes have heard of already.
const HEARSAY_DELAY: Duration = Duration::from_millis(300);

/// Longest time that the store may take beyond a wait.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_000);

/// Shortest pause after a failed call; doubled up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// First pause of a node after a call that the store failed; doubled up to [`LONGEST_REST`].
const FIRST_REST: Duration = Duration::from_millis(250);

/// Longest time for which a failing store is not called. A node must notice within the stable
/// window of the platform, 3 s, that the store is back.
const LONGEST_REST: Duration = Duration::from_millis(1_500);

/// Wait for a change in a call that finds out whether the store answers again.
const TRIAL_WAIT: Duration = Duration::from_millis(200);

/// Time between two readings of the list.
const LIST_PERIOD: Duration = Duration::from_millis(1_000);

/// Time between two readings of the list while the own target is not in it.
const FIRST_LIST_PERIOD: Duration = Duration::from_millis(200);

/// Other nodes asked for one reading, at most.
const MOST_ASKED: usize = 2;

/// Why the store was not read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Changes since the given revision are no longer known.
    #[error("history is no longer available")]
    Compacted,
    /// The store refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The store could not be reached, or the connection broke.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// The answer came too late.
    #[error("no answer in time")]
    TimedOut,
    /// The answer could not be understood.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// It failed just now and is not called yet.
    #[error("not called again yet")]
    Resting,
}

/// A reading on its way.
pub type ReadingFuture = Pin<Box<dyn Future<Output = Result<QueryResult, StoreError>> + Send>>;

/// Reads the store.
#[derive(Clone)]
pub struct StoreReader(Arc<dyn Fn(Query) -> ReadingFuture + Send + Sync>);

impl fmt::Debug for StoreReader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("StoreReader").finish()
    }
}

impl StoreReader {
    /// Builds a reader from a function.
    pub fn new<F>(read: F) -> StoreReader
    where
        F: Fn(Query) -> ReadingFuture + Send + Sync + 'static,
    {
        StoreReader(Arc::new(read))
    }

    /// Reads the store, within the wait of the query and a little more.
    ///
    /// # Errors
    ///
    /// If the store does not answer in time, or refuses.
    pub async fn read(&self, query: Query) -> Result<QueryResult, StoreError> {
        let longest = query.max_wait() + ANSWER_WITHIN;
        match timeout(longest, (self.0)(query)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::TimedOut),
        }
    }
}

/// Whether the store answers this node.
///
/// The load that this answers is that of a whole fleet on a store that is away or turns nodes
/// away: all readers of a node together call it once in a growing pause.
#[derive(Debug, Default)]
pub struct StoreState {
    failed: Option<Time>,
    recovered: Option<Time>,
    rest: Duration,
    next_call: Time,
}

impl StoreState {
    /// Returns whether the store fails at present.
    pub fn is_failing(&self) -> bool {
        self.failed.is_some()
    }

    /// Returns whether the store may be called. While it fails, that is so once in each pause.
    pub fn may_call(&mut self, now: Time) -> bool {
        if self.failed.is_none() {
            return true;
        }
        let due = now >= self.next_call;
        if due {
            self.next_call = now.plus(self.rest);
        }
        due
    }

    /// Notes how a call ended. Returns whether that is news. `luck`, uniform in 0..1, spreads the
    /// next calls of several nodes.
    pub fn note(&mut self, worked: bool, luck: f64, now: Time) -> bool {
        if worked {
            self.rest = Duration::ZERO;
            let news = self.failed.take().is_some();
            if news {
                self.recovered = Some(now);
            }
            return news;
        }
        self.rest = (self.rest * 2).clamp(FIRST_REST, LONGEST_REST);
        self.next_call = now.plus(self.rest.mul_f64(0.5 + luck / 2.0));
        self.failed.replace(now).is_none()
    }

    /// Returns when the store last answered again, nothing while it fails.
    pub fn recovered(&self) -> Option<Time> {
        self.recovered.filter(|_| self.failed.is_none())
    }

    /// Returns whether the store failed within `span`, or came back only within it.
    pub fn is_shaky(&self, span: Duration, now: Time) -> bool {
        self.failed.is_some() || self.recovered.is_some_and(|at| now.since(at) < span)
    }
}

/// A growing pause between failed calls.
#[derive(Debug)]
struct Pause(Duration);

impl Pause {
    fn new() -> Pause {
        Pause(FIRST_PAUSE)
    }

    async fn wait(&mut self) {
        tokio::time::sleep(self.0).await;
        self.0 = (self.0 * 2).min(LONGEST_PAUSE);
    }
}

/// Reads the store, or asks another node to, if the store does not answer this one.
///
/// A watch that breaks may have missed a change, and one that follows it may be silent too. So it is
/// not handed to another node: the caller is told, and reads anew.
async fn read(relay: &Arc<Relay>, query: Query) -> Result<QueryResult, StoreError> {
    let (failing, may_call) = {
        let mut state = relay.store_state();
        (state.is_failing(), state.may_call(relay.now()))
    };
    let result = match (may_call, failing) {
        (false, _) => Err(StoreError::Resting),
        (true, false) => relay.read_store(query.clone()).await,
        (true, true) => {
            relay
                .read_store(query.clone().with_max_wait(TRIAL_WAIT))
                .await
        }
    };
    match result {
        Ok(_) | Err(StoreError::Compacted) => result,
        Err(e) if !failing && may_call && query.is_watch() => Err(e),
        Err(e) => ask_others(relay, &query).await.ok_or(e),
    }
}

async fn ask_others(relay: &Arc<Relay>, query: &Query) -> Option<QueryResult> {
    for address in relay.some_peers(MOST_ASKED) {
        let longest = query.max_wait() + ANSWER_WITHIN;
        let asked = relay.links().read(address, query.clone(), longest).await;
        if asked.is_some() {
            return asked;
        }
    }
    None
}

/// Keeps the configuration up to date for as long as the process runs.
pub async fn follow_routes(relay: Arc<Relay>) {
    let mut revision = None;
    let mut pause = Pause::new();
    loop {
        let query = match revision {
            None => Query::Routes,
            Some(revision) => Query::WatchRoutes {
                revision,
                wait_ms: config_watch(&relay).as_millis() as u64,
            },
        };
        let result = tokio::select! {
            result = read(&relay, query) => result,
            () = hearsay(&relay) => {
                revision = None;
                continue;
            }
        };
        match result {
            Ok(reading) => {
                revision = Some(reading.revision);
                if let Content::Routes(Some(table)) = reading.content {
                    relay.take_routes(table.with_index(), reading.revision);
                }
                if reading.revision != CACHED_REVISION {
                    pause = Pause::new();
                } else {
                    revision = None;
                    pause.wait().await;
                }
            }
            Err(e) => {
                revision = None;
                log::info!(dependency = "store", what = "configuration", error:% = e; "not read");
                pause.wait().await;
            }
        }
    }
}

/// Returns the wait of the next call for changes of the configuration, drawn anew so that the nodes
/// of a fleet do not call in step.
fn config_watch(relay: &Relay) -> Duration {
    let nodes = u32::try_from(relay.view().targets.len()).unwrap_or(u32::MAX);
    let longest = FLEET_WATCH_PERIOD.saturating_mul(nodes);
    let longest = longest.clamp(SHORTEST_WATCH, LONGEST_WATCH);
    longest.mul_f64(relay.decisions().rng.random_range(0.5..=1.0))
}

/// Returns the wait of the next call for changes of the own entry.
fn own_watch(relay: &Relay) -> Duration {
    LONGEST_WATCH.mul_f64(relay.decisions().rng.random_range(0.5..=1.0))
}

/// Waits until another node has had a newer configuration for a while.
async fn hearsay(relay: &Relay) {
    loop {
        relay.newer_version().await;
        let known = relay.version();
        tokio::time::sleep(HEARSAY_DELAY).await;
        if relay.version() == known {
            return;
        }
    }
}

/// Keeps the list of targets up to date for as long as the process runs.
pub async fn follow_targets(relay: Arc<Relay>) {
    let mut pause = Pause::new();
    loop {
        match read(&relay, Query::Targets).await {
            Ok(reading) => {
                pause = Pause::new();
                if let Content::Targets(list) = reading.content {
                    relay.take_targets(list, reading.revision);
                }
                let period = match relay.own_target().is_some() {
                    true => LIST_PERIOD,
                    false => FIRST_LIST_PERIOD,
                };
                tokio::time::sleep(period).await;
            }
            Err(e) => {
                log::info!(dependency = "store", what = "targets", error:% = e; "not read");
                pause.wait().await;
            }
        }
    }
}

/// Watches the entry of the own target, because this node alone must know in time that it leaves.
/// The watch may go silent without notice. So the list, read each second, counts too, and a hint
/// that the target may be leaving makes this node look at once.
pub async fn follow_own(relay: Arc<Relay>) {
    let mut pause = Pause::new();
    let mut followed: Option<(InstanceName, u64)> = None;
    loop {
        let Some(own) = relay.own_target() else {
            followed = None;
            relay.own_changed().await;
            continue;
        };
        let name = own.instance.name.clone();
        let query = match &followed {
            Some((known, revision)) if *known == name => Query::WatchTarget {
                name: name.clone(),
                revision: *revision,
                wait_ms: own_watch(&relay).as_millis() as u64,
            },
            _ => Query::Target(name.clone()),
        };
        let outcome = tokio::select! {
            outcome = read(&relay, query) => outcome,
            () = relay.own_changed() => {
                followed = None;
                continue;
            }
        };
        match outcome {
            Ok(reading) => {
                pause = Pause::new();
                followed = Some((name.clone(), reading.revision));
                let Content::Target(news) = reading.content else {
                    continue;
                };
                if !relay.take_own(&name, news, reading.revision) {
                    followed = None;
                    tokio::time::sleep(UNDECIDED_PERIOD).await;
                }
            }
            Err(e) => {
                followed = None;
                log::info!(dependency = "store", what = "own entry", error:% = e; "not read");
                pause.wait().await;
            }
        }
    }
}
