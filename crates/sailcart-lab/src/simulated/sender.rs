//! The state of one sender in the simulation: its process, its connections, and the requests of a round.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sailcart::{EndpointId, Host, PacketId};

use super::submission::Completion;
use crate::policies::Policy;
use crate::watcher::CompletionKind;

/// The state of one sender across its processes.
#[derive(Default)]
pub struct SenderState {
    /// Number of processes of this sender that have ended.
    pub process_number: u32,
    /// The decisions of the running process; `None` while no process runs.
    pub policy: Option<Box<dyn Policy>>,
    /// Whether clients can submit packets.
    pub accepting: bool,
    /// Packets in its journal that have not completed.
    pub held: BTreeSet<PacketId>,
    /// Packets accepted since the previous round, whose clients wait for an answer.
    pub unconfirmed: Vec<PacketId>,
    /// When each idle connection became idle, by endpoint.
    pub idle_connections: BTreeMap<EndpointId, Vec<Duration>>,
    pub earliest_round_at: Duration,
    /// When the next round is due, if one was requested.
    pub round_due_at: Option<Duration>,
    /// When the policy requested to be woken.
    pub wake_at: Option<Duration>,
}

impl SenderState {
    /// Starts a process.
    pub fn start(&mut self, policy: Box<dyn Policy>, now: Duration) {
        self.policy = Some(policy);
        self.accepting = true;
        self.earliest_round_at = now;
        self.clear_rounds();
    }

    /// Ends the process. Returns the packets whose clients have received no answer.
    pub fn stop(&mut self) -> Vec<PacketId> {
        self.policy = None;
        self.accepting = false;
        self.process_number += 1;
        self.clear_rounds();
        std::mem::take(&mut self.unconfirmed)
    }

    fn clear_rounds(&mut self) {
        self.round_due_at = None;
        self.wake_at = None;
    }

    /// Records that a round begins; the next one is at least `min_interval` later.
    pub fn begin_round(&mut self, now: Duration, min_interval: Duration) {
        self.round_due_at = None;
        self.earliest_round_at = now + min_interval;
        self.wake_at = self.wake_at.filter(|at| *at > now);
    }

    /// Requests a wake-up at `at`. An earlier request stays in effect even if rounds run in between.
    pub fn wake_by(&mut self, at: Duration) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}

/// A dispatch requested by a round.
pub struct Dispatch {
    pub packet: PacketId,
    pub endpoint: EndpointId,
    /// Time from now after which the call is aborted.
    pub timeout: Duration,
}

/// The cancellation of a dispatch, requested by a round.
pub struct Cancellation {
    pub packet: PacketId,
    /// Number of the dispatch among those of the packet, from 0.
    pub dispatch: u32,
}

/// The requests of one round, carried out after the policy has returned.
#[derive(Default)]
pub struct RoundActions {
    pub dispatches: Vec<Dispatch>,
    pub cancellations: Vec<Cancellation>,
    pub completions: Vec<Completion>,
    /// Endpoints whose idle connections are to be closed.
    pub idle_closes: Vec<EndpointId>,
    /// Time after which the policy requests another round.
    pub wake: Option<Duration>,
}

impl Host for RoundActions {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        self.dispatches.push(Dispatch { packet, endpoint, timeout });
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.cancellations.push(Cancellation { packet, dispatch });
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.completions.push(Completion { packet, kind: CompletionKind::Dismissed, retry_after });
    }

    fn scrap(&mut self, packet: PacketId) {
        self.completions.push(Completion { packet, kind: CompletionKind::Scrapped, retry_after: None });
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.idle_closes.push(endpoint);
    }

    /// Does nothing: the simulation sends lists without a request.
    fn request_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        self.wake = Some(self.wake.map_or(after, |earlier| earlier.min(after)));
    }
}
