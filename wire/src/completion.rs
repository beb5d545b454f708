//! The members of completion requests and of their streamed events that this system reads.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::value::RawValue;

/// The members that are read from a request's body. The body is forwarded as received.
#[derive(Clone, Debug, Deserialize)]
pub struct Body<'a> {
    /// The requested model, as `model[:adapter][@version]`.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether the caller wants the answer as a stream.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Text that another engine has already generated for this request; the answer continues after it.
    #[serde(default, borrow)]
    pub continuation: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
}

impl<'a> Body<'a> {
    /// Decodes a body.
    ///
    /// # Errors
    ///
    /// If it is not a JSON object, `model` is missing, or one of these members has an unexpected type.
    pub fn read(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The text that `request::prefix_hashes` covers: the value of `prompt` if it is a string, otherwise the JSON of `prompt` or
    /// `messages` as received.
    #[must_use]
    pub fn prompt(&self) -> Cow<'a, str> {
        let Some(raw) = self.prompt.or(self.messages) else {
            return Cow::Borrowed("");
        };
        serde_json::from_str::<Text<'a>>(raw.get()).map_or(Cow::Borrowed(raw.get()), |text| text.0)
    }
}

#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

/// The members that are read from the data of one streamed event.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
}

#[derive(Clone, Debug, Deserialize)]
struct Choice<'a> {
    #[serde(default, borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    delta: Option<Delta<'a>>,
}

#[derive(Clone, Debug, Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

impl<'a> Chunk<'a> {
    /// Decodes an event's data.
    ///
    /// # Errors
    ///
    /// If it is not JSON of the expected structure.
    pub fn read(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The text that the event appends to the first choice.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice.delta.as_ref().and_then(|delta| delta.content.as_deref());
        choice.text.as_deref().or(delta).unwrap_or_default()
    }
}

/// Name of the member that asks another entry VM or an engine to continue an answer, with the colon before its value.
const CONTINUATION: &[u8] = b"\"continuation\":";

/// Returns the body with `text`, after which the answer is to continue, inserted as its first member.
#[must_use]
pub fn with_continuation(body: &[u8], text: &str) -> Vec<u8> {
    let Some(brace) = body.iter().position(|byte| *byte == b'{') else {
        return body.to_vec();
    };
    let value = serde_json::Value::from(text).to_string();
    let mut extended = Vec::with_capacity(body.len() + CONTINUATION.len() + value.len() + 1);
    extended.extend_from_slice(&body[..=brace]);
    extended.extend_from_slice(CONTINUATION);
    extended.extend_from_slice(value.as_bytes());
    extended.push(b',');
    extended.extend_from_slice(&body[brace + 1..]);
    extended
}
