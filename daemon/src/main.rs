//! `boragecoved`: the daemon of an entry VM.

use std::process::ExitCode;

use boragecove_daemon::cmd;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    match cmd::Command::parse().and_then(cmd::Command::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("boragecoved: {error}");
            error.exit_code()
        }
    }
}
