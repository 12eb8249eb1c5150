//! Steps of the machine's wall clock, between two processes or during one, while its monotonic clock keeps
//! running. Time windows, deadlines and waits are measured in real time, so no step may shorten or lengthen
//! them.

use std::thread::{self, sleep};
use std::time::{Duration, Instant};

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::harness::Harness;
use common::{Call, HttpReply, http_response, submit};
use sailcart_shim::{ControlPage, Setting};

/// Steps of the wall clock, in seconds.
const STEPS_SECONDS: [i64; 7] = [-3600, -40, -4, -1, 4, 40, 3600];
/// The deduplication window in the example configuration.
const WINDOW: &str = r#""dedup_window_ms": 25000"#;
/// A window that ends within a test.
const SHORT_WINDOW: &str = r#""dedup_window_ms": 1000"#;

fn submit_with_deadline(harness: &Harness, id: &str, deadline_ms: u32) -> String {
    submit(harness.listen_address, id, &format!("c=notice,t=acme,d={deadline_ms},k={id},dest=7"), "hello")
        .expect("the sender replies")
}

/// An endpoint that reads its first call and does not respond to it.
fn first_call_hangs(number: usize, _: &Call) -> HttpReply {
    if number == 0 {
        thread::park_timeout(Duration::from_secs(60));
    }
    http_response("200 OK", "", "")
}

/// Runs a scenario once for each step, concurrently, each in an environment of its own. With `while_running`
/// the clock is stepped while the first process runs, otherwise after it has ended.
fn for_each_step(
    scenario: &str,
    while_running: bool,
    run: impl Fn(&str, &dyn Fn(&ControlPage, bool)) + Send + Sync,
) {
    thread::scope(|scope| {
        for seconds in STEPS_SECONDS {
            let run = &run;
            scope.spawn(move || {
                // The scenario calls this before and after the process ends; one of the calls steps.
                let step = move |page: &ControlPage, running: bool| {
                    if running == while_running {
                        page.set(Setting::WallClockStepMs, seconds * 1000)
                            .expect("write to the control page");
                    }
                };
                run(&format!("{scenario}-{while_running}-{seconds}"), &step);
            });
        }
    });
}

/// Guards against a second execution: a call gets no response, the process is killed, and the next process
/// starts when the destination has forgotten the idempotency key. A step back of the clock must not make the
/// window seem open.
#[test]
fn nothing_is_repeated_after_the_deduplication_window() {
    for while_running in [false, true] {
        for_each_step("window-over", while_running, |scenario, step| {
            let (mut harness, page) = Harness::with_fault_injection(scenario, first_call_hangs);
            harness.restart_with(&[(WINDOW, SHORT_WINDOW)]);
            assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
            harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
            step(&page, true);
            harness.kill();
            sleep(Duration::from_millis(1300));
            step(&page, false);
            harness.start();
            harness.wait_until("the completion", |harness| {
                harness.notices().iter().any(|line| line.contains("a1"))
            });
            sleep(Duration::from_millis(500));
            assert_eq!(harness.received_ids(), ["a1"], "{scenario}: executed twice");
        });
    }
}

/// Guards against packets that are abandoned early: within the window the packet is repeated at once, also
/// when the wall clock says that the window or the deadline has passed.
fn packets_are_repeated_within_the_deduplication_window() {
    for while_running in [false, true] {
        for_each_step("window-open", while_running, |scenario, step| {
            let (mut harness, page) = Harness::with_fault_injection(scenario, first_call_hangs);
            assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
            harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
            step(&page, true);
            harness.kill();
            sleep(Duration::from_millis(300));
            step(&page, false);
            harness.start();
            harness.wait_until("the repeated call", |harness| harness.received_ids() == ["a1", "a1"]);
            assert_eq!(harness.notices(), [""; 0], "{scenario}: abandoned early");
        });
    }
}

