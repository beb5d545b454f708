//! Simulated deployment in which requests share parts of their prompts, and one part crashes each engine that
//! begins to write an answer to it. Events are drawn at random, without a network.

#![allow(dead_code, reason = "each test uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::path::Relay;
use boragecove_fleet::request::{Arrival, End, Fingerprint, Id, Step, Timing};
use boragecove_fleet::schedule::Grant;

use crate::links::{LARGE, Links, SMALL};
use crate::node::{BUILD, HOST, WRITER, config, entry, listing, millis, removed, row, streamed};

/// Time within which all connected entry VMs learn what one of them has observed.
pub const PROPAGATION: Duration = Duration::from_secs(3);
/// Number of crashes under a part after which, and [`PROPAGATION`] later, hardly any request with it may be sent.
pub const CRASHES_MAX: usize = 5;
/// Maximum number of requests sent after that.
pub const LATER_MAX: usize = 3;
/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(10);
/// Time from sending a request to the begin of its run.
const ARRIVAL: Duration = Duration::from_millis(10);
/// Time from an answer's first event to its end, and between two events.
const WRITING: Duration = Duration::from_millis(600);
const EVENT: Duration = Duration::from_millis(100);
/// Number of different first parts, and of different second parts.
pub const FIRSTS: u64 = 5;
pub const SECONDS: u64 = 200;

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    pub vms: usize,
    pub engines: usize,
    pub slots: u32,
    /// Harmless requests per second.
    pub harmless: f64,
    /// Requests per second with each bad part.
    pub bad: f64,
    /// Parts that crash engines.
    pub parts: Vec<Bad>,
    /// Maximum time that an engine reads before it writes; the minimum is 30 ms.
    pub read: Duration,
    /// Time from the begin of an answer with a bad part to the crash of its engine.
    pub time_to_crash: Duration,
    /// Whether such an engine sends a first event before it crashes.
    pub first_event: bool,
    /// Whether answers end with their connections, so that an answer that a crash breaks off looks complete.
    pub closes: bool,
    /// Time for which a crashed engine is gone.
    pub down: Duration,
    /// Times at which all engines crash for another cause.
    pub waves: Vec<Duration>,
    /// Times at which entry VMs are killed, each with the fraction of them.
    pub kills: Vec<(Duration, f64)>,
    /// Time at which the hub is suspended, and for how long.
    pub suspended: Option<(Duration, Duration)>,
    /// Time from which bad requests arrive.
    pub from: Duration,
    pub duration: Duration,
    /// Path of the requests.
    pub path: &'static str,
    /// Number of tries of each caller; a failed request is retried at once.
    pub tries: u32,
}

/// A part that crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// The first part of a prompt.
    First(u64),
    /// A second part that harmless requests contained before.
    Second(u64),
    /// A second part that no harmless request contains.
    Fresh(u64),
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            vms: 9,
            engines: 18,
            slots: 30,
            harmless: 100.0,
            bad: 2.0,
            parts: vec![Bad::Fresh(7)],
            read: millis(30),
            time_to_crash: millis(50),
            first_event: false,
            closes: false,
            down: Duration::from_secs(2),
            waves: Vec::new(),
            kills: Vec::new(),
            suspended: None,
            from: Duration::from_secs(3),
            duration: Duration::from_secs(25),
            path: "/brief/1",
            tries: 1,
        }
    }
}

#[derive(Clone, Debug)]
struct Request {
    text: String,
    parts: [String; 2],
    bad: Option<usize>,
    arrived: Time,
    tries: u32,
}

#[derive(Clone, Debug)]
struct Run {
    vm: usize,
    request: Id,
    attempt: u32,
    engine: Name,
    /// When the request reaches the engine.
    begins: Time,
    /// When the engine writes the first event.
    writes: Time,
    /// When the last event was reported; none before the first.
    last_event: Option<Time>,
}

/// Counts of harmless requests and of those whose answers began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub asked: usize,
    pub began: usize,
}

