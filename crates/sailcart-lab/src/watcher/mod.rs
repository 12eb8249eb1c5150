//! The watcher checks the six rules that senders must follow. Its only input is what can be observed from
//! outside the senders (by clients, receivers, discovery and the receiver of notices), in chronological
//! order; it has no access to a sender's decisions or state.

mod backpressure;
mod exactly_once;
mod key_order;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sailcart::{DestinationId, EndpointId, KeyId, PacketId};
use serde::{Deserialize, Serialize};

use crate::experiment::{Repeat, Rules};
use crate::plan::{Plan, PlannedPacketId, SenderId};

/// Identifies a call within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a limit and capacity that one or several endpoints share. Requested waits, outages and overload
/// apply per upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub usize);

/// A rule that senders must follow; [`Rule::description`] states the requirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Rule 1: each accepted packet is completed exactly once, in time, and not sent afterwards.
    OneEnd,
    /// Rule 2: no packet takes effect twice.
    NoDouble,
    /// Rule 3: a draining endpoint receives no calls after the grace period.
    Drains,
    /// Rule 4: a destination that recovers from an outage is not overloaded.
    Return,
    /// Rule 5: packets of one key are sent one at a time, in order.
    Order,
    /// Rule 6: no call is sent before a requested wait has passed.
    Waits,
}

impl Rule {
    /// All rules, in the order of reports.
    pub const ALL: [Rule; 6] =
        [Rule::OneEnd, Rule::NoDouble, Rule::Drains, Rule::Return, Rule::Order, Rule::Waits];

    /// The requirement, as printed in reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::OneEnd => "each packet taken gets exactly one end in time, nothing after",
            Rule::NoDouble => "no effect twice",
            Rule::Drains => "drains kept",
            Rule::Return => "a returning destination is not pushed over",
            Rule::Order => "order by key where asked",
            Rule::Waits => "waits heeded",
        }
    }
}

/// How a packet was completed, as reported to its client or to the receiver of notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// Delivered: it was executed, and its sender knows.
    Done,
    /// Rejected: its client may submit it again.
    Dismissed,
    /// Failed; this is final.
    Scrapped,
}

/// One submission of a packet to a sender.
#[derive(Clone, Copy, Debug)]
pub struct SubmittedPacket {
    pub packet: PacketId,
    pub planned_packet: PlannedPacketId,
    pub sender: SenderId,
    pub destination: DestinationId,
    pub repeat: Repeat,
    pub in_order: bool,
    pub key: Option<KeyId>,
    /// The time at which the client stops waiting, on the clock of the run.
    pub deadline: Duration,
}

impl SubmittedPacket {
    /// The submission of a planned packet to a sender.
    pub fn new(plan: &Plan, packet: PacketId, planned_packet: PlannedPacketId, sender: SenderId) -> Self {
        let planned = &plan.planned_packets[planned_packet.0];
        let category = plan.category(planned.category);
        SubmittedPacket {
            packet,
            planned_packet,
            sender,
            destination: planned.destination,
            repeat: category.repeat,
            in_order: category.in_order,
            key: planned.key,
            deadline: planned.at + category.patience,
        }
    }
}

/// An event that can be observed from outside the senders.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A client submitted a packet.
    Submitted(SubmittedPacket),
    /// The client received the reply that the packet is accepted.
    Accepted(PacketId),
    /// The client or the receiver of notices learned how the packet was completed.
    Completed(PacketId, CompletionKind),
    /// The client got no reply and abandoned the submission: no completion is due, and its effects are not
    /// checked.
    Abandoned(PacketId),
    /// A receiver read the last byte of a call.
    CallReceived {
        call: CallId,
        sender: SenderId,
        endpoint: EndpointId,
        upstream: UpstreamId,
        packets: Vec<PacketId>,
    },
    /// For each packet of a call, whether it took effect.
    Executed(CallId, Vec<bool>),
    /// A call was answered, or its connection closed: it is no longer in flight. Carries what its sender
    /// learned.
    CallCompleted { call: CallId, result: CallResult },
    /// A sender could not establish a connection.
    ConnectionFailed { sender: SenderId, upstream: UpstreamId },
    /// Discovery reported to a sender that an endpoint is draining or was removed.
    EndpointDraining(SenderId, EndpointId),
    /// Discovery listed the endpoint as ready to a sender.
    EndpointReady(SenderId, EndpointId),
    /// An outage began.
    OutageStarted(UpstreamId),
    /// A cold destination collapsed under the calls that arrived within the period [`Rules::fall`].
    Collapsed(UpstreamId),
    /// A sender crashed or was stopped. None of its completions is overdue until [`Observation::SenderUp`].
    SenderDown(SenderId),
    /// A sender is ready again.
    SenderUp(SenderId),
    /// Writes to a sender's state folder began to fail, or succeed again.
    StateFolder { sender: SenderId, fails: bool },
}

