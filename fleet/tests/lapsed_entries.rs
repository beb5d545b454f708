//! Engines that the store no longer names: gone at once, but for those that lapse around an outage of the store.

mod node;

use std::time::Duration;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Entry;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::record::Record;
use node::{Node, WRITER, entry, exchange, hub_row, listing, millis, removed, row};

fn known(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id)
}

#[test]
fn removed_is_gone() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    assert!(!known(&node, "w1"));
}

#[test]
fn whole_listing_counts() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, entry("w2", WRITER, "zone-b", &["m0"]))], 9, true));
    assert!(known(&node, "w2"));
    assert!(!known(&node, "w1") && !known(&node, "g1"));
}

#[test]
fn lapse_around_an_outage() {
    let mut node = Node::ready("a");
    node.feed(Event::StoreUp(false));
    node.pass(millis(300));
    node.feed(Event::StoreUp(true));
    node.feed(listing(vec![removed(9, "w1"), removed(10, "w2")], 10, false));
    assert!(known(&node, "w1"), "a sound engine is back within two seconds");
    node.pass(millis(500));
    node.feed(listing(vec![row(11, entry("w1", WRITER, "zone-a", &["m0"]))], 11, false));
    node.pass(Duration::from_secs(2));
    assert!(known(&node, "w1"), "it came back");
    assert!(!known(&node, "w2"), "it did not");
}

#[test]
fn leaving_does_not_lapse() {
    let mut node = Node::ready("a");
    let mut leaving = entry("w1", WRITER, "zone-a", &["m0"]);
    leaving.leaving = true;
    node.feed(listing(vec![row(8, leaving)], 8, false));
    node.feed(Event::StoreUp(false));
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    assert!(!known(&node, "w1"));
}

#[test]
fn old_news_is_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    node.feed(listing(vec![row(8, entry("w1", WRITER, "zone-a", &["m0"]))], 9, false));
    assert!(!known(&node, "w1"), "it was removed after that");
    node.feed(listing(vec![row(12, entry("w1", WRITER, "zone-a", &["m0"]))], 12, false));
    assert!(known(&node, "w1"), "it registered anew");
}

/// Whoever looks for an engine that is sent to although it leaves has to see that its row came, and why it was not taken.
#[test]
fn passed_over_is_told() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, entry("w1", WRITER, "zone-a", &["m0"]))], 9, false));
    let leaving = Entry { leaving: true, ..entry("w1", WRITER, "zone-a", &["m0"]) };
    let told = node.feed(listing(vec![row(7, leaving)], 9, false)).iter().any(|effect| {
        matches!(effect, Effect::Record(Record::PassedOver { rows: 1, version: 7, known: 9, .. }))
    });
    assert!(told);
    assert_eq!(node.state.rows_passed_over(), 1);
    node.feed(listing(vec![row(9, entry("w1", WRITER, "zone-a", &["m0"]))], 9, true));
    assert_eq!(node.state.rows_passed_over(), 1, "what is read once more is not older");
}

/// Each change of an engine's entry was logged by every entry VM: 200,000 lines on a day with 295 of them and 204 engines. The
/// holder of the lease names each engine; the others say how far they have read.
#[test]
fn one_names_each_engine() {
    let lines = |effects: &[Effect]| {
        let named = |effect: &&Effect| matches!(effect, Effect::Record(Record::Engine { .. }));
        let read = |effect: &&Effect| matches!(effect, Effect::Record(Record::Listed { .. }));
        (effects.iter().filter(named).count(), effects.iter().filter(read).count())
    };
    let rows = || (10..60).map(|number| row(number, entry(&format!("w{number}"), WRITER, "zone-a", &[])));
    let mut hub = Node::ready("hub");
    hub.lead();
    assert_eq!(lines(hub.feed(listing(rows().collect(), 60, false))), (50, 1));
    let mut other = Node::ready("a");
    assert_eq!(lines(other.feed(listing(rows().collect(), 60, false))), (0, 1));
    assert_eq!(lines(other.feed(listing(Vec::new(), 61, false))), (0, 0), "nothing has changed");
    assert_eq!(lines(other.feed(listing(vec![removed(62, "w10")], 62, false))), (0, 1));
}

/// An entry is removed just after an outage: the hub, which reads the table, waits for it to come back. An entry VM that hears of it by
/// the hub alone sent to that engine for good.
#[test]
fn lapse_ends_everywhere() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let mut asker = Node::ready("a");
    asker.pass(millis(10));
    asker.lease(0, Outcome::Read(Some(hub_row())));
    hub.feed(Event::StoreUp(false));
    hub.pass(millis(300));
    hub.feed(Event::StoreUp(true));
    hub.feed(listing(vec![removed(9, "w1"), removed(10, "w2")], 10, false));
    exchange(&mut hub, &mut asker);
    assert!(known(&asker, "w1"), "a sound engine is back within two seconds");
    hub.feed(listing(vec![row(11, entry("w1", WRITER, "zone-a", &["m0"]))], 11, false));
    for _ in 0..8 {
        exchange(&mut hub, &mut asker);
    }
    assert!(known(&hub, "w1") && known(&asker, "w1"), "it came back");
    assert!(!known(&hub, "w2"), "it did not");
    assert!(!known(&asker, "w2"), "the others know that too");
}
