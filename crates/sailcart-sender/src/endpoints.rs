//! The endpoints' side: calls go out, each written once, and what comes of them is told to their owner.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::{EndpointId, Outcome};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

use crate::caller::{self, Reply};
use crate::exchange::guard::{Permit, Refusal};
use crate::machine;
use crate::memory::pool::{Pool, ended};
use crate::outgoing::{Call, CallOwner};
use crate::socket::Socket;
use crate::wire::MOST_BODY;
use crate::wire::call::{self, Ending, Parcel};
use crate::wire::http::Head;

/// How long the rest of an answer may take once it has begun to come.
const REST: Duration = Duration::from_millis(250);

pub struct Endpoints {
    pool: RefCell<Pool>,
    connect_time_out: Duration,
    /// Connections that did not come up for a reason of this machine.
    own_faults: Cell<u64>,
}

impl Endpoints {
    pub fn new(pool: Pool, connect_time_out: Duration) -> Self {
        Endpoints { pool: RefCell::new(pool), connect_time_out, own_faults: Cell::new(0) }
    }

    /// Closes an endpoint's idle connections.
    pub fn close(&self, endpoint: EndpointId, code: &str) {
        self.pool.borrow_mut().close(endpoint, code);
    }

    pub fn close_all(&self, code: &str) {
        self.pool.borrow_mut().close_all(code);
    }

    /// Closes idle connections before their peers do.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(250)).await;
            self.pool.borrow_mut().sweep();
        }
    }

    /// Carries a call out. Its connection has ended, or is idle again, before its outcome is told.
    pub async fn carry(self: Rc<Self>, call: Call, owner: Rc<impl CallOwner>) {
        owner.turn_comes(&call).await;
        let (endings, head, keeps) = match self.connect(&call).await {
            Err(outcome) => (alike(&call, outcome), None, None),
            Ok(stream) => match owner.permit(&call) {
                Ok(permit) => speak(&call, stream, permit).await,
                Err(Refusal::NotNow) => (alike(&call, Outcome::NoSlot), None, Some(stream)),
                Err(Refusal::Unrecorded) => (alike(&call, Outcome::Unsent), None, Some(stream)),
            },
        };
        match keeps {
            Some(stream) if owner.lists(call.endpoint) => {
                self.pool.borrow_mut().put(call.endpoint, call.address, stream);
            }
            Some(_) => ended(call.address, "unlisted"),
            None => {}
        }
        owner.came_back(&call, &endings, head.as_ref());
    }

    /// A connection for a call, or how it fared without one.
    async fn connect(&self, call: &Call) -> Result<Socket, Outcome> {
        let idle = self.pool.borrow_mut().take(call.endpoint);
        if let Some(idle) = idle {
            return Ok(idle);
        }
        let end = call.start + call.time_out.min(self.connect_time_out);
        let connected = tokio::select! {
            connected = timeout_at(end.into(), TcpStream::connect(call.address)) => connected,
            () = call.called_off.notified() => return Err(Outcome::NoConnection),
        };
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let usable = connected.and_then(|stream| stream.set_nodelay(true).map(|()| Socket(stream)));
        usable.map_err(|fault| self.no_connection(call, &fault))
    }

    /// What a connection that did not come up says, with its line in the log. Faults of this machine come in rows, on the way to all
    /// endpoints: the first of a row and each that doubles it have a line.
    fn no_connection(&self, call: &Call, fault: &io::Error) -> Outcome {
        let address = call.address;
        if machine::is_own_fault(fault) {
            let count = self.own_faults.get() + 1;
            self.own_faults.set(count);
            if count.is_power_of_two() {
                log::warn!("endpoint {address}: no connection, code=own_fault count={count} {fault}");
            }
            return Outcome::Unsent;
        }
        let code = if fault.kind() == io::ErrorKind::TimedOut { "time_out" } else { "refused" };
        log::info!("endpoint {address}: no connection, code={code} {fault}");
        Outcome::NoConnection
    }
}

/// One call and what came of it, the head of its answer, and its connection if another call can go there.
async fn speak(
    call: &Call,
    mut stream: Socket,
    _permit: Permit,
) -> (Vec<Ending>, Option<Head>, Option<Socket>) {
    let end = call.start + call.time_out;
    let budget = end.saturating_duration_since(Instant::now());
    let parcels: Vec<Parcel> = call.packets.iter().map(|packet| parcel(packet)).collect();
    let bytes = call::write(&call.address.to_string(), &parcels, budget);
    let (mut written, mut reply) = (false, Reply::default());
    let spoken = tokio::select! {
        spoken = timeout_at(end.into(), turn(&mut stream, &bytes, &mut written, &mut reply)) => {
            spoken.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        }
        () = call.called_off.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    let ids: Vec<&str> = call.packets.iter().map(|packet| &*packet.id).collect();
    let endings = match (&reply.head, &spoken) {
        // Guards against a packet that is sent on although its answer came: the rest of it may be spoilt.
        _ if call::settled(reply.status, ids.len()) => vec![(Outcome::Done, true)],
        (Some(head), Ok(())) => call::endings(head, &reply.body, &ids),
        (_, Err(fault)) => alike(call, broken(written || reply.status.is_some(), fault)),
        (None, Ok(())) => alike(call, Outcome::Reset),
    };
    match spoken {
        // Not where the rest of its call is still owed on it.
        Ok(()) if written && reply.keeps() => {
            stream.nothing_is_due();
            return (endings, reply.head, Some(stream));
        }
        Ok(()) => ended(call.address, "answer_closes"),
        Err(fault) => ended(call.address, code(&fault)),
    }
    (endings, reply.head, None)
}

/// One call and its answer. Nothing sends it again. An answer may come before the call is written whole; nothing more of it is
/// written then. An endpoint may also have answered before it closes over what it has not read, so a write that fails is no end.
async fn turn(stream: &mut Socket, bytes: &[u8], written: &mut bool, reply: &mut Reply) -> io::Result<()> {
    let (mut reading, mut writing) = stream.split();
    let mut answer = pin!(caller::read(&mut reading, MOST_BODY, REST, reply));
    *written = tokio::select! {
        biased;
        sent = writing.write_all(bytes) => sent.is_ok(),
        early = &mut answer => return early,
    };
    answer.await
}

/// How a call ended that got no whole answer: before its last byte was written, or an answer to it began, it never began.
fn broken(began: bool, fault: &io::Error) -> Outcome {
    match fault.kind() {
        _ if !began => Outcome::NoConnection,
        io::ErrorKind::TimedOut => Outcome::TimedOut,
        io::ErrorKind::Interrupted => Outcome::Cancelled,
        io::ErrorKind::InvalidData => Outcome::Error, // spoilt: it was answered, so it may have run
        _ => Outcome::Reset,
    }
}

fn code(fault: &io::Error) -> &'static str {
    match fault.kind() {
        io::ErrorKind::TimedOut => "timed_out",
        io::ErrorKind::Interrupted => "called_off",
        io::ErrorKind::InvalidData => "malformed",
        io::ErrorKind::UnexpectedEof => "peer_closed",
        _ => "reset",
    }
}

fn alike(call: &Call, outcome: Outcome) -> Vec<Ending> {
    vec![(outcome, false); call.packets.len()]
}

fn parcel(packet: &crate::memory::Packet) -> Parcel<'_> {
    Parcel { id: &packet.id, mark: packet.mark.as_deref(), body: &packet.body }
}
