//! One sender and the names of what it handles.

use std::collections::HashMap;
use std::time::Duration;

use sailcart::{
    CategoryId, CustomerId, DestinationId, EndpointId, Host, KeyId, KindId, Listing, Outcome, Packet,
    PacketId, Sender,
};
use sailcart_terms::{Fault, Names, span, take_number, take_text};
use serde_json::{Value, json};

use crate::row::Row;

/// A line of a list, as the wire has it.
pub struct Entry {
    endpoint: String,
    kind: String,
    destination: u64,
    live: bool,
    heft: f64,
}

impl Entry {
    pub fn read(entry: &Value) -> Result<Self, Fault> {
        let row = Row::plain(entry, "rows_in")?;
        row.text(1, "rack_zone")?;
        let live = match row.text(4, "state")? {
            "live" => true,
            "quiescing" | "dead" => false,
            other => return Err(format!("expected a known state, not {other}").into()),
        };
        Ok(Entry {
            endpoint: row.text(0, "endpoint")?.to_owned(),
            kind: row.text(2, "type")?.to_owned(),
            destination: row.whole(3, "cell")?,
            live,
            heft: row.maybe(5).map_or(Ok(1.0), |heft| take_number(heft, "heft"))?,
        })
    }
}

/// Names in use, both ways.
#[derive(Default)]
struct Book {
    packets: HashMap<String, PacketId>,
    handles: HashMap<PacketId, String>,
    endpoints: HashMap<String, EndpointId>,
    addresses: Vec<String>,
    keys: HashMap<String, KeyId>,
    next: u64,
}

impl Book {
    fn packet(&mut self, handle: &str) -> PacketId {
        let id = PacketId(self.next);
        self.next += 1;
        self.packets.insert(handle.to_owned(), id);
        self.handles.insert(id, handle.to_owned());
        id
    }

    fn forget(&mut self, id: PacketId) {
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
        let next = KeyId(self.keys.len() as u64);
        *self.keys.entry(key.to_owned()).or_insert(next)
    }
}

pub struct Instance {
    sender: Sender,
    names: Names,
    book: Book,
    /// The wire's clock at the sender's start.
    start: Duration,
}

impl Instance {
    pub fn new(wall: Duration, seed: u64, env: &Value) -> Result<Self, Fault> {
        let (terms, names) = sailcart_terms::read(env)?;
        let mut sender = Sender::new(terms, seed);
        sender.list_failed(Duration::ZERO); // no watch stands yet
        Ok(Instance { sender, names, book: Book::default(), start: wall })
    }

    fn now(&self, wall: Duration) -> Duration {
        wall.saturating_sub(self.start)
    }

    pub fn update(&mut self, wall: Duration, whole: bool, entries: &[Entry]) -> Result<(), Fault> {
        let mut lines = Vec::with_capacity(entries.len());
        for entry in entries {
            lines.push(Listing {
                endpoint: self.book.endpoint(&entry.endpoint),
                destination: DestinationId(entry.destination),
                kind: KindId(known(&self.names.kinds, &entry.kind, "type")?),
                live: entry.live,
                rate: entry.heft,
            });
        }
        self.sender.list(self.now(wall), whole, &lines);
        Ok(())
    }

    pub fn list_failed(&mut self, wall: Duration) {
        self.sender.list_failed(self.now(wall));
    }

    pub fn demand(&mut self, wall: Duration, row: &Row) -> Result<(), Fault> {
        let handle = row.text(0, "handle")?;
        let key = row.maybe(1).map(|key| take_text(key, "path_key")).transpose()?;
        let ends = span(row.at(3, "deadline_ms")?, "deadline_ms")?;
        let destination = row.whole(5, "to_dest")?;
        let category = known(&self.names.categories, row.text(6, "qos")?, "qos")?;
        let customer = match row.maybe(7) {
            Some(Value::String(name)) => Some(known(&self.names.customers, name, "user_group")?),
            Some(Value::Number(_)) | None => None,
            Some(_) => return Err("expected text in user_group".into()),
        };
        let packet = Packet {
            id: self.book.packet(handle),
            destination: DestinationId(destination),
            category: CategoryId(category),
            customer: customer.map(CustomerId),
            key: key.map(|key| self.book.key(key)),
            ends: self.now(ends),
            dispatches: 0,
            doubt: None,
            taken_on: false,
        };
        self.sender.take(self.now(wall), packet);
        Ok(())
    }