impl Served {
    pub fn share(self) -> f64 {
        if self.asked == 0 { 1.0 } else { self.began as f64 / self.asked as f64 }
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of crashes under each bad part.
    pub crashes: Vec<usize>,
    /// Number of requests with each bad part that were sent from [`PROPAGATION`] after the fifth crash.
    pub later: Vec<usize>,
    /// Number of harmless requests, and of those that were refused because of crashes.
    pub harmless: usize,
    pub wrongly_refused: usize,
    /// Shared parts of the harmless requests that were refused.
    pub blamed_parts: BTreeSet<String>,
    /// Harmless requests with the first part of the bad ones, and all others, from twice [`PROPAGATION`] after the
    /// fifth crash, or after the last.
    pub same_first_part: Served,
    pub others: Served,
    /// Number of pushed messages.
    pub pushed_messages: usize,
}

struct World {
    settings: Settings,
    links: Links,
    rng: fastrand::Rng,
    version: u64,
    begin: Time,
    engines: BTreeSet<Name>,
    gone: Vec<Name>,
    restarts: Vec<Time>,
    started: usize,
    drawn: u64,
    runs: Vec<Run>,
    requests: BTreeMap<(usize, Id), Request>,
    retries: Vec<(usize, Request)>,
    /// Times of the crashes, and of the sent requests, for each bad part.
    crashes: Vec<Vec<Time>>,
    attempts: Vec<Vec<Time>>,
    /// Harmless requests: when they arrived, whether they have the first part of the bad ones, and whether
    /// their answer began at the first attempt.
    served: BTreeMap<(usize, Id), (Time, bool, bool)>,
    /// Time until which an entry VM that was killed or suspended does not count as connected.
    disconnected_until: Vec<Time>,
    outcome: Outcome,
}

/// Runs a simulation.
pub fn simulate(settings: Settings) -> Outcome {
    let mut world = World::new(settings);
    let ticks = world.settings.duration.as_millis() / TICK.as_millis();
    for _ in 0..ticks {
        world.tick();
    }
    world.outcome()
}

impl World {
    fn new(settings: Settings) -> Self {
        let rates: Vec<f64> = (0..settings.vms).map(|at| if at % 3 == 0 { LARGE } else { SMALL }).collect();
        let links = Links::new(&rates, &Arc::new(config(1)));
        let bad = settings.parts.len();
        let mut world = Self {
            begin: links.now,
            links,
            rng: fastrand::Rng::with_seed(settings.seed),
            version: 1,
            engines: BTreeSet::new(),
            gone: Vec::new(),
            restarts: Vec::new(),
            started: 0,
            drawn: 0,
            runs: Vec::new(),
            requests: BTreeMap::new(),
            retries: Vec::new(),
            crashes: vec![Vec::new(); bad],
            attempts: vec![Vec::new(); bad],
            served: BTreeMap::new(),
            disconnected_until: vec![Time::default(); settings.vms],
            outcome: Outcome::default(),
            settings,
        };
        for _ in 0..world.settings.engines {
            world.start();
        }
        world.links.pass(Duration::from_secs(3));
        world.begin = world.links.now;
        world
    }

    fn start(&mut self) {
        self.started += 1;
        let id: Name = format!("w{}", self.started).into();
        let zone = ["zone-a", "zone-b", "zone-c"][self.started % 3];
        let entry = boragecove_fleet::engine::Entry {
            slots: self.settings.slots,
            ..entry(&id, WRITER, zone, &["m0"])
        };
        self.version += 1;
        let mut rows = vec![row(self.version, entry)];
        // By then the store has removed the engines that crashed.
        for gone in std::mem::take(&mut self.gone) {
            self.version += 1;
            rows.push(removed(self.version, &gone));
        }
        self.engines.insert(id);
        let version = self.version;
        (0..self.links.len()).for_each(|vm| self.links.feed(vm, listing(rows.clone(), version, false)));
    }

    fn now(&self) -> Time {
        self.links.now
    }

