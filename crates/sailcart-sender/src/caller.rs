//! One HTTP answer read from a socket. A body is handed on in pieces as it comes; a small one can be gathered.

use std::io;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use crate::wire::http::{self, Extent, Head};
use crate::wire::{Reading, chunked};

/// A body's bytes that are handed on at once, at most. After so many, others on this thread have their turn.
pub const PIECE: usize = 64 * 1024;
/// Room for what is read at once, at least.
const LEAST_ROOM: usize = 1024;
/// Answers below 200 in front of the answer proper, at most: a peer may write them without end.
const MOST_INTERIM: usize = 16;
/// Lines after the last chunk, at most.
const MOST_TRAILERS: usize = 100;

/// An answer, as far as it has come.
#[derive(Default)]
pub struct Reply {
    /// As its first line tells.
    pub status: Option<u16>,
    pub head: Option<Head>,
    /// Of an answer that is gathered, once it came whole.
    pub body: Vec<u8>,
    /// It came whole.
    pub whole: bool,
}

impl Reply {
    /// Whether another call can go on the same connection.
    pub fn keeps(&self) -> bool {
        self.whole && self.head.as_ref().is_some_and(|head| !head.close)
    }
}

/// The body has more bytes than are taken.
#[derive(Debug)]
pub struct TooLarge;

impl From<TooLarge> for io::Error {
    fn from(_: TooLarge) -> Self {
        malformed("too large")
    }
}

/// Takes a body as it comes.
pub trait Sink {
    /// Why a body was not taken to its end.
    type Fault: From<io::Error> + From<TooLarge>;

    /// Takes the next bytes, [`PIECE`] at most, of the body behind this head.
    fn take(&mut self, head: &Head, piece: &[u8]) -> Result<(), Self::Fault>;
}

/// Keeps a body.
impl Sink for Vec<u8> {
    type Fault = io::Error;

    fn take(&mut self, _: &Head, piece: &[u8]) -> io::Result<()> {
        self.extend_from_slice(piece);
        Ok(())
    }
}

/// How long an answer may take: a span from the call on, and more for a large body in step with the bytes that came. Only
/// who has to wait for bytes gives up: those that are there already are read, also where this thread was late.
#[derive(Clone, Copy, Debug)]
pub struct Term {
    /// When the call began.
    pub start: Instant,
    /// For the call, the head, and the first [`PIECE`] of a body.
    pub within: Duration,
    /// Bytes a second: a body that comes more slowly, once the span is used up, is given up. None adds no time.
    pub least_rate: Option<u32>,
}

impl Term {
    /// When an answer of which so many bytes of body came is given up.
    pub fn end(&self, came: usize) -> Instant {
        let more = match self.least_rate {
            Some(rate) => Duration::from_secs_f64(came.saturating_sub(PIECE) as f64 / f64::from(rate)),
            None => Duration::ZERO,
        };
        self.start + self.within + more
    }
}

/// Reads one answer, with a body of a certain size at most, which has `rest` to come whole from its first byte on.
/// What has come so far stands in `reply`, also when this fails or is given up.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    most: usize,
    rest: Duration,
    reply: &mut Reply,
) -> io::Result<()> {
    let mut incoming = Incoming::new(stream, most, None);
    for _ in 0..=MOST_INTERIM {
        if incoming.buffer.is_empty() {
            incoming.more().await?;
        }
        let mut body = Vec::new();
        let whole = timeout(rest, incoming.answer(reply, &mut body)).await;
        // Those below 200 stand in front, the answer proper is yet to come.
        if whole.unwrap_or_else(|_| Err(malformed("slow")))? >= 200 {
            reply.body = body;
            // Bytes that nobody asked for would be taken for the next answer.
            reply.whole = incoming.buffer.is_empty();
            return Ok(());
        }
    }
    Err(malformed("too many answers below 200"))
}

/// Reads one answer within its term and hands its body, of a certain size at most, on to a sink.
pub async fn hand_on<S: Sink>(
    stream: &mut (impl AsyncRead + Unpin),
    most: usize,
    term: Term,
    sink: &mut S,
) -> Result<Reply, S::Fault> {
    let mut incoming = Incoming::new(stream, most, Some(term));
    let mut reply = Reply::default();
    for _ in 0..=MOST_INTERIM {
        if incoming.answer(&mut reply, sink).await? >= 200 {
            reply.whole = incoming.buffer.is_empty();
            return Ok(reply);
        }
    }
    Err(malformed("too many answers below 200").into())
}

