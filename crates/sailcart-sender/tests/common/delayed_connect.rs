//! An endpoint at which connections are established late: its accept queue is full, so the kernel drops SYN
//! segments until an entry is accepted.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Limits each accept, so that a test fails instead of hanging when no connection arrives.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(8);

/// A listener with a backlog of 0, whose accept queue holds one connection.
pub struct DelayedConnectEndpoint {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl DelayedConnectEndpoint {
    pub fn new() -> DelayedConnectEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
        socket.set_read_timeout(Some(ACCEPT_TIMEOUT)).expect("set the accept timeout");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("a valid address");
        socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("bind and listen");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("read the local address");
        DelayedConnectEndpoint { listener, address }
    }

    /// Occupies the only entry of the accept queue; later connections are not established.
    pub fn fill_backlog(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("connect to the listener")
    }

    /// Waits until a connection to this endpoint is in state SYN_SENT (02), at most 5 s.
    pub fn wait_for_pending_connect(&self) {
        let start = Instant::now();
        let port = format!(":{:04X} 02 ", self.address.port());
        while !std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp").contains(&port) {
            assert!(start.elapsed() < Duration::from_secs(5), "no connection attempt within 5 s");
            std::thread::yield_now();
        }
    }

    /// Accepts and drops the connection that filled the queue, then accepts the pending one. The kernel
    /// retransmits its SYN 1 s after the first.
    pub fn accept_pending(&self) -> TcpStream {
        drop(self.listener.accept().expect("accept the connection that fills the queue"));
        self.listener.accept().expect("accept the pending connection").0
    }
}
