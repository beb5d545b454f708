//! Requests at many entry VMs that wait for adapters: each adapter is loaded, and each waiting entry VM is
//! informed.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_fleet::config::{Pool, Service};
use boragecove_fleet::demand::{Demand, Target};
use boragecove_fleet::effect::{Dispatch, Effect};
use boragecove_fleet::engine::{Copy, Held, Incarnation, Phase, Residency, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Position, Reply, Resident};
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::order::{Receipt, Report};
use boragecove_fleet::request::{Cause, End, Id, Step};
use boragecove_fleet::settings::Settings;
use node::{
    Node, WRITER, began, config, entry, hub_row, listing, millis, orders, pool, removed, row, step_of,
    streamed,
};

/// The hub. Two engines hold `m0` and `m1`, two others `m2` and `m3`, and no model is to be moved.
fn hub() -> Node {
    hub_with(vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-b", &["m0", "m1"])),
        row(3, entry("w3", WRITER, "zone-a", &["m2", "m3"])),
        row(4, entry("w4", WRITER, "zone-b", &["m2", "m3"])),
    ])
}

/// The hub; each model is at one engine.
fn single() -> Node {
    hub_with(vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-a", &["m2", "m3"])),
    ])
}

/// The hub with these engines, each with room for eight adapters.
fn hub_with(rows: Vec<Row>) -> Node {
    let mut hub = Node::bare("hub");
    let mut config = config(1);
    let pool = Pool { adapters_max: 8, ..pool() };
    config.services[0] = Arc::new(Service {
        name: WRITER.into(),
        connections_max: 100,
        pool: Some(pool),
        ..Service::default()
    });
    hub.feed(Event::Configured(Arc::new(config)));
    let version = rows.len() as u64;
    hub.feed(listing(rows, version, true));
    hub.lead();
    hub.advance(millis(300));
    hub
}

/// Requests for these adapters of `m0` arrive and wait. Returns them and the orders that were sent.
fn request_adapters(hub: &mut Node, adapters: &[&str]) -> (Vec<Id>, Vec<Dispatch>) {
    let mut sent = Vec::new();
    let requests = adapters.iter().map(|adapter| {
        let request = hub.arrive(streamed("/brief/1", "m0", Some(adapter)));
        sent.extend(orders(&hub.effects));
        request
    });
    let requests = requests.collect();
    (requests, sent)
}

/// The engine accepts an order. Returns the orders that follow.
fn accept(hub: &mut Node, dispatch: &Dispatch) -> Vec<Dispatch> {
    hub.feed(Event::Ordered {
        engine: dispatch.engine.clone(),
        incarnation: dispatch.incarnation,
        receipt: Some(Receipt::Accepted),
    });
    orders(&hub.effects)
}

fn is_sent(effects: &[Effect], request: Id) -> bool {
    matches!(step_of(effects, request), Some(Step::Send(_)))
}

fn target(model: &str, adapter: &str) -> Target {
    Target { service: WRITER.into(), model: model.into(), adapter: Some(adapter.into()) }
}

/// A frame of an entry VM whose requests wait for these adapters.
fn waiting(vm: &str, targets: &[(&str, &str)]) -> Event {
    let demand = |(model, adapter): &(&str, &str)| Demand {
        target: target(model, adapter),
        arrived: 1,
        waiting: 1,
        ..Demand::default()
    };
    let demand = targets.iter().map(demand).collect();
    Event::FrameReceived(Box::new(Frame { vm: vm.into(), demand, ..Frame::default() }))
}

/// Hundreds of entry VMs have waiting requests. Each frame once made the hub search engines for all adapters
/// that any entry VM waited for, which overloaded it. A frame must trigger the search for its own adapters
/// only.
#[test]
fn frame_places_its_own_adapters_only() {
    let mut hub = hub();
    for vm in 0..200 {
        let (model, adapter) = (format!("m{}", vm % 4), format!("a{}", vm % 9 + 1));
        hub.feed(waiting(&format!("vm-{vm}"), &[(&model, &adapter)]));
    }
    let before = hub.state.placement_searches();
    hub.feed(waiting("vm-200", &[("m0", "a7")]));
    assert_eq!(hub.state.placement_searches() - before, 1, "that frame waits for one adapter");
    let before = hub.state.placement_searches();
    hub.arrive(streamed("/brief/1", "m1", Some("a8")));
    assert_eq!(hub.state.placement_searches() - before, 1, "a request at the hub waits for one");
}