    pub fn verdict(&mut self, wall: Duration, row: &Row) -> Result<(), Fault> {
        let handle = row.text(0, "handle")?;
        row.whole(1, "send_no")?;
        let elapsed = span(row.at(2, "elapsed_ms")?, "elapsed_ms")?;
        let remark = row.maybe(3).map(|remark| span(remark, "remark_ms")).transpose()?;
        let over = row.maybe(4).is_some_and(|settled| settled == &Value::Bool(true));
        let outcome = match row.whole(5, "code")? {
            0 => Outcome::Done,
            13 => Outcome::Error,
            8 => Outcome::Full(remark.filter(|wait| !wait.is_zero())),
            4 => Outcome::TimedOut,
            14 => Outcome::NoConnection,
            10 => Outcome::Reset,
            1 => Outcome::Cancelled,
            9 if remark == Some(Duration::from_millis(1)) => Outcome::NoSlot,
            9 => Outcome::Moot,
            other => return Err(format!("expected a known outcome, not {other}").into()),
        };
        row.text(6, "endpoint")?;
        let now = self.now(wall);
        if let Some(id) = self.book.packets.get(handle).copied() {
            let value = |at: usize| row.maybe(7)?.as_array()?.get(at)?.as_f64();
            let report = self.names.reports.as_ref().and_then(|r| r.read(|(at, _)| value(*at)));
            if let Some(report) = report {
                self.sender.report(id, report);
            }
            self.sender.outcome(now, id, elapsed, outcome, over);
            self.prune(id);
        }
        Ok(())
    }

    pub fn dropped(&mut self, wall: Duration, row: &Row) -> Result<(), Fault> {
        let handle = row.text(0, "handle")?;
        let now = self.now(wall);
        if let Some(id) = self.book.packets.get(handle).copied() {
            self.sender.withdraw(now, id);
            self.prune(id);
        }
        Ok(())
    }

    fn prune(&mut self, id: PacketId) {
        if !self.sender.holds(id) {
            self.book.forget(id);
        }
    }

    pub fn decide(&mut self, wall: Duration) -> Vec<Value> {
        let now = self.now(wall);
        let mut wire = Wire { book: &mut self.book, out: Vec::new() };
        self.sender.decide(now, &mut wire);
        wire.out
    }
}

fn known(names: &HashMap<String, usize>, name: &str, what: &str) -> Result<usize, Fault> {
    let at = names.get(name).copied();
    at.ok_or_else(|| format!("expected a name from the settings in {what}, not {name}").into())
}

fn ms(span: Duration) -> f64 {
    span.as_micros() as f64 / 1000.0
}

/// Writes each of the sender's answers as a message.
struct Wire<'a> {
    book: &'a mut Book,
    out: Vec<Value>,
}

impl Host for Wire<'_> {
    fn dispatch(&mut self, packet: PacketId, endpoint: EndpointId, time_out: Duration) {
        let handle = self.book.handles.get(&packet);
        let address = self.book.addresses.get(endpoint.0 as usize);
        self.out.push(json!(["Place", handle, address, ms(time_out)]));
    }

    fn cancel(&mut self, packet: PacketId, dispatch: u32) {
        self.out.push(json!(["DropAttempt", self.book.handles.get(&packet), dispatch]));
    }

    fn dismiss(&mut self, packet: PacketId, retry_after: Option<Duration>) {
        self.out.push(json!(["SayNo", self.book.handles.get(&packet), retry_after.map(ms)]));
        self.book.forget(packet);
    }

    fn scrap(&mut self, packet: PacketId) {
        self.out.push(json!(["ReportFailure", self.book.handles.get(&packet)]));
        self.book.forget(packet);
    }

    fn close_idle(&mut self, endpoint: EndpointId) {
        self.out.push(json!(["Release", self.book.addresses.get(endpoint.0 as usize)]));
    }

    fn ask_list(&mut self) {
        self.out.push(json!(["Follow", true]));
    }

    fn wake(&mut self, after: Duration) {
        self.out.push(json!(["Schedule", 0, ms(after)]));
    }
}
