//! Credit over time: the share of the credit for all wanted deliveries that was earned.

use std::time::Duration;

use super::outcome::Series;
use crate::plan::Plan;

/// Length of the window over which the worst credit of a run is computed.
const WORST_WINDOW_SECONDS: usize = 10;

/// Credit earned and wanted, by category and by the second in which the packets were to be sent.
pub struct Credit {
    /// By category, then by second: credit earned and credit wanted.
    seconds_by_category: Vec<Vec<(f64, f64)>>,
}

impl Credit {
    /// Adds up the credit of all planned packets. `delivery_delays` has, for each, the time from its intended
    /// moment to its delivery, or `None` if it was not delivered.
    pub fn new(plan: &Plan, delivery_delays: &[Option<Duration>]) -> Self {
        let seconds = (plan.experiment.span.as_secs_f64().ceil() as usize).max(1);
        let mut seconds_by_category = vec![vec![(0.0, 0.0); seconds]; plan.experiment.categories.len()];
        for (planned, delay) in plan.planned_packets.iter().zip(delivery_delays) {
            let second = (planned.at.as_secs() as usize).min(seconds - 1);
            let (earned, wanted) = &mut seconds_by_category[planned.category.0][second];
            *earned += delay.map_or(0.0, |delay| plan.credit(planned, delay));
            *wanted += plan.full_credit(planned);
        }
        Credit { seconds_by_category }
    }

    /// Credit earned over credit wanted; 1 if none was wanted.
    fn ratio(parts: impl Iterator<Item = (f64, f64)>) -> f64 {
        let (earned, wanted) = parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if wanted == 0.0 { 1.0 } else { earned / wanted }
    }

    /// The credit of the entire run.
    pub fn overall(&self) -> f64 {
        Self::ratio(self.seconds_by_category.iter().flatten().copied())
    }

    /// The credit of the category with the lowest credit.
    pub fn worst_category(&self) -> f64 {
        self.seconds_by_category
            .iter()
            .map(|seconds| Self::ratio(seconds.iter().copied()))
            .fold(1.0, f64::min)
    }

    /// The credit of the ten consecutive seconds with the lowest credit.
    pub fn worst_window(&self) -> f64 {
        let run_seconds = self.seconds_by_category.first().map_or(0, Vec::len);
        let window = WORST_WINDOW_SECONDS.min(run_seconds);
        let starts = 0..=run_seconds - window;
        let credit_of_window = |from: usize| {
            Self::ratio(
                self.seconds_by_category
                    .iter()
                    .flat_map(|seconds| seconds[from..from + window].iter().copied()),
            )
        };
        starts.map(credit_of_window).fold(1.0, f64::min)
    }

    /// The credit of each second, one series for each category.
    pub fn series(&self, plan: &Plan) -> Vec<Series> {
        let all_series =
            self.seconds_by_category.iter().zip(&plan.experiment.categories).map(|(seconds, category)| {
                Series {
                    chart: "credit delivered of what was wanted".to_owned(),
                    name: category.name.clone(),
                    values: seconds.iter().map(|part| Self::ratio(std::iter::once(*part))).collect(),
                }
            });
        all_series.collect()
    }
}
