//! `boragecoved losses`: where service is lost, by cause, from the log lines of all entry VMs.

mod eras;
mod in_need;
mod stages;
mod unserved;

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{self, Write};
use std::path::PathBuf;

use boragecove_core::code::Code;
use serde::Serialize;

use super::Error;
use super::lines::{self, Line};

/// Length of a span of time in the table, in s.
const SPAN_S: u64 = 2;
/// Rows of each table, at most.
const ROWS_MAX: usize = 30;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Cause {
    InTime,
    /// The answer, or its first event, came after the operator's target.
    LateFirst,
    /// Two events were further apart than the operator allows.
    LatePause,
    LateBoth,
    /// It was answered without an engine, or its answer broken off, with this result code.
    Refused(String),
    /// The caller went away before the answer began.
    GoneBefore,
    /// The caller went away during the answer.
    GoneDuring,
    /// The last attempt ended like this, and nothing follows.
    Ended(String),
    /// No line says what became of it: its process was killed, or lines are missing.
    NoEnd,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InTime => f.write_str("in time"),
            Self::LateFirst => f.write_str("late by the first event"),
            Self::LatePause => f.write_str("late by a pause"),
            Self::LateBoth => f.write_str("late by both"),
            Self::Refused(label) => write!(f, "refused: {label}"),
            Self::GoneBefore => f.write_str("caller gone before the answer"),
            Self::GoneDuring => f.write_str("caller gone during the answer"),
            Self::Ended(label) => write!(f, "ended: {label}"),
            Self::NoEnd => f.write_str("no end in the log"),
        }
    }
}

/// What the lines of one request say.
#[derive(Debug, Default)]
struct Request {
    vm: String,
    received: u64,
    route: Option<String>,
    streams: bool,
    /// The model, with the adapter after a slash; none for calls of plain services.
    target: Option<String>,
    waited: bool,
    /// When its first engine was decided on, in us since the Unix epoch.
    sent: Option<u64>,
    /// Time from that to its place there.
    place_ms: Option<u64>,
    /// Time from its sending to the first event, or to the end of a plain answer.
    answered_ms: Option<u64>,
    target_ms: Option<u64>,
    pause_max_ms: Option<u64>,
    first_ms: Option<u64>,
    pause_ms: u64,
    ended: Option<(u64, String)>,
    refused: Option<String>,
    /// The workspace whose limit it was refused for.
    over_limit: Option<String>,
    gone: bool,
}

impl Request {
    fn take(&mut self, line: &Line) {
        match line.text("decision").unwrap_or_default() {
            "received" => {
                self.received = line.at;
                self.streams = line.text("model").is_some();
                self.target = line.text("model").map(|model| match line.text("adapter") {
                    Some(adapter) => format!("{model}/{adapter}"),
                    None => model.to_owned(),
                });
            }
            "waits" => self.waited = true,
            "sent" => {
                if self.sent.is_none() {
                    self.sent = Some(line.at);
                    self.place_ms = line.number("wait_ms");
                }
                self.route = line.text("route").map(str::to_owned);
                self.target_ms = line.number("target_ms");
                self.pause_max_ms = line.number("pause_max_ms");
            }
            "began" => {
                self.first_ms = line.number("after_ms");
                self.answered_ms = line.number("sent_ms");
            }
            "ended" => {
                if !self.streams && line.text("end") == Some("done") {
                    self.answered_ms = line.number("after_ms");
                }
                self.pause_ms = self.pause_ms.max(line.number("pause_ms").unwrap_or_default());
                self.ended = Some((line.at, line.text("end").unwrap_or_default().to_owned()));
            }
            "refused" => {
                self.refused = line.text("label").map(str::to_owned);
                self.over_limit = over_limit(line);
                self.route = self.route.take().or_else(|| line.text("route").map(str::to_owned));
            }
            "caller_gone" => self.gone = true,
            _ => {}
        }
    }

    /// Whether an engine has begun to answer it.
    fn is_served(&self) -> bool {
        self.first_ms.is_some() || self.ended.as_ref().is_some_and(|(_, end)| end == "done")
    }

    fn cause(&self) -> Cause {
        if let Some(label) = &self.refused {
            return Cause::Refused(label.clone());
        }
        if self.gone {
            return if self.first_ms.is_some() { Cause::GoneDuring } else { Cause::GoneBefore };
        }
        let Some((ended, end)) = &self.ended else {
            return Cause::NoEnd;
        };
        if end != "done" {
            return Cause::Ended(end.clone());
        }
        let answer_ms = self.first_ms.unwrap_or_else(|| ended.saturating_sub(self.received) / 1_000);
        let late = self.target_ms.is_some_and(|target| answer_ms > target);
        let paused = self.pause_max_ms.is_some_and(|most| self.pause_ms > most);
        match (late, paused) {
            (false, false) => Cause::InTime,
            (true, false) => Cause::LateFirst,
            (false, true) => Cause::LatePause,
            (true, true) => Cause::LateBoth,
        }
    }
}

/// The workspace whose limit a line says that a request was refused for.
fn over_limit(line: &Line) -> Option<String> {
    let workspace = line.content.get("charge")?.get("workspace")?.as_str()?;
    (line.text("label") == Some(Code::OverQuota.label())).then(|| workspace.to_owned())
}

