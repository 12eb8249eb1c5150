//! Sends calls to endpoints. Each call is written once and never retried here; its outcome is passed to its
//! owner.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::response_matching::Attribution;
use sailcart::{EndpointId, Outcome};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};

use crate::endpoint_connection::{EndpointConnection, IdleState, RESPONSE_READ_TIMEOUT};
use crate::exchange::invariants::{Permit, Refusal};
use crate::local_errors;
use crate::memory::pool::Pool;
use crate::outgoing::{Call, CallOwner, CallsInDoubt, ReceivedResponse, SentCall};
use crate::response::{self, Response};
use crate::socket::Socket;
use crate::wire::MAX_BODY_BYTES;
use crate::wire::call::{self, CallPacket, PacketOutcome};
use crate::wire::http::Head;

/// Number of responses that a call skips at most because they belong to an earlier call.
const MAX_SKIPPED_RESPONSES: usize = 4;

/// Sends calls, and holds the idle connections to endpoints.
pub struct Endpoints {
    pool: RefCell<Pool>,
    connect_timeout: Duration,
    /// Number of connections that could not be established because of local errors.
    local_errors: Cell<u64>,
    /// Number of connections established so far.
    connections: Cell<u64>,
    /// Number of connections that wait for their doubt to end.
    settling: Cell<usize>,
}

impl Endpoints {
    /// `connect_timeout` bounds connecting, in addition to the timeout of each call.
    pub fn new(pool: Pool, connect_timeout: Duration) -> Self {
        Endpoints {
            pool: RefCell::new(pool),
            connect_timeout,
            local_errors: Cell::new(0),
            connections: Cell::new(0),
            settling: Cell::new(0),
        }
    }

    /// Closes an endpoint's idle connections. `code` is the reason in the log.
    pub fn close(&self, endpoint: EndpointId, code: &'static str) {
        self.pool.borrow_mut().close(endpoint, code);
    }

    /// Closes all idle connections. `code` is the reason in the log.
    pub fn close_all(&self, code: &'static str) {
        self.pool.borrow_mut().close_all(code);
    }

    /// Closes idle connections before their peers do, and reads what arrives on them unexpectedly. Runs until
    /// it is dropped.
    pub async fn sweep(self: Rc<Self>, owner: Rc<impl CallOwner>) {
        loop {
            sleep(Duration::from_millis(250)).await;
            self.pool.borrow_mut().sweep();
            self.settle_connections(&owner);
        }
    }

    /// Executes a call. By the time the owner receives the outcome, the call's connection is closed, back in
    /// the pool, or waits for the end of its doubt.
    pub async fn execute(self: Rc<Self>, call: Call, owner: Rc<impl CallOwner>) {
        owner.wait_for_key_order(&call).await;
        let (outcomes, head, attribution) = match self.connect(&call, &owner).await {
            Err(outcome) => (same_for_all(&call, outcome), None, Attribution::Certain),
            Ok(connection) => self.send_if_permitted(&call, connection, &owner).await,
        };
        owner.call_completed(&call, &outcomes, head.as_ref(), attribution);
    }

