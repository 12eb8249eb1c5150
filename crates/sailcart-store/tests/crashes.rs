//! A crash, a power loss, a full disk or a device error at every single file call.

mod common;

use common::{MemoryFiles, Model, Operation, contents, matches_model, open, options, write_until_crash};
use sailcart_store::{Change, Store, StoreError, SyncPolicy};

/// Operations that fill the folder more than once, so that compaction runs throughout.
fn operations_that_compact() -> Vec<Operation> {
    Operation::random(7, 260, 3000)
}

/// Number of file calls that the operations take without a crash.
fn count_calls(operations: &[Operation], sync: SyncPolicy) -> u64 {
    let files = MemoryFiles::default();
    let mut store = open(&files, sync);
    write_until_crash(&mut store, operations, &mut Model::new());
    assert!(store.stats().segments_retired > 3, "compaction ran: {:?}", store.stats());
    files.call_count()
}

#[test]
fn a_crash_at_any_call_keeps_confirmed_writes_and_deletions() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    assert!(total_calls > 300, "{total_calls} calls");
    for call in 1..=total_calls {
        for completed_share in [0.0, 0.3, 0.9] {
            let files = MemoryFiles::default();
            files.crash_at(call, completed_share);
            let mut model = Model::new();
            let interrupted = match Store::open(files.clone(), options(SyncPolicy::None)) {
                Ok((mut store, _)) => write_until_crash(&mut store, &operations, &mut model),
                Err(_) => None,
            };
            let mut store = open(&files, SyncPolicy::None);
            let found = contents(&mut store);
            assert!(
                matches_model(&found, &model, interrupted.as_ref()),
                "call {call}, share {completed_share}"
            );
        }
    }
}

#[test]
fn a_second_crash_during_recovery_changes_nothing() {
    let operations = operations_that_compact();
    let total_calls = count_calls(&operations, SyncPolicy::None);
    for call in (1..=total_calls).step_by(7) {
        let files = MemoryFiles::default();
        let mut model = Model::new();
        let mut store = open(&files, SyncPolicy::None);
        files.crash_at(call, 0.4);
        let interrupted = write_until_crash(&mut store, &operations, &mut model);
        for second_call in 1..40 {
            let files = files.copy();
            files.crash_at(second_call, 0.6);
            let crashed = Store::open(files.clone(), options(SyncPolicy::None)).is_err();
            let found = contents(&mut open(&files, SyncPolicy::None));
            assert!(matches_model(&found, &model, interrupted.as_ref()), "calls {call} and {second_call}");
            if !crashed {
                break;
            }
        }
    }
}

#[test]
fn a_power_loss_at_any_call_keeps_synced_writes() {
    let operations = Operation::random(9, 120, 3000);
    let total_calls = {
        let files = MemoryFiles::default();
        write_until_crash(&mut open(&files, SyncPolicy::EachWrite), &operations, &mut Model::new());
        files.call_count()
    };
    for call in 1..=total_calls {
        let files = MemoryFiles::default();
        let mut model = Model::new();
        let mut store = open(&files, SyncPolicy::EachWrite);
        files.crash_at(call, 0.5);
        let interrupted = write_until_crash(&mut store, &operations, &mut model);
        files.lose_power(call);
        let found = contents(&mut open(&files, SyncPolicy::EachWrite));
        assert!(matches_model(&found, &model, interrupted.as_ref()), "call {call}");
    }
}

#[test]
fn a_power_loss_with_group_commit_keeps_synced_writes_and_a_prefix_of_later_ones() {
    let operations = Operation::random(11, 150, 800);
    for count in 1..150 {
        let files = MemoryFiles::default();
        let sync = SyncPolicy::Interval(std::time::Duration::from_millis(5));
        let mut store = open(&files, sync);
        let (mut model, mut states) = (Model::new(), vec![]);
        for (position, operation) in operations[..count].iter().enumerate() {
            operation.write(&mut store).expect("the write succeeds");
            operation.apply(&mut model);
            states.push(model.clone());
            if position % 10 == 9 {
                store.sync().expect("the sync succeeds");
                states.drain(..position.min(states.len() - 1));
                states = vec![model.clone()];
            }
        }
        files.lose_power(count as u64);
        let found = contents(&mut open(&files, sync));
        let empty = count < 10 && found.is_empty();
        assert!(
            empty || states.contains(&found),
            "expected a state since the last sync, after {count} operations"
        );
    }
}

