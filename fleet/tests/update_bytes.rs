//! Configuration updates: the result of applying them, and their size on the wire.

mod node;

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use boragecove_fleet::config::{Config, Kind, Route};
use boragecove_fleet::pack;
use boragecove_fleet::update::{Error, Packed, Update};
use node::GATEWAY;

fn route(number: u32, attempts: u32) -> Arc<Route> {
    let random = u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let name = format!("r-{:07x}", random >> 36);
    let prefix = format!("/{:08x}/", (random >> 8) as u32);
    Arc::new(node::route(&name, &prefix, Kind::Idempotent, GATEWAY, attempts))
}

fn config(version: u64, routes: impl IntoIterator<Item = Arc<Route>>) -> Config {
    Config { routes: routes.into_iter().collect(), ..node::config(version) }
}

/// A configuration with a random subset of sixty routes, each in one of two variants.
fn random(version: u64, data: &mut Unstructured<'_>) -> Result<Config> {
    let mut routes = Vec::new();
    for number in 0..60 {
        if data.arbitrary()? {
            routes.push(route(number, u32::from(data.arbitrary::<bool>()?)));
        }
    }
    Ok(config(version, routes))
}

fn sorted(mut config: Config) -> Config {
    config.routes.sort_by(|a, b| a.name.cmp(&b.name));
    config
}

fn round_trip(update: &Update) -> Update {
    update.pack().and_then(|packed| packed.unpack()).expect("packs and unpacks")
}

#[test]
fn any_two_versions() {
    arbtest::arbtest(|data| {
        let (before, after) = (random(3, data)?, random(5, data)?);
        let update = round_trip(&Update::between(Some(&before), &after));
        assert_eq!((update.base, update.version), (3, 5));
        assert_eq!(sorted(update.apply(Some(&before)).expect("its base")), sorted(after));
        Ok(())
    });
}

#[test]
fn from_nothing() {
    let after = config(5, (0..20).map(|number| route(number, 1)));
    let update = round_trip(&Update::between(None, &after));
    assert_eq!(update.base, 0);
    let old = config(3, (0..7).map(|number| route(number, 2)));
    assert_eq!(
        update.clone().apply(Some(&old)).expect("any base"),
        after,
        "a full update replaces any configuration"
    );
    assert_eq!(update.apply(None).expect("no base"), after);
}

/// With duplicate names no delta can be computed, so that the update contains the full configuration.
#[test]
fn duplicate_names() {
    let duplicated = config(3, [route(1, 1), route(1, 2)]);
    let after = config(5, [route(1, 2), route(1, 1), route(2, 1)]);
    let update = Update::between(Some(&duplicated), &after);
    assert_eq!(update.base, 0);
    assert_eq!(update.apply(Some(&duplicated)).expect("any base"), after);
}

#[test]
fn another_base() {
    let (before, after) = (config(3, [route(1, 1)]), config(5, [route(1, 2)]));
    let update = Update::between(Some(&before), &after);
    let other = config(4, [route(1, 1)]);
    assert!(matches!(update.apply(Some(&other)), Err(Error::Base { base: 3, current: 4 })));
}

#[test]
fn garbled_bytes() {
    let packed = Packed { base: 0, version: 5, bytes: vec![7; 100].into() };
    assert!(matches!(packed.unpack(), Err(Error::Pack(pack::Error::Compress(_) | pack::Error::Decode(_)))));
}

/// An update that adds thousands of routes is much smaller than the encoded configuration, and its size depends only on the changed routes.
#[test]
fn bytes_of_a_change() {
    let before = config(3, (0..4_000).map(|number| route(number, 1)));
    let after = config(5, (0..6_400).map(|number| route(number, 1)));
    let bytes = |before: Option<&Config>| Update::between(before, &after).pack().expect("packs").bytes.len();
    let (change, whole) = (bytes(Some(&before)), bytes(None));
    let document = rmp_serde::to_vec(&after).expect("encodes").len();
    println!("2,400 more routes: {change} bytes; all 6,400: {whole}; encoded but not compressed: {document}");
    assert!(change < 2_400 * 24, "{change} bytes");
    assert!(whole < 6_400 * 24, "{whole} bytes");
}
