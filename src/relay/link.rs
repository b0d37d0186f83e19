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
use crate::protocol::frame::Frame;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::open::Open;
use crate::relay::open::Order;
use crate::relay::socket;

/// Longest wait for a connection to another node.
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Time for which a node that could not be reached is not tried again.
const UNREACHABLE_FOR: Duration = Duration::from_millis(250);

/// Time between two tries to greet a node that was lost.
const GREET_PERIOD: Duration = Duration::from_millis(500);

/// Tries to greet a node that was lost.
const GREETINGS: u32 = 16;

/// Messages that wait to be written on one connection, at most.
const MAX_WAITING: usize = 4_096;

/// Reply to a request, with the load of the instance that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How the request ended.
    pub outcome: RunOutcome,
    /// Load of the instance, if it replied itself.
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

/// One connection, as its users see it.
#[derive(Clone)]
struct Link {
    orders: mpsc::Sender<Order>,
}

/// The connections of a node to all others.
pub struct Links {
    own: IpAddr,
    incarnation: u64,
    links: Mutex<HashMap<SocketAddr, Link>>,
    unreachable: Mutex<HashMap<SocketAddr, Instant>>,
    numbers: std::sync::atomic::AtomicU32,
}

impl Links {
    /// Builds the connections of the node at `own` in the given incarnation; each is opened when it
    /// is used.
    pub fn new(own: IpAddr, incarnation: u64) -> Links {
        Links {
            own,
            incarnation,
            links: Mutex::default(),
            unreachable: Mutex::default(),
            numbers: std::sync::atomic::AtomicU32::new(1),
        }
    }

    /// Asks the node at `address` to run a request. Dropping the future cancels the request.
    pub async fn run(self: &Arc<Links>, address: SocketAddr, mut req: RunRequest) -> Reply {
        if self.is_unreachable(address) {
            return Reply::not_run(NotRunKind::TargetUnreachable);
        }
        let number = self.next_number();
        req.number = number;
        let link = self.link(address);
        let (tx, rx) = oneshot::channel();
        let order = Order::Run(Box::new(req), tx);
        if link.orders.try_send(order).is_err() {
            return Reply::not_run(NotRunKind::TargetUnreachable);
        }
        let mut guard = CancelGuard {
            link,
            number,
            armed: true,
        };
        let reply = rx.await;
        guard.armed = false;
        // The task of the connection replies before it ends, unless it never took the order.
        reply.unwrap_or_else(|_| Reply::not_run(NotRunKind::TargetUnreachable))
    }

    /// Asks the node at `address` to read the store. Returns nothing if that fails in any way.
    pub async fn read(
        self: &Arc<Links>,
        address: SocketAddr,
        query: Query,
        longest: Duration,
    ) -> Option<QueryResult> {
        if self.is_unreachable(address) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let link = self.link(address);
        link.orders.try_send(Order::Read(query, tx)).ok()?;
        timeout(longest, rx).await.ok()?.ok()?
    }

    /// Tells all connected nodes.
    pub fn tell_all(&self, frame: &Frame) {
        let links: Vec<Link> = self.lock().values().cloned().collect();
        for link in links {
            if link.orders.try_send(Order::Tell(frame.clone())).is_err() {
                log::debug!("a node is not told, its connection is closed or full");
            }
        }
    }

    /// Closes all connections.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Tells the node at `address`, over a new connection if need be.
    pub fn tell(self: &Arc<Links>, address: SocketAddr, report: &CrashReport) {
        let order = Order::Tell(Frame::Crash(report.clone()));
        if self.link(address).orders.try_send(order).is_err() {
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

    fn next_number(&self) -> u32 {
        let order = std::sync::atomic::Ordering::Relaxed;
        self.numbers.fetch_add(1, order)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Link>> {
        self.links.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn link(self: &Arc<Links>, address: SocketAddr) -> Link {
        let mut links = self.lock();
        if let Some(link) = links.get(&address)
            && !link.orders.is_closed()
        {
            return link.clone();
        }
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        let link = Link { orders: tx };
        links.insert(address, link.clone());
        let owner = self.clone();
        tokio::spawn(async move { owner.serve(address, rx).await });
        link
    }

    async fn serve(self: Arc<Links>, address: SocketAddr, mut orders: mpsc::Receiver<Order>) {
        let connected = timeout(CONNECT_WITHIN, socket::connect(self.own, address)).await;
        let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(stream) => stream,
            Err(e) => {
                log::info!(peer:% = address, error:% = e; "node unreachable");
                self.failed(address);
                return refuse_all(orders);
            }
        };
        self.unreachable
            .lock()
            .unwrap_or_else(|p| p.into_inner())
            .remove(&address);
        log::debug!(peer:% = address; "node connected");
        let (rd, wr) = stream.into_split();
        let mut open = Open::default();
        let end = open.run(self.incarnation, rd, wr, &mut orders).await;
        let owed = open.owed();
        open.lose_all();
        refuse_all(orders);
        if let Err(e) = end {
            log::info!(peer:% = address, error:% = e, owed = owed; "node lost");
            self.failed(address);
            self.greet(address).await;
        }
    }

    /// Connects again to a node that was lost, so that it meets others if it starts anew while the
    /// store does not answer it.
    async fn greet(self: &Arc<Links>, address: SocketAddr) {
        for _ in 0..GREETINGS {
            self.link(address);
            tokio::time::sleep(GREET_PERIOD).await;
            if self
                .lock()
                .get(&address)
                .is_some_and(|l| !l.orders.is_closed())
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

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Links").finish_non_exhaustive()
    }
}

/// Orders that were not begun when the connection ended were not sent.
fn refuse_all(mut orders: mpsc::Receiver<Order>) {
    orders.close();
    while let Ok(order) = orders.try_recv() {
        // A receiver that has gone does not wait for the reply.
        match order {
            Order::Run(_, tx) => drop(tx.send(Reply::not_run(NotRunKind::TargetUnreachable))),
            Order::Read(_, tx) => drop(tx.send(None)),
            Order::Cancel(_) | Order::Tell(_) => (),
        }
    }
}

/// Cancels a request whose sender stopped waiting.
struct CancelGuard {
    link: Link,
    number: u32,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed
            && self
                .link
                .orders
                .try_send(Order::Cancel(self.number))
                .is_err()
        {
            log::debug!("cancel not sent, the connection is closed or full");
        }
    }
}
