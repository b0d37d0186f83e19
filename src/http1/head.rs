//! Parsing of request and response heads.

use std::ops::RangeInclusive;

use crate::http1::body::Framing;

/// Status codes that HTTP defines (RFC 9110, section 15).
const STATUSES: RangeInclusive<u16> = 100..=599;

/// Limit on the number of headers of one message.
const MAX_HEADERS: usize = 100;

/// Headers that apply to a single connection or to its framing and are never forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "content-length",
    "te",
    "trailer",
    "upgrade",
    "expect",
];

/// Name and value of a header.
pub type Header = (String, Vec<u8>);

/// Reason for which a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not a valid HTTP/1.1 or HTTP/1.0 message.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds the size limit.
    #[error("head is too long")]
    HeadTooLong,
    /// The body exceeds the size limit.
    #[error("body is too long")]
    BodyTooLong,
    /// The length of the body is given more than once or in an unsupported way.
    #[error("length of the body is ambiguous")]
    AmbiguousLength,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Host without port, in lower case.
    pub host: String,
    /// Headers to forward, without `Host` and the hop-by-hop headers.
    pub headers: Vec<Header>,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection closes after the response.
    pub close: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns the value of the first header called `name`, if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, from 100 to 599.
    pub status: u16,
    /// Headers to forward, without the hop-by-hop headers.
    pub headers: Vec<Header>,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection closes after this response.
    pub close: bool,
    /// Idle timeout of the connection that the sender announced in `Keep-Alive`, in seconds.
    pub keep_alive_s: Option<u64>,
}

impl ResponseHead {
    /// Returns the value of the first header called `name`, if it is valid UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Returns the trimmed value of the first header called `name`, compared case-insensitively, if it
/// is valid UTF-8.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let (_, value) = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Parses the head of a request at the start of `buf`. Returns it with its length in bytes, or
/// `None` while it is incomplete.
///
/// # Errors
///
/// If the bytes are not a request, or the head exceeds `max` bytes.
pub fn parse_request(buf: &[u8], max: usize) -> Result<Option<(RequestHead, usize)>, MessageError> {
    let Some(len) = head_len(buf, max)? else {
        return Ok(None);
    };
    let mut header_buf = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut header_buf);
    let status = req
        .parse(&buf[..len])
        .map_err(|_| MessageError::Malformed)?;
    if status != httparse::Status::Complete(len) {
        return Err(MessageError::Malformed);
    }
    let parsed = ParsedHeaders::parse(req.headers)?;
    let host = parsed.host.ok_or(MessageError::Malformed)?;
    let target = req.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(MessageError::Malformed);
    }
    let head = RequestHead {
        method: req.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        host,
        framing: parsed.framing.unwrap_or(Framing::Length(0)),
        close: parsed.close || (req.version == Some(0) && !parsed.keep_alive),
        expects_continue: parsed.expects_continue,
        headers: parsed.headers,
    };
    Ok(Some((head, len)))
}

/// Parses the head of the response to a request with `method` at the start of `buf`. Returns it
/// with its length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// If the bytes are not a response, or the head exceeds `max` bytes.
pub fn parse_response(
    buf: &[u8],
    max: usize,
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    // Rejects other protocols at their first bytes instead of waiting for the end of a head.
    if !buf.is_empty() && !b"HTTP/1.".starts_with(&buf[..buf.len().min(7)]) {
        return Err(MessageError::Malformed);
    }
    let Some(len) = head_len(buf, max)? else {
        return Ok(None);
    };
    let mut header_buf = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut header_buf);
    let status = response.parse(&buf[..len]);
    if status != Ok(httparse::Status::Complete(len)) {
        return Err(MessageError::Malformed);
    }
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(MessageError::Malformed);
    }
    let parsed = ParsedHeaders::parse(response.headers)?;
    let bodiless = status / 100 == 1 || status == 204 || status == 304 || method == "HEAD";
    let framing = match bodiless {
        true => Framing::Length(0),
        false => parsed.framing.unwrap_or(Framing::UntilClose),
    };
    let head = ResponseHead {
        status,
        close: parsed.close
            || framing == Framing::UntilClose
            || (response.version == Some(0) && !parsed.keep_alive),
        headers: parsed.headers,
        framing,
        keep_alive_s: parsed.keep_alive_s,
    };
    Ok(Some((head, len)))
}

