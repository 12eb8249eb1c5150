//! What the journal must outlive.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart::{DestinationId, PacketId};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;
use sailcart_sender::memory::{DispatchState, Notice, Packet};
use sailcart_store::SyncPolicy;

const ROOM: u64 = 64 * 1024;

/// An empty folder of a story's own.
fn folder(story: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sailcart-{}-{story}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, ROOM, 4, SyncPolicy::None).expect("a journal")
}

fn packet(ledger: &Ledger, id: &str, bytes: usize) -> Packet {
    Packet {
        number: ledger.next_number(),
        id: id.into(),
        category: "c".into(),
        customer: Some("t".into()),
        idempotency_key: None,
        order_key: Some("".into()),
        destination: DestinationId(7),
        deadline: Moment::by_wall_clock(Duration::from_micros(1_764_000_000_123_456)),
        body: vec![b'x'; bytes].into(),
    }
}

fn take(ledger: &mut Ledger, id: &str) -> PacketId {
    let packet = packet(ledger, id, 100);
    let number = packet.number;
    ledger.accept(packet).expect("room");
    number
}

fn ids(ledger: &Ledger) -> Vec<String> {
    ledger.uncompleted_packets().iter().map(|packet| packet.id.to_string()).collect()
}

#[test]
fn what_is_owed_comes_back_as_it_was() {
    let folder = folder("owed");
    let mut ledger = open(&folder);
    let [a, b, c, d, e] = ["a", "b", "c", "d", "e"].map(|id| take(&mut ledger, id));
    let at = |ms| Moment::by_wall_clock(Duration::from_millis(ms));
    for id in [a, b, c] {
        ledger.record_dispatch(&[id], at(5)).expect("room");
    }
    ledger.record_outcome(b, true);
    ledger.record_dispatch(&[b], at(9)).expect("room");
    ledger.record_outcome(c, false);
    ledger.complete(d);
    ledger.complete_with_notice(e, Notice::Dismissed(Some(Duration::from_millis(500))));
    let before = ledger.packet(a).expect("kept").clone();
    drop(ledger);
    let mut ledger = open(&folder);
    assert_eq!(ids(&ledger), ["a", "b", "c"]);
    assert_eq!(ledger.packet(a), Some(&before));
    assert_eq!(
        ledger.dispatch_state(a),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: Some(at(5)) }
    );
    assert_eq!(
        ledger.dispatch_state(b),
        DispatchState { dispatches: 2, possibly_executed_at: Some(at(5)), in_flight_since: Some(at(9)) }
    );
    assert_eq!(
        ledger.dispatch_state(c),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: None }
    );
    let owed: Vec<_> =
        ledger.pending_notices().map(|(id, name, notice)| (id, name.to_owned(), notice)).collect();
    assert_eq!(owed, [(e, "e".to_owned(), Notice::Dismissed(Some(Duration::from_millis(500))))]);
    assert_eq!(ledger.next_number(), PacketId(e.0 + 1), "no number is used twice");
    ledger.acknowledge_notices(&[e]);
    drop(ledger);
    assert_eq!(open(&folder).pending_notices().count(), 0);
}

/// A call that an earlier life had out stays in doubt, whatever becomes of later ones: the memory of a deduplicated
/// packet counts from it. The second restart forgot it.
#[test]
fn a_doubt_outlives_two_restarts() {
    let folder = folder("doubt");
    let mut ledger = open(&folder);
    let id = take(&mut ledger, "a");
    ledger.record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(5))).expect("room");
    drop(ledger);
    let mut ledger = open(&folder);
    ledger.record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(9))).expect("room");
    ledger.record_outcome(id, false);
    drop(ledger);
    let possibly_executed_at = Some(Moment::by_wall_clock(Duration::from_secs(5)));
    assert_eq!(
        open(&folder).dispatch_state(id),
        DispatchState { dispatches: 2, possibly_executed_at, in_flight_since: None }
    );
}

fn size(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("a folder").flatten();
    files.map(|file| file.metadata().expect("a file").len().div_ceil(512) * 512).sum()
}

/// SIGKILL may fall within a write.
#[test]
fn a_torn_tail_is_cut_and_the_rest_kept() {
    let folder = folder("torn");
    let mut ledger = open(&folder);
    take(&mut ledger, "a");
    take(&mut ledger, "b");
    drop(ledger);
    let segment = folder.join("segment-0000000000000001");
    let whole = fs::read(&segment).expect("a segment");
    fs::write(&segment, &whole[..whole.len() - 3]).expect("a torn segment");
    let mut ledger = open(&folder);
    assert_eq!(ids(&ledger), ["a"]);
    take(&mut ledger, "c");
    drop(ledger);
    assert_eq!(ids(&open(&folder)), ["a", "c"]);
    // No crash changes a byte: refused, by name.
    let mut bad = fs::read(&segment).expect("a segment");
    bad[60] ^= 1;
    fs::write(&segment, &bad).expect("a bad segment");
    let fault = Ledger::open(&folder, ROOM, 4, SyncPolicy::None).map(|_| ()).expect_err("damage");
    assert!(fault.to_string().contains("segment-0000000000000001 at byte"), "{fault}");
}

