//! `moves`: lists the latest decisions of control, newest first, with the cause of each.

use boragecove_core::audit::Record;
use boragecove_core::operator::{Answer, Query};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::{self, Table};

/// Asks for the records and prints them.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let Answer::Moves(records) = client.ask(&Query::Moves).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&records);
    }
    let mut table = Table::new(["AT", "ZONE", "DECIDED BY", "WHAT", "CAUSE"]);
    for record in records {
        table.row(cells(&record));
    }
    console.text(&table.to_string())?;
    note_decider(&client, console).await
}

/// Says who decides, if it is not the entry VM that was asked: each keeps its own records only.
async fn note_decider(client: &Client, console: &mut Console<'_>) -> Result<(), Error> {
    let Answer::Status(status) = client.ask(&Query::Status).await? else {
        return Err(client.mismatched());
    };
    match &status.lease_holder {
        Some(holder) if *holder == status.vm => Ok(()),
        Some(holder) => console.progress(format!(
            "note: these are the records of {}; {holder} decides for zone {} now",
            status.vm, status.zone
        )),
        None => console.progress(format!("note: nobody holds the lease of zone {}", status.zone)),
    }
}

fn cells(record: &Record) -> [String; 5] {
    [
        table::moment(record.at),
        record.zone.to_string(),
        record.vm.to_string(),
        record.act.to_string(),
        record.cause.to_string(),
    ]
}
