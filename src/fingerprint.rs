//! Fingerprint of a request: equal only if caller, service, method, path, headers and body are.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::instance::OrganisationName;
use crate::memory::Body;

const FINGERPRINT_BYTES: usize = 16;

/// Limit on the bytes of a body that its fingerprint covers.
pub const MAX_HASHED_BYTES: usize = 64 * 1024;

/// Truncated SHA-256 hash over the parts of a request.
///
/// It is infeasible to construct two different requests with the same fingerprint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Identity of the caller, the same at every node that the request passes through.
    pub caller: &'a str,
    /// Service that is called.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers that may change the response. Their order and the case of their names do not matter.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Complete body.
    pub body: &'a [u8],
}

/// Computes the fingerprint of a request without its service and headers, so that a request repeated
/// at any node has the same fingerprint. Its caller is the organisation whose key it came with, if
/// any: the service at whose node it entered changes with the node. Of a longer body, only the length
/// and the first [`MAX_HASHED_BYTES`] count.
pub fn of_content(
    caller: Option<&OrganisationName>,
    method: &str,
    path: &str,
    body: &Body,
) -> Fingerprint {
    let mut hash = Sha256::new();
    hash_part(&mut hash, caller.map_or("", |c| c.as_str()).as_bytes());
    hash_part(&mut hash, method.as_bytes());
    hash_part(&mut hash, path.as_bytes());
    hash.update((body.len() as u64).to_le_bytes());
    let mut left = MAX_HASHED_BYTES;
    for piece in body.pieces() {
        let hashed = left.min(piece.len());
        hash.update(&piece[..hashed]);
        left -= hashed;
    }
    truncated(hash)
}

fn truncated(hash: Sha256) -> Fingerprint {
    let digest = hash.finalize();
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
    Fingerprint(bytes)
}

impl RequestParts<'_> {
    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        hash_part(&mut hash, self.caller.as_bytes());
        hash_part(&mut hash, self.service.as_bytes());
        hash_part(&mut hash, self.method.as_bytes());
        hash_part(&mut hash, self.path.as_bytes());
        self.hash_headers(&mut hash);
        hash_part(&mut hash, self.body);
        truncated(hash)
    }

    /// Hashes the number of headers, then the headers sorted by lowercase name.
    fn hash_headers(&self, hash: &mut Sha256) {
        let mut headers: Vec<(String, &[u8])> = self
            .headers
            .iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), *value))
            .collect();
        headers.sort_by(|a, b| a.0.cmp(&b.0));
        hash.update((headers.len() as u64).to_le_bytes());
        for (name, value) in headers {
            hash_part(hash, name.as_bytes());
            hash_part(hash, value);
        }
    }
}

/// Hashes the length before the bytes, so that the boundaries between parts are unambiguous.
fn hash_part(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_le_bytes());
    hash.update(bytes);
}
