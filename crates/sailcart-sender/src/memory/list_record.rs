//! Records the list in force in the state folder, as the changes since the list of the configuration, so that the next
//! process starts with what this one knew.
//!
//! The record is a store of its own in a subfolder. It can be lost without harm to the journal, and it never prevents a
//! start: a record that cannot be read is replaced by an empty one.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nom::combinator::all_consuming;
use nom::number::complete::{be_f64, be_u8, be_u32, be_u64};
use nom::{IResult, Parser};
use sailcart::starting_list::{ConfiguredList, RecordedList};
use sailcart_store::{Change, Store, StoreError, StoreOptions, SyncPolicy};

use super::closed_files::ClosedFiles;
use super::records::string;

/// The subfolder of the state folder.
const FOLDER: &str = "list";
/// Disk space of the subfolder itself, in bytes.
const FOLDER_BYTES: u64 = 4096;
/// The key of the record's header.
const HEADER_KEY: &[u8] = b"h";
/// The first byte of the key of an endpoint, before its name.
const ENDPOINT_KEY: u8 = b'n';
/// Format of the header and of the endpoints.
const FORMAT: u8 = 1;
/// Number of changes that wait to be written while the folder fails. With more, the record is incomplete.
const MAX_WAITING_CHANGES: usize = 1024;
/// Size of the changes that are written together, as a fraction of the largest write.
const WRITE_DIVISOR: u64 = 2;
/// More than the store adds to a key and its value, in bytes.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// What identifies an endpoint that is listed and live, besides its name.
#[derive(Clone, Debug, PartialEq)]
pub struct LiveEndpoint {
    pub address: SocketAddr,
    pub destination: u64,
    pub kind: String,
    /// Calls per second from all senders.
    pub rate: f64,
}

/// A change of the list: an endpoint that was added or changed, or one that drains or is gone.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    pub name: String,
    /// `None` for an endpoint that drains or is gone.
    pub live: Option<LiveEndpoint>,
}

/// The header of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The discovery that served the list.
    pub discovery: SocketAddr,
    pub list: RecordedList,
    /// When the version was recorded, by the wall clock.
    pub recorded_at: Duration,
}

impl Header {
    /// Time since the version was recorded.
    pub fn age(&self) -> Duration {
        unix_time().saturating_sub(self.recorded_at)
    }
}

/// The record of the list in force.
pub struct ListRecord {
    store: Store<ClosedFiles>,
    header: Header,
    /// Changes that are in force and not written yet.
    waiting: VecDeque<EndpointChange>,
    /// Writes are failing, and this has been logged.
    write_failure_logged: bool,
}

/// The record that the previous process left.
#[derive(Default)]
pub struct Recovered {
    pub header: Option<Header>,
    /// The recorded endpoints by name; `None` for one that drains or is gone.
    pub endpoints: BTreeMap<String, Option<LiveEndpoint>>,
}

