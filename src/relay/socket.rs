//! Options of the sockets between nodes and callers.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time without an acknowledgement of sent bytes after which a connection is broken.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Idle time after which the other side is probed, and time between two probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is broken.
const KEEPALIVE_PROBES: u32 = 3;

/// Connects to another node from the own address, by which that node knows this one.
///
/// # Errors
///
/// If the node cannot be reached.
pub async fn connect(own: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(own, 0))?;
    let stream = socket.connect(address).await?;
    set_options(&stream)?;
    Ok(stream)
}

/// Makes a connection notice that its other side is gone.
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

/// Listens at `address`, also while connections of an earlier process are being closed.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
