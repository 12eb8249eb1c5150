//! Reload: at SIGHUP the configuration is read again and validated completely. This happens on a thread of
//! its own, as the list in it may be long. An invalid configuration changes nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sailcart_terms::ValueError;
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::spawn_blocking;

use crate::config::known_list::KnownList;
use crate::config::{self, SenderConfig, Source};
use crate::exchange::Exchange;

/// Reads the configuration from the file and environment that were used at the start.
pub type ReadConfig = Arc<dyn Fn() -> Result<SenderConfig, ValueError> + Send + Sync>;

/// The part of a new configuration that takes effect without a restart.
pub enum ReloadTarget {
    /// The address of discovery.
    DiscoveryAddress(watch::Sender<SocketAddr>),
    /// The list of endpoints in the file.
    EndpointList(Rc<Exchange>),
}

/// Handles SIGHUP for the life of the process. `initial_config` is the document read at the start, with
/// which new ones are compared.
pub async fn reload(mut sighup: Signal, initial_config: Value, read: ReadConfig, target: ReloadTarget) {
    while sighup.recv().await.is_some() {
        let (read, initial_config) = (read.clone(), initial_config.clone());
        let wants_list = matches!(target, ReloadTarget::EndpointList(_));
        let reloaded = spawn_blocking(move || read_new_config(&*read, &initial_config, wants_list)).await;
        let reloaded = reloaded
            .unwrap_or_else(|error| Err(ValueError(format!("reading the configuration failed: {error}"))));
        match (reloaded, &target) {
            (Ok((Source::Platform(discovery), _)), ReloadTarget::DiscoveryAddress(address_sender)) => {
                let moved = address_sender
                    .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
                log::info!("reload: discovery at {discovery}, code={}", if moved { "moved" } else { "kept" });
            }
            (Ok((Source::Static, Some(known_list))), ReloadTarget::EndpointList(exchange)) => {
                let list = known_list.summary();
                exchange.apply_current_list(list.full, known_list.entries());
                log::info!("reload: {} endpoints listed, code=listed", list.entries_read);
            }
            (Ok(_), _) => log::warn!("reload: the kind of source has changed, code=next_start"),
            (Err(error), _) => {
                log::error!(
                    "reload: the old configuration stays in force, code=faulty {}",
                    error.0.replace('\n', "; ")
                );
            }
        }
    }
}

/// Reads the new configuration. Returns the source of lists and, if wanted, the list in the file; the rest
/// of the configuration is dropped here, on the thread that read it.
fn read_new_config(
    read: &dyn Fn() -> Result<SenderConfig, ValueError>,
    initial_config: &Value,
    wants_list: bool,
) -> Result<(Source, Option<KnownList>), ValueError> {
    let new = read()?;
    let source = config::reloaded_source(initial_config, &new)?;
    Ok((source, wants_list.then_some(new.known_list)))
}
