//! The clients' side: connections accepted within bounds, commands read, answers written.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout};

use crate::exchange::{Answer, Exchange};
use crate::socket::Socket;
use crate::wire::resp::{self, Command};

/// A command that has begun comes to its end within this time, and an answer is read within it; a client has
/// long given up by then.
const SLOW: Duration = Duration::from_secs(2);
/// The size of a connection's buffer, and from which size on an idle one is given back.
const USUAL: usize = 4 * 1024;
const ROOMY: usize = 4 * USUAL;
/// How long a client has to end its side once this one has: what it still sends is read until then, and goes nowhere.
const LINGER: Duration = Duration::from_millis(200);
/// How long a new connection is waited for at a stop: a client that has just come is about to say something.
const FIRST_WORD: Duration = Duration::from_millis(200);
/// So many that linger are not counted among the clients': others are let in meanwhile, on descriptors kept for that.
const MOST_LEAVING: usize = 8;

/// Commands of one connection that wait for their answers at most; the rest waits to be read.
const MOST_PENDING: usize = 64;
/// The pause after an accept that failed.
const NOT_ACCEPTED: Duration = Duration::from_millis(10);
/// How long one idle connection is waited for to make room before another is tried.
const LOOK: Duration = Duration::from_millis(20);

/// Why a connection ends; it does not end well or badly.
type Ended = Result<std::convert::Infallible, &'static str>;

/// An open connection, as the others see it.
struct Line {
    /// Something has come on it.
    spoke: Cell<bool>,
    idle_since: Cell<Option<Instant>>,
    /// Commands that name what is not known.
    turned_away: Cell<u64>,
    /// When the command that is coming in began to come.
    begun: Cell<Option<Instant>>,
    since: Instant,
    hang_up: Notify,
}

pub struct Clients {
    exchange: Rc<Exchange>,
    most: usize,
    lines: RefCell<BTreeMap<u64, Rc<Line>>>,
    next: Cell<u64>,
    /// Those of the lines that are being ended, and read what still comes.
    leaving: Cell<usize>,
    left: Notify,
    stopping: Cell<bool>,
    /// Told once no more connections are accepted.
    closing: Notify,
    /// How often the system refused to accept.
    not_accepted: Cell<u64>,
}

impl Clients {
    pub fn new(exchange: Rc<Exchange>, most: usize) -> Rc<Self> {
        let (lines, next, leaving) = (RefCell::default(), Cell::new(0), Cell::new(0));
        let (left, stopping, closing) = (Notify::new(), Cell::new(false), Notify::new());
        let not_accepted = Cell::new(0);
        Rc::new(Clients { exchange, most, lines, next, leaving, left, stopping, closing, not_accepted })
    }

