//! Connections from senders to endpoints: reused, kept idle and closed.

use std::time::Duration;

use sailcart::EndpointId;

use super::world::World;
use crate::plan::{Plan, SenderId};

/// Time after which a sender closes an idle connection to an endpoint: 7/8 of the idle timeout of the
/// receiver, so that the sender closes it first.
fn idle_timeout(plan: &Plan, endpoint: EndpointId) -> Duration {
    plan.group(plan.endpoint(endpoint).destination).idle_close * 7 / 8
}

impl World<'_> {
    /// Removes the most recently used idle connection to an endpoint. Returns whether there was one and it is
    /// still usable; an unusable one is closed.
    pub fn reuse_idle(&mut self, sender: SenderId, endpoint: EndpointId) -> bool {
        let Some(idle_since) = self.senders[sender.0].idle_connections.entry(endpoint).or_default().pop()
        else {
            return false;
        };
        let reachable = self.receivers.reachable(self.plan, self.now, endpoint);
        let usable = reachable && self.now < idle_since + idle_timeout(self.plan, endpoint);
        if !usable {
            self.receivers.disconnected(endpoint);
        }
        usable
    }

    /// Adds a connection that is no longer in use to the idle connections.
    pub fn add_idle(&mut self, sender: SenderId, endpoint: EndpointId) {
        self.senders[sender.0].idle_connections.entry(endpoint).or_default().push(self.now);
    }

    /// Closes all idle connections of a sender to one endpoint.
    pub fn close_idle(&mut self, sender: SenderId, endpoint: EndpointId) {
        let idle = self.senders[sender.0].idle_connections.remove(&endpoint).unwrap_or_default();
        for _ in idle {
            self.receivers.disconnected(endpoint);
        }
    }

    /// Closes all idle connections of a sender.
    pub fn close_all_idle(&mut self, sender: SenderId) {
        for (endpoint, idle) in std::mem::take(&mut self.senders[sender.0].idle_connections) {
            for _ in idle {
                self.receivers.disconnected(endpoint);
            }
        }
    }

    /// Closes the connections that have exceeded their idle timeout.
    pub fn close_expired(&mut self) {
        for state in &mut self.senders {
            for (endpoint, idle) in &mut state.idle_connections {
                let timeout = idle_timeout(self.plan, *endpoint);
                let count_before = idle.len();
                idle.retain(|idle_since| self.now < *idle_since + timeout);
                for _ in idle.len()..count_before {
                    self.receivers.disconnected(*endpoint);
                }
            }
        }
    }
}
