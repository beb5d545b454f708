//! Departures: engines that are leaving or gone, the source from which this process learned of each, and the engines' own announcements.

use std::collections::BTreeMap;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::cursor::Cursor;
use crate::effect::Effect;
use crate::engine::{Entry, Incarnation};
use crate::flow;
use crate::frame::{self, Position};
use crate::notice::Start;
use crate::push::{self, Message};
use crate::record::Record;
use crate::state::State;

/// Maximum number of remembered announcements; beyond it the oldest is dropped.
const ANNOUNCEMENTS_MAX: usize = 1_000;

/// How this process learned that an engine is leaving or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A response of the engine itself.
    Answer,
    /// This process's own read of the engines' table.
    Table,
    /// A push from another entry VM.
    Push,
    /// A frame that this process received as the hub.
    Frame,
    /// The hub's reply to a frame.
    Reply,
}

impl Source {
    /// The label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Table => "table",
            Self::Push => "push",
            Self::Frame => "frame",
            Self::Reply => "reply",
        }
    }
}

/// Which entry VMs this process notified of departures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Audience {
    /// All entry VMs.
    All,
    /// The entry VMs of its own availability zone.
    Zone,
    /// None: the sender of the notification notifies the others too, or this process does not read the table on behalf of others.
    Nobody,
}

impl Audience {
    /// The label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Zone => "zone",
            Self::Nobody => "nobody",
        }
    }
}

/// An announcement by one start of an engine that it is leaving.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    incarnation: Incarnation,
    /// When this process received it.
    at: Time,
    /// Its number among the changes of the announcements stored here.
    number: u64,
    /// Whether this process has to report it to the hub.
    report: bool,
}

/// The part of the hub's reply to a frame that concerns announcements of engines.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The lease term under which the sender is the hub.
    pub(crate) term: u64,
    /// The number of the last change that the frame reported.
    pub(crate) reported_up_to: u64,
    /// Announcements that this process lacked.
    pub(crate) departing: Vec<Start>,
    /// The number of the hub's last change.
    pub(crate) version: u64,
}

/// Departures found since the last notification to the others.
#[derive(Debug, Default)]
struct Pending {
    /// Engines that are leaving or gone according to their rows.
    rows: Vec<Name>,
    /// Announcements by engines themselves.
    announcements: Vec<Start>,
}

/// The engines' own announcements that they are leaving, which are known independently of their rows, and which of them the other entry VMs
/// still have to be notified of.
///
/// An older row, or a row that expires and is written again, does not revoke an announcement.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    announcements: BTreeMap<Name, Announcement>,
    /// Numbers the changes of the announcements.
    cursor: Cursor,
    /// The number of the last change that was broadcast without a hub.
    broadcast: u64,
    pending: Pending,
    /// Number of departures learned here, by source.
    pub(crate) learned: BTreeMap<Source, u64>,
    /// Number of departures of which others were notified, by audience.
    pub(crate) notified: BTreeMap<Audience, u64>,
}

impl Departures {
    /// Whether this start of an engine has announced that it is leaving.
    pub(crate) fn is_leaving(&self, engine: &Name, incarnation: Incarnation) -> bool {
        self.announcements.get(engine).is_some_and(|announcement| announcement.incarnation == incarnation)
    }

    /// Stores the announcement of an engine's start. `report`: whether it has to be reported to the hub.
    fn insert(&mut self, engine: Name, incarnation: Incarnation, report: bool, now: Time) {
        if self.announcements.len() >= ANNOUNCEMENTS_MAX {
            let earliest = self.announcements.iter().min_by_key(|(_, announcement)| announcement.at);
            if let Some(earliest) = earliest.map(|(engine, _)| engine.clone()) {
                self.announcements.remove(&earliest);
            }
        }
        let number = self.cursor.next();
        self.announcements.insert(engine, Announcement { incarnation, at: now, number, report });
    }

