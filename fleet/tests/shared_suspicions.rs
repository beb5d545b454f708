//! Engines suspected by other entry VMs are probed only by entry VMs that use them. The tests count the probes at the
//! size of a large deployment.

mod node;

use std::time::Duration;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Reply;
use boragecove_fleet::request::End;
use node::{Node, WRITER, entry, hub_row, listing, millis, row, short_stream};

/// An entry VM that knows this many engines, and has a hub.
fn entry_vm(engines: usize) -> Node {
    let mut node = Node::ready("a");
    let held = |at: usize| if at < 3 { ["m3"] } else { ["m1"] };
    let known = |at: usize| row(at as u64 + 10, entry(&format!("e{at}"), WRITER, "zone-a", &held(at)));
    let until = engines as u64 + 10;
    node.feed(listing((0..engines).map(known).collect(), until, false));
    node.advance(millis(10));
    node.lease(5, boragecove_fleet::lease::Outcome::Read(Some(hub_row())));
    node
}

/// The hub suspects all engines of a zone. Returns how many this entry VM probes.
fn probes(node: &mut Node, engines: usize) -> usize {
    let suspects = (0..engines).map(|at| format!("e{at}").as_str().into()).collect();
    let reply = Reply { leads: true, suspects, ..Reply::default() };
    let effects = node.feed(Event::Replied(Some(Box::new(reply)))).to_vec();
    effects.iter().filter(|effect| matches!(effect, Effect::Probe { .. })).count()
}

/// Sends this many requests for the model that three of the engines hold.
fn send_requests(node: &mut Node, requests: usize) {
    for _ in 0..requests {
        let id = node.arrive(short_stream("m3"));
        if let Some(boragecove_fleet::request::Step::Send(attempt)) = node.step(id) {
            node.ended(id, attempt.number, End::Done);
        }
        node.advance(millis(100));
    }
}

/// A zone with 766 or 1,600 engines is cut off: an entry VM that uses none of them probes none.
#[test]
fn unused_engines_are_not_probed() {
    for engines in [766, 1_600] {
        let mut node = entry_vm(engines);
        assert_eq!(probes(&mut node, engines), 0, "{engines} engines");
    }
}

/// No entry VM probes more engines than it has sent requests recently, however many are suspected.
#[test]
fn no_more_probes_than_requests() {
    for engines in [766, 1_600] {
        for requests in [1, 5, 20] {
            let mut node = entry_vm(engines);
            send_requests(&mut node, requests);
            node.advance(Duration::from_secs(2));
            let probes = probes(&mut node, engines);
            assert!(probes <= requests.min(3), "{engines} engines, {requests} requests: {probes} probes");
        }
    }
}

/// An engine in use is probed. Long after its last request it isn't probed any more.
#[test]
fn used_engines_are_probed() {
    let mut node = entry_vm(3);
    send_requests(&mut node, 60);
    node.advance(Duration::from_secs(1));
    let used = probes(&mut node, 3);
    assert!(used > 0, "engines in use should be probed");
    for at in 0..3 {
        let engine = format!("e{at}").as_str().into();
        node.feed(Event::Probed { engine, reach: Port::Open });
    }
    node.advance(Duration::from_secs(20));
    assert_eq!(probes(&mut node, 3), 0, "engines without recent requests should not be probed");
}
