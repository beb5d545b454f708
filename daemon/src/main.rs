//! `boragecoved`: the daemon of an entry VM.

mod allocator;

use std::process::ExitCode;

use boragecove_daemon::cmd;

fn main() -> ExitCode {
    allocator::return_freed_memory();
    match cmd::Command::parse().and_then(cmd::Command::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("boragecoved: {error}");
            error.exit_code()
        }
    }
}
