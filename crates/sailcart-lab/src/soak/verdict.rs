//! The verdict on a run: rules broken according to the watcher, crashes, unanswered clients, and invariant
//! violations that senders logged.

use std::fmt::{self, Display};
use std::fs;
use std::path::Path;

use crate::results::Outcome;

/// The verdict on one run, with its most important counts.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The rules that were broken, each followed by the number of its violations.
    pub broken_rules: Vec<String>,
    /// Sender processes that exited without being stopped by the lab.
    pub crashes: u64,
    /// Clients with malformed input that got no reply in time.
    pub ignored: u64,
    /// Log lines of senders that report a violated invariant or a panic.
    pub logged_violations: usize,
    /// Packets submitted, resubmissions included.
    pub submitted: u64,
    pub delivered: u64,
    /// Sender processes that were killed or stopped on purpose.
    pub kills: u64,
}

impl Verdict {
    /// Judges a run by its outcome and by the logs in its folder.
    pub fn of(outcome: &Outcome, folder: &Path) -> Verdict {
        let broken_rules = outcome.rules.iter().filter(|line| line.violations > 0);
        let figure = |name: &str| outcome.figure(name) as u64;
        Verdict {
            broken_rules: broken_rules.map(|line| format!("{:?} {}", line.rule, line.violations)).collect(),
            crashes: figure("crashes"),
            ignored: figure("ignored"),
            logged_violations: count_logged_violations(folder),
            submitted: figure("handed_in"),
            delivered: figure("delivered"),
            kills: figure("kills"),
        }
    }

    /// Whether the run passed: no rule broken, no crash, every client answered, no violation
    /// logged.
    pub fn passed(&self) -> bool {
        self.broken_rules.is_empty() && self.crashes == 0 && self.ignored == 0 && self.logged_violations == 0
    }
}

/// Counts the log lines in the folder that report a violated invariant or a panic.
fn count_logged_violations(folder: &Path) -> usize {
    let Ok(files) = fs::read_dir(folder) else { return 0 };
    let logs =
        files.flatten().filter(|file| file.path().extension().is_some_and(|extension| extension == "log"));
    let texts = logs.filter_map(|log| fs::read_to_string(log.path()).ok());
    texts
        .map(|text| {
            text.lines().filter(|line| line.contains("invariant=") || line.contains("panicked")).count()
        })
        .sum()
}

impl Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "{}, {} packets, {} delivered, {} processes killed or stopped",
            if self.passed() { "held" } else { "FAILED" },
            self.submitted,
            self.delivered,
            self.kills
        )?;
        if !self.broken_rules.is_empty() {
            write!(formatter, "; rules broken: {}", self.broken_rules.join(", "))?;
        }
        for (count, label) in [
            (self.crashes as usize, "crashes"),
            (self.ignored as usize, "ignored"),
            (self.logged_violations, "violations"),
        ] {
            if count > 0 {
                write!(formatter, "; {count} {label}")?;
            }
        }
        Ok(())
    }
}
