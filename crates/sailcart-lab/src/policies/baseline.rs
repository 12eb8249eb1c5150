//! What the module is measured against. A baseline keeps no waits, guards no return and learns no limit; it keeps
//! to what every careful client does: one end for each packet, no second copy, nothing to what is not listed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::{DestinationId, EndpointId, Host, ListEntry, Outcome, Packet, PacketId, Repeat, Settings};

use super::{OracleView, Policy, PolicyName};

/// The first step of a backoff, and the longest.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(8));
/// Failures in a row that open a breaker, and for how long.
const BREAKER: (u32, Duration) = (5, Duration::from_secs(5));
/// How often the oracle looks again at packets that nobody would take just now.
const LOOK: Duration = Duration::from_millis(20);
/// Times the expected answer time, after which the oracle holds an answer for lost.
const LOST: u32 = 8;
/// Part of the patience at its end in which nothing new goes out.
const LAST: u32 = 40;

#[derive(Clone, Copy, PartialEq)]
enum State {
    Held,
    Out(EndpointId),
}

struct Kept {
    packet: Packet,
    state: State,
    not_before: Duration,
    /// Until when a repeat is known, once it may have run.
    known_until: Option<Duration>,
}

#[derive(Default)]
struct Seen {
    destination: Option<DestinationId>,
    live: bool,
    out: usize,
    failures: u32,
    open_until: Duration,
}

impl Seen {
    /// A call to it has come back; failures in a row open its breaker.
    fn call_over(&mut self, now: Duration, outcome: Outcome) {
        self.out = self.out.saturating_sub(1);
        self.failures = if outcome == Outcome::Done { 0 } else { self.failures + 1 };
        if self.failures >= BREAKER.0 {
            (self.open_until, self.failures) = (now + BREAKER.1, BREAKER.0 - 1);
        }
    }
}

/// One sender that decides by a baseline.
pub struct Baseline {
    name: PolicyName,
    terms: Settings,
    rng: ChaCha8Rng,
    packets: BTreeMap<PacketId, Kept>,
    line: VecDeque<PacketId>,
    endpoints: BTreeMap<EndpointId, Seen>,
    of: BTreeMap<DestinationId, Vec<EndpointId>>,
    /// The oracle keeps waits that were told: it would be the top otherwise by breaking a rule.
    waits: BTreeMap<DestinationId, Duration>,
    turns: BTreeMap<sailcart::KeyId, (VecDeque<PacketId>, Duration)>,
    out: usize,
}

impl Baseline {
    /// A sender at its start; `name` is one of the baselines.
    pub fn new(name: PolicyName, terms: Settings, seed: u64) -> Self {
        Baseline {
            name,
            terms,
            rng: ChaCha8Rng::seed_from_u64(seed),
            packets: BTreeMap::new(),
            line: VecDeque::new(),
            endpoints: BTreeMap::new(),
            of: BTreeMap::new(),
            waits: BTreeMap::new(),
            turns: BTreeMap::new(),
            out: 0,
        }
    }

    fn last_start(&self, kept: &Kept) -> Duration {
        let patience = self.terms.categories[kept.packet.category.0].patience;
        let last = kept.packet.deadline.saturating_sub(patience / LAST);
        kept.known_until.map_or(last, |known| last.min(known.saturating_sub(patience / LAST)))
    }

    fn end(&mut self, id: PacketId, host: &mut dyn Host) {
        let Some(kept) = self.packets.remove(&id) else { return };
        let repeat = self.terms.categories[kept.packet.category.0].repeat;
        if kept.known_until.is_some() && repeat == Repeat::Unrepeatable {
            host.scrap(id);
        } else {
            host.dismiss(id, self.terms.max_retry_after.map(|most| most.min(BACKOFF.0)));
        }
        self.line.retain(|other| *other != id);
        self.leave_turn(&kept.packet);
    }

    fn leave_turn(&mut self, packet: &Packet) {
        if let Some((queue, _)) = packet.key.and_then(|key| self.turns.get_mut(&key)) {
            queue.retain(|other| *other != packet.id);
        }
    }

