//! How much of each thing is measured, and for how long.

use std::time::Duration;

/// Sizes and spans of one run.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Destinations in the list of a real sender, one endpoint each.
    pub destinations: Vec<usize>,
    /// Destinations in the list of a hollow sender.
    pub hollow_destinations: Vec<usize>,
    /// Packets that a sender holds.
    pub held: Vec<usize>,
    /// Connections from clients.
    pub clients: Vec<usize>,
    /// Connections to endpoints.
    pub endpoints: Vec<usize>,
    /// Packets delivered and over, whose ids are remembered.
    pub ended: Vec<usize>,
    /// Packets delivered in a second.
    pub rates: Vec<usize>,
    /// How long a sender is watched at rest.
    pub rest: Duration,
    /// How long changes of the list come, while processor time is measured.
    pub changes: Duration,
    /// How long changes of the list come, while a client measures pauses.
    pub pauses: Duration,
    /// How long packets are delivered at each rate.
    pub delivery: Duration,
    /// Made-up time for which a hollow sender gets packets.
    pub hollow_span: Duration,
    /// Real time after which a hollow measurement ends wherever it is.
    pub hollow_limit: Duration,
}

impl Sizes {
    /// All sizes, in less than six minutes.
    pub fn full() -> Self {
        Sizes {
            destinations: vec![20, 5_000, 20_000, 80_000, 160_000, 440_000],
            hollow_destinations: vec![20, 5_000, 20_000, 80_000, 160_000, 440_000],
            held: vec![0, 5_000, 20_000, 50_000, 100_000],
            clients: vec![0, 500, 1_000, 2_000, 4_000],
            endpoints: vec![0, 250, 500, 1_000, 2_000],
            ended: vec![0, 5_000, 10_000, 20_000, 40_000],
            rates: vec![100, 250, 500, 1_000, 2_000],
            rest: Duration::from_secs(5),
            changes: Duration::from_secs(10),
            pauses: Duration::from_secs(4),
            delivery: Duration::from_secs(4),
            hollow_span: Duration::from_secs(3600),
            hollow_limit: Duration::from_secs(12),
        }
    }

    /// Fewer and smaller sizes, in about two minutes.
    pub fn quick() -> Self {
        Sizes {
            destinations: vec![20, 5_000, 10_000, 20_000],
            hollow_destinations: vec![20, 5_000, 20_000, 80_000],
            held: vec![0, 2_000, 5_000, 20_000],
            clients: vec![0, 250, 500, 1_000],
            endpoints: vec![0, 100, 250, 500],
            ended: vec![0, 2_000, 5_000, 10_000],
            rates: vec![100, 250, 500, 1_000],
            rest: Duration::from_secs(5),
            changes: Duration::from_secs(5),
            pauses: Duration::from_secs(3),
            delivery: Duration::from_secs(2),
            hollow_span: Duration::from_secs(600),
            hollow_limit: Duration::from_secs(4),
        }
    }
}
