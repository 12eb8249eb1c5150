//! One run of an experiment, in either mode.

use std::io::IsTerminal;
use std::path::Path;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};

use crate::events::Log;
use crate::experiment::{Experiment, Fault, Mode};
use crate::plan::Plan;
use crate::policies::PolicyName;
use crate::results::Outcome;
use crate::{simulated, sockets};

pub struct Order<'a> {
    pub experiment: Experiment,
    pub seed: u64,
    pub policy: PolicyName,
    /// Where events are written, if they are.
    pub events: Option<&'a Path>,
    /// The sender's program, where it is not the one beside this program.
    pub sender: Option<&'a Path>,
}

pub struct Played {
    pub outcome: Outcome,
    /// On the clock of the experiment, and on that of the wall.
    pub simulated: Duration,
    pub took: Duration,
    pub memory_mb: f64,
}

pub fn play(order: Order) -> Result<Played, Fault> {
    let start = Instant::now();
    let mode = order.experiment.mode;
    let plan = Plan::new(order.experiment, order.seed)?;
    let log = match order.events {
        Some(folder) => Log::create(folder).map_err(|e| Fault(format!("events: {e}")))?,
        None => Log::default(),
    };
    let bar = bar(plan.end());
    let mut progress = |at: Duration| bar.set_position(at.as_millis() as u64);
    let outcome = match mode {
        Mode::Virtual => simulated::run(&plan, order.policy, log, &mut progress),
        Mode::Sockets if order.policy != PolicyName::Sailcart => {
            return Err(Fault("--policy: baselines are played in virtual mode only".to_owned()));
        }
        Mode::Sockets => sockets::run(&plan, log, order.sender, &mut progress)?,
    };
    bar.finish_and_clear();
    let memory = procfs::process::Process::myself().and_then(|own| own.status()).ok();
    let memory_mb = memory.and_then(|status| status.vmhwm).unwrap_or(0) as f64 / 1000.0;
    Ok(Played { outcome, simulated: plan.end(), took: start.elapsed(), memory_mb })
}

/// On a terminal only.
fn bar(end: Duration) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(end.as_millis() as u64);
    match ProgressStyle::with_template("{bar:40} {percent}% {elapsed}") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
