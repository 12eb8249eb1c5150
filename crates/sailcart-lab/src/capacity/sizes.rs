//! The sizes at which each quantity is measured, and the duration of each measurement.

use std::time::Duration;

/// Sizes and durations of one run.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Destinations in the list of a sender process, with one endpoint each.
    pub destinations: Vec<usize>,
    /// Destinations in the list of a decision module that is measured alone.
    pub module_destinations: Vec<usize>,
    /// Packets held by a sender.
    pub held_packets: Vec<usize>,
    /// Connections from clients.
    pub client_connections: Vec<usize>,
    /// Connections to endpoints.
    pub endpoint_connections: Vec<usize>,
    /// Delivered packets whose ids the sender remembers.
    pub completed_packets: Vec<usize>,
    /// Packets delivered in a second.
    pub packets_per_second: Vec<usize>,
    /// How long the processor use of an idle sender is measured.
    pub idle_span: Duration,
    /// How long changes of the list are published while processor time is measured.
    pub change_span: Duration,
    /// How long changes of the list are published while a client measures pauses.
    pub pause_span: Duration,
    /// How long packets are delivered at each rate.
    pub delivery_span: Duration,
    /// Simulated time for which a decision module receives packets.
    pub module_span: Duration,
    /// Maximum real time of that measurement; it stops there even if `module_span` is not reached.
    pub max_module_time: Duration,
}

impl Sizes {
    /// All sizes; a run takes less than six minutes.
    pub fn full() -> Self {
        Sizes {
            destinations: vec![20, 5_000, 20_000, 80_000, 160_000, 440_000],
            module_destinations: vec![20, 5_000, 20_000, 80_000, 160_000, 440_000],
            held_packets: vec![0, 5_000, 20_000, 50_000, 100_000],
            client_connections: vec![0, 500, 1_000, 2_000, 4_000],
            endpoint_connections: vec![0, 250, 500, 1_000, 2_000],
            completed_packets: vec![0, 5_000, 10_000, 20_000, 40_000],
            packets_per_second: vec![100, 250, 500, 1_000, 2_000],
            idle_span: Duration::from_secs(5),
            change_span: Duration::from_secs(10),
            pause_span: Duration::from_secs(4),
            delivery_span: Duration::from_secs(4),
            module_span: Duration::from_secs(3600),
            max_module_time: Duration::from_secs(12),
        }
    }

    /// Fewer and smaller sizes; a run takes about two minutes.
    pub fn quick() -> Self {
        Sizes {
            destinations: vec![20, 5_000, 10_000, 20_000],
            module_destinations: vec![20, 5_000, 20_000, 80_000],
            held_packets: vec![0, 2_000, 5_000, 20_000],
            client_connections: vec![0, 250, 500, 1_000],
            endpoint_connections: vec![0, 100, 250, 500],
            completed_packets: vec![0, 2_000, 5_000, 10_000],
            packets_per_second: vec![100, 250, 500, 1_000],
            idle_span: Duration::from_secs(5),
            change_span: Duration::from_secs(5),
            pause_span: Duration::from_secs(3),
            delivery_span: Duration::from_secs(2),
            module_span: Duration::from_secs(600),
            max_module_time: Duration::from_secs(4),
        }
    }
}
