//! Sends frames to other entry VMs: to each in order, one at a time.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use actix::Addr;
use awc::{Client, Connector};
use boragecove_core::event::Event;
use boragecove_core::name::Name;
use boragecove_core::peer::Frame;
use boragecove_wire::{frame, header, path};

use crate::backends::dial::{Closed, Dial};
use crate::node::{Feed, Node};
use crate::settings::{Secret, Settings};

/// Frames that wait for one entry VM at most; those beyond count as lost.
const WAITING_MAX: usize = 64;

/// Sends frames to other entry VMs.
pub(crate) struct Sender {
    client: Client,
    secret: Secret,
    lanes: BTreeMap<Name, Rc<RefCell<Lane>>>,
}

/// Frames on their way to one entry VM.
#[derive(Debug)]
struct Lane {
    waiting: VecDeque<(SocketAddr, Box<Frame>)>,
    busy: bool,
    /// The frame version to write, by its last answer.
    version: u8,
}

impl Default for Lane {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), busy: false, version: frame::VERSION }
    }
}

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sender").field("lanes", &self.lanes).finish_non_exhaustive()
    }
}

impl Sender {
    pub(crate) fn new(settings: &Settings) -> Self {
        let connector = Connector::new().connector(Dial::new(Closed::default()));
        let client = Client::builder().connector(connector).timeout(settings.timeouts.control).finish();
        let secret = settings.peer_secret.clone();
        Self { client, secret, lanes: BTreeMap::new() }
    }

    /// Sends a frame; tells the node if it could not be brought there.
    pub(crate) fn tell(&mut self, peer: Name, address: SocketAddr, frame: Box<Frame>, node: Addr<Node>) {
        let lane = Rc::clone(self.lanes.entry(peer.clone()).or_default());
        let start = {
            let mut lane = lane.borrow_mut();
            if lane.waiting.len() >= WAITING_MAX {
                node.do_send(Feed(Event::FrameFailed { peer }));
                return;
            }
            lane.waiting.push_back((address, frame));
            !std::mem::replace(&mut lane.busy, true)
        };
        if start {
            let secret = self.secret.clone();
            actix_rt::spawn(drain(self.client.clone(), secret, lane, peer, node));
        }
    }
}

/// Sends what waits, until nothing does.
async fn drain(client: Client, secret: Secret, lane: Rc<RefCell<Lane>>, peer: Name, node: Addr<Node>) {
    loop {
        let (next, version) = {
            let mut lane = lane.borrow_mut();
            (lane.waiting.pop_front(), lane.version)
        };
        let Some((address, frame)) = next else {
            lane.borrow_mut().busy = false;
            return;
        };
        let mut answer = send(&client, &secret, address, &frame, version).await;
        if matches!(answer, Answer::Refused) && version != frame::PREVIOUS {
            answer = send(&client, &secret, address, &frame, frame::PREVIOUS).await;
        }
        match answer {
            Answer::Taken(version) => lane.borrow_mut().version = version,
            Answer::Refused | Answer::Lost => node.do_send(Feed(Event::FrameFailed { peer: peer.clone() })),
        }
    }
}

/// What became of a frame.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// It was taken, by a build that reads versions up to this one.
    Taken(u8),
    /// It was refused, perhaps since its version is not read there.
    Refused,
    /// It is not known to have arrived.
    Lost,
}

async fn send(client: &Client, secret: &Secret, address: SocketAddr, frame: &Frame, version: u8) -> Answer {
    let Ok(bytes) = frame::encode(frame, secret.reveal().as_bytes(), version) else {
        return Answer::Lost;
    };
    let request = client.post(format!("http://{address}{}", path::FRAME));
    let Ok(answer) = request.send_body(bytes).await else {
        return Answer::Lost;
    };
    if !answer.status().is_success() {
        return Answer::Refused;
    }
    let newest =
        answer.headers().get(header::FRAME_VERSION).and_then(|value| value.to_str().ok()?.parse().ok());
    Answer::Taken(newest.unwrap_or(frame::PREVIOUS).min(frame::VERSION))
}
