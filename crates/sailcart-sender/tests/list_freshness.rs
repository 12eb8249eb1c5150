//! A list that changes where discovery falls silent: what counts as told has to be known by then.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry};

const TOLD: Duration = Duration::from_secs(6);

fn asked(world: &Harness) -> usize {
    world.platform.list_requests.load(Ordering::SeqCst)
}

/// Day calm+brink: open watches fall silent. The change that a watch missed was known after its 21 s.
#[test]
fn what_a_silent_watch_missed_is_known_in_time() {
    let world = Harness::new("watch", |_, _| http_response("200 OK", "", ""));
    world.wait_until("a watch after the first list", |world| asked(world) > 1);
    world.platform.ignore_watches_before.store(asked(&world), Ordering::SeqCst);
    let start = Instant::now();
    world.platform.set_list(&[list_entry("f", world.endpoint_address, 7, "Ready")]);
    world.wait_until("the change", |world| world.log().contains("discovery: version 2, 1 entries"));
    assert!(start.elapsed() < TOLD, "{:?}", start.elapsed());
}

/// Day herd+brink: discovery is silent for seconds, then there again. Pauses had grown meanwhile.
#[test]
fn what_a_discovery_has_at_its_return_is_known_in_time() {
    let world = Harness::new("return", |_, _| http_response("200 OK", "", ""));
    world.platform.unresponsive.store(true, Ordering::SeqCst);
    world.platform.set_list(&[list_entry("f", world.endpoint_address, 7, "Ready")]);
    let silent = asked(&world);
    world.wait_until("a row of lost calls", |world| asked(world) > silent + 4);
    world.platform.unresponsive.store(false, Ordering::SeqCst);
    let start = Instant::now();
    world.wait_until("the change", |world| world.log().contains("discovery: version 2, 1 entries"));
    assert!(start.elapsed() < TOLD, "{:?}", start.elapsed());
    assert_eq!(world.log().matches("code=no_list").count(), 1, "one line for the outage");
}

/// What discovery's agent has counts as told from a process's first moment: an endpoint that drained while the sender was
/// down gets nothing, although the list of the life before names it as ready.
#[test]
fn a_start_hears_the_list_before_it_sends() {
    let mut world = Harness::new("first", |_, _| http_response("200 OK", "", ""));
    world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Terminating")]);
    world.wait_until("the news", |world| world.log().contains("discovery: version 2"));
    assert_eq!(world.submit("a1"), "+OK");
    world.kill();
    let ready = list_entry("e", world.endpoint_address, 7, "Ready");
    let known = format!(r#""known": {{ "generation": 1, "reset": true, "instances": [{ready}] }}"#);
    world.config =
        world.config.replace(r#""known": { "generation": 0, "reset": true, "instances": [] }"#, &known);
    assert!(world.config.contains(&known));
    *world.platform.list_delay.lock().expect("no panic") = Duration::from_millis(300);
    world.start();
    world.wait_until("the list", |world| world.log().matches("discovery: version 2").count() == 2);
    assert!(world.log().contains("recovery: 1 packets"));
    assert_eq!(world.received_ids(), [""; 0], "nothing to an endpoint that drains");
    world.platform.set_list(&[list_entry("f", world.endpoint_address, 7, "Ready")]);
    world.wait_until("the call", |world| world.received_ids() == ["a1"]);
}

/// A silent agent is no reason not to start: the list of the life before serves.
#[test]
fn a_start_waits_for_a_silent_agent_no_longer_than_a_call() {
    let mut world = Harness::new("mute", |_, _| http_response("200 OK", "", ""));
    world.kill();
    world.platform.unresponsive.store(true, Ordering::SeqCst);
    let start = Instant::now();
    world.start();
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}
