//! Checks rules 1 and 2: an accepted packet is completed exactly once, in time, and not sent afterwards; no
//! packet takes effect twice.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use sailcart::PacketId;

use super::{CallId, CompletionKind, ObservedCall, Rule, RunState, format_ms};
use crate::experiment::Repeat;
use crate::plan::{PlannedPacketId, SenderId};

/// Extra time for overdue completions of a restarted sender, from the moment it is ready.
const RESTART_GRACE: Duration = Duration::from_millis(1500);

/// Clients state their patience in whole milliseconds, rounded down.
const PATIENCE_RESOLUTION: Duration = Duration::from_millis(1);

/// The state of the checks of rules 1 and 2.
#[derive(Default)]
pub struct ExactlyOnceCheck {
    /// Accepted packets that are not completed, by the time at which their completion is overdue.
    incomplete: BTreeSet<(Duration, PacketId)>,
    /// For each planned packet, when it last took effect, and as which submission.
    last_effects: HashMap<PlannedPacketId, (Duration, PacketId)>,
    /// Recent deliveries whose answers may not have been read by their senders yet.
    recent_deliveries: VecDeque<(Duration, PacketId)>,
    /// Packets whose sender may have crashed before it read the answer that reported the delivery. Its next
    /// process cannot know of the delivery and continues with the packet. Rule 2 is still checked for them.
    unread_deliveries: HashSet<PacketId>,
    /// Senders whose writes to the state folder fail: their next process does not know of a delivery that
    /// they read.
    failing_folders: HashSet<SenderId>,
    /// When each restarted sender last went down.
    down_at: HashMap<SenderId, Duration>,
}

impl ExactlyOnceCheck {
    /// A packet was accepted: its completion is due by the deadline.
    pub fn packet_accepted(&mut self, state: &mut RunState, packet: PacketId) {
        let (now, slack) = (state.now, state.rules.slack);
        let Some(tracked) = state.packets.get_mut(&packet) else { return };
        tracked.accepted_at.get_or_insert(now);
        if tracked.completion.is_none() {
            self.incomplete.insert((tracked.submission.deadline + slack, packet));
        }
    }

    /// A client abandoned a submission: no completion is due, and its effects are no longer checked.
    pub fn packet_abandoned(&mut self, state: &mut RunState, packet: PacketId) {
        let Some(tracked) = state.packets.get_mut(&packet) else { return };
        tracked.abandoned = true;
        self.incomplete.remove(&(tracked.submission.deadline + state.rules.slack, packet));
        if self.last_effects.get(&tracked.submission.planned_packet).is_some_and(|(_, by)| *by == packet) {
            self.last_effects.remove(&tracked.submission.planned_packet);
        }
    }

