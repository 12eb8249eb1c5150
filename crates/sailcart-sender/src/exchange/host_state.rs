//! State of the sender's host between rounds, and the completion of packets that were not delivered.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use sailcart_store::Files;
use sailcart_terms::Names;
use tokio::sync::{Notify, oneshot};

use super::clock::Clock;
use super::confirmation::{DoubtCounts, UnconfirmedDelivery};
use super::directory::Directory;
use super::health_log::HealthLog;
use super::invariants::{Invariant, Violations};
use super::packets::{SubmitReply, reply_all};
use crate::memory::Notice;
use crate::memory::ledger::Ledger;
use crate::memory::scheduled_rounds::ScheduledRounds;
use crate::memory::unacknowledged::UnacknowledgedNotices;

/// The sender's host: carries out the decisions of the sender at the end of each round.
pub(super) struct HostState<F: Files> {
    pub(super) clock: Clock,
    /// Ids of the categories, customers and kinds that the settings name.
    pub(super) names: Names,
    /// Largest number of packets in one call, by endpoint kind.
    pub(super) max_batch_by_kind: Vec<usize>,
    /// Patience by category. Bounds the deadline of restored packets, whose wall clock times may be wrong.
    pub(super) patience_by_category: Vec<Duration>,
    pub(super) max_retry_after: Option<Duration>,
    pub(super) ledger: Ledger<F>,
    /// Live endpoints and the known destinations.
    pub(super) directory: Directory,
    /// A list read by this process is in force. Until then, packets for destinations that are not listed are
    /// accepted.
    pub(super) has_current_list: bool,
    /// Clients that wait for the reply to a packet: the one that submitted it, and those with duplicate
    /// submissions.
    pub(super) waiting_clients: BTreeMap<PacketId, Vec<oneshot::Sender<SubmitReply>>>,
    /// Clients that receive a failure (dismissed or scrapped) in place of `+OK` once the records of this
    /// round are written.
    pub(super) failure_replies: Vec<(Vec<oneshot::Sender<SubmitReply>>, Notice)>,
    /// Packets in flight, each with the signal that cancels its call.
    pub(super) in_flight: BTreeMap<PacketId, Rc<Notify>>,
    /// Dispatches of this round by endpoint, each with its timeout.
    pub(super) dispatches: Vec<(EndpointId, Vec<(PacketId, Duration)>)>,
    /// Endpoints whose idle connections are to be closed, with the code for the log.
    pub(super) endpoints_to_close: Vec<(EndpointId, &'static str)>,
    /// Times of the rounds that the sender requested.
    pub(super) scheduled_rounds: ScheduledRounds,
    /// Packets whose notice the platform has not acknowledged: later packets with the same key wait for them.
    pub(super) unacknowledged: UnacknowledgedNotices,
    /// By category, whether its packets are sent in the order of their keys.
    pub(super) in_order_by_category: Vec<bool>,
    pub(super) violations: Violations,
    /// Deliveries whose response is in doubt.
    pub(super) unconfirmed: BTreeMap<PacketId, UnconfirmedDelivery>,
    /// Memory for the packets of these deliveries, in bytes.
    pub(super) max_unconfirmed_bytes: u64,
    pub(super) doubtful_responses: DoubtCounts,
    pub(super) health_log: HealthLog,
}

impl<F: Files> HostState<F> {
    pub(super) fn new(settings: &sailcart::Settings, names: Names, ledger: Ledger<F>) -> Self {
        let states =
            ledger.uncompleted_packets().into_iter().map(|packet| ledger.dispatch_state(packet.number));
        let clock =
            Clock::new(states.filter_map(|state| state.possibly_executed_at.or(state.in_flight_since)));
        let unacknowledged = UnacknowledgedNotices::new(ledger.pending_notices().map(|(id, ..)| id));
        HostState {
            clock,
            names,
            max_batch_by_kind: settings.kinds.iter().map(|kind| kind.max_batch.max(1)).collect(),
            patience_by_category: settings.categories.iter().map(|category| category.patience).collect(),
            max_retry_after: settings.max_retry_after,
            ledger,
            directory: Directory::new(),
            has_current_list: false,
            waiting_clients: BTreeMap::new(),
            failure_replies: Vec::new(),
            in_flight: BTreeMap::new(),
            dispatches: Vec::new(),
            endpoints_to_close: Vec::new(),
            scheduled_rounds: ScheduledRounds::default(),
            unacknowledged,
            violations: Violations::default(),
            unconfirmed: BTreeMap::new(),
            max_unconfirmed_bytes: u64::MAX,
            doubtful_responses: DoubtCounts::default(),
            health_log: HealthLog::default(),
            in_order_by_category: settings.categories.iter().map(|category| category.in_order).collect(),
        }
    }

    /// Completes a packet that was not delivered. Its client receives this as the reply if it still waits for
    /// one to its submission, otherwise the platform is notified.
    pub(super) fn complete_undelivered(&mut self, id: PacketId, notice: Notice) {
        let (deadline, dispatches) =
            (self.ledger.packet(id).map(|packet| packet.deadline), self.ledger.dispatch_state(id).dispatches);
        if let Some(left) = deadline.map(|at| self.clock.deadline(at).saturating_sub(self.clock.now())) {
            log::debug!("packet {}: ends {notice:?}, {dispatches} dispatches, {left:?} left", id.0);
        }
        let Some(clients) = self.waiting_clients.remove(&id) else { return self.queue_notice(id, notice) };
        if self.ledger.complete_rejected(id, notice) {
            self.failure_replies.push((clients, notice));
        } else {
            // The journal holds the packet as accepted and cannot be changed now, so the reply says that it
            // was accepted, and a notice reports the failure.
            log::warn!("packet {}: failure reported as a notice, code=not_recorded", id.0);
            reply_all(clients, SubmitReply::Accepted);
            self.queue_notice(id, notice);
        }
    }

    /// Replies to the clients that wait for this round's records, which are written now.
    pub(super) fn reply_to_clients(&mut self) {
        for (clients, notice) in std::mem::take(&mut self.failure_replies) {
            reply_all(clients, notice.into());
        }
        for (_, clients) in std::mem::take(&mut self.waiting_clients) {
            reply_all(clients, SubmitReply::Accepted);
        }
    }

    /// Completes a packet and queues a notice of it for the platform.
    pub(super) fn queue_notice(&mut self, id: PacketId, notice: Notice) {
        if self.ledger.packet(id).is_none() {
            return self.violations.count(Invariant::SecondCompletion, &id.0);
        }
        if let Some(key) = self.ledger.packet(id).cloned().and_then(|packet| self.order_key(&packet)) {
            self.unacknowledged.insert(id, key);
        }
        self.ledger.complete_with_notice(id, notice);
    }
}
