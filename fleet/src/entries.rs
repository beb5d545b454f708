//! Takes over the contents of the platform's store: the configuration and the table of engines.

mod row;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;

use crate::config::{Config, Table};
use crate::departure::{self, Road};
use crate::effect::Effect;
use crate::engine::Row;
use crate::era;
use crate::event::Listing;
use crate::flow;
use crate::frame;
use crate::freshness::{self, Word};
use crate::proof;
use crate::quota;
use crate::record::{Record, ms};
use crate::revision::Revision;
use crate::rollout;
use crate::state::{Gap, State};
pub(crate) use row::lapsed;
use row::take;

/// Takes over a version of the configuration, unless it is lower than the current one.
pub(crate) fn configured(
    state: &mut State,
    now: Time,
    config: Arc<Config>,
    source: &'static str,
    out: &mut Vec<Effect>,
) {
    let before = state.config.as_ref().map_or(0, |config| config.version);
    if state.config.is_some() && config.version <= before {
        return;
    }
    out.push(Effect::Record(Record::Configured {
        version: config.version,
        before,
        routes: config.routes.len(),
        source,
    }));
    if state.config.as_ref().is_none_or(|before| before.limits != config.limits) {
        out.push(Effect::Limit(config.limits));
    }
    state.routes = Table::new(&config);
    quota::configured(state);
    if let Some(before) = state.config.replace(config) {
        state.updates.replaced(before);
    }
    announce(state, out);
    rollout::changed(state, now, before, out);
    frame::tell_hub(state, now, out);
}

/// Reports a change of whether this entry VM is ready to serve.
pub(crate) fn announce(state: &mut State, out: &mut Vec<Effect>) {
    let ready = frame::knows(state) && !state.stopping;
    if ready != state.ready {
        state.ready = ready;
        out.push(Effect::Ready(ready));
    }
}

/// Records whether the store can be reached.
pub(crate) fn store_up(state: &mut State, now: Time, up: bool, out: &mut Vec<Effect>) {
    if up != state.store_up {
        state.store_up = up;
        out.push(Effect::Record(Record::Store { state: if up { "found" } else { "lost" } }));
    }
    if up {
        state.read_at = Some(now);
    } else {
        state.store_troubled = Some(now);
    }
}

/// The result of reading the operator's table.
pub(crate) struct Declared {
    /// The store's revision as of which it was read.
    pub(crate) version: Revision,
    /// The version of the configuration in it.
    pub(crate) config: u64,
    /// When the query was sent to the store.
    pub(crate) asked: Time,
}

/// Handles a read of the operator's table, whose configuration has already been taken over.
pub(crate) fn declared(state: &mut State, now: Time, read: &Declared, out: &mut Vec<Effect>) {
    let Declared { version, config, asked } = *read;
    era::heard(state, now, version.era, out);
    if outdated(state, "config", version.era, out) {
        return;
    }
    // A restored copy of the store may have an older configuration than the current one until the operator writes that again.
    if config < frame::version(state) {
        return;
    }
    state.declared = state.declared.max(version);
    if state.era.is_settled(asked, &state.settings) {
        proof::renew(state, now, asked, out);
    }
}

/// Whether an answer of the store is from before its last restore. Such answers are counted and logged.
fn outdated(state: &mut State, what: &'static str, era: u64, out: &mut Vec<Effect>) -> bool {
    if !era::is_past(state, era) {
        return false;
    }
    state.answers_outdated += 1;
    out.push(Effect::Record(Record::Outdated { what, era, now: state.era.number() }));
    true
}

/// Handles a read of the engines' table, or of a part of it.
pub(crate) fn listed(state: &mut State, now: Time, listing: Listing, road: Road, out: &mut Vec<Effect>) {
    era::heard(state, now, listing.version.era, out);
    if outdated(state, "engines", listing.version.era, out) {
        return;
    }
    let before = state.listed;
    let mut changed = 0;
    if listing.whole {
        changed += missing(state, now, &listing, road, out);
        note_whole(state, listing.version);
    }
    let passed_over = passed_over(state, &listing);
    let as_of = listing.as_of.unwrap_or_default();
    for row in listing.rows {
        changed += usize::from(take(state, now, as_of, row, road, out));
    }
    departure::tell(state, now, out);
    if let Some(record) = passed_over {
        out.push(Effect::Record(record));
    }
    state.listed = state.listed.max(listing.version);
    state.era.listed(listing.version.version);
    if let Some(as_of) = listing.as_of {
        if road == Road::Table {
            let word = Word { asked: as_of, age: Duration::ZERO, source: "store" };
            freshness::renew(state, now, word, out);
        }
        confirmed(state, now, as_of, out);
    }
    if before.is_known() && before.era < listing.version.era {
        reread(state, now, out);
    }
    if changed > 0 {
        out.push(Effect::Record(Record::Listed {
            era: state.listed.era,
            version: state.listed.version,
            whole: listing.whole,
            changed,
            engines: state.engines.len(),
            leaving: state.engines.values().filter(|engine| engine.leaves()).count(),
        }));
    }
    announce(state, out);
    flow::stir_later(state);
}

