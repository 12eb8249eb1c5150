//! Checks rules 3, 4 and 6: draining endpoints get no calls, recovering destinations are not overloaded,
//! requested waits are observed.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use sailcart::EndpointId;

use super::{CallResult, ObservedCall, Rule, RunState, UpstreamId, format_ms};
use crate::plan::SenderId;

/// A collapse breaks rule 4 only if at least this share of the calls before it came from senders that had
/// seen the outage.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;

/// The state of the checks of rules 3, 4 and 6.
#[derive(Default)]
pub struct BackpressureCheck {
    /// When discovery first reported to a sender that an endpoint drains.
    drains: HashMap<(SenderId, EndpointId), Duration>,
    /// For each sender and upstream, when the longest wait was requested, and until when.
    waits: HashMap<(SenderId, UpstreamId), (Duration, Duration)>,
    /// For each upstream with an outage, the senders that saw a call or connection fail or be rejected since
    /// it began.
    informed_senders: HashMap<UpstreamId, BTreeSet<SenderId>>,
    /// Calls received within the period [`crate::experiment::Rules::fall`], by upstream.
    recent_calls: HashMap<UpstreamId, VecDeque<(Duration, SenderId)>>,
}

impl BackpressureCheck {
    /// Discovery reported to a sender that an endpoint drains; the first report counts.
    pub fn endpoint_draining(&mut self, state: &RunState, sender: SenderId, endpoint: EndpointId) {
        self.drains.entry((sender, endpoint)).or_insert(state.now);
    }

    /// Discovery reported to a sender that an endpoint is ready, which ends its drain.
    pub fn endpoint_ready(&mut self, sender: SenderId, endpoint: EndpointId) {
        self.drains.remove(&(sender, endpoint));
    }

    /// An outage began; no sender has seen it yet.
    pub fn outage_started(&mut self, upstream: UpstreamId) {
        self.informed_senders.insert(upstream, BTreeSet::new());
    }

    /// A call or a connection attempt of a sender failed or was rejected.
    pub fn call_failed(&mut self, sender: SenderId, upstream: UpstreamId) {
        if let Some(senders) = self.informed_senders.get_mut(&upstream) {
            senders.insert(sender);
        }
    }

    /// A sender went down. Its next process knows neither the waits that were requested nor the failures seen
    /// before.
    pub fn sender_down(&mut self, sender: SenderId) {
        self.waits.retain(|(owner, _), _| *owner != sender);
        for senders in self.informed_senders.values_mut() {
            senders.remove(&sender);
        }
    }

    /// Checks a received call against the drains and requested waits that its sender knows of, and records it
    /// for [`BackpressureCheck::upstream_collapsed`].
    pub fn call_received(&mut self, state: &mut RunState, call: &ObservedCall) {
        let (now, grace, crossing) = (state.now, state.rules.drain_grace, state.rules.crossing);
        if let Some(reported_at) = self.drains.get(&(call.sender, call.endpoint)).copied()
            && now > reported_at + grace + crossing
        {
            let events = vec![
                format!(
                    "{}: sender {} was told that endpoint {} drains",
                    format_ms(reported_at),
                    call.sender.0,
                    call.endpoint.0
                ),
                format!("{}: the grace was over", format_ms(reported_at + grace)),
                format!("{}: a call came from it", format_ms(now)),
            ];
            state.record_violation(Rule::Drains, call.packets.first().copied(), events);
        }
        if let Some((requested_at, until)) = self.waits.get(&(call.sender, call.upstream)).copied()
            && now > requested_at + crossing
            && now + Duration::from_millis(1) < until
        {
            let events = vec![
                format!("{}: sender {} was told to wait", format_ms(requested_at), call.sender.0),
                format!("the wait ends at {}", format_ms(until)),
                format!("{}: a call came from it to endpoint {}", format_ms(now), call.endpoint.0),
            ];
            state.record_violation(Rule::Waits, call.packets.first().copied(), events);
        }
        let recent = self.recent_calls.entry(call.upstream).or_default();
        while recent.front().is_some_and(|(at, _)| *at + state.rules.fall < now) {
            recent.pop_front();
        }
        recent.push_back((now, call.sender));
    }

    /// A call has completed: records its failure and the wait that its answer requests, if any.
    pub fn call_completed(&mut self, state: &RunState, call: &ObservedCall, result: CallResult) {
        if result != CallResult::Done {
            self.call_failed(call.sender, call.upstream);
        }
        if let CallResult::Rejected(Some(wait)) = result {
            let until = state.now + wait;
            let is_longest =
                self.waits.get(&(call.sender, call.upstream)).is_none_or(|(_, other)| *other < until);
            if is_longest {
                self.waits.insert((call.sender, call.upstream), (state.now, until));
            }
        }
    }

    /// The capacity behind an upstream collapsed under load. This breaks rule 4 if most of the recent calls
    /// came from senders that knew of the outage.
    pub fn upstream_collapsed(&mut self, state: &mut RunState, upstream: UpstreamId) {
        let no_senders = BTreeSet::new();
        let informed = self.informed_senders.get(&upstream).unwrap_or(&no_senders);
        let recent = self.recent_calls.get(&upstream).into_iter().flatten();
        let calls: Vec<(Duration, SenderId)> = recent.copied().collect();
        let from_informed = calls.iter().filter(|(_, sender)| informed.contains(sender)).count();
        if calls.is_empty() || (from_informed as f64) < MIN_INFORMED_SHARE * calls.len() as f64 {
            return;
        }
        let events = vec![
            format!("an outage was seen by {} senders", informed.len()),
            format!("{} of {} calls within the span came from them", from_informed, calls.len()),
            format!("{}: what the endpoints share (gate {}) fell over", format_ms(state.now), upstream.0),
        ];
        state.record_violation(Rule::Return, None, events);
    }
}
