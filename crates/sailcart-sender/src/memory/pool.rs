//! The pool of idle connections to endpoints.

use std::collections::HashMap;
use std::time::Duration;

use sailcart::EndpointId;

use crate::endpoint_connection::EndpointConnection;
use crate::socket::Socket;

/// Idle connections by endpoint, the most recently used last in each list and reused first. They are not
/// grouped by address, since another endpoint may take over an address.
pub struct Pool {
    idle: HashMap<EndpointId, Vec<EndpointConnection>>,
    /// A connection that has been idle for this long is closed.
    max_idle_time: Duration,
    /// Maximum number of idle connections over all endpoints.
    max_connections: usize,
}

impl Pool {
    /// An empty pool with the given limits.
    pub fn new(max_idle_time: Duration, max_connections: usize) -> Self {
        Pool { idle: HashMap::new(), max_idle_time, max_connections }
    }

    /// Removes and returns a connection on which a call can be sent, if there is one.
    pub fn take(&mut self, endpoint: EndpointId) -> Option<EndpointConnection> {
        let idle = self.idle.get_mut(&endpoint)?;
        while let Some(last) = idle.pop() {
            match self.max_idle_time.checked_sub(last.idle_time()) {
                None => last.log_end("idle"),
                Some(_) if is_unusable(&last.socket) => last.log_end("peer_closed"),
                Some(_) => return Some(last),
            }
        }
        None
    }

    /// Adds a connection that became idle, or closes it if the pool is full.
    pub fn put(&mut self, endpoint: EndpointId, mut connection: EndpointConnection) {
        connection.become_idle();
        if self.len() >= self.max_connections {
            return connection.log_end("too_many");
        }
        self.idle.entry(endpoint).or_default().push(connection);
    }

    /// Closes an endpoint's idle connections and logs each with this code.
    pub fn close(&mut self, endpoint: EndpointId, code: &str) {
        for connection in self.idle.remove(&endpoint).unwrap_or_default() {
            connection.log_end(code);
        }
    }

    /// Closes all idle connections and logs each with this code.
    pub fn close_all(&mut self, code: &str) {
        for endpoint in self.idle.keys().copied().collect::<Vec<_>>() {
            self.close(endpoint, code);
        }
    }

    /// Closes connections that have been idle for too long or were closed by their peer.
    pub fn sweep(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|connection| {
                let code = if connection.idle_time() >= self.max_idle_time { "idle" } else { "peer_closed" };
                let must_close = code == "idle" || is_unusable(&connection.socket);
                if must_close {
                    connection.log_end(code);
                }
                !must_close
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Whether anything can be read from an idle connection. No bytes are expected there, so a successful read
/// means that the peer has closed it or sent unrequested bytes, and an error other than `WouldBlock` that
/// it broke.
fn is_unusable(stream: &Socket) -> bool {
    let read = stream.0.try_read(&mut [0]);
    !matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
