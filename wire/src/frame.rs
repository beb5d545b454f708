//! Encoding of frames between entry VMs: a version byte, an HMAC under the shared secret, and the content as `MessagePack`.
//!
//! New kinds of items may be added within a version: readers skip kinds that they do not know. Any other change of the layout needs a
//! new version. A build reads its own version and the previous one, and writes the previous one to peers that refuse the newer, so that
//! entry VMs can be replaced one by one.

use boragecove_core::id::Incarnation;
use boragecove_core::name::Name;
use boragecove_core::peer;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::net::SocketAddr;
use thiserror::Error;

mod previous;

/// The version that this build writes to peers that can read it.
pub const VERSION: u8 = 2;
/// The oldest version that this build reads, and that it writes to peers that cannot read the newer one.
pub const PREVIOUS: u8 = VERSION - 1;
/// Size of the HMAC in bytes.
const PROOF_BYTES: usize = 32;
/// Number of bytes before the content.
const HEAD_BYTES: usize = 1 + PROOF_BYTES;
/// Size of the length that precedes each part of the content, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a frame cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is shorter than any frame, or ends within a part.
    #[error("{0} bytes are too short for a frame or a part of one")]
    TooShort(usize),
    /// This build does not read its version.
    #[error("unsupported frame version {found}; this build reads versions {PREVIOUS} and {VERSION}")]
    UnsupportedVersion {
        /// The version of the frame.
        found: u8,
    },
    /// The HMAC is wrong: the sender does not know the shared secret, or the frame was changed.
    #[error("the frame's HMAC does not match the shared secret")]
    InvalidProof,
    /// The content cannot be decoded.
    #[error("cannot decode the frame's content: {0}")]
    InvalidContent(#[from] rmp_serde::decode::Error),
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoded {
    /// The frame.
    pub frame: peer::Frame,
    /// The version that it was encoded in, which its sender can read as well.
    pub version: u8,
    /// Number of items that were skipped because this build does not know their kind.
    pub skipped: usize,
}

/// The first part of the content: all of a frame but its items.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    from: Name,
    zone: Name,
    incarnation: Incarnation,
    seq: u64,
    address: Option<SocketAddr>,
    config: u64,
    stopping: bool,
}

/// Encodes a frame for a peer that reads `version`. Any version but this build's is treated as the previous one.
///
/// # Errors
///
/// If the content cannot be encoded, which does not happen for frames that this build creates.
pub fn encode(frame: &peer::Frame, secret: &[u8], version: u8) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let (version, content) = if version == VERSION {
        (VERSION, pack(frame)?)
    } else {
        (PREVIOUS, rmp_serde::to_vec(&previous::Frame::from(frame))?)
    };
    let mut bytes = Vec::with_capacity(HEAD_BYTES + content.len());
    bytes.push(version);
    bytes.extend_from_slice(&mac(version, &content, secret).finalize().into_bytes());
    bytes.extend_from_slice(&content);
    Ok(bytes)
}

/// Decodes a frame after checking that its sender knows the shared secret.
///
/// # Errors
///
/// If the frame is too short or of an unsupported version, its HMAC is wrong or its content is invalid.
pub fn decode(bytes: &[u8], secret: &[u8]) -> Result<Decoded, DecodeError> {
    if bytes.len() < HEAD_BYTES {
        return Err(DecodeError::TooShort(bytes.len()));
    }
    let version = bytes[0];
    if version != VERSION && version != PREVIOUS {
        return Err(DecodeError::UnsupportedVersion { found: version });
    }
    let (proof, content) = bytes[1..].split_at(PROOF_BYTES);
    mac(version, content, secret).verify_slice(proof).map_err(|_mismatch| DecodeError::InvalidProof)?;
    if version == PREVIOUS {
        let frame: previous::Frame = rmp_serde::from_slice(content)?;
        return Ok(Decoded { frame: frame.into(), version, skipped: 0 });
    }
    let (frame, skipped) = unpack(content)?;
    Ok(Decoded { frame, version, skipped })
}

fn pack(frame: &peer::Frame) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let head = Head {
        from: frame.from.clone(),
        zone: frame.zone.clone(),
        incarnation: frame.incarnation,
        seq: frame.seq,
        address: frame.address,
        config: frame.config,
        stopping: frame.stopping,
    };
    let mut content = Vec::new();
    append_part(&mut content, &rmp_serde::to_vec(&head)?);
    for item in &frame.items {
        append_part(&mut content, &rmp_serde::to_vec(item)?);
    }
    Ok(content)
}

fn append_part(content: &mut Vec<u8>, part: &[u8]) {
    content.extend_from_slice(&(part.len() as u32).to_be_bytes());
    content.extend_from_slice(part);
}

/// Removes the next part, with its length, from the front of the content and returns it; none at the end.
fn take_part<'a>(content: &mut &'a [u8]) -> Result<Option<&'a [u8]>, DecodeError> {
    if content.is_empty() {
        return Ok(None);
    }
    let (length, rest) =
        content.split_first_chunk::<LENGTH_BYTES>().ok_or(DecodeError::TooShort(content.len()))?;
    let length = u32::from_be_bytes(*length) as usize;
    let (part, rest) = rest.split_at_checked(length).ok_or(DecodeError::TooShort(rest.len()))?;
    *content = rest;
    Ok(Some(part))
}

fn unpack(mut content: &[u8]) -> Result<(peer::Frame, usize), DecodeError> {
    let head: Head = rmp_serde::from_slice(take_part(&mut content)?.unwrap_or_default())?;
    let mut items = Vec::new();
    let mut skipped = 0;
    while let Some(item) = take_part(&mut content)? {
        match rmp_serde::from_slice(item) {
            Ok(item) => items.push(item),
            Err(_unknown) => skipped += 1,
        }
    }
    let frame = peer::Frame {
        from: head.from,
        zone: head.zone,
        incarnation: head.incarnation,
        seq: head.seq,
        address: head.address,
        config: head.config,
        stopping: head.stopping,
        items,
    };
    Ok((frame, skipped))
}

fn mac(version: u8, content: &[u8], secret: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(secret).unwrap_or_else(|_any_length_fits| unreachable!());
    mac.update(&[version]);
    mac.update(content);
    mac
}
