//! `boragecoved dev`: stand-ins and whole deployments for trials on one machine.

use std::time::Duration;

use lexopt::Parser;
use lexopt::prelude::*;

use super::Error;
use crate::dev::{Member, deployment, engine, load, platform, service};
use crate::logs;
use crate::settings::Level;

/// How `dev` is called.
const USAGE: &str = "\
usage: boragecoved dev [OPTION...]           try a whole deployment in one process
           --listen ADDR          callers' address of the first entry VM (127.0.0.1:0)
           --entries N            entry VMs (one in each availability zone)
           --engines N            members of each engine group (9)
           --services N           members of each service group (3)
           --example DIR          folder with inventory.jsonc and rules.jsonc
           --log LEVEL            error, warn, info or debug (warn)
       boragecoved dev platform [OPTION...]  run one stand-in of the platform
           --listen ADDR, --faults JSON, --vms JSON
           --vm-lag-ms N          how far the VM list lags (0)
           --loads-per-second X   starts of loads (2)
           --load-slots N         loads at once (6)
           --mb-per-second X      speed of one load (8000)
       boragecoved dev engine|service [OPTION...]
           --listen ADDR, --faults JSON
           --name VM, --group GROUP, --zone ZONE
           --platform ADDR        announce itself there, and read weights from there
           --work-ms N            services: time of a call (0)
           --memory-mb N, --slots N, --queue N, --ignore-fences
           --load-ms N            time of a load without --platform (2000)
           --first-token-ms N, --token-ms N, --report-ms N
       boragecoved dev load --to ADDR --demand FILE [OPTION...]
           FILE has one request a line, as JSON: at_ms, model, prompt_bytes, max_tokens, stream
           --token TEXT           bearer token (dev)
           --count N              requests at most (10000)
           --seconds N            time at most (60)
           --open N               requests open at once at most (1024)
           --first-token-ms N, --token-gap-ms N   what is on time (1700, 41)
           --output table|json";

/// What `dev` is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// A whole deployment.
    Deployment(Box<deployment::Options>),
    /// One stand-in platform.
    Platform(Box<platform::Options>),
    /// One stand-in engine.
    Engine(Box<engine::Options>),
    /// One stand-in service.
    Service(Box<service::Options>),
    /// A recorded demand.
    Load(Box<load::Options>),
    /// Say how to call it.
    Help,
}

impl Command {
    /// Reads what follows `dev` on the command line.
    pub(super) fn parse(parser: &mut Parser) -> Result<Self, lexopt::Error> {
        let mut whole = deployment::Options::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(word) if word == "platform" => return parse_platform(parser),
                Value(word) if word == "engine" => return parse_engine(parser),
                Value(word) if word == "service" => return parse_service(parser),
                Value(word) if word == "load" => return parse_load(parser),
                Long("listen") => whole.listen = value(parser)?,
                Long("entries") => whole.entries = Some(value(parser)?),
                Long("engines") => whole.engines = value(parser)?,
                Long("services") => whole.services = value(parser)?,
                Long("example") => whole.example = Some(parser.value()?.into()),
                Long("help") => return Ok(Self::Help),
                Long("log") => whole.log = parser.value()?.parse_with(level)?,
                other => return Err(other.unexpected()),
            }
        }
        Ok(Self::Deployment(Box::new(whole)))
    }

    /// Does it, until the process is asked to stop.
    pub(super) fn run(self) -> Result<(), Error> {
        if matches!(self, Self::Help) {
            println!("{USAGE}");
            return Ok(());
        }
        let level = match &self {
            Self::Deployment(options) => options.log,
            _ => Level::Warn,
        };
        logs::start(level);
        let done = actix_rt::System::new().block_on(async {
            match self {
                Self::Deployment(options) => deployment::run(*options).await,
                Self::Platform(options) => platform::run(*options).await,
                Self::Engine(options) => engine::run(*options).await,
                Self::Service(options) => service::run(*options).await,
                Self::Load(options) => load::run(*options).await,
                Self::Help => Ok(()),
            }
        });
        Ok(done?)
    }
}

