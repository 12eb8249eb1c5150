//! What is kept in memory, and in the folder that lasts: packets and notices owed, their journal, connections.

pub mod backlog;
pub mod format1;
pub mod ledger;
pub mod moment;
pub mod pool;
pub mod records;
pub mod untold;
pub mod wakes;

use std::time::Duration;

use sailcart::{DestinationId, PacketId};

use self::moment::Moment;

/// A packet as it was handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub number: PacketId,
    pub id: Box<str>,
    pub category: Box<str>,
    pub customer: Option<Box<str>>,
    pub mark: Option<Box<str>>,
    pub about: Option<Box<str>>,
    pub destination: DestinationId,
    pub ends: Moment,
    pub body: Box<[u8]>,
}

/// How far a packet's dispatches have come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stand {
    pub dispatches: u32,
    /// When the first dispatch that may have run was sent.
    pub doubt: Option<Moment>,
    /// When the dispatch that is out was sent.
    pub out: Option<Moment>,
}

/// What the platform is owed for a packet that ended without being delivered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    Dismissed(Option<Duration>),
    Scrapped,
}
