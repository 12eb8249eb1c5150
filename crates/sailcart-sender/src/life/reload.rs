//! Reload: at SIGHUP the configuration is read anew and checked whole. A faulty one changes nothing.

use std::net::SocketAddr;
use std::rc::Rc;

use sailcart_terms::Fault;
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{self, Mandate, Source};
use crate::exchange::Exchange;

/// Reads the configuration from where it was read at the start.
pub type Read = Box<dyn Fn() -> Result<Mandate, Fault>>;

/// What of a newer configuration is followed at once.
pub enum Follows {
    /// Where discovery is.
    Discovery(watch::Sender<SocketAddr>),
    /// The destinations that the file lists.
    Listed(Rc<Exchange>),
}

pub async fn reload(mut hang_up: Signal, old: Value, read: Read, follows: Follows) {
    while hang_up.recv().await.is_some() {
        let read = read().and_then(|new| config::moved(&old, &new).map(|source| (new, source)));
        match (read, &follows) {
            (Ok((_, Source::Platform(discovery))), Follows::Discovery(place)) => {
                let moved = place.send_if_modified(|place| std::mem::replace(place, discovery) != discovery);
                log::info!("reload: discovery at {discovery}, code={}", if moved { "moved" } else { "kept" });
            }
            (Ok((new, Source::Static)), Follows::Listed(exchange)) => {
                let list = new.known.summary();
                exchange.take_over_as_told(list.whole, new.known.entries());
                log::info!("reload: {} endpoints listed, code=listed", list.read);
            }
            (Ok(_), _) => log::warn!("reload: another kind of source, code=next_start"),
            (Err(fault), _) => {
                log::error!(
                    "reload: the old configuration stays, code=faulty {}",
                    fault.0.replace('\n', "; ")
                );
            }
        }
    }
}
