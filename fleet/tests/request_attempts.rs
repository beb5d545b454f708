//! Which requests are retried, how often, and with which code they end.

mod node;

use boragecove_core::code::Code;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease;
use boragecove_fleet::request::{Attempt, Cause, End, Id, Refusal, Step};
use boragecove_fleet::settings::Settings;
use node::{Node, began, millis, plain, short_stream, step_of, streamed};

fn expect_send(step: Option<Step>) -> Attempt {
    match step {
        Some(Step::Send(attempt)) => attempt,
        other => panic!("no further attempt: {other:?}"),
    }
}

fn expect_refusal(step: Option<Step>) -> Refusal {
    match step {
        Some(Step::Refuse(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn non_repeatable_is_sent_once() {
    let mut node = Node::ready("a");
    let (id, attempt) = node.sent(plain("/ack/1"));
    let refusal = expect_refusal(node.ended(id, attempt.number, End::Broken));
    assert_eq!(refusal.code.status(), 502, "the request may have run: {}", refusal.code);
    assert_eq!(refusal.code, Code::BackendFailed);
    assert_eq!(refusal.retry_after, None);
}

#[test]
fn refused_request_is_sent_again() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/ack/1"));
    let second = expect_send(node.ended(id, first.number, End::Refused(Cause::Busy)));
    assert_ne!(second.engine, first.engine);
    assert_eq!(node.ended(id, second.number, End::Done), Some(Step::Forward));
}

#[test]
fn only_refusals_end_as_not_run() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/ack/1"));
    let second = expect_send(node.ended(id, first.number, End::Refused(Cause::Busy)));
    let after = node.ended(id, second.number, End::Refused(Cause::Busy));
    // No third engine is left, so the request waits briefly for one.
    assert_eq!(after, None);
    let effects = node.advance(millis(600));
    let refusal = expect_refusal(step_of(&effects, id));
    assert_eq!(refusal.code.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn possible_run_is_not_reported_as_not_run() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/list/1"));
    let second = expect_send(node.ended(id, first.number, End::Broken));
    assert_eq!(
        node.ended(id, second.number, End::Refused(Cause::Busy)),
        None,
        "the request waits for a third engine"
    );
    let effects = node.advance(millis(600));
    let refusal = expect_refusal(step_of(&effects, id));
    assert_eq!(refusal.code.status(), 502, "the first attempt may have run");
}

#[test]
fn idempotent_request_is_retried() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/list/1"));
    let second = expect_send(node.ended(id, first.number, End::Failed));
    assert_ne!(second.engine, first.engine);
    assert_eq!(
        node.ended(id, second.number, End::Failed),
        Some(Step::Forward),
        "the engine's own failure is forwarded"
    );
}

#[test]
fn resumable_stream_continues() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(began(id));
    let second = expect_send(node.ended(id, first.number, End::Broken));
    assert_ne!(second.engine, first.engine);
}

#[test]
fn plain_stream_is_not_resumed() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(short_stream("m0"));
    node.feed(began(id));
    let refusal = expect_refusal(node.ended(id, first.number, End::Broken));
    assert_eq!(refusal.code, Code::BackendFailed);
}

#[test]
fn end_of_earlier_attempt_is_ignored() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/list/1"));
    expect_send(node.ended(id, first.number, End::Broken));
    assert_eq!(node.ended(id, first.number, End::Done), None, "the first attempt is over");
}

#[test]
fn deadline_passes_after_sending() {
    let mut node = Node::ready("a");
    let (id, _) = node.sent(plain("/ack/1"));
    let effects = node.advance(millis(3_050));
    assert_eq!(expect_refusal(step_of(&effects, id)).code, Code::DeadlinePassed);
    assert_eq!(node.state.open(), 0);
}

#[test]
fn hanging_idempotent_request_moves() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/list/1"));
    let effects = node.advance(millis(1_300));
    let second = expect_send(step_of(&effects, id));
    assert_ne!(second.engine, first.engine);
}

/// A silent engine that still accepts connections may just be slow, so its streams are not broken off.
#[test]
fn silence_alone_ends_no_stream() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(began(id));
    for _ in 0..8 {
        let effects = node.advance(millis(500));
        assert_eq!(step_of(&effects, id), None);
        node.feed(Event::Probed { engine: first.engine.clone(), reach: Port::Open });
    }
    assert_eq!(node.ended(id, first.number, End::Done), Some(Step::Forward));
}

#[test]
fn stream_leaves_unreachable_engine() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(streamed("/digest/1", "m0", None));
    node.feed(began(id));
    node.advance(millis(600));
    node.feed(Event::Probed { engine: first.engine.clone(), reach: Port::Silent });
    let second = expect_send(step_of(&node.advance(millis(600)), id));
    assert_ne!(second.engine, first.engine);
}

