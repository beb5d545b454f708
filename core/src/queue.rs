//! The line of requests that wait for one model or service: by priority, then by fair shares between
//! callers, then by earliest deadline.

use std::collections::{BTreeMap, BTreeSet};

use crate::id;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// Virtual time that a unit of cost takes at weight one.
const SCALE: u64 = 1 << 20;

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
    /// Its deadline.
    pub deadline: Time,
    /// What it counts against the caller's share, in any unit.
    pub cost: u32,
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
    len: usize,
}

/// What one caller has waiting, and the virtual time from which it is to be served.
#[derive(Debug)]
struct Line {
    weight: u32,
    start: u64,
    waiting: BTreeSet<(Time, id::Request)>,
}

impl Line {
    /// Requests waiting for each unit of weight, in thousandths; `more` counts on top.
    fn share(&self, more: usize) -> u64 {
        share(self.waiting.len() + more, self.weight)
    }
}

fn share(len: usize, weight: u32) -> u64 {
    len as u64 * 1_000 / u64::from(weight.max(1))
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
        self.classes.range(..=priority).map(|(_, class)| class.len).sum()
    }

    /// Puts a request in line.
    pub(crate) fn push(&mut self, ticket: &Ticket) {
        let class = self.classes.entry(ticket.priority).or_default();
        let turn = class.turn;
        let line = class.lines.entry(ticket.caller.clone()).or_insert_with(|| Line {
            weight: ticket.weight,
            start: turn,
            waiting: BTreeSet::new(),
        });
        if line.waiting.is_empty() {
            line.start = line.start.max(turn);
        }
        line.weight = ticket.weight.max(1);
        if line.waiting.insert((ticket.deadline, ticket.request)) {
            class.len += 1;
            self.len += 1;
        }
    }

    /// The request whose turn it is.
    pub(crate) fn peek(&self) -> Option<id::Request> {
        self.first().map(|(_, (_, request))| request)
    }

    /// Priority and deadline of the request whose turn it is.
    pub(crate) fn urgency(&self) -> Option<(Priority, Time)> {
        self.first().map(|(priority, (deadline, _))| (priority, deadline))
    }

    fn first(&self) -> Option<(Priority, (Time, id::Request))> {
        let (priority, class) = self.classes.first_key_value()?;
        let line = class
            .lines
            .values()
            .filter(|line| !line.waiting.is_empty())
            .min_by_key(|line| (line.start, line.waiting.first().copied()))?;
        Some((*priority, *line.waiting.first()?))
    }

    /// Takes a request out whose turn has come, at its caller's charge.
    pub(crate) fn serve(&mut self, ticket: &Ticket) {
        if let Some(class) = self.classes.get_mut(&ticket.priority)
            && let Some(line) = class.lines.get_mut(&ticket.caller)
        {
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
        let found = class
            .lines
            .get_mut(&ticket.caller)
            .is_some_and(|line| line.waiting.remove(&(ticket.deadline, ticket.request)));
        if !found {
            return false;
        }
        class.len -= 1;
        self.len -= 1;
        let turn = class.turn;
        // A caller's account stays until the others have caught up with it.
        class.lines.retain(|_, line| !line.waiting.is_empty() || line.start > turn);
        if class.len == 0 {
            self.classes.remove(&ticket.priority);
        }
        true
    }

    /// The request that has to give up its place in a full line for a new one, if one does: of the least
    /// urgent, the caller that holds most of the line for its weight gives up its latest.
    pub(crate) fn displaced(&self, ticket: &Ticket) -> Option<id::Request> {
        let (priority, class) = self.classes.last_key_value()?;
        let (caller, line) = class.lines.iter().max_by_key(|(_, line)| line.share(0))?;
        let latest = line.waiting.last().map(|(_, request)| *request);
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
