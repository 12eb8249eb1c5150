//! Consecutive device errors in every state of the log: whatever fails, the store opens again, confirmed
//! writes are kept, and rejected writes have no effect.

mod common;

use common::{MemoryFiles, Model, Operation, contents, matches_model, open, options, write_until_crash};
use sailcart_store::{Change, Store, SyncPolicy};

/// Operations that fill the folder more than once, so that segments are started and compacted throughout.
fn operations_that_compact() -> Vec<Operation> {
    Operation::random(21, 160, 3000)
}

/// Number of file calls that the operations take without errors.
fn count_calls(operations: &[Operation], sync: SyncPolicy) -> u64 {
    let files = MemoryFiles::default();
    let mut store = open(&files, sync);
    write_until_crash(&mut store, operations, &mut Model::new());
    assert!(store.stats().segments_retired > 2, "compaction ran: {:?}", store.stats());
    files.call_count()
}

/// Runs the operations on a folder on which the given calls fail, counted from the first opening, and opens
/// the store again.
fn check_survives(operations: &[Operation], failing_calls: &[u64], append_share: f64, case: &str) {
    let files = MemoryFiles::default();
    files.fail_calls(failing_calls.iter().copied(), append_share);
    let mut model = Model::new();
    let opened = Store::open(files.clone(), options(SyncPolicy::None));
    let (mut store, _) = opened.unwrap_or_else(|error| panic!("{case}: the first open failed: {error}"));
    for operation in operations {
        if operation.write(&mut store).is_ok() {
            operation.apply(&mut model);
        }
    }
    assert_eq!(contents(&mut store), model, "before the restart, {case}");
    drop(store);
    files.restart();
    let opened = Store::open(files.clone(), options(SyncPolicy::None));
    let (mut store, _) = opened.unwrap_or_else(|error| panic!("{case}: reopening failed: {error}"));
    assert_eq!(contents(&mut store), model, "after the restart, {case}");
}

/// Guards against a partial frame in a segment that is no longer the last: a write fails half-way, the
/// truncation that should undo it fails too, and the next frame does not fit and starts a new segment.
#[test]
fn two_device_errors_at_any_calls_leave_a_folder_that_opens() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    assert!(total_calls > 200, "{total_calls} calls");
    for first in 1..=total_calls {
        for gap in 1..=6 {
            for append_share in [0.0, 0.6] {
                check_survives(
                    &operations,
                    &[first, first + gap],
                    append_share,
                    &format!("calls {first} and {}, share {append_share}", first + gap),
                );
            }
        }
    }
}

#[test]
fn consecutive_device_errors_from_any_call_on_leave_a_folder_that_opens() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    for first in 1..=total_calls {
        for length in [3, 7, 20] {
            let failing_calls: Vec<u64> = (first..first + length).collect();
            check_survives(
                &operations,
                &failing_calls,
                0.4,
                &format!("calls {first} to {}", first + length - 1),
            );
        }
    }
}

/// A process that is killed at any call after device errors loses no confirmed write.
#[test]
fn a_crash_after_device_errors_keeps_confirmed_writes() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    for first in (1..=total_calls).step_by(2) {
        for gap in 1..=8 {
            let files = MemoryFiles::default();
            files.fail_calls([first, first + 1], 0.6);
            files.crash_at(first + 1 + gap, 0.5);
            let mut model = Model::new();
            let mut interrupted = None;
            if let Ok((mut store, _)) = Store::open(files.clone(), options(SyncPolicy::None)) {
                for operation in &operations {
                    match operation.write(&mut store) {
                        Ok(()) => operation.apply(&mut model),
                        // The last failed operation is the one interrupted by the crash; earlier ones had no
                        // effect.
                        Err(_) => interrupted = Some(operation.clone()),
                    }
                    if files.has_crashed() {
                        break;
                    }
                }
            }
            let found = contents(&mut open(&files, SyncPolicy::None));
            assert!(
                matches_model(&found, &model, interrupted.as_ref()),
                "errors from call {first}, crash {gap} calls later"
            );
        }
    }
}

/// A start on a folder that cannot be written: its contents can be read, writes are rejected, and writes
/// succeed as soon as the folder works again.
#[test]
fn a_start_on_a_failing_folder_reads_its_contents_and_writes_later() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    for call in (1..=total_calls).step_by(5) {
        let files = MemoryFiles::default();
        let mut model = Model::new();
        let mut store = open(&files, SyncPolicy::None);
        files.crash_at(call, 0.5);
        let interrupted = write_until_crash(&mut store, &operations, &mut model);
        drop(store);
        files.restart();
        files.fail_calls(1..400, 0.3);
        let opened = Store::open(files.clone(), options(SyncPolicy::None));
        let (mut store, _) = opened.unwrap_or_else(|error| panic!("call {call}: open failed: {error}"));
        let found = contents(&mut store);
        assert!(matches_model(&found, &model, interrupted.as_ref()), "call {call}");
        assert!(store.write(&[Change::Put(b"new", b"1")]).is_err(), "writes are rejected");
        files.clear_failures();
        store.write(&[Change::Put(b"new", b"1")]).expect("the folder works again");
        drop(store);
        let mut later = contents(&mut open(&files, SyncPolicy::None));
        assert_eq!(later.remove(b"new".as_slice()), Some(b"1".to_vec()));
        assert_eq!(later, found, "call {call}");
    }
}

/// A failed sync marks bytes as written that never reach the disk, and a later sync of the same file then
/// succeeds without them. They must be rewritten before anything else is confirmed.
#[test]
fn data_of_a_failed_sync_is_rewritten() {
    let operations = Operation::random(23, 90, 3000);
    let total_calls = {
        let files = MemoryFiles::default();
        write_until_crash(&mut open(&files, SyncPolicy::EachWrite), &operations, &mut Model::new());
        files.call_count()
    };
    for call in 3..=total_calls {
        for length in [1, 2, 5] {
            let files = MemoryFiles::default();
            let mut store = open(&files, SyncPolicy::EachWrite);
            files.fail_calls(call..call + length, 0.5);
            let mut model = Model::new();
            for operation in &operations {
                match operation.write(&mut store) {
                    Ok(()) => operation.apply(&mut model),
                    Err(sailcart_store::StoreError::SyncFailed { .. }) => model = contents(&mut store),
                    Err(_) => {}
                }
                assert_eq!(contents(&mut store), model, "{length} errors from call {call}");
            }
            files.clear_failures();
            store.sync().expect("the device works again");
            files.lose_power(call);
            let found = contents(&mut open(&files, SyncPolicy::EachWrite));
            assert_eq!(found, model, "{length} errors from call {call}, after the power loss");
        }
    }
}
