//! Requests that wait for adapters, at many entry VMs at once: each adapter is brought, and whoever waits for it learns so.

mod node;

use boragecove_fleet::demand::{Demand, Target};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Frame;
use node::{Node, WRITER, config, entry, listing, millis, row, streamed};

/// The holder of the lease. Two engines hold `m0` and `m1`, two others `m2` and `m3`, and nothing is to be moved.
fn hub() -> Node {
    let mut hub = Node::bare("hub");
    hub.feed(Event::Configured(std::sync::Arc::new(config(1))));
    let rows = vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-b", &["m0", "m1"])),
        row(3, entry("w3", WRITER, "zone-a", &["m2", "m3"])),
        row(4, entry("w4", WRITER, "zone-b", &["m2", "m3"])),
    ];
    hub.feed(listing(rows, 4, true));
    hub.lead();
    hub.pass(millis(300));
    hub
}

fn target(model: &str, adapter: &str) -> Target {
    Target { service: WRITER.into(), model: model.into(), adapter: Some(adapter.into()) }
}

/// What an entry VM says whose callers wait for these adapters.
fn waiting(vm: &str, targets: &[(&str, &str)]) -> Event {
    let demand = |(model, adapter): &(&str, &str)| Demand {
        target: target(model, adapter),
        arrived: 1,
        waiting: 1,
        ..Demand::default()
    };
    let demand = targets.iter().map(demand).collect();
    Event::Framed(Box::new(Frame { vm: vm.into(), demand, ..Frame::default() }))
}

/// The load of hundreds of entry VMs whose callers wait: each frame made the leader look for places for what all of them wait
/// for, until it stood still.
#[test]
fn frame_seeks_its_own() {
    let mut hub = hub();
    for vm in 0..200 {
        let (model, adapter) = (format!("m{}", vm % 4), format!("a{}", vm % 9 + 1));
        hub.feed(waiting(&format!("vm-{vm}"), &[(&model, &adapter)]));
    }
    let before = hub.state.places_sought();
    hub.feed(waiting("vm-200", &[("m0", "a7")]));
    assert_eq!(hub.state.places_sought() - before, 1, "one adapter is waited for by that frame");
    let before = hub.state.places_sought();
    hub.arrive(streamed("/brief/1", "m1", Some("a8")));
    assert_eq!(hub.state.places_sought() - before, 1, "and one by a request that comes to the leader");
}
