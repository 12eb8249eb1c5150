//! Recovery of a state folder after the machine has been rebooted.

use std::time::Duration;

use sailcart::DestinationId;
use sailcart_sender::memory::Packet;
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::memory::moment::{BootId, Moment, Uptime, boot_id};
use sailcart_store::SyncPolicy;

#[allow(dead_code)] // each test file uses a part of this module
mod common;

use common::harness::Harness;
use common::http_response;

/// The kernel's boot id differs from the one in the journal, so the time since the dispatch is unknown,
/// whatever the wall clock says. A packet that was dispatched is not repeated, because the destination may
/// have forgotten its idempotency key; a packet that was never dispatched is sent.
#[test]
fn after_a_reboot_only_undispatched_packets_are_sent() {
    let mut harness = Harness::new("other-boot", |_, _| http_response("200 OK", "", ""));
    harness.kill();
    let mut ledger =
        Ledger::open(&harness.folder, 1_000_000, 16, SyncPolicy::None).expect("open the journal");
    let in_another_boot = |moment: Moment| Moment {
        uptime: Some(Uptime {
            boot: BootId(!boot_id().map_or(0, |boot| boot.0)),
            since_boot: Duration::from_secs(9),
        }),
        ..moment
    };
    let now = Moment::now(boot_id());
    let mut accept = |id: &str| {
        let packet = Packet {
            number: ledger.next_number(),
            id: id.into(),
            category: "notice".into(),
            customer: None,
            idempotency_key: Some(id.into()),
            order_key: None,
            destination: DestinationId(7),
            deadline: in_another_boot(now.later(Duration::from_secs(20))),
            body: b"hello".to_vec().into(),
        };
        let number = packet.number;
        ledger.accept(packet).expect("the journal has capacity");
        number
    };
    let (dispatched, _undispatched) = (accept("called"), accept("untried"));
    ledger.record_dispatch(&[dispatched], in_another_boot(now)).expect("the journal has capacity");
    drop(ledger);
    harness.start();
    harness.wait_until("the call", |harness| harness.received_ids() == ["untried"]);
    harness.wait_until("the notice", |harness| harness.notices().iter().any(|line| line.contains("called")));
    assert_eq!(harness.received_ids(), ["untried"]);
}
