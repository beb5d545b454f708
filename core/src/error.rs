//! Errors of this package's own parsing.

use thiserror::Error;

/// A text that does not have the form its type asks for.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("'{text}' is no {kind}")]
pub struct Malformed {
    /// The type that was asked for.
    pub kind: &'static str,
    /// The text as given.
    pub text: String,
}

impl Malformed {
    pub(crate) fn new(kind: &'static str, text: &str) -> Self {
        Self { kind, text: text.to_owned() }
    }
}
