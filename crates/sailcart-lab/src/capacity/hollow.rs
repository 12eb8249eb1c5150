//! Hollow senders: the decision module alone, with a made-up clock and a host that carries nothing out. Many fit into
//! one process, so that bytes and times of the module are measured apart from sockets and journal.

use std::time::{Duration, Instant};

use sailcart::{
    Category, CategoryId, DestinationId, EndpointId, Host, Kind, KindId, ListEntry, Outcome, Packet,
    PacketId, RecoveryProfile, Repeat, Sender, Settings,
};

use super::series::{Gathered, Quantity};
use super::shape::Counted;
use super::shape::{Driven, Listed};
use super::sizes::Sizes;
use crate::experiment::Fault;

/// The fleet that the module is told of.
const SENDERS: usize = 2600;
/// Of one sender at the planned size.
const PACKETS_PER_SECOND: u64 = 123;
const ANSWER: Duration = Duration::from_millis(20);
/// Changes and rounds over which times are averaged.
const REPEATS: usize = 200;
/// At most so long for them.
const MOST_REPEATING: Duration = Duration::from_secs(2);
/// Destinations of all hollow senders that stand at once for one size, about.
const ALL_DESTINATIONS: usize = 10_000;
/// Hollow senders that stand at once for one size.
const MOST_SENDERS: usize = 500;
/// A step that meets all destinations in an order without a pattern: prime, so it divides no size here.
const STRIDE: u64 = 7_368_787;

/// Gathers what one round dispatches; its other orders are dropped.
#[derive(Default)]
struct Round {
    dispatched: Vec<PacketId>,
}

impl Host for Round {
    fn dispatch(&mut self, packet: PacketId, _: EndpointId, _: Duration) {
        self.dispatched.push(packet);
    }

    fn cancel(&mut self, _: PacketId, _: u32) {}

    fn dismiss(&mut self, _: PacketId, _: Option<Duration>) {}

    fn scrap(&mut self, _: PacketId) {}

    fn close_idle(&mut self, _: EndpointId) {}

    fn request_list(&mut self) {}

    fn wake(&mut self, _: Duration) {}
}

/// One module with a made-up clock.
pub struct Hollow {
    sender: Sender,
    round: Round,
    now: Duration,
    next: u64,
}

fn terms() -> Settings {
    let category = Category {
        repeat: Repeat::Idempotent,
        in_order: false,
        soft_limit: Duration::from_secs(1),
        patience: Duration::from_secs(60),
        credit: 1.0,
        min_credit_share: 0.5,
    };
    Settings {
        senders: SENDERS,
        slots: 64,
        max_held: 100_000,
        max_dispatches: 6,
        can_cancel: true,
        connect_timeout: Duration::from_secs(1),
        categories: vec![category],
        over_quota_credit_share: 1.0,
        kinds: vec![Kind { per_route_limits: false, max_batch: 1 }],
        recovery: RecoveryProfile {
            initial_capacity_share: 0.3,
            warm_up: Duration::from_secs(10),
            overload_factor: 1.5,
        },
        ..Settings::default()
    }
}

fn listing(number: u64, live: bool) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(number as u32),
        destination: DestinationId(number),
        kind: KindId(0),
        live,
        rate: 1.0,
    }
}

impl Default for Hollow {
    fn default() -> Self {
        let (sender, round) = (Sender::new(terms(), 1), Round::default());
        Hollow { sender, round, now: Duration::ZERO, next: 0 }
    }
}

impl Hollow {
    fn step(&mut self, span: Duration) {
        self.now += span;
    }

    fn take(&mut self, listed: Listed) {
        let id = PacketId(self.next);
        self.next += 1;
        let packet = Packet {
            id,
            destination: DestinationId(listed.0),
            category: CategoryId(0),
            customer: None,
            key: None,
            deadline: self.now + Duration::from_secs(60),
            dispatches: 0,
            possibly_executed_at: None,
            accepted_by_previous_process: false,
        };
        self.sender.accept(self.now, packet);
    }

    /// All calls that are out come back with success.
    fn answer(&mut self) {
        for id in std::mem::take(&mut self.round.dispatched) {
            self.sender.record_outcome(self.now, id, ANSWER, Outcome::Done, true);
        }
    }

    fn decide(&mut self) {
        self.sender.decide(self.now, &mut self.round);
    }

