//! The signed header that carries a call context from one node to another.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

use crate::call::CallContext;
use crate::instance::Incarnation;
use crate::instance::InstanceName;

/// Version of the hop header.
pub const HOP_VERSION: u8 = 1;

/// What one node tells another with a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// Version of this message.
    pub version: u8,
    /// Instance whose node sends the call.
    pub from: InstanceName,
    /// Instance whose node the call is meant for.
    pub to: InstanceName,
    /// Incarnation of the sending node.
    pub incarnation: Incarnation,
    /// Number of this attempt, unique in the sending incarnation.
    pub attempt: u64,
    /// Context of the call.
    pub context: CallContext,
}

/// Why a hop header was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HopError {
    /// The header is not of the form `signature.json`.
    #[error("hop header is malformed")]
    Malformed,
    /// The signature does not match any accepted key.
    #[error("hop header has a wrong signature")]
    BadSignature,
    /// The header is of another version.
    #[error("hop header has version {0}, this node understands {HOP_VERSION}")]
    Version(u8),
}

/// Keys that the nodes of a fleet share. The first signs, all are accepted.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Hmac<Sha256>>,
}

impl Keyring {
    /// Builds a keyring from the current key and, during a rotation, the previous one.
    pub fn new(current: &str, previous: Option<&str>) -> Keyring {
        let keys = std::iter::once(current)
            .chain(previous)
            .map(|key| {
                Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key length")
            })
            .collect();
        Keyring { keys }
    }

    /// Encodes and signs a hop.
    pub fn sign(&self, hop: &Hop) -> String {
        let json = serde_json::to_string(hop).expect("a hop is always representable");
        format!("{}.{json}", self.signature(&json))
    }

    /// Returns the signature of a text, in hexadecimal.
    pub fn signature(&self, text: &str) -> String {
        let mut mac = self.keys[0].clone();
        mac.update(text.as_bytes());
        hex(&mac.finalize().into_bytes())
    }

    /// Returns whether `signature` is that of a text by any accepted key.
    pub fn is_valid_signature(&self, text: &str, signature: &str) -> bool {
        let Some(signature) = unhex(signature) else {
            return false;
        };
        self.keys.iter().any(|key| {
            let mut mac = key.clone();
            mac.update(text.as_bytes());
            mac.verify_slice(&signature).is_ok()
        })
    }

    /// Decodes a hop and checks its signature.
    pub fn verify(&self, text: &str) -> Result<Hop, HopError> {
        let (signature, json) = text.split_once('.').ok_or(HopError::Malformed)?;
        if unhex(signature).is_none() {
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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok())
        .collect()
}
