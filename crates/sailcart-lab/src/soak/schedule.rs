//! Draws the schedules of a soak test: which troubles overlap in a run, and when. The schedules are a
//! function of the seed, the number of runs and their span; the interleaving of the processes is not.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::kinds::SoakKind;
use crate::plan::seeded_rng;

/// The number of troubles in a group; all troubles of a group overlap.
pub const TROUBLES_PER_GROUP: usize = 3;
/// The number of groups in a run, one after the other.
const GROUPS_PER_RUN: u32 = 2;
/// The stream of random numbers for schedules.
const RNG_STREAM: u64 = 20;

/// A trouble with its period, relative to the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedTrouble {
    pub kind: SoakKind,
    pub from: Duration,
    pub until: Duration,
}

impl PlannedTrouble {
    fn overlaps(&self, other: &PlannedTrouble) -> bool {
        self.from < other.until && other.from < self.until
    }
}

/// Two kinds of trouble, in ascending order.
pub type KindPair = (SoakKind, SoakKind);

fn pair(a: SoakKind, b: SoakKind) -> KindPair {
    (a.min(b), a.max(b))
}

/// The pairs of kinds whose periods overlap.
pub fn overlapping_pairs(schedule: &[PlannedTrouble]) -> BTreeSet<KindPair> {
    let mut overlapping = BTreeSet::new();
    for (index, planned) in schedule.iter().enumerate() {
        let later = schedule[index + 1..].iter().filter(|other| planned.overlaps(other));
        overlapping.extend(later.map(|other| pair(planned.kind, other.kind)));
    }
    overlapping
}

/// All pairs of two different kinds.
pub fn all_pairs() -> BTreeSet<KindPair> {
    let all = SoakKind::ALL;
    all.iter().enumerate().flat_map(|(index, a)| all[index + 1..].iter().map(|b| pair(*a, *b))).collect()
}

/// Draws the schedules of consecutive runs, each of the given span. Each group takes a pair of kinds that no
/// earlier group covered and then the kind that adds the most uncovered pairs, so that all pairs are covered
/// in few runs. Once all are covered, it starts again with all pairs.
pub fn draw_schedules(seed: u64, runs: usize, span: Duration) -> Vec<Vec<PlannedTrouble>> {
    let mut rng = seeded_rng(seed, RNG_STREAM);
    let mut uncovered = all_pairs();
    let mut schedules = Vec::new();
    for _ in 0..runs {
        let mut schedule: Vec<PlannedTrouble> = Vec::new();
        for group in 0..GROUPS_PER_RUN {
            if uncovered.is_empty() {
                uncovered = all_pairs();
            }
            let kinds = draw_group(&uncovered, &mut rng);
            let (begin, length) = (span * group / GROUPS_PER_RUN, span / GROUPS_PER_RUN);
            for kind in &kinds {
                // All troubles of a group are active in its middle third.
                let from = begin + length.mul_f64(rng.random_range(0.05..0.33));
                let until = begin + length.mul_f64(rng.random_range(0.67..0.95));
                schedule.push(PlannedTrouble { kind: *kind, from, until });
            }
        }
        uncovered.retain(|pair| !overlapping_pairs(&schedule).contains(pair));
        schedules.push(schedule);
    }
    schedules
}

fn draw_group(uncovered: &BTreeSet<KindPair>, rng: &mut impl Rng) -> Vec<SoakKind> {
    let uncovered_pairs: Vec<KindPair> = uncovered.iter().copied().collect();
    let Some((a, b)) = uncovered_pairs.choose(rng).copied() else { return Vec::new() };
    let mut kinds = vec![a, b];
    while kinds.len() < TROUBLES_PER_GROUP {
        let mut candidates: Vec<SoakKind> =
            SoakKind::ALL.into_iter().filter(|kind| !kinds.contains(kind)).collect();
        candidates.shuffle(rng);
        let added_pairs =
            |kind: &SoakKind| kinds.iter().filter(|other| uncovered.contains(&pair(**other, *kind))).count();
        let Some(best) = candidates.iter().copied().max_by_key(added_pairs) else { break };
        kinds.push(best);
    }
    kinds
}
