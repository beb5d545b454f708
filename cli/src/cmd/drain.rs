//! `drain`: takes a backend server out of use, or back into it.

use boragecove_core::operator::{Answer, Query};
use serde::Serialize;

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};

/// The result as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    backend: &'a str,
    out: bool,
}

/// Tells the entry VM, which tells the others of the zone.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let backend = options.operands.first().map(|name| name.to_string_lossy()).unwrap_or_default();
    let out = !options.undo;
    let Answer::Done = client.ask(&Query::Drain { backend: backend.as_ref().into(), out }).await? else {
        return Err(client.mismatched());
    };
    if options.output == Output::Json {
        return console.json(&Report { backend: &backend, out });
    }
    if out {
        return console
            .line(format!("{backend} gets no new work; `boragecove engines` shows what still runs there"));
    }
    console.line(format!("{backend} is in use again"))
}
