//! An experiment drawn out before anything runs: who is there, what goes wrong when, what the list says when,
//! and every packet that clients will want to hand in. All chance comes from the seed.

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
    RecoveryProfile, Settings,
};

use crate::experiment::{self, Experiment, Fault, Repeat, Trouble, TroubleKind, begins};

/// A packet as its client first wants it delivered; each handing in of it is another packet to the senders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginId(pub usize);

/// One of the senders, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SenderId(pub usize);

#[derive(Clone, Debug)]
pub struct Origin {
    pub at: Duration,
    pub destination: DestinationId,
    pub category: CategoryId,
    pub customer: Option<CustomerId>,
    pub key: Option<KeyId>,
    /// Beyond its customer's quota.
    pub over: bool,
}

#[derive(Clone, Debug)]
pub struct Place {
    pub endpoint: EndpointId,
    pub destination: DestinationId,
    /// The endpoint whose address it has.
    pub address: EndpointId,
    /// From when on it is there, and when it is gone.
    pub from: Duration,
    pub gone: Duration,
}

#[derive(Clone, Debug)]
pub struct Destination {
    pub group: usize,
    pub name: String,
    pub kind: KindId,
    pub pace: Duration,
    /// Calls a second that it takes from all senders, as the list tells.
    pub rate: f64,
    /// Calls a second that each of what has a limit of its own can work off once warm.
    pub capacity: f64,
}

/// A trouble with its time and whom it meets.
#[derive(Clone, Debug)]
pub struct Struck {
    pub trouble: Trouble,
    pub from: Duration,
    pub until: Duration,
    pub endpoints: Vec<EndpointId>,
    pub senders: Vec<SenderId>,
}

impl Struck {
    /// When senders die of it, and for how long. With `every`, each in turn within that span, again and again.
    pub fn deaths(&self, restart: Duration) -> Vec<(Duration, SenderId, Duration)> {
        let Some(every) = self.trouble.every else {
            let down = (self.until - self.from).max(restart);
            return self.senders.iter().map(|sender| (self.from, *sender, down)).collect();
        };
        let mut deaths = Vec::new();
        let (mut round, count) = (self.from, self.senders.len() as u32);
        while round < self.until {
            for (at, sender) in self.senders.iter().enumerate() {
                deaths.push((round + every * at as u32 / count, *sender, restart));
            }
            round += every;
        }
        deaths
    }

    pub fn stands(&self, now: Duration) -> bool {
        self.from <= now && now < self.until
    }
}

/// What the list says of an endpoint from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Duration,
    pub endpoint: EndpointId,
    pub standing: Standing,
}

#[derive(Clone)]
pub struct Plan {
    pub experiment: Experiment,
    pub seed: u64,
    pub terms: Settings,
    pub destinations: Vec<Destination>,
    pub places: Vec<Place>,
    pub struck: Vec<Struck>,
    /// In order of time; what holds at the start is left out.
    pub changes: Vec<Change>,
    /// In order of time.
    pub origins: Vec<Origin>,
}

/// Independent chance for each use, so that a change of one leaves the others as they were.
pub fn chance(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream);
    rng
}

impl Plan {
    pub fn new(experiment: Experiment, seed: u64) -> Result<Plan, Fault> {
        let begins = begins(&experiment)?;
        let (destinations, mut places) = fleet(&experiment, seed);
        let mut struck = Vec::new();
        for (trouble, from) in experiment.troubles.iter().zip(begins) {
            struck.push(strike(&experiment, trouble, from, &destinations, &places));
        }
        let changes = changes(&struck, &mut places);
        let origins = origins(&experiment, seed, &destinations, &struck);
        let terms = terms(&experiment);
        Ok(Plan { experiment, seed, terms, destinations, places, struck, changes, origins })
    }

    pub fn destination(&self, id: DestinationId) -> &Destination {
        &self.destinations[id.0 as usize]
    }

    pub fn place(&self, id: EndpointId) -> &Place {
        &self.places[id.0 as usize]
    }

    pub fn category(&self, id: CategoryId) -> &experiment::Category {
        &self.experiment.categories[id.0]
    }

