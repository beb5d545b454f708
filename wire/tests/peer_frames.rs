//! Frames between entry VMs are taken only whole, of this version and with the shared secret.

use boragecove_core::artifact::Artifact;
use boragecove_core::id::Incarnation;
use boragecove_core::peer::{Closing, Frame, Item};
use boragecove_wire::frame::{self, Rejected};

fn sample() -> Frame {
    Frame {
        address: None,
        from: "hall-a-entry-1".into(),
        zone: "hall-a".into(),
        incarnation: Incarnation(7),
        seq: 3,
        config: 12,
        stopping: false,
        items: vec![Item::Leaving("hall-a-brief-writer-2".into())],
    }
}

#[test]
fn round_trip() {
    let bytes = frame::encode(&sample(), b"secret").expect("packs");
    assert_eq!(frame::decode(&bytes, b"secret").expect("unpacks"), sample());
}

#[test]
fn model_named() {
    // Packed structs have no member names: one that leaves a member out cannot be read again.
    let model = Artifact { model: "staff-notice".into(), adapter: None, version: "2".into() };
    let closing = Closing { engine: "hall-a-brief-writer-1".into(), artifact: model };
    let frame = Frame { items: vec![Item::Close(closing)], ..sample() };
    let bytes = frame::encode(&frame, b"secret").expect("packs");
    assert_eq!(frame::decode(&bytes, b"secret").expect("unpacks"), frame);
}

#[test]
fn other_secret() {
    let bytes = frame::encode(&sample(), b"secret").expect("packs");
    assert!(matches!(frame::decode(&bytes, b"another"), Err(Rejected::Proof)));
}

#[test]
fn any_byte_changed() {
    let bytes = frame::encode(&sample(), b"secret").expect("packs");
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 1;
        assert!(frame::decode(&changed, b"secret").is_err(), "byte {at}");
    }
}

#[test]
fn cut_short() {
    let bytes = frame::encode(&sample(), b"secret").expect("packs");
    for length in 0..bytes.len() {
        assert!(frame::decode(&bytes[..length], b"secret").is_err(), "length {length}");
    }
}
