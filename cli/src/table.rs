//! Aligned columns for people.

use std::fmt;

use boragecove_core::time::Time;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Spaces between columns.
const GAP: usize = 2;

/// Rows of as many cells each, aligned when printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
    right: Vec<usize>,
}

impl Table {
    /// A table without a head.
    #[must_use]
    pub fn plain() -> Self {
        Self::default()
    }

    /// A table with a head; columns whose name starts with `>` are aligned to the right.
    #[must_use]
    pub fn new<const N: usize>(head: [&str; N]) -> Self {
        let right = (0..N).filter(|at| head[*at].starts_with('>')).collect();
        let head = head.iter().map(|name| name.trim_start_matches('>').to_owned()).collect();
        Self { rows: vec![head], right }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.map(|cell| printable(&cell)).into());
    }

    /// Whether it has no row besides its head.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.len() <= 1
    }

    fn width(&self, column: usize) -> usize {
        let widths = self.rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        widths.max().unwrap_or(0)
    }
}

/// The text without control characters: names come from elsewhere and must not steer the terminal.
pub(crate) fn printable(text: &str) -> String {
    text.chars().map(|letter| if letter.is_control() { '\u{fffd}' } else { letter }).collect()
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.first().map_or(0, Vec::len);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (at, (cell, width)) in row.iter().zip(&widths).enumerate() {
                let pad = " ".repeat(width - cell.chars().count());
                if self.right.contains(&at) {
                    line.push_str(&pad);
                    line.push_str(cell);
                } else {
                    line.push_str(cell);
                    line.push_str(&pad);
                }
                line.push_str(&" ".repeat(GAP));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// A moment, as RFC 3339 in UTC with milliseconds.
#[must_use]
pub fn moment(at: Time) -> String {
    let nanoseconds = i128::from(at.as_millis()) * 1_000_000;
    let moment = OffsetDateTime::from_unix_timestamp_nanos(nanoseconds).ok();
    moment.and_then(|moment| moment.format(&Rfc3339).ok()).unwrap_or_else(|| at.to_string())
}

/// How long ago something was, from milliseconds.
#[must_use]
pub fn age(ms: Option<u64>) -> String {
    match ms {
        None => "never".to_owned(),
        Some(ms @ 0..1_000) => format!("{ms} ms"),
        Some(ms) => format!("{:.1} s", ms as f64 / 1_000.0),
    }
}

/// Several names in one cell.
#[must_use]
pub fn list(names: impl IntoIterator<Item = impl fmt::Display>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(", ") }
}
