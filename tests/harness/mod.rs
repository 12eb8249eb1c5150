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
pub fn settings() -> Settings {
    let category = |repeat, in_order| Category {
        repeat,
        in_order,
        soft_limit: ms(2000),
        patience: ms(20_000),
        credit: 1.0,
        min_credit_share: 0.4,
    };
    Settings {
        senders: 1,
        slots: 8,
        max_held: 64,
        max_dispatches: 3,
        can_cancel: true,
        connect_timeout: ms(1000),
        max_retry_after: Some(ms(2000)),
        key_block_time: ms(100),
        categories: vec![
            category(Repeat::Idempotent, false),
            category(Repeat::Deduplicated { memory: ms(5000) }, false),
            category(Repeat::Unrepeatable, true),
        ],
        customers: vec![Customer { packets_per_second: 4.0 }],
        over_quota_credit_share: 0.05,
        kinds: vec![
            Kind { per_route_limits: false, max_batch: 1 },
            Kind { per_route_limits: false, max_batch: 5 },
        ],
        rates_listed: true,
        limits_reported: false,
        max_list_staleness: None,
        credit_decay: CreditDecay::Halving,
        recovery: RecoveryProfile { initial_capacity_share: 0.25, warm_up: ms(10_000), overload_factor: 2.0 },
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
    fn request_list(&mut self) {
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
    pub fn new(settings: Settings, destinations: u32, kind: usize, rate: f64) -> Self {
        Harness::with_seed(7, settings, destinations, kind, rate)
    }

    pub fn with_seed(seed: u64, settings: Settings, destinations: u32, kind: usize, rate: f64) -> Self {
        let mut sender = Sender::new(settings, seed);
        let entries: Vec<_> = (0..destinations).map(|n| list_entry(n, n, kind, rate, true)).collect();
        sender.update_list(Duration::ZERO, true, &entries);
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
        possibly_executed_at: Option<Duration>,
    ) -> u64 {
        self.accept(Packet {
            dispatches,
            possibly_executed_at,
            accepted_by_previous_process: true,
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
            deadline: self.now + ms(20_000),
            dispatches: 0,
            possibly_executed_at: None,
            accepted_by_previous_process: false,
        }
    }

    fn accept(&mut self, packet: Packet) -> u64 {
        self.last_packet += 1;
        self.sender.accept(self.now, packet);
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
        self.sender.record_outcome(self.now, PacketId(packet), ms(100), outcome, outcome == Outcome::Done);
    }

    /// Reports the rate limit with the answer to a dispatch in flight.
    pub fn report(&mut self, packet: u64, unused_share: f64, limit: f64) {
        self.sender.record_report(PacketId(packet), LimitReport { unused_share, limit });
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
        self.sender.update_list(self.now, full, entries);
    }
}

pub fn list_entry(endpoint: u32, destination: u32, kind: usize, rate: f64, live: bool) -> ListEntry {
    ListEntry {
        endpoint: EndpointId(endpoint),
        route: RouteId(endpoint.into()),
        destination: DestinationId(destination.into()),
        kind: KindId(kind),
        live,
        rate,
    }
}
