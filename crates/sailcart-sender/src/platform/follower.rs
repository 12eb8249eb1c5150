//! Discovery is watched without gaps, and each list that it tells is staged as it comes.

use std::fmt::{self, Display};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart_terms::Fault;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::connection::{Limits, Place, Wire, is_move};
use crate::caller::{Sink, TooLarge};
use crate::exchange::{Exchange, ListTooLarge, StagedList};
use crate::rhythm::{self, Failure, Rhythm};
use crate::wire::http::Head;
use crate::wire::list_reader::{ListReader, MOST_ENTRY, Summary};
use crate::wire::{MOST_BODY, discovery, http};

/// A list that comes more slowly is given up, in bytes a second.
const LEAST_RATE: u32 = 4_000_000;

/// What a call brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum News {
    Some,
    None,
}

/// Why a call brought no list that counts.
#[derive(Debug)]
enum NoList {
    /// Discovery is elsewhere now.
    Moved,
    /// No connection, or one that broke, or an answer that took too long.
    Lost(io::Error),
    /// An answer with another status: discovery has too much to do.
    TurnedAway(u16),
    /// A list that cannot be: it is not one, or of long ago.
    Spoilt(String),
    /// More endpoints or bytes than there is room for.
    TooLarge,
}

impl From<io::Error> for NoList {
    fn from(fault: io::Error) -> Self {
        match fault.kind() {
            _ if is_move(&fault) => NoList::Moved,
            io::ErrorKind::InvalidData => NoList::Spoilt(fault.to_string()),
            _ => NoList::Lost(fault),
        }
    }
}

impl From<TooLarge> for NoList {
    fn from(_: TooLarge) -> Self {
        NoList::TooLarge
    }
}

impl From<ListTooLarge> for NoList {
    fn from(_: ListTooLarge) -> Self {
        NoList::TooLarge
    }
}

impl From<Fault> for NoList {
    fn from(fault: Fault) -> Self {
        NoList::Spoilt(fault.0)
    }
}

impl Display for NoList {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            NoList::Moved => write!(to, "discovery has moved"),
            NoList::Lost(fault) => write!(to, "{fault}"),
            NoList::TurnedAway(status) => write!(to, "answer {status}"),
            NoList::Spoilt(words) => write!(to, "{words}"),
            NoList::TooLarge => write!(to, "the list is too large"),
        }
    }
}

/// Reads a list as it comes and stages what it tells.
struct Intake<'a> {
    exchange: &'a Exchange,
    reader: ListReader,
    staged: StagedList,
    /// Bytes of an answer that is no list.
    other: usize,
}

impl Sink for Intake<'_> {
    type Fault = NoList;

    fn take(&mut self, head: &Head, piece: &[u8]) -> Result<(), NoList> {
        if head.status != 200 {
            self.other += piece.len();
            return if self.other > MOST_BODY { Err(NoList::TurnedAway(head.status)) } else { Ok(()) };
        }
        let entries = self.reader.push(piece)?;
        Ok(self.exchange.add(&mut self.staged, entries)?)
    }
}

/// Follows the destination list.
///
/// A list is read as it comes, and others on this thread have their turn after each [`caller::PIECE`] of it. Nothing of it
/// counts until all of it has come and can be. A call has the time of its rhythm, and a large list more in step with the
/// bytes that came ([`LEAST_RATE`]). For `n` endpoints a list has `n` times [`MOST_ENTRY`] bytes at most, so it is over, good
/// or given up, in the time of its call (0.75 s with an agent, 2.25 s without; for a watch its wait as well) and `n` times
/// 1.024 ms: 384 s for the 375,000 endpoints of 192 MB. With entries of 165 bytes, as they mostly are, it is over in 16 s.
/// This holds while this thread reads as fast as bytes come; bytes that wait here are read, however late.
///
/// A list that is too large is refused: the last good one stays in force, and what was too large is asked for again after
/// pauses that grow to a minute. Where it was the whole list (as asked for after one that was spoilt), the watch from the last
/// good version goes on meanwhile at its own pace, so changes that follow that version are still heard in the ordinary term.
/// Where the answer to the watch itself was too large, nothing can be heard without reading it anew, so nothing is promised
/// of changes before the pause is over.
pub struct Follower {
    wire: Wire,
    rhythm: Rhythm,
    /// Endpoints that a list may bring.
    listed: usize,
    exchange: Rc<Exchange>,
    /// From which version on the next call watches; without one it asks for the whole list.
    from: Option<u64>,
    /// The version in force, where this discovery told it.
    good: Option<u64>,
    /// When the whole list, which was too large, is asked for again.
    whole_at: Option<Instant>,
    /// What the last line of the log told of: one for an outage, not one for each try.
    told: Option<io::ErrorKind>,
    /// The log has told of a list that is too large, and it still is.
    told_too_large: bool,
}

impl Follower {
    /// Begins after a version. `listed` is how many endpoints a list may bring.
    pub fn new(place: Place, version: u64, rhythm: Rhythm, listed: usize, exchange: Rc<Exchange>) -> Self {
        Follower {
            wire: Wire { place, stream: None, connect: rhythm.call() },
            rhythm,
            listed,
            exchange,
            from: Some(version),
            good: Some(version),
            whole_at: None,
            told: None,
            told_too_large: false,
        }
    }

