//! Claims on callers' idempotency keys: what makes a repeated submission run at most once.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::name::Name;
use crate::request::Past;
use crate::time::Time;

/// A claim as it stands in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request that holds the key.
    pub request: id::Request,
    /// Digest of that request, to tell a repeat from another request under the same key.
    pub digest: Name,
    /// When it was claimed.
    pub at: Time,
    /// How the request ended; none while it may be running.
    pub past: Option<Past>,
}
