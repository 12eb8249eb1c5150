//! Endpoints on loopback: the model of `receivers` behind real sockets.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::http::{Inbox, answer};
use super::protocol::{named, written};
use super::shared::SharedState;
use crate::plan::SenderId;
use crate::receivers::{Answer, Connect, Reception, TroubleSchedule};
use crate::results::tally::Count;
use crate::watcher::{CallId, End, GateId, Heard, Seen};

/// Connections that wait to be accepted at a live endpoint.
const BACKLOG: u32 = 1024;
/// Own connections that fill a black hole's queue, so that no other comes up.
const PLUGS: usize = 4;

/// Opens every address of the plan.
pub async fn open(shared: &Rc<SharedState>) -> io::Result<Rc<[SocketAddr]>> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for place in &shared.plan.places {
        if place.address != place.endpoint {
            addresses.push(addresses[place.address.0 as usize]);
            continue;
        }
        let number = place.endpoint.0;
        let host = Ipv4Addr::new(
            127,
            10 + (number / 62_500) as u8,
            (number / 250 % 250) as u8,
            (number % 250 + 1) as u8,
        );
        let listener = bind(SocketAddr::new(IpAddr::V4(host), 0), BACKLOG)?;
        let address = listener.local_addr()?;
        addresses.push(address);
        spawn_local(
            Rc::new(Endpoint { shared: shared.clone(), address, first: place.endpoint }).live(listener),
        );
    }
    Ok(addresses.into())
}

fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Tells the watcher when outages begin, and who must have met one.
pub fn troubles(shared: &Rc<SharedState>) {
    let troubles = TroubleSchedule::new(&shared.plan);
    for place in &shared.plan.places {
        let gate = shared.gate(place.endpoint);
        for (from, until) in troubles.outages(place.endpoint) {
            let (shared, endpoint) = (shared.clone(), place.endpoint);
            spawn_local(async move {
                sleep_until(shared.instant(from)).await;
                shared.see(Seen::OutageFrom(gate));
                let closed = {
                    let conditions = shared.receivers.borrow().conditions(from, endpoint);
                    conditions.down || conditions.black_hole
                };
                sleep_until(shared.instant(until)).await;
                if closed {
                    shared.missed(gate, &[endpoint]);
                }
            });
        }
    }
}

/// One address, and whoever has it over time.
struct Endpoint {
    shared: Rc<SharedState>,
    address: SocketAddr,
    first: EndpointId,
}

/// How an address meets connections for a while.
#[derive(Clone, Copy, PartialEq)]
enum Door {
    Open,
    Closed,
    BlackHole,
}

impl Endpoint {
    /// Who has the address now.
    fn current(&self, now: Duration) -> Option<EndpointId> {
        let at_it = |place: &&crate::plan::Place| place.address == self.first;
        let there = |place: &&crate::plan::Place| place.from <= now && now < place.gone;
        self.shared.plan.places.iter().filter(at_it).find(there).map(|place| place.endpoint)
    }

    fn door(&self, now: Duration) -> Door {
        let Some(endpoint) = self.current(now) else { return Door::Closed };
        let conditions = self.shared.receivers.borrow().conditions(now, endpoint);
        match (conditions.down, conditions.black_hole) {
            (true, _) => Door::Closed,
            (_, true) => Door::BlackHole,
            _ => Door::Open,
        }
    }

    /// Until when the door stays as it is, at least.
    fn until(&self, now: Duration) -> Option<Duration> {
        let places = self.shared.plan.places.iter().filter(|place| place.address == self.first);
        let receivers = self.shared.receivers.borrow();
        places.filter_map(|place| receivers.next_change(&self.shared.plan, now, place.endpoint)).min()
    }

    async fn live(self: Rc<Self>, first: TcpListener) {
        let mut open = Some(first);
        loop {
            let now = self.shared.now();
            let door = self.door(now);
            let change = self.until(now);
            let at = change
                .map_or(self.shared.instant(now + Duration::from_secs(3600)), |at| self.shared.instant(at));
            // The clock starts anew when all senders are ready, so a long sleep is cut.
            let look = tokio::time::Instant::now()
                + Duration::from_millis(if change.is_some() { 500 } else { 60_000 });
            let at = at.min(look);
            match door {
                Door::Open => {
                    if open.is_none() {
                        open = self.reopen(BACKLOG).await;
                    }
                    if let Some(listener) = &open {
                        tokio::select! {
                            () = self.clone().accept(listener) => {}
                            () = sleep_until(at) => {}
                        }
                    }
                }
                Door::Closed => {
                    open = None;
                    sleep_until(at).await;
                }
                Door::BlackHole => {
                    drop(open.take());
                    let hole = self.reopen(0).await;
                    let plugs = self.plug().await;
                    while self.door(self.shared.now()) == Door::BlackHole {
                        sleep_until(at.min(tokio::time::Instant::now() + Duration::from_millis(20))).await;
                    }
                    drop((hole, plugs));
                }
            }
        }
    }

