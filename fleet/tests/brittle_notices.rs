//! How the rejection limits that engines report in their answers are read.

mod node;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Reply;
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::notice::{AnsweredRequest, Notice, Start, Tolerance};
use boragecove_fleet::record::Record;
use boragecove_fleet::request::Id;
use node::{Node, hub_row, millis};

fn start(engine: &str) -> Start {
    Start { engine: engine.into(), ..Start::default() }
}

/// Feeds an engine's answer to a request that was sent just now.
fn answer_with(node: &mut Node, engine: &str, rejection_limit: Tolerance) -> Vec<Effect> {
    let asked = Some(AnsweredRequest { request: Id(1), sent_at: node.now });
    let notice = Notice { rejection_limit, ..Notice::default() };
    node.feed(Event::NoticeReceived { from: start(engine), notice, asked }).to_vec()
}

/// A node that follows a hub, which has answered it.
fn follower() -> Node {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    reply_from_hub(&mut node);
    node
}

/// Feeds the hub's reply to the pending frame.
fn reply_from_hub(node: &mut Node) {
    let reply = Reply { leads: true, nodes: 3, engines_revision: 4.into(), ..Reply::default() };
    node.feed(Event::Replied(Some(Box::new(reply))));
}

/// Guards against a brittle engine being treated as unlimited because it reports an invalid value. Such a
/// value is logged once, and the limit reported before stays in force.
#[test]
fn invalid_value_keeps_limit() {
    let mut node = follower();
    answer_with(&mut node, "g1", Tolerance::PerSecond(5.0));
    assert_eq!(node.state.engines_brittle(), 1);
    node.now = node.now + millis(10);
    let unusable = |effects: &[Effect]| {
        effects.iter().filter(|effect| matches!(effect, Effect::Record(Record::Unusable { .. }))).count()
    };
    assert_eq!(unusable(&answer_with(&mut node, "g1", Tolerance::Invalid)), 1);
    assert_eq!(unusable(&answer_with(&mut node, "g1", Tolerance::Invalid)), 0);
    assert_eq!(node.state.engines_brittle(), 1);
    answer_with(&mut node, "g1", Tolerance::Unlimited);
    assert_eq!(node.state.engines_brittle(), 0);
}
