//! The settings of a sender with the values that are derived from them, and the measurements that all upstreams share.

use std::time::Duration;

use crate::host::{RecoveryProfile, Settings};

/// A call is stalled after this multiple of the expected answer time, if nothing else is answered meanwhile.
pub(crate) const STALL_FACTOR: u32 = 4;
/// More senders than these share the minimum rate; otherwise it alone would exceed small limits.
const SENDERS_AT_FULL_MIN_RATE: f64 = 3.0;
/// The part of the hold that is kept free is `max_held` divided by this number, and at least one packet.
const HOLD_RESERVE_DIVISOR: usize = 16;

/// The settings, the values derived from them, and the measurements that all upstreams share.
#[derive(Default)]
pub(crate) struct Parameters {
    pub(crate) settings: Settings,
    /// Number of senders, at least one.
    pub(crate) senders: f64,
    /// Share of the minimum rate, and of the minimum step of the rate, that is left to each of many senders.
    pub(crate) min_rate_share: f64,
    /// There are so many senders that an upstream receives a call from each of them only now and then.
    pub(crate) sparse_traffic: bool,
    /// Number of packets held above which load is shed.
    pub(crate) shedding_threshold: usize,
    /// This sender's share of each customer's quota, in packets per second.
    pub(crate) customer_quotas: Vec<f64>,
    /// The shortest soft limit of all categories: the time scale of all measurements.
    pub(crate) min_soft_limit: Duration,
    /// Mean time to an answer over all upstreams: what is expected of an upstream until its first answer.
    pub(crate) mean_answer_time: Duration,
    pub(crate) recovery: RecoveryProfile,
}

impl Parameters {
    pub(crate) fn new(settings: Settings) -> Self {
        let senders = settings.senders.max(1) as f64;
        let min_soft_limit =
            settings.categories.iter().map(|category| category.soft_limit).min().unwrap_or_default();
        let min_soft_limit = min_soft_limit.max(Duration::from_millis(1));
        Parameters {
            senders,
            min_rate_share: (SENDERS_AT_FULL_MIN_RATE / senders).min(1.0),
            sparse_traffic: senders > 4.0 * SENDERS_AT_FULL_MIN_RATE,
            shedding_threshold: settings
                .max_held
                .saturating_sub((settings.max_held / HOLD_RESERVE_DIVISOR).max(1)),
            min_soft_limit,
            mean_answer_time: min_soft_limit / 4,
            customer_quotas: settings
                .customers
                .iter()
                .map(|customer| customer.packets_per_second / senders)
                .collect(),
            recovery: settings.recovery.clone(),
            settings,
        }
    }

    /// How long the response that a copy displaced is awaited; see `Sender::settle_time`.
    pub(crate) fn settle_time(&self) -> Duration {
        self.mean_answer_time.saturating_mul(STALL_FACTOR).clamp(self.min_soft_limit / 8, self.min_soft_limit)
    }
}
