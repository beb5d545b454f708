//! Queue of the requests that wait for one model or service, ordered by priority, then by weighted fair
//! queueing between callers, then by deadline.
//!
//! Within a priority, requests that can still meet the first-token target are served before those that
//! cannot, except for one in `LATE_TURN` turns. In an overload most requests are then answered in time;
//! strictly by age, all of them would be answered late.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// Virtual time of one unit of cost at weight 1.
const SCALE: u64 = 1 << 20;
/// One in this many turns goes to requests that miss the first-token target.
pub(crate) const LATE_TURN: u32 = 8;

/// Properties by which a request is queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    /// Id of the request.
    pub request: id::Request,
    /// Name of its caller.
    pub caller: Name,
    /// Weight of the caller relative to others of the same priority.
    pub weight: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// Latest time to send it to meet the first-token target.
    pub due: Time,
    /// Deadline of the request.
    pub deadline: Time,
    /// Cost charged to the caller's share, in a unit common to all requests of a queue.
    pub cost: u32,
}

/// Sort key of a request within its caller's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    first: Time,
    then: Time,
    request: id::Request,
}

impl Place {
    const fn timely(ticket: &Ticket) -> Self {
        Self { first: ticket.due, then: ticket.deadline, request: ticket.request }
    }

    const fn late(ticket: &Ticket) -> Self {
        Self { first: ticket.deadline, then: ticket.due, request: ticket.request }
    }
}

/// Requests that wait for one model or service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Priority, Class>,
    len: usize,
}

/// Requests of one priority. `turn` is the virtual time of the caller served last.
#[derive(Debug, Default)]
struct Class {
    lines: BTreeMap<Name, Line>,
    turn: u64,
    served: u32,
    timely: usize,
    late: usize,
}

/// Waiting requests of one caller, and the virtual start time of the next one.
#[derive(Debug)]
struct Line {
    weight: u32,
    start: u64,
    /// Requests that can still meet the target, by the time they have to be sent, then by deadline.
    timely: BTreeSet<Place>,
    /// Requests that miss the target, by deadline.
    late: BTreeSet<Place>,
}

impl Line {
    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Waiting requests plus `more`, per unit of weight, in thousandths.
    fn share(&self, more: usize) -> u64 {
        share(self.len() + more, self.weight)
    }

    fn waiting(&self, late: bool) -> &BTreeSet<Place> {
        if late { &self.late } else { &self.timely }
    }
}

fn share(len: usize, weight: u32) -> u64 {
    len as u64 * 1_000 / u64::from(weight.max(1))
}

impl Class {
    fn len(&self) -> usize {
        self.timely + self.late
    }

    fn next(&self) -> Option<Place> {
        let late = self.timely == 0 || (self.late > 0 && self.served % LATE_TURN == LATE_TURN - 1);
        let lines = self.lines.values().filter(|line| !line.waiting(late).is_empty());
        let line = lines.min_by_key(|line| (line.start, line.waiting(late).first().copied()))?;
        line.waiting(late).first().copied()
    }
}

impl Queue {
    /// Number of waiting requests.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that are served before a new one of `priority`, regardless of their caller.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        let more_urgent: usize = self.classes.range(..priority).map(|(_, class)| class.len()).sum();
        more_urgent + self.classes.get(&priority).map_or(0, |class| class.timely)
    }

    /// Number of late requests of `priority`, and number of requests of more urgent priorities.
    pub(crate) fn late_and_ahead(&self, priority: Priority) -> (usize, usize) {
        let late = self.classes.get(&priority).map_or(0, |class| class.late);
        (late, self.classes.range(..priority).map(|(_, class)| class.len()).sum())
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, ticket: &Ticket) {
        let class = self.classes.entry(ticket.priority).or_default();
        let turn = class.turn;
        let line = class.lines.entry(ticket.caller.clone()).or_insert_with(|| Line {
            weight: ticket.weight,
            start: turn,
            timely: BTreeSet::new(),
            late: BTreeSet::new(),
        });
        if line.len() == 0 {
            line.start = line.start.max(turn);
        }
        line.weight = ticket.weight.max(1);
        if line.timely.insert(Place::timely(ticket)) {
            class.timely += 1;
            self.len += 1;
        }
    }

    /// Requests that should have been sent before `now` to meet the target and are not marked late yet.
    pub(crate) fn overdue(&self, now: Time) -> Vec<id::Request> {
        let lines =
            self.classes.values().filter(|class| class.timely > 0).flat_map(|class| class.lines.values());
        lines
            .flat_map(|line| line.timely.iter().take_while(|place| place.first < now))
            .map(|place| place.request)
            .collect()
    }

    /// Moves a request to the late ones.
    pub(crate) fn mark_late(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(line) = class.lines.get_mut(&ticket.caller)
            && line.timely.remove(&Place::timely(ticket))
        {
            line.late.insert(Place::late(ticket));
            class.timely -= 1;
            class.late += 1;
        }
    }

    /// Next request to be served.
    pub(crate) fn peek(&self) -> Option<id::Request> {
        let (_, class) = self.classes.first_key_value()?;
        class.next().map(|place| place.request)
    }

    /// Priority and due time of the next request; its deadline if it is late.
    pub(crate) fn urgency(&self) -> Option<(Priority, Time)> {
        let (priority, class) = self.classes.first_key_value()?;
        class.next().map(|place| (*priority, place.first))
    }

    /// Removes a request that is served and charges its cost to the caller.
    pub(crate) fn serve(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(line) = class.lines.get_mut(&ticket.caller)
        {
            class.served = class.served.wrapping_add(1);
            class.turn = class.turn.max(line.start);
            line.start += u64::from(ticket.cost.max(1)) * SCALE / u64::from(line.weight);
        }
        self.remove(ticket);
    }

    /// Removes a request. Returns whether it was queued.
    pub(crate) fn remove(&mut self, ticket: &Ticket) -> bool {
        let Some(class) = self.classes.get_mut(&ticket.priority) else {
            return false;
        };
        let Some(line) = class.lines.get_mut(&ticket.caller) else {
            return false;
        };
        if line.timely.remove(&Place::timely(ticket)) {
            class.timely -= 1;
        } else if line.late.remove(&Place::late(ticket)) {
            class.late -= 1;
        } else {
            return false;
        }
        self.len -= 1;
        let turn = class.turn;
        // The virtual time of a caller without waiting requests is kept until the others have caught up
        // with it. Else it would get a larger share than its weight by submitting one request at a time.
        class.lines.retain(|_, line| line.len() > 0 || line.start > turn);
        if class.len() == 0 {
            self.classes.remove(&ticket.priority);
        }
        true
    }

    /// Request to preempt from a full queue for a new one, if any: at the least urgent priority, the last
    /// request of the caller with the most waiting requests for its weight.
    pub(crate) fn preempted_by(&self, ticket: &Ticket) -> Option<id::Request> {
        let (priority, class) = self.classes.last_key_value()?;
        let (caller, line) = class.lines.iter().max_by_key(|(_, line)| line.share(0))?;
        let latest = line.late.last().or_else(|| line.timely.last()).map(|place| place.request);
        if *priority > ticket.priority {
            return latest;
        }
        if *priority < ticket.priority || *caller == ticket.caller {
            return None;
        }
        let own =
            class.lines.get(&ticket.caller).map_or_else(|| share(1, ticket.weight), |line| line.share(1));
        if line.share(0) > own { latest } else { None }
    }
}