    /// Sends a call on a connection if it may still be sent, and disposes of the connection.
    async fn send_if_permitted(
        self: &Rc<Self>,
        call: &Call,
        mut connection: EndpointConnection,
        owner: &Rc<impl CallOwner>,
    ) -> (Vec<PacketOutcome>, Option<Head>, Attribution) {
        let not_sent = |outcome| (same_for_all(call, outcome), None, Attribution::Certain);
        let permit = match owner.permit(call) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.keep(call.endpoint, connection, owner);
                return not_sent(match refusal {
                    Refusal::NotNow => Outcome::NoSlot,
                    Refusal::Unrecorded => Outcome::Unsent,
                });
            }
        };
        // Writing the record takes time, in which the connection may have received something.
        if connection.calls > 0 {
            match connection.check_input() {
                IdleState::Quiet => {}
                IdleState::Closed => {
                    connection.log_end("peer_closed");
                    return not_sent(Outcome::Unsent);
                }
                IdleState::Unread => {
                    self.settle(call.endpoint, connection, owner);
                    return not_sent(Outcome::Unsent);
                }
            }
        }
        let sent = send(call, &mut connection, permit, owner).await;
        self.dispose(call, connection, &sent, owner);
        (sent.outcomes, sent.head, sent.attribution)
    }

    /// Keeps or closes a connection after a call.
    fn dispose(
        self: &Rc<Self>,
        call: &Call,
        connection: EndpointConnection,
        sent: &SentResult,
        owner: &Rc<impl CallOwner>,
    ) {
        match sent.ending {
            Ending::Close(code) => connection.log_end(code),
            Ending::Reusable if sent.is_undecided() => {
                if !connection.buffer.is_empty() {
                    owner.extra_response_received(call.endpoint, None);
                }
                // The call may still be in progress; it must not be when its packets are sent again.
                connection.log_end("in_doubt");
            }
            Ending::Reusable
                if !connection.buffer.is_empty()
                    || (connection.matcher.has_doubt() && owner.must_settle_before_reuse()) =>
            {
                self.settle(call.endpoint, connection, owner);
            }
            Ending::Reusable => {
                connection.socket.clear_read_readiness();
                self.keep(call.endpoint, connection, owner);
            }
        }
    }

    /// Puts a connection into the pool if its endpoint is still listed.
    fn keep(&self, endpoint: EndpointId, connection: EndpointConnection, owner: &Rc<impl CallOwner>) {
        if owner.is_listed(endpoint) {
            self.pool.borrow_mut().put(endpoint, connection, self.settling.get());
        } else {
            connection.log_end("unlisted");
        }
    }

    fn settle_connections(self: &Rc<Self>, owner: &Rc<impl CallOwner>) {
        let connections = self.pool.borrow_mut().take_to_settle();
        for (endpoint, connection) in connections {
            self.settle(endpoint, connection, owner);
        }
    }

    /// Reads what else arrives on a connection until it has settled, then puts it back into the pool. After an
    /// extra response it is closed instead.
    fn settle(
        self: &Rc<Self>,
        endpoint: EndpointId,
        mut connection: EndpointConnection,
        owner: &Rc<impl CallOwner>,
    ) {
        connection.become_idle();
        if !self.pool.borrow().has_room(self.settling.get()) {
            return connection.log_end("too_many");
        }
        self.settling.set(self.settling.get() + 1);
        let (endpoints, owner) = (self.clone(), owner.clone());
        spawn_local(async move {
            let settled = read_until_settled(endpoint, connection, &owner).await;
            endpoints.settling.set(endpoints.settling.get() - 1);
            if let Some(connection) = settled {
                endpoints.keep(endpoint, connection, &owner);
            }
        });
    }

    /// Returns an idle or new connection for a call, or the outcome if there is none.
    async fn connect(
        self: &Rc<Self>,
        call: &Call,
        owner: &Rc<impl CallOwner>,
    ) -> Result<EndpointConnection, Outcome> {
        let choice = owner.connection_choice(call);
        let idle = self.pool.borrow_mut().take(call.endpoint, choice, owner.settle_time());
        self.settle_connections(owner);
        if let Some(idle) = idle {
            return Ok(idle);
        }
        // The endpoint accepts only so many connections: the new one replaces an idle one, if there is any.
        self.pool.borrow_mut().close_oldest(call.endpoint, "replaced");
        let deadline = call.started_at + call.timeout.min(self.connect_timeout);
        let connected = tokio::select! {
            connected = timeout_at(deadline.into(), TcpStream::connect(call.address)) => connected,
            () = call.cancelled.notified() => return Err(Outcome::NoConnection),
        };
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let usable = connected.and_then(|stream| stream.set_nodelay(true).map(|()| Socket(stream)));
        let socket = usable.map_err(|error| self.connect_failed(call, &error))?;
        self.connections.set(self.connections.get() + 1);
        Ok(EndpointConnection::new(self.connections.get(), call.address, socket))
    }

    /// Logs a failed connect and returns its outcome. Local errors affect calls to all endpoints in quick
    /// succession, so only the first and each that doubles their count are logged.
    fn connect_failed(&self, call: &Call, error: &io::Error) -> Outcome {
        let address = call.address;
        if local_errors::is_local_error(error) {
            let count = self.local_errors.get() + 1;
            self.local_errors.set(count);
            if count.is_power_of_two() {
                log::warn!("endpoint {address}: no connection, code=own_fault count={count} {error}");
            }
            return Outcome::Unsent;
        }
        let code = if error.kind() == io::ErrorKind::TimedOut { "time_out" } else { "refused" };
        log::info!("endpoint {address}: no connection, code={code} {error}");
        Outcome::NoConnection
    }
}

