//! The command line, read by the table of commands.

use std::ffi::OsString;
use std::fmt;
use std::time::Duration;

use boragecove_wire::jsonc::parse_duration;
use boragecove_wire::nearest::nearest;
use lexopt::{Arg, Parser, ValueExt};

use crate::command::{self, Command, Spec};
use crate::environment::Environment;
use crate::error::Error;
use crate::flag::{self, Flag, Id, Value};

/// Time to wait for a change to be in line, if none is given.
const TIMEOUT: Duration = Duration::from_mins(10);
/// Who makes a change, if nobody is given.
const NOBODY: &str = "unknown";

/// The form of a result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
    /// A page of the documentation.
    Markdown,
}

/// What can be asked for in place of running a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Info {
    /// Help.
    Help,
    /// The release.
    Release,
}

/// A command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The command; none: only help or the release was asked for.
    pub command: Option<Command>,
    /// What it is given besides options.
    pub operands: Vec<OsString>,
    /// What is asked for in place of running a command.
    pub info: Option<Info>,
    /// Where to ask.
    pub address: Option<String>,
    /// The bearer token.
    pub token: Option<String>,
    /// The form of the result.
    pub output: Output,
    /// Time for each question, if it is given.
    pub deadline: Option<Duration>,
    /// Whether only to say what would happen.
    pub dry_run: bool,
    /// The version that the files were made from.
    pub base: Option<u64>,
    /// Who makes the change.
    pub who: String,
    /// A remark for the history.
    pub note: String,
    /// Whether to wait until the deployment is in line.
    pub wait: bool,
    /// Time to wait at the most.
    pub timeout: Duration,
    /// The model to explain.
    pub explain: Option<String>,
    /// Whether to take it back.
    pub undo: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            command: None,
            operands: Vec::new(),
            info: None,
            address: None,
            token: None,
            output: Output::default(),
            deadline: None,
            dry_run: false,
            base: None,
            who: NOBODY.to_owned(),
            note: String::new(),
            wait: false,
            timeout: TIMEOUT,
            explain: None,
            undo: false,
        }
    }
}

impl Options {
    /// What holds before the command line is read.
    #[must_use]
    pub fn new(environment: Environment) -> Self {
        Self {
            address: environment.address,
            token: environment.token,
            who: environment.user.unwrap_or_else(|| NOBODY.to_owned()),
            ..Self::default()
        }
    }

    /// Reads a command line, without the program's name. What was read before an error holds.
    ///
    /// # Errors
    ///
    /// If it cannot be understood.
    pub fn read(&mut self, args: impl IntoIterator<Item = OsString>) -> Result<(), Error> {
        let mut parser = Parser::from_args(args);
        while let Some(arg) = parser.next().map_err(unreadable)? {
            let (name, found) = match arg {
                Arg::Value(operand) => {
                    self.operand(operand)?;
                    continue;
                }
                Arg::Long(long) => (format!("--{long}"), self.flag(|flag| flag.long == long)),
                Arg::Short(short) => (format!("-{short}"), self.flag(|flag| flag.short == Some(short))),
            };
            let flag = found.ok_or_else(|| self.unknown_flag(&name))?;
            let value = match flag.value {
                Value::None => String::new(),
                Value::Text(_) | Value::Choice(_) => {
                    parser.value().map_err(unreadable)?.string().map_err(unreadable)?
                }
            };
            self.set(flag, &value)?;
        }
        self.check()
    }

    fn spec(&self) -> Option<Spec> {
        self.command.map(Command::spec)
    }