/// Requests that are alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Group {
    cause: Cause,
    /// Whether they had to wait for a model, an adapter or an engine.
    waited: bool,
    class: String,
    zone: String,
    /// The span of time in which they came, in s from the first one.
    second: u64,
}

/// A group as a line of JSON.
#[derive(Serialize)]
struct Row<'a> {
    cause: String,
    waited: bool,
    class: &'a str,
    zone: &'a str,
    second: u64,
    requests: u64,
}

pub(super) fn run(json: bool, files: &[PathBuf]) -> Result<(), Error> {
    let lines = lines::read(files)?;
    let requests = requests(&lines);
    let groups = groups(&requests, &zones(&lines));
    if groups.is_empty() {
        return Err(Error::NoRequests);
    }
    let mut out = io::stdout().lock();
    if json {
        return write_json(&groups, &mut out);
    }
    let kind = |class: &str| if class.starts_with(STREAMS) { "streams" } else { "plain calls" };
    let waited = |group: &Group| if group.waited { "waited, " } else { "" };
    table(&mut out, "cause", &groups, |group| {
        format!("{}: {}{}", kind(&group.class), waited(group), group.cause)
    })?;
    let lost = groups.into_iter().filter(|(group, _)| group.cause != Cause::InTime).collect();
    table(&mut out, "lost, by class", &lost, |group| format!("{}: {}", group.class, group.cause))?;
    table(&mut out, "lost, by zone", &lost, |group| group.zone.clone())?;
    table(&mut out, "lost, by second", &lost, |group| format!("{:>6}", group.second))?;
    over_limits(&mut out, &requests)?;
    stages::table(&mut out, &requests)?;
    in_need::table(&mut out, &lines)?;
    eras::table(&mut out, &lines)?;
    unserved::table(&mut out, &requests)?;
    Ok(())
}

/// Writes how many requests were refused for which workspace's limit, most first.
fn over_limits(out: &mut impl Write, requests: &[Request]) -> io::Result<()> {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for workspace in requests.iter().filter_map(|request| request.over_limit.as_deref()) {
        *counts.entry(workspace).or_default() += 1;
    }
    if counts.is_empty() {
        return Ok(());
    }
    let mut rows: Vec<(&str, u64)> = counts.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    writeln!(out, "over their limits, by workspace")?;
    for (workspace, count) in rows.into_iter().take(ROWS_MAX) {
        writeln!(out, "         {count:>7}  {workspace}")?;
    }
    writeln!(out)
}

/// What the class of a stream begins with.
const STREAMS: &str = "stream ";

/// The availability zone of each entry VM.
fn zones(lines: &[Line]) -> HashMap<&str, &str> {
    let started = lines.iter().filter(|line| line.text("decision") == Some("started"));
    started.filter_map(|line| Some((line.vm.as_str(), line.text("zone")?))).collect()
}

/// The requests that were read, in no order.
fn requests(lines: &[Line]) -> Vec<Request> {
    let mut requests: HashMap<(&str, &str), Request> = HashMap::new();
    for line in lines {
        if let Some(id) = line.text("id") {
            let request = requests.entry((&line.vm, id)).or_default();
            request.vm.clone_from(&line.vm);
            request.take(line);
        }
    }
    requests.into_values().filter(|request| request.received > 0).collect()
}

fn groups(requests: &[Request], zones: &HashMap<&str, &str>) -> BTreeMap<Group, u64> {
    let first = requests.iter().map(|request| request.received).min().unwrap_or_default();
    let mut groups = BTreeMap::new();
    for request in requests {
        let route = request.route.as_deref().unwrap_or("without a route");
        let kind = if request.streams { STREAMS } else { "call " };
        let group = Group {
            cause: request.cause(),
            waited: request.waited,
            class: format!("{kind}{route}"),
            zone: zones
                .get(request.vm.as_str())
                .map_or_else(|| request.vm.clone(), |zone| (*zone).to_owned()),
            second: (request.received - first) / 1_000_000 / SPAN_S * SPAN_S,
        };
        *groups.entry(group).or_default() += 1;
    }
    groups
}

fn write_json(groups: &BTreeMap<Group, u64>, out: &mut impl Write) -> Result<(), Error> {
    for (group, requests) in groups {
        let row = Row {
            cause: group.cause.to_string(),
            waited: group.waited,
            class: &group.class,
            zone: &group.zone,
            second: group.second,
            requests: *requests,
        };
        writeln!(out, "{}", serde_json::to_string(&row).map_err(io::Error::from)?)?;
    }
    Ok(())
}

/// Writes how many requests there are of each kind, most first; spans of time in their order.
fn table(
    out: &mut impl Write,
    title: &str,
    groups: &BTreeMap<Group, u64>,
    name: impl Fn(&Group) -> String,
) -> io::Result<()> {
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for (group, requests) in groups {
        *counts.entry(name(group)).or_default() += requests;
    }
    let all: u64 = counts.values().sum();
    let mut rows: Vec<(String, u64)> = counts.into_iter().collect();
    if !title.ends_with("second") {
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        rows.truncate(ROWS_MAX);
    }
    writeln!(out, "{title} ({all} requests)")?;
    for (name, count) in rows {
        writeln!(out, "{:>7.1}% {count:>7}  {name}", 100.0 * count as f64 / all.max(1) as f64)?;
    }
    writeln!(out)
}
