//! A stub of all endpoints: one address that answers every call with success at once.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::http;

/// Counters shared with the threads of the connections.
#[derive(Clone, Default)]
pub struct Counts {
    answered_calls: Arc<AtomicUsize>,
    open_connections: Arc<AtomicUsize>,
}

/// The stub; its threads run until the process exits.
pub struct EndpointStub {
    pub address: SocketAddr,
    counts: Counts,
}

/// Stack of a connection's thread, which needs little because it only waits for the next call.
const THREAD_STACK_BYTES: usize = 64 * 1024;

impl EndpointStub {
    /// Listens at a free port of the loopback address.
    pub fn open() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let (address, counts) = (listener.local_addr()?, Counts::default());
        let listener_counts = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = listener_counts.clone();
                let _ = std::thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(move || {
                    counts.open_connections.fetch_add(1, Ordering::Relaxed);
                    let _ = serve_calls(stream, &counts);
                    counts.open_connections.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(EndpointStub { address, counts })
    }

    /// Calls answered so far.
    pub fn answered_calls(&self) -> usize {
        self.counts.answered_calls.load(Ordering::Relaxed)
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.counts.open_connections.load(Ordering::Relaxed)
    }
}

fn serve_calls(stream: TcpStream, counts: &Counts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(2048, stream);
    while http::read_request(&mut reader)?.is_some() {
        writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        counts.answered_calls.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
