//! Deliveries that wait for their confirmation: the response that reported them may belong to another call.
//!
//! Such a packet is completed at once, in the journal too. It is kept in memory for the settle time, so that it
//! can be dispatched again if a later response shows that it was not delivered. Where such responses are
//! expected, it is recorded with a notice at its deadline instead, which a confirmation withdraws.

use std::fmt::{self, Display};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::response_doubt::UnresolvedDelivery;
use sailcart::response_matching::Attribution;
use sailcart::{Outcome, PacketId, Sender};
use sailcart_store::Files;

use super::Inner;
use super::calls::execution;
use super::host_state::HostState;
use crate::memory::ledger::RecordedDispatch;
use crate::memory::{DispatchState, Execution, Notice, Packet};
use crate::wire::call::PacketOutcome;

/// What is counted of responses that may belong to another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DoubtEvent {
    /// A response that belongs to no call.
    Extra,
    /// A packet whose response may belong to another call.
    InDoubt,
    /// A packet that completed provisionally and was not delivered.
    Corrected,
    /// A packet that may have been delivered and completes with a notice, as its doubt was never resolved.
    Unresolved,
}

const ALL_EVENTS: [DoubtEvent; 4] =
    [DoubtEvent::Extra, DoubtEvent::InDoubt, DoubtEvent::Corrected, DoubtEvent::Unresolved];

impl Display for DoubtEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            DoubtEvent::Extra => "extra",
            DoubtEvent::InDoubt => "in_doubt",
            DoubtEvent::Corrected => "corrected",
            DoubtEvent::Unresolved => "unresolved",
        })
    }
}

/// Number of events of each kind in this process.
#[derive(Debug, Default)]
pub(super) struct DoubtCounts([u64; ALL_EVENTS.len()]);

impl DoubtCounts {
    /// Counts an event. Logs the first of each kind and every one that doubles its count; those in doubt, which
    /// are ordinary where all responses are equal, at debug only.
    pub(super) fn count(&mut self, event: DoubtEvent, subject: &dyn Display) {
        let count = &mut self.0[event as usize];
        *count += 1;
        let level = match event {
            DoubtEvent::InDoubt => log::Level::Debug,
            _ if count.is_power_of_two() => log::Level::Warn,
            _ => log::Level::Debug,
        };
        log::log!(level, "responses: {event}={count} {subject}");
    }
}

impl Display for DoubtCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("responses:")?;
        ALL_EVENTS.iter().try_for_each(|event| write!(formatter, " {event}={}", self.0[*event as usize]))
    }
}

/// Number of deliveries that can be taken back at most; the oldest are settled first.
const MAX_UNCONFIRMED_DELIVERIES: usize = 256;

/// A delivery whose response is in doubt.
#[derive(Debug)]
pub(super) struct UnconfirmedDelivery {
    packet: Rc<Packet>,
    /// The dispatch state during the call.
    state: DispatchState,
    /// The dispatch that the call carried.
    dispatch: RecordedDispatch,
    /// When the doubt ends without a further response.
    settles_at: Duration,
}

impl<F: Files> HostState<F> {
    /// Completes a packet whose delivery may have to be taken back.
    pub(super) fn complete_provisionally(
        &mut self,
        id: PacketId,
        dispatch: RecordedDispatch,
        sender: &Sender,
    ) {
        let Some(packet) = self.ledger.packet(id).cloned() else { return };
        let (now, settle_time) = (self.clock.now(), sender.settle_time());
        let (state, settles_at) = (self.ledger.dispatch_state(id), now.saturating_add(settle_time));
        match sender.unresolved_delivery(now) {
            UnresolvedDelivery::Completed => self.ledger.complete(id),
            UnresolvedDelivery::NotifiedAtDeadline => {
                self.ledger.complete_with_notice_at_deadline(id, Notice::Scrapped);
                self.hold_back_later_packets(&packet);
            }
        }
        if self.unconfirmed.len() >= MAX_UNCONFIRMED_DELIVERIES {
            let oldest = self.unconfirmed.pop_first();
            oldest.into_iter().for_each(|(id, delivery)| self.settle_delivery(id, &delivery, sender));
        }
        self.unconfirmed.insert(id, UnconfirmedDelivery { packet, state, dispatch, settles_at });
    }