/// Several adapters are loaded at one engine in sequence. Only the first was published, and the others counted
/// as loading until the next event at that engine.
#[test]
fn each_ready_adapter_is_published() {
    let mut hub = single();
    let (requests, mut sent) = request_adapters(&mut hub, &["a1", "a2", "a3"]);
    let mut effects = Vec::new();
    for _ in 0..3 {
        effects.extend(hub.advance(millis(10)));
        let dispatch = sent.remove(0);
        sent.extend(accept(&mut hub, &dispatch));
    }
    effects.extend(hub.advance(millis(60)));
    for request in requests {
        assert!(
            is_sent(&effects, request),
            "{request:?}: its adapter was ready 20 ms after the order was accepted"
        );
    }
}

/// The lease expires briefly and is renewed. An adapter that became ready meanwhile counted as loading for
/// good.
#[test]
fn published_after_lease_lapse() {
    let mut hub = single();
    let (requests, sent) = request_adapters(&mut hub, &["a1"]);
    hub.now = hub.now + Settings::default().lease_length;
    accept(&mut hub, &sent[0]);
    hub.advance(millis(50));
    assert_eq!(hub.state.lease().held_term(hub.now), None, "the store has not accepted the renewal");
    hub.lease(3_000, Outcome::Written(101));
    let effects = hub.advance(millis(300));
    assert!(is_sent(&effects, requests[0]), "the next plan publishes the adapter");
}

/// An order is not answered while its engine has asked for a pause. The engine was never asked for a report,
/// and got no further orders.
#[test]
fn paused_engine_is_asked() {
    let mut hub = single();
    let (_, mut sent) = request_adapters(&mut hub, &["a1"]);
    let from = Start { engine: sent[0].engine.clone(), incarnation: sent[0].incarnation };
    let notice = Notice { pause: Some(millis(100)), ..Notice::default() };
    hub.feed(Event::NoticeReceived { from, notice, asked: None });
    let Dispatch { engine, incarnation, .. } = sent.remove(0);
    hub.feed(Event::Ordered { engine: engine.clone(), incarnation, receipt: None });
    let effects = hub.advance(millis(800));
    let asked = |effect: &Effect| matches!(effect, Effect::Report { engine: of, .. } if *of == engine);
    assert!(effects.iter().any(asked), "an unanswered order may have been carried out");
}

/// An engine disappears from the list and returns before the next plan. An adapter that became ready meanwhile
/// counted as loading for good.
#[test]
fn published_when_engine_returns() {
    let mut hub = single();
    let (_, sent) = request_adapters(&mut hub, &["a1"]);
    accept(&mut hub, &sent[0]);
    hub.feed(listing(vec![removed(3, "w1")], 3, false));
    hub.advance(millis(30));
    hub.feed(listing(vec![row(4, entry("w1", WRITER, "zone-a", &["m0", "m1"]))], 4, false));
    hub.advance(millis(300));
    let later = hub.arrive(streamed("/brief/1", "m0", Some("a1")));
    assert!(hub.step(later).is_some_and(|step| matches!(step, Step::Send(_))), "the adapter is ready");
}

/// Six adapters are ordered for one engine at once. An engine loads four at a time, and the orders for the
/// others were dropped until the next plan.
#[test]
fn more_adapters_than_parallel_loads() {
    let mut hub = single();
    let (requests, mut sent) = request_adapters(&mut hub, &["a1", "a2", "a3", "a4", "a5", "a6"]);
    let mut effects = Vec::new();
    // The next plan is 240 ms away.
    for _ in 0..20 {
        while let Some(dispatch) = sent.pop() {
            sent.extend(accept(&mut hub, &dispatch));
            effects.extend_from_slice(&hub.effects);
        }
        let passed = hub.advance(millis(10));
        sent.extend(orders(&passed));
        effects.extend(passed);
    }
    for request in requests {
        assert!(is_sent(&effects, request), "{request:?}");
    }
}

/// The last frame that an entry VM has sent to the hub.
fn last_frame(effects: &[Effect]) -> Option<&Frame> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(&**frame),
        _ => None,
    })
}

/// The adapters that a frame reports as waited for.
fn waiting_adapters(frame: &Frame) -> Vec<&str> {
    let waiting = frame.demand.iter().filter(|demand| demand.waiting > 0);
    waiting.filter_map(|demand| demand.target.adapter.as_deref()).collect()
}

/// One of `nodes` entry VMs, connected to its hub.
fn follower(nodes: u32) -> Node {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    node.advance(millis(1_000));
    node.feed(replied(nodes));
    node
}

fn replied(nodes: u32) -> Event {
    let reply = Reply { leads: true, nodes, engines_revision: 4.into(), ..Reply::default() };
    Event::Replied(Some(Box::new(reply)))
}

