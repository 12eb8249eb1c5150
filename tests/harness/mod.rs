//! The one fake host: keeps what the sender asks for, and plays the carrier's side.

use std::collections::BTreeMap;
use std::time::Duration;

use sailcart::*;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn terms() -> Terms {
    let category = |repeat, in_order| Category {
        repeat,
        in_order,
        soft_limit: ms(2000),
        patience: ms(20_000),
        credit: 1.0,
        late_share: 0.4,
    };
    Terms {
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
        late: Late::Halves,
        back: Return { cold_from: 0.25, cold: ms(10_000), fall_multiple: 2.0 },
    }
}

#[derive(Debug, PartialEq)]
pub enum Answer {
    Dismissed(Option<Duration>),
    Scrapped,
}

#[derive(Default)]
pub struct Asked {
    pub out: BTreeMap<u64, (EndpointId, Duration)>,
    pub cancelled: Vec<u64>,
    pub closed: Vec<EndpointId>,
    pub answers: Vec<(u64, Answer)>,
    pub wake: Option<Duration>,
    pub lists: u32,
}

impl Host for Asked {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        assert!(self.out.insert(packet.0, (endpoint, time_out)).is_none(), "two dispatches out at once");
    }
    fn cancel(&mut self, packet: PacketId, _: u32) {
        self.cancelled.push(packet.0);
    }
    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.answers.push((packet.0, Answer::Dismissed(retry_after)));
    }
    fn scrap(&mut self, packet: PacketId) {
        self.answers.push((packet.0, Answer::Scrapped));
    }
    fn close_idle(&mut self, endpoint: EndpointId) {
        self.closed.push(endpoint);
    }
    fn ask_list(&mut self) {
        self.lists += 1;
    }
    fn wake(&mut self, after: Duration) {
        self.wake = Some(after);
    }
}

pub struct Play {
    pub sender: Sender,
    pub now: Duration,
    pub asked: Asked,
    next: u64,
}

impl Play {
    /// Destination n has endpoint n and takes `rate` calls a second.
    pub fn new(terms: Terms, destinations: u32, kind: usize, rate: f64) -> Self {
        Play::seeded(7, terms, destinations, kind, rate)
    }

    pub fn seeded(seed: u64, terms: Terms, destinations: u32, kind: usize, rate: f64) -> Self {
        let mut sender = Sender::new(terms, seed);
        let lines: Vec<_> = (0..destinations).map(|n| line(n, n, kind, rate, true)).collect();
        sender.list(Duration::ZERO, true, &lines);
        Play { sender, now: Duration::ZERO, asked: Asked::default(), next: 0 }
    }

    /// Hands in packets; the ids are given in order.
    pub fn take(&mut self, count: u64, destination: u64, category: usize, key: Option<u64>) -> Vec<u64> {
        (0..count).map(|_| self.enter(self.packet(destination, category, key))).collect()
    }

    /// A packet comes back after a restart, with its dispatches and when the first that may have run was sent.
    pub fn take_back(
        &mut self,
        destination: u64,
        category: usize,
        key: Option<u64>,
        dispatches: u32,
        doubt: Option<Duration>,
    ) -> u64 {
        self.enter(Packet { dispatches, doubt, taken_on: true, ..self.packet(destination, category, key) })
    }

    fn packet(&self, destination: u64, category: usize, key: Option<u64>) -> Packet {
        Packet {
            id: PacketId(self.next + 1),
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

    fn enter(&mut self, packet: Packet) -> u64 {
        self.next += 1;
        self.sender.take(self.now, packet);
        self.next
    }

    pub fn round(&mut self) {
        self.sender.decide(self.now, &mut self.asked);
    }

    pub fn after(&mut self, span: u64) {
        self.now += ms(span);
        self.round();
    }

    /// A dispatch comes back.
    pub fn back(&mut self, packet: u64, outcome: Outcome) {
        assert!(self.asked.out.remove(&packet).is_some(), "packet {packet} is not out");
        self.sender.outcome(self.now, PacketId(packet), ms(100), outcome, outcome == Outcome::Done);
    }

    /// A dispatch's answer tells of the limit, before it comes back.
    pub fn told(&mut self, packet: u64, left: f64, limit: f64) {
        self.sender.report(PacketId(packet), Report { left, limit });
    }

    /// All dispatches that are out come back alike.
    pub fn all_back(&mut self, outcome: Outcome) {
        for packet in self.out() {
            self.back(packet, outcome);
        }
    }

    pub fn out(&self) -> Vec<u64> {
        self.asked.out.keys().copied().collect()
    }

    pub fn list(&mut self, whole: bool, lines: &[Listing]) {
        self.sender.list(self.now, whole, lines);
    }
}

pub fn line(endpoint: u32, destination: u32, kind: usize, rate: f64, live: bool) -> Listing {
    Listing {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(destination.into()),
        kind: KindId(kind),
        live,
        rate,
    }
}
