//! The options that commands take.

/// Which option.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Id {
    /// Where to ask.
    Address,
    /// The bearer token.
    Token,
    /// The form of the result.
    Output,
    /// Time for each question.
    Deadline,
    /// Show help.
    Help,
    /// Show the release.
    Version,
    /// Only say what would happen.
    DryRun,
    /// The version that the files were made from.
    Base,
    /// Who makes the change.
    Who,
    /// A remark for the history.
    Note,
    /// Wait until the deployment is in line.
    Wait,
    /// Time to wait at the most.
    Timeout,
    /// The model to explain.
    Explain,
    /// Take it back.
    Undo,
}

/// What an option takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    /// Nothing: it is there or not.
    None,
    /// Some text; the word stands for it in the help.
    Text(&'static str),
    /// One of these words.
    Choice(&'static [&'static str]),
}

/// An option of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flag {
    /// Which one.
    pub id: Id,
    /// Its long name, without dashes.
    pub long: &'static str,
    /// Its short name, if it has one.
    pub short: Option<char>,
    /// What it takes.
    pub value: Value,
    /// What it does.
    pub help: &'static str,
}

const fn flag(id: Id, long: &'static str, value: Value, help: &'static str) -> Flag {
    Flag { id, long, short: None, value, help }
}

/// The forms of a result.
pub const OUTPUTS: &[&str] = &["table", "json", "markdown"];

/// Where to ask.
pub const ADDRESS: Flag =
    flag(Id::Address, "address", Value::Text("IP:PORT"), "operators' address of an entry VM");
/// The bearer token.
pub const TOKEN: Flag = flag(Id::Token, "token", Value::Text("TOKEN"), "operators' bearer token");
/// The form of the result.
pub const OUTPUT: Flag = Flag {
    id: Id::Output,
    long: "output",
    short: Some('o'),
    value: Value::Choice(OUTPUTS),
    help: "form of the result (markdown: codes only)",
};
/// Time for each question.
pub const DEADLINE: Flag = flag(
    Id::Deadline,
    "deadline",
    Value::Text("TIME"),
    "time for each question, default 10s, for changes 30s",
);
/// Show help.
pub const HELP: Flag =
    Flag { id: Id::Help, long: "help", short: Some('h'), value: Value::None, help: "show help" };
/// Show the release.
pub const VERSION: Flag =
    Flag { id: Id::Version, long: "version", short: Some('V'), value: Value::None, help: "show the release" };
/// Only say what would happen.
pub const DRY_RUN: Flag = flag(Id::DryRun, "dry-run", Value::None, "check and show the changes only");
/// The version that the files were made from.
pub const BASE: Flag =
    flag(Id::Base, "base", Value::Text("VERSION"), "accept only on top of this version in force");
/// Who makes the change.
pub const WHO: Flag = flag(Id::Who, "who", Value::Text("NAME"), "who makes the change, default $USER");
/// A remark for the history.
pub const NOTE: Flag = flag(Id::Note, "note", Value::Text("TEXT"), "remark for the history");
/// Wait until the deployment is in line.
pub const WAIT: Flag = flag(
    Id::Wait,
    "wait",
    Value::None,
    "wait until it is in force on every entry VM and every model is reachable",
);
/// Time to wait at the most.
pub const TIMEOUT: Flag =
    flag(Id::Timeout, "timeout", Value::Text("TIME"), "time to wait at the most, default 10m");
/// The model to explain.
pub const EXPLAIN: Flag =
    flag(Id::Explain, "explain", Value::Text("MODEL"), "say why a model is where it is");
/// Take it back.
pub const UNDO: Flag = flag(Id::Undo, "undo", Value::None, "take it back into use");
