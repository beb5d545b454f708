//! `engines`: lists engines, their memory and load.

use boragecove_core::operator::{Answer, Engine, Query};
use boragecove_core::vm::Phase;

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::{self, Table};

/// Asks for the engines and prints them.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let Answer::Engines(engines) = client.ask(&Query::Engines).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&engines);
    }
    let mut table = Table::new([
        "ENGINE",
        "GROUP",
        "ZONE",
        "STATE",
        "ROLE",
        ">MEMORY MB",
        ">RESERVED MB",
        ">RUNNING",
        ">WAITING",
        ">COPIES",
        ">REPORT AGE",
    ]);
    for engine in engines {
        table.row([
            engine.name.to_string(),
            engine.group.to_string(),
            engine.zone.to_string(),
            state(&engine).to_owned(),
            engine.role.to_string(),
            engine.memory_mb.to_string(),
            engine.reserved_mb.to_string(),
            engine.running.to_string(),
            engine.waiting.to_string(),
            engine.copies.to_string(),
            table::age(engine.report_age_ms),
        ]);
    }
    console.text(&table.to_string())
}

fn state(engine: &Engine) -> &'static str {
    match (engine.phase, engine.suspected) {
        (Phase::Leaving, _) => "leaving",
        (Phase::Live, true) => "suspected",
        (Phase::Live, false) => "live",
    }
}
