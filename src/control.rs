//! The decision module: decides which packet of a sender is dispatched where and when.
//!
//! [`Sender::update_list`], [`Sender::accept`], [`Sender::record_report`], [`Sender::record_outcome`] and
//! [`Sender::withdraw`] only record what happened. Once per round the host calls [`Sender::decide`], which
//! acts through the [`Host`] trait. The types of the interface are in `host.rs`.
//!
//! An *upstream* is the unit of rate limiting and health: a destination or, where each route has limits of
//! its own, one route. *Sparse traffic* means that there are so many senders that an upstream receives a call
//! from each of them only now and then. Several mechanisms then work differently, because a sender's own
//! answers provide too little information.
//!
//! The mechanisms, by their standard names:
//! - **Token bucket**: each upstream has one (`upstream.rs`); a packet needs a token before it competes for a slot, and waits
//!   until the bucket's deficit is refilled (`Upstream::available_in`, `token_bucket.rs`).
//! - **AIMD-like rate adaptation**: the rate of the bucket rises by a fixed step with each success and is
//!   halved by a refusal (`Upstream::record_success`, `Upstream::record_refusal`). Where answers report the
//!   limit, the rate follows the reports (`Upstream::apply_reported_limit`).
//! - **Slow start**: after an outage an upstream gets a rate that even a cold destination can handle
//!   (`Upstream::slow_start_rate`).
//! - **Outlier ejection** (a circuit breaker): consecutive losses eject an upstream; it then receives only
//!   probes, at its slow-start rate (`Upstream::record_loss`, `Sender::choose_endpoint`).
//! - **Stall detection**: an upstream whose calls stay in flight for long gets one new call at a time
//!   (`Sender::detect_stalls`), and its stalled calls are cancelled when others need the slots
//!   (`Sender::cancel_stalled_calls`).
//! - **Concurrency limit**: per endpoint, one call in flight after a loss and one more with each success
//!   (`Endpoint::concurrency_limit`); per destination, a share of the slots (`Sender::concurrency_limit`).
//! - **Max-min fair shares**: the slots are divided among the destinations by their demand
//!   (`Sender::max_min_shares`, `Sender::assign_slots`).
//! - **Priority order**: the held packets of a destination are ordered by quota, lateness and due time
//!   (`Sender::dispatch_order`).
//! - **Load shedding**: when the hold is nearly full, the destination with the most held packets loses the
//!   one with the earliest deadline (`Sender::shed_load`).
//! - **Retry budget**: with sparse traffic, refused packets are dispatched again only for a part of the
//!   answers (`Sender::retry_budget`).
//! - **Backoff with jitter**: after losses, refusals, reached connection limits and failed requests for the
//!   destination list (`Upstream::back_off`, `Upstream::record_connection_limit`,
//!   [`Sender::list_request_failed`]); after local errors the backoff is exponential without jitter
//!   (`Upstream::record_local_error`).
//! - **Idle connection closing**: where calls to a kind of destination are lost and senders are many, no idle
//!   connection is left behind (`Sender::close_idle`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::call_size::CallSize;
use crate::calls_in_flight::CallsInFlight;
use crate::counting_map::CountingMap;
use crate::decaying_counter::DecayingCounter;
use crate::departed_endpoints::DepartedEndpoints;
use crate::held_packets::{HeldPackets, HeldQueue, SheddingOrder};
use crate::host::*;
use crate::key_queues::KeyQueues;
use crate::listing::DestinationList;
use crate::parameters::Parameters;
use crate::response_doubt::{CallNeeds, ConnectionChoice, ResponseDoubt};
use crate::response_matching::Attribution;
use crate::round_phase::{PhaseVisits, RoundPhase};
use crate::slot_candidates::{SlotCandidate, SlotCandidates};
use crate::state::*;
use crate::token_bucket::TokenBucket;
use crate::upstream::{EJECTION_LOSSES, Health, MIN_RATE, Upstream, time_to_accrue};
use crate::upstreams::Upstreams;

/// Loss weight of a connection that was lost during a call, unless traffic is sparse.
const RESET_LOSS_WEIGHT: f64 = 0.25;
/// Idle connections are closed above this ratio of losses to answers, or above this decayed count of reached
/// connection limits.
const IDLE_CLOSE_THRESHOLD: f64 = 1.0 / 64.0;
/// Refused packets that may be dispatched again per answer, with sparse traffic.
const RETRIES_PER_ANSWER: f64 = 0.1;
/// No dispatch starts within a margin before a packet's deadline: its soft limit divided by this number.
const DEADLINE_MARGIN_DIVISOR: u32 = 8;
/// Number of changes of health that are kept for the host.
const MAX_HEALTH_CHANGES: usize = 64;
/// Number of destinations whose learned state is retained; see `evict_idle`.
const MAX_ACTIVE_DESTINATIONS: usize = 4096;
/// Number of upstreams that are kept while their endpoints have left the list.
const MAX_UNUSED_UPSTREAMS: usize = 4096;

/// A packet between its acceptance and its completion.
struct TrackedPacket {
    packet: Packet,
    category: Category,
    /// When the soft limit ends.
    answer_due: Duration,
    /// It was submitted beyond its customer's quota.
    over_quota: bool,
    /// It was refused, and each further dispatch counts against the retry budget.
    refused: bool,
    state: PacketState,
    /// When it is examined again or expires; set while it is held.
    expires_at: Option<Duration>,
}

impl TrackedPacket {
    /// Which packets of the fullest destination are shed first: those beyond a quota, then those with the earliest
    /// deadline. Those that the previous process accepted and did not dispatch are shed only if there are no others.
    fn shedding_order(&self) -> SheddingOrder {
        SheddingOrder {
            last_resort: self.is_restored_and_untried(),
            within_quota: !self.over_quota,
            deadline: self.packet.deadline,
        }
    }

    /// It was accepted by the previous process and has not been dispatched yet.
    fn is_restored_and_untried(&self) -> bool {
        self.packet.accepted_by_previous_process && self.packet.dispatches == 0
    }
}

/// What the dispatches of one round have in common.
#[derive(Default)]
struct DispatchRound {
    /// The packets that wait for an upstream and have not been dispatched yet, in the order of their dispatch.
    waiting: BTreeMap<UpstreamId, VecDeque<PacketId>>,
    /// Calls in flight to unresponsive or ejected upstreams.
    probes: usize,
}

