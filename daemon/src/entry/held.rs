//! Answers to frames that are held until what their senders' callers wait for is there.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::frame::{Frame, Reply};
use tokio::sync::oneshot;

/// How long an answer is held at most: an adapter is there in some 20 ms.
pub(crate) const HOLD: Duration = Duration::from_millis(80);

/// A frame that was heard and has not been answered.
#[derive(Debug)]
pub(crate) struct Held {
    pub(crate) frame: Frame,
    until: Time,
    answer: oneshot::Sender<Reply>,
}

impl Held {
    /// Holds the answer to a frame from now on.
    pub(crate) fn new(now: Time, frame: Frame, answer: oneshot::Sender<Reply>) -> Self {
        Self { frame, until: now + HOLD, answer }
    }

    /// Whether it was held for as long as it may be.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.until <= now
    }

    /// Answers it.
    pub(crate) fn answer(self, reply: Reply) {
        // An asker that went away needs no answer.
        let _gone = self.answer.send(reply);
    }
}