#[test]
fn a_device_error_at_any_call_leaves_a_working_store() {
    let operations = Operation::random(13, 160, 3000);
    let total_calls = {
        let files = MemoryFiles::default();
        write_until_crash(&mut open(&files, SyncPolicy::None), &operations, &mut Model::new());
        files.call_count()
    };
    for call in 1..=total_calls {
        let files = MemoryFiles::default();
        let mut store = open(&files, SyncPolicy::None);
        files.fail_call(call);
        let mut model = Model::new();
        for operation in &operations {
            if operation.write(&mut store).is_ok() {
                operation.apply(&mut model);
            }
        }
        assert_eq!(contents(&mut store), model, "before the restart, call {call}");
        drop(store);
        assert_eq!(contents(&mut open(&files, SyncPolicy::None)), model, "after the restart, call {call}");
    }
}

/// Guards against a repeated sync that succeeds although the first one failed and dropped the data: the data
/// must be rewritten to another file before the next write is confirmed.
#[test]
fn data_of_a_failed_sync_is_rewritten_to_another_file() {
    let files = MemoryFiles::default();
    let mut store = open(&files, SyncPolicy::EachWrite);
    store.write(&[Change::Put(b"a", b"1")]).expect("the write succeeds");
    files.fail_call(files.call_count() + 2); // the append, then its sync
    let failed = store.write(&[Change::Put(b"b", b"2")]);
    assert!(matches!(failed, Err(StoreError::SyncFailed { .. })), "{failed:?}");
    let unsynced =
        files.file_names().into_iter().find(|name| name.starts_with("segment-")).expect("a segment exists");
    store.write(&[Change::Put(b"c", b"3")]).expect("the device works again");
    assert!(!files.file_names().contains(&unsynced), "the unsynced segment is replaced");
    files.lose_power(1);
    let found = contents(&mut open(&files, SyncPolicy::EachWrite));
    let expected = [(b"a", b"1"), (b"b", b"2"), (b"c", b"3")];
    assert_eq!(found, expected.map(|(key, value)| (key.to_vec(), value.to_vec())).into());
}

#[test]
fn a_disk_full_at_any_size_is_reported_and_the_store_recovers_when_space_is_freed() {
    let operations = Operation::random(17, 120, 3000);
    let unlimited_size = {
        let files = MemoryFiles::default();
        write_until_crash(&mut open(&files, SyncPolicy::None), &operations, &mut Model::new());
        files.used_bytes()
    };
    for capacity in (200..unlimited_size).step_by(97) {
        let files = MemoryFiles::default();
        let mut store = open(&files, SyncPolicy::None);
        files.set_capacity(Some(capacity));
        let (mut model, mut full_errors) = (Model::new(), 0);
        for operation in &operations {
            match operation.write(&mut store) {
                Ok(()) => operation.apply(&mut model),
                Err(error) if error.is_full() => full_errors += 1,
                Err(error) => panic!("{error}"),
            }
        }
        assert!(full_errors > 0 || capacity > 30_000, "a full disk is reported");
        // Restart on the full disk.
        drop(store);
        let mut store = open(&files, SyncPolicy::None);
        assert_eq!(contents(&mut store), model, "{capacity} bytes");
        files.set_capacity(None);
        store.write(&[Change::Put(b"again", b"there is room")]).expect("the write succeeds");
    }
}

#[test]
fn a_full_disk_during_the_first_start_does_not_prevent_a_later_one() {
    for capacity in 0..80 {
        let files = MemoryFiles::default();
        files.set_capacity(Some(capacity));
        let opened = Store::open(files.clone(), options(SyncPolicy::None));
        assert!(opened.is_ok() || opened.is_err_and(|error| error.is_full()));
        files.set_capacity(None);
        assert!(contents(&mut open(&files, SyncPolicy::None)).is_empty());
    }
}
