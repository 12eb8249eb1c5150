//! Folders of earlier formats. No process is started here: a child has a copy of the folder's lock between its fork and its exec, so that a
//! folder that is opened again beside one may be found in use.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::{BootId, Distance, Moment, Span, Uptime};
use sailcart_sender::memory::{DispatchState, Notice};
use sailcart_store::SyncPolicy;

/// A folder that the release before this format wrote: six packets, of which one is untried, one out, one in doubt, one ended with a
/// notice owed, one delivered and one refused at once.
const FORMAT_2: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/store-format-2");
/// When that folder says that its packets' time is over, and when the first of its calls went.
const ENDS: Duration = Duration::from_secs(1_764_000_024);
const FIRST_CALL: Duration = Duration::from_millis(1_764_000_000_500);

fn copy_of_format_2(story: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sailcart-{}-{story}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    for file in fs::read_dir(FORMAT_2).expect("the fixture").flatten() {
        fs::copy(file.path(), folder.join(file.file_name())).expect("a copy");
    }
    folder
}

fn open(folder: &Path) -> Ledger {
    Ledger::open(folder, 64 * 1024, 16, SyncPolicy::None).expect("a journal")
}

#[test]
fn a_folder_of_format_2_is_read_whole_and_goes_on_in_format_3() {
    let folder = copy_of_format_2("format-2");
    let mut ledger = open(&folder);
    let kept = ledger.uncompleted_packets();
    let names: Vec<&str> = kept.iter().map(|packet| &*packet.id).collect();
    assert_eq!(names, ["untried", "out", "doubt"]);
    assert!(
        kept.iter().all(|packet| packet.deadline == Moment::by_wall_clock(ENDS) && *packet.body == *b"hello")
    );
    let states: Vec<DispatchState> = kept.iter().map(|packet| ledger.dispatch_state(packet.number)).collect();
    let first = Some(Moment::by_wall_clock(FIRST_CALL));
    let second = Some(Moment::by_wall_clock(FIRST_CALL + Duration::from_millis(100)));
    let expected = [
        DispatchState::default(),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: first },
        DispatchState { dispatches: 1, possibly_executed_at: second, in_flight_since: None },
    ];
    assert_eq!(states, expected);
    let owed: Vec<_> = ledger.pending_notices().map(|(_, id, notice)| (id.to_owned(), notice)).collect();
    assert_eq!(owed, [("owed".to_owned(), Notice::Dismissed(Some(Duration::from_millis(500))))]);
    assert_eq!(ledger.completed("over"), Some(None));
    let busy = Notice::Dismissed(Some(Duration::from_millis(250)));
    assert_eq!(ledger.completed("busy"), Some(Some(busy)));

    // What it writes now stands beside what it found, also after the next start.
    let now =
        Moment { unix: ENDS, uptime: Some(Uptime { boot: BootId(7), since_boot: Duration::from_secs(5) }) };
    ledger.record_dispatch(&[kept[0].number], now).expect("room");
    drop(ledger);
    let ledger = open(&folder);
    assert_eq!(
        ledger.dispatch_state(kept[0].number),
        DispatchState { dispatches: 1, possibly_executed_at: None, in_flight_since: Some(now) }
    );
    assert_eq!(ledger.dispatch_state(kept[1].number), expected[1]);
}

#[test]
fn a_distance_is_sure_within_one_start_of_the_machine_only() {
    let at = |boot, unix, since| Moment {
        unix: Duration::from_secs(unix),
        uptime: Some(Uptime { boot: BootId(boot), since_boot: Duration::from_secs(since) }),
    };
    let now = at(1, 1000, 50);
    let ago = |seconds| Span::Ago(Duration::from_secs(seconds));
    assert_eq!(now.distance(at(1, 5000, 40)), Distance::Monotonic(ago(10)), "the wall clock went back since");
    assert_eq!(now.distance(at(1, 0, 60)), Distance::Monotonic(Span::Ahead(Duration::from_secs(10))));
    assert_eq!(now.distance(at(2, 990, 40)), Distance::WallClock(ago(10)));
    assert_eq!(now.distance(Moment::by_wall_clock(Duration::from_secs(998))), Distance::WallClock(ago(2)));
    assert_eq!(now.later(Duration::from_secs(3)).earlier(Duration::from_secs(3)), now);
}