/// What a sender learned about a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallResult {
    /// Executed and acknowledged.
    Done,
    /// Rejected, with the Retry-After wait if the answer has one. It was not executed.
    Rejected(Option<Duration>),
    /// Anything else: it may have executed, or may still execute.
    PossiblyExecuted,
    /// The receiver answered with an error; it no longer works on the call.
    Error,
}

/// A violation of a rule, with the events that prove it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    pub rule: Rule,
    /// The packet concerned; `None` if the violation concerns no single packet.
    pub packet: Option<u64>,
    /// When it was found, in milliseconds since the start of the run.
    pub at_ms: f64,
    pub events: Vec<String>,
}

/// The state that all checks share: submitted packets, calls in flight, senders that are down, violations.
pub(crate) struct RunState {
    pub rules: Rules,
    pub now: Duration,
    pub packets: HashMap<PacketId, TrackedPacket>,
    pub calls: HashMap<CallId, ObservedCall>,
    pub down_senders: BTreeSet<SenderId>,
    pub violations: Vec<Violation>,
    pub violation_counts: BTreeMap<Rule, u64>,
}

/// A submission and what has been observed of it.
pub(crate) struct TrackedPacket {
    pub submission: SubmittedPacket,
    pub accepted_at: Option<Duration>,
    pub completion: Option<(Duration, CompletionKind)>,
    pub current_call: Option<CallId>,
    pub last_call_at: Option<Duration>,
    pub abandoned: bool,
}

impl TrackedPacket {
    /// A packet that was just submitted.
    fn new(submission: SubmittedPacket) -> Self {
        TrackedPacket {
            submission,
            accepted_at: None,
            completion: None,
            current_call: None,
            last_call_at: None,
            abandoned: false,
        }
    }
}

/// A call in flight, as its receiver observed it.
#[derive(Clone)]
pub(crate) struct ObservedCall {
    pub received_at: Duration,
    pub sender: SenderId,
    pub endpoint: EndpointId,
    pub upstream: UpstreamId,
    pub packets: Vec<PacketId>,
}

/// Maximum number of violations of one rule that are reported with their events; further ones are only
/// counted.
const MAX_REPORTED_VIOLATIONS_PER_RULE: u64 = 20;

impl RunState {
    /// Counts a violation, and stores it unless its rule has reached the maximum.
    pub fn record_violation(&mut self, rule: Rule, packet: Option<PacketId>, events: Vec<String>) {
        let count = self.violation_counts.entry(rule).or_default();
        *count += 1;
        if *count <= MAX_REPORTED_VIOLATIONS_PER_RULE {
            let at_ms = self.now.as_micros() as f64 / 1000.0;
            self.violations.push(Violation { rule, packet: packet.map(|id| id.0), at_ms, events });
        }
    }
}

/// Formats a time in milliseconds with one decimal.
pub(crate) fn format_ms(at: Duration) -> String {
    format!("{:.1} ms", at.as_micros() as f64 / 1000.0)
}

/// Observes a run from outside and counts violations of each rule.
pub struct Watcher {
    state: RunState,
    exactly_once: exactly_once::ExactlyOnceCheck,
    backpressure: backpressure::BackpressureCheck,
    key_order: key_order::KeyOrderCheck,
}

