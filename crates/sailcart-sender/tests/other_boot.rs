//! A folder of a machine that was started anew since.

use std::time::Duration;

use sailcart::DestinationId;
use sailcart_sender::memory::Packet;
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::{BootId, Moment, Uptime, boot_id};
use sailcart_store::SyncPolicy;

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::Harness;
use common::http_response;

/// The kernel's boot id is another: how long ago the call went nobody can tell, whatever the wall clock says. So it does not go again
/// where its key may be forgotten; what was never called is.
#[test]
fn a_machine_that_was_started_anew_repeats_nothing_and_tries_what_is_untried() {
    let mut world = Harness::new("other-boot", |_, _| http_response("200 OK", "", ""));
    world.kill();
    let mut ledger = Ledger::open(&world.folder, 1_000_000, 16, SyncPolicy::None).expect("a journal");
    let other = |moment: Moment| Moment {
        uptime: Some(Uptime {
            boot: BootId(!boot_id().map_or(0, |boot| boot.0)),
            since_boot: Duration::from_secs(9),
        }),
        ..moment
    };
    let now = Moment::now(boot_id());
    let mut take = |id: &str| {
        let packet = Packet {
            number: ledger.next_number(),
            id: id.into(),
            category: "notice".into(),
            customer: None,
            idempotency_key: Some(id.into()),
            order_key: None,
            destination: DestinationId(7),
            deadline: other(now.later(Duration::from_secs(20))),
            body: b"hello".to_vec().into(),
        };
        let number = packet.number;
        ledger.accept(packet).expect("room");
        number
    };
    let (called, _untried) = (take("called"), take("untried"));
    ledger.record_dispatch(&[called], other(now)).expect("room");
    drop(ledger);
    world.start();
    world.wait_until("the call", |world| world.received_ids() == ["untried"]);
    world.wait_until("the end", |world| world.notices().iter().any(|line| line.contains("called")));
    assert_eq!(world.received_ids(), ["untried"]);
}
