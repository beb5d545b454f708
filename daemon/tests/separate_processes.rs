//! A deployment of plain processes: one platform, three engines, two entry VMs in two availability zones.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use std::{fs, thread};

use boragecove_wire::path;
use serde_json::{Value, json};

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// Tokens of the stream that a stopping entry VM finishes.
const TOKENS: usize = 300;

/// A process that ends with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ended_already = self.0.kill();
        let _reaped = self.0.wait();
    }
}

/// Starts a process and reads the first line that it writes and that `find` takes.
fn start<T>(arguments: &[&str], find: impl Fn(&str) -> Option<T>) -> (Process, T) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_boragecoved"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a process");
    let said: Box<dyn Read + Send> = match arguments[0] {
        "run" => Box::new(child.stderr.take().expect("its stderr")),
        _ => Box::new(child.stdout.take().expect("its stdout")),
    };
    let process = Process(child);
    let mut lines = BufReader::new(said).lines();
    let found =
        lines.by_ref().find_map(|line| find(&line.expect("a line"))).expect("it says where it listens");
    // Nobody reads the rest, and a full pipe would hold the process up.
    thread::spawn(move || lines.for_each(drop));
    (process, found)
}

fn stand_in(arguments: &[&str]) -> (Process, SocketAddr) {
    start(&[&["dev"], arguments].concat(), |line| line.split_once("http://")?.1.parse().ok())
}

/// Where an entry VM listens.
struct Entry {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

fn entry(n: usize, zone: &str, platform: SocketAddr) -> (Process, Entry) {
    let settings = json!({
        "vm": format!("entry-{n}"),
        "zone": zone,
        "listen": { "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0" },
        "platform": { "table": platform, "objects": platform, "vms": platform },
        "peer-secret": "peers",
        "operator-token": "operators",
        "timeouts": { "balancer-grace": "100ms" },
        "control": { "list-every": "50ms", "poll-every": "50ms", "plan-every": "50ms", "config-every": "100ms" },
    });
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("separate-processes-{n}.jsonc"));
    fs::write(&file, settings.to_string()).expect("a settings file");
    start(&["run", "--settings", file.to_str().expect("a path")], |line| {
        let event: Value = serde_json::from_str(line).ok()?;
        let address = |whom: &str| event[whom].as_str()?.parse().ok();
        Some(Entry {
            callers: address("callers")?,
            peers: address("peers")?,
            operators: address("operators")?,
        })
    })
}

async fn post(to: SocketAddr, path: &str, body: &Value) -> (u16, String) {
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    let request = client.post(format!("http://{to}{path}")).bearer_auth("operators");
    let mut answer = request.send_json(body).await.expect("an answer");
    let text = answer.body().await.expect("a body");
    (answer.status().as_u16(), String::from_utf8_lossy(&text).into_owned())
}

async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("waited in vain: {what}"));
}

fn document() -> Value {
    json!({
        "inventory": {
            "groups": [{ "name": "engines", "kind": "engine", "memory_mb": 24_000, "slots": 8 }],
            "models": [{
                "name": "briefing", "group": "engines", "versions": [{ "name": "1", "memory_mb": 9_000 }],
            }],
        },
    })
}

#[actix_web::test]
async fn two_zones() {
    let (_platform, platform) =
        stand_in(&["platform", "--loads-per-second", "100", "--mb-per-second", "1000000"]);
    let at = platform.to_string();
    let engines: Vec<Process> = [("engine-1", "hall-a"), ("engine-2", "hall-a"), ("engine-3", "hall-b")]
        .into_iter()
        .map(|(name, zone)| {
            let names = ["engine", "--name", name, "--zone", zone, "--platform", &at];
            stand_in(&[names.as_slice(), &["--group", "engines", "--memory-mb", "24000"]].concat()).0
        })
        .collect();
    assert_eq!(engines.len(), 3);
    let mut entries: Vec<(Process, Entry)> =
        ["hall-a", "hall-b"].iter().enumerate().map(|(n, zone)| entry(n + 1, zone, platform)).collect();
    for (n, (zone, (_, entry))) in ["hall-a", "hall-b"].iter().zip(&entries).enumerate() {
        let name = format!("entry-{}", n + 1);
        let vm =
            json!({ "name": name, "zone": zone, "address": entry.peers, "role": "entry", "phase": "live" });
        assert_eq!(post(platform, path::VMS, &vm).await.0, 204);
    }
    let apply = json!({ "apply": { "document": document(), "base": null, "who": "test" } });
    let operators = entries[0].1.operators;
    until("applied", async || post(operators, path::OPERATOR, &apply).await.1.contains("applied")).await;
    for (_, entry) in &entries {
        let body = json!({ "model": "briefing", "prompt": "p", "max_tokens": 5, "stream": true });
        until("answered", async || {
            let (status, text) = post(entry.callers, path::COMPLETIONS, &body).await;
            status == 200 && text.ends_with("id: 5\ndata: [DONE]\n\n")
        })
        .await;
    }
    for (process, entry) in &mut entries {
        stop_while_streaming(&mut process.0, entry.callers).await;
    }
}

/// Asks a process to stop while a stream is open: the stream comes whole, and the process ends well.
async fn stop_while_streaming(process: &mut Child, callers: SocketAddr) {
    let body = json!({ "model": "briefing", "prompt": "p", "max_tokens": TOKENS, "stream": true });
    let request =
        awc::Client::builder().timeout(PATIENCE).finish().post(format!("http://{callers}/v1/completions"));
    let mut answer = request.send_json(&body).await.expect("an answer");
    assert_eq!(answer.status(), 200);
    let told = Command::new("kill").args(["-TERM", &process.id().to_string()]).status().expect("a signal");
    assert!(told.success());
    let text = answer.body().limit(1 << 20).await.expect("a whole body");
    let text = String::from_utf8_lossy(&text);
    assert_eq!(text.matches("\"choices\"").count(), TOKENS);
    assert!(text.ends_with("data: [DONE]\n\n"), "the stream has its end mark");
    let ended = process.wait().expect("an end");
    assert!(ended.success(), "{ended}");
}
