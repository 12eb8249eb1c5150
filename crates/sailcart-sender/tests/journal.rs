//! The journal: which state of packets and notices a restart restores, and that its folder stays within its
//! capacity.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart::{DestinationId, PacketId};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;
use sailcart_sender::memory::{DispatchState, Execution, Notice, Packet};
use sailcart_store::SyncPolicy;

const CAPACITY_BYTES: u64 = 64 * 1024;

/// Creates an empty folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sailcart-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("create the folder");
    folder
}

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, CAPACITY_BYTES, 4, SyncPolicy::None).expect("open the journal")
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

fn accept(ledger: &mut Ledger, id: &str) -> PacketId {
    let packet = packet(ledger, id, 100);
    let number = packet.number;
    ledger.accept(packet).expect("the journal has capacity");
    number
}

fn ids(ledger: &Ledger) -> Vec<String> {
    ledger.uncompleted_packets().iter().map(|packet| packet.id.to_string()).collect()
}

/// Each state that a packet can have at the end of a process is restored as it was: in flight, dispatched
/// twice, dispatched and known not to have been executed, delivered, and completed with a pending notice.
#[test]
fn uncompleted_state_survives_a_restart() {
    let folder = folder("uncompleted");
    let mut ledger = open(&folder);
    let [a, b, c, d, e] = ["a", "b", "c", "d", "e"].map(|id| accept(&mut ledger, id));
    let at = |ms| Moment::by_wall_clock(Duration::from_millis(ms));
    let [_, first_of_b, first_of_c] =
        [a, b, c].map(|id| ledger.record_dispatch(&[id], at(5)).expect("the journal has capacity"));
    ledger.record_outcome(b, first_of_b, Execution::Possible);
    ledger.record_dispatch(&[b], at(9)).expect("the journal has capacity");
    ledger.record_outcome(c, first_of_c, Execution::NotExecuted);
    ledger.complete(d);
    ledger.complete_with_notice(e, Notice::Dismissed(Some(Duration::from_millis(500))));
    let before = ledger.packet(a).expect("the packet is stored").clone();
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
    let pending: Vec<_> =
        ledger.pending_notices().map(|(id, name, notice)| (id, name.to_owned(), notice)).collect();
    assert_eq!(pending, [(e, "e".to_owned(), Notice::Dismissed(Some(Duration::from_millis(500))))]);
    assert_eq!(ledger.next_number(), PacketId(e.0 + 1), "no number is used twice");
    ledger.acknowledge_notices(&[e]);
    drop(ledger);
    assert_eq!(open(&folder).pending_notices().count(), 0);
}

/// A call that was in flight when a process ended may have been executed, whatever the outcome of later
/// calls: the deduplication window counts from that call. Guards against losing the time of that call
/// at a second restart.
#[test]
fn possible_execution_is_remembered_over_two_restarts() {
    let folder = folder("possible-execution");
    let mut ledger = open(&folder);
    let id = accept(&mut ledger, "a");
    ledger
        .record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(5)))
        .expect("the journal has capacity");
    drop(ledger);
    let mut ledger = open(&folder);
    let second = ledger
        .record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(9)))
        .expect("the journal has capacity");
    ledger.record_outcome(id, second, Execution::NotExecuted);
    drop(ledger);
    let possibly_executed_at = Some(Moment::by_wall_clock(Duration::from_secs(5)));
    assert_eq!(
        open(&folder).dispatch_state(id),
        DispatchState { dispatches: 2, possibly_executed_at, in_flight_since: None }
    );
}

/// Bytes that the files of the folder occupy on disk, in blocks of 512 bytes.
fn disk_usage_bytes(folder: &Path) -> u64 {
    let files = fs::read_dir(folder).expect("read the folder").flatten();
    files.map(|file| file.metadata().expect("read the metadata of the file").len().div_ceil(512) * 512).sum()
}

/// SIGKILL may interrupt a write. The torn record at the end is dropped and all earlier ones are restored,
/// while a corrupted byte elsewhere, which no crash causes, is reported with its segment and position.
#[test]
fn torn_write_at_the_end_is_dropped() {
    let folder = folder("torn-write");
    let mut ledger = open(&folder);
    accept(&mut ledger, "a");
    accept(&mut ledger, "b");
    drop(ledger);
    let segment = folder.join("segment-0000000000000001");
    let intact = fs::read(&segment).expect("read the segment");
    fs::write(&segment, &intact[..intact.len() - 3]).expect("write the segment");
    let mut ledger = open(&folder);
    assert_eq!(ids(&ledger), ["a"]);
    accept(&mut ledger, "c");
    drop(ledger);
    assert_eq!(ids(&open(&folder)), ["a", "c"]);
    // A crash does not change a byte within a record: opening fails and names the segment.
    let mut corrupted = fs::read(&segment).expect("read the segment");
    corrupted[60] ^= 1;
    fs::write(&segment, &corrupted).expect("write the segment");
    let error = Ledger::open(&folder, CAPACITY_BYTES, 4, SyncPolicy::None)
        .map(|_| ())
        .expect_err("the segment is corrupted");
    assert!(error.to_string().contains("segment-0000000000000001 at byte"), "{error}");
}

