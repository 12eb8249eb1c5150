//! The model of receivers: destinations and their endpoints, as senders meet them. No I/O and no clock: time is
//! handed in, and every answer is known the moment a call's last byte comes, with the time at which it is due.
//! The same code answers in both modes.

pub mod limit;
pub mod recovery;
mod troubles;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::prelude::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use sailcart::{DestinationId, EndpointId, LimitReport};

use crate::experiment::{Destinations, Repeat, Spoil};
use crate::plan::{OriginId, Plan, chance};
use limit::RateLimiter;
use recovery::Recovery;
pub use troubles::{Conditions, TroubleSchedule};

/// How a connection attempt fares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Connect {
    /// Nobody listens there, or not for one more.
    Refused,
    /// Nothing comes back, neither acceptance nor refusal.
    Never,
    /// It stands; the first call on it starts so much later.
    Up(Duration),
}

/// How long an answer takes that needs no work.
const AT_ONCE: Duration = Duration::from_millis(2);

/// One packet of a call.
#[derive(Clone, Copy, Debug)]
pub struct Piece {
    pub origin: OriginId,
    /// What a receiver does with a repeat.
    pub repeat: Repeat,
    /// For how long it knows a repeat as one.
    pub memory: Duration,
}

impl Piece {
    /// A packet wanted, as its receiver sees it.
    pub fn new(plan: &Plan, origin: OriginId) -> Self {
        let category = plan.category(plan.origins[origin.0].category);
        Piece { origin, repeat: category.repeat, memory: category.memory.unwrap_or_default() }
    }
}

/// What a call is answered, as a whole or for each packet.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done,
    Error,
    /// Turned away unseen, perhaps with a wait.
    Full(Option<Duration>),
    /// The connection breaks.
    Reset,
    /// Each packet's own, where they differ, and a wait that binds the same way.
    Mixed(Vec<PieceAnswer>, Option<Duration>),
    /// Its packets took effect, and what is written cannot be read.
    Spoilt(Spoil),
}

impl Answer {
    /// Its head can be read, and what stands there.
    pub fn is_readable(&self) -> bool {
        !matches!(self, Answer::Reset | Answer::Spoilt(_))
    }
}

/// What an answer for several packets says of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PieceAnswer {
    /// It took effect.
    Accepted,
    /// It failed; it may have taken effect.
    Fault,
    /// It was turned away; it never ran.
    Deferred,
}

/// What becomes of a call whose last byte has come.
#[derive(Clone, Debug, PartialEq)]
pub struct Reception {
    /// When it is answered, and what; `None` if never.
    pub answer: Option<(Duration, Answer)>,
    /// Which of its packets take effect, in their order.
    pub effects: Vec<bool>,
    /// Share of the limit that is left, and the limit, where answers tell it.
    pub report: Option<LimitReport>,
    /// This call pushed a cold destination over.
    pub fell: bool,
}

impl Reception {
    /// The connection breaks before the call begins.
    fn reset(now: Duration, pieces: usize, fell: bool) -> Self {
        Reception { answer: Some((now, Answer::Reset)), effects: vec![false; pieces], report: None, fell }
    }

    /// The call is turned away.
    fn full(now: Duration, pieces: usize, wait: Option<Duration>, report: Option<LimitReport>) -> Self {
        let answer = Some((now + AT_ONCE, Answer::Full(wait)));
        Reception { answer, effects: vec![false; pieces], report, fell: false }
    }
}

/// What senders share at a destination or, where routes are apart, at an endpoint.
struct Gate {
    limiter: RateLimiter,
    recovery: Recovery,
}

struct Endpoint {
    destination: DestinationId,
    gate: usize,
    /// When each of its servers is free.
    free_at: Vec<Duration>,
    /// Starts of calls that wait or have waited.
    starts: VecDeque<Duration>,
    connections: usize,
}

