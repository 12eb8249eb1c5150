//! The baselines that the `sailcart` crate is compared with. A baseline tracks no Retry-After waits
//! (except for the oracle), does not protect recovering destinations and does not learn limits. It does what
//! every careful client does: one completion per packet, no second copy in flight, nothing to endpoints that
//! are not listed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::{DestinationId, EndpointId, Host, ListEntry, Outcome, Packet, PacketId, Repeat, Settings};

use super::{OracleView, Policy, PolicyName};

/// Initial and maximum backoff delay.
const BACKOFF_INITIAL_AND_MAX: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(8));
/// Consecutive failures that open a circuit breaker, and how long it stays open.
const BREAKER_FAILURES_AND_OPEN_TIME: (u32, Duration) = (5, Duration::from_secs(5));
/// Interval at which the oracle reconsiders packets that no endpoint would accept at present. All baselines
/// use it for packets that cannot be dispatched yet.
const RECONSIDER_INTERVAL: Duration = Duration::from_millis(20);
/// Multiple of the expected answer time after which the oracle regards an answer as lost.
const ORACLE_TIMEOUT_FACTOR: u32 = 8;
/// No dispatch is started when less than the patience divided by this number remains.
const FINAL_PATIENCE_DIVISOR: u32 = 40;

#[derive(Clone, Copy, PartialEq)]
enum PacketState {
    Held,
    InFlight(EndpointId),
}

/// A packet that has not completed.
struct TrackedPacket {
    packet: Packet,
    state: PacketState,
    not_before: Duration,
    /// Until when the receiver recognises a repeat, once the packet may have been executed.
    deduplicated_until: Option<Duration>,
}

/// What a baseline tracks of an endpoint.
#[derive(Default)]
struct EndpointState {
    destination: Option<DestinationId>,
    live: bool,
    in_flight: usize,
    consecutive_failures: u32,
    breaker_open_until: Duration,
}

impl EndpointState {
    /// Records the outcome of a call; consecutive failures open the breaker.
    fn record_outcome(&mut self, now: Duration, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.consecutive_failures = if outcome == Outcome::Done { 0 } else { self.consecutive_failures + 1 };
        if self.consecutive_failures >= BREAKER_FAILURES_AND_OPEN_TIME.0 {
            (self.breaker_open_until, self.consecutive_failures) =
                (now + BREAKER_FAILURES_AND_OPEN_TIME.1, BREAKER_FAILURES_AND_OPEN_TIME.0 - 1);
        }
    }
}

/// A sender that decides by a baseline policy.
pub struct Baseline {
    name: PolicyName,
    settings: Settings,
    rng: ChaCha8Rng,
    packets: BTreeMap<PacketId, TrackedPacket>,
    queue: VecDeque<PacketId>,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    endpoints_by_destination: BTreeMap<DestinationId, Vec<EndpointId>>,
    /// End of the Retry-After wait of each destination. Only the oracle observes it: otherwise it would get
    /// the best results by violating a rule.
    retry_after_until: BTreeMap<DestinationId, Duration>,
    /// The packets of each key in their order, and until when the key is blocked.
    key_queues: BTreeMap<sailcart::KeyId, (VecDeque<PacketId>, Duration)>,
    in_flight: usize,
}

impl Baseline {
    /// Creates a sender; `name` is one of the baselines.
    pub fn new(name: PolicyName, settings: Settings, seed: u64) -> Self {
        Baseline {
            name,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            queue: VecDeque::new(),
            endpoints: BTreeMap::new(),
            endpoints_by_destination: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            in_flight: 0,
        }
    }

    /// Time from which no dispatch of a packet is started: shortly before its deadline or, if it may have
    /// been executed, before its receiver stops recognising repeats.
    fn last_dispatch_at(&self, tracked: &TrackedPacket) -> Duration {
        let patience = self.settings.categories[tracked.packet.category.0].patience;
        let last_dispatch_at = tracked.packet.deadline.saturating_sub(patience / FINAL_PATIENCE_DIVISOR);
        tracked.deduplicated_until.map_or(last_dispatch_at, |recognised_until| {
            last_dispatch_at.min(recognised_until.saturating_sub(patience / FINAL_PATIENCE_DIVISOR))
        })
    }

    /// Fails a packet: scraps it if it may have been executed and must not be repeated, otherwise dismisses
    /// it.
    fn fail_packet(&mut self, id: PacketId, host: &mut dyn Host) {
        let Some(tracked) = self.packets.remove(&id) else { return };
        let repeat = self.settings.categories[tracked.packet.category.0].repeat;
        if tracked.deduplicated_until.is_some() && repeat == Repeat::Unrepeatable {
            host.scrap(id);
        } else {
            host.dismiss(
                id,
                self.settings.max_retry_after.map(|max_delay| max_delay.min(BACKOFF_INITIAL_AND_MAX.0)),
            );
        }
        self.queue.retain(|other| *other != id);
        self.leave_key_queue(&tracked.packet);
    }

    fn leave_key_queue(&mut self, packet: &Packet) {
        if let Some((packets, _)) = packet.key.and_then(|key| self.key_queues.get_mut(&key)) {
            packets.retain(|other| *other != packet.id);
        }
    }

