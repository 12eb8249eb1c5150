//! Connections to endpoints that stand idle.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::socket::Socket;
use sailcart::EndpointId;

struct Idle {
    address: SocketAddr,
    stream: Socket,
    since: Instant,
}

/// Idle connections by endpoint, the last used first. Not by address, which a new endpoint may take over.
pub struct Pool {
    idle: HashMap<EndpointId, Vec<Idle>>,
    /// Closed after standing idle for this long.
    most_idle: Duration,
    /// Idle connections in all at most.
    most: usize,
}

impl Pool {
    pub fn new(most_idle: Duration, most: usize) -> Self {
        Pool { idle: HashMap::new(), most_idle, most }
    }

    /// A connection on which a call can go, if there is one.
    pub fn take(&mut self, endpoint: EndpointId) -> Option<Socket> {
        let idle = self.idle.get_mut(&endpoint)?;
        while let Some(last) = idle.pop() {
            match self.most_idle.checked_sub(last.since.elapsed()) {
                None => ended(last.address, "idle"),
                Some(_) if gone(&last.stream) => ended(last.address, "peer_closed"),
                Some(_) => return Some(last.stream),
            }
        }
        None
    }

    pub fn put(&mut self, endpoint: EndpointId, address: SocketAddr, stream: Socket) {
        if self.len() >= self.most {
            return ended(address, "too_many");
        }
        self.idle.entry(endpoint).or_default().push(Idle { address, stream, since: Instant::now() });
    }

    /// Closes an endpoint's idle connections.
    pub fn close(&mut self, endpoint: EndpointId, code: &str) {
        for one in self.idle.remove(&endpoint).unwrap_or_default() {
            ended(one.address, code);
        }
    }

    pub fn close_all(&mut self, code: &str) {
        for endpoint in self.idle.keys().copied().collect::<Vec<_>>() {
            self.close(endpoint, code);
        }
    }

    /// Closes what has stood idle for too long or was closed by its peer.
    pub fn sweep(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|one| {
                let code = if one.since.elapsed() >= self.most_idle { "idle" } else { "peer_closed" };
                let over = code == "idle" || gone(&one.stream);
                if over {
                    ended(one.address, code);
                }
                !over
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }
}

/// Nothing is due on an idle connection: whatever can be read there is its end, or makes it useless.
fn gone(stream: &Socket) -> bool {
    let read = stream.0.try_read(&mut [0]);
    !matches!(read, Err(fault) if fault.kind() == std::io::ErrorKind::WouldBlock)
}

/// The one log line of a connection to an endpoint.
pub fn ended(address: SocketAddr, code: &str) {
    log::info!("endpoint {address}: connection ended, code={code}");
}
