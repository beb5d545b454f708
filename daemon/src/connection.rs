//! Connections of callers: how many there are, and how much of what they send is read ahead of what is handled.
//!
//! The HTTP library reads what a connection has before it looks at any of it, and keeps a connection for as long as its
//! caller likes. Here a connection is read only as far as its request needs, and is closed if it takes too long or another
//! one needs its place.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::memory::{Account, Share};

/// Number of bytes that are read at once, and ahead of what was handled.
const WINDOW_BYTES: usize = 16 << 10;
/// Mean size in bytes of a body's chunks below which each window takes long to decode.
const TINY_CHUNK_BYTES: usize = 256;
/// Number of connections with tiny chunks, or about to be closed, that are read at the same time. All others wait for no more
/// than their windows.
const TINY_AT_ONCE: usize = 2;
/// By how much longer callers may take than the HTTP library allows, which answers a late first head with 408.
const GRACE: Duration = Duration::from_secs(1);
/// How long what a caller sends is discarded, so that it can read why its request was refused.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// How long a caller may read nothing of an answer while there is no memory for others.
const UNREAD_MIN: Duration = Duration::from_secs(1);

/// Limits of a listener's connections.
#[derive(Clone, Debug)]
pub(crate) struct Limits {
    /// Maximum number of connections.
    pub(crate) connections: usize,
    /// What heads take beyond a window is counted there.
    pub(crate) account: Account,
    /// What was closed is counted there.
    pub(crate) closed: Arc<Closed>,
}

/// Numbers of connections that were closed so far, by reason.
#[derive(Debug, Default)]
pub(crate) struct Closed {
    /// A new one needed its place.
    pub(crate) displaced: AtomicU64,
    /// There was no place for it.
    pub(crate) refused: AtomicU64,
    /// A head was not complete in time, or no request came.
    pub(crate) late: AtomicU64,
    /// There was no memory for its head.
    pub(crate) large_head: AtomicU64,
    /// Its caller read nothing of an answer for too long.
    pub(crate) unread_answer: AtomicU64,
}

impl Closed {
    /// The numbers by reason.
    pub(crate) fn counts(&self) -> [(&'static str, u64); 5] {
        [
            ("displaced", &self.displaced),
            ("refused", &self.refused),
            ("late", &self.late),
            ("large_head", &self.large_head),
            ("unread_answer", &self.unread_answer),
        ]
        .map(|(reason, count)| (reason, count.load(Ordering::Relaxed)))
    }
}

/// How long callers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Times {
    /// To send a head.
    pub(crate) head: Duration,
    /// Between an answer and the next request, and between two readings of an answer.
    pub(crate) idle: Duration,
}

/// The connections of a listener.
#[derive(Debug)]
pub(crate) struct Connections {
    limits: Limits,
    last: Cell<u64>,
    open: RefCell<BTreeMap<u64, Weak<State>>>,
    turns: Turns,
    /// The account's refusals when late connections were last closed.
    refusals: Cell<u64>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It waits for the rest of a head.
    Head,
    /// It waits for the next request.
    Idle,
    /// A request is handled.
    Busy,
    /// It is about to be closed: what else is received is discarded.
    Closing,
}

#[derive(Debug)]
struct State {
    id: u64,
    phase: Cell<Phase>,
    /// When the phase began.
    since: Cell<Instant>,
    /// Number of bytes that may still be read before something of them is handled.
    credit: Cell<usize>,
    /// Whether it is read in turn with others, because each window takes long to decode.
    takes_turns: Cell<bool>,
    has_turn: Cell<bool>,
    /// Since when nothing could be written.
    stalled: Cell<Option<Instant>>,
    is_closed: Cell<bool>,
    /// Whether it was not read for want of credit.
    is_held_back: Cell<bool>,
    reader: RefCell<Option<Waker>>,
    connections: Rc<Connections>,
}

impl State {
    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn wake(&self) {
        let reader = self.reader.borrow_mut().take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    fn close(&self, reason: &AtomicU64) {
        if !self.is_closed.replace(true) {
            reason.fetch_add(1, Ordering::Relaxed);
            self.wake();
        }
    }

    fn end_turn(&self) {
        self.connections.turns.end(self);
    }
}

/// Lets a few connections read at the same time, in turn.
#[derive(Debug, Default)]
struct Turns {
    taken: Cell<usize>,
    waiting: RefCell<VecDeque<Weak<State>>>,
}

impl Turns {
    /// Whether a connection may read now. If not, it is woken once it may.
    fn take(&self, state: &Rc<State>) -> bool {
        if state.has_turn.get() {
            return true;
        }
        if self.taken.get() < TINY_AT_ONCE {
            self.taken.set(self.taken.get() + 1);
            state.has_turn.set(true);
            return true;
        }
        let this = Rc::downgrade(state);
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|other| other.ptr_eq(&this)) {
            waiting.push_back(this);
        }
        false
    }

