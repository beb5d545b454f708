//! A soak over real sockets: two zones under load while engines die, connections go silent, the
//! table is out and every entry VM is replaced. Says what was cut, doubled or lost.
//!
//! `cargo bench -p boragecove-daemon --bench soak -- --seconds 180`

mod caller;
mod fleet;
mod tally;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use boragecove_standin::fault::{Fault, Kind, Scope};
use fleet::Fleet;
use tally::Tally;
use tokio::time::{Instant, sleep};

/// Length of a run that names none.
const SECONDS: u64 = 180;
/// Callers that each have one request open.
const CALLERS: u64 = 48;
/// Time that requests still open at the end are given.
const LINGER: Duration = Duration::from_secs(40);
/// The longest that the table is out.
const OUTAGE_MAX: Duration = Duration::from_mins(1);

fn main() -> ExitCode {
    let mut seconds = SECONDS;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        if arg == "--seconds" {
            seconds = args.next().and_then(|text| text.parse().ok()).unwrap_or(SECONDS);
        }
    }
    let clean = actix_rt::System::new().block_on(run(Duration::from_secs(seconds)));
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn run(length: Duration) -> bool {
    let fleet = Rc::new(Fleet::start().await);
    let tally = Rc::new(Tally::default());
    let end = Instant::now() + length;
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| actix_rt::spawn(caller::call(n, Rc::clone(&fleet), Rc::clone(&tally), end)))
        .collect();

    let step = length / 12;
    sleep(step).await;
    let early = tally::resident_kb();
    note("an engine of each zone dies and comes back empty");
    fleet.kill_engine(0).await;
    fleet.kill_engine(3).await;
    sleep(step).await;
    fleet.revive_engine(0).await;
    fleet.revive_engine(3).await;

    note("streams go silent, break and are answered for other attempts");
    for engine in &fleet.engines {
        engine.faults().add(Fault { skip: 5, ..Fault::next(Kind::Stall(3), Scope::Completion, 3) });
        engine.faults().add(Fault { skip: 9, ..Fault::next(Kind::Cut(2), Scope::Completion, 3) });
        engine.faults().add(Fault { skip: 14, ..Fault::next(Kind::Foreign, Scope::Completion, 2) });
    }
    sleep(step).await;

    note("the table is out");
    fleet.platform.faults().set([Fault::always(Kind::Refuse, Scope::Table)]);
    sleep((step * 4).min(OUTAGE_MAX)).await;
    fleet.platform.faults().clear();
    note("the table is back");
    sleep(step).await;

    note("every entry VM is replaced, one after the other");
    for at in 0..fleet.size() {
        fleet.replace_entry(at).await;
    }
    note("all replaced");

    for caller in callers {
        let _ended = tokio::time::timeout(LINGER, caller).await;
    }
    tally.report(&fleet, early)
}

fn note(text: &str) {
    eprintln!("soak: {text}");
}
