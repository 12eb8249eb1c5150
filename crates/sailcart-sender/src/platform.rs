//! The platform's side: discovery is watched without gaps, and notices are told until they are acknowledged.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sailcart::PacketId;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::caller::{self, Reply};
use crate::exchange::Exchange;
use crate::memory::Notice;
use crate::rhythm::{self, Failure, Rhythm};
use crate::wire::{MOST_BODY, discovery, http, notice};

/// How long what was not taken is kept before it is told again.
const PAUSE: Duration = Duration::from_millis(50);

/// Where the platform is: a reload may move it.
pub type Place = watch::Receiver<SocketAddr>;

/// A connection to the platform, opened when there is something to say.
struct Wire {
    place: Place,
    stream: Option<TcpStream>,
    /// How long a connection may take to come up, whatever a call on it may wait for.
    connect: Duration,
}

impl Wire {
    fn address(&self) -> SocketAddr {
        *self.place.borrow()
    }

    /// One call and its answer. Guards against waiting at an address that has been left: what is out there ends
    /// at once, as interrupted, and the next call goes to the new one.
    async fn call(&mut self, bytes: &[u8], within: Duration, most: usize) -> io::Result<Reply> {
        let (mut place, left) = (self.place.clone(), self.address());
        tokio::select! {
            biased;
            Ok(()) = place.changed() => {
                self.leave(left);
                Err(io::ErrorKind::Interrupted.into())
            }
            reply = self.turn(bytes, within, most) => reply,
        }
    }

    /// A pause before the next call; true, and at once, where the platform moves meanwhile.
    async fn moves_within(&mut self, pause: Duration) -> bool {
        let left = self.address();
        tokio::select! {
            () = sleep(pause) => return false,
            Ok(()) = self.place.changed() => {}
        }
        self.leave(left);
        true
    }

    fn leave(&mut self, left: SocketAddr) {
        self.place.mark_unchanged();
        self.stream = None;
        log::info!("platform {left}: connection ended, code=moved");
    }

    /// One call and its answer within a time, its connection included. One on which it did not come whole is closed.
    async fn turn(&mut self, bytes: &[u8], within: Duration, most: usize) -> io::Result<Reply> {
        let mut reply = Reply::default();
        let (kept, address, connect) = (self.stream.take(), self.address(), self.connect);
        let turn = async {
            let mut stream = match kept {
                Some(stream) => stream,
                None => timeout(connect, TcpStream::connect(address)).await??,
            };
            stream.set_nodelay(true)?;
            stream.write_all(bytes).await?;
            caller::read(&mut stream, most, within, &mut reply).await.map(|()| stream)
        };
        let stream = timeout(within, turn).await??;
        if reply.keeps() {
            self.stream = Some(stream);
        } else {
            log::info!("platform {}: connection ended, code=answer_closes", self.address());
        }
        Ok(reply)
    }
}

/// Follows the destination list from a version on. One that moved may count otherwise: its whole list is read. `heard` is told
/// when the first call has come to its end, with a list or without.
pub async fn follow(
    place: Place,
    version: u64,
    mut rhythm: Rhythm,
    heard: oneshot::Sender<()>,
    exchange: Rc<Exchange>,
) {
    let mut wire = Wire { place, stream: None, connect: rhythm.call() };
    let mut version = Some(version);
    let mut heard = Some(heard);
    let mut told = None; // one line for an outage, not one for each try
    loop {
        let (hold, within) = rhythm.watch();
        let (path, within) = match version {
            Some(version) => (discovery::watch(version, hold), within),
            None => (discovery::WHOLE.to_owned(), rhythm.call()),
        };
        let call = http::get(&wire.address().to_string(), &path);
        let reply = wire.call(&call, within, discovery::MOST_LIST).await.and_then(understand);
        let came = reply.and_then(|list| no_older(list, version));
        let fault = match came {
            Ok(list) => {
                if list.whole || !list.entries.is_empty() {
                    log::info!("discovery: version {}, {} entries", list.version, list.entries.len());
                }
                // Also when nothing changed: what left the list long ago is forgotten on such news.
                exchange.list(&list);
                (version, told) = (Some(list.version), None);
                rhythm.over();
                None
            }
            Err(fault) => Some(fault),
        };
        heard.take().map(|heard| heard.send(()));
        let Some(fault) = fault else { continue };
        if fault.kind() == io::ErrorKind::Interrupted {
            version = None;
            continue;
        }
        if told.replace(fault.kind()) != Some(fault.kind()) {
            log::warn!("discovery: code=no_list {fault}");
        }
        // An answer without a list comes from a discovery that has too much to do.
        let turned_away = fault.kind() == io::ErrorKind::Other;
        let pause = rhythm.pause(if turned_away { Failure::TurnedAway } else { Failure::Lost });
        // A list that cannot be, or discovery elsewhere, counts for nothing: the whole is asked for.
        if wire.moves_within(pause).await || fault.kind() == io::ErrorKind::InvalidData {
            version = None;
        }
    }
}

