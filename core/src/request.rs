//! A caller's request and how it ends.

use serde::{Deserialize, Serialize};

use crate::artifact::Target;
use crate::code::{Code, Outcome};
use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// A request as the callers' edge read it, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The id the edge drew for it.
    pub id: id::Request,
    /// SHA-256 of the bearer token, in lower-case hex, if one came.
    pub token_sha256: Option<Name>,
    /// What it asks for.
    pub subject: Subject,
    /// The caller's word on whether it may run more than once.
    pub idempotent: Option<bool>,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// SHA-256 of method, path and body, in lower-case hex, if there is a key: a key repeated with another
    /// request is refused.
    pub digest: Name,
    /// The priority asked for.
    pub priority: Option<Priority>,
    /// When an answer is of no more use to the caller.
    pub deadline: Time,
    /// Whether the answer is to be passed on as it comes.
    pub stream: bool,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Bytes of the body.
    pub bytes: u64,
    /// Tokens asked for at most.
    pub max_tokens: u32,
    /// How many entry VMs it passed before this one.
    pub hops: u8,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A completion by a model.
    Model(Target),
    /// A call of a plain service.
    Service(Name),
}

/// A prompt block, in bytes, over which one prefix hash is taken.
pub const BLOCK_BYTES: usize = 256;
/// Prompt blocks that are hashed at most.
pub const BLOCKS_MAX: usize = 32;

/// The chained hashes of a prompt's leading whole blocks: each covers all bytes up to its end.
#[must_use]
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(BLOCKS_MAX)
        .map(|block| {
            hash = xxhash_rust::xxh3::xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// What is kept of a finished request under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// How it ended.
    pub outcome: Outcome,
    /// The result code.
    pub code: Code,
}
