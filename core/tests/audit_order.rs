//! Compares three ways to order audit records of entry VMs whose clocks disagree: by wall clock, by the
//! versions in the records (configuration, fence, row), and by hybrid logical clocks.
//!
//! To see the figures, run `cargo test --test audit_order -- --nocapture`.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

const NODES: usize = 9;
const ZONES: usize = 3;
const MS: u64 = 1_000;
const RUN_TIME: u64 = 60_000 * MS;
const CHANGE_EVERY: u64 = 500 * MS;
const LEASE_EVERY: u64 = 3_000 * MS;
/// Longest time between the two records of a pair. Pairs further apart are left out.
const PAIR_DISTANCE_MAX: u64 = 100 * MS;
const EPOCH: u64 = 10_000_000 * MS;

/// A hybrid logical clock: the highest wall clock value seen, and a counter within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Hybrid {
    wall: u64,
    count: u32,
}

impl Hybrid {
    fn tick(&mut self, wall: u64, seen: Self) {
        let highest = self.wall.max(seen.wall).max(wall);
        let count = [*self, seen].iter().filter(|each| each.wall == highest).map(|each| each.count + 1).max();
        *self = Self { wall: highest, count: count.unwrap_or_default() };
    }
}

/// Clocks carried by a frame or a row, as known to the writer.
#[derive(Clone, Debug, Default)]
struct Tag {
    vector: [u32; NODES],
    /// Two hybrid clocks: one is carried by frames only, the other one by frames and rows.
    hybrids: [Hybrid; 2],
}

#[derive(Clone, Debug)]
struct Record {
    node: usize,
    at: u64,
    wall: u64,
    vector: [u32; NODES],
    hybrids: [Hybrid; 2],
    config: u64,
    act: Decision,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Accepted,
    Configured,
    Lease { zone: usize, fence: u64 },
    Order { zone: usize, fence: u64, row: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Change,
    Frame { to: usize, config: u64, tag: usize },
    Plan { node: usize },
    Lease { zone: usize },
}

/// A simulation of entry VMs with their clocks, and of the table's rows.
struct World {
    offsets: [i64; NODES],
    tags: [Tag; NODES],
    configs: [u64; NODES],
    head: (u64, Tag),
    leases: [(u64, usize, Tag); ZONES],
    ledgers: [(u64, Tag); ZONES],
    frames: Vec<Tag>,
    records: Vec<Record>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events: u64,
    rng: fastrand::Rng,
}

impl World {
    fn run(skew: u64, seed: u64) -> Vec<Record> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let skew = skew.cast_signed();
        let mut world = Self {
            offsets: std::array::from_fn(|_| rng.i64(-skew..=skew)),
            tags: Default::default(),
            configs: [0; NODES],
            head: (0, Tag::default()),
            leases: std::array::from_fn(|zone| (1, zone, Tag::default())),
            ledgers: Default::default(),
            frames: Vec::new(),
            records: Vec::new(),
            queue: BinaryHeap::new(),
            events: 0,
            rng,
        };
        world.schedule(0, Event::Change);
        for zone in 0..ZONES {
            world.schedule(zone as u64 * 700 * MS, Event::Lease { zone });
        }
        while let Some(Reverse((at, _, event))) = world.queue.pop() {
            if at > RUN_TIME {
                break;
            }
            world.step(at, &event);
        }
        world.records
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn wall(&self, node: usize, at: u64) -> u64 {
        (EPOCH + at).saturating_add_signed(self.offsets[node])
    }

    /// Advances the clocks of a node that has read a frame, or a row of the table.
    fn observe(&mut self, node: usize, at: u64, seen: &Tag, by_row: bool) {
        let wall = self.wall(node, at);
        let tag = &mut self.tags[node];
        for (own, other) in tag.vector.iter_mut().zip(seen.vector) {
            *own = (*own).max(other);
        }
        tag.vector[node] += 1;
        let frames = if by_row { Hybrid::default() } else { seen.hybrids[0] };
        tag.hybrids[0].tick(wall, frames);
        tag.hybrids[1].tick(wall, seen.hybrids[1]);
    }

    fn record(&mut self, node: usize, at: u64, act: Decision) {
        self.observe(node, at, &Tag::default(), true);
        let Tag { vector, hybrids } = self.tags[node].clone();
        let (wall, config) = (self.wall(node, at), self.configs[node]);
        self.records.push(Record { node, at, wall, vector, hybrids, config, act });
    }

    fn step(&mut self, at: u64, event: &Event) {
        match *event {
            Event::Change => self.change(at),
            Event::Frame { to, config, tag } => {
                let tag = self.frames[tag].clone();
                self.observe(to, at, &tag, false);
                if config > self.configs[to] {
                    self.apply_config(to, at, config, Decision::Configured);
                }
            }
            Event::Plan { node } => self.plan(at, node),
            Event::Lease { zone } => self.lease(at, zone),
        }
    }

