//! Summaries that zones send each other: which artifacts a zone holds ready, and their load.
//!
//! A summary contains the current state of some artifacts. Every summary has those whose number of copies
//! changed. Every few summaries, one also has those whose load changed considerably, and a share of the
//! others, so that the content of a lost summary is sent again within a limited time.

use std::collections::BTreeMap;

use crate::artifact::Artifact;
use crate::engine::Stage;
use crate::fleet::Backend;
use crate::id::Incarnation;
use crate::member;
use crate::name::Name;
use crate::peer::{Extent, Item, Offer, Summary};
use crate::state::State;
use crate::time::Time;

/// Number of shares that artifacts are divided into; each summary with loads contains one share in full.
const SHARES: u32 = 16;
/// One summary in this many contains loads.
const LOAD_EVERY: u32 = 8;
/// Smallest change of load that is sent, in eighths of an engine's slots.
const LOAD_STEP: u32 = 2;
/// Frame intervals without a summary after which a zone's offers are ignored.
const EXPIRY_INTERVALS: u32 = 8;
/// Units of load that a full engine has: load is counted in eighths of an engine's slots.
const LOAD_PARTS: u32 = 8;

/// Another zone, by its last summary.
#[derive(Debug, Default)]
pub(crate) struct Zone {
    /// Time of its last summary.
    pub last_heard: Time,
    /// Memory not used by copies, in MB.
    pub free_mb: u64,
    /// Lowest configuration version in force at its live entry VMs.
    pub config: u64,
    /// Entry VMs that are suspected there or are stopping.
    pub unavailable: Vec<Name>,
    by: Incarnation,
    seq: u64,
    offers: BTreeMap<u32, Offer>,
    /// Offers already forwarded within this zone, and the time of the last summary that was forwarded.
    sent: Sent,
    forwarded_at: Time,
}

impl Zone {
    /// A summary of it that `by` forwards.
    fn summary_item(
        &self,
        zone: Name,
        by: Incarnation,
        seq: u64,
        extent: Extent,
        offers: Vec<Offer>,
    ) -> Item {
        Item::Summary(Box::new(Summary {
            zone,
            by,
            seq,
            extent,
            offers,
            free_mb: self.free_mb,
            config: self.config,
            silent: self.unavailable.clone(),
        }))
    }
}

/// Offers of a zone already sent to one receiver.
#[derive(Debug, Default)]
struct Sent {
    offers: BTreeMap<u32, Offer>,
    /// Number of summaries sent so far.
    count: u32,
}

impl Sent {
    /// The offers for the next summary, and which artifacts they cover.
    fn next_offers(&mut self, current: &BTreeMap<u32, Offer>) -> (Vec<Offer>, Extent) {
        let is_first = self.count == 0;
        let with_load = is_first || self.count.is_multiple_of(LOAD_EVERY);
        let share = self.count / LOAD_EVERY % SHARES;
        self.count = self.count.wrapping_add(1).max(1);
        let needs_sending = |offer: &Offer| {
            let Some(sent) = self.offers.get(&offer.artifact_digest) else {
                return true;
            };
            let in_share = offer.artifact_digest % SHARES == share;
            sent.copies != offer.copies
                || (with_load && (in_share || sent.load.abs_diff(offer.load) >= LOAD_STEP))
        };
        let mut offers: Vec<Offer> =
            current.values().filter(|offer| is_first || needs_sending(offer)).copied().collect();
        let removed = self.offers.keys().filter(|artifact| !current.contains_key(artifact));
        offers.extend(removed.map(|artifact| Offer { artifact_digest: *artifact, copies: 0, load: 0 }));
        for offer in &offers {
            if offer.copies == 0 {
                self.offers.remove(&offer.artifact_digest);
            } else {
                self.offers.insert(offer.artifact_digest, *offer);
            }
        }
        let extent = match (is_first, with_load) {
            (true, _) => Extent::All,
            (false, true) => Extent::Share(share),
            (false, false) => Extent::Changes,
        };
        (offers, extent)
    }
}

/// State of this module: the other zones, and what was sent to them.
#[derive(Debug, Default)]
pub(crate) struct Part {
    zones: BTreeMap<Name, Zone>,
    /// What was sent to each linked entry VM of another zone.
    sent: BTreeMap<Name, Sent>,
    seq: u64,
}

/// The copies of one artifact in another zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ZoneOffer<'a> {
    /// The zone.
    pub zone: &'a Name,
    /// Number of ready copies.
    pub copies: u32,
    /// Load of the engines that hold it, in eighths of their slots.
    pub load: u32,
}

/// The other zones whose last summary has not expired.
pub(crate) fn recent_zones(state: &State, now: Time) -> impl Iterator<Item = (&Name, &Zone)> {
    let expiry = member::frame_interval(state) * EXPIRY_INTERVALS;
    state.summary.zones.iter().filter(move |(_, zone)| now.since(zone.last_heard) <= expiry)
}

/// The other zones that hold an artifact ready, the least loaded first.
pub(crate) fn zones_holding<'a>(state: &'a State, now: Time, artifact: &Artifact) -> Vec<ZoneOffer<'a>> {
    let digest = artifact.digest();
    let mut found: Vec<ZoneOffer> = recent_zones(state, now)
        .filter_map(|(name, zone)| {
            let offer = zone.offers.get(&digest).filter(|offer| offer.copies > 0)?;
            Some(ZoneOffer { zone: name, copies: offer.copies, load: offer.load })
        })
        .collect();
    found.sort_by_key(|zone_offer| (zone_offer.load, zone_offer.zone));
    found
}

