//! Rules declared by operators for the inventory: callers, allowed zones, priorities and placement weights.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The operator's rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The allowed callers. If empty, anyone may send requests, as one caller with the default settings.
    pub callers: Vec<Caller>,
    /// Zones in which models may run; a model without a rule may run wherever its group has engines.
    pub places: Vec<Place>,
    /// Ranks of models when memory is short.
    pub priorities: Vec<Precedence>,
    /// Weights of placement.
    pub weights: Weights,
}

/// Priority of a request. Variants are in the order of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served before all others.
    Urgent,
    /// For interactive use.
    High,
    /// The default.
    #[default]
    Normal,
    /// Served after all others.
    Deferrable,
}

/// A caller with its permissions and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its name in logs and answers to operators.
    pub name: Name,
    /// SHA-256 of its bearer token, in lower-case hex.
    pub token_sha256: Name,
    /// The default priority of its requests, and the most urgent one that it may request.
    #[serde(default)]
    pub priority: Priority,
    /// Its relative share among callers of the same priority.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum number of its open requests at each entry VM; none: the process's default limit.
    #[serde(default)]
    pub open_limit: Option<u32>,
    /// Models and services that it may use; empty: all.
    #[serde(default)]
    pub reach: Vec<Name>,
}

/// Number of hex digits of a SHA-256.
const DIGEST_DIGITS: usize = 64;

/// Whether `text` is a valid `token_sha256` of a caller.
#[must_use]
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn one() -> u32 {
    1
}

/// The zones in which a model may run, and its minimum number of copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The model's name.
    pub model: Name,
    /// The availability zones that may hold it.
    pub zones: Vec<Name>,
    /// Minimum number of copies over all zones.
    #[serde(default = "one")]
    pub copies: u32,
}

/// The rank of a model when memory is short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Precedence {
    /// The model's name.
    pub model: Name,
    /// Its priority in placement.
    pub priority: Priority,
}

/// Weights of the cost that a placement plan minimises: missed targets times `attainment` plus moves times
/// `moves`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Cost of one missed target.
    pub attainment: f64,
    /// Cost of one load, unload or role change, in missed targets.
    pub moves: f64,
    /// Target for the time to the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    pub token_gap_ms: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { attainment: 1.0, moves: 5.0, first_token_ms: 1_700, token_gap_ms: 41 }
    }
}
