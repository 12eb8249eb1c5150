//! An endpoint whose connections come up late: its queue is full, so that the system drops what knocks until there is room.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Nobody connects any more after this time.
const LONGEST: Duration = Duration::from_secs(8);

pub struct DelayedConnectEndpoint {
    pub listener: TcpListener,
    pub address: SocketAddr,
}

impl DelayedConnectEndpoint {
    pub fn new() -> DelayedConnectEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_read_timeout(Some(LONGEST)).expect("a bounded wait for who connects");
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        socket.bind(&any.into()).and_then(|()| socket.listen(0)).expect("a listener");
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().expect("an address");
        DelayedConnectEndpoint { listener, address }
    }

    /// From here on nobody gets in.
    pub fn fill_backlog(&self) -> TcpStream {
        TcpStream::connect(self.address).expect("the last place")
    }

    /// Until somebody has knocked in vain.
    pub fn wait_for_pending_connect(&self) {
        let start = Instant::now();
        let port = format!(":{:04X} 02 ", self.address.port());
        while !std::fs::read_to_string("/proc/net/tcp").expect("a table").contains(&port) {
            assert!(start.elapsed() < Duration::from_secs(5), "nobody knocked");
            std::thread::yield_now();
        }
    }

    /// Takes the place of who filled it: the next knock, a second after the first, is let in.
    pub fn accept_pending(&self) -> TcpStream {
        drop(self.listener.accept().expect("who filled it"));
        self.listener.accept().expect("who knocked").0
    }
}
