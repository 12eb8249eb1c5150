//! Faults of the device that follow one another, in every state of the log: whatever fails, no start is refused, what was answered
//! for stands and what was refused does not.

mod common;

use common::{Act, Memory, Plain, contents, open, room, until_death};
use sailcart_store::{Store, Sync};

/// The file calls of a first start come before.
const FIRST_ACT: u64 = 10;

/// Acts that fill the folder more than once, so that segments begin and are cleaned throughout.
fn busy() -> Vec<Act> {
    Act::some(21, 160, 3000)
}

/// How many file calls a run without faults takes.
fn calls(acts: &[Act], sync: Sync) -> u64 {
    let files = Memory::default();
    let mut store = open(&files, sync);
    until_death(&mut store, acts, &mut Plain::new());
    assert!(store.effort().segments_retired > 2, "compaction ran: {:?}", store.effort());
    files.calls()
}

/// Plays all acts over a folder on which these calls fail, and starts again.
fn survives(acts: &[Act], failing: &[u64], after: f64, what: &str) {
    let files = Memory::default();
    let mut plain = Plain::new();
    let mut store = open(&files, Sync::None);
    files.fail(failing.iter().copied(), after);
    for act in acts {
        if act.write(&mut store).is_ok() {
            act.apply(&mut plain);
        }
    }
    assert_eq!(contents(&mut store), plain, "before a start, {what}");
    drop(store);
    files.again();
    let opened = Store::open(files.clone(), room(Sync::None));
    let (mut store, _) = opened.unwrap_or_else(|fault| panic!("{what}: refused for ever: {fault}"));
    assert_eq!(contents(&mut store), plain, "after a start, {what}");
}

/// A write fails half-way and so does the cut that should take it back; the next record does not fit, and a new segment begins:
/// the half record must not stay at the end of the one before it.
#[test]
fn two_faults_at_any_two_calls_leave_a_folder_that_opens() {
    let acts = busy();
    let all = calls(&acts, Sync::None);
    assert!(all > 200, "{all} points");
    for first in FIRST_ACT..=all {
        for gap in 1..=6 {
            for after in [0.0, 0.6] {
                survives(
                    &acts,
                    &[first, first + gap],
                    after,
                    &format!("calls {first} and {}, {after}", first + gap),
                );
            }
        }
    }
}
