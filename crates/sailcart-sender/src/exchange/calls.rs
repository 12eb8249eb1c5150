//! Groups the dispatches of a round into calls, and implements [`CallOwner`] for the exchange.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::call_size::CallSize;
use sailcart::input_share::must_read_input;
use sailcart::response_doubt::ConnectionChoice;
use sailcart::response_matching::{Attribution, Candidates};
use sailcart::{EndpointId, Host, KeyId, Outcome, PacketId};
use sailcart_store::Files;
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::confirmation::DoubtEvent;
use super::directory::EndpointSpec;
use super::host_state::HostState;
use super::invariants::{Invariant, Permit, Refusal, SendPreconditions};
use super::packets::key_id;
use super::{Exchange, Inner};
use crate::memory::{Execution, Notice, Packet};
use crate::outgoing::{Call, CallOwner, CallResult, CallsInDoubt, SentCall};
use crate::wire::call;
use crate::wire::http::Head;

impl<F: Files + 'static> CallOwner for Exchange<F> {
    /// Waits until all packets that precede the call's packets in the order of their keys are completed for
    /// the platform too: a completion whose notice is not acknowledged does not count. Returns early if the
    /// call times out or is cancelled.
    async fn wait_for_key_order(&self, call: &Call) {
        let deadline = call.started_at + call.timeout;
        loop {
            let acknowledged = self.notices_acknowledged.notified();
            if !self.inner.borrow().host.waits_for_notice(call) {
                return;
            }
            tokio::select! {
                () = acknowledged => {}
                () = call.cancelled.notified() => return call.cancelled.notify_one(),
                () = sleep_until(deadline.into()) => return,
            }
        }
    }

    async fn read_input(&self) {
        if must_read_input(self.input_read_at.get().elapsed()) {
            self.read_arrived_input().await;
        }
    }

    fn permit(&self, call: &Call) -> Result<Permit, Refusal> {
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        let now = host.clock.now();
        let ids: Vec<PacketId> = call.packets.iter().map(|packet| packet.number).collect();
        let completed = ids.iter().find(|id| host.ledger.packet(**id).is_none());
        if let Some(completed) = completed {
            host.violations.count(Invariant::CallAfterCompletion, &completed.0);
        }
        let allowed =
            ids.iter().all(|id| sender.may_still_dispatch(now, *id)) && !host.waits_for_notice(call);
        let preconditions = SendPreconditions { all_tracked: completed.is_none(), allowed };
        // One record for the whole call: if separate records failed half-way, packets that were never sent
        // would count as possibly executed.
        let permitted = preconditions.permit(|| host.ledger.record_dispatch(&ids, host.clock.to_moment(now)));
        match &permitted {
            Ok(_) => call.sent_at.set(Some(Instant::now())),
            Err(refusal) => {
                let names: Vec<&str> = call.packets.iter().map(|packet| &*packet.id).collect();
                log::debug!("packet {}: not sent to {}, {refusal:?}", names.join(" "), call.address);
            }
        }
        for packet in call.packets.iter().filter(|_| permitted.is_ok()) {
            let dispatches = host.ledger.dispatch_state(packet.number).dispatches;
            log::debug!("packet {}: goes to {}, dispatch {dispatches}", packet.id, call.address);
        }
        permitted
    }

    fn is_listed(&self, endpoint: EndpointId) -> bool {
        self.inner.borrow().host.directory.contains(endpoint)
    }

    fn connection_choice(&self, call: &Call) -> ConnectionChoice {
        let Inner { sender, host, .. } = &*self.inner.borrow();
        let ids: Vec<PacketId> = call.packets.iter().map(|packet| packet.number).collect();
        sender.connection_choice(host.clock.now(), &ids)
    }

    fn settle_time(&self) -> Duration {
        self.inner.borrow().sender.settle_time()
    }

    fn must_settle_before_reuse(&self) -> bool {
        let Inner { sender, host, .. } = &*self.inner.borrow();
        sender.must_settle_before_reuse(host.clock.now())
    }

    fn closes_settled_in_doubt(&self) -> bool {
        self.inner.borrow().sender.closes_settled_in_doubt()
    }

    fn call_completed(&self, call: &Call, result: CallResult) {
        let CallResult { outcomes, head, attribution, dispatch } = result;
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        let (now, elapsed) = (host.clock.now(), call.sent_at.get().unwrap_or(call.started_at).elapsed());
        let report = host
            .names
            .report_fields
            .as_ref()
            .zip(head.as_ref())
            .and_then(|(report_fields, head)| call::limit_report(head, report_fields));
        if let Some((report, first)) = report.zip(call.packets.first()) {
            sender.record_report(first.number, report);
        }
        for (packet, (outcome, completed)) in call.packets.iter().zip(&outcomes) {
            let id = packet.number;
            if host.in_flight.remove(&id).is_none() {
                host.violations.count(Invariant::OutcomeWithoutCall, &id.0);
            }
            log::debug!("packet {} from {}: {outcome:?} after {elapsed:?}", packet.id, call.address);
            sender.record_attributed_outcome(now, id, elapsed, *outcome, *completed, attribution);
            let is_completed = *completed || *outcome == Outcome::Done;
            if attribution == Attribution::InDoubt {
                host.doubtful_responses.count(DoubtEvent::InDoubt, &packet.id);
            }
            if *outcome == Outcome::Done && host.clock.is_past(packet.deadline) {
                // Whether the packet arrived before its deadline is unknown here, so the platform is notified
                // of its failure. Such a notice is harmless for a packet that the platform knows as
                // completed.
                host.queue_notice(id, Notice::Scrapped);
                continue;
            }
            match (is_completed, attribution, dispatch) {
                (true, Attribution::InDoubt, Some(dispatch)) => {
                    host.complete_provisionally(id, dispatch, sender);
                    self.notice_queued.notify_one();
                }
                (true, ..) => host.ledger.complete(id),
                (false, _, Some(dispatch)) => {
                    host.ledger.record_outcome(id, dispatch, execution(*outcome, attribution))
                }
                (false, _, None) => {}
            }
        }
        self.round_requested.notify_one();
    }

    fn wait_requested(&self, endpoint: EndpointId, wait: Duration) {
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        sender.record_wait(host.clock.now(), endpoint, wait);
    }

    fn extra_response_received(&self, endpoint: EndpointId, head: Option<&Head>) {
        let Inner { sender, host, .. } = &mut *self.inner.borrow_mut();
        sender.record_extra_response(host.clock.now(), endpoint, head.and_then(|head| head.retry_after));
        host.doubtful_responses.count(DoubtEvent::Extra, &format_args!("endpoint {}", endpoint.0));
    }

    fn confirm(&self, calls: &[Rc<SentCall>]) {
        let ids: Vec<PacketId> =
            calls.iter().flat_map(|call| call.packets.iter().map(|(id, _)| *id)).collect();
        if !ids.is_empty() {
            self.inner.borrow_mut().host.confirm_deliveries(&ids);
            self.notices_acknowledged.notify_waiters();
        }
    }

    fn resolve(&self, calls: CallsInDoubt) {
        let inner = &mut *self.inner.borrow_mut();
        for Candidates { call, responses } in &calls {
            // Several responses that differ leave the delivery in doubt: it is neither lost nor repeated if it
            // completes with a notice.
            let [response] = &**responses else { continue };
            for ((id, _), outcome) in call.packets.iter().zip(call.outcomes(response)) {
                inner.resolve_packet(*id, outcome);
            }
        }
        self.notices_acknowledged.notify_waiters();
        self.round_requested.notify_one();
    }
}

