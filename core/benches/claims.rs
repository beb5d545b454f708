//! Memory of an open request, and table writes for claims on idempotency keys.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::table::{Call, Done, Key, Reply};
use boragecove_core::time::Time;

mod node;
use node::Node;

const REQUESTS: u64 = 100_000;
const SECONDS: u64 = 10;
/// Latency of the table and of an engine, in milliseconds.
const TABLE_MS: u64 = 10;
const ENGINE_MS: u64 = 20;
const PATIENCE: Duration = Duration::from_secs(30);

/// Resident memory of the process in bytes, if the system reports it.
fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok().map(|kb: u64| kb * 1_024)
}

/// Opens many requests, each with a prompt of sixteen blocks, and prints the memory of each.
fn memory(name: &str, slots: u32) {
    let mut node = Node::with_room(480, 780, 12, slots, REQUESTS as u32 * 2);
    let before = resident();
    let mut sent = 0;
    for number in 0..REQUESTS {
        let prefix = (number..number + 16).collect();
        sent += u64::from(node.arrive(number as usize, prefix).is_some());
    }
    if let (Some(before), Some(after)) = (before, resident()) {
        println!(
            "{name}: {} bytes for each of {REQUESTS} requests, {sent} of them sent",
            (after - before) / REQUESTS
        );
    }
}

/// One daemon that gets requests with idempotency keys, with a table that answers after `TABLE_MS`.
struct Daemon {
    node: Node,
    later: VecDeque<(u64, Event)>,
    calls: u64,
    rows: u64,
    waits: Vec<u64>,
}

fn about_claims(call: &Call) -> Option<usize> {
    match call {
        Call::Each(writes) if matches!(writes.first()?.key, Key::Claim { .. }) => Some(writes.len()),
        _ => None,
    }
}

impl Daemon {
    fn apply(&mut self, now: u64, event: Event) {
        for effect in self.node.apply(Time::from_millis(1_000_000 + now), event) {
            match effect {
                Effect::Table { op, call } => {
                    if let Some(rows) = about_claims(&call) {
                        self.calls += 1;
                        self.rows += rows as u64;
                        let reply = Ok(Reply::Each(vec![Done::Written; rows]));
                        self.later.push_back((now + TABLE_MS, Event::TableAnswered { op, reply }));
                    }
                }
                Effect::Send(send) => {
                    self.waits.push(now - send.attempt.request.seq / 1_000_000);
                    let attempt = send.attempt;
                    self.later.push_back((now + ENGINE_MS, Event::Head { attempt, echo: Some(attempt) }));
                    self.later.push_back((now + ENGINE_MS, Event::Finished { attempt, length: 0 }));
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, rate: u64) {
        let mut due = 0;
        for now in 0..SECONDS * 1_000 {
            due += rate;
            let mut number = 0;
            while due >= 1_000 {
                due -= 1_000;
                // The number contains the time of arrival.
                let id = now * 1_000_000 + number;
                number += 1;
                let arrival = self.node.keyed(id, PATIENCE, Time::from_millis(1_000_000 + now));
                self.apply(now, arrival);
            }
            let (ready, rest) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
            self.later = rest;
            let ready: VecDeque<(u64, Event)> = ready;
            for (_, event) in ready {
                self.apply(now, event);
            }
            self.apply(now, Event::Wake);
        }
    }
}

fn claims(daemons: u64, rate: u64) {
    let (mut calls, mut rows, mut waits) = (0, 0, Vec::new());
    for _ in 0..daemons {
        let node = Node::new(18, 36, 6, 1_000);
        let mut daemon = Daemon { node, later: VecDeque::new(), calls: 0, rows: 0, waits: Vec::new() };
        daemon.run(rate / daemons);
        calls += daemon.calls;
        rows += daemon.rows;
        waits.extend(daemon.waits);
    }
    waits.sort_unstable();
    let at = |part: usize| waits.get(waits.len() * part / 100).copied().unwrap_or(0);
    println!(
        "{daemons:>7} {rate:>9} {:>9} {:>12} {:>11} {:>7} {:>7}",
        waits.len() as u64 / SECONDS,
        calls / SECONDS,
        rows / SECONDS,
        at(50),
        at(99),
    );
}

fn main() {
    memory("sent", 1_000);
    memory("waiting", 1);
    println!("\ndaemons  keyed/s  claimed/s  writes/s     rows/s    p50 ms  p99 ms");
    for (daemons, rate) in [(1, 10), (1, 100), (1, 1_000), (1, 3_000), (9, 90), (9, 900), (9, 9_000)] {
        claims(daemons, rate);
    }
}
