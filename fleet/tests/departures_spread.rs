//! How soon all entry VMs of a large deployment know that an engine is leaving.
//!
//! With 300 entry VMs frames are 1.5 s apart, so that the replies to them alone would take most of the two seconds that operators allow.

mod links;
mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::engine::{Entry, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::push::{Message, Push};
use links::{LARGE, Links, SMALL};
use node::{WRITER, config, entry, listing, millis, removed, row};

/// Maximum time until all entry VMs know: a quarter of what operators allow, because the store's answer and the time a request takes to its
/// engine come on top.
const BOUND: Duration = Duration::from_millis(500);
/// Time limit of a test that waits for a departure to be known.
const WAIT_MAX: Duration = Duration::from_secs(6);

fn writer(id: &str) -> Entry {
    entry(id, WRITER, "zone-a", &["m0"])
}

fn leaving(id: &str) -> Entry {
    Entry { leaving: true, ..writer(id) }
}

/// Two large entry VMs in each of three zones, and a number of small ones. All know two engines.
fn deployment(small: usize) -> Links {
    let rates = [vec![LARGE; 6], vec![SMALL; small]].concat();
    let mut links = Links::new(&rates, &Arc::new(config(1)));
    for at in 0..rates.len() {
        links.feed(at, listing(vec![row(4, writer("w1")), row(5, writer("w2"))], 5, false));
    }
    links.pass(Duration::from_secs(4));
    links
}

/// Number of running entry VMs that would send requests to an engine.
fn count_senders(links: &Links, engine: &str) -> usize {
    let would_send = |at: &usize| {
        links.runs(*at)
            && links.state(*at).engines().any(|known| *known.entry.id == *engine && known.takes_work())
    };
    (0..links.len()).filter(would_send).count()
}

/// Lets the hub read a row. Returns how long it takes until no entry VM would send requests to its engine.
fn known_after(links: &mut Links, row: Row) -> Option<Duration> {
    let (begin, version, engine) = (links.now, row.version, row.id.clone());
    links.feed(0, listing(vec![row], version, false));
    while count_senders(links, &engine) > 0 {
        if links.now.since(begin) >= WAIT_MAX {
            return None;
        }
        links.pass(millis(2));
    }
    Some(links.now.since(begin))
}

fn assert_soon(took: Option<Duration>) {
    println!("known everywhere after {took:?}");
    assert!(took.is_some_and(|took| took <= BOUND), "known everywhere after {took:?}");
}

#[test]
fn few_entry_vms() {
    let mut links = deployment(3);
    assert_soon(known_after(&mut links, row(9, leaving("w1"))));
    assert_soon(known_after(&mut links, removed(10, "w2")));
}

#[test]
fn hundreds_of_entry_vms() {
    let mut links = deployment(294);
    assert_soon(known_after(&mut links, row(9, leaving("w1"))));
    assert_soon(known_after(&mut links, removed(10, "w2")));
}

fn pushed(row: Row) -> Event {
    Event::Pushed(Box::new(Message { departure_rows: vec![row], ..Message::default() }))
}

/// A reader of the store pushes the row to the hub and its own zone only, just before the hub reads the row itself.
#[test]
fn reader_notified_hub() {
    let mut links = deployment(294);
    let row = row(9, leaving("w1"));
    links.feed(0, pushed(row.clone()));
    links.pass(millis(20));
    assert_soon(known_after(&mut links, row));
}

/// The hub received the row by a push and has not read the table up to it. An entry VM that missed the hub's push because it was suspended
/// learns of it after it resumes.
#[test]
fn pushed_beyond_last_read() {
    let mut links = deployment(20);
    let late = links.len() - 1;
    links.suspend(late, true);
    links.feed(0, pushed(row(9, leaving("w1"))));
    links.pass(Duration::from_secs(3));
    assert_eq!(count_senders(&links, "w1"), 0, "no running entry VM uses it");
    links.suspend(late, false);
    links.pass(Duration::from_secs(2));
    assert_eq!(count_senders(&links, "w1"), 0);
}

/// Some entry VMs that have to forward the push are suspended: the others still learn of it, if later, and so do the suspended ones after they
/// resume.
#[test]
fn some_are_suspended() {
    let mut links = deployment(94);
    (6..links.len()).filter(|at| at % 5 == 0).for_each(|at| links.suspend(at, true));
    let took = known_after(&mut links, row(9, leaving("w1")));
    assert!(took.is_some_and(|took| took <= 3 * BOUND), "{took:?}");
    (6..links.len()).for_each(|at| links.suspend(at, false));
    links.pass(Duration::from_secs(3));
    assert_eq!(count_senders(&links, "w1"), 0);
}

/// A push that arrives after the engine has registered again has no effect.
#[test]
fn late_push() {
    let mut links = deployment(3);
    let mut messages = Vec::new();
    for effect in links.apply(0, listing(vec![row(9, leaving("w1"))], 9, false)) {
        if let boragecove_fleet::effect::Effect::Push(Push { message, .. }) = effect {
            messages.push(message);
        }
    }
    assert!(!messages.is_empty(), "the hub pushes at once");
    links.pass(millis(300));
    links.feed(0, listing(vec![row(12, writer("w1"))], 12, false));
    links.pass(Duration::from_secs(1));
    let (before, sent): (usize, Time) = (count_senders(&links, "w1"), links.now);
    links.feed(4, Event::Pushed(messages.remove(0)));
    links.pass(millis(200));
    assert_eq!(
        (before, count_senders(&links, "w1")),
        (links.len(), links.len()),
        "{:?}",
        links.now.since(sent)
    );
}
