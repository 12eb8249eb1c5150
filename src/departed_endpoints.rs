//! The upstreams of endpoints that were removed a short time ago, for responses that still arrive from them. This module
//! decides nothing.

use std::collections::VecDeque;
use std::time::Duration;

use crate::host::EndpointId;
use crate::state::UpstreamId;

/// Largest number of endpoints; beyond it the earliest are dropped.
const MAX_ENDPOINTS: usize = 1024;

struct DepartedEndpoint {
    endpoint: EndpointId,
    upstream_id: UpstreamId,
    until: Duration,
}

/// Removed endpoints, the earliest first.
#[derive(Default)]
pub(crate) struct DepartedEndpoints(VecDeque<DepartedEndpoint>);

impl DepartedEndpoints {
    /// Adds an endpoint that is removed now, for a span.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        span: Duration,
        endpoint: EndpointId,
        upstream_id: UpstreamId,
    ) {
        while self.0.front().is_some_and(|first| first.until <= now || self.0.len() >= MAX_ENDPOINTS) {
            self.0.pop_front();
        }
        self.0.push_back(DepartedEndpoint { endpoint, upstream_id, until: now.saturating_add(span) });
    }

    /// The upstream of an endpoint.
    pub(crate) fn upstream_id(&self, endpoint: EndpointId) -> Option<UpstreamId> {
        self.0
            .iter()
            .rev()
            .find(|departed| departed.endpoint == endpoint)
            .map(|departed| departed.upstream_id)
    }
}
