//! What a sender learns about one upstream, and the decisions that follow from it: its rate, its health and how long it
//! is left alone.

use std::time::Duration;

use crate::decaying_counter::DecayingCounter;
use crate::host::{HealthState, LimitReport};
use crate::parameters::{Parameters, STALL_FACTOR};
use crate::token_bucket::TokenBucket;

/// Minimum rate of an upstream in calls per second, shared by the senders if there are more than
/// `SENDERS_AT_FULL_MIN_RATE`.
pub(crate) const MIN_RATE: f64 = 0.5;
/// A refusal multiplies the rate by this factor.
pub(crate) const RATE_DECREASE_FACTOR: f64 = 0.5;
/// Each success raises the rate by this share of the listed or last known rate.
pub(crate) const RATE_INCREASE_SHARE: f64 = 1.0 / 16.0;
/// Burst of a token bucket in seconds of its rate. A full second exceeded limits that all senders share.
pub(crate) const BURST_SECONDS: f64 = 0.25;
/// Share of the slow-start rate or of a reported limit that is used; the rest absorbs random variation.
pub(crate) const TARGET_UTILIZATION: f64 = 0.9;
/// Consecutive losses that eject an upstream. A refusal counts half, because most refusals come from a rate
/// limit.
pub(crate) const EJECTION_LOSSES: f64 = 3.0;
/// Minimum and maximum backoff after a call that could not be sent because of a local error.
pub(crate) const LOCAL_ERROR_BACKOFF: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(320)];

/// How long an outage of an upstream that is not in use is remembered: nothing tells of its end.
const OUTAGE_MEMORY: Duration = Duration::from_secs(600);

/// How long an upstream that is not in use is kept. If there are too many, the least one is forgotten first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Retention {
    /// A wait, an outage or a slow start applies. Otherwise only learned rates would be lost.
    pub(crate) is_restricted: bool,
    pub(crate) until: Duration,
}

/// The time in which `amount` accrues at `rate` per second.
pub(crate) fn time_to_accrue(amount: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64((amount / rate).max(0.0)).unwrap_or(Duration::MAX)
}

/// The health of an upstream: the states of a circuit breaker with slow start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Health {
    #[default]
    Healthy,
    /// Calls are stalled and nothing is answered, but no outage has been detected.
    Unresponsive,
    /// An outage has been detected.
    Ejected,
    /// Possibly cold since this time: its first answer after an outage, or the end of a long Retry-After
    /// wait.
    Recovering(Duration),
}

impl Health {
    /// The state without its time, for the host.
    pub(crate) fn state(self) -> HealthState {
        match self {
            Health::Healthy => HealthState::Healthy,
            Health::Unresponsive => HealthState::Unresponsive,
            Health::Ejected => HealthState::Ejected,
            Health::Recovering(_) => HealthState::Recovering,
        }
    }

    pub(crate) fn receives_only_probes(self) -> bool {
        matches!(self, Health::Unresponsive | Health::Ejected)
    }
}

/// A destination or, where each route has limits of its own, one route: the unit that has one rate limit and
/// one state of health. Rates are in calls per second, and are those of this sender unless they are said to
/// be listed or reported.
#[derive(Default)]
pub(crate) struct Upstream {
    pub(crate) listed_rate: Option<f64>,
    /// `None` until the first refusal, where no rate is listed.
    pub(crate) rate: Option<f64>,
    /// The rate to which `rate` recovers: this sender's share of the listed one, or the last known one.
    pub(crate) target_rate: f64,
    pub(crate) bucket: TokenBucket,
    /// End of the latest Retry-After wait or backoff.
    pub(crate) blocked_until: Duration,
    pub(crate) local_error_backoff: Duration,
    pub(crate) local_error_until: Duration,
    pub(crate) rate_reduced_at: Option<Duration>,
    pub(crate) health: Health,
    pub(crate) successes: DecayingCounter,
    pub(crate) accepted_packets: DecayingCounter,
    pub(crate) last_report: Option<LimitReport>,
    /// Weighted losses since the last success.
    pub(crate) consecutive_losses: f64,
    /// Calls since the last success that were refused because of the endpoint's connection limit.
    pub(crate) connection_limit_hits: u32,
    /// When the consecutive losses began.
    pub(crate) first_loss_at: Duration,
    pub(crate) last_success_at: Option<Duration>,
    pub(crate) mean_answer_time: Option<Duration>,
    /// Calls per second answered while healthy: a peak value that decays slowly.
    pub(crate) healthy_rate: f64,
}

