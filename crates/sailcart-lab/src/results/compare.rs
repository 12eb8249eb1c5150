//! Two sets of runs beside each other: seeds are paired, and a difference within its spread is called noise.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::{fs, io};

use super::outcome::Outcome;

/// Spreads of the mean that a difference must pass.
const SURE: f64 = 2.0;

/// The results in a folder: its own, or those of the folders in it.
pub fn gather(folder: &Path) -> io::Result<Vec<Outcome>> {
    if folder.join("result.json").exists() {
        return Ok(vec![Outcome::read(folder)?]);
    }
    let mut inner: Vec<PathBuf> = Vec::new();
    for entry in fs::read_dir(folder)? {
        inner.push(entry?.path());
    }
    inner.sort();
    let mut all = Vec::new();
    for path in inner.iter().filter(|path| path.join("result.json").exists()) {
        all.push(Outcome::read(path)?);
    }
    match all.is_empty() {
        true => Err(io::Error::new(io::ErrorKind::NotFound, format!("{}: no result.json", folder.display()))),
        false => Ok(all),
    }
}

/// One figure's difference, B less A, over the paired seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The figure's name.
    pub figure: String,
    /// Its mean over the pairs on either side.
    pub a: f64,
    pub b: f64,
    /// The standard error of the mean difference; `None` with one pair.
    pub spread: Option<f64>,
}

impl Difference {
    /// The difference in words: equal, higher, lower, or within noise.
    pub fn verdict(&self) -> &'static str {
        let by = self.b - self.a;
        match self.spread {
            _ if by == 0.0 => "equal",
            None => "one pair: no spread known",
            Some(spread) if by.abs() <= SURE * spread => "within noise",
            Some(_) if by > 0.0 => "higher",
            Some(_) => "lower",
        }
    }
}

/// Every figure's difference over the results of one experiment and seed on both sides; none without such a pair.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Vec<Difference> {
    let by_seed: BTreeMap<(u64, &str), &Outcome> =
        b.iter().map(|outcome| ((outcome.seed, outcome.experiment.as_str()), outcome)).collect();
    let pairs: Vec<(&Outcome, &Outcome)> =
        a.iter().filter_map(|one| Some((one, *by_seed.get(&(one.seed, one.experiment.as_str()))?))).collect();
    let Some((first, _)) = pairs.first() else { return Vec::new() };
    let differences = first.figures.keys().map(|figure| {
        let each: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| (a.figure(figure), b.figure(figure))).collect();
        let count = each.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| each.iter().map(of).sum::<f64>() / count;
        let by = mean(|(a, b)| b - a);
        let spread = (each.len() > 1).then(|| {
            let squares: f64 = each.iter().map(|(a, b)| (b - a - by).powi(2)).sum();
            (squares / (count - 1.0) / count).sqrt()
        });
        Difference { figure: figure.clone(), a: mean(|(a, _)| *a), b: mean(|(_, b)| *b), spread }
    });
    differences.collect()
}

/// Differences as a table of text.
pub fn table(differences: &[Difference]) -> String {
    let mut text = format!("{:24}{:>14}{:>14}{:>14}{:>12}\n", "figure", "A", "B", "B - A", "spread");
    for line in differences {
        let spread = line.spread.map_or("-".to_owned(), |spread| format!("{spread:.4}"));
        let by = line.b - line.a;
        let (figure, a, b) = (&line.figure, line.a, line.b);
        text.push_str(&format!("{figure:24}{a:>14.4}{b:>14.4}{by:>+14.4}{spread:>12}  {}\n", line.verdict()));
    }
    text
}
