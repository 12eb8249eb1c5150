//! The clients: each packet is submitted at its scheduled time, whether or not earlier ones have been
//! answered, and the latency of its reply is measured from that time.

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
use super::protocol::submit_command;
use super::shared_state::SharedState;
use crate::experiment::choose_by_key;
use crate::plan::{PlannedPacketId, ScheduledTrouble, SenderId, seeded_rng};
use crate::results::tally::Counter;
use crate::watcher::{CompletionKind, Observation};

/// How long a client waits for a connection, and then for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a client waits after a failed attempt before it chooses a sender again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// A sender must answer malformed input with an error, or close the connection, within this time.
const MALFORMED_INPUT_TIMEOUT: Duration = Duration::from_secs(3);
/// A longer reply is an error.
const MAX_REPLY_BYTES: usize = 512;

/// All clients of a run.
pub struct Clients {
    shared: Rc<SharedState>,
    processes: Rc<SenderProcesses>,
    idle_connections: RefCell<HashMap<SenderId, Vec<TcpStream>>>,
    rng: RefCell<ChaCha8Rng>,
}

/// A sender's reply to a submission.
enum Reply {
    Accepted,
    /// Dismissed, with the wait that the sender requests before a resubmission.
    Dismissed(Duration),
    /// An error reply other than `-BUSY`.
    Error,
}

impl Clients {
    pub fn new(shared: &Rc<SharedState>, processes: &Rc<SenderProcesses>) -> Rc<Clients> {
        let rng = RefCell::new(seeded_rng(shared.plan.seed, 6));
        Rc::new(Clients {
            shared: shared.clone(),
            processes: processes.clone(),
            idle_connections: RefCell::default(),
            rng,
        })
    }

    /// Submits every packet of the plan at its time.
    pub async fn submit_all(self: Rc<Self>) {
        let clients = self.clone();
        spawn_local(async move { clients.resubmit_dismissed().await });
        for (number, planned) in self.shared.plan.planned_packets.iter().enumerate() {
            if planned.at > self.shared.now() {
                sleep_until(self.shared.instant(planned.at)).await;
            }
            spawn_local(self.clone().submit(PlannedPacketId(number), 0, planned.at));
        }
    }

    /// Submits dismissed packets again when their delay has passed.
    async fn resubmit_dismissed(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(20)).await;
            let now = self.shared.now();
            let due = {
                let mut pending_resubmissions = self.shared.pending_resubmissions.borrow_mut();
                let (due, later): (Vec<_>, Vec<_>) =
                    pending_resubmissions.drain(..).partition(|(_, _, at)| *at <= now);
                *pending_resubmissions = later;
                due
            };
            for (planned_packet, resubmissions, at) in due {
                spawn_local(self.clone().submit(planned_packet, resubmissions, at));
            }
        }
    }

    /// Chooses among the senders that accept packets. Packets with a key go to the sender that the key
    /// selects, so that one sender gets all packets of a key while it runs; others go to a random one.
    fn choose_sender(&self, planned_packet: PlannedPacketId) -> Option<SenderId> {
        let accepting = self.processes.accepting();
        match self.shared.plan.planned_packets[planned_packet.0].key {
            Some(key) => choose_by_key(key, &accepting),
            None => accepting.choose(&mut *self.rng.borrow_mut()).copied(),
        }
    }

    /// Submits a packet until a sender replies or its deadline has passed. `scheduled_at` is the start of the
    /// latency.
    async fn submit(
        self: Rc<Self>,
        planned_packet: PlannedPacketId,
        resubmissions: u32,
        scheduled_at: Duration,
    ) {
        let plan = &self.shared.plan;
        let planned = &plan.planned_packets[planned_packet.0];
        let deadline = planned.at + plan.category(planned.category).patience;
        loop {
            let now = self.shared.now();
            if now >= deadline {
                return;
            }
            let Some(sender) = self.choose_sender(planned_packet) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let Some((mut stream, is_new)) = self.connection(sender).await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let packet = self.shared.record_submission(planned_packet, sender, resubmissions);
            let command = submit_command(plan, planned_packet, packet.0, deadline - now);
            let reply = match send_command(&mut stream, &command).await {
                Err(_) if !is_new => self.resend(sender, &mut stream, &command).await,
                reply => reply,
            };
            let Ok(reply) = reply else {
                self.shared.record_abandonment(packet);
                sleep(RETRY_DELAY).await;
                continue;
            };
            let measured_from = if resubmissions == 0 { planned.at } else { scheduled_at };
            self.shared.tally.borrow_mut().record_answer(self.shared.now().saturating_sub(measured_from));
            self.handle_reply(packet, reply);
            self.idle_connections.borrow_mut().entry(sender).or_default().push(stream);
            return;
        }
    }

    /// Sends a command again on a new connection, after a pooled one was closed between two commands. The new
    /// connection replaces the pooled one.
    async fn resend(&self, sender: SenderId, pooled: &mut TcpStream, command: &[u8]) -> io::Result<Reply> {
        let mut new = TcpStream::connect(self.processes.address(sender)).await?;
        let reply = send_command(&mut new, command).await;
        *pooled = new;
        reply
    }

    fn handle_reply(&self, packet: PacketId, reply: Reply) {
        match reply {
            Reply::Accepted => self.shared.record_acceptance(packet),
            Reply::Dismissed(wait) => self.shared.record_completion(packet, CompletionKind::Dismissed, wait),
            Reply::Error => {
                log::warn!("packet {}: code=error_answer", packet.0);
                self.shared.observe(Observation::Completed(packet, CompletionKind::Dismissed));
                self.shared.record_abandonment(packet);
            }
        }
    }

    /// A pooled connection or a new one, and whether it is new.
    async fn connection(&self, sender: SenderId) -> Option<(TcpStream, bool)> {
        let pooled = self.idle_connections.borrow_mut().get_mut(&sender).and_then(Vec::pop);
        if let Some(pooled) = pooled {
            return Some((pooled, false));
        }
        let new =
            timeout(REPLY_TIMEOUT, TcpStream::connect(self.processes.address(sender))).await.ok()?.ok()?;
        new.set_nodelay(true).ok()?;
        Some((new, true))
    }
}

