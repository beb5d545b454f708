//! The commands, one file each.

mod apply;
mod codes;
mod completions;
mod diff;
mod drain;
mod engines;
mod get;
mod history;
mod members;
mod models;
mod moves;
mod report;
mod status;

use boragecove_core::config::Document;
use boragecove_core::operator::{Answer, Query};

use crate::client::Client;
use crate::command::Command;
use crate::console::Console;
use crate::error::Error;
use crate::help;
use crate::options::{Info, Options};

/// Runs the command of `options`.
///
/// # Errors
///
/// Whatever keeps the command from its result.
pub async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    match (options.info, options.command) {
        (Some(Info::Release), _) => console.line(format!("boragecove {}", env!("CARGO_PKG_VERSION"))),
        (Some(Info::Help), Some(command)) => console.text(&help::command(command)),
        (_, None) => console.text(&help::program()),
        (None, Some(command)) => run_command(command, options, console).await,
    }
}

async fn run_command(command: Command, options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    match command {
        Command::Apply => apply::run(options, console).await,
        Command::Get => get::run(options, console).await,
        Command::Diff => diff::run(options, console).await,
        Command::History => history::run(options, console).await,
        Command::Status => status::run(options, console).await,
        Command::Models => models::run(options, console).await,
        Command::Engines => engines::run(options, console).await,
        Command::Members => members::run(options, console).await,
        Command::Moves => moves::run(options, console).await,
        Command::Report => report::run(options, console).await,
        Command::Drain => drain::run(options, console).await,
        Command::Codes => codes::run(options, console),
        Command::Completions => completions::run(options, console),
    }
}

/// The configuration in force, with its version.
async fn in_force(client: &Client) -> Result<(u64, Document), Error> {
    match client.ask(&Query::Config).await? {
        Answer::Config { version, document } => Ok((version, Document::clone(&document))),
        _ => Err(client.mismatched()),
    }
}

/// Says so where no configuration is in force: an entry VM that has just started may not have read it.
fn note_none(version: u64, console: &mut Console<'_>) -> Result<(), Error> {
    if version > 0 {
        return Ok(());
    }
    console.progress("note: no configuration is in force at this entry VM")
}
