//! Parts of prompts that end engines, among sound requests that share the others: drawn at random, on many seeds.
//!
//! What must hold: from three seconds after the fifth end of an engine under a part, at most three requests with it are sent
//! to engines. Sound requests with the same first part begin as others do, and none is refused for what it is not.

mod links;
mod node;
mod storm;

use std::time::Duration;

use node::millis;
use storm::{Bad, LATER_MAX, Outcome, Settings, play};

/// Sound requests with the first part of bad ones begin at least so often.
const KIN_MIN: f64 = 0.95;

fn check(settings: &Settings, outcome: &Outcome) {
    let context = format!("{settings:?}\n{outcome:?}");
    assert!(outcome.later.iter().all(|later| *later <= LATER_MAX), "sent later: {context}");
    assert!(outcome.kin.share() >= KIN_MIN, "with the same first part: {context}");
    assert!(outcome.others.share() >= KIN_MIN, "others: {context}");
    assert!(outcome.wronged <= 5 + outcome.sound / 500, "refused wrongly: {context}");
}

fn check_seeds(count: u64, settings: &Settings) {
    std::thread::scope(|scope| {
        let play = |seed| Settings { seed, ..settings.clone() };
        for settings in (0..count).map(play) {
            scope.spawn(move || check(&settings, &storm::play(settings.clone())));
        }
    });
}

/// Guards against parts of prompts that end engine after engine, since no two of the requests that hold one are alike.
#[test]
fn bad_second_part() {
    check_seeds(4, &Settings::default());
}

/// Sound requests had the part before it went bad.
#[test]
fn part_that_was_sound() {
    check_seeds(2, &Settings { parts: vec![Bad::Second(7)], sound: 200.0, ..Settings::default() });
}

/// All requests with that first part end engines.
#[test]
fn bad_first_part() {
    check_seeds(2, &Settings { parts: vec![Bad::First(2)], bad: 0.0, ..Settings::default() });
}

/// The same where engines take up to half a second to read, so that hardly any answer of others begins meanwhile.
#[test]
fn slow_bad_first_part() {
    let read = millis(500);
    check_seeds(
        5,
        &Settings { parts: vec![Bad::First(2)], bad: 0.0, read, sound: 200.0, ..Settings::default() },
    );
}

#[test]
fn three_bad_parts() {
    let parts = vec![Bad::Fresh(1), Bad::Fresh(2), Bad::Second(3)];
    check_seeds(2, &Settings { parts, ..Settings::default() });
}

/// One every five seconds.
#[test]
fn rare_bad_part() {
    check_seeds(2, &Settings { bad: 0.2, lasts: Duration::from_secs(40), ..Settings::default() });
}

/// Engines take up to two seconds to read: many runs beside the bad one have not begun.
#[test]
fn slow_readers() {
    check_seeds(2, &Settings { read: Duration::from_secs(2), ..Settings::default() });
}

/// An engine sends a first event before it ends.
#[test]
fn end_after_first_event() {
    check_seeds(2, &Settings { begins: true, ..Settings::default() });
}

/// All answers end with their connections: what a crash breaks off after an event looks whole.
#[test]
fn answers_without_length() {
    check_seeds(2, &Settings { closes: true, ..Settings::default() });
    check_seeds(2, &Settings { closes: true, begins: true, ..Settings::default() });
}

