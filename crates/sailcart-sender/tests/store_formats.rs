//! State folders of earlier store formats. No test in this file starts a process: between its fork and its
//! exec a child holds a copy of the folder's lock, so a folder that is reopened at that time may be reported
//! as in use.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::{BootId, Distance, Moment, Span, Uptime};
use sailcart_sender::memory::{DispatchState, Notice};
use sailcart_store::SyncPolicy;

/// A folder that the last release with store format 2 wrote. Six packets: one undispatched, one in flight,
/// one possibly executed, one completed with a pending notice, one delivered and one rejected at once.
const FORMAT_2: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/store-format-2");
/// Deadline of the packets in that folder, since the Unix epoch.
const DEADLINE: Duration = Duration::from_secs(1_764_000_024);
/// Time of the first call in that folder, since the Unix epoch.
const FIRST_CALL_AT: Duration = Duration::from_millis(1_764_000_000_500);

fn copy_of_format_2(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sailcart-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("create the folder");
    for file in fs::read_dir(FORMAT_2).expect("read the fixture folder").flatten() {
        fs::copy(file.path(), folder.join(file.file_name())).expect("copy the file");
    }
    folder
}

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, 64 * 1024, 16, SyncPolicy::None).expect("open the journal")
}

/// An upgrade must lose nothing: every state of a packet in format 2 is restored, and records of format 3 are
/// appended to the same folder and restored as well.
#[test]
fn format_2_folder_is_read_and_continued_in_format_3() {
    let folder = copy_of_format_2("format-2");
    let mut ledger = open(&folder);
    let uncompleted = ledger.uncompleted_packets();
    let ids: Vec<&str> = uncompleted.iter().map(|packet| &*packet.id).collect();
    assert_eq!(ids, ["untried", "out", "doubt"]);
    assert!(
        uncompleted
            .iter()
            .all(|packet| packet.deadline == Moment::by_wall_clock(DEADLINE) && *packet.body == *b"hello")
    );
    let states: Vec<DispatchState> =
        uncompleted.iter().map(|packet| ledger.dispatch_state(packet.number)).collect();
    let first = Some(Moment::by_wall_clock(FIRST_CALL_AT));
    let second = Some(Moment::by_wall_clock(FIRST_CALL_AT + Duration::from_millis(100)));
    let expected = [
        DispatchState::default(),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: first },
        DispatchState { dispatches: 1, possibly_executed_at: second, in_flight_since: None },
    ];
    assert_eq!(states, expected);
    let pending: Vec<_> = ledger.pending_notices().map(|(_, id, notice)| (id.to_owned(), notice)).collect();
    assert_eq!(pending, [("owed".to_owned(), Notice::Dismissed(Some(Duration::from_millis(500))))]);
    assert_eq!(ledger.completed("over"), Some(None));
    let busy = Notice::Dismissed(Some(Duration::from_millis(250)));
    assert_eq!(ledger.completed("busy"), Some(Some(busy)));

    // New records are stored next to the old ones and are restored at the next start, too.
    let now = Moment {
        unix: DEADLINE,
        uptime: Some(Uptime { boot: BootId(7), since_boot: Duration::from_secs(5) }),
    };
    ledger.record_dispatch(&[uncompleted[0].number], now).expect("the journal has capacity");
    drop(ledger);
    let ledger = open(&folder);
    assert_eq!(
        ledger.dispatch_state(uncompleted[0].number),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: Some(now) }
    );
    assert_eq!(ledger.dispatch_state(uncompleted[1].number), expected[1]);
}

/// The time between two moments is taken from the monotonic clock within one boot, whatever the wall clock
/// does, and from the wall clock otherwise.
#[test]
fn distance_is_monotonic_only_within_one_boot() {
    let at = |boot, unix, since| Moment {
        unix: Duration::from_secs(unix),
        uptime: Some(Uptime { boot: BootId(boot), since_boot: Duration::from_secs(since) }),
    };
    let now = at(1, 1000, 50);
    let ago = |seconds| Span::Ago(Duration::from_secs(seconds));
    assert_eq!(
        now.distance(at(1, 5000, 40)),
        Distance::Monotonic(ago(10)),
        "the wall clock has been set back in between"
    );
    assert_eq!(now.distance(at(1, 0, 60)), Distance::Monotonic(Span::Ahead(Duration::from_secs(10))));
    assert_eq!(now.distance(at(2, 990, 40)), Distance::WallClock(ago(10)));
    assert_eq!(now.distance(Moment::by_wall_clock(Duration::from_secs(998))), Distance::WallClock(ago(2)));
    assert_eq!(now.later(Duration::from_secs(3)).earlier(Duration::from_secs(3)), now);
}
