//! Drives a callers' address with a recorded demand and measures what callers get.

mod demand;
mod exchange;
mod tally;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use awc::Connector;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::Failed;
use exchange::Caller;

pub use demand::Demand;
pub use tally::{Quantiles, Report, Target};

/// How the process is called.
#[derive(Clone, Debug)]
pub struct Options {
    /// The callers' address.
    pub to: SocketAddr,
    /// The bearer token.
    pub token: String,
    /// The recorded demand, as JSON lines.
    pub demand: PathBuf,
    /// Requests sent at most.
    pub count: usize,
    /// Time after which nothing more is sent, and what is open is given up.
    pub limit: Duration,
    /// Requests open at once at most; one that comes then is not sent and misses its target.
    pub open: usize,
    /// What counts as on time.
    pub target: Target,
    /// Whether the report is JSON.
    pub json: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            to: boragecove_standin::server::loopback(),
            token: super::deployment::TOKEN.to_owned(),
            demand: PathBuf::new(),
            count: 10_000,
            limit: Duration::from_mins(1),
            open: 1_024,
            target: Target::default(),
            json: false,
        }
    }
}

/// Time to open a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// Sends the demand and prints a report.
///
/// # Errors
///
/// If the demand cannot be read.
pub async fn run(options: Options) -> Result<(), Failed> {
    let demand = demand::read(&options.demand)?;
    let report = drive(&options, demand).await;
    if options.json {
        println!("{}", serde_json::to_string(&report).unwrap_or_default());
    } else {
        print!("{report}");
    }
    Ok(())
}

/// Sends each request of the demand at its time, whatever became of those before it.
pub async fn drive(options: &Options, demand: Vec<Demand>) -> Report {
    let connector = Connector::new().limit(options.open).timeout(CONNECT);
    let client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let caller = Rc::new(Caller { client, to: options.to, token: options.token.clone() });
    let tally = Rc::new(RefCell::new(tally::Tally::new(options.target)));
    let begun = Instant::now();
    let end = begun + options.limit;
    let mut open = JoinSet::new();
    for request in demand.into_iter().take(options.count) {
        let due = begun + Duration::from_millis(request.at_ms);
        if due >= end {
            break;
        }
        sleep_until(due).await;
        while open.try_join_next().is_some() {}
        if open.len() >= options.open {
            tally.borrow_mut().unsent();
            continue;
        }
        let (caller, tally) = (Rc::clone(&caller), Rc::clone(&tally));
        tally.borrow_mut().sent();
        open.spawn_local(async move {
            let exchange = exchange::run(&caller, &request).await;
            tally.borrow_mut().ended(&exchange);
        });
    }
    let rest = async { while open.join_next().await.is_some() {} };
    let _given_up = tokio::time::timeout_at(end, rest).await;
    tally.borrow().report(begun.elapsed())
}