fn understand(reply: Reply) -> io::Result<discovery::List> {
    let status = reply.head.map_or(0, |head| head.status);
    if status != 200 {
        return Err(io::Error::other(format!("answer {status}")));
    }
    discovery::read(&reply.body).map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault.0))
}

/// Guards against a list of long ago, as of a discovery that fell behind. One that is so also when asked for the whole
/// counts anew, and is taken.
fn no_older(list: discovery::List, held: Option<u64>) -> io::Result<discovery::List> {
    match held {
        Some(held) if list.version < held => {
            let words = format!("version {}, older than {held}", list.version);
            Err(io::Error::new(io::ErrorKind::InvalidData, words))
        }
        _ => Ok(list),
    }
}

/// Tells what notices are owed, again and again until the platform has them.
pub async fn notify(place: Place, exchange: Rc<Exchange>) {
    let mut wire = Wire { place, stream: None, connect: Duration::MAX };
    let mut told = None; // as above
    let mut lost = 0; // calls in a row without an answer
    loop {
        let (ids, body) = exchange.owed(lines);
        if ids.is_empty() {
            exchange.notices.notified().await;
            continue;
        }
        let call = http::post(&wire.address().to_string(), notice::PATH, "", body.as_bytes());
        let reply = wire.call(&call, rhythm::notice(lost), MOST_BODY).await;
        lost = if reply.is_ok() { 0 } else { lost + 1 };
        match reply.map(|reply| reply.head.map_or(0, |head| head.status)) {
            Ok(204) => {
                told = None;
                exchange.told(&ids);
            }
            Ok(400) => {
                log::error!("notices: code=unreadable {} dropped: {}", ids.len(), body.trim_end());
                exchange.told(&ids);
            }
            Ok(status) => {
                log::warn!("notices: code=answer_{status}");
                sleep(PAUSE).await;
            }
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => {}
            Err(fault) => {
                if told.replace(fault.kind()) != Some(fault.kind()) {
                    log::warn!("notices: code=not_told {fault}");
                }
                sleep(PAUSE).await;
            }
        }
    }
}

/// Without a platform, what would be a notice is a line of the log.
pub async fn note(exchange: Rc<Exchange>) {
    loop {
        let ended = exchange
            .owed(|owed| owed.map(|(number, id, end)| (number, id.to_owned(), end)).collect::<Vec<_>>());
        for (_, id, end) in &ended {
            match end {
                Notice::Dismissed(_) => log::info!("packet {id}: ended, code=dismissed"),
                Notice::Scrapped => log::info!("packet {id}: ended, code=scrapped"),
            }
        }
        let numbers: Vec<PacketId> = ended.into_iter().map(|(number, ..)| number).collect();
        exchange.told(&numbers);
        exchange.notices.notified().await;
    }
}

/// As many lines as one body holds.
fn lines(owed: &mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> (Vec<PacketId>, String) {
    let (mut ids, mut body) = (Vec::new(), String::new());
    for (number, id, owed) in owed {
        let line = match owed {
            Notice::Dismissed(wait) => notice::dismissed(id, wait),
            Notice::Scrapped => notice::scrapped(id),
        };
        if body.len() + line.len() > MOST_BODY {
            break;
        }
        body.push_str(&line);
        ids.push(number);
    }
    (ids, body)
}
