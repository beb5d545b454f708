//! Layout of frames in the previous version: a single value, without the sender's address and with fewer kinds of items.

use boragecove_core::config::Head;
use boragecove_core::engine::Report;
use boragecove_core::id::Incarnation;
use boragecove_core::name::Name;
use boragecove_core::peer::{self, Closing, Demand};
use serde::{Deserialize, Serialize};

/// A frame of the previous version.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Frame {
    from: Name,
    zone: Name,
    incarnation: Incarnation,
    seq: u64,
    config: u64,
    stopping: bool,
    items: Vec<Item>,
}

/// An item of the previous version. Items that both versions have are encoded in the same way.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Item {
    Report(Box<Report>),
    Leaving(Name),
    Demand(Vec<Demand>),
    Close(Closing),
    Closed(Closing),
    Reopen(Closing),
    Config(Box<Head>),
    WantConfig(u64),
}

impl From<&peer::Frame> for Frame {
    fn from(frame: &peer::Frame) -> Self {
        Self {
            from: frame.from.clone(),
            zone: frame.zone.clone(),
            incarnation: frame.incarnation,
            seq: frame.seq,
            config: frame.config,
            stopping: frame.stopping,
            items: frame.items.iter().filter_map(to_previous).collect(),
        }
    }
}

/// Converts an item to the previous version; none for a kind that the previous version does not have.
fn to_previous(item: &peer::Item) -> Option<Item> {
    Some(match item {
        peer::Item::Report(report) => Item::Report(report.clone()),
        peer::Item::Leaving(backend) => Item::Leaving(backend.clone()),
        peer::Item::Demand(demand) => Item::Demand(demand.clone()),
        peer::Item::Close(closing) => Item::Close(closing.clone()),
        peer::Item::Closed(closing) => Item::Closed(closing.clone()),
        peer::Item::Reopen(closing) => Item::Reopen(closing.clone()),
        peer::Item::Config(head) => Item::Config(head.clone()),
        peer::Item::WantConfig(version) => Item::WantConfig(*version),
        peer::Item::Loads(_)
        | peer::Item::WantReports
        | peer::Item::Drains(_)
        | peer::Item::Summary(_)
        | peer::Item::Steps(_) => return None,
    })
}

impl From<Frame> for peer::Frame {
    fn from(frame: Frame) -> Self {
        Self {
            from: frame.from,
            zone: frame.zone,
            incarnation: frame.incarnation,
            seq: frame.seq,
            address: None,
            config: frame.config,
            stopping: frame.stopping,
            items: frame.items.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Item> for peer::Item {
    fn from(item: Item) -> Self {
        match item {
            Item::Report(report) => Self::Report(report),
            Item::Leaving(backend) => Self::Leaving(backend),
            Item::Demand(demand) => Self::Demand(demand),
            Item::Close(closing) => Self::Close(closing),
            Item::Closed(closing) => Self::Closed(closing),
            Item::Reopen(closing) => Self::Reopen(closing),
            Item::Config(head) => Self::Config(head),
            Item::WantConfig(version) => Self::WantConfig(version),
        }
    }
}
