//! Memory of one process' state by its content, and processing time of requests and changes.

use std::time::{Duration, Instant};

use boragecove_core::artifact::Artifact;
use boragecove_core::config::Head;
use boragecove_core::effect::Effect;
use boragecove_core::engine::{Copy, Fence, Report, Role as EngineRole, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::peer::{Frame, Item};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::time::Time;
use boragecove_core::vm::Role;
use boragecove_core::{State, apply};

use super::Series;
use super::sample::{arrival, document, model_name, vm};
use super::scene::MEMORY_MB;

const NOW: Time = Time::from_millis(1_000_000);
/// Copies on each engine.
const COPIES: usize = 4;

/// State of a process of the first zone that has a configuration of `models` models.
fn configured(models: usize) -> State {
    let me = Identity { vm: "entry-000".into(), zone: "hall-00".into(), incarnation: Incarnation(1) };
    let mut state = State::new(me, Settings::default(), 1, NOW);
    let op = id::Op { by: Incarnation(9), seq: 1 };
    let head = Head { version: 1, op, document: document(models, 1).into() };
    let frame = frame(1, vec![Item::Config(Box::new(head))]);
    drop(apply(&mut state, NOW, Event::FrameReceived(Box::new(frame))));
    state
}

fn frame(from: usize, items: Vec<Item>) -> Frame {
    Frame {
        address: None,
        from: format!("entry-{from:03}").into(),
        zone: "hall-00".into(),
        incarnation: Incarnation(from as u64 + 1),
        seq: 1,
        config: 1,
        stopping: false,
        items,
    }
}

fn report(at: usize, models: usize) -> Report {
    let copy = |n: usize| Copy {
        artifact: Artifact {
            model: model_name((at * COPIES + n) % models),
            adapter: None,
            version: "2026-06".into(),
        },
        memory_mb: 19_000,
        stage: Stage::Ready,
        requests: 0,
    };
    Report {
        engine: format!("engine-{at:04}").into(),
        incarnation: Incarnation(10_000 + at as u64),
        seq: 1,
        fence: Fence(1),
        role: EngineRole::Both,
        memory_mb: MEMORY_MB,
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        copies: (0..COPIES).map(copy).collect(),
        ended: Vec::new(),
        draining: false,
    }
}

/// Adds `in_zone` engines of the process's own zone with their reports, and `in_other_zones` others.
fn with_engines(state: &mut State, in_zone: usize, in_other_zones: usize, models: usize) {
    let role = || Role::Backend("brief-writer".into());
    let listed = (0..in_zone + in_other_zones)
        .map(|at| vm(format!("engine-{at:04}"), usize::from(at >= in_zone), 20_000 + at, role()));
    drop(apply(state, NOW, Event::VmsListed(listed.collect())));
    for at in 0..in_zone {
        drop(apply(state, NOW, Event::ReportReceived(Box::new(report(at, models)))));
    }
}

/// Bytes allocated by the state that `build` returns.
fn allocated_bytes(build: impl FnOnce() -> State) -> f64 {
    let mut kept = None;
    let allocated_bytes = allocation_counter::measure(|| kept = Some(build())).bytes_current;
    drop(kept);
    allocated_bytes as f64
}

pub fn print() {
    let points = |sizes: &[usize], of: &dyn Fn(usize) -> f64| {
        sizes.iter().map(|n| (*n as f64, of(*n) / 1e3)).collect::<Vec<_>>()
    };
    let zone = [60, 120, 240, 480];
    let engines = |n| {
        allocated_bytes(|| {
            let mut state = configured(100);
            with_engines(&mut state, n, 0, 100);
            state
        })
    };
    Series::new("engines of the zone, 4 copies each", "KB", points(&zone, &engines)).print();
    let in_other_zones = |n| {
        allocated_bytes(|| {
            let mut state = configured(100);
            with_engines(&mut state, 0, n, 100);
            state
        })
    };
    Series::new("engines of other zones", "KB", points(&[500, 1_500, 3_000, 6_220], &in_other_zones)).print();
    let models = |n| allocated_bytes(|| configured(n));
    Series::new("models", "KB", points(&[100, 200, 400, 780], &models)).print();
    let members = |n| {
        allocated_bytes(|| {
            let mut state = configured(100);
            let listed = (0..n).map(|at| vm(format!("entry-{at:03}"), at / 29, at, Role::Entry));
            drop(apply(&mut state, NOW, Event::VmsListed(listed.collect())));
            for at in 2..n {
                drop(apply(&mut state, NOW, Event::FrameReceived(Box::new(frame(at, Vec::new())))));
            }
            state
        })
    };
    Series::new("entry VMs", "KB", points(&[50, 100, 200, 410], &members)).print();
    let open = |n| {
        allocated_bytes(|| {
            let mut state = configured(100);
            with_engines(&mut state, 60, 0, 100);
            for at in 0..n {
                let request = id::Request { by: Incarnation(1), seq: at as u64 + 1 };
                let arrival = arrival(request, at % 100, NOW);
                drop(apply(&mut state, NOW, Event::Arrive(Box::new(arrival))));
            }
            state
        })
    };
    Series::new("open requests", "KB", points(&[100, 200, 400, 800], &open)).print();
}

/// Median processing time of the event that `prepare` returns, in microseconds.
fn event_micros(prepare: impl Fn() -> (State, Event)) -> f64 {
    let mut durations: Vec<f64> = (0..15)
        .map(|_| {
            let (mut state, event) = prepare();
            let started_at = Instant::now();
            drop(apply(&mut state, NOW + Duration::from_millis(1), event));
            started_at.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    durations.sort_by(f64::total_cmp);
    durations[durations.len() / 2]
}

/// Prints the time to adopt a configuration.
pub fn changes() {
    let points = [100, 200, 400, 780].map(|n| {
        let change = || {
            let mut state = configured(n);
            with_engines(&mut state, 120, 0, n);
            let op = id::Op { by: Incarnation(9), seq: 2 };
            let head = Head { version: 2, op, document: document(n, 2).into() };
            (state, Event::FrameReceived(Box::new(frame(3, vec![Item::Config(Box::new(head))]))))
        };
        (n as f64, event_micros(change))
    });
    Series::new("taking over a change, by models", "µs", points.to_vec()).print();
}

/// Prints the processing time of a whole request, from its arrival to its end.
pub fn requests() {
    for (what, sizes, of) in [
        ("whole request, by engines of the zone", [60, 120, 240, 480], Vary::Engines),
        ("whole request, by models", [100, 200, 400, 780], Vary::Models),
    ] {
        let points = sizes.iter().map(|n| {
            let (engines, models) = if of == Vary::Engines { (*n, 100) } else { (240, *n) };
            let mut state = configured(models);
            with_engines(&mut state, engines, 0, models);
            (*n as f64, request_micros(&mut state, models))
        });
        Series::new(what, "µs", points.collect()).print();
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Vary {
    Engines,
    Models,
}

fn request_micros(state: &mut State, models: usize) -> f64 {
    const ROUNDS: u64 = 4_000;
    let mut total = Duration::ZERO;
    let mut now = NOW;
    for round in 0..ROUNDS {
        now = now + Duration::from_micros(100);
        let request = id::Request { by: Incarnation(1), seq: round + 1 };
        let arrival = arrival(request, (round as usize * 7) % models, now);
        let started_at = Instant::now();
        let effects = apply(state, now, Event::Arrive(Box::new(arrival)));
        let attempt = effects.iter().find_map(|effect| match effect {
            Effect::Send(send) => Some(send.attempt),
            _ => None,
        });
        if let Some(attempt) = attempt {
            drop(apply(state, now, Event::Head { attempt, echo: Some(attempt) }));
            drop(apply(state, now, Event::Finished { attempt, length: 0 }));
        }
        total += started_at.elapsed();
        assert!(attempt.is_some(), "request {round} is not sent: {effects:?}");
    }
    total.as_secs_f64() * 1e6 / ROUNDS as f64
}
