//! Connections of callers: requests run side by side and are answered in the order they came.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::coordination::route::CallerLimits;
use crate::http1::head::MessageError;
use crate::http1::reader::Incoming;
use crate::http1::reader::ReadError;
use crate::http1::reader::ReadLimits;
use crate::http1::reader::Request;
use crate::http1::reader::RequestReader;
use crate::http1::write;
use crate::relay::Phase;
use crate::relay::Relay;
use crate::relay::answer::Answer;
use crate::relay::call;
use crate::relay::run::ACCEPT_PAUSE;
use crate::relay::socket;

/// Requests of one connection in progress at once.
const MAX_PIPELINED: usize = 32;

/// Longest body that is held, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Time that a caller gets to read its last answer before the connection is cut.
const CLOSE_WITHIN: Duration = Duration::from_millis(500);

/// Time for which a stopping node keeps an idle connection open, for a request on its way.
const STOP_LINGER: Duration = Duration::from_millis(500);

/// An answer that is due on a connection.
type Due<'a> = Pin<Box<dyn Future<Output = Finished> + Send + 'a>>;

struct Finished {
    answer: Answer,
    close: bool,
    to_head: bool,
}

/// Accepts callers until the listener is dropped with the task.
pub async fn accept(relay: Arc<Relay>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let relay = relay.clone();
                tokio::spawn(async move {
                    relay.figures().caller_connected();
                    if let Err(e) = serve(&relay, stream, from.ip()).await {
                        log::debug!(caller:% = from, error:% = e; "connection of a caller ended");
                    }
                });
            }
            Err(e) => {
                log::warn!("no caller accepted: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(relay: &Arc<Relay>, stream: TcpStream, from: IpAddr) -> io::Result<()> {
    socket::watch(&stream)?;
    let (rd, wr) = stream.into_split();
    let mut connection = Connection {
        relay,
        from,
        reader: RequestReader::new(rd),
        wr,
        due: FuturesOrdered::new(),
        out: Vec::new(),
    };
    connection.serve().await
}

struct Connection<'a> {
    relay: &'a Arc<Relay>,
    from: IpAddr,
    reader: RequestReader<OwnedReadHalf>,
    wr: OwnedWriteHalf,
    due: FuturesOrdered<Due<'a>>,
    out: Vec<u8>,
}

impl Connection<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        let mut phases = self.relay.phases();
        let mut last_read = false;
        loop {
            let phase = *phases.borrow_and_update();
            let limits = self.limits();
            // A stopping node reads on only where nothing is in progress, and then one request.
            let reads = match phase {
                Phase::Serving => !last_read && self.due.len() < MAX_PIPELINED,
                Phase::Leaving => !last_read && self.due.is_empty(),
                Phase::Closing => false,
            };
            let lingers = match (phase, self.due.is_empty() && !last_read) {
                (Phase::Closing, true) => return self.close().await,
                (Phase::Leaving, true) if !self.reader.has_partial_request() => true,
                _ => false,
            };
            tokio::select! {
                biased;
                Some(finished) = self.due.next(), if !self.due.is_empty() => {
                    let last = self.due.is_empty();
                    let close = finished.close || (phase != Phase::Serving && last);
                    self.write(&finished, close).await?;
                    if close {
                        return self.close().await;
                    }
                }
                incoming = self.reader.next(&limits), if reads => match incoming {
                    Ok(Incoming::Request(request)) => {
                        last_read = request.head.close;
                        self.begin(*request);
                    }
                    Ok(Incoming::Continue) => {
                        self.wr.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                    Err(ReadError::Closed(_)) => return Ok(()),
                    Err(ReadError::IdleTimeout) if !self.due.is_empty() => (),
                    Err(ReadError::IdleTimeout) => return self.close().await,
                    Err(ReadError::HeadTimeout) => {
                        self.refuse(408, "head took too long");
                        last_read = true;
                    }
                    Err(ReadError::Invalid(e)) => {
                        log::info!(caller:% = self.from, error:% = e; "request rejected");
                        self.refuse(status(e), &e.to_string());
                        last_read = true;
                    }
                },
                Ok(()) = phases.changed() => (),
                () = tokio::time::sleep(STOP_LINGER), if lingers => return self.close().await,
            }
        }
    }

    fn limits(&self) -> ReadLimits {
        let limits = self.relay.view().routes.as_ref().map(|t| t.limits);
        let limits: CallerLimits = limits.unwrap_or_default();
        ReadLimits {
            max_head_bytes: limits.head_bytes,
            max_body_bytes: limits.body_bytes.min(MAX_BODY),
            head_timeout: limits.head_time,
            idle_timeout: limits.idle,
        }
    }

    fn begin(&mut self, request: Request) {
        let relay = self.relay;
        let arrived = relay.now();
        self.due.push_back(Box::pin(async move {
            let _held = relay.figures().begin();
            let answer = call::handle(relay, &request, arrived).await;
            Finished {
                answer,
                close: request.head.close,
                to_head: request.head.method == "HEAD",
            }
        }));
    }

    /// Answers in its turn what could not be read, and closes.
    fn refuse(&mut self, status: u16, reason: &str) {
        let answer = Answer::own(status, reason);
        self.due.push_back(Box::pin(std::future::ready(Finished {
            answer,
            close: true,
            to_head: false,
        })));
    }

    async fn write(&mut self, finished: &Finished, close: bool) -> io::Result<()> {
        let Finished {
            answer, to_head, ..
        } = finished;
        self.out.clear();
        write::response(
            &mut self.out,
            answer.status,
            &answer.headers,
            &answer.body,
            close,
            *to_head,
        );
        self.wr.write_all(&self.out).await
    }

    /// Lets the caller read what was written before the connection goes, and drops what it still
    /// sends: a close with unread bytes would reset the connection.
    async fn close(&mut self) -> io::Result<()> {
        self.wr.shutdown().await?;
        self.reader.discard_rest(CLOSE_WITHIN).await;
        Ok(())
    }
}

fn status(e: MessageError) -> u16 {
    match e {
        MessageError::HeadTooLong => 431,
        MessageError::BodyTooLong => 413,
        MessageError::Malformed | MessageError::AmbiguousLength => 400,
    }
}
