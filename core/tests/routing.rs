//! Choice of the back end of a request.

use std::time::Duration;

use boragecove_core::attempt::{Destination, Failure, Refusal};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::engine::CacheUpdate;
use boragecove_core::event::Event;
use boragecove_core::id::Incarnation;
use boragecove_core::name::Name;
use boragecove_core::peer::{Extent, Frame, Item, Offer, Summary};
use boragecove_core::settings::Settings;
use boragecove_core::vm::{Phase, Role, Vm};

mod entry;
use entry::{Ask, Entry, SLOTS, artifact, outcome, sends, sent, vm};

fn engines(names: &[&str]) -> Entry {
    Entry::new(Settings::default(), Vec::new(), names, &[])
}

fn pick(entry: &mut Entry, prefix: &[u64]) -> Name {
    let (_, effects) = entry.ask(Ask { prefix: prefix.to_vec(), ..Ask::default() });
    sent(&effects).backend
}

#[test]
fn least_loaded() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    entry.report("engine-1", 2, true);
    assert_eq!(pick(&mut entry, &[]), "engine-2");
    assert_eq!(pick(&mut entry, &[]), "engine-2", "attempts sent since the report count as load");
    let third = pick(&mut entry, &[]);
    let fourth = pick(&mut entry, &[]);
    assert_ne!(third, fourth);
}

#[test]
fn only_holders() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    entry.report("engine-1", 0, false);
    for _ in 0..SLOTS {
        assert_eq!(pick(&mut entry, &[]), "engine-2");
    }
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).is_empty());
    let effects = entry.report("engine-1", 0, true);
    assert_eq!(sent(&effects).backend, "engine-1", "waiting requests are sent once the model is loaded");
}

#[test]
fn cached_prefix() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    let prefix = [11, 22, 33];
    let cached = |seq, stored: &[u64], evicted: &[u64], cleared| {
        let (engine, stored, evicted) = ("engine-2".into(), stored.to_vec(), evicted.to_vec());
        Event::CacheChanged(Box::new(CacheUpdate { engine, seq, stored, evicted, cleared }))
    };
    entry.event(cached(5, &prefix, &[], false));
    let (id, effects) = entry.ask(Ask { prefix: prefix.to_vec(), ..Ask::default() });
    assert_eq!(sent(&effects).backend, "engine-2");
    entry.event(Event::CallerGone(id));

    entry.report("engine-2", SLOTS, true);
    let (id, effects) = entry.ask(Ask { prefix: vec![11], ..Ask::default() });
    assert_eq!(sent(&effects).backend, "engine-1", "a full engine is not chosen for its cache");
    entry.event(Event::CallerGone(id));
    for (event, holder) in [
        (cached(100, &[], &prefix, false), "engine-1"),
        (cached(200, &prefix, &[], false), "engine-2"),
        (cached(300, &[], &[], true), "engine-1"),
    ] {
        entry.event(event);
        entry.report("engine-1", 0, true);
        entry.report("engine-2", 0, true);
        let (id, effects) = entry.ask(Ask { prefix: vec![33], ..Ask::default() });
        assert_eq!(sent(&effects).backend, holder);
        entry.event(Event::CallerGone(id));
        entry.event(Event::CacheChanged(Box::new(CacheUpdate {
            engine: "engine-1".into(),
            seq: 1,
            stored: Vec::new(),
            evicted: Vec::new(),
            cleared: true,
        })));
    }
}

#[test]
fn restarted_empty() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    let prefix = [11, 22, 33];
    let (id, effects) = entry.ask(Ask { prefix: prefix.to_vec(), ..Ask::default() });
    let first = sent(&effects).backend;
    entry.event(Event::CallerGone(id));
    assert_eq!(pick(&mut entry, &prefix), first, "the prefix of a sent request is assumed to be cached");
    entry.report_as(&first, Incarnation(10), 0, true);
    assert_ne!(pick(&mut entry, &prefix), first);
}

#[test]
fn own_zone_first() {
    let mut entry = Entry::new(Settings::default(), Vec::new(), &[], &["gate-1"]);
    entry.add(vm("gate-2", "hall-b", Role::Backend("gates".into())));
    entry.advance(Duration::from_secs(10));
    let mut ask = || {
        let (_, effects) = entry.ask(Ask { service: true, ..Ask::default() });
        sent(&effects).backend
    };
    let picked: Vec<Name> = (0..=SLOTS).map(|_| ask()).collect();
    assert!(picked[..SLOTS as usize].iter().all(|name| *name == "gate-1"), "{picked:?}");
    assert_eq!(picked[SLOTS as usize], "gate-2", "another zone is used when this one is full");
}

#[test]
fn slow_start() {
    let mut entry = engines(&["engine-1"]);
    entry.add(vm("engine-2", "hall-a", Role::Backend("writers".into())));
    entry.report("engine-2", 0, true);
    entry.report("engine-1", SLOTS, true);
    let (_, effects) = entry.ask(Ask::default());
    assert_eq!(sent(&effects).backend, "engine-2");
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).is_empty(), "a new engine gets only a quarter of its slots at first");
    entry.advance(Duration::from_secs(9));
    let effects = entry.report("engine-2", 1, true);
    assert_eq!(sent(&effects).backend, "engine-2");
}

