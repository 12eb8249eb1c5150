//! A TCP proxy for one network link. It forwards bytes unchanged unless a fault is set.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// The largest number of bytes that are forwarded at once.
const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// The smallest write on a link that trickles; a longer chunk is sent in about 16 writes.
const MIN_TRICKLE_WRITE_BYTES: usize = 16;
/// On a link that cuts, resets or half-closes, a chunk is affected with a probability of one in this number.
const FAULT_ONE_IN: u32 = 12;

/// A fault that a proxy injects into a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Each chunk is delayed by up to 30 ms.
    Delay,
    /// Each chunk is sent in small writes, 1 ms apart.
    Trickle,
    /// Some chunks are truncated, and both sides are closed.
    Cut,
    /// At some chunks, both sides are reset.
    Reset,
    /// After some chunks, their direction is shut down while the other one continues.
    HalfClose,
    /// Bytes from the target are held back while this fault is set; then the connection is closed.
    Silent,
    /// After some responses, a copy of an earlier one on the same connection follows up to 120 ms later: as a
    /// whole, in two parts, twice, or followed by noise.
    ExtraResponses,
}

/// The direction of a chunk.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From the client that connected.
    ToTarget,
    ToClient,
}

/// One link: connections to its address are forwarded to the target.
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    target: SocketAddr,
    fault: Cell<Option<LinkFault>>,
    /// Cuts, resets and half-closes affect only bytes to the target. The emulated receiver regards an answer
    /// that it has written as received by the sender, so answers must not be lost.
    faults_to_target_only: bool,
    rng: RefCell<ChaCha8Rng>,
}