    pub fn group(&self, id: DestinationId) -> &experiment::Destinations {
        &self.experiment.destinations[self.destination(id).group]
    }

    pub fn own_limits(&self, id: DestinationId) -> bool {
        self.experiment.kinds[self.destination(id).kind.0].own_limits
    }

    pub fn listing(&self, endpoint: EndpointId, live: bool) -> ListEntry {
        let place = self.place(endpoint);
        let destination = self.destination(place.destination);
        let rate = if self.experiment.senders.rates_listed { destination.rate } else { 0.0 };
        ListEntry { endpoint, destination: place.destination, kind: destination.kind, live, rate }
    }

    /// The list as it stands at a time.
    pub fn list_at(&self, now: Duration) -> Vec<ListEntry> {
        let mut live: BTreeMap<EndpointId, bool> =
            self.places.iter().filter(|p| p.from.is_zero()).map(|p| (p.endpoint, true)).collect();
        for change in self.changes.iter().take_while(|change| change.at <= now) {
            match change.standing {
                Standing::Ready => live.insert(change.endpoint, true),
                Standing::Draining => live.insert(change.endpoint, false),
                Standing::Gone => live.remove(&change.endpoint),
            };
        }
        live.into_iter().map(|(endpoint, live)| self.listing(endpoint, live)).collect()
    }

    /// When a change reaches a sender: late by chance, and only once discovery speaks again.
    pub fn told_at(&self, change: &Change, sender: SenderId) -> Duration {
        let stream = (sender.0 as u64) << 32 | u64::from(change.endpoint.0) << 2 | change.standing as u64;
        let late = chance(self.seed ^ 0x115f, stream).random::<f64>();
        let mut at = change.at + self.experiment.network.list_delay.mul_f64(late);
        for struck in &self.struck {
            let silent = struck.trouble.kind == TroubleKind::ListSilent && struck.senders.contains(&sender);
            if silent && struck.stands(at) {
                at = struck.until;
            }
        }
        at
    }

    /// Until when a client hands a packet in again: while it is wanted, and a keyed one while its key is known.
    pub fn comes_again_until(&self, origin: OriginId) -> Duration {
        let origin = &self.origins[origin.0];
        let category = self.category(origin.category);
        origin.at + category.memory.map_or(category.patience, |memory| memory.min(category.patience))
    }

    pub fn credit(&self, origin: &Origin, after: Duration) -> f64 {
        let category = self.category(origin.category);
        if after > category.patience {
            return 0.0;
        }
        let late = after.saturating_sub(category.soft_limit).as_secs_f64();
        let soft = category.soft_limit.as_secs_f64();
        let share = match terms_late(&self.experiment) {
            _ if late == 0.0 => 1.0,
            CreditDecay::Linear => {
                let most = (category.patience - category.soft_limit).as_secs_f64().max(1e-6);
                1.0 - (1.0 - category.late_share) * late / most
            }
            CreditDecay::Halving => 0.5f64.powf(late / soft).max(category.late_share),
        };
        share * self.whole_credit(origin)
    }

    pub fn whole_credit(&self, origin: &Origin) -> f64 {
        let over = if origin.over { self.experiment.rules.over_share } else { 1.0 };
        self.category(origin.category).credit * over
    }

    /// The last packet's patience is up, and its end may be told.
    pub fn end(&self) -> Duration {
        let longest = self.experiment.categories.iter().map(|c| c.patience).max().unwrap_or_default();
        self.experiment.span + longest + self.experiment.rules.slack + Duration::from_secs(2)
    }
}