/// Accepted packets that were not dispatched because of a Retry-After wait are sent by the next process,
/// since the wait ends with the restart.
fn undispatched_packets_are_sent_after_a_step() {
    for_each_step("untried", false, |scenario, step| {
        let (mut harness, page) = Harness::with_fault_injection(scenario, |number, _| match number {
            0 => http_response("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
            _ => http_response("200 OK", "", ""),
        });
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        harness.wait_until("the Retry-After wait", |harness| harness.log().contains("packet a1 from"));
        assert_eq!(
            (submit_with_deadline(&harness, "b2", 20_000), submit_with_deadline(&harness, "c3", 20_000)),
            ("+OK".into(), "+OK".into())
        );
        harness.kill();
        sleep(Duration::from_millis(300));
        step(&page, false);
        harness.start();
        harness.wait_until("both calls", |harness| {
            ["b2", "c3"].iter().all(|id| harness.received_ids().contains(&(*id).to_owned()))
        });
        assert_eq!(harness.notices(), [""; 0], "{scenario}: abandoned early");
    });
}

/// A packet that no endpoint accepts fails after its deadline: no more than a second late, and not early.
fn deadline_is_measured_in_real_time() {
    for while_running in [false, true] {
        for_each_step("deadline", while_running, |scenario, step| {
            let (mut harness, page) = Harness::with_fault_injection(scenario, |_, _| {
                http_response("429 Too Many Requests", "Retry-After: 1.9\r\n", "")
            });
            let start = Instant::now();
            assert_eq!(submit_with_deadline(&harness, "a1", 5000), "+OK");
            harness.wait_until("the Retry-After wait", |harness| harness.log().contains("packet a1 from"));
            step(&page, true);
            harness.kill();
            sleep(Duration::from_millis(300));
            step(&page, false);
            harness.start();
            harness.wait_until("the completion", |harness| {
                harness.notices().iter().any(|line| line.contains("a1"))
            });
            let elapsed = start.elapsed();
            assert!(
                elapsed > Duration::from_millis(3500),
                "{scenario}: failed after {elapsed:?}, before its deadline"
            );
            assert!(elapsed < Duration::from_millis(6000), "{scenario}: failed only after {elapsed:?}");
        });
    }
}

/// Runs three scenarios concurrently, because each of them waits for real time to pass.
#[test]
fn packets_are_abandoned_neither_early_nor_late() {
    thread::scope(|scope| {
        scope.spawn(packets_are_repeated_within_the_deduplication_window);
        scope.spawn(undispatched_packets_are_sent_after_a_step);
        scope.spawn(deadline_is_measured_in_real_time);
    });
}

/// A Retry-After wait is measured in real time: no step of the clock during the wait shortens or lengthens
/// it.
#[test]
fn retry_after_wait_is_measured_in_real_time() {
    for_each_step("wait", true, |scenario, step| {
        let (harness, page) = Harness::with_fault_injection(scenario, |number, _| match number {
            0 => http_response("429 Too Many Requests", "Retry-After: 2.0\r\n", ""),
            _ => http_response("200 OK", "", ""),
        });
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        harness.wait_until("the Retry-After wait", |harness| harness.log().contains("packet a1 from"));
        let wait_started_at = Instant::now();
        step(&page, true);
        harness.wait_until("the next call", |harness| harness.received_ids().len() == 2);
        let waited = wait_started_at.elapsed();
        assert!(waited > Duration::from_millis(1850), "{scenario}: called after {waited:?}");
        assert!(waited < Duration::from_millis(3000), "{scenario}: called after {waited:?}");
    });
}

/// The id of a completed packet is known to the next process, whatever the wall clock says, so that a
/// resubmission is not executed a second time.
#[test]
fn completed_id_is_remembered_after_a_step() {
    for_each_step("ids", false, |scenario, step| {
        let (mut harness, page) =
            Harness::with_fault_injection(scenario, |_, _| http_response("200 OK", "", ""));
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        harness.wait_until("the completion", |harness| {
            harness.store_summary().contains("0 packets not completed")
        });
        harness.kill();
        step(&page, false);
        harness.start();
        assert_eq!(submit_with_deadline(&harness, "a1", 20_000), "+OK");
        sleep(Duration::from_millis(500));
        assert_eq!(harness.received_ids(), ["a1"], "{scenario}: called a second time");
    });
}
