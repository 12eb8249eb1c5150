//! Bytes that are not as they were written: cut and flipped, every one of them; files that are gone or of another
//! time; and what salvage makes of them.

mod common;

use common::{Act, Memory, Plain, contents, open, room, until_death};
use sailcart_store::{Change, Fault, Salvaged, Store, Sync, salvage};

/// A folder with several segments, and what stood in it after each act.
fn folder() -> (Memory, Vec<Plain>) {
    let files = Memory::default();
    let mut store = open(&files, Sync::None);
    let (mut plain, mut states) = (Plain::new(), vec![Plain::new()]);
    for act in Act::some(3, 60, 700) {
        act.write(&mut store).expect("room");
        act.apply(&mut plain);
        states.push(plain.clone());
    }
    drop(store);
    assert!(files.names().iter().filter(|name| name.starts_with("segment")).count() >= 2);
    (files, states)
}

fn tried(files: &Memory) -> Result<Plain, Fault> {
    files.again();
    Store::open(files.clone(), room(Sync::None)).map(|(mut store, _)| contents(&mut store))
}

#[test]
fn a_file_cut_at_any_byte_gives_an_earlier_state_or_is_refused() {
    let (whole, states) = folder();
    for name in whole.names() {
        let bytes = whole.bytes(&name);
        let last = whole.names().iter().filter(|other| other.starts_with("segment")).max() == Some(&name);
        for cut in 0..bytes.len() {
            let files = whole.copy();
            files.set(&name, &bytes[..cut]);
            match tried(&files) {
                Ok(found) => {
                    assert!(last, "{name} cut at {cut}: only the end of the log may be torn");
                    assert!(states.contains(&found), "{name} cut at {cut}");
                }
                Err(Fault::Damaged { file, .. }) => assert_eq!(file, name, "cut at {cut}"),
                Err(fault) => panic!("{name} cut at {cut}: {fault}"),
            }
        }
    }
}

#[test]
fn any_byte_changed_is_refused_with_its_file_and_nothing_is_written() {
    let (whole, _) = folder();
    for name in whole.names() {
        let bytes = whole.bytes(&name);
        for at in 0..bytes.len() {
            let files = whole.copy();
            let mut changed = bytes.clone();
            changed[at] ^= 1 << (at % 8);
            files.set(&name, &changed);
            match tried(&files) {
                Err(Fault::Damaged { file, offset, .. }) => {
                    assert_eq!(file, name);
                    // A manifest has one checksum, at its end.
                    assert!(name == "manifest" || offset <= at as u64, "byte {at}, told {offset}");
                }
                Err(Fault::Newer { file, .. }) => assert_eq!(file, name),
                other => panic!("{name}, byte {at}: {other:?}"),
            }
            assert_eq!(files.bytes(&name), changed, "nothing is mended");
        }
    }
}

