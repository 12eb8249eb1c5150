//! A fake host that records what the sender requests, and a test harness that drives the sender and reports
//! the outcomes of its dispatches.

use std::collections::BTreeMap;
use std::time::Duration;

use sailcart::*;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Settings of a single sender with 8 slots and three categories: idempotent, deduplicated, and unrepeatable
/// in order. The destinations of kind 0 take one packet per call, those of kind 1 five.
pub fn terms() -> Settings {
    let category = |repeat, in_order| Category {
        repeat,
        in_order,
        soft_limit: ms(2000),
        patience: ms(20_000),
        credit: 1.0,
        late_share: 0.4,
    };
    Settings {
        senders: 1,
        slots: 8,
        hold: 64,
        dispatches: 3,
        cancel: true,
        connect_time_out: ms(1000),
        retry_after: Some(ms(2000)),
        settle: ms(100),
        categories: vec![
            category(Repeat::Idempotent, false),
            category(Repeat::Deduplicated { memory: ms(5000) }, false),
            category(Repeat::Unrepeatable, true),
        ],
        customers: vec![Customer { quota: 4.0 }],
        over_share: 0.05,
        kinds: vec![Kind { own_limits: false, batch: 1 }, Kind { own_limits: false, batch: 5 }],
        rates_listed: true,
        limits_told: false,
        list_asked: None,
        late: CreditDecay::Halving,
        back: RecoveryProfile { cold_from: 0.25, cold: ms(10_000), fall_multiple: 2.0 },
    }
}

/// How the sender completed a packet without success.
#[derive(Debug, PartialEq)]
pub enum Failure {
    /// With the Retry-After wait.
    Dismissed(Option<Duration>),
    Scrapped,
}

/// Records what the sender requests. Packets are identified by number.
#[derive(Default)]
pub struct FakeHost {
    /// The dispatches in flight, with their endpoint and timeout.
    pub in_flight: BTreeMap<u64, (EndpointId, Duration)>,
    pub cancelled: Vec<u64>,
    /// Endpoints whose idle connections were closed, in order.
    pub idle_closed: Vec<EndpointId>,
    pub failures: Vec<(u64, Failure)>,
    /// The span of the latest wake request.
    pub wake_after: Option<Duration>,
    /// Number of requests for the destination list.
    pub list_requests: u32,
}

impl Host for FakeHost {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        assert!(
            self.in_flight.insert(packet.0, (endpoint, timeout)).is_none(),
            "a packet has two dispatches in flight at once"
        );
    }
    fn cancel(&mut self, packet: PacketId, _: u32) {
        self.cancelled.push(packet.0);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.failures.push((packet.0, Failure::Dismissed(retry_after)));
    }
    fn scrap(&mut self, packet: PacketId) {
        self.failures.push((packet.0, Failure::Scrapped));
    }
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.idle_closed.push(endpoint);
    }
    fn ask_list(&mut self) {
        self.list_requests += 1;
    }
    fn wake(&mut self, after: Duration) {
        self.wake_after = Some(after);
    }
}

/// A sender with a fake host and a simulated clock.
pub struct Harness {
    pub sender: Sender,
    pub now: Duration,
    pub host: FakeHost,
    last_packet: u64,
}

impl Harness {
    /// A sender with `destinations` listed: destination n has endpoint n and the listed rate `rate`, in calls
    /// per second.
    pub fn new(terms: Settings, destinations: u32, kind: usize, rate: f64) -> Self {
        Harness::with_seed(7, terms, destinations, kind, rate)
    }

    pub fn with_seed(seed: u64, terms: Settings, destinations: u32, kind: usize, rate: f64) -> Self {
        let mut sender = Sender::new(terms, seed);
        let entries: Vec<_> = (0..destinations).map(|n| list_entry(n, n, kind, rate, true)).collect();
        sender.list(Duration::ZERO, true, &entries);
        Harness { sender, now: Duration::ZERO, host: FakeHost::default(), last_packet: 0 }
    }

    /// Submits packets and returns their numbers, which are assigned in ascending order from 1.
    pub fn submit(&mut self, count: u64, destination: u64, category: usize, key: Option<u64>) -> Vec<u64> {
        (0..count).map(|_| self.accept(self.new_packet(destination, category, key))).collect()
    }

    /// Restores a packet after a restart, with the number of its dispatches and the time at which the first
    /// one that may have executed was sent.
    pub fn restore(
        &mut self,
        destination: u64,
        category: usize,
        key: Option<u64>,
        dispatches: u32,
        doubt: Option<Duration>,
    ) -> u64 {
        self.accept(Packet {
            dispatches,
            doubt,
            taken_on: true,
            ..self.new_packet(destination, category, key)
        })
    }

    fn new_packet(&self, destination: u64, category: usize, key: Option<u64>) -> Packet {
        Packet {
            id: PacketId(self.last_packet + 1),
            destination: DestinationId(destination),
            category: CategoryId(category),
            customer: None,
            key: key.map(KeyId),
            ends: self.now + ms(20_000),
            dispatches: 0,
            doubt: None,
            taken_on: false,
        }
    }

    fn accept(&mut self, packet: Packet) -> u64 {
        self.last_packet += 1;
        self.sender.take(self.now, packet);
        self.last_packet
    }

    pub fn run_round(&mut self) {
        self.sender.decide(self.now, &mut self.host);
    }

    /// Advances the clock by a number of milliseconds and runs a round.
    pub fn advance(&mut self, millis: u64) {
        self.now += ms(millis);
        self.run_round();
    }

    /// Completes a dispatch in flight with an outcome.
    pub fn complete(&mut self, packet: u64, outcome: Outcome) {
        assert!(self.host.in_flight.remove(&packet).is_some(), "packet {packet} is not in flight");
        self.sender.outcome(self.now, PacketId(packet), ms(100), outcome, outcome == Outcome::Done);
    }

    /// Reports the rate limit with the answer to a dispatch in flight.
    pub fn report(&mut self, packet: u64, left: f64, limit: f64) {
        self.sender.report(PacketId(packet), LimitReport { left, limit });
    }

    /// Completes all dispatches in flight with the same outcome.
    pub fn complete_all(&mut self, outcome: Outcome) {
        for packet in self.in_flight() {
            self.complete(packet, outcome);
        }
    }

    /// The packets with a dispatch in flight, in ascending order.
    pub fn in_flight(&self) -> Vec<u64> {
        self.host.in_flight.keys().copied().collect()
    }

    pub fn update_list(&mut self, full: bool, entries: &[ListEntry]) {
        self.sender.list(self.now, full, entries);
    }
}

pub fn list_entry(endpoint: u32, destination: u32, kind: usize, rate: f64, live: bool) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination.into()),
        kind: KindId(kind),
        live,
        rate,
    }
}
