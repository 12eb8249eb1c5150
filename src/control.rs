//! Every decision of a sender. [`Sender::list`], [`Sender::take`], [`Sender::outcome`], [`Sender::withdraw`]
//! take note; once a round [`Sender::decide`] acts through the [`Host`]. The interface stands in `host.rs`.
//! The design: a token bucket per lane (a destination, or a route with a limit of its own) before any slot,
//! deferral by the bucket's deficit, max-min shares of the slots, a cap per destination. Beside it stand:
//! 1. return guard: a lane seen in an outage gets a rate that even a cold destination can take;
//! 2. silence watch: a lane whose calls stay out long gets one new call at a time; they give way to others;
//! 3. endpoint caps: an endpoint that lost a call starts again at one in flight and grows with answers;
//! 4. order of credit: which of a destination's held packets goes first;
//! 5. making room: a hold that is nearly full dismisses the packet with the least to hope for;
//! 6. closing: where kinds of destination lose calls, many senders leave no idle connection behind.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::counting_map::Table;
use crate::decaying_counter::DecayingCounter;
use crate::host::*;
use crate::listing::Directory;
use crate::state::*;
use crate::token_bucket::TokenBucket;

const FLOOR: f64 = 0.5; // a lane's rate never falls below one call in two seconds, but see CROWD
const CUT: f64 = 0.5; // a full refusal leaves this share of the rate
const LIFT: f64 = 1.0 / 16.0; // each success gives back this share of the listed or last known rate
const CROWD: f64 = 3.0; // more senders than these share its floor: else it alone overruns small limits
const BURST: f64 = 0.25; // seconds of r; a whole second overran limits that all senders share
const GUARD: f64 = 0.9; // of what the return rule or a told limit allows; chance needs the rest
const SILENCE: u32 = 4; // times the usual answer time, with nothing else answering
const LOSSES: f64 = 3.0; // in a row make an outage; a full refusal counts half, being mostly a limit
const BROKEN: f64 = 0.25; // losses for a connection that broke under a call, where traffic is not thin
const WEAR: f64 = 1.0 / 64.0; // losses for an answer from which on idle connections are not kept
const AGAIN: f64 = 0.1; // refused packets that may go again for each answer, where traffic is thin
const TRIP: u32 = 8; // part of the soft limit before a packet's end in which no dispatch starts
const UNSENT: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(320)]; // rests after calls not sent
const SPARE: usize = 16; // one part in so many of the hold is kept free
const MOST_ACTIVE: usize = 4096; // destinations of which all that was learned is kept; see `evict_idle`

