//! Frames between entry VMs: a version byte, a proof of the shared secret, and the packed content.

use boragecove_core::peer;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The version this build writes. It reads this one only; see the operators' page on upgrades.
pub const VERSION: u8 = 1;
/// Bytes of the proof.
const PROOF_BYTES: usize = 32;
/// Bytes before the packed content.
const HEAD_BYTES: usize = 1 + PROOF_BYTES;

/// A frame that was not taken.
#[derive(Debug, Error)]
pub enum Rejected {
    /// Shorter than any frame.
    #[error("a frame of {0} bytes is too short")]
    Short(usize),
    /// A version this build does not read.
    #[error("a frame of version {found}; this build reads version {VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The sender does not know the shared secret.
    #[error("a frame whose proof does not fit the shared secret")]
    Proof,
    /// The content could not be unpacked.
    #[error("a frame that could not be unpacked: {0}")]
    Content(#[from] rmp_serde::decode::Error),
}

/// Packs a frame.
///
/// # Errors
///
/// If the content cannot be packed, which no frame of this build does.
pub fn encode(frame: &peer::Frame, secret: &[u8]) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let content = rmp_serde::to_vec(frame)?;
    let mut bytes = Vec::with_capacity(HEAD_BYTES + content.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&mac(&content, secret).finalize().into_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Unpacks a frame whose sender knows the shared secret.
///
/// # Errors
///
/// If the frame is of another version, its proof does not fit, or it cannot be unpacked.
pub fn decode(bytes: &[u8], secret: &[u8]) -> Result<peer::Frame, Rejected> {
    if bytes.len() < HEAD_BYTES {
        return Err(Rejected::Short(bytes.len()));
    }
    if bytes[0] != VERSION {
        return Err(Rejected::Version { found: bytes[0] });
    }
    let (proof, content) = bytes[1..].split_at(PROOF_BYTES);
    mac(content, secret).verify_slice(proof).map_err(|_mismatch| Rejected::Proof)?;
    Ok(rmp_serde::from_slice(content)?)
}

fn mac(content: &[u8], secret: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(secret).unwrap_or_else(|_any_length_fits| unreachable!());
    mac.update(&[VERSION]);
    mac.update(content);
    mac
}
