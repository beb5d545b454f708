//! The stand-in weight store: order of grants, slots, rate. Time is the paused clock's.

use std::time::Duration;

use boragecove_standin::platform::weight::{Settings, Store};
use futures_util::future::join_all;
use tokio::time::Instant;

#[actix_web::test]
async fn slots_and_rate() {
    tokio::time::pause();
    let store = Store::new(Settings { loads_per_second: 2.0, slots: 3, mb_per_second: 1_000.0 });
    let begun = Instant::now();
    join_all((1..=8).map(|n| store.read(n * 1_000))).await;
    assert_eq!(store.grants(), (1..=8).map(|n| n * 1_000).collect::<Vec<_>>(), "first come, first served");
    assert_eq!(store.peak(), 3);
    assert!(begun.elapsed() >= Duration::from_secs(36 / 3), "three at once at most");

    let store = Store::new(Settings { loads_per_second: 2.0, slots: 100, mb_per_second: 1e9 });
    let begun = Instant::now();
    join_all((0..9).map(|_| store.read(1))).await;
    assert_eq!(begun.elapsed().as_secs(), 4, "eight starts half a second apart");
}

#[actix_web::test]
async fn reader_gone() {
    tokio::time::pause();
    let store = Store::new(Settings { loads_per_second: 1_000.0, slots: 1, mb_per_second: 1.0 });
    let gone = tokio::time::timeout(Duration::from_secs(1), store.read(1_000)).await;
    assert!(gone.is_err(), "it takes longer");
    store.read(1).await;
    assert_eq!((store.grants(), store.peak()), (vec![1_000, 1], 1), "its slot is free again");
}
