//! A call in flight between a sender and a receiver.

use std::time::Duration;

use sailcart::{EndpointId, LimitReport, PacketId};

use crate::plan::SenderId;
use crate::receivers::Answer;

/// Progress of a call. Completed calls are removed from the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Stage {
    /// The call waits for its connection.
    Connecting,
    /// The call is written and on its way to the receiver.
    InTransit,
    /// The call has arrived at its receiver.
    Arrived {
        /// The answer that the receiver will send, if any.
        answer: Option<Answer>,
        /// The state of the limit that the answer reports, if any.
        report: Option<LimitReport>,
    },
}

/// Packets sent together to one endpoint.
pub struct Call {
    pub sender: SenderId,
    pub endpoint: EndpointId,
    pub packets: Vec<PacketId>,
    /// When the sender requested the call.
    pub started_at: Duration,
    stage: Stage,
    /// Whether the call holds a connection that counts against the limit of the endpoint.
    pub holds_connection: bool,
}

impl Call {
    /// Creates a call that waits for its connection.
    pub fn new(sender: SenderId, endpoint: EndpointId, packets: Vec<PacketId>, started_at: Duration) -> Self {
        Call { sender, endpoint, packets, started_at, stage: Stage::Connecting, holds_connection: false }
    }

    /// How far the call has progressed.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Moves the call to its next stage. All changes of the stage go through here, so that no stage is
    /// skipped or repeated.
    pub fn advance(&mut self, next_stage: Stage) {
        let is_next_stage = matches!(
            (&self.stage, &next_stage),
            (Stage::Connecting, Stage::InTransit) | (Stage::InTransit, Stage::Arrived { .. })
        );
        debug_assert!(is_next_stage, "invalid transition of a call from {:?} to {next_stage:?}", self.stage);
        self.stage = next_stage;
    }

    /// Whether the call has reached its receiver.
    pub fn has_arrived(&self) -> bool {
        matches!(self.stage, Stage::Arrived { .. })
    }
}

/// A call requested by a round of decisions.
pub struct CallRequest {
    pub endpoint: EndpointId,
    pub packets: Vec<PacketId>,
    /// Time from now after which the call is aborted.
    pub timeout: Duration,
}
