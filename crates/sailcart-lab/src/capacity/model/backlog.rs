//! Rows for held packets and for the remembered ids of completed packets.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, assumed, computed, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LEDGER_FILE: &str = "crates/sailcart-sender/src/memory/ledger.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    [held(model), remembered(model)].concat()
}

fn held(model: &Model) -> Vec<Row> {
    let (inputs, held_packets) = (model.inputs, model.inputs.held_per_sender());
    let label =
        |area, role, resource, description, unit| RowLabel { area, role, resource, description, unit };
    let sender_backlog =
        |resource, description, unit| label(Area::Backlog, Role::Sender, resource, description, unit);
    let recovery_seconds = model.increment(Quantity::HeldRecovery, held_packets);
    let list_seconds = model.estimate_at(Quantity::ListStartToReady, inputs.destinations);
    vec![
        sender_backlog(Resource::Memory, "its part of the backlog", Unit::Bytes).row(
            model.estimate_at(Quantity::HeldMemory, held_packets),
            inputs.sender_memory_bytes,
            Mechanism::missing("held packets that stand on the disk alone"),
            "held-memory at backlog_events / senders; sender_memory_bytes",
        ),
        sender_backlog(Resource::Disk, "its part of the backlog", Unit::Bytes).row(
            model.estimate_at(Quantity::HeldJournal, held_packets),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER_FILE),
            "held-journal at backlog_events / senders; sender_disk_bytes",
        ),
        label(
            Area::Start,
            Role::Sender,
            Resource::Time,
            "recovery of its part of the backlog",
            Unit::Seconds,
        )
        .row(
            recovery_seconds,
            inputs.ready_s,
            Mechanism::missing("clients let in before all that is held is read"),
            "held-recovery's slope x backlog_events / senders; ready_s",
        ),
        label(
            Area::Start,
            Role::Sender,
            Resource::Time,
            "start to ready with list and backlog",
            Unit::Seconds,
        )
        .row(
            sum(recovery_seconds, list_seconds),
            inputs.ready_s,
            Mechanism::missing("clients let in before all that is held is read"),
            "the same and list-start-to-ready; ready_s",
        ),
        label(Area::Backlog, Role::Fleet, Resource::Time, "until the backlog is worked off", Unit::Seconds)
            .row(
                assumed(inputs.backlog_events / (inputs.events_per_s * inputs.spare_share)),
                inputs.drain_within_s,
                Mechanism::exists("src/control.rs"),
                "backlog_events / (events_per_s x spare_share); drain_within_s",
            ),
    ]
}

fn remembered(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let remembered_ids = inputs.events_per_s_per_sender() * inputs.duplicates_window_s;
    let label = |resource, description, unit| RowLabel {
        area: Area::Deduplication,
        role: Role::Sender,
        resource,
        description,
        unit,
    };
    let not_shared = Mechanism::missing("an id that comes again at another sender is not known there");
    vec![
        label(Resource::State, "ids remembered, by default memory", Unit::Count).row(
            assumed(remembered_ids),
            inputs.sender_default_bytes / inputs.remembered_id_bytes,
            Mechanism::exists(LEDGER_FILE),
            "events_per_s / senders x duplicates_window_s; sender_default_bytes / remembered_id_bytes",
        ),
        label(Resource::Memory, "ids remembered", Unit::Bytes).row(
            model.increment(Quantity::CompletedMemory, remembered_ids),
            inputs.sender_control_bytes,
            Mechanism::exists(LEDGER_FILE),
            "ended-memory's slope x events_per_s / senders x duplicates_window_s; sender_control_bytes",
        ),
        label(Resource::Disk, "ids remembered", Unit::Bytes).row(
            model.increment(Quantity::CompletedJournal, remembered_ids),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER_FILE),
            "ended-journal's slope x the same; sender_disk_bytes",
        ),
        label(Resource::State, "senders that should know an id; one does", Unit::Count).row(
            computed(inputs.senders),
            1.0,
            not_shared,
            "senders",
        ),
    ]
}
