//! The machine's wall clock is stepped, between two processes or within one, while its monotonic clock runs on: windows, deadlines and
//! waits are spans of real time.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{Call, SubmitReply, answer, put};
use sailcart_shim::{ControlPage, Setting};

/// Seconds by which the clock is stepped.
const STEPS: [i64; 7] = [-3600, -40, -4, -1, 4, 40, 3600];
/// The example's window for repeats, and a short one.
const WINDOW: &str = r#""dedup_window_ms": 25000"#;
const SHORT_WINDOW: &str = r#""dedup_window_ms": 1000"#;

fn put_for(world: &World, id: &str, span_ms: u32) -> String {
    put(world.listen, id, &format!("c=notice,t=acme,d={span_ms},k={id},dest=7"), "hello").expect("an answer")
}

/// An endpoint that reads its first call and never answers it.
fn hangs_once(number: usize, _: &Call) -> SubmitReply {
    if number == 0 {
        thread::park_timeout(Duration::from_secs(60));
    }
    answer("200 OK", "", "")
}

/// Each step in a world of its own, side by side.
fn for_each_step(story: &str, within: bool, play: impl Fn(&str, &dyn Fn(&ControlPage, bool)) + Send + Sync) {
    thread::scope(|scope| {
        for seconds in STEPS {
            let play = &play;
            scope.spawn(move || {
                // Called before the process ends and after: steps where this story does so.
                let step = move |page: &ControlPage, running: bool| {
                    if running == within {
                        page.set(Setting::WallClockStepMs, seconds * 1000).expect("a page");
                    }
                };
                play(&format!("{story}-{within}-{seconds}"), &step);
            });
        }
    });
}

/// A call hangs, the process is killed, and the next one starts when the destination has forgotten the call's key.
#[test]
fn no_repeat_goes_after_its_window_whatever_the_wall_clock_says() {
    for within in [false, true] {
        for_each_step("window-over", within, |story, step| {
            let (mut world, page) = World::under_faults(story, hangs_once);
            world.restart_with(&[(WINDOW, SHORT_WINDOW)]);
            assert_eq!(put_for(&world, "a1", 20_000), "+OK");
            world.until("its call", |world| world.came() == ["a1"]);
            step(&page, true);
            world.kill();
            sleep(Duration::from_millis(1300));
            step(&page, false);
            world.start();
            world.until("its end", |world| world.notices().iter().any(|line| line.contains("a1")));
            sleep(Duration::from_millis(500));
            assert_eq!(world.came(), ["a1"], "{story}: an effect twice");
        });
    }
}

/// Within the window the packet goes again at once, and nothing is given up for a clock that says otherwise.
fn what_may_go_again_is_not_given_up_for_a_step() {
    for within in [false, true] {
        for_each_step("window-open", within, |story, step| {
            let (mut world, page) = World::under_faults(story, hangs_once);
            assert_eq!(put_for(&world, "a1", 20_000), "+OK");
            world.until("its call", |world| world.came() == ["a1"]);
            step(&page, true);
            world.kill();
            sleep(Duration::from_millis(300));
            step(&page, false);
            world.start();
            world.until("its repeat", |world| world.came() == ["a1", "a1"]);
            assert_eq!(world.notices(), [""; 0], "{story}: given up early");
        });
    }
}

/// Taken on and untried behind a told wait: the next life tries both, as the restart ends the wait.
fn what_was_taken_on_and_not_tried_is_tried_after_a_step() {
    for_each_step("untried", false, |story, step| {
        let (mut world, page) = World::under_faults(story, |number, _| match number {
            0 => answer("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
            _ => answer("200 OK", "", ""),
        });
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        world.until("its wait", |world| world.log().contains("packet a1 from"));
        assert_eq!(
            (put_for(&world, "b2", 20_000), put_for(&world, "c3", 20_000)),
            ("+OK".into(), "+OK".into())
        );
        world.kill();
        sleep(Duration::from_millis(300));
        step(&page, false);
        world.start();
        world.until("both calls", |world| {
            ["b2", "c3"].iter().all(|id| world.came().contains(&(*id).to_owned()))
        });
        assert_eq!(world.notices(), [""; 0], "{story}: given up early");
    });
}

/// A packet that nobody takes ends when its time is over, by no more than a second late, and not before.
fn a_deadline_is_a_span_of_real_time() {
    for within in [false, true] {
        for_each_step("deadline", within, |story, step| {
            let (mut world, page) = World::under_faults(story, |_, _| {
                answer("429 Too Many Requests", "Retry-After: 1.9\r\n", "")
            });
            let start = Instant::now();
            assert_eq!(put_for(&world, "a1", 5000), "+OK");
            world.until("its wait", |world| world.log().contains("packet a1 from"));
            step(&page, true);
            world.kill();
            sleep(Duration::from_millis(300));
            step(&page, false);
            world.start();
            world.until("its end", |world| world.notices().iter().any(|line| line.contains("a1")));
            let after = start.elapsed();
            assert!(after > Duration::from_millis(3500), "{story}: given up after {after:?}");
            assert!(after < Duration::from_millis(6000), "{story}: kept until {after:?}");
        });
    }
}

#[test]
fn nothing_is_given_up_early_or_kept_late_for_a_step() {
    thread::scope(|scope| {
        scope.spawn(what_may_go_again_is_not_given_up_for_a_step);
        scope.spawn(what_was_taken_on_and_not_tried_is_tried_after_a_step);
        scope.spawn(a_deadline_is_a_span_of_real_time);
    });
}

/// A told wait is a span of real time: no step within it cuts it short or makes it longer.
#[test]
fn a_told_wait_is_kept_through_a_step() {
    for_each_step("wait", true, |story, step| {
        let (world, page) = World::under_faults(story, |number, _| match number {
            0 => answer("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
            _ => answer("200 OK", "", ""),
        });
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        world.until("its wait", |world| world.log().contains("packet a1 from"));
        let told = Instant::now();
        step(&page, true);
        world.until("the next call", |world| world.came().len() == 2);
        let waited = told.elapsed();
        assert!(waited > Duration::from_millis(1850), "{story}: called after {waited:?}");
        assert!(waited < Duration::from_millis(3000), "{story}: called after {waited:?}");
    });
}

/// The id of a packet that is over is known to the next life, whatever the clock says: nothing runs a second time for it.
#[test]
fn an_id_is_remembered_through_a_step() {
    for_each_step("ids", false, |story, step| {
        let (mut world, page) = World::under_faults(story, |_, _| answer("200 OK", "", ""));
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        world.until("its end", |world| world.folder_shows().contains("0 packets not completed"));
        world.kill();
        step(&page, false);
        world.start();
        assert_eq!(put_for(&world, "a1", 20_000), "+OK");
        sleep(Duration::from_millis(500));
        assert_eq!(world.came(), ["a1"], "{story}: called again");
    });
}
