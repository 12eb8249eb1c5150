//! Follows the list of endpoints that discovery serves, without gaps between versions, and stages each list
//! or update as it is received.

use std::fmt::{self, Display};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart::response_doubt::LIST_CONNECTIONS;
use sailcart_terms::ValueError;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::connection::{AddressReceiver, Connection, ResponseLimits, is_address_change};
use crate::exchange::{Exchange, ListTooLarge, StagedList};
use crate::polling::{self, Failure, PollingSchedule};
use crate::response::{BodySink, TooLarge};
use crate::wire::http::Head;
use crate::wire::list_reader::{ListReader, MAX_ENTRY_BYTES, Summary};
use crate::wire::{MAX_BODY_BYTES, discovery, http};

/// A list that is received more slowly than this is abandoned.
const MIN_LIST_BYTES_PER_SECOND: u32 = 4_000_000;

/// Whether a successful call returned any entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    Entries,
    NoEntries,
}

/// Why a call returned no valid list.
#[derive(Debug)]
enum ListError {
    /// A reload changed the address of discovery.
    AddressChanged,
    /// The connection failed or broke, or the response took too long.
    ConnectionFailed(io::Error),
    /// A response with a status other than 200: discovery is overloaded.
    Status(u16),
    /// The body is no valid list, or the list is older than the one in force.
    Malformed(String),
    /// The list has more endpoints or bytes than the limits allow.
    TooLarge,
}

impl From<io::Error> for ListError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            _ if is_address_change(&error) => ListError::AddressChanged,
            io::ErrorKind::InvalidData => ListError::Malformed(error.to_string()),
            _ => ListError::ConnectionFailed(error),
        }
    }
}

impl From<TooLarge> for ListError {
    fn from(_: TooLarge) -> Self {
        ListError::TooLarge
    }
}

impl From<ListTooLarge> for ListError {
    fn from(_: ListTooLarge) -> Self {
        ListError::TooLarge
    }
}

impl From<ValueError> for ListError {
    fn from(error: ValueError) -> Self {
        ListError::Malformed(error.0)
    }
}

impl Display for ListError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListError::AddressChanged => write!(formatter, "the address of discovery has changed"),
            ListError::ConnectionFailed(error) => write!(formatter, "{error}"),
            ListError::Status(status) => write!(formatter, "answer {status}"),
            ListError::Malformed(message) => write!(formatter, "{message}"),
            ListError::TooLarge => write!(formatter, "the list is too large"),
        }
    }
}

/// Parses a list as it is received, and stages its entries.
struct StagingSink<'a> {
    exchange: &'a Exchange,
    reader: ListReader,
    staged: StagedList,
    /// Bytes received of a body that is no list, as the status is not 200.
    other_bytes: usize,
}

impl BodySink for StagingSink<'_> {
    type Error = ListError;

    fn receive(&mut self, head: &Head, piece: &[u8]) -> Result<(), ListError> {
        if head.status != 200 {
            self.other_bytes += piece.len();
            return if self.other_bytes > MAX_BODY_BYTES {
                Err(ListError::Status(head.status))
            } else {
                Ok(())
            };
        }
        let entries = self.reader.push(piece)?;
        Ok(self.exchange.add_entries(&mut self.staged, entries)?)
    }
}

