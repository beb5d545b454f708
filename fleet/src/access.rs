//! Who a caller is: the workspace that its key belongs to.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;

use crate::config::{Route, Workspace};
use crate::key::Digest;
use crate::proof;
use crate::request::{Arrival, Refusal};
use crate::state::State;

/// When a caller may come back whose key cannot be looked up: another entry VM may have a proof, and this one may have one
/// after some calls of the store.
pub(crate) const UNPROVEN_COME_BACK: Duration = Duration::from_millis(500);

/// The workspace that a request belongs to; none where nobody needs a key, or this route needs none and none is known.
///
/// # Errors
///
/// If the request may not be served for want of a key that is known, or of a proof that it still holds.
pub(crate) fn identify(
    state: &State,
    now: Time,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    if !state.needs_keys() {
        return Ok(None);
    }
    if !proof::holds(state, now) {
        if route.public {
            return Ok(None);
        }
        return Err(unproven());
    }
    let workspace = arrival.key.and_then(|key| state.routes.workspace_of(key)).cloned();
    if workspace.is_none() && !route.public {
        return Err(Refusal { code: Code::Unauthenticated, retry_after: None });
    }
    Ok(workspace)
}

/// Whether the key of a request that was let in may still be served.
///
/// # Errors
///
/// If it was taken away meanwhile, or there is no proof that it was not.
pub(crate) fn recheck(state: &State, now: Time, key: Option<Digest>) -> Result<(), Refusal> {
    if !state.needs_keys() {
        return Ok(());
    }
    if !proof::holds(state, now) {
        return Err(unproven());
    }
    if key.and_then(|key| state.routes.workspace_of(key)).is_none() {
        return Err(Refusal { code: Code::Unauthenticated, retry_after: None });
    }
    Ok(())
}

/// Why a key is not served without a proof.
pub(crate) const fn unproven() -> Refusal {
    Refusal { code: Code::KeyUnproven, retry_after: Some(UNPROVEN_COME_BACK) }
}
