//! Decoding of message bodies: fixed length, chunked, or until the connection closes.

use bytes::Buf;
use bytes::BytesMut;

use crate::http1::head::MessageError;
use crate::memory::Body;
use crate::memory::BodyBuilder;

/// Size limit of a chunk-size line and of a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Length of the CR LF at the end of a line.
const LINE_END_BYTES: usize = 2;

/// Limit on the bytes of chunk-size lines and trailers, beyond [`OVERHEAD_PER_BYTE`].
const MAX_OVERHEAD_BYTES: usize = 16 * 1024;

/// Bytes of framing that are accepted for each byte of the body. Chunks of one byte need five.
const OVERHEAD_PER_BYTE: usize = 8;

/// How a message delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// Chunked transfer encoding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// Incremental decoder of a message body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    max_bytes: usize,
    body: BodyBuilder,
    /// Bytes of chunk-size lines and trailers so far.
    overhead: usize,
}

/// What the decoder expects next. The numbers are the remaining bytes. `ChunkEnd` is the line end
/// after the data of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fixed(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

impl BodyDecoder {
    /// Creates a decoder for a body of at most `max_bytes` bytes.
    pub fn new(framing: Framing, max_bytes: usize) -> BodyDecoder {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Fixed(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder {
            state,
            max_bytes,
            body: BodyBuilder::default(),
            overhead: 0,
        }
    }

    /// Removes the bytes of the body from the front of `buf`. Returns whether the body is complete.
    /// A body that ends with the connection is never reported as complete.
    ///
    /// # Errors
    ///
    /// If the framing is malformed or the body exceeds the size limit.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Fixed(left) => {
                    self.check_size(left)?;
                    let left = left - self.consume(buf, left);
                    self.state = match left {
                        0 => State::Done,
                        left => State::Fixed(left),
                    };
                    if left > 0 {
                        return Ok(false);
                    }
                }
                State::UntilClose => {
                    self.check_size(buf.len() as u64)?;
                    self.consume(buf, u64::MAX);
                    return Ok(false);
                }
                State::ChunkData(0) => self.state = State::ChunkEnd,
                State::ChunkData(left) => {
                    self.check_size(left)?;
                    let consumed = self.consume(buf, left);
                    self.state = State::ChunkData(left - consumed);
                    if consumed < left {
                        return Ok(false);
                    }
                }
                State::ChunkSize | State::ChunkEnd | State::Trailer => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(false);
                    };
                    self.count_overhead(line.len())?;
                    self.state = next_state(self.state, &line)?;
                }
            }
        }
    }

    /// Returns whether the body is complete if the connection closes now.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, State::UntilClose | State::Done)
    }

    /// Returns the decoded body.
    pub fn into_body(self) -> Body {
        self.body.finish()
    }

    /// Returns the number of body bytes decoded so far.
    pub fn decoded_len(&self) -> usize {
        self.body.len()
    }

    /// Returns the number of body bytes that are known to follow: the rest of a body of known
    /// length, or of a chunk.
    pub fn remaining_len(&self) -> u64 {
        match self.state {
            State::Fixed(left) | State::ChunkData(left) => left,
            _ => 0,
        }
    }

    /// Fails if `more` further bytes would exceed the size limit.
    fn check_size(&self, more: u64) -> Result<(), MessageError> {
        match more <= (self.max_bytes - self.body.len().min(self.max_bytes)) as u64 {
            true => Ok(()),
            false => Err(MessageError::BodyTooLong),
        }
    }

    /// Counts a line of the framing. Fails if the lines are out of proportion to the body, as they
    /// are if extensions or trailers never end.
    fn count_overhead(&mut self, bytes: usize) -> Result<(), MessageError> {
        self.overhead += bytes + LINE_END_BYTES;
        let max = MAX_OVERHEAD_BYTES + self.body.len().saturating_mul(OVERHEAD_PER_BYTE);
        match self.overhead <= max {
            true => Ok(()),
            false => Err(MessageError::Malformed),
        }
    }

    /// Moves at most `max` bytes from `buf` to the body. Returns their number.
    fn consume(&mut self, buf: &mut BytesMut, max: u64) -> u64 {
        let len = (buf.len() as u64).min(max);
        self.body.append(&buf[..len as usize]);
        buf.advance(len as usize);
        len
    }
}

/// Removes the first line from `buf`. Returns it without its CR LF, or `None` if it is incomplete.
fn take_line(buf: &mut BytesMut) -> Result<Option<Vec<u8>>, MessageError> {
    let searched = &buf[..buf.len().min(MAX_LINE_BYTES)];
    let Some(at) = searched.iter().position(|&b| b == b'\n') else {
        return match buf.len() >= MAX_LINE_BYTES {
            true => Err(MessageError::Malformed),
            false => Ok(None),
        };
    };
    if at == 0 || buf[at - 1] != b'\r' {
        return Err(MessageError::Malformed);
    }
    let line = buf[..at - 1].to_vec();
    buf.advance(at + 1);
    Ok(Some(line))
}

/// Returns the state after `line`, which was read in `state`.
fn next_state(state: State, line: &[u8]) -> Result<State, MessageError> {
    match state {
        State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
        State::Trailer if line.is_empty() => Ok(State::Done),
        State::Trailer => Ok(State::Trailer),
        State::ChunkSize => match chunk_size(line)? {
            0 => Ok(State::Trailer),
            size => Ok(State::ChunkData(size)),
        },
        _ => Err(MessageError::Malformed),
    }
}

/// Parses a chunk-size line. Chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| MessageError::Malformed)?;
    let hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    match hex && text.len() <= 15 {
        true => u64::from_str_radix(text, 16).map_err(|_| MessageError::Malformed),
        false => Err(MessageError::Malformed),
    }
}
