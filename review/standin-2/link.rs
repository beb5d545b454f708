//! A slow link between callers and an entry VM: a proxy that carries so many bytes a second over all connections together,
//! with the segment size of Ethernet and small windows.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
/// Payload of a segment on Ethernet.
const SEGMENT_BYTES: i32 = 1_448;
/// Size of the receive buffer, which bounds the window.
const WINDOW_BYTES: i32 = 16 << 10;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SockAddrIn, length: u32) -> i32;
}

/// Connects with the segment size of Ethernet and a small window, as over a network instead of the loopback interface.
pub fn connect_as_over_ethernet(to: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return Err(std::io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain calls of the C library on a socket that this function owns.
    unsafe {
        let raw = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if raw < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(raw);
        let four = size_of::<i32>() as u32;
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, four);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, four);
        let ip: Ipv4Addr = *to.ip();
        let address = SockAddrIn {
            family: AF_INET as u16,
            port: to.port().to_be(),
            address: u32::from(ip).to_be(),
            zero: [0; 8],
        };
        if connect(stream.as_raw_fd(), &address, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Starts the link. Returns the address that callers connect to.
pub fn start(to: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(entry) = connect_as_over_ethernet(to) else {
                continue;
            };
            let _ = (caller.set_nodelay(true), entry.set_nodelay(true));
            let (Ok(caller_reads), Ok(entry_reads)) = (caller.try_clone(), entry.try_clone()) else {
                continue;
            };
            let free_at = Arc::clone(&free_at);
            thread::spawn(move || carry(caller_reads, entry, None));
            thread::spawn(move || carry(entry_reads, caller, Some((free_at, bytes_per_s))));
        }
    });
    address
}

/// Copies bytes from one side to the other until either ends, at the link's speed if there is one.
fn carry(mut from: TcpStream, mut to: TcpStream, speed: Option<(Arc<Mutex<Instant>>, f64)>) {
    let mut part = [0; 4 << 10];
    while let Ok(count @ 1..) = from.read(&mut part) {
        if let Some((free_at, bytes_per_s)) = &speed {
            let until = {
                let mut free_at = free_at.lock().expect("whole");
                *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(count as f64 / bytes_per_s);
                *free_at
            };
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
