//! `diff`: compares documents with the configuration in force.

use serde::Serialize;

use crate::client::Client;
use crate::cmd::{in_force, note_none};
use crate::console::Console;
use crate::diff::{self, Change};
use crate::error::Error;
use crate::files;
use crate::options::{Options, Output};

/// The result as JSON.
#[derive(Debug, Serialize)]
struct Report {
    base: u64,
    changes: Vec<Change>,
}

/// Compares and prints the differences.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let (base, before) = in_force(&client).await?;
    note_none(base, console)?;
    let mut document = before.clone();
    files::overlay(&options.operands, &mut document)?;
    let changes = diff::documents(&before, &document)?;
    if options.output == Output::Json {
        return console.json(&Report { base, changes });
    }
    if changes.is_empty() {
        return console.line(format!("no changes to version {base}"));
    }
    for change in changes {
        console.line(change)?;
    }
    Ok(())
}
