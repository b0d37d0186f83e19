//! Message bodies in pieces, which are shared and not copied.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::memory::budget::Reservation;

/// Size limit of one piece, in bytes.
pub const PIECE_BYTES: usize = 64 * 1024;

/// A message body. Clones share its bytes, and the reservation of their memory.
#[derive(Clone, Default)]
pub struct Body {
    pieces: Vec<Bytes>,
    len: usize,
    reservation: Option<Arc<Reservation>>,
}

impl Body {
    /// Builds a body from its pieces.
    pub fn from_pieces(pieces: Vec<Bytes>) -> Body {
        Body {
            len: pieces.iter().map(Bytes::len).sum(),
            pieces,
            reservation: None,
        }
    }

    /// Returns the body with the reservation of its memory, which is released with its last clone.
    pub fn with_reservation(mut self, reservation: Reservation) -> Body {
        self.reservation = Some(Arc::new(reservation));
        self
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the pieces in order.
    pub fn pieces(&self) -> &[Bytes] {
        &self.pieces
    }

    /// Copies the body into one buffer.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut all = Vec::with_capacity(self.len);
        self.append_to(&mut all);
        all
    }

    /// Appends the body to `out`.
    pub fn append_to(&self, out: &mut Vec<u8>) {
        self.pieces.iter().for_each(|p| out.extend_from_slice(p));
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Body {
        match bytes.is_empty() {
            true => Body::default(),
            false => Body::from_pieces(vec![Bytes::from(bytes)]),
        }
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Body) -> bool {
        self.len == other.len && self.to_vec() == other.to_vec()
    }
}

impl Eq for Body {}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.len)
    }
}

impl Serialize for Body {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match self.pieces.as_slice() {
            [] => serializer.serialize_bytes(&[]),
            [piece] => serializer.serialize_bytes(piece),
            _ => serializer.serialize_bytes(&self.to_vec()),
        }
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D>(deserializer: D) -> Result<Body, D::Error>
    where
        D: Deserializer<'de>,
    {
        let bytes: Vec<u8> = serde_bytes::deserialize(deserializer)?;
        Ok(Body::from(bytes))
    }
}

/// Collects a body. Small parts are copied together, so that the memory of a body is proportional
/// to its length.
#[derive(Clone, Debug, Default)]
pub struct BodyBuilder {
    pieces: Vec<Bytes>,
    /// Total length of `pieces`.
    finished: usize,
    last: Vec<u8>,
}

impl BodyBuilder {
    /// Appends bytes by copying them.
    pub fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = PIECE_BYTES - self.last.len();
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            self.last.extend_from_slice(part);
            bytes = rest;
            if self.last.len() == PIECE_BYTES {
                let piece = std::mem::take(&mut self.last);
                self.push(Bytes::from(piece));
            }
        }
    }

    /// Returns the length so far, in bytes.
    pub fn len(&self) -> usize {
        self.finished + self.last.len()
    }

    /// Returns whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the body.
    pub fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            let piece = std::mem::take(&mut self.last);
            self.push(Bytes::from(piece));
        }
        Body::from_pieces(self.pieces)
    }

    fn push(&mut self, piece: Bytes) {
        self.finished += piece.len();
        self.pieces.push(piece);
    }
}
