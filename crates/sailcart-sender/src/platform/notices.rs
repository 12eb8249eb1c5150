//! Notices are told until the platform acknowledges them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart::PacketId;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::connection::{Limits, Place, Wire, is_move};
use super::refused::Refused;
use crate::caller::Sink;
use crate::exchange::Exchange;
use crate::memory::Notice;
use crate::rhythm;
use crate::wire::http::Head;
use crate::wire::{MOST_BODY, http, notice};

/// How long what was not taken is kept before it is told again.
const PAUSE: Duration = Duration::from_millis(50);
/// How long this waits where nothing is owed.
const LONGEST_REST: Duration = Duration::from_secs(3600);

/// The body of an answer that nobody reads.
struct Unread;

impl Sink for Unread {
    type Fault = io::Error;

    fn take(&mut self, _: &Head, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
}

/// Calls with notices that may be out at once. While the platform does not answer one, what becomes due goes with another.
const LANES: usize = 4;
/// How long the first call has to itself: what the platform answers in time needs no other.
const OWN_TIME: Duration = Duration::from_millis(50);

/// What the lanes share.
#[derive(Default)]
struct Shared {
    /// Notices that a call has with it now.
    in_flight: RefCell<BTreeSet<PacketId>>,
    refused: RefCell<Refused>,
}

impl Shared {
    fn is_free(&self, id: PacketId) -> bool {
        !self.in_flight.borrow().contains(&id)
    }

    /// Whether a notice waits that no call has with it.
    fn waits(&self, exchange: &Exchange) -> bool {
        exchange.tellable(|owed| owed.filter(|(id, ..)| self.is_free(*id)).count() > 0)
    }

    /// The notices of the next call, which has them with it from now on, and its body.
    fn take(&self, exchange: &Exchange) -> (Vec<PacketId>, String) {
        let mut refused = self.refused.borrow_mut();
        let others_wait = exchange
            .tellable(|owed| owed.filter(|(id, ..)| self.is_free(*id) && !refused.contains(*id)).count() > 0);
        let alone = refused.alone(others_wait);
        let goes =
            |id: PacketId| self.is_free(id) && alone.map_or(!refused.contains(id), |alone| alone == id);
        let (ids, body) = exchange.tellable(|owed| lines(&mut owed.filter(|(id, ..)| goes(*id))));
        self.in_flight.borrow_mut().extend(&ids);
        (ids, body)
    }

    /// A call came back: its notices are acknowledged, or free for another.
    fn put_back(&self, ids: &[PacketId]) {
        self.in_flight.borrow_mut().retain(|id| !ids.contains(id));
    }
}

/// Tells what notices are owed, again and again until the platform has them.
pub async fn notify(place: Place, exchange: Rc<Exchange>) {
    let shared = Rc::new(Shared::default());
    for _ in 1..LANES {
        spawn_local(further_lane(place.clone(), exchange.clone(), shared.clone()));
    }
    let mut lane = Lane::new(place);
    loop {
        if !lane.call(&exchange, &shared).await {
            wait_for_notices(&exchange).await;
        }
    }
}

/// Goes on where what is due waits behind calls that are out.
async fn further_lane(place: Place, exchange: Rc<Exchange>, shared: Rc<Shared>) {
    let mut lane = Lane::new(place);
    loop {
        sleep(OWN_TIME).await;
        if shared.in_flight.borrow().is_empty() {
            exchange.notices_out.notified().await;
        } else if shared.waits(&exchange) {
            lane.call(&exchange, &shared).await;
        }
    }
}

/// One connection to the receiver of notices.
struct Lane {
    wire: Wire,
    /// What the last line of the log told of: one for an outage, not one for each try.
    told: Option<io::ErrorKind>,
    /// Calls in a row without an answer.
    lost: u32,
}

impl Lane {
    fn new(place: Place) -> Self {
        Lane { wire: Wire { place, stream: None, connect: Duration::MAX }, told: None, lost: 0 }
    }

    /// One call with what is due, if anything is.
    async fn call(&mut self, exchange: &Exchange, shared: &Shared) -> bool {
        let (ids, body) = shared.take(exchange);
        if ids.is_empty() {
            return false;
        }
        exchange.notices_out.notify_waiters();
        let call = http::post(&self.wire.address().to_string(), notice::PATH, "", body.as_bytes());
        let limits = Limits { within: rhythm::notice(self.lost), least_rate: None, most: MOST_BODY };
        let reply = self.wire.call(&call, limits, &mut Unread).await;
        self.lost = if reply.is_ok() { 0 } else { self.lost + 1 };
        let status = reply.map(|reply| reply.head.map_or(0, |head| head.status));
        if matches!(status, Ok(204)) {
            shared.refused.borrow_mut().forget(&ids);
            exchange.told(&ids);
        }
        let rests = self.hear(status, &ids, &body, exchange, shared);
        shared.put_back(&ids);
        if rests {
            sleep(PAUSE).await;
        }
        true
    }

    /// Sees to an answer. True where the next call is to wait a little.
    fn hear(
        &mut self,
        status: io::Result<u16>,
        ids: &[PacketId],
        body: &str,
        exchange: &Exchange,
        shared: &Shared,
    ) -> bool {
        match status {
            Ok(204) => {
                self.told = None;
                return false;
            }
            Ok(400) => {
                // One of them cannot be read, or this answer was spoilt: each goes alone from now on, and again.
                let given_up = shared.refused.borrow_mut().note(ids);
                if !given_up.is_empty() {
                    log::error!("notices: code=unreadable given up: {}", body.trim_end());
                    exchange.told(&given_up);
                }
            }
            Ok(status) => log::warn!("notices: code=answer_{status}"),
            Err(fault) if is_move(&fault) => return false,
            Err(fault) => {
                if self.told.replace(fault.kind()) != Some(fault.kind()) {
                    log::warn!("notices: code=not_told {fault}");
                }
            }
        }
        true
    }
}

/// Until there may be one to tell. One that waits for its record is looked at again: its packet's time may be over first.
async fn wait_for_notices(exchange: &Exchange) {
    let held_back = exchange.owed(|owed| owed.next().is_some());
    let pause = if held_back { PAUSE } else { LONGEST_REST };
    tokio::select! {
        () = exchange.notices.notified() => {}
        () = sleep(pause) => {}
    }
}

/// Without a platform, what would be a notice is a line of the log.
pub async fn note(exchange: Rc<Exchange>) {
    loop {
        let ended = exchange
            .tellable(|owed| owed.map(|(number, id, end)| (number, id.to_owned(), end)).collect::<Vec<_>>());
        for (_, id, end) in &ended {
            match end {
                Notice::Dismissed(_) => log::info!("packet {id}: ended, code=dismissed"),
                Notice::Scrapped => log::info!("packet {id}: ended, code=scrapped"),
            }
        }
        let numbers: Vec<PacketId> = ended.into_iter().map(|(number, ..)| number).collect();
        exchange.told(&numbers);
        wait_for_notices(&exchange).await;
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
