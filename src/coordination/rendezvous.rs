//! Rendezvous hashing: every node computes the same order of the nodes for a key, without messages.

use std::hash::Hash;

use xxhash_rust::xxh3::Xxh3Builder;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the number under which a node with this address is hashed. `seed` sets apart the uses.
pub fn node_key<T>(address: T, seed: u64) -> u64
where
    T: Hash,
{
    let mut hasher = Xxh3Builder::new().with_seed(seed).build();
    address.hash(&mut hasher);
    hasher.digest()
}

/// Returns the weight of a node for `key`. The node with the highest weight is the first.
pub fn weight(key: &[u8], node_key: u64, seed: u64) -> u64 {
    let key = xxh3_64_with_seed(key, seed);
    xxh3_64_with_seed(&node_key.to_le_bytes(), key)
}
