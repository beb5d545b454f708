//! Lookup of a request's route by host and longest prefix, and the choice of one of the route's services.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_fleet::config::{Destination, Kind, Table};
use boragecove_fleet::event::Event;
use boragecove_fleet::request::Step;
use node::{GATEWAY, HOST, Node, WRITER, config, plain, route, short_stream};

#[test]
fn longest_prefix() {
    let mut config = config(1);
    config.routes.push(Arc::new(route("deep", "/ack/deep/", Kind::Once, GATEWAY, 1)));
    let table = Table::new(&config);
    let found = |path: &str| table.find(HOST, path).map(|route| route.name.to_string());
    assert_eq!(found("/ack/deep/7").as_deref(), Some("deep"));
    assert_eq!(found("/ack/deeper/7").as_deref(), Some("ack"));
    assert_eq!(found("/ackdeep/").as_deref(), None);
    assert_eq!(table.find("other.example", "/ack/1").map(|route| &route.name), None);
}

/// For any routes and path, the lookup finds the route with the longest prefix of the path.
#[test]
fn any_routes_and_path() {
    arbtest::arbtest(|data| {
        let mut drawn = |slashes: usize| -> arbtest::arbitrary::Result<String> {
            let mut path = String::from("/");
            for _ in 0..data.int_in_range(0..=slashes)? {
                path.push_str(data.choose(&["a", "b", "", "aa"])?);
                path.push('/');
            }
            Ok(path)
        };
        let mut config = config(1);
        config.routes.clear();
        for number in 0..8 {
            let prefix = drawn(3)?;
            config.routes.push(Arc::new(route(&format!("r{number}"), &prefix, Kind::Once, GATEWAY, 1)));
        }
        let path = drawn(5)? + "rest";
        let fits = config.routes.iter().filter(|route| path.starts_with(route.prefix.as_str()));
        let longest = fits.map(|route| route.prefix.len()).max();
        let found = Table::new(&config).find(HOST, &path).map(|route| route.prefix.len());
        assert_eq!(found, longest, "{path}");
        Ok(())
    });
}

#[test]
fn unknown_path() {
    let mut node = Node::ready("a");
    assert_eq!(node.refused(plain("/nothing/here")).code, Code::UnknownPath);
    assert_eq!(node.state.refusals().get(&Code::UnknownPath), Some(&1), "each refusal is counted");
}

#[test]
fn weighted_split() {
    let mut node = Node::ready("a");
    let mut config = config(2);
    let mut split = route("split", "/split/", Kind::Once, GATEWAY, 1);
    split.split = vec![
        Destination { service: GATEWAY.into(), weight: 9 },
        Destination { service: WRITER.into(), weight: 1 },
    ];
    config.routes.push(Arc::new(split));
    node.feed(Event::Configured(Arc::new(config)));
    let mut to_writers = 0;
    for _ in 0..400 {
        let id = node.arrive(plain("/split/1"));
        let Some(Step::Send(attempt)) = node.step(id) else { panic!("not sent") };
        to_writers += u32::from(attempt.engine.starts_with('w'));
        node.feed(Event::CallerGone(id));
    }
    assert!((20..=65).contains(&to_writers), "{to_writers} of 400 went to a tenth");
}

#[test]
fn not_ready() {
    let mut node = Node::bare("a");
    let refusal = node.refused(short_stream("m0"));
    assert_eq!(refusal.code, Code::NotReady);
    assert_eq!(
        refusal.code.status(),
        503,
        "a process without a configuration cannot say that there is no route"
    );
    assert!(refusal.retry_after.is_some());
}

#[test]
fn never_to_lower_version() {
    let mut node = Node::ready("a");
    let mut newer = config(5);
    newer.routes.retain(|route| *route.name != *"ack");
    node.feed(Event::Configured(Arc::new(newer)));
    node.feed(Event::Configured(Arc::new(config(4))));
    assert_eq!(node.state.config().map(|config| config.version), Some(5));
    assert_eq!(node.refused(plain("/ack/1")).code, Code::UnknownPath);
}

#[test]
fn route_timeout_limits_caller_timeout() {
    let mut node = Node::ready("a");
    let mut arrival = plain("/ack/1");
    arrival.caller_timeout = Some(Duration::from_mins(1));
    let (_, attempt) = node.sent(arrival);
    assert_eq!(attempt.deadline.since(node.now), Duration::from_secs(10));
}
