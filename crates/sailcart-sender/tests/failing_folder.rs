//! A state folder whose writes, cuts and syncs fail for a while (ENOSPC, EIO, half a write), and a sender that is killed meanwhile:
//! what was taken on is still owed, what has ended stays ended, and every start comes up.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{Answer, Call, answer, entry, put};
use sailcart_shim::{Count, EIO, ENOSPC, Page};

/// A sender that runs under a page of faults.
fn world(story: &str, reply: impl Fn(usize, &Call) -> Answer + Send + Sync + 'static) -> (World, Arc<Page>) {
    let mut world = World::new(story, reply);
    let page = world.with_faults();
    world.restart_with(&[(r#""aim_ms": 3000"#, r#""aim_ms": 1000"#)]);
    (world, page)
}

fn put_for(world: &World, id: &str, span_ms: u32) -> String {
    put(world.listen, id, &format!("c=notice,t=acme,d={span_ms},k={id},dest=7"), "hello").expect("an answer")
}

fn notices_of(world: &World, id: &str) -> usize {
    world.notices().iter().filter(|line| line.contains(id)).count()
}

/// The end is decided while the folder fails, so the next life would find the packet as taken. The platform must not have acknowledged
/// an end after which that life calls the endpoint.
#[test]
fn no_call_follows_an_acknowledged_end_that_was_not_recorded() {
    for errno in [ENOSPC, EIO] {
        let (mut world, page) = world(&format!("end-unrecorded-{errno}"), |_, _| answer("200 OK", "", ""));
        // Its only endpoint drains: the packet is handed back after a soft limit, long before its time is over.
        world.platform.list(&[entry("e", world.endpoint, 7, "Terminating")]);
        world.until("the drain", |world| world.log().contains("discovery: version 2"));
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        page.files_fail(errno).expect("a page");
        world.until("its end", |world| world.log().contains("ends Dismissed"));
        sleep(Duration::from_millis(400)); // for a notice, should one go out
        assert!(page.count(Count::FileWrite) > 0, "writes failed");
        let told = notices_of(&world, "a1");
        world.kill();
        page.clear().expect("a page");
        world.platform.list(&[entry("f", world.endpoint, 7, "Ready")]);
        world.start();
        world.until("its end", |world| notices_of(world, "a1") > 0 || !world.came().is_empty());
        sleep(Duration::from_millis(500));
        assert!(told == 0 || world.came().is_empty(), "called after its end: {}", world.log());
        assert!(told > 0 || world.came() == ["a1"], "not delivered: {}", world.log());
    }
}

/// A folder that fails from the process's first instant, a new one and one in which a packet is owed.
#[test]
fn a_start_over_a_failing_folder_comes_up() {
    for owes in [false, true] {
        let (mut world, page) = world(&format!("failing-start-{owes}"), |number, _| match number {
            0 => answer("503 Service Unavailable", "Retry-After: 0.5\r\n", ""),
            _ => answer("200 OK", "", ""),
        });
        if owes {
            assert_eq!(put_for(&world, "a1", 20_000), "+OK");
            world.until("its call", |world| world.came() == ["a1"]);
        }
        world.kill();
        if !owes {
            for file in std::fs::read_dir(&world.folder).expect("a folder").flatten() {
                let name = file.file_name().to_string_lossy().into_owned();
                if name == "lock" || name.starts_with("manifest") || name.starts_with("segment") {
                    std::fs::remove_file(file.path()).expect("a file");
                }
            }
        }
        page.files_fail(ENOSPC).expect("a page");
        let start = Instant::now();
        world.start();
        assert!(start.elapsed() < Duration::from_secs(3), "ready after {:?}", start.elapsed());
        assert!(
            put_for(&world, "b2", 20_000).starts_with("-BUSY"),
            "nothing is taken on that cannot be recorded"
        );
        sleep(Duration::from_millis(700));
        page.clear().expect("a page");
        world.until("room", |world| put_for(world, "c3", 20_000) == "+OK");
        world.until("its call", |world| world.came().contains(&"c3".to_owned()));
        if owes {
            world.until("what was owed", |world| world.came().iter().filter(|id| *id == "a1").count() == 2);
        }
        assert!(!world.came().contains(&"b2".to_owned()), "refused, and sent elsewhere by its client");
    }
}
