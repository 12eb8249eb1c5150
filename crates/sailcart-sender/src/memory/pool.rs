//! The pool of idle connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use sailcart::EndpointId;
use sailcart::response_doubt::ConnectionChoice;

use crate::endpoint_connection::{EndpointConnection, IdleState};

/// Idle connections by endpoint, the most recently used last in each list and reused first. They are not
/// grouped by address, since another endpoint may take over an address.
pub struct Pool {
    idle: HashMap<EndpointId, Vec<EndpointConnection>>,
    /// Connections that carry no call until they have settled: bytes arrived on them that no call was waiting
    /// for, or they are to be closed and the last response is in doubt.
    to_settle: Vec<(EndpointId, EndpointConnection)>,
    /// A connection that has been idle for this long is closed.
    max_idle_time: Duration,
    /// Maximum number of idle connections over all endpoints.
    max_connections: usize,
}

impl Pool {
    /// An empty pool with the given limits.
    pub fn new(max_idle_time: Duration, max_connections: usize) -> Self {
        Pool { idle: HashMap::new(), to_settle: Vec::new(), max_idle_time, max_connections }
    }

    /// Removes and returns a connection on which a call can be sent, if there is one. The response that a copy
    /// displaced is awaited for `settle_time`.
    pub fn take(
        &mut self,
        endpoint: EndpointId,
        choice: ConnectionChoice,
        settle_time: Duration,
    ) -> Option<EndpointConnection> {
        self.find_unread_in_doubt(endpoint, settle_time);
        let idle = self.idle.get_mut(&endpoint)?;
        let is_suitable = |connection: &mut EndpointConnection| match choice {
            ConnectionChoice::Any => true,
            ConnectionChoice::Settled => !connection.matcher.has_doubt(),
            ConnectionChoice::Certain => connection.matcher.next_refusal_is_certain(),
            ConnectionChoice::New => false,
        };
        while let Some(position) = idle.iter_mut().rposition(is_suitable) {
            let mut connection = idle.remove(position);
            match self.max_idle_time.checked_sub(connection.idle_time()) {
                None => connection.log_end("idle"),
                Some(_) => match connection.check_input() {
                    IdleState::Quiet => return Some(connection),
                    IdleState::Closed => connection.log_end("peer_closed"),
                    IdleState::Unread => self.to_settle.push((endpoint, connection)),
                },
            }
        }
        None
    }

    /// Removes and returns the connections that carry no call until they have settled.
    pub fn take_to_settle(&mut self) -> Vec<(EndpointId, EndpointConnection)> {
        std::mem::take(&mut self.to_settle)
    }

    /// Whether another connection may be kept, besides `others` that are not in the pool.
    pub fn has_room(&self, others: usize) -> bool {
        self.len() + others < self.max_connections
    }

    /// Adds a connection that became idle, or closes it if the pool is full, together with `others` that are
    /// not in the pool.
    pub fn put(&mut self, endpoint: EndpointId, mut connection: EndpointConnection, others: usize) {
        connection.become_idle();
        if !self.has_room(others) {
            return connection.log_end("too_many");
        }
        self.idle.entry(endpoint).or_default().push(connection);
    }

    /// Closes an endpoint's idle connections and logs each with this code. Those whose last response is in doubt
    /// are closed once they have settled.
    pub fn close(&mut self, endpoint: EndpointId, code: &'static str) {
        for mut connection in self.idle.remove(&endpoint).unwrap_or_default() {
            if connection.matcher.awaits_response() {
                connection.close_when_settled = Some(code);
                self.to_settle.push((endpoint, connection));
            } else {
                connection.log_end(code);
            }
        }
    }

    /// Looks for unread bytes on connections whose last response is in doubt: they may resolve it.
    fn find_unread_in_doubt(&mut self, endpoint: EndpointId, settle_time: Duration) {
        let Some(idle) = self.idle.get_mut(&endpoint) else { return };
        idle.iter_mut().for_each(|connection| connection.matcher.settle(connection.age(), settle_time));
        let with_input = idle.extract_if(.., |connection| {
            connection.matcher.awaits_response() && connection.check_input() == IdleState::Unread
        });
        self.to_settle.extend(with_input.map(|connection| (endpoint, connection)));
    }

    /// Closes the endpoint's connection that has been idle the longest, if there is one whose last response is
    /// not in doubt.
    pub fn close_oldest(&mut self, endpoint: EndpointId, code: &str) {
        let Some(idle) = self.idle.get_mut(&endpoint) else { return };
        if let Some(position) = idle.iter().position(|connection| !connection.matcher.awaits_response()) {
            idle.remove(position).log_end(code);
        }
    }

    /// Closes all idle connections and logs each with this code.
    pub fn close_all(&mut self, code: &'static str) {
        for endpoint in self.idle.keys().copied().collect::<Vec<_>>() {
            self.close(endpoint, code);
        }
    }

    /// Closes connections that have been idle for too long or were closed by their peer, and forgets responses
    /// that were received at least `settle_time` ago.
    pub fn sweep(&mut self, settle_time: Duration) {
        for (endpoint, idle) in &mut self.idle {
            for mut connection in std::mem::take(idle) {
                connection.matcher.settle(connection.age(), settle_time);
                if connection.idle_time() >= self.max_idle_time {
                    connection.log_end("idle");
                    continue;
                }
                match connection.check_reported_input() {
                    IdleState::Quiet => idle.push(connection),
                    IdleState::Closed => connection.log_end("peer_closed"),
                    IdleState::Unread => self.to_settle.push((*endpoint, connection)),
                }
            }
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum::<usize>() + self.to_settle.len()
    }
}
