//! Errors of the client: what happened, how the process ends, and what a person can do.

use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

use boragecove_core::code::{Code, Retry};
use boragecove_core::name::Name;
use boragecove_core::operator::Refusal;
use boragecove_wire::jsonc::Problems;
use serde::Serialize;
use thiserror::Error;

use crate::environment;
use crate::options::Output;
use crate::table::printable;

/// How a command ended; each class has an exit code of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum Class {
    /// Done as asked.
    Done = 0,
    /// A fault of the client or of the daemon.
    Internal = 1,
    /// The command line cannot be understood.
    Usage = 2,
    /// Refused: a document, a name or the token is not right.
    Refused = 3,
    /// Another change was accepted first.
    Conflict = 4,
    /// The entry VM or the platform does not answer; nothing was changed.
    Unavailable = 5,
    /// Whether the change was accepted is not known.
    Unsettled = 6,
    /// Accepted, and not yet in line everywhere when the time to wait was over.
    Pending = 7,
}

impl From<Class> for ExitCode {
    fn from(class: Class) -> Self {
        Self::from(class as u8)
    }
}

/// An error of the client.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line cannot be understood.
    #[error("{text}")]
    Usage {
        /// What is wrong with it.
        text: String,
        /// What to do about it.
        hint: String,
    },
    /// A file cannot be read.
    #[error("cannot read {file}: {source}")]
    File {
        /// The file as given.
        file: String,
        /// Why.
        source: io::Error,
    },
    /// Documents have errors.
    #[error("{0}")]
    Document(Problems),
    /// Two files declare the same part.
    #[error("{file} declares the {part} again")]
    Twice {
        /// The later file.
        file: String,
        /// `inventory` or `rules`.
        part: &'static str,
    },
    /// The daemon refused the question.
    #[error("{}: {}", .0.code, .0.code.meaning())]
    Refused(Refusal),
    /// The daemon could not be connected to; nothing was sent.
    #[error("cannot reach {address}: {reason}")]
    Unreachable {
        /// The address.
        address: String,
        /// Why.
        reason: String,
    },
    /// A question was sent and no usable answer came.
    #[error("no answer from {address}: {reason}")]
    Lost {
        /// The address.
        address: String,
        /// Why.
        reason: String,
    },
    /// What answered is no entry VM's listener for operators, or of another release.
    #[error("{address} answered {status} with something that is no operators' answer")]
    Foreign {
        /// The address.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// A change was sent and its answer was lost.
    #[error("whether version {version} was accepted is not known: {reason}")]
    Unsettled {
        /// The version it was made from.
        base: u64,
        /// The version it would have.
        version: u64,
        /// What was met.
        reason: String,
    },
    /// The time to wait is over.
    #[error("version {version} is accepted and not yet in line after {} s: {missing}", .waited.as_secs())]
    Pending {
        /// The accepted version.
        version: u64,
        /// How long was waited.
        waited: Duration,
        /// What is missing.
        missing: String,
    },
    /// A stream of the client itself cannot be written to.
    #[error("cannot write: {0}")]
    Write(#[from] io::Error),
}

/// An error as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    error: Detail<'a>,
}

#[derive(Debug, Serialize)]
struct Detail<'a> {
    class: Class,
    exit: u8,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    code: Option<u16>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    reasons: Vec<&'a str>,
    hint: String,
}

impl Error {
    /// A command line that cannot be understood.
    #[must_use]
    pub fn usage(text: impl Into<String>, hint: impl Into<String>) -> Self {
        Self::Usage { text: text.into(), hint: hint.into() }
    }

    /// Whether the reader of the result went away, which is no error.
    #[must_use]
    pub fn is_closed_pipe(&self) -> bool {
        matches!(self, Self::Write(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// How the process ends with it.
    #[must_use]
    pub fn class(&self) -> Class {
        match self {
            Self::Usage { .. } => Class::Usage,
            Self::File { .. } | Self::Document(_) | Self::Twice { .. } => Class::Refused,
            Self::Refused(refusal) => class_of(refusal.code),
            Self::Unreachable { .. } | Self::Lost { .. } | Self::Foreign { .. } => Class::Unavailable,
            Self::Unsettled { .. } => Class::Unsettled,
            Self::Pending { .. } => Class::Pending,
            Self::Write(_) => Class::Internal,
        }
    }

    /// What a person can do about it.
    #[must_use]
    pub fn hint(&self) -> String {
        match self {
            Self::Usage { hint, .. } => hint.clone(),
            Self::File { .. } => "check the file's name and its permissions".into(),
            Self::Document(_) => "nothing was sent; mend the places named and run the command again".into(),
            Self::Twice { .. } => "nothing was sent; give each part in one file only".into(),
            Self::Refused(refusal) => hint_of(refusal),
            Self::Unreachable { .. } => format!(
                "nothing was sent; give another entry VM's operators' address with --address or {}",
                environment::ADDRESS
            ),
            Self::Lost { .. } => "ask again, or ask another entry VM with --address".into(),
            Self::Foreign { .. } => {
                "give the address of the listener for operators, not that for callers".into()
            }
            Self::Unsettled { base, version, .. } => format!(
                "run `boragecove history`: if version {version} is this change, it is done; else run the same \
                 command again with --base {base}, which can be accepted once at the most"
            ),
            Self::Pending { .. } => {
                "nothing is lost: `boragecove members` and `boragecove models` show what is missing, \
                 and --timeout gives it longer"
                    .into()
            }
            Self::Write(_) => "check where the output goes".into(),
        }
    }

    /// Writes it for a person, or as JSON for a program.
    ///
    /// # Errors
    ///
    /// If `to` cannot be written to.
    pub fn write(&self, output: Output, to: &mut dyn Write) -> io::Result<()> {
        let (code, reasons) = match self {
            Self::Refused(refusal) => {
                (Some(refusal.code.number()), refusal.reasons.iter().map(Name::as_str).collect())
            }
            _ => (None, Vec::new()),
        };
        if output == Output::Json {
            let class = self.class();
            let message = self.to_string();
            let error = Detail { class, exit: class as u8, message, code, reasons, hint: self.hint() };
            serde_json::to_writer_pretty(&mut *to, &Report { error })?;
            return writeln!(to);
        }
        writeln!(to, "error: {self}")?;
        for reason in reasons {
            writeln!(to, "  - {}", printable(reason))?;
        }
        writeln!(to, "hint: {}", self.hint())
    }
}

fn class_of(code: Code) -> Class {
    match (code, code.retry()) {
        (Code::Conflict, _) => Class::Conflict,
        (Code::Internal, _) | (_, Retry::Done) => Class::Internal,
        (_, Retry::Changed) => Class::Refused,
        (_, Retry::Later) => Class::Unavailable,
        (_, Retry::Idempotent) => Class::Unsettled,
    }
}

fn hint_of(refusal: &Refusal) -> String {
    match refusal.code {
        Code::Unauthenticated => {
            format!("give the operators' token of the daemon's settings in {}", environment::TOKEN)
        }
        Code::Conflict => match refusal.version {
            Some(version) => format!(
                "version {version} is in force: run `boragecove diff` with your files, and apply them to it if \
                 that is what you want"
            ),
            None => "run `boragecove history` to see what came first".into(),
        },
        _ if !refusal.hint.is_empty() => refusal.hint.to_string(),
        code => match code.retry() {
            Retry::Changed => "change what was named and run the command again".into(),
            Retry::Later => "run the command again in a while, or at another entry VM".into(),
            Retry::Idempotent => "run `boragecove history` before you run the command again".into(),
            Retry::Done => format!("see `boragecove codes {}`", code.number()),
        },
    }
}
