//! Deliveries that wait for their confirmation: the response that reported them may belong to another call.
//!
//! Such a packet is completed at once, in the journal with a notice at its deadline, which a confirmation
//! withdraws. The packet is kept in memory for the settle time, so that it can be dispatched again if a later
//! response shows that it was not delivered.

use std::fmt::{self, Display};
use std::rc::Rc;
use std::time::Duration;

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
    /// A packet that may have been delivered and for which a notice was sent, as its doubt was never resolved.
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

/// Memory for a packet without its body, in bytes: its ids and keys, and what is kept beside it.
const PACKET_OVERHEAD_BYTES: u64 = 1024;

/// A delivery whose response is in doubt.
#[derive(Debug)]
pub(super) struct UnconfirmedDelivery {
    packet: Rc<Packet>,
    /// The dispatch state during the call.
    state: DispatchState,
    /// The dispatch that the call carried.
    dispatch: RecordedDispatch,
    /// Until when the packet is kept.
    settles_at: Duration,
}

impl<F: Files> HostState<F> {
    /// Completes a packet whose delivery is in doubt: unless it is confirmed, its notice is sent at its deadline.
    pub(super) fn complete_provisionally(
        &mut self,
        id: PacketId,
        dispatch: RecordedDispatch,
        sender: &Sender,
    ) {
        let Some(packet) = self.ledger.packet(id).cloned() else { return };
        let settles_at = self.clock.now().saturating_add(sender.settle_time());
        let state = self.ledger.dispatch_state(id);
        self.ledger.complete_with_notice_at_deadline(id, Notice::Scrapped);
        self.hold_back_later_packets(&packet);
        self.unconfirmed.insert(id, UnconfirmedDelivery { packet, state, dispatch, settles_at });
        while self.unconfirmed_bytes() > self.max_unconfirmed_bytes {
            self.unconfirmed.pop_first();
        }
    }

    fn unconfirmed_bytes(&self) -> u64 {
        let bytes =
            |delivery: &UnconfirmedDelivery| PACKET_OVERHEAD_BYTES + delivery.packet.body.len() as u64;
        self.unconfirmed.values().map(bytes).sum()
    }

    /// Holds back later packets of the same key: this one has not completed for the platform.
    fn hold_back_later_packets(&mut self, packet: &Packet) {
        if let Some(key) = self.order_key(packet) {
            self.unacknowledged.insert(packet.number, key);
        }
    }

    /// Forgets the packets of the deliveries whose settle time is over: they are not dispatched again.
    pub(super) fn settle_deliveries(&mut self) {
        let now = self.clock.now();
        self.unconfirmed.retain(|_, delivery| delivery.settles_at > now);
    }

    /// Withdraws the notices of deliveries that were confirmed.
    pub(super) fn confirm_deliveries(&mut self, ids: &[PacketId]) {
        for id in ids {
            self.unconfirmed.remove(id);
        }
        self.ledger.withdraw_notices_at_deadline(ids);
        self.unacknowledged.remove(ids);
    }
}

impl<F: Files> Inner<F> {
    /// Resolves the doubt about a delivered packet by the outcome that its call really had.
    pub(super) fn resolve_packet(&mut self, id: PacketId, (outcome, completed): PacketOutcome) {
        if !self.host.unconfirmed.contains_key(&id) {
            return;
        }
        if completed || outcome == Outcome::Done {
            self.host.confirm_deliveries(&[id]);
        } else {
            self.reopen(id, execution(outcome, Attribution::Certain));
        }
    }

    /// Takes back a delivery: the packet is dispatched again. Its notice stays if it may have been executed and
    /// must not be repeated.
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
            return;
        }
        host.unacknowledged.remove(&[id]);
        match host.sender_packet(&packet) {
            Ok(reopened) => sender.accept(host.clock.now(), reopened),
            Err(_) => host.queue_notice(id, Notice::Scrapped),
        }
    }
}
