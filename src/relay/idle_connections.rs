//! Connections to the local target, and the pool of those that are idle.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpStream;

/// Limit on the idle connections in a pool.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// Share of the keep-alive time after which an idle connection is not used again.
const REUSE_SHARE: f64 = 0.6;

/// Share of the keep-alive time after which an idle connection is not used for non-idempotent
/// requests.
const FRESH_SHARE: f64 = 0.3;

/// Limit on the refused requests that are remembered for one connection. With more, it is closed.
const MAX_REFUSED: usize = 256;

/// A connection to the target that carries a request.
#[derive(Debug)]
pub(super) struct TargetConnection {
    /// The open connection.
    pub(super) stream: TcpStream,
    /// Whether it was idle before.
    pub(super) reused: bool,
    /// Ids of the requests that the target refused on it. A second copy of a refusal could still
    /// arrive, and would be taken for the response if the same request were sent again.
    refused: Vec<String>,
}

impl TargetConnection {
    /// Wraps a new connection.
    pub(super) fn new(stream: TcpStream) -> TargetConnection {
        TargetConnection {
            stream,
            reused: false,
            refused: Vec::new(),
        }
    }

    /// Records that the target refused the request `id` on this connection.
    pub(super) fn record_refusal(&mut self, id: &str) {
        self.refused.push(id.to_owned());
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    idle_since: Instant,
    keep_alive: Duration,
}

impl IdleConnection {
    /// Returns whether the target still accepts a request on the connection.
    fn is_usable(&self, address: SocketAddr, idempotent: bool) -> bool {
        let share = match idempotent {
            true => REUSE_SHARE,
            false => FRESH_SHARE,
        };
        self.idle_since.elapsed() < self.keep_alive.mul_f64(share)
            && is_open_and_idle(&self.connection.stream)
            && self.connection.stream.peer_addr().ok() == Some(address)
    }
}

/// Pool of idle connections to the target.
#[derive(Debug)]
pub(super) struct IdleConnections {
    idle: Mutex<Vec<IdleConnection>>,
    max: usize,
}

impl IdleConnections {
    /// Builds an empty pool for at most `max` connections, and at most [`MAX_IDLE_CONNECTIONS`].
    pub(super) fn new(max: usize) -> IdleConnections {
        IdleConnections {
            idle: Mutex::default(),
            max: max.min(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Takes the connection to `address` that was used last and can carry the request `id`. Those
    /// that cannot be used any more are closed.
    pub(super) fn take(
        &self,
        address: SocketAddr,
        id: &str,
        idempotent: bool,
    ) -> Option<TargetConnection> {
        let mut idle = self.lock();
        while let Some(last) = idle.pop() {
            let carried = last.connection.refused.iter().any(|refused| refused == id);
            if !carried && last.is_usable(address, idempotent) {
                return Some(TargetConnection {
                    reused: true,
                    ..last.connection
                });
            }
        }
        None
    }

    /// Adds a connection that the target keeps open for `keep_alive`.
    pub(super) fn put(&self, connection: TargetConnection, keep_alive: Duration) {
        if connection.refused.len() > MAX_REFUSED {
            return;
        }
        let mut idle = self.lock();
        if idle.len() >= self.max {
            idle.remove(0);
        }
        idle.push(IdleConnection {
            connection,
            idle_since: Instant::now(),
            keep_alive,
        });
    }

    /// Closes the connections that have been idle since `at` or longer.
    pub(super) fn drop_idle_since(&self, at: Instant) {
        self.lock().retain(|idle| idle.idle_since > at);
    }

    /// Closes all connections.
    pub(super) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Returns whether an idle connection is open and has no unread bytes.
fn is_open_and_idle(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    matches!(stream.try_read(&mut probe), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
