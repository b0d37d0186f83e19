//! Socket options of the connections to callers, nodes and targets.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Length of the accept queue, in connections.
const BACKLOG: u32 = 1_024;

/// Time for which sent bytes may stay unacknowledged before the connection is aborted
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Idle time before the first keepalive probe, and time between probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which the connection is aborted.
const KEEPALIVE_PROBES: u32 = 3;

/// Connects to another node. The connection is bound to `local_ip`, because the other node
/// identifies this one by its source address.
///
/// # Errors
///
/// If the address cannot be bound or the node cannot be reached.
pub async fn connect(local_ip: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(local_ip, 0))?;
    let stream = socket.connect(address).await?;
    set_options(&stream)?;
    Ok(stream)
}

/// Disables Nagle's algorithm and sets the timeouts by which a connection detects that its other
/// side is gone.
///
/// # Errors
///
/// If the options cannot be set.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}

/// Listens at `address`. `SO_REUSEADDR` lets it succeed while connections of an earlier process are
/// still being closed.
///
/// # Errors
///
/// If the address cannot be bound or listened at.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
