//! `members`: lists the entry VMs as one of them knows them.

use boragecove_core::operator::{Answer, Member, Query};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::{self, Table};

/// Asks for the entry VMs and prints them.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let Answer::Members(members) = client.ask(&Query::Members).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&members);
    }
    let mut table = Table::new(["ENTRY VM", "ZONE", "STATE", ">VERSION", ">LAST HEARD"]);
    for member in members {
        table.row([
            member.name.to_string(),
            member.zone.to_string(),
            state(&member).to_owned(),
            member.config.to_string(),
            table::age(member.heard_ms),
        ]);
    }
    console.text(&table.to_string())
}

fn state(member: &Member) -> &'static str {
    match (member.alive, member.leaving) {
        (false, _) => "silent",
        (true, true) => "leaving",
        (true, false) => "live",
    }
}
