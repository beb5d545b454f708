//! The command line of the daemon.

mod check;
mod dev;
mod explain;
mod lines;
mod losses;
mod run;
mod serve;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use thiserror::Error;

use crate::node;
use crate::settings::Unreadable;

/// How the daemon is called.
const USAGE: &str = "\
usage: boragecoved run --settings FILE      serve
       boragecoved serve --settings FILE    serve on the users' platform
       boragecoved check --settings FILE    report every error in the settings of run
       boragecoved check --serve --settings FILE    the same for serve
       boragecoved explain ID [FILE...]     tell a request's way from log lines, or from standard input
       boragecoved losses [--json] [FILE...]    tell where service is lost, from the same lines
       boragecoved dev [...]                try it on one machine; see dev --help
       boragecoved --help | --version";

/// Exit code for a call that is not understood.
const EXIT_USAGE: u8 = 2;
/// Exit code if what was asked for is not there.
const EXIT_NOT_FOUND: u8 = 4;
/// Exit code for settings that are refused.
const EXIT_SETTINGS: u8 = 3;

/// What the daemon is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serve.
    Run {
        /// The settings file.
        settings: PathBuf,
    },
    /// Serve on the users' platform.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Look at the settings only.
    Check {
        /// The settings file.
        settings: PathBuf,
        /// Whether they are for serving on the users' platform.
        serve: bool,
    },
    /// Tell a request's way from log lines.
    Explain {
        /// The id that the caller gave it.
        id: String,
        /// Files with log lines; none for standard input.
        files: Vec<PathBuf>,
    },
    /// Tell where service is lost, from log lines.
    Losses {
        /// Whether each group is written as a line of JSON.
        json: bool,
        /// Files with log lines; none for standard input.
        files: Vec<PathBuf>,
    },
    /// Try it on one machine.
    Dev(dev::Command),
    /// Say how to call it.
    Help,
    /// Say which version it is.
    Version,
}

/// Why the daemon ended.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line was not understood.
    #[error("{0}\n{USAGE}")]
    Usage(#[from] lexopt::Error),
    /// The settings are refused.
    #[error("settings refused:\n{0}")]
    Settings(#[from] Unreadable),
    /// An entry VM on the users' platform did not start.
    #[error(transparent)]
    Serve(#[from] crate::entry::StartError),
    /// The node did not start.
    #[error(transparent)]
    Start(#[from] node::Failed),
    /// No line of any request was found.
    #[error("no line is about a request: give the logs of all entry VMs")]
    NoRequests,
    /// No line of the request was found.
    #[error("no line is about request {0}: give the logs of all entry VMs, and the id that the caller sent")]
    NotFound(String),
    /// A trial did not start.
    #[error(transparent)]
    Dev(#[from] crate::dev::Failed),
    /// The operating system refused something.
    #[error("{0}")]
    System(#[from] io::Error),
}

impl Error {
    /// The exit code that goes with it.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Usage(_) => ExitCode::from(EXIT_USAGE),
            Self::Settings(_) | Self::Serve(crate::entry::StartError::Settings(_)) => {
                ExitCode::from(EXIT_SETTINGS)
            }
            Self::NotFound(_) | Self::NoRequests => ExitCode::from(EXIT_NOT_FOUND),
            Self::Serve(_) | Self::Start(_) | Self::Dev(_) | Self::System(_) => ExitCode::FAILURE,
        }
    }
}

impl Command {
    /// Reads the process's command line.
    ///
    /// # Errors
    ///
    /// If it is not understood.
    pub fn parse() -> Result<Self, Error> {
        let mut parser = lexopt::Parser::from_env();
        match parser.next()? {
            Some(Value(word)) if word == "run" => Ok(Self::Run { settings: settings(&mut parser)?.0 }),
            Some(Value(word)) if word == "serve" => Ok(Self::Serve { settings: settings(&mut parser)?.0 }),
            Some(Value(word)) if word == "check" => {
                let (settings, serve) = settings(&mut parser)?;
                Ok(Self::Check { settings, serve })
            }
            Some(Value(word)) if word == "explain" => explained(&mut parser),
            Some(Value(word)) if word == "losses" => lost(&mut parser),
            Some(Value(word)) if word == "dev" => Ok(Self::Dev(dev::Command::parse(&mut parser)?)),
            Some(Long("help") | Short('h')) => Ok(Self::Help),
            Some(Long("version") | Short('V')) => Ok(Self::Version),
            Some(other) => Err(other.unexpected().into()),
            None => Err(lexopt::Error::from("expected a command").into()),
        }
    }

    /// Does it.
    ///
    /// # Errors
    ///
    /// For whatever kept it from being done.
    pub fn run(self) -> Result<(), Error> {
        match self {
            Self::Run { settings } => run::run(&settings),
            Self::Serve { settings } => serve::run(&settings),
            Self::Check { settings, serve } => check::run(&settings, serve),
            Self::Explain { id, files } => explain::run(&id, &files),
            Self::Losses { json, files } => losses::run(json, &files),
            Self::Dev(command) => command.run(),
            Self::Help => {
                println!("{USAGE}");
                Ok(())
            }
            Self::Version => {
                println!("boragecoved {}", env!("CARGO_PKG_VERSION"));
                Ok(())
            }
        }
    }
}

/// The request to explain, and where its lines are.
fn explained(parser: &mut lexopt::Parser) -> Result<Command, Error> {
    let mut words = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) => words.push(word),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut words = words.into_iter();
    let id = words.next().ok_or_else(|| lexopt::Error::from("expected the request's id"))?;
    Ok(Command::Explain { id: id.string()?, files: words.map(PathBuf::from).collect() })
}

/// How losses are to be told, and where the lines are.
fn lost(parser: &mut lexopt::Parser) -> Result<Command, Error> {
    let mut json = false;
    let mut files = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("json") => json = true,
            Value(word) => files.push(PathBuf::from(word)),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Losses { json, files })
}

/// The settings file, and whether it is for serving on the users' platform.
fn settings(parser: &mut lexopt::Parser) -> Result<(PathBuf, bool), lexopt::Error> {
    let mut file = None;
    let mut serve = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(parser.value()?.into()),
            Long("serve") => serve = true,
            other => return Err(other.unexpected()),
        }
    }
    let file = file.ok_or_else(|| lexopt::Error::from("expected --settings FILE"))?;
    Ok((file, serve))
}
