//! HTTP/1.1 client of the local target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;

use crate::error::UnknownKind;
use crate::http1::BodyDecoder;
use crate::http1::Framing;
use crate::http1::Header;
use crate::http1::ResponseHead;
use crate::http1::head;
use crate::http1::head::MessageError;
use crate::http1::write;
use crate::memory::Body;
use crate::memory::MemoryBudget;
use crate::memory::Reservation;
use crate::relay::header_names::HeaderNames;
use crate::relay::idle_connections::IdleConnections;
use crate::relay::idle_connections::TargetConnection;
use crate::relay::incoming_body::IncomingBody;
use crate::relay::request_writer;
use crate::relay::request_writer::WriteError;
use crate::relay::socket;

/// Limit on the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Limit on the interim responses and the responses to other requests that are skipped before the
/// expected one.
const MAX_SKIPPED_RESPONSES: usize = 3;

/// Keep-alive time of a connection, if the target states none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Timeout of a connection attempt to the target, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without a response after which a cancelled request suggests that connections to the target
/// have gone silent.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// Length of a request, in bytes, that the target's buffer holds unread. If a longer one is not
/// acknowledged, the target may only be reading slowly.
const MAX_BUFFERED_REQUEST: u64 = 4 * 1024;

/// Time for which such a short request may stay unacknowledged before the connection counts as
/// silent.
const MAX_UNACKNOWLEDGED: Duration = Duration::from_millis(3_000);

/// Least room in the buffer for the next bytes of a response body.
const MIN_READ_BYTES: usize = 2 * 1024;

/// Most room in the buffer for the next bytes of a response body.
const MAX_READ_BYTES: usize = 32 * 1024;

/// Longest wait for the memory of a response.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(2_000);

/// A request to the target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Request id, which the response must echo.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `Host` header.
    pub host: String,
    /// All headers but host and content length.
    pub headers: Vec<Header>,
    /// Body, unless it is received while the request runs.
    pub body: Body,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A complete response of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetResponse {
    /// Status code.
    pub status: u16,
    /// All headers but the hop-by-hop ones.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Body,
    /// Whether the target closes the connection, as it does while it is draining.
    pub closes: bool,
}

/// Outcome of a request to the target.
#[derive(Debug)]
pub enum TargetOutcome {
    /// The target answered.
    Answered(TargetResponse),
    /// The target stated that it did not run the request.
    Refused(TargetResponse),
    /// No connection could be made, so that nothing was sent.
    Unsent(io::Error),
    /// The connection broke, or the target did not send a complete, valid response to this request.
    Lost {
        /// Reason of the unknown outcome.
        kind: UnknownKind,
        /// Whether the connection broke before the target sent any byte of a response.
        before_response: bool,
    },
}

/// HTTP client with a pool of idle connections to the target.
#[derive(Debug)]
pub struct TargetClient {
    header_names: HeaderNames,
    memory: MemoryBudget,
    idle: IdleConnections,
}

impl TargetClient {
    /// Builds a client with an empty pool for at most `max_idle` connections, which reserves the bodies
    /// of responses from `memory`.
    pub fn new(header_names: HeaderNames, memory: MemoryBudget, max_idle: usize) -> TargetClient {
        TargetClient {
            header_names,
            memory,
            idle: IdleConnections::new(max_idle),
        }
    }

    /// Closes all idle connections, for when the target is gone or another one uses its address.
    pub fn clear_idle(&self) {
        self.idle.clear();
    }

    /// Sends a request and reads its response. Dropping the future closes the connection.
    pub async fn run(&self, address: SocketAddr, request: &TargetRequest) -> TargetOutcome {
        self.run_streamed(address, request, None).await
    }

    /// Sends a request, with `streamed` as its body if there is one, and reads its response. Dropping
    /// the future closes the connection.
    pub async fn run_streamed(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
        streamed: Option<IncomingBody>,
    ) -> TargetOutcome {
        let mut connection = match self.connection(address, request).await {
            Ok(connection) => connection,
            Err(e) => return TargetOutcome::Unsent(e),
        };
        let mut guard = StaleIdleGuard {
            client: self,
            sent_at: Instant::now(),
            armed: true,
        };
        let (whole_request_sent, read) = self
            .send_and_receive(&mut connection, request, streamed)
            .await;
        guard.armed = false;
        let read = match read {
            Ok(read) => read,
            Err(outcome) => return outcome,
        };
        let refused = read.response.status == 421
            || head::find_header(&read.response.headers, self.header_names.not_run).is_some();
        if refused {
            connection.record_refusal(&request.id);
        }
        if whole_request_sent && read.reusable {
            self.idle.put(connection, read.keep_alive);
        }
        match refused {
            true => TargetOutcome::Refused(read.response),
            false => TargetOutcome::Answered(read.response),
        }
    }

