//! Fingerprint of a request: equal only if caller, method, path, headers and body are.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

const FINGERPRINT_BYTES: usize = 16;

/// Identifies what a request asks for. No two different requests can be made to share one.
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
    /// Identity of the caller, the same whichever node the request came through.
    pub caller: &'a str,
    /// Service that is called.
    pub service: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers that may change the answer, in any order and case.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Whole body.
    pub body: &'a [u8],
}

/// Identifies what is asked for, whoever asks: the same when a caller asks again at any node.
pub fn of_content(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let parts = RequestParts {
        caller: "",
        service: "",
        method,
        path,
        headers: &[],
        body,
    };
    parts.fingerprint()
}

impl RequestParts<'_> {
    /// Computes the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        part(&mut hash, self.caller.as_bytes());
        part(&mut hash, self.service.as_bytes());
        part(&mut hash, self.method.as_bytes());
        part(&mut hash, self.path.as_bytes());
        self.add_headers(&mut hash);
        part(&mut hash, self.body);
        let digest = hash.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Fingerprint(bytes)
    }

    fn add_headers(&self, hash: &mut Sha256) {
        let mut headers: Vec<(String, &[u8])> = self
            .headers
            .iter()
            .map(|(name, value)| (name.to_ascii_lowercase(), *value))
            .collect();
        headers.sort_by(|a, b| a.0.cmp(&b.0));
        hash.update((headers.len() as u64).to_le_bytes());
        for (name, value) in headers {
            part(hash, name.as_bytes());
            part(hash, value);
        }
    }
}

/// Hashes the length before the bytes, so that no part can run over into the next.
fn part(hash: &mut Sha256, bytes: &[u8]) {
    hash.update((bytes.len() as u64).to_le_bytes());
    hash.update(bytes);
}