    fn in_turn(&self, now: Duration, packet: &Packet) -> bool {
        let in_order = self.terms.categories[packet.category.0].in_order;
        let turn = packet.key.filter(|_| in_order).and_then(|key| self.turns.get(&key));
        turn.is_none_or(|(queue, rests)| queue.front() == Some(&packet.id) && *rests <= now)
    }

    fn pick(
        &mut self,
        now: Duration,
        to: DestinationId,
        also: usize,
        view: &dyn OracleView,
    ) -> Option<(EndpointId, Option<Duration>)> {
        let live: Vec<EndpointId> = self.of.get(&to).into_iter().flatten().copied().collect();
        let live: Vec<EndpointId> = live.into_iter().filter(|id| self.endpoints[id].live).collect();
        match self.name {
            PolicyName::Oracle => {
                if self.waits.get(&to).is_some_and(|until| *until > now) {
                    return None;
                }
                let finish = |id: &EndpointId| view.would_finish(now, *id, also).map(|at| (at, *id));
                live.iter().filter_map(finish).min().map(|(at, id)| (id, Some((at - now) * LOST)))
            }
            PolicyName::Breaker => {
                let open = |id: &&EndpointId| self.endpoints[id].open_until <= now;
                live.iter().filter(open).min_by_key(|id| (self.endpoints[id].out, **id)).map(|id| (*id, None))
            }
            _ => live.choose(&mut self.rng).map(|id| (*id, None)),
        }
    }

    /// What can still come in time goes first, the first to be wanted before others.
    fn wanted_first(&mut self, now: Duration) {
        let rank = |id: &PacketId| {
            let kept = self.packets.get(id)?;
            let category = &self.terms.categories[kept.packet.category.0];
            let soft = kept.packet.deadline.saturating_sub(category.patience - category.soft_limit);
            Some((soft < now + LOOK, soft, *id))
        };
        let mut ranked: Vec<_> = self.line.iter().filter_map(rank).collect();
        ranked.sort();
        self.line = ranked.into_iter().map(|(_, _, id)| id).collect();
    }

    /// After a call that may have run: a repeat is known for a time, and its key rests.
    fn may_have_run(&mut self, now: Duration, packet: &Packet, elapsed: Duration) {
        let memory = memory(self.terms.categories[packet.category.0].repeat);
        let known = now.saturating_sub(elapsed).saturating_add(memory);
        if let Some(kept) = self.packets.get_mut(&packet.id) {
            kept.known_until = Some(kept.known_until.map_or(known, |before| before.min(known)));
        }
        if let Some((_, rests)) = packet.key.and_then(|key| self.turns.get_mut(&key)) {
            *rests = now + self.terms.key_block_time;
        }
    }

    /// Nothing more goes out for a packet.
    fn is_spent(&self, now: Duration, kept: &Kept) -> bool {
        let repeat = self.terms.categories[kept.packet.category.0].repeat;
        let unsure = kept.known_until.is_some() && repeat == Repeat::Unrepeatable;
        let once = self.name == PolicyName::OneTry && kept.packet.dispatches > 0;
        unsure || once || kept.packet.dispatches >= self.terms.max_dispatches || self.last_start(kept) <= now
    }

    /// How long a call may take; `lost` is when its answer is held for lost.
    fn time_out(&self, now: Duration, packet: &Packet, lost: Option<Duration>) -> Duration {
        let left = packet.deadline.saturating_sub(now);
        let category = self.terms.categories[packet.category.0];
        let time_out = match category.repeat {
            Repeat::Unrepeatable => left,
            _ => left.min(category.patience / 3),
        };
        lost.map_or(time_out, |lost| time_out.min(lost))
    }

    /// A call with a packet goes out.
    fn send(&mut self, id: PacketId, endpoint: EndpointId) {
        if let Some(kept) = self.packets.get_mut(&id) {
            kept.packet.dispatches += 1;
            kept.state = State::Out(endpoint);
        }
        self.out += 1;
        self.endpoints.entry(endpoint).or_default().out += 1;
    }

    fn after(&mut self, now: Duration, dispatches: u32) -> Duration {
        match self.name {
            PolicyName::Backoff => {
                let most = BACKOFF.0.saturating_mul(1 << dispatches.min(16)).min(BACKOFF.1);
                now + most.mul_f64(self.rng.random())
            }
            PolicyName::Oracle => now + LOOK,
            _ => now,
        }
    }
}

