//! What entry VMs say to each other of limits.

use std::time::Duration;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

/// All of a limit, in parts of it.
pub const WHOLE: u32 = 1_000_000;

/// What an entry VM tells the leader: which shares it holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Drawn anew at each start: a share that an earlier process held is void.
    pub process: u64,
    /// The shares.
    pub shares: Vec<Held>,
}

/// A share of a workspace's limit that an entry VM holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// The workspace.
    pub workspace: Name,
    /// Parts of the limit, of [`WHOLE`].
    pub parts: u32,
    /// Units a second that it is asked for.
    pub asked_per_s: f64,
}

/// A share that the leader lets an entry VM hold, until [`super::LEASE`] after it sent the frame that asked for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// The workspace.
    pub workspace: Name,
    /// Parts of the limit, of [`WHOLE`].
    pub parts: u32,
}

/// A question for credit, to an entry VM that holds a share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    /// The workspace.
    pub workspace: Name,
    /// Units that the request counts.
    pub cost: f64,
    /// Units that are wanted beyond that, for the requests to come.
    pub ahead: f64,
    /// Units that callers have asked for here since the last question.
    pub asked: f64,
}

/// The answer. One that does not arrive was spent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Credit {
    /// So many units may be spent: the request's, and some beyond.
    Given(f64),
    /// There is none now, and some for this request after this time.
    Short(Duration),
    /// No share is held there.
    NotHere,
}

impl Credit {
    /// Its name in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Given(_) => "given",
            Self::Short(_) => "short",
            Self::NotHere => "not_here",
        }
    }
}