/// Sends one command and reads the reply.
///
/// # Errors
/// The error of the connection, `InvalidData` if the reply is too long, `TimedOut` after [`REPLY_TIMEOUT`].
async fn send_command(stream: &mut TcpStream, command: &[u8]) -> io::Result<Reply> {
    let exchange = async {
        stream.write_all(command).await?;
        let mut reply = Vec::new();
        while !reply.ends_with(b"\r\n") {
            if reply.len() > MAX_REPLY_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if stream.read_buf(&mut reply).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let text = String::from_utf8_lossy(&reply);
        let words: Vec<&str> = text.split_whitespace().collect();
        Ok(match words.as_slice() {
            ["-BUSY"] => Reply::Dismissed(Duration::ZERO),
            ["-BUSY", ms] => Reply::Dismissed(Duration::from_millis(ms.parse().unwrap_or(0))),
            [first, ..] if first.starts_with('-') => Reply::Error,
            _ => Reply::Accepted,
        })
    };
    timeout(REPLY_TIMEOUT, exchange).await?
}

/// One of six kinds of malformed input, in rotation.
fn malformed_input(index: usize, rng: &mut ChaCha8Rng) -> Vec<u8> {
    match index % 6 {
        0 => (0..200).map(|_| rng.random()).collect(),
        1 => b"*5\r\n$7\r\nMSG.PUT\r\n$-9\r\n".to_vec(),
        2 => b"*1000000000\r\n".to_vec(),
        3 => b"*5\r\n$7\r\nMSG.PUT\r\n$3000000000\r\n".to_vec(),
        4 => b"GET / HTTP/1.1\r\nHost: somewhere\r\n\r\n".to_vec(),
        _ => b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n00000000".to_vec(), // the rest of the command is never sent
    }
}

/// Sends malformed input at the rate that the trouble sets, each on a new connection, and counts the
/// connections that get neither an error nor a close within [`MALFORMED_INPUT_TIMEOUT`].
pub async fn send_malformed_input(
    shared: Rc<SharedState>,
    processes: Rc<SenderProcesses>,
    scheduled: ScheduledTrouble,
) {
    sleep_until(shared.instant(scheduled.from)).await;
    let interval = Duration::from_secs(1) / scheduled.trouble.count.unwrap_or(10).max(1) as u32;
    let mut rng = seeded_rng(shared.plan.seed, 7);
    let mut index = 0;
    while shared.now() < scheduled.until {
        let input = malformed_input(index, &mut rng);
        let sender = scheduled.senders[index % scheduled.senders.len()];
        let (shared, address) = (shared.clone(), processes.address(sender));
        spawn_local(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else { return };
            if stream.write_all(&input).await.is_err() {
                return;
            }
            let mut reply = [0u8; 256];
            if timeout(MALFORMED_INPUT_TIMEOUT, stream.read(&mut reply)).await.is_err() {
                shared.tally.borrow_mut().increment(Counter::UnansweredClients);
            }
        });
        index += 1;
        sleep(interval).await;
    }
}