    /// Ends a connection's turn and gives it to the one that has waited longest.
    fn end(&self, state: &State) {
        if !state.has_turn.replace(false) {
            return;
        }
        self.taken.set(self.taken.get() - 1);
        let mut waiting = self.waiting.borrow_mut();
        let mut states = std::iter::from_fn(|| waiting.pop_front()).filter_map(|next| next.upgrade());
        // Some have ended their request in the meantime.
        if let Some(next) = states.find(|next| next.takes_turns.get()) {
            self.taken.set(self.taken.get() + 1);
            next.has_turn.set(true);
            next.wake();
        }
    }
}

impl Connections {
    pub(crate) fn new(limits: Limits) -> Rc<Self> {
        let refusals = Cell::new(limits.account.refusals());
        Rc::new(Self {
            limits,
            last: Cell::new(0),
            open: RefCell::default(),
            turns: Turns::default(),
            refusals,
        })
    }

    /// Takes a new connection in. If there is no place, one that waits for its caller is closed for it; if there is none
    /// of these, the new one is closed before anything of it is read.
    pub(crate) fn accept(self: &Rc<Self>, io: TcpStream) -> Option<Stream> {
        let is_full = self.open.borrow().len() >= self.limits.connections;
        if is_full && !self.displace() {
            self.limits.closed.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.last.set(self.last.get() + 1);
        let state = Rc::new(State {
            id: self.last.get(),
            phase: Cell::new(Phase::Head),
            since: Cell::new(Instant::now()),
            credit: Cell::new(usize::MAX),
            takes_turns: Cell::new(false),
            has_turn: Cell::new(false),
            stalled: Cell::new(None),
            is_closed: Cell::new(false),
            is_held_back: Cell::new(false),
            reader: RefCell::default(),
            connections: Rc::clone(self),
        });
        self.open.borrow_mut().insert(state.id, Rc::downgrade(&state));
        Some(Stream { io, guard: Some(Guard { state, burst: 0, head_bytes: 0, head: None }) })
    }

    /// Closes the connection that has waited longest for the rest of a head, or else for a request.
    fn displace(&self) -> bool {
        let open = self.open.borrow();
        let states = open.values().filter_map(Weak::upgrade);
        let waiting = states.filter(|state| state.phase.get() != Phase::Busy && !state.is_closed.get());
        let first = waiting.min_by_key(|state| (state.phase.get() == Phase::Idle, state.since.get()));
        drop(open);
        let Some(first) = first else {
            return false;
        };
        first.close(&self.limits.closed.displaced);
        self.open.borrow_mut().remove(&first.id);
        true
    }

    /// Closes connections whose callers take too long: for a head, for the next request, or to read an answer. While
    /// there is no memory for others, a caller that reads nothing is not waited for.
    pub(crate) fn close_late(&self, times: Times) {
        let now = Instant::now();
        let refusals = self.limits.account.refusals();
        let unread = if self.refusals.replace(refusals) == refusals { times.idle } else { UNREAD_MIN };
        let closed = &self.limits.closed;
        for state in self.open.borrow().values().filter_map(Weak::upgrade) {
            let limit = match state.phase.get() {
                Phase::Head => times.head + GRACE,
                Phase::Idle => times.idle + GRACE,
                Phase::Closing => CLOSE_TIME,
                Phase::Busy => Duration::MAX,
            };
            if now.duration_since(state.since.get()) > limit {
                state.close(&closed.late);
            }
            if state.stalled.get().is_some_and(|since| now.duration_since(since) > unread) {
                state.close(&closed.unread_answer);
            }
        }
    }
}

/// The connection of a request.
#[derive(Clone, Debug)]
pub(crate) struct Connection(Rc<State>);

impl Connection {
    /// The head of a request was read, and the request is handled now.
    pub(crate) fn begin(&self) {
        self.0.enter(Phase::Busy);
        self.0.credit.set(WINDOW_BYTES);
        self.0.takes_turns.set(false);
        self.0.end_turn();
    }

    /// All that was received was handled: more is to be read. `chunk_bytes` is the mean size of the body's chunks so far.
    pub(crate) fn read_more(&self, chunk_bytes: Option<usize>) {
        self.0.takes_turns.set(chunk_bytes.is_some_and(|bytes| bytes < TINY_CHUNK_BYTES));
        self.0.credit.set(WINDOW_BYTES);
        self.0.end_turn();
        if self.0.is_held_back.replace(false) {
            self.0.wake();
        }
    }

    /// The answer was written. If the connection `closes`, what its caller still sends is discarded in turn with others.
    pub(crate) fn end(&self, closes: bool) {
        self.0.enter(if closes { Phase::Closing } else { Phase::Idle });
        self.0.credit.set(usize::MAX);
        self.0.takes_turns.set(closes);
        self.0.end_turn();
        self.0.wake();
    }
}

/// A connection, as the HTTP library reads and writes it.
pub(crate) struct Stream {
    io: TcpStream,
    /// None if it has no limits.
    guard: Option<Guard>,
}

/// The limits of a connection.
struct Guard {
    state: Rc<State>,
    /// Bytes that were read since the library has last looked at them.
    burst: usize,
    /// Bytes of the head that is being read.
    head_bytes: usize,
    /// What the head takes beyond a window.
    head: Option<Share>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream").field("io", &self.io).finish_non_exhaustive()
    }
}

