//! Serialization of requests and responses.

use std::io::Write;

use http::StatusCode;

use crate::http1::head::Header;

/// Appends a request with its body to `out`. `Content-Length` is added if there is a body or the
/// method is `POST`, `PUT` or `PATCH`.
pub fn request(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    host: &str,
    headers: &[Header],
    body: &[u8],
) {
    request_head(out, method, target, host, headers, body.len() as u64);
    out.extend_from_slice(body);
}

/// Appends the head of a request with a body of `body_len` bytes to `out`, as [`request`] does.
pub fn request_head(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    host: &str,
    headers: &[Header],
    body_len: u64,
) {
    // Writing to a `Vec` never fails.
    let _ = write!(out, "{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
    headers.iter().for_each(|h| header(out, &h.0, &h.1));
    if body_len > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
        let _ = write!(out, "Content-Length: {body_len}\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends a response with its body to `out`. `close` adds `Connection: close`. `to_head` omits the
/// body, as the response to a `HEAD` request has none.
pub fn response(
    out: &mut Vec<u8>,
    status: u16,
    headers: &[Header],
    body: &[u8],
    close: bool,
    to_head: bool,
) {
    response_head(out, status, headers, body.len(), close);
    if !to_head {
        out.extend_from_slice(body);
    }
}

/// Appends the head of a response with a body of `body_len` bytes to `out`. `close` adds
/// `Connection: close`.
pub fn response_head(
    out: &mut Vec<u8>,
    status: u16,
    headers: &[Header],
    body_len: usize,
    close: bool,
) {
    let reason = StatusCode::from_u16(status).ok();
    let reason = reason
        .and_then(|s| s.canonical_reason())
        .unwrap_or("Status");
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    headers.iter().for_each(|h| header(out, &h.0, &h.1));
    if status != 204 && status != 304 {
        let _ = write!(out, "Content-Length: {body_len}\r\n");
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Appends one header line to `out`.
pub fn header(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}
