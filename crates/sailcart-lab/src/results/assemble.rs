//! Builds the result of a run from its counts.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::bounds::Bound;
use super::credit::Credit;
use super::outcome::{BoundLine, Cost, Outcome, RuleLine, Series, TroubleLine, VERSION};
use super::tally::{Counter, Tally, microsecond_histogram};
use crate::experiment::{Mode, Trouble};
use crate::plan::Plan;
use crate::policies::PolicyName;
use crate::watcher::{Rule, Watcher};

impl Tally {
    /// Builds the result of the run, with the violations that the watcher found and the resources its
    /// processes used.
    pub fn into_outcome(
        self,
        plan: &Plan,
        mode: Mode,
        policy: PolicyName,
        watcher: &Watcher,
        cost: Vec<Cost>,
    ) -> Outcome {
        let experiment = &plan.experiment;
        let credit = Credit::new(plan, &self.delivery_delays);
        let delivery_times = self.delivery_histogram();
        let figures = self.figures(plan, watcher, &credit, &delivery_times);
        Outcome {
            version: VERSION,
            experiment: experiment.name.clone(),
            about: experiment.about.clone(),
            mode,
            policy,
            seed: plan.seed,
            span_s: experiment.span.as_secs_f64(),
            senders: experiment.senders.count,
            destinations: plan.destinations.len(),
            endpoints: plan.endpoints.len(),
            rules: rule_lines(watcher),
            violations: watcher.violations().to_vec(),
            bounds: bound_lines(&experiment.bounds, &figures),
            troubles: trouble_lines(plan),
            series: self.series(plan, &credit),
            delivery_ms: histogram_buckets(&delivery_times),
            answer_ms: histogram_buckets(&self.answer_delays),
            figures,
            cost,
        }
    }

    /// The times from the planned time to delivery, in microseconds.
    fn delivery_histogram(&self) -> Histogram<u64> {
        let mut delivery_times = microsecond_histogram();
        for delay in self.delivery_delays.iter().flatten() {
            let _ = delivery_times.record(delay.as_micros().max(1) as u64);
        }
        delivery_times
    }

    fn series(&self, plan: &Plan, credit: &Credit) -> Vec<Series> {
        let mut series = credit.series(plan);
        for (chart, values_by_series) in [
            ("dispatches a second", &self.dispatches_per_second),
            ("refusals a second", &self.rejections_per_second),
            ("packets held", &self.packets_held),
            ("calls out", &self.calls_in_flight),
        ] {
            for (name, values) in self.series_names.iter().zip(values_by_series) {
                if values.iter().any(|value| *value > 0.0) {
                    let (chart, name) = (chart.to_owned(), name.clone());
                    series.push(Series { chart, name, values: values.clone() });
                }
            }
        }
        series
    }

    fn figures(
        &self,
        plan: &Plan,
        watcher: &Watcher,
        credit: &Credit,
        delivery_times: &Histogram<u64>,
    ) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::new();
        let mut insert = |name: &str, value: f64| figures.insert(name.to_owned(), round_to_millionths(value));
        for (counter, name) in Counter::ALL {
            insert(name, self.counts.get(&counter).copied().unwrap_or(0) as f64);
        }
        insert("credit", credit.overall());
        insert("credit_worst_10s", credit.worst_window());
        insert("credit_worst_category", credit.worst_category());
        insert("wanted", plan.planned_packets.len() as f64);
        insert("delivered", self.delivery_delays.iter().flatten().count() as f64);
        insert("late", self.late_count(plan) as f64);
        insert("jain", jain_index(plan, &self.delivery_delays));
        insert("doubles", watcher.count(Rule::NoDouble) as f64);
        insert("breaches", Rule::ALL.iter().map(|rule| watcher.count(*rule)).sum::<u64>() as f64);
        insert("answer_p50_ms", quantile_ms(&self.answer_delays, 0.5));
        insert("answer_p99_ms", quantile_ms(&self.answer_delays, 0.99));
        insert("answer_p999_ms", quantile_ms(&self.answer_delays, 0.999));
        insert("delivery_p50_ms", quantile_ms(delivery_times, 0.5));
        insert("delivery_p99_ms", quantile_ms(delivery_times, 0.99));
        figures
    }

    /// The number of packets that were delivered after their soft limit.
    fn late_count(&self, plan: &Plan) -> usize {
        let late = plan.planned_packets.iter().zip(&self.delivery_delays).filter(|(planned, delay)| {
            delay.is_some_and(|delay| delay > plan.category(planned.category).soft_limit)
        });
        late.count()
    }
}

