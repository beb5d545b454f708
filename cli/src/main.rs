//! `boragecove`: the operators' client.

use std::env;
use std::io;
use std::process::ExitCode;

use boragecove_cli::console::Console;
use boragecove_cli::environment::Environment;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

#[actix_rt::main]
async fn main() -> ExitCode {
    let mut out = io::stdout().lock();
    let mut err = io::stderr().lock();
    let mut console = Console { out: &mut out, err: &mut err };
    boragecove_cli::run(env::args_os().skip(1), Environment::read(), &mut console).await.into()
}
