//! `boragecoved explain`: a request's way through all entry VMs, from their log lines.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::path::PathBuf;

use serde_json::Value;

use super::Error;
use super::lines::{self, Line};

/// Time before the request's first line from which lines on its engines are shown, in us.
const BEFORE_US: u64 = 2_000_000;
/// Time before the request's first line from which lines are shown on what its entry VMs read of the store after it came back from an
/// older copy, in us.
const ERA_BEFORE_US: u64 = 10_000_000;
/// The decisions of these lines.
const ERA_DECISIONS: [&str; 4] = ["era", "reread", "outdated", "passed_over"];
/// Members that are shown in a column of their own, or not at all.
const SHOWN_APART: [&str; 5] = ["at", "vm", "id", "decision", "request"];

pub(super) fn run(id: &str, files: &[PathBuf]) -> Result<(), Error> {
    let story = story(id, lines::read(files)?);
    if story.is_empty() {
        return Err(Error::NotFound(id.to_owned()));
    }
    let start = story[0].at;
    let mut out = io::stdout().lock();
    for line in story {
        writeln!(out, "{}", text(&line, start))?;
    }
    Ok(())
}

/// The lines of a request, those on its engines from shortly before it until its end, those on requests under which
/// engines crashed that ask the same, and those on returns of the store from an older copy.
fn story(id: &str, lines: Vec<Line>) -> Vec<Line> {
    let of_request = |line: &&Line| line.text("id") == Some(id);
    let own: Vec<&Line> = lines.iter().filter(of_request).collect();
    let engine = |line: &Line| line.text("engine").map(str::to_owned);
    let engines: BTreeSet<String> = own.iter().filter_map(|line| engine(line)).collect();
    let vms: BTreeSet<String> = own.iter().map(|line| line.vm.clone()).collect();
    let asked = own.iter().find_map(|line| line.text("fingerprint")).map(str::to_owned);
    let first = own.iter().map(|line| line.at).min().unwrap_or_default();
    let last = own.iter().map(|line| line.at).max().unwrap_or_default();
    let mut story: Vec<Line> = lines
        .into_iter()
        .filter(|line| {
            let named = line.text("id");
            let on_engine = engine(line).is_some_and(|engine| engines.contains(&engine));
            let close = line.at + BEFORE_US >= first && line.at <= last;
            let alike = asked.is_some() && line.text("fingerprint") == asked.as_deref();
            let on_era = line.text("decision").is_some_and(|decision| ERA_DECISIONS.contains(&decision));
            let recent = line.at + ERA_BEFORE_US >= first && line.at <= last;
            named == Some(id)
                || (on_era && recent && vms.contains(&line.vm))
                || (alike && line.at <= last)
                || (named.is_none() && on_engine && close && !line.content.contains_key("request"))
        })
        .collect();
    story.sort_by_key(|line| line.at);
    story
}

/// Time since `start`, the entry VM, the decision, and what decided it.
fn text(line: &Line, start: u64) -> String {
    let seconds = line.at.abs_diff(start) as f64 / 1_000_000.0;
    let decision = line.text("decision").unwrap_or("note");
    let inputs = line.content.iter().filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()));
    let inputs: Vec<String> = inputs
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{seconds:>9.3} s  {:<22} {decision:<12} {}", line.vm, inputs.join(" "))
}
