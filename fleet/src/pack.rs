//! Packing of large data for the transfer between entry VMs: `MessagePack`, compressed with DEFLATE.

use std::io::{self, Read as _, Write as _};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size of unpacked data, whatever the packed data claim: enough for a hundred thousand routes.
const UNPACKED_MAX: u64 = 32 << 20;

/// Why data can't be packed or unpacked.
#[derive(Debug, Error)]
pub enum Error {
    /// Encoding failed.
    #[error("cannot encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// Decoding failed.
    #[error("cannot decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// Compression or decompression failed.
    #[error("cannot compress: {0}")]
    Compress(#[from] io::Error),
}

/// Encodes and compresses `content`.
///
/// # Errors
///
/// If it can't be encoded.
pub fn pack(content: &impl Serialize) -> Result<Bytes, Error> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&rmp_serde::to_vec(content)?)?;
    Ok(encoder.finish()?.into())
}

/// Decompresses and decodes packed data.
///
/// # Errors
///
/// If it can't be decoded, or is too large.
pub fn unpack<T: DeserializeOwned>(packed: &[u8]) -> Result<T, Error> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(UNPACKED_MAX).read_to_end(&mut bytes)?;
    Ok(rmp_serde::from_slice(&bytes)?)
}
