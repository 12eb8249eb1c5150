//! Reload: at SIGHUP the configuration is read anew and checked whole. A faulty one changes nothing.

use std::net::SocketAddr;

use sailcart_terms::Fault;
use serde_json::Value;
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{self, Mandate};

/// Reads the configuration from where it was read at the start.
pub type Read = Box<dyn Fn() -> Result<Mandate, Fault>>;

pub async fn reload(mut hang_up: Signal, old: Value, read: Read, place: watch::Sender<SocketAddr>) {
    while hang_up.recv().await.is_some() {
        match read().and_then(|new| config::moved(&old, &new)) {
            Ok(discovery) => {
                let moved = place.send_if_modified(|place| std::mem::replace(place, discovery) != discovery);
                log::info!("reload: discovery at {discovery}, code={}", if moved { "moved" } else { "kept" });
            }
            Err(fault) => log::error!("reload: the old configuration stays, code=faulty {}", fault.0),
        }
    }
}
