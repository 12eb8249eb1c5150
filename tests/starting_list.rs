//! The choice of the list with which a process starts.

use sailcart::starting_list::{ConfiguredList, RecordedList, StartingList, starting_list};

const CONFIGURED: ConfiguredList = ConfiguredList { version: 40, checksum: 1 };
const OTHER: ConfiguredList = ConfiguredList { version: 30, checksum: 2 };

fn start_with(base: ConfiguredList, version: u64, complete: bool) -> StartingList {
    starting_list(CONFIGURED, Some(RecordedList { base, version, complete }))
}

#[test]
fn the_newer_list_is_chosen() {
    assert_eq!(starting_list(CONFIGURED, None), StartingList::Configured);
    assert_eq!(start_with(CONFIGURED, 41, true), StartingList::Recorded { changes_since: 41 });
    assert_eq!(start_with(OTHER, 41, true), StartingList::Recorded { changes_since: 41 });
    assert_eq!(start_with(OTHER, 40, true), StartingList::Configured);
    assert_eq!(start_with(OTHER, 39, true), StartingList::Configured);
}

// Guards against a record being taken for old because discovery numbers its versions anew.
#[test]
fn what_was_recorded_since_the_configured_list_is_newer_under_any_version() {
    assert_eq!(start_with(CONFIGURED, 2, true), StartingList::Recorded { changes_since: 2 });
}

// Guards against changes that are not in the record never being asked for.
#[test]
fn with_an_incomplete_record_all_changes_are_asked_for_again() {
    assert_eq!(start_with(CONFIGURED, 45, false), StartingList::Recorded { changes_since: 40 });
}
