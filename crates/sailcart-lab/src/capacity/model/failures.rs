//! An ordinary day, a zone that is lost, and regions that lose each other.

use super::row::{Area, Mechanism, Resource, Role, Row, Subject};
use super::{Model, assumed, computed, sum, times};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LEDGER: &str = "crates/sailcart-sender/src/memory/ledger.rs";
const LIST: &str = "crates/sailcart-sender/src/platform/";
const DAY_S: f64 = 86_400.0;
/// Share of the fleet that may be missing on an ordinary day.
const MISSING_SHARE: f64 = 0.01;

pub fn rows(model: &Model) -> Vec<Row> {
    [ordinary_day(model), zone(model), regions(model)].concat()
}

fn ordinary_day(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let about =
        |resource, what, unit| Subject { area: Area::OrdinaryDay, role: Role::Fleet, resource, what, unit };
    let recovery = model.added(Quantity::HeldRecovery, inputs.held());
    let ready = sum(recovery, model.at(Quantity::ListStartToReady, inputs.destinations));
    vec![
        about(Resource::Time, "share of senders that are starting", Unit::Count).row(
            times(ready, inputs.restarts_per_day / DAY_S / inputs.senders),
            MISSING_SHARE,
            Mechanism::exists("crates/sailcart-sender/src/life/start.rs"),
            "start to ready with list and backlog x restarts_per_day / senders; one in a hundred may start",
        ),
        about(Resource::State, "events that go with failed machines, backlog at its most", Unit::Count).row(
            computed(inputs.failures_per_day * inputs.held()),
            inputs.lost_events_per_day,
            Mechanism::missing("a copy of the journal off the machine, where its folder goes with it"),
            "failures_per_day x backlog_events / senders a day; lost_events_per_day",
        ),
    ]
}

fn zone(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let more = inputs.zones / (inputs.zones - 1.0);
    let about = |role, resource, what, unit| Subject { area: Area::ZoneLoss, role, resource, what, unit };
    vec![
        about(Role::Sender, Resource::Processor, "events of an ordinary second by the rest", Unit::Cores)
            .row(
                model.at(Quantity::DeliveryProcessor, inputs.sender_rate() * more),
                inputs.sender_core_share,
                Mechanism::exists("crates/sailcart-sender/src/exchange/"),
                "delivery-processor at events_per_s / senders x zones / (zones - 1); sender_core_share",
            ),
        about(Role::Sender, Resource::Memory, "the backlog anew at the rest", Unit::Bytes).row(
            model.at(Quantity::HeldMemory, inputs.held() * more),
            inputs.sender_memory_bytes,
            Mechanism::missing("held packets that stand on the disk alone"),
            "held-memory at backlog_events / senders x zones / (zones - 1); sender_memory_bytes",
        ),
        about(Role::Fleet, Resource::State, "held events out of reach, backlog at its most", Unit::Count)
            .row(
                computed(inputs.backlog_events / inputs.zones),
                inputs.lost_events_per_day,
                Mechanism::missing("a copy of each journal in another zone"),
                "backlog_events / zones; lost_events_per_day",
            ),
        about(
            Role::Control,
            Resource::Messages,
            "whole lists to the zone as it comes back",
            Unit::BytesPerSecond,
        )
        .row(
            times(
                model.at(Quantity::ListBytes, inputs.destinations),
                inputs.zone_senders() / (inputs.control_machines - 1.0) / inputs.ready_s,
            ),
            inputs.control_machine_bytes_per_s,
            Mechanism::missing("discovery at that size: the platform's, not measured here"),
            "list-bytes x senders / zones / (control_machines - 1) / ready_s",
        ),
    ]
}

fn regions(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let piled = inputs.sender_rate() * inputs.across_share * inputs.partition_s;
    let about =
        |resource, what, unit| Subject { area: Area::RegionsApart, role: Role::Sender, resource, what, unit };
    let missed = inputs.list_changes_per_s() * inputs.partition_s;
    // Of one change after the other; those of one destination could be told as one.
    let changes = times(model.at(Quantity::ListChangeBytes, inputs.destinations), missed);
    let from = "events_per_s / senders x across_share x partition_s";
    let machines = (inputs.control_machines / inputs.regions).floor();
    let messages = inputs.list_changes_per_s() * inputs.senders / inputs.regions / machines;
    let control = Subject {
        area: Area::RegionsApart,
        role: Role::Control,
        resource: Resource::Processor,
        what: "changes of the list, by the machines of the smaller part",
        unit: Unit::Cores,
    };
    vec![
        control.row(
            assumed(messages * inputs.control_message_s),
            inputs.control_machine_cores,
            Mechanism::missing("control that goes on in each part: not built, not measured here"),
            "changes a second x senders / regions / machines of the part x control_message_s",
        ),
        about(Resource::Memory, "events that pile up", Unit::Bytes).row(
            model.at(Quantity::HeldMemory, piled),
            inputs.sender_memory_bytes,
            Mechanism::exists(LEDGER),
            &format!("held-memory at {from}; sender_memory_bytes"),
        ),
        about(Resource::Disk, "events that pile up", Unit::Bytes).row(
            model.at(Quantity::HeldJournal, piled),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER),
            &format!("held-journal at {from}; sender_disk_bytes"),
        ),
        about(Resource::State, "events that pile up, by default memory and journal", Unit::Count).row(
            assumed(piled),
            // A quarter of the memory is the most that the journal gets by default.
            inputs.sender_default_bytes / 4.0 / inputs.event_bytes,
            Mechanism::exists(LEDGER),
            &format!("{from}; sender_default_bytes / 4 / event_bytes"),
        ),
        about(Resource::Time, "missed changes at the bytes a second for control", Unit::Seconds).row(
            times(changes, 1.0 / inputs.sender_control_bytes_per_s),
            inputs.partition_s,
            Mechanism::exists(LIST),
            "list-change-bytes x changes a second x partition_s / sender_control_bytes_per_s; partition_s",
        ),
    ]
}