    /// Accepts clients until that is called off, and hands the listener back: who waits in its queue is still owed a word.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) -> TcpListener {
        loop {
            let next = async {
                self.make_room().await;
                listener.accept().await
            };
            let accepted = tokio::select! {
                accepted = next => accepted,
                () = self.closing.notified() => return listener,
            };
            match accepted {
                Ok((stream, peer)) => self.begin_line(stream, peer),
                Err(fault) => {
                    self.note_not_accepted(&fault);
                    sleep(NOT_ACCEPTED).await; // out of descriptors, perhaps: not in a busy loop
                }
            }
        }
    }

    /// The system may refuse to accept for a moment or for long. The log has a line for the first time and for each that doubles it.
    fn note_not_accepted(&self, fault: &io::Error) {
        let count = self.not_accepted.get() + 1;
        self.not_accepted.set(count);
        if count.is_power_of_two() {
            log::warn!("clients: code=not_accepted count={count} {fault}");
        }
    }

    /// Counted before the next one is accepted, which may be before this one's task runs.
    fn begin_line(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let (number, line) = self.enter();
        tokio::task::spawn_local(self.clone().serve(stream, peer, number, line));
    }

    /// No more are accepted but those that wait in the queue by now: closing it would reset them unseen. True once there were none.
    ///
    /// An accept that fails says nothing of those that wait: it is made again with the next call of this.
    pub fn empty_queue(self: &Rc<Self>, listener: &std::net::TcpListener) -> bool {
        let mut came = 0;
        while self.open() < self.most + MOST_LEAVING {
            let begun = listener.accept().and_then(|(stream, peer)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, peer))
            });
            match begun {
                Ok((stream, peer)) => self.begin_line(stream, peer),
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return came == 0,
                Err(fault) => {
                    self.note_not_accepted(&fault);
                    return false;
                }
            }
            came += 1;
        }
        false
    }

    pub fn stop_accepting(&self) {
        self.closing.notify_one();
    }

    pub fn open(&self) -> usize {
        self.lines.borrow().len()
    }

    /// Guards against more connections than descriptors: the one that has been idle the longest gives way. Those on
    /// which nothing came yet go last, and for no other reason: some clients connect seconds before their first
    /// packet, and a close would fail it. Where none is idle, new ones wait to be accepted.
    async fn make_room(&self) {
        while self.open() >= self.most + self.leaving.get().min(MOST_LEAVING) {
            let lines = self.lines.borrow().values().cloned().collect::<Vec<_>>();
            // Where many linger, their places are waited for: each further one that is ended would only join them.
            let more = self.leaving.get() < MOST_LEAVING;
            let idle = lines.iter().filter(|line| more && line.idle_since.get().is_some());
            if let Some(line) = idle.min_by_key(|line| (!line.spoke.get(), line.idle_since.get())) {
                line.hang_up.notify_one();
            }
            let _ = timeout(LOOK, self.left.notified()).await; // a command may have come on it meanwhile
        }
    }

    /// Ends connections as they fall idle. What a client still hands in on the others is answered.
    pub fn hang_up(&self) {
        self.stopping.set(true);
        self.lines.borrow().values().for_each(|line| line.hang_up.notify_one());
    }

    fn enter(&self) -> (u64, Rc<Line>) {
        let (spoke, idle_since) = (Cell::new(false), Cell::new(Some(Instant::now())));
        let (begun, hang_up) = (Cell::new(None), Notify::new());
        let (turned_away, since) = (Cell::new(0), Instant::now());
        let line = Rc::new(Line { spoke, idle_since, turned_away, begun, since, hang_up });
        let number = self.next.replace(self.next.get() + 1);
        self.lines.borrow_mut().insert(number, line.clone());
        (number, line)
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr, number: u64, line: Rc<Line>) {
        let _ = stream.set_nodelay(true);
        let mut stream = Socket(stream);
        let mut answered = 0u64;
        let Err(code) = self.talk(&mut stream, &line, &mut answered).await;
        line.idle_since.set(None);
        self.leaving.set(self.leaving.get() + 1);
        self.left.notify_one();
        end(stream, code).await;
        self.leaving.set(self.leaving.get() - 1);
        self.lines.borrow_mut().remove(&number);
        self.left.notify_one();
        let turned_away = line.turned_away.get();
        log::info!(
            "client {peer}: connection ended, code={code} answers={answered} turned_away={turned_away}"
        );
    }

    /// Speaks with one client until its connection ends; tells why it did. Commands are read on while others wait
    /// for their answers, which go out in the same order.
    async fn talk(&self, stream: &mut Socket, line: &Line, answered: &mut u64) -> Ended {
        let mut buffer = BytesMut::with_capacity(USUAL);
        let mut pending = VecDeque::new();
        loop {
            let unreadable = self.understand(line, &mut buffer, &mut pending);
            if let (Some((words, code)), true) = (unreadable, pending.is_empty()) {
                return refuse(stream, words, code).await;
            }
            let reads = unreadable.is_none() && pending.len() < MOST_PENDING;
            let open = !pending.is_empty();
            let read = tokio::select! {
                answer = first(&mut pending, line), if open => Ok(Some(answer)),
                read = self.more(stream, line, &mut buffer, open), if reads => read.map(|()| None),
            };
            match read {
                Ok(None) => {}
                Ok(Some(answer)) => write(stream, answer, &mut pending, answered).await?,
                Err(code) => {
                    // A client may end its side as soon as it has said all: it is answered all the same.
                    while !pending.is_empty() {
                        let answer = first(&mut pending, line).await;
                        write(stream, answer, &mut pending, answered).await?;
                    }
                    return match code {
                        "slow" | "cut" => refuse(stream, code, code).await,
                        code => Err(code),
                    };
                }
            }
        }
    }

    /// Begins all commands that have come whole. Tells what is wrong with the input and the code for it, if it
    /// cannot be read on.
    fn understand(
        &self,
        line: &Line,
        buffer: &mut BytesMut,
        pending: &mut VecDeque<Begun>,
    ) -> Option<(&'static str, &'static str)> {
        while pending.len() < MOST_PENDING {
            match resp::command(buffer) {
                Ok(Some((Command::Faulty(words), _))) => return Some((words, "malformed")),
                Ok(Some((command, used))) => {
                    line.idle_since.set(None);
                    line.begun.set(None);
                    pending.push_back(self.begin(&command, line));
                    buffer.advance(used);
                }
                Ok(None) if buffer.len() <= resp::MOST_COMMAND => return None,
                Ok(None) | Err("too large") => return Some(("too large", "oversized")),
                Err(words) => return Some((words, "malformed")),
            }
        }
        None
    }

    /// Reads on. Only where no command has begun or waits for its answer does a connection count as idle and may
    /// be ended from this side.
    async fn more(
        &self,
        stream: &mut Socket,
        line: &Line,
        buffer: &mut BytesMut,
        open: bool,
    ) -> Result<(), &'static str> {
        let begun = !buffer.is_empty();
        // From its first byte on, so that a client that dribbles holds its place no longer than others.
        let since = line.begun.get().unwrap_or_else(Instant::now);
        line.begun.set(begun.then_some(since));
        let idle = !begun && !open;
        line.idle_since.set(idle.then(Instant::now));
        if idle && buffer.capacity() > ROOMY {
            *buffer = BytesMut::with_capacity(USUAL); // hundreds of idle clients keep no large buffers
        }
        let hang_up = async {
            if !self.stopping.get() {
                line.hang_up.notified().await;
            }
            if self.stopping.get() && !line.spoke.get() {
                sleep_until((line.since + FIRST_WORD).into()).await;
            }
            // What has come by now is read first.
            yield_now().await;
        };
        let read = tokio::select! {
            biased;
            read = stream.read_buf(buffer) => read,
            () = hang_up, if idle => {
                return Err(if self.stopping.get() { "stopping" } else { "evicted" });
            }
            () = sleep_until((since + SLOW).into()), if begun => return Err("slow"),
        };
        line.spoke.set(true);
        match read {
            Ok(0) if begun => Err("cut"),
            Ok(0) => Err("closed"),
            Ok(_) => Ok(()),
            Err(fault) if fault.kind() == io::ErrorKind::ConnectionReset => Err("reset"),
            Err(_) => Err("broken"),
        }
    }

    fn begin(&self, command: &Command, line: &Line) -> Begun {
        match command {
            Command::Ping(echo) => Begun::Done(resp::pong(*echo)),
            Command::Put(put) => Begun::Taking(self.exchange.take(put)),
            Command::Unknown | Command::Faulty(_) => Begun::Done(unknown("command", line)),
        }
    }
}

