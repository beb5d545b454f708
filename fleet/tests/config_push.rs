//! Configuration updates between entry VMs: which entry VMs push to which, and how a lost push is made up for.

mod node;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragecove_fleet::config::{Config, Kind};
use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::lease::{Call, Outcome, Row};
use boragecove_fleet::members::Member;
use boragecove_fleet::push::{Message, Push};
use boragecove_fleet::record::Record;
use boragecove_fleet::settings::Settings;
use boragecove_fleet::update::{Packed, Update};
use node::{GATEWAY, Node, address, config, hub_row, millis};

/// Number of routes whose update is too large for the reply to a frame.
const MANY: u32 = 4_000;

fn large(version: u64) -> Arc<Config> {
    let route = |number: u32| {
        let drawn = u64::from(number).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ version;
        let (name, prefix) = (format!("r-{drawn:x}"), format!("/{:x}/", drawn.rotate_left(24)));
        Arc::new(node::route(&name, &prefix, Kind::Idempotent, GATEWAY, 2))
    };
    Arc::new(Config { routes: (0..MANY).map(route).collect(), ..config(version) })
}

fn frame(vm: u16, config: u64) -> Frame {
    let address = Some(address(7_100 + vm));
    Frame { vm: format!("vm-{vm}").into(), zone: "zone-a".into(), address, config, ..Frame::default() }
}

/// A hub that has received frames from this many other entry VMs, which have its configuration.
fn hub(others: u16) -> Node {
    let mut hub = Node::ready("hub");
    hub.lead();
    for vm in 0..others {
        hub.feed(Event::FrameReceived(Box::new(frame(vm, 1))));
    }
    hub
}

fn pushes(effects: &[Effect]) -> Vec<(SocketAddr, Message)> {
    let push = |effect: &Effect| match effect {
        Effect::Push(Push { address, message, .. }) if message.update.is_some() => {
            Some((*address, (**message).clone()))
        }
        _ => None,
    };
    effects.iter().filter_map(push).collect()
}

/// Number of entry VMs that pushes reach if all are delivered.
fn recipients(pushes: &[(SocketAddr, Message)]) -> usize {
    pushes.iter().map(|(_, message)| 1 + message.forward_to.len()).sum()
}

fn packed(before: &Config, after: &Config) -> Packed {
    Update::between(Some(before), after).pack().expect("packs")
}

fn with_route(version: u64, attempts: u32) -> Config {
    let route = node::route("late", "/late/", Kind::Once, GATEWAY, attempts);
    let mut config = config(version);
    config.routes.push(Arc::new(route));
    config
}

fn version(node: &Node) -> Option<u64> {
    node.state.config().map(|config| config.version)
}

fn push(node: &mut Node, update: Packed, forward_to: Vec<SocketAddr>) -> Vec<(SocketAddr, Message)> {
    let message = Box::new(Message { update: Some(update), forward_to, ..Message::default() });
    pushes(node.feed(Event::Pushed(message)))
}

#[test]
fn hub_pushes_at_once() {
    let mut hub = hub(30);
    let pushes = pushes(hub.feed(Event::Configured(Arc::new(with_route(2, 2)))));
    assert!((2..=8).contains(&pushes.len()), "{} copies", pushes.len());
    assert_eq!(recipients(&pushes), 30);
    let base = pushes[0].1.update.as_ref().map(|update| update.base);
    assert_eq!(base, Some(1), "a delta, not the full configuration");
}

#[test]
fn others_do_not_push() {
    let mut node = Node::ready("a");
    node.feed(Event::FrameReceived(Box::new(frame(1, 1))));
    assert_eq!(pushes(node.feed(Event::Configured(Arc::new(with_route(2, 2))))), []);
}

#[test]
fn part_is_forwarded() {
    let mut node = Node::with_settings("a", Settings { weak: true, ..Settings::default() });
    node.feed(Event::Configured(Arc::new(config(1))));
    let forward_to: Vec<SocketAddr> = (0..9).map(|vm| address(7_100 + vm)).collect();
    let pushes = push(&mut node, packed(&config(1), &with_route(2, 2)), forward_to);
    assert_eq!(version(&node), Some(2));
    assert_eq!(pushes.len(), 2, "a small link sends two copies at once");
    assert_eq!(recipients(&pushes), 9);
}

