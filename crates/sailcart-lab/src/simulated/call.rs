//! A call on its way from a sender to a receiver and back.

use std::time::Duration;

use sailcart::{EndpointId, LimitReport, PacketId};

use crate::plan::SenderId;
use crate::receivers::Answer;

/// How far a call has come; one that is over is no longer among the world's calls.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// It waits for its connection.
    Connecting,
    /// Written, on its way to the receiver.
    Going,
    /// It came to its receiver.
    Arrived {
        /// What it will be answered, if it will.
        answer: Option<Answer>,
        /// What the answer tells of the limit, if it does.
        report: Option<LimitReport>,
    },
}

/// Packets that travel together to one endpoint.
pub struct Call {
    pub sender: SenderId,
    pub endpoint: EndpointId,
    pub packets: Vec<PacketId>,
    /// When its sender asked for it.
    pub start: Duration,
    stage: Stage,
    /// Its connection counts at the endpoint.
    pub connected: bool,
}

impl Call {
    /// A call that waits for its connection.
    pub fn new(sender: SenderId, endpoint: EndpointId, packets: Vec<PacketId>, start: Duration) -> Self {
        Call { sender, endpoint, packets, start, stage: Stage::Connecting, connected: false }
    }

    /// How far it has come.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// The one place where a call's stage changes: from one to the next, none left out and none twice.
    pub fn advance(&mut self, to: Stage) {
        let next = matches!(
            (&self.stage, &to),
            (Stage::Connecting, Stage::Going) | (Stage::Going, Stage::Arrived { .. })
        );
        debug_assert!(next, "a call goes from {:?} to {to:?}", self.stage);
        self.stage = to;
    }

    /// Its receiver has seen it.
    pub fn has_arrived(&self) -> bool {
        matches!(self.stage, Stage::Arrived { .. })
    }
}

/// A call that a round asks for: what it carries, and how long it may take.
pub struct CallOrder {
    pub endpoint: EndpointId,
    pub packets: Vec<PacketId>,
    /// From now until it is given up.
    pub time_out: Duration,
}
