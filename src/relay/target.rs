//! HTTP/1.1 client of the target beside this node.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
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
use crate::relay::header_names::HeaderNames;
use crate::relay::socket;

/// Longest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Longest body of an answer, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Answers to other requests that are skipped before the awaited one, at most.
const MAX_STRAY: usize = 3;

/// Idle connections kept, at most.
const MAX_IDLE: usize = 128;

/// Longest time that a connection is kept idle, if the target states none.
const IDLE: Duration = Duration::from_secs(4);

/// Share of the idle time that the target states after which a connection is not used again.
const IDLE_SHARE: f64 = 0.6;

/// Share of the idle time after which a connection takes no request that must not run twice.
const FRESH_SHARE: f64 = 0.3;

/// Longest wait for a connection to the target, which is on the same machine.
const CONNECT_WITHIN: Duration = Duration::from_millis(1_000);

/// Time without an answer after which a connection that is given up may have been silent.
const SILENT_AFTER: Duration = Duration::from_millis(700);

/// A request as it is sent to the target.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id, which the answer must echo.
    pub id: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Host.
    pub host: String,
    /// Headers, complete but for host and length.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A whole answer of the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Status code.
    pub status: u16,
    /// All headers but those of the connection.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the target closes the connection, which it does while it is leaving.
    pub closes: bool,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeEnd {
    /// The target answered.
    Answered(TargetAnswer),
    /// The target said that it did not run the request.
    Refused(TargetAnswer),
    /// Nothing was sent.
    Unsent(io::Error),
    /// The connection broke, or what came is no whole answer to this request.
    Lost {
        /// What is known.
        kind: UnknownKind,
        /// Whether the target broke the connection before it answered anything.
        silent: bool,
    },
}

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
    kept: Duration,
}

/// Connections to the target.
#[derive(Debug)]
pub struct TargetClient {
    header_names: HeaderNames,
    idle: Mutex<Vec<Idle>>,
}

impl TargetClient {
    /// Builds a client without connections.
    pub fn new(header_names: HeaderNames) -> TargetClient {
        TargetClient {
            header_names,
            idle: Mutex::default(),
        }
    }

    /// Drops all idle connections, because another target has taken the address.
    pub fn forget(&self) {
        self.lock().clear();
    }

    /// Sends a request and reads its answer. Dropping the future closes the connection.
    pub async fn run(&self, address: SocketAddr, exchange: &Exchange) -> ExchangeEnd {
        let mut stream = match self.connection(address, exchange.idempotent).await {
            Ok(stream) => stream,
            Err(e) => return ExchangeEnd::Unsent(e),
        };
        let mut unanswered = Unanswered {
            client: self,
            asked: Instant::now(),
            armed: true,
        };
        let (sent, read) = self.talk(&mut stream, exchange).await;
        unanswered.armed = false;
        let read = match read {
            Ok(read) => read,
            Err(lost) => return lost,
        };
        if sent && read.reusable {
            self.keep(stream, read.kept);
        }
        let refused = read.answer.status == 421
            || head::find_header(&read.answer.headers, self.header_names.not_run).is_some();
        match refused {
            true => ExchangeEnd::Refused(read.answer),
            false => ExchangeEnd::Answered(read.answer),
        }
    }

    /// Writes the request while it reads the answer, which may come before all is written.
    /// Returns whether everything was written, and what was read.
    async fn talk(
        &self,
        stream: &mut TcpStream,
        exchange: &Exchange,
    ) -> (bool, Result<Read, ExchangeEnd>) {
        let mut out = Vec::with_capacity(512 + exchange.body.len());
        write::request(
            &mut out,
            &exchange.method,
            &exchange.path,
            &exchange.host,
            &exchange.headers,
            &exchange.body,
        );
        let (mut rd, mut wr) = stream.split();
        let read = self.answer(&mut rd, exchange);
        tokio::pin!(read);
        tokio::select! {
            biased;
            written = wr.write_all(&out) => (written.is_ok(), read.await),
            read = &mut read => (false, read),
        }
    }

