//! Identifies a request by what it asks, so that it is known again under another id.

use std::fmt;

use sha2::{Digest, Sha256};

/// The length of a digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// A digest of a request's caller, method, path with its query, prompt and body.
///
/// Requests of two workspaces never share one: nobody can find a request whose digest is that of
/// another caller's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Returns the digest of a request with these `fields`: what it asks for, besides its body.
    ///
    /// ```
    /// use bamboocourse_decide::RequestDigest;
    /// let digest = RequestDigest::new("desk", "GET", &["h", "/a?b"], b"");
    /// assert_eq!(digest, RequestDigest::new("desk", "GET", &["h", "/a?b"], b""));
    /// assert_ne!(digest, RequestDigest::new("bench", "GET", &["h", "/a?b"], b""));
    /// ```
    pub fn new(workspace: &str, method: &str, fields: &[&str], body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        let fields = [workspace, method].into_iter().chain(fields.iter().copied());
        for field in fields.map(str::as_bytes).chain([body]) {
            // Lengths keep fields apart.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Returns a digest that no other request has, for one of which only a hash of its id is known.
    pub fn of_id(id: u64) -> Self {
        Self::new("", "", &[], &id.to_le_bytes())
    }

    /// Reads the bytes of a digest; `None` if their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Reads the hexadecimal form that `Display` writes; `None` if the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        Self::from_bytes(&hex::decode(text).ok()?)
    }

    /// Returns the digest's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
