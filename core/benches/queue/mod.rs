//! Engines as a plain queueing loop: slots, a queue, a prompt cache with the least recently used going first.

use std::collections::{BTreeMap, VecDeque};

/// Milliseconds to work on a prompt block that is not cached.
const BLOCK_MS: u64 = 12;
/// Milliseconds for a token while nothing else runs; twice that with all slots taken.
const TOKEN_MS: u64 = 18;
/// Requests that an engine lets wait before it refuses more.
const QUEUE_MAX: usize = 8;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: usize,
    pub prefix: Vec<u64>,
    pub tokens: u64,
}

/// When a job that starts now has its first token and its end, in milliseconds from now.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub first: u64,
    pub end: u64,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    pub slots: u32,
    pub running: u32,
    pub waiting: VecDeque<Job>,
    blocks: usize,
    cache: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    /// Changes of the cache that were not published yet.
    pub stored: Vec<u64>,
    pub evicted: Vec<u64>,
    pub hits: u64,
    pub looked: u64,
}

impl Engine {
    pub fn new(slots: u32, blocks: usize) -> Self {
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
            blocks,
            cache: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            stored: Vec::new(),
            evicted: Vec::new(),
            hits: 0,
            looked: 0,
        }
    }

    /// Takes a job, unless too many wait. Returns its times if it starts at once.
    pub fn take(&mut self, job: Job) -> Result<Option<Times>, Job> {
        if self.running < self.slots {
            return Ok(Some(self.start(&job)));
        }
        if self.waiting.len() >= QUEUE_MAX {
            return Err(job);
        }
        self.waiting.push_back(job);
        Ok(None)
    }

    /// A job is done. Returns the next with its times.
    pub fn done(&mut self) -> Option<(Job, Times)> {
        self.running -= 1;
        let job = self.waiting.pop_front()?;
        let times = self.start(&job);
        Some((job, times))
    }

    fn start(&mut self, job: &Job) -> Times {
        self.running += 1;
        let held = job.prefix.iter().take_while(|block| self.cache.contains_key(block)).count();
        self.hits += held as u64;
        self.looked += job.prefix.len() as u64;
        for block in &job.prefix {
            self.touch(*block);
        }
        let first = (job.prefix.len() - held) as u64 * BLOCK_MS + TOKEN_MS;
        let gap = TOKEN_MS * u64::from(self.slots + self.running) / u64::from(self.slots);
        Times { first, end: first + gap * job.tokens }
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        match self.cache.insert(block, self.uses) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.stored.push(block),
        }
        self.by_use.insert(self.uses, block);
        if self.cache.len() > self.blocks
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.cache.remove(&oldest);
            self.evicted.push(oldest);
        }
    }
}
