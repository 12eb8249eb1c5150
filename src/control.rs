//! Every decision of a sender. A carrier reports what happened through [`Sender::list`], [`Sender::take`],
//! [`Sender::outcome`] and [`Sender::withdraw`], which only take note; once a round it calls
//! [`Sender::decide`], which acts through the [`Host`] (interface and ids: `host.rs`).
//!
//! The design: a token bucket per lane (a destination, or a route with limits of its own) before any slot,
//! deferral by the bucket's deficit, max-min shares of the slots, a cap per destination. Beside it stand:
//! 1. return guard: a lane seen in an outage gets a rate that even a cold destination can take;
//! 2. silence watch: a lane whose calls stay out unusually long gets one new call at a time;
//! 3. endpoint caps: an endpoint that lost a call starts again at one in flight and grows with answers;
//! 4. measured time-outs: a dispatch is waited for in step with the lane's pace;
//! 5. order of credit: packets that can still make their soft limit go first;
//! 6. making room: a hold that is nearly full dismisses the packet with the least to hope for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::host::*;

/// A lane's rate never falls below one call in two seconds.
const FLOOR: f64 = 0.5;
/// A full refusal leaves this share of the rate.
const CUT: f64 = 0.5;
/// Each success gives back this share of the listed or last known rate.
const LIFT: f64 = 1.0 / 16.0;
/// And at least this many calls a second: a lane refused early must climb without a known rate.
const STEP: f64 = FLOOR / 2.0;
/// A bucket holds this long a stretch of its rate; a whole second overran the small limits.
const BURST: Duration = Duration::from_millis(250);
/// Of what the return rule allows, the part that is used: other senders and chance need the rest.
const GUARD: f64 = 0.9;
/// A call that is out this many times the usual answer time, while nothing else answers, is a silence.
const SILENCE: f64 = 6.0;
/// A dispatch is given up after this many times the usual answer time.
const WAITED: f64 = 8.0;
/// Losses in a row that make an outage; a full refusal counts half, as it is more often a limit.
const LOSSES: f64 = 2.0;
/// Share of the soft limit left for the trip: no dispatch starts this close to a packet's end.
const TRIP: u32 = 8;
/// One part in so many of the hold is kept free.
const SPARE: usize = 16;

fn times(span: Duration, by: f64) -> Duration {
    Duration::try_from_secs_f64(span.as_secs_f64() * by).unwrap_or(Duration::MAX)
}

fn span_of(amount: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64((amount / rate).max(0.0)).unwrap_or(Duration::MAX)
}

/// A sum that forgets with the span given on read.
#[derive(Default)]
struct Tally {
    sum: f64,
    at: Duration,
}

impl Tally {
    fn read(&mut self, now: Duration, span: Duration) -> f64 {
        self.sum *= (-now.saturating_sub(self.at).as_secs_f64() / span.as_secs_f64()).exp();
        self.at = now;
        self.sum
    }

    fn add(&mut self, now: Duration, span: Duration) {
        self.sum = self.read(now, span) + 1.0;
    }
}

/// The design's token bucket: tokens = min(B, tokens + r x elapsed), on read, starting full.
struct Bucket {
    tokens: f64,
    at: Duration,
}

impl Bucket {
    fn full() -> Self {
        Bucket { tokens: f64::INFINITY, at: Duration::ZERO }
    }

    fn read(&mut self, now: Duration, rate: f64, burst: f64) -> f64 {
        let accrued = now.saturating_sub(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + accrued).min(burst.max(1.0));
        self.at = now;
        self.tokens
    }
}

/// What is known of a lane's state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Well,
    /// Calls stay out and nothing answers; no outage yet.
    Quiet(Duration),
    /// An outage was seen.
    Sick(Duration),
    /// It answered after an outage and may be cold since then.
    Back(Duration),
}

/// A destination or, where routes are apart, one route: what has one limit and one state of health.
struct Lane {
    listed: Option<f64>,
    /// `None` until the first full refusal, where no rate is listed.
    rate: Option<f64>,
    /// What the rate climbs back to: listed, or last known.
    top: f64,
    bucket: Bucket,
    blocked: Duration,
    cut_at: Option<Duration>,
    health: Health,
    first: Option<Duration>,
    done: Tally,
    lost: Tally,
    /// Losses since the last answer.
    row: f64,
    row_since: Duration,
    /// Answers since it is back.
    answers: usize,
    answered: Option<Duration>,
    /// Mean time to an answer.
    pace: Option<Duration>,
    /// Calls a second that it answered lately while well, as far as this sender saw.
    usual: f64,
}

impl Lane {
    fn new() -> Self {
        Lane {
            listed: None,
            rate: None,
            top: FLOOR,
            bucket: Bucket::full(),
            blocked: Duration::ZERO,
            cut_at: None,
            health: Health::Well,
            first: None,
            done: Tally::default(),
            lost: Tally::default(),
            row: 0.0,
            row_since: Duration::ZERO,
            answers: 0,
            answered: None,
            pace: None,
            usual: FLOOR,
        }
    }

