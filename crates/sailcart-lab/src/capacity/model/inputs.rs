//! The named inputs of the model. The defaults describe the size planned for two years from now; a TOML file
//! can change any of them.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::experiment::LabError;

/// How the default of an input was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Part of the planned size.
    Planned,
    /// A default or constant of this project.
    Project,
    /// An estimate that nobody measured.
    Assumed,
}

impl Source {
    /// The name on the page.
    pub fn page_name(self) -> &'static str {
        match self {
            Source::Planned => "planned",
            Source::Project => "this project",
            Source::Assumed => "assumed",
        }
    }
}

/// An input as it appears on the page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedInput {
    pub name: &'static str,
    pub value: f64,
    pub source: Source,
    pub description: &'static str,
}

macro_rules! inputs {
    ($($name:ident: $default:expr, $source:ident, $description:literal;)*) => {
        /// All inputs, each in the unit that its description states: seconds, bytes, cores or a number.
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct Inputs {
            $(#[doc = $description] pub $name: f64,)*
        }

        impl Default for Inputs {
            fn default() -> Self {
                Inputs { $($name: $default,)* }
            }
        }

        impl Inputs {
            /// All inputs in the order of the page.
            pub fn named_inputs(&self) -> Vec<NamedInput> {
                vec![$(NamedInput {
                    name: stringify!($name),
                    value: self.$name,
                    source: Source::$source,
                    description: $description,
                },)*]
            }
        }
    };
}

inputs! {
    senders: 2600.0, Planned, "senders";
    events_per_s: 320_000.0, Planned, "events a second, all senders";
    destinations: 440_000.0, Planned, "destinations, one endpoint each";
    down_share: 0.019, Planned, "share of the destinations that is down at any time";
    backlog_events: 13e9, Planned, "events held at most, all senders";
    zones: 7.0, Planned, "zones, with the same number of senders each";
    regions: 2.0, Planned, "regions";
    config_changes_per_day: 3700.0, Planned, "changes of configuration a day";
    config_within_s: 8.0, Planned, "seconds until a change is in force everywhere";
    control_machines: 7.0, Planned, "machines set aside for control";
    sender_control_cores: 0.04, Planned, "of a core that a sender may spend for control";
    sender_control_bytes: 128e6, Planned, "bytes of memory that a sender may spend for control";
    sender_control_bytes_per_s: 3000.0, Planned, "bytes a second that a sender may spend for control";
    failures_per_day: 10.0, Planned, "machines that fail on an ordinary day";
    restarts_per_day: 480.0, Planned, "senders restarted or replaced on an ordinary day";
    partition_s: 3600.0, Planned, "seconds for which regions lose each other";
    ready_s: 10.0, Project, "seconds in which a started sender has to be ready (nine in ten: life/start.rs)";
    sender_default_bytes: 192e6, Project, "bytes of memory of a sender by default (limits.memory_mb)";
    sender_default_sockets: 1024.0, Project, "descriptors of a sender by default (limits.sockets)";
    remembered_id_bytes: 8192.0, Project, "bytes of a sender's memory for each id remembered (64 x 128: config/mod.rs)";
    outage_s: 600.0, Assumed, "mean seconds of a destination's outage";
    event_bytes: 1024.0, Assumed, "bytes of an event's body; what is measured with held packets has as many";
    zipf: 1.0, Assumed, "skew of traffic: rate of the destination of rank r in step with 1 / r^zipf";
    learn_within_s: 60.0, Assumed, "seconds in which a sender should see anew how a destination stands";
    owners: 2.0, Assumed, "senders that would deliver to one destination, were destinations placed on senders";
    sender_core_share: 0.7, Assumed, "of a core that a sender may spend to deliver";
    sender_memory_bytes: 4e9, Assumed, "bytes of memory of a sender's machine that held packets may take";
    sender_disk_bytes: 50e9, Assumed, "bytes of a sender's disk";
    drain_within_s: 86_400.0, Assumed, "seconds in which the whole backlog should be gone";
    spare_share: 0.2, Assumed, "of the usual rate that is free to work off a backlog";
    duplicates_window_s: 3600.0, Assumed, "seconds for which an id that comes again should be known";
    lost_events_per_day: 1.0, Assumed, "events that may be lost a day; one stands for none";
    pause_s: 0.05, Planned, "seconds that a client may wait for PING";
    config_bytes: 2000.0, Assumed, "bytes of a change of configuration";
    control_machine_cores: 8.0, Assumed, "cores of a control machine";
    control_machine_bytes: 32e9, Assumed, "bytes of memory of a control machine";
    control_machine_bytes_per_s: 1.25e9, Assumed, "bytes a second that a control machine sends";
    control_message_s: 20e-6, Assumed, "processor seconds of a control machine for a message";
    control_copies: 3.0, Assumed, "copies of the directory in a control machine, old, new and being sent";
    heartbeat_s: 1.0, Assumed, "seconds from one heartbeat of a sender to the next";
    heartbeat_bytes: 300.0, Assumed, "bytes of a heartbeat and its answer";
    member_bytes: 64.0, Assumed, "bytes that tell of one sender";
    clients_per_sender: 200.0, Assumed, "connections of clients to a sender";
    idle_keep_s: 60.0, Assumed, "seconds for which an idle connection to an endpoint is kept";
    answer_s: 0.2, Assumed, "seconds of a call";
    endpoint_connections: 100.0, Assumed, "connections that an endpoint takes";
    across_share: 0.5, Assumed, "of the events that goes from one region to the other";
}

impl Inputs {
    /// Reads a TOML file of inputs; those that it does not name keep their defaults. The error names the
    /// file, and the input if it is unknown.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| LabError(format!("{}: {error}", path.display())))?;
        toml::from_str(&text).map_err(|error| LabError(format!("{}: {error}", path.display())))
    }

    /// Events per second of one sender.
    pub fn events_per_s_per_sender(&self) -> f64 {
        self.events_per_s / self.senders
    }

    /// Changes of the list per second: each outage is one change at its start and one at its end.
    pub fn list_changes_per_s(&self) -> f64 {
        2.0 * self.destinations * self.down_share / self.outage_s
    }

    /// Events held by one sender.
    pub fn held_per_sender(&self) -> f64 {
        self.backlog_events / self.senders
    }

    /// Senders in one zone, rounded down.
    pub fn senders_per_zone(&self) -> f64 {
        (self.senders / self.zones).floor()
    }

    /// Events per second of the destination with this rank by traffic, from 1.
    pub fn events_per_s_of_rank(&self, rank: f64) -> f64 {
        let weight = |rank: f64| rank.powf(-self.zipf);
        let total_weight: f64 = (1..=self.destinations as u64).map(|rank| weight(rank as f64)).sum();
        self.events_per_s * weight(rank) / total_weight
    }
}
