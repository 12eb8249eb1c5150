//! sailcart decides which packet is dispatched to which endpoint of an outside receiver, and when.
//!
//! [`control`] holds every decision, [`host`] the interface between it and whatever carries the packets.

pub mod control;
pub mod host;

pub use control::Sender;
pub use host::*;
