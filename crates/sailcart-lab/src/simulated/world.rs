//! The simulated world: all state of a run, and what every other module here needs of it. What happens in it stands
//! beside it, by concern: each module adds its methods to [`World`].

use std::collections::HashMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use sailcart::{EndpointId, PacketId};

use super::call::Call;
use super::event::Event;
use super::queue::Queue;
use super::sender::SenderState;
use super::submission::Submission;
use crate::events::Log;
use crate::plan::{Origin, Plan, chance};
use crate::policies::Policy;
use crate::receivers::{Piece, Receivers};
use crate::results::tally::Tally;
use crate::watcher::{CallId, GateId, Seen, Watcher};

/// The stream of chance that clients draw from.
const CLIENTS_STREAM: u64 = 5;

/// Makes a sender's decisions at its start, from a seed.
pub type MakePolicy<'a> = dyn Fn(u64) -> Box<dyn Policy> + 'a;

/// All state of a run.
pub struct World<'a> {
    pub plan: &'a Plan,
    pub make_policy: &'a MakePolicy<'a>,
    pub now: Duration,
    pub queue: Queue<Event>,
    pub receivers: Receivers,
    pub watcher: Watcher,
    pub tally: Tally,
    pub log: Log,
    pub senders: Vec<SenderState>,
    /// Calls that have not reached their receiver yet, by gate.
    pub going: Vec<usize>,
    /// By packet.
    pub submissions: Vec<Submission>,
    /// Calls that are not over.
    pub calls: HashMap<CallId, Call>,
    pub next_call: u64,
    pub rng: ChaCha8Rng,
}

impl<'a> World<'a> {
    /// The world before its first event; nothing is scheduled, no sender runs.
    pub fn new(plan: &'a Plan, log: Log, make_policy: &'a MakePolicy<'a>) -> Self {
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
            going: vec![0; plan.places.len()],
            submissions: Vec::new(),
            calls: HashMap::new(),
            next_call: 0,
            rng: chance(plan.seed, CLIENTS_STREAM),
        }
    }

    /// Tells the watcher, and the event log, of something that happens now.
    pub fn see(&mut self, seen: Seen) {
        self.log.write(self.now, &seen);
        self.watcher.see(self.now, &seen);
    }

    /// A packet as handed in.
    pub fn submission(&self, packet: PacketId) -> &Submission {
        &self.submissions[packet.0 as usize]
    }

    /// A packet as handed in, to change.
    pub fn submission_mut(&mut self, packet: PacketId) -> &mut Submission {
        &mut self.submissions[packet.0 as usize]
    }

    /// What a client wanted to send with a packet.
    pub fn origin_of(&self, packet: PacketId) -> &'a Origin {
        &self.plan.origins[self.submission(packet).origin.0]
    }

    /// Which receiver answers at an endpoint.
    pub fn gate(&self, endpoint: EndpointId) -> GateId {
        GateId(self.receivers.gate(endpoint))
    }

    /// What a receiver sees of each packet.
    pub fn pieces(&self, packets: &[PacketId]) -> Vec<Piece> {
        packets.iter().map(|packet| Piece::new(self.plan, self.submission(*packet).origin)).collect()
    }
}
