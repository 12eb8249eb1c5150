//! How the counts of a run become its result.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::bounds::Bound;
use super::credit::Credit;
use super::outcome::{BoundLine, Cost, Outcome, RuleLine, Series, TroubleLine, VERSION};
use super::tally::{Count, Tally, histogram};
use crate::experiment::{Mode, Trouble};
use crate::plan::Plan;
use crate::policies::PolicyName;
use crate::watcher::{Rule, Watcher};

impl Tally {
    /// The result of a run, with the watcher's verdict and what its processes cost.
    pub fn outcome(
        self,
        plan: &Plan,
        mode: Mode,
        policy: PolicyName,
        watcher: &Watcher,
        cost: Vec<Cost>,
    ) -> Outcome {
        let experiment = &plan.experiment;
        let credit = Credit::new(plan, &self.delivered);
        let delivery = self.delivery();
        let figures = self.figures(plan, watcher, &credit, &delivery);
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
            endpoints: plan.places.len(),
            rules: rule_lines(watcher),
            breaches: watcher.breaches().to_vec(),
            bounds: bound_lines(&experiment.bounds, &figures),
            troubles: trouble_lines(plan),
            series: self.series(plan, &credit),
            delivery_ms: distribution(&delivery),
            answer_ms: distribution(&self.answers),
            figures,
            cost,
        }
    }

    /// How long deliveries took, in microseconds.
    fn delivery(&self) -> Histogram<u64> {
        let mut delivery = histogram();
        for after in self.delivered.iter().flatten() {
            let _ = delivery.record(after.as_micros().max(1) as u64);
        }
        delivery
    }

    fn series(&self, plan: &Plan, credit: &Credit) -> Vec<Series> {
        let mut series = credit.series(plan);
        for (picture, lines) in [
            ("dispatches a second", &self.dispatched),
            ("refusals a second", &self.refused),
            ("packets held", &self.held),
            ("calls out", &self.out),
        ] {
            for (name, values) in self.names.iter().zip(lines) {
                if values.iter().any(|value| *value > 0.0) {
                    let (picture, name) = (picture.to_owned(), name.clone());
                    series.push(Series { picture, name, values: values.clone() });
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
        delivery: &Histogram<u64>,
    ) -> BTreeMap<String, f64> {
        let mut figures = BTreeMap::new();
        let mut put = |name: &str, value: f64| figures.insert(name.to_owned(), round_to_millionths(value));
        for (count, name) in Count::ALL {
            put(name, self.counts.get(&count).copied().unwrap_or(0) as f64);
        }
        put("credit", credit.all());
        put("credit_worst_10s", credit.worst_window());
        put("credit_worst_category", credit.worst_category());
        put("wanted", plan.origins.len() as f64);
        put("delivered", self.delivered.iter().flatten().count() as f64);
        put("late", self.late(plan) as f64);
        put("jain", jain(plan, &self.delivered));
        put("doubles", watcher.count(Rule::NoDouble) as f64);
        put("breaches", Rule::ALL.iter().map(|rule| watcher.count(*rule)).sum::<u64>() as f64);
        put("answer_p50_ms", quantile_ms(&self.answers, 0.5));
        put("answer_p99_ms", quantile_ms(&self.answers, 0.99));
        put("answer_p999_ms", quantile_ms(&self.answers, 0.999));
        put("delivery_p50_ms", quantile_ms(delivery, 0.5));
        put("delivery_p99_ms", quantile_ms(delivery, 0.99));
        figures
    }

    /// How many packets were delivered after their soft limit.
    fn late(&self, plan: &Plan) -> usize {
        let late = plan.origins.iter().zip(&self.delivered).filter(|(origin, after)| {
            after.is_some_and(|after| after > plan.category(origin.category).soft_limit)
        });
        late.count()
    }
}

fn round_to_millionths(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

fn quantile_ms(all: &Histogram<u64>, quantile: f64) -> f64 {
    all.value_at_quantile(quantile) as f64 / 1000.0
}

fn rule_lines(watcher: &Watcher) -> Vec<RuleLine> {
    let lines = Rule::ALL.iter().map(|rule| RuleLine {
        rule: *rule,
        words: rule.words().to_owned(),
        broken: watcher.count(*rule),
    });
    lines.collect()
}

/// The bounds an experiment states, each with its figure and whether it held.
fn bound_lines(bounds: &[String], figures: &BTreeMap<String, f64>) -> Vec<BoundLine> {
    let lines = bounds.iter().filter_map(|text| {
        let bound = Bound::read(text).ok()?;
        let value = figures.get(&bound.figure).copied().unwrap_or(0.0);
        Some(BoundLine { bound: text.clone(), value, held: bound.holds(value) })
    });
    lines.collect()
}

fn trouble_lines(plan: &Plan) -> Vec<TroubleLine> {
    let lines = plan.struck.iter().map(|struck| TroubleLine {
        what: describe(&struck.trouble),
        from_s: struck.from.as_secs_f64(),
        until_s: struck.until.as_secs_f64(),
    });
    lines.collect()
}

/// A trouble in words.
fn describe(trouble: &Trouble) -> String {
    let mut words = format!("{:?}", trouble.kind);
    if let Some(target) = &trouble.destinations {
        words.push_str(&format!(" at {target}"));
    }
    if let Some(senders) = &trouble.senders {
        words.push_str(&format!(" of senders {senders:?}"));
    }
    for (name, amount) in [("share", trouble.share), ("factor", trouble.factor)] {
        if let Some(amount) = amount {
            words.push_str(&format!(", {name} {amount}"));
        }
    }
    words
}

/// Counts up to each of some forty values a decade.
fn distribution(all: &Histogram<u64>) -> Vec<(f64, u64)> {
    let mut lines = Vec::new();
    for value in all.iter_log(100, 1.2).filter(|value| value.count_since_last_iteration() > 0) {
        lines.push((value.value_iterated_to() as f64 / 1000.0, value.count_since_last_iteration()));
    }
    lines
}

/// Jain's index over delivered/wanted by destination: 1 where all get the same share.
fn jain(plan: &Plan, delivered: &[Option<Duration>]) -> f64 {
    let mut by = vec![(0.0, 0.0); plan.destinations.len()];
    for (origin, after) in plan.origins.iter().zip(delivered) {
        let (got, wanted) = &mut by[origin.destination.0 as usize];
        *wanted += 1.0;
        *got += if after.is_some() { 1.0 } else { 0.0 };
    }
    let shares: Vec<f64> = by.iter().filter(|(_, w)| *w > 0.0).map(|(got, wanted)| got / wanted).collect();
    let (sum, squares) = (shares.iter().sum::<f64>(), shares.iter().map(|s| s * s).sum::<f64>());
    if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
}
