//! Heads of requests and responses.

use crate::http1::body::Framing;

/// Headers of one message, at most.
const MAX_HEADERS: usize = 100;

/// Headers that concern one connection and are never forwarded.
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

/// Why a message was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are not an HTTP/1.1 message.
    #[error("malformed message")]
    Malformed,
    /// The head is longer than the limit.
    #[error("head is too long")]
    HeadTooLong,
    /// The body is longer than the limit.
    #[error("body is too long")]
    BodyTooLong,
    /// The length of the body is stated twice or in an unknown way.
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
    /// Headers to forward: those of one connection and `Host` are left out.
    pub headers: Vec<Header>,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection ends after the answer.
    pub close: bool,
    /// Whether the sender waits for `100 Continue`.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Returns the value of a header as text, if it is there once and readable.
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
    /// Status code.
    pub status: u16,
    /// Headers to forward: those of one connection are left out.
    pub headers: Vec<Header>,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection ends after this response.
    pub close: bool,
    /// Seconds for which the sender keeps the idle connection open, if it says so.
    pub keep_alive_s: Option<u64>,
}

impl ResponseHead {
    /// Returns the value of a header as text, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Returns the value of the first header called `name`, in any case, if it is readable text.
pub fn find_header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let (_, value) = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Parses the head of a request at the start of `buf`. Returns it with its length in bytes, or
/// nothing while it is incomplete.
///
/// # Errors
///
/// If the bytes are no request, or the head is longer than `max` bytes.
pub fn parse_request(buf: &[u8], max: usize) -> Result<Option<(RequestHead, usize)>, MessageError> {
    let Some(len) = head_len(buf, max)? else {
        return Ok(None);
    };
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut slots);
    let status = req
        .parse(&buf[..len])
        .map_err(|_| MessageError::Malformed)?;
    if status != httparse::Status::Complete(len) {
        return Err(MessageError::Malformed);
    }
    let raw = Raw::read(req.headers)?;
    let host = raw.host.ok_or(MessageError::Malformed)?;
    let target = req.path.unwrap_or_default();
    if !target.starts_with('/') {
        return Err(MessageError::Malformed);
    }
    let head = RequestHead {
        method: req.method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        host,
        framing: raw.framing.unwrap_or(Framing::Length(0)),
        close: raw.close || (req.version == Some(0) && !raw.keep),
        expects_continue: raw.expects_continue,
        headers: raw.headers,
    };
    Ok(Some((head, len)))
}

/// Parses the head of a response to `method` at the start of `buf`. Returns it with its length in
/// bytes, or nothing while it is incomplete.
///
/// # Errors
///
/// If the bytes are no response, or the head is longer than `max` bytes.
pub fn parse_response(
    buf: &[u8],
    max: usize,
    method: &str,
) -> Result<Option<(ResponseHead, usize)>, MessageError> {
    if !buf.is_empty() && !b"HTTP/1.".starts_with(&buf[..buf.len().min(7)]) {
        return Err(MessageError::Malformed);
    }
    let Some(len) = head_len(buf, max)? else {
        return Ok(None);
    };
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut slots);
    let status = response.parse(&buf[..len]);
    if status != Ok(httparse::Status::Complete(len)) {
        return Err(MessageError::Malformed);
    }
    let raw = Raw::read(response.headers)?;
    let status = response.code.unwrap_or_default();
    let bodiless = status / 100 == 1 || status == 204 || status == 304 || method == "HEAD";
    let framing = match bodiless {
        true => Framing::Length(0),
        false => raw.framing.unwrap_or(Framing::UntilClose),
    };
    let head = ResponseHead {
        status,
        close: raw.close
            || framing == Framing::UntilClose
            || (response.version == Some(0) && !raw.keep),
        headers: raw.headers,
        framing,
        keep_alive_s: raw.keep_alive_s,
    };
    Ok(Some((head, len)))
}

/// Returns the length of the head with its empty line, once it is there. Every line must end with
/// CR LF, so that no two readers split the head differently.
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

/// What the headers of a message say about its connection, and the rest of them.
#[derive(Default)]
struct Raw {
    headers: Vec<Header>,
    host: Option<String>,
    framing: Option<Framing>,
    close: bool,
    keep: bool,
    expects_continue: bool,
    keep_alive_s: Option<u64>,
}

impl Raw {
    fn read(parsed: &[httparse::Header<'_>]) -> Result<Raw, MessageError> {
        let mut raw = Raw::default();
        let mut named = Vec::new();
        for header in parsed {
            let name = header.name.to_ascii_lowercase();
            raw.note(&name, header.value, &mut named)?;
            if !CONNECTION_HEADERS.contains(&name.as_str()) && name != "host" {
                let kept = (header.name.to_owned(), header.value.to_vec());
                raw.headers.push(kept);
            }
        }
        let listed = |name: &str| named.iter().any(|n: &String| n.eq_ignore_ascii_case(name));
        raw.headers.retain(|(name, _)| !listed(name));
        Ok(raw)
    }

    fn note(
        &mut self,
        name: &str,
        value: &[u8],
        named: &mut Vec<String>,
    ) -> Result<(), MessageError> {
        match name {
            "host" => self.note_host(text(value)?),
            "content-length" => self.note_framing(length(text(value)?)?),
            "transfer-encoding" => match text(value)?.trim().eq_ignore_ascii_case("chunked") {
                true => self.note_framing(Framing::Chunked),
                false => Err(MessageError::AmbiguousLength),
            },
            "connection" => {
                for token in text(value)?.split(',').map(str::trim) {
                    self.close |= token.eq_ignore_ascii_case("close");
                    self.keep |= token.eq_ignore_ascii_case("keep-alive");
                    named.push(token.to_owned());
                }
                Ok(())
            }
            "keep-alive" => {
                let stated = text(value)?
                    .split(',')
                    .find_map(|p| p.trim().strip_prefix("timeout="));
                self.keep_alive_s = stated.and_then(|s| s.parse().ok());
                Ok(())
            }
            "expect" => {
                self.expects_continue |= text(value)?.eq_ignore_ascii_case("100-continue");
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn note_host(&mut self, value: &str) -> Result<(), MessageError> {
        let host = value.split(':').next().unwrap_or_default().trim();
        let host = host.to_ascii_lowercase();
        match self.host.replace(host) {
            Some(_) => Err(MessageError::Malformed),
            None => Ok(()),
        }
    }

    /// A second statement about the length is an error, even an equal one.
    fn note_framing(&mut self, framing: Framing) -> Result<(), MessageError> {
        match self.framing.replace(framing) {
            Some(_) => Err(MessageError::AmbiguousLength),
            None => Ok(()),
        }
    }
}

fn text(value: &[u8]) -> Result<&str, MessageError> {
    std::str::from_utf8(value).map_err(|_| MessageError::Malformed)
}

fn length(value: &str) -> Result<Framing, MessageError> {
    let digits = value.trim();
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(MessageError::AmbiguousLength);
    }
    let len = digits.parse().map_err(|_| MessageError::BodyTooLong)?;
    Ok(Framing::Length(len))
}