    /// The rate that the return rule leaves this sender. Holds from the first loss of an outage until the
    /// destination is warm, so that the moment of its return needs not be known.
    fn guard(&self, now: Duration, figures: &Figures) -> f64 {
        let warm = match self.health {
            Health::Well => return f64::INFINITY,
            Health::Quiet(_) | Health::Sick(_) => 0.0,
            Health::Back(since) => (now - since).as_secs_f64() / figures.cold.as_secs_f64(),
        };
        let present = figures.cold_from + (1.0 - figures.cold_from) * warm.min(1.0);
        let part = self.listed.map_or(self.usual, |listed| listed / figures.senders);
        (GUARD * figures.fall_multiple * present * part).max(FLOOR / figures.senders)
    }

    /// How long until the bucket has a token and no wait stands; zero if a call may go now.
    fn opens_in(&mut self, now: Duration, figures: &Figures) -> Duration {
        let blocked = self.blocked.saturating_sub(now);
        let guard = self.guard(now, figures);
        let rate = self.rate.unwrap_or(f64::INFINITY).min(guard);
        if rate.is_infinite() {
            return blocked;
        }
        let burst = if guard.is_finite() { 1.0 } else { rate * BURST.as_secs_f64() };
        let tokens = self.bucket.read(now, rate, burst);
        blocked.max(span_of(1.0 - tokens, rate))
    }

    /// Calls sent since trouble began that may be out at once.
    fn in_trouble(&self) -> Option<(Duration, usize)> {
        match self.health {
            Health::Well => None,
            Health::Quiet(since) | Health::Sick(since) => Some((since, 1)),
            Health::Back(since) => Some((since, 1 + self.answers)),
        }
    }

    /// Calls answered a second; a lane used for less than the sum's span is judged by the time it was used.
    fn served(&mut self, now: Duration, figures: &Figures) -> f64 {
        let span = figures.soft.as_secs_f64();
        let used = now.saturating_sub(self.first.unwrap_or(now)).as_secs_f64().max(span / 8.0);
        self.done.read(now, figures.soft) / (span * (1.0 - (-used / span).exp()))
    }

    fn expected(&self, figures: &Figures) -> Duration {
        self.pace.unwrap_or(figures.soft / 4)
    }

    fn note_pace(&mut self, elapsed: Duration) {
        self.pace = Some(self.pace.map_or(elapsed, |pace| (pace * 7 + elapsed) / 8));
    }

    fn note_done(&mut self, now: Duration, elapsed: Duration, figures: &Figures) {
        self.first.get_or_insert(now.saturating_sub(elapsed));
        self.done.add(now, figures.soft);
        self.row = 0.0;
        self.answers += 1;
        self.answered = Some(now);
        self.note_pace(elapsed);
        match self.health {
            Health::Well => {
                let seen = self.served(now, figures);
                self.usual = seen.max(self.usual - (self.usual - seen) / 64.0).max(FLOOR);
            }
            Health::Quiet(_) => self.health = Health::Well,
            Health::Sick(_) => {
                self.health = Health::Back(now);
                self.answers = 1;
                self.lost = Tally::default();
                // Refusals of a destination that was shut said nothing of its limit.
                self.rate = self.rate.map(|rate| rate.max(self.top));
            }
            Health::Back(since) if now - since >= figures.cold => self.health = Health::Well,
            Health::Back(_) => {}
        }
        if let Some(rate) = self.rate {
            let lifted = rate + (self.top * LIFT).max(STEP);
            self.rate = Some(self.listed.map_or(lifted, |listed| lifted.min(listed)));
        }
    }

    /// A loss: a call that came back without an answer to its packet. Losses in a row, or more losses than
    /// answers of late, or a time-out while nothing else answered, make an outage.
    fn note_loss(&mut self, now: Duration, weight: f64, silent: bool, figures: &Figures) {
        self.lost.add(now, figures.soft);
        if self.row == 0.0 {
            self.row_since = now;
        }
        self.row += weight;
        let lost = self.lost.read(now, figures.soft);
        let most = weight == 1.0 && lost >= LOSSES && lost > self.done.read(now, figures.soft);
        // Refusals of a limit come in short rows; those of a destination that is shut go on.
        let lasting = weight == 1.0 || now - self.row_since >= figures.soft;
        if (self.row >= LOSSES && lasting || most || silent) && !matches!(self.health, Health::Sick(_)) {
            self.health = Health::Sick(now);
        }
    }

    /// Full: r is the served rate at the first refusal, then halves. Calls that were sent before the last
    /// cut tell nothing new; so there is one cut a round at most, and one for each burst.
    fn note_full(&mut self, now: Duration, sent: Duration, wait: Option<Duration>, figures: &Figures) {
        if let Some(wait) = wait {
            self.blocked = self.blocked.max(now + wait);
        }
        if self.cut_at.is_none_or(|cut| sent > cut) {
            let served = self.served(now, figures);
            if self.listed.is_none() && self.row == 0.0 {
                self.top = self.rate.unwrap_or(served).max(FLOOR);
            }
            self.rate = Some(self.rate.map_or(served, |rate| rate * CUT).max(FLOOR));
            self.cut_at = Some(now);
            self.bucket.tokens = self.bucket.tokens.min(0.0);
        }
        self.note_loss(now, 0.5, false, figures);
    }
}

