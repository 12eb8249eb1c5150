//! The plan of a run, made from an experiment and a seed before anything runs: the receivers, the times and
//! targets of all troubles, all changes of the list, and every packet that clients will submit. All
//! randomness comes from the seed.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Exp, LogNormal};
use sailcart::{
    CategoryId, CreditDecay, CustomerId, DestinationId, EndpointId, KeyId, KindId, ListEntry,
    RecoveryProfile, RouteId, Settings,
};

use crate::experiment::{self, Experiment, LabError, Repeat, Trouble, TroubleKind, start_times};

/// A planned packet. Each submission of it is a separate packet to the senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannedPacketId(pub usize);

/// A sender, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub usize);

/// A packet that a client will submit.
#[derive(Clone, Debug)]
pub struct PlannedPacket {
    /// When its client first submits it.
    pub at: Duration,
    pub destination: DestinationId,
    pub category: CategoryId,
    pub customer: Option<CustomerId>,
    pub key: Option<KeyId>,
    /// Whether it exceeds the quota of its customer.
    pub over_quota: bool,
}

/// An endpoint and the time for which it exists.
#[derive(Clone, Debug)]
pub struct PlannedEndpoint {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    /// The endpoint whose address it has: itself, or the one that it replaces.
    pub address_owner: EndpointId,
    /// When it is added.
    pub added_at: Duration,
    /// When it is removed; [`Duration::MAX`] if never.
    pub removed_at: Duration,
}

/// A destination, with the values drawn for it.
#[derive(Clone, Debug)]
pub struct Destination {
    /// Index of its group in the experiment.
    pub group: usize,
    pub name: String,
    pub kind: KindId,
    /// Median service time of a call with one packet.
    pub service_time: Duration,
    /// Calls per second that it accepts from all senders, as stated by the list.
    pub rate: f64,
    /// Calls per second that it can execute when warm; per endpoint if endpoints have their own limits.
    pub capacity: f64,
}

/// A trouble with its times and targets.
#[derive(Clone, Debug)]
pub struct ScheduledTrouble {
    pub trouble: Trouble,
    pub from: Duration,
    pub until: Duration,
    pub endpoints: Vec<EndpointId>,
    pub senders: Vec<SenderId>,
}

impl ScheduledTrouble {
    /// When the trouble kills senders, which ones, and for how long they are down. With `every`, each sender
    /// is killed once per interval until the trouble ends; the kills are spread evenly over the interval.
    pub fn sender_kills(&self, restart: Duration) -> Vec<(Duration, SenderId, Duration)> {
        let Some(every) = self.trouble.every else {
            let downtime = (self.until - self.from).max(restart);
            return self.senders.iter().map(|sender| (self.from, *sender, downtime)).collect();
        };
        let mut kills = Vec::new();
        let (mut interval_start, count) = (self.from, self.senders.len() as u32);
        while interval_start < self.until {
            for (index, sender) in self.senders.iter().enumerate() {
                kills.push((interval_start + every * index as u32 / count, *sender, restart));
            }
            interval_start += every;
        }
        kills
    }

    /// Whether the trouble is active.
    pub fn is_active(&self, now: Duration) -> bool {
        self.from <= now && now < self.until
    }
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    Ready,
    Draining,
    Removed,
}

/// A change of the list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    pub at: Duration,
    pub endpoint: EndpointId,
    pub state: ListState,
}

/// Everything that is determined before a run.
#[derive(Clone)]
pub struct Plan {
    pub experiment: Experiment,
    pub seed: u64,
    pub settings: Settings,
    pub destinations: Vec<Destination>,
    pub endpoints: Vec<PlannedEndpoint>,
    pub scheduled_troubles: Vec<ScheduledTrouble>,
    /// Ordered by time; the state at the start is not included.
    pub list_changes: Vec<ListChange>,
    /// Ordered by time.
    pub planned_packets: Vec<PlannedPacket>,
}