#[test]
fn outlier_ejected() {
    let mut entry = engines(&["engine-1", "engine-2", "engine-3"]);
    entry.report("engine-2", 2, true);
    entry.report("engine-3", 2, true);
    for _ in 0..5 {
        let (id, effects) = entry.ask(Ask::default());
        let first = sent(&effects);
        assert_eq!(first.backend, "engine-1");
        let _retried = entry.fail(first.attempt, Failure::Error);
        entry.event(Event::CallerGone(id));
    }
    assert_ne!(pick(&mut entry, &[]), "engine-1");
}

#[test]
fn not_all_ejected() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    for _ in 0..10 {
        let (id, effects) = entry.ask(Ask::default());
        let second = sent(&entry.fail(sent(&effects).attempt, Failure::Error));
        let _third = entry.fail(second.attempt, Failure::Error);
        entry.event(Event::CallerGone(id));
    }
    for _ in 0..2 * SLOTS {
        let _sent = pick(&mut entry, &[]);
    }
}

#[test]
fn not_loaded() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    let (_, effects) = entry.ask(Ask::default());
    let first = sent(&effects);
    let second = sent(&entry.refuse(first.attempt, Refusal::NotLoaded));
    assert_ne!(second.backend, first.backend);
    for _ in 1..SLOTS {
        assert_ne!(pick(&mut entry, &[]), first.backend);
    }
    entry.report(&first.backend, 0, true);
    assert_eq!(pick(&mut entry, &[]), first.backend, "the next report makes it available again");
}

#[test]
fn leaving_gets_no_requests() {
    let mut entry = engines(&["engine-1", "engine-2"]);
    let leaving = Vm { phase: Phase::Leaving, ..vm("engine-1", "hall-a", Role::Backend("writers".into())) };
    let other = vm("engine-2", "hall-a", Role::Backend("writers".into()));
    entry.event(Event::VmsListed(vec![leaving, other]));
    for _ in 0..SLOTS {
        assert_eq!(pick(&mut entry, &[]), "engine-2");
    }
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).is_empty());
}

/// Passes in a summary of zone hall-b that offers the model at `load`, in eighths of its slots.
fn offer(entry: &mut Entry, load: u32) {
    let offers = vec![Offer { artifact_digest: artifact().digest(), copies: 1, load }];
    let summary = Summary {
        zone: "hall-b".into(),
        by: Incarnation(21),
        seq: entry.now.0,
        extent: Extent::All,
        offers,
        free_mb: 0,
        config: 1,
        silent: Vec::new(),
    };
    let frame = Frame {
        from: "entry-b".into(),
        zone: "hall-b".into(),
        incarnation: Incarnation(21),
        seq: entry.now.0,
        address: None,
        config: 1,
        stopping: false,
        items: vec![Item::Summary(Box::new(summary))],
    };
    entry.event(Event::FrameReceived(Box::new(frame)));
}

#[test]
fn forwarded_once() {
    let mut entry = engines(&[]);
    entry.add(vm("entry-b", "hall-b", Role::Entry));
    offer(&mut entry, 3);
    let (id, effects) = entry.ask(Ask::default());
    let send = sent(&effects);
    assert_eq!((send.backend.as_str(), &send.destination), ("entry-b", &Destination::Peer));
    entry.head(send.attempt);
    assert_eq!(outcome(&entry.finish(send.attempt, 0), id), Some((Code::Ok, Outcome::Answered)));

    let (_, effects) = entry.ask(Ask { hops: 1, ..Ask::default() });
    assert!(sends(&effects).is_empty(), "a request is forwarded to another zone only once");
    let (id, effects) = entry.ask(Ask { hops: 2, ..Ask::default() });
    assert_eq!(outcome(&effects, id), Some((Code::TooManyHops, Outcome::NotRun)));
}

#[test]
fn forwarded_when_full() {
    let mut entry = engines(&["engine-1"]);
    entry.add(vm("entry-b", "hall-b", Role::Entry));
    offer(&mut entry, 8);
    entry.report("engine-1", SLOTS, true);
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).is_empty(), "the other zone is too busy");
    entry.now = entry.now + Duration::from_millis(1);
    offer(&mut entry, 2);
    let (_, effects) = entry.ask(Ask::default());
    assert!(sends(&effects).iter().all(|send| send.destination == Destination::Peer));
    assert!(!sends(&effects).is_empty());
}

#[test]
fn refused_elsewhere() {
    let mut entry = engines(&["engine-1"]);
    entry.add(vm("entry-b", "hall-b", Role::Entry));
    entry.add(vm("entry-c", "hall-b", Role::Entry));
    entry.report("engine-1", SLOTS, true);
    offer(&mut entry, 2);
    let (id, effects) = entry.ask(Ask::default());
    let effects = entry.refuse(sent(&effects).attempt, Refusal::Busy);
    assert!(sends(&effects).is_empty(), "the request waits here instead of using up its attempts");
    let effects = entry.report("engine-1", 0, true);
    assert_eq!(sent(&effects).attempt.request, id);
}

#[test]
fn zone_cut_off() {
    let mut entry = engines(&[]);
    entry.add(vm("entry-b", "hall-b", Role::Entry));
    offer(&mut entry, 0);
    let (id, effects) = entry.ask(Ask::default());
    let effects = entry.fail(sent(&effects).attempt, Failure::Connect);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::CloseConnections(_))));
    assert!(sends(&effects).is_empty(), "the request waits for a copy in this zone");
    entry.add(vm("engine-1", "hall-a", Role::Backend("writers".into())));
    let effects = entry.report("engine-1", 0, true);
    assert_eq!(sent(&effects).attempt.request, id);
}
