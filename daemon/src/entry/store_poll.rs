//! Polls the store's tables: reads each of them completely once, and then its changes with long polls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use boragecove_core::time::Time;
use boragecove_fleet::effect::{Follow, Poll};
use boragecove_fleet::event::{Event, Listing};
use boragecove_fleet::revision::Revision;
use boragecove_platform::error::DecodeError;
use boragecove_platform::store::{self, Page, Table, Undecodable};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::client::{self, Client, Received};
use super::node::{ApplyEvent, Node, Transferred, store_request};
use super::settings::Settings;
use super::transfer::{Kind, Transfer};
use crate::clock::Clock;

/// Time within which an answer must begin, beyond the time for which the store may hold the call, and longest stall after
/// that. The complete answer may take longer: 4,000 routes take 1 MB in the store's encoding, which a link of 10 Mbit/s
/// transfers in 0.8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after the first failed call. It doubles with each further one, up to a maximum.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(50);
/// Longest transfer of a page of the operator's table after which its changes are still polled. While a page takes longer,
/// the operator may write further versions, and polling would transfer each of them: with documents of 1 MB in quick
/// succession, an entry VM on a link of 10 Mbit/s would lag behind until the last of them. Instead, the table is read
/// again, which transfers only the newest version.
const PAGE_TIME_MAX: Duration = Duration::from_millis(300);
/// Maximum size of a page in bytes.
const PAGE_BYTES_MAX: usize = 8 << 20;