impl Upstream {
    /// How long it is kept without being in use: while a wait, a backoff, an outage or a slow start applies, and for
    /// the warm-up time after its last use.
    pub(crate) fn retention(&self, now: Duration, last_used: Duration, parameters: &Parameters) -> Retention {
        let warm_up = parameters.recovery.warm_up;
        let slow_start_ends = match self.health {
            Health::Healthy => Duration::ZERO,
            Health::Unresponsive | Health::Ejected => last_used.saturating_add(OUTAGE_MEMORY),
            Health::Recovering(since) => since.saturating_add(warm_up),
        };
        let restricted_until = self.blocked_until.max(slow_start_ends);
        Retention {
            is_restricted: restricted_until > now,
            until: restricted_until.max(last_used.saturating_add(warm_up)),
        }
    }

    /// Slow start: the highest rate for this sender from an outage on until the upstream is warm. As it
    /// applies from the start of the outage, the time of the recovery need not be known. Trade-off: an
    /// upstream that lost calls at random is slow for that time.
    pub(crate) fn slow_start_rate(&self, now: Duration, parameters: &Parameters) -> f64 {
        let recovery = &parameters.recovery;
        let warm_up_progress = match self.health {
            Health::Healthy => return f64::INFINITY,
            Health::Unresponsive | Health::Ejected => 0.0,
            Health::Recovering(since) => {
                now.saturating_sub(since).as_secs_f64() / recovery.warm_up.as_secs_f64()
            }
        };
        let capacity_share = recovery.initial_capacity_share
            + (1.0 - recovery.initial_capacity_share) * warm_up_progress.min(1.0);
        let normal_rate = match self.listed_rate {
            listed if parameters.sparse_traffic => {
                let demand = self.demand_rate(now, parameters);
                // The demand may exceed what the upstream ever handles.
                listed.map_or(demand, |_| demand.min(self.target_rate))
            }
            listed => listed.map_or(self.healthy_rate, |listed| listed / parameters.senders),
        };
        (TARGET_UTILIZATION * recovery.overload_factor * capacity_share * normal_rate)
            .max(MIN_RATE / parameters.senders)
    }

    /// Rate and burst of the token bucket; `None` if the rate is not limited.
    pub(crate) fn rate_and_burst(&self, now: Duration, parameters: &Parameters) -> Option<(f64, f64)> {
        let slow_start = self.slow_start_rate(now, parameters);
        let rate = self
            .rate
            .map_or(f64::INFINITY, |rate| rate.max(self.min_rate_from_report(now, parameters)))
            .min(slow_start);
        let burst = if slow_start.is_finite() { 1.0 } else { rate * BURST_SECONDS };
        rate.is_finite().then_some((rate, burst))
    }

    /// Time until the token bucket has a token and no wait or backoff applies; zero if a call may start now.
    pub(crate) fn available_in(&self, now: Duration, parameters: &Parameters) -> Duration {
        let deficit = |(rate, burst)| time_to_accrue(1.0 - self.bucket.available(now, rate, burst), rate);
        let blocked_for = self.blocked_until.max(self.local_error_until).saturating_sub(now);
        self.rate_and_burst(now, parameters).map_or(Duration::ZERO, deficit).max(blocked_for)
    }

