//! Six entry VMs in three availability zones as processes of their own, while engines turn most requests away: processes are killed, one or all at once, told to
//! stop, stand still, and the store is away, in series and one beside the other. Callers go on all the while, on connections that they keep until
//! the process is gone. Engines count what arrives again.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod serving;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serving::{Called, Caller, Entry, LIMIT, plain};
use standin::{Engine, Script, Store, config};

const ENTRIES: usize = 6;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 12;
const CALLERS: usize = 12;
/// One of so many arrivals at an engine is served.
const SERVED_EACH: usize = 3;
/// What operators allow: this part of the requests of a window, and so many repeats beyond that.
const RATIO: f64 = 0.2;
const SLACK: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(4);
/// How long things go wrong.
const SERIES: Duration = Duration::from_secs(14);
const CALM: Duration = Duration::from_secs(2);
/// How long a caller waits for an answer.
const ANSWER: Duration = Duration::from_secs(2);

/// What goes wrong, one beside the other.
#[derive(Clone, Copy, Debug)]
enum Action {
    Kill(usize),
    KillAll,
    /// The leader is killed.
    KillLeader,
    /// A process is told to stop, and another starts in its place at once.
    Terminate(usize),
    /// A process stands still for so long.
    Stop(usize, Duration),
    /// The store refuses all calls for so long.
    Away(Duration),
}

/// What ends later.
#[derive(Clone, Copy, Debug)]
enum End {
    Stop(usize),
    Away,
}

struct Deployment {
    name: String,
    more: String,
    store: Store,
    entries: Vec<Entry>,
    /// Processes that were told to stop.
    stopping: Vec<Entry>,
    engines: Vec<Engine>,
    callers: Arc<Mutex<Vec<SocketAddr>>>,
    rng: fastrand::Rng,
    started: usize,
    ends: Vec<(Instant, End)>,
}

/// A caller that asks one entry VM after the other, and keeps each connection for as long as it is answered there. Returns when it sent requests.
fn caller(
    number: usize,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<Vec<Instant>> {
    thread::spawn(move || {
        let mut caller = Caller::default();
        let mut asked = Vec::new();
        for request in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            thread::sleep(Duration::from_millis(40));
            let address = addresses.lock().expect("whole")[(request + number) % ENTRIES];
            let text = plain("/ack/1", &format!("c{number}-{request}")).replace("Connection: close\r\n", "");
            let at = Instant::now();
            if !matches!(caller.call(address, &text, ANSWER), Called::Unsent) {
                asked.push(at);
            }
        }
        asked
    })
}

impl Deployment {
    /// Its processes go by this ratio and this slack, whatever operators allow.
    fn start(name: &str, seed: u64, ratio: f64, slack: f64) -> Self {
        let store = Store::start();
        store.put("op", "config", &config(1));
        let more = format!(
            r#", "repeats": {{"ratio": {ratio}, "slack": {slack}, "window": "{}s"}}"#,
            WINDOW.as_secs()
        );
        let mut deployment = Self {
            name: format!("{name}-{seed}"),
            more,
            store,
            entries: Vec::new(),
            stopping: Vec::new(),
            engines: Vec::new(),
            callers: Arc::default(),
            rng: fastrand::Rng::with_seed(seed),
            started: 0,
            ends: Vec::new(),
        };
        for at in 0..ENTRIES {
            let entry = deployment.entry(at);
            deployment.callers.lock().expect("whole").push(entry.callers);
            deployment.entries.push(entry);
        }
        for number in 0..ENGINES {
            let engine = Engine::start(&deployment.store, &format!("i-{number}"), "gateway", &[]);
            engine.play(Script::Shed(SERVED_EACH));
            deployment.engines.push(engine);
        }
        deployment.entries.iter().for_each(|entry| entry.wait_for(200));
        deployment
    }

    fn entry(&mut self, at: usize) -> Entry {
        self.started += 1;
        // Its settings file is its own: that of the one before goes with it.
        let name = format!("{}-{at}-{}", self.name, self.started);
        Entry::start_in(ZONES[at % ZONES.len()], &name, &self.store, &self.more)
    }

    /// Another process starts in the place of one. Returns that.
    fn replace(&mut self, at: usize) -> Entry {
        let next = self.entry(at);
        self.callers.lock().expect("whole")[at] = next.callers;
        std::mem::replace(&mut self.entries[at], next)
    }

    fn kill(&mut self, at: usize) {
        self.entries[at].signal("-KILL");
        drop(self.replace(at));
    }

