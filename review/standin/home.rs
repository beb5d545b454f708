//! A request that may be served in one region only, while one engine is cut off for a moment and joined again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::engine::{Engine, Shared};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::vm::{Folder, Vm};
use crate::{Failure, Verdict};

const ZONES: [(&str, &str); 6] = [
    ("dfw-a", "north-tx"),
    ("dfw-b", "north-tx"),
    ("dfw-c", "north-tx"),
    ("hou-a", "gulf-tx"),
    ("hou-b", "gulf-tx"),
    ("hou-c", "gulf-tx"),
];
const HOME: &str = "north-tx";
/// The time for which the engine is cut off, and the time until the next cut, in ms.
const CUTS: [(u64, u64); 3] = [(2_000, 4_000), (2_300, 4_000), (2_600, 4_000)];

fn region(zone: &str) -> &'static str {
    ZONES.iter().find(|(name, _)| *name == zone).map_or("", |(_, region)| region)
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let fail = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(fail)?;
    let store = Store::start().map_err(fail)?;
    store.put(
        "op",
        "config",
        r#"{"version":7,"routes":[{"name":"r-hold","host":"desk.example","prefix":"/hold/","route_kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":1,"service":"desk","max_attempts":1,"allowed_regions":["north-tx"]}],"services":[{"name":"desk","health_path":"/health","max_conns":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let shared = Shared { record: record.clone(), runs: Arc::default(), pids: Arc::default() };
    // One engine in the home region and five in the other one, so that one is less than a share of 0.17.
    let engine = |id: &str, zone: &str| Engine::start(&shared, &store, id, "desk", zone, Duration::from_millis(15)).map_err(fail);
    let home = engine("i-home", "dfw-a")?;
    let _others = [
        engine("i-hou-a1", "hou-a")?,
        engine("i-hou-a2", "hou-a")?,
        engine("i-hou-b1", "hou-b")?,
        engine("i-hou-b2", "hou-b")?,
        engine("i-hou-c1", "hou-c")?,
    ];
    let regions: Vec<String> =
        ZONES.iter().map(|(zone, region)| format!(r#"{{"zone":"{zone}","region":"{region}"}}"#)).collect();
    let more = format!(
        r#""repeats":{{"ratio":0.2,"slack":58,"window":"10s"}},"changes":{{"departures-within":"4000ms","config-within":"4000ms"}},"orders":{{"gap":"3000ms","load-window":"5s"}},"regions":[{}],"#,
        regions.join(",")
    );
    let mut vms = Vec::new();
    for (zone, _) in ZONES {
        vms.push(Vm::start(&folder, &format!("front-{zone}-1"), zone, store.address, &more).map_err(fail)?);
    }
    *shared.pids.lock().unwrap() = vms.iter().map(Vm::pid).collect();
    for vm in &vms {
        record.line(&format!("{} in zone {} is process {}", vm.name, vm.zone, vm.pid()));
        vm.wait_until_ready(Duration::from_secs(10))?;
    }
    thread::sleep(Duration::from_secs(4));
    let over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(Mutex::new(0_u32));
    let callers: Vec<_> = (0..2)
        .map(|number| {
            let (record, over, served, address) =
                (record.clone(), Arc::clone(&over), Arc::clone(&served), vms[0].callers);
            thread::spawn(move || call(number, address, &record, &over, &served))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    for (cut, pause) in CUTS {
        if trouble {
            record.line(&format!("engine i-home is cut off for {cut} ms"));
            home.cut(true);
        }
        thread::sleep(Duration::from_millis(cut));
        home.cut(false);
        if trouble {
            record.line("engine i-home is joined again");
        }
        thread::sleep(Duration::from_millis(pause));
    }
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked".to_owned())?;
    }
    let served = *served.lock().unwrap();
    record.line(&format!("{served} requests were answered with success"));
    if served < 100 {
        return Err(format!("only {served} requests were served"));
    }
    let zone_of = |pid: u32| vms.iter().find(|vm| vm.pid() == pid).map(|vm| (vm.name.clone(), vm.zone.clone()));
    let mut away = 0;
    for run in shared.runs.lock().unwrap().iter() {
        let Some((name, zone)) = run.from.and_then(zone_of) else {
            continue;
        };
        if region(&zone) != HOME {
            away += 1;
            if away <= 20 {
                record.line(&format!(
                    "HOME broken: {} with its body of {} bytes came to engine {} at {} ms by way of {name} in {}",
                    run.attempt,
                    run.request.body.len(),
                    run.engine,
                    run.at_ms,
                    region(&zone)
                ));
            }
        }
    }
    record.line(&format!("{away} requests were passed on by a machine outside their home and their client's region"));
    Ok(if away > 0 { Verdict::Broken } else { Verdict::Held })
}

/// A caller in the home region, at the entry VM of zone dfw-a.
fn call(number: u32, address: std::net::SocketAddr, record: &Record, over: &AtomicBool, served: &Mutex<u32>) {
    let mut sent = 0;
    while !over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{number:04x}{sent:08x}");
        let headers = [("Host", "desk.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "1500")];
        let answer =
            http::call(address, "POST /hold/2f HTTP/1.1", &headers, b"a member's booking", Duration::from_millis(2_500));
        match answer {
            Ok(answer) => {
                record.line(&format!("caller {id} got {}", answer.status()));
                *served.lock().unwrap() += u32::from(answer.status() == 200);
            }
            Err(error) => record.line(&format!("caller {id} got no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(50));
    }
}
