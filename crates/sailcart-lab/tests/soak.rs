//! The soak: its schedules meet every pair of kinds, its links strike as told, and its rig is clean where nothing strikes.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use sailcart::{EndpointId, PacketId};
use sailcart_lab::experiment::Repeat;
use sailcart_lab::plan::{OriginId, Plan, SenderId, chance};
use sailcart_lab::soak::kinds::SoakKind;
use sailcart_lab::soak::proxy::{Manner, Proxy};
use sailcart_lab::soak::schedule::{Planned, all_pairs, pairs, row};
use sailcart_lab::soak::{experiment, machine};
use sailcart_lab::watcher::{CallId, End, GateId, Handed, Rule, Seen, Watcher};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

const SPAN: Duration = Duration::from_secs(16);

#[test]
fn a_row_of_runs_meets_every_pair_of_kinds_and_the_seed_fixes_it() {
    let schedules = row(7, 60, SPAN);
    assert_eq!(schedules, row(7, 60, SPAN));
    assert_ne!(schedules, row(8, 60, SPAN));
    let met: BTreeSet<_> = schedules.iter().flat_map(|schedule| pairs(schedule)).collect();
    assert_eq!(met, all_pairs());
    // Whatever is drawn together shares part of its time, and lies within the span.
    for schedule in &schedules {
        assert_eq!(pairs(&schedule[..3]).len(), 3);
        assert!(schedule.iter().all(|planned| planned.from < planned.until && planned.until < SPAN));
    }
}

/// Each kind is either a trouble of the day or one of machines and links; none is forgotten.
#[test]
fn every_kind_strikes_something() {
    for kind in SoakKind::ALL {
        let schedule = [Planned { kind, from: SPAN / 4, until: SPAN / 2 }];
        let day = experiment::of(&schedule, 8, SPAN, 40.0);
        let machine = machine::troubles(&schedule, 8, 1);
        assert!(day.troubles.len() == 1 || machine.len() > 2, "{kind}");
        assert_eq!(SoakKind::named(kind.word()), Some(kind));
        Plan::new(day, 1).expect("a day that can be played");
    }
}

/// An echo behind a proxy.
fn echo() -> std::net::SocketAddr {
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
fn a_link_hands_on_and_strikes_as_told() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let proxy = Proxy::open(echo(), false, chance(1, 1)).await.expect("a link");
        let mut answers = Vec::new();
        for manner in [None, Some(Manner::Delay), Some(Manner::Trickle)] {
            proxy.set(manner);
            let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
            stream.write_all(&[7; 200]).await.expect("room");
            let mut answer = [0; 200];
            stream.read_exact(&mut answer).await.expect("all of it");
            answers.push(answer);
        }
        assert!(answers.iter().all(|answer| *answer == [7; 200]));
        for manner in [Manner::Cut, Manner::Reset, Manner::HalfClose] {
            proxy.set(Some(manner));
            let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
            let mut went = 0;
            let mut answer = [0; 200];
            while stream.write_all(&[7; 200]).await.is_ok() && stream.read_exact(&mut answer).await.is_ok() {
                went += 1;
                assert!(went < 500, "{manner:?} never struck");
            }
        }
        proxy.set(Some(Manner::Silent));
        let mut stream = TcpStream::connect(proxy.address).await.expect("a connection");
        stream.write_all(&[7; 200]).await.expect("room");
        let heard = timeout(Duration::from_millis(300), stream.read(&mut [0; 200])).await;
        assert!(heard.is_err(), "nothing comes back");
        proxy.set(None);
        let ended = timeout(Duration::from_secs(1), stream.read(&mut [0; 200])).await.expect("an end");
        assert!(ended.is_err() || ended.is_ok_and(|read| read == 0), "what was held is lost");
    });
}

/// A platform that does not acknowledge a dismissal hears it again, perhaps after its client's next try took effect; a dismissal that is
/// told for the first time after that is a breach.
#[test]
fn a_dismissal_told_again_is_none_and_a_late_one_is() {
    let ms = Duration::from_millis;
    let day = experiment::of(&[], 2, SPAN, 40.0);
    let plan = Plan::new(day.clone(), 1).expect("a plan");
    let order =
        plan.origins.iter().position(|origin| plan.category(origin.category).repeat == Repeat::Unrepeatable);
    let origin = OriginId(order.expect("an order"));
    for first_is_early in [true, false] {
        let mut watcher = Watcher::new(&day.rules);
        let handed = |packet| Seen::Handed(Handed::new(&plan, PacketId(packet), origin, SenderId(0)));
        let call = Seen::Came {
            call: CallId(1),
            sender: SenderId(0),
            endpoint: EndpointId(0),
            gate: GateId(0),
            packets: vec![PacketId(1)],
        };
        watcher.see(ms(1), &handed(0));
        watcher.see(ms(2), &Seen::Taken(PacketId(0)));
        if first_is_early {
            watcher.see(ms(3), &Seen::Ended(PacketId(0), End::Dismissed));
        }
        watcher.see(ms(4), &handed(1));
        watcher.see(ms(5), &call);
        watcher.see(ms(5), &Seen::Ran(CallId(1), vec![true]));
        watcher.see(ms(6), &Seen::Ended(PacketId(0), End::Dismissed));
        assert_eq!(watcher.count(Rule::NoDouble), u64::from(!first_is_early));
    }
}
