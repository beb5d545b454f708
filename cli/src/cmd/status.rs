//! `status`: shows the deployment in short, as one entry VM sees it.

use boragecove_core::operator::{Answer, Query, Status};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::Table;

/// Asks for the status and prints it.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let Answer::Status(status) = client.ask(&Query::Status).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&status);
    }
    console.text(&table(&status).to_string())
}

pub(crate) fn table(status: &Status) -> Table {
    let mut table = Table::plain();
    let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
    row("entry VM", format!("{} in {}", status.vm, status.zone));
    row("requests", if status.ready { "taken" } else { "not taken" }.to_owned());
    row("configuration", version(status.config));
    let holder = status.lease_holder.as_ref();
    row(
        "lease of the zone",
        holder.map_or_else(|| "held by nobody".to_owned(), |vm| format!("held by {vm}")),
    );
    row("platform's table", if status.table_up { "answers" } else { "does not answer" }.to_owned());
    row("open", format!("{} requests, {} of them waiting", status.open, status.queued));
    row("artifacts", format!("{} declared, {} reachable", status.artifacts, status.reachable));
    row("engines", format!("{} in the zone, {} orders under way", status.engines, status.moves_under_way));
    table
}

fn version(version: u64) -> String {
    match version {
        0 => "none yet".to_owned(),
        version => format!("version {version}"),
    }
}
