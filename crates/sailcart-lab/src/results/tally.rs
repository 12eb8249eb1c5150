//! Counts while a run goes on; both modes tell it the same things.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use sailcart::DestinationId;

use crate::plan::{OriginId, Plan};

/// Destinations that get lines of their own in the pictures.
const SHOWN: usize = 6;

/// What is counted under a name of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    HandedIn,
    Dismissed,
    Scrapped,
    Dispatches,
    Calls,
    Full,
    Errors,
    Unanswered,
    NotConnected,
    Connections,
    Crashes,
    Strays,
    Ignored,
    Kills,
}

impl Count {
    pub(super) const ALL: [(Count, &'static str); 14] = [
        (Count::HandedIn, "handed_in"),
        (Count::Dismissed, "dismissed"),
        (Count::Scrapped, "scrapped"),
        (Count::Dispatches, "dispatches"),
        (Count::Calls, "calls"),
        (Count::Full, "full"),
        (Count::Errors, "errors"),
        (Count::Unanswered, "unanswered"),
        (Count::NotConnected, "not_connected"),
        (Count::Connections, "connections"),
        (Count::Crashes, "crashes"),
        (Count::Strays, "strays"),
        (Count::Ignored, "ignored"),
        (Count::Kills, "kills"),
    ];
}

/// All that is counted of a run, until [`Tally::outcome`] makes a result of it.
pub struct Tally {
    pub(super) counts: BTreeMap<Count, u64>,
    /// When each packet wanted was delivered, after its intended moment.
    pub(super) delivered: Vec<Option<Duration>>,
    /// How long clients waited for their answers, in microseconds.
    pub(super) answers: Histogram<u64>,
    /// Which line of the pictures a destination has; the last is for all others.
    line: Vec<usize>,
    /// The names of the pictures' lines.
    pub(super) names: Vec<String>,
    /// Packets that reached a receiver, by line and second; so the next three.
    pub(super) dispatched: Vec<Vec<f64>>,
    pub(super) refused: Vec<Vec<f64>>,
    pub(super) held: Vec<Vec<f64>>,
    pub(super) out: Vec<Vec<f64>>,
    held_now: Vec<f64>,
    out_now: Vec<f64>,
    seconds: usize,
}

/// Microseconds to an hour, three digits.
pub(super) fn histogram() -> Histogram<u64> {
    let mut all = Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!());
    all.auto(true);
    all
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(plan: &Plan) -> Self {
        let mut wanted: Vec<(usize, usize)> = (0..plan.destinations.len()).map(|at| (0, at)).collect();
        for origin in &plan.origins {
            wanted[origin.destination.0 as usize].0 += 1;
        }
        wanted.sort_by(|a, b| b.cmp(a));
        let shown: Vec<usize> = wanted.iter().take(SHOWN).map(|(_, at)| *at).collect();
        let of = |at| shown.iter().position(|other| *other == at).unwrap_or(shown.len());
        let line = (0..plan.destinations.len()).map(of).collect();
        let mut names: Vec<String> = shown.iter().map(|at| plan.destinations[*at].name.clone()).collect();
        names.push("all others".to_owned());
        let seconds = plan.end().as_secs() as usize + 2;
        let empty = vec![vec![0.0; seconds]; names.len()];
        Tally {
            counts: BTreeMap::new(),
            delivered: vec![None; plan.origins.len()],
            answers: histogram(),
            line,
            dispatched: empty.clone(),
            refused: empty.clone(),
            held: empty.clone(),
            out: empty,
            held_now: vec![0.0; names.len()],
            out_now: vec![0.0; names.len()],
            names,
            seconds,
        }
    }

    /// Counts one more.
    pub fn count(&mut self, what: Count) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn second(&self, now: Duration) -> usize {
        (now.as_secs() as usize).min(self.seconds - 1)
    }

    /// A client heard of its packet.
    pub fn answered(&mut self, after: Duration) {
        let _ = self.answers.record(after.as_micros().max(1) as u64);
    }

    /// A packet wanted has run, so long after its intended moment; the first time counts.
    pub fn delivered(&mut self, origin: OriginId, after: Duration) {
        let at = &mut self.delivered[origin.0];
        *at = Some(at.map_or(after, |before| before.min(after)));
    }

    /// A sender holds one packet more, or one less.
    pub fn holds(&mut self, to: DestinationId, more: bool) {
        self.held_now[self.line[to.0 as usize]] += if more { 1.0 } else { -1.0 };
    }

    /// One call more is out, or one less.
    pub fn calls_out(&mut self, to: DestinationId, more: bool) {
        self.out_now[self.line[to.0 as usize]] += if more { 1.0 } else { -1.0 };
    }

    /// A call with so many packets reached a receiver.
    pub fn dispatched(&mut self, now: Duration, to: DestinationId, packets: usize) {
        *self.counts.entry(Count::Dispatches).or_default() += packets as u64;
        self.count(Count::Calls);
        let second = self.second(now);
        self.dispatched[self.line[to.0 as usize]][second] += packets as f64;
    }

    /// A call was turned away.
    pub fn refused(&mut self, now: Duration, to: DestinationId) {
        self.count(Count::Full);
        let second = self.second(now);
        self.refused[self.line[to.0 as usize]][second] += 1.0;
    }

    /// A line on what has come so far.
    pub fn standing(&self) -> String {
        let of = |count| self.counts.get(&count).copied().unwrap_or(0);
        format!(
            "{} calls with {} packets, {} turned away, {} errors; notices: {} dismissed, {} scrapped",
            of(Count::Calls),
            of(Count::Dispatches),
            of(Count::Full),
            of(Count::Errors),
            of(Count::Dismissed),
            of(Count::Scrapped)
        )
    }

    /// Once a second.
    pub fn sample(&mut self, now: Duration) {
        let second = self.second(now);
        for line in 0..self.names.len() {
            self.held[line][second] = self.held_now[line].max(0.0);
            self.out[line][second] = self.out_now[line].max(0.0);
        }
    }
}