    /// Asks again and again. `heard` is told when the first call has come to its end, with a list or without.
    pub async fn follow(mut self, heard: oneshot::Sender<()>) {
        let mut heard = Some(heard);
        loop {
            if self.whole_at.is_some_and(|at| at <= Instant::now()) {
                self.from = None;
            }
            let start = Instant::now();
            let asked = self.ask().await;
            heard.take().map(|heard| heard.send(()));
            match asked {
                Ok(News::Some) => {}
                Ok(News::None) => {
                    // One that ends at once is opened again after a pause all the same: well within the time in which it goes on.
                    let pause = rhythm::LEAST.saturating_sub(start.elapsed());
                    self.pause(pause).await;
                }
                Err(fault) => self.fail(fault).await,
            }
        }
    }

    /// One call; a list that it brings is in force then. Tells whether it brought anything.
    async fn ask(&mut self) -> Result<News, NoList> {
        let (path, within) = self.call();
        let call = http::get(&self.wire.address().to_string(), &path);
        let most = self.listed.saturating_mul(MOST_ENTRY);
        let limits = Limits { within, least_rate: Some(LEAST_RATE), most };
        let exchange = self.exchange.clone();
        let staged = exchange.stage(self.listed);
        let mut intake = Intake { exchange: &exchange, reader: ListReader::default(), staged, other: 0 };
        let reply = self.wire.call(&call, limits, &mut intake).await?;
        let status = reply.head.map_or(0, |head| head.status);
        if status != 200 {
            return Err(NoList::TurnedAway(status));
        }
        let list = intake.reader.finish()?;
        no_older(&list, self.from)?;
        exchange.fits(&intake.staged, list.whole)?;
        // Also when nothing changed: what left the list long ago is forgotten on such news.
        exchange.commit(intake.staged, list.whole).await;
        let news = if list.read > 0 { News::Some } else { News::None };
        if list.whole || news == News::Some {
            log::info!("discovery: version {}, {} entries", list.version, list.read);
        }
        self.is_in_force(&list);
        Ok(news)
    }

    /// What the next call asks for, and how long its answer is waited for.
    fn call(&self) -> (String, Duration) {
        let Some(from) = self.from else { return (discovery::WHOLE.to_owned(), self.rhythm.call()) };
        let (hold, within) = self.rhythm.watch();
        let left = self.whole_at.map(|at| at.saturating_duration_since(Instant::now()));
        let shorter = left.map_or(hold, |left| left.min(hold));
        (discovery::watch(from, shorter), within - (hold - shorter))
    }

    fn is_in_force(&mut self, list: &Summary) {
        let asked_whole = self.from.is_none();
        self.good = Some(list.version);
        self.from = self.good;
        self.told = None;
        self.rhythm.over();
        if self.whole_at.is_none() || list.whole || asked_whole {
            self.whole_at = None;
            self.told_too_large = false;
            self.rhythm.fits();
        }
    }

    /// Sees to what is asked next after a call without a list, and when.
    async fn fail(&mut self, fault: NoList) {
        match fault {
            NoList::Moved => self.forget(),
            NoList::TooLarge => self.refuse().await,
            NoList::Lost(_) => self.rest(&fault, Failure::Lost).await,
            NoList::TurnedAway(_) => self.rest(&fault, Failure::TurnedAway).await,
            NoList::Spoilt(_) => {
                // It counts for nothing: the whole is asked for, unless that is known to be too large.
                self.from = self.good.filter(|_| self.whole_at.is_some());
                self.rest(&fault, Failure::Lost).await;
            }
        }
    }

    async fn rest(&mut self, fault: &NoList, failure: Failure) {
        let kind = match fault {
            NoList::Lost(fault) => fault.kind(),
            NoList::Spoilt(_) => io::ErrorKind::InvalidData,
            _ => io::ErrorKind::Other,
        };
        if self.told.replace(kind) != Some(kind) {
            log::warn!("discovery: code=no_list {fault}");
        }
        let pause = self.rhythm.pause(failure);
        self.pause(pause).await;
    }

    async fn refuse(&mut self) {
        let pause = self.rhythm.refused();
        if !std::mem::replace(&mut self.told_too_large, true) {
            let most = self.listed;
            log::warn!(
                "discovery: code=list_too_large more than {most} endpoints or {MOST_ENTRY} bytes for each"
            );
        }
        log::debug!("discovery: what was too large is asked for again in {pause:?}");
        if self.from.is_none() && self.good.is_some() {
            self.from = self.good;
            self.whole_at = Some(Instant::now() + pause);
        } else {
            self.pause(pause).await;
        }
    }

    async fn pause(&mut self, pause: Duration) {
        if self.wire.moves_within(pause).await {
            self.forget();
        }
    }

    /// Discovery is elsewhere, and may count otherwise: its whole list is read.
    fn forget(&mut self) {
        self.from = None;
        self.good = None;
        self.whole_at = None;
    }
}

/// Guards against a list of long ago, as of a discovery that fell behind. One that is so also when asked for the whole
/// counts anew, and is taken.
fn no_older(list: &Summary, held: Option<u64>) -> Result<(), NoList> {
    match held {
        Some(held) if list.version < held => {
            Err(NoList::Spoilt(format!("version {}, older than {held}", list.version)))
        }
        _ => Ok(()),
    }
}