    /// Whether a packet is next in the order of its key, and the key is not blocked.
    fn is_first_of_key(&self, now: Duration, packet: &Packet) -> bool {
        let in_order = self.settings.categories[packet.category.0].in_order;
        let key_queue = packet.key.filter(|_| in_order).and_then(|key| self.key_queues.get(&key));
        key_queue.is_none_or(|(packets, blocked_until)| {
            packets.front() == Some(&packet.id) && *blocked_until <= now
        })
    }

    /// Chooses an endpoint for a call, and for the oracle the time after which it regards the answer as lost.
    fn choose_endpoint(
        &mut self,
        now: Duration,
        destination: DestinationId,
        additional: usize,
        view: &dyn OracleView,
    ) -> Option<(EndpointId, Option<Duration>)> {
        let live: Vec<EndpointId> =
            self.endpoints_by_destination.get(&destination).into_iter().flatten().copied().collect();
        let live: Vec<EndpointId> = live.into_iter().filter(|id| self.endpoints[id].live).collect();
        match self.name {
            PolicyName::Oracle => {
                if self.retry_after_until.get(&destination).is_some_and(|until| *until > now) {
                    return None;
                }
                let finish_time =
                    |id: &EndpointId| view.would_finish(now, *id, additional).map(|at| (at, *id));
                live.iter()
                    .filter_map(finish_time)
                    .min()
                    .map(|(at, id)| (id, Some((at - now) * ORACLE_TIMEOUT_FACTOR)))
            }
            PolicyName::Breaker => {
                let is_closed = |id: &&EndpointId| self.endpoints[id].breaker_open_until <= now;
                live.iter()
                    .filter(is_closed)
                    .min_by_key(|id| (self.endpoints[id].in_flight, **id))
                    .map(|id| (*id, None))
            }
            _ => live.choose(&mut self.rng).map(|id| (*id, None)),
        }
    }

    /// Sorts the queue by soft limit, with the packets that can still meet theirs first.
    fn sort_by_soft_limit(&mut self, now: Duration) {
        let rank = |id: &PacketId| {
            let tracked = self.packets.get(id)?;
            let category = &self.settings.categories[tracked.packet.category.0];
            let soft_deadline =
                tracked.packet.deadline.saturating_sub(category.patience - category.soft_limit);
            Some((soft_deadline < now + RECONSIDER_INTERVAL, soft_deadline, *id))
        };
        let mut ranked: Vec<_> = self.queue.iter().filter_map(rank).collect();
        ranked.sort();
        self.queue = ranked.into_iter().map(|(_, _, id)| id).collect();
    }

    /// Records that a packet may have been executed: starts the deduplication window of its receiver and
    /// blocks its key.
    fn record_possible_execution(&mut self, now: Duration, packet: &Packet, elapsed: Duration) {
        let deduplication_window = deduplication_window(self.settings.categories[packet.category.0].repeat);
        let recognised_until = now.saturating_sub(elapsed).saturating_add(deduplication_window);
        if let Some(tracked) = self.packets.get_mut(&packet.id) {
            tracked.deduplicated_until = Some(
                tracked.deduplicated_until.map_or(recognised_until, |earlier| earlier.min(recognised_until)),
            );
        }
        if let Some((_, blocked_until)) = packet.key.and_then(|key| self.key_queues.get_mut(&key)) {
            *blocked_until = now + self.settings.key_block_time;
        }
    }

    /// Whether a packet gets no further dispatch.
    fn is_exhausted(&self, now: Duration, tracked: &TrackedPacket) -> bool {
        let repeat = self.settings.categories[tracked.packet.category.0].repeat;
        let may_repeat_effect = tracked.deduplicated_until.is_some() && repeat == Repeat::Unrepeatable;
        let one_try_used = self.name == PolicyName::OneTry && tracked.packet.dispatches > 0;
        may_repeat_effect
            || one_try_used
            || tracked.packet.dispatches >= self.settings.max_dispatches
            || self.last_dispatch_at(tracked) <= now
    }

    /// Timeout of a call, at most `answer_timeout` if given.
    fn timeout(&self, now: Duration, packet: &Packet, answer_timeout: Option<Duration>) -> Duration {
        let remaining = packet.deadline.saturating_sub(now);
        let category = self.settings.categories[packet.category.0];
        let timeout = match category.repeat {
            Repeat::Unrepeatable => remaining,
            _ => remaining.min(category.patience / 3),
        };
        answer_timeout.map_or(timeout, |answer_timeout| timeout.min(answer_timeout))
    }

    /// Records a dispatch of a packet.
    fn record_dispatch(&mut self, id: PacketId, endpoint: EndpointId) {
        if let Some(tracked) = self.packets.get_mut(&id) {
            tracked.packet.dispatches += 1;
            tracked.state = PacketState::InFlight(endpoint);
        }
        self.in_flight += 1;
        self.endpoints.entry(endpoint).or_default().in_flight += 1;
    }

