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
struct Position {
    primary: Time,
    secondary: Time,
    request: id::Request,
}

impl Position {
    const fn on_time(ticket: &Ticket) -> Self {
        Self { primary: ticket.due, secondary: ticket.deadline, request: ticket.request }
    }

    const fn late(ticket: &Ticket) -> Self {
        Self { primary: ticket.deadline, secondary: ticket.due, request: ticket.request }
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
    callers: BTreeMap<Name, CallerQueue>,
    turn: u64,
    served: u32,
    on_time: usize,
    late: usize,
}

/// Waiting requests of one caller, and the virtual start time of the next one.
#[derive(Debug)]
struct CallerQueue {
    weight: u32,
    start: u64,
    /// Requests that can still meet the target, by the time they have to be sent, then by deadline.
    on_time: BTreeSet<Position>,
    /// Requests that miss the target, by deadline.
    late: BTreeSet<Position>,
}

impl CallerQueue {
    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    /// Waiting requests plus `more`, per unit of weight, in thousandths.
    fn share(&self, more: usize) -> u64 {
        share(self.len() + more, self.weight)
    }

    fn waiting(&self, late: bool) -> &BTreeSet<Position> {
        if late { &self.late } else { &self.on_time }
    }
}

fn share(len: usize, weight: u32) -> u64 {
    len as u64 * 1_000 / u64::from(weight.max(1))
}

impl Class {
    fn len(&self) -> usize {
        self.on_time + self.late
    }

    fn next(&self) -> Option<Position> {
        let late = self.on_time == 0 || (self.late > 0 && self.served % LATE_TURN == LATE_TURN - 1);
        let callers = self.callers.values().filter(|queue| !queue.waiting(late).is_empty());
        let queue = callers.min_by_key(|queue| (queue.start, queue.waiting(late).first().copied()))?;
        queue.waiting(late).first().copied()
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
        more_urgent + self.classes.get(&priority).map_or(0, |class| class.on_time)
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
        let queue = class.callers.entry(ticket.caller.clone()).or_insert_with(|| CallerQueue {
            weight: ticket.weight,
            start: turn,
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
        });
        if queue.len() == 0 {
            queue.start = queue.start.max(turn);
        }
        queue.weight = ticket.weight.max(1);
        if queue.on_time.insert(Position::on_time(ticket)) {
            class.on_time += 1;
            self.len += 1;
        }
    }

    /// Requests that should have been sent before `now` to meet the target and are not marked late yet.
    pub(crate) fn overdue(&self, now: Time) -> Vec<id::Request> {
        let callers =
            self.classes.values().filter(|class| class.on_time > 0).flat_map(|class| class.callers.values());
        callers
            .flat_map(|queue| queue.on_time.iter().take_while(|position| position.primary < now))
            .map(|position| position.request)
            .collect()
    }

    /// Moves a request to the late ones.
    pub(crate) fn mark_late(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(queue) = class.callers.get_mut(&ticket.caller)
            && queue.on_time.remove(&Position::on_time(ticket))
        {
            queue.late.insert(Position::late(ticket));
            class.on_time -= 1;
            class.late += 1;
        }
    }

    /// Next request to be served.
    pub(crate) fn peek(&self) -> Option<id::Request> {
        let (_, class) = self.classes.first_key_value()?;
        class.next().map(|position| position.request)
    }

    /// Priority and due time of the next request; its deadline if it is late.
    pub(crate) fn urgency(&self) -> Option<(Priority, Time)> {
        let (priority, class) = self.classes.first_key_value()?;
        class.next().map(|position| (*priority, position.primary))
    }

    /// Removes a request that is served and charges its cost to the caller.
    pub(crate) fn serve(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(queue) = class.callers.get_mut(&ticket.caller)
        {
            class.served = class.served.wrapping_add(1);
            class.turn = class.turn.max(queue.start);
            queue.start += u64::from(ticket.cost.max(1)) * SCALE / u64::from(queue.weight);
        }
        self.remove(ticket);
    }

    /// Removes a request. Returns whether it was queued.
    pub(crate) fn remove(&mut self, ticket: &Ticket) -> bool {
        let Some(class) = self.classes.get_mut(&ticket.priority) else {
            return false;
        };
        let Some(queue) = class.callers.get_mut(&ticket.caller) else {
            return false;
        };
        if queue.on_time.remove(&Position::on_time(ticket)) {
            class.on_time -= 1;
        } else if queue.late.remove(&Position::late(ticket)) {
            class.late -= 1;
        } else {
            return false;
        }
        self.len -= 1;
        let turn = class.turn;
        // The virtual time of a caller without waiting requests is kept until the others have caught up
        // with it. Else it would get a larger share than its weight by submitting one request at a time.
        class.callers.retain(|_, queue| queue.len() > 0 || queue.start > turn);
        if class.len() == 0 {
            self.classes.remove(&ticket.priority);
        }
        true
    }

    /// Request to preempt from a full queue for a new one, if any: at the least urgent priority, the last
    /// request of the caller with the most waiting requests for its weight.
    pub(crate) fn preempted_by(&self, ticket: &Ticket) -> Option<id::Request> {
        let (priority, class) = self.classes.last_key_value()?;
        let (caller, queue) = class.callers.iter().max_by_key(|(_, queue)| queue.share(0))?;
        let latest = queue.late.last().or_else(|| queue.on_time.last()).map(|position| position.request);
        if *priority > ticket.priority {
            return latest;
        }
        if *priority < ticket.priority || *caller == ticket.caller {
            return None;
        }
        let own =
            class.callers.get(&ticket.caller).map_or_else(|| share(1, ticket.weight), |queue| queue.share(1));
        if queue.share(0) > own { latest } else { None }
    }
}
