//! Requests that may be served only in some regions are sent only to engines there, whatever changes meanwhile.

mod node;

use std::collections::BTreeMap;
use std::sync::Arc;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_fleet::config::{Config, Route};
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Port};
use boragecove_fleet::event::Event;
use boragecove_fleet::regions::Regions;
use boragecove_fleet::request::{Cause, End, Id, Step, Timing};
use boragecove_fleet::schedule::Grant;
use boragecove_fleet::settings::Settings;
use node::{GATEWAY, Node, WRITER, config, entry, listing, millis, plain, removed, row};

const REGIONS: [(&str, &str); 3] = [("zone-a", "north"), ("zone-b", "south"), ("zone-c", "south")];

fn settings() -> Settings {
    let regions = REGIONS.map(|(zone, region)| (Name::from(zone), Name::from(region)));
    Settings { regions: BTreeMap::from(regions), ..Settings::default() }
}

fn allowed(regions: &[&str]) -> Regions {
    Regions::new(regions.iter().copied().map(Name::from))
}

/// A configuration in which one route allows only some regions.
fn restricted(version: u64, route: &str, regions: &[&str]) -> Config {
    let mut config = config(version);
    let of = |known: &&mut Arc<Route>| *known.name == *route;
    let route = config.routes.iter_mut().find(of).expect("a route");
    Arc::make_mut(route).allowed_regions = allowed(regions);
    config
}

fn writer(id: &str, zone: &str) -> Entry {
    entry(id, WRITER, zone, &["m0", "m1"])
}

/// An entry VM with engines of both services in two regions.
fn ready(config: Config) -> Node {
    let mut node = Node::with_settings("a", settings());
    node.feed(Event::Configured(Arc::new(config)));
    let rows = vec![
        row(1, writer("w1", "zone-a")),
        row(2, writer("w2", "zone-b")),
        row(3, entry("g1", GATEWAY, "zone-a", &[])),
        row(4, entry("g2", GATEWAY, "zone-b", &[])),
    ];
    node.feed(listing(rows, 4, true));
    node
}

#[test]
fn sent_to_allowed_region() {
    let mut node = ready(restricted(1, "ack", &["south"]));
    for _ in 0..20 {
        let (id, attempt) = node.sent(plain("/ack/1"));
        assert_eq!(*attempt.engine, *"g2");
        node.ended(id, attempt.number, End::Done);
    }
}

/// A retry stays in the allowed regions, too.
#[test]
fn retries_stay_in_allowed_region() {
    let mut node = ready(restricted(1, "list", &["south"]));
    let (id, attempt) = node.sent(plain("/list/1"));
    let step = node.ended(id, attempt.number, End::Broken);
    assert!(
        matches!(step, Some(Step::Refuse(_))),
        "there is no other engine in the allowed region: {step:?}"
    );
}

/// If route and workspace both restrict the regions, both restrictions apply.
#[test]
fn both_restrictions_apply() {
    let (north, south) = (allowed(&["north"]), allowed(&["south"]));
    let region = Name::from("north");
    assert!(north.permit(Some(&region)).is_some());
    assert!(north.intersect(&south).permit(Some(&region)).is_none());
    assert!(north.intersect(&Regions::default()).permit(Some(&region)).is_some());
    assert!(north.permit(None).is_none(), "an unknown region is not allowed");
    assert!(Regions::default().permit(None).is_some());
}

#[test]
fn no_engine_in_allowed_region() {
    let mut node = ready(restricted(1, "ack", &["south"]));
    node.feed(listing(vec![removed(9, "g2")], 9, false));
    let refusal = node.refused(plain("/ack/1"));
    assert_eq!(refusal.code, Code::NoBackend);
    assert!(refusal.retry_after.is_some(), "an engine may appear there later");
}

/// A change of the allowed regions applies at once and can be reverted.
#[test]
fn allowed_regions_change() {
    let mut node = ready(config(1));
    node.feed(Event::Configured(Arc::new(restricted(2, "ack", &["north"]))));
    let (_, attempt) = node.sent(plain("/ack/1"));
    assert_eq!(*attempt.engine, *"g1");
    node.feed(Event::Configured(Arc::new(restricted(3, "ack", &["south"]))));
    let (_, attempt) = node.sent(plain("/ack/1"));
    assert_eq!(*attempt.engine, *"g2");
    node.feed(Event::Configured(Arc::new(config(4))));
    node.feed(listing(vec![removed(9, "g2")], 9, false));
    let (_, attempt) = node.sent(plain("/ack/1"));
    assert_eq!(*attempt.engine, *"g1");
}

