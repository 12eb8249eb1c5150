//! A connection to an endpoint, which carries one call after the other.

use std::fmt::{self, Display};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use sailcart::response_matching::ResponseMatcher;
use socket2::SockRef;

use crate::outgoing::{ReceivedResponse, SentCall};
use crate::response::{self, Response};
use crate::socket::Socket;

/// Bounds the time from the first byte of a response to its last.
pub const RESPONSE_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of bytes that a check of an idle connection reads at most.
const MAX_CHECK_BYTES: usize = 1024;

/// What an idle connection has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing: it can carry a call.
    Quiet,
    /// Bytes that no call is waiting for. They are in the connection's buffer.
    Unread,
    /// Its end, or an error.
    Closed,
}

impl IdleState {
    /// The state after a read that does not wait.
    fn of_read(read: &io::Result<usize>) -> IdleState {
        match read {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::Unread,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Err(_) => IdleState::Closed,
        }
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Counts the connections of this process.
    pub number: u64,
    pub address: SocketAddr,
    pub socket: Socket,
    /// Bytes received behind the last response that was read.
    pub buffer: BytesMut,
    /// Which response belongs to which call.
    pub matcher: ResponseMatcher<Rc<SentCall>, Rc<ReceivedResponse>>,
    /// Number of calls sent, including one in flight.
    pub calls: u32,
    /// It carries no further call and is to be closed once it has settled, for this reason in the log.
    pub close_when_settled: Option<&'static str>,
    opened_at: Instant,
    /// Since when no call is in flight; `None` during a call and before the first one.
    idle_since: Option<Instant>,
}

impl EndpointConnection {
    /// A connection that was just established.
    pub fn new(number: u64, address: SocketAddr, socket: Socket) -> Self {
        EndpointConnection {
            number,
            address,
            socket,
            buffer: BytesMut::new(),
            matcher: ResponseMatcher::default(),
            calls: 0,
            close_when_settled: None,
            opened_at: Instant::now(),
            idle_since: None,
        }
    }

    /// Time since the connection was established: the clock of its `matcher`.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// For how long no call has been in flight.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.map(|since| since.elapsed()).unwrap_or_default()
    }

    /// A call is about to be sent.
    pub fn begin_call(&mut self, call: Rc<SentCall>) {
        self.calls += 1;
        self.idle_since = None;
        self.matcher.call_sent(call);
    }

    /// No call is in flight any more. Idle connections hold no memory for input.
    pub fn become_idle(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        self.idle_since = Some(Instant::now());
    }

    /// Checks for unexpected input, by what the runtime knows. That costs no system call while nothing has been
    /// reported.
    pub fn check_reported_input(&mut self) -> IdleState {
        let mut input = [0; MAX_CHECK_BYTES];
        let read = self.socket.0.try_read(&mut input);
        self.keep_unexpected(&read, &input)
    }

    /// Checks for unexpected input by a system call: the runtime learns of input only when it polls, so bytes
    /// may lie unread that it does not know of.
    pub fn check_input(&mut self) -> IdleState {
        let mut input = [0; MAX_CHECK_BYTES];
        let read = loop {
            let read = (&*SockRef::from(&self.socket.0)).read(&mut input);
            if !matches!(&read, Err(error) if error.kind() == io::ErrorKind::Interrupted) {
                break read;
            }
        };
        self.keep_unexpected(&read, &input)
    }

    fn keep_unexpected(&mut self, read: &io::Result<usize>, input: &[u8]) -> IdleState {
        self.buffer.extend_from_slice(&input[..*read.as_ref().unwrap_or(&0)]);
        if self.buffer.is_empty() { IdleState::of_read(read) } else { IdleState::Unread }
    }

    /// Reads a response outside of the round trip of a call, with a body of at most `max_body` bytes. `response`
    /// holds what was received so far, also after a failure and if the future is dropped.
    ///
    /// # Errors
    /// Those of [`response::read_collected`].
    pub async fn read_response(&mut self, max_body: usize, response: &mut Response) -> io::Result<()> {
        let (socket, buffer) = (&mut self.socket, &mut self.buffer);
        response::read_collected(socket, buffer, max_body, RESPONSE_READ_TIMEOUT, response).await
    }

    /// Logs the end of the connection: one line for each. The caller must drop it.
    pub fn log_end(&self, code: &str) {
        log::info!("endpoint {}: connection ended, code={code} {self}", self.address);
    }
}

impl Display for EndpointConnection {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "connection={} calls={}", self.number, self.calls)?;
        if let Some(since) = self.idle_since {
            write!(formatter, " idle={:?}", since.elapsed())?;
        }
        if !self.buffer.is_empty() {
            write!(formatter, " unread={}", self.buffer.len())?;
        }
        Ok(())
    }
}
