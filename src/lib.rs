//! Decides which packet is dispatched to which endpoint of an outside receiver, and when.
//!
//! The decisions:
//! - [`control`] decides about packets, with `upstream` for what is learned about one upstream and `parameters` for
//!   the values derived from the settings;
//! - [`response_matching`] and [`response_doubt`] decide about responses that may belong to another call;
//! - [`memory_budget`] divides the memory, and [`input_share`] the time for the input of clients.
//!
//! [`host`] is the interface between them and the program that carries the packets. The other modules hold data and
//! decide nothing: the destination list (`listing`), destinations, endpoints and calls (`state`), held packets, calls
//! in flight and ordering keys with their indexes (`held_packets`, `calls_in_flight`, `key_queues`), upstreams in use and kept ones (`upstreams`), endpoints that
//! were removed a short time ago (`departed_endpoints`), the destinations
//! that compete for slots (`slot_candidates`), the phases of a round (`round_phase`), a map that counts its accesses
//! (`counting_map`), a token bucket (`token_bucket`) and an exponentially decaying counter (`decaying_counter`).

pub mod call_size;
mod calls_in_flight;
pub mod control;
mod counting_map;
mod decaying_counter;
mod departed_endpoints;
mod held_packets;
pub mod host;
pub mod input_share;
mod key_queues;
mod listing;
pub mod memory_budget;
mod parameters;
pub mod response_doubt;
pub mod response_matching;
pub mod round_phase;
mod slot_candidates;
pub mod starting_list;
mod state;
mod token_bucket;
mod upstream;
mod upstreams;

pub use control::Sender;
pub use host::*;