impl Watcher {
    /// Creates a watcher that has observed nothing yet.
    pub fn new(rules: &Rules) -> Self {
        let state = RunState {
            rules: rules.clone(),
            now: Duration::ZERO,
            packets: HashMap::new(),
            calls: HashMap::new(),
            down_senders: BTreeSet::new(),
            violations: Vec::new(),
            violation_counts: BTreeMap::new(),
        };
        Watcher {
            state,
            exactly_once: exactly_once::ExactlyOnceCheck::default(),
            backpressure: backpressure::BackpressureCheck::default(),
            key_order: key_order::KeyOrderCheck::default(),
        }
    }

    /// Processes one event. Events must come in chronological order.
    pub fn observe(&mut self, now: Duration, observation: &Observation) {
        let state = &mut self.state;
        state.now = now.max(state.now);
        self.exactly_once.check_deadlines(state);
        match observation {
            Observation::Submitted(submission) => {
                state.packets.insert(submission.packet, TrackedPacket::new(*submission));
                self.key_order.packet_submitted(state, submission);
            }
            Observation::Accepted(packet) => self.exactly_once.packet_accepted(state, *packet),
            Observation::Completed(packet, completion) => {
                self.exactly_once.packet_completed(state, *packet, *completion);
                self.key_order.packet_completed(*packet);
            }
            Observation::Abandoned(packet) => {
                self.exactly_once.packet_abandoned(state, *packet);
                self.key_order.packet_completed(*packet);
            }
            Observation::CallReceived { call, sender, endpoint, upstream, packets } => {
                let (sender, endpoint, upstream) = (*sender, *endpoint, *upstream);
                self.call_received(
                    *call,
                    ObservedCall { received_at: now, sender, endpoint, upstream, packets: packets.clone() },
                );
            }
            Observation::Executed(call, effects) => self.exactly_once.packets_executed(state, *call, effects),
            Observation::CallCompleted { call, result } => self.call_completed(*call, *result),
            Observation::ConnectionFailed { sender, upstream } => {
                self.backpressure.call_failed(*sender, *upstream)
            }
            Observation::EndpointDraining(sender, endpoint) => {
                self.backpressure.endpoint_draining(state, *sender, *endpoint)
            }
            Observation::EndpointReady(sender, endpoint) => {
                self.backpressure.endpoint_ready(*sender, *endpoint)
            }
            Observation::OutageStarted(upstream) => self.backpressure.outage_started(*upstream),
            Observation::Collapsed(upstream) => self.backpressure.upstream_collapsed(state, *upstream),
            Observation::SenderDown(sender) => self.sender_down(*sender),
            Observation::SenderUp(sender) => {
                state.down_senders.remove(sender);
                self.exactly_once.sender_ready(state, *sender);
            }
            Observation::StateFolder { sender, fails } => {
                self.exactly_once.state_folder_changed(state, *sender, *fails)
            }
        }
    }

    fn call_received(&mut self, id: CallId, call: ObservedCall) {
        self.backpressure.call_received(&mut self.state, &call);
        self.key_order.call_received(&mut self.state, &call);
        self.exactly_once.call_received(&mut self.state, id, &call);
        self.state.calls.insert(id, call);
    }

    fn call_completed(&mut self, id: CallId, result: CallResult) {
        let Some(call) = self.state.calls.remove(&id) else { return };
        self.exactly_once.call_completed(&mut self.state, id, &call);
        self.key_order.call_completed(&self.state, &call, result);
        self.backpressure.call_completed(&self.state, &call, result);
    }

    fn sender_down(&mut self, sender: SenderId) {
        self.state.down_senders.insert(sender);
        self.exactly_once.sender_down(&self.state, sender);
        self.backpressure.sender_down(sender);
        self.key_order.sender_down(&self.state, sender);
    }

    /// Ends the run: a packet that is not completed by now counts as never completed.
    pub fn finish(&mut self, now: Duration) {
        self.state.now = now.max(self.state.now);
        self.state.down_senders.clear();
        self.exactly_once.finish(&mut self.state);
    }

    /// The first violations of each rule, in chronological order.
    pub fn violations(&self) -> &[Violation] {
        &self.state.violations
    }

    /// Number of violations of a rule, including those that are not reported with their events.
    pub fn count(&self, rule: Rule) -> u64 {
        self.state.violation_counts.get(&rule).copied().unwrap_or(0)
    }
}
