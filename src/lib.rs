//! sailcart decides which packet is dispatched to which endpoint of an outside receiver, and when.
//!
//! [`control`] holds every decision, [`host`] the interface between it and whatever carries the packets. What is kept
//! without deciding anything stands beside them: the list as told (`listing`), destinations and calls (`state`), tables that count their use (`counting_map`), a
//! token bucket (`token_bucket`), a decaying counter (`decaying_counter`).

pub mod control;
mod counting_map;
mod decaying_counter;
pub mod host;
mod listing;
mod state;
mod token_bucket;

pub use control::Sender;
pub use host::*;
