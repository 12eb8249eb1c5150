//! Notices that the platform rejects or does not acknowledge.

use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{Call, http_response, list_entry, serve_http, submit};

/// The platform rejects one notice with 400: the other notices of its batch are still delivered, and the
/// rejected one is sent again instead of being dropped.
#[test]
fn a_notice_answered_400_is_sent_again_and_does_not_block_others() {
    let received = Arc::new(Mutex::new(Vec::<String>::new()));
    let rejections = Arc::new(Mutex::new(0));
    let (accepted, rejection_count) = (received.clone(), rejections.clone());
    let mut harness = Harness::new("notice-400", |_, _| http_response("200 OK", "", ""));
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
        list_entry("e", harness.endpoint_address, 7, "Terminating")
    );
    let platform = serve_http("127.0.0.1:0", move |call: &Call| {
        if !call.start.starts_with("POST /status ") {
            thread::sleep(Duration::from_millis(200));
            return http_response("200 OK", "", &list);
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let mut rejections = rejection_count.lock().expect("mutex is not poisoned");
        if body.contains("bad") && *rejections < 3 {
            *rejections += 1;
            return http_response("400 Bad Request", "", "");
        }
        accepted.lock().expect("mutex is not poisoned").extend(body.lines().map(str::to_owned));
        Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned())
    });
    let discovery = harness.discovery_address.to_string();
    harness.restart_with(&[(&discovery, &platform.to_string()), (r#""aim_ms": 3000"#, r#""aim_ms": 500"#)]);
    for id in ["good-1", "bad-1", "good-2", "good-3"] {
        let reply =
            submit(harness.listen_address, id, &format!("c=notice,t=acme,d=20000,k={id},dest=7"), "hello");
        assert_eq!(reply.expect("the sender replies"), "+OK");
    }
    let times_received = |id: &str| {
        received.lock().expect("mutex is not poisoned").iter().filter(|line| line.contains(id)).count()
    };
    for id in ["good-1", "good-2", "good-3", "bad-1"] {
        harness.wait_until("the notice", |_| times_received(id) == 1);
    }
    assert_eq!(*rejections.lock().expect("mutex is not poisoned"), 3);
    harness.wait_until_store_shows("0 packets not completed, 0 pending notices");
}

/// Discovery writes 1xx responses endlessly: the call is abandoned at its timeout.
#[test]
fn endless_1xx_responses_are_abandoned_at_the_call_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the local address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut stream = stream;
            thread::spawn(
                move || while stream.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(200)).is_ok() {},
            );
        }
    });
    let mut harness = Harness::new("endless-100", |_, _| http_response("200 OK", "", ""));
    let discovery = harness.discovery_address.to_string();
    harness.kill();
    harness.config = harness.config.replace(&discovery, &address.to_string());
    harness.start();
    harness.wait_until("an abandoned call", |harness| harness.log().contains("code=no_list"));
    let id = "a1";
    assert_eq!(
        submit(harness.listen_address, id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "")
            .expect("the sender replies"),
        "+OK"
    );
}

/// The platform receives notices and never acknowledges them. A notice that becomes pending meanwhile does
/// not wait for the calls in flight: a packet whose notice is 300 ms late counts as lost.
#[test]
fn a_notice_does_not_wait_for_an_unacknowledged_one() {
    const PACKETS: usize = 6;
    let mut harness = Harness::new("notice-behind", |_, _| http_response("200 OK", "", ""));
    harness.restart_with(&[(r#""aim_ms": 3000"#, r#""aim_ms": 2000"#)]);
    harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
    harness.wait_until("the drain", |harness| harness.log().contains("discovery: version 2"));
    harness.platform.withhold_acknowledgements.store(true, Ordering::SeqCst);
    for number in 0..PACKETS {
        let id = format!("p{number}-");
        assert_eq!(
            submit(harness.listen_address, &id, &format!("c=notice,t=acme,d=20000,k={id},dest=7"), "")
                .expect("the sender replies"),
            "+OK"
        );
        // Makes packets complete at different phases of the notice calls.
        thread::sleep(Duration::from_millis(370));
    }
    for number in 0..PACKETS {
        harness.wait_until("the completion of the packet", |harness| {
            harness.log().matches("ends Dismissed").count() > number
        });
        let completed_at = Instant::now();
        harness.wait_until("the notice", |harness| {
            harness.notices().iter().any(|line| line.contains(&format!("p{number}-")))
        });
        let delay = completed_at.elapsed();
        assert!(
            delay < Duration::from_millis(300),
            "notice {number} arrived {delay:?} after the completion of its packet"
        );
    }
}
