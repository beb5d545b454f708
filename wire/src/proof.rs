//! Proof that a request from another entry VM was sent by a holder of the shared secret: an HMAC of the attempt's id.

use std::fmt::Write as _;

use boragecove_core::id;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Returns the proof for an attempt, as lower-case hex.
#[must_use]
pub fn sign(attempt: id::Attempt, secret: &[u8]) -> String {
    let mut text = String::new();
    for byte in mac(attempt, secret).finalize().into_bytes() {
        let _infallible = write!(text, "{byte:02x}");
    }
    text
}

/// Whether a proof is valid for an attempt.
#[must_use]
pub fn verify(attempt: id::Attempt, secret: &[u8], proof: &str) -> bool {
    let Some(bytes) = decode_hex(proof) else {
        return false;
    };
    mac(attempt, secret).verify_slice(&bytes).is_ok()
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

fn mac(attempt: id::Attempt, secret: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(secret).unwrap_or_else(|_any_length_fits| unreachable!());
    mac.update(attempt.to_string().as_bytes());
    mac
}
