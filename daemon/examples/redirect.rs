//! For tests: sends a process's connections elsewhere, so that the way from one process to another can be cut on one machine.
//!
//! Loaded into a process by `LD_PRELOAD`. The file that `BORAGECOVE_TEST_WAYS` names has a line for each port of this machine that is not
//! to be connected to: the port, and the one that takes its place; 0 refuses the connection. It is read anew for each connection. The file that
//! `BORAGECOVE_TEST_OPTIONS` names gets a line for each option of a connection that decides when it is given up.

#![expect(unsafe_code, reason = "takes the place of a function of the C library")]

use std::fs::{self, OpenOptions};
use std::io::Write;

use nix::libc;

/// The port that takes the place of one, by the file; none where it says nothing of it.
fn place_of(port: u16) -> Option<u16> {
    let ways = fs::read_to_string(std::env::var_os("BORAGECOVE_TEST_WAYS")?).ok()?;
    let way = |line: &str| {
        let (from, to) = line.split_once(' ')?;
        Some((from.parse::<u16>().ok()?, to.parse::<u16>().ok()?))
    };
    ways.lines().filter_map(way).find(|(from, _)| *from == port).map(|(_, to)| to)
}

/// The C library's function of this name.
///
/// # Safety
///
/// As for that: `address` points to `length` bytes that hold an address.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    socket: libc::c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> libc::c_int {
    // SAFETY: the caller's address has at least the member that says which kind it is.
    let family = unsafe { (*address).sa_family };
    if libc::c_int::from(family) == libc::AF_INET {
        // SAFETY: an address of this kind has this shape.
        let mut changed = unsafe { address.cast::<libc::sockaddr_in>().read_unaligned() };
        match place_of(u16::from_be(changed.sin_port)) {
            Some(0) => {
                // SAFETY: the thread's own error number.
                unsafe { *libc::__errno_location() = libc::ECONNREFUSED };
                return -1;
            }
            Some(port) => changed.sin_port = port.to_be(),
            None => {}
        }
        let changed = &raw const changed;
        // SAFETY: the address lives until the call returns.
        return unsafe { libc::syscall(libc::SYS_connect, socket, changed, length) as libc::c_int };
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as libc::c_int }
}

/// Notes that an option was set.
fn note(option: &str) {
    let Some(file) = std::env::var_os("BORAGECOVE_TEST_OPTIONS") else {
        return;
    };
    if let Ok(mut file) = OpenOptions::new().create(true).append(true).open(file) {
        // A test that finds no line would pass: it looks for one of a connection of its own too.
        let _unwritten = writeln!(file, "{option}");
    }
}

/// The C library's function of this name.
///
/// # Safety
///
/// As for that: `value` points to `length` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn setsockopt(
    socket: libc::c_int,
    level: libc::c_int,
    name: libc::c_int,
    value: *const libc::c_void,
    length: libc::socklen_t,
) -> libc::c_int {
    match (level, name) {
        (libc::SOL_SOCKET, libc::SO_KEEPALIVE) => note("SO_KEEPALIVE"),
        (libc::IPPROTO_TCP, libc::TCP_USER_TIMEOUT) => note("TCP_USER_TIMEOUT"),
        (libc::IPPROTO_TCP, libc::TCP_NODELAY) => note("TCP_NODELAY"),
        _ => {}
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_setsockopt, socket, level, name, value, length) as libc::c_int }
}