/// A client may submit its command again after a restart, so the last completed ids are restored, each with
/// its outcome.
#[test]
fn completed_ids_survive_a_restart() {
    let folder = folder("completed");
    let mut ledger = open(&folder);
    let rejection = Some(Notice::Dismissed(Some(Duration::from_millis(70))));
    for n in 0..6 {
        let id = accept(&mut ledger, &n.to_string());
        match rejection {
            Some(notice) if n == 5 => assert!(ledger.complete_rejected(id, notice)),
            _ => ledger.complete(id),
        }
    }
    drop(ledger);
    let ledger = open(&folder);
    let outcomes: Vec<Option<Option<Notice>>> = (0..6).map(|n| ledger.completed(&n.to_string())).collect();
    assert_eq!(
        outcomes,
        [None, None, Some(None), Some(None), Some(None), Some(rejection)],
        "the last four completed ids"
    );
}

/// A record of format 1: length, checksum, record type, packet number and payload.
fn format_1_record(record_type: u8, number: u64, payload: &[u8]) -> Vec<u8> {
    let record = [&[record_type][..], &number.to_be_bytes(), payload].concat();
    let checksum = crc32fast::hash(&record).to_be_bytes();
    [&(record.len() as u32).to_be_bytes()[..], &checksum, &record].concat()
}

/// The single file of format 1 is migrated at the first start, and its file is removed; the next start finds
/// the same state in the new format. A file of an unknown version is rejected.
#[test]
fn format_1_journal_is_migrated_once() {
    let folder = folder("format1");
    let text_field = |text: &str| [&(text.len() as u32).to_be_bytes()[..], text.as_bytes()].concat();
    let accepted_payload = |id: &str| {
        let [deadline, destination] = [1_764_000_000_123_456u64, 7].map(u64::to_be_bytes);
        [&deadline[..], &destination, &text_field(id), &text_field("c"), &[0, 0, 0], &text_field("body")]
            .concat()
    };
    let dispatch_payload = [&2u32.to_be_bytes()[..], &[1], &5_000u64.to_be_bytes(), &[0]].concat();
    let scrapped_payload = |id: &str| [&text_field(id)[..], &[1, 0]].concat();
    let records = [
        b"sailcart journal 1\n".to_vec(),
        format_1_record(1, 3, &accepted_payload("a")),
        format_1_record(1, 4, &accepted_payload("b")),
        format_1_record(2, 3, &dispatch_payload),
        format_1_record(1, 5, &accepted_payload("c")),
        format_1_record(3, 4, &scrapped_payload("b")),
        format_1_record(4, 5, &[]),
        b"torn".to_vec(),
    ];
    fs::write(folder.join("journal"), records.concat()).expect("write the journal");
    for start in 0..2 {
        let ledger = open(&folder);
        assert_eq!(ids(&ledger), ["a"], "start {start}");
        let first_dispatch = Some(Moment::by_wall_clock(Duration::from_millis(5)));
        assert_eq!(
            ledger.dispatch_state(PacketId(3)),
            DispatchState { dispatches: 2, possibly_executed_at: first_dispatch, in_flight_since: None }
        );
        assert_eq!(&*ledger.packet(PacketId(3)).expect("the packet is stored").body, b"body");
        let pending: Vec<_> =
            ledger.pending_notices().map(|(id, name, notice)| (id, name.to_owned(), notice)).collect();
        assert_eq!(pending, [(PacketId(4), "b".to_owned(), Notice::Scrapped)]);
        assert_eq!(ledger.completed("c"), Some(None));
        assert!(!folder.join("journal").exists());
    }
    fs::write(folder.join("journal"), b"sailcart journal 9\n").expect("write the journal");
    assert!(
        Ledger::open(&folder, CAPACITY_BYTES, 4, SyncPolicy::None).is_err(),
        "a newer version was opened"
    );
}

/// Completed packets must be compacted: 2000 packets pass through the folder, and it never exceeds its
/// capacity, while a pending notice and an uncompleted packet are retained.
#[test]
fn folder_stays_within_its_capacity() {
    let folder = folder("capacity");
    let mut ledger = open(&folder);
    let with_notice = accept(&mut ledger, "kept");
    ledger.complete_with_notice(with_notice, Notice::Scrapped);
    let uncompleted = accept(&mut ledger, "staying");
    for n in 0..2000 {
        let id = accept(&mut ledger, &format!("{n}"));
        ledger
            .record_dispatch(&[id], Moment::by_wall_clock(Duration::from_secs(n)))
            .expect("the journal has capacity");
        ledger.complete(id);
        let bytes = disk_usage_bytes(&folder);
        assert!(bytes <= CAPACITY_BYTES, "{bytes} bytes");
    }
    drop(ledger);
    let ledger = open(&folder);
    assert_eq!(ids(&ledger), ["staying"]);
    assert_eq!(ledger.pending_notices().count(), 1);
    assert!(ledger.packet(uncompleted).is_some());
}

/// A packet is accepted only if the records that it may still need fit as well, so that accepted packets can
/// always be dispatched and completed.
#[test]
fn packets_beyond_the_capacity_are_rejected() {
    let folder = folder("full");
    let mut ledger = open(&folder);
    let accepted_count = (0..10).take_while(|n| {
        let packet = packet(&ledger, &n.to_string(), 4000);
        ledger.accept(packet).is_ok()
    });
    let accepted_count = accepted_count.count();
    assert_eq!(accepted_count, 8, "half of the capacity, including the records that they may still need");
    let first = ledger.uncompleted_packets()[0].number;
    ledger
        .record_dispatch(&[first], Moment::by_wall_clock(Duration::ZERO))
        .expect("an accepted packet can be dispatched");
    ledger.complete(first);
    assert!(ledger.accept(packet(&ledger, "next", 4000)).is_ok());
}