fn span_of(amount: f64, rate: f64) -> Duration {
    Duration::try_from_secs_f64((amount / rate).max(0.0)).unwrap_or(Duration::MAX)
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Health {
    #[default]
    Well,
    Quiet,          // calls stay out and nothing answers; no outage yet
    Sick,           // an outage was seen
    Back(Duration), // it answered after an outage and may be cold since then
}

impl Health {
    fn silent(self) -> bool {
        matches!(self, Health::Quiet | Health::Sick)
    }
}

/// A destination or, where routes are apart, one route: what has one limit and one state of health.
#[derive(Default)]
struct Lane {
    listed: Option<f64>,
    rate: Option<f64>, // `None` until the first full refusal, where no rate is listed
    top: f64,          // what the rate climbs back to: listed, or last known
    bucket: TokenBucket,
    blocked: Duration, // a told wait stands until then
    unsent: Duration,  // this machine could not send: how long the lane rests for it, and until when
    unsent_until: Duration,
    cut_at: Option<Duration>,
    health: Health,
    done: DecayingCounter,
    asked: DecayingCounter, // packets taken for it
    told: Option<Report>,   // the last word of its limit
    row: f64,               // losses since the last answer, and when they began
    crowded: u32,           // calls since the last answer that found its connections taken
    row_since: Duration,
    answered: Option<Duration>,
    pace: Option<Duration>, // mean time to an answer
    usual: f64,             // calls a second that it answered this sender while well
}

impl Lane {
    /// The rate that the return rule leaves this sender from an outage on until the lane is warm, so that the
    /// moment of its return needs not be known. Harm: a lane that lost calls by chance is slow for that time.
    fn guard(&self, now: Duration, figures: &Figures) -> f64 {
        let back = &figures.back;
        let warm = match self.health {
            Health::Well => return f64::INFINITY,
            Health::Quiet | Health::Sick => 0.0,
            Health::Back(since) => now.saturating_sub(since).as_secs_f64() / back.cold.as_secs_f64(),
        };
        let present = back.cold_from + (1.0 - back.cold_from) * warm.min(1.0);
        let part = match self.listed {
            listed if figures.thin => {
                let asked = self.asked_rate(now, figures);
                listed.map_or(asked, |_| asked.min(self.top)) // what is asked may be more than it ever takes
            }
            listed => listed.map_or(self.usual, |listed| listed / figures.senders),
        };
        (GUARD * back.fall_multiple * present * part).max(FLOOR / figures.senders)
    }

    fn limit(&self, now: Duration, figures: &Figures) -> Option<(f64, f64)> {
        let guard = self.guard(now, figures);
        let rate = self.rate.map_or(f64::INFINITY, |r| r.max(self.back_to(now, figures))).min(guard);
        let burst = if guard.is_finite() { 1.0 } else { rate * BURST };
        rate.is_finite().then_some((rate, burst))
    }

    /// How long until the bucket has a token and no wait stands; zero if a call may go now.
    fn opens_in(&self, now: Duration, figures: &Figures) -> Duration {
        let deficit = |(rate, burst)| span_of(1.0 - self.bucket.read(now, rate, burst), rate);
        let shut = self.blocked.max(self.unsent_until).saturating_sub(now);
        self.limit(now, figures).map_or(Duration::ZERO, deficit).max(shut)
    }

    fn expected(&self, figures: &Figures) -> Duration {
        let own = self.pace.unwrap_or(figures.usual);
        if figures.thin { own.max(figures.usual) } else { own } // one fast answer is no measure
    }

    /// When a call without an answer begins to look like a silence.
    fn quiet_after(&self, figures: &Figures) -> Duration {
        self.expected(figures).saturating_mul(SILENCE).clamp(figures.soft / 8, figures.soft)
    }

    fn asked_rate(&self, now: Duration, figures: &Figures) -> f64 {
        self.asked.read(now, figures.soft * 8) / (figures.soft * 8).as_secs_f64()
    }

    fn served(&self, now: Duration, figures: &Figures) -> f64 {
        self.done.read(now, figures.soft) / figures.soft.as_secs_f64()
    }

    fn note_done(&mut self, now: Duration, elapsed: Duration, room: f64, figures: &Figures) {
        self.done.add(now, figures.soft);
        (self.row, self.crowded, self.answered) = (0.0, 0, Some(now));
        self.pace = Some(self.pace.map_or(elapsed, |pace| (pace * 7 + elapsed) / 8));
        match self.health {
            Health::Well => {
                let seen = self.served(now, figures);
                self.usual = seen.max(self.usual - (self.usual - seen) / 64.0).max(FLOOR); // a slow peak
            }
            Health::Quiet => self.health = Health::Well,
            Health::Sick => {
                self.health = if figures.thin { Health::Well } else { Health::Back(now) };
                // Refusals of a destination that was shut said nothing of its limit.
                self.rate = self.rate.map(|rate| rate.max(self.top));
            }
            Health::Back(since) => {
                let warm = now.saturating_sub(since) >= figures.back.cold;
                self.health = if warm { Health::Well } else { self.health };
            }
        }
        if self.heed_told(figures) {
            return;
        }
        if figures.thin && self.listed.is_some() && elapsed > figures.usual * 2 {
            // A queue grows there and holds slots: what success lifted is taken back. Harm: slow by nature.
            self.rate = self.rate.map(|r| (r * CUT).max(self.top).min(r));
            return;
        }
        let least = if self.listed.is_none() { FLOOR / 2.0 * figures.crowding } else { 0.0 };
        let (step, room) = ((self.top * LIFT).max(least), if figures.thin { room * FLOOR } else { 0.0 });
        self.rate = self.rate.map(|r| (r + step).max(room).min(self.listed.unwrap_or(f64::INFINITY)));
    }

    /// This sender's part of the limit that answers tell, where they do.
    fn part(&self, figures: &Figures) -> Option<f64> {
        self.told.map(|told| told.limit / figures.senders)
    }

    /// What all senders together leave of the limit moves r: up while more than half is left, else down. That
    /// share of this sender's part is always its own: if all take theirs, no more is used than was left.
    fn heed_told(&mut self, figures: &Figures) -> bool {
        let Some((told, part)) = self.told.zip(self.part(figures)) else { return false };
        let heeded = |r: f64| (r * (0.5 + told.left)).max(told.left * part).min(told.limit);
        self.rate = self.rate.map(heeded);
        true
    }

    /// Where the limit is told, r is near this sender's part of it again a soft limit after its last cut: who
    /// seldom calls seldom hears that there is room. Harm: refusals at a limit that all overrun.
    fn back_to(&self, now: Duration, figures: &Figures) -> f64 {
        let Some((part, cut)) = self.part(figures).zip(self.cut_at) else { return 0.0 };
        let since = now.saturating_sub(cut).as_secs_f64() / figures.soft.as_secs_f64();
        GUARD * part * since.min(1.0)
    }

    /// A call came back without an answer. Losses in a row make an outage; one or two may be chance.
    /// Refusals of a limit come in short rows, those of a destination that is shut last a soft limit or more.
    fn note_loss(&mut self, now: Duration, weight: f64, sure: bool, figures: &Figures) {
        self.row_since = if self.row == 0.0 { now } else { self.row_since };
        self.row += weight;
        let lasting = sure || now.saturating_sub(self.row_since) >= figures.soft;
        if self.row >= LOSSES && lasting {
            self.health = Health::Sick;
        }
    }

    /// A told wait. A long one ends with the return of a lane that was shut, cold, and for all that were told
    /// of it at the same moment: the first call of each is drawn by chance. Harm: limits of long spans.
    fn note_wait(&mut self, end: Duration, long: bool, chance: f64) {
        self.blocked = self.blocked.max(end);
        if long {
            self.health = Health::Back(self.blocked);
            self.bucket = TokenBucket { tokens: Some(chance), at: self.blocked };
        }
    }

    /// Where traffic is thin an outage is a call or two to each sender, and all that were told of it return
    /// together. So a lane rests by chance, longer the longer nothing was answered: the calls of those that
    /// were told stay under what a cold lane can take, however many they are. Harm: one chance loss waits.
    fn rest(&mut self, now: Duration, least: Duration, chance: f64, figures: &Figures) {
        if figures.thin {
            let usual = span_of(1.0, self.asked_rate(now, figures)); // from one packet to the next
            let span = (least + now.saturating_sub(self.row_since)).min(usual);
            let cold = GUARD * figures.back.fall_multiple * figures.back.cold_from;
            self.blocked = self.blocked.max(now.saturating_add(span.mul_f64(2.0 * chance / cold)));
        }
    }

    /// This machine could not send the call: its token comes back, and the lane rests a little, longer with each in a row, so that
    /// no loop runs on what fails at once. Harm: the first call after a journal or descriptors are well again is late by that.
    fn note_unsent(&mut self, now: Duration) {
        let [least, most] = UNSENT;
        self.unsent = (self.unsent * 2).clamp(least, most);
        self.unsent_until = now.saturating_add(self.unsent);
        self.bucket.tokens = self.bucket.tokens.map(|tokens| tokens + 1.0);
    }

    /// All connections are taken, which says nothing of the limit: the token comes back, and the lane rests
    /// by chance for about an answer time more with each such call, as others wait for the same room.
    fn note_no_room(&mut self, now: Duration, chance: f64, figures: &Figures) {
        self.crowded += 1;
        let rest = self.expected(figures).mul_f64(2.0 * chance * f64::from(self.crowded));
        self.blocked = self.blocked.max(now.saturating_add(rest.min(figures.soft)));
        self.bucket.tokens = self.bucket.tokens.map(|tokens| tokens + 1.0);
        self.note_loss(now, 0.5, false, figures);
    }

    /// Full: r is the served rate at the first refusal, then halves, and what tokens are left were not there.
    /// Calls sent before the last cut tell nothing new: one cut a round at most, and one for each burst.
    fn note_full(&mut self, now: Duration, sent: Duration, chance: f64, room: f64, figures: &Figures) {
        if self.cut_at.is_none_or(|cut| sent > cut) {
            let served = self.served(now, figures);
            if self.listed.is_none() && self.row == 0.0 {
                self.top = self.rate.unwrap_or(served).max(FLOOR);
            }
            let cut = self.rate.map_or(served.max(FLOOR), |rate| rate * CUT.min(room));
            // Where the limit is told, a quarter to half of this sender's part is left, as refused calls may
            // use it up; else half of its part of what is listed at least, if traffic is thin.
            let floor = FLOOR * figures.crowding;
            let cut = match (self.rate, self.part(figures)) {
                (Some(rate), Some(part)) => (rate * CUT).clamp(part * CUT * CUT, part * CUT),
                _ if figures.thin => cut.max(self.listed.unwrap_or(0.0) / figures.senders * CUT).max(floor),
                _ => cut.max(floor),
            };
            (self.rate, self.cut_at) = (Some(cut), Some(now));
            if self.blocked <= now || self.health == Health::Well {
                self.bucket =
                    TokenBucket { tokens: Some((chance - 0.5) * (1.0 - figures.crowding)), at: now };
            }
        }
        self.note_loss(now, if self.may_be_shut(figures) { LOSSES / 2.0 } else { 0.5 }, false, figures);
    }

    /// Told that little is left, r answers a refusal; with room left, or not told, it may be an outage.
    fn may_be_shut(&self, figures: &Figures) -> bool {
        figures.thin && self.told.is_none_or(|told| told.left > 0.5)
    }
}

struct TrackedPacket {
    packet: Packet,
    trade: Category,
    soft: Duration, // when its answer is wanted
    over_share: bool,
    refused: bool, // and goes again for a part of the answers only
    state: State,
}

impl TrackedPacket {
    fn owed_a_try(&self) -> bool {
        self.packet.taken_on && self.packet.dispatches == 0
    }
}

#[derive(Default)]
struct Figures {
    terms: Terms,
    senders: f64,
    crowding: f64, // share of the floor and the least step that is left to each of many senders
    thin: bool,    // so many senders that a lane sees a call of each now and then
    most_held: usize,
    quotas: Vec<f64>, // this sender's part of each customer's quota
    soft: Duration,   // the tightest soft limit: the scale of all that is measured
    usual: Duration,  // mean time to an answer anywhere: what a lane is judged by until its first
    back: Return,
}

impl Figures {
    fn new(terms: Terms) -> Self {
        let senders = terms.senders.max(1) as f64;
        let soft = terms.categories.iter().map(|t| t.soft_limit).min().unwrap_or_default();
        let soft = soft.max(Duration::from_millis(1));
        Figures {
            senders,
            crowding: (CROWD / senders).min(1.0),
            thin: senders > 4.0 * CROWD,
            most_held: terms.hold.saturating_sub((terms.hold / SPARE).max(1)),
            soft,
            usual: soft / 4,
            quotas: terms.customers.iter().map(|c| c.quota / senders).collect(),
            back: terms.back.clone(),
            terms,
        }
    }
}

#[derive(Default)]
pub struct Sender {
    figures: Figures,
    rng: Option<ChaCha8Rng>,
    now: Duration,
    packets: BTreeMap<PacketId, TrackedPacket>,
    listing: Directory,                                // all that is listed
    destinations: Table<DestinationId, Destination>,   // those that had traffic, and what was learned of them
    active: VecDeque<DestinationId>,                   // the same, looked at in turn by `evict_idle`
    changed: BTreeSet<DestinationId>,                  // of these, what is gone may be forgotten
    held: BTreeMap<DestinationId, BTreeSet<PacketId>>, // only destinations that have some
    lanes: Table<LaneId, Lane>,
    endpoints: Table<EndpointId, Endpoint>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    turns: BTreeMap<KeyId, Turn>,
    customers: Vec<TokenBucket>,
    due: BTreeSet<(Duration, PacketId)>, // when held packets are looked at again or end
    wear: Vec<[DecayingCounter; 4]>,     // answers, losses, refusals and full tables by kind
    idle: BTreeSet<EndpointId>,          // where a call came back this round
    again: f64,                          // refused packets that may go again where traffic is thin
    spent: Vec<(PacketId, Option<Duration>)>, // packets to be answered this round, and what wait is told
    woken_at: Option<Duration>,
    ask_at: Option<Duration>, // when the list is asked for, where it does not come unasked
    asks_lost: u32,           // in a row
}

impl Sender {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let customers = terms.customers.iter().map(|_| TokenBucket::default()).collect();
        let rng = Some(ChaCha8Rng::seed_from_u64(seed));
        let wear = terms.kinds.iter().map(|_| Default::default()).collect();
        let again = terms.slots as f64;
        Sender { again, customers, wear, rng, figures: Figures::new(terms), ..Sender::default() }
    }

    /// At the start, and when the list was asked for in vain or its watch broke, perhaps for all: each asks
    /// by chance within a quarter of the time in which it has to, twice as long with each failure in a row.
    pub fn list_failed(&mut self, now: Duration) {
        let Some((within, rng)) = self.figures.terms.list_asked.zip(self.rng.as_mut()) else { return };
        let span = (within / 4).saturating_mul(1 << self.asks_lost.min(2));
        self.ask_at = Some(now.saturating_add(span.mul_f64(rng.random())));
        self.asks_lost += 1;
    }

    /// Destinations of which more is kept than their entry in the list.
    pub fn active(&self) -> usize {
        self.destinations.len()
    }

    /// Table entries looked at so far: work in step with what changed, or with all that is listed.
    pub fn visited(&self) -> u64 {
        let tables = [self.destinations.visited(), self.lanes.visited(), self.endpoints.visited()];
        self.listing.visited() + tables.iter().sum::<u64>()
    }

    pub fn holds(&self, id: PacketId) -> bool {
        self.packets.contains_key(&id)
    }

    /// News of the destination list; a whole list replaces the old one. Each line is noted, and applied at
    /// once for a destination that had traffic, for another with its first packet.
    pub fn list(&mut self, now: Duration, whole: bool, lines: &[Listing]) {
        self.now = now.max(self.now);
        self.asks_lost = if self.ask_at.is_none() { 0 } else { self.asks_lost };
        if whole {
            self.listing.clear();
            self.endpoints.values_mut().for_each(|e| e.live = false);
            self.changed.extend(self.destinations.keys());
        }
        for line in lines {
            self.listing.note(line);
            if self.destinations.contains_key(&line.destination) {
                self.changed.insert(line.destination);
                self.apply_line(line);
            }
        }
        self.forget_gone();
    }

    fn apply_line(&mut self, line: &Listing) {
        let kind = &self.figures.terms.kinds[line.kind.0];
        let lane = (line.destination, kind.own_limits.then_some(line.endpoint));
        let destination = self.destinations.entry(line.destination).or_default();
        destination.batch = kind.batch;
        destination.lanes.insert(lane);
        let bucket = self.lanes.entry(lane).or_default();
        if self.figures.terms.rates_listed && line.rate > 0.0 && bucket.listed != Some(line.rate) {
            // All senders fill from the listed rate, so each starts with a part, and climbs to the whole.
            let part = 2.0 * line.rate / (1.0 + self.figures.senders);
            (bucket.listed, bucket.top) = (Some(line.rate), part);
            // Where answers tell of limits, the first ones put right what starts too high.
            let shared = self.figures.thin && !self.figures.terms.limits_told;
            let least = if shared { FLOOR * self.figures.crowding } else { FLOOR };
            bucket.rate = Some(part.max(least).min(line.rate));
        }
        if destination.endpoints.is_empty() && bucket.health == Health::Quiet {
            bucket.health = Health::Well; // all machines are new
        }
        destination.endpoints.insert(line.endpoint);
        let new = Endpoint { lane, live: line.live, kind: line.kind, cap: self.figures.terms.slots };
        self.endpoints.entry(line.endpoint).or_insert(new).live = line.live;
    }

    /// What is gone and idle is forgotten, a destination only after the time of warming, as a wait may last.
    fn forget_gone(&mut self) {
        let changed = std::mem::take(&mut self.changed);
        for id in &changed {
            let Some(Destination { endpoints, lanes, .. }) = self.destinations.get_mut(id) else { continue };
            let out = |id: &EndpointId| self.calls.values().any(|call| call.endpoint == *id);
            endpoints.retain(|id| self.endpoints.retain_one(id, |endpoint| endpoint.live || out(id)));
            let stays = |lane: &LaneId| lane.1.is_none_or(|endpoint| endpoints.contains(&endpoint));
            lanes.retain(|lane| self.lanes.retain_one(lane, |_| stays(lane)));
        }
        let left = self.held.iter().filter(|(id, _)| !self.listing.lists(**id)).flat_map(|(_, held)| held);
        left.copied().collect::<Vec<_>>().into_iter().for_each(|id| self.hold(id));
        for id in changed {
            let Some(destination) = self.destinations.get(&id) else { continue };
            let recent = destination.used.saturating_add(self.figures.back.cold) > self.now;
            let gone = |id: &EndpointId| self.endpoints.get(id).is_none_or(|endpoint| !endpoint.live);
            if destination.endpoints.is_empty() && !self.held.contains_key(&id) && !recent {
                self.forget(id);
            } else if !self.listing.lists(id) || destination.endpoints.iter().any(gone) {
                self.changed.insert(id);
            }
        }
    }

    fn forget(&mut self, id: DestinationId) {
        let gone = self.destinations.remove(&id).unwrap_or_default();
        self.lanes.remove_all(&gone.lanes);
        self.endpoints.remove_all(&gone.endpoints);
    }

    fn lanes_of(&self, id: &DestinationId) -> impl Iterator<Item = &Lane> {
        let lanes = self.destinations.get(id).into_iter().flat_map(|destination| &destination.lanes);
        lanes.map(|lane| &self.lanes[lane])
    }

    /// With its first packet a destination gets all that its entry in the list stands for.
    fn activate(&mut self, id: DestinationId) {
        if !self.destinations.contains_key(&id) {
            self.destinations.insert(id, Destination::default());
            self.active.push_back(id);
            self.listing.lines(id).iter().for_each(|line| self.apply_line(line));
        }
    }

    /// Guards memory: beyond `MOST_ACTIVE` one not used for the time of warming keeps only its entry
    /// in the list, unless a wait, a rest or an outage stands. Harm: it is learned anew.
    fn evict_idle(&mut self) {
        for _ in 0..self.active.len().saturating_sub(MOST_ACTIVE).min(2) {
            let Some(id) = self.active.pop_front() else { return };
            let Some(destination) = self.destinations.get(&id) else { continue };
            let quiet = |lane: &Lane| lane.health == Health::Well && lane.blocked <= self.now;
            let idle = !self.held.contains_key(&id) && self.out(&id) == 0;
            let warm = destination.used.saturating_add(self.figures.back.cold) <= self.now;
            if idle && warm && self.lanes_of(&id).all(quiet) {
                self.forget(id);
            } else {
                self.active.push_back(id);
            }
        }
    }

    /// A packet is handed in, or back after a restart: it keeps its dispatches, its doubt and, while a call
    /// of the life before may still run, its key's rest. Its times count from its first handing in anywhere.
    pub fn take(&mut self, now: Duration, packet: Packet) {
        self.now = now.max(self.now);
        let trade = self.figures.terms.categories[packet.category.0];
        let soft = packet.ends.saturating_sub(trade.patience.saturating_sub(trade.soft_limit));
        if let (true, Some(key)) = (trade.in_order, packet.key) {
            let turn = self.turns.entry(key).or_default();
            turn.queue.push_back(packet.id);
            turn.rests_until =
                turn.rests_until.max(packet.doubt.map_or(now, |_| now + self.figures.terms.settle));
        }
        // Beyond this sender's part of its customer's quota a packet carries little.
        let over_share = packet.customer.is_some_and(|CustomerId(at)| {
            let quota = self.figures.quotas[at];
            !self.customers[at].take(self.now, quota, quota * self.figures.soft.as_secs_f64())
        });
        let (id, to, state) = (packet.id, packet.destination, State::Held(packet.doubt));
        self.packets.insert(id, TrackedPacket { packet, trade, soft, over_share, refused: false, state });
        self.evict_idle();
        self.activate(to);
        for lane in &self.destinations[&to].lanes {
            self.lanes.entry(*lane).and_modify(|lane| lane.asked.add(now, self.figures.soft * 8));
        }
        self.hold(id);
    }

    /// Asked before the first byte of a call that may have waited for its connection: since it was decided,
    /// its endpoint may have left the list, a wait may have been told, or the time for it may be over.
    pub fn may_still_go(&self, now: Duration, id: PacketId) -> bool {
        let Some(kept) = self.packets.get(&id) else { return false };
        let State::Out(call, _) = kept.state else { return false };
        let call = &self.calls[&call];
        let live = self.endpoints.get(&call.endpoint).is_some_and(|e| e.live);
        live && self.lanes[&call.lane].blocked <= now && now < self.holdable_until(kept)
    }

    pub fn withdraw(&mut self, now: Duration, id: PacketId) {
        self.now = now.max(self.now);
        match self.packets.get(&id).map(|kept| kept.state) {
            Some(State::Out(call, _)) => self.change_state(id, State::Withdrawn(call)),
            Some(State::Held(_)) => self.change_state(id, State::Scrapped),
            _ => {}
        }
    }

    /// What the answer of a dispatch that is out tells of the limit, before its outcome. Heeded where traffic
    /// is thin: elsewhere a sender's own answers tell more. Twice what is listed is the most to be believed.
    pub fn report(&mut self, id: PacketId, report: Report) {
        let Some(State::Out(call, _)) = self.packets.get(&id).map(|kept| kept.state) else { return };
        let lane = self.lanes.get_mut(&self.calls[&call].lane).filter(|_| self.figures.thin);
        if let Some(lane) = lane {
            let limit = report.limit.min(2.0 * lane.listed.unwrap_or(f64::INFINITY));
            lane.told = Some(Report { limit, ..report });
        }
    }

    /// A dispatch came back. `over` is set once the packet has ended.
    pub fn outcome(&mut self, now: Duration, id: PacketId, elapsed: Duration, outcome: Outcome, over: bool) {
        self.now = now.max(self.now);
        let Some(kept) = self.packets.get_mut(&id) else { return };
        let lanes = self.destinations.get(&kept.packet.destination).into_iter().flat_map(|d| &d.lanes);
        // Where limits are told, r alone holds back what was refused.
        let blind = |lane: &Lane| lane.told.is_none() && lane.listed.is_none();
        let untold = self.figures.thin && lanes.into_iter().all(|lane| blind(&self.lanes[lane]));
        kept.refused |= untold && matches!(outcome, Outcome::Full(_));
        let spent = if outcome == Outcome::Moot { self.figures.terms.dispatches } else { 0 };
        kept.packet.dispatches -= u32::from(outcome == Outcome::Unsent);
        kept.packet.dispatches = kept.packet.dispatches.max(spent);
        let (state, key, to) = (kept.state, kept.packet.key, kept.packet.destination);
        let (State::Out(call, _) | State::Withdrawn(call)) = state else { return };
        let since = self.learn_from(call, elapsed, outcome);
        let may_still_run = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, Some(turn)) = (may_still_run, key.and_then(|key| self.turns.get_mut(&key))) {
            turn.rests_until = now.saturating_add(self.figures.terms.settle);
        }
        let (State::Out(_, doubt), false) = (state, over || outcome == Outcome::Done) else {
            return self.change_state(id, State::Done);
        };
        let may_have_run = may_still_run || outcome == Outcome::Error;
        self.change_state(id, State::Held(doubt.or(may_have_run.then_some(since))));
        if self.figures.thin {
            self.dismiss_outlasted(to);
        }
    }

    /// Learns from a call, once for all its packets. Tells when it was sent.
    fn learn_from(&mut self, call: u64, elapsed: Duration, outcome: Outcome) -> Duration {
        let (now, figures) = (self.now, &self.figures);
        let chance = self.rng.as_mut().map_or(0.5, |rng| rng.random());
        let Some(call) = self.calls.get_mut(&call) else { return now };
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return call.sent };
        let Some(lane) = self.lanes.get_mut(&call.lane) else { return call.sent };
        // Each outcome of a call may come in a round of its own and tells its wait anew: the longest stands.
        if let Outcome::Full(Some(wait)) = outcome {
            lane.note_wait(now.saturating_add(wait), wait > figures.soft, chance);
        }
        if std::mem::replace(&mut call.judged, true) {
            return call.sent;
        }
        lane.unsent = if outcome == Outcome::Unsent { lane.unsent } else { Duration::ZERO };
        self.idle.insert(call.endpoint);
        let [answers, losses, refusals, crowds] = &mut self.wear[endpoint.kind.0];
        let (refused, done) = (refusals.read(now, figures.soft * 8), answers.read(now, figures.soft * 8));
        // The share not refused of this kind's calls, from four on, as each lane alone tells too little.
        let room = if figures.thin { (1.0 - refused / (refused + done + 4.0)).powi(4) } else { 1.0 };
        match outcome {
            Outcome::Done => {
                endpoint.cap = (endpoint.cap + 1).min(figures.terms.slots);
                answers.add(now, figures.soft * 8);
                self.again = (self.again + AGAIN).min(figures.terms.slots as f64);
                lane.note_done(now, elapsed, room, figures);
                self.figures.usual = (self.figures.usual * 7 + elapsed) / 8;
            }
            Outcome::Full(_) => {
                refusals.add(now, figures.soft * 8);
                lane.note_full(now, call.sent, chance, room, figures);
                if lane.may_be_shut(figures) {
                    // Beside told limits it says more; not in step with the cut's token.
                    let least = figures.soft / if figures.terms.limits_told { 1 } else { 2 };
                    lane.rest(now, least, 1.0 - chance, figures);
                }
            }
            Outcome::NoRoom => {
                let (kind, first) = (endpoint.kind, crowds.read(now, figures.soft * 8) <= WEAR);
                crowds.add(now, figures.soft * 8);
                lane.note_no_room(now, chance, figures);
                if first {
                    // Idle ones left anywhere there hold what others need; later calls leave none.
                    let alike = self.endpoints.iter().filter(|(_, other)| other.kind == kind);
                    self.idle.extend(alike.map(|(id, _)| *id));
                }
            }
            Outcome::Unsent => lane.note_unsent(now),
            Outcome::NoSlot | Outcome::Moot => {}
            // A peer that closes early is no outage: refused connects soon tell of one. Harm: until then.
            Outcome::Reset if !figures.thin => lane.note_loss(now, BROKEN, false, figures),
            _ => {
                losses.add(now, figures.soft * 8);
                endpoint.cap = 1;
                let health = lane.health;
                lane.note_loss(now, if figures.thin { LOSSES / 2.0 } else { 1.0 }, true, figures);
                let least = lane.told.map_or(figures.soft / 2, |_| Duration::ZERO);
                lane.rest(now, least, chance, figures);
                if figures.thin && lane.health != health {
                    lane.bucket = TokenBucket { tokens: Some(chance), at: now }; // no trials in step
                } else if figures.thin && health == Health::Well {
                    lane.bucket = TokenBucket { tokens: Some(1.0), at: lane.blocked }; // the rest decides
                }
            }
        }
        call.sent
    }

    /// Every change of a packet's state: what it leaves is released, what it enters is booked.
    fn change_state(&mut self, id: PacketId, to: State) {
        let Some(kept) = self.packets.get_mut(&id) else { return };
        let from = std::mem::replace(&mut kept.state, to);
        let destination = kept.packet.destination;
        match (from, to) {
            (State::Out(..), State::Withdrawn(_)) => return,
            (State::Held(_), _) => {
                let mut held = self.held.remove(&destination).unwrap_or_default();
                held.remove(&id);
                if !held.is_empty() {
                    self.held.insert(destination, held);
                }
            }
            (State::Out(call, _) | State::Withdrawn(call), _) => {
                self.calls.entry(call).and_modify(|call| call.packets.retain(|other| *other != id));
                self.calls.retain(|_, call| !call.packets.is_empty());
            }
            _ => {}
        }
        match to {
            State::Held(_) => self.hold(id),
            State::Out(call, _) => {
                self.calls.entry(call).and_modify(|call| call.packets.push(id));
            }
            State::Withdrawn(_) => {}
            State::Done | State::Dismissed | State::Scrapped => self.leave(id),
        }
    }

    fn hold(&mut self, id: PacketId) {
        let Some(kept) = self.packets.get(&id) else { return };
        let (to, last) = (kept.packet.destination, self.holdable_until(kept));
        let (listed, soon) = (self.listing.lists(to), self.now.saturating_add(kept.trade.soft_limit));
        // An endpoint may appear; end_due looks again.
        let until = if listed || kept.owed_a_try() { last } else { last.min(soon) };
        self.destinations.entry(to).or_default().used = self.now;
        self.changed.extend((!listed).then_some(to));
        let wait = self.wait(to, self.held.get(&to).map_or(0, BTreeSet::len));
        let unsure = kept.trade.repeat == Repeat::Unrepeatable && kept.state != State::Held(None);
        let spent = unsure || kept.packet.dispatches >= self.figures.terms.dispatches;
        if spent || self.outlasts(wait, kept) {
            self.spent.push((id, Some(wait)));
        }
        self.held.entry(to).or_default().insert(id);
        self.due.insert((until, id));
    }

    /// How long a packet waits with so many of its destination before it: for them at r, and where traffic is
    /// thin until a lane opens.
    fn wait(&self, to: DestinationId, before: usize) -> Duration {
        let Some(destination) = self.destinations.get(&to) else { return Duration::ZERO };
        let top = |lane: &Lane| lane.rate.map_or(f64::INFINITY, |r| r.max(lane.top));
        let rate: f64 = self.lanes_of(&to).map(top).sum();
        let opens = self.lanes_of(&to).map(|lane| lane.opens_in(self.now, &self.figures)).min();
        let before = span_of(before as f64, rate * destination.batch.max(1) as f64);
        before.max(opens.filter(|_| self.figures.thin).unwrap_or_default())
    }

    /// A deficit that outlasts a packet's time: dismissed at once, with the wait as retry-after. What an
    /// earlier life took on and did not try is tried, unless what blocks its lanes outlasts it.
    fn outlasts(&self, wait: Duration, kept: &TrackedPacket) -> bool {
        let lanes = self.lanes_of(&kept.packet.destination);
        let Some(blocked) = lanes.map(|lane| lane.blocked).min() else { return false };
        let until = if kept.owed_a_try() { blocked } else { self.now.saturating_add(wait) };
        until > kept.packet.ends
    }

    /// A lane was cut: guards against packets that wait on although it opens after their time.
    fn dismiss_outlasted(&mut self, to: DestinationId) {
        let held = self.held.get(&to).into_iter().flatten().enumerate();
        let waits = held.map(|(before, id)| (*id, self.wait(to, before)));
        let over = waits.filter(|(id, wait)| self.outlasts(*wait, &self.packets[id]));
        let over: Vec<_> = over.map(|(id, wait)| (id, Some(wait))).collect();
        self.spent.extend(over);
    }

    /// Until when a packet may be dispatched: by its patience, and the memory of it if it may have run.
    fn holdable_until(&self, kept: &TrackedPacket) -> Duration {
        let last = match (kept.state, kept.trade.repeat) {
            (State::Held(Some(doubt)) | State::Out(_, Some(doubt)), Repeat::Deduplicated { memory, .. }) => {
                doubt.saturating_add(memory)
            }
            _ => Duration::MAX,
        };
        last.min(kept.packet.ends).saturating_sub(kept.trade.soft_limit / TRIP)
    }

    fn leave(&mut self, id: PacketId) {
        if let Some(key) = self.packets.remove(&id).and_then(|kept| kept.packet.key) {
            self.turns.entry(key).and_modify(|turn| turn.queue.retain(|other| *other != id));
            self.turns.retain(|_, turn| !turn.queue.is_empty() || turn.rests_until > self.now);
        }
    }

    pub fn decide(&mut self, now: Duration, host: &mut impl Host) {
        self.now = now.max(self.now);
        if self.ask_at.take_if(|at| *at <= self.now).is_some() {
            host.ask_list();
        }
        self.end_due(host);
        self.close_idle(host);
        self.detect_silence();
        self.shed_load(host);
        self.cancel_overdue(host);
        self.place(host);
        self.set_wake(host);
    }

    fn end_due(&mut self, host: &mut impl Host) {
        for (id, wait) in std::mem::take(&mut self.spent) {
            self.end(id, wait, host);
        }
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            let Some(kept) = self.packets.get(&id) else { continue };
            let State::Held(_) = kept.state else { continue };
            let until = self.holdable_until(kept);
            if until > self.now && self.listing.lists(kept.packet.destination) {
                self.due.insert((until, id));
            } else {
                self.end(id, None, host);
            }
        }
    }

    /// Guards against full connection tables and connections dropped unseen. Harm: handshakes.
    fn close_idle(&mut self, host: &mut impl Host) {
        for id in std::mem::take(&mut self.idle) {
            let Some(endpoint) = self.endpoints.get(&id) else { continue };
            let (now, span) = (self.now, self.figures.soft * 8);
            let [answers, losses, _, crowds] = &self.wear[endpoint.kind.0];
            // A table was full: others need the room that an idle one takes, however many answers there are.
            let worn =
                losses.read(now, span) > answers.read(now, span) * WEAR || crowds.read(now, span) > WEAR;
            if worn && self.figures.thin && self.calls.values().all(|call| call.endpoint != id) {
                host.close_idle(id);
            }
        }
    }

    /// The final answer: a dismissal where the category lets the client try again without harm.
    fn end(&mut self, id: PacketId, wait: Option<Duration>, host: &mut impl Host) {
        let Some(kept) = self.packets.get(&id) else { return };
        let State::Held(doubt) = kept.state else { return };
        let harmless = doubt.is_none() || kept.trade.repeat != Repeat::Unrepeatable;
        if harmless {
            let wait = wait.unwrap_or_default().max(kept.trade.soft_limit / TRIP);
            host.dismiss(id, self.figures.terms.retry_after.map(|most| wait.min(most)));
            self.change_state(id, State::Dismissed);
        } else {
            host.scrap(id);
            self.change_state(id, State::Scrapped);
        }
    }

    /// Guards against calls that are taken and not answered: before the first time-out a lane gets one new
    /// call at a time. Harm: it idles behind one slow call; left out in thin traffic, as others seldom tell.
    fn detect_silence(&mut self) {
        for call in self.calls.values() {
            let Some(lane) = self.lanes.get_mut(&call.lane) else { continue };
            let silent = !self.figures.thin && self.now >= call.sent + lane.quiet_after(&self.figures);
            if silent && lane.health == Health::Well && lane.answered.is_none_or(|at| at < call.sent) {
                lane.health = Health::Quiet;
            }
        }
    }

    /// A destination in trouble would fill the hold: the one with the most held gives up its oldest packet.
    fn shed_load(&mut self, host: &mut impl Host) {
        while self.packets.len() > self.figures.most_held {
            let new =
                |held: &&BTreeSet<PacketId>| held.iter().filter(|id| !self.packets[id].owed_a_try()).count();
            let Some(fullest) = self.held.values().max_by_key(new) else { return };
            let rank = |id: &&PacketId| {
                let TrackedPacket { packet, over_share, .. } = &self.packets[id];
                (self.packets[id].owed_a_try(), !over_share, packet.ends, **id)
            };
            let Some(victim) = fullest.iter().min_by_key(rank).copied() else { return };
            self.end(victim, self.figures.terms.retry_after, host);
        }
    }

    /// Guards against slots filled by calls without an answer: where a well destination has packets waiting,
    /// overdue calls beyond an eighth of the slots are called off, repeatable ones first; at a well lane,
    /// which may just be slow, after twice the silence. Harm: an answer to come may be lost.
    fn cancel_overdue(&mut self, host: &mut impl Host) {
        if !self.figures.terms.cancel || self.calls.len() < self.figures.terms.slots || !self.well_waits() {
            return;
        }
        let mut silent: Vec<(bool, Duration, u64)> = Vec::new();
        for (id, call) in &self.calls {
            let lane = &self.lanes[&call.lane];
            let slow = !self.figures.thin || lane.quiet_after(&self.figures) > self.figures.soft / 3;
            let surely = if lane.health == Health::Well && slow { 2 } else { 1 };
            if self.now >= call.sent + lane.quiet_after(&self.figures) * surely {
                let last = call.packets.iter().any(|p| self.packets[p].trade.repeat == Repeat::Unrepeatable);
                silent.push((last, call.sent, *id));
            }
        }
        silent.sort();
        for (_, _, id) in silent.iter().take(silent.len().saturating_sub(self.figures.terms.slots / 8)) {
            if let Some(call) = self.calls.get_mut(id).filter(|call| !call.given_up) {
                call.given_up = true;
                for packet in &call.packets {
                    host.cancel(*packet, self.packets[packet].packet.dispatches - 1);
                }
            }
        }
    }

    fn well_waits(&self) -> bool {
        let mut waiting = self.held.keys().filter(|id| self.out(id) < self.cap(id));
        waiting.any(|id| self.lanes_of(id).any(|lane| lane.health == Health::Well))
    }

    /// Past its bucket a packet takes any free slot; the next goes to whom is furthest below its share, among
    /// equals to whom answers sooner: where slots are short, an hour of a slow one is many calls of others.
    fn place(&mut self, host: &mut impl Host) {
        let open = |lane: &Lane| lane.opens_in(self.now, &self.figures).is_zero();
        let held = self.held.keys().copied().filter(|_| self.calls.len() < self.figures.terms.slots);
        let mut ready: Vec<_> = held.filter(|id| self.lanes_of(id).any(open)).collect();
        if ready.is_empty() {
            return;
        }
        let shares = self.shares();
        while self.calls.len() < self.figures.terms.slots {
            let below = |id: &DestinationId| shares[id] - self.out(id) as f64;
            let sooner = |lane: &Lane| lane.expected(&self.figures);
            let rank = |id| (below(id), self.lanes_of(id).map(sooner).min());
            let next = (0..ready.len()).max_by(|a, b| {
                let (a, b) = (rank(&ready[*a]), rank(&ready[*b]));
                a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
            });
            let Some(next) = next else { return };
            if !self.dispatch_one(ready[next], host) {
                ready.swap_remove(next);
            }
        }
    }

    /// Max-min shares of the slots by demand: calls in flight and packets held, up to the cap.
    fn shares(&self) -> BTreeMap<DestinationId, f64> {
        let takers: BTreeSet<_> =
            self.held.keys().copied().chain(self.calls.values().map(|call| call.lane.0)).collect();
        let held = |id| self.held.get(id).map_or(0, BTreeSet::len);
        let demand = |id| (self.out(id) + held(id)).min(self.cap(id)) as f64;
        let mut demands: Vec<_> = takers.iter().map(|id| (demand(id), *id)).collect();
        demands.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut left, mut takers) = (self.figures.terms.slots as f64, demands.len() as f64);
        let mut shares = BTreeMap::new();
        for (demand, id) in demands {
            let share = demand.min(left / takers);
            shares.insert(id, share);
            (left, takers) = (left - share, takers - 1.0);
        }
        shares
    }

    fn out(&self, id: &DestinationId) -> usize {
        self.calls.values().filter(|call| call.lane.0 == *id).count()
    }

    /// The cap: three quarters of the slots, half while failing or slow.
    fn cap(&self, id: &DestinationId) -> usize {
        let ill =
            |lane: &Lane| lane.health != Health::Well || lane.expected(&self.figures) > self.figures.soft;
        let ill = self.lanes_of(id).any(ill);
        let cap = if ill { self.figures.terms.slots / 2 } else { self.figures.terms.slots * 3 / 4 };
        cap.max(1)
    }

    /// One call to a destination, filled up to its batch. False if none can go now.
    fn dispatch_one(&mut self, id: DestinationId, host: &mut impl Host) -> bool {
        if self.out(&id) >= self.cap(&id) {
            return false;
        }
        let Some(endpoint_id) = self.draw(id) else { return false };
        let lane = self.endpoints[&endpoint_id].lane;
        let batch = self.destinations[&id].batch.max(1);
        let may_go = self.held.get(&id).into_iter().flatten().filter(|packet| self.may_go(**packet));
        let mut ranked: Vec<_> =
            may_go.map(|packet| (self.rank(*packet, &self.lanes[&lane]), *packet)).collect();
        if ranked.is_empty() {
            return false;
        }
        ranked.sort();
        let (call, sent) = (self.next_call, self.now);
        self.next_call += 1;
        let new = Call { endpoint: endpoint_id, lane, sent, packets: vec![], judged: false, given_up: false };
        self.calls.insert(call, new);
        let booked = self.lanes.entry(lane).or_default();
        if let Some((rate, burst)) = booked.limit(sent, &self.figures) {
            booked.bucket.take(sent, rate, burst);
        }
        for (_, packet) in ranked.into_iter().take(batch) {
            let time_out = self.time_out(packet);
            let Some(kept) = self.packets.get_mut(&packet) else { continue };
            let State::Held(doubt) = kept.state else { continue };
            kept.packet.dispatches += 1;
            self.again -= if kept.refused { 1.0 } else { 0.0 };
            host.dispatch(packet, endpoint_id, time_out);
            self.change_state(packet, State::Out(call, doubt));
        }
        true
    }

    /// A third of the patience, so that what may go again does; the whole for what may not.
    fn time_out(&self, id: PacketId) -> Duration {
        let TrackedPacket { packet, trade, .. } = &self.packets[&id];
        let left = packet.ends.saturating_sub(self.now);
        if trade.repeat == Repeat::Unrepeatable { left } else { left.min(trade.patience / 3) }
    }

    /// Draws an endpoint with odds in step with the room that its cap on calls in flight leaves. Lanes in
    /// silence together hold half of the slots at most.
    fn draw(&mut self, id: DestinationId) -> Option<EndpointId> {
        let trials = self.calls.values().filter(|call| self.lanes[&call.lane].health.silent());
        let trials_left = (self.figures.terms.slots / 2).max(1).saturating_sub(trials.count());
        let (now, figures) = (self.now, &self.figures);
        let mut odds: Vec<(f64, EndpointId)> = Vec::new();
        for id in &self.destinations[&id].endpoints {
            let Some(endpoint) = self.endpoints.get(id) else { continue };
            let lane = &self.lanes[&endpoint.lane];
            let out = self.calls.values().filter(|call| call.endpoint == *id).count();
            let free = endpoint.cap.saturating_sub(out);
            let shut = !endpoint.live || free == 0 || !lane.opens_in(now, figures).is_zero();
            if !shut && (trials_left > 0 || !lane.health.silent()) {
                odds.push((free as f64, *id));
            }
        }
        let rng = self.rng.as_mut()?;
        odds.choose_weighted(rng, |(odds, _)| *odds).ok().map(|(_, id)| *id)
    }

    fn may_go(&self, id: PacketId) -> bool {
        let kept = &self.packets[&id];
        let again = !kept.refused || self.again >= 1.0;
        let turn = kept.packet.key.filter(|_| kept.trade.in_order).and_then(|key| self.turns.get(&key));
        again && turn.is_none_or(|t| t.queue.front() == Some(&id) && t.rests_until <= self.now)
    }

    /// Which held packet goes first. A lane in silence is tried with what may be repeated. Otherwise those
    /// within their customer's quota, then those that are not late, then the first to be wanted.
    fn rank(&self, id: PacketId, lane: &Lane) -> (Option<(Repeat, u32)>, bool, bool, Duration) {
        let kept = &self.packets[&id];
        let trial = lane.health.silent().then_some((kept.trade.repeat, kept.packet.dispatches));
        // Where credit falls evenly, a late packet loses with every second while others lose nothing yet.
        let late =
            self.figures.terms.late == Late::Halves && kept.soft < self.now + lane.expected(&self.figures);
        (trial, kept.over_share, late, if late { kept.packet.ends } else { kept.soft })
    }

    fn set_wake(&mut self, host: &mut impl Host) {
        let (now, figures) = (self.now, &self.figures);
        let lanes = self.held.keys().flat_map(|id| self.lanes_of(id));
        let opens = lanes.map(|lane| now.saturating_add(lane.opens_in(now, figures)));
        let rests = self.turns.values().filter(|turn| !turn.queue.is_empty()).map(|turn| turn.rests_until);
        let silences = self.calls.values().map(|c| c.sent + self.lanes[&c.lane].quiet_after(figures));
        let due = self.due.first().map(|(at, _)| *at);
        let times = opens.chain(rests).chain(silences).chain(due).chain(self.ask_at);
        let Some(next) = times.filter(|at| *at > now && *at < Duration::MAX).min() else { return };
        if self.woken_at.is_none_or(|at| at <= now || next < at) {
            self.woken_at = Some(next);
            // A carrier's clock may be coarser: a wake just before its time would be the last.
            host.wake(next - now + Duration::from_micros(1));
        }
    }
}
