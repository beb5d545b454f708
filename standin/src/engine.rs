//! A stand-in model engine: accelerator memory, orders, batched requests, streams, caches.

pub mod answer;
mod attempt;
mod cache;
mod http;
mod live;
mod load;
mod memory;
mod seat;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::engine::{Report, Role};
use boragecove_core::id::Incarnation;
use boragecove_core::name::Name;
use tokio::sync::Semaphore;
use tokio::time::Instant;

pub use attempt::Run;

use crate::fault::Faults;
use crate::server::{self, Running};

/// How a stand-in engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its VM's name.
    pub name: Name,
    /// Accelerator memory, in MB.
    pub memory_mb: u64,
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that wait for a slot at most; more are refused as busy.
    pub queue: usize,
    /// Whether it refuses an order with an older fencing number than one it has seen.
    pub checks_fences: bool,
    /// Its role at the start.
    pub role: Role,
    /// Where weights come from.
    pub weights: Weights,
    /// Time that dropping an artifact takes.
    pub unload: Duration,
    /// Time to the first token, besides the prompt.
    pub first_token: Duration,
    /// Time for each block of the prompt that is not in the prefix cache.
    pub block: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How long a report stays the same before a new one is made.
    pub report_every: Duration,
    /// Attempts it remembers, to take them up again.
    pub remembered: usize,
    /// Decides its incarnations.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: "engine".into(),
            memory_mb: 24_000,
            slots: 8,
            queue: 32,
            checks_fences: true,
            role: Role::Both,
            weights: Weights::Fixed(Duration::ZERO),
            unload: Duration::ZERO,
            first_token: Duration::ZERO,
            block: Duration::ZERO,
            token: Duration::ZERO,
            cache_blocks: 4_096,
            report_every: Duration::ZERO,
            remembered: 4_096,
            seed: 1,
        }
    }
}

/// Where an engine's weights come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Each load takes this long.
    Fixed(Duration),
    /// Each load reads from the platform's weight store at this address.
    Platform(SocketAddr),
}

/// A stand-in engine. Copies share one content.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Arc<Settings>,
    faults: Faults,
    slots: Arc<Semaphore>,
    state: Arc<Mutex<State>>,
}

/// What an engine knows; void after a restart, but for the record of what ran.
#[derive(Debug)]
struct State {
    rng: fastrand::Rng,
    incarnation: Incarnation,
    memory: memory::Memory,
    cache: cache::Cache,
    attempts: attempt::Book,
    report: Option<(Instant, Report)>,
    seq: u64,
    draining: bool,
}

impl Engine {
    /// An engine that has just started and holds nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        let mut rng = fastrand::Rng::with_seed(settings.seed);
        for byte in settings.name.bytes() {
            rng = fastrand::Rng::with_seed(rng.u64(..) ^ u64::from(byte));
        }
        let state = State {
            incarnation: Incarnation(rng.u64(..)),
            rng,
            memory: memory::Memory::new(settings.memory_mb, settings.role),
            cache: cache::Cache::new(settings.cache_blocks),
            attempts: attempt::Book::new(settings.remembered),
            report: None,
            seq: 0,
            draining: false,
        };
        Self {
            slots: Arc::new(Semaphore::new(settings.slots.max(1))),
            settings: Arc::new(settings),
            faults: Faults::default(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The faults it commits.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Holds an artifact ready at once, without an order; false if it does not fit.
    #[must_use]
    pub fn preload(&self, artifact: &Artifact, memory_mb: u64) -> bool {
        self.lock().memory.preload(artifact, memory_mb)
    }

    /// What it ran, oldest first, over all its incarnations.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().attempts.runs()
    }

    /// How often it started to run a request with this prompt.
    #[must_use]
    pub fn runs_of(&self, prompt: &str) -> usize {
        self.lock().attempts.runs_of(prompt)
    }

    /// The most memory that was ever taken at once, in MB.
    #[must_use]
    pub fn peak_mb(&self) -> u64 {
        self.lock().memory.peak_mb()
    }

    /// Its report, made anew if the last one is old enough.
    #[must_use]
    pub fn report(&self) -> Report {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some((_, report)) =
            state.report.as_ref().filter(|(at, _)| *at + self.settings.report_every > now)
        {
            return report.clone();
        }
        let report = self.fresh(&mut state, now);
        state.report = Some((now, report.clone()));
        report
    }

    /// Refuses new requests as leaving, or takes them again. What runs goes on.
    pub fn drain(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Whether nothing runs or waits.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.lock().memory.requests() == 0
    }

    /// Starts anew and empty, as after a crash; what runs breaks off. The listener stays.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation = Incarnation(state.rng.u64(..));
        state.memory.clear(self.settings.role);
        state.cache.clear();
        state.attempts.forget_all();
        state.report = None;
        state.seq = 0;
    }

    /// Serves it over HTTP.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let engine = self.clone();
        server::start(listen, move |config| http::routes(config, &engine))
    }

    fn fresh(&self, state: &mut State, now: Instant) -> Report {
        state.seq += 1;
        let requests = state.memory.requests();
        let running =
            (self.settings.slots.saturating_sub(self.slots.available_permits()) as u32).min(requests);
        Report {
            engine: self.settings.name.clone(),
            incarnation: state.incarnation,
            seq: state.seq,
            fence: state.memory.fence(),
            role: state.memory.role(),
            memory_mb: self.settings.memory_mb,
            running,
            waiting: requests - running,
            tokens_per_second: state.attempts.tokens_per_second(now),
            copies: state.memory.copies(),
            ended: state.memory.ended(),
            draining: state.draining,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
