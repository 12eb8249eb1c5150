//! Sends calls to endpoints. Each call is written once and never retried here; its outcome is passed to its
//! owner.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::{EndpointId, Outcome};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at};

use crate::endpoint_connection::EndpointConnection;
use crate::exchange::invariants::{Permit, Refusal};
use crate::local_errors;
use crate::memory::pool::Pool;
use crate::outgoing::{Call, CallOwner};
use crate::response::{self, Response};
use crate::socket::Socket;
use crate::wire::MAX_BODY_BYTES;
use crate::wire::call::{self, CallPacket, PacketOutcome};
use crate::wire::http::Head;

/// Bounds the time from the first byte of a response to its last.
const RESPONSE_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends calls, and holds the idle connections to endpoints.
pub struct Endpoints {
    pool: RefCell<Pool>,
    connect_timeout: Duration,
    /// Number of connections that could not be established because of local errors.
    local_errors: Cell<u64>,
    /// Number of connections established so far.
    connections: Cell<u64>,
}

impl Endpoints {
    /// `connect_timeout` bounds connecting, in addition to the timeout of each call.
    pub fn new(pool: Pool, connect_timeout: Duration) -> Self {
        Endpoints {
            pool: RefCell::new(pool),
            connect_timeout,
            local_errors: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    /// Closes an endpoint's idle connections. `code` is the reason in the log.
    pub fn close(&self, endpoint: EndpointId, code: &str) {
        self.pool.borrow_mut().close(endpoint, code);
    }

    /// Closes all idle connections. `code` is the reason in the log.
    pub fn close_all(&self, code: &str) {
        self.pool.borrow_mut().close_all(code);
    }

    /// Closes idle connections before their peers do. Runs until it is dropped.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(250)).await;
            self.pool.borrow_mut().sweep();
        }
    }

    /// Executes a call. By the time the owner receives the outcome, the call's connection is closed or back
    /// in the pool.
    pub async fn execute(self: Rc<Self>, call: Call, owner: Rc<impl CallOwner>) {
        owner.wait_for_key_order(&call).await;
        let (outcomes, head, reusable) = match self.connect(&call).await {
            Err(outcome) => (same_for_all(&call, outcome), None, None),
            Ok(connection) => match owner.permit(&call) {
                Ok(permit) => send(&call, connection, permit).await,
                Err(Refusal::NotNow) => (same_for_all(&call, Outcome::NoSlot), None, Some(connection)),
                Err(Refusal::Unrecorded) => (same_for_all(&call, Outcome::Unsent), None, Some(connection)),
            },
        };
        match reusable {
            Some(connection) if owner.is_listed(call.endpoint) => {
                self.pool.borrow_mut().put(call.endpoint, connection);
            }
            Some(connection) => connection.log_end("unlisted"),
            None => {}
        }
        owner.call_completed(&call, &outcomes, head.as_ref());
    }

    /// Returns an idle or new connection for a call, or the outcome if there is none.
    async fn connect(&self, call: &Call) -> Result<EndpointConnection, Outcome> {
        let idle = self.pool.borrow_mut().take(call.endpoint);
        if let Some(idle) = idle {
            return Ok(idle);
        }
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

/// Sends a call and reads its response. Returns the outcome of each packet, the head of the response, and the
/// connection if it can be used for another call.
async fn send(
    call: &Call,
    mut connection: EndpointConnection,
    _permit: Permit,
) -> (Vec<PacketOutcome>, Option<Head>, Option<EndpointConnection>) {
    let deadline = call.started_at + call.timeout;
    let budget = deadline.saturating_duration_since(Instant::now());
    let call_packets: Vec<CallPacket> = call.packets.iter().map(|packet| to_call_packet(packet)).collect();
    let request = call::write(&call.address.to_string(), &call_packets, budget);
    let (mut written, mut response) = (false, Response::default());
    log::debug!("{}: written on {connection}", PacketIds(call));
    connection.begin_call();
    let result = tokio::select! {
        result = timeout_at(
            deadline.into(),
            round_trip(&mut connection.socket, &request, &mut written, &mut response)
        ) => {
            result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        }
        () = call.cancelled.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    log::debug!("{}: read on {connection}: {}", PacketIds(call), ResponseSummary(&response, call));
    let ids: Vec<&str> = call.packets.iter().map(|packet| &*packet.id).collect();
    let outcomes = match (&response.head, &result) {
        // The status alone completes the packet, so that it is not sent again if the rest of the response is
        // malformed.
        _ if call::proves_delivery(response.status, ids.len()) => vec![(Outcome::Done, true)],
        (Some(head), Ok(())) => call::packet_outcomes(head, &response.body, &ids),
        (_, Err(error)) => {
            same_for_all(call, outcome_of_failure(written || response.status.is_some(), error))
        }
        (None, Ok(())) => same_for_all(call, Outcome::Reset),
    };
    match result {
        // A connection on which part of the request was not written cannot be reused.
        Ok(()) if written && response.is_reusable() => {
            connection.socket.clear_read_readiness();
            return (outcomes, response.head, Some(connection));
        }
        Ok(()) => connection.log_end("answer_closes"),
        Err(error) => connection.log_end(log_code(&error)),
    }
    (outcomes, response.head, None)
}

/// Writes a request and reads its response; nothing is sent again. A response may arrive before the request
/// is written completely; the rest of the request is then not written. An endpoint may also have responded
/// before it closes with unread input, so a failed write does not end the call.
async fn round_trip(
    stream: &mut Socket,
    request: &[u8],
    written: &mut bool,
    response: &mut Response,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let mut reading =
        pin!(response::read_collected(&mut reader, MAX_BODY_BYTES, RESPONSE_READ_TIMEOUT, response));
    *written = tokio::select! {
        biased;
        sent = writer.write_all(request) => sent.is_ok(),
        early = &mut reading => return early,
    };
    reading.await
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
