//! A graceful stop of an entry VM interrupts no request.

use std::time::Duration;

use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::settings::Settings;
use boragecove_core::table::{Call, Done, Key, Reply};

mod entry;
use entry::{Ask, Entry, outcome, sent};

fn exits(effects: &[Effect]) -> bool {
    effects.contains(&Effect::Exit)
}

#[test]
fn streams_finish() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    let (id, effects) = entry.ask(Ask::default());
    let attempt = sent(&effects).attempt;
    let effects = entry.event(Event::Stop);
    assert!(effects.contains(&Effect::Ready(false)));
    assert!(!exits(&effects));
    let (_, effects) = entry.ask(Ask::default());
    let late = sent(&effects).attempt;

    entry.advance(Settings::default().balancer_grace);
    let (refused, effects) = entry.ask(Ask::default());
    assert_eq!(outcome(&effects, refused), Some((Code::Stopping, Outcome::NotRun)));

    entry.head(attempt);
    for offset in 0..20 {
        entry.advance(Duration::from_secs(1));
        assert!(entry.chunk(attempt, offset).contains(&Effect::Deliver { attempt, offset }));
        if offset == 0 {
            assert!(!exits(&entry.answer(late)), "another request is still running");
        }
    }
    let effects = entry.finish(attempt, 20);
    assert_eq!(outcome(&effects, id), Some((Code::Ok, Outcome::Answered)));
    assert!(exits(&effects));
}

#[test]
fn waiting_are_served() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    entry.report("engine-1", entry::SLOTS, true);
    let (id, _) = entry.ask(Ask::default());
    entry.event(Event::Stop);
    entry.advance(Settings::default().balancer_grace);
    let effects = entry.report("engine-1", 0, true);
    let attempt = sent(&effects).attempt;
    assert_eq!(attempt.request, id);
    assert!(exits(&entry.answer(attempt)));
}

#[test]
fn outcomes_written() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    let _waits = entry.ask(Ask { key: Some("k"), ..Ask::default() });
    let claims = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Table { op, call: Call::Each(writes) }
                if writes.iter().all(|write| matches!(write.key, Key::Claim { .. })) =>
            {
                Some((*op, Event::TableAnswered { op: *op, reply: Ok(Reply::Each(vec![Done::Written])) }))
            }
            _ => None,
        })
    };
    let effects = entry.advance(Duration::from_millis(20));
    let (_, written) = claims(&effects).expect("a claim");
    let attempt = sent(&entry.event(written)).attempt;
    entry.event(Event::Stop);
    entry.advance(Settings::default().balancer_grace);
    assert!(!exits(&entry.answer(attempt)), "the outcome is not written yet");
    let effects = entry.advance(Duration::from_millis(200));
    let (_, written) = claims(&effects).expect("an outcome");
    assert!(exits(&entry.event(written)));
}
