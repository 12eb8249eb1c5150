//! Rows for configuration and membership. Neither has a mechanism yet, so the rows state the load that one
//! would have to handle.

use super::row::{Area, Mechanism, Resource, Role, Row, RowLabel};
use super::{Model, assumed, computed};
use crate::capacity::unit::Unit;

const DAY_S: f64 = 86_400.0;

pub fn rows(model: &Model) -> Vec<Row> {
    [configuration(model), membership(model)].concat()
}

fn configuration(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let label = |role, resource, description, unit| RowLabel {
        area: Area::Configuration,
        role,
        resource,
        description,
        unit,
    };
    let missing = || Mechanism::missing("changes told to senders, and in force without a new start");
    let changes_per_s = inputs.config_changes_per_day / DAY_S;
    let senders_per_machine = inputs.senders / inputs.control_machines;
    vec![
        label(Role::Fleet, Resource::Time, "a change in force: today at the next start", Unit::Seconds).row(
            computed(DAY_S * inputs.senders / inputs.restarts_per_day),
            inputs.config_within_s,
            Mechanism::missing("as below; life/reload.rs takes over where discovery is, and nothing else"),
            "senders / restarts_per_day; config_within_s",
        ),
        label(Role::Sender, Resource::Messages, "changes of configuration", Unit::BytesPerSecond).row(
            assumed(changes_per_s * inputs.config_bytes),
            inputs.sender_control_bytes_per_s,
            missing(),
            "config_changes_per_day x config_bytes",
        ),
        label(
            Role::Control,
            Resource::Processor,
            "changes of configuration, and their acknowledgements",
            Unit::Cores,
        )
        .row(
            assumed(2.0 * changes_per_s * senders_per_machine * inputs.control_message_s),
            inputs.control_machine_cores,
            missing(),
            "2 x config_changes_per_day x senders / control_machines x control_message_s",
        ),
        label(Role::Control, Resource::Messages, "one change to all within its time", Unit::BytesPerSecond)
            .row(
                assumed(senders_per_machine * inputs.config_bytes / inputs.config_within_s),
                inputs.control_machine_bytes_per_s,
                missing(),
                "senders / control_machines x config_bytes / config_within_s",
            ),
    ]
}

fn membership(model: &Model) -> Vec<Row> {
    let inputs = model.inputs;
    let label = |role, resource, description, unit| RowLabel {
        area: Area::Membership,
        role,
        resource,
        description,
        unit,
    };
    let missing = || Mechanism::missing("membership: settings tell a fixed number of senders (balancers)");
    let senders_per_machine = inputs.senders / inputs.control_machines;
    // Each restart and each failure is two changes: a member leaves and a member joins.
    let membership_changes_per_s = 2.0 * (inputs.restarts_per_day + inputs.failures_per_day) / DAY_S;
    vec![
        label(Role::Sender, Resource::Messages, "heartbeats", Unit::BytesPerSecond).row(
            assumed(inputs.heartbeat_bytes / inputs.heartbeat_s),
            inputs.sender_control_bytes_per_s,
            missing(),
            "heartbeat_bytes / heartbeat_s",
        ),
        label(Role::Control, Resource::Processor, "heartbeats of all senders", Unit::Cores).row(
            assumed(senders_per_machine / inputs.heartbeat_s * inputs.control_message_s),
            inputs.control_machine_cores,
            missing(),
            "senders / control_machines / heartbeat_s x control_message_s",
        ),
        label(Role::Sender, Resource::Messages, "members that come and go", Unit::BytesPerSecond).row(
            assumed(membership_changes_per_s * inputs.member_bytes),
            inputs.sender_control_bytes_per_s,
            missing(),
            "2 x (restarts_per_day + failures_per_day) x member_bytes",
        ),
        label(Role::Sender, Resource::Memory, "all members", Unit::Bytes).row(
            assumed(inputs.senders * inputs.member_bytes),
            inputs.sender_control_bytes,
            missing(),
            "senders x member_bytes",
        ),
    ]
}
