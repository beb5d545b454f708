//! Draws one of several engines, weighted by the requests that all entry VMs send before any of them learns of the others'.
//!
//! Many entry VMs choose by the same load figures, which are some hundred ms old. If each picked the least loaded engine, all
//! would pick the same one until the next frame (herd behaviour). That engine would reject what its queue cannot hold while
//! others idle. With 90 entry VMs, six engines of six slots rejected 29% of their calls in this way.
//!
//! The requests that others are expected to send meanwhile are therefore distributed by water-filling: each engine below a common
//! cost level gets as many requests as raise its cost to that level. An engine is drawn with the probability that one of these
//! requests goes there. With fewer of them, or fresher load figures, the draw approaches the least loaded engine.

/// The estimated load that is not reported here yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Requests that other entry VMs have sent and that are not reported here yet.
    pub requests: f64,
    /// What one request adds to the cost of its engine, in ms.
    pub step_ms: f64,
}

impl Estimate {
    /// What all of them add to costs, in ms.
    fn total_ms(self) -> f64 {
        self.requests.max(0.0) * self.step_ms.max(0.0)
    }

    /// What they add to the cost of each engine, in ms, if they are spread evenly over this number of engines.
    #[must_use]
    pub fn per_engine_ms(self, engines: usize) -> f64 {
        self.total_ms() / engines.max(1) as f64
    }
}

/// Draws one of the engines with these costs in ms and returns its index; none if there are no engines. `drawn` is a random number
/// from 0 to 1.
#[must_use]
pub fn draw(costs: &[f64], estimate: Estimate, drawn: f64) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let first = *order.first()?;
    let level = level(costs, &order, estimate.total_ms());
    let mut left_ms = drawn * estimate.total_ms();
    for index in &order {
        let room_ms = level - costs[*index];
        if room_ms <= 0.0 {
            break;
        }
        left_ms -= room_ms;
        if left_ms < 0.0 {
            return Some(*index);
        }
    }
    Some(first)
}

/// The cost level that all engines below it reach when `total_ms` is distributed over them.
fn level(costs: &[f64], order: &[usize], total_ms: f64) -> f64 {
    let mut sum = total_ms;
    let mut level = f64::INFINITY;
    for (count, index) in order.iter().enumerate() {
        if costs[*index] >= level {
            break;
        }
        sum += costs[*index];
        level = sum / (count + 1) as f64;
    }
    level
}
