//! Peers that answer at once, again and again: nothing runs in a loop without a pause for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{Call, answer, entry, listen};

/// An agent that answers each watch at once, and with nothing new.
#[test]
fn a_watch_that_ends_at_once_is_not_asked_again_without_a_pause() {
    let mut world = World::new("watch-at-once", |_, _| answer("200 OK", "", ""));
    let asked = Arc::new(AtomicUsize::new(0));
    let (own, line) = (asked.clone(), entry("e", world.endpoint, 7, "Ready"));
    let agent = listen("127.0.0.1:0", move |call: &Call| {
        own.fetch_add(1, Ordering::SeqCst);
        let whole = !call.start.contains("from=1");
        let line = if whole { line.as_str() } else { "" };
        answer("200 OK", "", &format!(r#"{{"generation":1,"reset":{whole},"instances":[{line}]}}"#))
    });
    let discovery = world.discovery.to_string();
    world.restart_with(&[(&discovery, &agent.to_string())]);
    sleep(Duration::from_millis(500));
    let before = asked.load(Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    let more = asked.load(Ordering::SeqCst) - before;
    assert!(more > 5, "it is asked all the same");
    assert!(more < 30, "asked {more} times in a second");
}
