//! Slopes for docs/CAPACITY.md: what state, messages and decisions cost, each at several sizes.
//!
//! Run with `cargo bench -p boragecove-core --bench capacity`. Reducers and fakes run in one thread on a
//! clock of their own; bytes are those of the encoded messages, times are those of this machine.

#[expect(dead_code, reason = "the fault matrix uses the rest of the fakes")]
#[path = "../tests/matrix/fakes.rs"]
mod fakes;

#[path = "../tests/table/mod.rs"]
mod table;

#[path = "capacity/fleet.rs"]
mod fleet;

#[path = "capacity/sample.rs"]
mod sample;

#[path = "capacity/state.rs"]
mod state;

/// What the fakes need to know.
mod scene {
    /// Accelerator memory of an engine, in MB.
    pub const MEMORY_MB: u64 = 80_000;
}

use fleet::{Fleet, Scale};

/// A series of measurements over a growing size.
struct Series {
    what: String,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn new(what: &str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self { what: what.into(), unit, points }
    }

    /// Slope, intercept and the share of the variance that the line explains.
    fn line(&self) -> (f64, f64, f64) {
        let n = self.points.len() as f64;
        let (mx, my) =
            self.points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / n, y + point.1 / n));
        let sxy: f64 = self.points.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
        let sxx: f64 = self.points.iter().map(|(x, _)| (x - mx).powi(2)).sum();
        let syy: f64 = self.points.iter().map(|(_, y)| (y - my).powi(2)).sum();
        let slope = sxy / sxx;
        let explained = if syy > 0.0 { sxy * sxy / (sxx * syy) } else { 1.0 };
        (slope, my - slope * mx, explained)
    }

    fn print(&self) {
        let (slope, base, explained) = self.line();
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
        let Self { what, unit, .. } = self;
        println!("| {what} | {unit} | {} | {base:.1} + {slope:.3} n | {explained:.3} |", points.join(", "));
    }
}

fn title(text: &str) {
    println!("\n## {text}\n\n| what | unit | n: measured | line | r² |\n| --- | --- | --- | --- | --- |");
}

/// Runs fleets that differ in one size, and prints what their entry VMs spent.
fn vary(what: &str, scales: &[(usize, Scale)]) {
    title(&format!("Control, by {what}"));
    let costs: Vec<_> = scales.iter().map(|(n, scale)| (*n as f64, Fleet::measure(scale))).collect();
    for role in ["holder", "other"] {
        for (at, (head, unit)) in fleet::HEADS.iter().enumerate() {
            let cost =
                |costs: &fleet::Costs| if role == "holder" { costs.holder[at] } else { costs.other[at] };
            let points = costs.iter().map(|(n, costs)| (*n, cost(costs))).collect();
            Series::new(&format!("{role}: {head}"), unit, points).print();
        }
    }
    for (name, unit, of) in [
        ("one change: frames of the whole fleet", "B", 0),
        ("one change: time until it is everywhere", "ms", 1),
    ] {
        let points = costs.iter().map(|(n, costs)| (*n, costs.change[of])).collect();
        Series::new(name, unit, points).print();
    }
}

/// Measures two zones of the size that is expected within two years: more entry VMs than fit here beyond those.
fn full() {
    let costs = Fleet::measure(&Scale { zones: 2, entries: 29, engines: 480, models: 780 });
    println!(
        "\n## Two zones of the two-year size\n\n| what | unit | holder | other |\n| --- | --- | --- | --- |"
    );
    for (at, (head, unit)) in fleet::HEADS.iter().enumerate() {
        println!("| {head} | {unit} | {:.1} | {:.1} |", costs.holder[at], costs.other[at]);
    }
    let [bytes, wait] = costs.change;
    println!("\nOne change: {bytes:.0} B of frames, everywhere after {wait:.0} ms");
    for said in &costs.said {
        println!("Said: {:.0} × {}, {:.0} B each", said.count, said.name, said.bytes / said.count);
    }
}

fn main() {
    let base = Scale { zones: 2, entries: 4, engines: 60, models: 100 };
    title("State");
    state::print();
    title("Requests and changes");
    state::requests();
    state::changes();
    vary("engines of a zone", &[60, 120, 240, 480].map(|n| (n, Scale { engines: n, ..base })));
    vary("entry VMs of a zone", &[4, 8, 16, 29].map(|n| (n, Scale { entries: n, ..base })));
    vary("models", &[100, 200, 400, 780].map(|n| (n, Scale { models: n, engines: 240, ..base })));
    vary("zones", &[2, 4, 8, 14].map(|n| (n, Scale { zones: n, entries: 3, engines: 20, ..base })));
    full();
}
