//! Bodies that are sent to another node in pieces.

use std::collections::VecDeque;

use bytes::BytesMut;

use crate::memory::Body;
use crate::protocol::frame;
use crate::protocol::frame::DATA_BYTES;
use crate::protocol::frame::Frame;

/// A body that is being sent.
#[derive(Debug)]
struct OutgoingBody {
    number: u32,
    body: Body,
    /// Index of the current piece, and how many of its bytes were sent.
    at: (usize, usize),
    sent: usize,
    /// Number of bytes that the receiver has room for.
    credit: u64,
}

impl OutgoingBody {
    fn is_ready(&self) -> bool {
        self.credit > 0
    }

    /// Returns the next part, within the credit.
    fn take(&mut self) -> Vec<u8> {
        let credit = usize::try_from(self.credit).unwrap_or(usize::MAX);
        let (index, offset) = self.at;
        let rest = &self.body.pieces()[index][offset..];
        let len = rest.len().min(DATA_BYTES).min(credit);
        let part = rest[..len].to_vec();
        self.at = match len == rest.len() {
            true => (index + 1, 0),
            false => (index, offset + len),
        };
        self.sent += len;
        self.credit -= len as u64;
        part
    }
}

/// The bodies that are being sent on one connection. They take turns, so that a long one does not
/// delay the others.
#[derive(Debug, Default)]
pub(super) struct OutgoingBodies(VecDeque<OutgoingBody>);

impl OutgoingBodies {
    /// Adds the body of the request `number`, which is sent once there is credit.
    pub(super) fn add(&mut self, number: u32, body: Body) {
        self.0.push_back(OutgoingBody {
            number,
            body,
            at: (0, 0),
            sent: 0,
            credit: 0,
        });
    }

    /// Drops the body of the request `number`, if there is one.
    pub(super) fn remove(&mut self, number: u32) {
        self.0.retain(|body| body.number != number);
    }

    /// Drops all bodies.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Allows `bytes` more of the body of the request `number` to be sent.
    pub(super) fn add_credit(&mut self, number: u32, bytes: u64) {
        if let Some(body) = self.0.iter_mut().find(|body| body.number == number) {
            let rest = (body.body.len() - body.sent) as u64;
            body.credit = body.credit.saturating_add(bytes).min(rest);
        }
    }

    /// Returns whether part of a body may be sent.
    pub(super) fn is_ready(&self) -> bool {
        self.0.iter().any(OutgoingBody::is_ready)
    }

    /// Appends the next part of the body whose turn it is to `out`.
    pub(super) fn append_next(&mut self, out: &mut BytesMut) {
        let Some(at) = self.0.iter().position(OutgoingBody::is_ready) else {
            return;
        };
        let Some(mut next) = self.0.remove(at) else {
            return;
        };
        let bytes = next.take();
        let number = next.number;
        frame::append_or_log(out, &Frame::Data { number, bytes });
        if next.sent < next.body.len() {
            self.0.push_back(next);
        }
    }
}