impl ListRecord {
    /// Opens the record in a state folder, of up to `capacity_bytes`, for the list of `discovery`, and returns what the
    /// previous process recorded. A damaged record, or one of another discovery, is discarded.
    ///
    /// # Errors
    /// The folder cannot be read or written.
    pub fn open(
        state_folder: &Path,
        capacity_bytes: u64,
        discovery: SocketAddr,
        base: ConfiguredList,
    ) -> io::Result<(ListRecord, Recovered)> {
        let folder = state_folder.join(FOLDER);
        match fs::create_dir(&folder) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
            _ => {}
        }
        let capacity_bytes = capacity_bytes.saturating_sub(FOLDER_BYTES);
        let mut store = open_store(&folder, capacity_bytes)?;
        let mut recovered = read(&mut store);
        let other = recovered.as_ref().ok().and_then(|recovered| recovered.header);
        if let Some(other) = other.filter(|header| header.discovery != discovery) {
            log::warn!("list: code=record_of_another discovery {}; it is discarded", other.discovery);
        }
        if let Err(error) = &recovered {
            log::warn!("list: code=record_damaged {error}; it is discarded");
        }
        if recovered.is_err() || other.is_some_and(|header| header.discovery != discovery) {
            drop(store);
            fs::remove_dir_all(&folder)?;
            fs::create_dir(&folder)?;
            store = open_store(&folder, capacity_bytes)?;
            recovered = Ok(Recovered::default());
        }
        let list = RecordedList { base, version: base.version, complete: true };
        let header = Header { discovery, list, recorded_at: unix_time() };
        let record = ListRecord { store, header, waiting: VecDeque::new(), write_failure_logged: false };
        Ok((record, recovered.unwrap_or_default()))
    }

    /// Continues the record that the previous process left.
    pub fn resume(&mut self, header: &Header) {
        self.header.list.version = header.list.version;
        self.header.list.complete = header.list.complete;
        self.header.recorded_at = header.recorded_at;
        let written = self.write_header();
        self.log_health(&written);
    }

    /// Discards what the previous process recorded: the list of the configuration is newer.
    ///
    /// # Errors
    /// Something could not be deleted. The record must not be used then.
    pub fn restart(&mut self) -> Result<(), StoreError> {
        let keys: Vec<Box<[u8]>> = self.store.keys(&[], None).map(Box::from).collect();
        // The header goes first: without it the rest counts for nothing.
        let (header, endpoints): (Vec<_>, Vec<_>) = keys.into_iter().partition(|key| **key == *HEADER_KEY);
        for key in header.iter().chain(&endpoints) {
            self.store.write(&[Change::Delete(key)])?;
        }
        self.write_header()
    }

    /// Records changes that are in force, in their order. If the folder cannot be written, they wait.
    pub fn record(&mut self, changes: impl IntoIterator<Item = EndpointChange>) {
        self.waiting.extend(changes);
        if !self.waiting.is_empty() {
            let written = self.write_waiting();
            self.log_health(&written);
        }
        if self.waiting.len() > MAX_WAITING_CHANGES {
            self.waiting.truncate(MAX_WAITING_CHANGES);
            let written = self.mark_incomplete();
            self.log_health(&written);
        }
    }

    /// Records that this version is in force, after its changes.
    pub fn record_version(&mut self, version: u64, discovery: SocketAddr) {
        let header = &self.header;
        let is_recorded = header.list.version == version && header.discovery == discovery;
        if is_recorded && self.waiting.is_empty() && !self.write_failure_logged {
            return;
        }
        let recorded_at = if is_recorded { header.recorded_at } else { unix_time() };
        self.header.list.version = version;
        self.header.discovery = discovery;
        self.header.recorded_at = recorded_at;
        let written = self.write_waiting().and_then(|()| self.write_header());
        self.log_health(&written);
    }

    fn write_header(&mut self) -> Result<(), StoreError> {
        let value = encode_header(&self.header);
        self.store.write(&[Change::Put(HEADER_KEY, &value)])
    }

    fn write_waiting(&mut self) -> Result<(), StoreError> {
        let max_bytes = (self.store.options().max_write_bytes() / WRITE_DIVISOR) as usize;
        while !self.waiting.is_empty() {
            let mut records = Vec::new();
            let mut bytes = 0;
            for change in &self.waiting {
                let (key, value) = (endpoint_key(&change.name), encode_endpoint(change.live.as_ref()));
                bytes += key.len() + value.len() + CHANGE_OVERHEAD_BYTES;
                if bytes > max_bytes && !records.is_empty() {
                    break;
                }
                records.push((key, value));
            }
            self.write_fitting(&records)?;
            self.waiting.drain(..records.len());
        }
        Ok(())
    }

    /// Writes records together. If there is no space for all of them, writes those that fit.
    fn write_fitting(&mut self, records: &[(Vec<u8>, Vec<u8>)]) -> Result<(), StoreError> {
        let changes: Vec<Change> = records.iter().map(|(key, value)| Change::Put(key, value)).collect();
        match self.store.write(&changes) {
            Err(StoreError::Full { .. } | StoreError::TooLarge { .. }) => {}
            other => return other,
        }
        self.mark_incomplete()?;
        for change in changes {
            match self.store.write(&[change]) {
                Ok(()) | Err(StoreError::Full { .. } | StoreError::TooLarge { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    fn mark_incomplete(&mut self) -> Result<(), StoreError> {
        if self.header.list.complete {
            self.header.list.complete = false;
            log::warn!("list: code=record_full not all changes of the list are recorded");
            self.write_header()?;
        }
        Ok(())
    }

    /// Logs one line when writes begin to fail, and one when they succeed again.
    fn log_health(&mut self, written: &Result<(), StoreError>) {
        match written {
            Err(error) if !self.write_failure_logged => {
                self.write_failure_logged = true;
                log::warn!("list: code=not_recorded {error}; the record is old");
            }
            Ok(()) if self.write_failure_logged => {
                self.write_failure_logged = false;
                log::info!("list: code=recorded_again");
            }
            _ => {}
        }
    }
}

/// Opens the store, and replaces it by an empty one if it is damaged.
fn open_store(folder: &Path, capacity_bytes: u64) -> io::Result<Store<ClosedFiles>> {
    let options = StoreOptions { capacity_bytes, sync: SyncPolicy::None };
    match Store::open(ClosedFiles::new(folder), options) {
        Ok((store, _)) => Ok(store),
        Err(error @ (StoreError::Io { .. } | StoreError::InUse)) => Err(error.into()),
        Err(error) => {
            log::warn!("list: code=record_damaged {error}; it is discarded");
            fs::remove_dir_all(folder)?;
            fs::create_dir(folder)?;
            Ok(Store::open(ClosedFiles::new(folder), options)?.0)
        }
    }
}

fn read(store: &mut Store<ClosedFiles>) -> io::Result<Recovered> {
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "a record that this version cannot read");
    let keys: Vec<Box<[u8]>> = store.keys(&[], None).map(Box::from).collect();
    let mut recovered = Recovered::default();
    for key in keys {
        let Some(value) = store.get(&key)? else { continue };
        match &*key {
            HEADER_KEY => {
                let (_, header) = all_consuming(header).parse(&value).map_err(|_| malformed())?;
                recovered.header = Some(header);
            }
            [ENDPOINT_KEY, name @ ..] => {
                let name = std::str::from_utf8(name).map_err(|_| malformed())?;
                let (_, live) = all_consuming(endpoint).parse(&value).map_err(|_| malformed())?;
                recovered.endpoints.insert(name.to_owned(), live);
            }
            _ => return Err(malformed()),
        }
    }
    Ok(recovered)
}

fn endpoint_key(name: &str) -> Vec<u8> {
    [&[ENDPOINT_KEY], name.as_bytes()].concat()
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text.as_bytes());
}

fn encode_header(header: &Header) -> Vec<u8> {
    let mut out = vec![FORMAT, header.list.complete.into()];
    out.extend(header.list.version.to_be_bytes());
    out.extend(header.list.base.version.to_be_bytes());
    out.extend(header.list.base.checksum.to_be_bytes());
    out.extend((header.recorded_at.as_millis() as u64).to_be_bytes());
    put_text(&mut out, &header.discovery.to_string());
    out
}

fn header(input: &[u8]) -> IResult<&[u8], Header> {
    let (rest, complete) = after_format(input)?;
    let (rest, (version, base_version, checksum)) = (be_u64, be_u64, be_u32).parse(rest)?;
    let (rest, (recorded_ms, discovery)) = (be_u64, address).parse(rest)?;
    let base = ConfiguredList { version: base_version, checksum };
    let list = RecordedList { base, version, complete };
    Ok((rest, Header { discovery, list, recorded_at: Duration::from_millis(recorded_ms) }))
}

fn encode_endpoint(live: Option<&LiveEndpoint>) -> Vec<u8> {
    let mut out = vec![FORMAT, live.is_some().into()];
    if let Some(live) = live {
        out.extend(live.rate.to_be_bytes());
        out.extend(live.destination.to_be_bytes());
        put_text(&mut out, &live.address.to_string());
        put_text(&mut out, &live.kind);
    }
    out
}

fn endpoint(input: &[u8]) -> IResult<&[u8], Option<LiveEndpoint>> {
    let (rest, is_live) = after_format(input)?;
    if !is_live {
        return Ok((rest, None));
    }
    let (rest, (rate, destination)) = (be_f64, be_u64).parse(rest)?;
    let (rest, (address, kind)) = (address, string).parse(rest)?;
    Ok((rest, Some(LiveEndpoint { address, destination, kind: kind.into(), rate })))
}

/// Parses the format and the flag that follows it.
fn after_format(input: &[u8]) -> IResult<&[u8], bool> {
    let (rest, _) = be_u8.map_opt(|format| (format == FORMAT).then_some(())).parse(input)?;
    be_u8.map(|flag| flag == 1).parse(rest)
}

fn address(input: &[u8]) -> IResult<&[u8], SocketAddr> {
    string.map_opt(|text| text.parse().ok()).parse(input)
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
