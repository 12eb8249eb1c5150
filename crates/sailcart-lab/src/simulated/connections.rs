//! Senders' connections to endpoints: kept while idle, used again, and closed.

use std::time::Duration;

use sailcart::EndpointId;

use super::world::World;
use crate::plan::{Plan, SenderId};

/// Senders close an idle connection before its receiver does: after this part of the receiver's time.
fn keep_idle(plan: &Plan, endpoint: EndpointId) -> Duration {
    plan.group(plan.place(endpoint).destination).idle_close * 7 / 8
}

impl World<'_> {
    /// Takes the connection that is idle for the shortest time, if it can still be used.
    pub fn reuse_idle(&mut self, sender: SenderId, endpoint: EndpointId) -> bool {
        let Some(since) = self.senders[sender.0].idle.entry(endpoint).or_default().pop() else {
            return false;
        };
        let reachable = self.receivers.reachable(self.plan, self.now, endpoint);
        let usable = reachable && self.now < since + keep_idle(self.plan, endpoint);
        if !usable {
            self.receivers.disconnected(endpoint);
        }
        usable
    }

    /// A connection is no longer in use, and is kept.
    pub fn keep(&mut self, sender: SenderId, endpoint: EndpointId) {
        self.senders[sender.0].idle.entry(endpoint).or_default().push(self.now);
    }

    /// Closes all of a sender's idle connections to one endpoint.
    pub fn close_idle(&mut self, sender: SenderId, endpoint: EndpointId) {
        let idle = self.senders[sender.0].idle.remove(&endpoint).unwrap_or_default();
        for _ in idle {
            self.receivers.disconnected(endpoint);
        }
    }

    /// Closes all of a sender's idle connections.
    pub fn close_all_idle(&mut self, sender: SenderId) {
        for (endpoint, idle) in std::mem::take(&mut self.senders[sender.0].idle) {
            for _ in idle {
                self.receivers.disconnected(endpoint);
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self) {
        for state in &mut self.senders {
            for (endpoint, idle) in &mut state.idle {
                let keep = keep_idle(self.plan, *endpoint);
                let before = idle.len();
                idle.retain(|since| self.now < *since + keep);
                for _ in idle.len()..before {
                    self.receivers.disconnected(*endpoint);
                }
            }
        }
    }
}
