//! Signed header that carries the call context from one node to another.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::call::CallContext;
use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Version of the hop header format.
pub const HOP_VERSION: u8 = 1;

/// Content of the `dfl-hop` header, which a node sends to another with each call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// Format version, [`HOP_VERSION`].
    pub version: u8,
    /// Instance whose node sends the call.
    pub from: InstanceName,
    /// Instance whose node is to receive the call.
    pub to: InstanceName,
    /// Incarnation of the sending node.
    pub incarnation: Incarnation,
    /// Number of this attempt, unique within the incarnation of the sending node.
    pub attempt: u64,
    /// Context of the call.
    pub context: CallContext,
}

/// Reason for which a hop header is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// The header is not of the form `signature.json`.
    #[error("hop header is malformed")]
    Malformed,
    /// The signature matches none of the accepted keys.
    #[error("hop header has a wrong signature")]
    BadSignature,
    /// The header has an unsupported version.
    #[error("hop header has version {0}, this node supports {HOP_VERSION}")]
    Version(u8),
}

/// HMAC keys shared by the nodes of a fleet. The first key signs; signatures by any key are
/// accepted.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Hmac<Sha256>>,
}

impl Keyring {
    /// Creates a keyring from the current key and, during key rotation, the previous one.
    pub fn new(current: &str, previous: Option<&str>) -> Keyring {
        let keys = std::iter::once(current)
            .chain(previous)
            .map(|key| {
                Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key length")
            })
            .collect();
        Keyring { keys }
    }

    /// Encodes and signs a hop. Returns the header value, `signature.json`.
    pub fn sign(&self, hop: &Hop) -> String {
        let json = serde_json::to_string(hop).expect("a hop always serializes to JSON");
        format!("{}.{json}", self.signature(&json))
    }

    /// Returns the hexadecimal signature of `text` by the current key.
    pub fn signature(&self, text: &str) -> String {
        let mut mac = self.keys[0].clone();
        mac.update(text.as_bytes());
        encode_hex(&mac.finalize().into_bytes())
    }

    /// Returns whether `signature` is a valid signature of `text` by any accepted key.
    pub fn is_valid_signature(&self, text: &str, signature: &str) -> bool {
        let Some(signature) = decode_hex(signature) else {
            return false;
        };
        self.keys.iter().any(|key| {
            let mut mac = key.clone();
            mac.update(text.as_bytes());
            mac.verify_slice(&signature).is_ok()
        })
    }

    /// Checks the signature of a header value and decodes it.
    ///
    /// # Errors
    ///
    /// If the text is malformed, its signature is wrong, or its version is not [`HOP_VERSION`].
    pub fn verify(&self, text: &str) -> Result<Hop, HopError> {
        let (signature, json) = text.split_once('.').ok_or(HopError::Malformed)?;
        if decode_hex(signature).is_none() {
            return Err(HopError::Malformed);
        }
        if !self.is_valid_signature(json, signature) {
            return Err(HopError::BadSignature);
        }
        let hop: Hop = serde_json::from_str(json).map_err(|_| HopError::Malformed)?;
        if hop.version != HOP_VERSION {
            return Err(HopError::Version(hop.version));
        }
        Ok(hop)
    }
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keyring")
            .field("keys", &self.keys.len())
            .finish()
    }
}

/// Encodes bytes as lower-case hexadecimal digits.
fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hexadecimal digits. Returns `None` if the text is malformed.
fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