    /// Writes the request and reads the response, which may arrive before the whole request is
    /// written. Returns whether the whole request was written, and the response.
    async fn send_and_receive(
        &self,
        connection: &mut TargetConnection,
        request: &TargetRequest,
        streamed: Option<IncomingBody>,
    ) -> (bool, Result<ReadResponse, TargetOutcome>) {
        let body_len = match &streamed {
            Some(streamed) => streamed.len(),
            None => request.body.len() as u64,
        };
        let mut out = Vec::with_capacity(1_024);
        write::request_head(
            &mut out,
            &request.method,
            &request.path,
            &request.host,
            &request.headers,
            body_len,
        );
        if out.len() as u64 + body_len > MAX_BUFFERED_REQUEST {
            // The rest of this request may delay the next one, so that the connection stays so.
            allow_slow_reads(&connection.stream, &request.id);
        }
        let reused = connection.reused;
        let (mut rd, mut wr) = connection.stream.split();
        let read = self.receive_response(&mut rd, request, reused);
        tokio::pin!(read);
        tokio::select! {
            biased;
            written = request_writer::write(&mut wr, out, &request.body, streamed) => match written {
                Ok(()) => (true, read.await),
                Err(WriteError::Io(e)) => {
                    let read = read.await;
                    (false, read.and_then(|read| read.check_end(&e)))
                }
                Err(WriteError::Broken(_)) => {
                    (false, Err(lost_response(UnknownKind::ConnectionLost, false)))
                }
            },
            read = &mut read => (false, read),
        }
    }

    async fn connection(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
    ) -> io::Result<TargetConnection> {
        if let Some(idle) = self.idle.take(address, &request.id, request.idempotent) {
            return Ok(idle);
        }
        Ok(TargetConnection::new(connect(address).await?))
    }

    /// Opens a connection to find out whether the target accepts any. It is kept for later
    /// requests.
    ///
    /// # Errors
    ///
    /// If the connection cannot be made.
    pub async fn probe(&self, address: SocketAddr) -> io::Result<()> {
        let connection = TargetConnection::new(connect(address).await?);
        self.idle.put(connection, DEFAULT_KEEP_ALIVE);
        Ok(())
    }

    /// Reads the response to `request`, and skips interim responses and late responses to other
    /// requests.
    ///
    /// On a connection that other requests used before, a response without a request id may be a
    /// late copy of the response to one of them, and is not accepted.
    async fn receive_response(
        &self,
        rd: &mut ReadHalf<'_>,
        request: &TargetRequest,
        reused: bool,
    ) -> Result<ReadResponse, TargetOutcome> {
        let mut buf = BytesMut::with_capacity(2_048);
        for skipped in 0..=MAX_SKIPPED_RESPONSES {
            let (head, body) = self.read_response(rd, &mut buf, &request.method).await?;
            if head.status / 100 == 1 {
                continue;
            }
            let echoed = head.header(self.header_names.request_id);
            if echoed.is_some_and(|echoed| echoed != request.id) {
                continue;
            }
            let may_be_copy = echoed.is_none() && (reused || skipped > 0);
            if may_be_copy || !self.is_valid_response(&head, echoed) {
                log::debug!(
                    request:% = request.id, status = head.status, echoed = echoed.is_some(),
                    reused = reused;
                    "response of the target is not accepted"
                );
                return Err(lost_response(UnknownKind::AnswerTruncated, false));
            }
            let keep_alive = head
                .keep_alive_s
                .map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs);
            return Ok(ReadResponse {
                reusable: !head.close && buf.is_empty(),
                keep_alive,
                framing: head.framing,
                response: TargetResponse {
                    status: head.status,
                    closes: head.close,
                    headers: head.headers,
                    body,
                },
            });
        }
        Err(lost_response(UnknownKind::AnswerTruncated, false))
    }

    /// Reads one response from the connection. Its body counts as buffered until it is complete.
    async fn read_response(
        &self,
        rd: &mut ReadHalf<'_>,
        buf: &mut BytesMut,
        method: &str,
    ) -> Result<(ResponseHead, Body), TargetOutcome> {
        let head = loop {
            match head::parse_response(buf, MAX_HEAD_BYTES, method) {
                Ok(Some((head, len))) => {
                    buf.advance(len);
                    break head;
                }
                Ok(None) => (),
                Err(e) => return Err(malformed_response(&e)),
            }
            let before_response = buf.is_empty();
            match rd.read_buf(buf).await {
                Ok(n) if n > 0 => (),
                Ok(_) | Err(_) => {
                    return Err(lost_response(UnknownKind::ConnectionLost, before_response));
                }
            }
        };
        let mut decoder = BodyDecoder::new(head.framing, self.max_response_body(head.framing));
        let mut reservation = self.memory.reserve();
        if let Framing::Length(len) = head.framing {
            // All at once, so that several partial bodies do not wait for each other.
            let len = usize::try_from(len).unwrap_or(usize::MAX);
            if len > self.memory.large_limit() {
                return Err(malformed_response(&MessageError::BodyTooLong));
            }
            self.reserve(&mut reservation, len).await?;
        }
        loop {
            match decoder.decode(buf) {
                Ok(true) => break,
                Ok(false) => (),
                Err(e) => return Err(malformed_response(&e)),
            }
            let room = usize::try_from(decoder.remaining_len()).unwrap_or(usize::MAX);
            let room = room.clamp(MIN_READ_BYTES, MAX_READ_BYTES);
            if head.framing == Framing::UntilClose || head.framing == Framing::Chunked {
                let needed = decoder.decoded_len() + room;
                self.reserve(&mut reservation, needed).await?;
            }
            buf.reserve(room);
            match rd.read_buf(buf).await {
                Ok(n) if n > 0 => (),
                Ok(_) if head.framing == Framing::UntilClose => break,
                Ok(_) | Err(_) => return Err(lost_response(UnknownKind::AnswerTruncated, false)),
            }
        }
        Ok((head, decoder.into_body().with_reservation(reservation)))
    }

    /// Returns the size limit of a response body, in bytes.
    fn max_response_body(&self, framing: Framing) -> usize {
        match framing {
            Framing::Length(_) => self.memory.large_limit(),
            Framing::Chunked | Framing::UntilClose => self.memory.unknown_length_limit(),
        }
    }

    /// Waits for the memory of a response, which is not read meanwhile.
    ///
    /// # Errors
    ///
    /// If there is none for [`MAX_MEMORY_WAIT`].
    async fn reserve(
        &self,
        reservation: &mut Reservation,
        bytes: usize,
    ) -> Result<(), TargetOutcome> {
        let until = tokio::time::Instant::now() + MAX_MEMORY_WAIT;
        match reservation.wait_to_extend(bytes, until).await {
            true => Ok(()),
            false => {
                log::warn!(bytes = bytes; "response of the target is not read, there is no memory");
                Err(lost_response(UnknownKind::AnswerTruncated, false))
            }
        }
    }

    /// Returns whether a response is valid: no response may have a content encoding, and a
    /// successful one must echo the request id and carry a signature.
    fn is_valid_response(&self, head: &ResponseHead, echoed: Option<&str>) -> bool {
        let encoded = head.header("content-encoding").is_some();
        let signed = head.header(self.header_names.signature).is_some();
        let success = head.status / 100 == 2;
        !encoded && (!success || (signed && echoed.is_some()))
    }
}

