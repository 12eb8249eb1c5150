//! The module in simulated time: hundreds of senders on one event queue, each with its own seed and sharing
//! nothing. The same seed gives the same result, to the byte.

mod queue;
mod sender;

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use sailcart::{EndpointId, Outcome as Came, PacketId, Report};

use crate::events::Log;
use crate::experiment::TroubleKind;
use crate::plan::{OriginId, Plan, SenderId, Standing, chance};
use crate::policies::{Eyes, PolicyName};
use crate::receivers::{Answer, Connect, Piece, PieceAnswer, Receivers, Weather};
use crate::results::Outcome;
use crate::results::tally::{Count, Tally};
use crate::watcher::{CallId, End, GateId, Handed, Heard, Seen, Watcher};
use queue::Queue;
use sender::{Acts, Post};

/// How long a client waits for its answer before it hands the packet in elsewhere.
const CLIENT: Duration = Duration::from_millis(400);
/// A sender that stops as told lets calls come back for so long.
const STOPPING: Duration = Duration::from_secs(3);
/// From a sender's end to its being ready again.
const RESTART: Duration = Duration::from_millis(600);

/// What happens at a time.
#[derive(Clone, Debug)]
enum Event {
    HandIn(OriginId, u32),
    Round(SenderId, u32),
    /// A call's connection stands.
    Up(u64),
    NotUp(u64),
    /// A call's last byte has come.
    Arrive(u64),
    /// What it was answered has come back.
    Back(u64),
    /// It is given up.
    GiveUp(u64, Came),
    Told(SenderId, usize),
    StopTaking(SenderId),
    Kill(SenderId),
    Start(SenderId),
    OutageFrom(GateId),
    Sample,
}

/// A packet as handed in once.
struct Parcel {
    origin: OriginId,
    sender: SenderId,
    tries: u32,
    handed: Duration,
    ends: Duration,
    dispatches: u32,
    doubt: Option<Duration>,
    flight: Option<u64>,
    answered: bool,
    end: Option<End>,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Connecting,
    /// Written, on its way to the receiver.
    Going,
    /// It came; what it will be answered, if it will, and what that tells of the limit.
    There(Option<Answer>, Option<Report>),
    Over,
}

struct Flight {
    sender: SenderId,
    endpoint: EndpointId,
    packets: Vec<PacketId>,
    start: Duration,
    stage: Stage,
    /// Its connection counts at the endpoint.
    connected: bool,
}

impl Flight {
    /// The one place where a call's stage changes.
    fn turn(&mut self, to: Stage) {
        debug_assert!(self.stage != Stage::Over, "a call that is over stays over");
        self.stage = to;
    }
}

pub struct World<'a> {
    plan: &'a Plan,
    now: Duration,
    queue: Queue<Event>,
    receivers: Receivers,
    watcher: Watcher,
    tally: Tally,
    log: Log,
    posts: Vec<Post>,
    /// Calls that have not reached their receiver yet, by gate.
    going: Vec<usize>,
    parcels: Vec<Parcel>,
    flights: std::collections::HashMap<u64, Flight>,
    next_flight: u64,
    rng: ChaCha8Rng,
}

struct Sight<'a> {
    plan: &'a Plan,
    receivers: &'a Receivers,
    /// Calls on their way, by gate.
    going: &'a [usize],
}

impl Eyes for Sight<'_> {
    fn would_finish(&self, now: Duration, endpoint: EndpointId, also: usize) -> Option<Duration> {
        let behind = self.going[self.receivers.gate(endpoint)] + also;
        self.receivers.would_finish(self.plan, now, endpoint, behind)
    }
}

/// Plays an experiment; tells what came of it. `progress` hears the simulated time, now and then.
pub fn run(plan: &Plan, policy: PolicyName, log: Log, progress: &mut dyn FnMut(Duration)) -> Outcome {
    run_with(plan, policy, log, progress, &|seed| crate::policies::start(policy, &plan.terms, seed))
}