    fn some_ms(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.rng.u64(0..=most))
    }

    fn action(&mut self) -> Action {
        let at = self.rng.usize(0..ENTRIES);
        match self.rng.u32(0..10) {
            0..=1 => Action::Kill(at),
            2..=4 => Action::KillAll,
            5 => Action::KillLeader,
            6 => Action::Terminate(at),
            7..=8 => Action::Stop(at, self.some_ms(3_000)),
            _ => Action::Away(self.some_ms(2_500)),
        }
    }

    fn is_stopped(&self, at: usize) -> bool {
        self.ends.iter().any(|(_, end)| matches!(end, End::Stop(of) if *of == at))
    }

    fn act(&mut self, action: Action) {
        let now = Instant::now();
        match action {
            Action::Kill(at) => self.kill(at),
            Action::KillAll => (0..ENTRIES).for_each(|at| self.kill(at)),
            Action::KillLeader => {
                // One that stands still would not answer.
                let leads = |at: &usize| !self.is_stopped(*at) && self.entries[*at].leads();
                if let Some(leader) = (0..ENTRIES).find(leads) {
                    self.kill(leader);
                }
            }
            Action::Terminate(at) => {
                self.entries[at].terminate();
                let stopping = self.replace(at);
                self.stopping.push(stopping);
            }
            Action::Stop(at, _) if self.is_stopped(at) => {}
            Action::Stop(at, time) => {
                self.entries[at].signal("-STOP");
                self.ends.push((now + time, End::Stop(at)));
            }
            Action::Away(time) => {
                self.store.down(true);
                self.ends.push((now + time, End::Away));
            }
        }
    }

    /// Ends what is due by then.
    fn end_due(&mut self, by: Instant) {
        let due: Vec<_> = self.ends.extract_if(.., |(at, _)| *at <= by).collect();
        for (_, end) in due {
            match end {
                // Another may run in its place by now, which goes on anyhow.
                End::Stop(at) => self.entries[at].signal("-CONT"),
                End::Away => self.store.down(false),
            }
        }
    }

    /// Things go wrong for so long; then all is well again. Returns what was done.
    fn series(&mut self, time: Duration) -> Vec<Action> {
        let end = Instant::now() + time;
        let mut actions = Vec::new();
        while Instant::now() < end {
            let action = self.action();
            self.act(action);
            actions.push(action);
            thread::sleep(self.some_ms(900));
            self.end_due(Instant::now());
        }
        self.end_due(end + LIMIT);
        self.entries.iter().for_each(|entry| entry.wait_for(200));
        thread::sleep(CALM);
        actions
    }

    /// When requests arrived that had arrived before.
    fn repeats(&self) -> Vec<Instant> {
        let mut arrivals: Vec<(Instant, String)> = self.engines.iter().flat_map(Engine::arrivals).collect();
        arrivals.sort();
        let mut known = BTreeSet::new();
        arrivals.into_iter().filter(|(_, id)| !known.insert(id.clone())).map(|(at, _)| at).collect()
    }
}

/// The window in which most of what is allowed was sent again: the repeats in it, and what is allowed.
fn worst(repeats: &[Instant], asked: &[Instant]) -> (usize, f64) {
    let within = |times: &[Instant], end: Instant| {
        times.iter().filter(|at| **at <= end && end.duration_since(**at) <= WINDOW).count()
    };
    let window = |end: &Instant| {
        let ends = [Some(*end), end.checked_sub(WINDOW / 2), end.checked_sub(WINDOW)];
        let requests = ends.into_iter().flatten().map(|end| within(asked, end)).max().unwrap_or_default();
        (within(repeats, *end), RATIO.mul_add(requests as f64, SLACK))
    };
    let part = |(repeats, allowed): &(usize, f64)| *repeats as f64 / allowed;
    let windows = repeats.iter().map(window);
    windows.max_by(|one, other| part(one).total_cmp(&part(other))).unwrap_or((0, SLACK))
}

/// Plays a seed. Returns the worst window.
fn play(name: &str, seed: u64, ratio: f64, slack: f64) -> (usize, f64) {
    let mut deployment = Deployment::start(name, seed, ratio, slack);
    let stop = Arc::new(AtomicBool::new(false));
    let start = |number| caller(number, Arc::clone(&deployment.callers), Arc::clone(&stop));
    let threads: Vec<JoinHandle<Vec<Instant>>> = (0..CALLERS).map(start).collect();
    thread::sleep(CALM);
    let actions = deployment.series(SERIES);
    stop.store(true, Ordering::Relaxed);
    let mut asked: Vec<Instant> =
        threads.into_iter().flat_map(|thread| thread.join().expect("ends")).collect();
    asked.sort();
    let repeats = deployment.repeats();
    let worst = worst(&repeats, &asked);
    println!(
        "seed {seed}: {} requests, {} repeats, {} of {:.1} in the worst window; {} things done",
        asked.len(),
        repeats.len(),
        worst.0,
        worst.1,
        actions.len()
    );
    assert!(!repeats.is_empty(), "seed {seed}: nothing was sent again");
    worst
}

/// The seeds that are asked for: more by hand with `SOAK_SEEDS=50`, from `SOAK_FROM` on.
fn seeds() -> std::ops::Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("SOAK_FROM").unwrap_or(0);
    from..from + number("SOAK_SEEDS").unwrap_or(1)
}

/// Guards against repeats that the processes of all lives together make beyond what operators allow.
#[test]
fn lives_in_series() {
    for seed in seeds() {
        let (repeats, allowed) = play("repeats", seed, RATIO, SLACK);
        assert!(repeats as f64 <= allowed, "seed {seed}: {repeats} repeats, {allowed} allowed");
    }
}

/// A broken copy: processes that go by four times what operators allow are seen.
#[test]
fn loose_processes_are_seen() {
    let (repeats, allowed) = play("loose", 0, RATIO * 4.0, SLACK * 4.0);
    assert!(repeats as f64 > allowed, "{repeats} repeats, {allowed} allowed");
}
