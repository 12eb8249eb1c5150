//! Reload: at SIGHUP the configuration is read anew and checked whole, on a thread of its own, as its list may be long. A faulty one
//! changes nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sailcart_terms::Fault;
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_blocking;

use crate::config::known::KnownList;
use crate::config::{self, Mandate, Source};
use crate::exchange::Exchange;

/// Reads the configuration from where it was read at the start.
pub type Read = Arc<dyn Fn() -> Result<Mandate, Fault> + Send + Sync>;

/// What of a newer configuration is followed at once.
pub enum Follows {
    /// Where discovery is.
    Discovery(watch::Sender<SocketAddr>),
    /// The destinations that the file lists.
    Listed(Rc<Exchange>),
}

pub async fn reload(mut hang_up: Signal, old: Value, read: Read, follows: Follows) {
    while hang_up.recv().await.is_some() {
        let (read, old) = (read.clone(), old.clone());
        let wants_list = matches!(follows, Follows::Listed(_));
        let newer = spawn_blocking(move || newer(&*read, &old, wants_list)).await;
        let newer =
            newer.unwrap_or_else(|fault| Err(Fault(format!("the configuration was not read: {fault}"))));
        match (newer, &follows) {
            (Ok((Source::Platform(discovery), _)), Follows::Discovery(place)) => {
                let moved = place.send_if_modified(|place| std::mem::replace(place, discovery) != discovery);
                log::info!("reload: discovery at {discovery}, code={}", if moved { "moved" } else { "kept" });
            }
            (Ok((Source::Static, Some(known))), Follows::Listed(exchange)) => {
                let list = known.summary();
                exchange.take_over_as_told(list.whole, known.entries());
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

/// Where lists come from by the configuration as it is now, and its own list where that is followed; the rest goes where it was read.
fn newer(
    read: &dyn Fn() -> Result<Mandate, Fault>,
    old: &Value,
    wants_list: bool,
) -> Result<(Source, Option<KnownList>), Fault> {
    let new = read()?;
    let source = config::moved(old, &new)?;
    Ok((source, wants_list.then_some(new.known)))
}
