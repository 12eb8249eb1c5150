//! Damaged files: every byte truncated or changed in turn, files that are missing or left by another program,
//! and what salvage recovers from them.

mod common;

use common::{MemoryFiles, Model, Operation, contents, open, options, write_until_crash};
use sailcart_store::{Change, SalvageReport, Store, StoreError, SyncPolicy, salvage};

/// A folder with several segments, and its contents after each operation.
fn sample_folder() -> (MemoryFiles, Vec<Model>) {
    let files = MemoryFiles::default();
    let mut store = open(&files, SyncPolicy::None);
    let (mut model, mut states) = (Model::new(), vec![Model::new()]);
    for operation in Operation::random(3, 60, 700) {
        operation.write(&mut store).expect("the write succeeds");
        operation.apply(&mut model);
        states.push(model.clone());
    }
    drop(store);
    assert!(files.file_names().iter().filter(|name| name.starts_with("segment")).count() >= 2);
    (files, states)
}

fn try_open(files: &MemoryFiles) -> Result<Model, StoreError> {
    files.restart();
    Store::open(files.clone(), options(SyncPolicy::None)).map(|(mut store, _)| contents(&mut store))
}

#[test]
fn a_file_truncated_at_any_byte_gives_an_earlier_state_or_is_refused() {
    let (intact, states) = sample_folder();
    for name in intact.file_names() {
        let bytes = intact.read_file(&name);
        let is_last =
            intact.file_names().iter().filter(|other| other.starts_with("segment")).max() == Some(&name);
        for length in 0..bytes.len() {
            let files = intact.copy();
            files.write_file(&name, &bytes[..length]);
            match try_open(&files) {
                Ok(found) => {
                    assert!(is_last, "{name} truncated to {length} bytes: only the last segment may be torn");
                    assert!(states.contains(&found), "{name} truncated to {length} bytes");
                }
                Err(StoreError::Damaged { file, .. }) => {
                    assert_eq!(file, name, "truncated to {length} bytes")
                }
                Err(error) => panic!("{name} truncated to {length} bytes: {error}"),
            }
        }
    }
}

#[test]
fn any_changed_byte_is_refused_with_its_file_name_and_not_repaired() {
    let (intact, _) = sample_folder();
    for name in intact.file_names() {
        let bytes = intact.read_file(&name);
        for at in 0..bytes.len() {
            let files = intact.copy();
            let mut changed = bytes.clone();
            changed[at] ^= 1 << (at % 8);
            files.write_file(&name, &changed);
            match try_open(&files) {
                Err(StoreError::Damaged { file, offset, .. }) => {
                    assert_eq!(file, name);
                    // A manifest has a single checksum, at its end, and is reported there.
                    assert!(name == "manifest" || offset <= at as u64, "byte {at}, reported offset {offset}");
                }
                Err(StoreError::NewerVersion { file, .. }) => assert_eq!(file, name),
                other => panic!("{name}, byte {at}: {other:?}"),
            }
            assert_eq!(files.read_file(&name), changed, "the file is not repaired");
        }
    }
}

