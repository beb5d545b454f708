//! What an engine answers: text that anyone can compute from artifact, prompt and offset.

use boragecove_core::artifact::Artifact;
use serde::Deserialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of an answer when the request does not say.
const TOKENS_DEFAULT: u64 = 16;
/// Tokens of an answer at most.
const TOKENS_MAX: u64 = 65_536;

/// A request's body, as far as an engine reads it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Body {
    /// The prompt of a completion: a string, or anything else by its JSON text.
    #[serde(default)]
    pub prompt: Option<Value>,
    /// The conversation of a chat completion.
    #[serde(default)]
    pub messages: Option<Value>,
    /// The tokens wanted; the answer has exactly as many.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Whether the answer is to come as it is made.
    #[serde(default)]
    pub stream: bool,
    /// What another engine has answered so far.
    #[serde(default)]
    pub continuation: Option<String>,
}

impl Body {
    /// The prompt as text: a string as it is, anything else as JSON.
    #[must_use]
    pub fn text(&self) -> String {
        match self.prompt.as_ref().or(self.messages.as_ref()) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }

    /// Tokens, and so events, of the whole answer.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.max_tokens.unwrap_or(TOKENS_DEFAULT).min(TOKENS_MAX)
    }
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
