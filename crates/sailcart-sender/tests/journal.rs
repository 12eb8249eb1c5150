//! What the journal must outlive.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart::{DestinationId, PacketId};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::{Notice, Packet, Stand, Unix};

const ROOM: u64 = 64 * 1024;

/// An empty folder of a story's own.
fn folder(story: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sailcart-{}-{story}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, ROOM, 4).expect("a journal")
}

fn packet(ledger: &Ledger, id: &str, bytes: usize) -> Packet {
    Packet {
        number: ledger.next(),
        id: id.into(),
        category: "c".into(),
        customer: Some("t".into()),
        mark: None,
        about: Some("".into()),
        destination: DestinationId(7),
        ends: Unix(Duration::from_micros(1_764_000_000_123_456)),
        body: vec![b'x'; bytes].into(),
    }
}

fn take(ledger: &mut Ledger, id: &str) -> PacketId {
    let packet = packet(ledger, id, 100);
    let number = packet.number;
    ledger.take(packet).expect("room");
    number
}

fn ids(ledger: &Ledger) -> Vec<String> {
    ledger.unended().iter().map(|packet| packet.id.to_string()).collect()
}

#[test]
fn what_is_owed_comes_back_as_it_was() {
    let folder = folder("owed");
    let mut ledger = open(&folder);
    let [a, b, c, d, e] = ["a", "b", "c", "d", "e"].map(|id| take(&mut ledger, id));
    let at = |ms| Unix(Duration::from_millis(ms));
    for id in [a, b, c] {
        ledger.sends(id, at(5)).expect("room");
    }
    ledger.came_back(b, true).expect("room");
    ledger.sends(b, at(9)).expect("room");
    ledger.came_back(c, false).expect("room");
    ledger.over(d, None);
    ledger.owe(e, Notice::Dismissed(Some(Duration::from_millis(500))));
    let before = ledger.packet(a).expect("kept").clone();
    drop(ledger);
    let mut ledger = open(&folder);
    assert_eq!(ids(&ledger), ["a", "b", "c"]);
    assert_eq!(ledger.packet(a), Some(&before));
    assert_eq!(ledger.stand(a), Stand { dispatches: 1, doubt: None, out: Some(at(5)) });
    assert_eq!(ledger.stand(b), Stand { dispatches: 2, doubt: Some(at(5)), out: Some(at(9)) });
    assert_eq!(ledger.stand(c), Stand { dispatches: 1, doubt: None, out: None });
    let owed: Vec<_> = ledger.owed().map(|(id, name, notice)| (id, name.to_owned(), notice)).collect();
    assert_eq!(owed, [(e, "e".to_owned(), Notice::Dismissed(Some(Duration::from_millis(500))))]);
    assert_eq!(ledger.next(), PacketId(e.0 + 1), "no number is used twice");
    ledger.told(&[e]);
    assert_eq!(open(&folder).owed().count(), 0);
}

/// A call that an earlier life had out stays in doubt, whatever becomes of later ones: the memory of a deduplicated
/// packet counts from it. The second restart forgot it.
#[test]
fn a_doubt_outlives_two_restarts() {
    let folder = folder("doubt");
    let mut ledger = open(&folder);
    let id = take(&mut ledger, "a");
    ledger.sends(id, Unix(Duration::from_secs(5))).expect("room");
    let mut ledger = open(&folder);
    ledger.sends(id, Unix(Duration::from_secs(9))).expect("room");
    ledger.came_back(id, false).expect("room");
    let doubt = Some(Unix(Duration::from_secs(5)));
    assert_eq!(open(&folder).stand(id), Stand { dispatches: 2, doubt, out: None });
}

/// SIGKILL may fall within a write.
#[test]
fn a_torn_tail_is_cut_and_the_rest_kept() {
    let folder = folder("torn");
    let mut ledger = open(&folder);
    take(&mut ledger, "a");
    let whole = fs::read(folder.join("journal")).expect("a journal");
    take(&mut ledger, "b");
    let both = fs::read(folder.join("journal")).expect("a journal");
    for cut in [whole.len() + 1, whole.len() + 7, both.len() - 1] {
        fs::write(folder.join("journal"), &both[..cut]).expect("a torn journal");
        assert_eq!(ids(&open(&folder)), ["a"]);
        assert_eq!(fs::read(folder.join("journal")).expect("a journal"), whole, "cut at {cut}");
    }
    let mut bad = both.clone();
    bad[whole.len() + 20] ^= 1;
    fs::write(folder.join("journal"), &bad).expect("a bad journal");
    let mut ledger = open(&folder);
    assert_eq!(ids(&ledger), ["a"], "the checksum tells");
    take(&mut ledger, "c");
    assert_eq!(ids(&open(&folder)), ["a", "c"]);
}

/// A crash between writing the new file and putting it in place leaves the old one, whole.
#[test]
fn a_rewriting_cut_short_loses_nothing() {
    let folder = folder("rewriting");
    let mut ledger = open(&folder);
    take(&mut ledger, "a");
    fs::write(folder.join("journal.new"), b"sailcart journal 1\nhalf").expect("a leftover");
    assert_eq!(ids(&open(&folder)), ["a"]);
    assert!(!folder.join("journal.new").exists());
}

#[test]
fn the_folder_stays_within_its_room() {
    let folder = folder("room");
    let mut ledger = open(&folder);
    let kept = take(&mut ledger, "kept");
    ledger.owe(kept, Notice::Scrapped);
    let staying = take(&mut ledger, "staying");
    for n in 0..2000 {
        let id = take(&mut ledger, &format!("{n}"));
        ledger.sends(id, Unix(Duration::from_secs(n))).expect("room");
        ledger.over(id, None);
        let bytes = fs::metadata(folder.join("journal")).expect("a journal").len();
        assert!(bytes <= ROOM / 2, "{bytes} bytes");
    }
    assert_eq!(ids(&open(&folder)), ["staying"]);
    assert_eq!(open(&folder).owed().count(), 1);
    assert!(open(&folder).packet(staying).is_some());
}

#[test]
fn what_does_not_fit_is_not_taken() {
    let folder = folder("full");
    let mut ledger = open(&folder);
    let taken = (0..10).take_while(|n| {
        let packet = packet(&ledger, &n.to_string(), 4000);
        ledger.take(packet).is_ok()
    });
    let taken = taken.count();
    assert_eq!(taken, 3, "a quarter of the room");
    let first = ledger.unended()[0].number;
    ledger.sends(first, Unix(Duration::ZERO)).expect("what was taken can go");
    ledger.over(first, None);
    assert!(ledger.take(packet(&ledger, "next", 4000)).is_ok());
}
