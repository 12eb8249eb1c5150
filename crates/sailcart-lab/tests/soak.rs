//! The soak test: its schedules cover every pair of kinds of trouble, its proxies apply the requested faults,
//! and they forward data unchanged without a fault.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use sailcart_lab::experiment::Repeat;
use sailcart_lab::plan::{Plan, PlannedPacketId, SenderId, seeded_rng};
use sailcart_lab::soak::kinds::SoakKind;
use sailcart_lab::soak::proxy::{LinkFault, Proxy};
use sailcart_lab::soak::schedule::{PlannedTrouble, all_pairs, draw_schedules, overlapping_pairs};
use sailcart_lab::soak::{experiment, machine};
use sailcart_lab::watcher::{
    CallId, CompletionKind, Observation, Rule, SubmittedPacket, UpstreamId, Watcher,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

const RUN_SPAN: Duration = Duration::from_secs(16);

#[test]
fn schedules_cover_all_pairs_of_kinds_and_depend_only_on_the_seed() {
    let schedules = draw_schedules(7, 60, RUN_SPAN);
    assert_eq!(schedules, draw_schedules(7, 60, RUN_SPAN));
    assert_ne!(schedules, draw_schedules(8, 60, RUN_SPAN));
    let covered_pairs: BTreeSet<_> =
        schedules.iter().flat_map(|schedule| overlapping_pairs(schedule)).collect();
    assert_eq!(covered_pairs, all_pairs());
    // Troubles that are drawn together overlap in time, and all lie within the span.
    for schedule in &schedules {
        assert_eq!(overlapping_pairs(&schedule[..3]).len(), 3);
        assert!(schedule.iter().all(|planned| planned.from < planned.until && planned.until < RUN_SPAN));
    }
}

/// Each kind affects either the experiment or the machines and links; none is ignored.
#[test]
fn every_kind_has_an_effect() {
    for kind in SoakKind::ALL {
        let schedule = [PlannedTrouble { kind, from: RUN_SPAN / 4, until: RUN_SPAN / 2 }];
        let soak_experiment = experiment::build(&schedule, 8, RUN_SPAN, 40.0);
        let machine = machine::draw_troubles(&schedule, 8, 1);
        assert!(soak_experiment.troubles.len() == 1 || machine.len() > 2, "{kind}");
        assert_eq!(SoakKind::from_name(kind.name()), Some(kind));
        Plan::new(soak_experiment, 1).expect("a valid experiment");
    }
}

/// Starts an echo server for the proxy to connect to.
fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut bytes = [0; 256];
                while let Ok(length) = stream.read(&mut bytes) {
                    if length == 0 || stream.write_all(&bytes[..length]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_proxy_forwards_data_and_applies_each_fault() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let proxy = Proxy::open(echo_server(), false, seeded_rng(1, 1)).await.expect("a proxy");
        let mut answers = Vec::new();
        for fault in [None, Some(LinkFault::Delay), Some(LinkFault::Trickle)] {
            proxy.set_fault(fault);
            let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
            stream.write_all(&[7; 200]).await.expect("bytes written");
            let mut answer = [0; 200];
            stream.read_exact(&mut answer).await.expect("all bytes echoed");
            answers.push(answer);
        }
        assert!(answers.iter().all(|answer| *answer == [7; 200]));
        for fault in [LinkFault::Cut, LinkFault::Reset, LinkFault::HalfClose] {
            proxy.set_fault(Some(fault));
            let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
            let mut round_trips = 0;
            let mut answer = [0; 200];
            while stream.write_all(&[7; 200]).await.is_ok() && stream.read_exact(&mut answer).await.is_ok() {
                round_trips += 1;
                assert!(round_trips < 500, "{fault:?} had no effect");
            }
        }
        proxy.set_fault(Some(LinkFault::Silent));
        let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
        stream.write_all(&[7; 200]).await.expect("bytes written");
        let read = timeout(Duration::from_millis(300), stream.read(&mut [0; 200])).await;
        assert!(read.is_err(), "no data is returned");
        proxy.set_fault(None);
        let closed = timeout(Duration::from_secs(1), stream.read(&mut [0; 200]))
            .await
            .expect("the connection is closed");
        assert!(closed.is_err() || closed.is_ok_and(|read| read == 0), "bytes held by the proxy are lost");
    });
}

