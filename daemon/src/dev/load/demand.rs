//! A recorded demand: one request a line, with its time.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::dev::Failed;

/// One request of a recorded demand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// When it comes, in milliseconds from the start.
    pub at_ms: u64,
    /// The model, as callers name it.
    pub model: String,
    /// Bytes of its prompt.
    pub prompt_bytes: usize,
    /// Tokens asked for.
    pub max_tokens: u32,
    /// Whether its answer is streamed.
    pub stream: bool,
}

impl Demand {
    /// The request's body. The `n`th of a process has a prompt that no other has.
    pub(super) fn body(&self, n: u64) -> String {
        let mut prompt = format!("{n} ");
        while prompt.len() < self.prompt_bytes {
            prompt.push_str("water the residents and close the blinds; ");
        }
        prompt.truncate(self.prompt_bytes);
        let Self { model, max_tokens, stream, .. } = self;
        serde_json::json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream })
            .to_string()
    }
}

/// Reads a demand, ordered by time.
pub(super) fn read(file: &Path) -> Result<Vec<Demand>, Failed> {
    let text =
        std::fs::read_to_string(file).map_err(|source| Failed::File { file: file.to_owned(), source })?;
    let mut demand = Vec::new();
    for (n, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let request = serde_json::from_str(line).map_err(|source| Failed::Demand {
            file: file.to_owned(),
            line: n + 1,
            source,
        })?;
        demand.push(request);
    }
    demand.sort_by_key(|request: &Demand| request.at_ms);
    Ok(demand)
}
