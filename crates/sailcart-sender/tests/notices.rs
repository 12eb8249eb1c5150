//! Notices that the platform does not take.

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

/// One notice that the platform says it cannot read takes none of the others with it, and a 400 that was said once is no end: the
/// notice is told again.
#[test]
fn a_notice_answered_400_is_told_again_and_takes_no_other_along() {
    let told = Arc::new(Mutex::new(Vec::<String>::new()));
    let refused = Arc::new(Mutex::new(0));
    let (own, count) = (told.clone(), refused.clone());
    let mut world = Harness::new("notice-400", |_, _| http_response("200 OK", "", ""));
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{}]}}"#,
        list_entry("e", world.endpoint_address, 7, "Terminating")
    );
    let platform = serve_http("127.0.0.1:0", move |call: &Call| {
        if !call.start.starts_with("POST /status ") {
            thread::sleep(Duration::from_millis(200));
            return http_response("200 OK", "", &list);
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let mut refused = count.lock().expect("no panic");
        if body.contains("bad") && *refused < 3 {
            *refused += 1;
            return http_response("400 Bad Request", "", "");
        }
        own.lock().expect("no panic").extend(body.lines().map(str::to_owned));
        Some("HTTP/1.1 204 No Content\r\n\r\n".to_owned())
    });
    let discovery = world.discovery_address.to_string();
    world.restart_with(&[(&discovery, &platform.to_string()), (r#""aim_ms": 3000"#, r#""aim_ms": 500"#)]);
    for id in ["good-1", "bad-1", "good-2", "good-3"] {
        let said =
            submit(world.listen_address, id, &format!("c=notice,t=acme,d=20000,k={id},dest=7"), "hello");
        assert_eq!(said.expect("an answer"), "+OK");
    }
    let heard = |id: &str| told.lock().expect("no panic").iter().filter(|line| line.contains(id)).count();
    for id in ["good-1", "good-2", "good-3", "bad-1"] {
        world.wait_until("its notice", |_| heard(id) == 1);
    }
    assert_eq!(*refused.lock().expect("no panic"), 3);
    world.wait_until_store_shows("0 packets not completed, 0 pending notices");
}

/// A peer that writes answers below 200 without end is given up in the time of its call.
#[test]
fn answers_below_200_without_end_are_given_up() {
    let endless = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = endless.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in endless.incoming().flatten() {
            let mut stream = stream;
            thread::spawn(
                move || while stream.write_all(&b"HTTP/1.1 100 Continue\r\n\r\n".repeat(200)).is_ok() {},
            );
        }
    });
    let mut world = Harness::new("endless-100", |_, _| http_response("200 OK", "", ""));
    let discovery = world.discovery_address.to_string();
    world.kill();
    world.config = world.config.replace(&discovery, &address.to_string());
    world.start();
    world.wait_until("a call given up", |world| world.log().contains("code=no_list"));
    let id = "a1";
    assert_eq!(
        submit(world.listen_address, id, &format!("c=notice,t=acme,d=8000,k={id},dest=7"), "")
            .expect("an answer"),
        "+OK"
    );
}

/// The platform takes notices and its answers never come. A notice that becomes due meanwhile does not wait behind the calls that are
/// out: a packet whose end is told 300 ms late is lost.
#[test]
fn a_notice_does_not_wait_behind_one_that_is_not_acknowledged() {
    const PACKETS: usize = 6;
    let mut world = Harness::new("notice-behind", |_, _| http_response("200 OK", "", ""));
    world.restart_with(&[(r#""aim_ms": 3000"#, r#""aim_ms": 2000"#)]);
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Terminating")]);
    world.wait_until("the drain", |world| world.log().contains("discovery: version 2"));
    world.platform.withhold_acknowledgements.store(true, Ordering::SeqCst);
    for number in 0..PACKETS {
        let id = format!("p{number}-");
        assert_eq!(
            submit(world.listen_address, &id, &format!("c=notice,t=acme,d=20000,k={id},dest=7"), "")
                .expect("an answer"),
            "+OK"
        );
        thread::sleep(Duration::from_millis(370)); // so that they end at each phase of the calls
    }
    for number in 0..PACKETS {
        world.wait_until("its end", |world| world.log().matches("ends Dismissed").count() > number);
        let ended = Instant::now();
        world.wait_until("its notice", |world| {
            world.notices().iter().any(|line| line.contains(&format!("p{number}-")))
        });
        let waited = ended.elapsed();
        assert!(
            waited < Duration::from_millis(300),
            "notice {number} came {waited:?} after its packet's end"
        );
    }
}