    /// Records a notice at its deadline for each delivery that waits for its confirmation, as an extra response was
    /// seen: it may have been one of these that a copy displaced.
    pub(super) fn protect_unconfirmed_deliveries(&mut self) {
        let packets: Vec<Rc<Packet>> =
            self.unconfirmed.values().map(|delivery| delivery.packet.clone()).collect();
        packets.iter().for_each(|packet| self.notify_at_deadline(packet));
    }

    fn notify_at_deadline(&mut self, packet: &Packet) {
        self.ledger.replace_completion_with_notice(packet, Notice::Scrapped);
        self.hold_back_later_packets(packet);
    }

    /// Holds back later packets of the same key: this one has not completed for the platform.
    fn hold_back_later_packets(&mut self, packet: &Packet) {
        if let Some(key) = self.order_key(packet) {
            self.unacknowledged.insert(packet.number, key);
        }
    }

    /// When the next delivery settles. Kept apart from the rounds that the sender schedules, as these drop one
    /// another.
    pub(super) fn next_settlement(&self) -> Option<Instant> {
        let next = self.unconfirmed.values().map(|delivery| delivery.settles_at).min()?;
        Instant::now().checked_add(next.saturating_sub(self.clock.now()))
    }

    /// Ends the doubt about the deliveries whose settle time is over.
    pub(super) fn settle_deliveries(&mut self, sender: &Sender) {
        let now = self.clock.now();
        let due = self.unconfirmed.extract_if(.., |_, delivery| delivery.settles_at <= now);
        for (id, delivery) in due.collect::<Vec<_>>() {
            self.settle_delivery(id, &delivery, sender);
        }
    }

    fn settle_delivery(&mut self, id: PacketId, delivery: &UnconfirmedDelivery, sender: &Sender) {
        if sender.unresolved_delivery(self.clock.now()) == UnresolvedDelivery::NotifiedAtDeadline {
            self.doubtful_responses.count(DoubtEvent::Unresolved, &format_args!("packet {}", id.0));
            self.notify_at_deadline(&delivery.packet);
        }
    }

    /// Keeps a delivery that was confirmed.
    fn confirm_delivery(&mut self, id: PacketId) {
        self.unconfirmed.remove(&id);
        self.ledger.acknowledge_notices(&[id]);
        self.unacknowledged.remove(&[id]);
    }
}

impl<F: Files> Inner<F> {
    /// Resolves the doubt about a delivered packet by the outcome that its call really had.
    pub(super) fn resolve_packet(&mut self, id: PacketId, (outcome, completed): PacketOutcome) {
        if !self.host.unconfirmed.contains_key(&id) {
            return;
        }
        if completed || outcome == Outcome::Done {
            self.host.confirm_delivery(id);
        } else {
            self.reopen(id, execution(outcome, Attribution::Certain));
        }
    }

    /// Takes back a delivery: the packet is dispatched again, or completes with a notice if it may have been
    /// executed and must not be repeated.
    fn reopen(&mut self, id: PacketId, execution: Execution) {
        let Inner { sender, host, .. } = self;
        let Some(UnconfirmedDelivery { packet, state, dispatch, .. }) = host.unconfirmed.remove(&id) else {
            return;
        };
        host.doubtful_responses.count(DoubtEvent::Corrected, &format_args!("packet {}", packet.id));
        let state = dispatch.state_after(state, execution);
        let may_repeat = execution != Execution::Possible
            || host.category(&packet).is_some_and(|category| sender.may_repeat(category));
        if !may_repeat || host.ledger.reopen(&packet, state).is_err() {
            return host.notify_at_deadline(&packet);
        }
        host.unacknowledged.remove(&[id]);
        match host.sender_packet(&packet) {
            Ok(reopened) => sender.accept(host.clock.now(), reopened),
            Err(_) => host.queue_notice(id, Notice::Scrapped),
        }
    }
}