/// All receivers of a plan.
pub struct Receivers {
    troubles: TroubleSchedule,
    endpoints: Vec<Endpoint>,
    gates: Vec<Gate>,
    /// Packets that took effect and may do so again, by destination; when they are forgotten.
    remembered: BTreeMap<(DestinationId, OriginId), Duration>,
    rng: ChaCha8Rng,
}

impl Receivers {
    /// All receivers at the start of a run, without connections.
    pub fn new(plan: &Plan) -> Self {
        let (mut gates, mut endpoints) = (Vec::new(), Vec::<Endpoint>::new());
        let mut shared: BTreeMap<DestinationId, usize> = BTreeMap::new();
        let troubles = TroubleSchedule::new(plan);
        for place in &plan.places {
            let group = plan.group(place.destination);
            let destination = plan.destination(place.destination);
            let mut open = || {
                let capacity = destination.capacity;
                let outages = troubles.outages(place.endpoint);
                gates.push(Gate {
                    limiter: RateLimiter::new(&group.limit),
                    recovery: Recovery::new(&plan.experiment.rules, capacity, outages),
                });
                gates.len() - 1
            };
            let gate = if plan.own_limits(place.destination) {
                open()
            } else {
                *shared.entry(place.destination).or_insert_with(open)
            };
            endpoints.push(Endpoint {
                destination: place.destination,
                gate,
                free_at: vec![Duration::ZERO; group.servers],
                starts: VecDeque::new(),
                connections: 0,
            });
        }
        let rng = chance(plan.seed, 4);
        Receivers { troubles, endpoints, gates, remembered: BTreeMap::new(), rng }
    }

    /// A sender wants a connection. One that stands counts until [`Receivers::disconnected`].
    pub fn connect(&mut self, plan: &Plan, now: Duration, endpoint: EndpointId) -> Connect {
        let place = plan.place(endpoint);
        let group = plan.group(place.destination);
        let conditions = self.troubles.at(now, endpoint);
        let own = &mut self.endpoints[endpoint.0 as usize];
        if conditions.black_hole {
            return Connect::Never;
        }
        let there = place.from <= now && now < place.gone;
        let fallen = self.gates[own.gate].recovery.fallen();
        if !there || conditions.down || fallen || own.connections >= group.connections {
            return Connect::Refused;
        }
        own.connections += 1;
        Connect::Up(group.handshake)
    }

    /// A connection that [`Receivers::connect`] gave has ended.
    pub fn disconnected(&mut self, endpoint: EndpointId) {
        let own = &mut self.endpoints[endpoint.0 as usize];
        own.connections = own.connections.saturating_sub(1);
    }

    /// Whether an open connection to it still carries anything.
    pub fn reachable(&self, plan: &Plan, now: Duration, endpoint: EndpointId) -> bool {
        let place = plan.place(endpoint);
        let fallen = self.gates[self.endpoints[endpoint.0 as usize].gate].recovery.fallen();
        now < place.gone && !fallen && !self.troubles.at(now, endpoint).down
    }

    /// When anything about it next changes by itself.
    pub fn next_change(&self, plan: &Plan, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let place = plan.place(endpoint);
        let own = [place.from, place.gone].into_iter().filter(|at| *at > now && *at < Duration::MAX);
        own.chain(self.troubles.next_change(now, endpoint)).min()
    }

    /// Which troubles stand at an endpoint now.
    pub fn conditions(&self, now: Duration, endpoint: EndpointId) -> Conditions {
        self.troubles.at(now, endpoint)
    }

    /// Whether a connection breaks before a call's last byte.
    pub fn cuts_before(&mut self, now: Duration, endpoint: EndpointId) -> bool {
        let share = self.troubles.at(now, endpoint).reset_before;
        share > 0.0 && self.rng.random_bool(share)
    }