    async fn reopen(&self, backlog: u32) -> Option<TcpListener> {
        for _ in 0..50 {
            match bind(self.address, backlog) {
                Ok(listener) => return Some(listener),
                Err(fault) => {
                    log::debug!("endpoint {}: code=no_listen {fault}", self.address);
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
        log::error!("endpoint {}: code=no_listen", self.address);
        None
    }

    async fn plug(&self) -> Vec<TcpStream> {
        let mut plugs = Vec::new();
        for _ in 0..PLUGS {
            match timeout(Duration::from_millis(50), TcpStream::connect(self.address)).await {
                Ok(Ok(plug)) => plugs.push(plug),
                _ => break,
            }
        }
        plugs
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().converse(stream));
                }
                Err(fault) => {
                    log::warn!("endpoint {}: code=no_accept {fault}", self.address);
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    async fn converse(self: Rc<Self>, stream: TcpStream) {
        let now = self.shared.now();
        let Some(endpoint) = self.current(now) else { return cut(stream) };
        let connect = self.shared.receivers.borrow_mut().connect(&self.shared.plan, now, endpoint);
        let Connect::Up(handshake) = connect else { return cut(stream) };
        self.shared.tally.borrow_mut().count(Count::Connections);
        if !handshake.is_zero() {
            sleep(handshake).await;
        }
        let _ = stream.set_nodelay(true);
        let mut talk = Talk { shared: &self.shared, endpoint, stream, inbox: Inbox::default() };
        let broken = talk.calls().await;
        let stream = talk.stream;
        self.shared.receivers.borrow_mut().disconnected(endpoint);
        if broken {
            cut(stream);
        }
    }
}

/// Ends a connection with a reset.
fn cut(stream: TcpStream) {
    #[allow(deprecated)] // the blocking form of linger, with zero, does not block
    let _ = stream.set_linger(Some(Duration::ZERO));
}

/// One connection's calls, one after the other.
struct Talk<'a> {
    shared: &'a Rc<SharedState>,
    endpoint: EndpointId,
    stream: TcpStream,
    inbox: Inbox,
}

impl Talk<'_> {
    /// When the endpoint itself stops, with whatever is open.
    async fn stops(shared: &Rc<SharedState>, endpoint: EndpointId) {
        loop {
            let now = shared.now();
            if !shared.receivers.borrow().reachable(&shared.plan, now, endpoint) {
                return;
            }
            let next = shared.receivers.borrow().next_change(&shared.plan, now, endpoint);
            let most = tokio::time::Instant::now() + Duration::from_millis(500);
            sleep_until(next.map_or(most, |next| shared.instant(next).min(most))).await;
        }
    }

    /// True if it ends by a reset.
    async fn calls(&mut self) -> bool {
        let idle = self.shared.plan.group(self.shared.plan.place(self.endpoint).destination).idle_close;
        loop {
            let call = tokio::select! {
                call = timeout(idle, self.inbox.call(&mut self.stream)) => call,
                () = Self::stops(self.shared, self.endpoint) => return true,
            };
            let call = match call {
                Err(_) => return self.inbox.begun(),
                Ok(Ok(Some(call))) => call,
                Ok(Ok(None)) => return false,
                Ok(Err(fault)) if fault.kind() == io::ErrorKind::InvalidData => {
                    self.shared.tally.borrow_mut().count(Count::Strays);
                    let _ = self.stream.write_all(&answer("400 Bad Request", "", "")).await;
                    return false;
                }
                Ok(Err(_)) => return true,
            };
            let now = self.shared.now();
            if self.shared.receivers.borrow_mut().cuts_before(now, self.endpoint) {
                return true;
            }
            let names = named(&call);
            let packets: Option<Vec<(PacketId, Option<String>)>> = names.as_ref().and_then(|names| {
                names.iter().map(|(id, mark)| Some((self.shared.known(id)?, mark.clone()))).collect()
            });
            let (Some(names), Some(packets)) = (names, packets) else {
                self.shared.tally.borrow_mut().count(Count::Strays);
                let _ = self.stream.write_all(&answer("400 Bad Request", "", "")).await;
                return false;
            };
            let ids: Vec<String> = names.into_iter().map(|(id, _)| id).collect();
            match self.call(now, &ids, &packets).await {
                After::Keep => {}
                After::Close => return false,
                After::Reset => return true,
            }
        }
    }

    /// A call's last byte has come.
    async fn call(&mut self, now: Duration, ids: &[String], packets: &[(PacketId, Option<String>)]) -> After {
        let shared = self.shared;
        let (id, gate) = (shared.next_call(), shared.gate(self.endpoint));
        let destination = shared.plan.place(self.endpoint).destination;
        let sender = shared.sender(packets[0].0);
        let pieces: Vec<_> = packets.iter().map(|(id, mark)| shared.piece(*id, mark.as_deref())).collect();
        let reception = shared.receivers.borrow_mut().arrive(&shared.plan, now, self.endpoint, &pieces);
        shared.tally.borrow_mut().dispatched(now, destination, packets.len());
        shared.tally.borrow_mut().calls_out(destination, true);
        let numbers: Vec<PacketId> = packets.iter().map(|(id, _)| *id).collect();
        self.begin(id, sender, gate, &numbers, &reception);
        let after = self.answer(id, ids, &numbers, reception).await;
        shared.tally.borrow_mut().calls_out(destination, false);
        after
    }

    fn begin(
        &self,
        call: CallId,
        sender: SenderId,
        gate: GateId,
        packets: &[PacketId],
        reception: &Reception,
    ) {
        let packets = packets.to_vec();
        self.shared.see(Seen::Came { call, sender, endpoint: self.endpoint, gate, packets });
        if reception.effects.contains(&true) {
            self.shared.see(Seen::Ran(call, reception.effects.clone()));
        }
        if reception.fell {
            self.shared.see(Seen::Fell(gate));
        }
    }

    async fn answer(
        &mut self,
        id: CallId,
        ids: &[String],
        packets: &[PacketId],
        reception: Reception,
    ) -> After {
        let due = reception.answer.as_ref().map(|(at, _)| *at);
        if let Some((count, after)) = self.interrupted(due).await {
            return self.unanswered(id, count, after);
        }
        let Some((_, answer)) = reception.answer else { return After::Reset };
        let Some(bytes) = written(&answer, ids, reception.report) else {
            return self.unanswered(id, Count::Errors, After::Reset);
        };
        // What is told must stand before the sender can act on it.
        let heard = self.heard(&answer, packets);
        self.shared.see(Seen::Over { call: id, heard });
        // A spoilt answer may be more than its reader takes: it closes, or this gives up soon.
        let wrote = timeout(Duration::from_secs(1), self.stream.write_all(&bytes)).await;
        match (&answer, wrote) {
            (Answer::Spoilt(_), _) => {
                let _ = timeout(Duration::from_secs(1), gone(&self.stream)).await;
                After::Close
            }
            (_, Ok(Ok(()))) => After::Keep,
            _ => After::Reset,
        }
    }

    /// Waits until an answer is due, for ever without one; tells what comes before it, if anything does.
    async fn interrupted(&self, due: Option<Duration>) -> Option<(Count, After)> {
        let due = async {
            match due {
                Some(at) => sleep_until(self.shared.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => None,
            () = gone(&self.stream) => Some((Count::Unanswered, After::Close)),
            () = Self::stops(self.shared, self.endpoint) => Some((Count::Errors, After::Reset)),
        }
    }

    /// A call is over without an answer.
    fn unanswered(&self, id: CallId, count: Count, after: After) -> After {
        self.shared.tally.borrow_mut().count(count);
        self.shared.see(Seen::Over { call: id, heard: Heard::Unsure });
        after
    }

    /// What the sender will have heard, and which packets are delivered by it.
    fn heard(&self, answer: &Answer, packets: &[PacketId]) -> Heard {
        let shared = self.shared;
        let done = |packet: &PacketId| shared.ended(*packet, End::Done, Duration::ZERO);
        let count = |what| shared.tally.borrow_mut().count(what);
        match answer {
            Answer::Done => {
                packets.iter().for_each(done);
                Heard::Done
            }
            Answer::Spoilt(manner) if manner.settles(packets.len() > 1) => {
                packets.iter().for_each(done);
                Heard::Done
            }
            Answer::Full(wait) => {
                let destination = shared.plan.place(self.endpoint).destination;
                shared.tally.borrow_mut().refused(shared.now(), destination);
                Heard::Full(*wait)
            }
            Answer::Mixed(each, wait) => {
                let accepted = packets.iter().zip(each);
                let accepted = accepted.filter(|(_, one)| **one == crate::receivers::PieceAnswer::Accepted);
                accepted.map(|(packet, _)| packet).for_each(done);
                wait.map_or(Heard::Done, |wait| Heard::Full(Some(wait)))
            }
            // One that cannot be read is an answer all the same: the call is at work no longer.
            Answer::Error | Answer::Spoilt(_) => {
                count(Count::Errors);
                Heard::Error
            }
            Answer::Reset => {
                count(Count::Errors);
                Heard::Unsure
            }
        }
    }
}

/// What becomes of a connection after a call.
enum After {
    Keep,
    Close,
    Reset,
}

/// Until the peer has closed or reset; what it sends meanwhile waits.
async fn gone(stream: &TcpStream) {
    let mut one = [0u8; 1];
    match stream.peek(&mut one).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
