//! The model of receivers: destinations and their endpoints as senders see them. It does no I/O and has no
//! clock: callers pass the time, and the answer to a call, with the time at which it is due, is determined
//! when the last byte of the call arrives. Both modes use the same code.

pub mod limit;
pub mod recovery;
mod troubles;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::prelude::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use sailcart::{DestinationId, EndpointId, LimitReport};

use crate::experiment::{Destinations, MalformedAnswer, Repeat};
use crate::plan::{Plan, PlannedPacketId, seeded_rng};
use limit::RateLimiter;
use recovery::Recovery;
pub use troubles::{Conditions, TroubleSchedule};

/// Result of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectResult {
    /// No socket listens at the address, or the connection limit is reached.
    Refused,
    /// The attempt is neither accepted nor refused.
    Unanswered,
    /// The connection is established; the first call on it is delayed by this handshake time.
    Established(Duration),
}

/// Delay of an answer that needs no work.
const IMMEDIATE_ANSWER_DELAY: Duration = Duration::from_millis(2);

/// One packet of a call, as its receiver sees it.
#[derive(Clone, Copy, Debug)]
pub struct CallPacket {
    pub planned_packet: PlannedPacketId,
    /// How the receiver treats a repeated packet.
    pub repeat: Repeat,
    /// How long the receiver recognises a repeated packet.
    pub memory: Duration,
}

impl CallPacket {
    /// A planned packet as its receiver sees it.
    pub fn new(plan: &Plan, planned_packet: PlannedPacketId) -> Self {
        let category = plan.category(plan.planned_packets[planned_packet.0].category);
        CallPacket { planned_packet, repeat: category.repeat, memory: category.memory.unwrap_or_default() }
    }
}

/// The answer to a call: one for all packets, or one per packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// All packets took effect.
    Done,
    /// The call failed; its packets may have taken effect.
    Error,
    /// Rejected without execution, optionally with a wait.
    Rejected(Option<Duration>),
    /// The connection breaks.
    Reset,
    /// One answer per packet, where they differ, and a wait that applies like that of `Rejected`.
    Mixed(Vec<PacketAnswer>, Option<Duration>),
    /// The packets took effect, but the answer is malformed.
    Malformed(MalformedAnswer),
}

impl Answer {
    /// Whether the head of the answer, including the reported limit, can be read.
    pub fn is_readable(&self) -> bool {
        !matches!(self, Answer::Reset | Answer::Malformed(_))
    }
}

/// The answer for one packet of a call with several.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PacketAnswer {
    /// The packet took effect.
    Accepted,
    /// The packet failed; it may have taken effect.
    Failed,
    /// The packet was rejected without execution.
    Deferred,
}

/// Result of the arrival of the last byte of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Reception {
    /// The answer and the time at which it is due; `None` if the call is never answered.
    pub answer: Option<(Duration, Answer)>,
    /// Whether each of its packets takes effect, in their order.
    pub effects: Vec<bool>,
    /// The state of the limit, where answers report it.
    pub report: Option<LimitReport>,
    /// This call made a recovering destination fail under overload.
    pub collapsed: bool,
}

impl Reception {
    /// The connection breaks before any packet is executed.
    fn reset(now: Duration, packet_count: usize, collapsed: bool) -> Self {
        Reception {
            answer: Some((now, Answer::Reset)),
            effects: vec![false; packet_count],
            report: None,
            collapsed,
        }
    }

    /// A call that is rejected.
    fn rejected(
        now: Duration,
        packet_count: usize,
        wait: Option<Duration>,
        report: Option<LimitReport>,
    ) -> Self {
        let answer = Some((now + IMMEDIATE_ANSWER_DELAY, Answer::Rejected(wait)));
        Reception { answer, effects: vec![false; packet_count], report, collapsed: false }
    }
}

/// The limit and the recovery of a destination or, where routes have their own limits, of one endpoint. All
/// senders share them.
struct Upstream {
    limiter: RateLimiter,
    recovery: Recovery,
}

struct Endpoint {
    destination: DestinationId,
    upstream: usize,
    /// When each of its servers becomes free.
    free_at: Vec<Duration>,
    /// Start times of the calls that wait, or have waited, in the queue.
    queued_starts: VecDeque<Duration>,
    connections: usize,
}

