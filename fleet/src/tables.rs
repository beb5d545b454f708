//! Takes over the contents of the platform's store: the configuration and the table of engines.

mod row;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;

use crate::config::{Config, Table};
use crate::departure::{self, Source};
use crate::effect::Effect;
use crate::engine::Row;
use crate::era;
use crate::event::Listing;
use crate::flow;
use crate::frame;
use crate::freshness::{self, Confirmation};
use crate::proof;
use crate::quota;
use crate::record::{Record, ms};
use crate::revision::Revision;
use crate::rollout;
use crate::state::{Gap, State};
pub(crate) use row::entry_expired;
use row::take;

/// Takes over a version of the configuration, unless it is lower than the current one.
pub(crate) fn apply_config(
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
    quota::config_changed(state);
    if let Some(before) = state.config.replace(config) {
        state.updates.retire(before);
    }
    update_readiness(state, out);
    rollout::config_changed(state, now, before, out);
    frame::report_reading(state, now, out);
}

/// Reports a change of whether this entry VM is ready to serve.
pub(crate) fn update_readiness(state: &mut State, out: &mut Vec<Effect>) {
    let ready = frame::can_serve(state) && !state.stopping;
    if ready != state.ready {
        state.ready = ready;
        out.push(Effect::Ready(ready));
    }
}

/// Records whether the store can be reached.
pub(crate) fn set_store_reachable(state: &mut State, now: Time, reachable: bool, out: &mut Vec<Effect>) {
    if reachable != state.store_up {
        state.store_up = reachable;
        out.push(Effect::Record(Record::Store { state: if reachable { "found" } else { "lost" } }));
    }
    if reachable {
        state.table_read_at = Some(now);
    } else {
        state.store_failing_since = Some(now);
    }
}

/// The result of reading the operator's table.
pub(crate) struct Outcome {
    /// The store's revision as of which it was read.
    pub(crate) version: Revision,
    /// The version of the configuration in it.
    pub(crate) config: u64,
    /// When the query was sent to the store.
    pub(crate) asked: Time,
}

/// Handles a read of the operator's table, whose configuration has already been taken over.
pub(crate) fn config_read(state: &mut State, now: Time, read: &Outcome, out: &mut Vec<Effect>) {
    let Outcome { version, config, asked } = *read;
    era::observe(state, now, version.era, out);
    if reject_outdated(state, "config", version.era, out) {
        return;
    }
    // A restored copy of the store may have an older configuration than the current one until the operator writes that again.
    if config < frame::config_version(state) {
        return;
    }
    state.config_revision = state.config_revision.max(version);
    if state.era.is_settled(asked, &state.settings) {
        proof::renew(state, now, asked, out);
    }
}

/// Whether an answer of the store is from before its last restore. Such answers are counted and logged.
fn reject_outdated(state: &mut State, what: &'static str, era: u64, out: &mut Vec<Effect>) -> bool {
    if !era::is_outdated(state, era) {
        return false;
    }
    state.outdated_answers += 1;
    out.push(Effect::Record(Record::Outdated { what, era, now: state.era.number() }));
    true
}

/// Handles a read of the engines' table, or of a part of it.
pub(crate) fn apply_listing(
    state: &mut State,
    now: Time,
    listing: Listing,
    source: Source,
    out: &mut Vec<Effect>,
) {
    era::observe(state, now, listing.version.era, out);
    if reject_outdated(state, "engines", listing.version.era, out) {
        return;
    }
    let before = state.engines_revision;
    let mut changed = 0;
    if listing.whole {
        changed += remove_missing(state, now, &listing, source, out);
        record_complete_read(state, listing.version);
    }
    let skipped_rows = skipped_rows(state, &listing);
    let as_of = listing.as_of.unwrap_or_default();
    for row in listing.rows {
        changed += usize::from(take(state, now, as_of, row, source, out));
    }
    departure::notify(state, now, out);
    if let Some(record) = skipped_rows {
        out.push(Effect::Record(record));
    }
    state.engines_revision = state.engines_revision.max(listing.version);
    state.era.set_first_listed(listing.version.version);
    if let Some(as_of) = listing.as_of {
        if source == Source::Table {
            let confirmation = Confirmation { asked: as_of, age: Duration::ZERO, source: "store" };
            freshness::renew(state, now, confirmation, out);
        }
        confirm_resurrected(state, now, as_of, out);
    }
    if before.is_known() && before.era < listing.version.era {
        log_first_listing(state, now, out);
    }
    if changed > 0 {
        out.push(Effect::Record(Record::Listed {
            era: state.engines_revision.era,
            version: state.engines_revision.version,
            whole: listing.whole,
            changed,
            engines: state.engines.len(),
            leaving: state.engines.values().filter(|engine| engine.is_leaving()).count(),
        }));
    }
    update_readiness(state, out);
    flow::request_rescan(state);
}

