//! An attempt under way: hears when it is to break off, and is noted as over when dropped.

use boragecove_core::id;
use tokio::sync::oneshot::{self, error::TryRecvError};

use super::Engine;

/// An attempt under way. One without an id can't be broken off.
#[derive(Debug)]
pub(super) struct Live {
    engine: Engine,
    attempt: Option<id::Attempt>,
    cancelled: Option<oneshot::Receiver<()>>,
}

impl Live {
    /// Notes an attempt as under way; one under way with the same id breaks off.
    pub(super) fn begin(engine: &Engine, attempt: Option<id::Attempt>) -> Self {
        let cancelled = attempt.map(|attempt| engine.lock().attempts.begin(attempt));
        Self { engine: engine.clone(), attempt, cancelled }
    }

    /// Whether it is to break off.
    pub(super) fn broken(&mut self) -> bool {
        self.cancelled
            .as_mut()
            .is_some_and(|cancelled| !matches!(cancelled.try_recv(), Err(TryRecvError::Empty)))
    }

    /// Waits until it is to break off.
    pub(super) async fn wait(&mut self) {
        if self.broken() {
            return;
        }
        match &mut self.cancelled {
            Some(cancelled) => {
                let _closed = cancelled.await;
            }
            None => std::future::pending().await,
        }
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        // One that was broken off is not the live one any more.
        if self.broken() {
            return;
        }
        if let Some(attempt) = self.attempt {
            self.engine.lock().attempts.release(attempt);
        }
    }
}