/// The receivers of a plan.
pub struct Receivers {
    troubles: TroubleSchedule,
    endpoints: Vec<Endpoint>,
    upstreams: Vec<Upstream>,
    /// When the receiver forgets each packet that took effect and is recognised when repeated, by
    /// destination.
    remembered: BTreeMap<(DestinationId, PlannedPacketId), Duration>,
    rng: ChaCha8Rng,
}

impl Receivers {
    /// Creates the receivers of a plan, without connections.
    pub fn new(plan: &Plan) -> Self {
        let (mut upstreams, mut endpoints) = (Vec::new(), Vec::<Endpoint>::new());
        let mut shared_upstreams: BTreeMap<DestinationId, usize> = BTreeMap::new();
        let troubles = TroubleSchedule::new(plan);
        for planned_endpoint in &plan.endpoints {
            let group = plan.group(planned_endpoint.destination);
            let destination = plan.destination(planned_endpoint.destination);
            let mut add_upstream = || {
                let capacity = destination.capacity;
                let outages = troubles.outages(planned_endpoint.endpoint);
                upstreams.push(Upstream {
                    limiter: RateLimiter::new(&group.limit),
                    recovery: Recovery::new(&plan.experiment.rules, capacity, outages),
                });
                upstreams.len() - 1
            };
            let upstream = if plan.own_limits(planned_endpoint.destination) {
                add_upstream()
            } else {
                *shared_upstreams.entry(planned_endpoint.destination).or_insert_with(add_upstream)
            };
            endpoints.push(Endpoint {
                destination: planned_endpoint.destination,
                upstream,
                free_at: vec![Duration::ZERO; group.servers],
                queued_starts: VecDeque::new(),
                connections: 0,
            });
        }
        let rng = seeded_rng(plan.seed, 4);
        Receivers { troubles, endpoints, upstreams, remembered: BTreeMap::new(), rng }
    }

    /// A sender opens a connection. An established one counts until [`Receivers::disconnected`].
    pub fn connect(&mut self, plan: &Plan, now: Duration, endpoint: EndpointId) -> ConnectResult {
        let planned_endpoint = plan.endpoint(endpoint);
        let group = plan.group(planned_endpoint.destination);
        let conditions = self.troubles.at(now, endpoint);
        let state = &mut self.endpoints[endpoint.0 as usize];
        if conditions.black_hole {
            return ConnectResult::Unanswered;
        }
        let is_available = planned_endpoint.added_at <= now && now < planned_endpoint.removed_at;
        let has_failed = self.upstreams[state.upstream].recovery.has_failed();
        if !is_available || conditions.down || has_failed || state.connections >= group.connections {
            return ConnectResult::Refused;
        }
        state.connections += 1;
        ConnectResult::Established(group.handshake)
    }

    /// A connection established by [`Receivers::connect`] has ended.
    pub fn disconnected(&mut self, endpoint: EndpointId) {
        let state = &mut self.endpoints[endpoint.0 as usize];
        state.connections = state.connections.saturating_sub(1);
    }

    /// Whether open connections to an endpoint still work.
    pub fn reachable(&self, plan: &Plan, now: Duration, endpoint: EndpointId) -> bool {
        let planned_endpoint = plan.endpoint(endpoint);
        let has_failed = self.upstreams[self.endpoints[endpoint.0 as usize].upstream].recovery.has_failed();
        now < planned_endpoint.removed_at && !has_failed && !self.troubles.at(now, endpoint).down
    }

    /// When the conditions of an endpoint next change.
    pub fn next_change(&self, plan: &Plan, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let planned_endpoint = plan.endpoint(endpoint);
        let own_changes = [planned_endpoint.added_at, planned_endpoint.removed_at]
            .into_iter()
            .filter(|at| *at > now && *at < Duration::MAX);
        own_changes.chain(self.troubles.next_change(now, endpoint)).min()
    }

    /// The conditions at an endpoint.
    pub fn conditions(&self, now: Duration, endpoint: EndpointId) -> Conditions {
        self.troubles.at(now, endpoint)
    }

