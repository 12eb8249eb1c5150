//! The platform's side: one agent per sender, which serves the discovery list and receives the sender's
//! notices. A change of the list reaches each agent with a delay of its own, and the agent lists only the
//! changes that have reached it.

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

use super::http::{Call, CallReader, bodiless_response, response};
use super::protocol::list_entry;
use super::shared_state::SharedState;
use crate::experiment::TroubleKind;
use crate::plan::{ListChange, ListState, SenderId};
use crate::watcher::{CompletionKind, Observation};

/// Maximum time for which a request for the list is held until the list changes.
const MAX_HOLD_MS: u64 = 60_000;

/// The platform as one sender sees it.
struct Agent {
    shared: Rc<SharedState>,
    sender: SenderId,
    /// The changes of the list with the time at which each reaches this agent, ordered by that time. Before
    /// the first one the list has generation 1; each change increments the generation.
    changes: Vec<(Duration, ListChange)>,
    addresses: Rc<[SocketAddr]>,
}

/// Starts an agent for each sender and returns their addresses. `addresses` holds the addresses of the
/// endpoints, as one list per sender or one list for all.
pub async fn start_all(
    shared: &Rc<SharedState>,
    addresses: &[Rc<[SocketAddr]>],
) -> io::Result<Vec<SocketAddr>> {
    let mut agent_addresses = Vec::new();
    for sender in 0..shared.plan.experiment.senders.count {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint_addresses = &addresses[sender % addresses.len()];
        agent_addresses.push(start(shared, endpoint_addresses, SenderId(sender), listener)?);
    }
    Ok(agent_addresses)
}

/// Starts the agent of the first sender at a given address.
pub async fn start_at(
    shared: &Rc<SharedState>,
    addresses: &Rc<[SocketAddr]>,
    at: SocketAddr,
) -> io::Result<SocketAddr> {
    start(shared, addresses, SenderId(0), TcpListener::bind(at).await?)
}

fn start(
    shared: &Rc<SharedState>,
    addresses: &Rc<[SocketAddr]>,
    sender: SenderId,
    listener: TcpListener,
) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let mut changes: Vec<(Duration, ListChange)> = shared
        .plan
        .list_changes
        .iter()
        .map(|change| (shared.plan.list_change_received_at(change, sender), *change))
        .collect();
    changes.sort_by_key(|(at, change)| (*at, change.at, change.endpoint));
    let agent = Rc::new(Agent { shared: shared.clone(), sender, changes, addresses: addresses.clone() });
    spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(agent.clone().serve(stream))),
                Err(error) => log::warn!("discovery: code=no_accept {error}"),
            }
        }
    });
    Ok(address)
}