    /// Checks a reported completion: it must not contradict an earlier one, and an unrepeatable packet that
    /// took effect must not be dismissed.
    pub fn packet_completed(&mut self, state: &mut RunState, packet: PacketId, completion: CompletionKind) {
        let (now, crossing) = (state.now, state.rules.crossing);
        let Some(tracked) = state.packets.get_mut(&packet) else { return };
        let (submission, is_abandoned) = (tracked.submission, tracked.abandoned);
        // A repeated report of a dismissal is not a new dismissal, even if its client has resubmitted the
        // packet since the first report.
        let repeated = matches!(tracked.completion, Some((_, previous)) if previous == completion);
        match tracked.completion {
            None => {
                let unrecorded = state.down_senders.contains(&submission.sender)
                    || self.failing_folders.contains(&submission.sender);
                if completion == CompletionKind::Done && unrecorded {
                    self.unread_deliveries.insert(packet);
                } else if completion == CompletionKind::Done {
                    self.recent_deliveries.push_back((now, packet));
                }
                tracked.completion = Some((now, completion));
                self.incomplete.remove(&(submission.deadline + state.rules.slack, packet));
            }
            // Allowed: the same completion reported again, and one that was on its way when the delivery was
            // reported.
            Some((_, previous)) if previous == completion => {}
            // Also allowed, by the protocol: a notice about a packet that is over. It is harmless only if the
            // packet cannot be delivered any more: at its deadline, or by a later process of its sender.
            Some((at, CompletionKind::Done))
                if completion == CompletionKind::Scrapped
                    && (now + PATIENCE_RESOLUTION >= submission.deadline
                        || self.down_at.get(&submission.sender).is_some_and(|down| *down > at)) => {}
            Some((at, CompletionKind::Done))
                if now <= at + crossing || self.unread_deliveries.contains(&packet) => {}
            Some((at, previous)) => {
                let events = vec![
                    format!("handed in to sender {}", submission.sender.0),
                    format!("{}: ended as {previous:?}", format_ms(at)),
                    format!("{}: ended as {completion:?}", format_ms(now)),
                ];
                state.record_violation(Rule::OneEnd, Some(packet), events);
            }
        }
        if completion == CompletionKind::Dismissed
            && !repeated
            && !is_abandoned
            && submission.repeat == Repeat::Unrepeatable
            && let Some((at, earlier_packet)) = self.last_effects.get(&submission.planned_packet).copied()
        {
            let events = vec![
                format!("handed in to sender {}", submission.sender.0),
                format!("{}: took effect, as packet {}", format_ms(at), earlier_packet.0),
                format!("{}: dismissed, which says that again is harmless", format_ms(now)),
            ];
            state.record_violation(Rule::NoDouble, Some(packet), events);
        }
    }

    /// Checks that no packet of a received call is completed or in another call in flight.
    pub fn call_received(&mut self, state: &mut RunState, id: CallId, call: &ObservedCall) {
        for packet in &call.packets {
            let (now, crossing) = (state.now, state.rules.crossing);
            let Some(tracked) = state.packets.get_mut(packet) else { continue };
            let (completion, previous_call) = (tracked.completion, tracked.current_call.replace(id));
            tracked.last_call_at = Some(now);
            let is_late = |(at, _): &(Duration, CompletionKind)| {
                now > *at + crossing && !self.unread_deliveries.contains(packet)
            };
            if let Some((at, completion)) = completion.filter(is_late) {
                let events = vec![
                    format!("handed in to sender {}", tracked.submission.sender.0),
                    format!("{}: ended as {completion:?}", format_ms(at)),
                    format!("{}: a call with it came to endpoint {}", format_ms(now), call.endpoint.0),
                ];
                state.record_violation(Rule::OneEnd, Some(*packet), events);
            }
            let earlier_call = previous_call.and_then(|call| state.calls.get(&call)).cloned();
            if let Some(earlier_call) = earlier_call {
                let events = vec![
                    format!(
                        "{}: a call with it came to endpoint {}",
                        format_ms(earlier_call.received_at),
                        earlier_call.endpoint.0
                    ),
                    format!("{}: another came to endpoint {}", format_ms(now), call.endpoint.0),
                    "the first was still out".to_owned(),
                ];
                state.record_violation(Rule::NoDouble, Some(*packet), events);
            }
        }
    }

    /// Checks that no packet of a call takes effect a second time.
    pub fn packets_executed(&mut self, state: &mut RunState, id: CallId, effects: &[bool]) {
        let Some(call) = state.calls.get(&id).cloned() else { return };
        for (packet, _) in call.packets.iter().zip(effects).filter(|(_, effect)| **effect) {
            let Some(tracked) = state.packets.get(packet) else { continue };
            if tracked.abandoned {
                continue;
            }
            let submission = tracked.submission;
            let Some((at, earlier_packet)) =
                self.last_effects.insert(submission.planned_packet, (state.now, *packet))
            else {
                continue;
            };
            // A resubmitted packet with an idempotency key is allowed: as far as its client can know, the
            // receiver still remembers the key.
            let resubmitted = submission.repeat == Repeat::Deduplicated && earlier_packet != *packet;
            if submission.repeat == Repeat::Idempotent || resubmitted {
                continue;
            }
            let events = vec![
                format!("{}: took effect, as packet {}", format_ms(at), earlier_packet.0),
                format!("handed in to sender {}, as packet {}", submission.sender.0, packet.0),
                format!("{}: took effect again at endpoint {}", format_ms(state.now), call.endpoint.0),
            ];
            state.record_violation(Rule::NoDouble, Some(*packet), events);
        }
    }

