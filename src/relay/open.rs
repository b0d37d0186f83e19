//! An open connection to another node, served by one task.

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

use crate::error::UnknownKind;
use crate::protocol::frame;
use crate::protocol::frame::FRAME_VERSION;
use crate::protocol::frame::Frame;
use crate::protocol::frame::RunRequest;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::relay::link::Reply;

/// Time without a byte after which a node that owes an answer is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(400);

/// Time without a byte, while an answer is owed, after which the connection counts as broken.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Time after which an unused connection is closed.
const UNUSED_AFTER: Duration = Duration::from_secs(60);

/// Bytes gathered for one write.
const WRITE_BATCH: usize = 64 * 1024;

/// What the users of a connection ask of it.
pub(super) enum Order {
    /// Have a request run.
    Run(Box<RunRequest>, oneshot::Sender<Reply>),
    /// Have the store read.
    Read(Query, oneshot::Sender<Option<QueryResult>>),
    /// Give up a request.
    Cancel(u32),
    /// Pass a message on.
    Tell(Frame),
}

/// What an open connection waits for.
#[derive(Default)]
pub(super) struct Open {
    runs: HashMap<u32, oneshot::Sender<Reply>>,
    reads: HashMap<u32, oneshot::Sender<Option<QueryResult>>>,
    next_read: u32,
}

impl Open {
    /// Returns how many requests are not answered yet.
    pub(super) fn owed(&self) -> usize {
        self.runs.len()
    }

    /// Serves a connection until it ends; `Ok` if nobody uses it any more.
    pub(super) async fn run(
        &mut self,
        incarnation: u64,
        rd: OwnedReadHalf,
        mut wr: OwnedWriteHalf,
        orders: &mut mpsc::Receiver<Order>,
    ) -> io::Result<()> {
        let mut frames = FramedRead::new(rd, frame::codec());
        let mut out = BytesMut::new();
        frame::append_or_log(
            &mut out,
            &Frame::Hello {
                version: FRAME_VERSION,
                incarnation,
            },
        );
        let mut heard = Instant::now();
        let mut pinged = false;
        loop {
            if !out.is_empty() {
                // A node that takes nothing for this long owes answers all the while.
                match timeout(SILENT_AFTER, wr.write_all(&out)).await {
                    Ok(written) => written?,
                    Err(_) => return Err(io::ErrorKind::TimedOut.into()),
                }
                out.clear();
            }
            let owes = !self.runs.is_empty() || !self.reads.is_empty();
            let (span, due) = match (owes, pinged) {
                (true, false) => (PING_AFTER, Due::Ping),
                (true, true) => (SILENT_AFTER, Due::Silent),
                (false, _) => (UNUSED_AFTER, Due::Unused),
            };
            tokio::select! {
                frame = frames.next() => {
                    let bytes = frame.ok_or(io::ErrorKind::UnexpectedEof)??;
                    heard = Instant::now();
                    pinged = false;
                    self.take(&bytes)?;
                }
                order = orders.recv() => {
                    let Some(order) = order else { return Ok(()) };
                    if !owes {
                        heard = Instant::now();
                    }
                    self.order(order, &mut out);
                    while out.len() < WRITE_BATCH && let Ok(order) = orders.try_recv() {
                        self.order(order, &mut out);
                    }
                }
                () = tokio::time::sleep_until(heard + span) => match due {
                    Due::Ping => {
                        pinged = true;
                        frame::append_or_log(&mut out, &Frame::Ping);
                    }
                    Due::Silent => return Err(io::ErrorKind::TimedOut.into()),
                    Due::Unused => return Ok(()),
                }
            }
        }
    }

    fn order(&mut self, order: Order, out: &mut BytesMut) {
        match order {
            Order::Run(req, tx) => {
                if tx.is_closed() {
                    return;
                }
                self.runs.insert(req.number, tx);
                frame::append_or_log(out, &Frame::Run(req));
            }
            Order::Read(query, tx) => {
                self.next_read = self.next_read.wrapping_add(1);
                let number = self.next_read;
                self.reads.insert(number, tx);
                frame::append_or_log(out, &Frame::Read { number, query });
            }
            Order::Cancel(number) => {
                if self.runs.remove(&number).is_some() {
                    frame::append_or_log(out, &Frame::Cancel(number));
                }
            }
            Order::Tell(frame) => frame::append_or_log(out, &frame),
        }
    }

    fn take(&mut self, bytes: &[u8]) -> io::Result<()> {
        let frame = frame::decode(bytes).map_err(io::Error::other)?;
        match frame {
            Frame::Reply {
                number,
                outcome,
                load,
            } => {
                if let Some(tx) = self.runs.remove(&number) {
                    let load = Some(load);
                    // A receiver that has gone does not wait for the reply.
                    drop(tx.send(Reply { outcome, load }));
                }
            }
            Frame::ReadReply { number, result } => {
                if let Some(tx) = self.reads.remove(&number) {
                    drop(tx.send(result));
                }
            }
            _ => (),
        }
        Ok(())
    }

    /// Whatever was sent may have run.
    pub(super) fn lose_all(&mut self) {
        for (_, tx) in self.runs.drain() {
            drop(tx.send(Reply::unknown(UnknownKind::ConnectionLost)));
        }
        self.reads.clear();
    }
}

enum Due {
    Ping,
    Silent,
    Unused,
}
