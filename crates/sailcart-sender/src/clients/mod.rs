//! Serves the clients: accepts a bounded number of connections, reads commands, and writes the replies. The memory
//! for input and replies is bounded over all connections; when that for input is used up, the policy module
//! decides whose incomplete command is discarded.

mod connection;
mod replies;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::memory_budget::input_to_discard;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, timeout};

use self::connection::Connection;
use self::replies::{PendingCommand, PendingReply, Reply, next_reply, write_replies};
use crate::client_input::{CHUNK_BYTES, ChunkPool};
use crate::config::ResourceLimits;
use crate::deadline;
use crate::exchange::Exchange;
use crate::input_turns::{InputTurn, InputTurns};
use crate::memory_share::MemoryShare;
use crate::socket::Socket;
use crate::wire::resp::{self, Command};

/// Bounds the time from a command's first byte to its last, and the time to write a reply. Clients time
/// out long before that.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of bytes that are read at once, for a command that lacks as many. Otherwise a chunk is read: input
/// that has to wait for its turn is better left in the socket.
const READ_BYTES: usize = 16 * 1024;
/// Memory for a command that waits for its reply, in addition to a large reply.
const PENDING_COMMAND_BYTES: usize = 256;
/// Delay before a connection looks again for memory to store its input.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Bounds a graceful close: how long the client's input is still read, and discarded, after this side has
/// closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// At a stop, how long a new connection may stay open without a command: a client that has just connected is
/// about to send one.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(200);
/// Number of closing connections that do not count towards the limit of client connections. Others are
/// accepted in their place, on file descriptors reserved for that.
const MAX_UNCOUNTED_CLOSING: usize = 8;

/// Largest number of commands of one connection that wait for their replies. Further commands are not read
/// until then.
const MAX_PENDING_COMMANDS: usize = 64;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long to wait for an idle connection to close before another is chosen for eviction.
const EVICTION_WAIT: Duration = Duration::from_millis(20);

/// The code of the reason why a connection has ended, as an error. There is no `Ok`, as every connection ends
/// for some reason.
type ConnectionResult = Result<std::convert::Infallible, &'static str>;

/// The client connections of a sender.
pub struct Clients {
    exchange: Rc<Exchange>,
    max_connections: usize,
    /// Open connections by number, including those that are closing.
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_number: Cell<u64>,
    /// Number of connections that are closing and discard what they still receive.
    closing_count: Cell<usize>,
    /// Signalled when a connection begins to close and when it is closed.
    connection_released: Notify,
    stopping: Cell<bool>,
    /// Signalled when no more connections are to be accepted.
    accept_stopped: Notify,
    /// Number of times that the system refused to accept a connection.
    accept_errors: Cell<u64>,
    /// Memory for input that is not processed yet.
    chunks: ChunkPool,
    /// Memory for commands that wait for their replies, and for replies that are not written yet.
    replies: MemoryShare,
    /// When connections process their input.
    input_turns: InputTurns,
    /// Receives the input of one read.
    read_buffer: RefCell<Box<[u8]>>,
    /// Holds the input of one connection while it is parsed.
    parse_buffer: RefCell<Vec<u8>>,
    /// Number of connections whose input was discarded.
    discarded: Cell<u64>,
}

impl Clients {
    /// Creates the state for client connections within these limits.
    pub fn new(exchange: Rc<Exchange>, limits: &ResourceLimits) -> Rc<Self> {
        let (connections, next_number, closing_count) = (RefCell::default(), Cell::new(0), Cell::new(0));
        let (connection_released, stopping, accept_stopped) =
            (Notify::new(), Cell::new(false), Notify::new());
        let accept_errors = Cell::new(0);
        let input_turns = InputTurns::new(exchange.clone());
        Rc::new(Clients {
            exchange,
            max_connections: limits.max_clients,
            connections,
            next_number,
            closing_count,
            connection_released,
            stopping,
            accept_stopped,
            accept_errors,
            chunks: ChunkPool::new(limits.memory.client_input),
            replies: MemoryShare::new(limits.memory.replies),
            input_turns,
            read_buffer: RefCell::new(vec![0; READ_BYTES].into()),
            parse_buffer: RefCell::default(),
            discarded: Cell::new(0),
        })
    }