    /// When a failed packet may be dispatched again.
    fn next_attempt_at(&mut self, now: Duration, dispatches: u32) -> Duration {
        match self.name {
            PolicyName::Backoff => {
                let max_delay = BACKOFF_INITIAL_AND_MAX
                    .0
                    .saturating_mul(1 << dispatches.min(16))
                    .min(BACKOFF_INITIAL_AND_MAX.1);
                now + max_delay.mul_f64(self.rng.random())
            }
            PolicyName::Oracle => now + RECONSIDER_INTERVAL,
            _ => now,
        }
    }
}

/// How long a receiver recognises a repeat.
fn deduplication_window(repeat: Repeat) -> Duration {
    match repeat {
        Repeat::Deduplicated { memory } => memory,
        _ => Duration::MAX,
    }
}

impl Policy for Baseline {
    fn update_list(&mut self, _: Duration, full: bool, entries: &[ListEntry]) {
        if full {
            self.endpoints.values_mut().for_each(|endpoint_state| endpoint_state.live = false);
        }
        for entry in entries {
            let endpoint_state = self.endpoints.entry(entry.endpoint).or_default();
            endpoint_state.live = entry.live;
            if endpoint_state.destination.replace(entry.destination).is_none() {
                self.endpoints_by_destination.entry(entry.destination).or_default().push(entry.endpoint);
            }
        }
    }

    fn accept(&mut self, _: Duration, packet: Packet) {
        let category = self.settings.categories[packet.category.0];
        if let (true, Some(key)) = (category.in_order, packet.key) {
            self.key_queues.entry(key).or_default().0.push_back(packet.id);
        }
        let deduplicated_until = packet
            .possibly_executed_at
            .map(|executed_at| executed_at.saturating_add(deduplication_window(category.repeat)));
        let id = packet.id;
        self.packets.insert(
            id,
            TrackedPacket {
                packet,
                state: PacketState::Held,
                not_before: Duration::ZERO,
                deduplicated_until,
            },
        );
        self.queue.push_back(id);
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    ) {
        let Some(tracked) = self.packets.get_mut(&id) else { return };
        let PacketState::InFlight(endpoint) = tracked.state else { return };
        tracked.state = PacketState::Held;
        let packet = tracked.packet.clone();
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(endpoint_state) = self.endpoints.get_mut(&endpoint) {
            endpoint_state.record_outcome(now, outcome);
        }
        if completed || outcome == Outcome::Done {
            self.packets.remove(&id);
            return self.leave_key_queue(&packet);
        }
        if matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.record_possible_execution(now, &packet, elapsed);
        }
        if let Outcome::Full(Some(wait)) = outcome {
            let until = self.retry_after_until.entry(packet.destination).or_default();
            *until = (now + wait).max(*until);
        }
        let next_attempt_at = self.next_attempt_at(now, packet.dispatches);
        if let Some(tracked) = self.packets.get_mut(&id) {
            tracked.not_before = next_attempt_at;
        }
        self.queue.push_back(id);
    }

    fn may_still_dispatch(&self, _: Duration, id: PacketId) -> bool {
        let Some(PacketState::InFlight(endpoint)) = self.packets.get(&id).map(|tracked| tracked.state) else {
            return false;
        };
        self.endpoints.get(&endpoint).is_some_and(|endpoint_state| endpoint_state.live)
    }

    fn decide(&mut self, now: Duration, view: &dyn OracleView, host: &mut dyn Host) {
        let (mut deferred, mut wake) = (VecDeque::new(), Duration::MAX);
        let mut dispatched_to: BTreeMap<DestinationId, usize> = BTreeMap::new();
        if self.name == PolicyName::Oracle {
            self.sort_by_soft_limit(now);
        }
        while let Some(id) = self.queue.pop_front() {
            let Some(tracked) = self.packets.get(&id).filter(|tracked| tracked.state == PacketState::Held)
            else {
                continue;
            };
            if self.is_exhausted(now, tracked) {
                self.fail_packet(id, host);
                continue;
            }
            let (packet, last_dispatch_at, not_before) =
                (tracked.packet.clone(), self.last_dispatch_at(tracked), tracked.not_before);
            let may_dispatch = not_before <= now
                && self.in_flight < self.settings.slots
                && self.is_first_of_key(now, &packet);
            let additional = dispatched_to.get(&packet.destination).copied().unwrap_or(0);
            let endpoint = if may_dispatch {
                self.choose_endpoint(now, packet.destination, additional, view)
            } else {
                None
            };
            let Some((endpoint, answer_timeout)) = endpoint else {
                let reconsider_at = if not_before > now { not_before } else { now + RECONSIDER_INTERVAL };
                wake = wake.min(reconsider_at).min(last_dispatch_at);
                deferred.push_back(id);
                continue;
            };
            *dispatched_to.entry(packet.destination).or_default() += 1;
            let timeout = self.timeout(now, &packet, answer_timeout);
            self.record_dispatch(id, endpoint);
            host.dispatch(id, endpoint, timeout);
        }
        self.queue = deferred;
        if wake < Duration::MAX {
            host.wake(wake.saturating_sub(now).max(Duration::from_millis(1)));
        }
    }
}
