//! Engines that named a limit of requests a second, and what they were sent while it was known.

use std::collections::BTreeMap;
use std::io::{self, Write};

use super::ROWS_MAX;
use crate::cmd::lines::Line;

/// What the lines say of an engine in need.
#[derive(Debug, Default)]
struct Engine {
    /// The least and the largest limit that was known with a sending, in requests a second.
    limits: Option<(f64, f64)>,
    sent: u64,
    /// When the first and the last request was sent, in us since the Unix epoch.
    span: Option<(u64, u64)>,
}

/// Writes the engines in need, those with most requests first; nothing if there are none.
pub(super) fn table(out: &mut impl Write, lines: &[Line]) -> io::Result<()> {
    let mut engines: BTreeMap<&str, Engine> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.text("decision") == Some("sent")) {
        let limit = line.content.get("limit_per_s").and_then(serde_json::Value::as_f64);
        if let (Some(engine), Some(limit)) = (line.text("engine"), limit) {
            let engine = engines.entry(engine).or_default();
            let (least, most) = engine.limits.unwrap_or((limit, limit));
            let (begin, end) = engine.span.unwrap_or((line.at, line.at));
            engine.limits = Some((least.min(limit), most.max(limit)));
            engine.span = Some((begin.min(line.at), end.max(line.at)));
            engine.sent += 1;
        }
    }
    if engines.is_empty() {
        return Ok(());
    }
    let mut rows: Vec<(&str, Engine)> = engines.into_iter().collect();
    rows.sort_by_key(|(_, engine)| std::cmp::Reverse(engine.sent));
    writeln!(out, "sent to engines in need, by engine")?;
    for (name, Engine { limits, sent, span }) in rows.into_iter().take(ROWS_MAX) {
        let (least, most) = limits.unwrap_or_default();
        let span_s = span.map_or(0.0, |(begin, end)| end.abs_diff(begin) as f64 / 1_000_000.0);
        writeln!(out, "{sent:>8} in {span_s:>5.1} s  {name}, limit {least} to {most} a second")?;
    }
    writeln!(out)
}