/// A command whose bytes are no longer needed.
enum Begun {
    Done(Vec<u8>),
    Taking(tokio::sync::oneshot::Receiver<Answer>),
}

impl Begun {
    /// May be given up and called again until it has told the answer.
    async fn finish(&mut self, line: &Line) -> Vec<u8> {
        let answer = match self {
            Begun::Done(answer) => return std::mem::take(answer),
            Begun::Taking(answer) => answer.await,
        };
        match answer {
            Ok(Answer::Taken) => resp::TAKEN.to_vec(),
            Ok(Answer::Dismissed(wait)) => resp::busy(wait),
            Ok(Answer::Scrapped) => resp::error("given up"),
            Ok(Answer::Unknown(what)) => unknown(what, line),
            Err(_) => resp::busy(None),
        }
    }
}

/// The answer that is due next. This may be given up and called again until it has told it.
async fn first(pending: &mut VecDeque<Begun>, line: &Line) -> Vec<u8> {
    let Some(begun) = pending.front_mut() else { return Vec::new() };
    let answer = begun.finish(line).await;
    pending.pop_front();
    answer
}

/// Writes an answer, and with it those behind it that are known by now.
async fn write(
    stream: &mut Socket,
    mut answer: Vec<u8>,
    pending: &mut VecDeque<Begun>,
    answered: &mut u64,
) -> Result<(), &'static str> {
    *answered += 1;
    while let Some(Begun::Done(next)) = pending.front() {
        answer.extend_from_slice(next);
        pending.pop_front();
        *answered += 1;
    }
    match timeout(SLOW, stream.write_all(&answer)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err("reset"),
        Err(_) => Err("slow"),
    }
}

/// Guards against a log that a client fills which comes again as soon as it is turned away: one line for its first,
/// and their number as its connection ends.
fn unknown(what: &str, line: &Line) -> Vec<u8> {
    if line.turned_away.replace(line.turned_away.get() + 1) == 0 {
        log::warn!("clients: code=unknown_{what}");
    }
    resp::error(&format!("unknown {what}"))
}

/// Tells a client why its connection ends.
async fn refuse(stream: &mut Socket, words: &str, code: &'static str) -> Ended {
    let _ = timeout(LINGER, stream.write_all(&resp::error(words))).await;
    Err(code)
}

/// The one way in which a client's connection ends. All that was read is answered by now. A close over bytes that were not read
/// would reset it, and answers that are still on their way with it: so this side ends first, and what still comes is read,
/// until the client has ended too, and neither taken on nor sent on. Its client sends it once more elsewhere.
async fn end(mut stream: Socket, code: &'static str) {
    if matches!(code, "reset" | "broken") {
        return;
    }
    let ended = async {
        stream.shutdown().await?;
        while stream.read(&mut [0; 4096]).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(LINGER, ended).await;
}
