//! `report`: sums up status, unreachable models, memory and refused requests.

use boragecove_core::engine::Stage;
use boragecove_core::operator::{Answer, Counts, Engine, Model, Query, Status};
use serde::Serialize;

use crate::client::Client;
use crate::cmd::status;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::Table;

/// What one entry VM says, as JSON.
#[derive(Debug, Serialize)]
struct Report {
    status: Status,
    unreachable: Vec<Model>,
    engines: Vec<Engine>,
    counts: Counts,
}

/// Asks for all parts and prints them.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let report = collect(&client).await?;
    if options.output == Output::Json {
        return console.json(&report);
    }
    console.text(&status::table(&report.status).to_string())?;
    section(console, "Unreachable artifacts", "none", &unreachable(&report.unreachable))?;
    section(console, "Memory of the zone's engines", "no engine is known", &memory(&report.engines))?;
    section(console, "Requests since this entry VM started", "none", &ended(&report.counts))?;
    section(console, "Tries that were followed by another", "none", &retried(&report.counts))
}

async fn collect(client: &Client) -> Result<Report, Error> {
    let Answer::Status(status) = client.ask(&Query::Status).await? else {
        return Err(client.mismatched());
    };
    let Answer::Models(models) = client.ask(&Query::Models).await? else {
        return Err(client.mismatched());
    };
    let Answer::Engines(engines) = client.ask(&Query::Engines).await? else {
        return Err(client.mismatched());
    };
    let Answer::Counts(counts) = client.ask(&Query::Counts).await? else {
        return Err(client.mismatched());
    };
    let unreachable = models.into_iter().filter(|model| !is_reachable(model)).collect();
    Ok(Report { status: *status, unreachable, engines, counts })
}

fn is_reachable(model: &Model) -> bool {
    !model.zones.is_empty() || model.copies.iter().any(|held| held.stage == Stage::Ready)
}

fn section(console: &mut Console<'_>, head: &str, none: &str, table: &Table) -> Result<(), Error> {
    console.text(&format!("\n{head}\n"))?;
    if table.is_empty() {
        return console.line(format!("  {none}"));
    }
    console.text(&table.to_string())
}

fn unreachable(models: &[Model]) -> Table {
    let mut table = Table::new(["  ARTIFACT", ">MEMORY MB", "ON ITS WAY TO", ">WAITING"]);
    for model in models {
        let coming = model.copies.iter().filter(|held| held.stage == Stage::Loading);
        table.row([
            format!("  {}", model.artifact),
            model.memory_mb.to_string(),
            crate::table::list(coming.map(|held| &held.engine)),
            model.waiting.to_string(),
        ]);
    }
    table
}

fn memory(engines: &[Engine]) -> Table {
    let mut table = Table::new(["  ENGINE", ">MEMORY MB", ">RESERVED MB", ">FREE MB", ">RESERVED %"]);
    for engine in engines {
        let percent = (engine.reserved_mb * 100).checked_div(engine.memory_mb);
        table.row([
            format!("  {}", engine.name),
            engine.memory_mb.to_string(),
            engine.reserved_mb.to_string(),
            engine.memory_mb.saturating_sub(engine.reserved_mb).to_string(),
            percent.map_or_else(|| "-".to_owned(), |percent| percent.to_string()),
        ]);
    }
    table
}

fn ended(counts: &Counts) -> Table {
    let mut table = Table::new([">  CODE", "LABEL", ">REQUESTS", "MEANING"]);
    for ended in &counts.ended {
        let code = ended.code;
        let (number, count) = (format!("  {}", code.number()), ended.count.to_string());
        table.row([number, code.label().to_owned(), count, code.meaning().to_owned()]);
    }
    table
}

fn retried(counts: &Counts) -> Table {
    let mut table = Table::new(["  REASON", ">TRIES"]);
    for retried in &counts.retried {
        table.row([format!("  {}", retried.reason), retried.count.to_string()]);
    }
    table
}
