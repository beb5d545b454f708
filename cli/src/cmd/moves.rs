//! `moves`: lists the latest decisions of control, newest first, with the cause of each.

use boragecove_core::audit::{Act, Cause, Record};
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
        act(&record.act),
        cause(record.cause).to_owned(),
    ]
}

fn act(act: &Act) -> String {
    match act {
        Act::LeaseTaken(fence) => format!("took the lease, fence {}", fence.0),
        Act::LeaseLeft(fence) => format!("left the lease, fence {}", fence.0),
        Act::Load { engine, artifact, .. } => format!("load {artifact} on {engine}"),
        Act::Unload { engine, artifact, .. } => format!("unload {artifact} from {engine}"),
        Act::Role { engine, role, .. } => format!("role of {engine} to {role:?}").to_lowercase(),
        Act::Cancel { order, engine } => format!("cancel order {order} at {engine}"),
        Act::Configured(version) => format!("version {version} in force"),
    }
}

fn cause(cause: Cause) -> &'static str {
    match cause {
        Cause::Unreachable => "no copy was loaded",
        Cause::Demand => "demand grew",
        Cause::Idle => "demand went",
        Cause::Undeclared => "no longer declared here",
        Cause::Version => "another version",
        Cause::Expired => "the holder was gone",
        Cause::Vacant => "nobody held it",
        Cause::Stopping => "shutting down",
        Cause::Superseded => "someone else took it",
        Cause::Operator => "an operator",
        Cause::Copies => "fewer copies than the rules ask for",
        Cause::Room => "memory was needed",
        Cause::Leaving => "its engine is leaving",
        Cause::Lost => "the answer was lost",
    }
}