/// For how long a receiver knows a repeat as one.
fn memory(repeat: Repeat) -> Duration {
    match repeat {
        Repeat::Deduplicated { memory } => memory,
        _ => Duration::MAX,
    }
}

impl Policy for Baseline {
    fn update_list(&mut self, _: Duration, whole: bool, lines: &[ListEntry]) {
        if whole {
            self.endpoints.values_mut().for_each(|seen| seen.live = false);
        }
        for line in lines {
            let seen = self.endpoints.entry(line.endpoint).or_default();
            seen.live = line.live;
            if seen.destination.replace(line.destination).is_none() {
                self.of.entry(line.destination).or_default().push(line.endpoint);
            }
        }
    }

    fn accept(&mut self, _: Duration, packet: Packet) {
        let category = self.terms.categories[packet.category.0];
        if let (true, Some(key)) = (category.in_order, packet.key) {
            self.turns.entry(key).or_default().0.push_back(packet.id);
        }
        let known_until =
            packet.possibly_executed_at.map(|doubt| doubt.saturating_add(memory(category.repeat)));
        let id = packet.id;
        self.packets.insert(id, Kept { packet, state: State::Held, not_before: Duration::ZERO, known_until });
        self.line.push_back(id);
    }

    fn record_outcome(
        &mut self,
        now: Duration,
        id: PacketId,
        elapsed: Duration,
        outcome: Outcome,
        over: bool,
    ) {
        let Some(kept) = self.packets.get_mut(&id) else { return };
        let State::Out(endpoint) = kept.state else { return };
        kept.state = State::Held;
        let packet = kept.packet.clone();
        self.out = self.out.saturating_sub(1);
        if let Some(seen) = self.endpoints.get_mut(&endpoint) {
            seen.call_over(now, outcome);
        }
        if over || outcome == Outcome::Done {
            self.packets.remove(&id);
            return self.leave_turn(&packet);
        }
        if matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.may_have_run(now, &packet, elapsed);
        }
        if let Outcome::Full(Some(wait)) = outcome {
            let until = self.waits.entry(packet.destination).or_default();
            *until = (now + wait).max(*until);
        }
        let again = self.after(now, packet.dispatches);
        if let Some(kept) = self.packets.get_mut(&id) {
            kept.not_before = again;
        }
        self.line.push_back(id);
    }

    fn may_still_dispatch(&self, _: Duration, id: PacketId) -> bool {
        let Some(State::Out(endpoint)) = self.packets.get(&id).map(|kept| kept.state) else { return false };
        self.endpoints.get(&endpoint).is_some_and(|seen| seen.live)
    }

    fn decide(&mut self, now: Duration, view: &dyn OracleView, host: &mut dyn Host) {
        let (mut looked, mut wake) = (VecDeque::new(), Duration::MAX);
        let mut chosen: BTreeMap<DestinationId, usize> = BTreeMap::new();
        if self.name == PolicyName::Oracle {
            self.wanted_first(now);
        }
        while let Some(id) = self.line.pop_front() {
            let Some(kept) = self.packets.get(&id).filter(|kept| kept.state == State::Held) else { continue };
            if self.is_spent(now, kept) {
                self.end(id, host);
                continue;
            }
            let (packet, last, not_before) = (kept.packet.clone(), self.last_start(kept), kept.not_before);
            let ready = not_before <= now && self.out < self.terms.slots && self.in_turn(now, &packet);
            let also = chosen.get(&packet.destination).copied().unwrap_or(0);
            let endpoint = if ready { self.pick(now, packet.destination, also, view) } else { None };
            let Some((endpoint, lost)) = endpoint else {
                let look = if not_before > now { not_before } else { now + LOOK };
                wake = wake.min(look).min(last);
                looked.push_back(id);
                continue;
            };
            *chosen.entry(packet.destination).or_default() += 1;
            let time_out = self.time_out(now, &packet, lost);
            self.send(id, endpoint);
            host.dispatch(id, endpoint, time_out);
        }
        self.line = looked;
        if wake < Duration::MAX {
            host.wake(wake.saturating_sub(now).max(Duration::from_millis(1)));
        }
    }
}