    pub(crate) fn expected_answer_time(&self, parameters: &Parameters) -> Duration {
        let own = self.mean_answer_time.unwrap_or(parameters.mean_answer_time);
        // With sparse traffic one fast answer is no reliable measure.
        if parameters.sparse_traffic { own.max(parameters.mean_answer_time) } else { own }
    }

    /// Stall detection: the time after which a call without an answer counts as stalled.
    pub(crate) fn stall_timeout(&self, parameters: &Parameters) -> Duration {
        self.expected_answer_time(parameters)
            .saturating_mul(STALL_FACTOR)
            .clamp(parameters.min_soft_limit / 8, parameters.min_soft_limit)
    }

    /// Packets accepted for this upstream, per second.
    pub(crate) fn demand_rate(&self, now: Duration, parameters: &Parameters) -> f64 {
        self.accepted_packets.read(now, parameters.min_soft_limit * 8)
            / (parameters.min_soft_limit * 8).as_secs_f64()
    }

    /// Successful calls per second.
    pub(crate) fn served_rate(&self, now: Duration, parameters: &Parameters) -> f64 {
        self.successes.read(now, parameters.min_soft_limit) / parameters.min_soft_limit.as_secs_f64()
    }

    /// Records a successful call. Additive increase of the rate adaptation. `kind_headroom` is the share of
    /// recent calls to this kind of destination that were not refused, to the fourth power; 1 unless traffic
    /// is sparse.
    pub(crate) fn record_success(
        &mut self,
        now: Duration,
        elapsed: Duration,
        kind_headroom: f64,
        parameters: &Parameters,
    ) {
        self.successes.add(now, parameters.min_soft_limit);
        (self.consecutive_losses, self.connection_limit_hits, self.last_success_at) = (0.0, 0, Some(now));
        self.mean_answer_time = Some(self.mean_answer_time.map_or(elapsed, |mean| (mean * 7 + elapsed) / 8));
        match self.health {
            Health::Healthy => {
                let served = self.served_rate(now, parameters);
                self.healthy_rate =
                    served.max(self.healthy_rate - (self.healthy_rate - served) / 64.0).max(MIN_RATE);
            }
            Health::Unresponsive => self.health = Health::Healthy,
            Health::Ejected => {
                self.health =
                    if parameters.sparse_traffic { Health::Healthy } else { Health::Recovering(now) };
                // Refusals of a destination that was out of service said nothing about its limit.
                self.rate = self.rate.map(|rate| rate.max(self.target_rate));
            }
            Health::Recovering(since) => {
                let warm = now.saturating_sub(since) >= parameters.recovery.warm_up;
                self.health = if warm { Health::Healthy } else { self.health };
            }
        }
        if self.apply_reported_limit(parameters) {
            return;
        }
        if parameters.sparse_traffic
            && self.listed_rate.is_some()
            && elapsed > parameters.mean_answer_time * 2
        {
            // A queue builds up there and occupies slots: the increase since the last reduction is undone.
            // Trade-off: this also affects destinations that are always slow.
            self.rate = self.rate.map(|rate| (rate * RATE_DECREASE_FACTOR).max(self.target_rate).min(rate));
            return;
        }
        let min_step =
            if self.listed_rate.is_none() { MIN_RATE / 2.0 * parameters.min_rate_share } else { 0.0 };
        let (step, min_rate) = (
            (self.target_rate * RATE_INCREASE_SHARE).max(min_step),
            if parameters.sparse_traffic { kind_headroom * MIN_RATE } else { 0.0 },
        );
        self.rate =
            self.rate.map(|rate| (rate + step).max(min_rate).min(self.listed_rate.unwrap_or(f64::INFINITY)));
    }

    /// This sender's share of the reported limit, where answers report one.
    pub(crate) fn reported_share(&self, parameters: &Parameters) -> Option<f64> {
        self.last_report.map(|report| report.limit / parameters.senders)
    }

