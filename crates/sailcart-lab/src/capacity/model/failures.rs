//! Rows for an ordinary day, the loss of a zone, and regions that lose the connection to each other.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, assumed, computed, scaled, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LEDGER_FILE: &str = "crates/sailcart-sender/src/memory/ledger.rs";
const LIST_FILES: &str = "crates/sailcart-sender/src/platform/";
const DAY_S: f64 = 86_400.0;
/// Maximum share of the fleet that may be starting, and so be unavailable, on an ordinary day.
const MAX_STARTING_SHARE: f64 = 0.01;

pub fn rows(model: &Model) -> Vec<Row> {
    [ordinary_day(model), zone_loss(model), regions_apart(model)].concat()
}

fn ordinary_day(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let label = |resource, description, unit| RowLabel {
        area: Area::OrdinaryDay,
        role: Role::Fleet,
        resource,
        description,
        unit,
    };
    let recovery = model.increment(Quantity::HeldRecovery, inputs.held_per_sender());
    let start_seconds = sum(recovery, model.estimate_at(Quantity::ListStartToReady, inputs.destinations));
    vec![
        label(Resource::Time, "share of senders that are starting", Unit::Count).row(
            scaled(start_seconds, inputs.restarts_per_day / DAY_S / inputs.senders),
            MAX_STARTING_SHARE,
            Mechanism::exists("crates/sailcart-sender/src/life/start.rs"),
            "start to ready with list and backlog x restarts_per_day / senders; one in a hundred may start",
        ),
        label(Resource::State, "events that go with failed machines, backlog at its most", Unit::Count).row(
            computed(inputs.failures_per_day * inputs.held_per_sender()),
            inputs.lost_events_per_day,
            Mechanism::missing("a copy of the journal off the machine, where its folder goes with it"),
            "failures_per_day x backlog_events / senders a day; lost_events_per_day",
        ),
    ]
}

fn zone_loss(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let load_factor = inputs.zones / (inputs.zones - 1.0);
    let label = |role, resource, description, unit| RowLabel {
        area: Area::ZoneLoss,
        role,
        resource,
        description,
        unit,
    };
    vec![
        label(Role::Sender, Resource::Processor, "events of an ordinary second by the rest", Unit::Cores)
            .row(
                model
                    .estimate_at(Quantity::DeliveryProcessor, inputs.events_per_s_per_sender() * load_factor),
                inputs.sender_core_share,
                Mechanism::exists("crates/sailcart-sender/src/exchange/"),
                "delivery-processor at events_per_s / senders x zones / (zones - 1); sender_core_share",
            ),
        label(Role::Sender, Resource::Memory, "the backlog anew at the rest", Unit::Bytes).row(
            model.estimate_at(Quantity::HeldMemory, inputs.held_per_sender() * load_factor),
            inputs.sender_memory_bytes,
            Mechanism::missing("held packets that stand on the disk alone"),
            "held-memory at backlog_events / senders x zones / (zones - 1); sender_memory_bytes",
        ),
        label(Role::Fleet, Resource::State, "held events out of reach, backlog at its most", Unit::Count)
            .row(
                computed(inputs.backlog_events / inputs.zones),
                inputs.lost_events_per_day,
                Mechanism::missing("a copy of each journal in another zone"),
                "backlog_events / zones; lost_events_per_day",
            ),
        label(
            Role::Control,
            Resource::Messages,
            "whole lists to the zone as it comes back",
            Unit::BytesPerSecond,
        )
        .row(
            scaled(
                model.estimate_at(Quantity::ListBytes, inputs.destinations),
                inputs.senders_per_zone() / (inputs.control_machines - 1.0) / inputs.ready_s,
            ),
            inputs.control_machine_bytes_per_s,
            Mechanism::missing("discovery at that size: the platform's, not measured here"),
            "list-bytes x senders / zones / (control_machines - 1) / ready_s",
        ),
    ]
}

fn regions_apart(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let accumulated_events = inputs.events_per_s_per_sender() * inputs.across_share * inputs.partition_s;
    let label = |resource, description, unit| RowLabel {
        area: Area::RegionsApart,
        role: Role::Sender,
        resource,
        description,
        unit,
    };
    let missed_changes = inputs.list_changes_per_s() * inputs.partition_s;
    // Each change is counted separately, although several changes of one destination could be sent as one.
    let change_bytes =
        scaled(model.estimate_at(Quantity::ListChangeBytes, inputs.destinations), missed_changes);
    let derivation = "events_per_s / senders x across_share x partition_s";
    let machines_per_region = (inputs.control_machines / inputs.regions).floor();
    let messages_per_s = inputs.list_changes_per_s() * inputs.senders / inputs.regions / machines_per_region;
    let control = RowLabel {
        area: Area::RegionsApart,
        role: Role::Control,
        resource: Resource::Processor,
        description: "changes of the list, by the machines of the smaller part",
        unit: Unit::Cores,
    };
    vec![
        control.row(
            assumed(messages_per_s * inputs.control_message_s),
            inputs.control_machine_cores,
            Mechanism::missing("control that goes on in each part: not built, not measured here"),
            "changes a second x senders / regions / machines of the part x control_message_s",
        ),
        label(Resource::Memory, "events that pile up", Unit::Bytes).row(
            model.estimate_at(Quantity::HeldMemory, accumulated_events),
            inputs.sender_memory_bytes,
            Mechanism::exists(LEDGER_FILE),
            &format!("held-memory at {derivation}; sender_memory_bytes"),
        ),
        label(Resource::Disk, "events that pile up", Unit::Bytes).row(
            model.estimate_at(Quantity::HeldJournal, accumulated_events),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER_FILE),
            &format!("held-journal at {derivation}; sender_disk_bytes"),
        ),
        label(Resource::State, "events that pile up, by default memory and journal", Unit::Count).row(
            assumed(accumulated_events),
            // By default the journal gets at most a quarter of the memory.
            inputs.sender_default_bytes / 4.0 / inputs.event_bytes,
            Mechanism::exists(LEDGER_FILE),
            &format!("{derivation}; sender_default_bytes / 4 / event_bytes"),
        ),
        label(Resource::Time, "missed changes at the bytes a second for control", Unit::Seconds).row(
            scaled(change_bytes, 1.0 / inputs.sender_control_bytes_per_s),
            inputs.partition_s,
            Mechanism::exists(LIST_FILES),
            "list-change-bytes x changes a second x partition_s / sender_control_bytes_per_s; partition_s",
        ),
    ]
}
