//! The simulated deployment: two zones with two entry VMs each, four engines and two servers of a plain
//! service.

use boragecove_core::config::Document;
use boragecove_core::id;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Service, Version};
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::settings::Settings;
use boragecove_core::time::Time;
use std::time::Duration;

use super::world::Turn;

pub const ENTRIES: [(&str, &str); 4] =
    [("entry-a1", "hall-a"), ("entry-a2", "hall-a"), ("entry-b1", "hall-b"), ("entry-b2", "hall-b")];
/// Number of engines, which come first in `BACKENDS`.
pub const ENGINES: usize = 4;
pub const BACKENDS: [(&str, &str, &str); 6] = [
    ("engine-a1", "hall-a", "checking"),
    ("engine-a2", "hall-a", "trusting"),
    ("engine-b1", "hall-b", "checking"),
    ("engine-b2", "hall-b", "trusting"),
    ("service-a", "hall-a", "plain"),
    ("service-b", "hall-b", "plain"),
];
/// Whether callers send idempotency keys.
pub const KEYS: bool = true;
/// Number of events of the longest answers. Non-streamed answers of that length exceed the buffer of the
/// edge.
pub const LONG: u64 = 6;
/// Number of the request whose caller disconnects.
pub const GONE: u64 = 6;
/// Number of requests that callers send in each run.
const ARRIVALS: u64 = 30;
/// Whether all declared models must be loaded at the end of a run.
pub const LOADED: bool = true;
pub const MEMORY_MB: u64 = 20_000;
pub const DEADLINE: Duration = Duration::from_secs(8);

pub fn settings() -> Settings {
    Settings {
        first_byte: Duration::from_secs(2),
        idle: Duration::from_secs(1),
        poll_every: Duration::from_secs(1),
        heartbeat_every: Duration::from_secs(1),
        lease_length: Duration::from_secs(4),
        lease_renew: Duration::from_millis(1_500),
        balancer_grace: Duration::from_secs(2),
        ..Settings::default()
    }
}

/// Configuration. The second edition has a new version of the first model and omits the last model.
pub fn document(edition: u32, checks: bool) -> Document {
    let group = |name: &str, kind, checks_fences| Group {
        name: name.into(),
        kind,
        memory_mb: if kind == Kind::Engine { MEMORY_MB } else { 0 },
        slots: 4,
        checks_fences,
    };
    let model = |name: &str, group: &str, version: u32| Model {
        name: name.into(),
        group: group.into(),
        versions: vec![Version { name: version.to_string().into(), memory_mb: 9_000 }],
        adapters: Vec::new(),
    };
    let mut models =
        vec![model("m1", "checking", edition), model("m2", "checking", 1), model("m3", "trusting", 1)];
    if edition == 1 {
        models.push(model("m4", "trusting", 1));
    }
    let groups = vec![
        group("checking", Kind::Engine, checks),
        group("trusting", Kind::Engine, false),
        group("plain", Kind::Service, false),
    ];
    let services = vec![Service { name: "notices".into(), group: "plain".into(), idempotent: false }];
    Document { inventory: Inventory { groups, models, services }, ..Document::default() }
}

/// The `n`th request. Every third is a call of a service that is not idempotent, half of these with a key;
/// most others are streams.
pub fn arrival(request: id::Request, n: u64, now: Time) -> Arrival {
    let billed = n % 3 == 2;
    let model = ["m1", "m2", "m3"][(n / 3 % 3) as usize];
    Arrival {
        id: request,
        token_sha256: None,
        subject: if billed {
            Subject::Service("notices".into())
        } else {
            Subject::Model(model.parse().expect("a target"))
        },
        idempotent: None,
        key: (KEYS && n % 6 == 5).then(|| format!("key-{n}").into()),
        digest: format!("digest-{n}").into(),
        priority: None,
        deadline: now + DEADLINE,
        stream: !billed && n % 4 != 3,
        prefix: vec![n % 5],
        bytes: 300,
        max_tokens: 2 + (n % 5) as u32,
        hops: 0,
    }
}

/// Scripted steps of every run with their times in milliseconds.
pub fn script() -> Vec<(u64, Turn)> {
    let mut script: Vec<(u64, Turn)> = (0..ARRIVALS).map(|n| (6_000 + n * 400, Turn::Arrive(n))).collect();
    script.extend([
        (1_500, Turn::Apply { node: 0, edition: 1 }),
        (8_600, Turn::Gone(GONE)),
        (7_000, Turn::Silent),
        (12_000, Turn::Silent),
        (10_000, Turn::Apply { node: 2, edition: 2 }),
        (16_000, Turn::Stop(1)),
        (22_000, Turn::Stop(3)),
    ]);
    script
}