/// Takes over individual rows from another entry VM. Unlike a listing, they do not mean that the table is known up to their revision.
pub(crate) fn told(state: &mut State, now: Time, rows: Vec<Row>, road: Road, out: &mut Vec<Effect>) {
    for row in rows {
        era::heard(state, now, row.version.era, out);
        if !era::is_past(state, row.version.era) {
            take(state, now, Time::default(), row, road, out);
        }
    }
}

/// Records a complete read of the table. Removals between it and the revision known before may be unknown here.
fn note_whole(state: &mut State, version: Revision) {
    if !state.listed.is_known() {
        state.removals_from = version;
        return;
    }
    let gap = Gap { after: state.listed, until: version };
    if let Some(before) = state.gap.replace(gap) {
        state.removals_from = state.removals_from.max(before.until);
    }
}

/// Logs the first listing of the engines' table in a new era.
fn reread(state: &State, now: Time, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Reread {
        era: state.listed.era,
        version: state.listed.version,
        after_ms: ms(now.since(state.era.since())),
        lacking: state.engines.values().filter(|engine| engine.missing_until.is_some()).count(),
        returned: state.returned.len(),
    }));
}

/// Removes engines that a complete listing does not contain. Returns how many of them had counted as present.
fn missing(state: &mut State, now: Time, listing: &Listing, road: Road, out: &mut Vec<Effect>) -> usize {
    let named: FxHashSet<&Name> = listing.rows.iter().map(|row| &row.id).collect();
    let known = state.engines.values().filter(|engine| engine.version <= listing.version);
    let known = known.map(|engine| &engine.entry.id);
    // The others may have received entries that a restored copy of the store had.
    let returned = state.returned.keys().filter(|id| !state.engines.contains_key(*id));
    let gone = known.chain(returned).filter(|id| !named.contains(id));
    let gone: Vec<Name> = gone.cloned().collect();
    // A restored copy of the store lacks the engines that registered after it was made.
    let lapses = state.era.rewrites(now, &state.settings);
    let mut changed = 0;
    for id in gone {
        let row = Row { id, version: listing.version, entry: None, lapses };
        changed += usize::from(take(state, now, now, row, road, out));
    }
    changed
}

/// Counts the rows that are older than those already known, and returns a log record for them if there are any.
fn passed_over(state: &mut State, listing: &Listing) -> Option<Record> {
    let older = |row: &Row| known(state, &row.id).filter(|known| *known > row.version);
    let mut passed = listing.rows.iter().filter_map(|row| older(row).map(|known| (row, known)));
    let (row, known) = passed.next()?;
    let rows = 1 + passed.count();
    state.rows_passed_over += rows as u64;
    Some(Record::PassedOver {
        rows,
        engine: row.id.clone(),
        version: row.version.version,
        known: known.version,
        era: listing.version.era,
        read: listing.version.version,
        whole: listing.whole,
    })
}

/// Returns the store's revision of the newest known row of an engine.
fn known(state: &State, id: &Name) -> Option<Revision> {
    let listed = state.engines.get(id).map(|engine| engine.version);
    listed.max(state.removed.get(id).map(|removed| removed.version))
}

/// Accepts the entries that were in doubt after a restore, once the view of the table is complete up to a time by which the store would have
/// removed the entries of engines that are gone.
pub(crate) fn confirmed(state: &mut State, now: Time, as_of: Time, out: &mut Vec<Effect>) {
    if state.returned.is_empty() || state.era.doubts_removed(as_of, &state.settings) {
        return;
    }
    for (_, row) in std::mem::take(&mut state.returned) {
        take(state, now, as_of, row, Road::Table, out);
    }
    flow::stir_later(state);
}
