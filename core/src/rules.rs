//! What an operator lays down on top of the inventory: who comes first, what may run where, what weighs more.

use serde::{Deserialize, Serialize};

use crate::name::Name;

/// The operator's rules.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Who may call. Empty: anyone may, as one caller with the defaults.
    pub callers: Vec<Caller>,
    /// Limits on where models may run; a model without a rule may run anywhere its group is.
    pub places: Vec<Place>,
    /// Models that come before others when memory is short.
    pub priorities: Vec<Precedence>,
    /// What placement weighs.
    pub weights: Weights,
}

/// How urgent a request is; the order is the order of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Before everything else.
    Urgent,
    /// Someone waits at the screen for it.
    High,
    /// The default.
    #[default]
    Normal,
    /// Gives way to all others and comes back.
    Deferrable,
}

/// One caller and what it may do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its name in logs and status.
    pub name: Name,
    /// SHA-256 of its bearer token, in lower-case hex.
    pub token_sha256: Name,
    /// The priority of its requests that name none; also the most urgent it may name.
    #[serde(default)]
    pub priority: Priority,
    /// Its share against other callers of the same priority.
    #[serde(default = "one")]
    pub weight: u32,
    /// Requests it may have open at each entry VM; none: only the process's own limit.
    #[serde(default)]
    pub open_limit: Option<u32>,
    /// Models and services it may reach; empty: all.
    #[serde(default)]
    pub reach: Vec<Name>,
}

/// Digits of a SHA-256 in hex.
const DIGEST_DIGITS: usize = 64;

/// Whether a text has the form of a caller's `token_sha256`.
#[must_use]
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

fn one() -> u32 {
    1
}

/// Where a model may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The model's name.
    pub model: Name,
    /// The availability zones that may hold it.
    pub zones: Vec<Name>,
    /// Copies to keep at the least, over all zones.
    #[serde(default = "one")]
    pub copies: u32,
}

/// A model's rank when memory is short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Precedence {
    /// The model's name.
    pub model: Name,
    /// Its priority in placement.
    pub priority: Priority,
}

/// What a placement plan minimises: missed targets times `attainment` plus moves times `moves`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Cost of one missed target.
    pub attainment: f64,
    /// Cost of one load, unload or role change, in missed targets.
    pub moves: f64,
    /// First token target, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the gap between tokens, in milliseconds.
    pub token_gap_ms: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { attainment: 1.0, moves: 5.0, first_token_ms: 1_700, token_gap_ms: 41 }
    }
}
