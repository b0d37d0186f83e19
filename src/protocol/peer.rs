//! Signed and versioned JSON messages between the nodes of a fleet.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::coordination::control;
use crate::coordination::control::PeerId;
use crate::coordination::poison::CrashReport;
use crate::instance::InstanceName;
use crate::protocol::hop::Keyring;

/// Version of the message format that this node sends.
pub const PEER_VERSION: u16 = 1;

/// Oldest version of the message format that this node accepts.
pub const OLDEST_PEER_VERSION: u16 = 1;

/// Limit on the idempotency tokens that one request may ask for.
pub const MAX_TOKENS_PER_REQUEST: u16 = 64;

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerRequest {
    /// Exchanges configuration and membership.
    Control(control::Request),
    /// A target crashed while it ran a request.
    Crash(CrashReport),
    /// Cancels the sender's attempt with this number.
    Cancel(u64),
    /// Checks that the receiver is reachable and is the instance that the sender expects.
    Ping,
    /// Requests this many idempotency tokens, at most [`MAX_TOKENS_PER_REQUEST`].
    Mint(u16),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Control`].
    Control(control::Reply),
    /// The request was accepted and needs no data in return.
    Done,
    /// Idempotency tokens in their text form, in reply to [`PeerRequest::Mint`].
    Tokens(Vec<String>),
}

/// The fields that messages of all versions have. They are decoded first, so that a message of an
/// unsupported version is reported as such.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EnvelopeHead {
    version: u16,
    from: PeerId,
    to: Option<InstanceName>,
    sequence: u64,
}

/// A message with its version, sender, receiver and sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<B> {
    /// Version of the message format.
    pub version: u16,
    /// Sender.
    pub from: PeerId,
    /// Receiver, if the sender knows its name.
    pub to: Option<InstanceName>,
    /// Sequence number chosen by the requesting node; the reply repeats it.
    pub sequence: u64,
    /// Content of the message.
    pub body: B,
}

/// Reason for which a message is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum EnvelopeError {
    /// The text is not a message.
    #[error("message is malformed")]
    Malformed,
    /// The signature matches none of the accepted keys.
    #[error("message has a wrong signature")]
    #[serde(rename = "forged")] // serialized name
    BadSignature,
    /// The receiver does not support the version of the message.
    #[error("message has version {theirs}, the receiver supports {oldest} to {newest}")]
    Version {
        /// Version of the message.
        theirs: u16,
        /// Oldest version that the receiver supports.
        oldest: u16,
        /// Newest version that the receiver supports.
        newest: u16,
    },
    /// The message is addressed to another instance, which had this address before.
    #[error("message is addressed to {0}")]
    OtherInstance(InstanceName),
    /// The sequence number of a reply is not that of the request.
    #[error("sequence number of the reply does not match the request")]
    #[serde(rename = "other-question")] // serialized name
    SequenceMismatch,
}

impl<B> Envelope<B>
where
    B: Serialize + DeserializeOwned,
{
    /// Creates a message of the current version.
    pub fn new(from: PeerId, to: Option<InstanceName>, sequence: u64, body: B) -> Envelope<B> {
        Envelope {
            version: PEER_VERSION,
            from,
            to,
            sequence,
            body,
        }
    }

    /// Encodes and signs the message. Returns its text and its hexadecimal signature.
    pub fn sign(&self, keys: &Keyring) -> (String, String) {
        let text = serde_json::to_string(self).expect("a message always serializes to JSON");
        let signature = keys.signature(&text);
        (text, signature)
    }

    /// Checks the signature, version and receiver of a message that the instance `me` received,
    /// and decodes it.
    ///
    /// # Errors
    ///
    /// If one of the checks fails or the text is malformed.
    pub fn verify(
        text: &str,
        signature: &str,
        keys: &Keyring,
        me: &InstanceName,
    ) -> Result<Envelope<B>, EnvelopeError> {
        if !keys.is_valid_signature(text, signature) {
            return Err(EnvelopeError::BadSignature);
        }
        let head: EnvelopeHead =
            serde_json::from_str(text).map_err(|_| EnvelopeError::Malformed)?;
        if !(OLDEST_PEER_VERSION..=PEER_VERSION).contains(&head.version) {
            return Err(EnvelopeError::Version {
                theirs: head.version,
                oldest: OLDEST_PEER_VERSION,
                newest: PEER_VERSION,
            });
        }
        if let Some(to) = head.to.filter(|to| to != me) {
            return Err(EnvelopeError::OtherInstance(to));
        }
        serde_json::from_str(text).map_err(|_| EnvelopeError::Malformed)
    }
}