    /// A call's last byte has come: it begins.
    pub fn arrive(
        &mut self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        pieces: &[Piece],
    ) -> Reception {
        if !self.reachable(plan, now, endpoint) {
            return Reception::reset(now, pieces.len(), false);
        }
        let gate = self.endpoints[endpoint.0 as usize].gate;
        if self.gates[gate].recovery.push(now) {
            return Reception::reset(now, pieces.len(), true);
        }
        let conditions = self.troubles.at(now, endpoint);
        if let Some(wait) = self.shut(now, &conditions) {
            return Reception::full(now, pieces.len(), wait, None);
        }
        let group = plan.group(self.endpoints[endpoint.0 as usize].destination);
        let limiter = &mut self.gates[gate].limiter;
        limiter.lower(now, conditions.limit);
        let room = limiter.take(now);
        let report = group.report.then(|| limiter.report(now)).flatten();
        if let Err(wait) = room {
            let tells = self.strikes(group.limit.tells);
            return Reception::full(now, pieces.len(), tells.then_some(wait), report);
        }
        let fresh: Vec<bool> = pieces.iter().map(|piece| self.is_fresh(now, endpoint, piece)).collect();
        if self.strikes(conditions.errors) {
            return self.fail(now, endpoint, pieces, fresh, report);
        }
        match self.work(plan, now, endpoint, &conditions, group, &fresh) {
            None => Reception::full(now, pieces.len(), None, report),
            Some(finish) => {
                let (answer, effects) = self.complete(now, endpoint, &conditions, pieces, fresh, finish);
                Reception { answer, effects, report, fell: false }
            }
        }
    }

