//! Authentication of callers: maps a caller's key to its workspace.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;

use crate::config::{Route, Workspace};
use crate::key::Digest;
use crate::proof;
use crate::request::{Id, Refusal};
use crate::state::State;

/// `Retry-After` for a caller whose key cannot be checked for lack of a proof ([`crate::proof`]): another entry VM may have a proof, and this
/// one may get one within a few calls to the store.
const UNPROVEN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the workspace that a request belongs to. There is none if the deployment uses no keys, or if the route is public and the key is
/// missing or unknown.
///
/// # Errors
///
/// If the route requires a known key and the request has none, or if there is no current proof that keys are still valid.
pub(crate) fn identify(
    state: &State,
    now: Time,
    route: &Route,
    key: Option<Digest>,
) -> Result<Option<Arc<Workspace>>, Refusal> {
    if !state.needs_keys() {
        return Ok(None);
    }
    if !proof::is_valid(state, now) {
        if route.public {
            return Ok(None);
        }
        return Err(unproven());
    }
    let workspace = key.and_then(|key| state.routes.workspace_of(key)).cloned();
    if workspace.is_none() && !route.public {
        return Err(Refusal { code: Code::Unauthenticated, retry_after: None });
    }
    Ok(workspace)
}

/// Checks the key of an admitted request again before it is sent: while the request waited, its key may have been revoked or moved to another
/// workspace, or the proof that keys are valid may have expired. On a public route the request continues without a workspace.
///
/// # Errors
///
/// If the request may not be sent any more.
pub(crate) fn recheck(state: &mut State, now: Time, id: Id) -> Result<(), Refusal> {
    let Some(flow) = state.flows.get(&id) else {
        return Ok(());
    };
    let workspace = identify(state, now, &flow.route, flow.key)?;
    let name = |workspace: &Option<Arc<Workspace>>| workspace.as_ref().map(|known| known.name.clone());
    if name(&workspace) == name(&flow.workspace) {
        return Ok(());
    }
    if !flow.route.public {
        // The request was admitted for another workspace and counted against its limit, so that the caller has to retry.
        return Err(unproven());
    }
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.workspace = workspace;
    }
    Ok(())
}

/// The refusal of a key while there is no proof that keys are still valid.
const fn unproven() -> Refusal {
    Refusal { code: Code::KeyUnproven, retry_after: Some(UNPROVEN_RETRY_AFTER) }
}
