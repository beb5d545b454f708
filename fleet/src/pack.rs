//! The compact form of what is large, for the way between entry VMs: encoded and deflated.

use std::io::{self, Read as _, Write as _};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes in memory at most, whatever a packed form claims: a hundred thousand routes.
const UNPACKED_MAX: u64 = 32 << 20;

/// Why something cannot be packed or unpacked.
#[derive(Debug, Error)]
pub enum Error {
    /// It cannot be encoded.
    #[error("cannot encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// It cannot be decoded.
    #[error("cannot decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// It cannot be deflated or inflated.
    #[error("cannot compress: {0}")]
    Compress(#[from] io::Error),
}

/// The compact form.
///
/// # Errors
///
/// If it cannot be encoded.
pub fn pack(content: &impl Serialize) -> Result<Bytes, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&rmp_serde::to_vec(content)?)?;
    Ok(encoder.finish()?.into())
}

/// What the compact form holds.
///
/// # Errors
///
/// If it cannot be decoded, or is too large.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, Error> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_MAX).read_to_end(&mut bytes)?;
    Ok(rmp_serde::from_slice(&bytes)?)
}