    fn since_begin(&self) -> Duration {
        self.now().since(self.begin)
    }

    /// Number of arrivals in this time step at `rate` per second.
    fn comes(&mut self, rate: f64) -> usize {
        let expected = rate * TICK.as_secs_f64();
        expected as usize + usize::from(self.rng.f64() < expected.fract())
    }

    fn vm(&mut self) -> Option<usize> {
        let vm = self.rng.usize(..self.settings.vms);
        self.links.runs(vm).then_some(vm)
    }

    fn draw(&mut self, bad: Option<usize>) -> Request {
        self.drawn += 1;
        let mut first = self.rng.u64(..FIRSTS);
        let mut second = format!("s{}", self.rng.u64(..SECONDS));
        match bad.map(|bad| self.settings.parts[bad]) {
            None => {}
            Some(Bad::First(part)) => first = part,
            Some(Bad::Second(part)) => (first, second) = (0, format!("s{part}")),
            Some(Bad::Fresh(part)) => (first, second) = (0, format!("x{part}")),
        }
        let parts = [format!("f{first}"), second];
        // A request that draws a bad part by chance is a bad request as well.
        let bad = bad.or_else(|| {
            let is_bad = |bad: &Bad| match bad {
                Bad::First(part) => parts[0] == format!("f{part}"),
                Bad::Second(part) => parts[1] == format!("s{part}"),
                Bad::Fresh(_) => false,
            };
            let from = self.since_begin() >= self.settings.from;
            self.settings.parts.iter().position(is_bad).filter(|_| from)
        });
        let text = format!("request {}", self.drawn);
        Request { text, parts, bad, arrived: self.now(), tries: self.settings.tries }
    }

    fn arrive(&mut self, vm: usize, request: Request, first: bool) {
        self.drawn += 1;
        let id = Id(self.drawn);
        let parts = request.parts.iter().map(|part| Fingerprint::of_part(part)).collect();
        let path = self.settings.path;
        let fingerprint = Fingerprint::of(HOST, path, request.text.as_bytes());
        let arrival = Arrival { fingerprint, parts, ..streamed(path, "m0", None) };
        if request.bad.is_none() && first {
            self.outcome.harmless += 1;
            self.served.insert((vm, id), (self.now(), request.parts[0] == "f0", false));
        }
        self.requests.insert((vm, id), request);
        self.links.feed(vm, Event::Arrive { request: id, arrival: Box::new(arrival) });
        self.follow();
    }

    /// Carries out the effects of entry VMs for requests.
    fn follow(&mut self) {
        loop {
            let wanted = self.links.wanted();
            if wanted.is_empty() {
                return;
            }
            for (vm, effect) in wanted {
                match effect {
                    Effect::Reserve { request, .. } => {
                        let grant = Some(Grant::After(Duration::ZERO));
                        self.links.feed(vm, Event::Granted { request, grant });
                    }
                    Effect::Step { request, step } => self.step(vm, request, step),
                    Effect::Probe { engine, .. } => {
                        let reach = self.reach(&engine);
                        self.links.feed(vm, Event::Probed { engine, reach });
                    }
                    Effect::IndirectProbe { engine, .. } => {
                        let reach = Some(self.reach(&engine));
                        self.links.feed(vm, Event::ProbedIndirectly { engine, reach });
                    }
                    Effect::AskPath { vm: by, address, engine } => {
                        let reach = Some(self.reach(&engine));
                        let by = Relay { vm: by, address };
                        self.links.feed(vm, Event::PathSeen { engine, by, reach });
                    }
                    _ => {}
                }
            }
        }
    }