    /// Handles the removal of an engine. Without a start time in the announcement, a later start under the same id could not be told apart
    /// from the one that left, so that its announcement is dropped.
    pub(crate) fn engine_removed(&mut self, engine: &Name) {
        if self.announcements.get(engine).is_some_and(|announcement| announcement.incarnation.0.is_none()) {
            self.announcements.remove(engine);
        }
    }

    /// Notes that an engine's row shows it as leaving or gone, which the previous row did not.
    pub(crate) fn row_departed(&mut self, engine: &Name) {
        self.pending.rows.push(engine.clone());
    }

    /// Announcements that the hub lacks, and the number of the last change.
    pub(crate) fn unreported(&self) -> (Vec<Start>, u64) {
        let unreported = |one: &Announcement| one.report && self.cursor.is_unreported(one.number);
        (self.announcements_where(unreported), self.cursor.last_change())
    }

    /// Whether the hub lacks any announcement.
    pub(crate) fn has_unreported(&self) -> bool {
        self.announcements
            .values()
            .any(|announcement| announcement.report && self.cursor.is_unreported(announcement.number))
    }

    /// The last of the hub's changes that this process has.
    pub(crate) const fn hub_position(&self) -> Position {
        self.cursor.hub_position()
    }

    /// As the hub of this term, returns the announcements that an entry VM at `position` lacks, and the number of the last change.
    pub(crate) fn changed_since(&self, term: u64, position: Position) -> (Vec<Start>, u64) {
        let since = Cursor::acknowledged(term, position);
        (self.announcements_where(|announcement| announcement.number > since), self.cursor.last_change())
    }

    fn announcements_where(&self, wanted: impl Fn(&Announcement) -> bool) -> Vec<Start> {
        let wanted = self.announcements.iter().filter(|(_, announcement)| wanted(announcement));
        wanted
            .map(|(engine, announcement)| Start {
                engine: engine.clone(),
                incarnation: announcement.incarnation,
            })
            .collect()
    }
}

/// Keeps leaving engines as leaving after the store was restored from an older copy, whose rows may be from before they were marked so.
pub(crate) fn keep_leaving(state: &mut State, now: Time) {
    let State { engines, departures, .. } = state;
    for engine in engines.values_mut().filter(|engine| engine.entry.leaving) {
        let Entry { id, incarnation, .. } = &engine.entry;
        engine.announced_leaving = true;
        if !departures.is_leaving(id, *incarnation) {
            departures.insert(id.clone(), *incarnation, false, now);
        }
    }
}

/// Handles an engine's announcement that it is leaving: it gets no more work. An engine that is not listed now may reappear with the same
/// start, so that its announcement is stored as well.
pub(crate) fn mark_leaving(
    state: &mut State,
    now: Time,
    from: &Start,
    source: Source,
    out: &mut Vec<Effect>,
) {
    let later = state
        .departures
        .announcements
        .get(&from.engine)
        .is_some_and(|announcement| announcement.incarnation >= from.incarnation);
    let listed = state.engines.get(&from.engine).map(|known| &known.entry);
    // An announcement of an earlier start no longer applies.
    if later || listed.is_some_and(|listed| listed.incarnation > from.incarnation) {
        return;
    }
    if listed.is_none() && from.incarnation.0.is_none() {
        return;
    }
    // If its row shows it as leaving too, the others learn of it from that row.
    let is_new = listed.is_none_or(|listed| !listed.leaving || listed.incarnation != from.incarnation);
    state.departures.insert(from.engine.clone(), from.incarnation, is_new && source == Source::Answer, now);
    if is_new {
        state.departures.pending.announcements.push(from.clone());
    }
    let known = state.engines.get_mut(&from.engine);
    // The row of this start has not been read yet.
    let Some(known) = known.filter(|known| known.entry.incarnation == from.incarnation) else {
        return;
    };
    let before = known.is_leaving();
    known.announced_leaving = true;
    let version = known.version.version;
    if !before {
        let (engine, service) = (from.engine.clone(), known.entry.service.clone());
        out.push(Effect::Record(Record::Engine { engine, service, state: "says_leaving", version }));
        record_learned(state, &from.engine, source, version, out);
    }
    flow::cancel_reservations(state, now, &from.engine, out);
}

