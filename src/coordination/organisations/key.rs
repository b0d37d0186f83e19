//! API keys, which are kept only as hashes.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Length of a hash, in bytes.
const HASH_BYTES: usize = 16;

/// Prefix of the hashed text, so that the hash of a key is of no use to another program.
const DOMAIN: &[u8] = b"dragonflylead api key\0";

/// Scheme of the `Authorization` header.
const SCHEME: &str = "Bearer";

/// Truncated SHA-256 hash of an API key. Keys are random, so that the hash does not reveal them.
/// Neither is ever printed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ApiKeyHash([u8; HASH_BYTES]);

impl ApiKeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> ApiKeyHash {
        let mut hash = Sha256::new();
        hash.update(DOMAIN);
        hash.update(key.as_bytes());
        let digest = hash.finalize();
        let mut bytes = [0; HASH_BYTES];
        bytes.copy_from_slice(&digest[..HASH_BYTES]);
        ApiKeyHash(bytes)
    }

    /// Hashes the key in the values of the `Authorization` headers of a request. Returns nothing
    /// unless there is exactly one, and it has a key.
    pub fn of_headers<'a, I>(mut values: I) -> Option<ApiKeyHash>
    where
        I: Iterator<Item = &'a [u8]>,
    {
        let value = std::str::from_utf8(values.next()?).ok()?;
        if values.next().is_some() {
            return None;
        }
        let (scheme, key) = value.trim().split_once(' ')?;
        let key = key.trim();
        let valid = scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty();
        valid.then(|| ApiKeyHash::of(key))
    }
}

impl fmt::Debug for ApiKeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyHash(..)")
    }
}