fn fleet(experiment: &Experiment, seed: u64) -> (Vec<Destination>, Vec<Place>) {
    let mut rng = chance(seed, 1);
    let (mut destinations, mut places) = (Vec::new(), Vec::new());
    for (at, group) in experiment.destinations.iter().enumerate() {
        let kind = experiment.kinds.iter().position(|kind| kind.name == group.kind).unwrap_or_default();
        let own = experiment.kinds[kind].own_limits;
        let draw = LogNormal::new(0.0, group.pace_spread.max(0.0)).ok();
        for number in 0..group.count {
            let pace = group.pace.mul_f64(draw.as_ref().map_or(1.0, |draw| draw.sample(&mut rng)));
            let id = DestinationId(destinations.len() as u64);
            let mean = pace.as_secs_f64() * (group.spread.powi(2) / 2.0).exp();
            let together = if own { 1 } else { group.endpoints };
            let capacity = (group.servers * together) as f64 / mean;
            let limited = group.limit.by != experiment::LimitBy::None;
            let rate = if limited { group.limit.rate.min(capacity) } else { capacity };
            let name = if group.count > 1 { format!("{}/{number}", group.name) } else { group.name.clone() };
            destinations.push(Destination { group: at, name, kind: KindId(kind), pace, rate, capacity });
            for _ in 0..group.endpoints {
                let endpoint = EndpointId(places.len() as u32);
                let (from, gone) = (Duration::ZERO, Duration::MAX);
                places.push(Place { endpoint, destination: id, address: endpoint, from, gone });
            }
        }
    }
    (destinations, places)
}

fn strike(
    experiment: &Experiment,
    trouble: &Trouble,
    from: Duration,
    destinations: &[Destination],
    places: &[Place],
) -> Struck {
    let meets = |destination: &Destination| match &trouble.destinations {
        None => true,
        Some(target) => {
            destination.name == *target || experiment.destinations[destination.group].name == *target
        }
    };
    let mut endpoints = Vec::new();
    for (at, _) in destinations.iter().enumerate().filter(|(_, destination)| meets(destination)) {
        let own = places.iter().filter(|place| place.destination.0 as usize == at);
        let chosen = own.enumerate().filter(|(nth, _)| trouble.endpoint.is_none_or(|only| only == *nth));
        endpoints.extend(chosen.map(|(_, place)| place.endpoint));
    }
    let senders = match &trouble.senders {
        Some(senders) => senders.iter().copied().map(SenderId).collect(),
        None => (0..experiment.senders.count).map(SenderId).collect(),
    };
    Struck { trouble: trouble.clone(), from, until: from + trouble.lasts, endpoints, senders }
}

/// What the list will say. Replacements become places of their own.
fn changes(struck: &[Struck], places: &mut Vec<Place>) -> Vec<Change> {
    let mut changes = Vec::new();
    for struck in struck {
        let replaced = match struck.trouble.kind {
            TroubleKind::Drain => false,
            TroubleKind::Replace => true,
            _ => continue,
        };
        let same = struck.trouble.same_address.unwrap_or(false);
        for endpoint in &struck.endpoints {
            changes.push(Change { at: struck.from, endpoint: *endpoint, standing: Standing::Draining });
            changes.push(Change { at: struck.until, endpoint: *endpoint, standing: Standing::Gone });
            places[endpoint.0 as usize].gone = struck.until;
            if replaced {
                let old = places[endpoint.0 as usize].clone();
                let new = EndpointId(places.len() as u32);
                // At the old address the new one can only come when the old one has gone.
                let from = if same { struck.until } else { struck.from };
                let address = if same { old.address } else { new };
                places.push(Place { endpoint: new, address, from, gone: Duration::MAX, ..old });
                changes.push(Change { at: from, endpoint: new, standing: Standing::Ready });
            }
        }
    }
    changes.sort_by_key(|change| (change.at, change.endpoint));
    changes
}

