//! Credit over time: what clients got for what they wanted delivered.

use std::time::Duration;

use super::outcome::Series;
use crate::plan::Plan;

/// Seconds that the worst stretch of a run has.
const WORST_WINDOW: usize = 10;

/// Credit earned and wanted, by category and second of the packet's intended moment.
pub struct Credit {
    by: Vec<Vec<(f64, f64)>>,
}

impl Credit {
    /// What each packet wanted earned, from when it was delivered after its intended moment, if it was.
    pub fn new(plan: &Plan, delivered: &[Option<Duration>]) -> Self {
        let seconds = (plan.experiment.span.as_secs_f64().ceil() as usize).max(1);
        let mut by = vec![vec![(0.0, 0.0); seconds]; plan.experiment.categories.len()];
        for (origin, after) in plan.origins.iter().zip(delivered) {
            let second = (origin.at.as_secs() as usize).min(seconds - 1);
            let (earned, wanted) = &mut by[origin.category.0][second];
            *earned += after.map_or(0.0, |after| plan.credit(origin, after));
            *wanted += plan.whole_credit(origin);
        }
        Credit { by }
    }

    /// Earned over wanted; 1 where nothing was wanted.
    fn share(parts: impl Iterator<Item = (f64, f64)>) -> f64 {
        let (earned, wanted) = parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if wanted == 0.0 { 1.0 } else { earned / wanted }
    }

    /// Over the whole run.
    pub fn all(&self) -> f64 {
        Self::share(self.by.iter().flatten().copied())
    }

    /// Of the category that got least.
    pub fn worst_category(&self) -> f64 {
        self.by.iter().map(|seconds| Self::share(seconds.iter().copied())).fold(1.0, f64::min)
    }

    /// Of the ten seconds in a row that got least.
    pub fn worst_window(&self) -> f64 {
        let seconds = self.by.first().map_or(0, Vec::len);
        let window = WORST_WINDOW.min(seconds);
        let starts = 0..=seconds - window;
        let of = |from: usize| {
            Self::share(self.by.iter().flat_map(|line| line[from..from + window].iter().copied()))
        };
        starts.map(of).fold(1.0, f64::min)
    }

    /// Second by second, a line for each category.
    pub fn series(&self, plan: &Plan) -> Vec<Series> {
        let lines = self.by.iter().zip(&plan.experiment.categories).map(|(line, category)| Series {
            picture: "credit delivered of what was wanted".to_owned(),
            name: category.name.clone(),
            values: line.iter().map(|part| Self::share(std::iter::once(*part))).collect(),
        });
        lines.collect()
    }
}