    fn flags(&self) -> Vec<&'static Flag> {
        match self.spec() {
            Some(spec) => spec.all_flags().collect(),
            None => command::COMMON.iter().collect(),
        }
    }

    fn flag(&self, fits: impl Fn(&Flag) -> bool) -> Option<&'static Flag> {
        self.flags().into_iter().find(|flag| fits(flag))
    }

    fn unknown_flag(&self, name: &str) -> Error {
        let long = name.trim_start_matches('-');
        let hint = match nearest(long, self.flags().iter().map(|flag| flag.long)) {
            Some(meant) => format!("did you mean --{meant}?"),
            None => self.see_help(),
        };
        let place = match self.spec() {
            Some(spec) => format!("`boragecove {}`", spec.name),
            None => "`boragecove` before a command".to_owned(),
        };
        Error::usage(format!("{place} takes no option {name}"), hint)
    }

    fn see_help(&self) -> String {
        match self.spec() {
            Some(spec) => format!("see `boragecove {} --help`", spec.name),
            None => "see `boragecove --help`".to_owned(),
        }
    }

    fn operand(&mut self, operand: OsString) -> Result<(), Error> {
        if self.command.is_some() {
            self.operands.push(operand);
            return Ok(());
        }
        let name = operand.to_string_lossy();
        let Some(spec) = command::ALL.iter().find(|spec| spec.name == name) else {
            let hint = match nearest(&name, command::ALL.iter().map(|spec| spec.name)) {
                Some(meant) => format!("did you mean `boragecove {meant}`?"),
                None => self.see_help(),
            };
            return Err(Error::usage(format!("there is no command '{name}'"), hint));
        };
        self.command = Some(spec.command);
        Ok(())
    }

    fn set(&mut self, flag: &Flag, value: &str) -> Result<(), Error> {
        match flag.id {
            Id::Address => self.address = Some(value.to_owned()),
            Id::Token => self.token = Some(value.to_owned()),
            Id::Output => self.output = output(value)?,
            Id::Deadline => self.deadline = Some(duration(flag, value)?),
            Id::Help => self.info = Some(Info::Help),
            Id::Version => self.info = Some(Info::Release),
            Id::DryRun => self.dry_run = true,
            Id::Base => self.base = Some(version(value)?),
            Id::Who => value.clone_into(&mut self.who),
            Id::Note => value.clone_into(&mut self.note),
            Id::Wait => self.wait = true,
            Id::Timeout => self.timeout = duration(flag, value)?,
            Id::Explain => self.explain = Some(value.to_owned()),
            Id::Undo => self.undo = true,
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Error> {
        if self.info.is_some() {
            return Ok(());
        }
        let Some(spec) = self.spec() else {
            return Err(Error::usage("no command is given", self.see_help()));
        };
        let (least, most) = spec.operands.bounds();
        if self.operands.len() < least {
            let text = format!("`boragecove {}` needs {}", spec.name, spec.operands.usage());
            return Err(Error::usage(text, self.see_help()));
        }
        if let Some(extra) = self.operands.get(most) {
            let text = format!("`boragecove {}` takes no '{}'", spec.name, extra.to_string_lossy());
            return Err(Error::usage(text, self.see_help()));
        }
        if self.output == Output::Markdown && spec.command != Command::Codes {
            let text = format!("`boragecove {}` has no form for pages", spec.name);
            return Err(Error::usage(text, "give --output table or --output json"));
        }
        Ok(())
    }
}

fn unreadable(error: impl fmt::Display) -> Error {
    Error::usage(error.to_string(), "see `boragecove --help`")
}

fn output(value: &str) -> Result<Output, Error> {
    match value {
        "table" => Ok(Output::Table),
        "json" => Ok(Output::Json),
        "markdown" => Ok(Output::Markdown),
        other => {
            let known = flag::OUTPUTS.join(", ");
            Err(Error::usage(format!("'{other}' is no form of a result"), format!("give one of {known}")))
        }
    }
}

fn duration(flag: &Flag, value: &str) -> Result<Duration, Error> {
    parse_duration(value).filter(|time| !time.is_zero()).ok_or_else(|| {
        let text = format!("--{}: '{value}' is no time", flag.long);
        Error::usage(text, "give a number with its unit, such as 500ms, 10s or 5m")
    })
}

fn version(value: &str) -> Result<u64, Error> {
    value.parse().map_err(|_bad: std::num::ParseIntError| {
        let text = format!("--base: '{value}' is no version");
        Error::usage(text, "give the number that `boragecove get` or `boragecove history` shows")
    })
}
