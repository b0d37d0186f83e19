//! An open connection to another node, driven by one task.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::UnknownKind;
use crate::instance::OrganisationName;
use crate::memory::MemoryBudget;
use crate::protocol::frame;
use crate::protocol::frame::FRAME_VERSION;
use crate::protocol::frame::Frame;
use crate::protocol::frame::MAX_INLINE_BODY;
use crate::protocol::frame::QuotaPurpose;
use crate::protocol::frame::QuotaReply;
use crate::protocol::frame::RunRequest;
use crate::protocol::frame::StreamedBody;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;
use crate::relay::incoming_reply::IncomingReply;
use crate::relay::outgoing_bodies::OutgoingBodies;
use crate::relay::peer_client::Reply;

/// Time without a message, while a reply is pending, after which a ping is sent.
const PING_AFTER: Duration = Duration::from_millis(400);

/// Time without a message, while a reply is pending, after which the connection counts as broken.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two checks whether the senders of the last requests of a silent connection still
/// wait.
const ABANDONED_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Idle time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Bytes that are collected before a write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Command to the task of a connection.
pub(super) enum Command {
    /// Run a request at the other node.
    Run(Box<RunRequest>, oneshot::Sender<Reply>),
    /// Read the store at the other node.
    Read(Query, oneshot::Sender<Option<QueryResult>>),
    /// Ask the other node for what it has read from the store.
    Sync(KnownState, oneshot::Sender<SyncReply>),
    /// Ask the other node for tokens of a quota.
    AskQuota(QuotaQuestion, oneshot::Sender<QuotaReply>),
    /// Cancel the request with this number.
    Cancel(u32),
    /// Send a message that has no reply.
    Send(Frame),
}

/// Question for tokens of an organisation's quota.
#[derive(Clone, Debug)]
pub(super) struct QuotaQuestion {
    pub(super) organisation: OrganisationName,
    pub(super) wanted: u32,
    pub(super) purpose: QuotaPurpose,
}

/// Messages that arrive on a connection.
pub(super) type PeerFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A request that was sent and has no reply yet.
struct PendingRun {
    idempotent: bool,
    tx: oneshot::Sender<Reply>,
}

/// Time between two attempts to reserve memory for replies that wait for it.
const MEMORY_RETRY_PERIOD: Duration = Duration::from_millis(20);

/// Pending requests and reads of an open connection.
pub(super) struct PeerConnection {
    memory: MemoryBudget,
    pending_runs: HashMap<u32, PendingRun>,
    /// Replies whose bodies are being received.
    incoming: HashMap<u32, IncomingReply>,
    /// Bodies of requests that are being sent.
    outgoing: OutgoingBodies,
    pending_reads: HashMap<u32, oneshot::Sender<Option<QueryResult>>>,
    pending_syncs: HashMap<u32, oneshot::Sender<SyncReply>>,
    pending_grants: HashMap<u32, oneshot::Sender<QuotaReply>>,
    last_read_number: u32,
}

impl PeerConnection {
    /// Builds the state of a new connection. The bodies of replies are reserved from `memory`.
    pub(super) fn new(memory: MemoryBudget) -> PeerConnection {
        PeerConnection {
            memory,
            pending_runs: HashMap::new(),
            incoming: HashMap::new(),
            outgoing: OutgoingBodies::default(),
            pending_reads: HashMap::new(),
            pending_syncs: HashMap::new(),
            pending_grants: HashMap::new(),
            last_read_number: 0,
        }
    }

    /// Returns the number of requests without a complete reply.
    pub(super) fn pending_requests(&self) -> usize {
        self.pending_runs.len() + self.incoming.len()
    }