/// A platform that does not acknowledge a dismissal receives it again, possibly after the resubmitted packet
/// was executed. Only a dismissal that is first reported after that is a violation.
#[test]
fn a_repeated_dismissal_is_no_violation_but_a_late_one_is() {
    let ms = Duration::from_millis;
    let soak_experiment = experiment::build(&[], 2, RUN_SPAN, 40.0);
    let plan = Plan::new(soak_experiment.clone(), 1).expect("a plan");
    let unrepeatable = plan
        .planned_packets
        .iter()
        .position(|planned| plan.category(planned.category).repeat == Repeat::Unrepeatable);
    let planned_packet = PlannedPacketId(unrepeatable.expect("an unrepeatable packet"));
    for first_is_early in [true, false] {
        let mut watcher = Watcher::new(&soak_experiment.rules);
        let submitted = |packet| {
            Observation::Submitted(SubmittedPacket::new(&plan, PacketId(packet), planned_packet, SenderId(0)))
        };
        let call = Observation::CallReceived {
            call: CallId(1),
            sender: SenderId(0),
            endpoint: EndpointId(0),
            upstream: UpstreamId(0),
            packets: vec![PacketId(1)],
        };
        watcher.observe(ms(1), &submitted(0));
        watcher.observe(ms(2), &Observation::Accepted(PacketId(0)));
        if first_is_early {
            watcher.observe(ms(3), &Observation::Completed(PacketId(0), CompletionKind::Dismissed));
        }
        watcher.observe(ms(4), &submitted(1));
        watcher.observe(ms(5), &call);
        watcher.observe(ms(5), &Observation::Executed(CallId(1), vec![true]));
        watcher.observe(ms(6), &Observation::Completed(PacketId(0), CompletionKind::Dismissed));
        assert_eq!(watcher.count(Rule::NoDouble), u64::from(!first_is_early));
    }
}

/// Before its deadline, the same process could still deliver the packet.
#[test]
fn a_failure_after_a_delivery_is_a_violation_before_the_deadline_alone() {
    let soak_experiment = experiment::build(&[], 2, RUN_SPAN, 40.0);
    let plan = Plan::new(soak_experiment.clone(), 1).expect("a plan");
    let submitted = SubmittedPacket::new(&plan, PacketId(0), PlannedPacketId(0), SenderId(0));
    let delivered_at = submitted.deadline / 2;
    for (reported_at, restarted, is_violation) in [
        (submitted.deadline - Duration::from_millis(2), false, true),
        (submitted.deadline, false, false),
        (submitted.deadline - Duration::from_millis(2), true, false),
    ] {
        let mut watcher = Watcher::new(&soak_experiment.rules);
        watcher.observe(Duration::from_millis(1), &Observation::Submitted(submitted));
        watcher.observe(Duration::from_millis(2), &Observation::Accepted(PacketId(0)));
        watcher.observe(delivered_at, &Observation::Completed(PacketId(0), CompletionKind::Done));
        if restarted {
            let later = delivered_at + Duration::from_secs(1);
            watcher.observe(later, &Observation::SenderDown(SenderId(0)));
            watcher.observe(later, &Observation::SenderUp(SenderId(0)));
        }
        watcher.observe(reported_at, &Observation::Completed(PacketId(0), CompletionKind::Scrapped));
        assert_eq!(watcher.count(Rule::OneEnd), u64::from(is_violation), "{reported_at:?} {restarted}");
    }
}

/// After a client has abandoned a submission, whatever its sender does with that id counts for nothing.
#[test]
fn a_dismissal_of_an_abandoned_submission_is_no_violation() {
    let ms = Duration::from_millis;
    let soak_experiment = experiment::build(&[], 2, RUN_SPAN, 40.0);
    let plan = Plan::new(soak_experiment.clone(), 1).expect("a plan");
    let is_unrepeatable = |planned: &sailcart_lab::plan::PlannedPacket| {
        plan.category(planned.category).repeat == Repeat::Unrepeatable
    };
    let unrepeatable = plan.planned_packets.iter().position(is_unrepeatable);
    let planned_packet = PlannedPacketId(unrepeatable.expect("an unrepeatable packet"));
    for is_abandoned in [true, false] {
        let mut watcher = Watcher::new(&soak_experiment.rules);
        for (packet, sender) in [(0, 0), (1, 1)] {
            let submitted = SubmittedPacket::new(&plan, PacketId(packet), planned_packet, SenderId(sender));
            watcher.observe(ms(1), &Observation::Submitted(submitted));
            if packet == 0 && is_abandoned {
                watcher.observe(ms(2), &Observation::Abandoned(PacketId(0)));
            }
        }
        let call = Observation::CallReceived {
            call: CallId(1),
            sender: SenderId(1),
            endpoint: EndpointId(0),
            upstream: UpstreamId(0),
            packets: vec![PacketId(1)],
        };
        watcher.observe(ms(5), &call);
        watcher.observe(ms(5), &Observation::Executed(CallId(1), vec![true]));
        watcher.observe(ms(6), &Observation::Completed(PacketId(0), CompletionKind::Dismissed));
        assert_eq!(watcher.count(Rule::NoDouble), u64::from(!is_abandoned));
    }
}
