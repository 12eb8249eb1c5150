//! The endpoints on loopback: sockets in front of the model of [`crate::receivers`], which decides how each
//! connection and each call is answered.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::http::{CallReader, response};
use super::protocol::{packets_in_call, response_bytes};
use super::shared_state::SharedState;
use crate::plan::SenderId;
use crate::receivers::{Answer, ConnectResult, Reception, TroubleSchedule};
use crate::results::tally::Counter;
use crate::watcher::{CallId, CallResult, CompletionKind, Observation, UpstreamId};

/// Maximum number of connections that wait to be accepted at an endpoint that is up.
const LISTEN_BACKLOG: u32 = 1024;
/// Number of connections with which the lab fills the accept queue of a black hole, so that no other
/// connection is established.
const QUEUE_FILLERS: usize = 4;

/// Opens a listening socket for each address of the plan and serves it. Returns the addresses by endpoint
/// number. An endpoint that replaces another one at the same address shares its socket.
pub async fn open_all(shared: &Rc<SharedState>) -> io::Result<Rc<[SocketAddr]>> {
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for planned_endpoint in &shared.plan.endpoints {
        if planned_endpoint.address_owner != planned_endpoint.endpoint {
            addresses.push(addresses[planned_endpoint.address_owner.0 as usize]);
            continue;
        }
        let number = planned_endpoint.endpoint.0;
        let ip = Ipv4Addr::new(
            127,
            10 + (number / 62_500) as u8,
            (number / 250 % 250) as u8,
            (number % 250 + 1) as u8,
        );
        let listener = bind(SocketAddr::new(IpAddr::V4(ip), 0), LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        addresses.push(address);
        spawn_local(
            Rc::new(ListeningAddress {
                shared: shared.clone(),
                address,
                first_endpoint: planned_endpoint.endpoint,
            })
            .serve(listener),
        );
    }
    Ok(addresses.into())
}

fn bind(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Reports the beginning of each outage to the watcher and, at the end of an outage in which the endpoint
/// accepted no connections, the senders that must have failed to connect.
pub fn report_outages(shared: &Rc<SharedState>) {
    let schedule = TroubleSchedule::new(&shared.plan);
    for planned_endpoint in &shared.plan.endpoints {
        let upstream = shared.upstream(planned_endpoint.endpoint);
        for (from, until) in schedule.outages(planned_endpoint.endpoint) {
            let (shared, endpoint) = (shared.clone(), planned_endpoint.endpoint);
            spawn_local(async move {
                sleep_until(shared.instant(from)).await;
                shared.observe(Observation::OutageStarted(upstream));
                let refuses_connections = {
                    let conditions = shared.receivers.borrow().conditions(from, endpoint);
                    conditions.down || conditions.black_hole
                };
                sleep_until(shared.instant(until)).await;
                if refuses_connections {
                    shared.record_failed_connections(upstream, &[endpoint]);
                }
            });
        }
    }
}

/// One listening address. Endpoints that replace one another use it in turn.
struct ListeningAddress {
    shared: Rc<SharedState>,
    address: SocketAddr,
    /// The first endpoint at this address; the plan refers to the address by it.
    first_endpoint: EndpointId,
}

/// What happens to connection attempts.
#[derive(Clone, Copy, PartialEq)]
enum ListenState {
    /// They are accepted.
    Open,
    /// They are refused: no socket listens.
    Closed,
    /// They get no answer: the accept queue is full.
    BlackHole,
}

impl ListeningAddress {
    /// The endpoint that uses the address now.
    fn current_endpoint(&self, now: Duration) -> Option<EndpointId> {
        let at_this_address = |planned_endpoint: &&crate::plan::PlannedEndpoint| {
            planned_endpoint.address_owner == self.first_endpoint
        };
        let in_use = |planned_endpoint: &&crate::plan::PlannedEndpoint| {
            planned_endpoint.added_at <= now && now < planned_endpoint.removed_at
        };
        self.shared
            .plan
            .endpoints
            .iter()
            .filter(at_this_address)
            .find(in_use)
            .map(|planned_endpoint| planned_endpoint.endpoint)
    }

    fn listen_state(&self, now: Duration) -> ListenState {
        let Some(endpoint) = self.current_endpoint(now) else { return ListenState::Closed };
        let conditions = self.shared.receivers.borrow().conditions(now, endpoint);
        match (conditions.down, conditions.black_hole) {
            (true, _) => ListenState::Closed,
            (_, true) => ListenState::BlackHole,
            _ => ListenState::Open,
        }
    }

    /// The time before which the state does not change; `None` if no change is planned.
    fn next_change(&self, now: Duration) -> Option<Duration> {
        let planned_endpoints = self
            .shared
            .plan
            .endpoints
            .iter()
            .filter(|planned_endpoint| planned_endpoint.address_owner == self.first_endpoint);
        let receivers = self.shared.receivers.borrow();
        planned_endpoints
            .filter_map(|planned_endpoint| {
                receivers.next_change(&self.shared.plan, now, planned_endpoint.endpoint)
            })
            .min()
    }

    /// Opens and closes the listening socket as the state of the address changes, until the run ends.
    async fn serve(self: Rc<Self>, initial_listener: TcpListener) {
        let mut open_listener = Some(initial_listener);
        loop {
            let now = self.shared.now();
            let listen_state = self.listen_state(now);
            let next_change = self.next_change(now);
            let wake_at = next_change
                .map_or(self.shared.instant(now + Duration::from_secs(3600)), |at| self.shared.instant(at));
            // Long sleeps are bounded, as the clock of the run restarts when all senders are ready.
            let latest = tokio::time::Instant::now()
                + Duration::from_millis(if next_change.is_some() { 500 } else { 60_000 });
            let wake_at = wake_at.min(latest);
            match listen_state {
                ListenState::Open => {
                    if open_listener.is_none() {
                        open_listener = self.listen(LISTEN_BACKLOG).await;
                    }
                    if let Some(listener) = &open_listener {
                        tokio::select! {
                            () = self.clone().accept(listener) => {}
                            () = sleep_until(wake_at) => {}
                        }
                    }
                }
                ListenState::Closed => {
                    open_listener = None;
                    sleep_until(wake_at).await;
                }
                ListenState::BlackHole => {
                    drop(open_listener.take());
                    let full_listener = self.listen(0).await;
                    let fillers = self.fill_accept_queue().await;
                    while self.listen_state(self.shared.now()) == ListenState::BlackHole {
                        sleep_until(wake_at.min(tokio::time::Instant::now() + Duration::from_millis(20)))
                            .await;
                    }
                    drop((full_listener, fillers));
                }
            }
        }
    }

    /// Listens on the address again. Retries up to 50 times, 10 ms apart; `None` if all attempts fail.
    async fn listen(&self, backlog: u32) -> Option<TcpListener> {
        for _ in 0..50 {
            match bind(self.address, backlog) {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    log::debug!("endpoint {}: code=no_listen {error}", self.address);
                    sleep(Duration::from_millis(10)).await;
                }
            }
        }
        log::error!("endpoint {}: code=no_listen", self.address);
        None
    }

    /// Fills the accept queue. The caller must hold the returned connections while the black hole lasts.
    async fn fill_accept_queue(&self) -> Vec<TcpStream> {
        let mut fillers = Vec::new();
        for _ in 0..QUEUE_FILLERS {
            match timeout(Duration::from_millis(50), TcpStream::connect(self.address)).await {
                Ok(Ok(stream)) => fillers.push(stream),
                _ => break,
            }
        }
        fillers
    }

    /// Accepts connections until this future is dropped.
    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    log::warn!("endpoint {}: code=no_accept {error}", self.address);
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Serves one connection, as the model decides.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let now = self.shared.now();
        let Some(endpoint) = self.current_endpoint(now) else { return reset(stream) };
        let decision = self.shared.receivers.borrow_mut().connect(&self.shared.plan, now, endpoint);
        let ConnectResult::Established(handshake) = decision else { return reset(stream) };
        self.shared.tally.borrow_mut().increment(Counter::Connections);
        if !handshake.is_zero() {
            sleep(handshake).await;
        }
        let _ = stream.set_nodelay(true);
        let mut connection =
            Connection { shared: &self.shared, endpoint, stream, reader: CallReader::default() };
        let needs_reset = connection.serve_calls().await;
        let stream = connection.stream;
        self.shared.receivers.borrow_mut().disconnected(endpoint);
        if needs_reset {
            reset(stream);
        }
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    #[allow(deprecated)] // the blocking form of linger, with zero, does not block
    let _ = stream.set_linger(Some(Duration::ZERO));
}

/// An accepted connection; its calls are served one after the other.
struct Connection<'a> {
    shared: &'a Rc<SharedState>,
    endpoint: EndpointId,
    stream: TcpStream,
    reader: CallReader,
}

