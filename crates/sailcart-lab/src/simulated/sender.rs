//! One sender's place in the simulated world: its life, its connections, and what a round of it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sailcart::{EndpointId, Host, PacketId};

use crate::policies::Policy;
use crate::watcher::End;

#[derive(Default)]
pub struct Post {
    pub life: u32,
    /// `None` between two lives.
    pub policy: Option<Box<dyn Policy>>,
    /// Clients get through to it.
    pub taking: bool,
    /// Packets in its journal without an end.
    pub held: BTreeSet<PacketId>,
    /// Taken since the last round: their clients wait for an answer.
    pub fresh: Vec<PacketId>,
    /// Since when each kept connection is idle.
    pub idle: BTreeMap<EndpointId, Vec<Duration>>,
    pub next_round: Duration,
    pub round_at: Option<Duration>,
    /// When the policy asked to be woken.
    pub wake_at: Option<Duration>,
}

impl Post {
    pub fn begin(&mut self, policy: Box<dyn Policy>, now: Duration) {
        self.policy = Some(policy);
        self.taking = true;
        self.next_round = now;
        (self.round_at, self.wake_at) = (None, None);
    }

    /// A life ends; tells whose clients had heard nothing.
    pub fn end(&mut self) -> Vec<PacketId> {
        self.policy = None;
        self.taking = false;
        self.life += 1;
        (self.round_at, self.wake_at) = (None, None);
        std::mem::take(&mut self.fresh)
    }
}

/// What one round asks for, carried out once the policy has returned.
#[derive(Default)]
pub struct Acts {
    pub dispatches: Vec<(PacketId, EndpointId, Duration)>,
    pub cancels: Vec<(PacketId, u32)>,
    pub ends: Vec<(PacketId, End, Option<Duration>)>,
    pub closings: Vec<EndpointId>,
    pub wake: Option<Duration>,
}

impl Host for Acts {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        self.dispatches.push((packet, endpoint, time_out));
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.cancels.push((packet, dispatch));
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.ends.push((packet, End::Dismissed, retry_after));
    }

    fn scrap(&mut self, packet: PacketId) {
        self.ends.push((packet, End::Scrapped, None));
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.closings.push(endpoint);
    }

    /// The lab's lists come unasked.
    fn ask_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        self.wake = Some(self.wake.map_or(after, |before| before.min(after)));
    }
}
