//! Aborts a connection whose response cannot be completed.
//!
//! Rocket ends a chunked response regularly when its source fails, so a truncated response would
//! look complete. Shutting the socket down first prevents the final chunk from reaching the caller.

use std::fs;
use std::net::SocketAddr;
use std::os::fd::BorrowedFd;
use std::os::fd::OwnedFd;
use std::os::fd::RawFd;

use rustix::io::fcntl_dupfd_cloexec;
use rustix::net::Shutdown;
use rustix::net::getpeername;
use rustix::net::getsockname;
use rustix::net::shutdown;

/// Directory that lists the open file descriptors of the process.
const OPEN_FILES: &str = "/proc/self/fd";

/// Shuts down the connection between `local_port` and `remote` in both directions. Returns whether
/// it was found and shut down.
pub fn abort_connection(local_port: u16, remote: SocketAddr) -> bool {
    let Ok(files) = fs::read_dir(OPEN_FILES) else {
        return false;
    };
    files
        .filter_map(|file| file.ok()?.file_name().to_str()?.parse::<RawFd>().ok())
        .filter_map(duplicate)
        .find(|fd| connects(fd, local_port, remote))
        .is_some_and(|fd| shutdown(fd, Shutdown::Both).is_ok())
}

/// Returns whether `fd` is the socket of the connection between `local_port` and `remote`.
fn connects(fd: &OwnedFd, local_port: u16, remote: SocketAddr) -> bool {
    let peer = getpeername(fd)
        .ok()
        .flatten()
        .and_then(|peer| SocketAddr::try_from(peer).ok());
    if peer != Some(remote) {
        return false;
    }
    let local = getsockname(fd)
        .ok()
        .and_then(|local| SocketAddr::try_from(local).ok());
    local.is_some_and(|local| local.port() == local_port)
}

/// Duplicates a file descriptor from the list of open ones, or returns `None` if it was closed.
///
/// Another thread cannot close and reuse the duplicate between the check and the shutdown.
fn duplicate(fd: RawFd) -> Option<OwnedFd> {
    // SAFETY: the number comes from the list of open files and is not negative. If the file was
    // closed in the meantime, the system call fails.
    let fd = unsafe { BorrowedFd::borrow_raw(fd) };
    fcntl_dupfd_cloexec(fd, 0).ok()
}
