//! Writes messages and bodies to a node that opened a connection to this one.

use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::memory::Body;
use crate::protocol::frame;
use crate::protocol::frame::Frame;
use crate::relay::outgoing_bodies::OutgoingBodies;

/// Bytes that are collected before a write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Time that a write may take before the other node counts as gone. It is longer than nodes are
/// paused; until then the bodies for it stay in memory.
const STALLED_AFTER: Duration = Duration::from_secs(15);

/// What is written to another node.
#[derive(Debug)]
pub(super) enum ToPeer {
    /// A message.
    Frame(Frame),
    /// A reply, and the body that follows it in pieces.
    Streamed(Frame, u32, Body),
    /// The other node has room for more of the body with this number.
    Credit(u32, u64),
    /// The other node no longer awaits the body with this number.
    Drop(u32),
}

/// Writes what it receives from `rx`, until the sender is gone or the connection breaks.
pub(super) async fn write(mut wr: OwnedWriteHalf, mut rx: mpsc::Receiver<ToPeer>) {
    let mut out = BytesMut::new();
    let mut bodies = OutgoingBodies::default();
    loop {
        if !bodies.is_ready() {
            match rx.recv().await {
                Some(next) => append(&mut out, &mut bodies, next),
                None => return,
            }
        }
        while out.len() < WRITE_BATCH_BYTES
            && let Ok(next) = rx.try_recv()
        {
            append(&mut out, &mut bodies, next);
        }
        bodies.append_next(&mut out);
        match timeout(STALLED_AFTER, wr.write_all(&out)).await {
            Ok(Ok(())) => (),
            Ok(Err(e)) => {
                log::debug!("cannot write replies to another node: {e}");
                return;
            }
            Err(_) => {
                log::warn!("another node does not read its replies, they are dropped");
                return;
            }
        }
        out.clear();
    }
}

fn append(out: &mut BytesMut, bodies: &mut OutgoingBodies, next: ToPeer) {
    match next {
        ToPeer::Frame(frame) => frame::append_or_log(out, &frame),
        ToPeer::Streamed(frame, number, body) => {
            frame::append_or_log(out, &frame);
            bodies.add(number, body);
        }
        ToPeer::Credit(number, bytes) => bodies.add_credit(number, bytes),
        ToPeer::Drop(number) => bodies.remove(number),
    }
}
