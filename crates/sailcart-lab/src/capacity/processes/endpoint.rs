//! A stand-in for all endpoints: one address that answers every call with success at once.

use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::http;

#[derive(Clone, Default)]
pub struct Counts {
    answered: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
}

pub struct Endpoint {
    pub address: SocketAddr,
    counts: Counts,
}

/// Threads that wait for the next call need little.
const STACK: usize = 64 * 1024;

impl Endpoint {
    pub fn open() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let (address, counts) = (listener.local_addr()?, Counts::default());
        let accepting = counts.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = accepting.clone();
                let _ = std::thread::Builder::new().stack_size(STACK).spawn(move || {
                    counts.open.fetch_add(1, Ordering::Relaxed);
                    let _ = answer_all(stream, &counts);
                    counts.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Endpoint { address, counts })
    }

    /// Calls answered so far.
    pub fn answered(&self) -> usize {
        self.counts.answered.load(Ordering::Relaxed)
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.counts.open.load(Ordering::Relaxed)
    }
}

fn answer_all(stream: TcpStream, counts: &Counts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(2048, stream);
    while http::read(&mut reader)?.is_some() {
        writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        counts.answered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
