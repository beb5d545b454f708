//! Replies to frames that are held back until the adapter that the sender's callers wait for is loaded.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::frame::{Frame, Reply};
use tokio::sync::oneshot;

/// Longest time for which a reply is held back. Loading an adapter takes about 20 ms.
pub(crate) const DEFER_MAX: Duration = Duration::from_millis(80);

/// A frame whose reply is held back.
#[derive(Debug)]
pub(crate) struct DeferredReply {
    pub(crate) frame: Frame,
    until: Time,
    sender: oneshot::Sender<Reply>,
}

impl DeferredReply {
    /// Holds back the reply to a frame from now on.
    pub(crate) fn new(now: Time, frame: Frame, sender: oneshot::Sender<Reply>) -> Self {
        Self { frame, until: now + DEFER_MAX, sender }
    }

    /// Whether the reply must be sent now.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.until <= now
    }

    /// Sends the reply.
    pub(crate) fn send(self, reply: Reply) {
        // The sender of the frame may have disconnected.
        let _disconnected = self.sender.send(reply);
    }
}