/// Follows the list of endpoints by polling discovery: each call either fetches the full list or waits for
/// an update that is newer than a version (a watch).
///
/// # Large lists
///
/// A list is parsed as it is received, and this thread yields to other tasks after each
/// [`response::MAX_PIECE_BYTES`]. No part of the list takes effect before all of it has been received and
/// found valid.
///
/// A call has the time that its polling schedule gives, and a large list more in proportion to the bytes
/// received (`MIN_LIST_BYTES_PER_SECOND`). A list of `n` endpoints has at most `n` times [`MAX_ENTRY_BYTES`]
/// bytes. So it is complete or abandoned within the time of its call (0.75 s with an agent, 2.25 s without;
/// for a watch also its wait) plus `n` times 1.024 ms: 384 s for the 375,000 endpoints that fit into 192
/// MB. With entries of the usual 165 bytes it takes 16 s. This holds as long as this thread reads as fast
/// as bytes arrive; bytes that have already arrived are read, however late.
///
/// # Lists that are too large
///
/// A list that is too large is refused and the last valid one stays in force. The refused request is
/// repeated after delays that grow to a minute. If it was for the full list (after a malformed one), the
/// watch from the last valid version continues meanwhile on its own schedule, so updates after that version
/// still arrive in time. If the response to the watch itself was too large, no update can be received without
/// reading that response again, so no update is guaranteed to arrive before the delay has passed.
///
/// [`response::MAX_PIECE_BYTES`]: crate::response::MAX_PIECE_BYTES
pub struct Follower {
    connection: Connection,
    schedule: PollingSchedule,
    /// The most endpoints that a list may contain.
    max_endpoints: usize,
    exchange: Rc<Exchange>,
    /// The version after which the next call watches; `None` if it fetches the full list.
    watch_from: Option<u64>,
    /// The version in force; `None` if the current discovery did not serve it.
    version_in_force: Option<u64>,
    /// When to fetch the full list again after it was too large.
    full_list_at: Option<Instant>,
    /// The error that was logged last; an outage has one line, not one for each attempt.
    logged_error: Option<io::ErrorKind>,
    /// The list is too large, and this has been logged.
    logged_too_large: bool,
    /// A call has returned a list or update, perhaps an empty one.
    has_succeeded: bool,
}

impl Follower {
    /// Creates a follower that watches for updates after `version`. Lists of more than `max_endpoints` are
    /// refused.
    pub fn new(
        address_receiver: AddressReceiver,
        version: u64,
        schedule: PollingSchedule,
        max_endpoints: usize,
        exchange: Rc<Exchange>,
    ) -> Self {
        Follower {
            connection: Connection {
                address_receiver,
                stream: None,
                connect_timeout: schedule.call_timeout(),
                choice: LIST_CONNECTIONS,
            },
            schedule,
            max_endpoints,
            exchange,
            watch_from: Some(version),
            version_in_force: Some(version),
            full_list_at: None,
            logged_error: None,
            logged_too_large: false,
            has_succeeded: false,
        }
    }

    /// Polls discovery for the life of the process. `first_call_completed` is notified when the first call
    /// has completed, whether it returned a list or not.
    pub async fn follow(mut self, first_call_completed: oneshot::Sender<()>) {
        let mut first_call_completed = Some(first_call_completed);
        loop {
            if self.full_list_at.is_some_and(|at| at <= Instant::now()) {
                self.watch_from = None;
            }
            let start = Instant::now();
            let polled = self.poll().await;
            first_call_completed.take().map(|sender| sender.send(()));
            match polled {
                Ok(Received::Entries) => {}
                Ok(Received::NoEntries) => {
                    // A watch with an immediate response is not repeated at once, to bound the rate of calls.
                    // The delay is short enough that updates still arrive on schedule.
                    let delay = polling::MIN_RETRY_DELAY.saturating_sub(start.elapsed());
                    self.wait(delay).await;
                }
                Err(error) => self.handle_failure(error).await,
            }
        }
    }

    /// Makes one call and puts the list or update that it returns in force.
    async fn poll(&mut self) -> Result<Received, ListError> {
        let (path, base_time) = self.next_call();
        let call = http::get(&self.connection.address().to_string(), &path);
        let max_body_bytes = self.max_endpoints.saturating_mul(MAX_ENTRY_BYTES);
        let limits = ResponseLimits {
            base_time,
            min_bytes_per_second: Some(MIN_LIST_BYTES_PER_SECOND),
            max_body_bytes,
        };
        let exchange = self.exchange.clone();
        let staged = exchange.stage(self.max_endpoints);
        let mut sink =
            StagingSink { exchange: &exchange, reader: ListReader::default(), staged, other_bytes: 0 };
        let response = self.connection.call(&call, limits, &mut sink).await?;
        let status = response.head.map_or(0, |head| head.status);
        if status != 200 {
            return Err(ListError::Status(status));
        }
        let list = sink.reader.finish()?;
        check_not_older(&list, self.watch_from)?;
        exchange.fits(&sink.staged, list.full)?;
        // Also without changes: applying a list removes endpoints that left the list long ago.
        exchange.apply(sink.staged, list.full).await;
        exchange.record_list_version(list.version, self.connection.address());
        let received = if list.entries_read > 0 { Received::Entries } else { Received::NoEntries };
        // The first call also shows that discovery was reached and has nothing newer.
        let is_first = !std::mem::replace(&mut self.has_succeeded, true);
        if is_first || list.full || received == Received::Entries {
            log::info!("discovery: version {}, {} entries", list.version, list.entries_read);
        }
        self.record_in_force(&list);
        Ok(received)
    }

