//! Attempts that an engine remembers, and the record of what it ran.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::id;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The attempt; none if the request carried no id.
    pub attempt: Option<id::Attempt>,
    /// What it ran on.
    pub artifact: Artifact,
    /// Its prompt.
    pub prompt: String,
    /// The first event of the answer that this run made.
    pub from: u64,
    /// Whether it took an attempt up again that had been started here before.
    pub resumed: bool,
}

/// Runs that the record holds at most; the oldest go first.
const RUNS_MAX: usize = 100_000;

/// The attempts of an engine.
#[derive(Debug)]
pub(super) struct Book {
    limit: usize,
    /// Prompts of the attempts that can be resumed.
    kept: BTreeMap<id::Attempt, String>,
    order: VecDeque<id::Attempt>,
    live: BTreeMap<id::Attempt, oneshot::Sender<()>>,
    runs: VecDeque<Run>,
    second: Option<Instant>,
    tokens: u32,
    tokens_before: u32,
}

impl Book {
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit,
            kept: BTreeMap::new(),
            order: VecDeque::new(),
            live: BTreeMap::new(),
            runs: VecDeque::new(),
            second: None,
            tokens: 0,
            tokens_before: 0,
        }
    }

    /// Notes an attempt as under way. The receiver hears when it is to break off.
    pub(super) fn begin(&mut self, attempt: id::Attempt) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        self.live.insert(attempt, cancel);
        cancelled
    }

    /// Records a run and keeps its attempt for resumption.
    pub(super) fn run(&mut self, run: Run) {
        if let Some(attempt) = run.attempt {
            if self.kept.insert(attempt, run.prompt.clone()).is_none() {
                self.order.push_back(attempt);
            }
            self.trim();
        }
        if self.runs.len() == RUNS_MAX {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
    }

    fn trim(&mut self) {
        while self.order.len() > self.limit {
            if let Some(oldest) = self.order.pop_front() {
                self.kept.remove(&oldest);
            }
        }
    }

    /// The prompt of an attempt that can be resumed.
    pub(super) fn get(&self, attempt: id::Attempt) -> Option<&String> {
        self.kept.get(&attempt)
    }

    /// Breaks an attempt off, or notes that it is over; it can still be resumed.
    pub(super) fn release(&mut self, attempt: id::Attempt) {
        self.live.remove(&attempt);
    }

    /// Breaks an attempt off and forgets it.
    pub(super) fn forget(&mut self, attempt: id::Attempt) {
        self.kept.remove(&attempt);
        self.order.retain(|known| *known != attempt);
        self.live.remove(&attempt);
    }

    /// Breaks everything off and forgets it, but for the record.
    pub(super) fn forget_all(&mut self) {
        self.kept.clear();
        self.order.clear();
        self.live.clear();
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.runs.iter().cloned().collect()
    }

    pub(super) fn runs_of(&self, prompt: &str) -> usize {
        self.runs.iter().filter(|run| run.prompt == prompt && !run.resumed).count()
    }

    /// Counts tokens that were made now.
    pub(super) fn count_tokens(&mut self, now: Instant, tokens: u32) {
        self.turn(now);
        self.tokens += tokens;
    }

    /// Tokens made in the last whole second.
    pub(super) fn tokens_per_second(&mut self, now: Instant) -> u32 {
        self.turn(now);
        self.tokens_before
    }

    fn turn(&mut self, now: Instant) {
        let begun = *self.second.get_or_insert(now);
        let age = now.duration_since(begun);
        if age < SECOND {
            return;
        }
        self.tokens_before = if age < 2 * SECOND { self.tokens } else { 0 };
        self.tokens = 0;
        self.second = Some(now);
    }
}

const SECOND: Duration = Duration::from_secs(1);