struct Endpoint {
    lane: LaneId,
    zone: ZoneId,
    batch: usize,
    live: bool,
    calls: usize,
    cap: usize,
    done: Tally,
    lost: Tally,
}

#[derive(Default)]
struct Destination {
    endpoints: Vec<EndpointId>,
    held: BTreeSet<PacketId>,
    calls: usize,
}

/// A lane is the destination's, or one route's.
type LaneId = (DestinationId, Option<EndpointId>);

struct Call {
    endpoint: EndpointId,
    sent: Duration,
    /// Those without an outcome.
    packets: Vec<PacketId>,
    judged: bool,
    given_up: bool,
}

/// The first dispatch that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Doubt {
    since: Duration,
    zone: ZoneId,
}

/// Where a packet stands. `Held` and `Out` carry the doubt that an earlier dispatch may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Held(Option<Doubt>),
    Out(u64, Option<Doubt>),
    /// Its client took it back while a dispatch is out; nothing more is owed.
    Withdrawn(u64),
    /// It may not be dispatched again and is owed its final answer this round.
    Spent(Option<Doubt>),
    Done,
    Dismissed,
    Scrapped,
}

struct Kept {
    packet: Packet,
    soft: Duration,
    late_at: Duration,
    dispatches: u32,
    over_share: bool,
    state: State,
}

#[derive(Default)]
struct Turn {
    queue: VecDeque<PacketId>,
    rests_until: Duration,
}

/// What decisions use of the terms.
struct Figures {
    senders: f64,
    slots: usize,
    most_held: usize,
    dispatches: u32,
    cancel: bool,
    retry_after: Option<Duration>,
    settle: Duration,
    categories: Vec<Category>,
    quotas: Vec<f64>,
    kinds: Vec<Kind>,
    rates_listed: bool,
    by_halves: bool,
    /// The tightest soft limit: the scale of all that is measured.
    soft: Duration,
    cold_from: f64,
    cold: Duration,
    fall_multiple: f64,
}

impl Figures {
    fn new(terms: Terms) -> Self {
        let senders = terms.senders.max(1) as f64;
        let soft = terms.categories.iter().map(|c| c.soft_limit).min().unwrap_or_default();
        Figures {
            senders,
            slots: terms.slots,
            most_held: terms.hold - (terms.hold / SPARE).max(1).min(terms.hold),
            dispatches: terms.dispatches,
            cancel: terms.cancel,
            retry_after: terms.retry_after,
            settle: terms.settle,
            quotas: terms.customers.iter().map(|c| c.quota / senders).collect(),
            categories: terms.categories,
            kinds: terms.kinds,
            rates_listed: terms.rates_listed,
            by_halves: terms.late == Late::Halves,
            soft: soft.max(terms.connect_time_out / 2).max(Duration::from_millis(1)),
            cold_from: terms.back.cold_from,
            cold: terms.back.cold.max(Duration::from_millis(1)),
            fall_multiple: terms.back.fall_multiple,
        }
    }

    fn category(&self, packet: &Packet) -> &Category {
        &self.categories[packet.category.0]
    }
}

/// Decides for one sender.
pub struct Sender {
    figures: Figures,
    rng: ChaCha8Rng,
    now: Duration,
    packets: BTreeMap<PacketId, Kept>,
    destinations: BTreeMap<DestinationId, Destination>,
    lanes: BTreeMap<LaneId, Lane>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    turns: BTreeMap<KeyId, Turn>,
    customers: Vec<Bucket>,
    /// When held packets stop being worth holding.
    due: BTreeSet<(Duration, PacketId)>,
    spent: Vec<PacketId>,
    /// Destinations that got packets since the last round.
    grown: BTreeSet<DestinationId>,
    woken_at: Option<Duration>,
}

