//! For tests: sends a process's connections elsewhere, so that the way from one process to another can be cut on one machine.
//!
//! Loaded into a process by `LD_PRELOAD`. The file that `BORAGECOVE_TEST_WAYS` names has a line for each port of this machine that is not
//! to be connected to: the port, and the one that takes its place; 0 refuses the connection. It is read anew for each connection.

#![expect(unsafe_code, reason = "takes the place of a function of the C library")]

use std::fs;

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