    fn change(&mut self, at: u64) {
        let node = self.rng.usize(..NODES);
        let (version, seen) = self.head.clone();
        self.observe(node, at, &seen, true);
        self.head = (version + 1, self.tags[node].clone());
        self.apply_config(node, at, version + 1, Decision::Accepted);
        for to in (0..NODES).filter(|to| *to != node) {
            self.frames.push(self.tags[node].clone());
            let frame = Event::Frame { to, config: version + 1, tag: self.frames.len() - 1 };
            let delay = self.rng.u64(500..3_000);
            self.schedule(at + delay, frame);
        }
        let wait = self.rng.u64(CHANGE_EVERY / 2..CHANGE_EVERY * 2);
        self.schedule(at + wait, Event::Change);
    }

    fn apply_config(&mut self, node: usize, at: u64, config: u64, act: Decision) {
        self.configs[node] = config;
        self.record(node, at, act);
        if self.leases.iter().any(|(_, holder, _)| *holder == node) {
            self.schedule(at + 5 * MS, Event::Plan { node });
        }
    }

    fn plan(&mut self, at: u64, node: usize) {
        let Some(zone) = self.leases.iter().position(|(_, holder, _)| *holder == node) else {
            return;
        };
        let (row, seen) = self.ledgers[zone].clone();
        self.observe(node, at, &seen, true);
        self.ledgers[zone] = (row + 1, self.tags[node].clone());
        let fence = self.leases[zone].0;
        self.record(node, at, Decision::Order { zone, fence, row: row + 1 });
    }

    fn lease(&mut self, at: u64, zone: usize) {
        let (fence, holder, seen) = self.leases[zone].clone();
        let next = (holder + ZONES) % NODES;
        self.observe(next, at, &seen, true);
        let ledger = self.ledgers[zone].1.clone();
        self.observe(next, at, &ledger, true);
        self.leases[zone] = (fence + 1, next, self.tags[next].clone());
        self.record(next, at, Decision::Lease { zone, fence: fence + 1 });
        self.schedule(at + LEASE_EVERY, Event::Lease { zone });
    }
}

/// Orders two records by their versions; `None` where these don't decide.
fn by_versions(a: &Record, b: &Record) -> Option<Ordering> {
    let key = |record: &Record| match record.act {
        Decision::Lease { zone, fence } => Some((zone, fence, 0)),
        Decision::Order { zone, fence, row } => Some((zone, fence, row)),
        Decision::Accepted | Decision::Configured => None,
    };
    let rank = |record: &Record| match record.act {
        Decision::Accepted => 0,
        Decision::Configured | Decision::Lease { .. } | Decision::Order { .. } => 1,
    };
    match (key(a), key(b)) {
        (Some(a), Some(b)) if a.0 == b.0 => Some(a.cmp(&b)),
        _ => Some((a.config, rank(a)).cmp(&(b.config, rank(b)))).filter(|order| order.is_ne()),
    }
}

/// Counts of causally related pairs of records from two entry VMs, and of those that each way orders wrongly.
#[derive(Debug, Default)]
struct Score {
    pairs: u64,
    wall_wrong: u64,
    versions_wrong: u64,
    versions_undecided: u64,
    undecided_and_wall_wrong: u64,
    frames_wrong: u64,
    rows_wrong: u64,
}

fn score(records: &[Record]) -> Score {
    let mut score = Score::default();
    for (at, later) in records.iter().enumerate() {
        let others =
            records[..at].iter().rev().take_while(|earlier| later.at - earlier.at <= PAIR_DISTANCE_MAX);
        for earlier in others.filter(|earlier| earlier.node != later.node) {
            let caused = later.vector[earlier.node] >= earlier.vector[earlier.node];
            if !caused {
                continue;
            }
            let wall_wrong = earlier.wall >= later.wall;
            score.pairs += 1;
            score.wall_wrong += u64::from(wall_wrong);
            match by_versions(earlier, later) {
                Some(Ordering::Less) => {}
                Some(_) => score.versions_wrong += 1,
                None => {
                    score.versions_undecided += 1;
                    score.undecided_and_wall_wrong += u64::from(wall_wrong);
                }
            }
            score.frames_wrong += u64::from(earlier.hybrids[0] >= later.hybrids[0]);
            score.rows_wrong += u64::from(earlier.hybrids[1] >= later.hybrids[1]);
        }
    }
    score
}

#[test]
fn wrong_pairs_by_ordering() {
    println!(
        "share of causally related pairs within {} ms that are ordered wrongly:",
        PAIR_DISTANCE_MAX / MS
    );
    println!(
        "skew ms |   pairs | wall clock | versions (undecided)   | then wall clock | hybrid, frames | hybrid, rows too"
    );
    for skew in [0, 1, 10, 100, 1_000, 10_000] {
        let records = World::run(skew * MS, 7);
        assert!(records.is_sorted_by_key(|record| record.at));
        let score = score(&records);
        let share = |count: u64| 100.0 * count as f64 / score.pairs as f64;
        println!(
            "{skew:7} | {:7} | {:9.3}% | {:7.3}% ({:9.3}%) | {:14.3}% | {:13.3}% | {:15.3}%",
            score.pairs,
            share(score.wall_wrong),
            share(score.versions_wrong),
            share(score.versions_undecided),
            share(score.versions_wrong + score.undecided_and_wall_wrong),
            share(score.frames_wrong),
            share(score.rows_wrong),
        );
        assert_eq!(score.rows_wrong, 0, "a clock carried by frames and rows never orders a pair wrongly");
        assert!(score.pairs > 1_000);
    }
}
