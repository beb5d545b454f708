//! What an engine answers: text that anyone can compute from artifact, prompt and offset.

use boragecove_core::artifact::Artifact;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of an answer when the request does not say.
const TOKENS_DEFAULT: u64 = 16;
/// Tokens of an answer at most.
const TOKENS_MAX: u64 = 65_536;

/// Events of the answer to a request for at most `max_tokens`: exactly as many, if it says so.
#[must_use]
pub fn length(max_tokens: Option<u32>) -> u64 {
    max_tokens.map_or(TOKENS_DEFAULT, u64::from).min(TOKENS_MAX)
}

/// An answer that can be computed at any offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    length: u64,
}

impl Answer {
    /// The answer that every engine gives to a prompt on an artifact.
    #[must_use]
    pub fn new(artifact: &Artifact, prompt: &str, length: u64) -> Self {
        let seed = xxh3_64_with_seed(artifact.to_string().as_bytes(), 0);
        Self { seed: xxh3_64_with_seed(prompt.as_bytes(), seed), length }
    }

    /// Its number of events.
    #[must_use]
    pub const fn length(&self) -> u64 {
        self.length
    }

    /// The text of one event.
    #[must_use]
    pub fn piece(&self, offset: u64) -> String {
        let hash = xxh3_64_with_seed(&offset.to_le_bytes(), self.seed);
        format!("{:05x} ", hash & 0xf_ffff)
    }

    /// The text of all events before `offset`.
    #[must_use]
    pub fn until(&self, offset: u64) -> String {
        (0..offset.min(self.length)).map(|offset| self.piece(offset)).collect()
    }

    /// The whole text.
    #[must_use]
    pub fn text(&self) -> String {
        self.until(self.length)
    }
}