/// A request begins to wait while a frame is under way. The hub learned of it only with the next regular frame,
/// 1.5 s later with hundreds of entry VMs.
#[test]
fn wait_during_a_frame() {
    let mut node = follower(295);
    node.arrive(streamed("/brief/1", "m0", Some("a1")));
    assert_eq!(last_frame(&node.effects).map(waiting_adapters), Some(vec!["a1"]), "no frame is under way");
    node.arrive(streamed("/brief/1", "m0", Some("a2")));
    assert_eq!(last_frame(&node.effects), None, "a frame is under way");
    node.feed(replied(295));
    assert_eq!(
        last_frame(&node.effects).map(waiting_adapters),
        Some(vec!["a1", "a2"]),
        "the hub has not been informed of a2"
    );
    node.feed(replied(295));
    assert_eq!(last_frame(&node.effects), None, "the hub has been informed of both");
}

/// An engine's refusal as absent was reported to the hub once. If that frame was lost, the hub never asked the
/// engine.
#[test]
fn refusal_in_a_lost_frame() {
    let mut node = follower(3);
    let (request, attempt) = node.sent(streamed("/brief/1", "m1", None));
    node.ended(request, attempt.number, End::Refused(Cause::Absent));
    let frame = last_frame(&node.effects).expect("a frame reports the waiting request");
    assert_eq!(frame.absent.len(), 1);
    node.feed(Event::Replied(None));
    let next = node.advance(Duration::from_secs(2));
    let next = last_frame(&next).expect("the next frame is due");
    assert_eq!(next.absent.len(), 1, "the hub may not have received the refusal");
}

/// Two adapters are waited for, and the hub's answer reports one as loaded. The other was reported again only
/// with the next regular frame, 1.5 s later with hundreds of entry VMs.
#[test]
fn remaining_waits_are_reported() {
    let mut node = follower(295);
    node.arrive(streamed("/brief/1", "m0", Some("a1")));
    node.arrive(streamed("/brief/1", "m0", Some("a2")));
    node.feed(replied(295));
    assert_eq!(last_frame(&node.effects).map(waiting_adapters), Some(vec!["a1", "a2"]));
    node.feed(loaded("a1"));
    assert_eq!(
        last_frame(&node.effects).map(waiting_adapters),
        Some(vec!["a2"]),
        "the hub is asked to hold its answer for a2"
    );
    node.feed(replied(295));
    assert_eq!(last_frame(&node.effects), None, "that answer contained no adapter");
}

/// The hub's answer that reports an adapter of `m0` at `w1`.
fn loaded(adapter: &str) -> Event {
    let copy = Copy { model: "m0".into(), phase: Phase::Ready, adapters: vec![adapter.into()] };
    let resident = Resident {
        engine: "w1".into(),
        incarnation: Incarnation::default(),
        residency: Residency { copies: vec![copy] },
    };
    let reply = Reply {
        leads: true,
        nodes: 295,
        engines_revision: 4.into(),
        residencies: vec![resident],
        ..Reply::default()
    };
    Event::Replied(Some(Box::new(reply)))
}

/// The answer to a frame is held until one of the adapters that the frame waits for is ready. It was sent with
/// the first change of any engine, and the next frame was a whole interval later.
#[test]
fn answer_held_for_own_adapters() {
    let mut hub = single();
    let Event::FrameReceived(frame) = waiting("vm-1", &[("m0", "a1")]) else { unreachable!() };
    let sent = orders(hub.feed(Event::FrameReceived(frame.clone())));
    assert!(boragecove_fleet::defers_reply(&hub.state, hub.now, &frame), "a1 is being loaded");
    let others = orders(hub.feed(waiting("vm-2", &[("m2", "a2")])));
    accept(&mut hub, &others[0]);
    let met = |hub: &Node, effects: &[Effect]| {
        effects.iter().any(|effect| match effect {
            Effect::HoldingsChanged(engine) => {
                boragecove_fleet::satisfies_frame(&hub.state, hub.now, engine, &frame)
            }
            _ => false,
        })
    };
    let effects = hub.advance(millis(30));
    assert!(effects.iter().any(|effect| matches!(effect, Effect::HoldingsChanged(_))), "a2 is ready");
    assert!(!met(&hub, &effects), "the frame does not wait for a2");
    accept(&mut hub, &sent[0]);
    let effects = hub.advance(millis(30));
    assert!(met(&hub, &effects), "a1 is ready");
    assert!(
        !boragecove_fleet::defers_reply(&hub.state, hub.now, &frame),
        "no adapter is being loaded any more"
    );
}