#[test]
fn a_file_that_is_gone_is_missed_by_name() {
    let (whole, _) = folder();
    for name in whole.names() {
        let files = whole.copy();
        files.remove_file(&name);
        let last = whole.names().iter().filter(|other| other.starts_with("segment")).max() == Some(&name);
        match tried(&files) {
            Err(Fault::Missing { file }) => assert_eq!(file, name),
            // Nothing is behind the last one to miss it: the state before it.
            Ok(_) => assert!(last, "{name}"),
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn a_newer_version_is_refused_and_a_file_of_another_time_is_not_believed() {
    let (whole, _) = folder();
    let files = whole.copy();
    let mut bytes = files.bytes("manifest");
    bytes[18] = 9;
    let sum = crc32fast::hash(&bytes[..27]).to_be_bytes();
    bytes[27..].copy_from_slice(&sum);
    files.set("manifest", &bytes);
    let newer = tried(&files);
    assert!(matches!(newer, Err(Fault::Newer { found: 9, known: 3, .. })), "{newer:?}");
    // An index that another program left beside the log.
    let files = whole.copy();
    files.set("index", b"whatever");
    assert_eq!(tried(&files).expect("the log alone counts"), tried(&whole).expect("sound"));
}

#[test]
fn a_log_that_changes_under_a_running_store_is_not_believed() {
    let files = Memory::default();
    let mut store = open(&files, Sync::None);
    store.write(&[Change::Put(b"a", b"first")]).expect("room");
    let name = files.names().into_iter().find(|name| name.starts_with("segment")).expect("a segment");
    let mut bytes = files.bytes(&name);
    let end = bytes.len() - 1;
    bytes[end] ^= 1;
    // The same file, as the store has it open.
    let mut handle = sailcart_store::Files::open(&mut files.clone(), &name).expect("there");
    sailcart_store::Files::truncate(&mut files.clone(), &mut handle, 0).expect("cut");
    sailcart_store::Files::append(&mut files.clone(), &mut handle, &bytes).expect("written");
    assert!(matches!(store.get(b"a"), Err(Fault::Damaged { .. })));
}

#[test]
fn salvage_saves_what_can_be_read_and_tells_what_it_gives_up() {
    let (whole, states) = folder();
    let sound = states.last().expect("a state");
    let name = whole.names().into_iter().find(|name| name.starts_with("segment")).expect("a segment");
    let files = whole.copy();
    let mut bytes = files.bytes(&name);
    let at = bytes.len() / 2;
    bytes[at] ^= 0x10;
    files.set(&name, &bytes);
    assert!(tried(&files).is_err());
    let new = Memory::default();
    let mut store = open(&new, Sync::None);
    let Salvaged { keys, given_up } = salvage(files, &mut store).expect("readable");
    assert_eq!(given_up.len(), 1);
    let (file, from, length) = &given_up[0];
    assert!(*file == name && *from <= at as u64 && at as u64 <= from + length, "{given_up:?}");
    let found = contents(&mut store);
    assert_eq!(found.len(), keys);
    // At most the keys of the lost record differ.
    let differ = sound.iter().filter(|(key, value)| found.get(*key) != Some(value)).count();
    assert!(differ <= 2, "{differ} of {}", sound.len());
}

#[test]
fn two_processes_do_not_share_a_folder() {
    let files = Memory::default();
    let _first = open(&files, Sync::None);
    assert!(matches!(Store::open(files.clone(), room(Sync::None)), Err(Fault::InUse)));
    let folder = tempfile::tempdir().expect("a folder");
    let disk = || sailcart_store::Disk::new(folder.path());
    let _first = Store::open(disk(), room(Sync::None)).expect("it opens");
    assert!(matches!(Store::open(disk(), room(Sync::None)), Err(Fault::InUse)));
}

#[test]
fn the_room_holds_and_ends_always_fit() {
    let files = Memory::default();
    let mut store = open(&files, Sync::None);
    let too_large = vec![0; room(Sync::None).most_change() as usize];
    assert!(matches!(store.write(&[Change::Put(b"k", &too_large)]), Err(Fault::TooLarge { .. })));
    let mut taken = 0u32;
    while store.write(&[Change::Put(&taken.to_be_bytes(), &[7; 900])]).is_ok() {
        taken += 1;
        assert!(files.size() <= 64 * 1024, "{} bytes", files.size());
    }
    assert!(taken > 30, "{taken} packets of 64 KiB");
    for key in 0..taken {
        store.write(&[Change::End(&key.to_be_bytes())]).expect("room is kept for ends");
        assert!(files.size() <= 64 * 1024, "{} bytes", files.size());
    }
    assert!(store.is_empty());
    store.write(&[Change::Put(b"next", &[7; 900])]).expect("room again");
}

#[test]
fn what_ends_during_a_compaction_stays_ended_and_what_comes_stays() {
    let files = Memory::default();
    let mut store = open(&files, Sync::None);
    for key in 0..20u8 {
        store.write(&[Change::Put(&[key], &[key; 700])]).expect("room");
    }
    let mut plain = contents(&mut store);
    for key in 0..20u8 {
        store.step(300).expect("a step");
        store.write(&[Change::End(&[key])]).expect("room");
        plain.remove(&vec![key]);
        store.write(&[Change::Put(&[key, 1], &[key; 300])]).expect("room");
        plain.insert(vec![key, 1], vec![key; 300]);
        assert_eq!(contents(&mut open(&files.copy(), Sync::None)), plain, "a start in the middle, key {key}");
    }
    until_death(&mut store, &[], &mut plain);
    assert!(store.effort().segments_retired > 0);
}
