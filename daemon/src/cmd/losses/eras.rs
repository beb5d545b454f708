//! Returns of the store from an older copy of its data, as the entry VMs' lines tell of them.

use std::collections::BTreeMap;
use std::io::{self, Write};

use super::ROWS_MAX;
use crate::cmd::lines::Line;

/// What the lines say of an era.
#[derive(Debug, Default)]
struct Era {
    /// When the first and the last entry VM saw it, in us since the Unix epoch.
    seen: Option<(u64, u64)>,
    vms: usize,
    /// When the last entry VM knew the engines' table in it.
    reread: Option<u64>,
    /// When orders could be given in it for the first time.
    orders: Option<u64>,
    outdated: usize,
}

/// Writes the eras that began while the lines were written; nothing if there were none.
pub(super) fn table(out: &mut impl Write, lines: &[Line]) -> io::Result<()> {
    let eras = eras(lines);
    if eras.is_empty() {
        return Ok(());
    }
    let start = lines.iter().map(|line| line.at).min().unwrap_or_default();
    let after = |at: Option<u64>| match at {
        Some(at) => format!("{:.3} s", at.abs_diff(start) as f64 / 1_000_000.0),
        None => "never".to_owned(),
    };
    writeln!(out, "returns of the store from an older copy, in s from the first line")?;
    for (era, Era { seen, vms, reread, orders, outdated }) in eras.into_iter().take(ROWS_MAX) {
        let (first, last) = seen.unzip();
        writeln!(
            out,
            "    era {era}: seen by {vms} entry VMs from {} to {}, engines known again {}, orders {}, {outdated} late answers",
            after(first),
            after(last),
            after(reread),
            after(orders)
        )?;
    }
    writeln!(out)
}

fn eras(lines: &[Line]) -> BTreeMap<u64, Era> {
    let mut eras: BTreeMap<u64, Era> = BTreeMap::new();
    let decided = |line: &Line, decision: &str| line.text("decision") == Some(decision);
    for line in lines.iter().filter(|line| decided(line, "era")) {
        let era = eras.entry(line.number("era").unwrap_or_default()).or_default();
        let (first, last) = era.seen.unwrap_or((line.at, line.at));
        era.seen = Some((first.min(line.at), last.max(line.at)));
        era.vms += 1;
    }
    for line in lines {
        let Some(era) = line.number("era").and_then(|number| eras.get_mut(&number)) else {
            continue;
        };
        if decided(line, "reread") {
            era.reread = era.reread.max(Some(line.at));
        }
        if decided(line, "lease") && matches!(line.text("state"), Some("taken" | "kept")) {
            let orders = line.at + 1_000 * line.number("orders_in_ms").unwrap_or_default();
            era.orders = Some(era.orders.map_or(orders, |known| known.min(orders)));
        }
    }
    for line in lines.iter().filter(|line| decided(line, "outdated")) {
        if let Some(era) = line.number("now").and_then(|number| eras.get_mut(&number)) {
            era.outdated += 1;
        }
    }
    eras
}
