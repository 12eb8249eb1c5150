//! Notices are told until the platform acknowledges them.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use sailcart::PacketId;
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

/// Tells what notices are owed, again and again until the platform has them.
pub async fn notify(place: Place, exchange: Rc<Exchange>) {
    let mut wire = Wire { place, stream: None, connect: Duration::MAX };
    let mut told = None; // as above
    let mut lost = 0; // calls in a row without an answer
    let mut refused = Refused::default();
    loop {
        let others_wait =
            exchange.tellable(|owed| owed.filter(|(id, ..)| !refused.contains(*id)).count() > 0);
        let alone = refused.alone(others_wait);
        let goes = |id: PacketId| alone.map_or(!refused.contains(id), |alone| alone == id);
        let (ids, body) = exchange.tellable(|owed| lines(&mut owed.filter(|(id, ..)| goes(*id))));
        if ids.is_empty() {
            wait_for_notices(&exchange).await;
            continue;
        }
        let call = http::post(&wire.address().to_string(), notice::PATH, "", body.as_bytes());
        let limits = Limits { within: rhythm::notice(lost), least_rate: None, most: MOST_BODY };
        let reply = wire.call(&call, limits, &mut Unread).await;
        lost = if reply.is_ok() { 0 } else { lost + 1 };
        match reply.map(|reply| reply.head.map_or(0, |head| head.status)) {
            Ok(204) => {
                told = None;
                refused.forget(&ids);
                exchange.told(&ids);
            }
            Ok(400) => {
                // One of them cannot be read, or this answer was spoilt: each goes alone from now on, and again.
                let given_up = refused.note(&ids);
                if !given_up.is_empty() {
                    log::error!("notices: code=unreadable given up: {}", body.trim_end());
                    exchange.told(&given_up);
                }
                sleep(PAUSE).await;
            }
            Ok(status) => {
                log::warn!("notices: code=answer_{status}");
                sleep(PAUSE).await;
            }
            Err(fault) if is_move(&fault) => {}
            Err(fault) => {
                if told.replace(fault.kind()) != Some(fault.kind()) {
                    log::warn!("notices: code=not_told {fault}");
                }
                sleep(PAUSE).await;
            }
        }
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
