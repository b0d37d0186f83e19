//! Socket options of the connections to callers, nodes and targets.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::ioctl;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Length of the accept queue, in connections.
const BACKLOG: u32 = 1_024;

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

/// Disables Nagle's algorithm, and enables the probes by which an idle connection detects that its
/// other side is gone.
///
/// `TCP_USER_TIMEOUT` stays unset: it also ends connections whose other side is alive and reads
/// slowly. See [`set_max_unacknowledged`].
///
/// # Errors
///
/// If the options cannot be set.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Sets the time for which sent bytes may stay unacknowledged before the connection is aborted
/// (`TCP_USER_TIMEOUT`), or no such limit.
///
/// The system cannot tell a connection that has gone silent from one whose other side does not read.
/// So a limit is only right for messages that the other side's buffer holds unread.
///
/// # Errors
///
/// If the option cannot be set.
pub fn set_max_unacknowledged(stream: &TcpStream, time: Option<Duration>) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(time)
}

/// Request code of the number of bytes that the other side has not taken yet, `TIOCOUTQ` of Linux.
const UNSENT_BYTES: ioctl::Opcode = 0x5411;

/// Returns the number of written bytes that the other side has not taken yet, or 0 if that is not
/// known.
pub fn unsent_bytes(stream: &TcpStream) -> usize {
    // SAFETY: the kernel writes one `int` for this request code.
    let unsent = unsafe { ioctl::ioctl(stream, ioctl::Getter::<UNSENT_BYTES, i32>::new()) };
    unsent.map_or(0, |bytes| usize::try_from(bytes).unwrap_or_default())
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
