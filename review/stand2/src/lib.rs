//! Stand-ins that the cases share, on the standard library alone: endpoints, discovery with the receiver of
//! notices, clients, and the sender as a process of its own. All addresses are loopback addresses.

pub mod endpoint;
pub mod http;
pub mod json;
pub mod settings;
pub mod world;