    /// Whether something with this share of all cases happens in this one.
    fn strikes(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share)
    }

    /// Whether all calls are turned away; then the wait, where it is told.
    fn shut(&mut self, now: Duration, conditions: &Conditions) -> Option<Option<Duration>> {
        if let Some((until, tells)) = conditions.shut {
            let tells = self.strikes(tells);
            return Some(tells.then(|| until.saturating_sub(now)));
        }
        (conditions.drains && now >= conditions.drained).then_some(None)
    }

    /// A call fails somewhere on the way: half of them after the work was done.
    fn fail(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        pieces: &[Piece],
        fresh: Vec<bool>,
        report: Option<LimitReport>,
    ) -> Reception {
        let ran = self.rng.random_bool(0.5);
        let effects: Vec<bool> = fresh.iter().map(|fresh| *fresh && ran).collect();
        self.remember(now, endpoint, pieces, &effects);
        Reception { answer: Some((now + AT_ONCE, Answer::Error)), effects, report, fell: false }
    }

    /// A call was worked on until `finish`: when and what it is answered, if it is, and which of its packets took
    /// effect.
    fn complete(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        conditions: &Conditions,
        pieces: &[Piece],
        fresh: Vec<bool>,
        finish: Duration,
    ) -> (Option<(Duration, Answer)>, Vec<bool>) {
        let mut effects = fresh;
        let answer = self.answer(conditions, pieces, &mut effects);
        self.remember(now, endpoint, pieces, &effects);
        if conditions.silent {
            return (None, effects);
        }
        let down = self.troubles.next_down(now, endpoint).filter(|down| *down < finish);
        let answer = match down {
            // It dies with the call at work.
            Some(down) => Some((down, Answer::Reset)),
            None => answer.map(|answer| (finish, answer)),
        };
        (answer, effects)
    }

    /// How a call at work ends, and which of its packets take effect after all.
    fn answer(&mut self, conditions: &Conditions, pieces: &[Piece], effects: &mut [bool]) -> Option<Answer> {
        if self.strikes(conditions.answer_lost) {
            return None;
        }
        if self.strikes(conditions.reset_after) {
            return Some(Answer::Reset);
        }
        if let Some((share, manner)) = conditions.spoilt
            && self.strikes(share)
        {
            return Some(Answer::Spoilt(manner));
        }
        if pieces.len() < 2 || conditions.partial == 0.0 {
            return Some(Answer::Done);
        }
        let mut each = Vec::with_capacity(pieces.len());
        for effect in effects.iter_mut() {
            each.push(match self.strikes(conditions.partial) {
                false => PieceAnswer::Accepted,
                true if self.strikes(0.5) => {
                    *effect = false;
                    PieceAnswer::Deferred
                }
                true => PieceAnswer::Fault,
            });
        }
        let wait = each.contains(&PieceAnswer::Deferred).then_some(conditions.wait);
        Some(Answer::Mixed(each, wait))
    }

    /// Whether a packet would take effect: a repeat that is remembered does not.
    fn is_fresh(&self, now: Duration, endpoint: EndpointId, piece: &Piece) -> bool {
        let key = (self.endpoints[endpoint.0 as usize].destination, piece.origin);
        piece.repeat != Repeat::Deduplicated || self.remembered.get(&key).is_none_or(|until| *until < now)
    }

    fn remember(&mut self, now: Duration, endpoint: EndpointId, pieces: &[Piece], effects: &[bool]) {
        let destination = self.endpoints[endpoint.0 as usize].destination;
        let ran = pieces.iter().zip(effects).filter(|(piece, ran)| **ran && !piece.memory.is_zero());
        for (piece, _) in ran {
            self.remembered.insert((destination, piece.origin), now + piece.memory);
        }
    }

    /// A server works on the call; `None` if the queue is full.
    fn work(
        &mut self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        conditions: &Conditions,
        group: &Destinations,
        fresh: &[bool],
    ) -> Option<Duration> {
        let own = &mut self.endpoints[endpoint.0 as usize];
        own.starts.retain(|start| *start > now);
        if own.starts.len() >= group.queue {
            return None;
        }
        let present = self.gates[own.gate].recovery.present(now);
        let pace = plan.destination(own.destination).pace.mul_f64(conditions.slow / present);
        let drawn = LogNormal::new(0.0, group.spread.max(0.0)).map_or(1.0, |draw| draw.sample(&mut self.rng));
        // A repeat is known without the work; each further packet of a call adds a part of one alone.
        let news = fresh.iter().filter(|fresh| **fresh).count() as f64;
        let amount = if news == 0.0 { 0.25 } else { 1.0 + 0.25 * (news - 1.0) };
        let server = own.free_at.iter_mut().min()?;
        let start = now.max(*server);
        let finish = start + pace.mul_f64(drawn * amount);
        *server = finish;
        if start > now {
            own.starts.push_back(start);
        }
        Some(finish)
    }

    /// What an onlooker who sees everything knows: when a call that came now, behind so many others on their way,
    /// would be answered with success.
    pub fn would_finish(
        &self,
        plan: &Plan,
        now: Duration,
        endpoint: EndpointId,
        behind: usize,
    ) -> Option<Duration> {
        let place = plan.place(endpoint);
        let own = &self.endpoints[endpoint.0 as usize];
        let gate = &self.gates[own.gate];
        let conditions = self.troubles.at(now, endpoint);
        let troubled = conditions.black_hole || conditions.silent || conditions.shut.is_some();
        let lossy = conditions.errors + conditions.answer_lost + conditions.reset_after > 0.5;
        let group = plan.group(own.destination);
        let there = place.from <= now && self.reachable(plan, now, endpoint) && now < conditions.drained;
        let mut limiter = gate.limiter.clone();
        limiter.lower(now, conditions.limit);
        if !there
            || troubled
            || lossy
            || !limiter.has_room(now, behind)
            || !gate.recovery.has_room(now, behind)
        {
            return None;
        }
        let waiting = own.starts.iter().filter(|start| **start > now).count() + behind;
        if waiting >= group.queue || own.connections >= group.connections {
            return None;
        }
        let mut free = own.free_at.clone();
        free.sort();
        let pace = plan.destination(own.destination).pace;
        let pace = pace.mul_f64(conditions.slow / gate.recovery.present(now));
        // Those on their way go first, each to the server that is free first.
        let rounds = pace * (behind / free.len()) as u32;
        let start = free[behind % free.len()].max(now) + rounds;
        Some(start + pace)
    }

    /// Whether two endpoints share what senders must keep to.
    pub fn gate(&self, endpoint: EndpointId) -> usize {
        self.endpoints[endpoint.0 as usize].gate
    }
}
