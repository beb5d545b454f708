//! Stand-ins for the review's scripts: the platform's store, engines of plain services and of streams, callers, and the entry VMs as
//! processes of their own. Only the standard library is used. Everything listens on 127.0.0.1.
//!
//! `standin CASE FOLDER`: FOLDER gets `record.txt`. Exit status 0: the rule held; 1: it was broken; 2: the case could not run.

#![allow(dead_code, reason = "each case uses what it needs")]

mod engine;
mod gap;
mod home;
mod http;
mod limit;
mod record;
mod settings;
mod store;
mod vm;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

/// The longest that a run may take.
const LONGEST: Duration = Duration::from_secs(115);

/// Why a case could not run.
pub type Failure = String;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    // A run that hangs ends by itself; the entry VMs end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("the run took too long");
        std::process::exit(2);
    });
    record.line(&format!("case {case}, trouble {trouble}"));
    let verdict = match case.as_str() {
        "home" => home::run(&record, trouble),
        "limit" => limit::run(&record, trouble, limit::Variant::TwoLate),
        "ledger" => limit::run(&record, trouble, limit::Variant::OneLateAndRestart),
        "gap" => gap::run(&record, trouble),
        "settings" => settings::run(&record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, status) = match verdict {
        Ok(Verdict::Held) => ("held".to_owned(), 0),
        Ok(Verdict::Broken) => ("BROKEN".to_owned(), 1),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{text}");
    ExitCode::from(status)
}