/// Guard of a request without a response. If it is cancelled after [`SILENT_AFTER`], the
/// connections that have been idle since before the request are closed, because they may have gone
/// silent as well. Connections used since then have proved to work.
struct StaleIdleGuard<'a> {
    client: &'a TargetClient,
    sent_at: Instant,
    armed: bool,
}

impl Drop for StaleIdleGuard<'_> {
    fn drop(&mut self) {
        if self.armed && self.sent_at.elapsed() >= SILENT_AFTER {
            self.client.idle.drop_idle_since(self.sent_at);
        }
    }
}

/// A response, and whether and for how long its connection can be reused.
struct ReadResponse {
    response: TargetResponse,
    framing: Framing,
    reusable: bool,
    keep_alive: Duration,
}

impl ReadResponse {
    /// Checks that a response whose request could not be written is complete. A socket reports its
    /// error once: after the failed write, the next read sees the end of the connection, even if the
    /// target has reset it in the middle of the response.
    fn check_end(self, write_error: &io::Error) -> Result<ReadResponse, TargetOutcome> {
        // Linux reports `BrokenPipe` if the target had ended its side before the reset.
        let ended_by_target = write_error.kind() == io::ErrorKind::BrokenPipe;
        match self.framing == Framing::UntilClose && !ended_by_target {
            true => Err(lost_response(UnknownKind::AnswerTruncated, false)),
            false => Ok(self),
        }
    }
}

fn malformed_response(e: &MessageError) -> TargetOutcome {
    log::debug!("malformed response of the target: {e}");
    lost_response(UnknownKind::AnswerTruncated, false)
}

fn lost_response(kind: UnknownKind, before_response: bool) -> TargetOutcome {
    TargetOutcome::Lost {
        kind,
        before_response,
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    socket::set_options(&stream)?;
    socket::set_max_unacknowledged(&stream, Some(MAX_UNACKNOWLEDGED))?;
    Ok(stream)
}

/// Removes the limit on the time that the target may take to read a request.
fn allow_slow_reads(stream: &TcpStream, request: &str) {
    if let Err(e) = socket::set_max_unacknowledged(stream, None) {
        log::warn!(request:% = request, error:% = e; "a target that reads slowly may be cut off");
    }
}