/// An answer is not held if the hub cannot load the adapter soon.
#[test]
fn answer_not_held_without_load() {
    let mut hub = single();
    let awaits = |hub: &mut Node, model: &str, adapter: &str| {
        let Event::FrameReceived(frame) = waiting("vm-1", &[(model, adapter)]) else { unreachable!() };
        hub.feed(Event::FrameReceived(frame.clone()));
        boragecove_fleet::defers_reply(&hub.state, hub.now, &frame)
    };
    assert!(awaits(&mut hub, "m0", "a1"), "the adapter is being loaded");
    assert!(!awaits(&mut hub, "m9", "a1"), "no engine holds that model");
    hub.now = hub.now + Settings::default().lease_length;
    assert!(!awaits(&mut hub, "m0", "a2"), "the lease has expired, so no orders may be sent");
}

/// An engine answers an order while it is briefly not listed. The order stayed under way, and the engine got no
/// other one until the next change of the lease's holder.
#[test]
fn order_answered_while_unlisted() {
    let mut hub = single();
    let (_, sent) = request_adapters(&mut hub, &["a1"]);
    hub.feed(listing(vec![removed(3, "w1")], 3, false));
    accept(&mut hub, &sent[0]);
    hub.feed(listing(vec![row(4, entry("w1", WRITER, "zone-a", &["m0", "m1"]))], 4, false));
    hub.advance(millis(300));
    let (_, next) = request_adapters(&mut hub, &["a2"]);
    assert_eq!(next.len(), 1, "the engine accepts the next order");
}

/// All engines with a model are suspected of a failure, and one of them goes on to answer another request.
/// Requests that waited for the model were refused.
#[test]
fn suspected_engine_answers_again() {
    let mut node = Node::ready("a");
    let (running, _) = node.sent(streamed("/brief/1", "m1", None));
    node.advance(millis(600));
    let waiting = node.arrive(streamed("/brief/1", "m1", None));
    assert_eq!(node.step(waiting), None, "the only engine does not answer");
    let effects = node.feed(began(running)).to_vec();
    assert!(is_sent(&effects, waiting), "the engine has answered");
}

/// The hub changes. The first message of the new hub, whose holdings were still empty, made the others
/// discard theirs, and requests for loaded adapters waited until it had asked all engines.
#[test]
fn holdings_survive_hub_change() {
    let mut node = follower(295);
    node.feed(loaded("a1"));
    let (request, attempt) = node.sent(streamed("/brief/1", "m0", Some("a1")));
    node.ended(request, attempt.number, End::Done);
    let view = Position { term: 4, version: 1 };
    let reply = Reply {
        leads: true,
        nodes: 295,
        engines_revision: 4.into(),
        residency_version: view,
        ..Reply::default()
    };
    node.feed(Event::Replied(Some(Box::new(reply))));
    let (_, attempt) = node.sent(streamed("/brief/1", "m0", Some("a1")));
    assert_eq!(
        *attempt.engine, *"w1",
        "no orders are sent for seconds after the change, so the adapter is still loaded"
    );
}

/// A new hub starts from the holdings of its predecessor and from the engines' entries, which name no
/// adapters. It took the entries for complete and published them until each engine had answered.
#[test]
fn next_hub_verifies_holdings() {
    let mut node = follower(3);
    node.feed(loaded("a1"));
    node.advance(Duration::from_secs(4));
    node.lease(61_000, Outcome::Read(Some(hub_row())));
    node.lease(61_005, Outcome::Written(100));
    assert!(node.state.lease().held_term(node.now).is_some(), "it holds the lease");
    let effects = node.advance(millis(300));
    let asks = |effect: &Effect| matches!(effect, Effect::Report { engine, .. } if **engine == *"w1");
    assert!(effects.iter().any(asks), "the engine is asked for a report");
    let asker = Frame { vm: "b".into(), config: 1, engines_revision: 4.into(), ..Frame::default() };
    let told = boragecove_fleet::reply_to_frame(&mut node.state, node.now, &asker);
    assert_eq!(told.residencies, [], "the engine has not answered yet");
    let (_, attempt) = node.sent(streamed("/brief/1", "m0", Some("a1")));
    assert_eq!(*attempt.engine, *"w1");
    let held = vec![Held { model: "m0".into(), adapters: vec!["a2".into()] }];
    let report = Report { sequence: 7, held, ..Report::default() };
    node.feed(Event::Reported { engine: "w1".into(), report: Some(report) });
    let told = boragecove_fleet::reply_to_frame(&mut node.state, node.now, &asker);
    assert_eq!(told.residencies.len(), 1, "the engine's report is published");
}