/// Takes over individual rows from another entry VM. Unlike a listing, they do not mean that the table is known up to their revision.
pub(crate) fn receive_rows(
    state: &mut State,
    now: Time,
    rows: Vec<Row>,
    source: Source,
    out: &mut Vec<Effect>,
) {
    for row in rows {
        era::observe(state, now, row.version.era, out);
        if !era::is_outdated(state, row.version.era) {
            take(state, now, Time::default(), row, source, out);
        }
    }
}

/// Records a complete read of the table. Removals between it and the revision known before may be unknown here.
fn record_complete_read(state: &mut State, version: Revision) {
    if !state.engines_revision.is_known() {
        state.tombstones_since = version;
        return;
    }
    let gap = Gap { after: state.engines_revision, until: version };
    if let Some(before) = state.gap.replace(gap) {
        state.tombstones_since = state.tombstones_since.max(before.until);
    }
}

/// Logs the first listing of the engines' table in a new era.
fn log_first_listing(state: &State, now: Time, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Reread {
        era: state.engines_revision.era,
        version: state.engines_revision.version,
        after_ms: ms(now.since(state.era.since())),
        lacking: state.engines.values().filter(|engine| engine.missing_until.is_some()).count(),
        returned: state.resurrected.len(),
    }));
}

/// Removes engines that a complete listing does not contain. Returns how many of them had counted as present.
fn remove_missing(
    state: &mut State,
    now: Time,
    listing: &Listing,
    source: Source,
    out: &mut Vec<Effect>,
) -> usize {
    let named: FxHashSet<&Name> = listing.rows.iter().map(|row| &row.id).collect();
    let known = state.engines.values().filter(|engine| engine.version <= listing.version);
    let known = known.map(|engine| &engine.entry.id);
    // The others may have received entries that a restored copy of the store had.
    let resurrected = state.resurrected.keys().filter(|id| !state.engines.contains_key(*id));
    let gone = known.chain(resurrected).filter(|id| !named.contains(id));
    let gone: Vec<Name> = gone.cloned().collect();
    // A restored copy of the store lacks the engines that registered after it was made.
    let grace_left = state.era.rewrite_time_left(now, &state.settings);
    let mut changed = 0;
    for id in gone {
        let row = Row { id, version: listing.version, entry: None, grace_left };
        changed += usize::from(take(state, now, now, row, source, out));
    }
    changed
}

/// Counts the rows that are older than those already known, and returns a log record for them if there are any.
fn skipped_rows(state: &mut State, listing: &Listing) -> Option<Record> {
    let older = |row: &Row| newest_revision(state, &row.id).filter(|known| *known > row.version);
    let mut passed = listing.rows.iter().filter_map(|row| older(row).map(|known| (row, known)));
    let (row, known) = passed.next()?;
    let rows = 1 + passed.count();
    state.stale_rows_skipped += rows as u64;
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
fn newest_revision(state: &State, id: &Name) -> Option<Revision> {
    let listed = state.engines.get(id).map(|engine| engine.version);
    listed.max(state.tombstones.get(id).map(|removed| removed.version))
}

/// Accepts the entries that were in doubt after a restore, once the view of the table is complete up to a time by which the store would have
/// removed the entries of engines that are gone.
pub(crate) fn confirm_resurrected(state: &mut State, now: Time, as_of: Time, out: &mut Vec<Effect>) {
    if state.resurrected.is_empty() || state.era.may_list_removed(as_of, &state.settings) {
        return;
    }
    for (_, row) in std::mem::take(&mut state.resurrected) {
        take(state, now, as_of, row, Source::Table, out);
    }
    flow::request_rescan(state);
}