    /// Accepts connections until [`stop_accepting`](Self::stop_accepting) is called, and then returns the
    /// listener: clients that wait in its queue must still be served.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) -> TcpListener {
        loop {
            let next = async {
                self.wait_for_capacity().await;
                listener.accept().await
            };
            let accepted = tokio::select! {
                accepted = next => accepted,
                () = self.accept_stopped.notified() => return listener,
            };
            match accepted {
                Ok((stream, peer)) => self.start_connection(stream, peer),
                Err(error) => {
                    self.log_accept_error(&error);
                    sleep(ACCEPT_RETRY_DELAY).await; // file descriptors may be exhausted: avoids a busy loop
                }
            }
        }
    }

    /// Counts a failed accept, and logs the first and each that doubles the count: the system may refuse to
    /// accept for a moment or for a long time.
    fn log_accept_error(&self, error: &io::Error) {
        let count = self.accept_errors.get() + 1;
        self.accept_errors.set(count);
        if count.is_power_of_two() {
            log::warn!("clients: code=not_accepted count={count} {error}");
        }
    }

    /// Registers a connection before its task starts, as the next connection may be accepted before that task
    /// first runs.
    fn start_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let (number, connection) = self.register();
        tokio::task::spawn_local(self.clone().serve(stream, peer, number, connection));
    }

    /// Accepts the connections that wait in the listener's queue, as closing the listener would reset them
    /// unread. Returns true if there were none.
    ///
    /// A failed accept does not show whether connections wait; call this again to retry.
    pub fn accept_queued(self: &Rc<Self>, listener: &std::net::TcpListener) -> bool {
        let mut accepted_count = 0;
        while self.open_connections() < self.max_connections + MAX_UNCOUNTED_CLOSING {
            let accepted = listener.accept().and_then(|(stream, peer)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, peer))
            });
            match accepted {
                Ok((stream, peer)) => self.start_connection(stream, peer),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return accepted_count == 0,
                Err(error) => {
                    self.log_accept_error(&error);
                    return false;
                }
            }
            accepted_count += 1;
        }
        false
    }

    /// Makes [`accept`](Self::accept) return.
    pub fn stop_accepting(&self) {
        self.accept_stopped.notify_one();
    }

    /// Number of open connections, including those that are closing.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Waits until another connection may be open, so that connections never exceed the file descriptors.
    /// Closes the connection that has been idle the longest. Those that have received nothing yet are closed
    /// last, and only for this reason: some clients connect seconds before their first packet, and the close
    /// would fail that packet. If none is idle, new connections wait to be accepted.
    async fn wait_for_capacity(&self) {
        while self.open_connections()
            >= self.max_connections + self.closing_count.get().min(MAX_UNCOUNTED_CLOSING)
        {
            let connections = self.connections.borrow().values().cloned().collect::<Vec<_>>();
            // While many are closing, this waits for them: another one would only join them.
            let may_evict = self.closing_count.get() < MAX_UNCOUNTED_CLOSING;
            let is_idle = |candidate: &&Rc<Connection>| {
                candidate.idle_since.get().is_some() && !candidate.has_unread_input.get()
            };
            let idle = connections.iter().filter(|candidate| may_evict && is_idle(candidate));
            if let Some(oldest) =
                idle.min_by_key(|candidate| (!candidate.has_received.get(), candidate.idle_since.get()))
            {
                oldest.close_requested.notify_one();
            }
            // Bounded, as the chosen connection may have received a command meanwhile.
            let _ = timeout(EVICTION_WAIT, self.connection_released.notified()).await;
        }
    }

    /// Closes each connection as soon as it is idle. Packets that clients still submit on the others get
    /// their replies.
    pub fn close_when_idle(&self) {
        self.stopping.set(true);
        self.connections.borrow().values().for_each(|connection| connection.close_requested.notify_one());
    }

    fn register(&self) -> (u64, Rc<Connection>) {
        let connection = Rc::new(Connection::new());
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.connections.borrow_mut().insert(number, connection.clone());
        (number, connection)
    }

    async fn serve(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        number: u64,
        connection: Rc<Connection>,
    ) {
        let _ = stream.set_nodelay(true);
        let mut stream = Socket(stream);
        let mut replies_sent = 0u64;
        let Err(code) = self.process_commands(&mut stream, &connection, &mut replies_sent).await;
        connection.idle_since.set(None);
        connection.input.borrow_mut().clear(&self.chunks);
        self.closing_count.set(self.closing_count.get() + 1);
        self.connection_released.notify_one();
        close_gracefully(stream, code, &self.input_turns).await;
        self.closing_count.set(self.closing_count.get() - 1);
        self.connections.borrow_mut().remove(&number);
        self.connection_released.notify_one();
        let rejected = connection.rejected_commands.get();
        log::info!(
            "client {peer}: connection ended, code={code} answers={replies_sent} turned_away={rejected}"
        );
    }

    /// Processes the commands of a connection until it ends, and returns the code of the reason. Reads
    /// further commands while earlier ones wait for their replies, which are written in the order of the
    /// commands.
    async fn process_commands(
        &self,
        stream: &mut Socket,
        connection: &Connection,
        replies_sent: &mut u64,
    ) -> ConnectionResult {
        let mut pending = VecDeque::new();
        let mut malformed = None;
        loop {
            if let (Some(MalformedInput { message, code }), true) = (&malformed, pending.is_empty()) {
                return send_error(stream, message, code).await;
            }
            let may_start = malformed.is_none() && self.may_start_command(&pending);
            let has_input = may_start && connection.input.borrow().may_be_complete();
            let may_read = may_start && !has_input;
            if has_input {
                connection.idle_since.set(None);
            }
            let has_pending = !pending.is_empty();
            let progress = tokio::select! {
                reply = next_reply(&mut pending, connection), if has_pending => Progress::Reply(reply),
                turn = self.input_turns.next(), if has_input => Progress::Turn(turn),
                read = self.read_more(stream, connection, has_pending), if may_read => Progress::Read(read),
            };
            match progress {
                Progress::Reply(reply) => write_replies(stream, reply, &mut pending, replies_sent).await?,
                Progress::Turn(mut turn) | Progress::Read(Ok(mut turn)) => {
                    malformed = turn.process(|max| self.start_commands(connection, &mut pending, max));
                }
                Progress::Read(Err(code)) => {
                    // A client may close its side after its last command and still receives all replies.
                    while !pending.is_empty() {
                        let reply = next_reply(&mut pending, connection).await;
                        write_replies(stream, reply, &mut pending, replies_sent).await?;
                    }
                    return match code {
                        "slow" | "cut" | "crowded" => send_error(stream, code, code).await,
                        code => Err(code),
                    };
                }
            }
        }
    }

    /// Whether a connection with these pending commands may start another one.
    fn may_start_command(&self, pending: &VecDeque<PendingCommand>) -> bool {
        let has_memory = || self.replies.reserve(PENDING_COMMAND_BYTES).is_some();
        pending.is_empty() || (pending.len() < MAX_PENDING_COMMANDS && has_memory())
    }

    /// Starts up to `max_commands` commands that were received completely. Returns their number and what is
    /// malformed, if nothing more can be read.
    fn start_commands(
        &self,
        connection: &Connection,
        pending: &mut VecDeque<PendingCommand>,
        max_commands: usize,
    ) -> (usize, Option<MalformedInput>) {
        let mut input = connection.input.borrow_mut();
        if !input.may_be_complete() {
            return (0, None);
        }
        let mut buffer = self.parse_buffer.borrow_mut();
        input.copy_to(&mut buffer);
        let (mut used, mut missing, mut started) = (0, 0, 0);
        let mut malformed = None;
        while used < buffer.len() && started < max_commands && self.may_start_command(pending) {
            let rest = &buffer[used..];
            match resp::parse_command(rest) {
                Ok(Some((Command::Malformed(message), _))) => {
                    malformed = Some(MalformedInput { message, code: "malformed" });
                }
                Ok(Some((command, length))) => {
                    connection.idle_since.set(None);
                    connection.command_started_at.set(None);
                    pending.push_back(self.start_command(&command, connection));
                    used += length;
                    started += 1;
                    continue;
                }
                Ok(None) if rest.len() <= resp::MAX_COMMAND_BYTES => missing = resp::missing_bytes(rest),
                Ok(None) | Err("too large") => {
                    malformed = Some(MalformedInput { message: "too large", code: "oversized" });
                }
                Err(message) => malformed = Some(MalformedInput { message, code: "malformed" }),
            }
            break;
        }
        if used > 0 {
            input.retain_end(&self.chunks, &buffer[used..]);
        }
        if missing > 0 {
            input.expect_more(missing);
        }
        (started, malformed)
    }

    /// Reads more input, and returns the turn in which it may be processed. A connection counts as idle, and may be
    /// closed by this side, only while no command is being received and none waits for its reply.
    async fn read_more(
        &self,
        stream: &mut Socket,
        connection: &Connection,
        has_pending: bool,
    ) -> Result<InputTurn<'_>, &'static str> {
        let in_command = !connection.input.borrow().is_empty();
        // The timeout runs from the first byte, so that a client that sends a byte now and then cannot extend
        // it.
        let started_at = connection.command_started_at.get().unwrap_or_else(Instant::now);
        connection.command_started_at.set(in_command.then_some(started_at));
        let idle = !in_command && !has_pending;
        connection.idle_since.set(idle.then(Instant::now));
        connection.has_unread_input.set(false);
        let closed_by_us = async {
            if !self.stopping.get() {
                connection.close_requested.notified().await;
            }
            if self.stopping.get() && !connection.has_received.get() {
                sleep_until((connection.opened_at + FIRST_COMMAND_GRACE).into()).await;
            }
            connection.nothing_unread().await;
        };
        let read = tokio::select! {
            biased;
            () = connection.input_discarded.notified() => return Err("crowded"),
            received = self.receive(stream, connection) => received,
            () = closed_by_us, if idle => {
                return Err(if self.stopping.get() { "stopping" } else { "evicted" });
            }
            () = deadline::passed((started_at + IO_TIMEOUT).into()), if in_command => return Err("slow"),
        };
        connection.has_received.set(true);
        match read {
            Ok((Received::Stored, turn)) => Ok(turn),
            Ok((Received::Discarded | Received::NoRoom, _)) => Err("crowded"),
            Ok((Received::End, _)) if in_command => Err("cut"),
            Ok((Received::End, _)) => Err("closed"),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Err("reset"),
            Err(_) => Err("broken"),
        }
    }

    /// Waits for input, for a turn to read it, and for memory to store it. Returns the turn, in which the input may be
    /// processed too. Cancel safe: nothing is read before it is stored.
    async fn receive(
        &self,
        stream: &Socket,
        connection: &Connection,
    ) -> io::Result<(Received, InputTurn<'_>)> {
        loop {
            stream.readable().await?;
            connection.has_unread_input.set(true);
            let mut turn = self.input_turns.next().await;
            match turn.process(|_| (1, self.receive_now(stream, connection))) {
                Ok(Received::NoRoom) => {
                    drop(turn);
                    sleep(MEMORY_RETRY_DELAY).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    connection.has_unread_input.set(false);
                    connection.unread_input_checked.notify_one();
                }
                received => return received.map(|received| (received, turn)),
            }
        }
    }

    /// Reads and stores what has arrived, without waiting.
    fn receive_now(&self, stream: &Socket, connection: &Connection) -> io::Result<Received> {
        let room = self.make_room(connection);
        if connection.input.borrow().was_discarded() {
            return Ok(Received::Discarded);
        }
        if room == 0 {
            return Ok(Received::NoRoom);
        }
        let mut buffer = self.read_buffer.borrow_mut();
        let length = connection.input.borrow().missing_bytes().clamp(CHUNK_BYTES, READ_BYTES);
        let length = stream.try_read(&mut buffer[..room.min(length)])?;
        if length == 0 {
            return Ok(Received::End);
        }
        let stored = connection.input.borrow_mut().append(&self.chunks, &buffer[..length]);
        debug_assert_eq!(stored, length);
        Ok(Received::Stored)
    }

    /// Makes room for more input of a connection, by discarding incomplete commands if there is little. Returns how
    /// many bytes can be stored, perhaps none: complete commands that were received are owed their replies, so they
    /// are never discarded.
    fn make_room(&self, connection: &Connection) -> usize {
        loop {
            let room = self.chunks.room_for(&connection.input.borrow(), self.open_connections());
            if room >= CHUNK_BYTES || !self.discard_incomplete_command() {
                return room;
            }
        }
    }

    /// Discards the incomplete command that the policy chooses; false if there is none.
    fn discard_incomplete_command(&self) -> bool {
        let connections = self.connections.borrow();
        let incomplete = connections.values().filter(|candidate| {
            let input = candidate.input.borrow();
            !input.is_empty() && !input.may_be_complete()
        });
        let candidates = incomplete.map(|candidate| candidate.incomplete_command());
        let Some(chosen) = input_to_discard(candidates) else { return false };
        chosen.input.borrow_mut().discard(&self.chunks);
        chosen.input_discarded.notify_one();
        self.discarded.set(self.discarded.get() + 1);
        if self.discarded.get().is_power_of_two() {
            log::warn!("clients: code=crowded count={}", self.discarded.get());
        }
        true
    }

    fn start_command(&self, command: &Command, connection: &Connection) -> PendingCommand {
        let mut reservation = self.replies.reserve_unchecked(PENDING_COMMAND_BYTES);
        let reply = match command {
            Command::Ping(Some(echo)) if echo.len() > PENDING_COMMAND_BYTES => {
                match self.replies.reserve(PENDING_COMMAND_BYTES + echo.len()) {
                    Some(larger) => {
                        reservation = larger;
                        PendingReply::Ready(resp::pong(Some(echo)))
                    }
                    None => PendingReply::Ready(resp::error("busy")),
                }
            }
            Command::Ping(echo) => PendingReply::Ready(resp::pong(*echo)),
            Command::Put(put) => PendingReply::Submitted(self.exchange.submit(put)),
            Command::Unknown | Command::Malformed(_) => PendingReply::Ready(reject("command", connection)),
        };
        PendingCommand { reply, reservation }
    }
}