/// One sender: tracks its packets, the destination list and what it learns about upstreams, and decides.
///
/// The times passed to it are expected not to decrease.
#[derive(Default)]
pub struct Sender {
    parameters: Parameters,
    rng: Option<ChaCha8Rng>,
    now: Duration,
    packets: CountingMap<PacketId, TrackedPacket>,
    destination_list: DestinationList,
    /// The destinations that had traffic, with what was learned about them.
    destinations: CountingMap<DestinationId, Destination>,
    /// The same destinations, in the order in which `evict_idle` examines them.
    eviction_queue: VecDeque<DestinationId>,
    /// Those that may have endpoints to remove, because the list changed.
    cleanup_candidates: BTreeSet<DestinationId>,
    held: HeldPackets,
    upstreams: Upstreams,
    departed_endpoints: DepartedEndpoints,
    endpoints: CountingMap<EndpointId, Endpoint>,
    calls: CallsInFlight,
    next_call_id: u64,
    key_queues: KeyQueues,
    customer_buckets: Vec<TokenBucket>,
    /// When held packets are examined again or expire: one time for each.
    expirations: BTreeSet<(Duration, PacketId)>,
    /// Answers, losses, refusals and reached connection limits, by kind of destination.
    kind_counters: Vec<[DecayingCounter; 4]>,
    /// Endpoints whose idle connections may have to be closed in this round.
    idle_candidates: BTreeSet<EndpointId>,
    /// Refused packets that may be dispatched again, with sparse traffic.
    retry_budget: f64,
    /// Packets to fail in this round, with the estimated wait that their dismissal reports.
    pending_failures: Vec<(PacketId, Option<Duration>)>,
    /// Destinations whose held packets are to be checked in this round: the rate of an upstream was reduced.
    slowed_destinations: BTreeSet<DestinationId>,
    next_wake_at: Option<Duration>,
    /// When to request the destination list, where updates are not pushed.
    list_request_at: Option<Duration>,
    /// Consecutive failures to get the destination list.
    list_request_failures: u32,
    /// Whether responses are to be expected that belong to no call.
    response_doubt: ResponseDoubt,
    /// Changes of health that the host has not taken yet, [`MAX_HEALTH_CHANGES`] at most.
    health_changes: Vec<HealthChange>,
    phase_visits: PhaseVisits,
}

