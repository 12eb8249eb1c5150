//! Decides how responses in doubt are handled: those of which it is not known whether they belong to their
//! call ([`Attribution::InDoubt`]).
//!
//! A response in doubt that reports a delivery completes its packet provisionally: its slot is free, and the
//! host keeps the packet until the doubt has ended. One that reports anything else counts as a possible
//! execution, and the host closes the connection, which withdraws the call from the endpoint.
//!
//! Until later responses on its connection confirm it, a delivery in doubt stands in the journal as one whose
//! failure the platform is notified of at the deadline: a notice of a packet that was delivered is harmless, a
//! packet without either is lost.
//!
//! A doubt is suspicious for [`EXTRA_RESPONSE_MEMORY`] after an extra response was seen, and where equal responses
//! have turned out to be unusual. Then a refusal waits for the settle time for the response that it may have
//! displaced, and a connection in doubt carries no further call until nothing more has come for that time.

use std::time::Duration;

use crate::response_matching::Attribution;

/// How long extra responses are expected again after one was seen.
const EXTRA_RESPONSE_MEMORY: Duration = Duration::from_secs(600);

/// Which connections may carry a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// Any idle connection, or a new one.
    Any,
    /// An idle connection on which no call is in doubt, or a new one.
    Settled,
    /// An idle connection on which a refusal is certain to belong to its call, or a new one.
    Certain,
    /// A new connection: its first response is certain.
    New,
}

/// Equal responses are unusual where at least so many differ from all earlier ones for each that does not.
const MIN_DISTINCT_PER_DOUBT: u64 = 8;

/// The connections that carry calls with notices. All acknowledgements are equal, and one that belongs to an
/// earlier call would end notices that the platform has not received. The platform's agent is on the sender's
/// machine, so a connection costs little.
pub const NOTICE_CONNECTIONS: ConnectionChoice = ConnectionChoice::New;
/// The connections that carry requests for the destination list. A copy of an earlier list is put in force again
/// without effect, or rejected by its version.
pub const LIST_CONNECTIONS: ConnectionChoice = ConnectionChoice::Any;

/// What a call needs of its response.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallNeeds {
    /// A packet may not be executed twice.
    pub exact_outcome: bool,
    /// Later packets of the same key wait for the completion of a packet.
    pub in_order: bool,
    /// The response decides whether an upstream counts as healthy again.
    pub is_probe: bool,
}

/// What has been learned about responses that were written twice.
#[derive(Clone, Debug, Default)]
pub struct ResponseDoubt {
    last_extra_response_at: Option<Duration>,
    /// Number of responses that differed from all earlier ones on their connections.
    distinct: u64,
    /// Number of responses in doubt.
    doubts: u64,
}

impl ResponseDoubt {
    /// Records a response that belongs to no call.
    pub fn record_extra_response(&mut self, now: Duration) {
        self.last_extra_response_at = Some(now);
    }

    /// Records whether the response to a call was in doubt.
    pub fn record_attribution(&mut self, attribution: Attribution) {
        match attribution {
            Attribution::First => {}
            Attribution::Certain => self.distinct += 1,
            Attribution::InDoubt => self.doubts += 1,
        }
    }

    /// Whether responses on a connection usually differ, as where endpoints report their load.
    fn responses_usually_differ(&self) -> bool {
        self.distinct >= MIN_DISTINCT_PER_DOUBT * self.doubts.max(1)
    }

    /// Whether a response in doubt may well belong to another call.
    fn doubt_is_suspicious(&self, now: Duration) -> bool {
        self.extra_responses_expected(now) || self.responses_usually_differ()
    }

    /// Whether further extra responses are expected.
    fn extra_responses_expected(&self, now: Duration) -> bool {
        self.last_extra_response_at.is_some_and(|at| now.saturating_sub(at) < EXTRA_RESPONSE_MEMORY)
    }

    /// Which connections may carry a call.
    pub fn connection_choice(&self, now: Duration, needs: CallNeeds) -> ConnectionChoice {
        let CallNeeds { exact_outcome, in_order, is_probe } = needs;
        let needs_certainty = exact_outcome || in_order;
        if is_probe || (needs_certainty && self.extra_responses_expected(now)) {
            ConnectionChoice::New
        } else if in_order && !self.responses_usually_differ() {
            // The next packet of the key would be sent before a doubt has ended.
            ConnectionChoice::New
        } else if exact_outcome {
            ConnectionChoice::Certain
        } else if in_order {
            ConnectionChoice::Settled
        } else {
            ConnectionChoice::Any
        }
    }

    /// Whether a connection in doubt waits for the settle time before it carries another call.
    pub fn must_settle_before_reuse(&self, now: Duration) -> bool {
        self.doubt_is_suspicious(now)
    }

    /// Whether a connection is closed once it has settled in doubt. Where responses usually differ, few
    /// connections are, and later responses on it would stay in doubt.
    pub fn closes_settled_in_doubt(&self) -> bool {
        self.responses_usually_differ()
    }

    /// Whether the success in a response says anything about the health of an upstream.
    pub fn proves_health(attribution: Attribution, receives_only_probes: bool) -> bool {
        attribution != Attribution::InDoubt || !receives_only_probes
    }
}
