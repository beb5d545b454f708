//! What the platform promises, over HTTP and within the process alike.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use boragecove_core::engine::Fence;
use boragecove_core::lease;
use boragecove_core::name::Name;
use boragecove_core::table::{Call, Done, Failure, Key, Prefix, Reply, Row, Value, Version, Write};
use boragecove_daemon::platform::{Addresses, Platform, Source};
use boragecove_standin::fault::{Fault, Faults, Kind, Scope};
use boragecove_standin::platform;
use boragecove_standin::server::loopback;

/// Long against a call on the loopback interface, short for a test that waits for it.
const LIMIT: Duration = Duration::from_secs(2);

fn over_http(address: SocketAddr) -> Platform {
    let addresses =
        Addresses { table: address, objects: address, vms: address, connect: LIMIT, limit: LIMIT };
    Platform::new(Source::Http(addresses))
}

/// The same platform seen both ways.
fn both() -> [(Platform, Faults); 2] {
    let served = platform::Platform::new(platform::Settings::default());
    let address = served.start(loopback()).expect("a listener").address();
    let held = platform::Platform::new(platform::Settings::default());
    let faults = held.faults().clone();
    [(over_http(address), served.faults().clone()), (Platform::new(Source::Memory(held)), faults)]
}

fn key(zone: &str) -> Key {
    Key::Lease(zone.into())
}

fn value(fence: u64) -> Value {
    Value::Lease(lease::Row { holder: None, fence: Fence(fence), renewal: 0, length_ms: 1_000 })
}

fn write(zone: &str, expect: u64, fence: u64) -> Write {
    Write { key: key(zone), expect: Version(expect), value: Some(value(fence)) }
}

fn row(zone: &str, version: u64, fence: u64) -> Row {
    Row { key: key(zone), version: Version(version), value: value(fence) }
}

async fn rows(platform: &Platform, zones: &[&str]) -> Vec<Row> {
    let keys = zones.iter().map(|zone| key(zone)).collect();
    match platform.table.call(Call::Get(keys)).await {
        Ok(Reply::Rows(rows)) => rows,
        other => panic!("expected rows, got {other:?}"),
    }
}

#[actix_web::test]
async fn conditional_writes() {
    for (platform, _) in both() {
        let commit = |writes| platform.table.call(Call::Commit(writes));
        assert_eq!(commit(vec![write("a", 0, 1), write("b", 0, 1)]).await, Ok(Reply::Committed));
        let stale = commit(vec![write("a", 1, 2), write("b", 0, 2), write("c", 1, 2)]).await;
        assert_eq!(stale, Ok(Reply::Conflict(vec![row("b", 1, 1)])), "only those that misfit and exist");
        assert_eq!(rows(&platform, &["a", "b", "c"]).await, [row("a", 1, 1), row("b", 1, 1)], "all or none");
        assert_eq!(commit(vec![write("a", 1, 2)]).await, Ok(Reply::Committed));
        assert_eq!(rows(&platform, &["a"]).await, [row("a", 2, 2)]);
        let remove = Write { value: None, ..write("a", 2, 0) };
        assert_eq!(commit(vec![remove]).await, Ok(Reply::Committed));
        assert_eq!(rows(&platform, &["a"]).await, []);
        assert_eq!(commit(vec![write("a", 2, 3)]).await, Ok(Reply::Conflict(Vec::new())));

        let each = platform.table.call(Call::Each(vec![write("b", 0, 9), write("c", 0, 9)])).await;
        assert_eq!(each, Ok(Reply::Each(vec![Done::Kept(Some(row("b", 1, 1))), Done::Written])));
    }
}

#[actix_web::test]
async fn reads_by_prefix() {
    for (platform, _) in both() {
        let claim = |key: &str| Write {
            key: Key::Claim { caller: "a/b%".into(), key: key.into() },
            expect: Version(0),
            value: Some(value(1)),
        };
        let ledgerless = vec![write("hall-b", 0, 2), claim("x"), write("hall-a", 0, 1)];
        assert_eq!(platform.table.call(Call::Commit(ledgerless)).await, Ok(Reply::Committed));
        let listed = platform.table.call(Call::List(Prefix::Leases)).await;
        assert_eq!(listed, Ok(Reply::Rows(vec![row("hall-a", 1, 1), row("hall-b", 1, 2)])));
        let odd = Key::Claim { caller: "a/b%".into(), key: "x".into() };
        let Ok(Reply::Rows(claims)) = platform.table.call(Call::Get(vec![odd.clone()])).await else {
            panic!("expected rows")
        };
        assert_eq!(claims.first().map(|row| &row.key), Some(&odd), "any name survives the way");
        let other: Name = "hall-z".into();
        let none = platform.table.call(Call::List(Prefix::Ledgers(other))).await;
        assert_eq!(none, Ok(Reply::Rows(Vec::new())));
    }
}

#[actix_web::test]
async fn no_effect_or_unknown() {
    for (platform, faults) in both() {
        let cases = [
            (Kind::Refuse, Failure::Unavailable, false),
            (Kind::Drop, Failure::Unknown, false),
            (Kind::Lose, Failure::Unknown, true),
            (Kind::Silent, Failure::Unknown, false),
        ];
        for (n, (kind, failure, effect)) in cases.into_iter().enumerate() {
            let zone = format!("zone-{n}");
            faults.set([Fault::next(kind, Scope::Table, 1)]);
            let reply = platform.table.call(Call::Commit(vec![write(&zone, 0, 1)])).await;
            assert_eq!(reply, Err(failure), "{kind:?}");
            assert_eq!(rows(&platform, &[&zone]).await.len(), usize::from(effect), "{kind:?}");
        }
        faults.set([Fault::next(Kind::Refuse, Scope::Vms, 1)]);
        assert_eq!(platform.vms.list().await, Err(Failure::Unavailable));
        assert_eq!(platform.vms.list().await, Ok(Vec::new()));
    }
}

#[actix_web::test]
async fn nobody_listens() {
    // The near end of a connection: its port is taken for as long as it is held, and nobody listens there.
    let listener = TcpListener::bind(loopback()).expect("a listener");
    let held = TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    let platform = over_http(held.local_addr().expect("its address"));
    let reply = platform.table.call(Call::Commit(vec![write("a", 0, 1)])).await;
    assert_eq!(reply, Err(Failure::Unavailable));
}

#[actix_web::test]
async fn objects_kept() {
    for (platform, faults) in both() {
        let key = || "a b/ä%2F?#".to_owned();
        assert_eq!(platform.objects.get(key()).await, Ok(None));
        assert_eq!(platform.objects.put(key(), "one".into()).await, Ok(()));
        faults.set([Fault::next(Kind::Lose, Scope::Object, 1)]);
        assert_eq!(platform.objects.put(key(), "two".into()).await, Err(Failure::Unknown));
        assert_eq!(platform.objects.get(key()).await, Ok(Some("two".into())));
        assert_eq!(platform.objects.delete(key()).await, Ok(()));
        assert_eq!(platform.objects.get(key()).await, Ok(None));
    }
}