#[test]
fn disconnected_caller_frees_the_engine() {
    let mut node = Node::ready("a");
    let (id, attempt) = node.sent(short_stream("m0"));
    let open = |node: &Node| {
        node.state
            .engines()
            .find(|engine| engine.entry.id == attempt.engine)
            .map(|engine| engine.own_load.open)
    };
    assert_eq!(open(&node), Some(1));
    node.feed(Event::CallerGone(id));
    assert_eq!(open(&node), Some(0));
    assert_eq!(node.state.open(), 0);
}

#[test]
fn changed_settings_apply() {
    let mut node = Node::ready("a");
    let strict = Settings { repeat_ratio: 0.0, repeat_slack: 0.0, ..Settings::default() };
    node.feed(Event::Settings(Box::new(strict)));
    let (id, first) = node.sent(plain("/list/1"));
    let refused = expect_refusal(node.ended(id, first.number, End::Broken));
    assert_eq!(refused.code, Code::BackendFailed, "retries are no longer allowed");
}

/// Sends requests that all fail once, while the store accepts the lease writes of the process. Returns the number of retries.
fn count_retries(node: &mut Node, requests: u32) -> u32 {
    let mut retries = 0;
    for number in 0..requests {
        let (id, first): (Id, Attempt) = node.sent(plain("/list/1"));
        if let Some(Step::Send(_)) = node.ended(id, first.number, End::Failed) {
            retries += 1;
            node.feed(Event::CallerGone(id));
        }
        let effects = node.advance(millis(20));
        if !node::lease_calls(&effects).is_empty() {
            node.lease(u64::from(number) * 20 + 20, lease::Outcome::Written(u64::from(number) + 101));
        }
    }
    retries
}

fn small_slack() -> Settings {
    Settings { repeat_slack: 9.0, ..Settings::default() }
}

#[test]
fn retries_have_a_budget() {
    let mut node = Node::ready("a");
    node.feed(Event::Settings(Box::new(small_slack())));
    node.lead();
    let retries = count_retries(&mut node, 200);
    // The budget is a fifth of 200 requests and a slack of nine.
    assert!((36..=45).contains(&retries), "{retries} retries of 200 requests");
}

#[test]
fn no_slack_without_a_hub() {
    let mut node = Node::ready("a");
    node.feed(Event::Settings(Box::new(small_slack())));
    let mut retries = 0;
    for _ in 0..200 {
        let (id, first): (Id, Attempt) = node.sent(plain("/list/1"));
        if let Some(Step::Send(_)) = node.ended(id, first.number, End::Failed) {
            retries += 1;
            node.feed(Event::CallerGone(id));
        }
        node.advance(millis(20));
    }
    // The process has earned 0.35 of a fifth of 200, and has a part of one at the beginning.
    assert!((14..=15).contains(&retries), "{retries} retries of 200 requests");
}

/// Permits expire. Otherwise a retry could be counted in one window and sent in a later one, if the process stalls or the request
/// waits for an engine.
#[test]
fn permits_expire() {
    let mut node = Node::ready("a");
    let (id, first) = node.sent(plain("/list/1"));
    assert_eq!(first.send_by, None, "the first attempt is not a retry");
    let second = expect_send(node.ended(id, first.number, End::Failed));
    assert_eq!(second.send_by, Some(node.now + millis(500)));
    node.advance(millis(400));
    node.feed(Event::EngineActive(second.engine.clone()));
    node.advance(millis(300));
    // It was not sent in time, and its permit has expired: it needs another one.
    let third = expect_send(node.ended(id, second.number, End::Withheld));
    assert_eq!(third.send_by, Some(node.now + millis(500)));
}

/// A permit that was not used is available to another request.
#[test]
fn unused_permits_are_returned() {
    let mut node = Node::ready("a");
    // At this ratio, one request earns exactly one retry.
    let exact = Settings { repeat_ratio: 1.0 / 0.35, repeat_slack: 0.0, ..Settings::default() };
    node.feed(Event::Settings(Box::new(exact)));
    let (one, first) = node.sent(plain("/list/1"));
    let second = expect_send(node.ended(one, first.number, End::Failed));
    node.ended(one, second.number, End::Withheld);
    node.feed(Event::CallerGone(one));
    let granted = node.state.repeats().get("own").copied();
    let (two, third) = node.sent(plain("/list/2"));
    let fourth = expect_send(node.ended(two, third.number, End::Failed));
    assert_eq!(granted, Some(1));
    assert_eq!(fourth.send_by, second.send_by, "the returned permit keeps its expiry");
}