    /// Takes a list that was drawn up before.
    fn list(&mut self, lines: &[ListEntry]) {
        self.sender.update_list(self.now, true, lines);
    }
}

impl Driven for Hollow {
    fn whole(&mut self, destinations: u64) {
        let lines: Vec<ListEntry> = (0..destinations).map(|number| listing(number, true)).collect();
        self.list(&lines);
    }

    fn change(&mut self, listed: Listed, live: bool) {
        self.sender.update_list(self.now, false, &[listing(listed.0, live)]);
    }

    fn round(&mut self, busy: &[Listed]) {
        self.step(ANSWER);
        busy.iter().for_each(|listed| self.take(*listed));
        self.decide();
        self.step(ANSWER);
        self.answer();
    }
}

impl Counted for Hollow {
    fn visited(&self) -> u64 {
        self.sender.entries_visited()
    }
}

/// Measures hollow senders at every size. All stand until the last is measured, so that memory that is given back is
/// not counted for another.
pub fn measure(sizes: &Sizes, gathered: &mut Gathered) -> Result<(), Fault> {
    let mut standing = Vec::new();
    for size in sizes.hollow_destinations.iter().copied() {
        standing.push(measure_one(size, sizes, gathered)?);
    }
    Ok(())
}

fn resident() -> Result<f64, Fault> {
    let own = procfs::process::Process::myself().and_then(|own| own.status());
    let status = own.map_err(|error| Fault(format!("procfs: {error}")))?;
    Ok(status.vmrss.unwrap_or(0) as f64 * 1024.0)
}

fn measure_one(size: usize, sizes: &Sizes, gathered: &mut Gathered) -> Result<Vec<Hollow>, Fault> {
    let lines: Vec<ListEntry> = (0..size as u64).map(|number| listing(number, true)).collect();
    let count = (ALL_DESTINATIONS / size.max(1)).clamp(1, MOST_SENDERS);
    let before = resident()?;
    let mut all: Vec<Hollow> = (0..count).map(|_| Hollow::default()).collect();
    all.iter_mut().for_each(|hollow| hollow.list(&lines));
    gathered.add(Quantity::HollowMemory, size, (resident()? - before) / count as f64);
    let Some(hollow) = all.first_mut() else { return Ok(all) };

    let visited = hollow.visited();
    let mut changes = 0;
    let took = mean_time(|nth| {
        hollow.step(ANSWER);
        let listed = Listed(nth as u64 / 2 * STRIDE % size as u64);
        hollow.change(listed, nth % 2 == 1);
        changes += 1;
    });
    gathered.add(Quantity::HollowChange, size, took);
    gathered.add(
        Quantity::HollowVisitsPerChange,
        size,
        (hollow.visited() - visited) as f64 / f64::from(changes),
    );
    let took = mean_time(|_| {
        hollow.step(ANSWER);
        hollow.decide();
    });
    gathered.add(Quantity::HollowEmptyRound, size, took);
    let before = resident()?;
    gathered.add(Quantity::HollowPacket, size, packets(hollow, size as u64, sizes));
    let grown = (resident()? - before).max(0.0);
    let listed = gathered.last(Quantity::HollowMemory).unwrap_or_default();
    gathered.add(Quantity::HollowMemoryAfterPackets, size, listed + grown);
    Ok(all)
}

fn mean_time(mut act: impl FnMut(usize)) -> f64 {
    let (began, mut done) = (Instant::now(), 0);
    while done < REPEATS && began.elapsed() < MOST_REPEATING {
        act(done);
        done += 1;
    }
    began.elapsed().as_secs_f64() / done.max(1) as f64
}

/// Packets over all destinations in turn, one step of the clock each; the mean real time of one.
fn packets(hollow: &mut Hollow, size: u64, sizes: &Sizes) -> f64 {
    let all = PACKETS_PER_SECOND * sizes.hollow_span.as_secs();
    let (began, mut done) = (Instant::now(), 0);
    while done < all && began.elapsed() < sizes.hollow_limit {
        hollow.step(Duration::from_secs(1) / PACKETS_PER_SECOND as u32);
        hollow.answer();
        hollow.take(Listed(done * STRIDE % size));
        hollow.decide();
        done += 1;
    }
    began.elapsed().as_secs_f64() / done.max(1) as f64
}