/// What became of a connection with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It must be closed, for the reason in the log.
    Close(&'static str),
    /// It can carry another call, as far as this call's response tells.
    Reusable,
}

/// What came of a call that was sent.
struct SentResult {
    outcomes: Vec<PacketOutcome>,
    head: Option<Head>,
    attribution: Attribution,
    ending: Ending,
}

impl SentResult {
    /// Whether the response is in doubt, reports anything but the completion of all packets, and the response
    /// that it may have displaced can still arrive.
    fn is_undecided(&self) -> bool {
        let is_completion = |(outcome, completed): &PacketOutcome| *completed || *outcome == Outcome::Done;
        self.attribution == Attribution::InDoubt
            && self.ending == Ending::Reusable
            && !self.outcomes.iter().all(is_completion)
    }
}

/// Sends a call and reads its response.
async fn send(
    call: &Call,
    connection: &mut EndpointConnection,
    _permit: Permit,
    owner: &Rc<impl CallOwner>,
) -> SentResult {
    let deadline = call.started_at + call.timeout;
    let budget = deadline.saturating_duration_since(Instant::now());
    let call_packets: Vec<CallPacket> = call.packets.iter().map(|packet| to_call_packet(packet)).collect();
    let request = call::write(&call.address.to_string(), &call_packets, budget);
    let (mut written, mut response) = (false, Response::default());
    log::debug!("{}: written on {connection}", PacketIds(call));
    let sent_call = SentCall::of(call);
    connection.begin_call(sent_call.clone());
    let result = tokio::select! {
        result = timeout_at(
            deadline.into(),
            round_trip(call, connection, &request, &mut written, &mut response, owner)
        ) => {
            result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        }
        () = call.cancelled.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    log::debug!("{}: read on {connection}: {}", PacketIds(call), ResponseSummary(&response, call));
    let ending = match &result {
        // A connection on which part of the request was not written cannot be reused.
        Ok(()) if written && response.leaves_open() => Ending::Reusable,
        Ok(()) => Ending::Close("answer_closes"),
        Err(error) => Ending::Close(log_code(error)),
    };
    let (head, fingerprint) = (response.head.clone(), response.fingerprint);
    let received = ReceivedResponse::of(response);
    let attribution = if received.status.is_some() {
        connection.matcher.response_received(connection.age(), fingerprint, received.clone())
    } else {
        Attribution::Certain
    };
    // An error in a head that was received completely makes the response malformed.
    let usable = result.is_ok() || call::proves_delivery(received.status, call.packets.len());
    let outcomes = received.outcomes(&call.packet_ids()).filter(|_| usable);
    let outcomes = outcomes.unwrap_or_else(|| {
        let outcome = match &result {
            Err(error) => outcome_of_failure(written || received.status.is_some(), error),
            Ok(()) => Outcome::Reset,
        };
        same_for_all(call, outcome)
    });
    let sent = SentResult { outcomes, head, attribution, ending };
    if !sent.is_undecided() || !owner.must_settle_before_reuse() {
        return sent;
    }
    tokio::select! {
        sent = await_displaced_response(call, connection, &sent_call, sent, owner) => sent,
        () = call.cancelled.notified() => SentResult {
            outcomes: same_for_all(call, Outcome::Cancelled),
            head: None,
            attribution: Attribution::Certain,
            ending: Ending::Close("called_off"),
        },
    }
}

/// Waits for the response that a copy of an earlier one may have displaced. If nothing more is received within
/// the settle time, the first response stands.
async fn await_displaced_response(
    call: &Call,
    connection: &mut EndpointConnection,
    sent_call: &Rc<SentCall>,
    sent: SentResult,
    owner: &Rc<impl CallOwner>,
) -> SentResult {
    let settled_at = (Instant::now() + owner.settle_time()).min(call.started_at + call.timeout);
    loop {
        let mut response = Response::default();
        match timeout_at(settled_at.into(), connection.read_response(&mut response)).await {
            Err(_) if response.first_byte_at.is_none() => {
                connection.matcher.settle(connection.age(), Duration::ZERO);
                return SentResult { attribution: Attribution::Certain, ..sent };
            }
            Err(_) => return SentResult { ending: Ending::Close("in_doubt"), ..sent },
            Ok(Err(error)) => return SentResult { ending: Ending::Close(log_code(&error)), ..sent },
            Ok(Ok(())) => {}
        }
        log::debug!("{}: read on {connection}: {}", PacketIds(call), ResponseSummary(&response, call));
        let (head, leaves_open) = (response.head.clone(), response.leaves_open());
        let calls = record_extra_response(call.endpoint, connection, response, owner);
        let own = calls.iter().find(|candidates| Rc::ptr_eq(&candidates.call, sent_call));
        let resolved = own.and_then(|own| match &*own.responses {
            [response] => Some(sent_call.outcomes(response)),
            _ => None,
        });
        owner.resolve(calls);
        if let Some(outcomes) = resolved {
            let ending = if leaves_open { Ending::Reusable } else { Ending::Close("answer_closes") };
            return SentResult { outcomes, head, attribution: Attribution::Certain, ending };
        }
    }
}

/// Passes a response that belongs to no call in flight to the owner. Returns the calls that it concerns.
fn record_extra_response(
    endpoint: EndpointId,
    connection: &mut EndpointConnection,
    response: Response,
    owner: &Rc<impl CallOwner>,
) -> CallsInDoubt {
    log::debug!("extra response on {connection}: status={:?}", response.status.unwrap_or_default());
    owner.extra_response_received(endpoint, response.head.as_ref());
    let (now, fingerprint) = (connection.age(), response.fingerprint);
    let received = ReceivedResponse::of(response);
    connection.matcher.extra_response_received(now, fingerprint, received)
}

/// Writes a request and reads its response; nothing is sent again. A response may arrive before the request
/// is written completely; the rest of the request is then not written. An endpoint may also have responded
/// before it closes with unread input, so a failed write does not end the call.
async fn round_trip(
    call: &Call,
    connection: &mut EndpointConnection,
    request: &[u8],
    written: &mut bool,
    response: &mut Response,
    owner: &Rc<impl CallOwner>,
) -> io::Result<()> {
    {
        let (mut reader, mut writer) = connection.socket.split();
        let mut reading = pin!(response::read_collected(
            &mut reader,
            &mut connection.buffer,
            MAX_BODY_BYTES,
            RESPONSE_READ_TIMEOUT,
            response
        ));
        *written = tokio::select! {
            biased;
            sent = writer.write_all(request) => sent.is_ok(),
            early = &mut reading => return early,
        };
        reading.await?;
    }
    for _ in 0..MAX_SKIPPED_RESPONSES {
        if !is_response_to_earlier_call(call, connection, response) {
            break;
        }
        log::debug!("{}: skipped on {connection}: {}", PacketIds(call), ResponseSummary(response, call));
        owner.extra_response_received(call.endpoint, response.head.as_ref());
        *response = Response::default();
        connection.read_response(response).await?;
    }
    Ok(())
}

/// Whether a response lists the packets of an earlier call with several packets: it equals an earlier response
/// and names no packet of this call.
fn is_response_to_earlier_call(call: &Call, connection: &EndpointConnection, response: &Response) -> bool {
    call.packets.len() > 1
        && response.status == Some(200)
        && connection.matcher.is_repeated(response.fingerprint)
        && !call::names_any(&response.body, &call.packet_ids())
}

/// Reads what arrives on a connection that carries no call until it has settled. Returns the connection if it
/// can carry another call.
async fn read_until_settled(
    endpoint: EndpointId,
    mut connection: EndpointConnection,
    owner: &Rc<impl CallOwner>,
) -> Option<EndpointConnection> {
    let settled_at = Instant::now() + owner.settle_time();
    let mut has_extra_input = !connection.buffer.is_empty();
    loop {
        let mut response = Response::default();
        let Ok(read) = timeout_at(settled_at.into(), connection.read_response(&mut response)).await else {
            has_extra_input |= response.first_byte_at.is_some();
            break;
        };
        if let Err(error) = read {
            if response.first_byte_at.is_some() {
                owner.extra_response_received(endpoint, response.head.as_ref());
            }
            connection.log_end(log_code(&error));
            return None;
        }
        has_extra_input = true;
        owner.resolve(record_extra_response(endpoint, &mut connection, response, owner));
    }
    if has_extra_input {
        connection.log_end("extra_answer");
        return None;
    }
    if let Some(code) = connection.close_when_settled {
        connection.log_end(code);
        return None;
    }
    connection.matcher.settle(connection.age(), Duration::ZERO);
    connection.socket.clear_read_readiness();
    Some(connection)
}

/// Returns the outcome of a call without a complete response. The call was not executed unless it `began`:
/// its last byte was written, or a response to it began.
fn outcome_of_failure(began: bool, error: &io::Error) -> Outcome {
    match error.kind() {
        _ if !began => Outcome::NoConnection,
        io::ErrorKind::TimedOut => Outcome::TimedOut,
        io::ErrorKind::Interrupted => Outcome::Cancelled,
        io::ErrorKind::InvalidData => Outcome::Error, // a malformed response: the call may have been executed
        _ => Outcome::Reset,
    }
}

/// The packets of a call in a log line.
struct PacketIds<'a>(&'a Call);

