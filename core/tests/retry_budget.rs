//! Which failures are retried, where and how often, and which outcome is reported to the caller.

use std::time::Duration;

use boragecove_core::attempt::{Failure, Refusal};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::count::Reason;
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::peer::Item;
use boragecove_core::settings::Settings;
use boragecove_core::vm::Role;

mod entry;
use entry::{Ask, Entry, end, outcome, sends, sent, vm};

const ONCE: Ask = Ask {
    caller: None,
    service: true,
    idempotent: None,
    key: None,
    digest: "digest",
    priority: None,
    patience: Duration::from_mins(1),
    stream: false,
    prefix: Vec::new(),
    hops: 0,
};

fn two_engines() -> Entry {
    Entry::new(Settings::default(), Vec::new(), &["engine-1", "engine-2"], &["gate-1", "gate-2"])
}

#[test]
fn first_retry_immediate() {
    let mut entry = two_engines();
    let (_, effects) = entry.ask(Ask::default());
    let first = sent(&effects);
    let effects = entry.fail(first.attempt, Failure::Connect);
    let second = sent(&effects);
    assert_ne!(second.backend, first.backend);
    assert!(effects.contains(&Effect::CloseConnections(first.address)));
    assert_eq!(entry.state.counters().retried(Reason::Connect), 1);
}

#[test]
fn suspected_engine_avoided() {
    let mut entry = two_engines();
    let (_, effects) = entry.ask(Ask::default());
    let dead = sent(&effects);
    let _second = entry.fail(dead.attempt, Failure::Connect);
    for _ in 0..3 {
        let (_, effects) = entry.ask(Ask::default());
        assert_ne!(sent(&effects).backend, dead.backend);
    }
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).is_empty(), "a suspected engine gets no requests while another one is only busy");
    entry.report("engine-2", 0, true);
    entry.advance(Duration::from_secs(1));
    let (_, effects) = entry.ask(Ask::default());
    let probe = sent(&effects);
    assert_eq!(probe.backend, dead.backend, "one request probes the suspected engine");
    let _answered = entry.answer(probe.attempt);
    let (_, effects) = entry.ask(Ask::default());
    assert_eq!(sent(&effects).backend, dead.backend, "it has less load and is no longer suspected");
}

#[test]
fn not_idempotent_not_retried() {
    let mut entry = two_engines();
    let (id, effects) = entry.ask(ONCE);
    let effects = entry.fail(sent(&effects).attempt, Failure::Broken);
    assert!(sends(&effects).is_empty());
    assert_eq!(outcome(&effects, id), Some((Code::Interrupted, Outcome::Unknown)));

    let (id, effects) = entry.ask(ONCE);
    let second = sent(&entry.refuse(sent(&effects).attempt, Refusal::Busy));
    let effects = entry.fail(second.attempt, Failure::Error);
    assert_eq!(outcome(&effects, id), Some((Code::BackendFailed, Outcome::Unknown)));
}

#[test]
fn proven_not_run() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &[], &["gate-1"]);
    let (id, effects) = entry.ask(ONCE);
    let mut attempt = sent(&effects).attempt;
    let end = loop {
        let mut effects = entry.refuse(attempt, Refusal::Busy);
        effects.extend(entry.advance(Duration::from_secs(2)));
        if let Some(end) = end(&effects, id) {
            break end;
        }
        attempt = sent(&effects).attempt;
    };
    assert_eq!((end.code(), end.outcome()), (Code::RetriesSpent, Outcome::NotRun));
    assert!(end.retry_after_ms().is_some());
    assert_eq!(entry.sent().len(), usize::from(Settings::default().attempts_max));
}

#[test]
fn budget_spent() {
    let settings = Settings { retry_burst: 3.0, retry_floor: 0.5, ..Settings::default() };
    let mut entry = Entry::new(settings, Vec::new(), &["engine-1", "engine-2"], &[]);
    let mut retried = 0;
    for _ in 0..6 {
        let (id, effects) = entry.ask(Ask::default());
        let effects = entry.refuse(sent(&effects).attempt, Refusal::Busy);
        match end(&effects, id) {
            None => {
                retried += 1;
                let _answered = entry.answer(sent(&effects).attempt);
            }
            Some(end) => {
                assert_eq!((end.code(), end.outcome()), (Code::RetriesSpent, Outcome::NotRun));
                assert!(end.retry_after_ms().is_some_and(|wait| wait <= 2_000));
            }
        }
    }
    assert_eq!(retried, 3, "each answer earns a fifth of a retry");
    entry.advance(Duration::from_secs(3));
    let (_, effects) = entry.ask(Ask::default());
    let _retried = sent(&entry.refuse(sent(&effects).attempt, Refusal::Busy));
}

