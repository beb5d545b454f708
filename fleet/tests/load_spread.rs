//! Entry VMs with the same outdated load figures do not all pick the same engine.

use boragecove_fleet::spread::{Estimate, draw};
use fastrand::Rng;

/// Entry VMs of the operators' first site after it grew.
const NODES: usize = 90;
/// Engines of its plain service.
const ENGINES: usize = 6;
/// Requests that an engine runs at once.
const SLOTS: f64 = 6.0;
/// Time of a run, in ms.
const RUN_MS: f64 = 60.0;
/// Requests per ms from all entry VMs: half of what the engines can serve.
const RATE: f64 = 0.3;
/// Interval of load reports, in ms.
const REPORT_INTERVAL_MS: f64 = 450.0;

/// The largest number of open requests at one engine within a simulated minute, in multiples of the mean over all engines.
fn peak_load(spread: bool) -> f64 {
    let mut rng = Rng::with_seed(5);
    let mut open = vec![Vec::<f64>::new(); ENGINES];
    let mut known = vec![vec![0.0; ENGINES]; NODES];
    let (mut now, mut reported_at, mut largest, mut sum, mut samples) = (0.0, 0.0, 0_usize, 0.0, 0.0);
    while now < 60_000.0 {
        now += -rng.f64().max(1e-9).ln() / RATE;
        for ends in &mut open {
            ends.retain(|end| *end > now);
        }
        if now - reported_at > REPORT_INTERVAL_MS {
            reported_at = now;
            let loads: Vec<f64> = open.iter().map(|ends| ends.len() as f64).collect();
            known.fill(loads);
        }
        let node = rng.usize(0..NODES);
        let step_ms = RUN_MS / SLOTS;
        let costs: Vec<f64> = known[node].iter().map(|load| load * step_ms + rng.f64()).collect();
        let requests = if spread { RATE * (now - reported_at + REPORT_INTERVAL_MS / 2.0) } else { 0.0 };
        let engine = draw(&costs, Estimate { requests, step_ms }, rng.f64()).expect("engines");
        known[node][engine] += 1.0;
        let wait = (open[engine].len() as f64 - SLOTS).max(0.0) * step_ms;
        open[engine].push(now + wait + RUN_MS);
        let loads: Vec<usize> = open.iter().map(Vec::len).collect();
        largest = largest.max(*loads.iter().max().expect("engines"));
        sum += loads.iter().sum::<usize>() as f64 / ENGINES as f64;
        samples += 1.0;
    }
    largest as f64 / (sum / samples)
}

/// Plain calls at the grown site, with and without spreading.
#[test]
fn no_herd_behaviour() {
    let (with, without) = (peak_load(true), peak_load(false));
    assert!(without > 8.0, "the load is too low to show the effect: {without:.1}");
    assert!(with < without / 2.0, "{with:.1} with spreading, {without:.1} without");
}

#[test]
fn fresh_load_figures() {
    let costs = [30.0, 10.0, 20.0];
    for drawn in [0.0, 0.5, 0.999] {
        assert_eq!(draw(&costs, Estimate::default(), drawn), Some(1), "no unseen load: the cheapest engine");
    }
}

#[test]
fn cheapest_first() {
    let costs = [30.0, 10.0, 20.0];
    let unseen = Estimate { requests: 2.0, step_ms: 10.0 };
    // The common level is 25: the engine at 10 gets three quarters of the load, the one at 20 the rest, the one at 30 nothing.
    assert_eq!(draw(&costs, unseen, 0.7), Some(1));
    assert_eq!(draw(&costs, unseen, 0.8), Some(2));
    assert_eq!(draw(&costs, unseen, 0.999), Some(2));
}

#[test]
fn no_engines() {
    assert_eq!(draw(&[], Estimate { requests: 5.0, step_ms: 1.0 }, 0.5), None);
}
