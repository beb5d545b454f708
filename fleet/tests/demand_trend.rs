//! Smoothed demand as seen by the hub: the time for which requests wait while none is served.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::demand::{Aggregate, Demand, Target, Trend};

fn target() -> Target {
    Target { service: "writer".into(), model: "m1".into(), adapter: None }
}

fn trend(aggregate: &Aggregate) -> Trend {
    aggregate.trend(&"writer".into(), &"m1".into())
}

/// Makes `count` updates, 250 ms apart, with `waiting` requests that wait and `open` requests under way.
fn updates(aggregate: &mut Aggregate, from_ms: u64, count: u64, waiting: u32, open: u32) {
    for number in 0..count {
        let demand = Demand { target: target(), waiting, open, ..Demand::default() };
        aggregate.update(Time::from_millis(from_ms + number * 250), [&demand].into_iter());
    }
}

/// A process that becomes the hub long after its start has not observed the waiting requests in between.
#[test]
fn first_update_adds_little_waiting_time() {
    let mut aggregate = Aggregate::default();
    updates(&mut aggregate, 60_000, 1, 1, 0);
    assert!(trend(&aggregate).starved_for <= Duration::from_secs(1), "{:?}", trend(&aggregate).starved_for);
}

#[test]
fn waiting_time_accumulates() {
    let mut aggregate = Aggregate::default();
    updates(&mut aggregate, 60_000, 13, 1, 0);
    let starved_for = trend(&aggregate).starved_for;
    assert!(
        (Duration::from_secs(3)..=Duration::from_secs(4)).contains(&starved_for),
        "{starved_for:?} after 3 s"
    );
}

#[test]
fn served_request_resets_waiting_time() {
    let mut aggregate = Aggregate::default();
    updates(&mut aggregate, 60_000, 13, 1, 0);
    updates(&mut aggregate, 63_250, 1, 1, 1);
    assert_eq!(trend(&aggregate).starved_for, Duration::ZERO);
}
