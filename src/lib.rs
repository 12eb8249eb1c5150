//! sailcart decides which packet is dispatched to which endpoint of an outside receiver, and when.
//!
//! [`control`] holds every decision, [`host`] the interface between it and whatever carries the packets. What is kept
//! without deciding anything stands beside them: the list as told (`listing`), destinations and calls (`state`), tables that count their use (`table`), a
//! token bucket (`bucket`), a decaying counter (`decay`).

mod bucket;
pub mod control;
mod decay;
pub mod host;
mod listing;
mod state;
mod table;

pub use control::Sender;
pub use host::*;
