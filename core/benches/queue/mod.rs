//! Queueing model of an engine with slots, a queue and a prompt cache with LRU eviction.

use std::collections::{BTreeMap, VecDeque};

/// Time to process a prompt block that is not cached, in milliseconds.
const BLOCK_MS: u64 = 12;
/// Time of one token in milliseconds while no other request runs; twice that with all slots in use.
const TOKEN_MS: u64 = 18;
/// Number of waiting requests above which an engine refuses more.
const QUEUE_MAX: usize = 8;

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    pub request: usize,
    pub prefix: Vec<u64>,
    pub tokens: u64,
}

/// Time to the first token and to the end of a job, in milliseconds from its start.
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
    /// Changes of the cache that are not published yet.
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

    /// Accepts a job, or refuses it if too many wait. Returns the times of a job that starts at once.
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

    /// Ends a job. Returns the next job, which starts now, with its times.
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
