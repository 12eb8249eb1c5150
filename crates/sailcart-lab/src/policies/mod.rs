//! Who decides in virtual mode: the module itself, or one of the baselines it is measured against.

mod baseline;

use std::time::Duration;

use sailcart::{EndpointId, Host, LimitReport, ListEntry, Outcome, Packet, PacketId, Sender, Settings};
use serde::{Deserialize, Serialize};

pub use baseline::Baseline;

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum,
)]
/// Who decides, as named on the command line and in results.
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// The module.
    #[default]
    Sailcart,
    /// Each packet once, in order of arrival.
    OneTry,
    /// Exponential backoff with full jitter, and no limit: what webhook services do.
    Backoff,
    /// The endpoint with the least calls out, and a breaker for failures in a row: what proxies do.
    Breaker,
    /// Sees every endpoint's true state: the top.
    Oracle,
}

impl PolicyName {
    /// Every policy, the module first.
    pub const ALL: [PolicyName; 5] = [
        PolicyName::Sailcart,
        PolicyName::OneTry,
        PolicyName::Backoff,
        PolicyName::Breaker,
        PolicyName::Oracle,
    ];

    /// The name as the command line has it.
    pub fn word(self) -> &'static str {
        match self {
            PolicyName::Sailcart => "sailcart",
            PolicyName::OneTry => "one-try",
            PolicyName::Backoff => "backoff",
            PolicyName::Breaker => "breaker",
            PolicyName::Oracle => "oracle",
        }
    }
}

/// What only the oracle may look at.
pub trait OracleView {
    /// When a call that came now, behind those on their way and `also` others, would be answered with success, if
    /// it would.
    fn would_finish(&self, now: Duration, endpoint: EndpointId, also: usize) -> Option<Duration>;
}

/// One sender's decisions; the calls of [`Sender`], and what a baseline needs in their place.
pub trait Policy {
    /// The list of endpoints, or changes of it, as [`Sender::update_list`] hears them.
    fn update_list(&mut self, now: Duration, whole: bool, lines: &[ListEntry]);
    /// A packet that a client handed in, or that the journal held at the start.
    fn accept(&mut self, now: Duration, packet: Packet);
    /// How a dispatch came back after `elapsed`; `over` if the packet has its end.
    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        over: bool,
    );
    /// What the answer of a dispatch tells of the limit, before its outcome. No baseline heeds it.
    fn record_report(&mut self, _: PacketId, _: LimitReport) {}
    /// Asked before the first byte of a call that waited for its connection.
    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool;
    fn decide(&mut self, now: Duration, view: &dyn OracleView, host: &mut dyn Host);
}

/// Lets the module act through a host known only by its trait.
struct Through<'a>(&'a mut dyn Host);

impl Host for Through<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        self.0.dispatch(packet, endpoint, time_out);
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
    fn update_list(&mut self, now: Duration, whole: bool, lines: &[ListEntry]) {
        Sender::update_list(self, now, whole, lines);
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
        over: bool,
    ) {
        Sender::record_outcome(self, now, id, elapsed, outcome, over);
    }

    fn record_report(&mut self, id: PacketId, report: LimitReport) {
        Sender::record_report(self, id, report);
    }

    fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        Sender::may_still_dispatch(self, now, id)
    }

    fn decide(&mut self, now: Duration, _: &dyn OracleView, host: &mut dyn Host) {
        Sender::decide(self, now, &mut Through(host));
    }
}

/// A sender's decisions at its start.
pub fn start(name: PolicyName, terms: &Settings, seed: u64) -> Box<dyn Policy> {
    match name {
        PolicyName::Sailcart => Box::new(Sender::new(terms.clone(), seed)),
        other => Box::new(Baseline::new(other, terms.clone(), seed)),
    }
}
