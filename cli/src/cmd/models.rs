//! `models`: lists artifacts and where they are, or says why one is there.

use boragecove_core::engine::Stage;
use boragecove_core::operator::{Answer, Held, Query};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::{self, Table};

/// Asks for the artifacts, or for the explanation of one model, and prints them.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    if let Some(model) = &options.explain {
        return explain(&client, model, options, console).await;
    }
    let Answer::Models(models) = client.ask(&Query::Models).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&models);
    }
    let mut table = Table::new([
        "ARTIFACT",
        ">MEMORY MB",
        "COPIES IN THE ZONE",
        "OTHER ZONES",
        ">REQUESTS/S",
        ">WAITING",
    ]);
    for model in models {
        table.row([
            model.artifact.to_string(),
            model.memory_mb.to_string(),
            table::list(model.copies.iter().map(copy)),
            table::list(&model.zones),
            format!("{:.1}", model.demand),
            model.waiting.to_string(),
        ]);
    }
    console.text(&table.to_string())
}

fn copy(held: &Held) -> String {
    match held.stage {
        Stage::Ready => held.engine.to_string(),
        Stage::Loading => format!("{} (loading)", held.engine),
        Stage::Dropping => format!("{} (dropping)", held.engine),
    }
}

async fn explain(
    client: &Client,
    model: &str,
    options: &Options,
    console: &mut Console<'_>,
) -> Result<(), Error> {
    let Answer::Explanation(lines) = client.ask(&Query::Explain(model.into())).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&lines);
    }
    let mut table = Table::plain();
    for line in lines {
        table.row([line.to_string()]);
    }
    console.text(&table.to_string())
}
