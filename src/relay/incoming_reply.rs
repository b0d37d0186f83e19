//! A reply of another node whose body is received in pieces.

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::error::UnknownKind;
use crate::memory::Body;
use crate::memory::MemoryBudget;
use crate::memory::Reservation;
use crate::protocol::frame::RunOutcome;
use crate::relay::incoming_body::BrokenBody;
use crate::relay::peer_client::Reply;

/// A reply and the part of its body that has been received. The memory of the whole body is reserved
/// before the first part is sent.
pub(super) struct IncomingReply {
    reply: Reply,
    len: usize,
    received: usize,
    pieces: Vec<Bytes>,
    reservation: Reservation,
    tx: oneshot::Sender<Reply>,
}

impl IncomingReply {
    /// Builds a reply with a body of `len` bytes, to be delivered through `tx`.
    pub(super) fn new(
        reply: Reply,
        len: u64,
        tx: oneshot::Sender<Reply>,
        memory: &MemoryBudget,
    ) -> IncomingReply {
        IncomingReply {
            reply,
            len: usize::try_from(len).unwrap_or(usize::MAX),
            received: 0,
            pieces: Vec::new(),
            reservation: memory.reserve(),
            tx,
        }
    }

    /// Returns whether the memory is not reserved yet.
    pub(super) fn awaits_memory(&self) -> bool {
        self.reservation.bytes() < self.len
    }

    /// Reserves the memory, if it is not reserved and there is room. Returns the credit to give.
    pub(super) fn try_reserve(&mut self) -> Option<u64> {
        let reserved = self.awaits_memory() && self.reservation.try_or_report(self.len);
        reserved.then_some(self.len as u64)
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// If the part exceeds the announced length or the credit.
    pub(super) fn append(&mut self, part: Vec<u8>) -> Result<(), BrokenBody> {
        self.received += part.len();
        if self.received > self.reservation.bytes() {
            return Err(BrokenBody);
        }
        self.pieces.push(Bytes::from(part));
        Ok(())
    }

    /// Returns whether the whole body has been received.
    pub(super) fn is_complete(&self) -> bool {
        self.received >= self.len
    }

    /// Delivers the reply with its body.
    pub(super) fn deliver(mut self) {
        if let RunOutcome::Completed { body, .. } = &mut self.reply.outcome {
            *body = Body::from_pieces(self.pieces).with_reservation(self.reservation);
        }
        // A send fails only if the receiver of the reply was dropped.
        drop(self.tx.send(self.reply));
    }

    /// Reports that the rest of the body will not arrive.
    pub(super) fn fail(self) {
        drop(self.tx.send(Reply::unknown(UnknownKind::ConnectionLost)));
    }
}