    fn step(&mut self, vm: usize, request: Id, step: Step) {
        self.runs.retain(|run| (run.vm, run.request) != (vm, request));
        let Some(known) = self.requests.get(&(vm, request)).cloned() else {
            return;
        };
        match step {
            Step::Send(attempt) => {
                if let Some(bad) = known.bad {
                    let now = self.now();
                    if now >= self.disconnected_until[vm] {
                        self.attempts[bad].push(now);
                    }
                }
                let longest = self.settings.read.max(millis(30)).as_secs_f64();
                let read = 0.03 + self.rng.f64() * (longest - 0.03);
                let begins = attempt.at + ARRIVAL;
                let run = Run {
                    vm,
                    request,
                    attempt: attempt.number,
                    engine: attempt.engine,
                    begins,
                    writes: begins + Duration::from_secs_f64(read),
                    last_event: None,
                };
                if self.engines.contains(&run.engine) {
                    self.runs.push(run);
                } else {
                    self.end(&run, End::Unsent);
                }
            }
            Step::Refuse(refusal) => {
                self.requests.remove(&(vm, request));
                if known.bad.is_none() && refusal.code == Code::CrashesBackends {
                    self.outcome.wrongly_refused += 1;
                    self.outcome.blamed_parts.extend(known.parts.clone());
                } else if refusal.code != Code::CrashesBackends {
                    self.retry(&known);
                }
            }
            Step::Forward => {
                self.requests.remove(&(vm, request));
            }
            Step::Hold => {}
        }
    }

    /// The caller retries at another entry VM.
    fn retry(&mut self, request: &Request) {
        if request.tries > 1
            && let Some(vm) = self.vm()
        {
            self.retries.push((vm, Request { tries: request.tries - 1, ..request.clone() }));
        }
    }

    fn end(&mut self, run: &Run, end: End) {
        let events = Timing { unframed: self.settings.closes, ..Timing::default() };
        let ended = Event::Ended { request: run.request, attempt: run.attempt, end, events };
        self.links.feed(run.vm, ended);
    }

    /// Crashes an engine: its runs break.
    fn crash(&mut self, engine: &Name, bad: Option<usize>) {
        if !self.engines.remove(engine) {
            return;
        }
        self.gone.push(engine.clone());
        self.restarts.push(self.now() + self.settings.down);
        if let Some(bad) = bad {
            let now = self.now();
            self.crashes[bad].push(now);
        }
        let broken: Vec<Run> = self.runs.extract_if(.., |run| run.engine == *engine).collect();
        for run in &broken {
            let end = match run {
                Run { begins, .. } if *begins > self.now() => End::Unsent,
                Run { last_event: Some(_), .. } if self.settings.closes => End::Done,
                _ => End::Lost,
            };
            self.end(run, end);
        }
        self.follow();
    }

    /// Result of a probe of an engine's port.
    fn reach(&self, engine: &Name) -> Port {
        if self.engines.contains(engine) { Port::Open } else { Port::Closed }
    }

    fn tick(&mut self) {
        self.links.pass(TICK);
        self.follow();
        let at = self.since_begin();
        let now = self.now();
        let due = self.restarts.iter().filter(|at| **at <= now).count();
        self.restarts.retain(|at| *at > now);
        (0..due).for_each(|_| self.start());
        self.inject_faults(at);
        for (vm, request) in std::mem::take(&mut self.retries) {
            self.arrive(vm, request, false);
        }
        for _ in 0..self.comes(self.settings.harmless) {
            let request = self.draw(None);
            if let Some(vm) = self.vm() {
                self.arrive(vm, request, true);
            }
        }
        for bad in 0..self.settings.parts.len() {
            if at < self.settings.from {
                continue;
            }
            for _ in 0..self.comes(self.settings.bad) {
                let request = self.draw(Some(bad));
                if let Some(vm) = self.vm() {
                    self.arrive(vm, request, false);
                }
            }
        }
        self.write();
    }