    /// Rate adaptation by reported limits: the rate rises while more than half of the limit is left unused by
    /// all senders together, and falls otherwise. It never falls below the unused share of this sender's
    /// share of the limit: if every sender uses that much, no more is used than was left.
    pub(crate) fn apply_reported_limit(&mut self, parameters: &Parameters) -> bool {
        let Some((report, share)) = self.last_report.zip(self.reported_share(parameters)) else {
            return false;
        };
        let adapted = |rate: f64| {
            (rate * (0.5 + report.unused_share)).max(report.unused_share * share).min(report.limit)
        };
        self.rate = self.rate.map(adapted);
        true
    }

    /// Where the limit is reported, the rate recovers to nearly this sender's share of it within a soft limit
    /// after the last reduction, because a sender that seldom calls seldom learns that capacity is free.
    /// Trade-off: refusals at a limit that all senders exceed.
    pub(crate) fn min_rate_from_report(&self, now: Duration, parameters: &Parameters) -> f64 {
        let Some((share, reduced_at)) = self.reported_share(parameters).zip(self.rate_reduced_at) else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(reduced_at).as_secs_f64() / parameters.min_soft_limit.as_secs_f64();
        TARGET_UTILIZATION * share * elapsed.min(1.0)
    }

    /// Outlier ejection: records a call that completed without a usable answer, and ejects the upstream after
    /// consecutive losses; one or two may be random. Refusals by a rate limit come in short series, those of
    /// a destination that is out of service last for a soft limit or more: unless the loss is `conclusive`,
    /// the series must last that long.
    pub(crate) fn record_loss(
        &mut self,
        now: Duration,
        weight: f64,
        conclusive: bool,
        parameters: &Parameters,
    ) {
        self.first_loss_at = if self.consecutive_losses == 0.0 { now } else { self.first_loss_at };
        self.consecutive_losses += weight;
        let lasting = conclusive || now.saturating_sub(self.first_loss_at) >= parameters.min_soft_limit;
        if self.consecutive_losses >= EJECTION_LOSSES && lasting {
            self.health = Health::Ejected;
        }
    }

    /// Applies a Retry-After wait. A long one means that the upstream is out of service: it will be cold at
    /// the end of the wait, which is the same moment for every sender that received it. So slow start begins
    /// then, and each sender's first call is delayed at random by its token bucket. Trade-off: slow start
    /// also follows a refusal by a rate limit with a long period.
    pub(crate) fn apply_retry_after(&mut self, until: Duration, long: bool, jitter: f64) {
        self.blocked_until = self.blocked_until.max(until);
        if long {
            self.health = Health::Recovering(self.blocked_until);
            self.bucket = TokenBucket { tokens: Some(jitter), updated_at: self.blocked_until };
        }
    }

    /// Backoff with jitter, with sparse traffic only: there an outage costs each sender a call or two, and
    /// all senders that noticed it would call again together. The longer nothing has been answered, the
    /// longer the backoff, so that the calls of these senders stay below what a cold upstream can handle,
    /// however many senders there are. Trade-off: a single random loss also causes a backoff.
    pub(crate) fn back_off(
        &mut self,
        now: Duration,
        min_backoff: Duration,
        jitter: f64,
        parameters: &Parameters,
    ) {
        if parameters.sparse_traffic {
            let packet_interval = time_to_accrue(1.0, self.demand_rate(now, parameters));
            let backoff = (min_backoff + now.saturating_sub(self.first_loss_at)).min(packet_interval);
            let cold_load = TARGET_UTILIZATION
                * parameters.recovery.overload_factor
                * parameters.recovery.initial_capacity_share;
            self.blocked_until =
                self.blocked_until.max(now.saturating_add(backoff.mul_f64(2.0 * jitter / cold_load)));
        }
    }

