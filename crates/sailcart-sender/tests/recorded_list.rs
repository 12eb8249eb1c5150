//! The list in force is recorded in the state folder: a process that starts while discovery is down goes by it.

#[allow(dead_code)] // other tests use the rest of it
mod common;

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use common::harness::Harness;
use common::{http_response, list_entry, serve_http, submit};
use sailcart_shim::{EIO, ENOSPC};

const NO_LIST: &str = r#""generation": 0, "reset": true, "instances": []"#;
/// More than a started process waits for discovery, and less than the patience of a packet.
const OUTAGE: Duration = Duration::from_secs(2);

/// An endpoint that accepts everything, with the ids that it received.
fn start_endpoint() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let ids = received.clone();
    let address = serve_http("127.0.0.1:0", move |call| {
        ids.lock().expect("no panic").push(call.header("X-Call-Id").to_owned());
        http_response("200 OK", "", "")
    });
    (address, received)
}

/// A sender whose configuration lists endpoint `e` of destination 7, as discovery did at the start.
fn start_sender(scenario: &str) -> Harness {
    let mut harness = Harness::new(scenario, |_, _| http_response("200 OK", "", ""));
    let entry = list_entry("e", harness.endpoint_address, 7, "Ready");
    harness.kill();
    let list = format!(r#""generation": 1, "reset": true, "instances": [{entry}]"#);
    assert!(harness.config.contains(NO_LIST));
    harness.config = harness.config.replace(NO_LIST, &list);
    harness.start();
    harness
}

/// Lists these entries and waits until the sender has them in force.
fn set_list(harness: &Harness, version: u64, entries: &[String]) {
    harness.platform.set_list(entries);
    harness.wait_until("the list is in force", |harness| {
        harness.log().contains(&format!("discovery: version {version}, {} entries", entries.len()))
    });
}

/// Kills the sender and starts it again, while discovery does not answer.
fn restart_during_outage(harness: &mut Harness) {
    harness.kill();
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    harness.start();
}

fn submit_to(harness: &Harness, id: &str, destination: u64) -> String {
    let fields = format!("c=notice,t=acme,d=8000,k={id},dest={destination}");
    submit(harness.listen_address, id, &fields, "hello").expect("the sender replies")
}

// Guards against a restarted sender calling an address that now belongs to an endpoint of another destination.
#[test]
fn an_address_that_changed_hands_is_not_called_for_its_former_destination_after_a_kill() {
    let mut harness = start_sender("changed-hands");
    let (successor, received) = start_endpoint();
    let former = harness.endpoint_address;
    let entries = [
        list_entry("e", former, 7, "Gone"),
        list_entry("f", former, 8, "Ready"),
        list_entry("g", successor, 7, "Ready"),
    ];
    set_list(&harness, 2, &entries);
    restart_during_outage(&mut harness);
    assert_eq!(submit_to(&harness, "seven", 7), "+OK");
    assert_eq!(submit_to(&harness, "eight", 8), "+OK");
    harness.wait_until("both arrive", |harness| {
        !harness.received_ids().is_empty() && !received.lock().expect("no panic").is_empty()
    });
    assert_eq!(
        (harness.received_ids(), received.lock().expect("no panic").clone()),
        (vec!["eight".to_owned()], vec!["seven".to_owned()])
    );
    assert!(harness.log().contains("code=from_record version 2 of"), "{}", harness.log());
}

// Guards against a drain that was told before a kill being forgotten by the next process.
#[test]
fn an_endpoint_that_drains_is_not_called_after_a_kill_during_an_outage_of_discovery() {
    let mut harness = start_sender("drain");
    set_list(&harness, 2, &[list_entry("e", harness.endpoint_address, 7, "Draining")]);
    restart_during_outage(&mut harness);
    // Two lives later it is still known.
    harness.kill();
    harness.start();
    assert_eq!(submit_to(&harness, "held", 7), "+OK");
    sleep(OUTAGE);
    assert!(harness.received_ids().is_empty(), "called although it drains");
    let (successor, received) = start_endpoint();
    harness.platform.set_list(&[list_entry("g", successor, 7, "Ready")]);
    harness.platform.unresponsive.store(false, Ordering::SeqCst);
    harness.kill();
    harness.start();
    harness.wait_until("it arrives", |_| *received.lock().expect("no panic") == ["held"]);
}

// Guards against an old record being used in place of a newer list of the configuration.
#[test]
fn a_newer_list_of_the_configuration_counts_and_not_the_record() {
    let mut harness = start_sender("newer-configuration");
    let (successor, received) = start_endpoint();
    set_list(&harness, 2, &[list_entry("e", harness.endpoint_address, 7, "Draining")]);
    harness.kill();
    let entry = list_entry("h", successor, 7, "Ready");
    let start = harness.config.find(r#""generation": 1"#).expect("the list");
    let end = start + harness.config[start..].find(']').expect("the end of the list") + 1;
    harness
        .config
        .replace_range(start..end, &format!(r#""generation": 3, "reset": true, "instances": [{entry}]"#));
    harness.platform.unresponsive.store(true, Ordering::SeqCst);
    harness.start();
    assert_eq!(submit_to(&harness, "a", 7), "+OK");
    harness.wait_until("it arrives", |_| *received.lock().expect("no panic") == ["a"]);
    assert!(harness.received_ids().is_empty());
    assert!(!harness.log().contains("code=from_record"), "{}", harness.log());
}

// Guards against a damaged, truncated or foreign record preventing a start.
#[test]
fn a_record_that_cannot_be_read_is_discarded_and_the_start_goes_on() {
    type Damage = fn(&mut Vec<u8>);
    let damages: [(&str, Damage); 3] = [
        ("empty", |bytes| bytes.clear()),
        ("cut", |bytes| bytes.truncate(20)),
        ("flipped", |bytes| bytes.iter_mut().for_each(|byte| *byte ^= 0x55)),
    ];
    for (name, damage) in damages {
        let mut harness = start_sender(&format!("damage-{name}"));
        set_list(&harness, 2, &[list_entry("e", harness.endpoint_address, 7, "Ready")]);
        harness.kill();
        let folder = harness.folder.join("list");
        for file in fs::read_dir(&folder).expect("the record's folder").flatten() {
            let mut bytes = fs::read(file.path()).expect("read the file");
            damage(&mut bytes);
            fs::write(file.path(), bytes).expect("write the file");
        }
        harness.platform.unresponsive.store(true, Ordering::SeqCst);
        harness.start();
        assert_eq!(submit_to(&harness, "a", 7), "+OK");
        harness.wait_until("it arrives", |harness| harness.received_ids() == ["a"]);
    }
}

// Guards against a record of another discovery being taken for that of the present one.
#[test]
fn a_record_of_another_discovery_is_discarded() {
    let mut harness = start_sender("other-discovery");
    set_list(&harness, 2, &[list_entry("e", harness.endpoint_address, 7, "Draining")]);
    let (other, other_platform) = common::Platform::start("127.0.0.1:0");
    other_platform.unresponsive.store(true, Ordering::SeqCst);
    harness.restart_with(&[(&harness.discovery_address.to_string(), &other.to_string())]);
    assert_eq!(submit_to(&harness, "a", 7), "+OK");
    harness.wait_until("it arrives", |harness| harness.received_ids() == ["a"]);
    assert!(harness.log().contains("code=record_of_another"), "{}", harness.log());
}

// Guards against a folder for the record that cannot be used preventing a start.
#[test]
fn a_sender_starts_where_the_record_cannot_be_opened() {
    let mut harness = start_sender("no-folder");
    harness.kill();
    fs::remove_dir_all(harness.folder.join("list")).expect("remove the record");
    fs::write(harness.folder.join("list"), "").expect("put a file in its place");
    harness.start();
    assert_eq!(submit_to(&harness, "a", 7), "+OK");
    harness.wait_until("it arrives", |harness| harness.received_ids() == ["a"]);
    assert!(harness.log().contains("list: code=not_recorded"), "{}", harness.log());
}

// Guards against long lists taking more of the state folder than their share, or holding up a start or a list.
#[test]
fn a_list_that_changes_in_more_places_than_fit_stays_within_its_share() {
    const ENTRIES: usize = 20_000;
    let mut harness = start_sender("too-many-changes");
    let entries: Vec<String> = (0..ENTRIES)
        .map(|number| {
            let address = ([127, 9, (number / 250) as u8, (number % 250) as u8], 9).into();
            list_entry(&format!("many-{number}"), address, 8 + number as u64, "Ready")
        })
        .chain([list_entry("e", harness.endpoint_address, 7, "Ready")])
        .collect();
    set_list(&harness, 2, &entries);
    let files = fs::read_dir(harness.folder.join("list")).expect("the record's folder").flatten();
    let bytes: u64 = files.map(|file| file.metadata().expect("its size").len().div_ceil(512) * 512).sum();
    assert!(bytes <= 3_000_000 / 16, "{bytes} bytes");
    assert!(harness.log().contains("code=record_full"), "{}", harness.log());
    restart_during_outage(&mut harness);
    assert_eq!(submit_to(&harness, "a", 7), "+OK");
    harness.wait_until("it arrives", |harness| harness.received_ids() == ["a"]);
    assert!(harness.log().contains("complete=false"));
}

// Guards against changes that came while the folder could not be written never being recorded.
#[test]
fn changes_that_could_not_be_written_are_recorded_once_the_folder_can_be_written_again() {
    for errno in [ENOSPC, EIO] {
        let mut harness = start_sender(&format!("failing-{errno}"));
        let page = harness.attach_control_page();
        harness.kill();
        harness.start();
        harness.wait_until("its list", |harness| harness.log().matches("listens on").count() == 3);
        page.fail_files(errno).expect("write to the control page");
        set_list(&harness, 2, &[list_entry("e", harness.endpoint_address, 7, "Draining")]);
        harness.wait_until("the failure", |harness| harness.log().contains("list: code=not_recorded"));
        page.clear().expect("write to the control page");
        harness.wait_until("the record", |harness| harness.log().contains("list: code=recorded_again"));
        restart_during_outage(&mut harness);
        assert_eq!(submit_to(&harness, "held", 7), "+OK");
        sleep(OUTAGE);
        assert!(harness.received_ids().is_empty(), "called although it drains");
    }
}