    /// Kills entry VMs, suspends the hub, and crashes engines for another cause.
    fn inject_faults(&mut self, at: Duration) {
        let is_now = |then: Duration| then <= at && at < then + TICK;
        if self.settings.waves.iter().any(|wave| is_now(*wave)) {
            for engine in self.engines.clone() {
                self.crash(&engine, None);
            }
        }
        for (_, part) in self.settings.kills.clone().into_iter().filter(|(kill, _)| is_now(*kill)) {
            for vm in 0..self.settings.vms {
                if self.rng.f64() < part {
                    self.kill(vm);
                }
            }
        }
        if let Some((from, duration)) = self.settings.suspended {
            if is_now(from) {
                self.links.suspend(0, true);
            }
            if is_now(from + duration) {
                self.links.suspend(0, false);
                self.disconnected_until[0] = self.now() + PROPAGATION;
            }
        }
    }

    fn kill(&mut self, vm: usize) {
        self.disconnected_until[vm] = self.now() + PROPAGATION;
        self.runs.retain(|run| run.vm != vm);
        self.requests.retain(|(of, _), _| *of != vm);
        self.links.restart(vm);
        self.links.feed(vm, Event::Configured(Arc::new(config(1))));
        let rows = self.engines.iter().map(|id| {
            let number: usize = id[1..].parse().expect("an engine's name ends with its number");
            let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
            let entry = boragecove_fleet::engine::Entry {
                slots: self.settings.slots,
                ..entry(id, WRITER, zone, &["m0"])
            };
            row(self.version, entry)
        });
        let rows = rows.collect();
        self.links.feed(vm, listing(rows, self.version, true));
    }

    /// Lets engines write events, or crash.
    fn write(&mut self) {
        let now = self.now();
        let crashes = |world: &Self, run: &Run| {
            let request = world.requests.get(&(run.vm, run.request))?;
            request.bad.filter(|_| run.writes + world.settings.time_to_crash <= now)
        };
        while let Some((engine, bad)) =
            self.runs.iter().find_map(|run| Some((run.engine.clone(), crashes(self, run)?)))
        {
            self.crash(&engine, Some(bad));
        }
        for at in 0..self.runs.len() {
            let run = &self.runs[at];
            let Some(request) = self.requests.get(&(run.vm, run.request)) else {
                continue;
            };
            let writes = run.writes <= now && (request.bad.is_none() || self.settings.first_event);
            let due = run.last_event.is_none_or(|at| at + EVENT <= now);
            if !writes || !due {
                continue;
            }
            let (vm, request, attempt) = (run.vm, run.request, run.attempt);
            self.runs[at].last_event = Some(now);
            self.links.feed(vm, Event::Began { request, build: Some(BUILD.into()) });
            if let Some((_, _, began)) = self.served.get_mut(&(vm, request)).filter(|_| attempt == 1) {
                *began = true;
            }
        }
        let harmless =
            |run: &Run| self.requests.get(&(run.vm, run.request)).is_none_or(|known| known.bad.is_none());
        let over = |run: &mut Run| run.writes + WRITING <= now && harmless(run);
        let over: Vec<Run> = self.runs.extract_if(.., over).collect();
        for run in &over {
            self.end(run, End::Done);
        }
        self.follow();
    }

    fn outcome(mut self) -> Outcome {
        let mut from: Option<Time> = None;
        for (crashes, attempts) in self.crashes.iter().zip(&self.attempts) {
            self.outcome.crashes.push(crashes.len());
            let fifth = crashes.get(CRASHES_MAX - 1);
            let later =
                fifth.map_or(0, |fifth| attempts.iter().filter(|at| **at > *fifth + PROPAGATION).count());
            self.outcome.later.push(later);
            let last = fifth.or(crashes.last()).map(|at| *at + PROPAGATION * 2);
            from = from.max(last);
        }
        let from = from.unwrap_or(self.begin);
        // The last requests had no time to begin.
        let until = self.now() - Duration::from_secs(3);
        for (came, same_first_part, began) in
            self.served.values().filter(|(came, _, _)| *came >= from && *came < until)
        {
            let _ = came;
            let served =
                if *same_first_part { &mut self.outcome.same_first_part } else { &mut self.outcome.others };
            served.asked += 1;
            served.began += usize::from(*began);
        }
        self.outcome.pushed_messages = self.links.pushes();
        self.outcome
    }
}
