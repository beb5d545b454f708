//! The prefix cache: which prompt blocks are held, and the numbered events that say so.

use std::collections::{BTreeSet, VecDeque};

use boragecove_core::engine::CacheUpdate;
use boragecove_core::name::Name;

/// Events kept for readers; a reader that is further behind finds a gap.
const EVENTS_MAX: usize = 1_024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Stored(u64),
    Evicted(u64),
}

/// A prefix cache that evicts the block used longest ago.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    /// Held blocks, the one used last at the back.
    blocks: VecDeque<u64>,
    held: BTreeSet<u64>,
    events: VecDeque<Event>,
    /// The number of the oldest event kept.
    first: u64,
}

impl Cache {
    pub(super) const fn new(limit: usize) -> Self {
        Self { limit, blocks: VecDeque::new(), held: BTreeSet::new(), events: VecDeque::new(), first: 0 }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::new(self.limit);
    }

    /// Uses a prompt's blocks and returns how many of them were not held.
    pub(super) fn use_blocks(&mut self, blocks: &[u64]) -> usize {
        let held = blocks.iter().take_while(|block| self.held.contains(block)).count();
        for block in blocks {
            self.touch(*block);
        }
        while self.blocks.len() > self.limit {
            self.evict();
        }
        blocks.len() - held
    }

    /// Loses the events so far, so that readers find a gap.
    pub(super) fn lose_events(&mut self) {
        self.first += self.events.len() as u64;
        self.events.clear();
    }

    /// The events from number `from` on, without any that would take another one back.
    pub(super) fn update(&self, engine: &Name, from: u64) -> CacheUpdate {
        let next = self.first + self.events.len() as u64;
        // A reader that is ahead followed an earlier incarnation.
        let cleared = from > next || (from == 0 && self.first == 0);
        let seq = if cleared { self.first } else { from.max(self.first) };
        let mut update =
            CacheUpdate { engine: engine.clone(), seq, stored: Vec::new(), evicted: Vec::new(), cleared };
        let mut named = BTreeSet::new();
        for event in self.events.iter().skip((seq - self.first) as usize) {
            let (block, list) = match event {
                Event::Stored(block) => (*block, &mut update.stored),
                Event::Evicted(block) => (*block, &mut update.evicted),
            };
            if !named.insert(block) {
                break;
            }
            list.push(block);
        }
        update
    }

    fn touch(&mut self, block: u64) {
        if self.held.insert(block) {
            self.push(Event::Stored(block));
        } else if let Some(place) = self.blocks.iter().rposition(|held| *held == block) {
            self.blocks.remove(place);
        }
        self.blocks.push_back(block);
    }

    fn evict(&mut self) {
        if let Some(block) = self.blocks.pop_front() {
            self.held.remove(&block);
            self.push(Event::Evicted(block));
        }
    }

    fn push(&mut self, event: Event) {
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
            self.first += 1;
        }
        self.events.push_back(event);
    }
}