fn origins(
    experiment: &Experiment,
    seed: u64,
    destinations: &[Destination],
    struck: &[Struck],
) -> Vec<Origin> {
    let (load, span) = (&experiment.load, experiment.span.as_secs_f64());
    let mut rng = chance(seed, 2);
    let mut nth = vec![0u32; experiment.destinations.len()];
    let weights: Vec<f64> = destinations
        .iter()
        .map(|destination| {
            nth[destination.group] += 1;
            let group = &experiment.destinations[destination.group];
            let of = |nth: u32| f64::from(nth).powf(-load.zipf);
            let all: f64 = (1..=group.count as u32).map(of).sum();
            group.weight * of(nth[destination.group]) / all
        })
        .collect();
    let Ok(pick) = WeightedIndex::new(&weights) else { return Vec::new() };
    let mut wanted: Vec<(f64, usize)> = Vec::new();
    let even = load.rate * (1.0 - load.clumped);
    for at in poisson(&mut rng, even, 0.0, span) {
        wanted.push((at, pick.sample(&mut rng)));
    }
    for at in poisson(&mut rng, load.rate * load.clumped / load.clump.max(1) as f64, 0.0, span) {
        let to = pick.sample(&mut rng);
        wanted.extend((0..load.clump).map(|nth| (at + nth as f64 * 0.002, to)));
    }
    for hot in struck.iter().filter(|struck| struck.trouble.kind == TroubleKind::Hot) {
        let mut to: Vec<usize> =
            hot.endpoints.iter().map(|e| place_of(destinations, experiment, *e)).collect();
        to.dedup();
        let rate = load.rate * hot.trouble.share.unwrap_or(0.2);
        let until = hot.until.as_secs_f64().min(span);
        for at in poisson(&mut rng, rate, hot.from.as_secs_f64(), until) {
            wanted.push((at, to[rng.random_range(0..to.len())]));
        }
    }
    wanted.retain(|(at, _)| *at < span);
    wanted.sort_by(|a, b| a.0.total_cmp(&b.0));
    dress(experiment, seed, &wanted)
}

/// Which destination an endpoint of the first fleet has, by its number.
fn place_of(destinations: &[Destination], experiment: &Experiment, endpoint: EndpointId) -> usize {
    let mut left = endpoint.0 as usize;
    for (at, destination) in destinations.iter().enumerate() {
        let own = experiment.destinations[destination.group].endpoints;
        if left < own {
            return at;
        }
        left -= own;
    }
    0
}

fn poisson(rng: &mut ChaCha8Rng, rate: f64, from: f64, until: f64) -> Vec<f64> {
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

/// Category, customer, key and quota of each packet wanted.
fn dress(experiment: &Experiment, seed: u64, wanted: &[(f64, usize)]) -> Vec<Origin> {
    let mut rng = chance(seed, 3);
    let categories = WeightedIndex::new(experiment.categories.iter().map(|c| c.share)).ok();
    let customers = WeightedIndex::new(experiment.customers.iter().map(|c| c.share)).ok();
    let mut quotas: Vec<(f64, f64)> = experiment.customers.iter().map(|c| (c.quota, 0.0)).collect();
    let mut origins = Vec::with_capacity(wanted.len());
    for (at, to) in wanted {
        let category = categories.as_ref().map_or(0, |draw| draw.sample(&mut rng));
        let customer = customers.as_ref().map(|draw| draw.sample(&mut rng));
        let key = experiment.categories[category].in_order.then(|| {
            let key = rng.random_range(0..experiment.load.keys.max(1));
            KeyId(key << 20 | *to as u64) // a key is about one thing at one destination
        });
        let over = customer.is_some_and(|customer| {
            let quota = experiment.customers[customer].quota;
            let (tokens, last) = &mut quotas[customer];
            *tokens = (*tokens + (at - *last) * quota).min(quota.max(1.0));
            *last = *at;
            let over = *tokens < 1.0;
            *tokens -= if over { 0.0 } else { 1.0 };
            over
        });
        origins.push(Origin {
            at: Duration::from_micros((at * 1e6) as u64),
            destination: DestinationId(*to as u64),
            category: CategoryId(category),
            customer: customer.map(CustomerId),
            key,
            over,
        });
    }
    origins
}

fn terms_late(experiment: &Experiment) -> CreditDecay {
    match experiment.late {
        experiment::Late::Line => CreditDecay::Linear,
        experiment::Late::Halves => CreditDecay::Halving,
    }
}

/// What each sender is told at its start.
fn terms(experiment: &Experiment) -> Settings {
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
        limits_reported: true, // as the settings that a sender on sockets is given say
        credit_decay: terms_late(experiment),
        recovery: RecoveryProfile {
            initial_capacity_share: experiment.rules.cold_from,
            warm_up: experiment.rules.cold,
            overload_factor: experiment.rules.fall_multiple,
        },
    }
}
