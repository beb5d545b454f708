//! Servers that give each request the same bytes in answer, and end the connection.

#![allow(dead_code, reason = "each test uses what it needs")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Time in which what was sent is read before the connection ends.
const PAUSE: Duration = Duration::from_millis(5);

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// In order; what still arrives is read.
    Closed,
    /// With a reset.
    Reset,
}

/// Heads that are none, without their last line.
pub const HEADS: [&str; 8] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 200 OK\r\nX-Part : 1",
    "HTTP/1.1 200 OK\r\nX-Part\t: 1",
    "HTTP/1.1 200 OK\r\nX\x01Part: 1",
    "HTTP/1.1 200 OK\r\nX-Part: 1\x7f",
    "HTTP/1.1 200 OK\r\nContent-Length : 2",
];

/// A server.
#[derive(Debug)]
pub struct Server {
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    pub fn start(answer: String, end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let requests = Arc::default();
        let server = Self { address, requests: Arc::clone(&requests) };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (answer, requests) = (answer.clone(), Arc::clone(&requests));
                thread::spawn(move || serve(stream, &answer, end, &requests));
            }
        });
        server
    }

    /// Number of requests that it has read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Starts a server.
pub fn server(answer: String, end: End) -> SocketAddr {
    Server::start(answer, end).address
}

fn serve(mut stream: TcpStream, answer: &str, end: End, requests: &AtomicUsize) {
    if !read_request(&mut stream) {
        return;
    }
    requests.fetch_add(1, Ordering::Relaxed);
    if stream.write_all(answer.as_bytes()).is_err() {
        return;
    }
    match end {
        End::Closed => {
            let _left = stream.shutdown(Shutdown::Write);
            while matches!(stream.read(&mut [0; 1_024]), Ok(count) if count > 0) {}
        }
        End::Reset => reset(stream),
    }
}

/// Resets a connection, once what was sent had time to be read.
pub fn reset(stream: TcpStream) {
    thread::sleep(PAUSE);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().expect("builds");
    let _guard = runtime.enter();
    stream.set_nonblocking(true).expect("sets");
    tokio::net::TcpStream::from_std(stream).expect("registers").set_zero_linger().expect("sets");
}

/// Reads a request with its body. Returns whether there was one.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return true;
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}
