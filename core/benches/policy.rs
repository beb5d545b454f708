//! Compares routing policies on the same generated demand: attainment of the first-token target, time to
//! the first token and refusals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use boragecove_core::attempt::{Failure, Refusal};
use boragecove_core::effect::Effect;
use boragecove_core::engine::CacheUpdate;
use boragecove_core::event::Event;
use boragecove_core::id::Attempt;
use boragecove_core::time::Time;

mod node;
mod queue;
use node::Node;
use queue::{Engine, Job, Times};

const ENGINES: usize = 18;
const SLOTS: u32 = 8;
/// Number of models. Each engine holds `HELD` of them.
const MODELS: usize = 36;
const HELD: usize = 6;
const ENTRIES: usize = 3;
/// Number of prompt blocks that each engine can cache.
const CACHE: usize = 600;
const SECONDS: u64 = 120;
const TARGET_MS: u64 = 1_700;
const PATIENCE: Duration = Duration::from_secs(20);
const NETWORK_MS: u64 = 1;
const REPORT_MS: u64 = 250;
const REPORT_LAG_MS: u64 = 100;
const TRIES: u16 = 4;
/// Fraction of all requests that go to one bursting model in addition to its regular share. Another model
/// bursts every 8 seconds.
const BURST: f64 = 0.12;
/// One in this many stored blocks is missing from the cache events.
const GAP: u64 = 10;

/// Policy that chooses the engine of a request.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    RoundRobin,
    LeastOutstanding,
    Reducer { affinity: bool },
}

#[derive(Clone)]
struct Demand {
    at: u64,
    model: usize,
    prefix: Vec<u64>,
    tokens: u64,
}

/// A scheduled step of the simulation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Reach { engine: usize, request: usize, attempt: u16 },
    First { request: usize, attempt: u16 },
    End { engine: usize, request: usize, attempt: u16 },
    Publish(usize),
    Report { engine: usize, load: u32, stored: Vec<u64>, evicted: Vec<u64> },
    Wake(usize),
}

/// Generates requests for bursty models with prompts that share prefixes.
fn generate(seed: u64, rate: f64) -> Vec<Demand> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut demand = Vec::new();
    let mut at = 0.0;
    let mut burst = 0;
    let mut next_burst = 0.0;
    while at < (SECONDS * 1_000) as f64 {
        at += -(1.0 - rng.f64()).ln() * 1_000.0 / rate;
        if at >= next_burst {
            burst = rng.usize(..MODELS);
            next_burst = at + 8_000.0;
        }
        let zipf = |rng: &mut fastrand::Rng, n: usize| ((n as f64).powf(rng.f64()) - 1.0) as usize;
        let model = if rng.f64() < BURST { burst } else { rng.usize(..MODELS) };
        let shared = (model * 1_000 + zipf(&mut rng, 40)) as u64;
        let own = rng.u64(..);
        let block = |of: u64, block: u64| (of * 64 + block).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let prefix = (0..24).map(|n| block(shared, n)).chain((0..4).map(|n| block(own >> 8, n)));
        let tokens = 10 + (-(1.0 - rng.f64()).ln() * 50.0) as u64;
        demand.push(Demand { at: at as u64, model, prefix: prefix.collect(), tokens });
    }
    demand
}

struct Run<'a> {
    policy: Policy,
    demand: &'a [Demand],
    engines: Vec<Engine>,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    order: u64,
    now: u64,
    /// Entry VMs, for the policy `Reducer`.
    nodes: Vec<Node>,
    wake_at: Vec<u64>,
    /// Current attempt of each request, its time to the first token in milliseconds, and whether it was
    /// refused.
    attempts: Vec<u16>,
    first: Vec<Option<u64>>,
    refused: Vec<bool>,
    /// For the other policies: open requests at each engine by entry VM, and the round-robin position of
    /// each model.
    outstanding: Vec<Vec<u32>>,
    turn: Vec<usize>,
    rng: fastrand::Rng,
}