    /// The path of the next call, and the time within which its response must arrive.
    fn next_call(&self) -> (String, Duration) {
        let Some(from) = self.watch_from else {
            return (discovery::FULL_LIST_PATH.to_owned(), self.schedule.call_timeout());
        };
        let (hold, base_time) = self.schedule.watch_timing();
        let until_full_list = self.full_list_at.map(|at| at.saturating_duration_since(Instant::now()));
        let shortened = until_full_list.map_or(hold, |until_full_list| until_full_list.min(hold));
        (discovery::watch_path(from, shortened), base_time - (hold - shortened))
    }

    /// Updates the state after a list or update was put in force.
    fn record_in_force(&mut self, list: &Summary) {
        let requested_full = self.watch_from.is_none();
        self.version_in_force = Some(list.version);
        self.watch_from = self.version_in_force;
        self.logged_error = None;
        self.schedule.list_in_force();
        if self.full_list_at.is_none() || list.full || requested_full {
            self.full_list_at = None;
            self.logged_too_large = false;
            self.schedule.list_fits();
        }
    }

    /// Decides what the next call requests after a call without a valid list, and waits until it is due.
    async fn handle_failure(&mut self, error: ListError) {
        match error {
            ListError::AddressChanged => self.reset(),
            ListError::TooLarge => self.handle_too_large().await,
            ListError::ConnectionFailed(_) => self.back_off(&error, Failure::CallFailed).await,
            ListError::Status(_) => self.back_off(&error, Failure::Overloaded).await,
            ListError::Malformed(_) => {
                self.connection.close("malformed");
                // Fetch the full list next, unless it is known to be too large.
                self.watch_from = self.version_in_force.filter(|_| self.full_list_at.is_some());
                self.back_off(&error, Failure::CallFailed).await;
            }
        }
    }

    async fn back_off(&mut self, error: &ListError, failure: Failure) {
        let kind = match error {
            ListError::ConnectionFailed(error) => error.kind(),
            ListError::Malformed(_) => io::ErrorKind::InvalidData,
            _ => io::ErrorKind::Other,
        };
        if self.logged_error.replace(kind) != Some(kind) {
            log::warn!("discovery: code=no_list {error}");
        }
        let delay = self.schedule.delay_after(failure);
        self.wait(delay).await;
    }

    async fn handle_too_large(&mut self) {
        let delay = self.schedule.too_large_delay();
        if !std::mem::replace(&mut self.logged_too_large, true) {
            let max_endpoints = self.max_endpoints;
            log::warn!(
                "discovery: code=list_too_large the list exceeds {max_endpoints} endpoints or {MAX_ENTRY_BYTES} bytes per endpoint"
            );
        }
        log::debug!("discovery: the list was too large, it is requested again in {delay:?}");
        if self.watch_from.is_none() && self.version_in_force.is_some() {
            self.watch_from = self.version_in_force;
            self.full_list_at = Some(Instant::now() + delay);
        } else {
            self.wait(delay).await;
        }
    }

    async fn wait(&mut self, delay: Duration) {
        if self.connection.wait_for_address_change(delay).await {
            self.reset();
        }
    }

    /// Starts over with the full list after the address changed, since another discovery may number
    /// versions differently.
    fn reset(&mut self) {
        self.watch_from = None;
        self.version_in_force = None;
        self.full_list_at = None;
    }
}

/// Rejects a list that is older than the version watched from, as a discovery that fell behind would serve
/// it. The next call fetches the full list; an older version is accepted there, since discovery's numbering
/// may have been reset.
fn check_not_older(list: &Summary, watched_from: Option<u64>) -> Result<(), ListError> {
    match watched_from {
        Some(watched_from) if list.version < watched_from => {
            Err(ListError::Malformed(format!("version {}, older than {watched_from}", list.version)))
        }
        _ => Ok(()),
    }
}
