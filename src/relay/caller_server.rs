//! Server for callers. Pipelined requests run concurrently and are answered in the order of
//! arrival.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use tokio::io::AsyncRead;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

use crate::coordination::caller_eviction::Activity;
use crate::coordination::retry_after;
use crate::coordination::route::CallerLimits;
use crate::http1::head::MessageError;
use crate::http1::reader::Ahead;
use crate::http1::reader::Incoming;
use crate::http1::reader::ReadError;
use crate::http1::reader::ReadLimits;
use crate::http1::reader::Request;
use crate::http1::reader::RequestReader;
use crate::memory::Body;
use crate::relay::Phase;
use crate::relay::Relay;
use crate::relay::call;
use crate::relay::caller_table::CallerEntry;
use crate::relay::caller_table::Eviction;
use crate::relay::metrics::InProgress;
use crate::relay::response::CallerResponse;
use crate::relay::response_writer::ResponseWriter;
use crate::relay::response_writer::STALLED_AFTER;
use crate::relay::run::ACCEPT_RETRY_DELAY;
use crate::relay::socket;

/// Limit on the requests of one connection that are in progress at once.
const MAX_PIPELINED: usize = 32;

/// Time after a request that was refused for want of memory before it should be sent again.
const NO_MEMORY_RETRY: Duration = Duration::from_millis(1_000);

/// Time for which a caller may go on to send after it has taken its last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a stopping node keeps an idle connection open, in case a request is in flight.
const STOP_LINGER: Duration = Duration::from_millis(500);

/// The pending response to a request of a connection.
type PendingResponse<'a> = Pin<Box<dyn Future<Output = FinishedRequest> + Send + 'a>>;

/// What is read from a caller.
enum Read {
    /// The next request.
    Request(ReadLimits),
    /// Only the end of the connection: a caller that leaves must be noticed also while no request is
    /// read from it.
    End(Ahead),
}

/// A request of a connection with its response, ready to be written.
struct FinishedRequest {
    in_progress: InProgress,
    response: CallerResponse,
    close: bool,
    is_head: bool,
}

/// Accepts connections of callers until the task ends. Accepted connections outlive the task.
pub async fn accept(relay: Arc<Relay>, listener: Arc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let relay = relay.clone();
                tokio::spawn(async move {
                    relay.metrics().record_caller_connection();
                    if let Err(e) = serve(&relay, stream, from.ip()).await {
                        log::debug!(caller:% = from, error:% = e; "connection of a caller broke");
                    }
                });
            }
            Err(e) => {
                log::warn!("cannot accept a connection of a caller: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(relay: &Arc<Relay>, stream: TcpStream, from: IpAddr) -> io::Result<()> {
    socket::set_options(&stream)?;
    let (rd, wr) = stream.into_split();
    let reader = RequestReader::new(rd, relay.memory());
    let limit = relay.cfg().descriptors.callers();
    let Some(registration) = relay.callers().register(reader.progress(), limit) else {
        relay.metrics().record_caller_end("refused");
        log::info!(caller:% = from, open = limit; "connection refused, too many are open");
        return Ok(());
    };
    let mut connection = Connection {
        relay,
        from,
        entry: registration.entry.clone(),
        reader,
        writer: ResponseWriter::new(wr),
        pending: FuturesOrdered::new(),
        finished: VecDeque::new(),
        being_written: None,
        writing_bytes: 0,
        closing: false,
    };
    let result = tokio::select! {
        result = connection.serve() => return result,
        eviction = registration.entry.evicted() => connection.end(eviction),
    };
    result
}

struct Connection<'a> {
    relay: &'a Arc<Relay>,
    from: IpAddr,
    entry: Arc<CallerEntry>,
    reader: RequestReader<OwnedReadHalf>,
    writer: ResponseWriter,
    pending: FuturesOrdered<PendingResponse<'a>>,
    /// Responses that wait for the caller to read earlier ones.
    finished: VecDeque<FinishedRequest>,
    /// Counts the request whose response is being written as in progress, and holds the memory of
    /// that response.
    being_written: Option<(InProgress, Body)>,
    /// Length of the body of that response.
    writing_bytes: usize,
    /// Whether the connection is closed after the response that is being written.
    closing: bool,
}

