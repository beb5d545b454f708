//! The share of calls that entry VMs offer to the last engine of a plain service whose other engines were removed.
//!
//! The figures come from the operators: 65 entry VMs, one engine with 6 slots that answers a call in 40 ms and queues 33, 345 calls
//! a second, and a target of 150 ms.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::throttle::Throttle;

const ENTRIES: usize = 65;
const SLOTS: usize = 6;
const QUEUE: usize = 33;
const RUN_MS: u64 = 40;
const TARGET_MS: u64 = 150;
/// Seeds of the simulations of each load.
const SEEDS: std::ops::Range<u64> = 1..9;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Results of the calls within one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    in_time: u32,
    late: u32,
    rejected: u32,
}

/// Simulates an engine and the entry VMs that call it. Returns the results of the calls by second.
fn simulate(seed: u64, seconds: u64, calls_per_s: impl Fn(u64) -> f64) -> Vec<Second> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut throttles = vec![Throttle::default(); ENTRIES];
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let mut queue: VecDeque<(usize, u64)> = VecDeque::new();
    let mut out = vec![Second::default(); seconds as usize];
    for now in 0..seconds * 1_000 {
        let second = &mut out[(now / 1_000) as usize];
        running.retain(|(done, entry, sent)| {
            if *done > now {
                return true;
            }
            let took = now - sent;
            throttles[*entry].answered(
                Time::from_millis(now),
                ms(took.saturating_sub(RUN_MS)),
                ms(TARGET_MS - RUN_MS),
            );
            let count = if took <= TARGET_MS { &mut second.in_time } else { &mut second.late };
            *count += 1;
            false
        });
        while running.len() < SLOTS
            && let Some((entry, sent)) = queue.pop_front()
        {
            running.push((now + RUN_MS, entry, sent));
        }
        if rng.f64() < calls_per_s(now / 1_000) / 1_000.0 {
            let entry = rng.usize(0..ENTRIES);
            if !throttles[entry].admits(Time::from_millis(now), rng.f64()) {
                continue;
            }
            if queue.len() < QUEUE {
                queue.push_back((entry, now));
            } else {
                throttles[entry].rejected(Time::from_millis(now));
                second.rejected += 1;
            }
        }
    }
    out
}

fn sum(seconds: &[Second], of: impl Fn(&Second) -> u32) -> f64 {
    f64::from(seconds.iter().map(of).sum::<u32>())
}

/// Number of calls that the engine can answer in this time.
fn capacity(seconds: usize) -> f64 {
    SLOTS as f64 * 1_000.0 / RUN_MS as f64 * seconds as f64
}

/// With twice the calls that the engine can answer, it answers about as many as it can, and in time.
#[test]
fn last_engine_answers_in_time() {
    let steady: Vec<Second> = SEEDS.flat_map(|seed| simulate(seed, 30, |_| 345.0).split_off(10)).collect();
    let capacity = capacity(steady.len());
    let in_time = sum(&steady, |second| second.in_time);
    let late = sum(&steady, |second| second.late);
    let rejected = sum(&steady, |second| second.rejected);
    assert!(in_time >= 0.8 * capacity, "{in_time} in time of {capacity}, {late} late, {rejected} rejected");
    assert!(late <= 0.1 * capacity, "{late} late of {capacity}");
    assert!(rejected <= 0.02 * capacity, "{rejected} rejected of {capacity}");
}

/// The shares follow a shortage within three seconds.
#[test]
fn shares_follow_a_shortage() {
    let fourth: Vec<Second> = SEEDS.map(|seed| simulate(seed, 4, |_| 345.0)[3]).collect();
    let late = sum(&fourth, |second| second.late);
    assert!(late <= 0.1 * capacity(fourth.len()), "{late} late in the fourth second");
}

/// Ten seconds after a shortage, all calls are offered again.
#[test]
fn all_calls_are_offered_again() {
    let simulate = |seed| simulate(seed, 40, |second| if second < 20 { 345.0 } else { 100.0 });
    let later: Vec<Second> = SEEDS.flat_map(|seed| simulate(seed).split_off(31)).collect();
    let answered = sum(&later, |second| second.in_time + second.late);
    let asked = later.len() as f64 * 100.0;
    assert!(answered >= 0.95 * asked, "{answered} of about {asked} calls");
}

/// Without a shortage no calls are held back.
#[test]
fn no_limit_without_a_shortage() {
    let seconds: Vec<Second> = SEEDS.flat_map(|seed| simulate(seed, 20, |_| 90.0)).collect();
    let answered = sum(&seconds, |second| second.in_time + second.late);
    let asked = seconds.len() as f64 * 90.0;
    assert!(answered >= 0.97 * asked, "{answered} of about {asked} calls");
}
