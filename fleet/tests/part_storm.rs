//! Randomized simulation of prompt parts that crash engines, among harmless requests that share the other
//! parts; run with many seeds.
//!
//! Requirement: from three seconds after the fifth crash under a part, at most three requests with it are sent
//! to engines. Harmless requests with the same first part are served as often as others, and hardly any are
//! refused by mistake.

mod links;
mod node;
mod storm;

use std::time::Duration;

use node::millis;
use storm::{Bad, LATER_MAX, Outcome, Settings, simulate};

/// Minimum fraction of harmless requests whose answer begins at the first attempt.
const SERVED_MIN: f64 = 0.95;

fn check(settings: &Settings, outcome: &Outcome) {
    let context = format!("{settings:?}\n{outcome:?}");
    assert!(outcome.later.iter().all(|later| *later <= LATER_MAX), "sent later: {context}");
    assert!(
        outcome.same_first_part.share() >= SERVED_MIN,
        "fraction served with the same first part: {context}"
    );
    assert!(outcome.others.share() >= SERVED_MIN, "fraction of others served: {context}");
    assert!(outcome.wrongly_refused <= 5 + outcome.harmless / 500, "refused by mistake: {context}");
}

fn check_seeds(count: u64, settings: &Settings) {
    std::thread::scope(|scope| {
        let with_seed = |seed| Settings { seed, ..settings.clone() };
        for settings in (0..count).map(with_seed) {
            scope.spawn(move || check(&settings, &storm::simulate(settings.clone())));
        }
    });
}

/// Different requests that share a part crash engine after engine.
#[test]
fn bad_second_part() {
    check_seeds(4, &Settings::default());
}

/// Harmless requests contained the part before it began to crash engines.
#[test]
fn part_that_was_harmless() {
    check_seeds(2, &Settings { parts: vec![Bad::Second(7)], harmless: 200.0, ..Settings::default() });
}

/// All requests with one first part crash engines.
#[test]
fn bad_first_part() {
    check_seeds(2, &Settings { parts: vec![Bad::First(2)], bad: 0.0, ..Settings::default() });
}

/// As above, with engines that read for up to 0.5 s, so that hardly any other answer begins meanwhile.
#[test]
fn slow_bad_first_part() {
    let read = millis(500);
    check_seeds(
        5,
        &Settings { parts: vec![Bad::First(2)], bad: 0.0, read, harmless: 200.0, ..Settings::default() },
    );
}

#[test]
fn three_bad_parts() {
    let parts = vec![Bad::Fresh(1), Bad::Fresh(2), Bad::Second(3)];
    check_seeds(2, &Settings { parts, ..Settings::default() });
}

/// One bad request every five seconds.
#[test]
fn rare_bad_part() {
    check_seeds(2, &Settings { bad: 0.2, duration: Duration::from_secs(40), ..Settings::default() });
}

/// Engines read for up to two seconds: the answers of many other runs at a crashed engine have not begun.
#[test]
fn slow_readers() {
    check_seeds(2, &Settings { read: Duration::from_secs(2), ..Settings::default() });
}

/// An engine sends a first event before it crashes.
#[test]
fn crash_after_first_event() {
    check_seeds(2, &Settings { first_event: true, ..Settings::default() });
}

/// All answers end with their connections: an answer that a crash breaks off after an event looks complete.
#[test]
fn answers_without_length() {
    check_seeds(2, &Settings { closes: true, ..Settings::default() });
    check_seeds(2, &Settings { closes: true, first_event: true, ..Settings::default() });
}

/// Callers retry at once, at other entry VMs, and streams are resumed.
#[test]
fn impatient_callers() {
    check_seeds(2, &Settings { tries: 3, ..Settings::default() });
    check_seeds(2, &Settings { tries: 3, path: "/digest/1", ..Settings::default() });
}

#[test]
fn entry_vms_killed() {
    let secs = Duration::from_secs;
    check_seeds(2, &Settings { kills: vec![(secs(5), 1.0), (secs(9), 1.0)], ..Settings::default() });
    check_seeds(2, &Settings { kills: (4..20).map(|at| (secs(at), 0.33)).collect(), ..Settings::default() });
}

#[test]
fn hub_suspended() {
    let suspended = Some((Duration::from_secs(3), Duration::from_secs(10)));
    check_seeds(2, &Settings { suspended, ..Settings::default() });
}

#[test]
fn many_entry_vms() {
    check_seeds(1, &Settings { vms: 6, ..Settings::default() });
    check_seeds(1, &Settings { vms: 65, duration: Duration::from_secs(15), ..Settings::default() });
}

/// All engines crash at the same moment for another cause, while a bad part crashes engines as well.
#[test]
fn waves_of_other_crashes() {
    let waves = (0..4).map(|at| Duration::from_secs(4 + at * 4)).collect();
    let settings = Settings { waves, down: millis(500), harmless: 200.0, ..Settings::default() };
    for seed in 0..2 {
        let outcome = simulate(Settings { seed, ..settings.clone() });
        assert!(outcome.later[0] <= LATER_MAX, "{outcome:?}");
        assert_eq!(outcome.wrongly_refused, 0, "{outcome:?}");
    }
}

