//! Time to find the route of a request, and to build the table of a configuration version, by the number of routes of a host.

use std::sync::Arc;

use boragecove_fleet::config::{Config, Route, Table};
use divan::{Bencher, black_box};

/// Number of routes of one host: the number declared today, and the numbers after the largest single changes by operators.
const ROUTES: [u32; 4] = [4, 120, 1_450, 7_800];
const HOST: &str = "care.example";

fn main() {
    divan::main();
}

fn config(routes: u32) -> Config {
    let route = |number: u32| {
        let prefix = format!("/{:08x}/", number.wrapping_mul(0x9E37_79B9)).into();
        Arc::new(Route { name: format!("r-{number}").into(), host: HOST.into(), prefix, ..Route::default() })
    };
    Config { version: 1, routes: (0..routes).map(route).collect(), ..Config::default() }
}

#[divan::bench(args = ROUTES)]
fn find(bencher: Bencher<'_, '_>, routes: u32) {
    let config = config(routes);
    let table = Table::new(&config);
    let paths: Vec<String> = config.routes.iter().map(|route| format!("{}12/ab", route.prefix)).collect();
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1_009) % paths.len();
        table.find(black_box(HOST), black_box(&paths[next])).map(|route| route.attempts)
    });
}

#[divan::bench(args = ROUTES)]
fn sort(bencher: Bencher<'_, '_>, routes: u32) {
    let config = config(routes);
    bencher.bench_local(|| Table::new(black_box(&config)));
}
