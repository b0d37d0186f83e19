//! What the nodes of a fleet tell each other about requests: length-prefixed binary messages.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec::LengthDelimitedCodec;

use crate::coordination::poison::CrashReport;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::http1::Header;
use crate::instance::InstanceName;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;

/// Version of the messages. Nodes of different versions do not talk to each other.
pub const FRAME_VERSION: u16 = 2;

/// Longest message, in bytes.
const MAX_FRAME: usize = 80 * 1024 * 1024;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// A request for the target beside the receiving node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Number of the request, unique on the connection.
    pub number: u32,
    /// The instance that is meant.
    pub target: InstanceName,
    /// Name of the route at the sender.
    pub route: String,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Time left until nobody waits for the answer, in milliseconds.
    pub remaining_ms: u32,
    /// Importance, 0 is the highest.
    pub rank: u8,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it is known to be made by a caller, not by a target.
    pub root: bool,
    /// Request id, as the caller sent it.
    pub id: String,
    /// Service of the instance where the request began.
    pub caller_service: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Host.
    pub host: String,
    /// Headers to forward, without those that have a field here.
    pub headers: Vec<WireHeader>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A header on its way between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeader {
    /// Name, as it was spelled.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Converts headers for the way between two nodes.
pub fn to_wire(headers: &[Header]) -> Vec<WireHeader> {
    let wire = headers.iter().map(|(name, value)| WireHeader {
        name: name.clone(),
        value: value.clone(),
    });
    wire.collect()
}

/// Converts headers back.
pub fn from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers.into_iter().map(|h| (h.name, h.value)).collect()
}

/// Load of the instance that replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that run or wait, in percent of those that may run at once.
    pub percent: u16,
    /// Gate on the way of the route that was called, as one byte.
    pub gate: u8,
    /// Slot time that one request of the route takes at that gate, in milliseconds.
    pub cost_ms: u16,
    /// Whether the requests of that route are made by callers, not by targets.
    pub root: bool,
    /// Version of the configuration in force there.
    pub version: u64,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The target answered, and the answer is whole.
    Answered {
        /// Status code.
        status: u16,
        /// Proof that the answer is the target's own, whose header is named at the other end.
        signature: Option<String>,
        /// Headers to hand on, without the request id and the signature.
        headers: Vec<WireHeader>,
        /// Body.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// It was not run and will not be.
    NotRun {
        /// Why.
        kind: NotRunKind,
        /// Whether the target itself refused it.
        refused_by_target: bool,
    },
    /// It may have run.
    Unknown(UnknownKind),
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a connection in both directions.
    Hello {
        /// Version of the messages.
        version: u16,
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// Asks for a request to be run.
    Run(Box<RunRequest>),
    /// Nobody waits for the request any more.
    Cancel(u32),
    /// How a request ended.
    Reply {
        /// Number of the request.
        number: u32,
        /// How it ended.
        outcome: RunOutcome,
        /// Load of the replying instance.
        load: LoadReport,
    },
    /// Asks for a sign of life.
    Ping,
    /// Sign of life.
    Pong,
    /// The sender is stopping and takes no new requests.
    Leaving,
    /// Version of the configuration that the sender has taken into force.
    Version(u64),
    /// A target crashed while it ran a request.
    Crash(CrashReport),
    /// Asks the receiver to read the platform's store for the sender.
    Read {
        /// Number of the question, unique on the connection.
        number: u32,
        /// What to read.
        query: Query,
    },
    /// What was read.
    ReadReply {
        /// Number of the question.
        number: u32,
        /// What was read, nothing if the store could not be read either.
        result: Option<QueryResult>,
    },
}

/// Returns the codec that separates messages.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Why a message was not understood.
#[derive(Debug, thiserror::Error)]
#[error("message of another node is malformed: {0}")]
pub struct FrameError(#[from] postcard::Error);

/// Decodes one message.
///
/// # Errors
///
/// If the bytes are no message of this version.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Encodes one message.
///
/// # Errors
///
/// If the message cannot be serialized.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    Ok(Bytes::from(postcard::to_stdvec(frame)?))
}

/// Appends a message with its length.
///
/// # Errors
///
/// If the message cannot be serialized.
pub fn append(out: &mut BytesMut, frame: &Frame) -> Result<(), FrameError> {
    let bytes = encode(frame)?;
    let len = bytes.len() as u32;
    out.extend_from_slice(&len.to_be_bytes());
    out.extend_from_slice(&bytes);
    Ok(())
}

/// Appends a message with its length. One that cannot be serialized is left out and logged.
pub fn append_or_log(out: &mut BytesMut, frame: &Frame) {
    if let Err(e) = append(out, frame) {
        log::error!("a message for another node was not encoded: {e}");
    }
}
