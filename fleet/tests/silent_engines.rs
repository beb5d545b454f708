//! An engine without a fault that is silent for a second: its models are not loaded elsewhere, no request is blamed for a crash, and the engine
//! is used again.

mod node;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease::{Call, Outcome};
use boragecove_fleet::order::{Order, Report};
use boragecove_fleet::request::{End, Step};
use node::{Node, WRITER, entry, listing, millis, orders, row, short_stream};

/// A hub with three engines. Only the first holds the requested model, and the others have room for it.
fn hub() -> Node {
    let mut node = Node::ready("a");
    let rows = vec![
        row(20, entry("w8", WRITER, "zone-a", &["m0", "m1"])),
        row(21, entry("w9", WRITER, "zone-a", &["m2"])),
        row(22, entry("w10", WRITER, "zone-a", &["m3"])),
    ];
    node.feed(listing(rows, 23, true));
    node.lead();
    for _ in 0..4 {
        let orders_sent = advance(&mut node, millis(250));
        assert_eq!(orders_sent, Vec::new(), "the placement needs no orders");
    }
    node
}

/// Advances the time. The store accepts the lease writes, and engines report their models but answer no orders. Returns the orders.
fn advance(node: &mut Node, time: Duration) -> Vec<Order> {
    let effects = node.advance(time);
    for effect in &effects {
        if let Effect::Lease(Call::Write { expected, .. }) = effect {
            let store_ms = node.now.since(Time::from_millis(node::START_MS)).as_millis() as u64;
            node.lease(store_ms, Outcome::Written(expected.version + 1));
        }
        if let Effect::Report { engine, incarnation, .. } = effect {
            let known = node.state.engines().find(|known| known.entry.id == *engine);
            let held = known.map(|known| known.entry.held.clone()).unwrap_or_default();
            let report = Report { held, incarnation: *incarnation, ..Report::default() };
            node.feed(Event::Reported { engine: engine.clone(), report: Some(report) });
        }
    }
    orders(&effects).into_iter().map(|dispatch| dispatch.order).collect()
}

/// Sends a request to the engine that holds `m1`. Returns its id and the number of its attempt.
fn send_request(node: &mut Node) -> (boragecove_fleet::request::Id, u32) {
    let id = node.arrive(short_stream("m1"));
    let Some(Step::Send(attempt)) = node.step(id) else {
        panic!("the request is not sent");
    };
    assert_eq!(&*attempt.engine, "w8");
    (id, attempt.number)
}

/// Reports a probe of the engine's port.
fn probe(node: &mut Node, reach: Port) {
    node.feed(Event::Probed { engine: Name::from("w8"), reach });
}

fn count_loads(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Load { .. })).count()
}

/// Guards against loading the models of a silent engine elsewhere: it still holds them a second later.
#[test]
fn nothing_is_loaded_for_a_silent_engine() {
    let mut node = hub();
    let (id, attempt) = send_request(&mut node);
    node.ended(id, attempt, End::Unsent);
    let mut orders_sent = Vec::new();
    for _ in 0..4 {
        orders_sent.extend(advance(&mut node, millis(250)));
        probe(&mut node, Port::Silent);
    }
    assert_eq!(count_loads(&orders_sent), 0, "{orders_sent:?}");
    probe(&mut node, Port::Open);
    assert_eq!(node.state.crashes().quarantined_count(node.now), 0);
    send_request(&mut node);
}

/// An engine whose port refuses connections has ended, so its models are loaded elsewhere at once. The same happens if an engine stays
/// silent for long.
#[test]
fn ended_engine_is_replaced() {
    for (reach, rounds) in [(Port::Closed, 4), (Port::Silent, 12)] {
        let mut node = hub();
        let (id, attempt) = send_request(&mut node);
        node.ended(id, attempt, End::Unsent);
        probe(&mut node, reach);
        let mut orders_sent = Vec::new();
        for _ in 0..rounds {
            node.arrive(short_stream("m1"));
            orders_sent.extend(advance(&mut node, millis(250)));
            probe(&mut node, reach);
        }
        assert!(count_loads(&orders_sent) > 0, "{reach:?}: {orders_sent:?}");
    }
}

/// A request whose connection breaks while the engine is silent is not blamed for a crash, and nothing is pushed to other entry VMs.
#[test]
fn no_request_is_blamed() {
    let mut node = hub();
    for _ in 0..3 {
        let (id, attempt) = send_request(&mut node);
        node.ended(id, attempt, End::Lost);
        let effects = node.feed(Event::Probed { engine: "w8".into(), reach: Port::Silent }).to_vec();
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::Push(_))), "{effects:?}");
        advance(&mut node, millis(300));
        probe(&mut node, Port::Open);
        node.advance(millis(50));
    }
    assert_eq!(node.state.crashes().quarantined_count(node.now), 0);
}
