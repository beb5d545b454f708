//! Streams that break, go silent or miss an event are resumed without gaps or duplicates.

use std::time::Duration;

use boragecove_core::attempt::{Failure, Resume};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::id::Attempt;
use boragecove_core::settings::Settings;

mod entry;
use entry::{Ask, Entry, outcome, sent};

fn streaming(idempotent: bool) -> (Entry, Attempt) {
    let engines = ["engine-1", "engine-2"];
    let mut entry = Entry::new(Settings::default(), Vec::new(), &engines, &[]);
    let (_, effects) = entry.ask(Ask { idempotent: Some(idempotent), ..Ask::default() });
    let attempt = sent(&effects).attempt;
    entry.head(attempt);
    for offset in 0..3 {
        assert!(entry.chunk(attempt, offset).contains(&Effect::Deliver { attempt, offset }));
    }
    (entry, attempt)
}

#[test]
fn same_engine() {
    let (mut entry, first) = streaming(true);
    let backend = entry.sent()[0].backend.clone();
    let again = sent(&entry.fail(first, Failure::Broken));
    assert_eq!(again.resume, Resume::Same { of: first, offset: 3 });
    assert!(again.new_connection, "it is sent on a new connection");
    assert_eq!(again.backend, backend);
    entry.head(again.attempt);
    assert!(!entry.chunk(again.attempt, 2).iter().any(|effect| matches!(effect, Effect::Deliver { .. })));
    let _delivered = entry.chunk(again.attempt, 3);
    let effects = entry.finish(again.attempt, 4);
    assert_eq!(outcome(&effects, first.request), Some((Code::Ok, Outcome::Answered)));
}

#[test]
fn another_engine() {
    for failure in [Failure::Connect, Failure::Forgotten, Failure::Broken] {
        let (mut entry, first) = streaming(true);
        let again = sent(&entry.fail(first, Failure::Broken));
        let other = sent(&entry.fail(again.attempt, failure));
        assert_eq!(other.resume, Resume::Continue { offset: 3 });
        assert_ne!(other.backend, again.backend);
        entry.head(other.attempt);
        assert!(entry.chunk(first, 3).is_empty(), "late events of an earlier attempt are dropped");
        let _delivered = entry.chunk(other.attempt, 3);
        let effects = entry.finish(other.attempt, 4);
        assert_eq!(outcome(&effects, first.request), Some((Code::Ok, Outcome::Answered)));
    }
}

#[test]
fn not_idempotent_stays() {
    let (mut entry, first) = streaming(false);
    let again = sent(&entry.fail(first, Failure::Broken));
    assert_eq!(again.resume, Resume::Same { of: first, offset: 3 }, "a resumption runs nothing twice");
    let effects = entry.fail(again.attempt, Failure::Forgotten);
    assert_eq!(outcome(&effects, first.request), Some((Code::Interrupted, Outcome::Unknown)));
}

#[test]
fn gap_resumed() {
    let (mut entry, first) = streaming(true);
    let effects = entry.chunk(first, 4);
    assert!(effects.contains(&Effect::Release(first)), "the engine is not told to drop the answer");
    assert_eq!(sent(&effects).resume, Resume::Same { of: first, offset: 3 });
}

#[test]
fn missing_last_event() {
    let (mut entry, first) = streaming(true);
    let effects = entry.finish(first, 4);
    assert_eq!(outcome(&effects, first.request), None);
    assert_eq!(sent(&effects).resume, Resume::Same { of: first, offset: 3 });
}

#[test]
fn silent_stream() {
    let (mut entry, first) = streaming(true);
    let address = entry.sent()[0].address;
    let effects = entry.advance(Settings::default().idle + Duration::from_millis(20));
    assert!(
        effects.contains(&Effect::CloseConnections(address)),
        "no other request is sent on the silent connection"
    );
    assert!(effects.contains(&Effect::Release(first)));
    let again = sent(&effects);
    assert_eq!(again.resume, Resume::Same { of: first, offset: 3 });
    let effects = entry.advance(Settings::default().first_byte + Duration::from_millis(20));
    assert!(effects.contains(&Effect::Cancel(again.attempt)));
    assert_eq!(sent(&effects).resume, Resume::Continue { offset: 3 });
}

#[test]
fn progress_resets_failures() {
    let (mut entry, mut attempt) = streaming(true);
    for offset in 3..13 {
        let again = sent(&entry.fail(attempt, Failure::Broken));
        attempt = again.attempt;
        entry.head(attempt);
        let _delivered = entry.chunk(attempt, offset);
    }
    let effects = entry.finish(attempt, 13);
    assert_eq!(outcome(&effects, attempt.request), Some((Code::Ok, Outcome::Answered)));
}
