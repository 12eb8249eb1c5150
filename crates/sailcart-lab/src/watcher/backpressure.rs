//! Rules 3, 4 and 6: drains are kept, a destination that returns is not pushed over, waits are heeded.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use sailcart::EndpointId;

use super::{Call, GateId, Heard, Record, Rule, ms};
use crate::plan::SenderId;

/// The part of the calls in a fall that must have come from senders that knew better.
const KNEW: f64 = 2.0 / 3.0;

#[derive(Default)]
pub struct Restraint {
    told_off: HashMap<(SenderId, EndpointId), Duration>,
    waits: HashMap<(SenderId, GateId), (Duration, Duration)>,
    /// Who saw a call or a connection fail, or be refused, since an outage began there.
    saw: HashMap<GateId, BTreeSet<SenderId>>,
    came: HashMap<GateId, VecDeque<(Duration, SenderId)>>,
}

impl Restraint {
    pub fn told_off(&mut self, record: &Record, sender: SenderId, endpoint: EndpointId) {
        self.told_off.entry((sender, endpoint)).or_insert(record.now);
    }

    pub fn told_on(&mut self, sender: SenderId, endpoint: EndpointId) {
        self.told_off.remove(&(sender, endpoint));
    }

    pub fn outage(&mut self, gate: GateId) {
        self.saw.insert(gate, BTreeSet::new());
    }

    pub fn lost(&mut self, sender: SenderId, gate: GateId) {
        if let Some(saw) = self.saw.get_mut(&gate) {
            saw.insert(sender);
        }
    }

    /// A life ends, and with it the waits that were told to it and what it saw.
    pub fn restarted(&mut self, sender: SenderId) {
        self.waits.retain(|(of, _), _| *of != sender);
        for saw in self.saw.values_mut() {
            saw.remove(&sender);
        }
    }

    pub fn came(&mut self, record: &mut Record, call: &Call) {
        let (now, grace, crossing) = (record.now, record.rules.drain_grace, record.rules.crossing);
        if let Some(told) = self.told_off.get(&(call.sender, call.endpoint)).copied()
            && now > told + grace + crossing
        {
            let events = vec![
                format!(
                    "{}: sender {} was told that endpoint {} drains",
                    ms(told),
                    call.sender.0,
                    call.endpoint.0
                ),
                format!("{}: the grace was over", ms(told + grace)),
                format!("{}: a call came from it", ms(now)),
            ];
            record.breach(Rule::Drains, call.packets.first().copied(), events);
        }
        if let Some((told, until)) = self.waits.get(&(call.sender, call.gate)).copied()
            && now > told + crossing
            && now + Duration::from_millis(1) < until
        {
            let events = vec![
                format!("{}: sender {} was told to wait", ms(told), call.sender.0),
                format!("the wait ends at {}", ms(until)),
                format!("{}: a call came from it to endpoint {}", ms(now), call.endpoint.0),
            ];
            record.breach(Rule::Waits, call.packets.first().copied(), events);
        }
        let recent = self.came.entry(call.gate).or_default();
        while recent.front().is_some_and(|(at, _)| *at + record.rules.fall < now) {
            recent.pop_front();
        }
        recent.push_back((now, call.sender));
    }

    pub fn over(&mut self, record: &Record, call: &Call, heard: Heard) {
        if heard != Heard::Done {
            self.lost(call.sender, call.gate);
        }
        if let Heard::Full(Some(wait)) = heard {
            let until = record.now + wait;
            let longest = self.waits.get(&(call.sender, call.gate)).is_none_or(|(_, other)| *other < until);
            if longest {
                self.waits.insert((call.sender, call.gate), (record.now, until));
            }
        }
    }

    pub fn fell(&mut self, record: &mut Record, gate: GateId) {
        let none = BTreeSet::new();
        let saw = self.saw.get(&gate).unwrap_or(&none);
        let recent = self.came.get(&gate).into_iter().flatten();
        let calls: Vec<(Duration, SenderId)> = recent.copied().collect();
        let knew = calls.iter().filter(|(_, sender)| saw.contains(sender)).count();
        if calls.is_empty() || (knew as f64) < KNEW * calls.len() as f64 {
            return;
        }
        let events = vec![
            format!("an outage was seen by {} senders", saw.len()),
            format!("{} of {} calls within the span came from them", knew, calls.len()),
            format!("{}: what the endpoints share (gate {}) fell over", ms(record.now), gate.0),
        ];
        record.breach(Rule::Return, None, events);
    }
}
