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
use tokio::time::timeout;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::UnknownKind;
use crate::protocol::frame;
use crate::protocol::frame::FRAME_VERSION;
use crate::protocol::frame::Frame;
use crate::protocol::frame::RunRequest;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;
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
    /// Cancel the request with this number.
    Cancel(u32),
    /// Send a message that has no reply.
    Send(Frame),
}

/// Messages that arrive on a connection.
pub(super) type PeerFrames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A request that was sent and has no reply yet.
struct PendingRun {
    idempotent: bool,
    tx: oneshot::Sender<Reply>,
}

/// Pending requests and reads of an open connection.
#[derive(Default)]
pub(super) struct PeerConnection {
    pending_runs: HashMap<u32, PendingRun>,
    pending_reads: HashMap<u32, oneshot::Sender<Option<QueryResult>>>,
    pending_syncs: HashMap<u32, oneshot::Sender<SyncReply>>,
    last_read_number: u32,
}

impl PeerConnection {
    /// Returns the number of requests without a reply.
    pub(super) fn pending_requests(&self) -> usize {
        self.pending_runs.len()
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
        let mut pinged = false;
        loop {
            if !out.is_empty() {
                // Replies are pending while the other node reads nothing, so that the same limit
                // holds for writes.
                match timeout(RECEIVE_TIMEOUT, wr.write_all(&out)).await {
                    Ok(written) => written?,
                    Err(_) => return Err(io::ErrorKind::TimedOut.into()),
                }
                out.clear();
            }
            let pending = self.has_pending();
            let (idle_limit, action) = match (pending, pinged) {
                (true, false) => (PING_AFTER, IdleAction::Ping),
                (true, true) => (RECEIVE_TIMEOUT, IdleAction::Fail),
                (false, _) => (IDLE_TIMEOUT, IdleAction::Close),
            };
            tokio::select! {
                frame = frames.next() => {
                    let bytes = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
                    last_activity = Instant::now();
                    pinged = false;
                    self.handle_frame(&bytes)?;
                }
                command = commands.recv() => {
                    let Some(command) = command else { return Ok(()) };
                    if !pending {
                        last_activity = Instant::now();
                    }
                    self.handle_command(command, &mut out);
                    while out.len() < WRITE_BATCH_BYTES && let Ok(command) = commands.try_recv() {
                        self.handle_command(command, &mut out);
                    }
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
        let runs = !self.pending_runs.is_empty();
        runs || !self.pending_reads.is_empty() || !self.pending_syncs.is_empty()
    }

    fn handle_command(&mut self, command: Command, out: &mut BytesMut) {
        match command {
            Command::Run(req, tx) => {
                if tx.is_closed() {
                    return;
                }
                let idempotent = req.idempotent;
                self.pending_runs
                    .insert(req.number, PendingRun { idempotent, tx });
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
            Command::Cancel(number) => {
                if self.pending_runs.remove(&number).is_some() {
                    frame::append_or_log(out, &Frame::Cancel(number));
                }
            }
            Command::Send(frame) => frame::append_or_log(out, &frame),
        }
    }

    fn next_read_number(&mut self) -> u32 {
        self.last_read_number = self.last_read_number.wrapping_add(1);
        self.last_read_number
    }

    fn handle_frame(&mut self, bytes: &[u8]) -> io::Result<()> {
        let frame = frame::decode(bytes).map_err(io::Error::other)?;
        match frame {
            Frame::Reply {
                number,
                outcome,
                load,
            } => {
                if let Some(run) = self.pending_runs.remove(&number) {
                    let load = Some(load);
                    // A send fails only if the receiver of the reply was dropped.
                    drop(run.tx.send(Reply { outcome, load }));
                }
            }
            Frame::ReadReply { number, result } => {
                if let Some(tx) = self.pending_reads.remove(&number) {
                    drop(tx.send(result));
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
        self.pending_reads.clear();
        self.pending_syncs.clear();
    }

    /// Fails the pending requests that may run again elsewhere, and all reads.
    pub(super) fn fail_repeatable(&mut self) {
        let repeatable = self.pending_runs.extract_if(|_, run| run.idempotent);
        for (_, run) in repeatable {
            drop(run.tx.send(Reply::unknown(UnknownKind::ConnectionLost)));
        }
        self.pending_reads.clear();
        self.pending_syncs.clear();
    }

    /// Waits for the replies to requests that must not run again, after the other node has been
    /// silent. It may only be paused. Ends when all have a reply or their senders have given up, or
    /// the connection ends.
    pub(super) async fn await_last_replies(&mut self, frames: &mut PeerFrames) -> io::Result<()> {
        while !self.pending_runs.is_empty() {
            tokio::select! {
                frame = frames.next() => {
                    let bytes = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
                    self.handle_frame(&bytes)?;
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
