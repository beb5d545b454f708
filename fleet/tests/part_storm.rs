//! Parts of prompts that end engines, among sound requests that share the others: drawn at random, on many seeds.
//!
//! What must hold: from three seconds after the fifth end of an engine under a part, at most three requests with it are sent
//! to engines. Sound requests with the same first part begin as others do, and none is refused for what it is not.

mod links;
mod node;
mod storm;

use storm::{LATER_MAX, Outcome, Settings, play};

/// Sound requests with the first part of bad ones begin at least so often.
const KIN_MIN: f64 = 0.95;

fn check(settings: &Settings, outcome: &Outcome) {
    let context = format!("{settings:?}\n{outcome:?}");
    assert!(outcome.later.iter().all(|later| *later <= LATER_MAX), "sent later: {context}");
    assert!(outcome.kin.share() >= KIN_MIN, "with the same first part: {context}");
    assert!(outcome.others.share() >= KIN_MIN, "others: {context}");
    assert!(outcome.wronged <= 5 + outcome.sound / 500, "refused wrongly: {context}");
}

/// Guards against parts of prompts that end engine after engine, since no two of the requests that hold one are alike.
#[test]
fn bad_second_part() {
    for seed in 0..4 {
        let settings = Settings { seed, ..Settings::default() };
        let outcome = play(settings.clone());
        assert!(outcome.ends[0] > 0, "none ended");
        check(&settings, &outcome);
    }
}
