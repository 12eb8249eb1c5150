//! One sender's place in the simulated world: its life, its connections, and what a round of it asks for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sailcart::{EndpointId, Host, PacketId};

use super::submission::Ended;
use crate::policies::Policy;
use crate::watcher::End;

/// One sender, over all its lives.
#[derive(Default)]
pub struct SenderState {
    /// How many lives ended before this one.
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
    /// The earliest time of the next round.
    pub next_round: Duration,
    /// When the next round is due, if one was asked for.
    pub round_at: Option<Duration>,
    /// When the policy asked to be woken.
    pub wake_at: Option<Duration>,
}

impl SenderState {
    /// A life begins.
    pub fn begin(&mut self, policy: Box<dyn Policy>, now: Duration) {
        self.policy = Some(policy);
        self.taking = true;
        self.next_round = now;
        self.forget_rounds();
    }

    /// A life ends; tells whose clients had heard nothing.
    pub fn end(&mut self) -> Vec<PacketId> {
        self.policy = None;
        self.taking = false;
        self.life += 1;
        self.forget_rounds();
        std::mem::take(&mut self.fresh)
    }

    fn forget_rounds(&mut self) {
        self.round_at = None;
        self.wake_at = None;
    }

    /// The round that was due begins; the next one comes a `pause` later at the earliest.
    pub fn begin_round(&mut self, now: Duration, pause: Duration) {
        self.round_at = None;
        self.next_round = now + pause;
        self.wake_at = self.wake_at.filter(|at| *at > now);
    }

    /// The policy asks to be woken. An earlier time asked for still stands, whatever rounds came between.
    pub fn wake_by(&mut self, at: Duration) {
        self.wake_at = Some(self.wake_at.map_or(at, |before| before.min(at)));
    }
}

/// A dispatch that a round asks for.
pub struct Dispatch {
    pub packet: PacketId,
    pub endpoint: EndpointId,
    /// From now until its call is given up.
    pub time_out: Duration,
}

/// A call that a round no longer wants for a packet.
pub struct Cancel {
    pub packet: PacketId,
    /// Which of the packet's dispatches, from zero.
    pub dispatch: u32,
}

/// What one round asks for, carried out once the policy has returned.
#[derive(Default)]
pub struct Acts {
    pub dispatches: Vec<Dispatch>,
    pub cancels: Vec<Cancel>,
    pub ends: Vec<Ended>,
    /// Endpoints whose idle connections are closed.
    pub closings: Vec<EndpointId>,
    /// After how long the policy wants to be asked again.
    pub wake: Option<Duration>,
}

impl Host for Acts {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        self.dispatches.push(Dispatch { packet, endpoint, time_out });
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.cancels.push(Cancel { packet, dispatch });
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.ends.push(Ended { packet, end: End::Dismissed, retry_after });
    }

    fn scrap(&mut self, packet: PacketId) {
        self.ends.push(Ended { packet, end: End::Scrapped, retry_after: None });
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.closings.push(endpoint);
    }

    /// The lab's lists come unasked.
    fn request_list(&mut self) {}

    fn wake(&mut self, after: Duration) {
        self.wake = Some(self.wake.map_or(after, |before| before.min(after)));
    }
}
