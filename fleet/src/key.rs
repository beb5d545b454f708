//! Digests of callers' keys. Only digests are stored: they distinguish keys without revealing them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Length of a digest in bytes, enough that no two of billions of keys collide.
const BYTES: usize = 16;

/// A digest of a key. It is unkeyed, so that it is the same in all processes and after a restart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Truncates a cryptographic hash of a key to the length of a digest.
    #[must_use]
    pub fn from_hash(hash: [u8; 32]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for Digest {
    /// Omits the digest, so that logs contain nothing that helps to guess a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}
