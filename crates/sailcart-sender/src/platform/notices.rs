//! Sends pending notices to the platform until it acknowledges them, or logs them where there is no platform.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart::PacketId;
use sailcart::response_doubt::NOTICE_CONNECTIONS;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection::{AddressReceiver, Connection, ResponseLimits, is_address_change};
use super::refused::RefusedNotices;
use crate::exchange::Exchange;
use crate::memory::Notice;
use crate::polling;
use crate::response::BodySink;
use crate::wire::http::Head;
use crate::wire::{MAX_BODY_BYTES, http, notice};

/// The delay before notices are sent again after a call that was not acknowledged, and between checks of
/// notices that may not be sent yet.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest wait while no notice is pending.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Ignores the body of a response.
struct DiscardBody;

impl BodySink for DiscardBody {
    type Error = io::Error;

    fn receive(&mut self, _: &Head, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

/// The number of calls with notices that may be in flight at once. While the platform does not respond to one
/// call, the notices that become pending are sent with another.
const MAX_CONCURRENT_CALLS: usize = 4;
/// How long a call is in flight before another may start: no other is needed if the platform responds within
/// this time.
const ADDITIONAL_CALL_DELAY: Duration = Duration::from_millis(50);

/// The state that the workers share.
#[derive(Default)]
struct SharedState {
    /// The notices of all calls in flight.
    in_flight: RefCell<BTreeSet<PacketId>>,
    refused: RefCell<RefusedNotices>,
}

impl SharedState {
    /// Whether this notice is in no call in flight.
    fn is_available(&self, number: PacketId) -> bool {
        !self.in_flight.borrow().contains(&number)
    }

    /// Whether any notice that may be sent is available.
    fn any_available(&self, exchange: &Exchange) -> bool {
        exchange.sendable_notices(|all| all.filter(|(number, ..)| self.is_available(*number)).count() > 0)
    }

    /// Selects the notices of the next call, marks them as in flight, and returns them with the body of the
    /// call.
    fn select(&self, exchange: &Exchange) -> (Vec<PacketId>, String) {
        let mut refused = self.refused.borrow_mut();
        let others_wait = exchange.sendable_notices(|all| {
            all.filter(|(number, ..)| self.is_available(*number) && !refused.contains(*number)).count() > 0
        });
        let single = refused.next_single(others_wait);
        let is_selected = |number: PacketId| {
            self.is_available(number) && single.map_or(!refused.contains(number), |single| single == number)
        };
        let (numbers, body) = exchange
            .sendable_notices(|all| encode_body(&mut all.filter(|(number, ..)| is_selected(*number))));
        self.in_flight.borrow_mut().extend(&numbers);
        (numbers, body)
    }

    /// Releases the notices of a call that has completed: they are acknowledged, or available for another
    /// call.
    fn release(&self, numbers: &[PacketId]) {
        let mut in_flight = self.in_flight.borrow_mut();
        for number in numbers {
            in_flight.remove(number);
        }
    }
}

/// Sends pending notices until the platform acknowledges them. Runs for the life of the process.
pub async fn send_notices(address_receiver: AddressReceiver, exchange: Rc<Exchange>) {
    let shared = Rc::new(SharedState::default());
    for _ in 1..MAX_CONCURRENT_CALLS {
        spawn_local(run_additional_worker(address_receiver.clone(), exchange.clone(), shared.clone()));
    }
    let mut worker = Worker::new(address_receiver);
    loop {
        if !worker.call(&exchange, &shared).await {
            wait_for_notices(&exchange).await;
        }
    }
}

/// Sends notices that became pending while other calls are in flight.
async fn run_additional_worker(
    address_receiver: AddressReceiver,
    exchange: Rc<Exchange>,
    shared: Rc<SharedState>,
) {
    let mut worker = Worker::new(address_receiver);
    loop {
        sleep(ADDITIONAL_CALL_DELAY).await;
        if shared.in_flight.borrow().is_empty() {
            exchange.notices_sent.notified().await;
        } else if shared.any_available(&exchange) {
            worker.call(&exchange, &shared).await;
        }
    }
}

/// Sends calls one after the other on a connection of its own.
struct Worker {
    connection: Connection,
    /// The error that was logged last; an outage has one line, not one for each attempt.
    logged_error: Option<io::ErrorKind>,
    /// Calls without a response since the last one that had one.
    consecutive_losses: u32,
}

impl Worker {
    fn new(address_receiver: AddressReceiver) -> Self {
        Worker {
            connection: Connection {
                address_receiver,
                stream: None,
                connect_timeout: Duration::MAX,
                choice: NOTICE_CONNECTIONS,
            },
            logged_error: None,
            consecutive_losses: 0,
        }
    }

    /// Sends one call with the available notices and handles its response; false if no notice is available.
    async fn call(&mut self, exchange: &Exchange, shared: &SharedState) -> bool {
        let (numbers, body) = shared.select(exchange);
        if numbers.is_empty() {
            return false;
        }
        exchange.notices_sent.notify_waiters();
        let call = http::post(&self.connection.address().to_string(), notice::PATH, "", body.as_bytes());
        let limits = ResponseLimits {
            base_time: polling::notice_timeout(self.consecutive_losses),
            min_bytes_per_second: None,
            max_body_bytes: MAX_BODY_BYTES,
        };
        let response = self.connection.call(&call, limits, &mut DiscardBody).await;
        self.consecutive_losses = if response.is_ok() { 0 } else { self.consecutive_losses + 1 };
        let status = response.map(|response| response.head.map_or(0, |head| head.status));
        if matches!(status, Ok(204)) {
            shared.refused.borrow_mut().remove(&numbers);
            exchange.acknowledge_notices(&numbers);
        }
        let needs_delay = self.handle_status(status, &numbers, &body, exchange, shared);
        shared.release(&numbers);
        if needs_delay {
            sleep(RETRY_DELAY).await;
        }
        true
    }

    /// Handles the status of a response; true if the next call must be delayed.
    fn handle_status(
        &mut self,
        status: io::Result<u16>,
        numbers: &[PacketId],
        body: &str,
        exchange: &Exchange,
        shared: &SharedState,
    ) -> bool {
        match status {
            Ok(204) => {
                self.logged_error = None;
                return false;
            }
            Ok(400) => {
                // Either the platform cannot read one of these notices, or the response was corrupted. Each
                // is sent again in a call of its own.
                let abandoned = shared.refused.borrow_mut().record_refusal(numbers);
                if !abandoned.is_empty() {
                    log::error!(
                        "notices: code=unreadable abandoned after repeated answers 400: {}",
                        body.trim_end()
                    );
                    exchange.acknowledge_notices(&abandoned);
                }
            }
            Ok(status) => log::warn!("notices: code=answer_{status}"),
            Err(error) if is_address_change(&error) => return false,
            Err(error) => {
                if self.logged_error.replace(error.kind()) != Some(error.kind()) {
                    log::warn!("notices: code=not_told {error}");
                }
            }
        }
        true
    }
}

/// Waits until there may be a notice to send. While one waits for its record to be written, this returns
/// after a short delay, since the packet's deadline may pass first.
async fn wait_for_notices(exchange: &Exchange) {
    let any_pending = exchange.pending_notices(|pending| pending.next().is_some());
    let max_wait = if any_pending { RETRY_DELAY } else { MAX_IDLE_WAIT };
    tokio::select! {
        () = exchange.notice_queued.notified() => {}
        () = sleep(max_wait) => {}
    }
}

/// Logs each notice in place of sending it, for a configuration without a platform. Runs for the life of
/// the process.
pub async fn log_notices(exchange: Rc<Exchange>) {
    loop {
        let pending = exchange.sendable_notices(|all| {
            all.map(|(number, id, notice)| (number, id.to_owned(), notice)).collect::<Vec<_>>()
        });
        for (_, id, notice) in &pending {
            match notice {
                Notice::Dismissed(_) => log::info!("packet {id}: ended, code=dismissed"),
                Notice::Scrapped => log::info!("packet {id}: ended, code=scrapped"),
            }
        }
        let numbers: Vec<PacketId> = pending.into_iter().map(|(number, ..)| number).collect();
        exchange.acknowledge_notices(&numbers);
        wait_for_notices(&exchange).await;
    }
}

/// Encodes one line for each notice, up to [`MAX_BODY_BYTES`] bytes. Returns the notices that fit, and the
/// body.
fn encode_body(pending: &mut dyn Iterator<Item = (PacketId, &str, Notice)>) -> (Vec<PacketId>, String) {
    let (mut numbers, mut body) = (Vec::new(), String::new());
    for (number, id, notice) in pending {
        let line = match notice {
            Notice::Dismissed(wait) => notice::dismissed(id, wait),
            Notice::Scrapped => notice::scrapped(id),
        };
        if body.len() + line.len() > MAX_BODY_BYTES {
            break;
        }
        body.push_str(&line);
        numbers.push(number);
    }
    (numbers, body)
}
