//! A connection with a small receive buffer, which must be set before it is opened.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::FromRawFd;
use std::os::raw::c_int;
use std::os::raw::c_void;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, address: *const SocketAddress, len: u32) -> c_int;
}

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOCK_CLOEXEC: c_int = 0o2_000_000;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

/// Connects to a loopback address with a receive buffer of `bytes`.
pub fn open(address: &str, bytes: c_int) -> io::Result<TcpStream> {
    let address: SocketAddrV4 = address.parse().map_err(io::Error::other)?;
    let address = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: all pointers are to values of the given lengths that outlive the calls, and the
    // descriptor belongs to nobody else.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let value = (&raw const bytes).cast();
        let set = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value, size_of::<c_int>() as u32);
        let len = size_of::<SocketAddress>() as u32;
        if set < 0 || connect(fd, &raw const address, len) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
