//! Entry VMs: the project's program, started with the deploy file's command and environment and with settings by its template.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// A running entry VM. It is killed when it is dropped.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub watchers: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

/// The folder of the run, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("boragecove-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _left_behind = fs::remove_dir_all(&self.0);
    }
}

unsafe extern "C" {
    fn prctl(option: i32, signal: u64, ...) -> i32;
}

/// The process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Makes a process end with this one.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    // SAFETY: the call only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// A free port of this machine, below those that connections get by themselves, and not handed out before by this process.
pub fn free() -> std::io::Result<SocketAddr> {
    static HANDED_OUT: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    for _try in 0..COUNT {
        let at = std::process::id().wrapping_mul(97).wrapping_add(HANDED_OUT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let port = u16::try_from(FIRST + at).map_err(std::io::Error::other)?;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(std::io::Error::other("no port is free"))
}

/// Starts the program with this settings file. Its log goes on beside the file.
pub fn spawn(settings: &Path) -> std::io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(settings.with_extension("log"))?;
    let program = std::env::var("BORAGECOVED").unwrap_or_else(|_| "target/release/boragecoved".to_owned());
    let mut command = Command::new(program);
    command
        .args(["serve", "--settings"])
        .arg(settings)
        .env("MIMALLOC_PURGE_DELAY", "0")
        .env("MIMALLOC_ALLOW_THP", "0")
        .env("MIMALLOC_ARENA_EAGER_COMMIT", "0")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    end_with_parent(&mut command).spawn()
}

impl Vm {
    /// Kills the process, and starts it again after this time with the same settings.
    pub fn kill_and_start(&mut self, down: Duration) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        thread::sleep(down);
        self.child = spawn(&self.settings)?;
        Ok(())
    }

    /// Starts one. `more` are further members of its settings, each with a comma behind it.
    pub fn start(folder: &Folder, name: &str, zone: &str, store: SocketAddr, more: &str) -> std::io::Result<Self> {
        let (callers, watchers, peers) = (free()?, free()?, free()?);
        let settings = folder.0.join(format!("{name}.json"));
        fs::write(
            &settings,
            format!(
                r#"{{"vm":"{name}","zone":"{zone}","listen":{{"callers":"{callers}","watchers":"{watchers}","peers":"{peers}"}},
"store":"{store}",{more}"machine":{{"cores":0.5,"link-mbps":200}},"grace":"8s"}}"#
            ),
        )?;
        let child = spawn(&settings)?;
        Ok(Self { name: name.to_owned(), zone: zone.to_owned(), callers, watchers, child, settings })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `-STOP`, to this process alone.
    pub fn signal(&self, signal: &str) {
        let _sent = Command::new("kill").args([signal, &self.pid().to_string()]).status();
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.watchers, "GET /api/ready HTTP/1.1", &[("Host", "x")], b"", Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, within: Duration) -> Result<(), String> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// The lines of its log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

/// The process among `pids` that has the socket with this local port; it stands for the address of the sending machine, which all stand-ins
/// of one machine share.
pub fn owner_of_port(port: u16, pids: &[u32]) -> Option<u32> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let inode = table.lines().skip(1).find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let local = columns.get(1)?.split_once(':')?.1;
        (u16::from_str_radix(local, 16).ok()? == port).then(|| columns.get(9).map(|inode| (*inode).to_owned()))?
    })?;
    let wanted = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| {
        let Ok(links) = fs::read_dir(format!("/proc/{pid}/fd")) else {
            return false;
        };
        links.flatten().any(|link| fs::read_link(link.path()).is_ok_and(|to| to.to_string_lossy() == wanted))
    })
}