/// The artifacts that this zone holds ready now. Engines without a recent report are left out, because other
/// zones may drop their copies in reliance on these.
fn offers(state: &State, now: Time) -> BTreeMap<u32, Offer> {
    #[derive(Default)]
    struct Sum {
        copies: u32,
        requests: u32,
        slots: u32,
    }
    let mut sums: BTreeMap<u32, Sum> = BTreeMap::new();
    let own = state.fleet.backends.values().filter(|backend| backend.zone == state.me.zone);
    let is_recent = |backend: &&Backend| backend.reported_within(now, state.settings.suspect_after);
    for backend in own.filter(|backend| backend.accepts_work()).filter(is_recent) {
        let slots = state.config.catalog.groups.get(&backend.group).map_or(1, |group| group.slots);
        let Some(report) = &backend.report else {
            continue;
        };
        let ready = report.copies.iter().filter(|copy| copy.stage == Stage::Ready);
        for copy in ready.filter(|copy| !backend.closing.contains(&copy.artifact)) {
            let sum = sums.entry(copy.artifact.digest()).or_default();
            sum.copies += 1;
            sum.requests += report.running + report.waiting;
            sum.slots += slots;
        }
    }
    let offer = |(artifact, sum): (u32, Sum)| {
        let load = sum.requests * LOAD_PARTS / sum.slots.max(1);
        (artifact, Offer { artifact_digest: artifact, copies: sum.copies, load })
    };
    sums.into_iter().map(offer).collect()
}

/// The next summary for an entry VM of another zone.
pub(crate) fn next_summary(state: &mut State, now: Time, peer: &Name) -> Item {
    let synced = state.member.peers.get(peer).is_some_and(|peer| peer.synced);
    let mut sent = state.summary.sent.remove(peer).filter(|_| synced).unwrap_or_default();
    let (offers, extent) = sent.next_offers(&offers(state, now));
    if let Some(peer) = state.member.peers.get_mut(peer) {
        peer.synced = peer.last_heard.is_some();
    }
    state.summary.seq += 1;
    state.summary.sent.insert(peer.clone(), sent);
    let links = member::links(state);
    state.summary.sent.retain(|name, _| links.contains(name));
    let peers = || member::zone_peers(state);
    let configs = peers().filter(|(_, peer)| peer.is_available()).map(|(_, peer)| peer.config_version);
    Item::Summary(Box::new(Summary {
        zone: state.me.zone.clone(),
        by: state.me.incarnation,
        seq: state.summary.seq,
        extent,
        offers,
        free_mb: free_mb(state),
        config: configs.chain([state.config.version]).min().unwrap_or_default(),
        silent: peers().filter(|(_, peer)| !peer.is_available()).map(|(name, _)| name.clone()).collect(),
    }))
}

fn free_mb(state: &State) -> u64 {
    let own = state.fleet.backends.values().filter(|backend| backend.zone == state.me.zone);
    let reports = own.filter_map(|backend| backend.report.as_ref());
    reports
        .map(|report| {
            let used_mb: u64 = report.copies.iter().map(|copy| copy.memory_mb).sum();
            report.memory_mb.saturating_sub(used_mb)
        })
        .sum()
}

/// Handles a summary, sent by the other zone itself or forwarded within this one.
pub(crate) fn summary_received(state: &mut State, now: Time, summary: &Summary) {
    if summary.zone == state.me.zone {
        return;
    }
    let zone = state.summary.zones.entry(summary.zone.clone()).or_default();
    if zone.by == summary.by && zone.seq >= summary.seq {
        return;
    }
    match summary.extent {
        Extent::All => zone.offers.clear(),
        Extent::Share(share) => zone.offers.retain(|artifact, _| artifact % SHARES != share),
        Extent::Changes => {}
    }
    for offer in &summary.offers {
        if offer.copies == 0 {
            zone.offers.remove(&offer.artifact_digest);
        } else {
            zone.offers.insert(offer.artifact_digest, *offer);
        }
    }
    zone.last_heard = now;
    zone.free_mb = summary.free_mb;
    zone.config = summary.config;
    zone.unavailable.clone_from(&summary.silent);
    zone.by = summary.by;
    zone.seq = summary.seq;
}

/// Summaries to forward within this zone with the next frames: those of zones that sent a new summary since
/// the last frames and that this entry VM is the forwarder for.
pub(crate) fn take_forwards(state: &mut State) -> Vec<Item> {
    let names: Vec<Name> = state.summary.zones.keys().cloned().collect();
    let forwarded: Vec<Name> = names.into_iter().filter(|name| member::is_forwarder(state, name)).collect();
    let mut items = Vec::new();
    for name in forwarded {
        let by = state.me.incarnation;
        state.summary.seq += 1;
        let seq = state.summary.seq;
        let Some(zone) =
            state.summary.zones.get_mut(&name).filter(|zone| zone.last_heard > zone.forwarded_at)
        else {
            continue;
        };
        zone.forwarded_at = zone.last_heard;
        let (offers, extent) = zone.sent.next_offers(&zone.offers);
        items.push(zone.summary_item(name, by, seq, extent, offers));
    }
    items
}

/// The last summaries of the same zones in full, for a peer that has received none.
pub(crate) fn all_forwards(state: &mut State) -> Vec<Item> {
    state.summary.seq += 1;
    let (by, seq) = (state.me.incarnation, state.summary.seq);
    let forwarded = state.summary.zones.iter().filter(|(name, _)| member::is_forwarder(state, name));
    forwarded
        .map(|(name, zone)| {
            let offers = zone.offers.values().copied().collect();
            zone.summary_item(name.clone(), by, seq, Extent::All, offers)
        })
        .collect()
}
