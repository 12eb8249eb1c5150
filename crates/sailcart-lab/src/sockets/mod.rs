//! The sender itself on loopback, in real time.
use crate::{events::Log, experiment::Fault, plan::Plan, results::Outcome};
use std::path::Path;
use std::time::Duration;
pub fn run(_: &Plan, _: Log, _: Option<&Path>, _: &mut dyn FnMut(Duration)) -> Result<Outcome, Fault> {
    Err(Fault("not yet".to_owned()))
}
