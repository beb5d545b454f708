//! Admission, the order of waiting requests and early refusals.

use std::time::Duration;

use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::rules::Priority;
use boragecove_core::settings::Settings;

mod entry;
use entry::{Ask, Entry, caller, end, outcome, sends, sent};

/// Attempts that one engine is given concurrently.
const FULL: usize = entry::SLOTS as usize;

fn filled(
    settings: Settings,
    callers: Vec<boragecove_core::rules::Caller>,
    name: Option<&'static str>,
) -> Entry {
    let mut entry = Entry::new(settings, callers, &["engine-1"], &[]);
    for _ in 0..FULL {
        let (_, effects) = entry.ask(Ask { caller: name, ..Ask::default() });
        let _sent = sent(&effects);
    }
    entry
}

/// Ends the oldest open attempts one by one and returns the requests that are sent in their place.
fn order(entry: &mut Entry, count: usize) -> Vec<id::Request> {
    let mut order = Vec::new();
    let mut at = 0;
    while order.len() < count {
        let attempt = entry.sent()[at].attempt;
        at += 1;
        entry.now = entry.now + Duration::from_millis(1);
        order.extend(sends(&entry.answer(attempt)).iter().map(|send| send.attempt.request));
    }
    order
}

#[test]
fn urgent_first() {
    let callers = vec![caller("duty", Priority::Urgent, 1)];
    let mut entry = filled(Settings::default(), callers, Some("duty"));
    let mut ask = |priority, patience| {
        let patience = Duration::from_secs(patience);
        entry.ask(Ask { caller: Some("duty"), priority: Some(priority), patience, ..Ask::default() }).0
    };
    let deferrable = ask(Priority::Deferrable, 10);
    let late = ask(Priority::Normal, 50);
    let early = ask(Priority::Normal, 20);
    let urgent = ask(Priority::Urgent, 50);
    assert_eq!(order(&mut entry, 3), [urgent, early, late]);
    assert!(entry.ended(deferrable).is_none(), "the deferrable request waits");
}

#[test]
fn deferrable_resumes() {
    let callers = vec![caller("duty", Priority::Urgent, 1)];
    let mut entry = filled(Settings::default(), callers, Some("duty"));
    let ask = Ask { caller: Some("duty"), priority: Some(Priority::Deferrable), ..Ask::default() };
    let (deferrable, effects) = entry.ask(ask);
    assert!(sends(&effects).is_empty());
    for send in entry.sent() {
        let _effects = entry.answer(send.attempt);
    }
    assert!(
        entry.sent().iter().any(|send| send.attempt.request == deferrable),
        "the deferrable request is sent once slots are free"
    );
}

#[test]
fn priority_capped_by_caller() {
    let callers = vec![caller("batch", Priority::Deferrable, 1), caller("desk", Priority::Normal, 1)];
    let mut entry = filled(Settings::default(), callers, Some("desk"));
    let urgent = Some(Priority::Urgent);
    let _batch = entry.ask(Ask { caller: Some("batch"), priority: urgent, ..Ask::default() });
    let (desk, _) = entry.ask(Ask { caller: Some("desk"), ..Ask::default() });
    assert_eq!(order(&mut entry, 1), [desk]);
}

#[test]
fn fair_shares() {
    let callers = vec![caller("loud", Priority::Normal, 1), caller("quiet", Priority::Normal, 2)];
    let mut entry = filled(Settings::default(), callers, Some("loud"));
    for _ in 0..40 {
        let _waiting = entry.ask(Ask { caller: Some("loud"), ..Ask::default() });
    }
    let quiet: Vec<_> =
        (0..8).map(|_| entry.ask(Ask { caller: Some("quiet"), ..Ask::default() }).0).collect();
    let served = order(&mut entry, 12);
    let share = served.iter().filter(|request| quiet.contains(request)).count();
    assert_eq!(share, 8, "two thirds go to the caller of weight 2: {served:?}");
}

#[test]
fn full_queue() {
    let callers = vec![caller("loud", Priority::Normal, 1), caller("quiet", Priority::Normal, 1)];
    let settings = Settings { queue_max: 3, ..Settings::default() };
    let mut entry = filled(settings, callers, Some("loud"));
    let waiting: Vec<_> =
        (0..3).map(|_| entry.ask(Ask { caller: Some("loud"), ..Ask::default() }).0).collect();
    let (refused, effects) = entry.ask(Ask { caller: Some("loud"), ..Ask::default() });
    assert_eq!(outcome(&effects, refused), Some((Code::QueueFull, Outcome::NotRun)));
    assert!(end(&effects, refused).and_then(|end| end.retry_after_ms()).is_some());

    let (taken, effects) = entry.ask(Ask { caller: Some("quiet"), ..Ask::default() });
    assert_eq!(outcome(&effects, taken), None, "a request of the caller that fills the queue is preempted");
    assert_eq!(outcome(&effects, waiting[2]), Some((Code::Preempted, Outcome::NotRun)));
    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::Cancel(_))),
        "running requests are not cancelled"
    );
}

