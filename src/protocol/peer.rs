//! Messages between the nodes of a fleet: versioned, addressed and signed.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::coordination::control;
use crate::coordination::control::PeerId;
use crate::coordination::poison::CrashReport;
use crate::instance::InstanceName;
use crate::protocol::hop::Keyring;

/// Version of the messages that this node sends.
pub const PEER_VERSION: u16 = 1;

/// Oldest version that this node understands.
pub const OLDEST_PEER_VERSION: u16 = 1;

/// Most idempotency tokens that are asked for at once.
pub const MAX_TOKENS_PER_REQUEST: u16 = 64;

/// What one node asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerRequest {
    /// Configuration and membership.
    Control(control::Request),
    /// A target crashed while it ran a request.
    Crash(CrashReport),
    /// Nobody waits any more for the attempt of the sender that has this number.
    Cancel(u64),
    /// Shows that the receiver can be reached, and is still the one that is meant.
    Ping,
    /// Issue idempotency tokens, at most [`MAX_TOKENS_PER_REQUEST`].
    Mint(u16),
}

/// What the other node answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerReply {
    /// Configuration and membership.
    Control(control::Reply),
    /// Taken.
    Done,
    /// Idempotency tokens in their text form.
    Tokens(Vec<String>),
}

/// What every message carries, whatever its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    version: u16,
    from: PeerId,
    to: Option<InstanceName>,
    sequence: u64,
}

/// A message with its head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<B> {
    /// Version of the message.
    pub version: u16,
    /// Sender.
    pub from: PeerId,
    /// Receiver, if the sender knows its name.
    pub to: Option<InstanceName>,
    /// Number that the asker chose; the answer repeats it.
    pub sequence: u64,
    /// The message itself.
    pub body: B,
}

/// Why a message was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum EnvelopeError {
    /// It is not a message.
    #[error("message is malformed")]
    Malformed,
    /// The signature does not match any accepted key.
    #[error("message has a wrong signature")]
    #[serde(rename = "forged")]
    BadSignature,
    /// It is of a version that the receiver does not understand.
    #[error("message has version {theirs}, the receiver understands {oldest} to {newest}")]
    Version {
        /// Version of the message.
        theirs: u16,
        /// Oldest version that the receiver understands.
        oldest: u16,
        /// Newest version that the receiver understands.
        newest: u16,
    },
    /// It is meant for another instance, which had this address before.
    #[error("message is meant for {0}")]
    OtherInstance(InstanceName),
    /// It answers another question.
    #[error("answer does not belong to the question")]
    #[serde(rename = "other-question")]
    SequenceMismatch,
}

impl<B> Envelope<B>
where
    B: Serialize + DeserializeOwned,
{
    /// Builds a message of the current version.
    pub fn new(from: PeerId, to: Option<InstanceName>, sequence: u64, body: B) -> Envelope<B> {
        Envelope {
            version: PEER_VERSION,
            from,
            to,
            sequence,
            body,
        }
    }

    /// Encodes the message. Returns its text and signature.
    pub fn sign(&self, keys: &Keyring) -> (String, String) {
        let text = serde_json::to_string(self).expect("a message is always representable");
        let signature = keys.signature(&text);
        (text, signature)
    }

    /// Checks and decodes a message that was sent to `me`.
    pub fn verify(
        text: &str,
        signature: &str,
        keys: &Keyring,
        me: &InstanceName,
    ) -> Result<Envelope<B>, EnvelopeError> {
        if !keys.is_valid_signature(text, signature) {
            return Err(EnvelopeError::BadSignature);
        }
        let head: Head = serde_json::from_str(text).map_err(|_| EnvelopeError::Malformed)?;
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
