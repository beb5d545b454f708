//! Draws one of several engines, by what all entry VMs will send there before any hears of it.
//!
//! The load that this answers: many entry VMs that all know the same, some hundred ms late. If each picks the
//! engine that has least to do, all pick the same one until the next frame (herd behaviour), and it refuses what its
//! queue does not hold while others idle. With 90 entry VMs, six engines of six slots rejected 29% of the calls that
//! came to them.
//!
//! The requests that others are expected to send meanwhile are therefore distributed by water-filling: each engine gets
//! as many as raise its cost to one level that is the same for all. An engine is drawn with the probability that one of
//! these requests goes there. The fewer they are, or the fresher the known loads, the more this is the engine that has
//! least to do.

/// Requests that are not known here yet, and what each adds to an engine's cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unseen {
    /// Requests of other entry VMs that are sent before they are known here.
    pub requests: f64,
    /// What one request adds to the cost of its engine, in ms.
    pub step_ms: f64,
}

impl Unseen {
    /// All that they add, in ms.
    fn total_ms(self) -> f64 {
        self.requests.max(0.0) * self.step_ms.max(0.0)
    }

    /// What they add to each of so many engines, in ms.
    #[must_use]
    pub fn each_ms(self, engines: usize) -> f64 {
        self.total_ms() / engines.max(1) as f64
    }
}

/// Draws one of the engines with these costs, in ms; `drawn` is random, from 0 to 1. None if there are none.
#[must_use]
pub fn draw(costs: &[f64], unseen: Unseen, drawn: f64) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let first = *order.first()?;
    let level = level(costs, &order, unseen.total_ms());
    let mut left = drawn * unseen.total_ms();
    for at in &order {
        let part = level - costs[*at];
        if part <= 0.0 {
            break;
        }
        left -= part;
        if left < 0.0 {
            return Some(*at);
        }
    }
    Some(first)
}

/// The cost to which all engines below it are raised when they share so much.
fn level(costs: &[f64], order: &[usize], total_ms: f64) -> f64 {
    let mut sum = total_ms;
    let mut level = f64::INFINITY;
    for (count, at) in order.iter().enumerate() {
        if costs[*at] >= level {
            break;
        }
        sum += costs[*at];
        level = sum / (count + 1) as f64;
    }
    level
}
