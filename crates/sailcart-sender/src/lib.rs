//! The sender: carries out the decisions of `sailcart` on sockets. [`clients`] serves the clients,
//! [`endpoints`] sends calls, and [`exchange`] connects them; [`outgoing`] defines its calls. [`wire`] reads
//! and writes the protocols, [`memory`] holds the state and the journal, and [`life`] starts and stops the
//! process.

pub mod backoff;
pub mod client_input;
pub mod clients;
pub mod config;
pub mod deadline;
pub mod endpoint_connection;
pub mod endpoints;
pub mod exchange;
pub mod input_turns;
pub mod inspect;
pub mod life;
pub mod local_errors;
pub mod log_format;
pub mod memory;
pub mod memory_share;
pub mod outgoing;
pub mod platform;
pub mod polling;
pub mod response;
pub mod socket;
pub mod wire;
