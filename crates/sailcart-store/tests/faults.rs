//! Faults of the device that follow one another, in every state of the log: whatever fails, no start is refused, what was answered
//! for stands and what was refused does not.

mod common;

use common::{Act, Memory, Plain, contents, open, room, stands, until_death};
use sailcart_store::{Change, Store, Sync};

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

/// Plays all acts over a folder on which these calls fail, from the store's opening on, and starts again.
fn survives(acts: &[Act], failing: &[u64], after: f64, what: &str) {
    let files = Memory::default();
    files.fail(failing.iter().copied(), after);
    let mut plain = Plain::new();
    let opened = Store::open(files.clone(), room(Sync::None));
    let (mut store, _) = opened.unwrap_or_else(|fault| panic!("{what}: refused a start: {fault}"));
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
    for first in 1..=all {
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

#[test]
fn a_row_of_faults_from_any_call_on_leaves_a_folder_that_opens() {
    let acts = busy();
    let all = calls(&acts, Sync::None);
    for first in 1..=all {
        for length in [3, 7, 20] {
            let row: Vec<u64> = (first..first + length).collect();
            survives(&acts, &row, 0.4, &format!("calls {first} to {}", first + length - 1));
        }
    }
}

/// A process that is killed at any call while the folder fails: what was answered for stands.
#[test]
fn a_death_after_any_fault_loses_nothing_answered_for() {
    let acts = busy();
    let all = calls(&acts, Sync::None);
    for first in (1..=all).step_by(2) {
        for gap in 1..=8 {
            let files = Memory::default();
            files.fail([first, first + 1], 0.6);
            files.dies_at(first + 1 + gap, 0.5);
            let mut plain = Plain::new();
            let mut under_way = None;
            if let Ok((mut store, _)) = Store::open(files.clone(), room(Sync::None)) {
                for act in &acts {
                    match act.write(&mut store) {
                        Ok(()) => act.apply(&mut plain),
                        // The last act that failed is the one that the death cut; those before it did not count.
                        Err(_) => under_way = Some(act.clone()),
                    }
                    if files.is_dead() {
                        break;
                    }
                }
            }
            let found = contents(&mut open(&files, Sync::None));
            assert!(stands(&found, &plain, under_way.as_ref()), "calls {first}, death {gap} later");
        }
    }
}

/// A start over a folder on which nothing can be written: what stands there can be read, nothing is taken, and all goes on
/// as soon as the folder is well.
#[test]
fn a_start_over_a_failing_folder_reads_what_stands_and_goes_on_later() {
    let acts = busy();
    let all = calls(&acts, Sync::None);
    for call in (1..=all).step_by(5) {
        let files = Memory::default();
        let mut plain = Plain::new();
        let mut store = open(&files, Sync::None);
        files.dies_at(call, 0.5);
        let under_way = until_death(&mut store, &acts, &mut plain);
        drop(store);
        files.again();
        files.fail(1..400, 0.3);
        let opened = Store::open(files.clone(), room(Sync::None));
        let (mut store, _) = opened.unwrap_or_else(|fault| panic!("call {call}: refused: {fault}"));
        let found = contents(&mut store);
        assert!(stands(&found, &plain, under_way.as_ref()), "call {call}");
        assert!(store.write(&[Change::Put(b"new", b"1")]).is_err(), "nothing is taken");
        files.mend();
        store.write(&[Change::Put(b"new", b"1")]).expect("the folder is well");
        drop(store);
        let mut later = contents(&mut open(&files, Sync::None));
        assert_eq!(later.remove(b"new".as_slice()), Some(b"1".to_vec()));
        assert_eq!(later, found, "call {call}");
    }
}

/// A failed sync takes bytes for written that never reach the disk. What it should have brought down is written anew before
/// anything else is answered for; a later sync of the same file is not believed.
#[test]
fn what_a_failed_sync_left_in_doubt_is_written_anew() {
    let acts = Act::some(23, 90, 3000);
    let all = {
        let files = Memory::default();
        until_death(&mut open(&files, Sync::Each), &acts, &mut Plain::new());
        files.calls()
    };
    for call in 3..=all {
        for row in [1, 2, 5] {
            let files = Memory::default();
            let mut store = open(&files, Sync::Each);
            files.fail(call..call + row, 0.5);
            let mut plain = Plain::new();
            for act in &acts {
                match act.write(&mut store) {
                    Ok(()) => act.apply(&mut plain),
                    Err(sailcart_store::Fault::Unsure { .. }) => plain = contents(&mut store),
                    Err(_) => {}
                }
                assert_eq!(contents(&mut store), plain, "call {call}, row {row}");
            }
            files.mend();
            store.sync().expect("the device is well");
            files.lose_power(call);
            let found = contents(&mut open(&files, Sync::Each));
            assert_eq!(found, plain, "call {call}, row {row}: the power was lost");
        }
    }
}
