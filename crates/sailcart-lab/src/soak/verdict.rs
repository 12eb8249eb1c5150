//! What became of a run: rules as the watcher saw them from outside, crashes, and what the senders count of themselves.

use std::fmt::{self, Display};
use std::fs;
use std::path::Path;

use crate::results::Outcome;

/// The judgement of one run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Rules broken, each with how often.
    pub broken: Vec<String>,
    pub crashes: u64,
    /// Bad clients that heard nothing within their time.
    pub ignored: u64,
    /// Lines with which senders tell of an invariant that did not hold, and of a panic.
    pub violations: usize,
    pub handed_in: u64,
    pub delivered: u64,
    pub kills: u64,
}

impl Verdict {
    /// Judges a run by its outcome and the logs in its folder.
    pub fn of(outcome: &Outcome, folder: &Path) -> Verdict {
        let broken = outcome.rules.iter().filter(|line| line.broken > 0);
        let figure = |name: &str| outcome.figure(name) as u64;
        Verdict {
            broken: broken.map(|line| format!("{:?} {}", line.rule, line.broken)).collect(),
            crashes: figure("crashes"),
            ignored: figure("ignored"),
            violations: complaints(folder),
            handed_in: figure("handed_in"),
            delivered: figure("delivered"),
            kills: figure("kills"),
        }
    }

    /// No rule broken, no crash, nobody ignored, nothing counted that should never be.
    pub fn holds(&self) -> bool {
        self.broken.is_empty() && self.crashes == 0 && self.ignored == 0 && self.violations == 0
    }
}

/// Lines of all logs in which a sender tells that it is wrong.
fn complaints(folder: &Path) -> usize {
    let Ok(files) = fs::read_dir(folder) else { return 0 };
    let logs = files.flatten().filter(|file| file.path().extension().is_some_and(|ending| ending == "log"));
    let texts = logs.filter_map(|log| fs::read_to_string(log.path()).ok());
    texts
        .map(|text| {
            text.lines().filter(|line| line.contains("invariant=") || line.contains("panicked")).count()
        })
        .sum()
}

impl Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(
            to,
            "{}, {} packets, {} delivered, {} lives ended",
            if self.holds() { "held" } else { "FAILED" },
            self.handed_in,
            self.delivered,
            self.kills
        )?;
        if !self.broken.is_empty() {
            write!(to, "; rules broken: {}", self.broken.join(", "))?;
        }
        for (count, what) in [
            (self.crashes as usize, "crashes"),
            (self.ignored as usize, "ignored"),
            (self.violations, "violations"),
        ] {
            if count > 0 {
                write!(to, "; {count} {what}")?;
            }
        }
        Ok(())
    }
}
