//! Where the time of requests goes, by stage, as far as log lines tell.

use std::io::{self, Write};

use super::Request;

/// A part of a request's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// From its arrival to the decision on its first engine: its key, its credit, waits for models, and questions for places.
    Decided,
    /// From that to its place in the engine's schedule.
    Placed,
    /// From its sending to the first event of its answer, or to a plain answer's end.
    Answered,
}

impl Stage {
    const ALL: [Self; 3] = [Self::Decided, Self::Placed, Self::Answered];

    const fn label(self) -> &'static str {
        match self {
            Self::Decided => "until an engine is decided on",
            Self::Placed => "until its place there",
            Self::Answered => "until the first event, or the whole of a plain answer",
        }
    }

    /// How long it took a request, in ms; none if no line says so.
    fn took_ms(self, request: &Request) -> Option<f64> {
        match self {
            Self::Decided => Some(request.sent?.abs_diff(request.received) as f64 / 1_000.0),
            Self::Placed => Some(request.place_ms? as f64),
            Self::Answered => Some(request.answered_ms? as f64),
        }
    }
}

/// Writes the median, the 95th and the 99th percentile of each stage, for streams and for plain calls; nothing where no request was
/// sent.
pub(super) fn table(out: &mut impl Write, requests: &[Request]) -> io::Result<()> {
    if requests.iter().all(|request| request.sent.is_none()) {
        return Ok(());
    }
    writeln!(out, "stages, in ms (median, 95th, 99th percentile)")?;
    for (streams, kind) in [(true, "streams"), (false, "plain calls")] {
        for stage in Stage::ALL {
            let alike = requests.iter().filter(|request| request.streams == streams);
            let mut times: Vec<f64> = alike.filter_map(|request| stage.took_ms(request)).collect();
            if times.is_empty() {
                continue;
            }
            times.sort_by(f64::total_cmp);
            let [half, most, nearly_all] = [0.5, 0.95, 0.99].map(|part| percentile(&times, part));
            let label = stage.label();
            writeln!(out, "{half:>9.1} {most:>9.1} {nearly_all:>9.1}  {kind}: {label} ({})", times.len())?;
        }
    }
    writeln!(out)
}

/// The time that this part of some sorted times does not exceed.
fn percentile(times: &[f64], part: f64) -> f64 {
    let rank = (part * times.len() as f64).ceil() as usize;
    times[rank.clamp(1, times.len()) - 1]
}