#[derive(Debug, Error)]
enum PollError {
    #[error(transparent)]
    Call(#[from] client::Error),
    #[error(transparent)]
    Body(#[from] DecodeError),
    #[error("the store answered with status {0}")]
    Status(u16),
    #[error("the store no longer has the changes since that revision")]
    HistoryGone,
    #[error("the store was restored from an older copy")]
    EraChanged,
}

/// A page, and the time from its first byte to its last.
struct TimedPage {
    page: Page,
    took: Duration,
}

/// Polls one table.
struct TablePoller {
    table: Table,
    address: SocketAddr,
    clock: Clock,
    client: Rc<Client>,
    node: Addr<Node>,
    /// The revision up to which the table is known; none if it has to be read completely.
    version: Option<Revision>,
    /// The version of the configuration that was last sent to the node.
    last_config: Option<u64>,
    /// The version of the configuration in the store; 0 for none.
    config: u64,
    /// The highest era stated by the store.
    era: u64,
    /// How to poll; none while the hub reports changes.
    mode: watch::Receiver<Option<Follow>>,
    /// Whether the last call was answered. Otherwise, the next call is no long poll: a call that was sent during an outage
    /// may get no answer after the outage either.
    answered: bool,
    /// The version in the store of the last configuration that could not be decoded.
    unreadable: Cell<u64>,
}

/// A single call for the changes of the engines' table, besides the table's polls.
#[derive(Debug)]
pub(crate) struct Refresh {
    pub(crate) store: SocketAddr,
    pub(crate) clock: Clock,
    /// The revision up to which the table is known.
    pub(crate) after: Revision,
    /// Time within which the answer must begin, and longest stall after that.
    pub(crate) limit: Duration,
}

impl Refresh {
    /// Makes the call on a new connection, because open ones may deliver nothing any more. Returns the resulting event.
    pub(crate) async fn run(self, client: Rc<Client>, node: Addr<Node>) -> Event {
        let (since, asked) = (Instant::now(), self.clock.now());
        client.close_idle(self.store);
        let request = store_request(Table::Engines.poll(self.after.version, Duration::ZERO));
        let called = client.transfer(self.store, request, PAGE_BYTES_MAX, self.limit, self.limit).await;
        node.do_send(Transferred(Transfer::of(Kind::Engines, since, &called)));
        // The transfer's log line shows why a call failed.
        let Some(received) = called.ok().filter(|received| received.status.is_success()) else {
            return Event::RefreshFailed;
        };
        let era = store::era(&received.headers).unwrap_or_default();
        match store::page(era, &received.body) {
            Ok(page) if page.version.era == self.after.era => {
                Event::EnginesRead(listing(&page, asked, false))
            }
            // The poller reads the table completely after the store was restored from another copy.
            Ok(_other_era) => Event::RefreshFailed,
            Err(error) => {
                tracing::warn!(%error, "cannot decode the changes of the engines' table");
                Event::RefreshFailed
            }
        }
    }
}

/// Starts polling the tables that the reducer depends on.
pub(crate) fn start(
    settings: &Settings,
    clock: Clock,
    client: &Rc<Client>,
    node: &Addr<Node>,
    mode: &watch::Receiver<Option<Follow>>,
) {
    for table in [Table::Operator, Table::Engines] {
        let poller = TablePoller {
            table,
            address: settings.store,
            clock,
            client: Rc::clone(client),
            node: node.clone(),
            version: None,
            last_config: None,
            config: 0,
            era: 0,
            mode: mode.clone(),
            answered: false,
            unreadable: Cell::new(0),
        };
        actix_rt::spawn(poller.run());
    }
}

/// The rows in a page of the engines' table; `asked` is the time of the call. Rows that can't be decoded are logged and
/// skipped.
fn listing(page: &Page, asked: Time, complete: bool) -> Listing {
    let (listing, undecodable) = page.engines(asked, complete);
    for Undecodable { id, error } in undecodable {
        tracing::warn!(%id, %error, "skipping a row of the engines' table");
    }
    listing
}

impl TablePoller {
    async fn run(mut self) {
        let mut pause = RETRY_PAUSE_MIN;
        while self.node.connected() {
            if !self.wait_until_enabled().await {
                return;
            }
            if self.mode.borrow().is_none() {
                // The hub has taken over meanwhile.
                continue;
            }
            let result = self.poll().await;
            self.answered = matches!(result, Ok(()) | Err(PollError::HistoryGone | PollError::EraChanged));
            match result {
                Ok(()) => {
                    pause = RETRY_PAUSE_MIN;
                    self.node.do_send(ApplyEvent(Event::StoreUp(true)));
                    let mode = *self.mode.borrow();
                    sleep(mode.map_or(Duration::ZERO, |follow| follow.pause)).await;
                }
                Err(PollError::HistoryGone) => self.version = None,
                Err(PollError::EraChanged) => {
                    // All entry VMs that poll the store now read it completely.
                    let spread = self.mode.borrow().map_or(Duration::ZERO, |follow| follow.reload_spread);
                    sleep(spread.mul_f64(fastrand::f64())).await;
                    self.version = None;
                }
                Err(error) => {
                    tracing::debug!(table = ?self.table, %error, "polling the store failed");
                    self.node.do_send(ApplyEvent(Event::StoreUp(false)));
                    let retry_min = self.mode.borrow().map_or(Duration::ZERO, |follow| follow.retry_min);
                    sleep(pause.max(retry_min).mul_f64(0.5 + 0.5 * fastrand::f64())).await;
                    pause = self.mode.borrow().map_or(pause, |follow| (pause * 2).min(follow.retry_max));
                }
            }
        }
    }

    /// Waits until this process has to poll the table. Returns false if the node has stopped.
    async fn wait_until_enabled(&mut self) -> bool {
        if self.mode.borrow().is_some() {
            return true;
        }
        let Ok(mode) = self.mode.wait_for(Option::is_some).await.map(|mode| *mode) else {
            return false;
        };
        if let Some(mode) = mode {
            sleep(mode.delay).await;
            let known = match self.table {
                Table::Operator => mode.operator_version,
                Table::Engines => mode.engines_version,
            };
            // Polls start from the revision that the hub has reported: a complete document may have 1 MB, and all entry
            // VMs would read it at the same time.
            if self.version < Some(known) && known.is_known() {
                self.version = Some(known);
                self.config = mode.config;
            }
        }
        // The changes since then are needed at once, without a long poll.
        self.answered = false;
        true
    }

    /// Reads the table completely, or its changes with a long poll. If that times out, asks for the changes once more,
    /// without waiting for any.
    async fn poll(&mut self) -> Result<(), PollError> {
        let Some(version) = self.version else {
            return self.read_table().await;
        };
        if self.answered {
            let Poll { wait, overdue } = self.poll_limits();
            match self.read_changes(version, wait, wait + overdue).await {
                // Either the connection delivers nothing any more, or the store is slow. The call below shows which.
                Err(PollError::Call(error)) if error.is_timeout() => {}
                ended => return ended,
            }
        }
        self.read_changes(version, Duration::ZERO, ANSWER_TIMEOUT).await
    }

    /// Reads the changes since a revision; the store may hold the call for `wait`. The answer must begin within `first`.
    async fn read_changes(
        &mut self,
        version: Revision,
        wait: Duration,
        first: Duration,
    ) -> Result<(), PollError> {
        let asked = self.clock.now();
        let request = self.table.poll(version.version, wait);
        let TimedPage { page, took } = self.call(request, first).await?;
        if page.version.era != version.era {
            return Err(PollError::EraChanged);
        }
        self.send_to_node(&page, asked, false)?;
        self.version = (!self.is_too_slow(took)).then_some(page.version.max(version));
        Ok(())
    }

    async fn read_table(&mut self) -> Result<(), PollError> {
        let asked = self.clock.now();
        let TimedPage { mut page, mut took } = self.call(self.table.read(None), ANSWER_TIMEOUT).await?;
        // Later pages may be newer, so changes are polled from the revision of the first one.
        while let Some(after) = page.continue_after.take() {
            let more = self.call(self.table.read(Some(&after)), ANSWER_TIMEOUT).await?;
            if more.page.version.era != page.version.era {
                return Err(PollError::EraChanged);
            }
            page.append(more.page);
            took += more.took;
        }
        let new = self.send_to_node(&page, asked, true)?;
        self.version = (!new || !self.is_too_slow(took)).then_some(page.version);
        Ok(())
    }

    /// Time limits of a long poll of the table.
    fn poll_limits(&self) -> Poll {
        let limits = |follow: Follow| match self.table {
            Table::Operator => follow.operator,
            Table::Engines => follow.engines,
        };
        self.mode.borrow().map_or(Poll::default(), limits)
    }

    /// Sends the contents of a page to the node; `asked` is the time of the call. Returns whether it holds a configuration
    /// other than the last one sent.
    fn send_to_node(&mut self, page: &Page, asked: Time, complete: bool) -> Result<bool, PollError> {
        let mut new = false;
        match self.table {
            Table::Operator => {
                self.node.do_send(ApplyEvent(Event::Evacuations(page.evacuations(complete))));
                let read = page.config().inspect_err(|error| self.log_unreadable(page, error));
                if let Some(config) = read? {
                    self.config = config.version;
                    new = self.last_config.replace(config.version) != Some(config.version);
                    self.node.do_send(ApplyEvent(Event::Configured(Arc::new(config))));
                } else if complete {
                    self.config = 0;
                }
                let (version, config) = (page.version, self.config);
                self.node.do_send(ApplyEvent(Event::OperatorTableRead { version, config, asked }));
            }
            Table::Engines => {
                self.node.do_send(ApplyEvent(Event::EnginesRead(listing(page, asked, complete))));
            }
        }
        Ok(new)
    }

    /// Logs a configuration that can't be decoded, once per version. The previous version stays in force, and the document
    /// is read again.
    fn log_unreadable(&self, page: &Page, error: &DecodeError) {
        let version = page.config_version();
        if self.unreadable.replace(version) != version {
            tracing::error!(store = version, %error, "the configuration stays as it is");
        }
    }

    /// Whether a page took so long that the operator may have written another version meanwhile ([`PAGE_TIME_MAX`]).
    fn is_too_slow(&self, took: Duration) -> bool {
        self.table == Table::Operator && took >= PAGE_TIME_MAX
    }

    const fn kind(&self) -> Kind {
        match self.table {
            Table::Operator => Kind::Config,
            Table::Engines => Kind::Engines,
        }
    }

    /// Makes a call whose answer must begin within `first`.
    async fn call(&mut self, call: store::Call, first: Duration) -> Result<TimedPage, PollError> {
        let since = Instant::now();
        let request = store_request(call);
        let called = self.client.transfer(self.address, request, PAGE_BYTES_MAX, first, ANSWER_TIMEOUT).await;
        self.node.do_send(Transferred(Transfer::of(self.kind(), since, &called)));
        let Received { status, headers, body, took } = called?;
        let era = store::era(&headers);
        if era.is_some_and(|era| era > self.era) {
            self.era = era.unwrap_or_default();
            self.node.do_send(ApplyEvent(Event::Era(self.era)));
        }
        match status.as_u16() {
            200 => Ok(TimedPage { page: store::page(era.unwrap_or_default(), &body)?, took }),
            status if store::is_history_gone(status) => Err(PollError::HistoryGone),
            status => Err(PollError::Status(status)),
        }
    }
}
