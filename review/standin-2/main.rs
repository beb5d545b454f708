//! Stand-ins and scenes of the second review's scripts. `review-2 CASE FOLDER` plays one: it exits with 1 if the rule was broken,
//! with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod crowd;
mod cut_answers;
mod cut_queue;
mod cut_uploads;
mod entry;
mod http;
mod json;
mod link;
mod record;
mod service;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What a scene found.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, scratch] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER SCRATCH");
        return ExitCode::from(2);
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let (scratch, trouble) = (Path::new(scratch), !trouble);
    let play = || match case.as_str() {
        "crowd" => crowd::play(&record, scratch, trouble),
        "cut-answers" => cut_answers::play(&record, scratch, trouble),
        "cut-uploads" => cut_uploads::play(&record, scratch, trouble),
        "cut-queue" => cut_queue::play(&record, scratch, trouble),
        _ => Verdict::NotRun,
    };
    // A stand-in that could not start is no finding.
    match std::panic::catch_unwind(std::panic::AssertUnwindSafe(play)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) | Err(_) => ExitCode::from(2),
    }
}