#[test]
fn within_deadline() {
    let settings = Settings { backoff_base: Duration::from_secs(10), ..Settings::default() };
    let mut entry = Entry::new(settings, Vec::new(), &["engine-1", "engine-2"], &[]);
    let (id, effects) = entry.ask(Ask { patience: Duration::from_millis(40), ..Ask::default() });
    let second = sent(&entry.refuse(sent(&effects).attempt, Refusal::Busy));
    let effects = entry.refuse(second.attempt, Refusal::Busy);
    assert_eq!(
        outcome(&effects, id),
        Some((Code::RetriesSpent, Outcome::NotRun)),
        "the request is refused at once"
    );
}

#[test]
fn another_requests_answer() {
    let mut entry = two_engines();
    let (id, effects) = entry.ask(Ask::default());
    let first = sent(&effects).attempt;
    let (_, effects) = entry.ask(Ask::default());
    let other = sent(&effects).attempt;
    let effects = entry.event(Event::Head { attempt: first, echo: Some(other) });
    assert!(effects.contains(&Effect::Cancel(first)));
    let second = sent(&effects).attempt;
    assert_eq!(second.request, id);
    assert!(entry.chunk(first, 0).is_empty(), "no event of the wrong answer is delivered");
    assert_eq!(entry.state.counters().foreign, 1);

    let (_, effects) = entry.ask(Ask::default());
    let unnamed = sent(&effects).attempt;
    let effects = entry.event(Event::Head { attempt: unnamed, echo: None });
    assert!(effects.contains(&Effect::Cancel(unnamed)), "an answer of an engine must have an attempt id");
}

#[test]
fn service_need_not_echo() {
    let mut entry = two_engines();
    let (id, effects) = entry.ask(ONCE);
    let attempt = sent(&effects).attempt;
    let effects = entry.event(Event::Head { attempt, echo: None });
    assert!(effects.iter().all(|effect| !matches!(effect, Effect::Cancel(_))));
    assert_eq!(outcome(&entry.finish(attempt, 0), id), Some((Code::Ok, Outcome::Answered)));
}

#[test]
fn whole_answer_committed() {
    let mut entry = two_engines();
    let (id, effects) = entry.ask(Ask { stream: false, ..Ask::default() });
    let attempt = sent(&effects).attempt;
    entry.head(attempt);
    assert!(entry.event(Event::BufferExceeded(attempt)).contains(&Effect::Commit(attempt)));
    let effects = entry.fail(attempt, Failure::Broken);
    assert_eq!(outcome(&effects, id), Some((Code::Interrupted, Outcome::Unknown)));
    assert!(entry.event(Event::BufferExceeded(attempt)).is_empty(), "the request has ended");
}

#[test]
fn leaving_announced() {
    let mut entry = two_engines();
    entry.add(vm("entry-2", "hall-a", Role::Entry));
    let (_, effects) = entry.ask(Ask::default());
    let first = sent(&effects);
    let effects = entry.refuse(first.attempt, Refusal::Leaving);
    assert_ne!(sent(&effects).backend, first.backend);
    let announced = effects.iter().any(|effect| match effect {
        Effect::SendFrame { frame, .. } => frame.items.contains(&Item::Leaving(first.backend.clone())),
        _ => false,
    });
    assert!(announced, "peers are notified: {effects:?}");
    entry.advance(Duration::from_secs(5));
    for _ in 0..3 {
        let (_, effects) = entry.ask(Ask::default());
        assert_ne!(sent(&effects).backend, first.backend);
    }
}

#[test]
fn caller_gone_cancels() {
    let mut entry = two_engines();
    let (id, effects) = entry.ask(Ask::default());
    let attempt = sent(&effects).attempt;
    let effects = entry.event(Event::CallerGone(id));
    assert!(effects.contains(&Effect::Cancel(attempt)));
    assert_eq!(outcome(&effects, id), Some((Code::CallerGone, Outcome::Unknown)));
    assert!(entry.answer(attempt).is_empty(), "a late answer is dropped");
}

#[test]
fn sole_holder_dead() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    let (id, effects) = entry.ask(Ask::default());
    let mut open = sends(&effects);
    for _ in 0..500 {
        open = match open.pop() {
            Some(send) => sends(&entry.fail(send.attempt, Failure::Connect)),
            None => sends(&entry.advance(Duration::from_millis(10))),
        };
    }
    assert!(entry.ended(id).is_none(), "the request waits until the model is loaded on another engine");
    assert!(entry.sent().len() < 30, "attempts at a dead engine are limited: {}", entry.sent().len());
    for send in open {
        entry.fail(send.attempt, Failure::Connect);
    }
    entry.add(vm("engine-2", "hall-a", Role::Backend("writers".into())));
    entry.report("engine-2", 0, true);
    entry.advance(Duration::from_secs(2));
    let last = entry.sent().pop().expect("an attempt");
    assert_eq!(last.backend, "engine-2");
    entry.answer(last.attempt);
    assert_eq!(entry.ended(id).map(|end| end.outcome()), Some(Outcome::Answered));
}