/// Returns the length of the head including its empty line, or `None` while it is incomplete.
///
/// Every line must end with CR LF: parsers that disagree on bare CR or LF would split the head
/// differently (request smuggling).
fn head_len(buf: &[u8], max: usize) -> Result<Option<usize>, MessageError> {
    let searched = &buf[..buf.len().min(max)];
    let Some(at) = searched.windows(4).position(|w| w == b"\r\n\r\n") else {
        return match buf.len() >= max {
            true => Err(MessageError::HeadTooLong),
            false => Ok(None),
        };
    };
    let head = &buf[..at + 4];
    let bare_lf = (0..head.len()).any(|i| head[i] == b'\n' && (i == 0 || head[i - 1] != b'\r'));
    let bare_cr = head.windows(2).any(|w| w[0] == b'\r' && w[1] != b'\n');
    match bare_lf || bare_cr {
        true => Err(MessageError::Malformed),
        false => Ok(Some(at + 4)),
    }
}

/// Headers of a message: those to forward, and the values of `Host` and the hop-by-hop headers.
#[derive(Default)]
struct ParsedHeaders {
    headers: Vec<Header>,
    host: Option<String>,
    framing: Option<Framing>,
    close: bool,
    keep_alive: bool,
    expects_continue: bool,
    keep_alive_s: Option<u64>,
}

impl ParsedHeaders {
    /// Splits the headers of a message.
    fn parse(headers: &[httparse::Header<'_>]) -> Result<ParsedHeaders, MessageError> {
        let mut parsed = ParsedHeaders::default();
        let mut options = Vec::new();
        for header in headers {
            let name = header.name.to_ascii_lowercase();
            parsed.record(&name, header.value, &mut options)?;
            if !CONNECTION_HEADERS.contains(&name.as_str()) && name != "host" {
                let forwarded = (header.name.to_owned(), header.value.to_vec());
                parsed.headers.push(forwarded);
            }
        }
        let is_option = |name: &str| {
            options
                .iter()
                .any(|n: &String| n.eq_ignore_ascii_case(name))
        };
        parsed.headers.retain(|(name, _)| !is_option(name));
        Ok(parsed)
    }

    /// Evaluates one header. The options of `Connection`, which may name further hop-by-hop
    /// headers, are appended to `options`.
    fn record(
        &mut self,
        name: &str,
        value: &[u8],
        options: &mut Vec<String>,
    ) -> Result<(), MessageError> {
        match name {
            "host" => self.set_host(text(value)?),
            "content-length" => self.set_framing(parse_content_length(text(value)?)?),
            "transfer-encoding" => match text(value)?.trim().eq_ignore_ascii_case("chunked") {
                true => self.set_framing(Framing::Chunked),
                false => Err(MessageError::AmbiguousLength),
            },
            "connection" => {
                for token in text(value)?.split(',').map(str::trim) {
                    self.close |= token.eq_ignore_ascii_case("close");
                    self.keep_alive |= token.eq_ignore_ascii_case("keep-alive");
                    options.push(token.to_owned());
                }
                Ok(())
            }
            "keep-alive" => {
                let timeout = text(value)?
                    .split(',')
                    .find_map(|p| p.trim().strip_prefix("timeout="));
                self.keep_alive_s = timeout.and_then(|s| s.parse().ok());
                Ok(())
            }
            "expect" => {
                self.expects_continue |= text(value)?.eq_ignore_ascii_case("100-continue");
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Sets the host, without its port and in lower case. A second `Host` header is an error.
    fn set_host(&mut self, value: &str) -> Result<(), MessageError> {
        let host = value.split(':').next().unwrap_or_default().trim();
        let host = host.to_ascii_lowercase();
        match self.host.replace(host) {
            Some(_) => Err(MessageError::Malformed),
            None => Ok(()),
        }
    }

    /// Sets the framing. A second header that defines it is an error, even with the same value.
    fn set_framing(&mut self, framing: Framing) -> Result<(), MessageError> {
        match self.framing.replace(framing) {
            Some(_) => Err(MessageError::AmbiguousLength),
            None => Ok(()),
        }
    }
}

/// Returns a header value as text. Fails if it is not valid UTF-8.
fn text(value: &[u8]) -> Result<&str, MessageError> {
    std::str::from_utf8(value).map_err(|_| MessageError::Malformed)
}

/// Parses a `Content-Length` value, which must consist of digits only.
fn parse_content_length(value: &str) -> Result<Framing, MessageError> {
    let digits = value.trim();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::AmbiguousLength);
    }
    let len = digits.parse().map_err(|_| MessageError::BodyTooLong)?;
    Ok(Framing::Length(len))
}