/// The same with senders of one's own making, as tests do with wrong ones.
pub fn run_with(
    plan: &Plan,
    policy: PolicyName,
    log: Log,
    progress: &mut dyn FnMut(Duration),
    make: &dyn Fn(u64) -> Box<dyn crate::policies::Policy>,
) -> Outcome {
    let mut world = World::new(plan, log);
    world.schedule();
    for sender in 0..world.posts.len() {
        world.start(SenderId(sender), make);
    }
    let end = plan.end();
    let mut told = Duration::ZERO;
    while let Some((at, event)) = world.queue.pop().filter(|(at, _)| *at <= end) {
        world.now = at;
        world.happens(event, make);
        if at > told + Duration::from_millis(200) {
            told = at;
            progress(at);
        }
    }
    world.watcher.finish(end);
    world.log.finish();
    world.tally.outcome(plan, crate::experiment::Mode::Virtual, policy, &world.watcher, Vec::new())
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, log: Log) -> Self {
        World {
            plan,
            now: Duration::ZERO,
            queue: Queue::default(),
            receivers: Receivers::new(plan),
            watcher: Watcher::new(&plan.experiment.rules),
            tally: Tally::new(plan),
            log,
            posts: (0..plan.experiment.senders.count).map(|_| Post::default()).collect(),
            going: vec![0; plan.places.len()],
            parcels: Vec::new(),
            flights: std::collections::HashMap::new(),
            next_flight: 0,
            rng: chance(plan.seed, 5),
        }
    }

    /// What is known ahead.
    fn schedule(&mut self) {
        for (at, origin) in self.plan.origins.iter().enumerate() {
            self.queue.push(origin.at, Event::HandIn(OriginId(at), 0));
        }
        for sender in 0..self.posts.len() {
            for (nth, change) in self.plan.changes.iter().enumerate() {
                let at = self.plan.told_at(change, SenderId(sender));
                self.queue.push(at, Event::Told(SenderId(sender), nth));
            }
        }
        for (at, event) in lives(self.plan) {
            self.queue.push(at, event);
        }
        let weather = Weather::new(self.plan);
        for place in &self.plan.places {
            let gate = GateId(self.receivers.gate(place.endpoint));
            for (from, _) in weather.outages(place.endpoint) {
                self.queue.push(from, Event::OutageFrom(gate));
            }
        }
        for second in 0..self.plan.end().as_secs() {
            self.queue.push(Duration::from_secs(second), Event::Sample);
        }
    }

    fn see(&mut self, seen: Seen) {
        self.log.write(self.now, &seen);
        self.watcher.see(self.now, &seen);
    }

    fn happens(&mut self, event: Event, make: &dyn Fn(u64) -> Box<dyn crate::policies::Policy>) {
        match event {
            Event::HandIn(origin, tries) => self.hand_in(origin, tries),
            Event::Round(sender, life) => {
                if self.posts[sender.0].life == life && self.posts[sender.0].policy.is_some() {
                    self.round(sender);
                }
            }
            Event::Up(call) => self.up(call),
            Event::NotUp(call) => self.back(call, Came::NoConnection),
            Event::Arrive(call) => self.arrive(call),
            Event::Back(call) => self.answered(call),
            Event::GiveUp(call, outcome) => self.give_up(call, outcome),
            Event::Told(sender, change) => self.told(sender, change),
            Event::StopTaking(sender) => self.posts[sender.0].taking = false,
            Event::Kill(sender) => self.kill(sender),
            Event::Start(sender) => self.start(sender, make),
            Event::OutageFrom(gate) => self.see(Seen::OutageFrom(gate)),
            Event::Sample => {
                self.tally.sample(self.now);
                self.sweep();
            }
        }
    }

    /// A client hands its packet in to a sender of its choice.
    fn hand_in(&mut self, id: OriginId, tries: u32) {
        let origin = &self.plan.origins[id.0];
        let ends = origin.at + self.plan.category(origin.category).patience;
        if self.now >= ends {
            return;
        }
        let Some(sender) = self.choose(id) else {
            return self.queue.push(self.now + CLIENT / 4, Event::HandIn(id, tries));
        };
        let packet = PacketId(self.parcels.len() as u64);
        let category = self.plan.category(origin.category);
        let handed = Handed {
            packet,
            origin: id,
            sender,
            destination: origin.destination,
            repeat: category.repeat,
            in_order: category.in_order,
            key: origin.key,
            ends,
        };
        self.parcels.push(Parcel {
            origin: id,
            sender,
            tries,
            handed: self.now,
            ends,
            dispatches: 0,
            doubt: None,
            flight: None,
            answered: false,
            end: None,
        });
        self.see(Seen::Handed(handed));
        self.tally.count(Count::HandedIn);
        if self.posts[sender.0].held.len() >= self.plan.terms.hold {
            return self.ended(packet, End::Dismissed, self.plan.terms.retry_after);
        }
        self.tally.holds(origin.destination, true);
        let taken = self.describe(packet);
        let now = self.now;
        let post = &mut self.posts[sender.0];
        post.held.insert(packet);
        post.fresh.push(packet);
        if let Some(policy) = &mut post.policy {
            policy.take(now, taken);
        }
        self.ring(sender);
    }

    fn describe(&self, packet: PacketId) -> sailcart::Packet {
        let parcel = &self.parcels[packet.0 as usize];
        let origin = &self.plan.origins[parcel.origin.0];
        sailcart::Packet {
            id: packet,
            destination: origin.destination,
            category: origin.category,
            customer: origin.customer,
            key: origin.key,
            ends: parcel.ends,
            dispatches: parcel.dispatches,
            doubt: parcel.doubt,
            taken_on: false,
        }
    }

    /// By key where it has one, so that one sender gets all of a key while it runs; else any.
    fn choose(&mut self, id: OriginId) -> Option<SenderId> {
        let up: Vec<usize> = (0..self.posts.len()).filter(|at| self.posts[*at].taking).collect();
        match self.plan.origins[id.0].key {
            Some(key) => up.get((key.0.wrapping_mul(0x9e37_79b9) >> 7) as usize % up.len().max(1)).copied(),
            None => up.choose(&mut self.rng).copied(),
        }
        .map(SenderId)
    }

    /// Something came in: a round is due, but not too soon after the last.
    fn ring(&mut self, sender: SenderId) {
        let post = &mut self.posts[sender.0];
        let at = post.next_round.max(self.now);
        if post.round_at.is_none_or(|due| due > at) {
            post.round_at = Some(at);
            self.queue.push(at, Event::Round(sender, post.life));
        }
    }

    fn round(&mut self, sender: SenderId) {
        let (now, plan) = (self.now, self.plan);
        let post = &mut self.posts[sender.0];
        if post.round_at.is_none_or(|due| due > now) {
            return;
        }
        post.round_at = None;
        post.next_round = now + plan.experiment.senders.round;
        post.wake_at = post.wake_at.filter(|at| *at > now);
        let mut acts = Acts::default();
        let sight = Sight { plan, receivers: &self.receivers, going: &self.going };
        if let Some(policy) = &mut post.policy {
            policy.decide(now, &sight, &mut acts);
        }
        // A wake asked for earlier still stands, whatever rounds came between.
        if let Some(after) = acts.wake {
            post.wake_at = Some(post.wake_at.map_or(now + after, |before| before.min(now + after)));
        }
        if let Some(at) = post.wake_at {
            let at = at.max(post.next_round);
            post.round_at = Some(at);
            self.queue.push(at, Event::Round(sender, post.life));
        }
        for (packet, end, wait) in acts.ends {
            self.ended(packet, end, wait);
        }
        for packet in std::mem::take(&mut self.posts[sender.0].fresh) {
            if self.parcels[packet.0 as usize].end.is_none() {
                self.hears(packet);
                self.see(Seen::Taken(packet));
            }
        }
        for (packet, dispatch) in acts.cancels {
            let parcel = &self.parcels[packet.0 as usize];
            if let Some(call) = parcel.flight.filter(|_| parcel.dispatches == dispatch + 1) {
                self.queue.push(now, Event::GiveUp(call, Came::Cancelled));
            }
        }
        for endpoint in acts.closings {
            let idle = self.posts[sender.0].idle.remove(&endpoint).unwrap_or_default();
            idle.iter().for_each(|_| self.receivers.disconnected(endpoint));
        }
        self.dispatch(sender, acts.dispatches);
    }

    /// The client hears the answer to its handing in.
    fn hears(&mut self, packet: PacketId) {
        let parcel = &mut self.parcels[packet.0 as usize];
        parcel.answered = true;
        let first = self.plan.origins[parcel.origin.0].at;
        // The first handing in counts from the intended moment, a later one from its own.
        let from = if parcel.tries == 0 { first } else { parcel.handed };
        self.tally.answered(self.now.saturating_sub(from));
    }

    /// A packet's end: its client hears of it, and may come again after a dismissal.
    fn ended(&mut self, packet: PacketId, end: End, wait: Option<Duration>) {
        let parcel = &mut self.parcels[packet.0 as usize];
        let before = parcel.end.replace(end);
        let (origin, tries, sender, ends) = (parcel.origin, parcel.tries, parcel.sender, parcel.ends);
        let heard = parcel.answered;
        if before.is_none() && self.posts[sender.0].held.remove(&packet) {
            self.tally.holds(self.plan.origins[origin.0].destination, false);
        }
        self.see(Seen::Ended(packet, end));
        match end {
            End::Done => {}
            End::Dismissed => self.tally.count(Count::Dismissed),
            End::Scrapped => self.tally.count(Count::Scrapped),
        }
        if !heard && end != End::Done {
            self.hears(packet);
        }
        let load = &self.plan.experiment.load;
        if end == End::Dismissed && before.is_none() && tries < load.again {
            let pause = load.pause.mul_f64(self.rng.random_range(1.0..1.5)).max(wait.unwrap_or_default());
            let at = self.now + pause;
            if at < ends.min(self.plan.comes_again_until(origin)) {
                self.queue.push(at, Event::HandIn(origin, tries + 1));
            }
        }
    }

    /// Dispatches of one round to one endpoint travel as one call, up to the kind's batch.
    fn dispatch(&mut self, sender: SenderId, dispatches: Vec<(PacketId, EndpointId, Duration)>) {
        let mut calls: Vec<(EndpointId, Vec<PacketId>, Duration)> = Vec::new();
        for (packet, endpoint, time_out) in dispatches {
            let destination = self.plan.place(endpoint).destination;
            let batch = self.plan.experiment.kinds[self.plan.destination(destination).kind.0].batch.max(1);
            let open =
                calls.iter_mut().rev().find(|(to, packets, _)| *to == endpoint && packets.len() < batch);
            match open {
                Some((_, packets, least)) => {
                    packets.push(packet);
                    *least = time_out.min(*least);
                }
                None => calls.push((endpoint, vec![packet], time_out)),
            }
        }
        for (endpoint, packets, time_out) in calls {
            self.call(sender, endpoint, packets, time_out);
        }
    }

    fn call(&mut self, sender: SenderId, endpoint: EndpointId, packets: Vec<PacketId>, time_out: Duration) {
        let id = self.next_flight;
        self.next_flight += 1;
        for packet in &packets {
            let parcel = &mut self.parcels[packet.0 as usize];
            parcel.dispatches += 1;
            parcel.flight = Some(id);
        }
        let place = self.plan.place(endpoint);
        self.tally.calls_out(place.destination, true);
        let mut flight =
            Flight { sender, endpoint, packets, start: self.now, stage: Stage::Connecting, connected: false };
        let idle_close = self.plan.group(place.destination).idle_close * 7 / 8;
        let reachable = self.receivers.reachable(self.plan, self.now, endpoint);
        let pool = self.posts[sender.0].idle.entry(endpoint).or_default();
        let kept = pool.pop().filter(|since| {
            let good = reachable && self.now < *since + idle_close;
            if !good {
                self.receivers.disconnected(endpoint);
            }
            good
        });
        let give_up = self.now + time_out;
        if kept.is_some() {
            flight.connected = true;
            self.queue.push(self.now, Event::Up(id));
        } else {
            let limit = self.plan.terms.connect_time_out.min(time_out);
            let trip = self.plan.experiment.network.transit * 2;
            match self.receivers.connect(self.plan, self.now, endpoint) {
                Connect::Up(handshake) => {
                    self.tally.count(Count::Connections);
                    flight.connected = true;
                    self.queue.push(self.now + trip + handshake, Event::Up(id));
                }
                Connect::Refused => self.queue.push(self.now + trip, Event::NotUp(id)),
                Connect::Never => self.queue.push(self.now + limit, Event::NotUp(id)),
            }
        }
        self.going[self.receivers.gate(endpoint)] += 1;
        self.flights.insert(id, flight);
        self.queue.push(give_up, Event::GiveUp(id, Came::TimedOut));
    }

    /// The connection stands: the sender is asked once more, then the call is written.
    fn up(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else { return };
        let (sender, endpoint) = (flight.sender, flight.endpoint);
        let Some(policy) = &self.posts[sender.0].policy else { return };
        if !flight.packets.iter().all(|packet| policy.may_still_go(self.now, *packet)) {
            return self.back(id, Came::NoSlot);
        }
        if self.receivers.cuts_before(self.now, endpoint) {
            return self.back(id, Came::NoConnection);
        }
        let packets = flight.packets.clone();
        for packet in packets {
            let parcel = &mut self.parcels[packet.0 as usize];
            parcel.doubt = parcel.doubt.or(Some(self.now));
        }
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.turn(Stage::Going);
        }
        self.queue.push(self.now + self.plan.experiment.network.transit, Event::Arrive(id));
    }

    fn arrive(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else { return };
        let (sender, endpoint, packets) = (flight.sender, flight.endpoint, flight.packets.clone());
        let gate = GateId(self.receivers.gate(endpoint));
        self.going[gate.0] -= 1;
        let destination = self.plan.place(endpoint).destination;
        let pieces: Vec<Piece> = packets.iter().map(|packet| self.piece(*packet)).collect();
        self.tally.dispatched(self.now, destination, packets.len());
        let reception = self.receivers.arrive(self.plan, self.now, endpoint, &pieces);
        self.see(Seen::Came { call: CallId(id), sender, endpoint, gate, packets });
        if reception.effects.contains(&true) {
            self.see(Seen::Ran(CallId(id), reception.effects));
        }
        if reception.fell {
            self.see(Seen::Fell(gate));
        }
        let due = reception.answer.as_ref().map(|(at, _)| *at + self.plan.experiment.network.transit);
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.turn(Stage::There(reception.answer.map(|(_, answer)| answer), reception.report));
        }
        if let Some(due) = due {
            self.queue.push(due, Event::Back(id));
        }
    }

    fn piece(&self, packet: PacketId) -> Piece {
        let origin = self.parcels[packet.0 as usize].origin;
        let category = self.plan.category(self.plan.origins[origin.0].category);
        Piece { origin, repeat: category.repeat, memory: category.memory.unwrap_or_default() }
    }

    fn answered(&mut self, id: u64) {
        let Some(flight) = self.flights.get(&id) else { return };
        let Stage::There(Some(answer), report) = flight.stage.clone() else { return };
        let told = flight.packets.first().zip(report).filter(|_| answer.is_readable());
        if let Some(((packet, report), policy)) = told.zip(self.posts[flight.sender.0].policy.as_mut()) {
            policy.report(*packet, report);
        }
        let several = flight.packets.len() > 1;
        let destination = self.plan.place(flight.endpoint).destination;
        match answer {
            Answer::Done => self.back(id, Came::Done),
            Answer::Error => self.back(id, Came::Error),
            Answer::Full(wait) => {
                self.tally.refused(self.now, destination);
                self.back(id, Came::Full(wait));
            }
            Answer::Reset => self.back(id, Came::Reset),
            Answer::Spoilt(manner) if manner.settles(several) => self.back(id, Came::Done),
            Answer::Spoilt(_) => self.back(id, Came::Error),
            Answer::Mixed(each, wait) => {
                let each = each.into_iter().map(|piece| match piece {
                    PieceAnswer::Accepted => Came::Done,
                    PieceAnswer::Fault => Came::Error,
                    PieceAnswer::Deferred => Came::Full(wait),
                });
                self.back_each(id, each.collect());
            }
        }
    }

    fn give_up(&mut self, id: u64, outcome: Came) {
        let Some(flight) = self.flights.get(&id) else { return };
        // Before its last byte it never began.
        let began = flight.stage != Stage::Connecting;
        self.back(id, if began { outcome } else { Came::NoConnection });
    }

    fn back(&mut self, id: u64, outcome: Came) {
        let several = self.flights.get(&id).map_or(0, |flight| flight.packets.len());
        self.back_each(id, vec![outcome; several]);
    }

    /// A call is over: its connection is idle again or has ended, and each packet's outcome is told.
    fn back_each(&mut self, id: u64, outcomes: Vec<Came>) {
        let Some(mut flight) = self.flights.remove(&id) else { return };
        let arrived = matches!(flight.stage, Stage::There(..));
        self.left(&flight);
        if flight.stage == Stage::Going {
            self.strays_in(id, &flight);
        }
        flight.turn(Stage::Over);
        let first = outcomes.first().copied().unwrap_or(Came::NoSlot);
        let spoilt = matches!(first, Came::Reset | Came::TimedOut | Came::Cancelled | Came::NoConnection);
        if flight.connected && spoilt {
            self.receivers.disconnected(flight.endpoint);
        } else if flight.connected {
            self.posts[flight.sender.0].idle.entry(flight.endpoint).or_default().push(self.now);
        }
        self.tally.calls_out(self.plan.place(flight.endpoint).destination, false);
        match first {
            Came::Error | Came::Reset => self.tally.count(Count::Errors),
            Came::TimedOut | Came::Cancelled => self.tally.count(Count::Unanswered),
            Came::NoConnection => self.tally.count(Count::NotConnected),
            _ => {}
        }
        if arrived {
            let wait = outcomes.iter().find_map(|outcome| match outcome {
                Came::Full(wait) => Some(Heard::Full(*wait)),
                _ => None,
            });
            let heard = match first {
                _ if wait.is_some() => wait.unwrap_or(Heard::Unsure),
                Came::Done => Heard::Done,
                Came::Error => Heard::Error,
                _ => Heard::Unsure,
            };
            self.see(Seen::Over { call: CallId(id), heard });
        } else if first == Came::NoConnection {
            let gate = GateId(self.receivers.gate(flight.endpoint));
            self.see(Seen::NoConnection { sender: flight.sender, gate });
        }
        let elapsed = self.now - flight.start;
        for (packet, outcome) in flight.packets.iter().zip(outcomes) {
            self.outcome(flight.sender, *packet, elapsed, outcome, flight.start);
        }
        self.ring(flight.sender);
    }

    /// A call that is over before it came is on its way no longer.
    fn left(&mut self, flight: &Flight) {
        if !matches!(flight.stage, Stage::There(..)) {
            self.going[self.receivers.gate(flight.endpoint)] -= 1;
        }
    }

    fn outcome(
        &mut self,
        sender: SenderId,
        packet: PacketId,
        elapsed: Duration,
        outcome: Came,
        sent: Duration,
    ) {
        let parcel = &mut self.parcels[packet.0 as usize];
        parcel.flight = None;
        let unsure = matches!(outcome, Came::Error | Came::Reset | Came::TimedOut | Came::Cancelled);
        if !unsure && parcel.doubt.is_some_and(|doubt| doubt >= sent) {
            parcel.doubt = None; // this one never ran, and no other was in doubt
        }
        let done = outcome == Came::Done;
        let (origin, over) = (parcel.origin, parcel.end.is_some());
        if done {
            let after = self.now.saturating_sub(self.plan.origins[origin.0].at);
            self.tally.delivered(origin, after);
            if !over {
                self.ended(packet, End::Done, None);
            }
        }
        if let Some(policy) = &mut self.posts[sender.0].policy {
            policy.outcome(self.now, packet, elapsed, outcome, over || done);
        }
    }

    fn told(&mut self, sender: SenderId, change: usize) {
        if self.posts[sender.0].policy.is_none() {
            return; // it reads the whole list as it starts
        }
        let change = self.plan.changes[change];
        let live = change.standing == Standing::Ready;
        let line = self.plan.listing(change.endpoint, live);
        let now = self.now;
        if let Some(policy) = &mut self.posts[sender.0].policy {
            policy.list(now, false, &[line]);
        }
        self.see(if live {
            Seen::ToldOn(sender, change.endpoint)
        } else {
            Seen::ToldOff(sender, change.endpoint)
        });
        self.ring(sender);
    }

    /// Dies without warning: what it knew is gone, its journal stays.
    fn kill(&mut self, sender: SenderId) {
        if self.posts[sender.0].policy.is_none() {
            return;
        }
        let mut out: Vec<u64> =
            self.flights.iter().filter(|(_, flight)| flight.sender == sender).map(|(id, _)| *id).collect();
        out.sort();
        for id in out {
            let Some(mut flight) = self.flights.remove(&id) else { continue };
            let arrived = matches!(flight.stage, Stage::There(..));
            if flight.stage == Stage::Going {
                self.strays_in(id, &flight);
            }
            self.left(&flight);
            flight.turn(Stage::Over);
            if flight.connected {
                self.receivers.disconnected(flight.endpoint);
            }
            self.tally.calls_out(self.plan.place(flight.endpoint).destination, false);
            for packet in &flight.packets {
                self.parcels[packet.0 as usize].flight = None;
            }
            if arrived {
                self.see(Seen::Over { call: CallId(id), heard: Heard::Unsure });
            }
        }
        for (endpoint, idle) in std::mem::take(&mut self.posts[sender.0].idle) {
            idle.iter().for_each(|_| self.receivers.disconnected(endpoint));
        }
        self.tally.count(Count::Kills);
        self.see(Seen::SenderDown(sender));
        let fresh = self.posts[sender.0].end();
        // Clients that heard nothing hand in again, elsewhere.
        for packet in fresh {
            let parcel = &mut self.parcels[packet.0 as usize];
            let (origin, tries) = (parcel.origin, parcel.tries);
            let open = parcel.end.replace(End::Dismissed).is_none();
            self.see(Seen::Abandoned(packet));
            if open && self.posts[sender.0].held.remove(&packet) {
                self.tally.holds(self.plan.origins[origin.0].destination, false);
            }
            self.queue.push(self.now + CLIENT, Event::HandIn(origin, tries));
        }
    }

    /// The last byte of a call was written before its sender died or gave it up: it still comes.
    fn strays_in(&mut self, id: u64, flight: &Flight) {
        let pieces: Vec<Piece> = flight.packets.iter().map(|packet| self.piece(*packet)).collect();
        let gate = GateId(self.receivers.gate(flight.endpoint));
        let reception = self.receivers.arrive(self.plan, self.now, flight.endpoint, &pieces);
        let (sender, endpoint, packets) = (flight.sender, flight.endpoint, flight.packets.clone());
        self.see(Seen::Came { call: CallId(id), sender, endpoint, gate, packets });
        self.see(Seen::Ran(CallId(id), reception.effects));
        self.see(Seen::Over { call: CallId(id), heard: Heard::Unsure });
    }

    /// A life begins: with the list as it stands, and with what the journal holds.
    fn start(&mut self, sender: SenderId, make: &dyn Fn(u64) -> Box<dyn crate::policies::Policy>) {
        if self.posts[sender.0].policy.is_some() {
            return;
        }
        let life = self.posts[sender.0].life;
        let seed = chance(self.plan.seed ^ (u64::from(life) << 32), 100 + sender.0 as u64).random();
        let mut policy = make(seed);
        let lines = self.plan.list_at(self.now);
        policy.list(self.now, true, &lines);
        let held: Vec<PacketId> = self.posts[sender.0].held.iter().copied().collect();
        for packet in held {
            policy.take(self.now, sailcart::Packet { taken_on: true, ..self.describe(packet) });
        }
        let post = &mut self.posts[sender.0];
        post.begin(policy, self.now);
        if !self.now.is_zero() {
            self.see(Seen::SenderUp(sender));
        }
        for line in lines.iter().filter(|line| !line.live) {
            self.see(Seen::ToldOff(sender, line.endpoint));
        }
        self.ring(sender);
    }

    /// Idle connections that have stood too long end.
    fn sweep(&mut self) {
        for post in &mut self.posts {
            for (endpoint, idle) in &mut post.idle {
                let group = self.plan.group(self.plan.place(*endpoint).destination);
                let keep = group.idle_close * 7 / 8;
                let before = idle.len();
                idle.retain(|since| self.now < *since + keep);
                (idle.len()..before).for_each(|_| self.receivers.disconnected(*endpoint));
            }
        }
    }
}

/// When senders die, stop and come back.
fn lives(plan: &Plan) -> Vec<(Duration, Event)> {
    let mut events = Vec::new();
    for struck in &plan.struck {
        match struck.trouble.kind {
            TroubleKind::Kill => {
                for (at, sender, down) in struck.deaths(RESTART) {
                    events.push((at, Event::Kill(sender)));
                    events.push((at + down, Event::Start(sender)));
                }
            }
            TroubleKind::Roll => {
                let wave = struck.trouble.count.unwrap_or(1).max(1);
                let waves = struck.senders.len().div_ceil(wave) as u32;
                for (at, senders) in struck.senders.chunks(wave).enumerate() {
                    let begins = struck.from + (struck.until - struck.from) * at as u32 / waves;
                    for sender in senders {
                        events.push((begins, Event::StopTaking(*sender)));
                        events.push((begins + STOPPING, Event::Kill(*sender)));
                        events.push((begins + STOPPING + RESTART, Event::Start(*sender)));
                    }
                }
            }
            _ => {}
        }
    }
    events
}