/// What happened on a client's connection.
enum Progress<'a> {
    /// The reply to the first pending command is known.
    Reply(Reply),
    /// Input may be processed.
    Turn(InputTurn<'a>),
    /// Input was received and may be processed, or none can be received.
    Read(Result<InputTurn<'a>, &'static str>),
}

/// Input that cannot be read as a command.
struct MalformedInput {
    message: &'static str,
    /// The code of the reason why the connection ends.
    code: &'static str,
}

/// What was received on a client's connection.
enum Received {
    /// Input, which was stored.
    Stored,
    /// Nothing: the incomplete command was discarded.
    Discarded,
    /// Nothing: there is no memory at present.
    NoRoom,
    /// The client has closed its side.
    End,
}

/// Counts a command that names something unknown, and returns the error reply. Logs only the first of a
/// connection; their number is logged when the connection ends. Otherwise a client that retries at once after
/// each rejection would fill the log.
fn reject(what: &str, connection: &Connection) -> Vec<u8> {
    if connection.rejected_commands.replace(connection.rejected_commands.get() + 1) == 0 {
        log::warn!("clients: code=unknown_{what}");
    }
    resp::error(&format!("unknown {what}"))
}

/// Writes an error reply with the reason why the connection ends.
async fn send_error(stream: &mut Socket, message: &str, code: &'static str) -> ConnectionResult {
    let _ = timeout(LINGER_TIMEOUT, stream.write_all(&resp::error(message))).await;
    Err(code)
}

/// Closes a client's connection. Every connection ends here, after all commands that were read have received
/// their replies. Closing a socket with unread input would reset the connection, and replies still on their
/// way would be lost. So this side shuts down its direction first, then reads and discards input until the
/// client has closed too. Discarded packets are neither accepted nor dispatched; the client submits them
/// again elsewhere.
async fn close_gracefully(mut stream: Socket, code: &'static str, input_turns: &InputTurns) {
    if matches!(code, "reset" | "broken") {
        return;
    }
    let closed = async {
        stream.shutdown().await?;
        loop {
            stream.readable().await?;
            // A client that goes on sending keeps nobody else waiting.
            let mut turn = input_turns.next().await;
            match turn.process(|_| (1, stream.try_read(&mut [0; CHUNK_BYTES]))) {
                Ok(0) => return io::Result::Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, closed).await;
}