/// One that was over is known after a restart too: its client may send the command once more.
#[test]
fn ids_of_packets_that_are_over_outlive_a_restart() {
    let folder = folder("over");
    let mut ledger = open(&folder);
    let wait = Some(Notice::Dismissed(Some(Duration::from_millis(70))));
    for n in 0..6 {
        let id = take(&mut ledger, &n.to_string());
        match wait {
            Some(notice) if n == 5 => assert!(ledger.complete_rejected(id, notice)),
            _ => ledger.complete(id),
        }
    }
    drop(ledger);
    let ledger = open(&folder);
    let known: Vec<Option<Option<Notice>>> = (0..6).map(|n| ledger.completed(&n.to_string())).collect();
    assert_eq!(known, [None, None, Some(None), Some(None), Some(None), Some(wait)], "the last four");
}

/// A record as format 1 had it: length, checksum, form, number, and the rest.
fn format1(form: u8, number: u64, rest: &[u8]) -> Vec<u8> {
    let record = [&[form][..], &number.to_be_bytes(), rest].concat();
    let sum = crc32fast::hash(&record).to_be_bytes();
    [&(record.len() as u32).to_be_bytes()[..], &sum, &record].concat()
}

#[test]
fn the_journal_of_format_1_is_carried_over_once() {
    let folder = folder("format1");
    let word = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    let taken = |id: &str| {
        let [ends, destination] = [1_764_000_000_123_456u64, 7].map(u64::to_be_bytes);
        [&ends[..], &destination, &word(id), &word("c"), &[0, 0, 0], &word("body")].concat()
    };
    let stand = [&2u32.to_be_bytes()[..], &[1], &5_000u64.to_be_bytes(), &[0]].concat();
    let scrapped = |id: &str| [&word(id)[..], &[1, 0]].concat();
    let all = [
        b"sailcart journal 1\n".to_vec(),
        format1(1, 3, &taken("a")),
        format1(1, 4, &taken("b")),
        format1(2, 3, &stand),
        format1(1, 5, &taken("c")),
        format1(3, 4, &scrapped("b")),
        format1(4, 5, &[]),
        b"torn".to_vec(),
    ];
    fs::write(folder.join("journal"), all.concat()).expect("a journal");
    for life in 0..2 {
        let ledger = open(&folder);
        assert_eq!(ids(&ledger), ["a"], "life {life}");
        let at = Some(Moment::by_wall_clock(Duration::from_millis(5)));
        assert_eq!(
            ledger.dispatch_state(PacketId(3)),
            DispatchState { dispatches: 2, possibly_executed_at: at, in_flight_since: None }
        );
        assert_eq!(&*ledger.packet(PacketId(3)).expect("kept").body, b"body");
        let owed: Vec<_> =
            ledger.pending_notices().map(|(id, name, notice)| (id, name.to_owned(), notice)).collect();
        assert_eq!(owed, [(PacketId(4), "b".to_owned(), Notice::Scrapped)]);
        assert_eq!(ledger.completed("c"), Some(None));
        assert!(!folder.join("journal").exists());
    }
    fs::write(folder.join("journal"), b"sailcart journal 9\n").expect("a journal");
    assert!(Ledger::open(&folder, ROOM, 4, SyncPolicy::None).is_err(), "a newer one is refused");
}

#[test]
fn the_folder_stays_within_its_room() {
    let folder = folder("room");
    let mut ledger = open(&folder);
    let kept = take(&mut ledger, "kept");
    ledger.complete_with_notice(kept, Notice::Scrapped);
    let staying = take(&mut ledger, "staying");
    for n in 0..2000 {
        let id = take(&mut ledger, &format!("{n}"));
        ledger.record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(n))).expect("room");
        ledger.complete(id);
        let bytes = size(&folder);
        assert!(bytes <= ROOM, "{bytes} bytes");
    }
    drop(ledger);
    let ledger = open(&folder);
    assert_eq!(ids(&ledger), ["staying"]);
    assert_eq!(ledger.pending_notices().count(), 1);
    assert!(ledger.packet(staying).is_some());
}

#[test]
fn what_does_not_fit_is_not_taken() {
    let folder = folder("full");
    let mut ledger = open(&folder);
    let taken = (0..10).take_while(|n| {
        let packet = packet(&ledger, &n.to_string(), 4000);
        ledger.accept(packet).is_ok()
    });
    let taken = taken.count();
    assert_eq!(taken, 8, "half of the room, with what they may still need");
    let first = ledger.uncompleted_packets()[0].number;
    ledger.record_dispatch(&[first], Moment::by_wall_clock(Duration::ZERO)).expect("what was taken can go");
    ledger.complete(first);
    assert!(ledger.accept(packet(&ledger, "next", 4000)).is_ok());
}
