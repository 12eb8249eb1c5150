//! The sender: sailcart's decisions carried out on sockets. [`clients`] and [`endpoints`] meet only in
//! [`exchange`], whose calls are [`outgoing`]; [`wire`] is what is spoken, [`memory`] what is kept, [`life`] start and stop.

pub mod caller;
pub mod clients;
pub mod config;
pub mod endpoints;
pub mod exchange;
pub mod inspect;
pub mod life;
pub mod machine;
pub mod memory;
pub mod outgoing;
pub mod pauses;
pub mod platform;
pub mod rhythm;
pub mod socket;
pub mod wire;
