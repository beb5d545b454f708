//! Prompts take turns at engines, so that no engine reads many at once.

mod node;

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::pace::{Place, Round, Seat, Slowness, Turn};
use boragecove_fleet::settings::Settings;
use node::millis;

/// Entry VMs of the users' first site.
const NODES: u32 = 9;
/// Engines that hold a model many ask for.
const ENGINES: u64 = 5;
/// Prompts a second at one engine: they keep it busy for two fifths of the time.
const RATE: f64 = 22.0;
/// Time to read a prompt of the usual size.
const READ: Duration = Duration::from_millis(18);
/// The pause that operators allow.
const WINDOW: Duration = Duration::from_millis(150);

fn round(index: u32) -> Round {
    let now = Time::from_millis(1_000_000);
    Round::new(Place { index, nodes: NODES, hub_time: now + Duration::from_secs(7) }, now, millis(2))
}

fn seat(number: u64) -> Seat {
    Seat { number, of: ENGINES }
}

/// The times at which prompts arrive at each engine, from all entry VMs.
fn arrivals(turns: bool) -> Vec<Vec<Time>> {
    let settings = Settings::default();
    let mut rng = fastrand::Rng::with_seed(11);
    let start = Time::from_millis(1_000_000);
    let mut at_engines = vec![Vec::new(); ENGINES as usize];
    for index in 0..NODES {
        let own = round(index);
        let mut taken = [Turn::default(); ENGINES as usize];
        let mut now = start;
        let rate = RATE * ENGINES as f64 / f64::from(NODES);
        while now.since(start) < Duration::from_mins(1) {
            now = now + Duration::from_secs_f64(-rng.f64().max(1e-9).ln() / rate);
            let round = turns.then_some(&own);
            let choices = (0..ENGINES)
                .map(|engine| (taken[engine as usize].at(round, seat(engine), now, &settings), engine));
            let (at, engine) =
                if turns { choices.min().expect("engines") } else { (now, rng.u64(0..ENGINES)) };
            taken[engine as usize].take(round, at, READ, &settings);
            at_engines[engine as usize].push(at);
        }
    }
    for times in &mut at_engines {
        times.sort();
    }
    at_engines
}

/// The share of prompts in whose window an engine reads for over 100 ms.
fn crowded(at_engines: &[Vec<Time>]) -> f64 {
    let (mut crowded, mut all) = (0, 0);
    for times in at_engines {
        for at in times {
            let beside = times.iter().filter(|other| **other >= *at && other.since(*at) < WINDOW).count();
            all += 1;
            crowded += usize::from(READ * beside as u32 > millis(100));
        }
    }
    f64::from(crowded as u32) / f64::from(all as u32)
}

/// The load of the heaviest days, with and without turns, in one run.
#[test]
fn fewer_crowds() {
    let without = crowded(&arrivals(false));
    let with = crowded(&arrivals(true));
    assert!(without > 0.10, "the load should be one that matters: {without:.3}");
    assert!(with < without / 3.0, "with turns {with:.3}, without {without:.3}");
}

#[test]
fn short_waits() {
    let settings = Settings::default();
    let own = round(4);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut total = Duration::ZERO;
    for _ in 0..1_000 {
        let now = Time(1_000_000_000 + rng.u64(0..60_000_000));
        let waits = (0..ENGINES)
            .map(|engine| Turn::default().at(Some(&own), seat(engine), now, &settings).since(now));
        total += waits.min().expect("engines");
    }
    assert!(total / 1_000 < millis(40), "{:?} on average", total / 1_000);
}

#[test]
fn one_turn_each() {
    let length = millis(18);
    let now = Time::from_millis(1_000_300);
    for engine in 0..ENGINES {
        let mut times: Vec<Time> =
            (0..NODES).map(|index| round(index).next(seat(engine), now, length)).collect();
        times.sort();
        let apart = times.windows(2).filter(|pair| pair[1].since(pair[0]) < millis(17)).count();
        assert!(apart <= 1, "turns at engine {engine} overlap: {times:?}");
    }
}

#[test]
fn never_long() {
    let settings = Settings::default();
    let own = round(2);
    let now = Time::from_millis(1_000_000);
    let mut turn = Turn::default();
    for _ in 0..50 {
        let at = turn.at(Some(&own), seat(0), now, &settings);
        assert!(at.since(now) <= settings.turn_wait);
        turn.take(Some(&own), at, READ, &settings);
    }
}

/// With as many entry VMs as the users' grown sites have, a round of turns would take seconds.
#[test]
fn many_do_without() {
    let now = Time::from_millis(1_000_000);
    let settings = Settings::default();
    let own = Round::new(Place { index: 40, nodes: 90, hub_time: now }, now, millis(2));
    let mut turn = Turn::default();
    for _ in 0..3 {
        assert_eq!(turn.at(Some(&own), seat(0), now, &settings), now);
        turn.take(Some(&own), now, READ, &settings);
    }
}

#[test]
fn without_a_hub() {
    let now = Time::from_millis(1_000_000);
    assert_eq!(Turn::default().at(None, seat(0), now, &Settings::default()), now);
}

#[test]
fn slowness_is_learnt() {
    let settings = Settings::default();
    let mut slowness = Slowness::default();
    assert!((slowness.of("m0") - 1.0).abs() < 1e-9, "unknown models count as slow");
    for _ in 0..20 {
        slowness.learn(&"m0".into(), 800, millis(9), &settings);
        slowness.learn(&"m1".into(), 800, millis(27), &settings);
        slowness.learn(&"m1".into(), 800, millis(400), &settings);
    }
    assert!(slowness.of("m0") < 0.2, "{}", slowness.of("m0"));
    assert!(slowness.of("m1") > 0.9, "{}", slowness.of("m1"));
}
