//! Calls of the operating system that fail for reasons of the sender's own machine, for a moment, in the ways of their man pages.

use std::thread::sleep;
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod peer;

use peer::world::World;
use peer::{answer, put};
use sailcart_shim::{Count, EADDRNOTAVAIL, EMFILE, ENETUNREACH, ENOBUFS, Word};

/// More than the dispatches that a packet has, each of which a failing connect would take.
const ROW: Duration = Duration::from_millis(1500);

/// Connections to an endpoint fail here for a while. That says nothing of the endpoint and is no dispatch: the packet has all of
/// its tries left, no slow start follows, and it is delivered as soon as connections come up.
#[test]
fn a_connect_that_fails_for_this_machine_is_no_dispatch() {
    for errno in [EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EMFILE] {
        let mut world = World::new(&format!("own-connect-{errno}"), |_, _| answer("200 OK", "", ""));
        let page = world.with_faults();
        world.kill();
        world.start();
        world.until("the list", |world| world.log().matches("discovery: version 1").count() == 2);
        page.share((Word::Connect, errno), (Word::ConnectPerMille, 1000)).expect("a page");
        let said = put(world.listen, "a1", "c=notice,t=acme,d=8000,k=a1,dest=7", "hello").expect("an answer");
        assert_eq!(said, "+OK");
        sleep(ROW);
        let failed = page.count(Count::Connect);
        assert!(failed > 3, "{failed} connects failed");
        assert!(failed < 200, "{failed} connects in {ROW:?} are a busy loop");
        assert_eq!(world.notices(), [""; 0], "{}", world.log());
        page.clear().expect("a page");
        let well = Instant::now();
        world.until("its call", |world| world.came() == ["a1"]);
        assert!(well.elapsed() < Duration::from_millis(800), "called {:?} later", well.elapsed());
    }
}
