//! The daemon's commands on log lines, run with some on standard input.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs a command. Returns its exit code, and what it wrote to standard output and to standard error.
pub fn run(arguments: &[&str], input: &str) -> (Option<i32>, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_boragecoved"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("runs");
    // A command that refuses its arguments reads nothing.
    let _closed = child.stdin.take().expect("piped").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}
