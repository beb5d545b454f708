//! Engines that the store no longer lists are removed at once, unless their entries expired around an outage of the store.

mod node;

use std::time::Duration;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Entry;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::record::Record;
use node::{Node, WRITER, entry, exchange, hub_row, listing, millis, removed, row};

fn is_listed(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id)
}

#[test]
fn removed_engine_is_gone() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    assert!(!is_listed(&node, "w1"));
}

#[test]
fn complete_listing_removes_engines() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, entry("w2", WRITER, "zone-b", &["m0"]))], 9, true));
    assert!(is_listed(&node, "w2"));
    assert!(!is_listed(&node, "w1") && !is_listed(&node, "g1"));
}

#[test]
fn expiry_around_an_outage() {
    let mut node = Node::ready("a");
    node.feed(Event::StoreUp(false));
    node.advance(millis(300));
    node.feed(Event::StoreUp(true));
    node.feed(listing(vec![removed(9, "w1"), removed(10, "w2")], 10, false));
    assert!(is_listed(&node, "w1"), "a healthy engine registers again within two seconds");
    node.advance(millis(500));
    node.feed(listing(vec![row(11, entry("w1", WRITER, "zone-a", &["m0"]))], 11, false));
    node.advance(Duration::from_secs(2));
    assert!(is_listed(&node, "w1"), "w1 registered again");
    assert!(!is_listed(&node, "w2"), "w2 did not");
}

#[test]
fn leaving_engine_has_no_grace() {
    let mut node = Node::ready("a");
    let mut leaving = entry("w1", WRITER, "zone-a", &["m0"]);
    leaving.leaving = true;
    node.feed(listing(vec![row(8, leaving)], 8, false));
    node.feed(Event::StoreUp(false));
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    assert!(!is_listed(&node, "w1"));
}

#[test]
fn older_row_is_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![removed(9, "w1")], 9, false));
    node.feed(listing(vec![row(8, entry("w1", WRITER, "zone-a", &["m0"]))], 9, false));
    assert!(!is_listed(&node, "w1"), "the removal is newer");
    node.feed(listing(vec![row(12, entry("w1", WRITER, "zone-a", &["m0"]))], 12, false));
    assert!(is_listed(&node, "w1"), "it registered again");
}

/// To explain why a leaving engine still gets requests, the log has to show that its row arrived and why it was not applied.
#[test]
fn skipped_row_is_logged() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, entry("w1", WRITER, "zone-a", &["m0"]))], 9, false));
    let leaving = Entry { leaving: true, ..entry("w1", WRITER, "zone-a", &["m0"]) };
    let logged = node.feed(listing(vec![row(7, leaving)], 9, false)).iter().any(|effect| {
        matches!(effect, Effect::Record(Record::PassedOver { rows: 1, version: 7, known: 9, .. }))
    });
    assert!(logged);
    assert_eq!(node.state.stale_rows_skipped(), 1);
    node.feed(listing(vec![row(9, entry("w1", WRITER, "zone-a", &["m0"]))], 9, true));
    assert_eq!(node.state.stale_rows_skipped(), 1, "a row that is read again is not older");
}

/// Only the holder of the lease logs each changed engine; the others log the revision that they have read. When every entry VM logged each
/// change, 295 entry VMs and 204 engines produced 200,000 lines a day.
#[test]
fn only_lease_holder_logs_each_engine() {
    let lines = |effects: &[Effect]| {
        let names_engine = |effect: &&Effect| matches!(effect, Effect::Record(Record::Engine { .. }));
        let read = |effect: &&Effect| matches!(effect, Effect::Record(Record::Listed { .. }));
        (effects.iter().filter(names_engine).count(), effects.iter().filter(read).count())
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

/// Guards against a removed engine staying in use. An entry is removed just after an outage, and the hub waits for it to be written again. An
/// entry VM that learned of this only from the hub never ended its own wait, and sent requests to the engine forever.
#[test]
fn grace_ends_everywhere() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let mut asker = Node::ready("a");
    asker.advance(millis(10));
    asker.lease(0, Outcome::Read(Some(hub_row())));
    hub.feed(Event::StoreUp(false));
    hub.advance(millis(300));
    hub.feed(Event::StoreUp(true));
    hub.feed(listing(vec![removed(9, "w1"), removed(10, "w2")], 10, false));
    exchange(&mut hub, &mut asker);
    assert!(is_listed(&asker, "w1"), "a healthy engine registers again within two seconds");
    hub.feed(listing(vec![row(11, entry("w1", WRITER, "zone-a", &["m0"]))], 11, false));
    for _ in 0..8 {
        exchange(&mut hub, &mut asker);
    }
    assert!(is_listed(&hub, "w1") && is_listed(&asker, "w1"), "w1 registered again");
    assert!(!is_listed(&hub, "w2"), "w2 did not");
    assert!(!is_listed(&asker, "w2"), "w2 is removed at other entry VMs too");
}
