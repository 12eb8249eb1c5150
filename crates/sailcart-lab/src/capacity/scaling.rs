//! The check of shape: how the work of a sender grows with its list, by counts and bytes, never by seconds.
//!
//! A change or a round must cost the same however much is listed, and a listed destination a bounded number of bytes.
//! What is checked is generic over [`Counted`], so that variants that are wrong on purpose can be shown to be caught.

use std::fmt;

/// A number of a destination, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed(pub u64);

/// What is driven: a sender's decisions with a list, changes of it, and rounds.
pub trait Driven {
    /// Takes a whole list of so many destinations, one endpoint each.
    fn whole(&mut self, destinations: u64);
    /// Takes news of one destination of the list.
    fn change(&mut self, listed: Listed, live: bool);
    /// A packet for each of these, and the round after it; all are over when this returns.
    fn round(&mut self, busy: &[Listed]);
}

/// One that tells how many entries of its tables it has looked at since its start.
pub trait Counted: Driven {
    fn visited(&self) -> u64;
}

/// Entries looked at, by what was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    pub destinations: u64,
    pub change: u64,
    pub empty_round: u64,
    pub busy_round: u64,
}

const BUSY: u64 = 10;
/// Changes and rounds over which work is averaged.
const REPEATS: u64 = 16;
/// The work at the larger size may be this much of that at the smaller one.
const MOST_GROWTH: u64 = 2;
/// Below so many entries, growth is by chance.
const FEW: u64 = 8;

/// Which work grows with the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grows {
    Change,
    EmptyRound,
    BusyRound,
    /// Bytes of a listed destination are over their bound.
    Bytes,
}

impl fmt::Display for Grows {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Grows::Change => "the work of a change grows with the list",
            Grows::EmptyRound => "the work of a round with nothing to do grows with the list",
            Grows::BusyRound => "the work of a round with ten busy destinations grows with the list",
            Grows::Bytes => "a listed destination takes more bytes than its bound",
        })
    }
}

/// Drives one with a list of so many destinations and counts.
pub fn work(driven: &mut impl Counted, destinations: u64) -> Work {
    driven.whole(destinations);
    let step = (destinations / BUSY).max(1);
    let busy: Vec<Listed> = (0..BUSY).map(|nth| Listed(nth * step % destinations)).collect();
    driven.round(&busy); // the first meets tables that are still empty
    let change = mean(driven, |driven, nth| {
        driven.change(Listed(nth / 2 * step % destinations), nth % 2 == 1);
    });
    driven.round(&[]);
    let empty_round = mean(driven, |driven, _| driven.round(&[]));
    let busy_round = mean(driven, |driven, _| driven.round(&busy));
    Work { destinations, change, empty_round, busy_round }
}

fn mean<Subject: Counted>(driven: &mut Subject, mut act: impl FnMut(&mut Subject, u64)) -> u64 {
    let before = driven.visited();
    (0..REPEATS).for_each(|nth| act(driven, nth));
    (driven.visited() - before).div_ceil(REPEATS)
}

/// Which work is more at the larger list than it may be.
pub fn grows(small: &Work, large: &Work) -> Vec<Grows> {
    let over = |small: u64, large: u64| large > small.max(FEW) * MOST_GROWTH;
    let each = [
        (Grows::Change, over(small.change, large.change)),
        (Grows::EmptyRound, over(small.empty_round, large.empty_round)),
        (Grows::BusyRound, over(small.busy_round, large.busy_round)),
    ];
    each.into_iter().filter(|(_, over)| *over).map(|(what, _)| what).collect()
}

/// Bytes that a listed destination may take in the module's tables.
#[derive(Clone, Copy, Debug)]
pub struct ByteBound(pub u64);

/// Whether a list of so many destinations takes more than its bound; `taken` is what the allocator counted.
pub fn too_large(taken: u64, destinations: u64, bound: ByteBound) -> Option<Grows> {
    (taken / destinations.max(1) > bound.0).then_some(Grows::Bytes)
}