    /// Records a call that could not be sent because of a local error. Its token is returned, and the
    /// upstream is blocked with exponential backoff, so that no loop runs on calls that fail immediately.
    /// Trade-off: the first call after the journal or the descriptors are available again is delayed by the
    /// backoff.
    pub(crate) fn record_local_error(&mut self, now: Duration) {
        let [min, max] = LOCAL_ERROR_BACKOFF;
        self.local_error_backoff = (self.local_error_backoff * 2).clamp(min, max);
        self.local_error_until = now.saturating_add(self.local_error_backoff);
        self.bucket.tokens = self.bucket.tokens.map(|tokens| tokens + 1.0);
    }

    /// Records a call refused because of the endpoint's connection limit, which says nothing about the rate
    /// limit. Its token is returned. The jittered backoff grows by about one answer time with each such call,
    /// because other senders wait for the same connections; a soft limit is its maximum.
    pub(crate) fn record_connection_limit(&mut self, now: Duration, jitter: f64, parameters: &Parameters) {
        self.connection_limit_hits += 1;
        let backoff = self
            .expected_answer_time(parameters)
            .mul_f64(2.0 * jitter * f64::from(self.connection_limit_hits));
        self.blocked_until =
            self.blocked_until.max(now.saturating_add(backoff.min(parameters.min_soft_limit)));
        self.bucket.tokens = self.bucket.tokens.map(|tokens| tokens + 1.0);
        self.record_loss(now, 0.5, false, parameters);
    }

    /// Records a refusal. Multiplicative decrease of the rate adaptation: the first refusal sets the rate to
    /// the served rate, further ones halve it, and the remaining tokens are discarded, as the limit does not
    /// cover them. Calls sent before the last reduction provide no new information, so the rate is reduced at
    /// most once per round and once per burst.
    pub(crate) fn record_refusal(
        &mut self,
        now: Duration,
        sent_at: Duration,
        jitter: f64,
        kind_headroom: f64,
        parameters: &Parameters,
    ) {
        if self.rate_reduced_at.is_none_or(|reduced_at| sent_at > reduced_at) {
            let served = self.served_rate(now, parameters);
            if self.listed_rate.is_none() && self.consecutive_losses == 0.0 {
                self.target_rate = self.rate.unwrap_or(served).max(MIN_RATE);
            }
            let reduced =
                self.rate.map_or(served.max(MIN_RATE), |rate| rate * RATE_DECREASE_FACTOR.min(kind_headroom));
            // Where the limit is reported, a quarter to half of this sender's share is left, as refused calls
            // may use up the limit. Otherwise, with sparse traffic, at least half of its share of the listed
            // rate.
            let min_rate = MIN_RATE * parameters.min_rate_share;
            let reduced = match (self.rate, self.reported_share(parameters)) {
                (Some(rate), Some(share)) => (rate * RATE_DECREASE_FACTOR)
                    .clamp(share * RATE_DECREASE_FACTOR * RATE_DECREASE_FACTOR, share * RATE_DECREASE_FACTOR),
                _ if parameters.sparse_traffic => reduced
                    .max(self.listed_rate.unwrap_or(0.0) / parameters.senders * RATE_DECREASE_FACTOR)
                    .max(min_rate),
                _ => reduced.max(min_rate),
            };
            (self.rate, self.rate_reduced_at) = (Some(reduced), Some(now));
            if self.blocked_until <= now || self.health == Health::Healthy {
                self.bucket = TokenBucket {
                    tokens: Some((jitter - 0.5) * (1.0 - parameters.min_rate_share)),
                    updated_at: now,
                };
            }
        }
        self.record_loss(
            now,
            if self.refusal_may_be_outage(parameters) { EJECTION_LOSSES / 2.0 } else { 0.5 },
            false,
            parameters,
        );
    }

    /// Whether a refusal may be due to an outage: with sparse traffic, if no report says that little of the
    /// limit is left. Otherwise the rate adaptation handles the refusal.
    pub(crate) fn refusal_may_be_outage(&self, parameters: &Parameters) -> bool {
        parameters.sparse_traffic && self.last_report.is_none_or(|report| report.unused_share > 0.5)
    }
}
