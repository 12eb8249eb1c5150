//! Discovery and the receiver of notices, one agent for each sender: it tells what has reached it by then.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sailcart::EndpointId;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::http::{Call, Inbox, answer, bare};
use super::protocol::entry;
use super::shared::SharedState;
use crate::experiment::TroubleKind;
use crate::plan::{Change, SenderId, Standing};
use crate::watcher::{End, Seen};

/// A sender waits for news so long at most, in milliseconds.
const LONGEST_HOLD_MS: u64 = 60_000;

struct Agent {
    shared: Rc<SharedState>,
    sender: SenderId,
    /// When each change reaches this agent, in that order; the list has version 1 before the first.
    news: Vec<(Duration, Change)>,
    addresses: Rc<[SocketAddr]>,
}

/// An agent for each sender. `addresses` has one list for each, or one for all.
pub async fn open(shared: &Rc<SharedState>, addresses: &[Rc<[SocketAddr]>]) -> io::Result<Vec<SocketAddr>> {
    let mut all = Vec::new();
    for sender in 0..shared.plan.experiment.senders.count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let own = &addresses[sender % addresses.len()];
        all.push(listen(shared, own, SenderId(sender), listener)?);
    }
    Ok(all)
}

/// One agent at a chosen address.
pub async fn open_at(
    shared: &Rc<SharedState>,
    addresses: &Rc<[SocketAddr]>,
    at: SocketAddr,
) -> io::Result<SocketAddr> {
    listen(shared, addresses, SenderId(0), TcpListener::bind(at).await?)
}

fn listen(
    shared: &Rc<SharedState>,
    addresses: &Rc<[SocketAddr]>,
    sender: SenderId,
    listener: TcpListener,
) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let mut news: Vec<(Duration, Change)> =
        shared.plan.changes.iter().map(|change| (shared.plan.told_at(change, sender), *change)).collect();
    news.sort_by_key(|(at, change)| (*at, change.at, change.endpoint));
    let agent = Rc::new(Agent { shared: shared.clone(), sender, news, addresses: addresses.clone() });
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(agent.clone().converse(stream))),
                Err(fault) => log::warn!("discovery: code=no_accept {fault}"),
            }
        }
    });
    Ok(address)
}

impl Agent {
    async fn converse(self: Rc<Self>, mut stream: TcpStream) {
        let mut inbox = Inbox::default();
        loop {
            let reply = match inbox.call(&mut stream).await {
                Ok(Some(call)) if call.method == "POST" => self.notices(&call),
                Ok(Some(call)) => self.list(&call).await,
                _ => return,
            };
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
    }

    fn notices(&self, call: &Call) -> Vec<u8> {
        let text = String::from_utf8_lossy(&call.body);
        let lines: Option<Vec<_>> = text.lines().map(|line| self.notice(line)).collect();
        let Some(lines) = lines else { return answer("400 Bad Request", "", "") };
        for (packet, end, wait) in lines {
            self.shared.ended(packet, end, wait);
        }
        bare("204 No Content")
    }

    fn notice(&self, line: &str) -> Option<(sailcart::PacketId, End, Duration)> {
        let notice: Value = serde_json::from_str(line).ok()?;
        let packet = self.shared.known(notice.get("message")?.as_str()?)?;
        let end = match notice.get("outcome")?.as_str()? {
            "given_up" => End::Scrapped,
            "handed_back" => End::Dismissed,
            _ => return None,
        };
        let wait = notice.get("retry_in_ms").and_then(Value::as_f64).unwrap_or(0.0);
        Some((packet, end, Duration::from_secs_f64(wait.clamp(0.0, 3.6e6) / 1000.0)))
    }

    /// How many changes have come to this agent.
    fn reached(&self, now: Duration) -> usize {
        self.news.iter().take_while(|(at, _)| *at <= now).count()
    }

    /// It says nothing while discovery is down.
    async fn while_silent(&self) {
        let silent = self.shared.plan.struck.iter().find(|struck| {
            let here =
                struck.trouble.kind == TroubleKind::ListSilent && struck.senders.contains(&self.sender);
            here && struck.stands(self.shared.now())
        });
        if let Some(silent) = silent {
            sleep_until(self.shared.instant(silent.until)).await;
        }
    }

    async fn list(&self, call: &Call) -> Vec<u8> {
        self.while_silent().await;
        let from = query(call, "from=").filter(|from| (1..=self.news.len() as u64 + 1).contains(from));
        let hold = Duration::from_millis(query(call, "hold_ms=").unwrap_or(0).min(LONGEST_HOLD_MS));
        self.next_news(from, Instant::now() + hold).await;
        let reached = self.reached(self.shared.now());
        let mut lines = self.lines(from, reached);
        for (endpoint, standing) in &lines {
            self.shared.see(match standing {
                Standing::Ready => Seen::ToldOn(self.sender, *endpoint),
                _ => Seen::ToldOff(self.sender, *endpoint),
            });
        }
        if from.is_none() {
            lines.retain(|(_, standing)| *standing != Standing::Gone);
        }
        let entries: Vec<Value> =
            lines.iter().map(|(e, s)| entry(&self.shared.plan, *e, *s, &self.addresses)).collect();
        let list = json!({"generation": reached + 1, "reset": from.is_none(), "instances": entries});
        answer("200 OK", "", &list.to_string())
    }

    /// Sleeps until the next change that this sender has not, or as long as it asked; not where it asks for all.
    async fn next_news(&self, from: Option<u64>, until: Instant) {
        let Some(from) = from else { return };
        if self.reached(self.shared.now()) < from as usize {
            let next = self.news.get(from as usize - 1).map(|(at, _)| self.shared.instant(*at));
            sleep_until(next.map_or(until, |next| next.min(until))).await;
            self.while_silent().await;
        }
    }

    /// What changed since version `from`, or everything, with the changes that have reached this agent.
    fn lines(&self, from: Option<u64>, reached: usize) -> Vec<(EndpointId, Standing)> {
        let told = from.map_or(0, |from| (from as usize - 1).min(reached));
        let mut lines = Vec::new();
        if from.is_none() {
            let first = self.shared.plan.places.iter().filter(|place| place.from.is_zero());
            lines.extend(first.map(|place| (place.endpoint, Standing::Ready)));
        }
        for (_, change) in &self.news[told..reached] {
            lines.retain(|(endpoint, _)| *endpoint != change.endpoint);
            lines.push((change.endpoint, change.standing));
        }
        lines
    }
}

/// A number that a call's path gives after a name.
fn query(call: &Call, name: &str) -> Option<u64> {
    let (_, after) = call.path.split_once(name)?;
    after.split('&').next()?.parse().ok()
}
