//! The command `sailcart store`: its output for an intact and for a damaged folder.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sailcart::{DestinationId, PacketId};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::Moment;
use sailcart_sender::memory::{Notice, Packet};
use sailcart_store::SyncPolicy;

const CAPACITY_BYTES: u64 = 256 * 1024;

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, CAPACITY_BYTES, 100, SyncPolicy::None).expect("open the journal")
}

fn accept(ledger: &mut Ledger, id: &str) -> PacketId {
    let number = ledger.next_number();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("read the clock");
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
    ledger.accept(packet).expect("the journal has capacity");
    number
}

/// Runs `sailcart store` and returns whether it succeeded, and its standard output and standard error.
fn run_store(arguments: &[&str], folders: &[&Path]) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sailcart"));
    let output = command.arg("store").args(arguments).args(folders).output().expect("run sailcart");
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// `show` must work on the folder of a running sender, which holds the lock, and report each state of a
/// packet.
#[test]
fn show_reads_the_folder_of_a_running_sender() {
    let folder = tempfile::tempdir().expect("create the folder");
    let mut ledger = open(folder.path());
    let [a, b, c] = ["aa", "bb", "cc"].map(|id| accept(&mut ledger, id));
    ledger
        .record_dispatch(&[a], Moment::by_wall_clock(Duration::from_secs(5)))
        .expect("the journal has capacity");
    ledger.complete_with_notice(b, Notice::Scrapped);
    ledger.complete(c);
    let (success, output) = run_store(&["show"], &[folder.path()]);
    assert!(success, "{output}");
    assert!(output.contains("packet aa: category order, destination 7, 300 bytes"), "{output}");
    assert!(output.contains("1 dispatches, one in flight, possibly executed"), "{output}");
    assert!(output.contains("pending notice for bb: scrapped"), "{output}");
    assert!(output.contains("1 packets not completed, 1 pending notices, 1 ids remembered"), "{output}");
}

/// After damage in the middle of a segment, salvage must recover all records but the damaged one. The lost
/// record may have been a dispatch, so each recovered packet counts as possibly executed. The old folder
/// stays unchanged, and an existing folder is not written to.
#[test]
fn salvaged_packets_are_possibly_executed_and_the_old_folder_is_unchanged() {
    let parent = tempfile::tempdir().expect("create the folder");
    let (old, new) = (parent.path().join("old"), parent.path().join("new"));
    fs::create_dir(&old).expect("create the folder");
    let mut ledger = open(&old);
    let ids: Vec<String> = (0..20).map(|n| format!("p{n}")).collect();
    for id in &ids {
        accept(&mut ledger, id);
    }
    drop(ledger);
    let segment = old.join("segment-0000000000000001");
    let mut bytes = fs::read(&segment).expect("read the segment");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    fs::write(&segment, &bytes).expect("write the segment");
    let (success, output) = run_store(&["check"], &[&old]);
    assert!(!success && output.contains("code=damaged segment-0000000000000001 at byte"), "{output}");
    let (success, output) = run_store(&["salvage"], &[&old, &new]);
    assert!(success && output.contains("given up: segment-0000000000000001"), "{output}");
    assert!(output.contains("19 records saved"), "{output}");
    assert_eq!(fs::read(&segment).expect("read the segment"), bytes, "salvage changed the old folder");
    let ledger = open(&new);
    let salvaged = ledger.uncompleted_packets();
    assert_eq!(salvaged.len(), 19);
    assert!(
        salvaged.iter().all(|packet| ledger.dispatch_state(packet.number).possibly_executed_at.is_some())
    );
    let (success, output) = run_store(&["salvage"], &[&old, &new]);
    assert!(!success, "salvage into an existing folder succeeded: {output}");
}
