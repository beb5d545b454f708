//! A request's place on an engine: its copy is in use, and one of the slots is taken.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::id::Incarnation;
use tokio::sync::OwnedSemaphorePermit;

use super::Engine;

/// A refusal: the HTTP status and the reason.
pub(super) type Refusal = (u16, &'static str);

/// A place, given back when dropped.
#[derive(Debug)]
pub(super) struct Seat {
    pub(super) engine: Engine,
    artifact: Artifact,
    incarnation: Incarnation,
    slot: Option<OwnedSemaphorePermit>,
}

impl Seat {
    /// Waits for a slot, first come first served, until the deadline.
    pub(super) async fn take(
        engine: &Engine,
        artifact: &Artifact,
        deadline: Option<Duration>,
    ) -> Result<Self, Refusal> {
        let mut seat = Self::enter(engine, artifact)?;
        let slot = Arc::clone(&engine.slots).acquire_owned();
        let slot = match deadline {
            Some(deadline) => tokio::time::timeout(deadline, slot).await.map_err(|_late| (408, "late"))?,
            None => slot.await,
        };
        seat.slot = Some(slot.map_err(|_closed| (503, "busy"))?);
        if engine.lock().incarnation != seat.incarnation {
            return Err((404, "not-loaded"));
        }
        Ok(seat)
    }

    fn enter(engine: &Engine, artifact: &Artifact) -> Result<Self, Refusal> {
        let room = engine.settings.slots + engine.settings.queue;
        let mut state = engine.lock();
        if state.draining {
            return Err((503, "leaving"));
        }
        if !state.memory.answers(artifact) {
            return Err((404, "not-loaded"));
        }
        if state.memory.requests() as usize >= room {
            return Err((503, "busy"));
        }
        state.memory.begin(artifact);
        let incarnation = state.incarnation;
        Ok(Self { engine: engine.clone(), artifact: artifact.clone(), incarnation, slot: None })
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        // The slot first: a report must not show fewer requests than slots taken.
        self.slot = None;
        let mut state = self.engine.lock();
        if state.incarnation == self.incarnation {
            state.memory.end(&self.artifact);
        }
    }
}