/// Takes over announcements from another entry VM.
pub(crate) fn receive(
    state: &mut State,
    now: Time,
    announcements: &[Start],
    source: Source,
    out: &mut Vec<Effect>,
) {
    for announcement in announcements {
        mark_leaving(state, now, announcement, source, out);
    }
}

/// Handles the hub's reply to a frame.
pub(crate) fn hub_replied(state: &mut State, now: Time, answer: &Answer, out: &mut Vec<Effect>) {
    let State { departures, engines, .. } = state;
    if departures.cursor.hub_replied(answer.term, answer.reported_up_to) {
        // The new hub may lack what was reported to its predecessor.
        for (engine, announcement) in &mut departures.announcements {
            announcement.report |= engines.contains_key(engine);
        }
    }
    receive(state, now, &answer.departing, Source::Reply, out);
    drop_pending(state, out);
    state.departures.cursor.set_hub_version(answer.version);
}

/// Sends the departures found since the last notification: the hub notifies all entry VMs, a process that reads the table on behalf of its
/// availability zone notifies that zone, and any other process reports them to the hub.
pub(crate) fn notify(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let Pending { rows, announcements } = std::mem::take(&mut state.departures.pending);
    if rows.is_empty() && announcements.is_empty() {
        return;
    }
    let engines: Vec<Name> =
        rows.iter().chain(announcements.iter().map(|announcement| &announcement.engine)).cloned().collect();
    let departures = rows.iter().filter_map(|id| state.row_of(now, id)).collect();
    let message = Message { departure_rows: departures, departing: announcements, ..Message::default() };
    let audience = push::notify(state, now, &message, out);
    record_notified(state, audience, &engines, out);
    frame::report_reading(state, now, out);
}

/// Drops the departures found since the last notification: their sender has notified the others as well.
pub(crate) fn drop_pending(state: &mut State, out: &mut Vec<Effect>) {
    let Pending { rows, announcements } = std::mem::take(&mut state.departures.pending);
    let engines: Vec<Name> =
        rows.into_iter().chain(announcements.into_iter().map(|announcement| announcement.engine)).collect();
    record_notified(state, Audience::Nobody, &engines, out);
}

/// Broadcasts announcements that engines made to this process at once, because no hub answers that could pass them on.
pub(crate) fn notify_without_hub(state: &mut State, out: &mut Vec<Effect>) {
    let Departures { cursor, broadcast, .. } = &state.departures;
    let new = |one: &Announcement| one.report && cursor.is_unreported(one.number) && one.number > *broadcast;
    let departing = state.departures.announcements_where(new);
    if departing.is_empty() {
        return;
    }
    state.departures.broadcast = state.departures.cursor.last_change();
    let engines: Vec<Name> = departing.iter().map(|announcement| announcement.engine.clone()).collect();
    push::broadcast(state, &Message { departing, ..Message::default() }, out);
    record_notified(state, Audience::All, &engines, out);
}

/// Counts and logs a departure. `version` is that of the engine's row, also if the row does not show it.
pub(crate) fn record_learned(
    state: &mut State,
    engine: &Name,
    source: Source,
    version: u64,
    out: &mut Vec<Effect>,
) {
    *state.departures.learned.entry(source).or_default() += 1;
    out.push(Effect::Record(Record::Departure { engine: engine.clone(), road: source.label(), version }));
}

/// Counts and logs a notification of departures.
pub(crate) fn record_notified(
    state: &mut State,
    audience: Audience,
    engines: &[Name],
    out: &mut Vec<Effect>,
) {
    *state.departures.notified.entry(audience).or_default() += engines.len() as u64;
    if let Some(engine) = engines.first().cloned() {
        let engines = engines.len();
        out.push(Effect::Record(Record::DeparturesTold { engine, engines, to: audience.label() }));
    }
}
