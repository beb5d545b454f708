//! Inventory, VMs and requests for the measurements.

use std::time::Duration;

use boragecove_core::config::Document;
use boragecove_core::id;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version};
use boragecove_core::name::Name;
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};

use super::scene::MEMORY_MB;

/// A document with `models` models for one group; `edition` changes the memory of the first.
pub fn document(models: usize, edition: u64) -> Document {
    let group = Group {
        name: "brief-writer".into(),
        kind: Kind::Engine,
        memory_mb: MEMORY_MB,
        slots: 16,
        checks_fences: true,
    };
    let model = |n: usize| Model {
        name: model_name(n),
        group: "brief-writer".into(),
        versions: vec![Version {
            name: "2026-06".into(),
            memory_mb: 19_000 + if n == 0 { edition } else { 0 },
        }],
        adapters: Vec::new(),
    };
    let models = (0..models).map(model).collect();
    Document {
        inventory: Inventory { groups: vec![group], models, services: Vec::new() },
        ..Document::default()
    }
}

pub fn model_name(n: usize) -> Name {
    format!("briefing-{n:03}").into()
}

pub fn vm(name: String, zone: usize, at: usize, role: Role) -> Vm {
    let [a, b] = (at as u16).to_be_bytes();
    let address = ([127, 10, a, b], 9_000).into();
    Vm { name: name.into(), zone: format!("hall-{zone:02}").into(), address, role, phase: Phase::Live }
}

/// A non-streaming request for a model.
pub fn arrival(request: id::Request, model: usize, now: Time) -> Arrival {
    Arrival {
        id: request,
        token_sha256: None,
        subject: Subject::Model(model_name(model).parse().expect("a target")),
        idempotent: None,
        key: None,
        digest: "0123456789abcdef0123456789abcdef".into(),
        priority: None,
        deadline: now + Duration::from_secs(30),
        stream: false,
        prefix: vec![model as u64, request.seq % 8],
        bytes: 1_200,
        max_tokens: 128,
        hops: 0,
    }
}
