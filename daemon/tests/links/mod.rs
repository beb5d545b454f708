//! The ways from entry VMs as processes to engines, each through a proxy of its own, so that those of one process can be cut while others' are not.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// Bytes that a proxy passes on at once.
const PIECE: usize = 16 << 10;
/// Connections that fill a listener which accepts none.
const FILLED: usize = 8;

/// What a cut does to a process's connections to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All pass nothing any more, and new ones are not opened.
    Hung,
    /// All are reset, and new ones are refused.
    Reset,
    /// Those that are open live on, and new ones are refused.
    Refused,
}

impl Cut {
    pub const ALL: [Self; 3] = [Self::Hung, Self::Reset, Self::Refused];
}

/// One process's ways to the engines that it was told of.
pub struct Links {
    file: PathBuf,
    state: watch::Sender<Option<Cut>>,
    /// Each engine's port, and its proxy's.
    ports: Vec<(u16, u16)>,
    /// A port that takes no connection.
    hanging: u16,
    engines: mpsc::Sender<(SocketAddr, mpsc::Sender<u16>)>,
}

impl Links {
    /// Ways of a process of this name, to no engine yet.
    pub fn new(name: &str) -> Self {
        let file = std::env::temp_dir().join(format!("boragecove-ways-{name}-{}", std::process::id()));
        let (state, watched) = watch::channel(None);
        let (engines, added) = mpsc::channel::<(SocketAddr, mpsc::Sender<u16>)>();
        let (sender, hanging) = mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
            runtime.block_on(async move {
                let _filled = fill(&sender).await;
                // The thread ends with the process's ways.
                loop {
                    match added.try_recv() {
                        Ok((engine, told)) => serve(engine, &told, &watched).await,
                        Err(mpsc::TryRecvError::Empty) => {
                            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                        }
                        Err(mpsc::TryRecvError::Disconnected) => return,
                    }
                }
            });
        });
        let hanging = hanging.recv().expect("a port that hangs");
        let links = Self { file, state, ports: Vec::new(), hanging, engines };
        links.write();
        links
    }

    /// Opens the way to an engine.
    pub fn add(&mut self, engine: SocketAddr) {
        let (sender, port) = mpsc::channel();
        self.engines.send((engine, sender)).expect("runs");
        self.ports.push((engine.port(), port.recv().expect("a proxy")));
        self.write();
    }

    /// The options of connections that the process has set, by name.
    pub fn options(&self) -> BTreeSet<String> {
        let text = fs::read_to_string(self.options_file()).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }

    fn options_file(&self) -> PathBuf {
        self.file.with_extension("options")
    }

    /// What a process is to be started with.
    pub fn environment(&self) -> [(&'static str, PathBuf); 3] {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_boragecoved"));
        let library = program.with_file_name("examples").join("libredirect.so");
        assert!(library.exists(), "{}: build the examples of this package first", library.display());
        [
            ("LD_PRELOAD", library),
            ("BORAGECOVE_TEST_WAYS", self.file.clone()),
            ("BORAGECOVE_TEST_OPTIONS", self.options_file()),
        ]
    }

    /// Cuts all ways, or joins them again.
    pub fn cut(&self, cut: Option<Cut>) {
        self.state.send_replace(cut);
        self.write();
    }

    fn write(&self) {
        let place = |proxy: u16| match *self.state.borrow() {
            None => proxy,
            Some(Cut::Hung) => self.hanging,
            Some(Cut::Reset | Cut::Refused) => 0,
        };
        let lines = self.ports.iter().map(|(engine, proxy)| format!("{engine} {}\n", place(*proxy)));
        let new = self.file.with_extension("new");
        fs::write(&new, lines.collect::<String>()).expect("writes the ways");
        // Whoever reads finds the old file or the new one.
        fs::rename(&new, &self.file).expect("replaces the ways");
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        let _left_behind = fs::remove_file(&self.file);
        let _none_written = fs::remove_file(self.options_file());
    }
}

/// A listener whose queue is full and stays so: connections to it are not opened. It holds for as long as what is returned lives.
async fn fill(
    port: &mpsc::Sender<u16>,
) -> (TcpListener, Vec<tokio::task::JoinHandle<io::Result<TcpStream>>>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(1).expect("listens");
    let address = listener.local_addr().expect("an address");
    let filling = (0..FILLED).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    port.send(address.port()).expect("is waited for");
    (listener, filling)
}

/// Passes connections on to an engine.
async fn serve(engine: SocketAddr, told: &mpsc::Sender<u16>, watched: &watch::Receiver<Option<Cut>>) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port");
    told.send(listener.local_addr().expect("an address").port()).expect("is waited for");
    let watched = watched.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::spawn(pass(near, engine, watched.clone()));
        }
    });
}

async fn pass(mut near: TcpStream, engine: SocketAddr, mut watched: watch::Receiver<Option<Cut>>) {
    let Ok(mut far) = TcpStream::connect(engine).await else {
        return;
    };
    let (mut up, mut down) = (vec![0; PIECE], vec![0; PIECE]);
    loop {
        let cut = *watched.borrow_and_update();
        if cut == Some(Cut::Reset) {
            let _near_is_gone = near.set_zero_linger();
            let _far_is_gone = far.set_zero_linger();
            return;
        }
        let passes = cut != Some(Cut::Hung);
        tokio::select! {
            changed = watched.changed() => if changed.is_err() { return },
            read = near.read(&mut up), if passes => match read {
                Ok(count) if count > 0 && far.write_all(&up[..count]).await.is_ok() => {}
                _ => return,
            },
            read = far.read(&mut down), if passes => match read {
                Ok(count) if count > 0 && near.write_all(&down[..count]).await.is_ok() => {}
                _ => return,
            },
        }
    }
}
