//! Time limits for answers of back ends, and what happens when they expire.

use std::time::Duration;

use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::settings::Settings;

mod entry;
use entry::{Ask, Entry, sends, sent};

const STEP: Duration = Duration::from_millis(20);

#[test]
fn no_head() {
    let engines = ["engine-1", "engine-2"];
    let mut entry = Entry::new(Settings::default(), Vec::new(), &engines, &[]);
    let (_, effects) = entry.ask(Ask::default());
    let first = sent(&effects);
    let limit = Settings::default().first_byte;
    assert!(sends(&entry.advance(limit.saturating_sub(STEP))).is_empty());
    let effects = entry.advance(STEP);
    assert!(effects.contains(&Effect::CloseConnections(first.address)));
    assert!(effects.contains(&Effect::Cancel(first.attempt)));
    assert_ne!(sent(&effects).backend, first.backend);
}

#[test]
fn unstreamed_answer_has_time() {
    let engines = ["engine-1", "engine-2"];
    let mut entry = Entry::new(Settings::default(), Vec::new(), &engines, &[]);
    let _sent = entry.ask(Ask { stream: false, ..Ask::default() });
    let effects = entry.advance(Settings::default().first_byte + Duration::from_secs(1));
    assert!(sends(&effects).is_empty(), "the time limit includes the time for 64 tokens");
}

#[test]
fn silent_service() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &[], &["gate-1", "gate-2"]);
    let (id, _) = entry.ask(Ask { service: true, ..Ask::default() });
    entry.advance(Settings::default().first_byte + STEP);
    let end = entry.ended(id).expect("the request ends");
    assert_eq!((end.code(), end.outcome()), (Code::BackendSilent, Outcome::Unknown));
    assert_eq!(entry.sent().len(), 1, "a request that may have run is not retried");
}

#[test]
fn stalled_process() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    let (_, effects) = entry.ask(Ask::default());
    let attempt = sent(&effects).attempt;
    entry.head(attempt);
    entry.now = entry.now + Settings::default().idle * 3;
    let effects = entry.event(Event::Wake);
    assert!(!effects.contains(&Effect::Release(attempt)) && !effects.contains(&Effect::Cancel(attempt)));
    assert!(entry.chunk(attempt, 0).contains(&Effect::Deliver { attempt, offset: 0 }));
    entry.advance(Settings::default().idle + STEP);
    assert_eq!(entry.sent().len(), 2, "silence after the stall is detected");
}

#[test]
fn progress_prevents_timeout() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    let (id, effects) = entry.ask(Ask::default());
    let attempt = sent(&effects).attempt;
    entry.head(attempt);
    for offset in 0..10 {
        entry.advance(Settings::default().idle.saturating_sub(STEP));
        let _delivered = entry.chunk(attempt, offset);
    }
    assert_eq!(entry.sent().len(), 1);
    assert_eq!(entry.ended(id), None);
}
