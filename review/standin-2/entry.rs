//! Entry VMs as processes, started by the command of `deploy/system.toml` with settings as `deploy/entry.jsonc` gives them.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json;
use crate::store::Store;

pub struct Entry {
    child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub watchers: SocketAddr,
}

/// What the platform knows of a machine, beyond its name and zone.
#[derive(Clone, Copy)]
pub struct Machine {
    pub cores: f64,
    pub link_mbps: f64,
    pub memory_mb: u32,
    pub descriptors: u32,
}

impl Default for Machine {
    fn default() -> Self {
        Self { cores: 0.25, link_mbps: 1000.0, memory_mb: 260, descriptors: 4_100 }
    }
}

impl Entry {
    /// Starts an entry VM and waits until it says that it is ready.
    pub fn start(folder: &Path, name: &str, zone: &str, machine: Machine, store: &Store) -> Self {
        let Machine { cores, link_mbps, memory_mb, descriptors } = machine;
        let text = format!(
            r#"{{
  "vm": "{name}", "zone": "{zone}",
  "listen": {{ "callers": "127.0.0.1:0", "watchers": "127.0.0.1:0", "peers": "127.0.0.1:0" }},
  "store": "{store}",
  "machine": {{ "cores": {cores}, "link-mbps": {link_mbps}, "memory-mb": {memory_mb}, "descriptors": {descriptors} }},
  "grace": "8s",
  "repeats": {{ "ratio": 0.2, "slack": 58, "window": "10s" }},
  "changes": {{ "departures-within": "2000ms", "config-within": "2000ms" }},
  "regions": [
    {{ "zone": "hall-a", "region": "se-central" }},
    {{ "zone": "hall-b", "region": "se-central" }},
    {{ "zone": "hall-c", "region": "se-central" }}
  ],
  "orders": {{ "gap": "3000ms", "load-window": "5s" }}
}}"#,
            store = store.address
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("writes the settings");
        let mut child = Command::new("target/release/boragecoved")
            .args(["serve", "--settings"])
            .arg(&settings)
            .env("MIMALLOC_PURGE_DELAY", "0")
            .env("MIMALLOC_ALLOW_THP", "0")
            .env("MIMALLOC_ARENA_EAGER_COMMIT", "0")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/boragecoved was built");
        let mut log = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a first line");
        let started = json::parse(line.trim()).expect("the first line is JSON");
        let address = |name: &str| started.get(name).text().parse().expect("the first line states the addresses");
        let (callers, watchers) = (address("callers"), address("watchers"));
        // The rest of the log is kept beside the settings.
        let kept = folder.join(format!("{name}.log"));
        thread::spawn(move || {
            let mut out = fs::File::create(kept).expect("writes the log");
            let _ = std::io::copy(&mut log, &mut out);
        });
        Self { child, settings, callers, watchers }
    }

    /// Whether it says that it is ready, as the platform's balancer asks it.
    pub fn is_ready(&self) -> bool {
        ask(self.watchers).is_some_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(Instant::now() < end, "an entry VM is not ready in time");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Id of its process.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill -{name} failed");
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

fn ask(watchers: SocketAddr) -> Option<u16> {
    let stream = std::net::TcpStream::connect_timeout(&watchers, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    let mut connection = Connection::new(stream);
    use std::io::Write;
    connection.stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    connection.head().ok()?.map(|head| head.status())
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
