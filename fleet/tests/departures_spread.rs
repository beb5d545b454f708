//! How soon all entry VMs know that an engine leaves, at the size of a deployment.
//!
//! Frames of 300 entry VMs are 1.5 s apart, so that the hub's answers to them take most of the two seconds that operators allow.

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

/// Time in which all are to know: a quarter of what operators allow, since the store's answer and a request's way come on top.
const BOUND: Duration = Duration::from_millis(500);
/// How long a word that is late is waited for.
const PATIENCE: Duration = Duration::from_secs(6);

fn writer(id: &str) -> Entry {
    entry(id, WRITER, "zone-a", &["m0"])
}

fn leaving(id: &str) -> Entry {
    Entry { leaving: true, ..writer(id) }
}

/// Two large entry VMs in each of three zones, and small ones, which all know two engines.
fn deployment(small: usize) -> Links {
    let rates = [vec![LARGE; 6], vec![SMALL; small]].concat();
    let mut links = Links::new(&rates, &Arc::new(config(1)));
    for at in 0..rates.len() {
        links.feed(at, listing(vec![row(4, writer("w1")), row(5, writer("w2"))], 5, false));
    }
    links.pass(Duration::from_secs(4));
    links
}

/// Entry VMs that run and would send requests to an engine.
fn believers(links: &Links, engine: &str) -> usize {
    let believes = |at: &usize| {
        links.runs(*at)
            && links.state(*at).engines().any(|known| *known.entry.id == *engine && known.takes_work())
    };
    (0..links.len()).filter(believes).count()
}

/// The hub reads a row. Returns how long it takes until nobody believes in its engine.
fn known_after(links: &mut Links, row: Row) -> Option<Duration> {
    let (begin, version, engine) = (links.now, row.version, row.id.clone());
    links.feed(0, listing(vec![row], version, false));
    while believers(links, &engine) > 0 {
        if links.now.since(begin) >= PATIENCE {
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
    Event::Pushed(Box::new(Message { departures: vec![row], ..Message::default() }))
}

/// One that reads the store for its zone tells the hub and that zone alone, just before the hub reads the row itself.
#[test]
fn reader_told_the_hub() {
    let mut links = deployment(294);
    let row = row(9, leaving("w1"));
    links.feed(0, pushed(row.clone()));
    links.pass(millis(20));
    assert_soon(known_after(&mut links, row));
}

/// The hub was told of it, and has not read the table up to there. Whoever missed its push, since it was suspended, hears of it once it goes on.
#[test]
fn beyond_the_last_reading() {
    let mut links = deployment(20);
    let late = links.len() - 1;
    links.suspend(late, true);
    links.feed(0, pushed(row(9, leaving("w1"))));
    links.pass(Duration::from_secs(3));
    assert_eq!(believers(&links, "w1"), 0, "of those that run");
    links.suspend(late, false);
    links.pass(Duration::from_secs(2));
    assert_eq!(believers(&links, "w1"), 0);
}

/// Some that are to pass it on are suspended: the others know all the same, if later, and those that go on then hear of it.
#[test]
fn some_are_suspended() {
    let mut links = deployment(94);
    (6..links.len()).filter(|at| at % 5 == 0).for_each(|at| links.suspend(at, true));
    let took = known_after(&mut links, row(9, leaving("w1")));
    assert!(took.is_some_and(|took| took <= 3 * BOUND), "{took:?}");
    (6..links.len()).for_each(|at| links.suspend(at, false));
    links.pass(Duration::from_secs(3));
    assert_eq!(believers(&links, "w1"), 0);
}

/// Word that comes late, after the engine has registered anew, changes nothing.
#[test]
fn late_word() {
    let mut links = deployment(3);
    let mut messages = Vec::new();
    for effect in links.apply(0, listing(vec![row(9, leaving("w1"))], 9, false)) {
        if let boragecove_fleet::effect::Effect::Push(Push { message, .. }) = effect {
            messages.push(message);
        }
    }
    assert!(!messages.is_empty(), "the hub says so at once");
    links.pass(millis(300));
    links.feed(0, listing(vec![row(12, writer("w1"))], 12, false));
    links.pass(Duration::from_secs(1));
    let (before, sent): (usize, Time) = (believers(&links, "w1"), links.now);
    links.feed(4, Event::Pushed(messages.remove(0)));
    links.pass(millis(200));
    assert_eq!((before, believers(&links, "w1")), (links.len(), links.len()), "{:?}", links.now.since(sent));
}
