//! A state folder whose writes, cuts and syncs fail for a while (ENOSPC, EIO, half a write), and a sender that is killed meanwhile:
//! what was taken on is still owed, what has ended stays ended, and every start comes up.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{Call, SubmitReply, answer, entry, put};
use sailcart_shim::{ControlPage, EIO, ENOSPC, FaultCounter, Setting};

/// A sender that runs under a page of faults.
fn world(
    story: &str,
    reply: impl Fn(usize, &Call) -> SubmitReply + Send + Sync + 'static,
) -> (World, Arc<ControlPage>) {
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
        page.fail_files(errno).expect("a page");
        world.until("its end", |world| world.log().contains("ends Dismissed"));
        sleep(Duration::from_millis(400)); // for a notice, should one go out
        assert!(page.count(FaultCounter::FileWrite) > 0, "writes failed");
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
        page.fail_files(ENOSPC).expect("a page");
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

/// The folder takes nothing for ten seconds on end, while forty packets end and many more come: what waits for it is bounded by what
/// was kept, everybody is answered, and all ends are recorded and told as soon as it is well.
#[test]
fn what_waits_for_the_folder_is_bounded_and_told_later() {
    const KEPT: usize = 40;
    let (mut world, page) = world("ten-seconds", |_, _| answer("200 OK", "", ""));
    world.platform.list(&[entry("e", world.endpoint, 7, "Terminating")]);
    world.until("the drain", |world| world.log().contains("discovery: version 2"));
    for number in 0..KEPT {
        assert_eq!(put_for(&world, &format!("kept-{number}-"), 20_000), "+OK");
    }
    page.fail_files(ENOSPC).expect("a page");
    let start = Instant::now();
    let mut refused = 0;
    while start.elapsed() < Duration::from_secs(10) {
        assert!(put_for(&world, &format!("new-{refused}-"), 20_000).starts_with("-BUSY"));
        refused += 1;
    }
    assert!(refused > 500, "{refused} were answered");
    assert_eq!(world.notices().len(), 0, "none is told that the next life would not know of");
    page.clear().expect("a page");
    world.until("the folder is well", |world| world.log().contains("code=written_again"));
    let log = world.log();
    let waiting =
        log.split("code=written_again waiting=").nth(1).and_then(|rest| rest.split_whitespace().next());
    let waiting: usize = waiting.and_then(|word| word.parse().ok()).expect("a number");
    assert!(waiting <= 3 * KEPT, "{waiting} groups waited");
    world.until("all notices", |world| {
        (0..KEPT).all(|number| notices_of(world, &format!("kept-{number}-")) == 1)
    });
    world.until_folder_shows("0 packets not completed, 0 pending notices");
    assert_eq!(log.matches("code=disk_full").count(), 1, "one line an outage");
    world.kill();
    world.start();
    assert_eq!(world.log().matches("recovery: 0 packets, 0 notices").count(), 3);
}

/// A packet is taken on and given up within one round, and the folder fails between the two records: its client must not hear that
/// handing it in elsewhere is harmless, as the next life would find it as taken.
#[test]
fn busy_is_not_said_of_what_the_folder_has_as_taken() {
    const SLOW_PACE: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 1500,"#);
    let (mut world, page) =
        world("busy-unrecorded", |_, _| answer("429 Too Many Requests", "Retry-After: 9\r\n", ""));
    world.restart_with(&[SLOW_PACE, (r#""max_open": 100"#, r#""max_open": 2"#)]);
    assert_eq!(put_for(&world, "a1", 20_000), "+OK");
    world.until("its outcome", |world| world.log().contains("packet a1 from"));
    let listen = world.listen;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("b{number}");
            let words = format!("c=notice,t=acme,d=20000,k={id},dest=7");
            std::thread::spawn(move || (id.clone(), put(listen, &id, &words, "hello").expect("an answer")))
        })
        .collect();
    world.until("the last record", |world| world.folder_shows().matches("packet b").count() >= 6);
    page.fail_files(ENOSPC).expect("a page");
    let said: Vec<(String, String)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    assert!(page.count(FaultCounter::FileWrite) > 0, "writes failed: {}", world.log());
    assert!(world.log().contains("code=not_recorded"), "one was to be given up at once: {}", world.log());
    world.kill();
    page.clear().expect("a page");
    for (id, answer) in said.iter().filter(|(_, answer)| answer.starts_with("-BUSY")) {
        assert!(
            !world.folder_shows().contains(&format!("packet {id}: ")),
            "{id} heard {answer} and stands as taken"
        );
    }
}

/// Where syncs are asked for, they fail for a second and a half: the process goes on, nobody hears `+OK` of what is not synced, and all
/// that was taken on is delivered once the device is well, also by the next life.
#[test]
fn a_sync_that_fails_ends_no_process() {
    for sync in ["round", "each"] {
        let (mut world, page) = world(&format!("failing-sync-{sync}"), |_, _| answer("200 OK", "", ""));
        world.restart_with(&[(r#""disk_mb": 3 "#, &format!(r#""disk_mb": 3, "sync": "{sync}" "#))]);
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        world.until("its call", |world| world.came() == ["a1"]);
        page.set(Setting::FileSyncErrno, EIO.into()).expect("a page");
        let listen = world.listen;
        let client = std::thread::spawn(move || {
            put(listen, "b2", "c=notice,t=acme,d=20000,k=b2,dest=7", "hello").unwrap_or_default()
        });
        sleep(Duration::from_millis(1500));
        assert!(page.count(FaultCounter::FileSync) > 0, "syncs failed");
        assert!(!world.came().contains(&"b2".to_owned()), "no call that is not recorded for good");
        let heard_early = client.is_finished();
        page.clear().expect("a page");
        let said = client.join().expect("no panic");
        assert!(!heard_early || said.starts_with("-BUSY"), "+OK of what is not synced");
        assert!(said == "+OK" || said.starts_with("-BUSY"), "{said}");
        world.until("room", |world| put_for(world, "c3", 20_000) == "+OK");
        world.until("its call", |world| world.came().contains(&"c3".to_owned()));
        world.until("b2", |world| said != "+OK" || world.came().contains(&"b2".to_owned()));
        assert!(!world.log().contains("the sender ends"), "{}", world.log());
        world.until_folder_shows("0 packets not completed, 0 pending notices");
        world.kill();
        world.start();
        assert_eq!(world.came().iter().filter(|id| *id == "b2").count(), usize::from(said == "+OK"));
    }
}

/// The device fails its syncs through the whole of a stop: who was read hears of it, and the next life tries what stands.
#[test]
fn a_stop_over_failing_syncs_answers_whom_it_has_read() {
    let (mut world, page) = world("failing-sync-stop", |_, _| answer("200 OK", "", ""));
    world.restart_with(&[(r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "round" "#)]);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("a page");
    let listen = world.listen;
    let client = std::thread::spawn(move || {
        put(listen, "a1", "c=notice,t=acme,d=20000,k=a1,dest=7", "hello").unwrap_or_default()
    });
    world.until_folder_shows("packet a1: ");
    assert!(world.terminate() < Duration::from_millis(3700), "it ends before it is killed");
    assert_eq!(client.join().expect("no panic"), "+OK", "{}", world.log());
    page.clear().expect("a page");
    world.start();
    world.until("its call", |world| world.came() == ["a1"]);
}

/// As above where each record is synced: the record of the end is written and its sync fails, so that it may stand. Whoever hears `+OK`
/// then must have a packet that stands as well.
#[test]
fn who_hears_ok_has_a_packet_though_its_end_may_stand() {
    const SLOW_PACE: (&str, &str) = (r#""period_ms": 5,"#, r#""period_ms": 1500,"#);
    const EACH: (&str, &str) = (r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "each" "#);
    let (mut world, page) = world("ok-unsynced", |_, _| answer("200 OK", "", ""));
    world.restart_with(&[SLOW_PACE, EACH, (r#""max_open": 100"#, r#""max_open": 2"#)]);
    assert_eq!(put_for(&world, "a1", 20_000), "+OK");
    world.until("its delivery", |world| world.folder_shows().contains("0 packets not completed")); // a round has just been
    let listen = world.listen;
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let id = format!("b{number}");
            let words = format!("c=notice,t=acme,d=20000,k={id},dest=7");
            std::thread::spawn(move || (id.clone(), put(listen, &id, &words, "hello").unwrap_or_default()))
        })
        .collect();
    world.until("the last record", |world| world.folder_shows().matches("packet b").count() >= 6);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("a page");
    world.until("an end that may stand", |world| {
        page.count(FaultCounter::FileSync) > 0 && world.log().contains("ends Dismissed")
    });
    sleep(Duration::from_millis(200));
    world.kill();
    page.clear().expect("a page");
    world.start();
    let said: Vec<(String, String)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    for (id, _) in said.iter().filter(|(_, answer)| answer == "+OK") {
        world.until("its end", |world| world.came().contains(id) || notices_of(world, id) > 0);
    }
}

/// Each record is synced, and the sync of a packet's first record fails: it may stand, so nobody hears that it was refused.
#[test]
fn who_hears_busy_has_no_packet_that_stands() {
    let (mut world, page) = world("busy-unsynced", |_, _| answer("200 OK", "", ""));
    world.restart_with(&[(r#""disk_mb": 3 "#, r#""disk_mb": 3, "sync": "each" "#)]);
    page.set(Setting::FileSyncErrno, EIO.into()).expect("a page");
    let listen = world.listen;
    let client = std::thread::spawn(move || {
        put(listen, "a1", "c=notice,t=acme,d=20000,k=a1,dest=7", "hello").unwrap_or_default()
    });
    world.until("a failed sync", |_| page.count(FaultCounter::FileSync) > 0);
    sleep(Duration::from_millis(300));
    world.kill();
    let said = client.join().expect("no panic");
    page.clear().expect("a page");
    world.start();
    sleep(Duration::from_millis(800));
    assert!(
        !said.starts_with("-BUSY") || world.came().is_empty(),
        "{said}, and it is called: {}",
        world.log()
    );
}
