//! Models and adapters that were asked for and that no request got.

use std::collections::BTreeMap;
use std::io::{self, Write};

use super::{ROWS_MAX, Request};

/// Requests for one model or adapter.
#[derive(Debug)]
struct Asked {
    requests: u64,
    served: u64,
    /// When the first and the last one came, in us since the Unix epoch.
    first: u64,
    last: u64,
}

/// Writes how many models and adapters were asked for, and those of them that nobody got, most requests first.
pub(super) fn table(out: &mut impl Write, requests: &[Request]) -> io::Result<()> {
    let mut asked: BTreeMap<&str, Asked> = BTreeMap::new();
    for request in requests {
        let Some(target) = &request.target else {
            continue;
        };
        let at = request.received;
        let entry = asked.entry(target).or_insert(Asked { requests: 0, served: 0, first: at, last: at });
        entry.requests += 1;
        entry.served += u64::from(request.is_served());
        entry.first = entry.first.min(at);
        entry.last = entry.last.max(at);
    }
    let all = asked.len();
    let mut unserved: Vec<(&str, Asked)> = asked.into_iter().filter(|(_, asked)| asked.served == 0).collect();
    unserved.sort_by_key(|(_, asked)| std::cmp::Reverse(asked.requests));
    writeln!(out, "never served ({} of {all} models and adapters)", unserved.len())?;
    for (target, Asked { requests, first, last, .. }) in unserved.iter().take(ROWS_MAX) {
        let span_s = last.abs_diff(*first) as f64 / 1_000_000.0;
        writeln!(out, "{requests:>8} in {span_s:>5.1} s  {target}")?;
    }
    writeln!(out)
}