impl<'a> Run<'a> {
    fn new(policy: Policy, demand: &'a [Demand]) -> Self {
        let nodes = match policy {
            Policy::Reducer { .. } => (0..ENTRIES).map(|_| Node::new(ENGINES, MODELS, HELD, SLOTS)).collect(),
            _ => Vec::new(),
        };
        let mut run = Self {
            policy,
            demand,
            engines: (0..ENGINES).map(|_| Engine::new(SLOTS, CACHE)).collect(),
            steps: BinaryHeap::new(),
            order: 0,
            now: 0,
            nodes,
            wake_at: vec![u64::MAX; ENTRIES],
            attempts: vec![0; demand.len()],
            first: vec![None; demand.len()],
            refused: vec![false; demand.len()],
            outstanding: vec![vec![0; ENGINES]; ENTRIES],
            turn: vec![0; MODELS],
            rng: fastrand::Rng::with_seed(5),
        };
        for (request, each) in demand.iter().enumerate() {
            run.at(each.at, Step::Arrive(request));
        }
        for engine in 0..ENGINES {
            run.at(engine as u64 * 13, Step::Publish(engine));
        }
        run
    }

    fn at(&mut self, at: u64, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, _, step))) = self.steps.pop() {
            if at > (SECONDS + 30) * 1_000 {
                break;
            }
            self.now = at;
            self.step(step);
        }
        self
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(request) => self.arrive(request),
            Step::Reach { engine, request, attempt } => self.reach(engine, request, attempt),
            Step::First { request, attempt } => {
                if self.attempts[request] == attempt {
                    self.first[request] = Some(self.now - self.demand[request].at);
                    self.engine_event(request, |attempt| Event::Head { attempt, echo: Some(attempt) });
                    self.engine_event(request, |attempt| Event::Chunk { attempt, offset: 0 });
                }
            }
            Step::End { engine, request, attempt } => self.end(engine, request, attempt),
            Step::Publish(engine) => self.publish(engine),
            Step::Report { engine, load, stored, evicted } => self.report(engine, load, &stored, &evicted),
            Step::Wake(entry) => self.event(entry, Event::Wake),
        }
    }

    fn arrive(&mut self, request: usize) {
        let entry = request % ENTRIES;
        let Policy::Reducer { affinity } = self.policy else {
            self.send_plain(request, 1);
            return;
        };
        let demand = &self.demand[request];
        let prefix = if affinity { demand.prefix.clone() } else { Vec::new() };
        let time = Time::from_millis(1_000_000 + self.now);
        let arrival =
            self.nodes[entry].arrival(request as u64, demand.model, prefix, demand.tokens, PATIENCE, time);
        self.event(entry, arrival);
    }

    /// Sends a request to an engine by round robin or to the one with the fewest open requests.
    fn send_plain(&mut self, request: usize, attempt: u16) {
        if attempt > TRIES {
            self.refused[request] = true;
            return;
        }
        let entry = request % ENTRIES;
        let model = self.demand[request].model;
        let holders: Vec<usize> = (0..ENGINES)
            .filter(|engine| (0..HELD).any(|held| (engine * HELD + held) % MODELS == model))
            .collect();
        let outstanding = &self.outstanding[entry];
        let engine = if self.policy == Policy::RoundRobin {
            self.turn[model] += 1;
            holders[self.turn[model] % holders.len()]
        } else {
            let first = self.rng.usize(..holders.len());
            let from = holders.iter().cycle().skip(first).take(holders.len());
            from.min_by_key(|engine| outstanding[**engine]).copied().unwrap_or(0)
        };
        self.outstanding[entry][engine] += 1;
        self.attempts[request] = attempt;
        self.at(self.now + NETWORK_MS, Step::Reach { engine, request, attempt });
    }

    fn reach(&mut self, engine: usize, request: usize, attempt: u16) {
        let demand = &self.demand[request];
        let job = Job { request, prefix: demand.prefix.clone(), tokens: demand.tokens };
        match self.engines[engine].take(job) {
            Ok(Some(times)) => self.started(engine, request, attempt, times),
            Ok(None) => {}
            Err(_) if self.nodes.is_empty() => {
                self.outstanding[request % ENTRIES][engine] -= 1;
                self.send_plain(request, attempt + 1);
            }
            Err(_) => {
                let failure = Failure::Refused(Refusal::Busy);
                self.engine_event(request, |attempt| Event::Failed { attempt, failure });
            }
        }
    }

    fn started(&mut self, engine: usize, request: usize, attempt: u16, times: Times) {
        self.at(self.now + times.first + NETWORK_MS, Step::First { request, attempt });
        self.at(self.now + times.end, Step::End { engine, request, attempt });
    }

    fn end(&mut self, engine: usize, request: usize, attempt: u16) {
        if let Some((job, times)) = self.engines[engine].done() {
            let next = self.attempts[job.request];
            self.started(engine, job.request, next, times);
        }
        if self.nodes.is_empty() {
            self.outstanding[request % ENTRIES][engine] -= 1;
        } else if self.attempts[request] == attempt {
            self.engine_event(request, |attempt| Event::Finished { attempt, length: 1 });
        }
    }

    fn publish(&mut self, engine: usize) {
        self.at(self.now + REPORT_MS, Step::Publish(engine));
        let each = &mut self.engines[engine];
        let (stored, evicted) = (std::mem::take(&mut each.stored), std::mem::take(&mut each.evicted));
        let load = each.running + each.waiting.len() as u32;
        self.at(self.now + REPORT_LAG_MS, Step::Report { engine, load, stored, evicted });
    }

    fn report(&mut self, engine: usize, load: u32, stored: &[u64], evicted: &[u64]) {
        let stored: Vec<u64> = stored.iter().copied().filter(|block| block % GAP != 0).collect();
        for entry in 0..self.nodes.len() {
            let report = self.nodes[entry].reported(engine, load);
            self.event(entry, report);
            let (stored, evicted) = (stored.clone(), evicted.to_vec());
            let engine = format!("engine-{engine}").into();
            let update = CacheUpdate { engine, seq: 0, stored, evicted, cleared: false };
            self.event(entry, Event::CacheChanged(Box::new(update)));
        }
    }

    fn engine_event(&mut self, request: usize, event: impl Fn(Attempt) -> Event) {
        if self.nodes.is_empty() {
            return;
        }
        let entry = request % ENTRIES;
        let attempt = Attempt { request: node::request(request as u64), n: self.attempts[request] };
        self.event(entry, event(attempt));
    }

    /// Passes an event to an entry VM and carries out its effects.
    fn event(&mut self, entry: usize, event: Event) {
        let time = Time::from_millis(1_000_000 + self.now);
        for effect in self.nodes[entry].apply(time, event) {
            match effect {
                Effect::Send(send) => {
                    let request = (send.attempt.request.seq - 1) as usize;
                    let engine = send.backend.trim_start_matches("engine-").parse().unwrap_or(0);
                    self.attempts[request] = send.attempt.n;
                    let attempt = send.attempt.n;
                    self.at(self.now + NETWORK_MS, Step::Reach { engine, request, attempt });
                }
                Effect::End { request, end } if end.attempt().is_none() => {
                    self.refused[(request.seq - 1) as usize] = true;
                }
                Effect::WakeAt(at) => {
                    let at = at.as_millis().saturating_sub(1_000_000) + 1;
                    if self.wake_at[entry] != at {
                        self.wake_at[entry] = at;
                        self.at(at.max(self.now), Step::Wake(entry));
                    }
                }
                _ => {}
            }
        }
    }

    fn print(&self, name: &str) {
        let mut first: Vec<u64> = self.first.iter().flatten().copied().collect();
        first.sort_unstable();
        let all = self.demand.len();
        let met = first.iter().filter(|first| **first <= TARGET_MS).count();
        let refused = self.refused.iter().filter(|refused| **refused).count();
        let at = |part: usize| first.get(first.len() * part / 100).copied().unwrap_or(0);
        let hits: u64 = self.engines.iter().map(|engine| engine.hits).sum();
        let looked: u64 = self.engines.iter().map(|engine| engine.looked).sum();
        println!(
            "{name:<34} {:>7.2}% {:>8} {:>8} {:>9.2}% {:>7.1}%",
            met as f64 * 100.0 / all as f64,
            at(50),
            at(99),
            refused as f64 * 100.0 / all as f64,
            hits as f64 * 100.0 / looked.max(1) as f64,
        );
    }
}

fn main() {
    for rate in [45.0, 60.0, 75.0] {
        let demand = generate(3, rate);
        println!("\n{} requests, {rate} a second, {ENGINES} engines", demand.len());
        println!("policy                               met  p50 ms   p99 ms    refused  cached");
        for (name, policy) in [
            ("round robin", Policy::RoundRobin),
            ("least outstanding", Policy::LeastOutstanding),
            ("this, without prefix affinity", Policy::Reducer { affinity: false }),
            ("this, with prefix affinity", Policy::Reducer { affinity: true }),
        ] {
            Run::new(policy, &demand).run().print(name);
        }
    }
}
