//! A deployment put together from plain processes: one platform, three engines, two entry VMs in two zones.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use awc::Client;
use serde_json::{Value, json};

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(25);
/// Tokens of the stream that a stopping entry VM finishes.
const TOKENS: usize = 300;

/// A process that ends with the test.
struct Process {
    child: Child,
    lines: mpsc::Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _already_ended = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Process {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_boragecoved"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let (sender, lines) = mpsc::channel();
        let (out, err) = (child.stdout.take().expect("stdout"), child.stderr.take().expect("stderr"));
        let (to_out, to_err) = (sender.clone(), sender);
        thread::spawn(move || {
            BufReader::new(out).lines().map_while(Result::ok).all(|l| to_out.send(l).is_ok())
        });
        thread::spawn(move || {
            BufReader::new(err).lines().map_while(Result::ok).all(|l| to_err.send(l).is_ok())
        });
        Self { child, lines }
    }

    /// The first line that `pick` takes.
    fn line<T>(&self, pick: impl Fn(&str) -> Option<T>) -> T {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).expect("a line");
            if let Some(found) = pick(&line) {
                return found;
            }
        }
    }

    /// The address that a stand-in prints.
    fn address(&self) -> String {
        self.line(|line| Some(line.split_once("http://")?.1.trim().to_owned()))
    }
}

/// An entry VM's process with its addresses.
struct Entry {
    process: Process,
    callers: String,
    operators: String,
    peers: String,
}

fn entry(folder: &std::path::Path, zone: &str, platform: &str) -> Entry {
    let settings = json!({
        "vm": format!("entry-{zone}"), "zone": zone, "peer-secret": "s", "operator-token": "t",
        "listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
        "platform": {"table": platform, "objects": platform, "vms": platform},
        "timeouts": {"balancer-grace": "100ms"},
    });
    let file = folder.join(format!("{zone}.jsonc"));
    std::fs::write(&file, settings.to_string()).expect("a settings file");
    let process = Process::start(&["run", "--settings", file.to_str().expect("a path")]);
    let started = process.line(|line| {
        let event: Value = serde_json::from_str(line).ok()?;
        (event["message"] == "started").then_some(event)
    });
    let address = |whom: &str| started[whom].as_str().expect("an address").to_owned();
    let (callers, operators, peers) = (address("callers"), address("operators"), address("peers"));
    Entry { process, callers, operators, peers }
}

fn document() -> Value {
    json!({
        "inventory": {
            "groups": [{"name": "writer", "kind": "engine", "memory_mb": 24000, "slots": 8, "checks_fences": true}],
            "models": [{"name": "brief", "group": "writer", "versions": [{"name": "1", "memory_mb": 9000}]}],
            "services": [],
        },
        "rules": {},
    })
}

async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(LOOK).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("waited in vain: {what}"));
}

async fn status(url: String) -> u16 {
    Client::default().get(url).send().await.map_or(0, |response| response.status().as_u16())
}

async fn ask(entry: &Entry, query: &Value) -> Value {
    let url = format!("http://{}/operator", entry.operators);
    let answer = Client::default().post(url).bearer_auth("t").send_json(query).await;
    answer.expect("an answer").json().await.expect("JSON")
}

#[actix_web::test]
async fn two_zones() {
    let folder = std::env::temp_dir().join(format!("boragecove-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let platform = Process::start(&["dev", "platform", "--loads-per-second", "50"]);
    let platform_at = platform.address();
    let engines = ["zone-a", "zone-a", "zone-b"].iter().enumerate().map(|(at, zone)| {
        let name = format!("writer-{at}");
        let args = ["dev", "engine", "--group", "writer", "--memory-mb", "24000", "--name", &name];
        Process::start(&[&args[..], &["--zone", zone, "--platform", &platform_at]].concat())
    });
    let _engines: Vec<Process> = engines.collect();
    let mut entries: Vec<Entry> = ["zone-a", "zone-b"].map(|zone| entry(&folder, zone, &platform_at)).into();
    for (entry, zone) in entries.iter().zip(["zone-a", "zone-b"]) {
        let vm = json!({
            "name": format!("entry-{zone}"), "zone": zone, "address": entry.peers, "role": "entry", "phase": "live",
        });
        let put = Client::default().post(format!("http://{platform_at}/vms")).send_json(&vm).await;
        assert!(put.expect("an answer").status().is_success());
    }

    let apply = json!({"apply": {"document": document(), "base": null, "who": "test", "dry_run": false}});
    until("accepted", async || ask(&entries[0], &apply).await.get("applied").is_some()).await;
    for entry in &entries {
        until("ready", async || status(format!("http://{}/ready", entry.callers)).await == 200).await;
    }

    let body = json!({"model": "brief", "prompt": "p", "max_tokens": TOKENS, "stream": true});
    for entry in &mut entries {
        let url = format!("http://{}/v1/completions", entry.callers);
        let mut response = Client::default().post(url).send_json(&body).await.expect("an answer");
        assert_eq!(response.status(), 200);
        // A planned stop while the stream is open cuts nothing.
        let pid = entry.process.child.id().to_string();
        let told = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal");
        assert!(told.success());
        let text = response.body().limit(1 << 20).await.expect("a whole body");
        let text = String::from_utf8_lossy(&text);
        assert_eq!(text.matches("\"choices\"").count(), TOKENS);
        assert!(text.trim_end().ends_with("data: [DONE]"), "an end mark");
        let ended = entry.process.child.wait().expect("an end");
        assert!(ended.success(), "{ended}");
    }
    let _folder_left = std::fs::remove_dir_all(&folder);
}
