//! Callers' API keys and their hashes.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};

/// The prefix of a hash in text form.
const HASH_PREFIX: &str = "sha256:";
/// The random bytes of a new key.
const KEY_BYTES: usize = 24;

/// The SHA-256 hash of a caller's key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    ///
    /// ```
    /// use bamboocourse_decide::KeyHash;
    /// let hash = KeyHash::of("bc_example");
    /// assert_eq!(KeyHash::parse(&hash.to_string()), Some(hash));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Parses the form `sha256:HEX`; returns `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(HASH_PREFIX)?;
        let mut bytes = [0; 32];
        hex::decode_to_slice(digits, &mut bytes).ok()?;
        Some(Self(bytes))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{HASH_PREFIX}{}", hex::encode(self.0))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for KeyHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        KeyHash::parse(&text).ok_or_else(|| de::Error::custom("expected sha256:HEX"))
    }
}

/// Creates a new key from random bytes, as `bc_HEX`.
///
/// ```
/// let key = bamboocourse_decide::new_key(&mut rand::rng());
/// assert!(key.starts_with("bc_"));
/// ```
pub fn new_key(rng: &mut impl rand::Rng) -> String {
    let mut bytes = [0; KEY_BYTES];
    rng.fill_bytes(&mut bytes);
    format!("bc_{}", hex::encode(bytes))
}
