//! `apply`: makes documents the configuration in force.

use boragecove_core::code::Code;
use boragecove_core::config::Document;
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query, Refusal};
use serde::Serialize;

use crate::client::Client;
use crate::cmd::{in_force, note_none};
use crate::console::Console;
use crate::diff::{self, Change};
use crate::error::Error;
use crate::files;
use crate::options::{Options, Output};
use crate::wait;

/// The result as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    base: u64,
    version: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    op: Option<String>,
    dry_run: bool,
    in_line: bool,
    changes: &'a [Change],
}

/// A change that was accepted, or would be.
#[derive(Debug)]
struct Accepted {
    version: u64,
    /// Its operation; none if its answer was lost and it was read back.
    op: Option<String>,
}

/// Compares, applies on top of the version compared with, and waits if asked to.
pub(crate) async fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let client = Client::new(options)?;
    let (current, before) = in_force(&client).await?;
    note_none(current, console)?;
    let mut document = before.clone();
    files::overlay(&options.operands, &mut document)?;
    let changes = diff::documents(&before, &document)?;
    let for_people = options.output == Output::Table;
    if for_people {
        for change in &changes {
            console.line(change)?;
        }
    }
    let base = options.base.unwrap_or(current);
    // A base of the operator's own is the daemon's to judge, also where nothing would change.
    let applied = if before == document && base == current {
        None
    } else {
        let (who, note) = (options.who.as_str().into(), options.note.as_str().into());
        let apply = Apply { document, base: Some(base), who, note, dry_run: options.dry_run };
        Some(send(&client, base, apply).await?)
    };
    let version = applied.as_ref().map_or(current, |applied| applied.version);
    if for_people {
        console.line(said(options, applied.is_some(), version))?;
    }
    let waits = options.wait && !options.dry_run;
    let waited =
        if waits { wait::until_in_line(&client, console, version, options.timeout).await } else { Ok(()) };
    if !for_people {
        let op = applied.and_then(|applied| applied.op);
        let in_line = waits && waited.is_ok();
        let report = Report { base, version, op, dry_run: options.dry_run, in_line, changes: &changes };
        console.json(&report)?;
    }
    waited
}

fn said(options: &Options, sent: bool, version: u64) -> String {
    match (sent, options.dry_run) {
        (false, _) => format!("no changes: version {version} stays in force"),
        (true, true) => format!("would become version {version}; nothing was changed"),
        (true, false) => format!("accepted as version {version}"),
    }
}

async fn send(client: &Client, base: u64, apply: Apply) -> Result<Accepted, Error> {
    let (dry_run, document) = (apply.dry_run, apply.document.clone());
    match client.ask(&Query::Apply(Box::new(apply))).await {
        Ok(Answer::Applied(applied)) => {
            Ok(Accepted { version: applied.version, op: Some(applied.op.to_string()) })
        }
        Ok(_) => Err(client.mismatched()),
        Err(error @ Error::Lost { .. }) if !dry_run => settle(client, base, &document, &error).await,
        Err(other) => Err(other),
    }
}

/// Reads back whether a change was accepted whose answer was lost. The version after the base is
/// given out once, so whatever stands there settles it.
async fn settle(client: &Client, base: u64, document: &Document, lost: &Error) -> Result<Accepted, Error> {
    let version = base + 1;
    match in_force(client).await {
        Ok((found, stored)) if found == version && stored == *document => Ok(Accepted { version, op: None }),
        Ok((found, _)) if found == version => Err(Error::Refused(Refusal {
            code: Code::Conflict,
            reasons: vec!["the answer was lost; another change stands in its place".into()],
            hint: Name::default(),
            version: Some(found),
        })),
        Ok(_) | Err(_) => Err(Error::Unsettled { base, version, reason: lost.to_string() }),
    }
}
