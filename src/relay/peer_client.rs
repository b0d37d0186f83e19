//! Client for other nodes. Each node is reached over one connection that carries many requests at
//! once, which are answered in any order.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::instance::OrganisationName;
use crate::memory::MemoryBudget;
use crate::protocol::frame;
use crate::protocol::frame::Frame;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::MAX_FRAME_BYTES;
use crate::protocol::frame::QuotaPurpose;
use crate::protocol::frame::QuotaReply;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;
use crate::relay::peer_connection::Command;
use crate::relay::peer_connection::PeerConnection;
use crate::relay::peer_connection::PeerFrames;
use crate::relay::peer_connection::QuotaQuestion;
use crate::relay::socket;

/// Timeout of a connection attempt to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after a failed connection during which no new attempt is made.
const UNREACHABLE_FOR: Duration = Duration::from_millis(250);

/// Time between two attempts to reconnect to a node after its connection broke.
const RECONNECT_PERIOD: Duration = Duration::from_millis(500);

/// Attempts to reconnect to a node after its connection broke.
const RECONNECT_ATTEMPTS: u32 = 16;

/// Limit on the commands that are queued for one connection.
const MAX_QUEUED_COMMANDS: usize = 4_096;

/// Reply to a request, with the load of the instance that replied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How the request ended.
    pub outcome: RunOutcome,
    /// Load of the instance, or nothing if the reply was made by this node.
    pub load: Option<LoadReport>,
}

impl Reply {
    fn not_run(kind: NotRunKind) -> Reply {
        let outcome = RunOutcome::NotRun {
            kind,
            refused_by_target: false,
        };
        Reply {
            outcome,
            load: None,
        }
    }

    /// Builds the reply to a request that may have run.
    pub fn unknown(kind: UnknownKind) -> Reply {
        let outcome = RunOutcome::Unknown(kind);
        Reply {
            outcome,
            load: None,
        }
    }
}

/// Handle that sends commands to the task of a connection.
#[derive(Clone)]
struct ConnectionHandle {
    commands: mpsc::Sender<Command>,
}

/// The connections of this node to all others.
pub struct PeerClient {
    local_ip: IpAddr,
    incarnation: u64,
    memory: MemoryBudget,
    connections: Mutex<HashMap<SocketAddr, ConnectionHandle>>,
    unreachable_since: Mutex<HashMap<SocketAddr, Instant>>,
    /// Nodes that a task reconnects to.
    reconnecting: Mutex<HashSet<SocketAddr>>,
    next_number: std::sync::atomic::AtomicU32,
}

impl PeerClient {
    /// Builds a client without connections; each is opened when it is first used. They are bound to
    /// `local_ip` and announce `incarnation`. The bodies of replies are reserved from `memory`.
    pub fn new(local_ip: IpAddr, incarnation: u64, memory: MemoryBudget) -> PeerClient {
        PeerClient {
            local_ip,
            incarnation,
            memory,
            connections: Mutex::default(),
            unreachable_since: Mutex::default(),
            reconnecting: Mutex::default(),
            next_number: std::sync::atomic::AtomicU32::new(1),
        }
    }

    /// Has the node at `address` run a request. Dropping the future cancels the request.
    pub async fn run(self: &Arc<PeerClient>, address: SocketAddr, mut req: RunRequest) -> Reply {
        if self.is_unreachable(address) {
            return Reply::not_run(NotRunKind::TargetUnreachable);
        }
        let number = self.next_request_number();
        req.number = number;
        let connection = self.connection(address);
        let (tx, rx) = oneshot::channel();
        let command = Command::Run(Box::new(req), tx);
        if connection.commands.try_send(command).is_err() {
            return Reply::not_run(NotRunKind::TargetUnreachable);
        }
        let mut guard = CancelGuard {
            connection,
            number,
            armed: true,
        };
        let reply = rx.await;
        guard.armed = false;
        // The task replies to every command that it took before it ends. Without a reply, the
        // request was not sent.
        reply.unwrap_or_else(|_| Reply::not_run(NotRunKind::TargetUnreachable))
    }

