//! The watcher of the six rules. It is told only what an outsider sees (clients, receivers, discovery and the
//! receiver of notices), in order of time, and knows nothing of how a sender decides.

mod backpressure;
mod exactly_once;
mod key_order;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use sailcart::{DestinationId, EndpointId, KeyId, PacketId};
use serde::{Deserialize, Serialize};

use crate::experiment::{Repeat, Rules};
use crate::plan::{OriginId, Plan, SenderId};

/// A call of a run, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What several endpoints share that senders must keep to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GateId(pub usize);

/// A rule that senders must keep; [`Rule::words`] says what it asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    OneEnd,
    NoDouble,
    Drains,
    Return,
    Order,
    Waits,
}

impl Rule {
    /// Every rule.
    pub const ALL: [Rule; 6] =
        [Rule::OneEnd, Rule::NoDouble, Rule::Drains, Rule::Return, Rule::Order, Rule::Waits];

    /// What the rule asks for, as reports have it.
    pub fn words(self) -> &'static str {
        match self {
            Rule::OneEnd => "each packet taken gets exactly one end in time, nothing after",
            Rule::NoDouble => "no effect twice",
            Rule::Drains => "drains kept",
            Rule::Return => "a returning destination is not pushed over",
            Rule::Order => "order by key where asked",
            Rule::Waits => "waits heeded",
        }
    }
}

/// How a packet ended, as its client or the receiver of notices heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It has run, and its sender knows.
    Done,
    /// Handed back: its client may hand it in again.
    Dismissed,
    /// Given up for good.
    Scrapped,
}

/// A packet as handed in.
#[derive(Clone, Copy, Debug)]
pub struct Handed {
    pub packet: PacketId,
    pub origin: OriginId,
    pub sender: SenderId,
    pub destination: DestinationId,
    pub repeat: Repeat,
    pub in_order: bool,
    pub key: Option<KeyId>,
    /// When its client gives up.
    pub ends: Duration,
}

impl Handed {
    /// A packet wanted, as a client hands it in to a sender.
    pub fn new(plan: &Plan, packet: PacketId, origin: OriginId, sender: SenderId) -> Self {
        let wanted = &plan.origins[origin.0];
        let category = plan.category(wanted.category);
        Handed {
            packet,
            origin,
            sender,
            destination: wanted.destination,
            repeat: category.repeat,
            in_order: category.in_order,
            key: wanted.key,
            ends: wanted.at + category.patience,
        }
    }
}

/// What an outsider sees.
#[derive(Clone, Debug)]
pub enum Seen {
    Handed(Handed),
    /// Its client heard that it is taken on.
    Taken(PacketId),
    Ended(PacketId, End),
    /// Its client heard nothing and gave it up: nothing is owed for it, and nothing that it does counts.
    Abandoned(PacketId),
    /// A call's last byte came.
    Came {
        call: CallId,
        sender: SenderId,
        endpoint: EndpointId,
        gate: GateId,
        packets: Vec<PacketId>,
    },
    /// Which of a call's packets took effect.
    Ran(CallId, Vec<bool>),
    /// A call was answered, or its connection ended: it is out no longer. What was told.
    Over {
        call: CallId,
        heard: Heard,
    },
    /// A connection that a sender wanted did not come up.
    NoConnection {
        sender: SenderId,
        gate: GateId,
    },
    /// A sender was told that an endpoint drains or is gone.
    ToldOff(SenderId, EndpointId),
    /// It was listed as ready.
    ToldOn(SenderId, EndpointId),
    OutageFrom(GateId),
    /// A cold destination fell over; the calls that came within the span of the rule.
    Fell(GateId),
    /// A sender died, was stopped or is back; nothing is overdue between the two.
    SenderDown(SenderId),
    SenderUp(SenderId),
    /// A sender's state folder takes nothing, or is well again.
    Folder {
        sender: SenderId,
        fails: bool,
    },
}

/// What a sender heard of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    Done,
    /// Turned away, and a wait where told. It never ran.
    Full(Option<Duration>),
    /// Anything else: it may have run, and may yet.
    Unsure,
    /// A fault of the receiver, at once: it has stopped.
    Error,
}

/// A rule broken: the packet, if it is one's, and the events that show it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    pub packet: Option<u64>,
    pub at_ms: f64,
    pub events: Vec<String>,
}

/// What the checks share: who handed in what, and how it stands.
pub(crate) struct Record {
    pub rules: Rules,
    pub now: Duration,
    pub packets: HashMap<PacketId, Kept>,
    pub calls: HashMap<CallId, Call>,
    pub down: BTreeSet<SenderId>,
    pub breaches: Vec<Breach>,
    pub counts: BTreeMap<Rule, u64>,
}

pub(crate) struct Kept {
    pub handed: Handed,
    pub taken: Option<Duration>,
    pub end: Option<(Duration, End)>,
    pub out: Option<CallId>,
    pub last_came: Option<Duration>,
    pub abandoned: bool,
}