fn round_to_millionths(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn rule_lines(watcher: &Watcher) -> Vec<RuleLine> {
    let lines = Rule::ALL.iter().map(|rule| RuleLine {
        rule: *rule,
        description: rule.description().to_owned(),
        violations: watcher.count(*rule),
    });
    lines.collect()
}

/// Evaluates the bounds of an experiment against the figures. A bound that cannot be parsed is skipped.
fn bound_lines(bounds: &[String], figures: &BTreeMap<String, f64>) -> Vec<BoundLine> {
    let lines = bounds.iter().filter_map(|text| {
        let bound = Bound::parse(text).ok()?;
        let value = figures.get(&bound.figure).copied().unwrap_or(0.0);
        Some(BoundLine { bound: text.clone(), value, held: bound.is_satisfied_by(value) })
    });
    lines.collect()
}

fn trouble_lines(plan: &Plan) -> Vec<TroubleLine> {
    let lines = plan.scheduled_troubles.iter().map(|scheduled| TroubleLine {
        description: describe_trouble(&scheduled.trouble),
        from_s: scheduled.from.as_secs_f64(),
        until_s: scheduled.until.as_secs_f64(),
    });
    lines.collect()
}

/// The text of a trouble for the report.
fn describe_trouble(trouble: &Trouble) -> String {
    let mut text = format!("{:?}", trouble.kind);
    if let Some(target) = &trouble.destinations {
        text.push_str(&format!(" at {target}"));
    }
    if let Some(senders) = &trouble.senders {
        text.push_str(&format!(" of senders {senders:?}"));
    }
    for (name, amount) in [("share", trouble.share), ("factor", trouble.factor)] {
        if let Some(amount) = amount {
            text.push_str(&format!(", {name} {amount}"));
        }
    }
    text
}

/// Counts up to each of about 13 logarithmic steps a decade, in milliseconds; empty steps are omitted.
fn histogram_buckets(histogram: &Histogram<u64>) -> Vec<(f64, u64)> {
    let mut buckets = Vec::new();
    for bucket in histogram.iter_log(100, 1.2).filter(|bucket| bucket.count_since_last_iteration() > 0) {
        buckets.push((bucket.value_iterated_to() as f64 / 1000.0, bucket.count_since_last_iteration()));
    }
    buckets
}

/// Jain's fairness index over the delivered share of each destination: 1 if all destinations get the same
/// share.
fn jain_index(plan: &Plan, delivery_delays: &[Option<Duration>]) -> f64 {
    let mut by_destination = vec![(0.0, 0.0); plan.destinations.len()];
    for (planned, delay) in plan.planned_packets.iter().zip(delivery_delays) {
        let (delivered_count, wanted_count) = &mut by_destination[planned.destination.0 as usize];
        *wanted_count += 1.0;
        *delivered_count += if delay.is_some() { 1.0 } else { 0.0 };
    }
    let shares: Vec<f64> = by_destination
        .iter()
        .filter(|(_, wanted)| *wanted > 0.0)
        .map(|(delivered, wanted)| delivered / wanted)
        .collect();
    let (sum, squares) = (shares.iter().sum::<f64>(), shares.iter().map(|share| share * share).sum::<f64>());
    if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
}
