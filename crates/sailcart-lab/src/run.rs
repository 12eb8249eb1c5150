//! Runs an experiment once, in either mode.

use std::io::IsTerminal;
use std::path::Path;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};

use crate::events::EventLog;
use crate::experiment::{Experiment, LabError, Mode};
use crate::plan::Plan;
use crate::policies::PolicyName;
use crate::results::Outcome;
use crate::{simulated, sockets};

/// What to run.
pub struct RunRequest<'a> {
    pub experiment: Experiment,
    pub seed: u64,
    pub policy: PolicyName,
    /// Folder that events are written to, if any.
    pub events: Option<&'a Path>,
    /// The sender executable; the one next to this program if absent. Used in sockets mode only.
    pub sender: Option<&'a Path>,
}

/// A finished run.
pub struct FinishedRun {
    pub outcome: Outcome,
    /// Time that passed on the clock of the experiment.
    pub simulated_time: Duration,
    /// Time that the run took on the wall clock.
    pub wall_time: Duration,
    /// Peak resident memory of this process, in MB.
    pub peak_memory_mb: f64,
}

/// Runs an experiment.
///
/// # Errors
///
/// An invalid experiment, a baseline in sockets mode, an events file that cannot be created, or sender
/// processes that cannot be run.
pub fn execute(request: RunRequest) -> Result<FinishedRun, LabError> {
    let start = Instant::now();
    let mode = request.experiment.mode;
    let plan = Plan::new(request.experiment, request.seed)?;
    let log = match request.events {
        Some(folder) => EventLog::create(folder)
            .map_err(|error| LabError(format!("cannot create events.jsonl.zst: {error}")))?,
        None => EventLog::default(),
    };
    let bar = progress_bar(plan.end());
    let mut progress = |at: Duration| bar.set_position(at.as_millis() as u64);
    let outcome = match mode {
        Mode::Virtual => simulated::run(&plan, request.policy, log, &mut progress),
        Mode::Sockets if request.policy != PolicyName::Sailcart => {
            return Err(LabError("--policy: baselines run in virtual mode only".to_owned()));
        }
        Mode::Sockets => sockets::run(&plan, log, request.sender, &mut progress)?,
    };
    bar.finish_and_clear();
    let status = procfs::process::Process::myself().and_then(|process| process.status()).ok();
    let peak_memory_mb = status.and_then(|status| status.vmhwm).unwrap_or(0) as f64 / 1000.0;
    Ok(FinishedRun { outcome, simulated_time: plan.end(), wall_time: start.elapsed(), peak_memory_mb })
}

/// A progress bar, hidden unless standard error is a terminal.
fn progress_bar(end: Duration) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(end.as_millis() as u64);
    match ProgressStyle::with_template("{bar:40} {percent}% {elapsed}") {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
