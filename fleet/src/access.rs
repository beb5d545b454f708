//! Who a caller is: the workspace that its key belongs to.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;

use crate::config::{Route, Workspace};
use crate::key::Digest;
use crate::proof;
use crate::request::{Id, Refusal};
use crate::state::State;

/// When a caller may come back whose key cannot be looked up: another entry VM may have a proof, and this one may have one
/// after some calls of the store.
const UNPROVEN_COME_BACK: Duration = Duration::from_millis(500);

/// The workspace that a request belongs to; none where nobody needs a key, or this route needs none and none is known.
///
/// # Errors
///
/// If the request may not be served for want of a key that is known, or of a proof that it still holds.
pub(crate) fn identify(
    state: &State,
    now: Time,
    route: &Route,
    key: Option<Digest>,
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
    let workspace = key.and_then(|key| state.routes.workspace_of(key)).cloned();
    if workspace.is_none() && !route.public {
        return Err(Refusal { code: Code::Unauthenticated, retry_after: None });
    }
    Ok(workspace)
}

/// Whether a request that was let in may still be sent: its key may have been taken away while it waited, or given to another
/// workspace, or nobody may have said for too long that it was not. On a route that needs no key it goes on without one.
///
/// # Errors
///
/// If it may not.
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
        // It was let in as another's, and counts for that one's limit: it is to come anew.
        return Err(unproven());
    }
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.workspace = workspace;
    }
    Ok(())
}

/// Why a key is not served without a proof.
const fn unproven() -> Refusal {
    Refusal { code: Code::KeyUnproven, retry_after: Some(UNPROVEN_COME_BACK) }
}
