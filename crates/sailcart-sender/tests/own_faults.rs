//! Calls of the operating system that fail for reasons of the sender's own machine, for a moment, in the ways of their man pages.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{answer, entry, put, say};
use sailcart_shim::{
    EADDRNOTAVAIL, ECONNABORTED, EINTR, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, FaultCounter, Setting,
};

const PING: &str = "*1\r\n$4\r\nPING\r\n";
/// Clients in the queue at a stop.
const CLIENTS: usize = 30;
/// More than the dispatches that a packet has, each of which a failing connect would take.
const ROW: Duration = Duration::from_millis(1500);

/// Connections to an endpoint fail here for a while. That says nothing of the endpoint and is no dispatch: the packet has all of
/// its tries left, no slow start follows, and it is delivered as soon as connections come up.
#[test]
fn a_connect_that_fails_for_this_machine_is_no_dispatch() {
    for errno in [EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EMFILE] {
        let (world, page) =
            World::under_faults(&format!("own-connect-{errno}"), |_, _| answer("200 OK", "", ""));
        page.fail_share((Setting::ConnectErrno, errno), (Setting::ConnectPerMille, 1000)).expect("a page");
        let said = put(world.listen, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello").expect("an answer");
        assert_eq!(said, "+OK");
        sleep(ROW);
        let failed = page.count(FaultCounter::Connect);
        assert!(failed > 3, "{failed} connects failed");
        assert!(failed < 200, "{failed} connects in {ROW:?} are a busy loop");
        assert_eq!(world.notices(), [""; 0], "{}", world.log());
        page.clear().expect("a page");
        let well = Instant::now();
        world.until("its call", |world| world.came() == ["a1"]);
        assert!(well.elapsed() < Duration::from_millis(800), "called {:?} later", well.elapsed());
    }
}

/// Connections in the queue are accepted one by one while some of those calls fail for a moment: at a stop, too, everybody in the queue
/// is heard, and the log does not fill with a line a call.
#[test]
fn accepts_that_fail_for_a_moment_lose_nobody() {
    for errno in [ECONNABORTED, ENFILE, ENOBUFS] {
        let (mut world, page) =
            World::under_faults(&format!("own-accept-{errno}"), |_, _| answer("200 OK", "", ""));
        page.fail_share((Setting::AcceptErrno, errno), (Setting::AcceptPerMille, 500)).expect("a page");
        for _ in 0..40 {
            assert_eq!(say(world.listen, PING).expect("an answer"), "+PONG");
        }
        // All that come while the sender stops wait in the queue, and each is heard.
        page.set(Setting::AcceptPerMille, 1000).expect("a page");
        world.signal("-TERM");
        let clients: Vec<TcpStream> = (0..CLIENTS)
            .map(|_| {
                let mut client = TcpStream::connect(world.listen).expect("a place");
                client.write_all(PING.as_bytes()).expect("room");
                client
            })
            .collect();
        sleep(Duration::from_millis(800)); // the sender has come to its queue by now
        page.set(Setting::AcceptPerMille, 300).expect("a page");
        let heard = clients.into_iter().map(|mut client| {
            client.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");
            let mut said = String::new();
            client.read_to_string(&mut said).expect("an end without a reset");
            said
        });
        assert!(heard.filter(|said| said == "+PONG\r\n").count() == CLIENTS, "{}", world.log());
        world.ended();
        assert!(page.count(FaultCounter::Accept) > 20, "accepts failed");
        assert!(world.log().matches("code=not_accepted").count() < 16, "a line for each: {}", world.log());
    }
}

/// A call that is interrupted is not taken for discovery's having moved, which is followed at once: nothing runs in a loop without a pause.
#[test]
fn a_platform_that_cannot_be_called_is_not_asked_without_a_pause() {
    for errno in [EINTR, EMFILE] {
        let (world, page) =
            World::under_faults(&format!("own-platform-{errno}"), |_, _| answer("200 OK", "", ""));
        page.fail_share((Setting::ConnectErrno, errno), (Setting::ConnectPerMille, 1000)).expect("a page");
        // What stands is cut, so that both are to connect again; a notice is owed as well.
        world.platform.list(&[entry("e", world.endpoint, 7, "Terminating")]);
        assert_eq!(
            put(world.listen, "a1", "c=notice,t=acme,d=500,k=a1,dest=7", "hello").expect("an answer"),
            "+OK"
        );
        world.platform.silent.store(true, Ordering::SeqCst);
        sleep(Duration::from_secs(4));
        let before = page.count(FaultCounter::Connect);
        sleep(Duration::from_secs(1));
        let more = page.count(FaultCounter::Connect) - before;
        assert!(more < 60, "{more} connects in a second");
        page.clear().expect("a page");
        world.platform.silent.store(false, Ordering::SeqCst);
        world.until("its notice", |world| world.notices().iter().any(|line| line.contains("a1")));
    }
}

/// No socket can be had for the first second of a start: it is waited for, and no process ends for it.
#[test]
fn a_start_whose_sockets_fail_for_a_moment_comes_up() {
    for errno in [EMFILE, ENFILE, ENOBUFS] {
        let mut world = World::new(&format!("own-listen-{errno}"), |_, _| answer("200 OK", "", ""));
        let page = world.with_faults();
        world.kill();
        page.fail_share((Setting::SocketErrno, errno), (Setting::SocketPerMille, 1000)).expect("a page");
        world.launch(None);
        sleep(Duration::from_secs(1));
        assert!(page.count(FaultCounter::Socket) > 0, "no socket was to be had");
        page.clear().expect("a page");
        world.until("it answers", |world| say(world.listen, PING).is_ok());
        let said = put(world.listen, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello").expect("an answer");
        assert_eq!(said, "+OK");
        world.until("its call", |world| world.came() == ["a1"]);
    }
}
