//! A planned stop cuts no request off. The balancer is notified first, requests that arrive until it has reacted are served, and later
//! ones are refused as not run.

mod node;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease::Call;
use boragecove_fleet::request::{Arrival, End, Step};
use node::{Node, millis, plain, short_stream};

fn exits(effects: &[Effect]) -> bool {
    effects.iter().any(|effect| matches!(effect, Effect::Exit))
}

#[test]
fn ready_once_tables_are_read() {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(std::sync::Arc::new(node::config(1))));
    assert!(
        !node.effects.iter().any(|effect| matches!(effect, Effect::Ready(true))),
        "the engines' table has not been read"
    );
    node.feed(node::listing(Vec::new(), 3, true));
    assert!(node.effects.iter().any(|effect| matches!(effect, Effect::Ready(true))));
}

#[test]
fn serves_until_balancer_has_reacted() {
    let mut node = Node::ready("a");
    let (open, attempt) = node.sent(plain("/ack/1"));
    node.feed(Event::Stop);
    assert!(node.effects.iter().any(|effect| matches!(effect, Effect::Ready(false))));
    let (late, second) = node.sent(plain("/ack/2"));
    assert!(!exits(&node.advance(millis(2_400))));
    node.ended(late, second.number, End::Done);
    node.advance(millis(200));
    let refusal = node.refused(short_stream("m0"));
    assert_eq!(refusal.code, Code::Stopping);
    assert_eq!(refusal.code.status(), 503);
    assert!(!exits(&node.effects), "a request is still in flight");
    node.ended(open, attempt.number, End::Done);
    assert!(exits(&node.effects));
}

/// In a rolling restart most entry VMs of a zone are stopping, and the balancer still sends requests to all of them. Calls that will be
/// answered before the process ends are served, and requests that may take longer are refused as not run.
#[test]
fn calls_that_fit_are_served() {
    let mut node = Node::ready("a");
    let (_long, _attempt) = node.sent(short_stream("m0"));
    node.feed(Event::Stop);
    node.advance(millis(4_000));
    let (call, attempt) = node.sent(plain("/ack/1"));
    assert_eq!(node.refused(short_stream("m0")).code, Code::Stopping, "a stream may last longer");
    node.ended(call, attempt.number, End::Done);
    node.advance(millis(700));
    assert_eq!(
        node.refused(plain("/ack/2")).code,
        Code::Stopping,
        "the process ends in less than the 3 s that the call may take"
    );
}

/// Guards against requests that are cut off as the process runs out of time. A caller whose request was sent is promised
/// nothing; one that comes later is told that its request has not run.
#[test]
fn open_requests_are_answered() {
    let mut node = Node::ready("a");
    node.advance(millis(100));
    let long = Some(Duration::from_secs(9));
    let (sent, _attempt) = node.sent(Arrival { caller_timeout: long, ..plain("/ack/1") });
    node.feed(Event::Stop);
    node.advance(millis(2_600));
    assert!(!exits(&node.effects), "a request is in flight");
    let codes = |effects: &[Effect]| {
        let refusal = |effect: &Effect| match effect {
            Effect::Step { request, step: Step::Refuse(refusal) } => Some((*request, refusal.code)),
            _ => None,
        };
        effects.iter().filter_map(refusal).collect::<Vec<_>>()
    };
    let effects = node.advance(millis(7_200 - 2_600));
    assert_eq!(codes(&effects), [(sent, Code::BackendFailed)]);
    assert!(exits(&effects));
    assert_eq!(node.refused(plain("/ack/2")).code, Code::Stopping, "it is too late for any request");
}

#[test]
fn lease_is_released() {
    let mut node = Node::ready("a");
    node.lead();
    node.feed(Event::Stop);
    let released = node
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Lease(Call::Write { row, .. }) if row.released));
    assert!(released);
    assert!(node.state.lease().ordering_term(node.now).is_none());
}