/// All engines crash at the same moment repeatedly for another cause: no part is quarantined, however long
/// requests wait.
#[test]
fn waves_quarantine_nothing() {
    let settings = Settings { parts: Vec::new(), down: millis(500), harmless: 200.0, ..Settings::default() };
    let cases = [(5_000, 30), (5_000, 2_000), (1_000, 30), (1_000, 2_000), (2_000, 2_000)];
    std::thread::scope(|scope| {
        for (gap, read) in cases {
            let waves = (0..9_000 / gap).map(|at| millis(3_000 + at * gap)).collect();
            let duration = Duration::from_secs(13);
            let settings = Settings { waves, read: millis(read), duration, ..settings.clone() };
            scope.spawn(move || {
                let outcome = simulate(settings);
                assert_eq!(
                    outcome.wrongly_refused, 0,
                    "a wave every {gap} ms, reading for up to {read} ms: {outcome:?}"
                );
            });
        }
    });
}

/// By hand: `cargo test --release -p boragecove-fleet --test part_storm figures -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let secs = Duration::from_secs;
    let every = |gap: u64, from: u64, count: u64| {
        (0..count).map(|at| millis(from * 1_000 + at * gap)).collect::<Vec<_>>()
    };
    let base = Settings { harmless: 200.0, ..Settings::default() };
    let slow = |read: u64| Settings { read: millis(read), ..base.clone() };
    let none = |read: u64, waves: Vec<Duration>| Settings {
        parts: Vec::new(),
        down: millis(500),
        waves,
        read: millis(read),
        duration: secs(20),
        ..base.clone()
    };
    let cases: Vec<(&str, Settings)> = vec![
        ("calm", base.clone()),
        ("read to 0.5 s", slow(500)),
        ("read to 2 s", slow(2_000)),
        ("bad part was harmless before", Settings { parts: vec![Bad::Second(7)], ..base.clone() }),
        ("bad first part", Settings { parts: vec![Bad::First(2)], bad: 0.0, ..base.clone() }),
        ("bad first part, read to 0.5 s", Settings { parts: vec![Bad::First(2)], bad: 0.0, ..slow(500) }),
        (
            "three bad parts",
            Settings { parts: vec![Bad::Fresh(1), Bad::Fresh(2), Bad::Second(3)], ..base.clone() },
        ),
        (
            "three, read to 0.5 s",
            Settings { parts: vec![Bad::Fresh(1), Bad::Fresh(2), Bad::Second(3)], ..slow(500) },
        ),
        ("rare, one in 5 s", Settings { bad: 0.2, duration: secs(60), ..base.clone() }),
        ("10 a second", Settings { bad: 10.0, ..base.clone() }),
        ("first event before the crash", Settings { first_event: true, ..base.clone() }),
        ("answers without length", Settings { closes: true, ..base.clone() }),
        ("the same, first event", Settings { closes: true, first_event: true, ..base.clone() }),
        ("waves of other crashes", Settings { waves: every(4_000, 4, 4), down: millis(500), ..base.clone() }),
        ("none, 4 waves", none(30, every(5_000, 3, 4))),
        ("none, 4 waves, read to 2 s", none(2_000, every(5_000, 3, 4))),
        ("none, a wave each second", none(30, every(1_000, 3, 14))),
        ("none, a wave each second, read to 2 s", none(2_000, every(1_000, 3, 14))),
        ("none, a wave each 2 s, read to 2 s", none(2_000, every(2_000, 3, 7))),
        ("all killed twice", Settings { kills: vec![(secs(5), 1.0), (secs(9), 1.0)], ..base.clone() }),
        (
            "a third killed each second",
            Settings { kills: (4..20).map(|at| (secs(at), 0.33)).collect(), ..base.clone() },
        ),
        ("hub suspended", Settings { suspended: Some((secs(3), secs(10))), ..base.clone() }),
        ("callers retry", Settings { tries: 3, ..base.clone() }),
        ("resumable", Settings { path: "/digest/1", tries: 3, ..base.clone() }),
        ("6 entry VMs", Settings { vms: 6, ..base.clone() }),
        ("65", Settings { vms: 65, ..base.clone() }),
        ("984", Settings { vms: 984, duration: secs(12), ..base.clone() }),
        ("300", Settings { vms: 300, duration: secs(20), ..base.clone() }),
    ];
    let seeds: u64 = std::env::var("STORM_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(5);
    let only = std::env::var("STORM_ONLY").unwrap_or_default();
    for (name, settings) in cases.iter().filter(|(name, _)| name.contains(&only)) {
        let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
            let runs: Vec<_> = (0..seeds)
                .map(|seed| scope.spawn(move || simulate(Settings { seed, ..settings.clone() })))
                .collect();
            runs.into_iter().map(|run| run.join().expect("the simulation finished")).collect()
        });
        let crashes: Vec<usize> = outcomes.iter().flat_map(|outcome| outcome.crashes.clone()).collect();
        let later: Vec<usize> = outcomes.iter().flat_map(|outcome| outcome.later.clone()).collect();
        let most =
            |of: &[usize]| (of.iter().min().copied().unwrap_or(0), of.iter().max().copied().unwrap_or(0));
        let same_first_part =
            outcomes.iter().map(|outcome| outcome.same_first_part.share()).fold(1.0, f64::min);
        let others = outcomes.iter().map(|outcome| outcome.others.share()).fold(1.0, f64::min);
        let wrongly_refused: usize = outcomes.iter().map(|outcome| outcome.wrongly_refused).sum();
        let harmless: usize = outcomes.iter().map(|outcome| outcome.harmless).sum();
        let blamed_parts: usize = outcomes.iter().map(|outcome| outcome.blamed_parts.len()).sum();
        let pushed_messages: usize = outcomes.iter().map(|outcome| outcome.pushed_messages).sum();
        println!(
            "{name:40} crashes {:?} later {:?} same first part {same_first_part:.3} others {others:.3} wrongly refused {wrongly_refused} of {harmless} ({blamed_parts} parts) pushes {pushed_messages}",
            most(&crashes),
            most(&later)
        );
    }
}
