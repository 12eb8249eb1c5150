//! System calls that fail temporarily with errors of this host, as documented in their man pages.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::{http_response, list_entry, send_command, submit};
use sailcart_shim::{
    EADDRNOTAVAIL, ECONNABORTED, EINTR, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, FaultCounter, Setting,
};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// Number of clients in the accept queue at a stop.
const QUEUED_CLIENTS: usize = 30;
/// Long enough to use up all dispatches of a packet if each failed connect counted as one.
const CONNECT_FAILURE_TIME: Duration = Duration::from_millis(1500);

/// Connects to an endpoint fail with a local error for a while. That says nothing about the endpoint and is
/// not a dispatch: the packet keeps all of its attempts, no slow start follows, and the packet is delivered
/// as soon as connects succeed.
#[test]
fn a_connect_that_fails_with_a_local_error_is_not_a_dispatch() {
    for errno in [EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EMFILE] {
        let (harness, control_page) =
            Harness::with_fault_injection(&format!("own-connect-{errno}"), |_, _| {
                http_response("200 OK", "", "")
            });
        control_page
            .fail_share((Setting::ConnectErrno, errno), (Setting::ConnectPerMille, 1000))
            .expect("write to the control page");
        let reply = submit(harness.listen_address, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello")
            .expect("the sender replies");
        assert_eq!(reply, "+OK");
        sleep(CONNECT_FAILURE_TIME);
        let failed = control_page.count(FaultCounter::Connect);
        assert!(failed > 3, "{failed} connects failed");
        assert!(failed < 200, "{failed} connects in {CONNECT_FAILURE_TIME:?} are a busy loop");
        assert_eq!(harness.notices(), [""; 0], "{}", harness.log());
        control_page.clear().expect("write to the control page");
        let cleared_at = Instant::now();
        harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
        assert!(
            cleared_at.elapsed() < Duration::from_millis(800),
            "called {:?} after the end of the errors",
            cleared_at.elapsed()
        );
    }
}

/// Some accept calls fail temporarily: every client in the accept queue still gets a reply, also at a stop,
/// and the log does not get a line for each failure.
#[test]
fn temporary_accept_errors_lose_no_client() {
    for errno in [ECONNABORTED, ENFILE, ENOBUFS] {
        let (mut harness, control_page) =
            Harness::with_fault_injection(&format!("own-accept-{errno}"), |_, _| {
                http_response("200 OK", "", "")
            });
        control_page
            .fail_share((Setting::AcceptErrno, errno), (Setting::AcceptPerMille, 500))
            .expect("write to the control page");
        for _ in 0..40 {
            assert_eq!(send_command(harness.listen_address, PING).expect("the sender replies"), "+PONG");
        }
        // All clients that connect during the stop wait in the accept queue, and each gets a reply.
        control_page.set(Setting::AcceptPerMille, 1000).expect("write to the control page");
        harness.signal("-TERM");
        let clients: Vec<TcpStream> = (0..QUEUED_CLIENTS)
            .map(|_| {
                let mut client = TcpStream::connect(harness.listen_address).expect("connect to the sender");
                client.write_all(PING.as_bytes()).expect("write to the socket");
                client
            })
            .collect();
        sleep(Duration::from_millis(800)); // by now the stopping sender accepts from its queue
        control_page.set(Setting::AcceptPerMille, 300).expect("write to the control page");
        let replies = clients.into_iter().map(|mut client| {
            client.set_read_timeout(Some(Duration::from_secs(5))).expect("set the read timeout");
            let mut reply = String::new();
            client.read_to_string(&mut reply).expect("read without a reset");
            reply
        });
        assert!(replies.filter(|reply| reply == "+PONG\r\n").count() == QUEUED_CLIENTS, "{}", harness.log());
        harness.wait_for_exit();
        assert!(control_page.count(FaultCounter::Accept) > 20, "no accept call failed");
        assert!(
            harness.log().matches("code=not_accepted").count() < 16,
            "one log line per failed accept: {}",
            harness.log()
        );
    }
}

/// A connect to discovery that fails locally, also with EINTR, must not count as a change of the discovery
/// address, which is followed without a delay: otherwise the sender would reconnect in a busy loop.
#[test]
fn connects_to_discovery_that_fail_locally_do_not_loop() {
    for errno in [EINTR, EMFILE] {
        let (harness, control_page) =
            Harness::with_fault_injection(&format!("own-platform-{errno}"), |_, _| {
                http_response("200 OK", "", "")
            });
        control_page
            .fail_share((Setting::ConnectErrno, errno), (Setting::ConnectPerMille, 1000))
            .expect("write to the control page");
        // Makes both connections to the platform be established again: discovery stops responding, and a
        // notice is pending.
        harness.platform.set_list(&[list_entry("e", harness.endpoint_address, 7, "Terminating")]);
        assert_eq!(
            submit(harness.listen_address, "a1", "c=notice,t=acme,d=500,k=a1,dest=7", "hello")
                .expect("the sender replies"),
            "+OK"
        );
        harness.platform.unresponsive.store(true, Ordering::SeqCst);
        sleep(Duration::from_secs(4));
        let connects_before = control_page.count(FaultCounter::Connect);
        sleep(Duration::from_secs(1));
        let new_connects = control_page.count(FaultCounter::Connect) - connects_before;
        assert!(new_connects < 60, "{new_connects} connects in a second");
        control_page.clear().expect("write to the control page");
        harness.platform.unresponsive.store(false, Ordering::SeqCst);
        harness.wait_until("the notice", |harness| harness.notices().iter().any(|line| line.contains("a1")));
    }
}

/// No socket can be created during the first second of a start: the process waits and does not exit.
#[test]
fn a_start_retries_until_sockets_are_available() {
    for errno in [EMFILE, ENFILE, ENOBUFS] {
        let mut harness =
            Harness::new(&format!("own-listen-{errno}"), |_, _| http_response("200 OK", "", ""));
        let control_page = harness.attach_control_page();
        harness.kill();
        control_page
            .fail_share((Setting::SocketErrno, errno), (Setting::SocketPerMille, 1000))
            .expect("write to the control page");
        harness.spawn_sender(None);
        sleep(Duration::from_secs(1));
        assert!(control_page.count(FaultCounter::Socket) > 0, "no socket call failed");
        control_page.clear().expect("write to the control page");
        harness.wait_until("a reply to PING", |harness| send_command(harness.listen_address, PING).is_ok());
        let reply = submit(harness.listen_address, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello")
            .expect("the sender replies");
        assert_eq!(reply, "+OK");
        harness.wait_until("the call", |harness| harness.received_ids() == ["a1"]);
    }
}
