//! The weight store: reads start at a limited rate and take one of a few slots, first come first served.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};

/// How fast the store is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Reads that may start a second.
    pub loads_per_second: f64,
    /// Reads at once; more wait.
    pub slots: usize,
    /// Speed of one read, in MB a second.
    pub mb_per_second: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { loads_per_second: 2.0, slots: 6, mb_per_second: 8_000.0 }
    }
}

/// A weight store. Copies share one content.
#[derive(Clone, Debug)]
pub struct Store(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    settings: Settings,
    slots: Semaphore,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the next read may start.
    next_start: Option<Instant>,
    grants: Vec<u64>,
    under_way: usize,
    peak: usize,
}

impl Store {
    /// A store of this speed.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let slots = Semaphore::new(settings.slots.max(1));
        Self(Arc::new(Shared { settings, slots, state: Mutex::default() }))
    }

    /// Reads `mb` of weights: waits for a slot and a start, then as long as the read takes.
    pub async fn read(&self, mb: u64) {
        // The semaphore is never closed, so acquiring fails only where there is nothing to wait for.
        let Ok(_slot) = self.0.slots.acquire().await else { return };
        sleep_until(self.reserve()).await;
        let _read = Read::begin(self, mb);
        let seconds = mb as f64 / self.0.settings.mb_per_second.max(f64::MIN_POSITIVE);
        tokio::time::sleep(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)).await;
    }

    /// Sizes of the reads that started, in their order, in MB.
    #[must_use]
    pub fn grants(&self) -> Vec<u64> {
        self.lock().grants.clone()
    }

    /// Reads that were under way at once at most.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.lock().peak
    }

    /// Takes the next start that the rate allows.
    fn reserve(&self) -> Instant {
        let spacing = 1.0 / self.0.settings.loads_per_second.max(f64::MIN_POSITIVE);
        let spacing = Duration::try_from_secs_f64(spacing).unwrap_or(Duration::MAX);
        let now = Instant::now();
        let mut state = self.lock();
        let start = state.next_start.map_or(now, |next| next.max(now));
        state.next_start = start.checked_add(spacing);
        start
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A read under way; it ends when this is dropped, also if whoever reads goes away.
struct Read<'store>(&'store Store);

impl<'store> Read<'store> {
    fn begin(store: &'store Store, mb: u64) -> Self {
        let mut state = store.lock();
        state.grants.push(mb);
        state.under_way += 1;
        state.peak = state.peak.max(state.under_way);
        Self(store)
    }
}

impl Drop for Read<'_> {
    fn drop(&mut self) {
        self.0.lock().under_way -= 1;
    }
}
