//! Connects clients, endpoints and the platform: owns the decision module ([`Sender`]) and the host that
//! carries out its decisions. Every input is passed to the sender at once and schedules a round; at the end
//! of the round the decisions are carried out and clients receive their replies.

mod calls;
mod clock;
mod confirmation;
pub mod directory;
mod health_log;
mod host;
mod host_state;
pub mod invariants;
mod lists;
mod packets;
pub mod staged;
pub mod update;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::{EndpointId, PacketId, Sender};
use sailcart_store::{Disk, Files};
use sailcart_terms::Names;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use self::confirmation::DoubtEvent;
use self::host_state::HostState;
pub use self::packets::SubmitReply;
pub use self::staged::{ListTooLarge, StagedList};
use crate::deadline;
use crate::endpoints::Endpoints;
use crate::memory::Notice;
use crate::memory::ledger::Ledger;
use crate::memory::list_record::ListRecord;
use crate::outgoing::Call;

/// Interval between rounds while journal changes wait to be written.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between rounds when nothing arrives and the sender has requested none.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(3600);

/// A round that takes longer delays everything else in the process, and is logged.
const SLOW_ROUND: Duration = Duration::from_millis(50);

/// The sender, its host and the signals between the tasks that use them.
pub struct Exchange<F: Files = Disk> {
    inner: RefCell<Inner<F>>,
    /// Signalled on every input: a round is due.
    round_requested: Notify,
    /// Signalled when a notice is pending.
    pub notice_queued: Notify,
    /// Signalled when a call that carries notices is sent.
    pub notices_sent: Notify,
    /// Signalled when the platform has acknowledged notices.
    notices_acknowledged: Notify,
    /// Number of rounds that took longer than [`SLOW_ROUND`].
    slow_rounds: Cell<u64>,
    /// The record of the list in force; `None` if it is not recorded.
    list_record: RefCell<Option<ListRecord>>,
    /// When the input that had arrived was read last.
    input_read_at: Cell<Instant>,
    /// A round is about to begin: it comes before new commands of clients.
    round_begins: Cell<bool>,
}

struct Inner<F: Files> {
    sender: Sender,
    host: HostState<F>,
    stopped: bool,
}

/// What a round leaves to be carried out.
pub struct Round {
    /// Endpoints whose idle connections are to be closed, with the code for the log.
    pub endpoints_to_close: Vec<(EndpointId, &'static str)>,
    pub calls: Vec<Call>,
}

impl<F: Files> Exchange<F> {
    /// Creates the sender and its host with the state that the journal restored. `seed` drives the sender's
    /// random draws.
    pub fn new(settings: sailcart::Settings, seed: u64, names: Names, ledger: Ledger<F>) -> Self {
        let host = HostState::new(&settings, names, ledger);
        let inner = Inner { sender: Sender::new(settings, seed), host, stopped: false };
        let (round_requested, notices_acknowledged) = (Notify::new(), Notify::new());
        let (notice_queued, notices_sent) = (Notify::new(), Notify::new());
        Exchange {
            inner: RefCell::new(inner),
            round_requested,
            notice_queued,
            notices_sent,
            notices_acknowledged,
            slow_rounds: Cell::new(0),
            list_record: RefCell::default(),
            input_read_at: Cell::new(Instant::now()),
            round_begins: Cell::new(false),
        }
    }

    /// Bounds the memory for packets of deliveries that can be taken back, in bytes. The oldest are forgotten
    /// first: their notices stay.
    pub fn limit_unconfirmed_deliveries(&self, max_bytes: u64) {
        self.inner.borrow_mut().host.max_unconfirmed_bytes = max_bytes;
    }

