//! Measurements for docs/CAPACITY.md: the cost of state, messages and decisions, each at several sizes.
//!
//! Run with `cargo bench -p boragecove-core --bench capacity`. Reducers and fakes run in one thread on a
//! simulated clock. Sizes are those of the encoded messages; times are measured on this machine.

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

/// Constants that the fakes use.
mod scene {
    /// Accelerator memory of an engine, in MB.
    pub const MEMORY_MB: u64 = 80_000;
}

use fleet::{Fleet, Scale};

/// A series of measurements over a growing size.
struct Series {
    label: String,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn new(label: &str, unit: &'static str, points: Vec<(f64, f64)>) -> Self {
        Self { label: label.into(), unit, points }
    }

    /// Linear regression: slope, intercept and coefficient of determination.
    fn line(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let (mean_x, mean_y) =
            self.points.iter().fold((0.0, 0.0), |(x, y), point| (x + point.0 / count, y + point.1 / count));
        let sxy: f64 = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let sxx: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let syy: f64 = self.points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = sxy / sxx;
        let explained = if syy > 0.0 { sxy * sxy / (sxx * syy) } else { 1.0 };
        (slope, mean_y - slope * mean_x, explained)
    }

    fn print(&self) {
        let (slope, base, explained) = self.line();
        let points: Vec<String> = self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
        let Self { label, unit, .. } = self;
        println!("| {label} | {unit} | {} | {base:.1} + {slope:.3} n | {explained:.3} |", points.join(", "));
    }
}

fn title(text: &str) {
    println!("\n## {text}\n\n| what | unit | n: measured | line | r² |\n| --- | --- | --- | --- | --- |");
}

/// Runs fleets that differ in one size, and prints the costs of their entry VMs.
fn vary(label: &str, scales: &[(usize, Scale)]) {
    title(&format!("Control, by {label}"));
    let costs: Vec<_> = scales.iter().map(|(n, scale)| (*n as f64, Fleet::measure(scale))).collect();
    for role in ["holder", "other"] {
        for (index, (metric, unit)) in fleet::METRICS.iter().enumerate() {
            let cost = |costs: &fleet::Costs| {
                if role == "holder" { costs.holder[index] } else { costs.other[index] }
            };
            let points = costs.iter().map(|(n, costs)| (*n, cost(costs))).collect();
            Series::new(&format!("{role}: {metric}"), unit, points).print();
        }
    }
    for (name, unit, field) in [
        ("one change: frames of the whole fleet", "B", 0),
        ("one change: time until it is everywhere", "ms", 1),
    ] {
        let points = costs.iter().map(|(n, costs)| (*n, costs.change[field])).collect();
        Series::new(name, unit, points).print();
    }
}

/// Measures two zones of the size expected within two years. More zones of that size have too many entry VMs
/// for this machine.
fn print_two_year_size() {
    let costs = Fleet::measure(&Scale { zones: 2, entries: 29, engines: 480, models: 780 });
    println!(
        "\n## Two zones of the two-year size\n\n| what | unit | holder | other |\n| --- | --- | --- | --- |"
    );
    for (index, (metric, unit)) in fleet::METRICS.iter().enumerate() {
        println!("| {metric} | {unit} | {:.1} | {:.1} |", costs.holder[index], costs.other[index]);
    }
    let [bytes, wait] = costs.change;
    println!("\nOne change: {bytes:.0} B of frames, everywhere after {wait:.0} ms");
    for sent in &costs.sent {
        println!("Sent: {:.0} × {}, {:.0} B each", sent.count, sent.name, sent.bytes / sent.count);
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
    print_two_year_size();
}