impl Kept {
    /// A packet just handed in.
    fn new(handed: Handed) -> Self {
        Kept { handed, taken: None, end: None, out: None, last_came: None, abandoned: false }
    }
}

#[derive(Clone)]
pub(crate) struct Call {
    pub came: Duration,
    pub sender: SenderId,
    pub endpoint: EndpointId,
    pub gate: GateId,
    pub packets: Vec<PacketId>,
}

/// Breaches of one rule that are told in full; the rest are counted.
const TOLD: u64 = 20;

impl Record {
    pub fn breach(&mut self, rule: Rule, packet: Option<PacketId>, events: Vec<String>) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= TOLD {
            let at_ms = self.now.as_micros() as f64 / 1000.0;
            self.breaches.push(Breach { rule, packet: packet.map(|id| id.0), at_ms, events });
        }
    }
}

pub(crate) fn ms(at: Duration) -> String {
    format!("{:.1} ms", at.as_micros() as f64 / 1000.0)
}

/// Sees a run from outside and counts broken rules.
pub struct Watcher {
    record: Record,
    single: exactly_once::Single,
    restraint: backpressure::Restraint,
    order: key_order::Order,
}

impl Watcher {
    /// A watcher that has seen nothing.
    pub fn new(rules: &Rules) -> Self {
        let record = Record {
            rules: rules.clone(),
            now: Duration::ZERO,
            packets: HashMap::new(),
            calls: HashMap::new(),
            down: BTreeSet::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
        };
        Watcher {
            record,
            single: exactly_once::Single::default(),
            restraint: backpressure::Restraint::default(),
            order: key_order::Order::default(),
        }
    }

    /// Something was seen; times do not go back.
    pub fn see(&mut self, now: Duration, seen: &Seen) {
        let record = &mut self.record;
        record.now = now.max(record.now);
        self.single.overdue(record);
        match seen {
            Seen::Handed(handed) => {
                record.packets.insert(handed.packet, Kept::new(*handed));
                self.order.handed(record, handed);
            }
            Seen::Taken(packet) => self.single.taken(record, *packet),
            Seen::Ended(packet, end) => {
                self.single.ended(record, *packet, *end);
                self.order.ended(*packet);
            }
            Seen::Abandoned(packet) => {
                self.single.abandoned(record, *packet);
                self.order.ended(*packet);
            }
            Seen::Came { call, sender, endpoint, gate, packets } => {
                let (sender, endpoint, gate) = (*sender, *endpoint, *gate);
                self.came(*call, Call { came: now, sender, endpoint, gate, packets: packets.clone() });
            }
            Seen::Ran(call, effects) => self.single.ran(record, *call, effects),
            Seen::Over { call, heard } => self.over(*call, *heard),
            Seen::NoConnection { sender, gate } => self.restraint.lost(*sender, *gate),
            Seen::ToldOff(sender, endpoint) => self.restraint.told_off(record, *sender, *endpoint),
            Seen::ToldOn(sender, endpoint) => self.restraint.told_on(*sender, *endpoint),
            Seen::OutageFrom(gate) => self.restraint.outage(*gate),
            Seen::Fell(gate) => self.restraint.fell(record, *gate),
            Seen::SenderDown(sender) => self.sender_down(*sender),
            Seen::SenderUp(sender) => {
                record.down.remove(sender);
                self.single.back(record, *sender);
            }
            Seen::Folder { sender, fails } => self.single.folder(record, *sender, *fails),
        }
    }

    fn came(&mut self, id: CallId, call: Call) {
        self.restraint.came(&mut self.record, &call);
        self.order.came(&mut self.record, &call);
        self.single.came(&mut self.record, id, &call);
        self.record.calls.insert(id, call);
    }

    fn over(&mut self, id: CallId, heard: Heard) {
        let Some(call) = self.record.calls.remove(&id) else { return };
        self.single.over(&mut self.record, id, &call);
        self.order.over(&self.record, &call, heard);
        self.restraint.over(&self.record, &call, heard);
    }

    fn sender_down(&mut self, sender: SenderId) {
        self.record.down.insert(sender);
        self.single.down(&self.record, sender);
        self.restraint.restarted(sender);
        self.order.restarted(&self.record, sender);
    }

    /// All is over: what has no end now never gets one.
    pub fn finish(&mut self, now: Duration) {
        self.record.now = now.max(self.record.now);
        self.record.down.clear();
        self.single.finish(&mut self.record);
    }

    /// The first breaches of each rule, in order of time.
    pub fn breaches(&self) -> &[Breach] {
        &self.record.breaches
    }

    /// How often a rule was broken.
    pub fn count(&self, rule: Rule) -> u64 {
        self.record.counts.get(&rule).copied().unwrap_or(0)
    }
}
