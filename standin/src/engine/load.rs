//! Work that orders leave behind: fetching weights and freeing memory, beside the requests.

use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::id::Incarnation;
use boragecove_wire::path;

use super::memory::Work;
use super::{Engine, Weights};

/// Tries at the weight store before a load is given up.
const TRIES: u32 = 3;
/// Time between tries.
const WAIT: Duration = Duration::from_millis(200);
/// Time that one read of weights may take.
const READ_MAX: Duration = Duration::from_mins(10);

/// Starts what is to be done, in the life of the engine that took the order.
pub(super) fn start(engine: &Engine, incarnation: Incarnation, work: Work) {
    match work {
        Work::None => {}
        Work::Load { artifact, memory_mb } => {
            let engine = engine.clone();
            actix_rt::spawn(async move { load(&engine, incarnation, &artifact, memory_mb).await });
        }
        Work::Unload { artifact } if engine.settings.unload.is_zero() => {
            engine.lock().memory.dropped(&artifact);
        }
        Work::Unload { artifact } => {
            let engine = engine.clone();
            actix_rt::spawn(async move { unload(&engine, incarnation, &artifact).await });
        }
    }
}

async fn load(engine: &Engine, incarnation: Incarnation, artifact: &Artifact, memory_mb: u64) {
    let done = match engine.settings.weights {
        Weights::Fixed(time) => {
            tokio::time::sleep(time).await;
            true
        }
        Weights::Platform(address) => {
            let url = format!("http://{address}{}?mb={memory_mb}", path::WEIGHTS);
            fetch(&url).await
        }
    };
    let mut state = engine.lock();
    if state.incarnation == incarnation {
        state.memory.loaded(artifact, done);
    }
}

async fn unload(engine: &Engine, incarnation: Incarnation, artifact: &Artifact) {
    tokio::time::sleep(engine.settings.unload).await;
    let mut state = engine.lock();
    if state.incarnation == incarnation {
        state.memory.dropped(artifact);
    }
}

async fn fetch(url: &str) -> bool {
    let client = awc::Client::builder().timeout(READ_MAX).finish();
    for _ in 0..TRIES {
        if client.post(url).send().await.is_ok_and(|answer| answer.status().is_success()) {
            return true;
        }
        tokio::time::sleep(WAIT).await;
    }
    false
}
