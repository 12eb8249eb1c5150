//! Which troubles a run of a soak overlaps, and when. Pure: a seed and a number give the same schedule, though not the same
//! interleaving of the processes that meet it.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::kinds::SoakKind;
use crate::plan::chance;

/// Troubles that overlap.
pub const TOGETHER: usize = 3;
/// Groups of them in a run, one after the other.
const GROUPS: u32 = 2;
/// The stream of chance that schedules are drawn from.
const STREAM: u64 = 20;

/// A trouble with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    pub kind: SoakKind,
    pub from: Duration,
    pub until: Duration,
}

impl Planned {
    fn overlaps(&self, other: &Planned) -> bool {
        self.from < other.until && other.from < self.until
    }
}

/// A pair of kinds, the lesser first.
pub type Pair = (SoakKind, SoakKind);

fn pair(a: SoakKind, b: SoakKind) -> Pair {
    (a.min(b), a.max(b))
}

/// The pairs of kinds that share part of their time.
pub fn pairs(schedule: &[Planned]) -> BTreeSet<Pair> {
    let mut met = BTreeSet::new();
    for (at, one) in schedule.iter().enumerate() {
        let others = schedule[at + 1..].iter().filter(|other| one.overlaps(other));
        met.extend(others.map(|other| pair(one.kind, other.kind)));
    }
    met
}

/// All pairs of two kinds.
pub fn all_pairs() -> BTreeSet<Pair> {
    let all = SoakKind::ALL;
    all.iter().enumerate().flat_map(|(at, a)| all[at + 1..].iter().map(|b| pair(*a, *b))).collect()
}

/// The schedules of a row of runs over such a span. Each group takes a pair that none before has met, and the third kind that brings the
/// most such pairs, so that all are met as early as may be; then it begins anew.
pub fn row(seed: u64, runs: usize, span: Duration) -> Vec<Vec<Planned>> {
    let mut rng = chance(seed, STREAM);
    let mut left = all_pairs();
    let mut schedules = Vec::new();
    for _ in 0..runs {
        let mut schedule: Vec<Planned> = Vec::new();
        for group in 0..GROUPS {
            if left.is_empty() {
                left = all_pairs();
            }
            let kinds = group_of(&left, &mut rng);
            let (begin, length) = (span * group / GROUPS, span / GROUPS);
            for kind in &kinds {
                // All of a group stand in its middle third.
                let from = begin + length.mul_f64(rng.random_range(0.05..0.33));
                let until = begin + length.mul_f64(rng.random_range(0.67..0.95));
                schedule.push(Planned { kind: *kind, from, until });
            }
        }
        left.retain(|pair| !pairs(&schedule).contains(pair));
        schedules.push(schedule);
    }
    schedules
}

fn group_of(left: &BTreeSet<Pair>, rng: &mut impl Rng) -> Vec<SoakKind> {
    let all: Vec<Pair> = left.iter().copied().collect();
    let Some((a, b)) = all.choose(rng).copied() else { return Vec::new() };
    let mut kinds = vec![a, b];
    while kinds.len() < TOGETHER {
        let mut others: Vec<SoakKind> =
            SoakKind::ALL.into_iter().filter(|kind| !kinds.contains(kind)).collect();
        others.shuffle(rng);
        let fresh =
            |kind: &SoakKind| kinds.iter().filter(|other| left.contains(&pair(**other, *kind))).count();
        let Some(best) = others.iter().copied().max_by_key(fresh) else { break };
        kinds.push(best);
    }
    kinds
}
