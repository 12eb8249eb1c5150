//! Held packets, and ids of those that are over.

use super::row::{Area, Mechanism, Resource, Role, Row, Subject};
use super::{Model, assumed, computed, sum};
use crate::capacity::series::Quantity;
use crate::capacity::unit::Unit;

const LEDGER: &str = "crates/sailcart-sender/src/memory/ledger.rs";

pub fn rows(model: &Model) -> Vec<Row> {
    [held(model), remembered(model)].concat()
}

fn held(model: &Model) -> Vec<Row> {
    let (inputs, held) = (model.inputs, model.inputs.held());
    let about = |area, role, resource, what, unit| Subject { area, role, resource, what, unit };
    let sender = |resource, what, unit| about(Area::Backlog, Role::Sender, resource, what, unit);
    let recovery = model.added(Quantity::HeldRecovery, held);
    let list = model.at(Quantity::ListStartToReady, inputs.destinations);
    vec![
        sender(Resource::Memory, "its part of the backlog", Unit::Bytes).row(
            model.at(Quantity::HeldMemory, held),
            inputs.sender_memory_bytes,
            Mechanism::missing("held packets that stand on the disk alone"),
            "held-memory at backlog_events / senders; sender_memory_bytes",
        ),
        sender(Resource::Disk, "its part of the backlog", Unit::Bytes).row(
            model.at(Quantity::HeldJournal, held),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER),
            "held-journal at backlog_events / senders; sender_disk_bytes",
        ),
        about(
            Area::Start,
            Role::Sender,
            Resource::Time,
            "recovery of its part of the backlog",
            Unit::Seconds,
        )
        .row(
            recovery,
            inputs.ready_s,
            Mechanism::missing("clients let in before all that is held is read"),
            "held-recovery's slope x backlog_events / senders; ready_s",
        ),
        about(
            Area::Start,
            Role::Sender,
            Resource::Time,
            "start to ready with list and backlog",
            Unit::Seconds,
        )
        .row(
            sum(recovery, list),
            inputs.ready_s,
            Mechanism::missing("clients let in before all that is held is read"),
            "the same and list-start-to-ready; ready_s",
        ),
        about(Area::Backlog, Role::Fleet, Resource::Time, "until the backlog is worked off", Unit::Seconds)
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
    let ids = inputs.sender_rate() * inputs.duplicates_window_s;
    let about = |resource, what, unit| Subject {
        area: Area::Deduplication,
        role: Role::Sender,
        resource,
        what,
        unit,
    };
    let elsewhere = Mechanism::missing("an id that comes again at another sender is not known there");
    vec![
        about(Resource::State, "ids remembered, by default memory", Unit::Count).row(
            assumed(ids),
            inputs.sender_default_bytes / inputs.remembered_id_bytes,
            Mechanism::exists(LEDGER),
            "events_per_s / senders x duplicates_window_s; sender_default_bytes / remembered_id_bytes",
        ),
        about(Resource::Memory, "ids remembered", Unit::Bytes).row(
            model.added(Quantity::EndedMemory, ids),
            inputs.sender_control_bytes,
            Mechanism::exists(LEDGER),
            "ended-memory's slope x events_per_s / senders x duplicates_window_s; sender_control_bytes",
        ),
        about(Resource::Disk, "ids remembered", Unit::Bytes).row(
            model.added(Quantity::EndedJournal, ids),
            inputs.sender_disk_bytes,
            Mechanism::exists(LEDGER),
            "ended-journal's slope x the same; sender_disk_bytes",
        ),
        about(Resource::State, "senders that should know an id; one does", Unit::Count).row(
            computed(inputs.senders),
            1.0,
            elsewhere,
            "senders",
        ),
    ]
}
