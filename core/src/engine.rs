//! Messages exchanged with a model engine besides requests: orders, receipts, reports and cache events.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::artifact::Artifact;
use crate::id;
use crate::name::Name;

/// A fencing number: it identifies the term of the lease under which an order was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// An order to an engine. It is idempotent: an order that arrives again has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id by which the engine recognizes an order that it has received before.
    pub id: id::Order,
    /// The fencing number it was made under.
    pub fence: Fence,
    /// Incarnation of the engine that it is meant for. Any other incarnation refuses it.
    pub meant_for: id::Incarnation,
    /// What the engine is to do.
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
        /// Memory that it will take, in MB.
        memory_mb: u64,
    },
    /// Drop an artifact from accelerator memory. The engine refuses this while requests run on it.
    Unload {
        /// What to drop.
        artifact: Artifact,
    },
    /// Take another role.
    Role {
        /// The role to take.
        role: Role,
    },
    /// Do nothing but record the order's fence: an engine that checks fences refuses lower ones from then on.
    Raise,
}

/// The phases of a request that an engine processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompt and generated tokens.
    #[default]
    Both,
    /// The prompt only. The KV cache is handed over to another engine.
    Prefill,
    /// The generated tokens only, from an imported KV cache.
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
    /// Accepted, now or when it arrived first. A report lists it once it has ended.
    Taken,
    /// Refused: its fence is lower than the highest one seen.
    Stale {
        /// The highest fencing number seen.
        seen: Fence,
    },
    /// Refused: it is meant for another incarnation of the engine.
    Restarted,
    /// Refused: the artifact does not fit into the free memory.
    Full {
        /// Free memory, in MB.
        free_mb: u64,
    },
    /// Refused: requests still run on the artifact.
    Busy,
    /// Refused: the order is invalid, or the engine does not hold the artifact.
    Invalid,
}

/// An engine's report of its state. Reports arrive with a delay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The engine's VM name.
    pub engine: Name,
    /// Incarnation, drawn at random at each start of the engine. An engine holds nothing when it starts.
    pub incarnation: id::Incarnation,
    /// Sequence number, which grows with each report of this incarnation.
    pub seq: u64,
    /// The highest fencing number seen.
    pub fence: Fence,
    /// Its role.
    pub role: Role,
    /// Total accelerator memory, in MB.
    pub memory_mb: u64,
    /// Number of requests being processed.
    pub running: u32,
    /// Number of requests in the engine's own queue.
    pub waiting: u32,
    /// Tokens generated in the last second.
    pub tokens_per_second: u32,
    /// Copies that it holds, including those being loaded or dropped.
    pub copies: Vec<Copy>,
    /// The latest 64 orders that have ended, oldest first.
    pub ended: Vec<Ended>,
    /// Whether it refuses new requests because it is about to stop.
    pub draining: bool,
}

/// A copy of an artifact in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The artifact of which this is a copy.
    pub artifact: Artifact,
    /// Memory that it takes, in MB. A copy takes all of it as soon as its load begins.
    pub memory_mb: u64,
    /// Whether it is loading, ready or being dropped.
    pub stage: Stage,
    /// Number of requests for it that run or wait in the engine.
    pub requests: u32,
}

/// Stage in the life cycle of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Its weights are being loaded.
    Loading,
    /// It answers requests.
    Ready,
    /// It accepts no new requests and will be dropped.
    Dropping,
}

/// An order that has ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Id of the order.
    pub order: id::Order,
    /// Whether it was carried out.
    pub done: bool,
}

/// A change of an engine's prefix cache. Updates may be late or missing, so they are only a hint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheUpdate {
    /// The engine's VM name.
    pub engine: Name,
    /// Sequence number of the first event in this update. A jump means that events are missing.
    pub seq: u64,
    /// Chained hashes of the prompt blocks that are now cached.
    pub stored: Vec<u64>,
    /// Chained hashes of the prompt blocks that are no longer cached.
    pub evicted: Vec<u64>,
    /// Whether the cache was emptied before these changes, for example by a restart.
    pub cleared: bool,
}
