//! Compares two sets of results. Results of the same experiment and seed are paired; a mean difference of up
//! to two standard errors is reported as noise.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{fs, io};

use super::outcome::Outcome;

/// A mean difference must exceed this number of standard errors to count as higher or lower.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// Reads the result in a folder, or, if it has none of its own, those in its direct subfolders, sorted by
/// path.
///
/// # Errors
/// [`io::ErrorKind::NotFound`] if there is no result, else as [`Outcome::read`] or from listing the folder.
pub fn read_outcomes(folder: &Path) -> io::Result<Vec<Outcome>> {
    if folder.join("result.json").exists() {
        return Ok(vec![Outcome::read(folder)?]);
    }
    let mut subfolders: Vec<PathBuf> = Vec::new();
    for entry in fs::read_dir(folder)? {
        subfolders.push(entry?.path());
    }
    subfolders.sort();
    let mut outcomes = Vec::new();
    for path in subfolders.iter().filter(|path| path.join("result.json").exists()) {
        outcomes.push(Outcome::read(path)?);
    }
    match outcomes.is_empty() {
        true => Err(io::Error::new(io::ErrorKind::NotFound, format!("{}: no result.json", folder.display()))),
        false => Ok(outcomes),
    }
}

/// The difference of one figure between B and A over the paired results.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The figure's name.
    pub figure: String,
    /// The mean of the figure over the results of A that are in a pair.
    pub mean_a: f64,
    /// The mean of the figure over the results of B that are in a pair.
    pub mean_b: f64,
    /// The standard error of the mean difference; `None` with one pair.
    pub standard_error: Option<f64>,
}

impl Difference {
    /// The classification that the table prints: equal, higher, lower, within noise, or one pair only.
    pub fn verdict(&self) -> &'static str {
        let difference = self.mean_b - self.mean_a;
        match self.standard_error {
            _ if difference == 0.0 => "equal",
            None => "one pair: spread unknown",
            Some(standard_error) if difference.abs() <= MIN_STANDARD_ERRORS * standard_error => {
                "within noise"
            }
            Some(_) if difference > 0.0 => "higher",
            Some(_) => "lower",
        }
    }
}

/// The difference of every figure over all pairs of results with the same experiment and seed; empty if there
/// is no such pair.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Vec<Difference> {
    let by_seed: BTreeMap<(u64, &str), &Outcome> =
        b.iter().map(|outcome| ((outcome.seed, outcome.experiment.as_str()), outcome)).collect();
    let pairs: Vec<(&Outcome, &Outcome)> = a
        .iter()
        .filter_map(|outcome| Some((outcome, *by_seed.get(&(outcome.seed, outcome.experiment.as_str()))?)))
        .collect();
    let Some((first, _)) = pairs.first() else { return Vec::new() };
    let differences = first.figures.keys().map(|figure| {
        let values: Vec<(f64, f64)> =
            pairs.iter().map(|(a, b)| (a.figure(figure), b.figure(figure))).collect();
        let count = values.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| values.iter().map(value).sum::<f64>() / count;
        let mean_difference = mean(|(a, b)| b - a);
        let standard_error = (values.len() > 1).then(|| {
            let squares: f64 = values.iter().map(|(a, b)| (b - a - mean_difference).powi(2)).sum();
            (squares / (count - 1.0) / count).sqrt()
        });
        Difference {
            figure: figure.clone(),
            mean_a: mean(|(a, _)| *a),
            mean_b: mean(|(_, b)| *b),
            standard_error,
        }
    });
    differences.collect()
}

/// Formats the differences as a plain-text table.
pub fn format_table(differences: &[Difference]) -> String {
    let mut text = format!("{:24}{:>14}{:>14}{:>14}{:>12}\n", "figure", "A", "B", "B - A", "spread");
    for difference in differences {
        let spread = difference.standard_error.map_or("-".to_owned(), |spread| format!("{spread:.4}"));
        let mean_difference = difference.mean_b - difference.mean_a;
        let (figure, a, b) = (&difference.figure, difference.mean_a, difference.mean_b);
        text.push_str(&format!(
            "{figure:24}{a:>14.4}{b:>14.4}{mean_difference:>+14.4}{spread:>12}  {}\n",
            difference.verdict()
        ));
    }
    text
}
