//! A state folder whose writes, truncations and syncs fail for a while (ENOSPC, EIO, partial writes), and a
//! sender that is killed meanwhile. Accepted packets stay uncompleted until their completion is recorded,
//! completed ones stay completed, and every start succeeds.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::harness::Harness;
use common::{Call, HttpReply, http_response, list_entry, numbered_ok, submit};
use sailcart_shim::{ControlPage, EIO, ENOSPC, FaultCounter, Setting};

/// Starts a sender with a control page through which file operations can be made to fail.
fn start_sender(
    name: &str,
    reply: impl Fn(usize, &Call) -> HttpReply + Send + Sync + 'static,
) -> (Harness, Arc<ControlPage>) {
    let mut harness = Harness::new(name, reply);
    let page = harness.attach_control_page();
    harness.restart_with(&[(r#""aim_ms": 3000"#, r#""aim_ms": 1000"#)]);
    (harness, page)
}

fn submit_with_deadline(harness: &Harness, id: &str, deadline_ms: u32) -> String {
    submit(harness.listen_address, id, &format!("c=notice,t=acme,d={deadline_ms},k={id},dest=7"), "hello")
        .expect("the sender replies")
}

fn notices_of(harness: &Harness, id: &str) -> usize {
    harness.notices().iter().filter(|line| line.contains(id)).count()
}

/// The completion is decided while the folder fails, so the next process finds the packet as uncompleted and
/// calls the endpoint. The platform must not have acknowledged the notice of the completion before that call.
#[test]
fn no_call_after_an_acknowledged_but_unrecorded_completion() {
    for errno in [ENOSPC, EIO] {
        let (mut harness, page) =
            start_sender(&format!("end-unrecorded-{errno}"), |_, _| http_response("200 OK", "", ""));
        // Its only endpoint drains: the packet is dismissed after the soft limit, long before its deadline.
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
        harness.wait_until("the draining endpoint", |harness| harness.log().contains("discovery: version 2"));
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        page.fail_files(errno).expect("write to the control page");
        harness.wait_until("the completion", |harness| harness.log().contains("ends Dismissed"));
        sleep(Duration::from_millis(400)); // time for a notice to be sent
        assert!(page.count(FaultCounter::FileWrite) > 0, "no write failed");
        let notices_before_kill = notices_of(&harness, "a1");
        harness.kill();
        page.clear().expect("write to the control page");
        harness.platform.set_list(&[list_entry("f", harness.endpoint_address, 7, "Ready")]);
        harness.start();
        harness.wait_until("the completion", |harness| {
            notices_of(harness, "a1") > 0 || !harness.received_ids().is_empty()
        });
        sleep(Duration::from_millis(500));
        assert!(
            notices_before_kill == 0 || harness.received_ids().is_empty(),
            "called after its acknowledged completion: {}",
            harness.log()
        );
        assert!(
            notices_before_kill > 0 || harness.received_ids() == ["a1"],
            "not delivered: {}",
            harness.log()
        );
    }
}

/// The folder fails from the start of the process: once a new folder, once one that holds an uncompleted
/// packet.
#[test]
fn sender_starts_while_the_folder_fails() {
    for packet_stored in [false, true] {
        let (mut harness, page) =
            start_sender(&format!("failing-start-{packet_stored}"), |number, _| match number {
                0 => http_response("503 Service Unavailable", "Retry-After: 0.5\r\n", ""),
                _ => http_response("200 OK", "", ""),
            });
        if packet_stored {
            assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
            harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
        }
        harness.kill();
        if !packet_stored {
            for file in std::fs::read_dir(&harness.folder).expect("read the folder").flatten() {
                let name = file.file_name().to_string_lossy().into_owned();
                if name == "lock" || name.starts_with("manifest") || name.starts_with("segment") {
                    std::fs::remove_file(file.path()).expect("remove the file");
                }
            }
        }
        page.fail_files(ENOSPC).expect("write to the control page");
        let start = Instant::now();
        harness.start();
        assert!(start.elapsed() < Duration::from_secs(3), "ready after {:?}", start.elapsed());
        assert!(
            submit_with_deadline(&harness, "b2", 20_000).starts_with("-BUSY"),
            "a packet was accepted that cannot be recorded"
        );
        sleep(Duration::from_millis(700));
        page.clear().expect("write to the control page");
        harness
            .wait_until("an accepted packet", |harness| submit_with_deadline(harness, "c3", 20_000) == "+OK");
        harness.wait_until("the call", |harness| harness.received_ids().contains(&"c3".to_owned()));
        if packet_stored {
            harness.wait_until("the repeat", |harness| {
                harness.received_ids().iter().filter(|id| *id == "a1").count() == 2
            });
        }
        assert!(!harness.received_ids().contains(&"b2".to_owned()), "a rejected packet was dispatched");
    }
}

/// All writes fail for ten seconds while forty packets complete and many more are submitted. The queue of
/// unwritten records must be bounded by the number of stored packets, each client gets a reply, and all
/// completions are recorded and reported once the folder works again.
#[test]
fn unwritten_records_are_bounded_and_reported_later() {
    const STORED_PACKETS: usize = 40;
    let (mut harness, page) = start_sender("ten-seconds", |_, _| http_response("200 OK", "", ""));
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
    harness.wait_until("the draining endpoint", |harness| harness.log().contains("discovery: version 2"));
    for number in 0..STORED_PACKETS {
        assert_eq!(submit_with_deadline(&harness, &format!("kept-{number}-"), 20_000), "+OK");
    }
    page.fail_files(ENOSPC).expect("write to the control page");
    let start = Instant::now();
    let mut rejected = 0;
    while start.elapsed() < Duration::from_secs(10) {
        assert!(submit_with_deadline(&harness, &format!("new-{rejected}-"), 20_000).starts_with("-BUSY"));
        rejected += 1;
    }
    assert!(rejected > 500, "only {rejected} submissions were answered");
    assert_eq!(harness.notices().len(), 0, "a notice was sent for an unrecorded completion");
    page.clear().expect("write to the control page");
    harness.wait_until("writes succeed again", |harness| harness.log().contains("code=written_again"));
    let log = harness.log();
    let waiting = log
        .split("code=written_again waiting=")
        .nth(1)
        .and_then(|log_after| log_after.split_whitespace().next());
    let waiting: usize = waiting.and_then(|word| word.parse().ok()).expect("parse the number");
    assert!(waiting <= 3 * STORED_PACKETS, "{waiting} groups waited");
    harness.wait_until("all notices", |harness| {
        (0..STORED_PACKETS).all(|number| notices_of(harness, &format!("kept-{number}-")) == 1)
    });
    harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
    assert_eq!(log.matches("code=disk_full").count(), 1, "expected one log line per outage");
    harness.kill();
    harness.start();
    assert_eq!(harness.log().matches("recovery: 0 packets, 0 notices").count(), 3);
}

/// A packet is accepted and dismissed within one round, and the folder fails between the two records. The
/// client must not get `-BUSY`, which lets it submit the packet elsewhere: the next process finds it as
/// accepted.
#[test]
fn busy_is_not_sent_for_a_packet_stored_as_accepted() {
    const LONG_PERIOD: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 1500,"#);
    let (mut harness, page) = start_sender("busy-unrecorded", |_, _| {
        http_response("429 Too Many Requests", "Retry-After: 9\r\n", "")
    });
    harness.restart_with(&[LONG_PERIOD, (r#""max_open": 100"#, r#""max_open": 2"#)]);
    assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
    harness.wait_until("the outcome", |harness| harness.log().contains("packet a1 from"));
    let listen = harness.listen_address;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("b{number}");
            let fields = format!("c=notice,t=acme,d=20000,k={id},dest=7");
            std::thread::spawn(move || {
                (id.clone(), submit(listen, &id, &fields, "hello").expect("the sender replies"))
            })
        })
        .collect();
    harness.wait_until("the last record", |harness| harness.store_summary().matches("packet b").count() >= 6);
    page.fail_files(ENOSPC).expect("write to the control page");
    let replies: Vec<(String, String)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    assert!(page.count(FaultCounter::FileWrite) > 0, "no write failed: {}", harness.log());
    assert!(
        harness.log().contains("code=not_recorded"),
        "no dismissal became a notice in place of -BUSY: {}",
        harness.log()
    );
    harness.kill();
    page.clear().expect("write to the control page");
    for (id, reply) in replies.iter().filter(|(_, reply)| reply.starts_with("-BUSY")) {
        assert!(
            !harness.store_summary().contains(&format!("packet {id}: ")),
            "{id} got {reply} and is stored as accepted"
        );
    }
}

/// With the sync policies `round` and `each`, syncs fail for 1.5 s. The process keeps running, no client
/// gets `+OK` for an unsynced packet, and each accepted packet is delivered once the device works again, by
/// the next process if necessary.
#[test]
fn failing_syncs_do_not_end_the_process() {
    for sync in ["round", "each"] {
        let (mut harness, page) =
            start_sender(&format!("failing-sync-{sync}"), |number, _| numbered_ok(number));
        harness.restart_with(&[(r#""disk_mb": 3 "#, &format!(r#""disk_mb": 3, "sync": "{sync}" "#))]);
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
        page.set(Setting::FileSyncErrno, EIO.into()).expect("write to the control page");
        let listen = harness.listen_address;
        let client = std::thread::spawn(move || {
            submit(listen, "b2", "c=notice,t=acme,d=20000,k=b2,dest=7", "hello").unwrap_or_default()
        });
        sleep(Duration::from_millis(1500));
        assert!(page.count(FaultCounter::FileSync) > 0, "no sync failed");
        assert!(
            !harness.received_ids().contains(&"b2".to_owned()),
            "a call was sent before its record was synced"
        );
        let answered_early = client.is_finished();
        page.clear().expect("write to the control page");
        let reply = client.join().expect("no panic");
        assert!(!answered_early || reply.starts_with("-BUSY"), "+OK for an unsynced packet");
        assert!(reply == "+OK" || reply.starts_with("-BUSY"), "{reply}");
        harness
            .wait_until("an accepted packet", |harness| submit_with_deadline(harness, "c3", 20_000) == "+OK");
        harness.wait_until("the call", |harness| harness.received_ids().contains(&"c3".to_owned()));
        harness
            .wait_until("b2", |harness| reply != "+OK" || harness.received_ids().contains(&"b2".to_owned()));
        assert!(!harness.log().contains("the sender ends"), "{}", harness.log());
        harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
        harness.kill();
        harness.start();
        assert_eq!(
            harness.received_ids().iter().filter(|id| *id == "b2").count(),
            usize::from(reply == "+OK")
        );
    }
}

/// Syncs fail throughout a stop. A client whose command was read still gets a reply, and
/// the next process dispatches the stored packet.
#[test]
fn stop_during_failing_syncs_answers_clients() {
    let (mut harness, page) = start_sender("failing-sync-stop", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[(r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "round" "#)]);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("write to the control page");
    let listen = harness.listen_address;
    let client = std::thread::spawn(move || {
        submit(listen, "a1", "c=notice,t=acme,d=20000,k=a1,dest=7", "hello").unwrap_or_default()
    });
    harness.wait_until_store_shows("packet a1: ");
    assert!(harness.terminate() < Duration::from_millis(3700), "the stop took too long");
    assert_eq!(client.join().expect("no panic"), "+OK", "{}", harness.log());
    page.clear().expect("write to the control page");
    harness.start();
    harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
}

/// With the sync policy `each`, the completion of a dismissed packet is written and its sync fails, so the
/// record may or may not be on disk. If its client gets `+OK`, the packet itself must be on disk, so that the
/// next process delivers or reports it.
#[test]
fn ok_means_stored_though_the_completion_may_be_unsynced() {
    const LONG_PERIOD: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 1500,"#);
    const SYNC_EACH: (&str, &str) = (r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "each" "#);
    let (mut harness, page) = start_sender("ok-unsynced", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[LONG_PERIOD, SYNC_EACH, (r#""max_open": 100"#, r#""max_open": 2"#)]);
    assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
    // A round has just run once the packet is delivered.
    harness.wait_until("the delivery", |harness| harness.store_summary().contains("0 packets not completed"));
    let listen = harness.listen_address;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("b{number}");
            let fields = format!("c=notice,t=acme,d=20000,k={id},dest=7");
            std::thread::spawn(move || {
                (id.clone(), submit(listen, &id, &fields, "hello").unwrap_or_default())
            })
        })
        .collect();
    harness.wait_until("the last record", |harness| harness.store_summary().matches("packet b").count() >= 6);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("write to the control page");
    harness.wait_until("a completion that may be on disk", |harness| {
        page.count(FaultCounter::FileSync) > 0 && harness.log().contains("ends Dismissed")
    });
    sleep(Duration::from_millis(200));
    harness.kill();
    page.clear().expect("write to the control page");
    harness.start();
    let replies: Vec<(String, String)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    for (id, _) in replies.iter().filter(|(_, reply)| reply == "+OK") {
        harness.wait_until("the completion", |harness| {
            harness.received_ids().contains(id) || notices_of(harness, id) > 0
        });
    }
}

/// With the sync policy `each`, the sync of a packet's first record fails. The record may be on disk, so the
/// client must not get `-BUSY`.
#[test]
fn busy_is_not_sent_for_a_packet_that_may_be_stored() {
    let (mut harness, page) = start_sender("busy-unsynced", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[(r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "each" "#)]);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("write to the control page");
    let listen = harness.listen_address;
    let client = std::thread::spawn(move || {
        submit(listen, "a1", "c=notice,t=acme,d=20000,k=a1,dest=7", "hello").unwrap_or_default()
    });
    harness.wait_until("a failed sync", |_| page.count(FaultCounter::FileSync) > 0);
    sleep(Duration::from_millis(300));
    harness.kill();
    let reply = client.join().expect("no panic");
    page.clear().expect("write to the control page");
    harness.start();
    sleep(Duration::from_millis(800));
    assert!(
        !reply.starts_with("-BUSY") || harness.received_ids().is_empty(),
        "got {reply}, and the packet was dispatched: {}",
        harness.log()
    );
}
