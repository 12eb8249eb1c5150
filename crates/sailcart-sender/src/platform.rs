//! The platform's side: discovery is watched without gaps, and notices are told until they are acknowledged.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sailcart::PacketId;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::caller::{self, Reply};
use crate::exchange::Exchange;
use crate::memory::Notice;
use crate::pauses::Pauses;
use crate::wire::{MOST_BODY, discovery, http, notice};

/// How long one call of a watch waits: the protocol's own example. Each call costs discovery work, whatever it has to tell.
const HOLD: Duration = Duration::from_secs(20);
/// One that discovery turned away comes again within this, then within twice as long, and so on. It answers so after two
/// seconds in its queue, and may need some more for one call of each sender: who comes sooner keeps that queue full.
const BUSY: Duration = Duration::from_secs(4);
/// How long an answer that is due at once may take.
const ANSWER: Duration = Duration::from_secs(1);
/// The least pause before a call is made again. Those for the list grow from it.
const PAUSE: Duration = Duration::from_millis(50);

/// Where the platform is: a reload may move it.
pub type Place = watch::Receiver<SocketAddr>;

/// A connection to the platform, opened when there is something to say.
struct Wire {
    place: Place,
    stream: Option<TcpStream>,
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

    /// One call and its answer within a time. A connection on which it did not come whole is closed.
    async fn turn(&mut self, bytes: &[u8], within: Duration, most: usize) -> io::Result<Reply> {
        let mut reply = Reply::default();
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => timeout(ANSWER, TcpStream::connect(self.address())).await??,
        };
        let turn = async {
            stream.write_all(bytes).await?;
            caller::read(&mut stream, most, ANSWER, &mut reply).await
        };
        timeout(within, turn).await??;
        if reply.keeps() {
            self.stream = Some(stream);
        } else {
            log::info!("platform {}: connection ended, code=answer_closes", self.address());
        }
        Ok(reply)
    }
}

/// Follows the destination list from a version on. One that moved may count otherwise: its whole list is read.
pub async fn follow(place: Place, version: u64, seed: u64, exchange: Rc<Exchange>) {
    let mut pauses = Pauses::new(seed, PAUSE, HOLD * 2);
    let mut wire = Wire { place, stream: None };
    let mut version = Some(version);
    let mut told = None; // one line for an outage, not one for each try
    loop {
        let path = version.map_or(discovery::WHOLE.to_owned(), |version| discovery::watch(version, HOLD));
        let call = http::get(&wire.address().to_string(), &path);
        let reply = wire.call(&call, HOLD + ANSWER, discovery::MOST_LIST).await.and_then(understand);
        match reply.and_then(|list| no_older(list, version)) {
            Ok(list) => {
                if list.whole || !list.entries.is_empty() {
                    log::info!("discovery: version {}, {} entries", list.version, list.entries.len());
                }
                // Also when nothing changed: what left the list long ago is forgotten on such news.
                exchange.list(&list);
                (version, told) = (Some(list.version), None);
                pauses.over();
            }
            Err(fault) if fault.kind() == io::ErrorKind::Interrupted => version = None,
            Err(fault) => {
                if told.replace(fault.kind()) != Some(fault.kind()) {
                    log::warn!("discovery: code=no_list {fault}");
                }
                // An answer without a list comes from a discovery that has too much to do.
                let turned_away = fault.kind() == io::ErrorKind::Other;
                let pause = pauses.next(if turned_away { BUSY } else { PAUSE });
                // A list that cannot be, or discovery elsewhere, counts for nothing: the whole is asked for.
                if wire.moves_within(pause).await || fault.kind() == io::ErrorKind::InvalidData {
                    version = None;
                }
            }
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
    let mut wire = Wire { place, stream: None };
    let mut told = None; // as above
    loop {
        let (ids, body) = exchange.owed(lines);
        if ids.is_empty() {
            exchange.notices.notified().await;
            continue;
        }
        let call = http::post(&wire.address().to_string(), notice::PATH, "", body.as_bytes());
        let reply = wire.call(&call, ANSWER, MOST_BODY).await;
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
