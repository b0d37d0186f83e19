//! Length-prefixed binary messages by which the nodes of a fleet run requests for each other.
//!
//! Messages are encoded with postcard, so the order of fields and variants is the wire format.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::codec::LengthDelimitedCodec;

use crate::call::Repetition;
use crate::coordination::organisations::holder::Grant;
use crate::coordination::organisations::takeover::Release;
use crate::coordination::poison::CrashReport;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::fingerprint;
use crate::fingerprint::Fingerprint;
use crate::http1::Header;
use crate::instance::InstanceName;
use crate::instance::OrganisationName;
use crate::memory::Body;
use crate::protocol::store_query::Query;
use crate::protocol::store_query::QueryResult;
use crate::protocol::sync::KnownState;
use crate::protocol::sync::SyncReply;

/// Version of the message format. A node closes a connection that was opened by a node with another
/// version.
pub const FRAME_VERSION: u16 = 9;

/// Size limit of one message, in bytes. The longest are lists of targets.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size limit of the first message on a connection, in bytes.
pub const MAX_HELLO_BYTES: usize = 64;

/// Length up to which a body is sent within its message, in bytes. A longer one follows in
/// [`Frame::Data`] messages.
pub const MAX_INLINE_BODY: usize = 64 * 1024;

/// Length of the part of a body in one [`Frame::Data`] message, in bytes.
pub const DATA_BYTES: usize = 32 * 1024;

/// Unit of the age of a configuration.
pub const CONFIG_AGE_UNIT: Duration = Duration::from_millis(10);

/// Size of the length prefix of each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// A request to be run by the target beside the receiving node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Number of the request, unique on the connection.
    pub number: u32,
    /// Instance that is to run the request.
    pub target: InstanceName,
    /// Service of that instance. A node whose target has been replaced by another instance of the
    /// service runs the request there; a node of another service refuses it.
    pub service: String,
    /// Name of the route that the sender matched.
    pub route: String,
    /// Version of the configuration that the sender applies.
    pub config_version: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request is known to come from a caller and not from a target.
    pub is_root: bool,
    /// Whether the run is a repeated one.
    pub repetition: Repetition,
    /// Request id, as the caller sent it.
    pub id: String,
    /// Service of the instance at whose node the request entered the fleet.
    pub caller_service: String,
    /// Organisation that sent the request, if it came with a key.
    pub organisation: Option<OrganisationName>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Host without port, in lower case.
    pub host: String,
    /// Headers to forward, except those that have a field of this message.
    pub headers: Vec<WireHeader>,
    /// Request body, without framing. Empty in a message if `streamed` is set.
    pub body: Body,
    /// Set if the body follows in [`Frame::Data`] messages, as far as the receiver gives credit.
    pub streamed: Option<StreamedBody>,
}

impl RunRequest {
    /// Returns the fingerprint of the request with `body`, which may have been moved out of it.
    pub fn fingerprint_with(&self, body: &Body) -> Fingerprint {
        fingerprint::of_content(self.organisation.as_ref(), &self.method, &self.path, body)
    }
}

/// A request body that is not part of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamedBody {
    /// Length in bytes.
    pub len: u64,
    /// Fingerprint of the request, which cannot be computed before the body is there.
    pub fingerprint: Fingerprint,
}

/// An HTTP header in a message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireHeader {
    /// Name, in the spelling of the sender.
    pub name: String,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Converts HTTP headers to their form in messages.
pub fn to_wire(headers: &[Header]) -> Vec<WireHeader> {
    let wire = headers.iter().map(|(name, value)| WireHeader {
        name: name.clone(),
        value: value.clone(),
    });
    wire.collect()
}

/// Converts headers of a message back to HTTP headers.
pub fn from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers.into_iter().map(|h| (h.name, h.value)).collect()
}

/// Load of the replying instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running and queued calls, in percent of the concurrency limit.
    pub percent: u16,
    /// Admission ratio for the requested route, encoded in one byte by
    /// [`AdmissionRatio::to_byte`](crate::coordination::backpressure::AdmissionRatio::to_byte).
    pub admission_ratio: u8,
    /// Average slot time that one request of the route takes at the instance whose ratio is
    /// `admission_ratio`, in milliseconds.
    pub cost_ms: u16,
    /// Whether the requests of the route come from callers and not from targets.
    pub is_root: bool,
    /// Expected time of a run at the instance that begins now, in milliseconds; 0 if its target does
    /// not state how long work takes.
    pub run_ms: u16,
    /// Version of the configuration that the replying instance applies.
    pub config_version: u64,
    /// Time since that configuration was known to be the newest one, in units of
    /// [`CONFIG_AGE_UNIT`]; [`u16::MAX`] if it is longer or unknown.
    pub config_age: u16,
}

