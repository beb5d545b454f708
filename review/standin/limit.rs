//! An engine leaves load orders unanswered, crashes, and starts again under its id; the orders reach it late. In one variant the entry VM that
//! gives orders is killed and started again meanwhile.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::vm::{Folder, Vm};
use crate::worker::{Size, Worker};
use crate::{Failure, Verdict};

const MODEL_MB: u32 = 60_000;
/// As many as six engines have room for.
const MODELS: usize = 18;
/// Models that an engine has room for.
const ROOM: usize = 3;

fn size() -> Size {
    Size {
        memory_mb: 200_000.0,
        model_mb: f64::from(MODEL_MB),
        adapter_mb: 40.0,
        adapter_slots: 8,
        load: Duration::from_millis(1_200),
        first: Duration::from_millis(40),
        events: 19,
        gap: Duration::from_millis(40),
        event_bytes: 10,
        slots: 8,
    }
}

fn config() -> String {
    let models: Vec<String> = (1..=MODELS)
        .map(|number| {
            format!(r#"{{"name":"m{number}","weights_mb":{MODEL_MB},"load_s":1.2,"adapters":4,"adapter_mb":40.0}}"#)
        })
        .collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-brief","host":"care.example","prefix":"/brief/","route_kind":"streaming","timeout_ms":6000,"target_latency_ms":500,"priority":1,"service":"writer","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":150}}],"services":[{{"name":"writer","health_path":"/health","max_conns":100,"engine":{{"slots":8,"kv_capacity_tokens":90000,"weights_mb":200000,"adapter_slots":8,"loads_per_s":1.7,"models":[{}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        models.join(",")
    )
}

/// Waits until a condition holds.
fn wait(what: &str, within: Duration, holds: impl Fn() -> bool) -> Result<(), Failure> {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() >= until {
            return Err(format!("not in time: {what}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// What happens beside the crash of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Two orders are late.
    TwoLate,
    /// One order is late, and the entry VM is killed and started again.
    OneLateAndRestart,
}

pub fn run(record: &Record, trouble: bool, variant: Variant) -> Result<Verdict, Failure> {
    let fail = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(fail)?;
    let store = Store::start().map_err(fail)?;
    store.put("op", "config", &config());
    // Five engines are full; the sixth is new and empty.
    let mut others = Vec::new();
    for number in 1..6 {
        let models: Vec<String> = (0..ROOM).map(|at| format!("m{}", number * ROOM + at + 1)).collect();
        let (id, zone) = (format!("i-{number}"), ["hall-a", "hall-b", "hall-c"][number % 3]);
        others.push(Worker::start(record, &store, &id, "writer", zone, size(), &models).map_err(fail)?);
    }
    let engine = Worker::start(record, &store, "i-0", "writer", "hall-a", size(), &[]).map_err(fail)?;
    if trouble {
        if variant == Variant::TwoLate {
            engine.leave_unanswered("m2");
        }
        engine.leave_unanswered("m3");
    }
    let more = r#""repeats":{"ratio":0.2,"slack":58,"window":"10s"},"changes":{"departures-within":"2000ms","config-within":"2000ms"},"orders":{"gap":"3000ms","load-window":"5s"},"#;
    let mut vm = Vm::start(&folder, "front-hall-a-1", "hall-a", store.address, more).map_err(fail)?;
    vm.wait_until_ready(Duration::from_secs(10))?;
    let wanted: Arc<Mutex<Vec<&'static str>>> = Arc::new(Mutex::new(vec!["m1/a1"]));
    let over = Arc::new(AtomicBool::new(false));
    let caller = {
        let (record, wanted, over, address) = (record.clone(), Arc::clone(&wanted), Arc::clone(&over), vm.callers);
        thread::spawn(move || call(address, &record, &wanted, &over))
    };
    wait("three models are loaded", Duration::from_secs(30), || engine.models().len() == 3)?;
    // Demand moves on to models that other engines hold, and they need further copies.
    *wanted.lock().unwrap() = vec!["m4", "m7"];
    thread::sleep(Duration::from_secs(2));
    // The engine crashes, and is back under its id after a moment.
    if trouble {
        engine.crash(Duration::from_millis(600));
        if variant == Variant::OneLateAndRestart {
            record.line(&format!("{} is killed, and is started again after 0.5 s", vm.name));
            vm.kill_and_start(Duration::from_millis(500)).map_err(fail)?;
        }
    }
    thread::sleep(Duration::from_secs(16));
    over.store(true, Ordering::SeqCst);
    caller.join().map_err(|_| "the callers panicked".to_owned())?;
    if std::env::var("SHOW_LOG").is_ok() {
        record.line(&vm.log());
    }
    record.line(&format!("at the end the engine holds {:?}", engine.models()));
    let overloads = others.iter().chain([&engine]).flat_map(Worker::overloads).count();
    Ok(if overloads == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Callers: a request each 20 ms, whether those before have been answered or not.
fn call(address: std::net::SocketAddr, record: &Record, wanted: &Mutex<Vec<&'static str>>, over: &AtomicBool) {
    let mut sent = 0;
    let mut open = Vec::new();
    while !over.load(Ordering::SeqCst) {
        sent += 1;
        let model = {
            let wanted = wanted.lock().unwrap();
            wanted[sent % wanted.len()]
        };
        let (id, record) = (format!("{sent:016x}"), record.clone());
        open.push(thread::spawn(move || {
            let headers = [
                ("Host", "care.example"),
                ("Attempt-Id", id.as_str()),
                ("Model", model),
                ("Token-Usage", "200,20"),
                ("Deadline-Ms", "6000"),
            ];
            let first = "POST /brief/2f HTTP/1.1";
            match http::call(address, first, &headers, b"prompt", Duration::from_millis(6_500)) {
                Ok(answer) => record.line(&format!("caller {id} asking {model} got {}", answer.status())),
                Err(error) => record.line(&format!("caller {id} asking {model} got no answer: {error}")),
            }
        }));
        thread::sleep(Duration::from_millis(20));
    }
    for request in open {
        let _ended = request.join();
    }
}
