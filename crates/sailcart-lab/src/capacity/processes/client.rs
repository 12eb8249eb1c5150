//! Clients of a sender: packets handed in, and round trips of `PING` measured.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::discovery::Listed;
use super::sender_process::CATEGORY;
use crate::experiment::Fault;

/// Longer than any pause that is still one.
const PATIENCE: Duration = Duration::from_secs(60);
/// From the end of one round trip to the next.
const PACE: Duration = Duration::from_millis(1);
/// Commands that are written before their answers are read; the sender reads 64 ahead.
const TOGETHER: usize = 64;

pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Client { reader: BufReader::with_capacity(512, stream) })
    }

    fn answer(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// One round trip.
    pub fn ping(&mut self) -> io::Result<Duration> {
        let began = Instant::now();
        self.reader.get_mut().write_all(b"*1\r\n$4\r\nPING\r\n")?;
        match &*self.answer()? {
            "+PONG" => Ok(began.elapsed()),
            other => Err(io::Error::other(other.to_owned())),
        }
    }

    /// Hands packets in, several at once, and tells the answer of the first that was not taken on.
    pub fn put_all(&mut self, packets: &[Put]) -> io::Result<()> {
        for some in packets.chunks(TOGETHER) {
            let bytes: Vec<u8> = some.iter().flat_map(Put::bytes).collect();
            self.reader.get_mut().write_all(&bytes)?;
            for _ in some {
                match &*self.answer()? {
                    "+OK" => {}
                    other => return Err(io::Error::other(format!("packet not taken on: {other}"))),
                }
            }
        }
        Ok(())
    }
}

/// A packet to hand in.
#[derive(Clone, Copy, Debug)]
pub struct Put {
    pub id: u64,
    pub destination: Listed,
    /// Bytes of its body.
    pub body: usize,
}

impl Put {
    fn bytes(&self) -> Vec<u8> {
        const DAY_MS: u64 = 24 * 3600 * 1000;
        let key = "0".repeat(16);
        let id = format!("{:016x}", self.id);
        let fields = format!("c={CATEGORY},d={DAY_MS},dest={}", self.destination.0);
        let body = "b".repeat(self.body);
        let mut bytes = b"*5\r\n".to_vec();
        for word in ["MSG.PUT", &key, &id, &fields, &body] {
            bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
        }
        bytes
    }
}

/// Round trips of `PING` over some time.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    pub most: Duration,
    /// At a steady pace: what a long one keeps from being asked counts as well.
    pub p99: Duration,
}

/// A client that asks `PING` all the time on a thread of its own.
pub struct Pinger {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<Histogram<u64>>>,
}

impl Pinger {
    pub fn start(to: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        Pinger { stop, thread: std::thread::spawn(move || ask(to, &stopped)) }
    }

    pub fn stop(self) -> Result<Pauses, Fault> {
        self.stop.store(true, Ordering::Relaxed);
        let ended = self.thread.join().map_err(|_| Fault("ping: the thread ended".to_owned()))?;
        let seen = ended.map_err(|error| Fault(format!("ping: {error}")))?;
        let (most, p99) = (seen.max(), seen.value_at_quantile(0.99));
        Ok(Pauses { most: Duration::from_micros(most), p99: Duration::from_micros(p99) })
    }
}

fn ask(to: SocketAddr, stop: &AtomicBool) -> io::Result<Histogram<u64>> {
    let mut seen = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut client = Client::connect(to)?;
    while !stop.load(Ordering::Relaxed) {
        let took = client.ping()?;
        let recorded = seen.record_correct(took.as_micros() as u64, PACE.as_micros() as u64);
        recorded.map_err(io::Error::other)?;
        std::thread::sleep(PACE);
    }
    Ok(seen)
}