/// If the first entry VM of a part does not take a push, the rest of the part is pushed to directly, and the first one is retried once.
#[test]
fn part_is_served_without_its_first() {
    let mut node = Node::ready("a");
    let forward_to: Vec<SocketAddr> = (0..9).map(|vm| address(7_100 + vm)).collect();
    let message =
        Message { update: Some(packed(&config(1), &with_route(2, 2))), forward_to, ..Message::default() };
    let head = address(7_000);
    let missed = Push { address: head, message: Box::new(message), is_retry: false };
    let (again, rest): (Vec<_>, Vec<_>) =
        pushes(node.feed(Event::PushFailed(missed.clone()))).into_iter().partition(|(to, _)| *to == head);
    assert_eq!((recipients(&rest), recipients(&again)), (9, 1));
    let retried = Push { is_retry: true, ..missed };
    let rest = pushes(node.feed(Event::PushFailed(retried)));
    assert!(rest.iter().all(|(to, _)| *to != head), "there is only one retry");
}

#[test]
fn early_update_waits() {
    let mut node = Node::ready("a");
    let (second, third) = (with_route(2, 2), with_route(3, 4));
    push(&mut node, packed(&second, &third), Vec::new());
    assert_eq!(version(&node), Some(1));
    push(&mut node, packed(&config(1), &second), Vec::new());
    assert_eq!(version(&node), Some(3));
}

#[test]
fn never_to_lower_version() {
    let mut node = Node::ready("a");
    push(&mut node, packed(&config(1), &with_route(3, 2)), Vec::new());
    push(&mut node, packed(&config(1), &with_route(2, 4)), Vec::new());
    push(&mut node, Update::between(None, &with_route(2, 4)).pack().expect("packs"), Vec::new());
    assert_eq!(version(&node), Some(3));
}

#[test]
fn unreadable_update_is_logged() {
    let mut node = Node::ready("a");
    let update = Packed { base: 1, version: 2, bytes: vec![1, 2, 3].into() };
    push(&mut node, update, Vec::new());
    assert_eq!(version(&node), Some(1));
    let logged = |effect: &Effect| matches!(effect, Effect::Record(Record::Unusable { .. }));
    assert!(node.effects.iter().any(logged));
}

/// An entry VM that missed a push is pushed to once more, and then gets the update in the reply to its frame, because it can evidently reach the
/// hub.
#[test]
fn lost_push_is_made_up_for() {
    let mut hub = hub(3);
    hub.feed(Event::Configured(large(2)));
    let mut again = Vec::new();
    for _ in 0..20 {
        let lacking = frame(1, 1);
        hub.feed(Event::FrameReceived(Box::new(lacking.clone())));
        again.extend(pushes(&hub.effects));
        again.extend(pushes(&hub.advance(millis(100))));
        for vm in [0, 2] {
            hub.feed(Event::FrameReceived(Box::new(frame(vm, 2))));
        }
        let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &lacking);
        if reply.config.is_some() {
            assert_eq!(again.len(), 1, "one more push, to that entry VM only");
            return;
        }
    }
    panic!("no update in a reply; {} more pushes", again.len());
}

/// The reply to a frame stays small whatever the size of the configuration, because it also has to deliver departures of engines in time.
#[test]
fn replies_stay_small() {
    let mut hub = hub(1);
    hub.feed(Event::Configured(large(2)));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame(0, 1));
    assert_eq!(reply.config, None);
}

/// A starting entry VM gets the full configuration.
#[test]
fn starting_entry_vm_gets_all() {
    let mut hub = hub(1);
    hub.feed(Event::Configured(large(2)));
    hub.advance(millis(300));
    hub.feed(Event::FrameReceived(Box::new(frame(9, 0))));
    let pushes = pushes(&hub.advance(millis(300)));
    let to = pushes.iter().find(|(to, _)| *to == address(7_109)).expect("a push to it");
    let mut node = Node::bare("vm-9");
    push(&mut node, to.1.update.clone().expect("an update"), Vec::new());
    assert_eq!(version(&node), Some(2));
}

/// Versions in quick succession are combined into a few pushes.
#[test]
fn quick_versions_are_combined() {
    let mut hub = hub(9);
    let mut rounds = 0;
    for version in 2..42 {
        hub.feed(Event::Configured(Arc::new(with_route(version, version as u32))));
        rounds += u32::from(!pushes(&hub.effects).is_empty());
        rounds += u32::from(!pushes(&hub.advance(millis(20))).is_empty());
    }
    assert!((3..=6).contains(&rounds), "{rounds} pushes in 0.8 s");
}

/// A process that knew another hub, which listed this many entry VMs, and that takes the lease after it expires.
fn new_hub(others: u16) -> Node {
    let member = |vm: u16| {
        let frame = frame(vm, 1);
        Member { vm: frame.vm, zone: frame.zone, address: address(7_100 + vm), weak: false }
    };
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let members = Some((0..others).map(member).collect());
    node.feed(Event::Replied(Some(Box::new(Reply {
        leads: true,
        nodes: 1 + u32::from(others),
        members,
        ..Reply::default()
    }))));
    let reads = |effect: &Effect| matches!(effect, Effect::Lease(Call::Read));
    while !node.advance(millis(50)).iter().any(reads) {}
    node.lease(70_000, Outcome::Read(Some(hub_row())));
    node.lease(70_005, Outcome::Written(10));
    assert!(node.state.lease().held_term(node.now).is_some());
    node
}

