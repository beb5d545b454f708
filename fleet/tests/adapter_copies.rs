//! An adapter is loaded at further engines when those that hold it are crowded.

mod node;

use boragecove_fleet::demand::{Demand, Target};
use boragecove_fleet::engine::{Held, Load};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{EngineLoad, Frame};
use boragecove_fleet::order::Order;
use node::{Node, WRITER, config, entry, listing, millis, orders, row};

/// The hub. Two engines hold model `m0`, and one of them also holds its adapter `a7`. No model needs another
/// copy.
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
    hub.advance(millis(300));
    hub
}

/// A frame of another entry VM that has `open` requests for the adapter under way at `w1`.
fn frame(open: u32) -> Event {
    let target = Target { service: WRITER.into(), model: "m0".into(), adapter: Some("a7".into()) };
    Event::FrameReceived(Box::new(Frame {
        vm: "b".into(),
        loads: vec![EngineLoad { engine: "w1".into(), load: Load { open, reading_us: 0 } }],
        demand: vec![Demand { target, open, arrived: open, ..Demand::default() }],
        ..Frame::default()
    }))
}

fn adapters_ordered(hub: &mut Node, open: u32) -> Vec<(String, Order)> {
    hub.feed(frame(open));
    let sent = orders(&hub.advance(millis(300)));
    let adapters = sent.into_iter().filter(|sent| matches!(sent.order, Order::LoadAdapter { .. }));
    adapters.map(|sent| (sent.engine.to_string(), sent.order)).collect()
}

#[test]
fn crowded_adapter_gets_another_copy() {
    let order = Order::LoadAdapter { model: "m0".into(), adapter: "a7".into() };
    assert_eq!(adapters_ordered(&mut hub(), 8), [("w2".to_owned(), order)], "all 8 slots of w1 are taken");
}

#[test]
fn free_slots_need_no_copy() {
    assert_eq!(adapters_ordered(&mut hub(), 1), []);
}

#[test]
fn ordered_copy_is_awaited() {
    let mut hub = hub();
    assert_eq!(adapters_ordered(&mut hub, 8).len(), 1);
    assert_eq!(adapters_ordered(&mut hub, 9), [], "the ordered copy may relieve w1");
}
