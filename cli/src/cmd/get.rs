//! `get`: prints the configuration in force, in the form that `apply` reads.

use boragecove_core::config::Document;
use serde::Serialize;
use serde_json::Value;

use crate::client::Client;
use crate::cmd::{in_force, note_none};
use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};

/// The result as JSON.
#[derive(Debug, Serialize)]
struct Report {
    version: u64,
    document: Value,
}

/// Asks for the configuration and prints it.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let (version, document) = in_force(&client).await?;
    note_none(version, console)?;
    let document = readable(&document)?;
    if options.output == Output::Json {
        return console.json(&Report { version, document });
    }
    console.line(format!("// Version {version}. Apply changes to it with --base {version}."))?;
    console.json(&document)
}

/// The document without members that are not set, which `apply` does not read.
fn readable(document: &Document) -> Result<Value, Error> {
    let mut value = serde_json::to_value(document).map_err(std::io::Error::from)?;
    drop_unset(&mut value);
    Ok(value)
}

fn drop_unset(value: &mut Value) {
    match value {
        Value::Object(members) => {
            members.retain(|_, member| !member.is_null());
            members.values_mut().for_each(drop_unset);
        }
        Value::Array(items) => items.iter_mut().for_each(drop_unset),
        _ => {}
    }
}
