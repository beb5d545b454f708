//! Adapters get copies at more engines when those that hold them are crowded.

mod node;

use boragecove_fleet::demand::{Demand, Target};
use boragecove_fleet::engine::{Held, Load};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{EngineLoad, Frame};
use boragecove_fleet::order::Order;
use node::{Node, WRITER, config, entry, listing, millis, orders, row};

/// The holder of the lease. Of two engines that hold a model, one holds its adapter `a7` too, and other models need
/// nothing.
fn hub() -> Node {
    let mut hub = Node::bare("hub");
    hub.feed(Event::Configured(std::sync::Arc::new(config(1))));
    let mut first = entry("w1", WRITER, "zone-a", &["m0", "m1"]);
    first.held[0] = Held { model: "m0".into(), adapters: vec!["a7".into()] };
    let rows = vec![
        row(1, first),
        row(2, entry("w2", WRITER, "zone-b", &["m0", "m2"])),
        row(3, entry("w3", WRITER, "zone-a", &["m1", "m3"])),
        row(4, entry("w4", WRITER, "zone-a", &["m2", "m3"])),
    ];
    hub.feed(listing(rows, 4, true));
    hub.lead();
    hub.pass(millis(300));
    hub
}

/// Another entry VM has this many requests for the adapter under way at `w1`.
fn frame(open: u32) -> Event {
    let target = Target { service: WRITER.into(), model: "m0".into(), adapter: Some("a7".into()) };
    Event::Framed(Box::new(Frame {
        vm: "b".into(),
        loads: vec![EngineLoad { engine: "w1".into(), load: Load { open, reading_us: 0 } }],
        demand: vec![Demand { target, open, arrived: open, ..Demand::default() }],
        ..Frame::default()
    }))
}

fn adapters_ordered(hub: &mut Node, open: u32) -> Vec<(String, Order)> {
    hub.feed(frame(open));
    let sent = orders(&hub.pass(millis(300)));
    let adapters = sent.into_iter().filter(|sent| matches!(sent.order, Order::LoadAdapter { .. }));
    adapters.map(|sent| (sent.engine.to_string(), sent.order)).collect()
}

#[test]
fn crowded_gets_another() {
    let order = Order::LoadAdapter { model: "m0".into(), adapter: "a7".into() };
    assert_eq!(adapters_ordered(&mut hub(), 8), [("w2".to_owned(), order)], "all 8 slots of w1 are taken");
}

#[test]
fn room_needs_none() {
    assert_eq!(adapters_ordered(&mut hub(), 1), []);
}

#[test]
fn one_on_its_way() {
    let mut hub = hub();
    assert_eq!(adapters_ordered(&mut hub, 8).len(), 1);
    assert_eq!(adapters_ordered(&mut hub, 9), [], "the copy that was ordered may relieve it");
}