impl Sender {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let customers = terms.customers.iter().map(|_| Bucket::full()).collect();
        Sender {
            figures: Figures::new(terms),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            packets: BTreeMap::new(),
            destinations: BTreeMap::new(),
            lanes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            turns: BTreeMap::new(),
            customers,
            due: BTreeSet::new(),
            spent: Vec::new(),
            grown: BTreeSet::new(),
            woken_at: None,
        }
    }

    /// Whether anything is still owed or awaited for a packet.
    pub fn holds(&self, id: PacketId) -> bool {
        self.packets.contains_key(&id)
    }

    /// News of the destination list. A whole list replaces the old one; what drains or is gone gets nothing
    /// new from this moment on.
    pub fn list(&mut self, now: Duration, whole: bool, lines: &[Listing]) {
        self.now = now;
        if whole {
            self.endpoints.values_mut().for_each(|e| e.live = false);
        }
        for line in lines {
            let kind = &self.figures.kinds[line.kind.0];
            let lane_id = (line.destination, kind.own_limits.then_some(line.endpoint));
            let destination = self.destinations.entry(line.destination).or_default();
            if !destination.endpoints.contains(&line.endpoint) {
                destination.endpoints.push(line.endpoint);
            }
            let lane = self.lanes.entry(lane_id).or_insert_with(Lane::new);
            let listed = Some(line.rate).filter(|rate| self.figures.rates_listed && *rate > 0.0);
            if listed.is_some() && lane.listed != listed {
                lane.listed = listed;
                lane.rate = listed;
                lane.top = line.rate;
            }
            let (slots, batch) = (self.figures.slots, kind.batch.max(1));
            let endpoint = self.endpoints.entry(line.endpoint).or_insert_with(|| Endpoint {
                lane: lane_id,
                zone: line.zone,
                batch,
                live: line.live,
                calls: 0,
                cap: slots,
                done: Tally::default(),
                lost: Tally::default(),
            });
            endpoint.live = line.live;
        }
        self.age_out();
    }

    /// Forgets endpoints that are gone and idle, and the buckets that served only them.
    fn age_out(&mut self) {
        self.endpoints.retain(|_, e| e.live || e.calls > 0);
        let endpoints = &self.endpoints;
        self.lanes.retain(|id, _| endpoints.values().any(|e| e.lane == *id));
        for destination in self.destinations.values_mut() {
            destination.endpoints.retain(|e| endpoints.contains_key(e));
        }
        self.destinations.retain(|_, d| !d.endpoints.is_empty() || !d.held.is_empty() || d.calls > 0);
    }

    /// A packet is handed in.
    pub fn take(&mut self, now: Duration, packet: Packet) {
        self.now = now;
        let category = self.figures.category(&packet);
        let soft = packet.ends.saturating_sub(category.patience.saturating_sub(category.soft_limit));
        let late_at = if self.figures.by_halves { soft } else { packet.ends };
        if let (true, Some(key)) = (category.in_order, packet.key) {
            self.turns.entry(key).or_default().queue.push_back(packet.id);
        }
        let over_share = packet.customer.is_some_and(|customer| self.over_share(customer));
        let id = packet.id;
        let kept = Kept { packet, soft, late_at, dispatches: 0, over_share, state: State::Held(None) };
        self.packets.insert(id, kept);
        self.enter_held(id, None);
    }

    /// Whether a customer hands in more than this sender's part of its quota.
    fn over_share(&mut self, customer: CustomerId) -> bool {
        let quota = self.figures.quotas[customer.0];
        let bucket = &mut self.customers[customer.0];
        let within = bucket.read(self.now, quota, quota * self.figures.soft.as_secs_f64()) >= 1.0;
        if within {
            bucket.tokens -= 1.0;
        }
        !within
    }

    /// The client took a packet back, or it is over.
    pub fn withdraw(&mut self, now: Duration, id: PacketId) {
        self.now = now;
        match self.packets.get(&id).map(|kept| kept.state) {
            Some(State::Out(call, _)) => self.turn(id, State::Withdrawn(call)),
            Some(State::Held(_) | State::Spent(_)) => self.turn(id, State::Scrapped),
            _ => {}
        }
    }

    /// A dispatch came back. `over` is set once the packet has ended.
    pub fn outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        over: bool,
        allowance: Option<Allowance>,
    ) {
        self.now = now;
        let Some(kept) = self.packets.get(&id) else { return };
        let (state, key, dispatches) = (kept.state, kept.packet.key, kept.dispatches);
        let repeat = self.figures.category(&kept.packet).repeat;
        let (State::Out(call, _) | State::Withdrawn(call)) = state else { return };
        let (sent, zone) = self.judge(call, elapsed, outcome, allowance);
        let may_run = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, Some(turn)) = (may_run, key.and_then(|key| self.turns.get_mut(&key))) {
            turn.rests_until = now + self.figures.settle;
        }
        let (State::Out(_, doubt), false) = (state, over || outcome == Outcome::Done) else {
            self.turn(id, State::Done);
            return;
        };
        let doubt = match may_run || outcome == Outcome::Error {
            true => Some(doubt.unwrap_or(Doubt { since: sent, zone })),
            false => doubt,
        };
        let may_go = match (doubt, repeat) {
            (Some(_), Repeat::Unrepeatable) => false,
            _ => outcome != Outcome::Moot && dispatches < self.figures.dispatches,
        };
        self.turn(id, if may_go { State::Held(doubt) } else { State::Spent(doubt) });
    }

    /// Learns from a call, once for all its packets. Tells when and to which zone it was sent.
    fn judge(
        &mut self,
        call: u64,
        elapsed: Duration,
        outcome: Outcome,
        allowance: Option<Allowance>,
    ) -> (Duration, ZoneId) {
        let (now, figures) = (self.now, &self.figures);
        let Some(call) = self.calls.get_mut(&call) else { return (now, ZoneId(0)) };
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return (call.sent, ZoneId(0)) };
        let told = (call.sent, endpoint.zone);
        let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { return told };
        if std::mem::replace(&mut call.judged, true) {
            return told;
        }
        let _ = allowance;
        match outcome {
            Outcome::Done => {
                endpoint.cap = (endpoint.cap + 1).min(figures.slots);
                endpoint.done.add(now, figures.soft);
                lane.note_done(now, elapsed, figures);
            }
            Outcome::Full(wait) => lane.note_full(now, call.sent, wait, figures),
            Outcome::Error
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::NoConnection
            | Outcome::Cancelled => {
                endpoint.cap = 1;
                endpoint.lost.add(now, figures.soft);
                let waited = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
                let silent = waited && lane.answered.is_none_or(|answered| answered < call.sent);
                lane.note_loss(now, 1.0, silent, figures);
            }
            Outcome::NoSlot | Outcome::Moot => {}
        }
        told
    }

    /// Every change of a packet's state: what it leaves is released, what it enters is booked.
    fn turn(&mut self, id: PacketId, to: State) {
        let Some(kept) = self.packets.get_mut(&id) else { return };
        let from = std::mem::replace(&mut kept.state, to);
        let destination = kept.packet.destination;
        match (from, to) {
            (State::Out(..), State::Withdrawn(_)) => return,
            (State::Held(_), _) => {
                if let Some(destination) = self.destinations.get_mut(&destination) {
                    destination.held.remove(&id);
                }
            }
            (State::Out(call, _) | State::Withdrawn(call), _) => self.come_back(call, id, destination),
            _ => {}
        }
        match to {
            State::Held(doubt) => self.enter_held(id, doubt),
            State::Spent(_) => self.spent.push(id),
            State::Out(call, _) => {
                if let Some(call) = self.calls.get_mut(&call) {
                    call.packets.push(id);
                }
            }
            State::Withdrawn(_) => {}
            State::Done | State::Dismissed | State::Scrapped => self.leave(id),
        }
    }

    fn enter_held(&mut self, id: PacketId, doubt: Option<Doubt>) {
        let Some(kept) = self.packets.get(&id) else { return };
        let category = self.figures.category(&kept.packet);
        let trip = category.soft_limit / TRIP;
        let mut until = kept.packet.ends.saturating_sub(trip);
        if let (Some(doubt), Repeat::Deduplicated { memory, .. }) = (doubt, category.repeat) {
            until = until.min((doubt.since + memory).saturating_sub(trip));
        }
        let destination = self.destinations.entry(kept.packet.destination).or_default();
        if destination.endpoints.is_empty() {
            until = until.min(self.now + category.soft_limit);
        }
        destination.held.insert(id);
        self.due.insert((until, id));
        self.grown.insert(kept.packet.destination);
    }

    fn come_back(&mut self, call_id: u64, id: PacketId, destination: DestinationId) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.packets.retain(|other| *other != id);
        if !call.packets.is_empty() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.calls -= 1;
        }
        if let Some(destination) = self.destinations.get_mut(&destination) {
            destination.calls -= 1;
        }
        self.calls.remove(&call_id);
    }

    fn leave(&mut self, id: PacketId) {
        let Some(kept) = self.packets.remove(&id) else { return };
        let Some(key) = kept.packet.key else { return };
        if let Some(turn) = self.turns.get_mut(&key) {
            turn.queue.retain(|other| *other != id);
            if turn.queue.is_empty() && turn.rests_until <= self.now {
                self.turns.remove(&key);
            }
        }
    }

    /// The deciding step, once a round after all that happened in it.
    pub fn decide(&mut self, now: Duration, host: &mut impl Host) {
        self.now = now;
        self.end_due(host);
        self.watch_silence();
        self.dismiss_hopeless(host);
        self.make_room(host);
        self.give_way(host);
        self.place(host);
        self.set_wake(host);
    }

    /// Answers what may not be dispatched again and what has run out of time.
    fn end_due(&mut self, host: &mut impl Host) {
        for id in std::mem::take(&mut self.spent) {
            self.end(id, None, host);
        }
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            if matches!(self.packets.get(&id).map(|kept| kept.state), Some(State::Held(_))) {
                let renewed = self.renewed(id, at);
                match renewed {
                    Some(until) => _ = self.due.insert((until, id)),
                    None => self.end(id, None, host),
                }
            }
        }
    }

    /// An entry that came due early, as doubt or a missing endpoint no longer limits the packet.
    fn renewed(&self, id: PacketId, at: Duration) -> Option<Duration> {
        let kept = self.packets.get(&id)?;
        let category = self.figures.category(&kept.packet);
        let trip = category.soft_limit / TRIP;
        let last = kept.packet.ends.saturating_sub(trip);
        let destination = self.destinations.get(&kept.packet.destination)?;
        let until = match (kept.state, category.repeat) {
            (State::Held(Some(doubt)), Repeat::Deduplicated { memory, .. }) => {
                last.min((doubt.since + memory).saturating_sub(trip))
            }
            _ => last,
        };
        (until > at && !destination.endpoints.is_empty()).then_some(until)
    }

    /// The final answer: a dismissal where the category lets the client try again without harm.
    fn end(&mut self, id: PacketId, wait: Option<Duration>, host: &mut impl Host) {
        let Some(kept) = self.packets.get(&id) else { return };
        let (State::Held(doubt) | State::Spent(doubt)) = kept.state else { return };
        let harmless = match self.figures.category(&kept.packet).repeat {
            Repeat::Idempotent | Repeat::Deduplicated { by_zone: false, .. } => true,
            Repeat::Deduplicated { by_zone: true, .. } | Repeat::Unrepeatable => doubt.is_none(),
        };
        if harmless {
            let least = self.figures.soft / TRIP;
            host.dismiss(id, self.figures.retry_after.map(|most| wait.unwrap_or(least).max(least).min(most)));
            self.turn(id, State::Dismissed);
        } else {
            host.scrap(id);
            self.turn(id, State::Scrapped);
        }
    }

    /// Guards against calls that are taken and not answered: before the first time-out, the lane is kept to
    /// one new call at a time. Harm: a lane with one very slow call and no other idles until that answers.
    fn watch_silence(&mut self) {
        for call in self.calls.values() {
            let Some(endpoint) = self.endpoints.get(&call.endpoint) else { continue };
            let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { continue };
            let silent = lane.answered.is_none_or(|answered| answered < call.sent);
            if lane.health == Health::Well
                && silent
                && self.now >= call.sent + quiet_after(lane, &self.figures)
            {
                lane.health = Health::Quiet(self.now);
            }
        }
    }

    /// A deficit that outlasts a packet's time: dismissed at once, with the wait as retry-after.
    fn dismiss_hopeless(&mut self, host: &mut impl Host) {
        for id in std::mem::take(&mut self.grown) {
            let Some(destination) = self.destinations.get(&id) else { continue };
            let mut rate = 0.0;
            for endpoint in destination.endpoints.iter().filter_map(|e| self.endpoints.get(e)) {
                let lane = self.lanes.get(&endpoint.lane);
                let own = lane.map_or(f64::INFINITY, |l| l.rate.map_or(f64::INFINITY, |r| r.max(l.top)));
                let own = own * endpoint.batch as f64;
                rate = if endpoint.lane.1.is_some() { rate + own } else { own };
            }
            if rate == 0.0 || rate.is_infinite() {
                continue;
            }
            let mut line: Vec<(Duration, PacketId)> =
                destination.held.iter().map(|id| (self.packets[id].packet.ends, *id)).collect();
            line.sort();
            let mut ahead = 0.0;
            for (ends, packet) in line {
                let wait = span_of(ahead, rate);
                if self.now + wait > ends {
                    self.end(packet, Some(wait), host);
                } else {
                    ahead += 1.0;
                }
            }
        }
    }

    /// Guards the hold: what is turned away at the door is drawn at random, and a destination in trouble
    /// would fill it. The destination with the most held gives up its oldest, over-share packets first.
    fn make_room(&mut self, host: &mut impl Host) {
        while self.packets.len() > self.figures.most_held {
            let fullest = self.destinations.iter().max_by_key(|(_, d)| d.held.len());
            let Some((_, fullest)) = fullest.filter(|(_, d)| !d.held.is_empty()) else { return };
            let victim = fullest.held.iter().min_by_key(|id| {
                let kept = &self.packets[id];
                (!kept.over_share, kept.packet.ends, **id)
            });
            let Some(victim) = victim.copied() else { return };
            self.end(victim, self.figures.retry_after, host);
        }
    }

    /// Guards against slots that are filled by calls which many destinations leave unanswered: when no slot is
    /// free and a well destination has packets waiting, silent calls beyond a quarter of the slots are given
    /// up, what may be repeated first. Harm: a slow answer that was about to come is lost.
    fn give_way(&mut self, host: &mut impl Host) {
        if !self.figures.cancel || self.calls.len() < self.figures.slots || !self.well_waits() {
            return;
        }
        let mut silent: Vec<(bool, Duration, u64)> = Vec::new();
        for (id, call) in &self.calls {
            let Some(lane) = self.endpoints.get(&call.endpoint).and_then(|e| self.lanes.get(&e.lane)) else {
                continue;
            };
            if lane.health != Health::Well && self.now >= call.sent + quiet_after(lane, &self.figures) {
                let last = call
                    .packets
                    .iter()
                    .any(|p| self.figures.category(&self.packets[p].packet).repeat == Repeat::Unrepeatable);
                silent.push((last, call.sent, *id));
            }
        }
        silent.sort();
        for (_, _, id) in silent.iter().take(silent.len().saturating_sub(self.figures.slots / 4)) {
            let Some(call) = self.calls.get_mut(id) else { continue };
            if !std::mem::replace(&mut call.given_up, true) {
                for packet in &call.packets {
                    host.cancel(*packet, self.packets[packet].dispatches - 1);
                }
            }
        }
    }

    fn well_waits(&self) -> bool {
        self.destinations.values().any(|d| {
            !d.held.is_empty()
                && d.calls < self.slots_for(d)
                && d.endpoints.iter().any(|e| self.lanes[&self.endpoints[e].lane].health == Health::Well)
        })
    }

    /// Past its bucket a packet takes any free slot; while there are fewer slots than takers, the next goes
    /// to the destination furthest below its max-min share.
    fn place(&mut self, host: &mut impl Host) {
        let mut ready: Vec<DestinationId> =
            self.destinations.iter().filter(|(_, d)| !d.held.is_empty()).map(|(id, _)| *id).collect();
        if ready.is_empty() {
            return;
        }
        let shares = self.shares();
        while self.calls.len() < self.figures.slots && !ready.is_empty() {
            let below = |id: &DestinationId| shares[id] - self.destinations[id].calls as f64;
            let next = (0..ready.len()).max_by(|a, b| below(&ready[*a]).total_cmp(&below(&ready[*b])));
            let Some(next) = next else { return };
            if !self.dispatch_one(ready[next], host) {
                ready.swap_remove(next);
            }
        }
    }

    /// Max-min shares of the slots by demand: calls in flight and packets held.
    fn shares(&self) -> BTreeMap<DestinationId, f64> {
        let mut demands: Vec<(f64, DestinationId)> = Vec::with_capacity(self.destinations.len());
        for (id, destination) in &self.destinations {
            let demand = destination.calls + destination.held.len();
            demands.push((demand.min(self.slots_for(destination)) as f64, *id));
        }
        demands.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut left = self.figures.slots as f64;
        let mut takers = demands.len() as f64;
        let mut shares = BTreeMap::new();
        for (demand, id) in demands {
            let share = demand.min(left / takers);
            shares.insert(id, share);
            left -= share;
            takers -= 1.0;
        }
        shares
    }

    /// The cap: three quarters of the slots, half while failing or slow.
    fn slots_for(&self, destination: &Destination) -> usize {
        let ill = destination.endpoints.iter().filter_map(|e| self.endpoints.get(e)).any(|endpoint| {
            self.lanes.get(&endpoint.lane).is_some_and(|lane| {
                lane.health != Health::Well || lane.expected(&self.figures) > self.figures.soft
            })
        });
        let cap = if ill { self.figures.slots / 2 } else { self.figures.slots * 3 / 4 };
        cap.max(1)
    }

    /// One call to a destination, filled up to its batch. False if none can go now.
    fn dispatch_one(&mut self, id: DestinationId, host: &mut impl Host) -> bool {
        let destination = &self.destinations[&id];
        if destination.calls >= self.slots_for(destination) {
            return false;
        }
        let Some(endpoint_id) = self.draw(id) else { return false };
        let endpoint = &self.endpoints[&endpoint_id];
        let (lane_id, zone, batch) = (endpoint.lane, endpoint.zone, endpoint.batch);
        let mut ranked: Vec<_> = self.destinations[&id]
            .held
            .iter()
            .filter(|packet| self.may_go(**packet, zone))
            .map(|packet| (self.rank(*packet, &self.lanes[&lane_id]), *packet))
            .collect();
        if ranked.is_empty() {
            return false;
        }
        ranked.sort();
        ranked.truncate(batch);
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(
            call,
            Call { endpoint: endpoint_id, sent: self.now, packets: vec![], judged: false, given_up: false },
        );
        if let Some(lane) = self.lanes.get_mut(&lane_id) {
            lane.bucket.tokens -= 1.0;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            endpoint.calls += 1;
        }
        if let Some(destination) = self.destinations.get_mut(&id) {
            destination.calls += 1;
        }
        for (_, packet) in ranked {
            self.dispatch(packet, call, endpoint_id, host);
        }
        true
    }

    fn dispatch(&mut self, id: PacketId, call: u64, endpoint: EndpointId, host: &mut impl Host) {
        let time_out = self.time_out(id, endpoint);
        let Some(kept) = self.packets.get_mut(&id) else { return };
        let State::Held(doubt) = kept.state else { return };
        kept.dispatches += 1;
        host.dispatch(id, endpoint, time_out);
        self.turn(id, State::Out(call, doubt));
    }

    /// In step with the lane's pace, from the soft limit up to a third of the patience. For what may not be
    /// repeated a time-out is the end, so it is waited for half of the patience.
    fn time_out(&self, id: PacketId, endpoint: EndpointId) -> Duration {
        let kept = &self.packets[&id];
        let category = self.figures.category(&kept.packet);
        let lane = &self.lanes[&self.endpoints[&endpoint].lane];
        let measured = times(lane.expected(&self.figures), WAITED).max(category.soft_limit);
        let measured = times(measured, 1.0 + lane.row / LOSSES);
        let span = match category.repeat {
            Repeat::Unrepeatable => category.patience / 2,
            _ => measured.min(category.patience / 3),
        };
        span.min(kept.packet.ends.saturating_sub(self.now))
    }

    /// Draws among the endpoints that may take a call, with odds in step with the room each is thought to
    /// have: its free part, less the share of calls that it lost of late.
    fn draw(&mut self, id: DestinationId) -> Option<EndpointId> {
        let trials = self.trials();
        let (now, figures) = (self.now, &self.figures);
        let most_trials = (figures.slots / 2).max(1);
        let mut odds: Vec<(f64, EndpointId)> = Vec::new();
        for endpoint_id in &self.destinations[&id].endpoints {
            let Some(endpoint) = self.endpoints.get_mut(endpoint_id) else { continue };
            let Some(lane) = self.lanes.get_mut(&endpoint.lane) else { continue };
            let free = endpoint.cap.saturating_sub(endpoint.calls);
            if !endpoint.live || free == 0 || !lane.opens_in(now, figures).is_zero() {
                continue;
            }
            if matches!(lane.health, Health::Quiet(_) | Health::Sick(_)) && trials >= most_trials {
                continue;
            }
            if let Some((since, most)) = lane.in_trouble() {
                let lane_id = endpoint.lane;
                let calls = self.calls.values().filter(|c| c.sent >= since && c.endpoint == *endpoint_id);
                if calls.count() >= most || lane_id.0 != id {
                    continue;
                }
            }
            let (done, lost) = (endpoint.done.read(now, figures.soft), endpoint.lost.read(now, figures.soft));
            odds.push((free as f64 * (1.0 + done) / (1.0 + done + lost), *endpoint_id));
        }
        let total: f64 = odds.iter().map(|(odds, _)| odds).sum();
        if odds.is_empty() {
            return None;
        }
        let mut drawn = self.rng.random::<f64>() * total;
        for (odds, id) in &odds {
            drawn -= odds;
            if drawn < 0.0 {
                return Some(*id);
            }
        }
        odds.last().map(|(_, id)| *id)
    }

    /// Calls out to lanes in trouble.
    fn trials(&self) -> usize {
        let lanes = self.calls.values().filter_map(|c| self.endpoints.get(&c.endpoint)).map(|e| e.lane);
        lanes.filter(|id| matches!(self.lanes[id].health, Health::Quiet(_) | Health::Sick(_))).count()
    }

    /// Whether it is a held packet's turn, and its doubt allows this zone.
    fn may_go(&self, id: PacketId, zone: ZoneId) -> bool {
        let kept = &self.packets[&id];
        let category = self.figures.category(&kept.packet);
        let zone_fits = match (kept.state, category.repeat) {
            (State::Held(Some(doubt)), Repeat::Deduplicated { by_zone: true, .. }) => doubt.zone == zone,
            _ => true,
        };
        let turn = kept.packet.key.filter(|_| category.in_order).and_then(|key| self.turns.get(&key));
        zone_fits && turn.is_none_or(|t| t.queue.front() == Some(&id) && t.rests_until <= self.now)
    }

    /// Which held packet goes first. A lane in trouble is tried with what may be repeated. Otherwise those
    /// that can still make their soft limit go first, by soft limit, then the late by the end of patience.
    fn rank(&self, id: PacketId, lane: &Lane) -> (u8, u32, bool, bool, Duration) {
        let kept = &self.packets[&id];
        let trial = matches!(lane.health, Health::Quiet(_) | Health::Sick(_));
        let risk = match self.figures.category(&kept.packet).repeat {
            Repeat::Idempotent => 0,
            Repeat::Deduplicated { .. } => 1,
            Repeat::Unrepeatable => 2,
        };
        let late = kept.late_at < self.now + lane.expected(&self.figures);
        let by = if late { kept.packet.ends } else { kept.soft };
        let (risk, dispatches) = if trial { (risk, kept.dispatches) } else { (0, 0) };
        (risk, dispatches, kept.over_share, late, by)
    }

    /// One timer for the earliest thing that can come due without an event.
    fn set_wake(&mut self, host: &mut impl Host) {
        let (now, figures) = (self.now, &self.figures);
        let mut next = self.due.first().map(|(at, _)| *at);
        let mut sooner = |at: Duration| {
            if at > now {
                next = Some(next.map_or(at, |next| next.min(at)));
            }
        };
        for destination in self.destinations.values().filter(|d| !d.held.is_empty()) {
            for endpoint in destination.endpoints.iter().filter_map(|e| self.endpoints.get(e)) {
                if let Some(lane) = self.lanes.get_mut(&endpoint.lane) {
                    sooner(now.saturating_add(lane.opens_in(now, figures)));
                }
            }
        }
        for turn in self.turns.values().filter(|turn| !turn.queue.is_empty()) {
            sooner(turn.rests_until);
        }
        for call in self.calls.values() {
            let lane = self.endpoints.get(&call.endpoint).and_then(|e| self.lanes.get(&e.lane));
            if let Some(lane) = lane.filter(|lane| lane.health == Health::Well) {
                sooner(call.sent + quiet_after(lane, figures));
            }
        }
        let Some(next) = next else { return };
        if self.woken_at.is_none_or(|at| at <= now || next < at) {
            self.woken_at = Some(next);
            host.wake((next - now).max(Duration::from_micros(1)));
        }
    }
}

fn quiet_after(lane: &Lane, figures: &Figures) -> Duration {
    times(lane.expected(figures), SILENCE).clamp(figures.soft / 4, figures.soft)
}
