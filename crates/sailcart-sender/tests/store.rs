//! `sailcart store`: what an operator sees of a folder, sound and damaged.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sailcart::{DestinationId, PacketId};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;
use sailcart_sender::memory::{Notice, Packet};
use sailcart_store::SyncPolicy;

const ROOM: u64 = 256 * 1024;

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, ROOM, 100, SyncPolicy::None).expect("a journal")
}

fn take(ledger: &mut Ledger, id: &str) -> PacketId {
    let number = ledger.next_number();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
    let packet = Packet {
        number,
        id: id.into(),
        category: "order".into(),
        customer: None,
        idempotency_key: None,
        order_key: None,
        destination: DestinationId(7),
        deadline: Moment::by_wall_clock(now + Duration::from_secs(60)),
        body: vec![b'x'; 300].into(),
    };
    ledger.accept(packet).expect("room");
    number
}

/// What the program says, and whether it ended well.
fn say(words: &[&str], folders: &[&Path]) -> (bool, String) {
    let mut run = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    let output = run.arg("store").args(words).args(folders).output().expect("a run");
    let said = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&said).into_owned())
}

#[test]
fn a_folder_is_shown_beside_the_sender_that_has_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut ledger = open(folder.path());
    let [a, b, c] = ["aa", "bb", "cc"].map(|id| take(&mut ledger, id));
    ledger.record_dispatch(&[a], Moment::by_wall_clock(Duration::from_secs(5))).expect("room");
    ledger.complete_with_notice(b, Notice::Scrapped);
    ledger.complete(c);
    let (well, said) = say(&["show"], &[folder.path()]);
    assert!(well, "{said}");
    assert!(said.contains("packet aa: category order, destination 7, 300 bytes"), "{said}");
    assert!(said.contains("1 dispatches, one in flight, possibly executed"), "{said}");
    assert!(said.contains("pending notice for bb: scrapped"), "{said}");
    assert!(said.contains("1 packets not completed, 1 pending notices, 1 ids remembered"), "{said}");
}

#[test]
fn salvage_counts_what_it_saves_as_perhaps_run_and_leaves_the_old_folder() {
    let both = tempfile::tempdir().expect("a folder");
    let (old, new) = (both.path().join("old"), both.path().join("new"));
    fs::create_dir(&old).expect("a folder");
    let mut ledger = open(&old);
    let ids: Vec<String> = (0..20).map(|n| format!("p{n}")).collect();
    for id in &ids {
        take(&mut ledger, id);
    }
    drop(ledger);
    let segment = old.join("segment-0000000000000001");
    let mut bytes = fs::read(&segment).expect("a segment");
    let at = bytes.len() / 2;
    bytes[at] ^= 4;
    fs::write(&segment, &bytes).expect("a bad segment");
    let (well, said) = say(&["check"], &[&old]);
    assert!(!well && said.contains("code=damaged segment-0000000000000001 at byte"), "{said}");
    let (well, said) = say(&["salvage"], &[&old, &new]);
    assert!(well && said.contains("given up: segment-0000000000000001"), "{said}");
    assert!(said.contains("19 records saved"), "{said}");
    assert_eq!(fs::read(&segment).expect("a segment"), bytes, "the old folder stays as it is");
    let ledger = open(&new);
    let saved = ledger.uncompleted_packets();
    assert_eq!(saved.len(), 19);
    assert!(saved.iter().all(|packet| ledger.dispatch_state(packet.number).possibly_executed_at.is_some()));
    let (well, said) = say(&["salvage"], &[&old, &new]);
    assert!(!well, "into a folder that is there: {said}");
}
