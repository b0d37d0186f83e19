//! The little HTTP/1.1 that the stand-ins need.

use std::io::Read;
use std::net::TcpStream;

pub struct Head {
    /// First line, split at spaces.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn content_length(&self) -> usize {
        self.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a `Content-Length`. Returns its head and whether the body was complete;
/// `None` if the connection ended before the end of the head.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(Head, bool)> {
    let mut chunk = vec![0; 64 * 1024];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.split(' ').map(str::to_owned).collect();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let head = Head { first, headers };
    buf.drain(..end + 4);
    let mut left = head.content_length();
    loop {
        let taken = left.min(buf.len());
        buf.drain(..taken);
        left -= taken;
        if left == 0 {
            return Some((head, true));
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            _ => return Some((head, false)),
        }
    }
}
