//! Messages between entry VMs about workspace limits.

use std::time::Duration;

use boragecove_core::name::Name;
use serde::{Deserialize, Serialize};

/// A whole limit, in the unit in which shares are counted.
pub const WHOLE: u32 = 1_000_000;

/// Shares that an entry VM holds, as reported to the hub.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Random number drawn at each start: shares of an earlier process are void.
    pub process: u64,
    /// One entry per workspace.
    pub shares: Vec<HeldShare>,
}

/// A share of a workspace's limit that an entry VM holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldShare {
    /// The workspace.
    pub workspace: Name,
    /// The share, in parts of [`WHOLE`].
    pub parts: u32,
    /// Demand at this holder, in units per second.
    pub demand_per_s: f64,
}

/// A share that an entry VM may hold until [`super::LEASE`] after it sent the frame that this answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// The workspace.
    pub workspace: Name,
    /// The share, in parts of [`WHOLE`].
    pub parts: u32,
}

/// Draw of credit from an entry VM that holds a share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    /// The workspace.
    pub workspace: Name,
    /// Units needed for the request.
    pub cost: f64,
    /// Additional units wanted for later requests.
    pub prefetch: f64,
    /// Units requested by callers since the last draw.
    pub demand: f64,
}

/// Answer to a [`Draw`]. The holder counts granted credit as spent even if this answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Credit {
    /// Units that may be spent: those for the request, and possibly more for later ones.
    #[serde(rename = "Given")]
    Granted(f64),
    /// Not enough credit now; enough for this request after this time.
    #[serde(rename = "Short")]
    Insufficient(Duration),
    /// The receiver holds no share of the limit.
    #[serde(rename = "NotHere")]
    NotHolder,
}

impl Credit {
    /// Label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Granted(_) => "given",
            Self::Insufficient(_) => "short",
            Self::NotHolder => "not_here",
        }
    }
}