impl<F: Files> Exchange<F> {
    /// Number of packets in flight.
    pub fn packets_in_flight(&self) -> usize {
        self.inner.borrow().host.in_flight.len()
    }
}

/// Whether a dispatch with this outcome, which did not complete its packet, was executed.
pub(super) fn execution(outcome: Outcome, attribution: Attribution) -> Execution {
    match outcome {
        _ if attribution == Attribution::InDoubt => Execution::Possible,
        Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => Execution::Possible,
        Outcome::Unsent => Execution::NotSent,
        _ => Execution::NotExecuted,
    }
}

impl<F: Files> HostState<F> {
    /// Removes the dispatches of this round and groups them into calls: those to one endpoint share a call,
    /// up to the batch of its kind and the size of a call.
    pub(super) fn take_calls(&mut self) -> Vec<Call> {
        let mut calls = Vec::new();
        for (endpoint, dispatches) in std::mem::take(&mut self.dispatches) {
            let Some(EndpointSpec { address, kind, .. }) = self.directory.spec(endpoint) else { continue };
            let batch = self.max_batch_by_kind[usize::from(kind)];
            for chunk in self.split_into_calls(&dispatches, batch) {
                let cancelled = Rc::new(Notify::new());
                let ids = chunk.iter().map(|(id, _)| *id);
                for id in ids.clone() {
                    if self.in_flight.insert(id, cancelled.clone()).is_some() {
                        self.violations.count(Invariant::SecondCallInFlight, &id.0);
                    }
                }
                // All packets share one response, so the shortest timeout bounds the call.
                let timeout = chunk.iter().map(|(_, timeout)| *timeout).min().unwrap_or_default();
                let packets = ids.filter_map(|id| self.ledger.packet(id).cloned()).collect();
                let (started_at, sent_at) = (Instant::now(), Cell::new(None));
                calls.push(Call { endpoint, address, packets, timeout, started_at, sent_at, cancelled });
            }
        }
        calls
    }

    /// Splits the dispatches to one endpoint, in their order.
    fn split_into_calls<'a>(
        &self,
        dispatches: &'a [(PacketId, Duration)],
        max_packets: usize,
    ) -> Vec<&'a [(PacketId, Duration)]> {
        let (mut calls, mut rest) = (Vec::new(), dispatches);
        while !rest.is_empty() {
            let mut size = CallSize::default();
            let fits =
                |(packet, _): &&(PacketId, Duration)| size.try_add(self.entry_bytes(*packet), max_packets);
            let (call, later) = rest.split_at(rest.iter().take_while(fits).count());
            calls.push(call);
            rest = later;
        }
        calls
    }

    /// The key in whose order a packet is sent, or `None` if its category is not ordered or it has no key.
    pub(super) fn order_key(&self, packet: &Packet) -> Option<KeyId> {
        let category = *self.names.categories.get(&*packet.category)?;
        packet.order_key.as_deref().filter(|_| self.in_order_by_category[category]).map(key_id)
    }

    fn waits_for_notice(&self, call: &Call) -> bool {
        let mut keys =
            call.packets.iter().filter_map(|packet| Some((packet.number, self.order_key(packet)?)));
        !self.unacknowledged.is_empty() && keys.any(|(id, key)| self.unacknowledged.any_before(id, key))
    }
}