/// Clients try again at once, at other entry VMs, and streams are resumed.
#[test]
fn impatient_clients() {
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
fn leader_frozen() {
    let frozen = Some((Duration::from_secs(3), Duration::from_secs(10)));
    check_seeds(2, &Settings { frozen, ..Settings::default() });
}

#[test]
fn many_entry_vms() {
    check_seeds(1, &Settings { vms: 6, ..Settings::default() });
    check_seeds(1, &Settings { vms: 65, lasts: Duration::from_secs(15), ..Settings::default() });
}

/// All engines end at the same moment, for another cause, beside a bad part.
#[test]
fn waves_beside() {
    let waves = (0..4).map(|at| Duration::from_secs(4 + at * 4)).collect();
    let settings = Settings { waves, down: millis(500), sound: 200.0, ..Settings::default() };
    for seed in 0..2 {
        let outcome = play(Settings { seed, ..settings.clone() });
        assert!(outcome.later[0] <= LATER_MAX, "{outcome:?}");
        assert_eq!(outcome.wronged, 0, "{outcome:?}");
    }
}

/// All engines end at the same moment again and again, for another cause: no part is held to be bad, however long requests wait.
#[test]
fn waves_accuse_nobody() {
    let settings = Settings { parts: Vec::new(), down: millis(500), sound: 200.0, ..Settings::default() };
    let cases = [(5_000, 30), (5_000, 2_000), (1_000, 30), (1_000, 2_000), (2_000, 2_000)];
    std::thread::scope(|scope| {
        for (gap, read) in cases {
            let waves = (0..9_000 / gap).map(|at| millis(3_000 + at * gap)).collect();
            let lasts = Duration::from_secs(13);
            let settings = Settings { waves, read: millis(read), lasts, ..settings.clone() };
            scope.spawn(move || {
                let outcome = play(settings);
                assert_eq!(outcome.wronged, 0, "a wave each {gap} ms, reading up to {read} ms: {outcome:?}");
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
    let base = Settings { sound: 200.0, ..Settings::default() };
    let slow = |read: u64| Settings { read: millis(read), ..base.clone() };
    let none = |read: u64, waves: Vec<Duration>| Settings {
        parts: Vec::new(),
        down: millis(500),
        waves,
        read: millis(read),
        lasts: secs(20),
        ..base.clone()
    };
    let cases: Vec<(&str, Settings)> = vec![
        ("calm", base.clone()),
        ("read to 0.5 s", slow(500)),
        ("read to 2 s", slow(2_000)),
        ("bad part was sound before", Settings { parts: vec![Bad::Second(7)], ..base.clone() }),
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
        ("rare, one in 5 s", Settings { bad: 0.2, lasts: secs(60), ..base.clone() }),
        ("10 a second", Settings { bad: 10.0, ..base.clone() }),
        ("first event before the end", Settings { begins: true, ..base.clone() }),
        ("answers without length", Settings { closes: true, ..base.clone() }),
        ("the same, first event", Settings { closes: true, begins: true, ..base.clone() }),
        ("waves beside", Settings { waves: every(4_000, 4, 4), down: millis(500), ..base.clone() }),
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
        ("leader frozen", Settings { frozen: Some((secs(3), secs(10))), ..base.clone() }),
        ("clients come again", Settings { tries: 3, ..base.clone() }),
        ("resumable", Settings { path: "/digest/1", tries: 3, ..base.clone() }),
        ("6 entry VMs", Settings { vms: 6, ..base.clone() }),
        ("65", Settings { vms: 65, ..base.clone() }),
        ("984", Settings { vms: 984, lasts: secs(12), ..base.clone() }),
        ("300", Settings { vms: 300, lasts: secs(20), ..base.clone() }),
    ];
    let seeds: u64 = std::env::var("STORM_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(5);
    let only = std::env::var("STORM_ONLY").unwrap_or_default();
    for (name, settings) in cases.iter().filter(|(name, _)| name.contains(&only)) {
        let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
            let plays: Vec<_> = (0..seeds)
                .map(|seed| scope.spawn(move || play(Settings { seed, ..settings.clone() })))
                .collect();
            plays.into_iter().map(|play| play.join().expect("played")).collect()
        });
        let ends: Vec<usize> = outcomes.iter().flat_map(|outcome| outcome.ends.clone()).collect();
        let later: Vec<usize> = outcomes.iter().flat_map(|outcome| outcome.later.clone()).collect();
        let most =
            |of: &[usize]| (of.iter().min().copied().unwrap_or(0), of.iter().max().copied().unwrap_or(0));
        let kin = outcomes.iter().map(|outcome| outcome.kin.share()).fold(1.0, f64::min);
        let others = outcomes.iter().map(|outcome| outcome.others.share()).fold(1.0, f64::min);
        let wronged: usize = outcomes.iter().map(|outcome| outcome.wronged).sum();
        let sound: usize = outcomes.iter().map(|outcome| outcome.sound).sum();
        let accused: usize = outcomes.iter().map(|outcome| outcome.accused.len()).sum();
        let pushes: usize = outcomes.iter().map(|outcome| outcome.pushes).sum();
        println!(
            "{name:40} ends {:?} later {:?} kin {kin:.3} others {others:.3} wronged {wronged} of {sound} ({accused} parts) pushes {pushes}",
            most(&ends),
            most(&later)
        );
    }
}