impl Sender {
    /// Creates a sender without destinations or packets. The same seed and calls give the same decisions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let customer_buckets = settings.customers.iter().map(|_| TokenBucket::default()).collect();
        let rng = Some(ChaCha8Rng::seed_from_u64(seed));
        let kind_counters = settings.kinds.iter().map(|_| Default::default()).collect();
        let retry_budget = settings.slots as f64;
        Sender {
            retry_budget,
            customer_buckets,
            kind_counters,
            rng,
            parameters: Parameters::new(settings),
            ..Sender::default()
        }
    }

    /// Schedules a request for the destination list: at the start, and after a request failed or the
    /// subscription broke, which may happen to all senders at once. Backoff with jitter: the delay is random
    /// within a quarter of the permitted staleness, and the range doubles with each consecutive failure, up
    /// to all of it.
    pub fn list_request_failed(&mut self, now: Duration) {
        let Some((staleness, rng)) = self.parameters.settings.max_list_staleness.zip(self.rng.as_mut())
        else {
            return;
        };
        let max_delay = (staleness / 4).saturating_mul(1 << self.list_request_failures.min(2));
        self.list_request_at = Some(now.saturating_add(max_delay.mul_f64(rng.random())));
        self.list_request_failures += 1;
    }

    /// Number of destinations for which more than their entry in the list is stored.
    pub fn active_destinations(&self) -> usize {
        self.destinations.len()
    }

    /// Number of upstreams that are kept without being in use.
    pub fn unused_upstreams(&self) -> usize {
        self.upstreams.unused()
    }

    /// Number of table entries accessed so far. It shows whether work is proportional to what changed or to
    /// the whole destination list.
    pub fn entries_visited(&self) -> u64 {
        let tables = [
            self.destinations.visited(),
            self.upstreams.visited(),
            self.endpoints.visited(),
            self.held.visited(),
            self.packets.visited(),
            self.calls.visited(),
            self.key_queues.visited(),
        ];
        self.destination_list.visited() + tables.iter().sum::<u64>()
    }

    /// Number of table entries accessed in each phase of the rounds so far.
    pub fn phase_visits(&self) -> &PhaseVisits {
        &self.phase_visits
    }

    /// Whether a packet is tracked: from its acceptance to its completion or, if it is withdrawn while in
    /// flight, to the completion of its call.
    pub fn is_tracked(&self, id: PacketId) -> bool {
        self.packets.contains_key(&id)
    }

    /// Updates the destination list; with `full` the entries are a snapshot that replaces it. An entry takes
    /// effect at once for a destination that had traffic, and with the first packet for any other.
    pub fn update_list(&mut self, now: Duration, full: bool, entries: &[ListEntry]) {
        self.now = now.max(self.now);
        self.list_request_failures =
            if self.list_request_at.is_none() { 0 } else { self.list_request_failures };
        if full {
            self.destination_list.clear();
            self.endpoints.values_mut().for_each(|endpoint| endpoint.live = false);
            self.cleanup_candidates.extend(self.destinations.keys());
        }
        for entry in entries {
            let has_own_limits = self.parameters.settings.kinds[entry.kind.0].per_route_limits;
            self.destination_list.apply(entry, has_own_limits);
            if self.destinations.contains_key(&entry.destination) {
                self.cleanup_candidates.insert(entry.destination);
                self.apply_entry(entry);
            }
        }
        self.remove_delisted();
    }

    /// Applies an entry of the list to a destination that has traffic.
    fn apply_entry(&mut self, entry: &ListEntry) {
        let kind = &self.parameters.settings.kinds[entry.kind.0];
        let upstream_id = (entry.destination, kind.per_route_limits.then_some(entry.route));
        let destination = self.destinations.entry(entry.destination).or_default();
        destination.max_batch = kind.max_batch;
        destination.upstreams.insert(upstream_id);
        let upstream = self.upstreams.begin_use(upstream_id);
        if self.parameters.settings.rates_listed
            && entry.rate > 0.0
            && upstream.listed_rate != Some(entry.rate)
        {
            // All senders share the listed rate, so each starts with a part of it and climbs to the full
            // rate.
            let share = 2.0 * entry.rate / (1.0 + self.parameters.senders);
            (upstream.listed_rate, upstream.target_rate) = (Some(entry.rate), share);
            // Where answers report limits, the first reports correct a rate that starts too high.
            let min_rate_shared = self.parameters.sparse_traffic && !self.parameters.settings.limits_reported;
            let min_rate = if min_rate_shared { MIN_RATE * self.parameters.min_rate_share } else { MIN_RATE };
            upstream.rate = Some(share.max(min_rate).min(entry.rate));
        }
        if destination.endpoints.is_empty() && upstream.health == Health::Unresponsive {
            upstream.health = Health::Healthy; // all endpoints are new
        }
        destination.endpoints.insert(entry.endpoint);
        let new_endpoint = Endpoint {
            upstream_id,
            live: entry.live,
            kind: entry.kind,
            concurrency_limit: self.parameters.settings.slots,
        };
        self.endpoints.entry(entry.endpoint).or_insert(new_endpoint).live = entry.live;
    }

    /// Removes endpoints that are no longer listed and have no call in flight, and destinations without endpoints
    /// and held packets. What was learned about their upstreams is kept as long as it applies.
    fn remove_delisted(&mut self) {
        let candidates = std::mem::take(&mut self.cleanup_candidates);
        for id in &candidates {
            let Some(Destination { endpoints, upstreams, last_held_at, .. }) = self.destinations.get_mut(id)
            else {
                continue;
            };
            let in_flight = |id: &EndpointId| self.calls.count_at(*id) > 0;
            let (now, settle_time) = (self.now, self.parameters.settle_time());
            endpoints.retain(|id| {
                let upstream_id = self.endpoints.get(id).map(|endpoint| endpoint.upstream_id);
                let stays = self.endpoints.retain_one(id, |endpoint| endpoint.live || in_flight(id));
                if let (false, Some(upstream_id)) = (stays, upstream_id) {
                    self.departed_endpoints.add(now, settle_time, *id, upstream_id);
                }
                stays
            });
            let in_use: BTreeSet<UpstreamId> =
                endpoints.iter().map(|endpoint| self.endpoints[endpoint].upstream_id).collect();
            for unused in upstreams.extract_if(.., |id| id.1.is_some() && !in_use.contains(id)) {
                let retention = self.upstreams[&unused].retention(self.now, *last_held_at, &self.parameters);
                self.upstreams.end_use(unused, retention);
            }
        }
        self.hold_again_where_delisted(&candidates);
        for id in candidates {
            let Some(destination) = self.destinations.get(&id) else { continue };
            let not_live = |id: &EndpointId| self.endpoints.get(id).is_none_or(|endpoint| !endpoint.live);
            if destination.endpoints.is_empty() && !self.held.contains(id) {
                self.remove_destination(id);
            } else if !self.destination_list.contains(id) || destination.endpoints.iter().any(not_live) {
                self.cleanup_candidates.insert(id);
            }
        }
        self.upstreams.forget(self.now, MAX_UNUSED_UPSTREAMS);
    }

    /// Holds the packets of destinations that are no longer listed anew: they expire earlier.
    fn hold_again_where_delisted(&mut self, candidates: &BTreeSet<DestinationId>) {
        let delisted = candidates.iter().filter(|id| !self.destination_list.contains(**id));
        let queues = delisted.filter_map(|id| self.held.get(*id));
        let packets: Vec<PacketId> = queues.flat_map(HeldQueue::packets).collect();
        packets.into_iter().for_each(|id| self.hold(id));
    }

    fn remove_destination(&mut self, id: DestinationId) {
        let removed = self.destinations.remove(&id).unwrap_or_default();
        for upstream_id in removed.upstreams {
            let upstream = &self.upstreams[&upstream_id];
            let retention = upstream.retention(self.now, removed.last_held_at, &self.parameters);
            self.upstreams.end_use(upstream_id, retention);
        }
        self.endpoints.remove_all(&removed.endpoints);
    }

    fn upstreams_of(&self, id: &DestinationId) -> impl Iterator<Item = &Upstream> {
        let upstreams = self.destinations.get(id).into_iter().flat_map(|destination| &destination.upstreams);
        upstreams.map(|upstream_id| &self.upstreams[upstream_id])
    }

    /// Creates the state of a destination from its entries in the list, with its first packet.
    fn activate(&mut self, id: DestinationId) {
        if !self.destinations.contains_key(&id) {
            self.destinations.insert(id, Destination::default());
            self.eviction_queue.push_back(id);
            self.destination_list.entries(id).iter().for_each(|entry| self.apply_entry(entry));
        }
    }

    /// Bounds the memory: beyond `MAX_ACTIVE_DESTINATIONS`, a destination not used for the warm-up time keeps
    /// only its entry in the list, unless a wait, a backoff or an outage applies. Trade-off: what was learned
    /// about it has to be learned again.
    fn evict_idle(&mut self) {
        for _ in 0..self.eviction_queue.len().saturating_sub(MAX_ACTIVE_DESTINATIONS).min(2) {
            let Some(id) = self.eviction_queue.pop_front() else { return };
            let Some(destination) = self.destinations.get(&id) else { continue };
            let unrestricted = |upstream: &Upstream| {
                upstream.health == Health::Healthy && upstream.blocked_until <= self.now
            };
            let idle = !self.held.contains(id) && self.calls.count_to(id) == 0;
            let warm = destination.last_held_at.saturating_add(self.parameters.recovery.warm_up) <= self.now;
            if idle && warm && self.upstreams_of(&id).all(unrestricted) {
                self.remove_destination(id);
            } else {
                self.eviction_queue.push_back(id);
            }
        }
        self.upstreams.forget(self.now, MAX_UNUSED_UPSTREAMS);
    }

    /// Accepts a packet that was submitted or, after a restart, restored. A restored packet keeps the number
    /// of its dispatches and the time since which it may have been executed; while a call of the previous
    /// process may still execute, its key is blocked. The packet's times count from its first submission to
    /// any sender.
    pub fn accept(&mut self, now: Duration, packet: Packet) {
        self.now = now.max(self.now);
        let category = self.parameters.settings.categories[packet.category.0];
        let answer_due =
            packet.deadline.saturating_sub(category.patience.saturating_sub(category.soft_limit));
        if let (true, Some(key)) = (category.in_order, packet.key) {
            let key_block_time = self.parameters.settings.key_block_time;
            let blocked_until = packet.possibly_executed_at.map_or(now, |_| now + key_block_time);
            self.key_queues.insert(key, packet.id, blocked_until);
        }
        // Beyond this sender's share of its customer's quota a packet earns little credit.
        let over_quota = packet.customer.is_some_and(|CustomerId(index)| {
            let quota = self.parameters.customer_quotas[index];
            !self.customer_buckets[index].try_take(
                self.now,
                quota,
                quota * self.parameters.min_soft_limit.as_secs_f64(),
            )
        });
        let (id, destination, state) =
            (packet.id, packet.destination, PacketState::Held(packet.possibly_executed_at));
        self.packets.insert(
            id,
            TrackedPacket {
                packet,
                category,
                answer_due,
                over_quota,
                refused: false,
                state,
                expires_at: None,
            },
        );
        self.evict_idle();
        self.activate(destination);
        for upstream_id in &self.destinations[&destination].upstreams {
            if let Some(upstream) = self.upstreams.get_mut(upstream_id) {
                upstream.accepted_packets.add(now, self.parameters.min_soft_limit * 8);
            }
        }
        self.hold(id);
    }

    /// Whether a dispatch may still be sent. The host asks before the first byte of a call that may have
    /// waited for its connection: since the decision its endpoint may have left the list, a Retry-After wait
    /// may have been requested, or the dispatch deadline may have passed.
    pub fn may_still_dispatch(&self, now: Duration, id: PacketId) -> bool {
        let Some(tracked) = self.packets.get(&id) else { return false };
        let PacketState::InFlight(call, _) = tracked.state else { return false };
        let Some(call) = self.calls.get(call) else { return false };
        let live = self.endpoints.get(&call.endpoint).is_some_and(|endpoint| endpoint.live);
        live && self.upstreams[&call.upstream_id].blocked_until <= now
            && now < self.dispatch_deadline(tracked)
    }

    /// Withdraws a packet at its client's request. The client gets no answer; a call in flight keeps its slot
    /// until it completes.
    pub fn withdraw(&mut self, now: Duration, id: PacketId) {
        self.now = now.max(self.now);
        match self.packets.get(&id).map(|tracked| tracked.state) {
            Some(PacketState::InFlight(call, _)) => self.change_state(id, PacketState::Withdrawn(call)),
            Some(PacketState::Held(_)) => self.change_state(id, PacketState::Scrapped),
            _ => {}
        }
    }

    /// Records what the answer to a dispatch in flight reports about the rate limit, before its outcome.
    /// Reports are used only with sparse traffic; otherwise a sender's own answers are more informative. A
    /// reported limit is capped at twice the listed rate.
    pub fn record_report(&mut self, id: PacketId, report: LimitReport) {
        let Some(PacketState::InFlight(call, _)) = self.packets.get(&id).map(|tracked| tracked.state) else {
            return;
        };
        let upstream_id = self.calls.get(call).map(|call| call.upstream_id);
        let upstream = upstream_id.and_then(|id| self.upstreams.get_mut(&id));
        let upstream = upstream.filter(|_| self.parameters.sparse_traffic);
        if let Some(upstream) = upstream {
            let limit = report.limit.min(2.0 * upstream.listed_rate.unwrap_or(f64::INFINITY));
            upstream.last_report = Some(LimitReport { limit, ..report });
        }
    }

    /// Records the outcome of a dispatch, `elapsed` after it was sent. `completed` is set if the packet is
    /// completed with it, so that it is not dispatched again.
    pub fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
    ) {
        self.record_attributed_outcome(now, id, elapsed, outcome, completed, Attribution::First);
    }

    /// Like [`record_outcome`](Self::record_outcome), with whether the response is known to belong to the
    /// dispatch. In doubt, any outcome but a completion leaves it open whether the dispatch was or will be
    /// executed.
    pub fn record_attributed_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        completed: bool,
        attribution: Attribution,
    ) {
        self.now = now.max(self.now);
        let Some(tracked) = self.packets.get_mut(&id) else { return };
        let upstreams = self
            .destinations
            .get(&tracked.packet.destination)
            .into_iter()
            .flat_map(|destination| &destination.upstreams);
        // Where limits are reported, the rate alone holds back refused packets.
        let has_no_limit =
            |upstream: &Upstream| upstream.last_report.is_none() && upstream.listed_rate.is_none();
        let limit_unknown = self.parameters.sparse_traffic
            && upstreams.into_iter().all(|upstream_id| has_no_limit(&self.upstreams[upstream_id]));
        tracked.refused |= limit_unknown && matches!(outcome, Outcome::Full(_));
        // After `Moot` the packet gets no further dispatches.
        let min_dispatches =
            if outcome == Outcome::Moot { self.parameters.settings.max_dispatches } else { 0 };
        tracked.packet.dispatches -= u32::from(outcome == Outcome::Unsent);
        tracked.packet.dispatches = tracked.packet.dispatches.max(min_dispatches);
        let (state, key, destination) = (tracked.state, tracked.packet.key, tracked.packet.destination);
        let (PacketState::InFlight(call, _) | PacketState::Withdrawn(call)) = state else { return };
        let upstream_id = self.calls.get(call).map(|call| call.upstream_id);
        let endpoint = self.calls.get(call).map(|call| call.endpoint);
        let health = |sender: &Self| Some(sender.upstreams.get(&upstream_id?)?.health.state());
        let health_before = health(self);
        let sent_at = self.learn_from(call, elapsed, outcome, attribution);
        if let (Some((upstream_id, endpoint)), Some(before), Some(after)) =
            (upstream_id.zip(endpoint), health_before, health(self))
        {
            self.record_health_change(upstream_id, endpoint, before, after);
        }
        self.response_doubt.record_attribution(attribution);
        let may_still_execute = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
            || (attribution == Attribution::InDoubt && outcome != Outcome::Done && !completed);
        if let (true, Some(key)) = (may_still_execute, key) {
            self.key_queues.block(key, now.saturating_add(self.parameters.settings.key_block_time));
        }
        let (PacketState::InFlight(_, possibly_executed_at), false) =
            (state, completed || outcome == Outcome::Done)
        else {
            return self.change_state(id, PacketState::Completed);
        };
        let may_have_executed = may_still_execute || outcome == Outcome::Error;
        self.change_state(
            id,
            PacketState::Held(possibly_executed_at.or(may_have_executed.then_some(sent_at))),
        );
        if self.parameters.sparse_traffic {
            self.slowed_destinations.insert(destination);
        }
    }

    /// How long the response that a copy displaced is awaited: the time within which an endpoint that answers at
    /// all usually would have sent it.
    pub fn settle_time(&self) -> Duration {
        self.parameters.settle_time()
    }

    /// Which connections may carry a call with these packets.
    pub fn connection_choice(&self, now: Duration, packets: &[PacketId]) -> ConnectionChoice {
        let tracked = || packets.iter().filter_map(|id| self.packets.get(id));
        let is_probe = |tracked: &TrackedPacket| match tracked.state {
            PacketState::InFlight(call, _) => self
                .calls
                .get(call)
                .is_some_and(|call| self.upstreams[&call.upstream_id].health.receives_only_probes()),
            _ => false,
        };
        let needs = CallNeeds {
            exact_outcome: tracked().any(|tracked| tracked.category.repeat == Repeat::Unrepeatable),
            in_order: tracked().any(|tracked| tracked.category.in_order && tracked.packet.key.is_some()),
            is_probe: tracked().any(is_probe),
        };
        self.response_doubt.connection_choice(now, needs)
    }

    /// Records a response that belongs to no call. A Retry-After wait in it applies nevertheless: it may be
    /// the response that a copy displaced.
    pub fn record_extra_response(&mut self, now: Duration, endpoint: EndpointId, wait: Option<Duration>) {
        self.response_doubt.record_extra_response(now);
        if let Some(wait) = wait {
            self.record_wait(now, endpoint, wait);
        }
    }

    /// Records a Retry-After wait that was requested before the outcome of its call is known.
    pub fn record_wait(&mut self, now: Duration, endpoint: EndpointId, wait: Duration) {
        let listed = self.endpoints.get(&endpoint).map(|endpoint| endpoint.upstream_id);
        let Some(id) = listed.or_else(|| self.departed_endpoints.upstream_id(endpoint)) else { return };
        let in_use = self.destinations.get(&id.0).is_some_and(|known| known.upstreams.contains(&id));
        let upstream = self.upstreams.begin_use(id);
        upstream.blocked_until = upstream.blocked_until.max(now.saturating_add(wait));
        if !in_use {
            let retention = upstream.retention(now, now, &self.parameters);
            self.upstreams.end_use(id, retention);
        }
    }

    /// Whether a connection in doubt waits for [`settle_time`](Self::settle_time) before its next call.
    pub fn must_settle_before_reuse(&self, now: Duration) -> bool {
        self.response_doubt.must_settle_before_reuse(now)
    }

    /// Whether a connection is closed once it has settled in doubt.
    pub fn closes_settled_in_doubt(&self) -> bool {
        self.response_doubt.closes_settled_in_doubt()
    }

    /// Records a change of the health of a call's upstream.
    fn record_health_change(
        &mut self,
        (destination, route): UpstreamId,
        endpoint: EndpointId,
        before: HealthState,
        after: HealthState,
    ) {
        if before != after && self.health_changes.len() < MAX_HEALTH_CHANGES {
            let endpoint = route.map(|_| endpoint);
            self.health_changes.push(HealthChange { destination, endpoint, before, after });
        }
    }

    /// Removes and returns the changes of health that outcomes have caused since the last call, oldest first.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.health_changes)
    }

    /// Whether packets of a category may be dispatched again after a dispatch that may have executed.
    pub fn may_repeat(&self, category: CategoryId) -> bool {
        self.parameters.settings.categories[category.0].repeat != Repeat::Unrepeatable
    }

    /// Learns from the outcome of a call, once for all its packets. Returns when the call was sent.
    fn learn_from(
        &mut self,
        call: u64,
        elapsed: Duration,
        outcome: Outcome,
        attribution: Attribution,
    ) -> Duration {
        let (now, parameters) = (self.now, &self.parameters);
        let jitter = self.rng.as_mut().map_or(0.5, |rng| rng.random());
        let Some(call) = self.calls.get_mut(call) else { return now };
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return call.sent_at };
        let Some(upstream) = self.upstreams.get_mut(&call.upstream_id) else { return call.sent_at };
        // The outcomes of one call may arrive in several rounds, each with its wait counted anew: the longest
        // applies.
        if let Outcome::Full(Some(wait)) = outcome {
            upstream.apply_retry_after(now.saturating_add(wait), wait > parameters.min_soft_limit, jitter);
        }
        if std::mem::replace(&mut call.outcome_recorded, true) {
            return call.sent_at;
        }
        upstream.local_error_backoff =
            if outcome == Outcome::Unsent { upstream.local_error_backoff } else { Duration::ZERO };
        self.idle_candidates.insert(call.endpoint);
        let [answers, losses, refusals, connection_limits] = &mut self.kind_counters[endpoint.kind.0];
        let (refused, answered) = (
            refusals.read(now, parameters.min_soft_limit * 8),
            answers.read(now, parameters.min_soft_limit * 8),
        );
        // Share of the calls to this kind that were not refused, damped by four additional calls. It is
        // measured per kind because each upstream alone provides too few calls.
        let kind_headroom = if parameters.sparse_traffic {
            (1.0 - refused / (refused + answered + 4.0)).powi(4)
        } else {
            1.0
        };
        match outcome {
            Outcome::Done
                if !ResponseDoubt::proves_health(attribution, upstream.health.receives_only_probes()) => {}
            Outcome::Done => {
                endpoint.concurrency_limit = (endpoint.concurrency_limit + 1).min(parameters.settings.slots);
                answers.add(now, parameters.min_soft_limit * 8);
                self.retry_budget =
                    (self.retry_budget + RETRIES_PER_ANSWER).min(parameters.settings.slots as f64);
                upstream.record_success(now, elapsed, kind_headroom, parameters);
                self.parameters.mean_answer_time = (self.parameters.mean_answer_time * 7 + elapsed) / 8;
            }
            Outcome::Full(_) => {
                refusals.add(now, parameters.min_soft_limit * 8);
                upstream.record_refusal(now, call.sent_at, jitter, kind_headroom, parameters);
                if upstream.refusal_may_be_outage(parameters) {
                    // Where limits are reported, a refusal without a report of a used-up limit is a stronger
                    // sign of an outage. The jitter is inverted, so that it does not coincide with that of
                    // the token bucket.
                    let min_backoff =
                        parameters.min_soft_limit / if parameters.settings.limits_reported { 1 } else { 2 };
                    upstream.back_off(now, min_backoff, 1.0 - jitter, parameters);
                }
            }
            Outcome::NoRoom => {
                let (kind, is_first) = (
                    endpoint.kind,
                    connection_limits.read(now, parameters.min_soft_limit * 8) <= IDLE_CLOSE_THRESHOLD,
                );
                connection_limits.add(now, parameters.min_soft_limit * 8);
                upstream.record_connection_limit(now, jitter, parameters);
                if is_first {
                    // Idle connections left at any endpoint of this kind take up what other senders need.
                    // Later calls leave none.
                    let same_kind = self.endpoints.iter().filter(|(_, other)| other.kind == kind);
                    self.idle_candidates.extend(same_kind.map(|(id, _)| *id));
                }
            }
            Outcome::Unsent => upstream.record_local_error(now),
            Outcome::NoSlot | Outcome::Moot => {}
            // A peer that closes connections early is not an outage; refused connection attempts soon reveal
            // one. Trade-off: until then an outage goes undetected.
            Outcome::Reset if !parameters.sparse_traffic => {
                upstream.record_loss(now, RESET_LOSS_WEIGHT, false, parameters)
            }
            _ => {
                losses.add(now, parameters.min_soft_limit * 8);
                endpoint.concurrency_limit = 1;
                let previous_health = upstream.health;
                upstream.record_loss(
                    now,
                    if parameters.sparse_traffic { EJECTION_LOSSES / 2.0 } else { 1.0 },
                    true,
                    parameters,
                );
                let min_backoff =
                    upstream.last_report.map_or(parameters.min_soft_limit / 2, |_| Duration::ZERO);
                upstream.back_off(now, min_backoff, jitter, parameters);
                if parameters.sparse_traffic && upstream.health != previous_health {
                    // The random fill keeps the senders from probing at the same time.
                    upstream.bucket = TokenBucket { tokens: Some(jitter), updated_at: now };
                } else if parameters.sparse_traffic && previous_health == Health::Healthy {
                    // A full token at the end of the backoff: the backoff alone determines the next call.
                    upstream.bucket = TokenBucket { tokens: Some(1.0), updated_at: upstream.blocked_until };
                }
            }
        }
        call.sent_at
    }

    /// Makes every change of a packet's state: removes the packet from the collections of the state it leaves
    /// and adds it to those of the state it enters.
    fn change_state(&mut self, id: PacketId, to: PacketState) {
        let Some(tracked) = self.packets.get_mut(&id) else { return };
        let from = std::mem::replace(&mut tracked.state, to);
        let destination = tracked.packet.destination;
        match (from, to) {
            (PacketState::InFlight(..), PacketState::Withdrawn(_)) => return,
            (PacketState::Held(_), _) => {
                let expires_at = tracked.expires_at.take();
                self.expirations.remove(&(expires_at.unwrap_or_default(), id));
                self.held.remove(destination, id);
            }
            (PacketState::InFlight(call, _) | PacketState::Withdrawn(call), _) => {
                self.calls.remove_packet(call, id);
            }
            _ => {}
        }
        match to {
            PacketState::Held(_) => self.hold(id),
            PacketState::InFlight(call, _) => {
                if let Some(call) = self.calls.get_mut(call) {
                    call.pending_packets.push(id);
                }
            }
            PacketState::Withdrawn(_) => {}
            PacketState::Completed | PacketState::Dismissed | PacketState::Scrapped => self.remove_packet(id),
        }
    }

    /// Puts a packet into the hold and schedules its expiration. If it may not be dispatched again, or could
    /// not be dispatched in time, it fails in the next round.
    fn hold(&mut self, id: PacketId) {
        let Some(tracked) = self.packets.get(&id) else { return };
        let (destination, deadline) = (tracked.packet.destination, self.dispatch_deadline(tracked));
        let (listed, listing_deadline) = (
            self.destination_list.contains(destination),
            self.now.saturating_add(tracked.category.soft_limit),
        );
        // An endpoint may be listed in the meantime; `fail_due_packets` checks that.
        let until = if listed || tracked.is_restored_and_untried() {
            deadline
        } else {
            deadline.min(listing_deadline)
        };
        self.destinations.entry(destination).or_default().last_held_at = self.now;
        self.cleanup_candidates.extend((!listed).then_some(destination));
        let wait = self.estimated_wait(destination, self.held.count(destination));
        let may_not_repeat =
            tracked.category.repeat == Repeat::Unrepeatable && tracked.state != PacketState::Held(None);
        let exhausted =
            may_not_repeat || tracked.packet.dispatches >= self.parameters.settings.max_dispatches;
        if exhausted || self.would_expire(wait, tracked) {
            self.pending_failures.push((id, Some(wait)));
        }
        self.held.insert(destination, id, tracked.shedding_order());
        let until = tracked.expires_at.map_or(until, |earlier| earlier.min(until));
        self.set_expiration(id, until);
    }

    /// Schedules the expiration of a held packet, in place of an earlier one.
    fn set_expiration(&mut self, id: PacketId, at: Duration) {
        let Some(tracked) = self.packets.get_mut(&id) else { return };
        if let Some(previous) = tracked.expires_at.replace(at) {
            self.expirations.remove(&(previous, id));
        }
        self.expirations.insert((at, id));
    }

    /// How long a packet waits behind `packets_ahead` held ones of its destination: until those are
    /// dispatched at the current rate and, with sparse traffic, at least until an upstream is available.
    fn estimated_wait(&self, destination: DestinationId, packets_ahead: usize) -> Duration {
        let Some(destination_state) = self.destinations.get(&destination) else { return Duration::ZERO };
        let rate_of =
            |upstream: &Upstream| upstream.rate.map_or(f64::INFINITY, |rate| rate.max(upstream.target_rate));
        let rate: f64 = self.upstreams_of(&destination).map(rate_of).sum();
        let available_in = self
            .upstreams_of(&destination)
            .map(|upstream| upstream.available_in(self.now, &self.parameters))
            .min();
        let queueing = time_to_accrue(packets_ahead as f64, rate * destination_state.max_batch.max(1) as f64);
        queueing.max(available_in.filter(|_| self.parameters.sparse_traffic).unwrap_or_default())
    }

    /// Whether the wait for a token lasts beyond a packet's deadline; such a packet is dismissed at once,
    /// with the wait as Retry-After. A packet that the previous process accepted and did not dispatch is
    /// tried, unless a wait or backoff of all its upstreams lasts beyond its deadline.
    fn would_expire(&self, wait: Duration, tracked: &TrackedPacket) -> bool {
        let upstreams = self.upstreams_of(&tracked.packet.destination);
        let Some(blocked) = upstreams.map(|upstream| upstream.blocked_until).min() else { return false };
        let until = if tracked.is_restored_and_untried() { blocked } else { self.now.saturating_add(wait) };
        until > tracked.packet.deadline
    }

    /// Checks the held packets of a destination again after an upstream's rate was reduced, because otherwise
    /// they would continue to wait although the upstream becomes available only after their deadline.
    fn fail_packets_that_would_expire(&mut self, destination: DestinationId) {
        let Some(held) = self.held.get(destination) else { return };
        let longest_wait = self.estimated_wait(destination, held.len().saturating_sub(1));
        let none_expires = |earliest_deadline| self.now.saturating_add(longest_wait) <= earliest_deadline;
        if held.earliest_deadline().is_none_or(none_expires) {
            return;
        }
        let waits = held
            .packets()
            .enumerate()
            .map(|(packets_ahead, id)| (id, self.estimated_wait(destination, packets_ahead)));
        let expiring = waits.filter(|(id, wait)| self.would_expire(*wait, &self.packets[id]));
        let expiring: Vec<_> = expiring.map(|(id, wait)| (id, Some(wait))).collect();
        self.pending_failures.extend(expiring);
    }

    /// Until when a packet may be dispatched: by its patience and, if it may have been executed, by how long
    /// the endpoints recognize a repeated dispatch.
    fn dispatch_deadline(&self, tracked: &TrackedPacket) -> Duration {
        let repeat_deadline = match (tracked.state, tracked.category.repeat) {
            (
                PacketState::Held(Some(possibly_executed_at))
                | PacketState::InFlight(_, Some(possibly_executed_at)),
                Repeat::Deduplicated { memory, .. },
            ) => possibly_executed_at.saturating_add(memory),
            _ => Duration::MAX,
        };
        repeat_deadline
            .min(tracked.packet.deadline)
            .saturating_sub(tracked.category.soft_limit / DEADLINE_MARGIN_DIVISOR)
    }

    fn remove_packet(&mut self, id: PacketId) {
        if let Some(key) = self.packets.remove(&id).and_then(|tracked| tracked.packet.key) {
            self.key_queues.remove(key, id, self.now);
        }
    }

    /// Runs one round of decisions.
    pub fn decide(&mut self, now: Duration, host: &mut impl Host) {
        self.now = now.max(self.now);
        if self.list_request_at.take_if(|at| *at <= self.now).is_some() {
            host.request_list();
        }
        self.run_phase(RoundPhase::FailDuePackets, |sender| sender.fail_due_packets(host));
        self.run_phase(RoundPhase::CloseIdle, |sender| sender.close_idle(host));
        self.run_phase(RoundPhase::DetectStalls, Self::detect_stalls);
        self.run_phase(RoundPhase::ShedLoad, |sender| sender.shed_load(host));
        self.run_phase(RoundPhase::CancelStalledCalls, |sender| sender.cancel_stalled_calls(host));
        self.run_phase(RoundPhase::AssignSlots, |sender| sender.assign_slots(host));
        self.run_phase(RoundPhase::ScheduleWake, |sender| sender.schedule_wake(host));
    }

    /// Runs a phase of a round and counts the table entries that it accesses.
    fn run_phase(&mut self, phase: RoundPhase, run: impl FnOnce(&mut Self)) {
        let before = self.entries_visited();
        run(self);
        let visits = self.entries_visited() - before;
        self.phase_visits.add(phase, visits);
    }

    /// Fails the packets that are marked for failure, and those whose dispatch deadline has passed or whose
    /// destination has not been listed within a soft limit.
    fn fail_due_packets(&mut self, host: &mut impl Host) {
        for destination in std::mem::take(&mut self.slowed_destinations) {
            self.fail_packets_that_would_expire(destination);
        }
        for (id, wait) in std::mem::take(&mut self.pending_failures) {
            self.fail_packet(id, wait, host);
        }
        while let Some((at, id)) = self.expirations.first().copied().filter(|(at, _)| *at <= self.now) {
            self.expirations.remove(&(at, id));
            let Some(tracked) = self.packets.get(&id) else { continue };
            let until = self.dispatch_deadline(tracked);
            if until > self.now && self.destination_list.contains(tracked.packet.destination) {
                self.set_expiration(id, until);
            } else {
                self.fail_packet(id, None, host);
            }
        }
    }

    /// Idle connection closing: with many senders, idle connections fill the endpoints' connection limits,
    /// and connections are dropped unnoticed. Trade-off: additional handshakes.
    fn close_idle(&mut self, host: &mut impl Host) {
        for id in std::mem::take(&mut self.idle_candidates) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let (now, window) = (self.now, self.parameters.min_soft_limit * 8);
            let [answers, losses, _, connection_limits] = &self.kind_counters[endpoint.kind.0];
            // Once a connection limit was reached, other senders need the capacity that an idle connection
            // takes up, however many calls are answered.
            let needed_elsewhere = losses.read(now, window)
                > answers.read(now, window) * IDLE_CLOSE_THRESHOLD
                || connection_limits.read(now, window) > IDLE_CLOSE_THRESHOLD;
            if needed_elsewhere && self.parameters.sparse_traffic && self.calls.count_at(id) == 0 {
                host.close_idle(id);
            }
        }
    }

    /// Completes a held packet without success: dismissed where the category lets the client submit it again
    /// safely, scrapped otherwise.
    fn fail_packet(&mut self, id: PacketId, wait: Option<Duration>, host: &mut impl Host) {
        let Some(tracked) = self.packets.get(&id) else { return };
        let PacketState::Held(possibly_executed_at) = tracked.state else { return };
        let may_resubmit = possibly_executed_at.is_none() || tracked.category.repeat != Repeat::Unrepeatable;
        if may_resubmit {
            let wait = wait.unwrap_or_default().max(tracked.category.soft_limit / DEADLINE_MARGIN_DIVISOR);
            host.dismiss(id, self.parameters.settings.max_retry_after.map(|max| wait.min(max)));
            self.change_state(id, PacketState::Dismissed);
        } else {
            host.scrap(id);
            self.change_state(id, PacketState::Scrapped);
        }
    }

    /// Stall detection: where calls are accepted and not answered, an upstream gets one new call at a time
    /// already before the first timeout. Trade-off: the upstream is underused behind one slow call. Not done
    /// with sparse traffic, where other calls seldom show that the upstream answers.
    fn detect_stalls(&mut self) {
        for call in self.calls.values() {
            let Some(upstream) = self.upstreams.get_mut(&call.upstream_id) else { continue };
            let stalled = !self.parameters.sparse_traffic
                && self.now >= call.sent_at + upstream.stall_timeout(&self.parameters);
            if stalled
                && upstream.health == Health::Healthy
                && upstream.last_success_at.is_none_or(|at| at < call.sent_at)
            {
                upstream.health = Health::Unresponsive;
            }
        }
    }

    /// Load shedding: before a failing destination fills the hold, the destination with the most held packets
    /// loses one of them; see [`TrackedPacket::shedding_order`].
    fn shed_load(&mut self, host: &mut impl Host) {
        while self.packets.len() > self.parameters.shedding_threshold {
            let Some(victim) = self.held.first_to_shed() else { return };
            self.fail_packet(victim, self.parameters.settings.max_retry_after, host);
        }
    }

    /// Cancels stalled calls, so that they do not occupy all slots: where a healthy destination has packets
    /// waiting, stalled calls beyond an eighth of the slots are cancelled, those with repeatable packets
    /// first. At a healthy upstream, which may just be slow, a call counts as stalled after twice the stall
    /// timeout. Trade-off: an answer may be lost that was about to arrive.
    fn cancel_stalled_calls(&mut self, host: &mut impl Host) {
        if !self.parameters.settings.can_cancel
            || self.calls.len() < self.parameters.settings.slots
            || !self.healthy_destination_waits()
        {
            return;
        }
        let mut stalled: Vec<(bool, Duration, u64)> = Vec::new();
        for (id, call) in self.calls.iter() {
            let upstream = &self.upstreams[&call.upstream_id];
            let may_be_slow = !self.parameters.sparse_traffic
                || upstream.stall_timeout(&self.parameters) > self.parameters.min_soft_limit / 3;
            let timeouts = if upstream.health == Health::Healthy && may_be_slow { 2 } else { 1 };
            if self.now >= call.sent_at + upstream.stall_timeout(&self.parameters) * timeouts {
                let unrepeatable = call
                    .pending_packets
                    .iter()
                    .any(|packet| self.packets[packet].category.repeat == Repeat::Unrepeatable);
                stalled.push((unrepeatable, call.sent_at, id));
            }
        }
        stalled.sort();
        for (_, _, id) in
            stalled.iter().take(stalled.len().saturating_sub(self.parameters.settings.slots / 8))
        {
            if let Some(call) = self.calls.get_mut(*id).filter(|call| !call.cancelled) {
                call.cancelled = true;
                for packet in &call.pending_packets {
                    host.cancel(*packet, self.packets[packet].packet.dispatches - 1);
                }
            }
        }
    }

    /// Whether a destination with a healthy upstream has held packets and is below its concurrency limit.
    fn healthy_destination_waits(&self) -> bool {
        let mut waiting =
            self.held.destinations().filter(|id| self.calls.count_to(*id) < self.concurrency_limit(id));
        waiting.any(|id| self.upstreams_of(&id).any(|upstream| upstream.health == Health::Healthy))
    }

    /// Assigns free slots to destinations with a token. The next slot goes to the destination that is
    /// furthest below its max-min fair share and, among equals, to the one with the shorter answer time:
    /// where slots are scarce, one call to a slow destination takes as long as many calls to others.
    fn assign_slots(&mut self, host: &mut impl Host) {
        if self.calls.len() >= self.parameters.settings.slots {
            return;
        }
        let available = |upstream: &Upstream| upstream.available_in(self.now, &self.parameters).is_zero();
        let ready: Vec<_> =
            self.held.destinations().filter(|id| self.upstreams_of(id).any(available)).collect();
        if ready.is_empty() {
            return;
        }
        let shares = self.max_min_shares();
        let answer_time = |upstream: &Upstream| upstream.expected_answer_time(&self.parameters);
        let candidates = ready.into_iter().map(|id| SlotCandidate {
            below_share: shares[&id] - self.calls.count_to(id) as f64,
            answer_time: self.upstreams_of(&id).map(answer_time).min(),
            destination: id,
        });
        let mut candidates = SlotCandidates::new(candidates);
        let mut round = DispatchRound { probes: self.probes_in_flight(), ..DispatchRound::default() };
        while self.calls.len() < self.parameters.settings.slots {
            let Some(next) = candidates.first() else { return };
            if self.dispatch_call(next, &mut round, host) {
                let below_share = shares[&next] - self.calls.count_to(next) as f64;
                candidates.update_first(below_share);
            } else {
                candidates.remove_first();
            }
        }
    }

    /// Number of calls in flight to unresponsive or ejected upstreams.
    fn probes_in_flight(&self) -> usize {
        let is_probe = |call: &&Call| self.upstreams[&call.upstream_id].health.receives_only_probes();
        self.calls.values().filter(is_probe).count()
    }

    /// Max-min fair shares of the slots by demand, which is the calls in flight and packets held, up to the
    /// concurrency limit.
    fn max_min_shares(&self) -> BTreeMap<DestinationId, f64> {
        let competing: BTreeSet<_> = self.held.destinations().chain(self.calls.destinations()).collect();
        let demand = |id: &DestinationId| {
            let packets = self.calls.count_to(*id) + self.held.count(*id);
            packets.min(self.concurrency_limit(id)) as f64
        };
        let mut demands: Vec<_> = competing.iter().map(|id| (demand(id), *id)).collect();
        demands.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut remaining_slots, mut remaining_destinations) =
            (self.parameters.settings.slots as f64, demands.len() as f64);
        let mut shares = BTreeMap::new();
        for (demand, id) in demands {
            let share = demand.min(remaining_slots / remaining_destinations);
            shares.insert(id, share);
            (remaining_slots, remaining_destinations) =
                (remaining_slots - share, remaining_destinations - 1.0);
        }
        shares
    }

    /// Concurrency limit of a destination: three quarters of the slots, half of them while it is failing or
    /// slow.
    fn concurrency_limit(&self, id: &DestinationId) -> usize {
        let degraded = |upstream: &Upstream| {
            upstream.health != Health::Healthy
                || upstream.expected_answer_time(&self.parameters) > self.parameters.min_soft_limit
        };
        let degraded = self.upstreams_of(id).any(degraded);
        let limit = if degraded {
            self.parameters.settings.slots / 2
        } else {
            self.parameters.settings.slots * 3 / 4
        };
        limit.max(1)
    }

    /// Sends one call to a destination, with up to the maximum batch of packets. Returns `false` if none can
    /// be sent now.
    fn dispatch_call(&mut self, id: DestinationId, round: &mut DispatchRound, host: &mut impl Host) -> bool {
        if self.calls.count_to(id) >= self.concurrency_limit(&id) {
            return false;
        }
        let Some(endpoint_id) = self.choose_endpoint(id, round.probes) else { return false };
        let upstream_id = self.endpoints[&endpoint_id].upstream_id;
        let packets = self.next_batch(id, upstream_id, round, host);
        if packets.is_empty() {
            return false;
        }
        let (call_id, sent_at) = (self.next_call_id, self.now);
        self.next_call_id += 1;
        let call = Call {
            endpoint: endpoint_id,
            upstream_id,
            sent_at,
            pending_packets: vec![],
            outcome_recorded: false,
            cancelled: false,
        };
        self.calls.insert(call_id, call);
        let upstream = self.upstreams.begin_use(upstream_id);
        round.probes += usize::from(upstream.health.receives_only_probes());
        if let Some((rate, burst)) = upstream.rate_and_burst(sent_at, &self.parameters) {
            upstream.bucket.try_take(sent_at, rate, burst);
        }
        for packet in packets {
            let timeout = self.dispatch_timeout(packet);
            let Some(tracked) = self.packets.get_mut(&packet) else { continue };
            let PacketState::Held(possibly_executed_at) = tracked.state else { continue };
            tracked.packet.dispatches += 1;
            self.retry_budget -= if tracked.refused { 1.0 } else { 0.0 };
            host.dispatch(packet, endpoint_id, timeout);
            self.change_state(packet, PacketState::InFlight(call_id, possibly_executed_at));
        }
        true
    }

    /// Takes the packets of a destination's next call from those that wait for this upstream. They are put in
    /// order once per round: nothing that the order depends on changes in between, and a packet that may not be
    /// dispatched now may not be later in the same round.
    fn next_batch(
        &self,
        id: DestinationId,
        upstream_id: UpstreamId,
        round: &mut DispatchRound,
        host: &impl Host,
    ) -> Vec<PacketId> {
        let may_dispatch = |packet: &PacketId| {
            let tracked = self.packets.get(packet);
            tracked.is_some_and(|tracked| matches!(tracked.state, PacketState::Held(_)))
                && self.may_dispatch(*packet)
        };
        let waiting = round.waiting.entry(upstream_id).or_insert_with(|| {
            let upstream = &self.upstreams[&upstream_id];
            let held = self.held.get(id).into_iter().flat_map(HeldQueue::packets);
            let mut ordered: Vec<_> = held
                .filter(may_dispatch)
                .map(|packet| (self.dispatch_order(packet, upstream), packet))
                .collect();
            ordered.sort();
            ordered.into_iter().map(|(_, packet)| packet).collect()
        });
        let max_batch = self.destinations[&id].max_batch.max(1);
        let (mut batch, mut size) = (Vec::new(), CallSize::default());
        while let Some(packet) = waiting.front().copied() {
            if may_dispatch(&packet) {
                if !size.try_add(host.entry_bytes(packet), max_batch) {
                    break;
                }
                batch.push(packet);
            }
            waiting.pop_front();
        }
        batch
    }

    /// A third of the patience, so that there is time to repeat the dispatch; all the remaining time for a
    /// packet that must not be repeated.
    fn dispatch_timeout(&self, id: PacketId) -> Duration {
        let TrackedPacket { packet, category, .. } = &self.packets[&id];
        let remaining = packet.deadline.saturating_sub(self.now);
        if category.repeat == Repeat::Unrepeatable { remaining } else { remaining.min(category.patience / 3) }
    }

    /// Chooses an endpoint at random, weighted by the number of further calls that its concurrency limit
    /// allows. Calls to unresponsive or ejected upstreams are probes; together they occupy at most half of
    /// the slots.
    fn choose_endpoint(&mut self, id: DestinationId, probes: usize) -> Option<EndpointId> {
        let probes_left = (self.parameters.settings.slots / 2).max(1).saturating_sub(probes);
        let (now, parameters) = (self.now, &self.parameters);
        let mut candidates: Vec<(f64, EndpointId)> = Vec::new();
        for id in &self.destinations[&id].endpoints {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            let upstream = &self.upstreams[&endpoint.upstream_id];
            let free = endpoint.concurrency_limit.saturating_sub(self.calls.count_at(*id));
            let unavailable =
                !endpoint.live || free == 0 || !upstream.available_in(now, parameters).is_zero();
            if !unavailable && (probes_left > 0 || !upstream.health.receives_only_probes()) {
                candidates.push((free as f64, *id));
            }
        }
        let rng = self.rng.as_mut()?;
        candidates.choose_weighted(rng, |(weight, _)| *weight).ok().map(|(_, id)| *id)
    }

    /// Whether the retry budget and the order of its key let a held packet be dispatched now.
    fn may_dispatch(&self, id: PacketId) -> bool {
        let tracked = &self.packets[&id];
        let within_budget = !tracked.refused || self.retry_budget >= 1.0;
        let key = tracked.packet.key.filter(|_| tracked.category.in_order);
        within_budget && key.is_none_or(|key| self.key_queues.is_next(key, id, self.now))
    }

    /// Sort key of a held packet: the lowest is dispatched first. Probes of an unresponsive or ejected
    /// upstream use packets that may be repeated, with the fewest dispatches. Otherwise packets within their
    /// customer's quota go first, then those that are not late, then those with the earliest due time.
    fn dispatch_order(
        &self,
        id: PacketId,
        upstream: &Upstream,
    ) -> (Option<(Repeat, u32)>, bool, bool, Duration) {
        let tracked = &self.packets[&id];
        let probe = upstream
            .health
            .receives_only_probes()
            .then_some((tracked.category.repeat, tracked.packet.dispatches));
        // Where the credit falls linearly, a late packet loses credit every second, while the others lose
        // none yet.
        let late = self.parameters.settings.credit_decay == CreditDecay::Halving
            && tracked.answer_due < self.now + upstream.expected_answer_time(&self.parameters);
        (probe, tracked.over_quota, late, if late { tracked.packet.deadline } else { tracked.answer_due })
    }

    /// Requests a wake at the next time at which a decision can change.
    fn schedule_wake(&mut self, host: &mut impl Host) {
        let (now, parameters) = (self.now, &self.parameters);
        let destinations = self.held.destinations().filter_map(|id| self.destinations.get(&id));
        let upstreams =
            destinations.flat_map(|destination| &destination.upstreams).map(|id| &self.upstreams[id]);
        let available = upstreams.map(|upstream| now.saturating_add(upstream.available_in(now, parameters)));
        let stalls = self
            .calls
            .values()
            .map(|call| call.sent_at + self.upstreams[&call.upstream_id].stall_timeout(parameters));
        let expiration = self.expirations.first().map(|(at, _)| *at);
        let times = available
            .chain(self.key_queues.next_unblocked(now))
            .chain(stalls)
            .chain(expiration)
            .chain(self.list_request_at);
        let Some(next) = times.filter(|at| *at > now && *at < Duration::MAX).min() else { return };
        if self.next_wake_at.is_none_or(|at| at <= now || next < at) {
            self.next_wake_at = Some(next);
            // The host's clock may be coarser: a wake just before its time would not be requested again.
            host.wake(next - now + Duration::from_micros(1));
        }
    }
}
