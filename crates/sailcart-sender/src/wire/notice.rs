//! Notices: the platform is notified of packets that completed without being delivered.

use std::time::Duration;

use serde_json::json;

/// Path that notices are posted to.
pub const PATH: &str = "/status";

/// The entry of a notice for a dismissed packet. `retry_after` is the requested wait before it is submitted
/// again; zero counts as none.
pub fn dismissed(id: &str, retry_after: Option<Duration>) -> String {
    match retry_after.filter(|wait| !wait.is_zero()) {
        None => format!("{}\n", json!({"message": id, "outcome": "handed_back"})),
        Some(wait) => {
            let ms = wait.as_millis() as u64;
            format!("{}\n", json!({"message": id, "outcome": "handed_back", "retry_in_ms": ms}))
        }
    }
}

/// The entry of a notice for a scrapped packet.
pub fn scrapped(id: &str) -> String {
    format!("{}\n", json!({"message": id, "outcome": "given_up"}))
}
