//! `history`: lists the latest changes of the configuration, newest first.

use boragecove_core::operator::{Answer, Query};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::{self, Table};

/// Asks for the history and prints it.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let Answer::History(changes) = client.ask(&Query::History).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&changes);
    }
    let mut table = Table::new([">VERSION", "AT", "WHO", "OPERATION", "NOTE"]);
    for change in changes {
        let at = table::moment(change.at);
        let (version, op) = (change.version.to_string(), change.op.to_string());
        table.row([version, at, change.who.to_string(), op, change.note.to_string()]);
    }
    console.text(&table.to_string())
}