    async fn connection(&self, address: SocketAddr, idempotent: bool) -> io::Result<TcpStream> {
        while let Some(idle) = self.take_idle() {
            let share = match idempotent {
                true => IDLE_SHARE,
                false => FRESH_SHARE,
            };
            let usable = idle.since.elapsed() < idle.kept.mul_f64(share);
            if usable && is_quiet(&idle.stream) && idle.stream.peer_addr().ok() == Some(address) {
                return Ok(idle.stream);
            }
        }
        let connecting = TcpStream::connect(address);
        let stream = match tokio::time::timeout(CONNECT_WITHIN, connecting).await {
            Ok(stream) => stream?,
            Err(_) => return Err(io::ErrorKind::TimedOut.into()),
        };
        socket::watch(&stream)?;
        Ok(stream)
    }

    fn take_idle(&self) -> Option<Idle> {
        self.lock().pop()
    }

    fn keep(&self, stream: TcpStream, kept: Duration) {
        let mut idle = self.lock();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(Idle {
            stream,
            since: Instant::now(),
            kept,
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Reads the answer to `exchange`, and skips late answers to others.
    async fn answer(
        &self,
        rd: &mut ReadHalf<'_>,
        exchange: &Exchange,
    ) -> Result<Read, ExchangeEnd> {
        let mut buf = BytesMut::with_capacity(2_048);
        for _ in 0..=MAX_STRAY {
            let (head, body) = read_response(rd, &mut buf, &exchange.method).await?;
            if head.status / 100 == 1 {
                continue;
            }
            let echoed = head.header(self.header_names.request_id);
            if echoed.is_some_and(|echoed| echoed != exchange.id) {
                continue;
            }
            if !self.is_own(&head, echoed) {
                return Err(lost(UnknownKind::AnswerTruncated, false));
            }
            let kept = head.keep_alive_s.map_or(IDLE, Duration::from_secs);
            return Ok(Read {
                reusable: !head.close && buf.is_empty(),
                kept,
                answer: TargetAnswer {
                    status: head.status,
                    closes: head.close,
                    headers: head.headers,
                    body,
                },
            });
        }
        Err(lost(UnknownKind::AnswerTruncated, false))
    }

    /// A success must echo the request id and carry a signature, and no answer is encoded.
    fn is_own(&self, head: &ResponseHead, echoed: Option<&str>) -> bool {
        let encoded = head.header("content-encoding").is_some();
        let signed = head.header(self.header_names.signature).is_some();
        let success = head.status / 100 == 2;
        !encoded && (!success || (signed && echoed.is_some()))
    }
}

/// A request without an answer. If it is given up after a while, the connections that have been
/// idle since before are dropped: they may all have gone silent. Those used since have proved that
/// they work.
struct Unanswered<'a> {
    client: &'a TargetClient,
    asked: Instant,
    armed: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.armed && self.asked.elapsed() >= SILENT_AFTER {
            self.client.lock().retain(|idle| idle.since > self.asked);
        }
    }
}

struct Read {
    answer: TargetAnswer,
    reusable: bool,
    kept: Duration,
}

async fn read_response(
    rd: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    method: &str,
) -> Result<(ResponseHead, Vec<u8>), ExchangeEnd> {
    let head = loop {
        match head::parse_response(buf, MAX_HEAD, method) {
            Ok(Some((head, len))) => {
                buf.advance(len);
                break head;
            }
            Ok(None) => (),
            Err(e) => return Err(malformed(&e)),
        }
        let silent = buf.is_empty();
        match rd.read_buf(buf).await {
            Ok(n) if n > 0 => (),
            Ok(_) | Err(_) => return Err(lost(UnknownKind::ConnectionLost, silent)),
        }
    };
    let mut decoder = BodyDecoder::new(head.framing, MAX_BODY);
    loop {
        match decoder.decode(buf) {
            Ok(true) => break,
            Ok(false) => (),
            Err(e) => return Err(malformed(&e)),
        }
        match rd.read_buf(buf).await {
            Ok(n) if n > 0 => (),
            Ok(_) if head.framing == Framing::UntilClose => break,
            Ok(_) | Err(_) => return Err(lost(UnknownKind::AnswerTruncated, false)),
        }
    }
    Ok((head, decoder.into_body()))
}

fn malformed(e: &MessageError) -> ExchangeEnd {
    log::debug!("answer of the target: {e}");
    lost(UnknownKind::AnswerTruncated, false)
}

fn lost(kind: UnknownKind, silent: bool) -> ExchangeEnd {
    ExchangeEnd::Lost { kind, silent }
}

/// Returns whether an idle connection is open and nothing was sent on it.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut probe = [0; 1];
    matches!(stream.try_read(&mut probe), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