    /// A call has completed: its packets are no longer in flight.
    pub fn call_completed(&mut self, state: &mut RunState, id: CallId, call: &ObservedCall) {
        for packet in &call.packets {
            if let Some(tracked) =
                state.packets.get_mut(packet).filter(|tracked| tracked.current_call == Some(id))
            {
                tracked.current_call = None;
            }
        }
    }

    /// A sender went down: what it completed may be completed once more by its next process.
    pub fn sender_down(&mut self, state: &RunState, sender: SenderId) {
        self.down_at.insert(sender, state.now);
        self.mark_recent_deliveries_unread(state, sender);
    }

    /// A sender went down, or its state folder began to fail: the answers of its most recent deliveries may
    /// be unread or unrecorded.
    fn mark_recent_deliveries_unread(&mut self, state: &RunState, sender: SenderId) {
        while self.recent_deliveries.front().is_some_and(|(at, _)| *at + state.rules.crossing < state.now) {
            self.recent_deliveries.pop_front();
        }
        let is_own = |packet: &PacketId| {
            state.packets.get(packet).is_some_and(|tracked| tracked.submission.sender == sender)
        };
        self.unread_deliveries
            .extend(self.recent_deliveries.iter().map(|(_, packet)| *packet).filter(is_own));
    }

    /// Writes to a sender's state folder began to fail, or succeed again. The most recent deliveries before a
    /// failure may not be recorded either.
    pub fn state_folder_changed(&mut self, state: &RunState, sender: SenderId, fails: bool) {
        if fails {
            self.mark_recent_deliveries_unread(state, sender);
            self.failing_folders.insert(sender);
        } else {
            self.failing_folders.remove(&sender);
        }
    }

    /// A sender is ready again after a restart: its overdue completions get [`RESTART_GRACE`].
    pub fn sender_ready(&mut self, state: &RunState, sender: SenderId) {
        let until = state.now + RESTART_GRACE;
        let due_before = self.incomplete.iter().filter(|(at, packet)| {
            *at < until
                && state.packets.get(packet).is_some_and(|tracked| tracked.submission.sender == sender)
        });
        for (at, packet) in due_before.copied().collect::<Vec<_>>() {
            self.incomplete.remove(&(at, packet));
            self.incomplete.insert((until, packet));
        }
    }

    /// Reports accepted packets that were not completed in time.
    pub fn check_deadlines(&mut self, state: &mut RunState) {
        let mut postponed = Vec::new();
        while let Some((at, packet)) = self.incomplete.first().copied().filter(|(at, _)| *at < state.now) {
            self.incomplete.pop_first();
            let Some(tracked) = state.packets.get(&packet) else { continue };
            if tracked.completion.is_some() {
                continue;
            }
            if state.down_senders.contains(&tracked.submission.sender) {
                postponed.push((at, packet)); // until the sender is ready again
                continue;
            }
            self.record_missing_completion(state, packet);
        }
        self.incomplete.extend(postponed);
    }

    fn record_missing_completion(&mut self, state: &mut RunState, packet: PacketId) {
        let tracked = &state.packets[&packet];
        let events = vec![
            format!("handed in to sender {}, and taken on", tracked.submission.sender.0),
            tracked
                .last_call_at
                .map_or("no call with it came".to_owned(), |at| format!("{}: last call", format_ms(at))),
            format!("{}: its time was up, and no end was told", format_ms(tracked.submission.deadline)),
        ];
        state.record_violation(Rule::OneEnd, Some(packet), events);
    }

    /// Reports all accepted packets that were never completed.
    pub fn finish(&mut self, state: &mut RunState) {
        for (_, packet) in std::mem::take(&mut self.incomplete) {
            if state.packets.get(&packet).is_some_and(|tracked| tracked.completion.is_none()) {
                self.record_missing_completion(state, packet);
            }
        }
    }
}