/// Configures random allowed regions, or leaves all allowed if `unrestricted`, and returns the regions that were drawn.
fn step(
    u: &mut Unstructured<'_>,
    node: &mut Node,
    version: &mut u64,
    unrestricted: bool,
) -> arbitrary::Result<Regions> {
    *version += 1;
    let regions = *u.choose(&[&[][..], &["north"], &["south"], &["north", "south"], &["nowhere"]])?;
    let declared = Regions::new(regions.iter().copied().map(Name::from));
    let mut config = config(*version);
    if !unrestricted {
        for route in &mut config.routes {
            Arc::make_mut(route).allowed_regions = declared.clone();
        }
    }
    node.feed(Event::Configured(Arc::new(config)));
    Ok(declared)
}

/// Plays one random scenario. Returns whether a request was sent to an engine outside its allowed regions.
fn leaves_allowed_regions(u: &mut Unstructured<'_>, unrestricted: bool) -> arbitrary::Result<bool> {
    let mut node = ready(config(1));
    let zones: BTreeMap<&str, &str> = BTreeMap::from(REGIONS);
    let at = BTreeMap::from([("w1", "zone-a"), ("g1", "zone-a"), ("w2", "zone-b"), ("g2", "zone-b")]);
    let (mut version, mut rows, mut declared) = (1, 10, Regions::default());
    let mut open: Vec<(Id, u32)> = Vec::new();
    for _ in 0..u.int_in_range(5..=40)? {
        match u.int_in_range(0..=6)? {
            0 => declared = step(u, &mut node, &mut version, unrestricted)?,
            1 => {
                let engine = *u.choose(&["w1", "w2", "g1", "g2"])?;
                rows += 1;
                let service = if engine.starts_with('w') { WRITER } else { GATEWAY };
                let known = entry(engine, service, at[engine], &["m0", "m1"]);
                let put = if u.arbitrary()? { row(rows, known) } else { removed(rows, engine) };
                node.feed(listing(vec![put], rows, false));
            }
            2 if !open.is_empty() => {
                let (id, number) = open.swap_remove(u.choose_index(open.len())?);
                let end = *u.choose(&[End::Done, End::Broken, End::Unsent, End::Refused(Cause::Busy)])?;
                node.feed(Event::Ended { request: id, attempt: number, end, events: Timing::default() });
            }
            3 => {
                let engine = Name::from(*u.choose(&["w1", "w2", "g1", "g2"])?);
                let reach = *u.choose(&[Port::Open, Port::Closed, Port::Silent])?;
                node.feed(Event::Probed { engine, reach });
            }
            4 => {
                let all = node.advance(millis(u.int_in_range(1..=900)?));
                node.effects = all;
            }
            _ => {
                let path = *u.choose(&["/ack/1", "/list/1", "/brief/1", "/digest/1"])?;
                let streamed = path.starts_with("/brief") || path.starts_with("/digest");
                let arrival = if streamed { node::streamed(path, "m0", None) } else { plain(path) };
                let request = node.arrive(arrival);
                if node.effects.iter().any(|effect| matches!(effect, Effect::Reserve { .. })) {
                    let grant = Some(Grant::After(millis(u.int_in_range(0..=100)?)));
                    node.feed(Event::Granted { request, grant });
                }
            }
        }
        for effect in &node.effects {
            let Effect::Step { request, step: Step::Send(attempt) } = effect else {
                continue;
            };
            let region = Name::from(zones[at[&*attempt.engine]]);
            if declared.permit(Some(&region)).is_none() {
                return Ok(true);
            }
            open.push((*request, attempt.number));
        }
    }
    Ok(false)
}

/// With any combination of configurations, losses, retries and suspicions, no request leaves its allowed regions.
#[test]
fn never_leaves_allowed_regions() {
    arbtest(|u| {
        assert!(!leaves_allowed_regions(u, false)?, "a request was sent outside its allowed regions");
        Ok(())
    })
    .budget_ms(3_000);
}

/// Checks the test itself: it has to find violations if the configuration restricts no regions.
#[test]
fn detects_missing_restriction() {
    let found = std::cell::Cell::new(0);
    arbtest(|u| {
        found.set(found.get() + u32::from(leaves_allowed_regions(u, true)?));
        Ok(())
    })
    .budget_ms(500);
    assert!(found.get() > 0);
}