/// What comes on a connection.
struct Incoming<'a, Stream> {
    stream: &'a mut Stream,
    buffer: BytesMut,
    /// Bytes of a body at most.
    most: usize,
    term: Option<Term>,
    /// Bytes of the body that were handed on.
    came: usize,
    /// Of these, those since others on this thread had their turn.
    in_a_row: usize,
}

impl<'a, Stream: AsyncRead + Unpin> Incoming<'a, Stream> {
    fn new(stream: &'a mut Stream, most: usize, term: Option<Term>) -> Self {
        Incoming { stream, buffer: BytesMut::new(), most, term, came: 0, in_a_row: 0 }
    }

    /// An answer's status, once it has come whole.
    async fn answer<S: Sink>(&mut self, reply: &mut Reply, sink: &mut S) -> Result<u16, S::Fault> {
        let head = self.head(reply).await?;
        self.came = 0;
        match head.extent {
            Extent::Unreadable => return Err(malformed("expected a length").into()),
            Extent::Length(length) if length > self.most => return Err(TooLarge.into()),
            Extent::Length(length) => self.part(head, length, sink).await?,
            Extent::Chunks => self.chunks(head, sink).await?,
            Extent::Rest => self.rest(head, sink).await?,
        }
        Ok(head.status)
    }

    async fn head<'r>(&mut self, reply: &'r mut Reply) -> io::Result<&'r Head> {
        loop {
            if let Some((status, _)) = http::status(&self.buffer).map_err(malformed)? {
                reply.status = Some(status);
            }
            if let Some(head) = self.take(http::head)? {
                return Ok(reply.head.insert(head));
            }
            self.more().await?;
        }
    }

    /// So many bytes of a body.
    async fn part<S: Sink>(&mut self, head: &Head, length: usize, sink: &mut S) -> Result<(), S::Fault> {
        let mut left = length;
        while left > 0 {
            if self.buffer.is_empty() {
                self.more().await?;
            }
            left -= self.piece(head, left, sink).await?;
        }
        Ok(())
    }

    async fn chunks<S: Sink>(&mut self, head: &Head, sink: &mut S) -> Result<(), S::Fault> {
        loop {
            let size = self.wait_for(chunked::size).await?;
            if size > self.most - self.came {
                return Err(TooLarge.into());
            }
            if size == 0 {
                return Ok(self.trailers().await?);
            }
            self.part(head, size, sink).await?;
            self.wait_for(chunked::end).await?;
        }
    }

    async fn trailers(&mut self) -> io::Result<()> {
        for _ in 0..MOST_TRAILERS {
            if self.wait_for(chunked::trailer).await? {
                return Ok(());
            }
        }
        Err(malformed("too large"))
    }

    /// A body that ends with its connection.
    async fn rest<S: Sink>(&mut self, head: &Head, sink: &mut S) -> Result<(), S::Fault> {
        loop {
            while !self.buffer.is_empty() {
                if self.buffer.len() > self.most - self.came {
                    return Err(TooLarge.into());
                }
                self.piece(head, self.buffer.len(), sink).await?;
            }
            if self.fill().await? == 0 {
                return Ok(());
            }
        }
    }

    /// Hands on what there is, `most` bytes of it; tells how many.
    async fn piece<S: Sink>(&mut self, head: &Head, most: usize, sink: &mut S) -> Result<usize, S::Fault> {
        let length = self.buffer.len().min(most).min(PIECE);
        sink.take(head, &self.buffer[..length])?;
        self.buffer.advance(length);
        self.came += length;
        self.in_a_row += length;
        if self.in_a_row >= PIECE {
            self.in_a_row = 0;
            yield_now().await;
        }
        Ok(length)
    }

    async fn wait_for<T>(&mut self, read: impl Fn(&[u8]) -> Reading<T>) -> io::Result<T> {
        loop {
            if let Some(value) = self.take(&read)? {
                return Ok(value);
            }
            self.more().await?;
        }
    }

    /// What the bytes at hand begin with, if they are enough.
    fn take<T>(&mut self, read: impl Fn(&[u8]) -> Reading<T>) -> io::Result<Option<T>> {
        let Some((value, used)) = read(&self.buffer).map_err(malformed)? else { return Ok(None) };
        self.buffer.advance(used);
        Ok(Some(value))
    }

    /// More bytes, or the connection has broken.
    async fn more(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads what there is, with room that grows with the body; none where the connection has ended.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.buffer.is_empty() {
            self.buffer.reserve(self.came.clamp(LEAST_ROOM, PIECE));
        }
        let reading = self.stream.read_buf(&mut self.buffer);
        match self.term {
            Some(term) => timeout_at(term.end(self.came), reading).await?,
            None => reading.await,
        }
    }
}

fn malformed(words: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, words)
}