#[test]
fn caller_limit() {
    let mut limited = caller("desk", Priority::Normal, 1);
    limited.open_limit = Some(2);
    let mut entry = Entry::new(Settings::default(), vec![limited], &["engine-1"], &[]);
    let (_, first) = entry.ask(Ask { caller: Some("desk"), ..Ask::default() });
    let _second = entry.ask(Ask { caller: Some("desk"), ..Ask::default() });
    let (third, effects) = entry.ask(Ask { caller: Some("desk"), ..Ask::default() });
    assert_eq!(outcome(&effects, third), Some((Code::CallerLimit, Outcome::NotRun)));
    let _effects = entry.answer(sent(&first).attempt);
    let (_, effects) = entry.ask(Ask { caller: Some("desk"), ..Ask::default() });
    let _sent = sent(&effects);
}

#[test]
fn entry_limit() {
    let callers = vec![caller("duty", Priority::Urgent, 1)];
    let settings = Settings { open_max: 10, ..Settings::default() };
    let mut entry = Entry::new(settings, callers, &[], &[]);
    let mut ask = |priority| {
        let (id, effects) =
            entry.ask(Ask { caller: Some("duty"), priority: Some(priority), ..Ask::default() });
        outcome(&effects, id)
    };
    let refused = Some((Code::EntryFull, Outcome::NotRun));
    for _ in 0..7 {
        assert_eq!(ask(Priority::Deferrable), None);
    }
    assert_eq!(ask(Priority::Deferrable), refused, "the rest is reserved for more urgent requests");
    for _ in 0..3 {
        assert_eq!(ask(Priority::Urgent), None);
    }
    assert_eq!(ask(Priority::Urgent), refused);
}

#[test]
fn refused_early() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &["engine-1"], &[]);
    for _ in 0..8 {
        let (_, effects) = entry.ask(Ask::default());
        entry.now = entry.now + Duration::from_secs(2);
        let _effects = entry.answer(sent(&effects).attempt);
    }
    for _ in 0..FULL + 10 {
        let _open = entry.ask(Ask::default());
    }
    let patience = Duration::from_secs(3);
    let (late, effects) = entry.ask(Ask { patience, ..Ask::default() });
    let end = end(&effects, late).expect("the request is refused at once");
    assert_eq!((end.code(), end.outcome()), (Code::DeadlineUnreachable, Outcome::NotRun));
    let wait = end.retry_after_ms().expect("the refusal has a retry-after");
    assert!((1_000..=10_000).contains(&wait), "{wait} ms");
    let (_, effects) = entry.ask(Ask { patience: Duration::from_secs(30), ..Ask::default() });
    assert!(effects.iter().all(|effect| !matches!(effect, Effect::End { .. })));
}

#[test]
fn late_served_last() {
    let mut entry = filled(Settings::default(), Vec::new(), None);
    let (late, _) = entry.ask(Ask::default());
    entry.advance(Duration::from_secs(2));
    let (timely, _) = entry.ask(Ask::default());
    assert_eq!(
        order(&mut entry, 2),
        [timely, late],
        "a request that misses the target is served after one that can meet it"
    );
}

#[test]
fn hopeless_refused_early() {
    let mut entry = filled(Settings::default(), Vec::new(), None);
    let oldest = entry.sent()[0].attempt;
    entry.advance(Duration::from_secs(1));
    let waiting: Vec<_> =
        (0..6).map(|_| entry.ask(Ask { patience: Duration::from_secs(4), ..Ask::default() }).0).collect();
    entry.advance(Duration::from_secs(2));
    let effects = entry.answer(oldest);
    let refused = waiting
        .iter()
        .filter(|id| outcome(&effects, **id) == Some((Code::DeadlineUnreachable, Outcome::NotRun)));
    assert!(
        refused.count() > 0,
        "requests that cannot be served by their deadline are refused early: {effects:?}"
    );
}

#[test]
fn wait_for_load() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &[], &[]);
    let (id, _) = entry.ask(Ask { patience: Duration::from_secs(5), ..Ask::default() });
    entry.advance(Duration::from_secs(4));
    assert_eq!(entry.ended(id), None);
    let effects = entry.advance(Duration::from_secs(1));
    assert_eq!(outcome(&effects, id), Some((Code::DeadlinePassed, Outcome::NotRun)));
    assert!(entry.event(Event::CallerGone(id)).iter().all(|effect| !matches!(effect, Effect::End { .. })));
}

#[test]
fn no_service() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &[], &[]);
    let (id, effects) = entry.ask(Ask { service: true, ..Ask::default() });
    assert_eq!(outcome(&effects, id), Some((Code::NoBackend, Outcome::NotRun)));
}