    /// Whether a connection breaks before the last byte of a call, drawn at random.
    pub fn breaks_before_end(&mut self, now: Duration, endpoint: EndpointId) -> bool {
        let share = self.troubles.at(now, endpoint).reset_before;
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Handles the arrival of the last byte of a call.
    pub fn receive_call(
        &mut self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        packets: &[CallPacket],
    ) -> Reception {
        if !self.reachable(plan, now, endpoint) {
            return Reception::reset(now, packets.len(), false);
        }
        let upstream = self.endpoints[endpoint.0 as usize].upstream;
        if self.upstreams[upstream].recovery.record_call(now) {
            return Reception::reset(now, packets.len(), true);
        }
        let conditions = self.troubles.at(now, endpoint);
        if let Some(wait) = self.general_rejection(now, &conditions) {
            return Reception::rejected(now, packets.len(), wait, None);
        }
        let group = plan.group(self.endpoints[endpoint.0 as usize].destination);
        let limiter = &mut self.upstreams[upstream].limiter;
        limiter.set_share(now, conditions.limit);
        let acquired = limiter.try_acquire(now);
        let report = group.report.then(|| limiter.report(now)).flatten();
        if let Err(wait) = acquired {
            let reports_wait = self.occurs(group.limit.tells);
            return Reception::rejected(now, packets.len(), reports_wait.then_some(wait), report);
        }
        let is_new: Vec<bool> =
            packets.iter().map(|packet| self.would_take_effect(now, endpoint, packet)).collect();
        if self.occurs(conditions.errors) {
            return self.fail(now, endpoint, packets, is_new, report);
        }
        match self.schedule_work(plan, now, endpoint, &conditions, group, &is_new) {
            None => Reception::rejected(now, packets.len(), None, report),
            Some(finish) => {
                let (answer, effects) = self.complete(now, endpoint, &conditions, packets, is_new, finish);
                Reception { answer, effects, report, collapsed: false }
            }
        }
    }

    /// Draws whether an event of this probability occurs.
    fn occurs(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    /// `Some` if all calls are rejected, with the wait if this rejection reports one.
    fn general_rejection(&mut self, now: Duration, conditions: &Conditions) -> Option<Option<Duration>> {
        if let Some((until, reporting_share)) = conditions.shut {
            let reports_wait = self.occurs(reporting_share);
            return Some(reports_wait.then(|| until.saturating_sub(now)));
        }
        (conditions.is_draining && now >= conditions.rejects_calls_from).then_some(None)
    }

    /// A call that fails with an error; in half of these cases its packets took effect.
    fn fail(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        packets: &[CallPacket],
        is_new: Vec<bool>,
        report: Option<LimitReport>,
    ) -> Reception {
        let executed = self.rng.random_bool(0.5);
        let effects: Vec<bool> = is_new.iter().map(|is_new| *is_new && executed).collect();
        self.remember(now, endpoint, packets, &effects);
        Reception {
            answer: Some((now + IMMEDIATE_ANSWER_DELAY, Answer::Error)),
            effects,
            report,
            collapsed: false,
        }
    }

    /// Completes a call that was worked on until `finish`. Returns the answer and when it is sent, if it is,
    /// and which packets took effect.
    fn complete(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        conditions: &Conditions,
        packets: &[CallPacket],
        is_new: Vec<bool>,
        finish: Duration,
    ) -> (Option<(Duration, Answer)>, Vec<bool>) {
        let mut effects = is_new;
        let answer = self.answer(conditions, packets, &mut effects);
        self.remember(now, endpoint, packets, &effects);
        if conditions.silent {
            return (None, effects);
        }
        let down = self.troubles.next_refusal(now, endpoint).filter(|down| *down < finish);
        let answer = match down {
            // The endpoint becomes unreachable before it has completed the call.
            Some(down) => Some((down, Answer::Reset)),
            None => answer.map(|answer| (finish, answer)),
        };
        (answer, effects)
    }

    /// The answer to a completed call, `None` if it is lost; clears the effects of packets that are deferred.
    fn answer(
        &mut self,
        conditions: &Conditions,
        packets: &[CallPacket],
        effects: &mut [bool],
    ) -> Option<Answer> {
        if self.occurs(conditions.answer_lost) {
            return None;
        }
        if self.occurs(conditions.reset_after) {
            return Some(Answer::Reset);
        }
        if let Some((share, manner)) = conditions.malformed
            && self.occurs(share)
        {
            return Some(Answer::Malformed(manner));
        }
        if packets.len() < 2 || conditions.partial == 0.0 {
            return Some(Answer::Done);
        }
        let mut answers = Vec::with_capacity(packets.len());
        for effect in effects.iter_mut() {
            answers.push(match self.occurs(conditions.partial) {
                false => PacketAnswer::Accepted,
                true if self.occurs(0.5) => {
                    *effect = false;
                    PacketAnswer::Deferred
                }
                true => PacketAnswer::Failed,
            });
        }
        let wait = answers.contains(&PacketAnswer::Deferred).then_some(conditions.retry_after);
        Some(Answer::Mixed(answers, wait))
    }

    /// Whether a packet would take effect; a repeat that the receiver recognises does not.
    fn would_take_effect(&self, now: Duration, endpoint: EndpointId, packet: &CallPacket) -> bool {
        let key = (self.endpoints[endpoint.0 as usize].destination, packet.planned_packet);
        packet.repeat != Repeat::Deduplicated || self.remembered.get(&key).is_none_or(|until| *until < now)
    }

    fn remember(&mut self, now: Duration, endpoint: EndpointId, packets: &[CallPacket], effects: &[bool]) {
        let destination = self.endpoints[endpoint.0 as usize].destination;
        let executed =
            packets.iter().zip(effects).filter(|(packet, executed)| **executed && !packet.memory.is_zero());
        for (packet, _) in executed {
            self.remembered.insert((destination, packet.planned_packet), now + packet.memory);
        }
    }

    /// Assigns the call to a server. Returns when it finishes; `None` if the queue is full.
    fn schedule_work(
        &mut self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        conditions: &Conditions,
        group: &Destinations,
        is_new: &[bool],
    ) -> Option<Duration> {
        let state = &mut self.endpoints[endpoint.0 as usize];
        state.queued_starts.retain(|start| *start > now);
        if state.queued_starts.len() >= group.queue {
            return None;
        }
        let capacity_share = self.upstreams[state.upstream].recovery.capacity_share(now);
        let service_time =
            plan.destination(state.destination).service_time.mul_f64(conditions.slow / capacity_share);
        let variation =
            LogNormal::new(0.0, group.spread.max(0.0)).map_or(1.0, |draw| draw.sample(&mut self.rng));
        // A recognised repeat costs a quarter of the work; each further new packet of a call adds a quarter
        // of the work of a single packet.
        let new_packet_count = is_new.iter().filter(|is_new| **is_new).count() as f64;
        let work_factor = if new_packet_count == 0.0 { 0.25 } else { 1.0 + 0.25 * (new_packet_count - 1.0) };
        let server_free_at = state.free_at.iter_mut().min()?;
        let start = now.max(*server_free_at);
        let finish = start + service_time.mul_f64(variation * work_factor);
        *server_free_at = finish;
        if start > now {
            state.queued_starts.push_back(start);
        }
        Some(finish)
    }

    /// Prediction for the oracle policy, with full knowledge: when a call sent now, after `ahead` others in
    /// flight, would be answered with success.
    pub fn would_finish(
        &self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        ahead: usize,
    ) -> Option<Duration> {
        let planned_endpoint = plan.endpoint(endpoint);
        let state = &self.endpoints[endpoint.0 as usize];
        let upstream = &self.upstreams[state.upstream];
        let conditions = self.troubles.at(now, endpoint);
        let is_unresponsive = conditions.black_hole || conditions.silent || conditions.shut.is_some();
        let mostly_fails = conditions.errors + conditions.answer_lost + conditions.reset_after > 0.5;
        let group = plan.group(state.destination);
        let is_available = planned_endpoint.added_at <= now
            && self.reachable(plan, now, endpoint)
            && now < conditions.rejects_calls_from;
        let mut limiter = upstream.limiter.clone();
        limiter.set_share(now, conditions.limit);
        if !is_available
            || is_unresponsive
            || mostly_fails
            || !limiter.has_capacity(now, ahead)
            || !upstream.recovery.has_capacity(now, ahead)
        {
            return None;
        }
        let queue_length = state.queued_starts.iter().filter(|start| **start > now).count() + ahead;
        if queue_length >= group.queue || state.connections >= group.connections {
            return None;
        }
        let mut free_at = state.free_at.clone();
        free_at.sort();
        let service_time = plan.destination(state.destination).service_time;
        let service_time = service_time.mul_f64(conditions.slow / upstream.recovery.capacity_share(now));
        // Calls in flight go first, each to the server that becomes free first.
        let queueing_time = service_time * (ahead / free_at.len()) as u32;
        let start = free_at[ahead % free_at.len()].max(now) + queueing_time;
        Some(start + service_time)
    }

    /// Index of the upstream of an endpoint; endpoints with the same one share a limit and a recovery.
    pub fn upstream(&self, endpoint: EndpointId) -> usize {
        self.endpoints[endpoint.0 as usize].upstream
    }
}
