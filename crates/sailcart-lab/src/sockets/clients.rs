//! Clients: each packet is handed in at its intended moment, whatever became of those before it, and its answer is
//! timed from that moment.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use sailcart::PacketId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::process::SenderProcesses;
use super::protocol::put;
use super::shared::SharedState;
use crate::experiment::choose_by_key;
use crate::plan::{OriginId, SenderId, Struck, chance};
use crate::results::tally::Count;
use crate::watcher::{End, Seen};

/// How long a client waits for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// How long it stays away from a sender that could not be reached.
const ELSEWHERE: Duration = Duration::from_millis(50);
/// An error or a close must come within this to what cannot be read.
const RUDE: Duration = Duration::from_secs(3);
/// Answers are short.
const MOST_ANSWER: usize = 512;

pub struct Clients {
    shared: Rc<SharedState>,
    processes: Rc<SenderProcesses>,
    idle: RefCell<HashMap<SenderId, Vec<TcpStream>>>,
    rng: RefCell<ChaCha8Rng>,
}

/// What a client heard.
enum Heard {
    Taken,
    Dismissed(Duration),
    /// An answer that is neither.
    Error,
}

impl Clients {
    pub fn new(shared: &Rc<SharedState>, processes: &Rc<SenderProcesses>) -> Rc<Clients> {
        let rng = RefCell::new(chance(shared.plan.seed, 6));
        Rc::new(Clients {
            shared: shared.clone(),
            processes: processes.clone(),
            idle: RefCell::default(),
            rng,
        })
    }

    pub async fn hand_all_in(self: Rc<Self>) {
        let again = self.clone();
        spawn_local(async move { again.again().await });
        for (number, origin) in self.shared.plan.origins.iter().enumerate() {
            if origin.at > self.shared.now() {
                sleep_until(self.shared.instant(origin.at)).await;
            }
            spawn_local(self.clone().hand_in(OriginId(number), 0, origin.at));
        }
    }

    /// Those whose packets were dismissed come again.
    async fn again(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(20)).await;
            let now = self.shared.now();
            let due = {
                let mut all = self.shared.again.borrow_mut();
                let (due, later): (Vec<_>, Vec<_>) = all.drain(..).partition(|(_, _, at)| *at <= now);
                *all = later;
                due
            };
            for (origin, tries, at) in due {
                spawn_local(self.clone().hand_in(origin, tries, at));
            }
        }
    }

    /// By key where it has one, so that one sender gets all of a key while it runs; else any.
    fn choose(&self, id: OriginId) -> Option<SenderId> {
        let up = self.processes.taking();
        match self.shared.plan.origins[id.0].key {
            Some(key) => choose_by_key(key, &up),
            None => up.choose(&mut *self.rng.borrow_mut()).copied(),
        }
    }

    async fn hand_in(self: Rc<Self>, origin: OriginId, tries: u32, intended: Duration) {
        let plan = &self.shared.plan;
        let wanted = &plan.origins[origin.0];
        let ends = wanted.at + plan.category(wanted.category).patience;
        loop {
            let now = self.shared.now();
            if now >= ends {
                return;
            }
            let Some(sender) = self.choose(origin) else {
                sleep(ELSEWHERE).await;
                continue;
            };
            let Some((mut stream, fresh)) = self.connection(sender).await else {
                sleep(ELSEWHERE).await;
                continue;
            };
            let packet = self.shared.hand(origin, sender, tries);
            let bytes = put(plan, origin, packet.0, ends - now);
            let said = match say(&mut stream, &bytes).await {
                Err(_) if !fresh => self.say_again(sender, &mut stream, &bytes).await,
                said => said,
            };
            let Ok(heard) = said else {
                self.shared.abandoned(packet);
                sleep(ELSEWHERE).await;
                continue;
            };
            let from = if tries == 0 { wanted.at } else { intended };
            self.shared.tally.borrow_mut().answered(self.shared.now().saturating_sub(from));
            self.hear(packet, heard);
            self.idle.borrow_mut().entry(sender).or_default().push(stream);
            return;
        }
    }

    /// A kept connection was closed between two commands: once more on a new one, which takes its place.
    async fn say_again(&self, sender: SenderId, kept: &mut TcpStream, bytes: &[u8]) -> io::Result<Heard> {
        let mut new = TcpStream::connect(self.processes.address(sender)).await?;
        let said = say(&mut new, bytes).await;
        *kept = new;
        said
    }

    fn hear(&self, packet: PacketId, heard: Heard) {
        match heard {
            Heard::Taken => self.shared.taken(packet),
            Heard::Dismissed(wait) => self.shared.ended(packet, End::Dismissed, wait),
            Heard::Error => {
                log::warn!("packet {}: code=error_answer", packet.0);
                self.shared.see(Seen::Ended(packet, End::Dismissed));
                self.shared.abandoned(packet);
            }
        }
    }

    /// A kept connection, or a new one; whether it is new.
    async fn connection(&self, sender: SenderId) -> Option<(TcpStream, bool)> {
        let kept = self.idle.borrow_mut().get_mut(&sender).and_then(Vec::pop);
        if let Some(kept) = kept {
            return Some((kept, false));
        }
        let new = timeout(PATIENCE, TcpStream::connect(self.processes.address(sender))).await.ok()?.ok()?;
        new.set_nodelay(true).ok()?;
        Some((new, true))
    }
}

/// One command and its answer.
async fn say(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Heard> {
    let turn = async {
        stream.write_all(bytes).await?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n") {
            if answer.len() > MOST_ANSWER {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if stream.read_buf(&mut answer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let line = String::from_utf8_lossy(&answer);
        let words: Vec<&str> = line.split_whitespace().collect();
        Ok(match words.as_slice() {
            ["-BUSY"] => Heard::Dismissed(Duration::ZERO),
            ["-BUSY", ms] => Heard::Dismissed(Duration::from_millis(ms.parse().unwrap_or(0))),
            [first, ..] if first.starts_with('-') => Heard::Error,
            _ => Heard::Taken,
        })
    };
    timeout(PATIENCE, turn).await?
}

/// What cannot be read, in turn.
fn garbage(nth: usize, rng: &mut ChaCha8Rng) -> Vec<u8> {
    match nth % 6 {
        0 => (0..200).map(|_| rng.random()).collect(),
        1 => b"*5\r\n$7\r\nMSG.PUT\r\n$-9\r\n".to_vec(),
        2 => b"*1000000000\r\n".to_vec(),
        3 => b"*5\r\n$7\r\nMSG.PUT\r\n$3000000000\r\n".to_vec(),
        4 => b"GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n".to_vec(),
        _ => b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n00000000".to_vec(), // and then nothing more
    }
}

/// Clients that send what cannot be read, so many a second; each must hear an error or a close within three
/// seconds.
pub async fn rude(shared: Rc<SharedState>, processes: Rc<SenderProcesses>, struck: Struck) {
    sleep_until(shared.instant(struck.from)).await;
    let gap = Duration::from_secs(1) / struck.trouble.count.unwrap_or(10).max(1) as u32;
    let mut rng = chance(shared.plan.seed, 7);
    let mut nth = 0;
    while shared.now() < struck.until {
        let bytes = garbage(nth, &mut rng);
        let sender = struck.senders[nth % struck.senders.len()];
        let (shared, address) = (shared.clone(), processes.address(sender));
        spawn_local(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
            let mut answer = [0u8; 256];
            if timeout(RUDE, stream.read(&mut answer)).await.is_err() {
                shared.tally.borrow_mut().count(Count::Ignored);
            }
        });
        nth += 1;
        sleep(gap).await;
    }
}
