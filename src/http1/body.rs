//! Body framing.

use bytes::Buf;
use bytes::BytesMut;

use crate::http1::head::MessageError;

/// Longest line with the size of a chunk, or of a trailer, in bytes.
const MAX_LINE: usize = 1_024;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks that state their size.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// Takes a body out of the bytes that arrive.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    step: Step,
    max: usize,
    body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Fixed(u64),
    UntilClose,
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Done,
}

impl BodyDecoder {
    /// Builds a decoder of a body of at most `max` bytes.
    pub fn new(framing: Framing, max: usize) -> BodyDecoder {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(len) => Step::Fixed(len),
            Framing::Chunked => Step::ChunkSize,
            Framing::UntilClose => Step::UntilClose,
        };
        BodyDecoder {
            step,
            max,
            body: Vec::new(),
        }
    }

    /// Takes what belongs to the body from `buf`. Returns whether the body is complete.
    ///
    /// # Errors
    ///
    /// If the framing is malformed or the body is longer than allowed.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        loop {
            match self.step {
                Step::Done => return Ok(true),
                Step::Fixed(left) => {
                    self.fits(left)?;
                    let left = left - self.take(buf, left);
                    self.step = match left {
                        0 => Step::Done,
                        left => Step::Fixed(left),
                    };
                    if left > 0 {
                        return Ok(false);
                    }
                }
                Step::UntilClose => {
                    self.fits(buf.len() as u64)?;
                    self.take(buf, u64::MAX);
                    return Ok(false);
                }
                Step::ChunkData(0) => self.step = Step::ChunkEnd,
                Step::ChunkData(left) => {
                    self.fits(left)?;
                    let taken = self.take(buf, left);
                    self.step = Step::ChunkData(left - taken);
                    if taken < left {
                        return Ok(false);
                    }
                }
                Step::ChunkSize | Step::ChunkEnd | Step::Trailer => {
                    let Some(line) = line(buf)? else {
                        return Ok(false);
                    };
                    self.step = next_step(self.step, &line)?;
                }
            }
        }
    }

    /// Returns whether the body is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.step, Step::UntilClose | Step::Done)
    }

    /// Returns the bytes that were taken so far.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Returns the number of bytes that were taken so far.
    pub fn taken(&self) -> usize {
        self.body.len()
    }

    fn fits(&self, more: u64) -> Result<(), MessageError> {
        match more <= (self.max - self.body.len().min(self.max)) as u64 {
            true => Ok(()),
            false => Err(MessageError::BodyTooLong),
        }
    }

    fn take(&mut self, buf: &mut BytesMut, most: u64) -> u64 {
        let len = (buf.len() as u64).min(most);
        self.body.extend_from_slice(&buf[..len as usize]);
        buf.advance(len as usize);
        len
    }
}

/// Takes a line without its CR LF, once it is complete.
fn line(buf: &mut BytesMut) -> Result<Option<Vec<u8>>, MessageError> {
    let searched = &buf[..buf.len().min(MAX_LINE)];
    let Some(at) = searched.iter().position(|&b| b == b'\n') else {
        return match buf.len() >= MAX_LINE {
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

fn next_step(step: Step, line: &[u8]) -> Result<Step, MessageError> {
    match step {
        Step::ChunkEnd if line.is_empty() => Ok(Step::ChunkSize),
        Step::Trailer if line.is_empty() => Ok(Step::Done),
        Step::Trailer => Ok(Step::Trailer),
        Step::ChunkSize => match chunk_size(line)? {
            0 => Ok(Step::Trailer),
            size => Ok(Step::ChunkData(size)),
        },
        _ => Err(MessageError::Malformed),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| MessageError::Malformed)?;
    let hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    match hex && text.len() <= 15 {
        true => u64::from_str_radix(text, 16).map_err(|_| MessageError::Malformed),
        false => Err(MessageError::Malformed),
    }
}
