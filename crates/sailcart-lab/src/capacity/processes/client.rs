//! Clients of a sender: they submit packets and measure round trips of `PING`.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::discovery::DestinationIndex;
use super::sender_process::CATEGORY;
use crate::experiment::LabError;

/// Maximum wait for a reply, longer than any pause that is to be measured.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the end of one round trip to the start of the next.
const PING_INTERVAL: Duration = Duration::from_millis(1);
/// Commands that are written before their replies are read. The sender reads 64 commands ahead.
const PIPELINED_COMMANDS: usize = 64;

/// A connection to a sender.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to the address at which a sender listens for clients.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Client { reader: BufReader::with_capacity(512, stream) })
    }

    fn read_reply(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }

    /// Measures one round trip. A reply other than `+PONG` is returned as the text of the error.
    pub fn ping(&mut self) -> io::Result<Duration> {
        let start = Instant::now();
        self.reader.get_mut().write_all(b"*1\r\n$4\r\nPING\r\n")?;
        match &*self.read_reply()? {
            "+PONG" => Ok(start.elapsed()),
            other => Err(io::Error::other(other.to_owned())),
        }
    }

    /// Submits packets, several at once. The error states the reply to the first packet that was not
    /// accepted.
    pub fn submit_all(&mut self, packets: &[PutCommand]) -> io::Result<()> {
        for batch in packets.chunks(PIPELINED_COMMANDS) {
            let bytes: Vec<u8> = batch.iter().flat_map(PutCommand::encode).collect();
            self.reader.get_mut().write_all(&bytes)?;
            for _ in batch {
                match &*self.read_reply()? {
                    "+OK" => {}
                    other => return Err(io::Error::other(format!("packet not accepted: {other}"))),
                }
            }
        }
        Ok(())
    }
}

/// A `MSG.PUT` command, which submits one packet.
#[derive(Clone, Copy, Debug)]
pub struct PutCommand {
    pub id: u64,
    pub destination: DestinationIndex,
    pub body_bytes: usize,
}

impl PutCommand {
    fn encode(&self) -> Vec<u8> {
        const DAY_MS: u64 = 24 * 3600 * 1000;
        let key = "0".repeat(16);
        let id = format!("{:016x}", self.id);
        let fields = format!("c={CATEGORY},d={DAY_MS},dest={}", self.destination.0);
        let body = "b".repeat(self.body_bytes);
        let mut bytes = b"*5\r\n".to_vec();
        for word in ["MSG.PUT", &key, &id, &fields, &body] {
            bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
        }
        bytes
    }
}

/// Pauses that a client saw: round trips of `PING` over a period.
#[derive(Clone, Copy, Debug)]
pub struct PauseStats {
    pub max: Duration,
    /// Corrected for coordinated omission: a long round trip also counts for the requests that it delayed.
    pub p99: Duration,
}

/// A client that sends `PING` continuously on its own thread.
pub struct Pinger {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<io::Result<Histogram<u64>>>,
}

impl Pinger {
    /// Starts a thread that sends `PING` to this address.
    pub fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = stop.clone();
        Pinger { stop, thread: std::thread::spawn(move || ping_until_stopped(address, &thread_stop)) }
    }

    /// Stops the thread and returns the pauses it saw. An error if the thread panicked or its connection
    /// failed.
    pub fn stop(self) -> Result<PauseStats, LabError> {
        self.stop.store(true, Ordering::Relaxed);
        let result = self.thread.join().map_err(|_| LabError("ping: the thread panicked".to_owned()))?;
        let histogram = result.map_err(|error| LabError(format!("ping: {error}")))?;
        let (max, p99) = (histogram.max(), histogram.value_at_quantile(0.99));
        Ok(PauseStats { max: Duration::from_micros(max), p99: Duration::from_micros(p99) })
    }
}

fn ping_until_stopped(address: SocketAddr, stop: &AtomicBool) -> io::Result<Histogram<u64>> {
    let mut histogram = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut client = Client::connect(address)?;
    while !stop.load(Ordering::Relaxed) {
        let round_trip = client.ping()?;
        let recorded =
            histogram.record_correct(round_trip.as_micros() as u64, PING_INTERVAL.as_micros() as u64);
        recorded.map_err(io::Error::other)?;
        std::thread::sleep(PING_INTERVAL);
    }
    Ok(histogram)
}
