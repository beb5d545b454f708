//! Keys of callers, as this system keeps them: digests, which tell two keys apart and give none away.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a digest: two of billions of keys do not have the same one.
const BYTES: usize = 16;

/// A digest of a key. It needs no secret of its own, so that it is the same in all processes and after a restart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Takes a cryptographic hash of a key; what is longer than a digest is left out.
    #[must_use]
    pub fn from_hash(hash: [u8; 32]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for Digest {
    /// Writes nothing of it: whoever reads logs is to learn nothing that helps to guess a key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}