    /// Calls `read` with the pending notices: those that the platform has not acknowledged.
    pub fn pending_notices<T>(
        &self,
        read: impl FnOnce(&mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> T,
    ) -> T {
        read(&mut self.inner.borrow().host.ledger.pending_notices())
    }

    /// Number of notices that the platform has not acknowledged, without those that wait for the deadline of a
    /// packet that may have been delivered.
    pub fn due_notices(&self) -> usize {
        let host = &self.inner.borrow().host;
        host.ledger.due_notices(|deadline| host.clock.is_past(deadline))
    }

    /// Calls `read` with the pending notices that may be sent now: those that this process or a later one can
    /// no longer contradict by delivering the packet.
    pub fn sendable_notices<T>(
        &self,
        read: impl FnOnce(&mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> T,
    ) -> T {
        let host = &self.inner.borrow().host;
        read(&mut host.ledger.sendable_notices(|deadline| host.clock.is_past(deadline)))
    }

    /// Number of invariant violations in this process.
    pub fn violations(&self) -> u64 {
        self.inner.borrow().host.violations.total()
    }

    /// Number of groups of changes that are not yet written to the state folder.
    pub fn unwritten_groups(&self) -> usize {
        self.inner.borrow().host.ledger.unwritten_groups()
    }

    /// Removes notices that the platform has acknowledged.
    pub fn acknowledge_notices(&self, ids: &[PacketId]) {
        log::debug!("notices: told {:?}", ids.iter().map(|id| id.0).collect::<Vec<_>>());
        let host = &mut self.inner.borrow_mut().host;
        for id in host.ledger.acknowledge_notices(ids) {
            host.doubtful_responses.count(DoubtEvent::Unresolved, &format_args!("packet {}", id.0));
        }
        host.unacknowledged.remove(ids);
        self.notices_acknowledged.notify_waiters();
    }

    /// Stops accepting packets. Calls in flight may still complete.
    pub fn stop_accepting_packets(&self) {
        self.inner.borrow_mut().stopped = true;
        self.round_requested.notify_one();
    }

    /// At the end of a stop, replies also to clients whose packets are on disk but might not survive a power
    /// loss yet. Without a reply the clients would have to treat them as lost, although the next process
    /// dispatches whatever is on disk.
    pub fn reply_unsynced(&self) {
        let host = &mut self.inner.borrow_mut().host;
        if !host.waiting_clients.is_empty() || !host.failure_replies.is_empty() {
            log::warn!(
                "journal: code=answered_unsynced {} answers",
                host.waiting_clients.len() + host.failure_replies.len()
            );
            host.reply_to_clients();
        }
    }

    /// Logs what was counted of responses that may belong to another call.
    pub fn log_doubtful_responses(&self) {
        log::info!("{}", self.inner.borrow().host.doubtful_responses);
    }

    /// Runs one round of decisions, records it and replies to the clients. Its calls are returned.
    pub fn decide(&self) -> Round {
        let Inner { sender, host, stopped } = &mut *self.inner.borrow_mut();
        host.scheduled_rounds.remove_due(Instant::now());
        host.settle_deliveries();
        if !*stopped || !host.waiting_clients.is_empty() {
            sender.decide(host.clock.now(), host);
        }
        sender.take_health_changes().iter().for_each(|change| host.health_log.log(change));
        match host.ledger.commit() {
            Ok(()) => host.reply_to_clients(),
            // Replies promise durability, so they wait for the first round whose commit succeeds.
            Err(error) => log::debug!("journal: code=not_committed {error}"),
        }
        let endpoints_to_close = std::mem::take(&mut host.endpoints_to_close);
        let round = Round { endpoints_to_close, calls: host.take_calls() };
        if host.ledger.has_notice_to_send() {
            self.notice_queued.notify_one();
        }
        round
    }

    /// Logs the first slow round and each that doubles their number, with the table entries that each phase of
    /// the rounds accessed so far.
    fn log_slow_round(&self, took: Duration) {
        if took < SLOW_ROUND {
            return;
        }
        let count = self.slow_rounds.get() + 1;
        self.slow_rounds.set(count);
        if count.is_power_of_two() {
            let visits = self.inner.borrow().sender.phase_visits().clone();
            log::warn!("rounds: code=slow count={count} took={took:?} {visits}");
        }
    }

    /// Whether new commands of clients wait, as a round is about to begin: in a burst, a round would otherwise have
    /// more of them to hold than it can send.
    pub fn round_begins(&self) -> bool {
        self.round_begins.get()
    }

    /// Lets the other tasks read the input that has arrived: the process may have stood still, and a decision without
    /// it would go by an old list, break a wait, or take a response for missing.
    async fn read_arrived_input(&self) {
        deadline::input_reported().await;
        self.input_read_at.set(Instant::now());
    }

    /// When the next round is due without further input.
    fn next_round(&self) -> Instant {
        let host = &self.inner.borrow().host;
        let interval = if host.ledger.is_recorded() { MAX_ROUND_INTERVAL } else { WRITE_RETRY_INTERVAL };
        let latest = Instant::now() + interval;
        host.scheduled_rounds.next().map_or(latest, |scheduled| scheduled.min(latest))
    }
}

impl<F: Files + 'static> Exchange<F> {
    /// Runs a round after each input and at each time that the sender requested, but at most one per
    /// `min_interval`.
    pub async fn run_rounds(self: Rc<Self>, min_interval: Duration, endpoints: Rc<Endpoints>) {
        loop {
            let next_round = self.next_round();
            tokio::select! {
                () = self.round_requested.notified() => {}
                () = sleep_until(next_round.into()) => {}
            }
            self.round_begins.set(true);
            self.read_arrived_input().await;
            self.round_begins.set(false);
            let start = Instant::now();
            let Round { endpoints_to_close, calls } = self.decide();
            self.log_slow_round(start.elapsed());
            for (endpoint, code) in endpoints_to_close {
                endpoints.close(endpoint, code);
            }
            for call in calls {
                tokio::task::spawn_local(endpoints.clone().execute(call, self.clone()));
            }
            sleep_until((start + min_interval).into()).await;
        }
    }
}
