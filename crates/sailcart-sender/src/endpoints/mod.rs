//! Sends calls to endpoints. Each call is written once and never retried here; its outcome is passed to its
//! owner.

//!
//! `send` carries out one call on a connection, `settle` reads what arrives on a connection that carries none,
//! and `log_lines` formats both for the log.

mod log_lines;
mod send;
mod settle;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, Outcome};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::send::{Ending, SentResult, send};
use self::settle::read_until_settled;
use crate::deadline::until;
use crate::endpoint_connection::{EndpointConnection, IdleState};
use crate::exchange::invariants::Refusal;
use crate::local_errors;
use crate::memory::pool::Pool;
use crate::outgoing::{Call, CallOwner, CallResult};
use crate::socket::Socket;
use crate::wire::call::PacketOutcome;

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
    /// Maximum number of these connections, each of which may read a response.
    max_settling: usize,
}

impl Endpoints {
    /// `connect_timeout` bounds connecting, in addition to the timeout of each call.
    /// At most `max_settling` connections at once read responses that belong to no call in flight.
    pub fn new(pool: Pool, connect_timeout: Duration, max_settling: usize) -> Self {
        Endpoints {
            pool: RefCell::new(pool),
            connect_timeout,
            local_errors: Cell::new(0),
            connections: Cell::new(0),
            settling: Cell::new(0),
            max_settling,
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
            self.pool.borrow_mut().sweep(owner.settle_time());
            self.settle_connections(&owner);
        }
    }

    /// Executes a call. By the time the owner receives the outcome, the call's connection is closed, back in
    /// the pool, or waits for the end of its doubt.
    pub async fn execute(self: Rc<Self>, call: Call, owner: Rc<impl CallOwner>) {
        owner.wait_for_key_order(&call).await;
        let result = match self.connect(&call, &owner).await {
            Err(outcome) => CallResult::not_sent(&call, outcome, None),
            Ok(connection) => self.send_if_permitted(&call, connection, &owner).await,
        };
        owner.call_completed(&call, result);
    }

    /// Sends a call on a connection if it may still be sent, and disposes of the connection.
    async fn send_if_permitted(
        self: &Rc<Self>,
        call: &Call,
        mut connection: EndpointConnection,
        owner: &Rc<impl CallOwner>,
    ) -> CallResult {
        owner.read_input().await;
        let permit = match owner.permit(call) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.keep(call.endpoint, connection, owner);
                let outcome = match refusal {
                    Refusal::NotNow => Outcome::NoSlot,
                    Refusal::Unrecorded => Outcome::Unsent,
                };
                return CallResult::not_sent(call, outcome, None);
            }
        };
        let dispatch = Some(permit.dispatch());
        // Writing the record takes time, in which the connection may have received something.
        if connection.calls > 0 {
            match connection.check_input() {
                IdleState::Quiet => {}
                IdleState::Closed => {
                    connection.log_end("peer_closed");
                    return CallResult::not_sent(call, Outcome::Unsent, dispatch);
                }
                IdleState::Unread => {
                    self.settle(call.endpoint, connection, owner);
                    return CallResult::not_sent(call, Outcome::Unsent, dispatch);
                }
            }
        }
        let sent = send(call, &mut connection, permit, owner).await;
        self.dispose(call, connection, &sent, owner);
        owner.confirm(&sent.confirmed);
        CallResult { outcomes: sent.outcomes, head: sent.head, attribution: sent.attribution, dispatch }
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
                    || (connection.matcher.awaits_response() && owner.must_settle_before_reuse()) =>
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
        if self.settling.get() >= self.max_settling || !self.pool.borrow().has_room(self.settling.get()) {
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
            connected = until(deadline.into(), TcpStream::connect(call.address)) => connected,
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

fn same_for_all(call: &Call, outcome: Outcome) -> Vec<PacketOutcome> {
    vec![(outcome, false); call.packets.len()]
}