/// Creates the random number generator of one use. Each use has an independent stream, so that a change in
/// one does not affect the random values of the others.
pub fn seeded_rng(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

impl Plan {
    /// Makes the plan of an experiment.
    ///
    /// # Errors
    ///
    /// Troubles that refer to unknown ones, or to each other in a cycle.
    pub fn new(experiment: Experiment, seed: u64) -> Result<Plan, LabError> {
        let starts_at = start_times(&experiment)?;
        let (destinations, mut endpoints) = initial_fleet(&experiment, seed);
        let mut scheduled_troubles = Vec::new();
        for (trouble, from) in experiment.troubles.iter().zip(starts_at) {
            scheduled_troubles.push(schedule_trouble(&experiment, trouble, from, &destinations, &endpoints));
        }
        let list_changes = list_changes(&scheduled_troubles, &mut endpoints);
        let planned_packets = planned_packets(&experiment, seed, &destinations, &scheduled_troubles);
        let settings = sender_settings(&experiment);
        Ok(Plan {
            experiment,
            seed,
            settings,
            destinations,
            endpoints,
            scheduled_troubles,
            list_changes,
            planned_packets,
        })
    }

    /// The destination with this id.
    ///
    /// # Panics
    ///
    /// The plan has no such destination.
    pub fn destination(&self, id: DestinationId) -> &Destination {
        &self.destinations[id.0 as usize]
    }

    /// The endpoint with this id.
    ///
    /// # Panics
    ///
    /// The plan has no such endpoint.
    pub fn endpoint(&self, id: EndpointId) -> &PlannedEndpoint {
        &self.endpoints[id.0 as usize]
    }

    /// The category with this id.
    ///
    /// # Panics
    ///
    /// The experiment has no such category.
    pub fn category(&self, id: CategoryId) -> &experiment::Category {
        &self.experiment.categories[id.0]
    }

    /// The group that a destination belongs to.
    ///
    /// # Panics
    ///
    /// The plan has no such destination.
    pub fn group(&self, id: DestinationId) -> &experiment::Destinations {
        &self.experiment.destinations[self.destination(id).group]
    }

    /// Whether the endpoints of a destination have their own limits.
    pub fn own_limits(&self, id: DestinationId) -> bool {
        self.experiment.kinds[self.destination(id).kind.0].own_limits
    }

    /// The list entry of an endpoint.
    pub fn list_entry(&self, endpoint: EndpointId, live: bool) -> ListEntry {
        let planned_endpoint = self.endpoint(endpoint);
        let destination = self.destination(planned_endpoint.destination);
        let rate = if self.experiment.senders.rates_listed { destination.rate } else { 0.0 };
        ListEntry {
            endpoint,
            route: RouteId(endpoint.0.into()),
            destination: planned_endpoint.destination,
            kind: destination.kind,
            live,
            rate,
        }
    }

    /// The list at a given time.
    pub fn list_at(&self, now: Duration) -> Vec<ListEntry> {
        let mut live: BTreeMap<EndpointId, bool> =
            self.endpoints.iter().filter(|p| p.added_at.is_zero()).map(|p| (p.endpoint, true)).collect();
        for change in self.list_changes.iter().take_while(|change| change.at <= now) {
            match change.state {
                ListState::Ready => live.insert(change.endpoint, true),
                ListState::Draining => live.insert(change.endpoint, false),
                ListState::Removed => live.remove(&change.endpoint),
            };
        }
        live.into_iter().map(|(endpoint, live)| self.list_entry(endpoint, live)).collect()
    }

    /// When a sender learns of a change: after a random delay, and not while its discovery is unresponsive.
    pub fn list_change_received_at(&self, change: &ListChange, sender: SenderId) -> Duration {
        let stream = (sender.0 as u64) << 32 | u64::from(change.endpoint.0) << 2 | change.state as u64;
        let delay_share = seeded_rng(self.seed ^ 0x115f, stream).random::<f64>();
        let mut at = change.at + self.experiment.network.list_delay.mul_f64(delay_share);
        for scheduled in &self.scheduled_troubles {
            let is_silent =
                scheduled.trouble.kind == TroubleKind::ListSilent && scheduled.senders.contains(&sender);
            if is_silent && scheduled.is_active(at) {
                at = scheduled.until;
            }
        }
        at
    }

    /// Until when a client resubmits a packet: within the patience and, if its destination recognises
    /// repeats, while it does so.
    pub fn resubmission_deadline(&self, planned_packet: PlannedPacketId) -> Duration {
        let planned = &self.planned_packets[planned_packet.0];
        let category = self.category(planned.category);
        planned.at + category.memory.map_or(category.patience, |memory| memory.min(category.patience))
    }

    /// The credit for a packet delivered `after` its first submission; 0 after the patience.
    pub fn credit(&self, planned: &PlannedPacket, after: Duration) -> f64 {
        let category = self.category(planned.category);
        if after > category.patience {
            return 0.0;
        }
        let late_by = after.saturating_sub(category.soft_limit).as_secs_f64();
        let soft_limit = category.soft_limit.as_secs_f64();
        let share = match credit_decay(&self.experiment) {
            _ if late_by == 0.0 => 1.0,
            CreditDecay::Linear => {
                let max_late_by = (category.patience - category.soft_limit).as_secs_f64().max(1e-6);
                1.0 - (1.0 - category.late_share) * late_by / max_late_by
            }
            CreditDecay::Halving => 0.5f64.powf(late_by / soft_limit).max(category.late_share),
        };
        share * self.full_credit(planned)
    }

    /// The credit for a packet delivered within its soft limit.
    pub fn full_credit(&self, planned: &PlannedPacket) -> f64 {
        let factor = if planned.over_quota { self.experiment.rules.over_share } else { 1.0 };
        self.category(planned.category).credit * factor
    }

    /// When the run ends: after the patience of the last packet and the time in which its completion may be
    /// reported.
    pub fn end(&self) -> Duration {
        let longest = self.experiment.categories.iter().map(|c| c.patience).max().unwrap_or_default();
        self.experiment.span + longest + self.experiment.rules.slack + Duration::from_secs(2)
    }
}

/// The destinations and endpoints that exist at the start.
fn initial_fleet(experiment: &Experiment, seed: u64) -> (Vec<Destination>, Vec<PlannedEndpoint>) {
    let mut rng = seeded_rng(seed, 1);
    let (mut destinations, mut planned_endpoints) = (Vec::new(), Vec::new());
    for (group_index, group) in experiment.destinations.iter().enumerate() {
        let kind = experiment.kinds.iter().position(|kind| kind.name == group.kind).unwrap_or_default();
        let own_limits = experiment.kinds[kind].own_limits;
        let draw = LogNormal::new(0.0, group.pace_spread.max(0.0)).ok();
        for number in 0..group.count {
            let service_time = group.pace.mul_f64(draw.as_ref().map_or(1.0, |draw| draw.sample(&mut rng)));
            let id = DestinationId(destinations.len() as u64);
            let mean_service_time = service_time.as_secs_f64() * (group.spread.powi(2) / 2.0).exp();
            let endpoint_count = if own_limits { 1 } else { group.endpoints };
            let capacity = (group.servers * endpoint_count) as f64 / mean_service_time;
            let is_limited = group.limit.by != experiment::LimitBy::None;
            let rate = if is_limited { group.limit.rate.min(capacity) } else { capacity };
            let name = if group.count > 1 { format!("{}/{number}", group.name) } else { group.name.clone() };
            destinations.push(Destination {
                group: group_index,
                name,
                kind: KindId(kind),
                service_time,
                rate,
                capacity,
            });
            for _ in 0..group.endpoints {
                let endpoint = EndpointId(planned_endpoints.len() as u32);
                let (added_at, removed_at) = (Duration::ZERO, Duration::MAX);
                planned_endpoints.push(PlannedEndpoint {
                    endpoint,
                    destination: id,
                    address_owner: endpoint,
                    added_at,
                    removed_at,
                });
            }
        }
    }
    (destinations, planned_endpoints)
}

/// Determines the times and targets of a trouble.
fn schedule_trouble(
    experiment: &Experiment,
    trouble: &Trouble,
    from: Duration,
    destinations: &[Destination],
    planned_endpoints: &[PlannedEndpoint],
) -> ScheduledTrouble {
    let is_target = |destination: &Destination| match &trouble.destinations {
        None => true,
        Some(target) => {
            destination.name == *target || experiment.destinations[destination.group].name == *target
        }
    };
    let mut endpoints = Vec::new();
    for (index, _) in destinations.iter().enumerate().filter(|(_, destination)| is_target(destination)) {
        let own_endpoints = planned_endpoints
            .iter()
            .filter(|planned_endpoint| planned_endpoint.destination.0 as usize == index);
        let chosen =
            own_endpoints.enumerate().filter(|(nth, _)| trouble.endpoint.is_none_or(|only| only == *nth));
        endpoints.extend(chosen.map(|(_, planned_endpoint)| planned_endpoint.endpoint));
    }
    let senders = match &trouble.senders {
        Some(senders) => senders.iter().copied().map(SenderId).collect(),
        None => (0..experiment.senders.count).map(SenderId).collect(),
    };
    ScheduledTrouble { trouble: trouble.clone(), from, until: from + trouble.lasts, endpoints, senders }
}

/// The changes of the list. Replacements are added to `planned_endpoints`.
fn list_changes(
    scheduled_troubles: &[ScheduledTrouble],
    planned_endpoints: &mut Vec<PlannedEndpoint>,
) -> Vec<ListChange> {
    let mut changes = Vec::new();
    for scheduled in scheduled_troubles {
        let is_replaced = match scheduled.trouble.kind {
            TroubleKind::Drain => false,
            TroubleKind::Replace => true,
            _ => continue,
        };
        let same_address = scheduled.trouble.same_address.unwrap_or(false);
        for endpoint in &scheduled.endpoints {
            changes.push(ListChange { at: scheduled.from, endpoint: *endpoint, state: ListState::Draining });
            changes.push(ListChange { at: scheduled.until, endpoint: *endpoint, state: ListState::Removed });
            planned_endpoints[endpoint.0 as usize].removed_at = scheduled.until;
            if is_replaced {
                let old_endpoint = planned_endpoints[endpoint.0 as usize].clone();
                let new_endpoint = EndpointId(planned_endpoints.len() as u32);
                // At the old address, the new one can only start when the old one is removed.
                let added_at = if same_address { scheduled.until } else { scheduled.from };
                let address_owner = if same_address { old_endpoint.address_owner } else { new_endpoint };
                planned_endpoints.push(PlannedEndpoint {
                    endpoint: new_endpoint,
                    address_owner,
                    added_at,
                    removed_at: Duration::MAX,
                    ..old_endpoint
                });
                changes.push(ListChange { at: added_at, endpoint: new_endpoint, state: ListState::Ready });
            }
        }
    }
    changes.sort_by_key(|change| (change.at, change.endpoint));
    changes
}

/// The planned packets: an even load, bursts, and the additional load of hot destinations.
fn planned_packets(
    experiment: &Experiment,
    seed: u64,
    destinations: &[Destination],
    scheduled_troubles: &[ScheduledTrouble],
) -> Vec<PlannedPacket> {
    let (load, span) = (&experiment.load, experiment.span.as_secs_f64());
    let mut rng = seeded_rng(seed, 2);
    let mut destination_count = vec![0u32; experiment.destinations.len()];
    let weights: Vec<f64> = destinations
        .iter()
        .map(|destination| {
            destination_count[destination.group] += 1;
            let group = &experiment.destinations[destination.group];
            let zipf_weight = |rank: u32| f64::from(rank).powf(-load.zipf);
            let total_weight: f64 = (1..=group.count as u32).map(zipf_weight).sum();
            group.weight * zipf_weight(destination_count[destination.group]) / total_weight
        })
        .collect();
    let Ok(destination_draw) = WeightedIndex::new(&weights) else { return Vec::new() };
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    let even_rate = load.rate * (1.0 - load.clumped);
    for at in poisson_times(&mut rng, even_rate, 0.0, span) {
        arrivals.push((at, destination_draw.sample(&mut rng)));
    }
    for at in poisson_times(&mut rng, load.rate * load.clumped / load.clump.max(1) as f64, 0.0, span) {
        let destination = destination_draw.sample(&mut rng);
        arrivals.extend((0..load.clump).map(|nth| (at + nth as f64 * 0.002, destination)));
    }
    for hot in scheduled_troubles.iter().filter(|scheduled| scheduled.trouble.kind == TroubleKind::Hot) {
        let mut targets: Vec<usize> =
            hot.endpoints.iter().map(|e| destination_index(destinations, experiment, *e)).collect();
        targets.dedup();
        let rate = load.rate * hot.trouble.share.unwrap_or(0.2);
        let until = hot.until.as_secs_f64().min(span);
        for at in poisson_times(&mut rng, rate, hot.from.as_secs_f64(), until) {
            arrivals.push((at, targets[rng.random_range(0..targets.len())]));
        }
    }
    arrivals.retain(|(at, _)| *at < span);
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    assign_attributes(experiment, seed, &arrivals)
}

/// Index of the destination of an endpoint that exists at the start; 0 for a later one.
fn destination_index(destinations: &[Destination], experiment: &Experiment, endpoint: EndpointId) -> usize {
    let mut remaining = endpoint.0 as usize;
    for (index, destination) in destinations.iter().enumerate() {
        let endpoint_count = experiment.destinations[destination.group].endpoints;
        if remaining < endpoint_count {
            return index;
        }
        remaining -= endpoint_count;
    }
    0
}

/// The times of a Poisson process between two times, in seconds.
fn poisson_times(rng: &mut ChaCha8Rng, rate: f64, from: f64, until: f64) -> Vec<f64> {
    let Ok(gap) = Exp::new(rate) else { return Vec::new() };
    let (mut at, mut times) = (from, Vec::new());
    loop {
        at += gap.sample(rng);
        if at >= until || !at.is_finite() {
            return times;
        }
        times.push(at);
    }
}

/// Assigns a category, a customer, a key and the quota state to each planned packet.
fn assign_attributes(experiment: &Experiment, seed: u64, arrivals: &[(f64, usize)]) -> Vec<PlannedPacket> {
    let mut rng = seeded_rng(seed, 3);
    let categories = WeightedIndex::new(experiment.categories.iter().map(|c| c.share)).ok();
    let customers = WeightedIndex::new(experiment.customers.iter().map(|c| c.share)).ok();
    let mut quotas: Vec<(f64, f64)> = experiment.customers.iter().map(|c| (c.quota, 0.0)).collect();
    let mut planned_packets = Vec::with_capacity(arrivals.len());
    for (at, destination) in arrivals {
        let category = categories.as_ref().map_or(0, |draw| draw.sample(&mut rng));
        let customer = customers.as_ref().map(|draw| draw.sample(&mut rng));
        let key = experiment.categories[category].in_order.then(|| {
            let key = rng.random_range(0..experiment.load.keys.max(1));
            KeyId(key << 20 | *destination as u64) // a key belongs to one destination
        });
        let over_quota = customer.is_some_and(|customer| {
            let quota = experiment.customers[customer].quota;
            let (tokens, updated_at) = &mut quotas[customer];
            *tokens = (*tokens + (at - *updated_at) * quota).min(quota.max(1.0));
            *updated_at = *at;
            let over_quota = *tokens < 1.0;
            *tokens -= if over_quota { 0.0 } else { 1.0 };
            over_quota
        });
        planned_packets.push(PlannedPacket {
            at: Duration::from_micros((at * 1e6) as u64),
            destination: DestinationId(*destination as u64),
            category: CategoryId(category),
            customer: customer.map(CustomerId),
            key,
            over_quota,
        });
    }
    planned_packets
}

/// The decay of credit as a setting of the sender.
fn credit_decay(experiment: &Experiment) -> CreditDecay {
    match experiment.late {
        experiment::Late::Line => CreditDecay::Linear,
        experiment::Late::Halves => CreditDecay::Halving,
    }
}

/// The settings of each sender at its start.
fn sender_settings(experiment: &Experiment) -> Settings {
    let senders = &experiment.senders;
    Settings {
        senders: senders.count,
        slots: senders.slots,
        max_held: senders.hold,
        max_dispatches: senders.dispatches,
        can_cancel: senders.cancel,
        connect_timeout: senders.connect_time_out,
        max_retry_after: senders.retry_after,
        key_block_time: experiment.rules.settle,
        categories: experiment
            .categories
            .iter()
            .map(|category| sailcart::Category {
                repeat: match category.repeat {
                    Repeat::Idempotent => sailcart::Repeat::Idempotent,
                    Repeat::Unrepeatable => sailcart::Repeat::Unrepeatable,
                    Repeat::Deduplicated => {
                        sailcart::Repeat::Deduplicated { memory: category.memory.unwrap_or_default() }
                    }
                },
                in_order: category.in_order,
                soft_limit: category.soft_limit,
                patience: category.patience,
                credit: category.credit,
                min_credit_share: category.late_share,
            })
            .collect(),
        customers: experiment
            .customers
            .iter()
            .map(|c| sailcart::Customer { packets_per_second: c.quota })
            .collect(),
        over_quota_credit_share: experiment.rules.over_share,
        kinds: experiment
            .kinds
            .iter()
            .map(|kind| sailcart::Kind { per_route_limits: kind.own_limits, max_batch: kind.batch })
            .collect(),
        rates_listed: senders.rates_listed,
        max_list_staleness: None,
        limits_reported: true, // as in the settings of sender processes in sockets mode
        credit_decay: credit_decay(experiment),
        recovery: RecoveryProfile {
            initial_capacity_share: experiment.rules.cold_from,
            warm_up: experiment.rules.cold,
            overload_factor: experiment.rules.fall_multiple,
        },
    }
}