impl Agent {
    /// Serves the calls on one connection until it breaks or a call is malformed.
    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut reader = CallReader::default();
        loop {
            let response_bytes = match reader.read_call(&mut stream).await {
                Ok(Some(call)) if call.method == "POST" => self.receive_notices(&call),
                Ok(Some(call)) => self.serve_list(&call).await,
                _ => return,
            };
            if stream.write_all(&response_bytes).await.is_err() {
                return;
            }
        }
    }

    /// Records the notices in a call, one JSON object per line. Rejects the call if one of them is malformed.
    fn receive_notices(&self, call: &Call) -> Vec<u8> {
        let text = String::from_utf8_lossy(&call.body);
        let notices: Option<Vec<_>> = text.lines().map(|line| self.parse_notice(line)).collect();
        let Some(notices) = notices else { return response("400 Bad Request", "", "") };
        for (packet, completion, wait) in notices {
            self.shared.record_completion(packet, completion, wait);
        }
        bodiless_response("204 No Content")
    }

    /// Parses one notice: the packet, its completion, and the wait before a resubmission. `None` if it is
    /// malformed.
    fn parse_notice(&self, line: &str) -> Option<(sailcart::PacketId, CompletionKind, Duration)> {
        let notice: Value = serde_json::from_str(line).ok()?;
        let packet = self.shared.find_packet(notice.get("message")?.as_str()?)?;
        let completion = match notice.get("outcome")?.as_str()? {
            "given_up" => CompletionKind::Scrapped,
            "handed_back" => CompletionKind::Dismissed,
            _ => return None,
        };
        let wait = notice.get("retry_in_ms").and_then(Value::as_f64).unwrap_or(0.0);
        Some((packet, completion, Duration::from_secs_f64(wait.clamp(0.0, 3.6e6) / 1000.0)))
    }

    /// Number of changes that have reached this agent.
    fn reached_count(&self, now: Duration) -> usize {
        self.changes.iter().take_while(|(at, _)| *at <= now).count()
    }

    /// Waits while a trouble makes discovery unresponsive for this sender.
    async fn wait_while_silent(&self) {
        let outage = self.shared.plan.scheduled_troubles.iter().find(|scheduled| {
            let affects_sender =
                scheduled.trouble.kind == TroubleKind::ListSilent && scheduled.senders.contains(&self.sender);
            affects_sender && scheduled.is_active(self.shared.now())
        });
        if let Some(outage) = outage {
            sleep_until(self.shared.instant(outage.until)).await;
        }
    }

    /// Answers a request for the list, with the changes after a generation or the full list, and reports to
    /// the watcher what it lists.
    async fn serve_list(&self, call: &Call) -> Vec<u8> {
        self.wait_while_silent().await;
        let from =
            query_number(call, "from=").filter(|from| (1..=self.changes.len() as u64 + 1).contains(from));
        let hold = Duration::from_millis(query_number(call, "hold_ms=").unwrap_or(0).min(MAX_HOLD_MS));
        self.wait_for_change(from, Instant::now() + hold).await;
        let reached = self.reached_count(self.shared.now());
        let mut updates = self.updates_since(from, reached);
        for (endpoint, state) in &updates {
            self.shared.observe(match state {
                ListState::Ready => Observation::EndpointReady(self.sender, *endpoint),
                _ => Observation::EndpointDraining(self.sender, *endpoint),
            });
        }
        if from.is_none() {
            updates.retain(|(_, state)| *state != ListState::Removed);
        }
        let entries: Vec<Value> = updates
            .iter()
            .map(|(endpoint, state)| list_entry(&self.shared.plan, *endpoint, *state, &self.addresses))
            .collect();
        let list = json!({"generation": reached + 1, "reset": from.is_none(), "instances": entries});
        response("200 OK", "", &list.to_string())
    }

    /// Waits until there is a change after generation `from`, or until the sender's hold time has passed.
    /// Returns at once for a request for the full list, which has no `from`.
    async fn wait_for_change(&self, from: Option<u64>, until: Instant) {
        let Some(from) = from else { return };
        if self.reached_count(self.shared.now()) < from as usize {
            let next = self.changes.get(from as usize - 1).map(|(at, _)| self.shared.instant(*at));
            sleep_until(next.map_or(until, |next| next.min(until))).await;
            self.wait_while_silent().await;
        }
    }

    /// The endpoints that changed after generation `from`, or all endpoints without it, with the last change
    /// that has reached this agent.
    fn updates_since(&self, from: Option<u64>, reached: usize) -> Vec<(EndpointId, ListState)> {
        let already_listed = from.map_or(0, |from| (from as usize - 1).min(reached));
        let mut updates = Vec::new();
        if from.is_none() {
            let initial = self
                .shared
                .plan
                .endpoints
                .iter()
                .filter(|planned_endpoint| planned_endpoint.added_at.is_zero());
            updates.extend(initial.map(|planned_endpoint| (planned_endpoint.endpoint, ListState::Ready)));
        }
        for (_, change) in &self.changes[already_listed..reached] {
            updates.retain(|(endpoint, _)| *endpoint != change.endpoint);
            updates.push((change.endpoint, change.state));
        }
        updates
    }
}

/// The number after `name` in the path of a call; `name` includes the equals sign.
fn query_number(call: &Call, name: &str) -> Option<u64> {
    let (_, value) = call.path.split_once(name)?;
    value.split('&').next()?.parse().ok()
}
