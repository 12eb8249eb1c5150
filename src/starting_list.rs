//! Decides with which list of endpoints a process starts: the one of its configuration, or the one that the previous
//! process had in force.

/// The list of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfiguredList {
    pub version: u64,
    /// Checksum of the list as written.
    pub checksum: u32,
}

/// The list that the previous process had in force, recorded as the changes since the list of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedList {
    /// The list of the configuration of that process.
    pub base: ConfiguredList,
    pub version: u64,
    /// All changes up to this version are recorded.
    pub complete: bool,
}

/// With which list a process starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartingList {
    /// With the list of the configuration.
    Configured,
    /// With the list of the configuration and the recorded changes. Discovery is asked for the changes since this
    /// version.
    Recorded { changes_since: u64 },
}

/// Chooses the newer list. What was recorded since the very list of the configuration is newer whatever its version,
/// as discovery may number its versions anew.
pub fn starting_list(configured: ConfiguredList, recorded: Option<RecordedList>) -> StartingList {
    match recorded {
        Some(recorded) if recorded.base == configured || recorded.version > configured.version => {
            let version = if recorded.complete { recorded.version } else { configured.version };
            StartingList::Recorded { changes_since: version }
        }
        _ => StartingList::Configured,
    }
}
