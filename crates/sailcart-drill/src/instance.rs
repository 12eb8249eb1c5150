//! One simulated sender, with the translation between the simulator's names and the numeric ids of sailcart.

use std::collections::HashMap;
use std::time::Duration;

use sailcart::{
    CategoryId, CustomerId, DestinationId, EndpointId, Host, KeyId, KindId, ListEntry, Outcome, Packet,
    PacketId, RouteId, Sender,
};
use sailcart_terms::{Names, ValueError, read_milliseconds, read_number, read_text};
use serde_json::{Value, json};

use crate::message::Message;

/// An entry of a destination list, as received from the simulator.
pub struct Entry {
    endpoint: String,
    kind: String,
    destination: u64,
    live: bool,
    /// Calls per second that the destination accepts from all senders; `heft` in the messages.
    rate: f64,
}

impl Entry {
    /// Reads an entry from its JSON array.
    pub fn read(entry: &Value) -> Result<Self, ValueError> {
        let message = Message::unnamed(entry, "rows_in")?;
        message.text(1, "rack_zone")?;
        let live = match message.text(4, "state")? {
            "live" => true,
            "quiescing" | "dead" => false,
            other => return Err(format!("expected live, quiescing or dead in state, not {other}").into()),
        };
        Ok(Entry {
            endpoint: message.text(0, "endpoint")?.to_owned(),
            kind: message.text(2, "type")?.to_owned(),
            destination: message.unsigned(3, "cell")?,
            live,
            rate: message.optional(5).map_or(Ok(1.0), |rate| read_number(rate, "heft"))?,
        })
    }
}

/// Maps the simulator's names to ids, and ids back to names.
#[derive(Default)]
struct IdMap {
    /// The ids of packets by the simulator's name.
    packets: HashMap<String, PacketId>,
    /// The simulator's names of packets, by id.
    handles: HashMap<PacketId, String>,
    endpoints: HashMap<String, EndpointId>,
    /// The simulator's names of endpoints, by id.
    addresses: Vec<String>,
    keys: HashMap<String, KeyId>,
    next_packet: u64,
}

impl IdMap {
    fn add_packet(&mut self, handle: &str) -> PacketId {
        let id = PacketId(self.next_packet);
        self.next_packet += 1;
        self.packets.insert(handle.to_owned(), id);
        self.handles.insert(id, handle.to_owned());
        id
    }

    fn remove_packet(&mut self, id: PacketId) {
        if let Some(handle) = self.handles.remove(&id) {
            self.packets.remove(&handle);
        }
    }

    fn endpoint(&mut self, address: &str) -> EndpointId {
        if let Some(id) = self.endpoints.get(address) {
            return *id;
        }
        let id = EndpointId(u32::try_from(self.addresses.len()).unwrap_or(u32::MAX));
        self.addresses.push(address.to_owned());
        self.endpoints.insert(address.to_owned(), id);
        id
    }

    fn key(&mut self, key: &str) -> KeyId {
        let new_id = KeyId(self.keys.len() as u64);
        *self.keys.entry(key.to_owned()).or_insert(new_id)
    }
}

/// A sender in the simulation. `wall_time` is the simulator's clock.
pub struct Instance {
    sender: Sender,
    names: Names,
    ids: IdMap,
    /// The simulator's clock at the sender's start.
    start: Duration,
}

impl Instance {
    /// Starts a sender with these settings.
    pub fn new(wall_time: Duration, seed: u64, settings_value: &Value) -> Result<Self, ValueError> {
        let (settings, names) = sailcart_terms::read(settings_value)?;
        let mut sender = Sender::new(settings, seed);
        sender.list_request_failed(Duration::ZERO); // the list is not being watched yet
        Ok(Instance { sender, names, ids: IdMap::default(), start: wall_time })
    }

    /// The time since the sender's start.
    fn now(&self, wall_time: Duration) -> Duration {
        wall_time.saturating_sub(self.start)
    }

    /// Applies a destination list, full or incremental.
    pub fn update_list(
        &mut self,
        wall_time: Duration,
        full: bool,
        entries: &[Entry],
    ) -> Result<(), ValueError> {
        let mut list_entries = Vec::with_capacity(entries.len());
        for entry in entries {
            let endpoint = self.ids.endpoint(&entry.endpoint);
            list_entries.push(ListEntry {
                endpoint,
                route: RouteId(endpoint.0.into()),
                destination: DestinationId(entry.destination),
                kind: KindId(position(&self.names.kinds, &entry.kind, "type")?),
                live: entry.live,
                rate: entry.rate,
            });
        }
        self.sender.update_list(self.now(wall_time), full, &list_entries);
        Ok(())
    }

    /// Handles a failed request for the destination list.
    pub fn list_request_failed(&mut self, wall_time: Duration) {
        self.sender.list_request_failed(self.now(wall_time));
    }

