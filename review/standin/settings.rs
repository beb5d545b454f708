//! The settings file changes, by a figure that the pages allow, and after that all processes are killed and started again.

use std::fs;
use std::net::SocketAddr;
use std::process::Child;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::{Engine, Shared};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::vm::{self, Folder};
use crate::{Failure, Verdict};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// The time for which a killed process is down.
const RESTART: Duration = Duration::from_millis(500);
/// `recovery_s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

struct Machine {
    name: String,
    zone: &'static str,
    callers: SocketAddr,
    watchers: SocketAddr,
    peers: SocketAddr,
    child: Child,
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// Fills the project's template as the platform does, for a deployment without keys, quotas and cold engines.
fn render(template: &str, machine: (&str, &str, [SocketAddr; 3]), store: SocketAddr, grace_s: &str) -> String {
    let (name, zone, [callers, watchers, peers]) = machine;
    let mut text = template.to_owned();
    for absent in ["bounds.strict_revoke", "bounds.quota_window_s", "bounds.cold_overage"] {
        let (begin, end) = (format!("{{{{#{absent}}}}}"), format!("{{{{/{absent}}}}}"));
        if let Some((before, rest)) = text.split_once(&begin)
            && let Some((_, after)) = rest.split_once(&end)
        {
            text = format!("{before}{after}");
        }
    }
    if let Some((before, rest)) = text.split_once("{{#zones}}")
        && let Some((_, after)) = rest.split_once("{{/zones}}")
    {
        let entries: Vec<String> =
            ZONES.iter().map(|zone| format!(r#"{{ "zone": "{zone}", "region": "se-central" }}"#)).collect();
        text = format!("{before}{}{after}", entries.join(","));
    }
    let values = [
        ("{{node_name|json}}", format!("\"{name}\"")),
        ("{{zone|json}}", format!("\"{zone}\"")),
        ("{{listen.front_addr|json}}", format!("\"{callers}\"")),
        ("{{listen.ready_addr|json}}", format!("\"{watchers}\"")),
        ("{{ip}}:{{port_range.0}}", peers.to_string()),
        ("{{platform.address|json}}", format!("\"{store}\"")),
        ("{{limits.cpu_share}}", "0.25".to_owned()),
        ("{{limits.link_mbps}}", "1000.0".to_owned()),
        ("{{bounds.grace_s}}", grace_s.to_owned()),
        ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
        ("{{bounds.retry_budget_slack}}", "58".to_owned()),
        ("{{bounds.budget_window_s}}", "10".to_owned()),
        ("{{bounds.drain_ms}}", "2000".to_owned()),
        ("{{bounds.config_apply_ms}}", "2000".to_owned()),
        ("{{bounds.lease_ttl_ms}}", "3000".to_owned()),
        ("{{bounds.origin_window_s}}", "5".to_owned()),
    ];
    values.iter().fold(text, |text, (name, value)| text.replace(name, value))
}

/// Sends 30 requests over 3 s, and returns how many were served.
fn served(record: &Record, machines: &[Machine], round: &str) -> usize {
    let one = |at: usize| {
        let id = format!("{round}{at:08x}");
        let headers = [("Host", "care.example"), ("Attempt-Id", id.as_str()), ("Deadline-Ms", "3000")];
        let address = machines[at % machines.len()].callers;
        let answer = http::call(address, "POST /ack/2f HTTP/1.1", &headers, b"ack", Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.line(&match answer {
            Ok(_) => format!("caller {id} got {status}"),
            Err(error) => format!("caller {id} got no answer: {error}"),
        });
        thread::sleep(Duration::from_millis(100));
        usize::from(status == 200)
    };
    (0..30).map(one).sum()
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, Failure> {
    let fail = |error: std::io::Error| error.to_string();
    let template = fs::read_to_string("deploy/entry.jsonc").map_err(fail)?;
    let folder = Folder::new().map_err(fail)?;
    let store = Store::start().map_err(fail)?;
    store.put(
        "op",
        "config",
        r#"{"version":7,"routes":[{"name":"r-ack","host":"care.example","prefix":"/ack/","route_kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":"gateway","max_attempts":1}],"services":[{"name":"gateway","health_path":"/health","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#,
    );
    let shared = Shared { record: record.clone(), runs: Arc::default(), pids: Arc::default() };
    let mut engines = Vec::new();
    for zone in ZONES {
        let engine = Engine::start(&shared, &store, &format!("i-{zone}"), "gateway", zone, Duration::from_millis(60));
        engines.push(engine.map_err(fail)?);
    }
    let mut machines = Vec::new();
    for zone in ZONES {
        let name = format!("front-{zone}-1");
        let addresses = [vm::free().map_err(fail)?, vm::free().map_err(fail)?, vm::free().map_err(fail)?];
        let text = render(&template, (&name, zone, addresses), store.address, "8");
        fs::write(folder.0.join(format!("{name}.json")), text).map_err(fail)?;
        let child = vm::spawn(&folder.0.join(format!("{name}.json"))).map_err(fail)?;
        let [callers, watchers, peers] = addresses;
        machines.push(Machine { name, zone, callers, watchers, peers, child });
    }
    let ready = |machine: &Machine| {
        let answer = http::call(
            machine.watchers,
            "GET /api/ready HTTP/1.1",
            &[("Host", "x")],
            b"",
            Duration::from_millis(500),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    let until = Instant::now() + Duration::from_secs(10);
    while !machines.iter().all(ready) {
        if Instant::now() > until {
            return Err("the entry VMs are not ready".to_owned());
        }
        thread::sleep(Duration::from_millis(20));
    }
    let before = served(record, &machines, "aaaaaaaa");
    record.line(&format!("before: {before} of 30 requests were served"));
    if before < 25 {
        return Err("too few requests are served".to_owned());
    }
    for machine in &machines {
        let addresses = [machine.callers, machine.watchers, machine.peers];
        let grace_s = if trouble { "7.5" } else { "7" };
        let text = render(&template, (&machine.name, machine.zone, addresses), store.address, grace_s);
        fs::write(folder.0.join(format!("{}.json", machine.name)), text).map_err(fail)?;
        record.line(&format!("the settings of {} change without a signal: grace_s is {grace_s}", machine.name));
    }
    thread::sleep(Duration::from_secs(1));
    let after = served(record, &machines, "bbbbbbbb");
    record.line(&format!("after the change: {after} of 30 requests were served"));
    for machine in &mut machines {
        machine.child.kill().map_err(fail)?;
        let _ended = machine.child.wait();
        record.line(&format!("{} is killed", machine.name));
    }
    // Each process is started again after a moment, and again whenever it ends.
    let until = Instant::now() + RESTART + RECOVERY;
    let mut ends = 0;
    thread::sleep(RESTART);
    while Instant::now() < until {
        for machine in &mut machines {
            if let Ok(Some(status)) = machine.child.try_wait() {
                machine.child = vm::spawn(&folder.0.join(format!("{}.json", machine.name))).map_err(fail)?;
                record.line(&format!("{} has ended ({status}) and is started", machine.name));
                ends += 1;
            }
        }
        thread::sleep(RESTART);
    }
    let back = served(record, &machines, "cccccccc");
    for machine in &machines {
        let log = fs::read_to_string(folder.0.join(format!("{}.log", machine.name))).unwrap_or_default();
        let last = log.lines().rev().find(|line| !line.starts_with('{')).unwrap_or_default();
        record.line(&format!("the last words of {}: {last}", machine.name));
    }
    record.line(&format!("{ends} starts; {back} of 30 requests were served 12 s after the machines were back"));
    Ok(if back * 4 < 30 { Verdict::Broken } else { Verdict::Held })
}