impl Display for PacketIds<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("packet")?;
        self.0.packets.iter().try_for_each(|packet| write!(formatter, " {}", packet.id))
    }
}

/// What was received in response to a call, in a log line. Times are counted from its first byte.
struct ResponseSummary<'a>(&'a Response, &'a Call);

impl Display for ResponseSummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ResponseSummary(response, call) = self;
        let sent_at = call.sent_at.get().unwrap_or(call.started_at);
        let since_sent = |at: Instant| at.saturating_duration_since(sent_at);
        match response.first_byte_at.map(since_sent) {
            None => write!(formatter, "nothing within {:?}", sent_at.elapsed()),
            Some(first_byte) => write!(
                formatter,
                "status={:?} first_byte={first_byte:?} until={:?} unread={}",
                response.status.unwrap_or_default(),
                sent_at.elapsed(),
                response.bytes_after
            ),
        }
    }
}

fn log_code(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::TimedOut => "timed_out",
        io::ErrorKind::Interrupted => "called_off",
        io::ErrorKind::InvalidData => "malformed",
        io::ErrorKind::UnexpectedEof => "peer_closed",
        _ => "reset",
    }
}

fn same_for_all(call: &Call, outcome: Outcome) -> Vec<PacketOutcome> {
    vec![(outcome, false); call.packets.len()]
}

fn to_call_packet(packet: &crate::memory::Packet) -> CallPacket<'_> {
    CallPacket { id: &packet.id, idempotency_key: packet.idempotency_key.as_deref(), body: &packet.body }
}
