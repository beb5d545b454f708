//! `codes`: explains result codes, and writes their page of the documentation.

use std::fmt::Write;

use boragecove_core::code::Code;
use serde::Serialize;

use crate::console::Console;
use crate::error::Error;
use crate::options::{Options, Output};
use crate::table::Table;

/// The page of the documentation up to the rows.
const PAGE_HEAD: &str = "\
# Result codes

Every answer to a caller carries its code in `Boragecove-Code` and its outcome in `Boragecove-Outcome`; an error's body repeats both.
The hundreds give the class: 0 done, 1 the request itself, 2 who calls, 3 room and time, 4 back ends, 5 the platform,
6 configuration and orders, 9 the daemon. `boragecove codes N` explains one.

Outcomes: `answered`, a back end's whole answer went to the caller; `not-run`, no back end ran it; `unknown`, a back end may have
run it. Where two are given the header says which it was. For an operator's change, read \"accepted\" for \"run\".

| code | HTTP | outcome | retry | counter label | meaning |
| ---: | ---: | --- | --- | --- | --- |
";

/// What follows them.
const PAGE_END: &str = "
This page is written by `boragecove codes --output markdown > docs/CODES.md`; a test compares it with the codes.
";

/// A code as JSON.
#[derive(Debug, Serialize)]
struct Row {
    number: u16,
    status: u16,
    outcome: String,
    retry: &'static str,
    label: &'static str,
    meaning: &'static str,
}

impl From<Code> for Row {
    fn from(code: Code) -> Self {
        Self {
            number: code.number(),
            status: code.status(),
            outcome: outcome(code),
            retry: code.retry().as_str(),
            label: code.label(),
            meaning: code.meaning(),
        }
    }
}

/// Prints one code or all of them.
pub(crate) fn run(options: &Options, console: &mut Console<'_>) -> Result<(), Error> {
    let codes = chosen(options)?;
    match options.output {
        Output::Json => console.json(&codes.iter().copied().map(Row::from).collect::<Vec<_>>()),
        Output::Markdown => console.text(&page()),
        Output::Table => {
            let mut table = Table::new([">CODE", ">HTTP", "OUTCOME", "RETRY", "LABEL", "MEANING"]);
            for row in codes.iter().copied().map(Row::from) {
                let [retry, label, meaning] = [row.retry, row.label, row.meaning].map(str::to_owned);
                let (number, status) = (row.number.to_string(), row.status.to_string());
                table.row([number, status, row.outcome, retry, label, meaning]);
            }
            console.text(&table.to_string())
        }
    }
}

fn chosen(options: &Options) -> Result<Vec<Code>, Error> {
    let Some(operand) = options.operands.first() else {
        return Ok(Code::ALL.to_vec());
    };
    let text = operand.to_string_lossy();
    let by_number = text.parse().ok().and_then(Code::from_number);
    let by_label = Code::ALL.iter().copied().find(|code| code.label() == text);
    by_number.or(by_label).map(|code| vec![code]).ok_or_else(|| {
        Error::usage(format!("there is no result code '{text}'"), "`boragecove codes` lists all of them")
    })
}

fn outcome(code: Code) -> String {
    code.outcomes().iter().map(|outcome| outcome.as_str()).collect::<Vec<_>>().join(" or ")
}

/// The page of the documentation.
fn page() -> String {
    let mut page = PAGE_HEAD.to_owned();
    for code in Code::ALL {
        let row = Row::from(*code);
        let Row { number, status, outcome, retry, label, meaning } = row;
        let _infallible =
            writeln!(page, "| {number} | {status} | {outcome} | {retry} | `{label}` | {meaning} |");
    }
    page.push_str(PAGE_END);
    page
}