impl Connection<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        let mut phases = self.relay.subscribe_phase();
        let mut last_request_read = false;
        loop {
            let phase = *phases.borrow_and_update();
            self.write_finished(phase)?;
            if self.closing && !self.writer.is_writing() {
                return self.close().await;
            }
            self.report();
            let limits = self.limits();
            let idle = self.is_idle();
            // A stopping node reads one request at a time, while none is in progress on the
            // connection.
            let may_read = match phase {
                Phase::Serving => !last_request_read && self.in_progress() < MAX_PIPELINED,
                Phase::Stopping => !last_request_read && idle,
                Phase::Closing | Phase::Exiting => false,
            };
            let linger = match (phase, idle && !last_request_read) {
                (Phase::Closing | Phase::Exiting, true) => return self.close().await,
                (Phase::Stopping, true) if !self.reader.has_partial_request() => true,
                _ => false,
            };
            let read = match (may_read, last_request_read) {
                (true, _) => Read::Request(limits),
                (false, true) => Read::End(Ahead::Discard),
                (false, false) => Read::End(Ahead::Keep),
            };
            let awaits_caller = may_read || !self.pending.is_empty();
            tokio::select! {
                biased;
                Some(finished) = self.pending.next(), if !self.pending.is_empty() => {
                    self.finished.push_back(finished);
                }
                written = self.writer.write_more(), if self.writer.is_writing() => written?,
                incoming = read_from(&mut self.reader, &read), if awaits_caller => match incoming {
                    Ok(Incoming::Request(request)) => {
                        last_request_read = request.head.close;
                        self.start(*request);
                    }
                    Ok(Incoming::ExpectsContinue) => self.writer.start_continue()?,
                    Err(ReadError::Closed(_)) => return self.finish_writing(phase).await,
                    Err(ReadError::IdleTimeout) if !idle => (),
                    Err(ReadError::IdleTimeout) => return self.close().await,
                    Err(ReadError::RequestTimeout) => {
                        self.reject(408, "request took too long");
                        last_request_read = true;
                    }
                    Err(ReadError::NoMemory) => {
                        log::info!(caller:% = self.from; "request refused, there is no memory for it");
                        self.refuse_for_memory();
                        last_request_read = true;
                    }
                    Err(ReadError::Invalid(e)) => {
                        log::info!(caller:% = self.from, error:% = e; "request rejected");
                        self.reject(status_of(e), &e.to_string());
                        last_request_read = true;
                    }
                },
                Ok(()) = phases.changed() => (),
                () = tokio::time::sleep(STOP_LINGER), if linger => return self.close().await,
            }
        }
    }

    /// Starts to write the next responses, until the caller does not read or the connection is to
    /// be closed.
    fn write_finished(&mut self, phase: Phase) -> io::Result<()> {
        while !self.closing && !self.writer.is_writing() {
            self.writing_bytes = 0;
            let Some(finished) = self.finished.pop_front() else {
                self.being_written = None;
                return Ok(());
            };
            let last = self.finished.is_empty() && self.pending.is_empty();
            self.closing = finished.close || (phase != Phase::Serving && last);
            let FinishedRequest {
                response, is_head, ..
            } = &finished;
            self.writer.start(response, self.closing, *is_head)?;
            self.writing_bytes = response.body.len();
            self.being_written = Some((finished.in_progress, finished.response.body));
        }
        Ok(())
    }

    /// Ends the connection of a caller that sends nothing more. If requests are in progress, the
    /// caller has left, and they are cancelled. Otherwise it may still read its last responses.
    async fn finish_writing(&mut self, phase: Phase) -> io::Result<()> {
        if !self.pending.is_empty() {
            return Ok(());
        }
        loop {
            self.write_finished(phase)?;
            if !self.writer.is_writing() {
                return Ok(());
            }
            self.writer.write_more().await?;
        }
    }

    /// Returns the number of requests that wait for their responses or for their callers to read.
    fn in_progress(&self) -> usize {
        self.pending.len() + self.finished.len()
    }

    /// Returns whether all requests that were read are answered.
    fn is_idle(&self) -> bool {
        self.in_progress() == 0 && !self.writer.is_writing()
    }

    fn limits(&self) -> ReadLimits {
        let limits = self.relay.view().routes.as_ref().map(|t| t.limits);
        // Until there is a configuration, no body is known to be too long.
        let limits = limits.unwrap_or(CallerLimits {
            max_body_bytes: usize::MAX,
            ..CallerLimits::default()
        });
        ReadLimits {
            max_head_bytes: limits.max_head_bytes,
            max_body_bytes: limits.max_body_bytes,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    fn start(&mut self, request: Request) {
        let relay = self.relay;
        let arrived = relay.now();
        self.pending.push_back(Box::pin(async move {
            let in_progress = relay.metrics().start_request();
            let response = call::handle(relay, &request, arrived).await;
            FinishedRequest {
                in_progress,
                response,
                close: request.head.close,
                is_head: request.head.method == "HEAD",
            }
        }));
    }

    /// Queues an error response to a request that could not be read, after which the connection is
    /// closed.
    fn reject(&mut self, status: u16, reason: &str) {
        self.reject_with(CallerResponse::from_node(status, reason));
    }

    /// Queues the response to a request for which there is no memory. It was not run.
    fn refuse_for_memory(&mut self) {
        let wait = {
            let rng = &mut self.relay.coordination().rng;
            retry_after::spread(NO_MEMORY_RETRY, rng)
        };
        self.relay.metrics().record_caller_end("no-memory");
        let response = CallerResponse::from_node(503, "no memory for the request");
        self.reject_with(response.with_retry_after(wait));
    }

    /// Tells the table what the connection does.
    fn report(&self) {
        let unread = self
            .finished
            .iter()
            .map(|f| f.response.body.len())
            .sum::<usize>()
            + self.writing_bytes;
        let activity = match self.writer.is_writing() {
            true => Activity::Sending,
            false if self.in_progress() > 0 => Activity::Running,
            false if self.reader.has_partial_request() => Activity::Receiving,
            false => Activity::Idle,
        };
        self.entry
            .report(activity, unread, self.writer.progress_at());
    }

    /// Ends the connection at once, without its last responses.
    fn end(&self, eviction: Eviction) -> io::Result<()> {
        self.relay
            .metrics()
            .record_caller_end(&eviction.to_string());
        log::info!(
            caller:% = self.from, reason:% = eviction, unread = self.writing_bytes,
            partial = self.reader.has_partial_request(), in_progress = self.in_progress();
            "connection of a caller ended to free memory or descriptors"
        );
        Ok(())
    }

    fn reject_with(&mut self, response: CallerResponse) {
        self.pending
            .push_back(Box::pin(std::future::ready(FinishedRequest {
                in_progress: self.relay.metrics().start_request(),
                response,
                close: true,
                is_head: false,
            })));
    }

    /// Shuts down the write side and discards what the caller still sends. A close with unread
    /// bytes would reset the connection before the caller has read its last response, so that the
    /// connection stays open until the caller has taken it, and a moment longer.
    async fn close(&mut self) -> io::Result<()> {
        self.writer.shutdown().await?;
        if self.being_written.is_none() && self.writer.has_unread() {
            let in_progress = self.relay.metrics().start_request();
            self.being_written = Some((in_progress, Body::default()));
        }
        let give_up_at = Instant::now() + STALLED_AFTER;
        loop {
            let unread = self.writer.has_unread();
            if !unread {
                self.being_written = None;
            }
            let ended = self.reader.discard_rest(CLOSE_TIMEOUT).await;
            if ended || !unread || Instant::now() >= give_up_at {
                return Ok(());
            }
        }
    }
}

/// Reads from a caller as `read` says.
async fn read_from<R>(reader: &mut RequestReader<R>, read: &Read) -> Result<Incoming, ReadError>
where
    R: AsyncRead + Unpin,
{
    match read {
        Read::Request(limits) => reader.next(limits).await,
        Read::End(ahead) => Err(ReadError::Closed(reader.closed(*ahead).await)),
    }
}

fn status_of(e: MessageError) -> u16 {
    match e {
        MessageError::HeadTooLong => 431,
        MessageError::BodyTooLong => 413,
        MessageError::Malformed | MessageError::AmbiguousLength => 400,
    }
}
