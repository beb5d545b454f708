//! Requests of callers.

use serde::{Deserialize, Serialize};

use crate::artifact::Target;
use crate::code::{Code, Outcome};
use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// A request as read by the HTTP edge, without its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id assigned by the edge.
    pub id: id::Request,
    /// SHA-256 of the bearer token in lower-case hex, if there is one.
    pub token_sha256: Option<Name>,
    /// The model or service requested.
    pub subject: Subject,
    /// Whether the request may run more than once, if the caller states it.
    pub idempotent: Option<bool>,
    /// The caller's idempotency key.
    pub key: Option<Name>,
    /// SHA-256 of method, path and body in lower-case hex, if there is a key. A key that was used with
    /// another request is refused.
    pub digest: Name,
    /// The requested priority.
    pub priority: Option<Priority>,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Time,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Size of the body in bytes.
    pub bytes: u64,
    /// Maximum number of tokens requested.
    pub max_tokens: u32,
    /// Number of entry VMs that forwarded it before this one.
    pub hops: u8,
}

/// The model or service that a request names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A completion by a model.
    Model(Target),
    /// A call of a plain service.
    Service(Name),
}

/// Size in bytes of a prompt block, over which one prefix hash is computed.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of prompt blocks that are hashed.
pub const BLOCKS_MAX: usize = 32;

/// Computes chained hashes of the leading complete blocks of a prompt. Each hash covers all bytes up to the
/// end of its block.
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

/// End of a request, as stored under its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// Whether a back end ran the request.
    pub outcome: Outcome,
    /// Result code.
    pub code: Code,
}