impl Proxy {
    /// Opens a link to a target, on a free port of the loopback address.
    ///
    /// With `faults_to_target_only`, cuts, resets and half-closes affect only that direction.
    ///
    /// # Errors
    /// The error of binding the listener.
    pub async fn open(
        target: SocketAddr,
        faults_to_target_only: bool,
        rng: ChaCha8Rng,
    ) -> io::Result<Rc<Proxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, fault) = (listener.local_addr()?, Cell::new(None));
        let proxy = Rc::new(Proxy { address, target, fault, faults_to_target_only, rng: RefCell::new(rng) });
        let own = proxy.clone();
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(spawn_local(own.clone().serve_connection(stream))),
                    Err(error) => log::warn!("proxy: code=no_accept {error}"),
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the fault of the link; `None` forwards unchanged.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.set(fault);
    }

    async fn serve_connection(self: Rc<Self>, client: TcpStream) {
        let Ok(target) = TcpStream::connect(self.target).await else { return reset(&client) };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        let ((client_in, client_out), (target_in, target_out)) = (client.into_split(), target.into_split());
        let to_target = self.clone().forward(client_in, target_out, Direction::ToTarget);
        let to_client = self.forward(target_in, client_out, Direction::ToClient);
        // When one direction ends without an error, the other one stays open; an error closes both.
        let (mut to_target, mut to_client) = (std::pin::pin!(to_target), std::pin::pin!(to_client));
        tokio::select! {
            result = &mut to_target => if result.is_ok() { let _ = to_client.await; },
            result = &mut to_client => if result.is_ok() { let _ = to_target.await; },
        }
    }

    /// Whether the current chunk is affected by the fault.
    fn draw_affected(&self) -> bool {
        self.rng.borrow_mut().random_ratio(1, FAULT_ONE_IN)
    }

    fn random_below(&self, limit: usize) -> usize {
        self.rng.borrow_mut().random_range(0..limit.max(1))
    }

    /// Forwards one direction until its sending side is closed. An error means that the connection must be
    /// closed at once, in both directions.
    async fn forward(
        self: Rc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: Direction,
    ) -> io::Result<()> {
        let mut chunk = vec![0; MAX_CHUNK_BYTES];
        let mut copies = ResponseCopies::default();
        loop {
            let length = tokio::select! {
                biased;
                length = from.read(&mut chunk) => length?,
                () = copies.due() => {
                    copies.write(&self, &mut to).await?;
                    continue;
                }
            };
            if length == 0 {
                to.shutdown().await?;
                return Ok(());
            }
            let bytes = &chunk[..length];
            let may_break = direction == Direction::ToTarget || !self.faults_to_target_only;
            match self.fault.get() {
                Some(LinkFault::Delay) => {
                    sleep(Duration::from_millis(self.random_below(30) as u64)).await;
                    to.write_all(bytes).await?;
                }
                Some(LinkFault::Trickle) => {
                    for part in bytes.chunks(MIN_TRICKLE_WRITE_BYTES.max(length / 16)) {
                        to.write_all(part).await?;
                        sleep(Duration::from_millis(1)).await;
                    }
                }
                Some(LinkFault::Cut) if may_break && self.draw_affected() => {
                    to.write_all(&bytes[..self.random_below(length)]).await?;
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                Some(LinkFault::Reset) if may_break && self.draw_affected() => {
                    reset(to.as_ref());
                    reset(from.as_ref());
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Some(LinkFault::HalfClose) if may_break && self.draw_affected() => {
                    to.write_all(bytes).await?;
                    to.shutdown().await?;
                    return Ok(());
                }
                Some(LinkFault::Silent) if direction == Direction::ToClient => {
                    while self.fault.get() == Some(LinkFault::Silent) {
                        sleep(Duration::from_millis(50)).await;
                    }
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(LinkFault::ExtraResponses) if direction == Direction::ToClient => {
                    to.write_all(bytes).await?;
                    copies.remember(bytes, &self);
                }
                _ => to.write_all(bytes).await?,
            }
        }
    }
}

/// A copy follows a response with a probability of one in this number.
const COPY_ONE_IN: u32 = 3;
/// The longest delay of a copy behind the response that it follows, in milliseconds.
const MAX_COPY_DELAY_MS: usize = 120;
/// Number of responses of a connection that may be copied.
const MAX_REMEMBERED_RESPONSES: usize = 8;

/// The responses on one connection that may be copied, and when the next copy is written.
#[derive(Default)]
struct ResponseCopies {
    responses: Vec<Vec<u8>>,
    due_at: Option<Instant>,
}

impl ResponseCopies {
    /// Remembers the bytes if they are a complete response, and may schedule a copy.
    fn remember(&mut self, bytes: &[u8], proxy: &Proxy) {
        self.due_at = None;
        if !is_complete_response(bytes) {
            return;
        }
        if self.responses.len() >= MAX_REMEMBERED_RESPONSES {
            self.responses.remove(0);
        }
        self.responses.push(bytes.to_vec());
        if proxy.rng.borrow_mut().random_ratio(1, COPY_ONE_IN) {
            let delay = Duration::from_millis(proxy.random_below(MAX_COPY_DELAY_MS) as u64);
            self.due_at = Some(Instant::now() + delay);
        }
    }

    /// Returns when a copy is due; never if none is scheduled.
    async fn due(&self) {
        match self.due_at {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// Writes the copy that is due. Mostly it is the last response, sometimes an earlier one.
    async fn write(&mut self, proxy: &Proxy, to: &mut OwnedWriteHalf) -> io::Result<()> {
        self.due_at = None;
        let index = match proxy.random_below(4) {
            0 => proxy.random_below(self.responses.len()),
            _ => self.responses.len().saturating_sub(1),
        };
        let Some(copy) = self.responses.get(index) else { return Ok(()) };
        match proxy.random_below(8) {
            0 => {
                let (first, second) = copy.split_at(proxy.random_below(copy.len()));
                to.write_all(first).await?;
                sleep(Duration::from_millis(proxy.random_below(40) as u64)).await;
                to.write_all(second).await
            }
            1 => to.write_all(&copy.repeat(2)).await,
            2 => {
                to.write_all(copy).await?;
                to.write_all(b"\x80noise").await
            }
            _ => to.write_all(copy).await,
        }
    }
}

/// Whether the bytes are one response with its body, whose length is given or zero.
fn is_complete_response(bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head_bytes)) = response.parse(bytes) else { return false };
    let length = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case("Content-Length"));
    let body_bytes = length.and_then(|header| std::str::from_utf8(header.value).ok()?.parse().ok());
    head_bytes + body_bytes.unwrap_or(0) == bytes.len()
}

/// Makes the stream send a reset when it is closed.
fn reset(stream: &TcpStream) {
    #[allow(deprecated)] // set_linger may block on close, but not with a duration of zero
    let _ = stream.set_linger(Some(Duration::ZERO));
}
