//! Requests and tokens a second through one daemon, without and with a thread of callers' own, beside the same stand-ins called
//! directly. `cargo bench -p boragecove-daemon --bench through`; it takes about 40 seconds.

#[path = "through/load.rs"]
mod load;
#[path = "through/setup.rs"]
mod setup;
#[path = "through/threads.rs"]
mod threads;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use load::{Figures, Shape, Target};
use mimalloc::MiMalloc;
use setup::Setup;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// How long each run lasts.
const RUN: Duration = Duration::from_secs(2);
/// Requests open at once where the daemon is to be saturated.
const SATURATING: usize = 48;
/// Streams open at once.
const STREAMS: usize = 96;
/// Streams open at once where the engines take their time.
const PACED_STREAMS: usize = 840;
/// The time that engines take for a token there.
const TOKEN: Duration = Duration::from_millis(4);
/// Tokens of each stream.
const TOKENS: u32 = 400;

fn main() {
    for workers in [0, 1] {
        println!("\nthreads that read callers' requests: {workers}");
        run(workers);
    }
}

fn run(workers: usize) {
    let setup = Setup::start(Duration::ZERO, workers);
    let (direct, through) = targets(&setup);
    let short = Shape { tokens: 1, stream: false };
    let long = Shape { tokens: TOKENS, stream: true };

    println!(
        "{:<34}{:>12}{:>10}{:>10}{:>10}{:>14}",
        "", "rate /s", "p50 ms", "p99 ms", "errors", "/s and core"
    );
    let _warm_up = measure(&setup, "warm-up", &through, short, SATURATING, None);
    let (_, _) = measure(&setup, "direct, short, saturating", &direct, short, SATURATING, None);
    let (full, _) = measure(&setup, "through, short, saturating", &through, short, SATURATING, None);
    let half = full.rate / 2.0;
    let (slow, _) = measure(&setup, "direct, short, half rate", &direct, short, SATURATING, Some(half));
    let (added, _) = measure(&setup, "through, short, half rate", &through, short, SATURATING, Some(half));
    println!(
        "added at half rate: p50 {:.3} ms (x{:.2}), p99 {:.3} ms (x{:.2})",
        added.p50_ms - slow.p50_ms,
        added.p50_ms / slow.p50_ms,
        added.p99_ms - slow.p99_ms,
        added.p99_ms / slow.p99_ms
    );
    measure(&setup, "direct, tokens all at once", &direct, long, STREAMS, None);
    measure(&setup, "through, tokens all at once", &through, long, STREAMS, None);

    let setup = Setup::start(TOKEN, workers);
    let (direct, through) = targets(&setup);
    let _warm_up = measure(&setup, "warm-up", &through, short, SATURATING, None);
    measure(&setup, "direct, tokens one by one", &direct, long, PACED_STREAMS, None);
    measure(&setup, "through, tokens one by one", &through, long, PACED_STREAMS, None);
}

fn targets(setup: &Setup) -> (Target, Target) {
    let direct = Target::Engines(setup.engines.clone(), Arc::new(AtomicU64::new(1)));
    (direct, Target::Daemon(setup.callers))
}

/// Runs a load, prints a line of figures, and returns them with the rate a core of the daemon would do.
fn measure(
    setup: &Setup,
    name: &str,
    target: &Target,
    shape: Shape,
    open: usize,
    rate: Option<f64>,
) -> (Figures, f64) {
    let before = setup.daemon.cpu();
    let figures = load::run(target, shape, open, rate, RUN);
    let busy = setup.daemon.cpu().saturating_sub(before);
    let count = if shape.stream { figures.tokens } else { figures.requests };
    let a_core = count as f64 / busy.as_secs_f64();
    let a_core_text = match target {
        Target::Daemon(_) => format!("{a_core:.0}"),
        Target::Engines(..) => String::from("-"),
    };
    println!(
        "{name:<34}{:>12.0}{:>10.3}{:>10.3}{:>10}{a_core_text:>14}",
        figures.rate, figures.p50_ms, figures.p99_ms, figures.errors
    );
    (figures, a_core)
}
