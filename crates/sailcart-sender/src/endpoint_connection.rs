//! A connection to an endpoint, which carries one call after the other.

use std::fmt::{self, Display};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::socket::Socket;

/// A connection to an endpoint, with what the log tells of it.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Counts the connections of this process.
    pub number: u64,
    pub address: SocketAddr,
    pub socket: Socket,
    /// Number of calls sent, including one in flight.
    pub calls: u32,
    /// Since when no call is in flight; `None` during a call and before the first one.
    idle_since: Option<Instant>,
}

impl EndpointConnection {
    /// A connection that was just established.
    pub fn new(number: u64, address: SocketAddr, socket: Socket) -> Self {
        EndpointConnection { number, address, socket, calls: 0, idle_since: None }
    }

    /// For how long no call has been in flight.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.map(|since| since.elapsed()).unwrap_or_default()
    }

    /// A call is about to be sent.
    pub fn begin_call(&mut self) {
        self.calls += 1;
        self.idle_since = None;
    }

    /// No call is in flight any more.
    pub fn become_idle(&mut self) {
        self.idle_since = Some(Instant::now());
    }

    /// Logs the end of the connection: one line for each. The caller must drop it.
    pub fn log_end(&self, code: &str) {
        log::info!("endpoint {}: connection ended, code={code} {self}", self.address);
    }
}

impl Display for EndpointConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "connection={} calls={}", self.number, self.calls)?;
        match self.idle_since {
            Some(since) => write!(formatter, " idle={:?}", since.elapsed()),
            None => Ok(()),
        }
    }
}