    /// Drives the connection until it ends. Returns `Ok` if it is unused or its handles are gone,
    /// and the error if it broke.
    pub(super) async fn run(
        &mut self,
        incarnation: u64,
        frames: &mut PeerFrames,
        wr: &mut OwnedWriteHalf,
        commands: &mut mpsc::Receiver<Command>,
    ) -> io::Result<()> {
        let mut out = BytesMut::new();
        frame::append_or_log(
            &mut out,
            &Frame::Hello {
                version: FRAME_VERSION,
                incarnation,
            },
        );
        let mut last_activity = Instant::now();
        // Since when the bytes in `out` wait to be written.
        let mut unwritten_since = None;
        let mut pinged = false;
        loop {
            if out.len() < WRITE_BATCH_BYTES {
                self.outgoing.append_next(&mut out);
            }
            let write_limit = *unwritten_since.get_or_insert_with(Instant::now) + RECEIVE_TIMEOUT;
            if out.is_empty() {
                unwritten_since = None;
            }
            let pending = self.has_pending();
            let (idle_limit, action) = match (pending, pinged) {
                (true, false) => (PING_AFTER, IdleAction::Ping),
                (true, true) => (RECEIVE_TIMEOUT, IdleAction::Fail),
                (false, _) => (IDLE_TIMEOUT, IdleAction::Close),
            };
            tokio::select! {
                written = wr.write_buf(&mut out), if !out.is_empty() => {
                    if written? == 0 {
                        return Err(io::ErrorKind::WriteZero.into());
                    }
                    unwritten_since = None;
                }
                frame = frames.next() => {
                    let bytes = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
                    last_activity = Instant::now();
                    pinged = false;
                    self.handle_frame(&bytes, &mut out)?;
                }
                command = commands.recv(), if out.len() < WRITE_BATCH_BYTES => {
                    let Some(command) = command else { return Ok(()) };
                    if !pending {
                        last_activity = Instant::now();
                    }
                    self.handle_command(command, &mut out);
                    while out.len() < WRITE_BATCH_BYTES && let Ok(command) = commands.try_recv() {
                        self.handle_command(command, &mut out);
                    }
                }
                () = tokio::time::sleep(MEMORY_RETRY_PERIOD), if self.awaits_memory() => {
                    self.reserve_replies(&mut out);
                }
                // Replies are pending while the other node reads nothing, so that the same limit
                // holds for writes.
                () = tokio::time::sleep_until(write_limit), if !out.is_empty() => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                () = tokio::time::sleep_until(last_activity + idle_limit) => match action {
                    IdleAction::Ping => {
                        pinged = true;
                        frame::append_or_log(&mut out, &Frame::Ping);
                    }
                    IdleAction::Fail => return Err(io::ErrorKind::TimedOut.into()),
                    IdleAction::Close => return Ok(()),
                }
            }
        }
    }

    /// Returns whether a reply of the other node is due.
    fn has_pending(&self) -> bool {
        let runs = self.pending_requests() > 0;
        let reads = !self.pending_reads.is_empty() || !self.pending_syncs.is_empty();
        runs || reads || !self.pending_grants.is_empty()
    }

    fn handle_command(&mut self, command: Command, out: &mut BytesMut) {
        match command {
            Command::Run(mut req, tx) => {
                if tx.is_closed() {
                    return;
                }
                let idempotent = req.idempotent;
                self.pending_runs
                    .insert(req.number, PendingRun { idempotent, tx });
                self.stream_long_body(&mut req);
                frame::append_or_log(out, &Frame::Run(req));
            }
            Command::Read(query, tx) => {
                let number = self.next_read_number();
                self.pending_reads.insert(number, tx);
                frame::append_or_log(out, &Frame::Read { number, query });
            }
            Command::Sync(known, tx) => {
                let number = self.next_read_number();
                self.pending_syncs.insert(number, tx);
                frame::append_or_log(out, &Frame::Sync { number, known });
            }
            Command::AskQuota(question, tx) => {
                let number = self.next_read_number();
                self.pending_grants.insert(number, tx);
                let ask = Frame::QuotaAsk {
                    number,
                    organisation: question.organisation,
                    wanted: question.wanted,
                    purpose: question.purpose,
                };
                frame::append_or_log(out, &ask);
            }
            Command::Cancel(number) => {
                self.outgoing.remove(number);
                let pending = self.pending_runs.remove(&number).is_some();
                if pending || self.incoming.remove(&number).is_some() {
                    frame::append_or_log(out, &Frame::Cancel(number));
                }
            }
            Command::Send(frame) => frame::append_or_log(out, &frame),
        }
    }

    /// Moves a long body out of its request, to be sent once the other node gives credit.
    fn stream_long_body(&mut self, req: &mut RunRequest) {
        if req.body.len() <= MAX_INLINE_BODY {
            return;
        }
        let body = std::mem::take(&mut req.body);
        req.streamed = Some(StreamedBody {
            len: body.len() as u64,
            fingerprint: req.fingerprint_with(&body),
        });
        self.outgoing.add(req.number, body);
    }

    /// Returns whether the body of a reply is not received for want of memory.
    fn awaits_memory(&self) -> bool {
        self.incoming.values().any(IncomingReply::awaits_memory)
    }

