//! Connections to other nodes: many requests on each, answered in any order.

use std::collections::HashMap;
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

use crate::coordination::poison::CrashReport;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::protocol::frame::Ended;
use crate::protocol::frame::Frame;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunRequest;
use crate::protocol::reading::Query;
use crate::protocol::reading::Reading;
use crate::relay::peer_connection::Command;
use crate::relay::peer_connection::PeerConnection;
use crate::relay::socket;

/// Longest wait for a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a node that could not be reached is not tried again.
const UNREACHABLE_FOR: Duration = Duration::from_millis(250);

/// Time between two tries to greet a node that was lost.
const RECONNECT_PERIOD: Duration = Duration::from_millis(500);

/// Tries to greet a node that was lost.
const RECONNECT_ATTEMPTS: u32 = 16;

/// Messages that wait to be written on one connection, at most.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Reply to a request, with the load of the instance that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How the request ended.
    pub ended: Ended,
    /// Load of the instance, if it replied itself.
    pub load: Option<LoadReport>,
}

impl Reply {
    fn not_run(kind: NotRunKind) -> Reply {
        let ended = Ended::NotRun {
            kind,
            reached: false,
        };
        Reply { ended, load: None }
    }

    /// Builds the reply to a request that may have run.
    pub fn unknown(kind: UnknownKind) -> Reply {
        let ended = Ended::Unknown(kind);
        Reply { ended, load: None }
    }
}

/// One connection, as its users see it.
#[derive(Clone)]
struct ConnectionHandle {
    commands: mpsc::Sender<Command>,
}

/// The connections of a node to all others.
pub struct PeerClient {
    own: IpAddr,
    incarnation: u64,
    connections: Mutex<HashMap<SocketAddr, ConnectionHandle>>,
    unreachable: Mutex<HashMap<SocketAddr, Instant>>,
    numbers: std::sync::atomic::AtomicU32,
}

impl PeerClient {
    /// Builds the connections of the node at `own` in the given incarnation; each is opened when it
    /// is used.
    pub fn new(own: IpAddr, incarnation: u64) -> PeerClient {
        PeerClient {
            own,
            incarnation,
            connections: Mutex::default(),
            unreachable: Mutex::default(),
            numbers: std::sync::atomic::AtomicU32::new(1),
        }
    }

    /// Asks the node at `address` to run a request. Dropping the future cancels the request.
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
        // The task of the connection replies before it ends, unless it never took the command.
        reply.unwrap_or_else(|_| Reply::not_run(NotRunKind::TargetUnreachable))
    }

    /// Asks the node at `address` to read the store. Returns nothing if that fails in any way.
    pub async fn read(
        self: &Arc<PeerClient>,
        address: SocketAddr,
        query: Query,
        longest: Duration,
    ) -> Option<Reading> {
        if self.is_unreachable(address) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let connection = self.connection(address);
        connection
            .commands
            .try_send(Command::Read(query, tx))
            .ok()?;
        timeout(longest, rx).await.ok()?.ok()?
    }

    /// Tells all connected nodes.
    pub fn broadcast(&self, frame: &Frame) {
        let connections: Vec<ConnectionHandle> = self.lock().values().cloned().collect();
        for connection in connections {
            if connection
                .commands
                .try_send(Command::Tell(frame.clone()))
                .is_err()
            {
                log::debug!("a node is not told, its connection is closed or full");
            }
        }
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Tells the node at `address`, over a new connection if need be.
    pub fn send_crash_report(self: &Arc<PeerClient>, address: SocketAddr, report: &CrashReport) {
        let command = Command::Tell(Frame::Crash(report.clone()));
        if self.connection(address).commands.try_send(command).is_err() {
            log::warn!(peer:% = address; "crash report not sent, the connection is closed or full");
        }
    }

    /// Returns whether a connection to `address` failed just now.
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        let failed = self.unreachable.lock().unwrap_or_else(|p| p.into_inner());
        failed
            .get(&address)
            .is_some_and(|at| at.elapsed() < UNREACHABLE_FOR)
    }

    fn next_request_number(&self) -> u32 {
        let ordering = std::sync::atomic::Ordering::Relaxed;
        self.numbers.fetch_add(1, ordering)
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
        let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        let connection = ConnectionHandle { commands: tx };
        connections.insert(address, connection.clone());
        let owner = self.clone();
        tokio::spawn(async move { owner.serve(address, rx).await });
        connection
    }

    async fn serve(
        self: Arc<PeerClient>,
        address: SocketAddr,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let connected = timeout(CONNECT_TIMEOUT, socket::connect(self.own, address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(stream) => stream,
            Err(e) => {
                log::info!(peer:% = address, error:% = e; "node unreachable");
                self.failed(address);
                return reject_queued(commands);
            }
        };
        self.unreachable
            .lock()
            .unwrap_or_else(|p| p.into_inner())
            .remove(&address);
        log::debug!(peer:% = address; "node connected");
        let (rd, wr) = stream.into_split();
        let mut connection = PeerConnection::default();
        let end = connection
            .run(self.incarnation, rd, wr, &mut commands)
            .await;
        let owed = connection.pending_requests();
        connection.fail_pending();
        reject_queued(commands);
        if let Err(e) = end {
            log::info!(peer:% = address, error:% = e, owed = owed; "node lost");
            self.failed(address);
            self.reconnect(address).await;
        }
    }

    /// Connects again to a node that was lost, so that it meets others if it starts anew while the
    /// store does not answer it.
    async fn reconnect(self: &Arc<PeerClient>, address: SocketAddr) {
        for _ in 0..RECONNECT_ATTEMPTS {
            self.connection(address);
            tokio::time::sleep(RECONNECT_PERIOD).await;
            if self
                .lock()
                .get(&address)
                .is_some_and(|l| !l.commands.is_closed())
            {
                return;
            }
        }
    }

    fn failed(&self, address: SocketAddr) {
        let mut failed = self.unreachable.lock().unwrap_or_else(|p| p.into_inner());
        failed.retain(|_, at| at.elapsed() < UNREACHABLE_FOR);
        failed.insert(address, Instant::now());
    }
}

impl std::fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

/// Orders that were not begun when the connection ended were not sent.
fn reject_queued(mut commands: mpsc::Receiver<Command>) {
    commands.close();
    while let Ok(command) = commands.try_recv() {
        // A receiver that has gone does not wait for the reply.
        match command {
            Command::Run(_, tx) => drop(tx.send(Reply::not_run(NotRunKind::TargetUnreachable))),
            Command::Read(_, tx) => drop(tx.send(None)),
            Command::Cancel(_) | Command::Tell(_) => (),
        }
    }
}

/// Cancels a request whose sender stopped waiting.
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
            log::debug!("cancel not sent, the connection is closed or full");
        }
    }
}