    /// Has the node at `address` read the store, and waits at most `max_time`. Returns nothing on
    /// any failure.
    pub async fn read_store(
        self: &Arc<PeerClient>,
        address: SocketAddr,
        query: Query,
        max_time: Duration,
    ) -> Option<QueryResult> {
        let command = |tx| Command::Read(query, tx);
        self.ask(address, max_time, command).await.flatten()
    }

    /// Asks the node at `address` for what it has read from the store beyond `known`, and waits at
    /// most `max_time`. Returns nothing on any failure.
    pub async fn sync(
        self: &Arc<PeerClient>,
        address: SocketAddr,
        known: KnownState,
        max_time: Duration,
    ) -> Option<SyncReply> {
        let command = |tx| Command::Sync(known, tx);
        self.ask(address, max_time, command).await
    }

    /// Asks the node at `address` for tokens of an organisation's quota, and waits at most
    /// `max_time`. Returns nothing if the node cannot be reached.
    pub async fn ask_quota(
        self: &Arc<PeerClient>,
        address: SocketAddr,
        organisation: &OrganisationName,
        wanted: u32,
        purpose: QuotaPurpose,
        max_time: Duration,
    ) -> Option<QuotaReply> {
        let question = QuotaQuestion {
            organisation: organisation.clone(),
            wanted,
            purpose,
        };
        let command = |tx| Command::AskQuota(question, tx);
        self.ask(address, max_time, command).await
    }

    /// Sends a command that has a reply, and waits at most `max_time` for it. Returns nothing on
    /// any failure.
    async fn ask<F, T>(
        self: &Arc<PeerClient>,
        address: SocketAddr,
        max_time: Duration,
        command: F,
    ) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> Command,
    {
        if self.is_unreachable(address) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let connection = self.connection(address);
        connection.commands.try_send(command(tx)).ok()?;
        timeout(max_time, rx).await.ok()?.ok()
    }

    /// Sends a message to all connected nodes. A node whose queue is full is skipped.
    pub fn broadcast(&self, frame: &Frame) {
        let connections: Vec<ConnectionHandle> = self.lock().values().cloned().collect();
        for connection in connections {
            if connection
                .commands
                .try_send(Command::Send(frame.clone()))
                .is_err()
            {
                log::debug!("message not sent, the connection is closed or its queue is full");
            }
        }
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Sends a message that has no reply to the node at `address`, over a new connection if there is
    /// none.
    pub fn send(self: &Arc<PeerClient>, address: SocketAddr, frame: Frame) {
        let command = Command::Send(frame);
        if self.connection(address).commands.try_send(command).is_err() {
            log::warn!(peer:% = address; "message not sent, the connection is closed or its queue is full");
        }
    }

    /// Returns whether a connection to `address` failed within the last `UNREACHABLE_FOR`.
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        let failed = self
            .unreachable_since
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        failed
            .get(&address)
            .is_some_and(|at| at.elapsed() < UNREACHABLE_FOR)
    }

