//! Injects every fault at every step of every effect, once and twice, and then random pairs of faults.

mod matrix;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::{env, fs, thread};

use matrix::fault::{Fault, Injection, Kind, Stage, Step};
use matrix::{page, world};

/// Number of threads that run cases.
const WORKERS: usize = 4;
/// Factor by which a fault that applies to few steps gets more seeds for each.
const SEED_FACTOR: u64 = 8;
/// Default number of random pairs.
const PAIRS: u64 = 200;

/// One run: a seed and the faults to inject.
#[derive(Clone, Debug)]
struct Case {
    seed: u64,
    plan: Vec<Injection>,
}

impl Case {
    /// Text form of the case in `FAULTS_CASE`.
    fn name(&self) -> String {
        let injections: Vec<String> = self.plan.iter().map(Injection::to_string).collect();
        format!("{}|{}", self.seed, injections.join("|"))
    }

    fn parse(name: &str) -> Option<Self> {
        let (seed, rest) = name.split_once('|')?;
        let plan = rest.split('|').filter(|part| !part.is_empty()).map(|part| part.parse().ok());
        Some(Self { seed: seed.parse().ok()?, plan: plan.collect::<Option<Vec<Injection>>>()? })
    }
}

/// Runs cases on a few threads. Returns each with the number of injected faults. Panics if a case violates
/// an invariant that KNOWN-RED.txt does not list.
fn run_all(cases: &[Case]) -> Vec<(&Case, u32)> {
    let next = AtomicUsize::new(0);
    let (injected, broken) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let run = world::run(case.seed, &case.plan, false);
                    if let Some(why) = run.broken {
                        broken.lock().expect("no panic").push((case, why));
                    }
                    injected.lock().expect("no panic").push((case, run.injected));
                }
            });
        }
    });
    report(broken.into_inner().expect("no panic"));
    injected.into_inner().expect("no panic")
}

/// Whether KNOWN-RED.txt lists this case, as `[CASE]` in a line of this test.
fn is_known(known: &str, case: &Case) -> bool {
    let name = format!("[{}]", case.name());
    known.lines().any(|line| line.starts_with("fault_matrix: ") && line.contains(&name))
}

fn report(mut broken: Vec<(&Case, String)>) {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../KNOWN-RED.txt");
    let known = fs::read_to_string(path).unwrap_or_default();
    broken.sort_by_key(|(case, _)| case.seed);
    let (known_red, new): (Vec<_>, Vec<_>) = broken.into_iter().partition(|(case, _)| is_known(&known, case));
    for (case, why) in &known_red {
        eprintln!("known red: {}: {why}", case.name());
    }
    for (case, why) in &new {
        eprintln!("broken: FAULTS_CASE='{}': {why}", case.name());
    }
    if let Some((case, why)) = new.first() {
        let trace = world::run(case.seed, &case.plan, true).trace;
        eprintln!("{}\n{why}: FAULTS_CASE='{}'", trace.join("\n"), case.name());
        panic!("{} cases violate an invariant", new.len());
    }
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn cells() -> Vec<(Fault, Step)> {
    let steps = Kind::ALL.iter().flat_map(|kind| Stage::ALL.iter().map(|stage| (*kind, *stage)));
    let cells = steps.flat_map(|step| Fault::ALL.iter().map(move |fault| (*fault, step)));
    cells.filter(|(fault, step)| fault.applies(*step)).collect()
}

/// Runs the case given in `FAULTS_CASE` and prints its events.
#[test]
fn one_case() {
    let name = env::var("FAULTS_CASE").unwrap_or_else(|_| "1|".into());
    let case = Case::parse(&name).expect("FAULTS_CASE has the form printed by a failure");
    let run = world::run(case.seed, &case.plan, true);
    println!("{}", run.trace.join("\n"));
    assert_eq!(run.broken, None, "{name}");
}

#[test]
fn every_cell() {
    let reached = world::run(1, &[], false).reached;
    let mut cases = Vec::new();
    let cells = cells();
    let seeds = number("FAULTS_SEEDS", 1);
    for (at, (fault, step)) in cells.iter().copied().enumerate() {
        // Faults of single messages apply to few steps, but differ with the message, so they get more
        // seeds.
        let few = cells.iter().filter(|(other, _)| *other == fault).count() < Kind::ALL.len();
        for seed in 1..=if few { seeds * SEED_FACTOR } else { seeds } {
            let count = reached.get(&step).copied().unwrap_or(1);
            let last = (count * 2 / 3).min(count.saturating_sub(2)).max(1);
            let seed = seed * 100_000 + at as u64;
            let nth = 1 + fastrand::Rng::with_seed(seed).u32(0..last);
            cases.extend(
                [false, true].map(|twice| Case { seed, plan: vec![Injection { fault, step, nth, twice }] }),
            );
        }
    }
    let mut covered = BTreeMap::new();
    let mut count = |case: &Case, injections: u32| {
        let max = covered.entry((case.plan[0].fault, case.plan[0].step)).or_insert(0);
        *max = injections.max(*max);
    };
    let mut missed = Vec::new();
    for (case, injections) in run_all(&cases) {
        count(case, injections);
        if injections <= u32::from(case.plan[0].twice) {
            missed.push(Case { plan: vec![Injection { nth: 1, ..case.plan[0] }], ..case.clone() });
        }
    }
    for (case, injections) in run_all(&missed) {
        count(case, injections);
    }
    page::check(&page::table(&covered));
}

#[test]
fn drawn_pairs() {
    let cells = cells();
    let drawn = Mutex::new(Vec::new());
    for seed in 1..=number("FAULTS_PAIRS", PAIRS) {
        arbtest::arbtest(|u| {
            let mut plan = Vec::new();
            for _ in 0..2 {
                let (fault, step) = *u.choose(&cells)?;
                plan.push(Injection { fault, step, nth: u.int_in_range(1..=12)?, twice: u.arbitrary()? });
            }
            drawn.lock().expect("no panic").push(Case { seed: u.arbitrary()?, plan });
            Ok(())
        })
        .seed(seed << 32 | 64)
        .run();
    }
    run_all(&drawn.into_inner().expect("no panic"));
}