    /// Reserves the memory of the bodies that wait for it, and gives credit for them.
    fn reserve_replies(&mut self, out: &mut BytesMut) {
        for (&number, incoming) in &mut self.incoming {
            if let Some(bytes) = incoming.try_reserve() {
                frame::append_or_log(out, &Frame::Credit { number, bytes });
            }
        }
    }

    fn next_read_number(&mut self) -> u32 {
        self.last_read_number = self.last_read_number.wrapping_add(1);
        self.last_read_number
    }

    /// Handles a message. What it is answered with is appended to `out`.
    fn handle_frame(&mut self, bytes: &[u8], out: &mut BytesMut) -> io::Result<()> {
        let frame = frame::decode(bytes).map_err(io::Error::other)?;
        match frame {
            Frame::Reply {
                number,
                outcome,
                load,
                streamed_len,
            } => {
                self.outgoing.remove(number);
                let Some(PendingRun { tx, .. }) = self.pending_runs.remove(&number) else {
                    return Ok(());
                };
                let load = Some(load);
                let reply = Reply { outcome, load };
                match streamed_len {
                    // A send fails only if the receiver of the reply was dropped.
                    None => drop(tx.send(reply)),
                    Some(len) => {
                        let mut incoming = IncomingReply::new(reply, len, tx, &self.memory);
                        if let Some(bytes) = incoming.try_reserve() {
                            frame::append_or_log(out, &Frame::Credit { number, bytes });
                        }
                        self.incoming.insert(number, incoming);
                    }
                }
            }
            Frame::Data { number, bytes } => {
                if let Some(incoming) = self.incoming.get_mut(&number) {
                    incoming.append(bytes).map_err(io::Error::other)?;
                }
                let complete = |_: &u32, incoming: &mut IncomingReply| incoming.is_complete();
                for (_, incoming) in self.incoming.extract_if(complete) {
                    incoming.deliver();
                }
            }
            Frame::Credit { number, bytes } => self.outgoing.add_credit(number, bytes),
            Frame::ReadReply { number, result } => {
                if let Some(tx) = self.pending_reads.remove(&number) {
                    drop(tx.send(result));
                }
            }
            Frame::QuotaReply { number, reply } => {
                if let Some(tx) = self.pending_grants.remove(&number) {
                    // A send fails only if nobody waits for the tokens any more.
                    let _ = tx.send(reply);
                }
            }
            Frame::SyncReply { number, reply } => {
                if let Some(tx) = self.pending_syncs.remove(&number) {
                    drop(tx.send(*reply));
                }
            }
            _ => (),
        }
        Ok(())
    }

    /// Fails all pending requests and reads. Requests that were sent may have run.
    pub(super) fn fail_pending(&mut self) {
        for (_, run) in self.pending_runs.drain() {
            drop(run.tx.send(Reply::unknown(UnknownKind::ConnectionLost)));
        }
        self.incoming
            .drain()
            .for_each(|(_, incoming)| incoming.fail());
        self.outgoing.clear();
        self.pending_reads.clear();
        self.pending_syncs.clear();
        self.pending_grants.clear();
    }

    /// Fails the pending requests that may run again elsewhere, and all reads.
    pub(super) fn fail_repeatable(&mut self) {
        let repeatable = self.pending_runs.extract_if(|_, run| run.idempotent);
        for (_, run) in repeatable {
            drop(run.tx.send(Reply::unknown(UnknownKind::ConnectionLost)));
        }
        // The rest of a body is not sent without further credit.
        self.incoming
            .drain()
            .for_each(|(_, incoming)| incoming.fail());
        self.outgoing.clear();
        self.pending_reads.clear();
        self.pending_syncs.clear();
        self.pending_grants.clear();
    }

    /// Waits for the replies to requests that must not run again, after the other node has been
    /// silent. It may only be paused. Ends when all have a reply or their senders have given up, or
    /// the connection ends.
    pub(super) async fn await_last_replies(&mut self, frames: &mut PeerFrames) -> io::Result<()> {
        // Nothing more is sent on the connection.
        let mut unsent = BytesMut::new();
        while !self.pending_runs.is_empty() {
            tokio::select! {
                frame = frames.next() => {
                    let bytes = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
                    self.handle_frame(&bytes, &mut unsent)?;
                    unsent.clear();
                }
                () = tokio::time::sleep(ABANDONED_CHECK_PERIOD) => {
                    self.pending_runs.retain(|_, run| !run.tx.is_closed());
                }
            }
        }
        Ok(())
    }
}

/// What to do once the idle limit has passed.
enum IdleAction {
    Ping,
    Fail,
    Close,
}