impl From<TcpStream> for Stream {
    /// A connection without limits.
    fn from(io: TcpStream) -> Self {
        Self { io, guard: None }
    }
}

impl Stream {
    /// The connection, if it has limits.
    pub(crate) fn connection(&self) -> Option<Connection> {
        self.guard.as_ref().map(|guard| Connection(Rc::clone(&guard.state)))
    }

    pub(crate) fn peer(&self) -> Option<SocketAddr> {
        self.io.peer_addr().ok()
    }
}

impl Guard {
    /// Number of bytes that may be read now; none if it is woken once some may.
    fn allowance(&mut self, io: &TcpStream, cx: &mut Context<'_>) -> io::Result<Option<usize>> {
        if self.state.is_closed.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.state.reader.replace(Some(cx.waker().clone()));
        if self.state.credit.get() == 0 {
            self.state.is_held_back.set(true);
            return Ok(None);
        }
        if self.burst >= WINDOW_BYTES {
            // The library looks at what it has before it reads again.
            self.burst = 0;
            if self.state.phase.get() == Phase::Closing {
                self.state.end_turn();
            }
            cx.waker().wake_by_ref();
            return Ok(None);
        }
        if self.state.takes_turns.get() && !self.takes_turn(io, cx)? {
            self.burst = 0;
            return Ok(None);
        }
        Ok(Some(self.state.credit.get().min(WINDOW_BYTES - self.burst)))
    }

    /// Whether there is something to read, and it is this connection's turn. Without anything to read it has none.
    fn takes_turn(&self, io: &TcpStream, cx: &mut Context<'_>) -> io::Result<bool> {
        if let Poll::Ready(ready) = io.poll_read_ready(cx) {
            ready?;
            return Ok(self.state.connections.turns.take(&self.state));
        }
        self.state.end_turn();
        Ok(false)
    }

    /// Counts bytes that were read.
    fn count(&mut self, bytes: usize, cx: &Context<'_>) -> io::Result<()> {
        self.burst += bytes;
        match self.state.phase.get() {
            Phase::Busy => self.state.credit.set(self.state.credit.get().saturating_sub(bytes)),
            Phase::Closing => {}
            Phase::Head => return self.count_head(bytes, cx),
            Phase::Idle => {
                self.state.enter(Phase::Head);
                self.head_bytes = 0;
                self.head = None;
                return self.count_head(bytes, cx);
            }
        }
        self.head_bytes = 0;
        self.head = None;
        Ok(())
    }

    /// Counts bytes of a head, whose memory is counted if they are many.
    fn count_head(&mut self, bytes: usize, cx: &Context<'_>) -> io::Result<()> {
        self.head_bytes += bytes;
        if self.head_bytes <= WINDOW_BYTES {
            return Ok(());
        }
        let connections = &self.state.connections;
        let share = self.head.get_or_insert_with(|| connections.limits.account.incomplete_share());
        share.record_received(bytes);
        if share.grow(bytes).is_ok() && share.poll_evicted(cx).is_pending() {
            return Ok(());
        }
        self.state.close(&connections.limits.closed.large_head);
        Err(io::ErrorKind::OutOfMemory.into())
    }

    fn is_head_evicted(&self, cx: &Context<'_>) -> bool {
        self.head.as_ref().is_some_and(|share| share.poll_evicted(cx).is_ready())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.end_turn();
        self.state.connections.open.borrow_mut().remove(&self.state.id);
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let Self { io, guard } = self.get_mut();
        let Some(guard) = guard else {
            return Pin::new(io).poll_read(cx, buf);
        };
        if guard.is_head_evicted(cx) {
            guard.state.close(&guard.state.connections.limits.closed.large_head);
        }
        let Some(limit) = guard.allowance(io, cx)? else {
            return Poll::Pending;
        };
        let before = buf.filled().len();
        let read = if limit >= buf.remaining() {
            Pin::new(io).poll_read(cx, buf)
        } else {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
            let read = Pin::new(io).poll_read(cx, &mut part);
            let count = part.filled().len();
            buf.advance(count);
            read
        };
        match read {
            Poll::Ready(Ok(())) => Poll::Ready(guard.count(buf.filled().len() - before, cx)),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                guard.burst = 0;
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let Self { io, guard } = self.get_mut();
        let written = Pin::new(io).poll_write(cx, buf);
        let Some(Guard { state, .. }) = guard else {
            return written;
        };
        if state.is_closed.get() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        state.reader.replace(Some(cx.waker().clone()));
        let stalled = written.is_pending().then(|| state.stalled.get().unwrap_or_else(Instant::now));
        state.stalled.set(stalled);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}