impl Connection<'_> {
    /// Returns when the endpoint becomes unreachable, which breaks its open connections.
    async fn wait_until_stopped(shared: &Rc<SharedState>, endpoint: EndpointId) {
        loop {
            let now = shared.now();
            if !shared.receivers.borrow().reachable(&shared.plan, now, endpoint) {
                return;
            }
            let next = shared.receivers.borrow().next_change(&shared.plan, now, endpoint);
            let latest = tokio::time::Instant::now() + Duration::from_millis(500);
            sleep_until(next.map_or(latest, |next| shared.instant(next).min(latest))).await;
        }
    }

    /// Serves calls until the connection ends. True if it is to be closed with a reset.
    async fn serve_calls(&mut self) -> bool {
        let idle_timeout =
            self.shared.plan.group(self.shared.plan.endpoint(self.endpoint).destination).idle_close;
        loop {
            let call = tokio::select! {
                call = timeout(idle_timeout, self.reader.read_call(&mut self.stream)) => call,
                () = Self::wait_until_stopped(self.shared, self.endpoint) => return true,
            };
            let call = match call {
                Err(_) => return self.reader.has_partial_call(),
                Ok(Ok(Some(call))) => call,
                Ok(Ok(None)) => return false,
                Ok(Err(error)) if error.kind() == io::ErrorKind::InvalidData => {
                    self.shared.tally.borrow_mut().increment(Counter::UnmatchedCalls);
                    let _ = self.stream.write_all(&response("400 Bad Request", "", "")).await;
                    return false;
                }
                Ok(Err(_)) => return true,
            };
            let now = self.shared.now();
            if self.shared.receivers.borrow_mut().breaks_before_end(now, self.endpoint) {
                return true;
            }
            let named_packets = packets_in_call(&call);
            let packets: Option<Vec<(PacketId, Option<String>)>> =
                named_packets.as_ref().and_then(|named_packets| {
                    named_packets
                        .iter()
                        .map(|(id, key)| Some((self.shared.find_packet(id)?, key.clone())))
                        .collect()
                });
            let (Some(named_packets), Some(packets)) = (named_packets, packets) else {
                self.shared.tally.borrow_mut().increment(Counter::UnmatchedCalls);
                let _ = self.stream.write_all(&response("400 Bad Request", "", "")).await;
                return false;
            };
            let ids: Vec<String> = named_packets.into_iter().map(|(id, _)| id).collect();
            match self.serve_call(now, &ids, &packets).await {
                AfterCall::KeepOpen => {}
                AfterCall::Close => return false,
                AfterCall::Reset => return true,
            }
        }
    }

    /// Serves one call, whose last byte has been received.
    async fn serve_call(
        &mut self,
        now: Duration,
        ids: &[String],
        packets: &[(PacketId, Option<String>)],
    ) -> AfterCall {
        let shared = self.shared;
        let (id, upstream) = (shared.next_call(), shared.upstream(self.endpoint));
        let destination = shared.plan.endpoint(self.endpoint).destination;
        let sender = shared.sender(packets[0].0);
        let call_packets: Vec<_> = packets
            .iter()
            .map(|(id, idempotency_key)| shared.call_packet(*id, idempotency_key.as_deref()))
            .collect();
        let reception =
            shared.receivers.borrow_mut().receive_call(&shared.plan, now, self.endpoint, &call_packets);
        shared.tally.borrow_mut().record_dispatch(now, destination, packets.len());
        shared.tally.borrow_mut().adjust_calls_in_flight(destination, true);
        let packet_ids: Vec<PacketId> = packets.iter().map(|(id, _)| *id).collect();
        self.record_arrival(id, sender, upstream, &packet_ids, &reception);
        let after_call = self.respond(id, ids, &packet_ids, reception).await;
        shared.tally.borrow_mut().adjust_calls_in_flight(destination, false);
        after_call
    }

    /// Reports the arrival of a call and its effects to the watcher.
    fn record_arrival(
        &self,
        call: CallId,
        sender: SenderId,
        upstream: UpstreamId,
        packets: &[PacketId],
        reception: &Reception,
    ) {
        let packets = packets.to_vec();
        self.shared.observe(Observation::CallReceived {
            call,
            sender,
            endpoint: self.endpoint,
            upstream,
            packets,
        });
        if reception.effects.contains(&true) {
            self.shared.observe(Observation::Executed(call, reception.effects.clone()));
        }
        if reception.collapsed {
            self.shared.observe(Observation::Collapsed(upstream));
        }
    }

    /// Waits until the response is due and writes it, or records that the call ended without one.
    async fn respond(
        &mut self,
        id: CallId,
        ids: &[String],
        packets: &[PacketId],
        reception: Reception,
    ) -> AfterCall {
        let due = reception.answer.as_ref().map(|(at, _)| *at);
        if let Some((counter, after_call)) = self.wait_for_interruption(due).await {
            return self.end_without_response(id, counter, after_call);
        }
        let Some((_, answer)) = reception.answer else { return AfterCall::Reset };
        let Some(bytes) = response_bytes(&answer, ids, reception.report) else {
            return self.end_without_response(id, Counter::Errors, AfterCall::Reset);
        };
        // The completion is recorded first, as the sender may act on the response as soon as it is written.
        let result = self.record_response(&answer, packets);
        self.shared.observe(Observation::CallCompleted { call: id, result });
        // A malformed response may be longer than the sender reads. Then the sender closes, or the write
        // times out.
        let written = timeout(Duration::from_secs(1), self.stream.write_all(&bytes)).await;
        match (&answer, written) {
            (Answer::Malformed(_), _) => {
                let _ = timeout(Duration::from_secs(1), peer_closed(&self.stream)).await;
                AfterCall::Close
            }
            (_, Ok(Ok(()))) => AfterCall::KeepOpen,
            _ => AfterCall::Reset,
        }
    }

    /// Waits until the response is due, without limit if there is none. Returns how the call is to be counted
    /// if the sender closes or the endpoint stops before that.
    async fn wait_for_interruption(&self, due: Option<Duration>) -> Option<(Counter, AfterCall)> {
        let due = async {
            match due {
                Some(at) => sleep_until(self.shared.instant(at)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => None,
            () = peer_closed(&self.stream) => Some((Counter::Unanswered, AfterCall::Close)),
            () = Self::wait_until_stopped(self.shared, self.endpoint) => {
                Some((Counter::Errors, AfterCall::Reset))
            }
        }
    }

    /// Records that a call has ended without a response.
    fn end_without_response(&self, id: CallId, counter: Counter, after_call: AfterCall) -> AfterCall {
        self.shared.tally.borrow_mut().increment(counter);
        self.shared.observe(Observation::CallCompleted { call: id, result: CallResult::PossiblyExecuted });
        after_call
    }

    /// Records the packets that this response completes and the counts; returns what the sender learns from
    /// it.
    fn record_response(&self, answer: &Answer, packets: &[PacketId]) -> CallResult {
        let shared = self.shared;
        let complete =
            |packet: &PacketId| shared.record_completion(*packet, CompletionKind::Done, Duration::ZERO);
        let increment = |counter| shared.tally.borrow_mut().increment(counter);
        match answer {
            Answer::Done => {
                packets.iter().for_each(complete);
                CallResult::Done
            }
            Answer::Malformed(kind) if kind.counts_as_delivered(packets.len() > 1) => {
                packets.iter().for_each(complete);
                CallResult::Done
            }
            Answer::Rejected(wait) => {
                let destination = shared.plan.endpoint(self.endpoint).destination;
                shared.tally.borrow_mut().record_rejection(shared.now(), destination);
                CallResult::Rejected(*wait)
            }
            Answer::Mixed(each, wait) => {
                let accepted = packets.iter().zip(each);
                let accepted = accepted
                    .filter(|(_, packet_answer)| **packet_answer == crate::receivers::PacketAnswer::Accepted);
                accepted.map(|(packet, _)| packet).for_each(complete);
                wait.map_or(CallResult::Done, |wait| CallResult::Rejected(Some(wait)))
            }
            // A malformed response also completes the call: it is no longer in progress at the endpoint.
            Answer::Error | Answer::Malformed(_) => {
                increment(Counter::Errors);
                CallResult::Error
            }
            Answer::Reset => {
                increment(Counter::Errors);
                CallResult::PossiblyExecuted
            }
        }
    }
}

/// What happens to a connection after a call.
enum AfterCall {
    KeepOpen,
    Close,
    Reset,
}

/// Returns when the peer has closed or reset the connection. Never returns if it sends more data first; the
/// data stays unread.
async fn peer_closed(stream: &TcpStream) {
    let mut byte = [0u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}
