//! Reads settings from a file in JSON with comments, with every error at once.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use boragecove_core::settings as core;
use boragecove_wire::jsonc::{self, Node, Object, Problems};
use thiserror::Error;

use super::{Level, Limits, Listen, Platform, Secret, Settings, Timeouts};

/// Threads that read callers' requests, at most.
const WORKERS_MAX: u64 = 64;
/// Requests open at once, at most.
const OPEN_MAX: u64 = 1 << 20;
/// Tries of one request, at most.
const ATTEMPTS_MAX: u64 = 100;
/// Cached prompt blocks remembered, at most.
const BLOCKS_MAX: u64 = 1 << 26;
/// Rows in one write of claims, at most.
const BATCH_MAX: u64 = 10_000;
/// Records kept, at most.
const RECORDS_MAX: u64 = 1 << 20;
/// Retries a second beyond the share, at most.
const FLOOR_MAX: f64 = 1_000_000.0;
/// Loads a second of a weight store, at the most.
const STORE_RATE_MAX: f64 = 100_000.0;
/// Loads at once of a weight store, at the most.
const STORE_SLOTS_MAX: u64 = 100_000;

/// Settings that could not be had.
#[derive(Debug, Error)]
pub enum Unreadable {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file's content is wrong.
    #[error("{0}")]
    Content(#[from] Problems),
}

/// Reads a settings file.
///
/// # Errors
///
/// If it cannot be read, or for everything that is wrong in it.
pub fn load(path: &Path) -> Result<Settings, Unreadable> {
    from_file(path, read)
}

/// Reads a file with `read`, which gets its name and its text.
pub(crate) fn from_file<T>(
    path: &Path,
    read: impl FnOnce(&str, &str) -> Result<T, Problems>,
) -> Result<T, Unreadable> {
    let text =
        fs::read_to_string(path).map_err(|source| Unreadable::File { path: path.to_owned(), source })?;
    Ok(read(&path.display().to_string(), &text)?)
}

/// Reads settings from a text; `file` names it in errors.
///
/// # Errors
///
/// For everything that is wrong in it.
pub fn read(file: &str, text: &str) -> Result<Settings, Problems> {
    jsonc::read(file, text, |root| settings(&root))
}

fn settings(root: &Node<'_>) -> Settings {
    let mut settings = Settings::default();
    let mut object = root.object();
    set(&mut settings.vm, object.required("vm").and_then(|node| node.name()));
    set(&mut settings.zone, object.required("zone").and_then(|node| node.name()));
    if let Some(node) = object.required("listen") {
        listen(&node, &mut settings.listen);
    }
    if let Some(node) = object.required("platform") {
        platform(&node, &mut settings.platform);
    }
    set(&mut settings.peer_secret, secret(&mut object, "peer-secret"));
    set(&mut settings.operator_token, secret(&mut object, "operator-token"));
    set(&mut settings.workers, integer(&mut object, "workers", 0, WORKERS_MAX).map(|found| found as usize));
    set(&mut settings.log, object.optional("log").and_then(|node| level(&node)));
    if let Some(node) = object.optional("limits") {
        limits(&node, &mut settings.limits, &mut settings.core);
    }
    if let Some(node) = object.optional("timeouts") {
        timeouts(&node, &mut settings.timeouts, &mut settings.core);
    }
    if let Some(node) = object.optional("retries") {
        retries(&node, &mut settings.core);
    }
    if let Some(node) = object.optional("control") {
        control(&node, &mut settings.core);
    }
    settings
}

/// Replaces a setting if the file names it.
pub(crate) fn set<T>(setting: &mut T, found: Option<T>) {
    if let Some(found) = found {
        *setting = found;
    }
}

fn integer(object: &mut Object<'_>, key: &str, least: u64, most: u64) -> Option<u64> {
    object.optional(key).and_then(|node| node.integer(least, most))
}

fn number(object: &mut Object<'_>, key: &str, least: f64, most: f64) -> Option<f64> {
    object.optional(key).and_then(|node| node.number(least, most))
}

/// A time that is not zero.
fn duration(object: &mut Object<'_>, key: &str) -> Option<Duration> {
    let node = object.optional(key)?;
    let found = node.duration()?;
    if found.is_zero() {
        node.report_error("expected a time above zero, found zero");
        return None;
    }
    Some(found)
}

/// A size that is not zero.
fn size(object: &mut Object<'_>, key: &str) -> Option<usize> {
    let node = object.optional(key)?;
    let found = node.size()?;
    if found == 0 {
        node.report_error("expected a size above zero, found zero");
        return None;
    }
    Some(found)
}

fn secret(object: &mut Object<'_>, key: &str) -> Option<Secret> {
    object.required(key).and_then(|node| node.name()).map(|text| Secret::from(text.as_str()))
}

fn level(node: &Node<'_>) -> Option<Level> {
    node.choice(&[
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
    ])
}

fn listen(node: &Node<'_>, listen: &mut Listen) {
    let mut object = node.object();
    let members = [
        ("callers", &mut listen.callers),
        ("peers", &mut listen.peers),
        ("operators", &mut listen.operators),
    ];
    let mut taken: Vec<(&str, SocketAddr)> = Vec::new();
    for (key, setting) in members {
        let Some(node) = object.required(key) else {
            continue;
        };
        let Some(found) = node.address() else {
            continue;
        };
        if let Some((other, _)) = taken.iter().find(|(_, each)| found.port() != 0 && *each == found) {
            node.report_error(&format!("expected an address of its own, found that of \"{other}\""));
        }
        taken.push((key, found));
        *setting = found;
    }
}

fn platform(node: &Node<'_>, platform: &mut Platform) {
    let mut object = node.object();
    set(&mut platform.table, object.required("table").and_then(|node| node.address()));
    set(&mut platform.objects, object.required("objects").and_then(|node| node.address()));
    set(&mut platform.vms, object.required("vms").and_then(|node| node.address()));
}

fn limits(node: &Node<'_>, limits: &mut Limits, core: &mut core::Settings) {
    let mut object = node.object();
    set(&mut limits.body, size(&mut object, "body"));
    set(&mut limits.headers, size(&mut object, "headers"));
    set(&mut limits.answer, size(&mut object, "answer"));
    set(&mut limits.held, size(&mut object, "held"));
    set(&mut limits.backlog, size(&mut object, "backlog"));
    set(&mut limits.kept, size(&mut object, "kept"));
    set(&mut core.open_max, integer(&mut object, "open", 1, OPEN_MAX).map(|found| found as u32));
    let caller_open = integer(&mut object, "caller-open", 1, OPEN_MAX);
    set(&mut core.caller_open_max, caller_open.map(|found| found as u32));
    set(&mut core.queue_max, integer(&mut object, "queue", 1, OPEN_MAX).map(|found| found as u32));
    let blocks = integer(&mut object, "prefix-blocks", 1, BLOCKS_MAX);
    set(&mut core.prefix_blocks, blocks.map(|found| found as usize));
    set(&mut core.records_kept, integer(&mut object, "records", 1, RECORDS_MAX).map(|found| found as usize));
}

fn timeouts(node: &Node<'_>, timeouts: &mut Timeouts, core: &mut core::Settings) {
    let mut object = node.object();
    set(&mut timeouts.read, duration(&mut object, "read"));
    set(&mut timeouts.deadline, duration(&mut object, "deadline"));
    set(&mut timeouts.deadline_max, duration(&mut object, "deadline-max"));
    set(&mut timeouts.connect, duration(&mut object, "connect"));
    set(&mut timeouts.keep_alive, duration(&mut object, "keep-alive"));
    set(&mut timeouts.connection_age, duration(&mut object, "connection-age"));
    set(&mut timeouts.control, duration(&mut object, "control"));
    set(&mut timeouts.platform, duration(&mut object, "platform"));
    set(&mut timeouts.shutdown, duration(&mut object, "shutdown"));
    set(&mut core.first_byte, duration(&mut object, "first-byte"));
    set(&mut core.idle, duration(&mut object, "idle"));
    set(&mut core.balancer_grace, object.optional("balancer-grace").and_then(|node| node.duration()));
    if timeouts.deadline > timeouts.deadline_max {
        object.report_error("expected \"deadline\" to be at most \"deadline-max\", found it longer");
    }
}

fn retries(node: &Node<'_>, core: &mut core::Settings) {
    let mut object = node.object();
    let attempts = integer(&mut object, "attempts", 1, ATTEMPTS_MAX);
    set(&mut core.attempts_max, attempts.map(|found| found as u16));
    set(&mut core.retry_ratio, number(&mut object, "ratio", 0.0, 1.0));
    set(&mut core.retry_floor, number(&mut object, "floor", 0.0, FLOOR_MAX));
    set(&mut core.retry_burst, number(&mut object, "burst", 0.0, FLOOR_MAX));
    set(&mut core.backoff_base, duration(&mut object, "backoff-base"));
    set(&mut core.backoff_max, duration(&mut object, "backoff-max"));
    if core.backoff_base > core.backoff_max {
        object.report_error("expected \"backoff-base\" to be at most \"backoff-max\", found it longer");
    }
}

fn control(node: &Node<'_>, core: &mut core::Settings) {
    let mut object = node.object();
    set(&mut core.list_every, duration(&mut object, "list-every"));
    let address = object.optional("peer-address").and_then(|node| node.address());
    core.address = address.or(core.address);
    set(&mut core.config_first, duration(&mut object, "config-first"));
    set(&mut core.config_every, duration(&mut object, "config-every"));
    set(&mut core.settle_every, duration(&mut object, "settle-every"));
    set(&mut core.settle_limit, duration(&mut object, "settle-limit"));
    set(&mut core.poll_every, duration(&mut object, "poll-every"));
    set(&mut core.heartbeat_every, duration(&mut object, "heartbeat-every"));
    set(&mut core.suspect_after, duration(&mut object, "suspect-after"));
    set(&mut core.lease_length, duration(&mut object, "lease-length"));
    set(&mut core.lease_renew, duration(&mut object, "lease-renew"));
    set(&mut core.plan_every, duration(&mut object, "plan-every"));
    set(&mut core.store_rate, number(&mut object, "store-rate", 0.01, STORE_RATE_MAX));
    set(
        &mut core.store_slots,
        integer(&mut object, "store-slots", 1, STORE_SLOTS_MAX).map(|found| found as u32),
    );
    set(&mut core.claim_linger, duration(&mut object, "claim-linger"));
    let batch = integer(&mut object, "claim-batch", 1, BATCH_MAX);
    set(&mut core.claim_batch, batch.map(|found| found as usize));
    set(&mut core.claim_every, duration(&mut object, "claim-every"));
    set(&mut core.claim_keep, duration(&mut object, "claim-keep"));
    if core.suspect_after <= core.heartbeat_every {
        object.report_error(
            "expected \"suspect-after\" to be longer than \"heartbeat-every\", found it shorter",
        );
    }
    if core.lease_length < core.lease_renew * 2 {
        object
            .report_error("expected \"lease-length\" to be at least twice \"lease-renew\", found it shorter");
    }
}
