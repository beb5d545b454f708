//! Parse errors.

use thiserror::Error;

/// A text that cannot be parsed as the requested type.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{text}' is not a valid {kind}")]
pub struct Malformed {
    /// Name of the requested type.
    pub kind: &'static str,
    /// The text that was parsed.
    pub text: String,
}

impl Malformed {
    pub(crate) fn new(kind: &'static str, text: &str) -> Self {
        Self { kind, text: text.to_owned() }
    }
}