/// With hundreds of entry VMs the lease is read seconds apart. A process that takes the lease switches to the renewal interval at once, because
/// the lease would expire before the next read.
#[test]
fn lease_is_renewed_at_once() {
    let mut hub = new_hub(299);
    let renews = |effect: &Effect| matches!(effect, Effect::Lease(Call::Write { .. }));
    assert!(hub.advance(millis(500)).iter().any(renews));
}

fn announcements(effects: &[Effect]) -> Vec<(Option<Row>, usize)> {
    let announcement = |effect: &Effect| match effect {
        Effect::Push(Push { message, .. }) if message.update.is_none() => {
            Some((message.hub.clone(), 1 + message.forward_to.len()))
        }
        _ => None,
    };
    effects.iter().filter_map(announcement).collect()
}

/// A new hub announces itself. With hundreds of entry VMs it takes seconds to notice the silence of the previous hub, which delays configuration
/// changes.
#[test]
fn new_hub_announces_itself() {
    let hub = new_hub(40);
    let pushed = announcements(&hub.effects);
    assert_eq!(pushed.iter().map(|(_, recipients)| recipients).sum::<usize>(), 40);
    assert!(
        pushed.iter().all(|(row, _)| row.as_ref().is_some_and(|row| *row.holder == *"a" && row.term == 4))
    );
}

/// A new hub that has not received any frames yet pushes to the entry VMs that the previous hub listed.
#[test]
fn new_hub_pushes_to_all() {
    let mut hub = new_hub(40);
    let pushes = pushes(hub.feed(Event::Configured(Arc::new(with_route(2, 2)))));
    assert_eq!(recipients(&pushes), 40);
    assert!(pushes.iter().all(|(_, message)| message.update.as_ref().is_some_and(|update| update.base == 1)));
}

/// A new hub counts all entry VMs of the previous hub, so that the interval between frames stays long and they do not all arrive at once.
#[test]
fn new_hub_counts_all() {
    let mut hub = new_hub(40);
    hub.advance(millis(500));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame(3, 1));
    assert_eq!(reply.nodes, 41);
    assert_eq!(reply.members.map(|members| members.len()), Some(41));
    hub.advance(millis(4_000));
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame(3, 1));
    assert_eq!(reply.nodes, 1, "entry VMs that stay silent are dropped");
}

#[test]
fn announced_hub_gets_frames() {
    let mut node = Node::ready("b");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let row = Row { holder: "c".into(), address: address(7_300), term: 9, ..hub_row().row };
    let message = Message { hub: Some(row), forward_to: vec![address(7_400)], ..Message::default() };
    let mut effects = node.feed(Event::Pushed(Box::new(message))).to_vec();
    assert_eq!(announcements(&effects).len(), 1, "the push is forwarded");
    effects.extend(node.advance(millis(200)));
    let sends_frame = |effects: &[Effect]| {
        let to = |effect: &Effect| matches!(effect, Effect::Frame { address, .. } if address.port() == 7_300);
        effects.iter().any(to)
    };
    assert!(sends_frame(&effects));
}

/// A late announcement of a previous hub is ignored.
#[test]
fn earlier_term_is_ignored() {
    let mut node = Node::ready("b");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let row = Row { holder: "c".into(), address: address(7_300), term: 2, ..hub_row().row };
    node.feed(Event::Pushed(Box::new(Message { hub: Some(row), ..Message::default() })));
    assert_eq!(node.state.lease().hub().map(|row| row.holder.to_string()).as_deref(), Some("hub"));
}

/// Lets time pass while the store accepts renewals of the lease.
fn hold(hub: &mut Node, time: Duration) {
    let end = hub.now + time;
    let mut version = 1_000;
    while hub.now < end {
        let renews = |effect: &Effect| matches!(effect, Effect::Lease(Call::Write { .. }));
        if hub.advance(millis(50)).iter().any(renews) {
            version += 1;
            hub.lease(version, Outcome::Written(version));
        }
    }
}

/// With hundreds of entry VMs frames are seconds apart: the hub does not drop an entry VM because of one late frame.
#[test]
fn rare_frames_are_waited_for() {
    let mut hub = hub(299);
    hold(&mut hub, millis(3_600));
    let pushes = pushes(hub.feed(Event::Configured(Arc::new(with_route(2, 2)))));
    assert_eq!(recipients(&pushes), 299);
}
