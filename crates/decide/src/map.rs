//! Hash collections with a fast hasher.

/// A hash map with a fast, unkeyed hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// A hash set with a fast, unkeyed hasher.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;

use std::hash::{Hash, Hasher};

/// Hashes a value with the fast hasher.
///
/// ```
/// use bamboocourse_decide::hash_of;
/// assert_eq!(hash_of(&"a"), hash_of(&"a"));
/// ```
pub fn hash_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Scores a member for a key in rendezvous hashing; the member with the largest score wins.
///
/// ```
/// use bamboocourse_decide::rendezvous_score;
/// assert_ne!(rendezvous_score("key", "a"), rendezvous_score("key", "b"));
/// ```
pub fn rendezvous_score(key: &str, member: &str) -> u64 {
    // The multiplicative hasher alone gives similar names similar scores.
    mix(hash_of(&(key, member)))
}

/// Mixes the bits of a hash with the finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
