//! What passes between the system and a model engine besides requests: orders, reports and cache events.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::id;
use crate::name::Name;

/// A fencing number: the version of the lease under which an order was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// An order to an engine. Repeating it has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its id; the engine knows a repeated order by it.
    pub id: id::Order,
    /// The fencing number it was made under.
    pub fence: Fence,
    /// The engine's incarnation that it is meant for; another refuses it.
    pub meant_for: id::Incarnation,
    /// What to do.
    pub action: Action,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Load an artifact into accelerator memory.
    Load {
        /// What to load.
        artifact: Artifact,
        /// The memory it will take, in MB.
        memory_mb: u64,
    },
    /// Drop an artifact from accelerator memory. Refused while requests run on it.
    Unload {
        /// What to drop.
        artifact: Artifact,
    },
    /// Take another role.
    Role {
        /// The role to take.
        role: Role,
    },
    /// Nothing but the fencing number: a checking engine refuses lower ones from then on.
    Raise,
}

/// Which part of a request an engine works on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Both parts.
    #[default]
    Both,
    /// The prompt only; the KV cache is handed on.
    Prefill,
    /// The tokens only, from an imported KV cache.
    Decode,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Both => "both",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Receipt {
    /// Taken, now or when it was first sent; its end shows in a report.
    Taken,
    /// Refused: the fencing number is older than one already seen.
    Stale {
        /// The highest fencing number seen.
        seen: Fence,
    },
    /// Refused: the engine has restarted since.
    Restarted,
    /// Refused: it would not fit.
    Full {
        /// Memory that is free, in MB.
        free_mb: u64,
    },
    /// Refused: requests still run on the artifact.
    Busy,
    /// Refused: not understood, or the artifact is not there.
    Invalid,
}

/// What an engine says of itself. Reports come with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine's VM name.
    pub engine: Name,
    /// Drawn anew at each start of the engine, which starts empty.
    pub incarnation: id::Incarnation,
    /// Grows with each report of this incarnation.
    pub seq: u64,
    /// The highest fencing number seen.
    pub fence: Fence,
    /// Its role.
    pub role: Role,
    /// Accelerator memory in all, in MB.
    pub memory_mb: u64,
    /// Requests being worked on.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens generated a second, over the last second.
    pub tokens_per_second: u32,
    /// What it holds, including what is being loaded or dropped.
    pub copies: Vec<Copy>,
    /// Orders that came to an end, the latest 64, oldest first.
    pub ended: Vec<Ended>,
    /// Whether it refuses new requests because it is going to stop.
    pub draining: bool,
}

/// One artifact in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// What it is.
    pub artifact: Artifact,
    /// Memory it takes, in MB; a copy being loaded takes all of it.
    pub memory_mb: u64,
    /// How far it is.
    pub stage: Stage,
    /// Requests on it, running or waiting in the engine.
    pub requests: u32,
}

/// How far a copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Weights are being fetched.
    Loading,
    /// It answers requests.
    Ready,
    /// It takes no new requests and will be dropped.
    Dropping,
}

/// An order that came to an end at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Which order.
    pub order: id::Order,
    /// Whether it did what it asked for.
    pub done: bool,
}

/// A change of an engine's prefix cache. Late and with gaps; a hint only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// The engine's VM name.
    pub engine: Name,
    /// Number of the first of these events; a jump shows a gap.
    pub seq: u64,
    /// Prompt blocks now held, by their chained hash.
    pub stored: Vec<u64>,
    /// Prompt blocks no longer held.
    pub evicted: Vec<u64>,
    /// Whether everything before is void, as after a restart.
    pub cleared: bool,
}