    /// Submits a packet (`Demand`).
    pub fn submit(&mut self, wall_time: Duration, message: &Message) -> Result<(), ValueError> {
        let handle = message.text(0, "handle")?;
        let key = message.optional(1).map(|key| read_text(key, "path_key")).transpose()?;
        let deadline = read_milliseconds(message.required(3, "deadline_ms")?, "deadline_ms")?;
        let destination = message.unsigned(5, "to_dest")?;
        let category = position(&self.names.categories, message.text(6, "qos")?, "qos")?;
        let customer = match message.optional(7) {
            Some(Value::String(name)) => Some(position(&self.names.customers, name, "user_group")?),
            Some(Value::Number(_)) | None => None,
            Some(_) => return Err("expected text in user_group".into()),
        };
        let packet = Packet {
            id: self.ids.add_packet(handle),
            destination: DestinationId(destination),
            category: CategoryId(category),
            customer: customer.map(CustomerId),
            key: key.map(|key| self.ids.key(key)),
            deadline: self.now(deadline),
            dispatches: 0,
            possibly_executed_at: None,
            accepted_by_previous_process: false,
        };
        self.sender.accept(self.now(wall_time), packet);
        Ok(())
    }

    /// Handles the outcome of a dispatch (`Verdict`).
    pub fn complete_dispatch(&mut self, wall_time: Duration, message: &Message) -> Result<(), ValueError> {
        let handle = message.text(0, "handle")?;
        message.unsigned(1, "send_no")?;
        let elapsed = read_milliseconds(message.required(2, "elapsed_ms")?, "elapsed_ms")?;
        let wait = message.optional(3).map(|wait| read_milliseconds(wait, "remark_ms")).transpose()?;
        let settled = message.optional(4).is_some_and(|settled| settled == &Value::Bool(true));
        let outcome = match message.unsigned(5, "code")? {
            0 => Outcome::Done,
            13 => Outcome::Error,
            8 => Outcome::Full(wait.filter(|wait| !wait.is_zero())),
            4 => Outcome::TimedOut,
            14 => Outcome::NoConnection,
            10 => Outcome::Reset,
            1 => Outcome::Cancelled,
            9 if wait == Some(Duration::from_millis(1)) => Outcome::NoSlot,
            9 => Outcome::Moot,
            other => return Err(format!("expected a known outcome in code, not {other}").into()),
        };
        message.text(6, "endpoint")?;
        let now = self.now(wall_time);
        if let Some(id) = self.ids.packets.get(handle).copied() {
            let column = |index: usize| message.optional(7)?.as_array()?.get(index)?.as_f64();
            let report =
                self.names.report_fields.as_ref().and_then(|fields| fields.read(|(index, _)| column(*index)));
            if let Some(report) = report {
                self.sender.record_report(id, report);
            }
            self.sender.record_outcome(now, id, elapsed, outcome, settled);
            self.remove_if_completed(id);
        }
        Ok(())
    }

    /// Withdraws a packet that its client has abandoned (`Dropped`).
    pub fn withdraw(&mut self, wall_time: Duration, message: &Message) -> Result<(), ValueError> {
        let handle = message.text(0, "handle")?;
        let now = self.now(wall_time);
        if let Some(id) = self.ids.packets.get(handle).copied() {
            self.sender.withdraw(now, id);
            self.remove_if_completed(id);
        }
        Ok(())
    }

    fn remove_if_completed(&mut self, id: PacketId) {
        if !self.sender.is_tracked(id) {
            self.ids.remove_packet(id);
        }
    }

    /// Runs a round of decisions and returns the messages for the simulator.
    pub fn decide(&mut self, wall_time: Duration) -> Vec<Value> {
        let now = self.now(wall_time);
        let mut writer = MessageWriter { ids: &mut self.ids, messages: Vec::new() };
        self.sender.decide(now, &mut writer);
        writer.messages
    }
}

/// The position of a name in the settings.
fn position(names: &HashMap<String, usize>, name: &str, what: &str) -> Result<usize, ValueError> {
    let position = names.get(name).copied();
    position.ok_or_else(|| format!("expected a name from the settings in {what}, not {name}").into())
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_micros() as f64 / 1000.0
}

/// Writes each decision of the sender as a message for the simulator.
struct MessageWriter<'a> {
    ids: &'a mut IdMap,
    messages: Vec<Value>,
}

impl Host for MessageWriter<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, timeout: Duration) {
        let handle = self.ids.handles.get(&packet);
        let address = self.ids.addresses.get(endpoint.0 as usize);
        self.messages.push(json!(["Place", handle, address, milliseconds(timeout)]));
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.messages.push(json!(["DropAttempt", self.ids.handles.get(&packet), dispatch]));
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.messages.push(json!(["SayNo", self.ids.handles.get(&packet), retry_after.map(milliseconds)]));
        self.ids.remove_packet(packet);
    }

    fn scrap(&mut self, packet: PacketId) {
        self.messages.push(json!(["ReportFailure", self.ids.handles.get(&packet)]));
        self.ids.remove_packet(packet);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.messages.push(json!(["Release", self.ids.addresses.get(endpoint.0 as usize)]));
    }

    fn request_list(&mut self) {
        self.messages.push(json!(["Follow", true]));
    }

    fn wake(&mut self, after: Duration) {
        self.messages.push(json!(["Schedule", 0, milliseconds(after)]));
    }
}