#[test]
fn a_missing_file_is_reported_by_name() {
    let (intact, _) = sample_folder();
    for name in intact.file_names() {
        let files = intact.copy();
        files.remove_file(&name);
        let is_last =
            intact.file_names().iter().filter(|other| other.starts_with("segment")).max() == Some(&name);
        match try_open(&files) {
            Err(StoreError::MissingFile { file }) => assert_eq!(file, name),
            // No later segment shows that the last one is missing: the store opens with an earlier state.
            Ok(_) => assert!(is_last, "{name}"),
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn a_newer_version_is_refused_and_an_unrelated_file_is_ignored() {
    let (intact, _) = sample_folder();
    let files = intact.copy();
    let mut bytes = files.read_file("manifest");
    bytes[18] = 9;
    let sum = crc32fast::hash(&bytes[..27]).to_be_bytes();
    bytes[27..].copy_from_slice(&sum);
    files.write_file("manifest", &bytes);
    let newer = try_open(&files);
    assert!(matches!(newer, Err(StoreError::NewerVersion { found: 9, supported: 3, .. })), "{newer:?}");
    // A file named "index" that another program left in the folder.
    let files = intact.copy();
    files.write_file("index", b"whatever");
    assert_eq!(
        try_open(&files).expect("the file is ignored"),
        try_open(&intact).expect("the folder is intact")
    );
}

#[test]
fn a_log_changed_under_a_running_store_is_reported_as_damaged() {
    let files = MemoryFiles::default();
    let mut store = open(&files, SyncPolicy::None);
    store.write(&[Change::Put(b"a", b"first")]).expect("the write succeeds");
    let name =
        files.file_names().into_iter().find(|name| name.starts_with("segment")).expect("a segment exists");
    let mut bytes = files.read_file(&name);
    let end = bytes.len() - 1;
    bytes[end] ^= 1;
    // Change the file that the store has open, rather than replace it.
    let mut handle = sailcart_store::Files::open(&mut files.clone(), &name).expect("the file exists");
    sailcart_store::Files::truncate(&mut files.clone(), &mut handle, 0).expect("the file is truncated");
    sailcart_store::Files::append(&mut files.clone(), &mut handle, &bytes).expect("the bytes are written");
    assert!(matches!(store.get(b"a"), Err(StoreError::Damaged { .. })));
}

#[test]
fn salvage_copies_readable_frames_and_reports_unreadable_ranges() {
    let (intact, states) = sample_folder();
    let expected = states.last().expect("a last state");
    let name =
        intact.file_names().into_iter().find(|name| name.starts_with("segment")).expect("a segment exists");
    let files = intact.copy();
    let mut bytes = files.read_file(&name);
    let at = bytes.len() / 2;
    bytes[at] ^= 0x10;
    files.write_file(&name, &bytes);
    assert!(try_open(&files).is_err());
    let new_folder = MemoryFiles::default();
    let mut store = open(&new_folder, SyncPolicy::None);
    let SalvageReport { copied_keys, unreadable_ranges } =
        salvage(files, &mut store).expect("the folder is readable");
    assert_eq!(unreadable_ranges.len(), 1);
    let (file, start, length) = &unreadable_ranges[0];
    assert!(*file == name && *start <= at as u64 && at as u64 <= start + length, "{unreadable_ranges:?}");
    let found = contents(&mut store);
    assert_eq!(found.len(), copied_keys);
    // At most the keys of the lost frame differ.
    let differing = expected.iter().filter(|(key, value)| found.get(*key) != Some(value)).count();
    assert!(differing <= 2, "{differing} of {}", expected.len());
}

#[test]
fn two_processes_do_not_share_a_folder() {
    let files = MemoryFiles::default();
    let _first = open(&files, SyncPolicy::None);
    assert!(matches!(Store::open(files.clone(), options(SyncPolicy::None)), Err(StoreError::InUse)));
    let folder = tempfile::tempdir().expect("a temporary folder");
    let disk = || sailcart_store::Disk::new(folder.path());
    let _first = Store::open(disk(), options(SyncPolicy::None)).expect("the store opens");
    assert!(matches!(Store::open(disk(), options(SyncPolicy::None)), Err(StoreError::InUse)));
}

#[test]
fn the_capacity_is_never_exceeded_and_deletions_always_fit() {
    let files = MemoryFiles::default();
    let mut store = open(&files, SyncPolicy::None);
    let too_large = vec![0; options(SyncPolicy::None).max_write_bytes() as usize];
    assert!(matches!(store.write(&[Change::Put(b"k", &too_large)]), Err(StoreError::TooLarge { .. })));
    let mut count = 0u32;
    while store.write(&[Change::Put(&count.to_be_bytes(), &[7; 900])]).is_ok() {
        count += 1;
        assert!(files.used_bytes() <= 64 * 1024, "{} bytes", files.used_bytes());
    }
    assert!(count > 30, "only {count} values in 64 KiB");
    for key in 0..count {
        store.write(&[Change::Delete(&key.to_be_bytes())]).expect("space for tombstones is reserved");
        assert!(files.used_bytes() <= 64 * 1024, "{} bytes", files.used_bytes());
    }
    assert!(store.is_empty());
    store.write(&[Change::Put(b"next", &[7; 900])]).expect("space is free again");
}

#[test]
fn deletions_and_writes_during_compaction_are_kept() {
    let files = MemoryFiles::default();
    let mut store = open(&files, SyncPolicy::None);
    for key in 0..20u8 {
        store.write(&[Change::Put(&[key], &[key; 700])]).expect("the write succeeds");
    }
    let mut model = contents(&mut store);
    for key in 0..20u8 {
        store.compact(300).expect("the step succeeds");
        store.write(&[Change::Delete(&[key])]).expect("the write succeeds");
        model.remove(&vec![key]);
        store.write(&[Change::Put(&[key, 1], &[key; 300])]).expect("the write succeeds");
        model.insert(vec![key, 1], vec![key; 300]);
        assert_eq!(contents(&mut open(&files.copy(), SyncPolicy::None)), model, "reopened after key {key}");
    }
    write_until_crash(&mut store, &[], &mut model);
    assert!(store.stats().segments_retired > 0);
}
