//! Calls to endpoints: a round's dispatches as calls, and what is asked and told of each on its way.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use sailcart::{EndpointId, KeyId, Outcome, PacketId};
use tokio::sync::Notify;
use tokio::time::sleep_until;

use super::desk::Desk;
use super::directory::Place;
use super::guard::{Invariant, Permit, Questions, Refusal};
use super::packets::key;
use super::{Exchange, Within};
use crate::memory::{Notice, Packet};
use crate::outgoing::{Call, CallOwner};
use crate::wire::call::{self, Ending};
use crate::wire::http::Head;

impl CallOwner for Exchange {
    /// Waits until all that went before a call's packets in the order of their keys is over, also for the platform: an
    /// end that is decided and not yet told is none. In time for it, or at its end.
    async fn turn_comes(&self, call: &Call) {
        let end = call.start + call.time_out;
        loop {
            let heard = self.heard.notified();
            if !self.within.borrow().desk.waits_for_notice(call) {
                return;
            }
            tokio::select! {
                () = heard => {}
                () = call.called_off.notified() => return call.called_off.notify_one(),
                () = sleep_until(end.into()) => return,
            }
        }
    }

    fn permit(&self, call: &Call) -> Result<Permit, Refusal> {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let now = desk.clock.now();
        let ids: Vec<PacketId> = call.packets.iter().map(|packet| packet.number).collect();
        let over = ids.iter().find(|id| desk.ledger.packet(**id).is_none());
        if let Some(over) = over {
            desk.violations.count(Invariant::CallAfterEnd, &over.0);
        }
        let may_go = ids.iter().all(|id| sender.may_still_go(now, *id)) && !desk.waits_for_notice(call);
        let questions = Questions { kept: over.is_none(), may_go };
        // In one record: else one that goes wrong half-way leaves doubt of packets that never went.
        let permitted = questions.permit(|| desk.ledger.sends(&ids, desk.clock.moment(now)));
        match &permitted {
            Ok(_) => call.sent.set(Some(Instant::now())),
            Err(refusal) => {
                let names: Vec<&str> = call.packets.iter().map(|packet| &*packet.id).collect();
                log::debug!("packet {}: not sent to {}, {refusal:?}", names.join(" "), call.address);
            }
        }
        for packet in call.packets.iter().filter(|_| permitted.is_ok()) {
            log::debug!("packet {}: goes to {}", packet.id, call.address);
        }
        permitted
    }

    fn lists(&self, endpoint: EndpointId) -> bool {
        self.within.borrow().desk.directory.contains(endpoint)
    }

    fn came_back(&self, call: &Call, endings: &[Ending], head: Option<&Head>) {
        let Within { sender, desk, .. } = &mut *self.within.borrow_mut();
        let (now, elapsed) = (desk.clock.now(), call.sent.get().unwrap_or(call.start).elapsed());
        let told =
            desk.names.reports.as_ref().zip(head).and_then(|(reports, head)| call::report(head, reports));
        if let Some((report, first)) = told.zip(call.packets.first()) {
            sender.report(first.number, report);
        }
        for (packet, (outcome, over)) in call.packets.iter().zip(endings) {
            let id = packet.number;
            if desk.out.remove(&id).is_none() {
                desk.violations.count(Invariant::OutcomeOfNothing, &id.0);
            }
            log::debug!("packet {} from {}: {outcome:?} after {elapsed:?}", packet.id, call.address);
            sender.outcome(now, id, elapsed, *outcome, *over);
            if *outcome == Outcome::Done && desk.clock.is_over(packet.ends) {
                // Whether it came in time nobody can tell here: the platform hears of an end, which does no harm to one
                // that is over.
                desk.owe(id, Notice::Scrapped);
            } else if *over || *outcome == Outcome::Done {
                desk.ledger.over(id);
            } else {
                desk.ledger.came_back(id, may_have_run(*outcome));
            }
        }
        self.bell.notify_one();
    }
}

impl Exchange {
    /// Packets that are out.
    pub fn calls_out(&self) -> usize {
        self.within.borrow().desk.out.len()
    }
}

fn may_have_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
}

impl Desk {
    /// This round's dispatches as calls: those to one endpoint travel together, up to its kind's batch.
    pub(super) fn calls(&mut self) -> Vec<Call> {
        let mut calls = Vec::new();
        for (endpoint, sending) in std::mem::take(&mut self.sending) {
            let Some(Place { address, kind, .. }) = self.directory.place(endpoint) else { continue };
            let batch = self.batches[usize::from(kind)];
            for chunk in sending.chunks(batch) {
                let called_off = Rc::new(Notify::new());
                let ids = chunk.iter().map(|(id, _)| *id);
                for id in ids.clone() {
                    if self.out.insert(id, called_off.clone()).is_some() {
                        self.violations.count(Invariant::SecondCallOut, &id.0);
                    }
                }
                // One answer comes for all, so the first to run out of time ends the call.
                let time_out = chunk.iter().map(|(_, time_out)| *time_out).min().unwrap_or_default();
                let packets = ids.filter_map(|id| self.ledger.packet(id).cloned()).collect();
                let (start, sent) = (Instant::now(), Cell::new(None));
                calls.push(Call { endpoint, address, packets, time_out, start, sent, called_off });
            }
        }
        calls
    }

    /// The key by which a packet goes in order, if it does.
    pub(super) fn order(&self, packet: &Packet) -> Option<KeyId> {
        let category = *self.names.categories.get(&*packet.category)?;
        packet.about.as_deref().filter(|_| self.in_order[category]).map(key)
    }

    fn waits_for_notice(&self, call: &Call) -> bool {
        let mut turns = call.packets.iter().filter_map(|packet| Some((packet.number, self.order(packet)?)));
        !self.untold.is_empty() && turns.any(|(id, key)| self.untold.before(id, key))
    }
}