fn parse_platform(parser: &mut Parser) -> Result<Command, lexopt::Error> {
    let mut options = platform::Options::default();
    let weights = &mut options.settings.weights;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = value(parser)?,
            Long("faults") => options.faults = parser.value()?.parse_with(json)?,
            Long("vms") => options.vms = parser.value()?.parse_with(json)?,
            Long("vm-lag-ms") => options.settings.vm_lag = millis(parser)?,
            Long("loads-per-second") => weights.loads_per_second = value(parser)?,
            Long("load-slots") => weights.slots = value(parser)?,
            Long("mb-per-second") => weights.mb_per_second = value(parser)?,
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Platform(Box::new(options)))
}

fn parse_engine(parser: &mut Parser) -> Result<Command, lexopt::Error> {
    let mut options = engine::Options::default();
    let settings = &mut options.settings;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = value(parser)?,
            Long("faults") => options.faults = parser.value()?.parse_with(json)?,
            Long("memory-mb") => settings.memory_mb = value(parser)?,
            Long("slots") => settings.slots = value(parser)?,
            Long("queue") => settings.queue = value(parser)?,
            Long("ignore-fences") => settings.checks_fences = false,
            Long("load-ms") => {
                settings.weights = boragecove_standin::engine::Weights::Fixed(millis(parser)?);
            }
            Long("first-token-ms") => settings.first_token = millis(parser)?,
            Long("token-ms") => settings.token = millis(parser)?,
            Long("report-ms") => settings.report_every = millis(parser)?,
            Long(name) => {
                let name = name.to_owned();
                parse_member(parser, &name, &mut options.member)?;
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Engine(Box::new(options)))
}

fn parse_service(parser: &mut Parser) -> Result<Command, lexopt::Error> {
    let mut options = service::Options::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("listen") => options.listen = value(parser)?,
            Long("faults") => options.faults = parser.value()?.parse_with(json)?,
            Long("work-ms") => options.settings.work = millis(parser)?,
            Long(name) => {
                let name = name.to_owned();
                parse_member(parser, &name, &mut options.member)?;
            }
            other => return Err(other.unexpected()),
        }
    }
    Ok(Command::Service(Box::new(options)))
}

fn parse_load(parser: &mut Parser) -> Result<Command, lexopt::Error> {
    let mut options = load::Options::default();
    let (mut to, mut demand) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("to") => to = Some(value(parser)?),
            Long("demand") => demand = Some(parser.value()?.into()),
            Long("token") => options.token = parser.value()?.string()?,
            Long("count") => options.count = value(parser)?,
            Long("seconds") => options.limit = Duration::from_secs(value(parser)?),
            Long("open") => options.open = value(parser)?,
            Long("first-token-ms") => options.target.first = millis(parser)?,
            Long("token-gap-ms") => options.target.gap = millis(parser)?,
            Long("output") => options.json = parser.value()?.parse_with(output)?,
            other => return Err(other.unexpected()),
        }
    }
    options.to = to.ok_or("expected --to ADDR")?;
    options.demand = demand.ok_or("expected --demand FILE")?;
    Ok(Command::Load(Box::new(options)))
}

fn parse_member(parser: &mut Parser, option: &str, member: &mut Member) -> Result<(), lexopt::Error> {
    match option {
        "name" => member.name = parser.value()?.string()?.into(),
        "group" => member.group = parser.value()?.string()?.into(),
        "zone" => member.zone = parser.value()?.string()?.into(),
        "platform" => member.platform = Some(value(parser)?),
        other => return Err(lexopt::Error::UnexpectedOption(format!("--{other}"))),
    }
    Ok(())
}

fn value<T>(parser: &mut Parser) -> Result<T, lexopt::Error>
where
    T: std::str::FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    parser.value()?.parse()
}

fn millis(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(value(parser)?))
}

fn json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, serde_json::Error> {
    serde_json::from_str(text)
}

/// Whether the output is JSON.
fn output(text: &str) -> Result<bool, &'static str> {
    match text {
        "table" => Ok(false),
        "json" => Ok(true),
        _ => Err("expected table or json"),
    }
}

fn level(text: &str) -> Result<Level, &'static str> {
    match text {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err("expected error, warn, info or debug"),
    }
}
