//! The state of a simulation, and the operations that the other modules of this folder share. Each of them
//! adds methods for one concern to [`World`].

use std::collections::HashMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use sailcart::{EndpointId, PacketId};

use super::call::Call;
use super::event::Event;
use super::queue::Queue;
use super::sender::SenderState;
use super::submission::Submission;
use crate::events::EventLog;
use crate::plan::{Plan, PlannedPacket, seeded_rng};
use crate::policies::Policy;
use crate::receivers::{CallPacket, Receivers};
use crate::results::tally::Tally;
use crate::watcher::{CallId, Observation, UpstreamId, Watcher};

/// Random stream that clients draw from.
const CLIENTS_STREAM: u64 = 5;

/// Creates the policy of a sender process from a seed.
pub type MakePolicy<'a> = dyn Fn(u64) -> Box<dyn Policy> + 'a;

/// The state of a run.
pub struct World<'a> {
    pub plan: &'a Plan,
    pub make_policy: &'a MakePolicy<'a>,
    pub now: Duration,
    pub queue: Queue<Event>,
    pub receivers: Receivers,
    pub watcher: Watcher,
    pub tally: Tally,
    pub log: EventLog,
    pub senders: Vec<SenderState>,
    /// Calls that have not reached their receiver yet, by upstream.
    pub calls_not_arrived: Vec<usize>,
    /// Indexed by packet id.
    pub submissions: Vec<Submission>,
    /// Calls in flight.
    pub calls: HashMap<CallId, Call>,
    pub next_call_id: u64,
    pub rng: ChaCha8Rng,
}

impl<'a> World<'a> {
    /// Creates the world before its first event: nothing is scheduled and no sender runs.
    pub fn new(plan: &'a Plan, log: EventLog, make_policy: &'a MakePolicy<'a>) -> Self {
        World {
            plan,
            make_policy,
            now: Duration::ZERO,
            queue: Queue::default(),
            receivers: Receivers::new(plan),
            watcher: Watcher::new(&plan.experiment.rules),
            tally: Tally::new(plan),
            log,
            senders: (0..plan.experiment.senders.count).map(|_| SenderState::default()).collect(),
            calls_not_arrived: vec![0; plan.endpoints.len()],
            submissions: Vec::new(),
            calls: HashMap::new(),
            next_call_id: 0,
            rng: seeded_rng(plan.seed, CLIENTS_STREAM),
        }
    }

    /// Reports an observation to the watcher and writes it to the event log.
    pub fn observe(&mut self, observation: Observation) {
        self.log.write(self.now, &observation);
        self.watcher.observe(self.now, &observation);
    }

    /// The submission of a packet.
    pub fn submission(&self, packet: PacketId) -> &Submission {
        &self.submissions[packet.0 as usize]
    }

    /// Mutable access to the submission of a packet.
    pub fn submission_mut(&mut self, packet: PacketId) -> &mut Submission {
        &mut self.submissions[packet.0 as usize]
    }

    /// The planned packet of which a packet is a submission.
    pub fn planned(&self, packet: PacketId) -> &'a PlannedPacket {
        &self.plan.planned_packets[self.submission(packet).planned_packet.0]
    }

    /// The upstream that an endpoint belongs to.
    pub fn upstream(&self, endpoint: EndpointId) -> UpstreamId {
        UpstreamId(self.receivers.upstream(endpoint))
    }

    /// The packets of a call as its receiver sees them.
    pub fn call_packets(&self, packets: &[PacketId]) -> Vec<CallPacket> {
        packets
            .iter()
            .map(|packet| CallPacket::new(self.plan, self.submission(*packet).planned_packet))
            .collect()
    }
}