    fn next_request_number(&self) -> u32 {
        let ordering = std::sync::atomic::Ordering::Relaxed;
        self.next_number.fetch_add(1, ordering)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionHandle>> {
        self.connections.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn connection(self: &Arc<PeerClient>, address: SocketAddr) -> ConnectionHandle {
        let mut connections = self.lock();
        if let Some(connection) = connections.get(&address)
            && !connection.commands.is_closed()
        {
            return connection.clone();
        }
        let (tx, rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let connection = ConnectionHandle { commands: tx };
        connections.insert(address, connection.clone());
        let client = self.clone();
        tokio::spawn(async move { client.run_connection(address, rx).await });
        connection
    }

    async fn run_connection(
        self: Arc<PeerClient>,
        address: SocketAddr,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let connected = timeout(CONNECT_TIMEOUT, socket::connect(self.local_ip, address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(stream) => stream,
            Err(e) => {
                log::info!(peer:% = address, error:% = e; "cannot connect to node");
                self.mark_unreachable(address);
                return reject_queued(commands);
            }
        };
        self.unreachable_since
            .lock()
            .unwrap_or_else(|p| p.into_inner())
            .remove(&address);
        log::debug!(peer:% = address; "connected to node");
        let connected_at = Instant::now();
        let (rd, mut wr) = stream.into_split();
        let mut frames = FramedRead::new(rd, frame::codec(MAX_FRAME_BYTES));
        let mut connection = PeerConnection::new(self.memory.clone());
        let end = connection
            .run(self.incarnation, &mut frames, &mut wr, &mut commands)
            .await;
        let pending = connection.pending_requests();
        match &end {
            Err(e) if e.kind() == io::ErrorKind::TimedOut => connection.fail_repeatable(),
            _ => connection.fail_pending(),
        }
        reject_queued(commands);
        if let Err(e) = end {
            log::info!(peer:% = address, error:% = e, owed = pending; "connection to node broke");
            self.mark_unreachable(address);
            let last_replies = receive_last_replies(connection, frames, address);
            tokio::join!(self.reconnect(address, connected_at), last_replies);
        }
    }

    /// Reconnects to a node whose connection, made at `connected_at`, broke, unless another task does.
    /// If that node restarts while the store does not answer it, it learns of other nodes from their
    /// connections. A connection that broke soon is not replaced at once.
    async fn reconnect(self: &Arc<PeerClient>, address: SocketAddr, connected_at: Instant) {
        if !self.reconnecting().insert(address) {
            return;
        }
        tokio::time::sleep_until(connected_at + RECONNECT_PERIOD).await;
        for _ in 0..RECONNECT_ATTEMPTS {
            self.connection(address);
            tokio::time::sleep(RECONNECT_PERIOD).await;
            if self.is_connected(address) {
                break;
            }
        }
        self.reconnecting().remove(&address);
    }

    fn is_connected(&self, address: SocketAddr) -> bool {
        let connections = self.lock();
        let connection = connections.get(&address);
        connection.is_some_and(|connection| !connection.commands.is_closed())
    }

    fn reconnecting(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.reconnecting.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn mark_unreachable(&self, address: SocketAddr) {
        let mut failed = self
            .unreachable_since
            .lock()
            .unwrap_or_else(|p| p.into_inner());
        failed.retain(|_, at| at.elapsed() < UNREACHABLE_FOR);
        failed.insert(address, Instant::now());
    }
}

impl std::fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

/// Receives the replies to the requests that must not run again from a node that has been silent.
/// If none arrives, the outcome of the requests is unknown.
async fn receive_last_replies(
    mut connection: PeerConnection,
    mut frames: PeerFrames,
    address: SocketAddr,
) {
    if let Err(e) = connection.await_last_replies(&mut frames).await {
        let pending = connection.pending_requests();
        log::info!(peer:% = address, error:% = e, owed = pending; "silent connection to node broke");
    }
    connection.fail_pending();
}

/// Rejects the commands that were still queued when the connection ended. They were not sent.
fn reject_queued(mut commands: mpsc::Receiver<Command>) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        // A send fails only if the receiver of the reply was dropped.
        match command {
            Command::Run(_, tx) => drop(tx.send(Reply::not_run(NotRunKind::TargetUnreachable))),
            Command::Read(_, tx) => drop(tx.send(None)),
            Command::Sync(_, tx) => drop(tx),
            Command::AskQuota(_, tx) => drop(tx),
            Command::Cancel(_) | Command::Send(_) => (),
        }
    }
}

/// Cancels a request when it is dropped before the reply arrived.
struct CancelGuard {
    connection: ConnectionHandle,
    number: u32,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed
            && self
                .connection
                .commands
                .try_send(Command::Cancel(self.number))
                .is_err()
        {
            log::debug!("cancellation not sent, the connection is closed or its queue is full");
        }
    }
}
