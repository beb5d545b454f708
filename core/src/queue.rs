//! The line of requests that wait for one model or service: by priority, then by fair shares between
//! callers, then by earliest deadline.
//!
//! Of one priority, requests that can still meet the target for the first token go before those that
//! cannot, but for one turn in a few: in an overload most are then answered in time, where serving strictly
//! by age would answer all of them late.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// Virtual time that a unit of cost takes at weight one.
const SCALE: u64 = 1 << 20;
/// One turn in this many goes to requests that are late already.
pub(crate) const LATE_TURN: u32 = 8;

/// A request's place in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ticket {
    /// The request.
    pub request: id::Request,
    /// Whose it is.
    pub caller: Name,
    /// The caller's weight against others of the same priority.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// When it has to be sent to meet the target.
    pub due: Time,
    /// Its deadline.
    pub deadline: Time,
    /// What it counts against the caller's share, in any unit.
    pub cost: u32,
}

/// Where a request stands in its caller's line.
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

/// All that waits for one model or service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    classes: BTreeMap<Priority, Class>,
    len: usize,
}

/// What waits at one priority. `turn` is the virtual time of the caller served last.
#[derive(Debug, Default)]
struct Class {
    lines: BTreeMap<Name, Line>,
    turn: u64,
    served: u32,
    timely: usize,
    late: usize,
}

/// What one caller has waiting, and the virtual time from which it is to be served.
#[derive(Debug)]
struct Line {
    weight: u32,
    start: u64,
    /// By the time they have to be sent, then by their deadline.
    timely: BTreeSet<Place>,
    /// By their deadline.
    late: BTreeSet<Place>,
}

impl Line {
    fn len(&self) -> usize {
        self.timely.len() + self.late.len()
    }

    /// Requests waiting for each unit of weight, in thousandths; `more` counts on top.
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
    /// Requests waiting.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub(crate) const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests waiting that come before a new one of `priority`, taking callers together.
    pub(crate) fn ahead(&self, priority: Priority) -> usize {
        let more_urgent: usize = self.classes.range(..priority).map(|(_, class)| class.len()).sum();
        more_urgent + self.classes.get(&priority).map_or(0, |class| class.timely)
    }

    /// Requests of `priority` that are late, and all that wait before these.
    pub(crate) fn late(&self, priority: Priority) -> (usize, usize) {
        let late = self.classes.get(&priority).map_or(0, |class| class.late);
        (late, self.classes.range(..priority).map(|(_, class)| class.len()).sum())
    }

    /// Puts a request in line.
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

    /// The requests that have become too late for the target by `now`.
    pub(crate) fn overdue(&self, now: Time) -> Vec<id::Request> {
        let lines =
            self.classes.values().filter(|class| class.timely > 0).flat_map(|class| class.lines.values());
        lines
            .flat_map(|line| line.timely.iter().take_while(|place| place.first < now))
            .map(|place| place.request)
            .collect()
    }

    /// Lets a request wait among those that are late.
    pub(crate) fn delay(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(line) = class.lines.get_mut(&ticket.caller)
            && line.timely.remove(&Place::timely(ticket))
        {
            line.late.insert(Place::late(ticket));
            class.timely -= 1;
            class.late += 1;
        }
    }

    /// The request whose turn it is.
    pub(crate) fn peek(&self) -> Option<id::Request> {
        let (_, class) = self.classes.first_key_value()?;
        class.next().map(|place| place.request)
    }

    /// Priority and time of the request whose turn it is.
    pub(crate) fn urgency(&self) -> Option<(Priority, Time)> {
        let (priority, class) = self.classes.first_key_value()?;
        class.next().map(|place| (*priority, place.first))
    }

    /// Takes a request out whose turn has come, at its caller's charge.
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

    /// Takes a request out. Returns whether it was there.
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
        // A caller's account stays until the others have caught up with it.
        class.lines.retain(|_, line| line.len() > 0 || line.start > turn);
        if class.len() == 0 {
            self.classes.remove(&ticket.priority);
        }
        true
    }

    /// The request that has to give up its place in a full line for a new one, if one does: of the least
    /// urgent, the caller that holds most of the line for its weight gives up its latest.
    pub(crate) fn displaced(&self, ticket: &Ticket) -> Option<id::Request> {
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
