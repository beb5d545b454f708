//! `boragecoved explain`: a request's way through all entry VMs, from their log lines.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;

use serde_json::{Map, Value};

use super::Error;

/// Time before the request's first line from which lines on its engines are shown, in us.
const BEFORE_US: u64 = 2_000_000;
/// Members that are shown in a column of their own, or not at all.
const SHOWN_APART: [&str; 5] = ["at", "vm", "id", "decision", "request"];

/// One line of a log.
struct Line {
    at: u64,
    vm: String,
    content: Map<String, Value>,
}

pub(super) fn run(id: &str, files: &[PathBuf]) -> Result<(), Error> {
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        collect(BufReader::new(File::open(file)?), &mut lines)?;
    }
    let story = story(id, lines);
    if story.is_empty() {
        return Err(Error::NotFound(id.to_owned()));
    }
    let start = story[0].at;
    let mut out = io::stdout().lock();
    for line in story {
        writeln!(out, "{}", line.text(start))?;
    }
    Ok(())
}

/// Reads lines of JSON; whatever stands before the JSON on a line is passed over, and so is what is none.
fn collect(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for text in input.lines() {
        let text = text?;
        let Some(start) = text.find('{') else {
            continue;
        };
        if let Ok(Value::Object(content)) = serde_json::from_str(&text[start..])
            && let (Some(at), Some(vm)) =
                (content.get("at").and_then(Value::as_u64), content.get("vm").and_then(Value::as_str))
        {
            lines.push(Line { at, vm: vm.to_owned(), content });
        }
    }
    Ok(())
}

/// The lines of a request, and those on its engines from shortly before it until its end.
fn story(id: &str, lines: Vec<Line>) -> Vec<Line> {
    let of_request = |line: &&Line| line.content.get("id").and_then(Value::as_str) == Some(id);
    let own: Vec<&Line> = lines.iter().filter(of_request).collect();
    let engine = |line: &Line| line.content.get("engine").and_then(Value::as_str).map(str::to_owned);
    let engines: BTreeSet<String> = own.iter().filter_map(|line| engine(line)).collect();
    let first = own.iter().map(|line| line.at).min().unwrap_or_default();
    let last = own.iter().map(|line| line.at).max().unwrap_or_default();
    let mut story: Vec<Line> = lines
        .into_iter()
        .filter(|line| {
            let named = line.content.get("id").and_then(Value::as_str);
            let on_engine = engine(line).is_some_and(|engine| engines.contains(&engine));
            let close = line.at + BEFORE_US >= first && line.at <= last;
            named == Some(id)
                || (named.is_none() && on_engine && close && !line.content.contains_key("request"))
        })
        .collect();
    story.sort_by_key(|line| line.at);
    story
}

impl Line {
    /// Time since `start`, the entry VM, the decision, and what decided it.
    fn text(&self, start: u64) -> String {
        let seconds = self.at.abs_diff(start) as f64 / 1_000_000.0;
        let decision = self.content.get("decision").and_then(Value::as_str).unwrap_or("note");
        let inputs = self.content.iter().filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()));
        let inputs: Vec<String> = inputs
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!("{seconds:>9.3} s  {:<22} {decision:<12} {}", self.vm, inputs.join(" "))
    }
}