/// Outcome of a [`RunRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The target sent a complete response.
    Completed {
        /// HTTP status code.
        status: u16,
        /// Value of the target's signature header; the receiving node adds the header name.
        signature: Option<String>,
        /// Headers to forward, without the request id and the signature.
        headers: Vec<WireHeader>,
        /// Response body, without framing. Empty in a message whose body is streamed.
        body: Body,
    },
    /// The request was not run and will not be.
    NotRun {
        /// Reason.
        kind: NotRunKind,
        /// Whether the request reached the target, which refused it.
        refused_by_target: bool,
    },
    /// The request may have run.
    Unknown(UnknownKind),
}

/// Why a node asks another one for tokens of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaPurpose {
    /// It needs tokens for its callers.
    Use,
    /// Another node needs them, and took this one for the holder.
    PassedOn,
    /// It is to hold the quota, and asks for its release.
    Takeover,
}

/// Answer to a question for tokens of a quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum QuotaReply {
    /// Tokens of the holder.
    Granted(Grant),
    /// The node does not hold the quota; in reply to [`QuotaPurpose::Takeover`].
    Released(Release),
    /// The node does not hold the quota and knows none that does.
    NotHeld,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First message on a connection, sent by the node that opened it.
    Hello {
        /// [`FRAME_VERSION`] of the sender.
        version: u16,
        /// Incarnation of the sender.
        incarnation: u64,
    },
    /// Asks the receiver to run a request.
    Run(Box<RunRequest>),
    /// Cancels the request with this number, whose response is no longer awaited.
    Cancel(u32),
    /// Reply to [`Frame::Run`].
    Reply {
        /// Number of the request.
        number: u32,
        /// Outcome of the request.
        outcome: RunOutcome,
        /// Load of the replying instance.
        load: LoadReport,
        /// Length of the response body in bytes, if it follows in [`Frame::Data`] messages once the
        /// receiver gives credit.
        streamed_len: Option<u64>,
    },
    /// The next part of a request or response body.
    Data {
        /// Number of the request.
        number: u32,
        /// The bytes, at most [`DATA_BYTES`].
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The receiver of a body has room for more of it.
    Credit {
        /// Number of the request.
        number: u32,
        /// Number of bytes that may be sent in addition to earlier credit.
        bytes: u64,
    },
    /// Asks the holder of an organisation's quota for tokens.
    QuotaAsk {
        /// Number of the question, unique on the connection.
        number: u32,
        /// The organisation.
        organisation: OrganisationName,
        /// Number of tokens.
        wanted: u32,
        /// Why the sender asks.
        purpose: QuotaPurpose,
    },
    /// Reply to [`Frame::QuotaAsk`].
    QuotaReply {
        /// Number of the question.
        number: u32,
        /// The answer.
        reply: QuotaReply,
    },
    /// Keep-alive probe.
    Ping,
    /// Reply to [`Frame::Ping`].
    Pong,
    /// The sender is stopping and accepts no new requests.
    Stopping,
    /// Announces the version of the configuration that the sender now applies.
    ConfigVersion(u64),
    /// A target crashed while it ran a request.
    Crash(CrashReport),
    /// A suspect ran unharmed at the target of the sender.
    Unharmed(Fingerprint),
    /// The sender begins a trial of a quarantined request.
    Trial(Fingerprint),
    /// Asks the receiver to read the platform's store for the sender.
    Read {
        /// Number of the read, unique on the connection.
        number: u32,
        /// What to read.
        query: Query,
    },
    /// Reply to [`Frame::Read`].
    ReadReply {
        /// Number of the read.
        number: u32,
        /// Result of the query; `None` if the receiver could not read the store either.
        result: Option<QueryResult>,
    },
    /// Asks a reader of the store for what is newer than the state that the sender knows.
    Sync {
        /// Number of the question, unique on the connection.
        number: u32,
        /// What the sender knows.
        known: KnownState,
    },
    /// Reply to [`Frame::Sync`].
    SyncReply {
        /// Number of the question.
        number: u32,
        /// What the sender did not know.
        reply: Box<SyncReply>,
    },
}

/// Returns the codec that splits a byte stream into messages of at most `max_bytes`.
pub fn codec(max_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(max_bytes)
        .new_codec()
}

/// Error of encoding or decoding a message between nodes.
#[derive(Debug, thiserror::Error)]
#[error("malformed message between nodes: {0}")]
pub struct FrameError(#[from] postcard::Error);

/// Decodes one message.
///
/// # Errors
///
/// If the bytes are not a message of version [`FRAME_VERSION`].
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    Ok(postcard::from_bytes(bytes)?)
}

/// Encodes one message, without its length prefix.
///
/// # Errors
///
/// If the message cannot be serialized.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    Ok(Bytes::from(postcard::to_stdvec(frame)?))
}

/// Appends a message with its length prefix to `out`.
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

/// Appends a message with its length prefix to `out`. If it cannot be serialized, logs the error
/// and appends nothing.
pub fn append_or_log(out: &mut BytesMut, frame: &Frame) {
    if let Err(e) = append(out, frame) {
        log::error!("cannot encode a message to another node: {e}");
    }
}
