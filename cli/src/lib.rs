//! The operators' client: applies inventories and rules, and shows what the deployment does.
//!
//! It keeps nothing: each call asks one entry VM, and prints what that one knows.

pub mod client;
pub mod cmd;
pub mod command;
pub mod completion;
pub mod console;
pub mod diff;
pub mod environment;
pub mod error;
pub mod files;
pub mod flag;
pub mod help;
pub mod options;
pub mod table;
pub mod wait;

use std::ffi::OsString;

use crate::console::Console;
use crate::environment::Environment;
use crate::error::{Class, Error};
use crate::options::Options;

/// Runs one command line, without the program's name, and returns the class of its end.
pub async fn run(
    args: impl IntoIterator<Item = OsString>,
    environment: Environment,
    console: &mut Console<'_>,
) -> Class {
    let mut options = Options::new(environment);
    let result = match options.read(args) {
        Ok(()) => cmd::run(&options, console).await,
        Err(refused) => Err(refused),
    };
    match result {
        Ok(()) => Class::Done,
        Err(error) if error.is_closed_pipe() => Class::Done,
        Err(error) => report(&error, &options, console),
    }
}

fn report(error: &Error, options: &Options, console: &mut Console<'_>) -> Class {
    // There is nowhere left to say that standard error is closed.
    let _closed = error.write(options.output, console.err);
    error.class()
}
