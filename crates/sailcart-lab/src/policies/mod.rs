//! Policies: what makes the decisions of a sender in simulated mode (`mode = "virtual"`), either the
//! `sailcart` crate or one of the baselines that it is compared with.

mod baseline;

use std::time::Duration;

use sailcart::{EndpointId, Host, LimitReport, ListEntry, Outcome, Packet, PacketId, Sender, Settings};
use serde::{Deserialize, Serialize};

pub use baseline::Baseline;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum,
)]
/// A policy, under the name that the command line and results use.
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The sailcart crate.
    #[default]
    Sailcart,
    /// One dispatch per packet, in order of arrival.
    OneTry,
    /// Exponential backoff with full jitter and no limit, as webhook services do.
    Backoff,
    /// The endpoint with the fewest calls in flight, and a circuit breaker for consecutive failures, as
    /// proxies do.
    Breaker,
    /// Knows the true state of every endpoint: an upper bound for the other policies.
    Oracle,
}

impl PolicyName {
    /// All policies, starting with the sailcart crate.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Sailcart,
        PolicyName::OneTry,
        PolicyName::Backoff,
        PolicyName::Breaker,
        PolicyName::Oracle,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Sailcart => "sailcart",
            PolicyName::OneTry => "one-try",
            PolicyName::Backoff => "backoff",
            PolicyName::Breaker => "breaker",
            PolicyName::Oracle => "oracle",
        }
    }
}

/// The state of the receivers, which only the oracle may use.
pub trait OracleView {
    /// When a call sent now, after those in flight and `additional` others, would be answered with success;
    /// `None` if it would not.
    fn would_finish(&self, now: Duration, endpoint: EndpointId, additional: usize) -> Option<Duration>;
}

/// The decisions of one sender: the methods of [`Sender`], and what a baseline needs instead.
pub trait Policy {
    /// Applies the list of endpoints, or changes of it, as [`Sender::update_list`] does.
    fn update_list(&mut self, now: Duration, full: bool, entries: &[ListEntry]);
    /// Accepts a packet that a client submitted or that the journal held at the start.
    fn accept(&mut self, now: Duration, packet: Packet);
    /// Reports the outcome of a dispatch after `elapsed`; `completed` if the packet needs no further
    /// dispatch.
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    );
    /// Reports the limit stated by the answer to a dispatch, before its outcome. No baseline uses it.
    fn record_report(&mut self, _: PacketId, _: LimitReport) {}
    /// Whether a call that waited for its connection may still be written. Called before its first byte.
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool;
    /// Runs a round of decisions and passes its requests to `host`.
    fn decide(&mut self, now: Duration, view: &dyn OracleView, host: &mut dyn Host);
}

/// Adapter that passes a `dyn Host` to [`Sender::decide`], which takes a sized host.
struct DynHost<'a>(&'a mut dyn Host);

impl Host for DynHost<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        self.0.dispatch(packet, endpoint, timeout);
    }

    fn entry_bytes(&self, packet: PacketId) -> usize {
        self.0.entry_bytes(packet)
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.0.cancel(packet, dispatch);
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.0.dismiss(packet, retry_after);
    }

    fn scrap(&mut self, packet: PacketId) {
        self.0.scrap(packet);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.0.close_idle(endpoint);
    }

    fn request_list(&mut self) {
        self.0.request_list();
    }

    fn wake(&mut self, after: Duration) {
        self.0.wake(after);
    }
}

impl Policy for Sender {
    fn update_list(&mut self, now: Duration, full: bool, entries: &[ListEntry]) {
        Sender::update_list(self, now, full, entries);
    }

    fn accept(&mut self, now: Duration, packet: Packet) {
        Sender::accept(self, now, packet);
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    ) {
        Sender::record_outcome(self, now, id, elapsed, outcome, completed);
    }

    fn record_report(&mut self, id: PacketId, report: LimitReport) {
        Sender::record_report(self, id, report);
    }

    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        Sender::may_still_dispatch(self, now, id)
    }

    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        Sender::decide(self, now, &mut DynHost(host));
    }
}

/// Creates the decisions of a sender that starts.
pub fn start(name: PolicyName, settings: &Settings, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Sailcart => Box::new(Sender::new(settings.clone(), seed)),
        other => Box::new(Baseline::new(other, settings.clone(), seed)),
    }
}
