//! What a restart restores of a packet, compared with what the process before it knew: all short sequences of
//! calls, outcomes, corrections, kills, failing and torn writes, and compaction. There are no sockets, and the
//! time is simulated.

#[path = "../../sailcart-store/tests/common/mod.rs"]
mod store_common;

use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::response_matching::{Attribution, Candidates};
use sailcart::{Outcome, PacketId};
use sailcart_sender::config::{self, SenderConfig};
use sailcart_sender::exchange::{Exchange, SubmitReply};
use sailcart_sender::life::recovery::recover_packets;
use sailcart_sender::memory::DispatchState;
use sailcart_sender::memory::ledger::{Ledger, RecordedDispatch};
use sailcart_sender::memory::moment::Moment;
use sailcart_sender::outgoing::{Call, CallOwner, CallResult, ReceivedResponse, SentCall};
use sailcart_sender::wire::Put;
use sailcart_sender::wire::http::{BodyLength, Head};
use sailcart_store::{Store, StoreOptions, SyncPolicy};
use store_common::MemoryFiles;

const PATIENCE: Duration = Duration::from_secs(3600);
const OPTIONS: StoreOptions = StoreOptions { capacity_bytes: 64 * 1024, sync: SyncPolicy::None };
/// Number of file calls that fail while the folder fails; more than a sequence makes.
const FAILING_CALLS: u64 = 10_000;
const LONG_SEQUENCES: u64 = 200;
const LONG_SEQUENCE_STEPS: usize = 40;
/// How far the simulated time advances between two looks for a call, and how often.
const STEP: Duration = Duration::from_millis(400);
const MAX_STEPS: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// A call is sent and stays in flight.
    Send,
    /// The call in flight ends: certainly not executed.
    Refused,
    /// The call in flight ends: it may have been executed.
    TimedOut,
    /// The call in flight ends: a response in doubt says that it was not executed.
    RefusedInDoubt,
    /// The call in flight is reported as delivered, and then turns out not to have been executed.
    DeliveryRefuted,
    /// The call in flight is reported as delivered, and then turns out to have failed.
    DeliveryFailed,
    /// A call whose connection is refused.
    NotConnected,
    /// A call that is recorded, and of which nothing is sent.
    NotSent,
    Kill,
    /// A kill, and compaction before the next start.
    KillAndCompact,
    /// Writes fail from here on, each after half of its bytes.
    FailWrites,
    RepairWrites,
    /// The process is killed in the middle of the next step's first write.
    KillInNextWrite,
}

const STEPS: [Step; 13] = [
    Step::Send,
    Step::Refused,
    Step::TimedOut,
    Step::RefusedInDoubt,
    Step::DeliveryRefuted,
    Step::DeliveryFailed,
    Step::NotConnected,
    Step::NotSent,
    Step::Kill,
    Step::KillAndCompact,
    Step::FailWrites,
    Step::RepairWrites,
    Step::KillInNextWrite,
];

/// A call that was permitted to be sent.
struct Sending {
    packet: PacketId,
    sent_at: Moment,
    may_have_executed: bool,
}

/// The repeat setting of the category, and the number of packets in each call.
#[derive(Clone, Copy, Debug)]
struct Setup {
    repeat: &'static str,
    batch: usize,
}

struct Rig<'a> {
    setup: Setup,
    config: &'a SenderConfig,
    files: MemoryFiles,
    exchange: Exchange<MemoryFiles>,
    in_flight: Option<(Call, RecordedDispatch)>,
    sendings: Vec<Sending>,
    writes_fail: bool,
    kill_in_next_write: bool,
    /// The folder failed at some time: it may say more than what happened.
    failed_once: bool,
}

/// The configuration of the example with this setup. Nothing of it is ever bound or written.
fn sender_config(setup: Setup) -> SenderConfig {
    let text = include_str!("../../../examples/config.json");
    let mut config: serde_json::Value = serde_json::from_str(text).expect("the example is JSON");
    let folder = tempfile::tempdir().expect("temporary folder");
    config["state"] = folder.path().to_str().expect("the path is UTF-8").into();
    config["settings"]["lanes"][0]["repeat"] = setup.repeat.into();
    config["settings"]["lanes"][0]["dedup_window_ms"] = 3_600_000.into();
    config["settings"]["lanes"][0]["hard_limit_ms"] = 3_600_000.into();
    config["settings"]["domain"]["kind_batch"][0] = setup.batch.into();
    config["settings"]["bounds"]["send_cap"] = 100.into();
    config["known"] = serde_json::json!({
        "generation": 1, "reset": true, "instances": [{
            "instanceId": "e", "hostPort": "127.0.0.1:1", "zone": "z", "machineType": "k", "cell": 7,
            "lifecycle": "Ready", "weight": 1000.0, "startedAtMs": 0,
        }],
    });
    let path = folder.path().join("config.json");
    std::fs::write(&path, config.to_string()).expect("write the configuration");
    config::read(Some(path), &|_| None).unwrap_or_else(|error| panic!("{}", error.0))
}

fn start(config: &SenderConfig, files: &MemoryFiles) -> Exchange<MemoryFiles> {
    files.restart();
    let ledger = Ledger::restore(files.clone(), OPTIONS, 16).expect("the journal is restored");
    let exchange = Exchange::new(config.settings.clone(), 1, config.names.clone(), ledger);
    exchange.apply_known_list(config.known_list.summary().full, config.known_list.entries());
    recover_packets(&exchange);
    exchange
}

fn response(status: u16) -> Rc<ReceivedResponse> {
    let head = Head {
        status,
        body_length: BodyLength::Known(0),
        close: false,
        retry_after: None,
        line_busy: false,
        load_report: None,
    };
    Rc::new(ReceivedResponse { status: Some(status), head: Some(head), body: Vec::new() })
}

impl<'a> Rig<'a> {
    fn new(setup: Setup, config: &'a SenderConfig) -> Rig<'a> {
        let files = MemoryFiles::default();
        let exchange = start(config, &files);
        let rig = Rig {
            setup,
            config,
            files,
            exchange,
            in_flight: None,
            sendings: Vec::new(),
            writes_fail: false,
            kill_in_next_write: false,
            failed_once: false,
        };
        for id in ["a", "b"].into_iter().take(setup.batch) {
            let put = Put {
                id,
                category: "notice",
                customer: None,
                patience: PATIENCE,
                idempotency_key: Some(id),
                destination: 7,
                order_key: None,
                body: b"hello",
            };
            let mut reply = rig.exchange.submit(&put);
            let round = rig.exchange.decide();
            assert_eq!(reply.try_recv(), Ok(SubmitReply::Accepted));
            // Not sent yet: a later round decides anew.
            round.calls.iter().for_each(|call| rig.not_sent(call, Outcome::NoSlot, None));
        }
        rig
    }

    fn not_sent(&self, call: &Call, outcome: Outcome, dispatch: Option<RecordedDispatch>) {
        self.exchange.call_completed(call, CallResult::not_sent(call, outcome, dispatch));
    }

    /// The next call that the sender decides on, if it does so within the simulated time.
    async fn next_call(&self) -> Option<Call> {
        for _ in 0..MAX_STEPS {
            if let Some(call) = self.exchange.decide().calls.into_iter().next() {
                return Some(call);
            }
            tokio::time::advance(STEP).await;
        }
        None
    }

    /// What the next process would restore if this one were killed now.
    fn restored(&self) -> Vec<(PacketId, DispatchState)> {
        let files = self.files.copy();
        let ledger = Ledger::restore(files, OPTIONS, 16).expect("the journal is restored");
        let packets = ledger.uncompleted_packets();
        packets.iter().map(|packet| (packet.number, ledger.dispatch_state(packet.number))).collect()
    }

    /// Asks for permission to send a call, and records the sending if it is given.
    fn permit(&mut self, call: &Call) -> Option<RecordedDispatch> {
        let permit = self.exchange.permit(call).ok()?;
        let restored = self.restored();
        for packet in &call.packets {
            let restored = restored.iter().find(|(number, _)| *number == packet.number);
            let sent_at = restored.and_then(|(_, state)| state.in_flight_since);
            let sent_at = sent_at.expect("a call is recorded before it is sent");
            let earlier = self
                .sendings
                .iter()
                .any(|sending| sending.packet == packet.number && sending.may_have_executed);
            assert!(
                !(earlier && self.setup.repeat == "fragile"),
                "packet {} is sent again although it may have been executed",
                packet.number.0
            );
            self.sendings.push(Sending { packet: packet.number, sent_at, may_have_executed: true });
        }
        Some(permit.dispatch())
    }

    /// The last sending of the call's packets was certainly not executed.
    fn mark_not_executed(&mut self, call: &Call, remove: bool) {
        for packet in &call.packets {
            let last = self.sendings.iter().rposition(|sending| sending.packet == packet.number);
            let last = last.expect("the call was sent");
            self.sendings[last].may_have_executed = false;
            if remove {
                self.sendings.remove(last);
            }
        }
    }

    fn complete(&mut self, outcome: Outcome, attribution: Attribution) -> Option<Call> {
        let (call, dispatch) = self.in_flight.take()?;
        let is_done = outcome == Outcome::Done;
        let outcomes = vec![(outcome, is_done); call.packets.len()];
        self.exchange.call_completed(
            &call,
            CallResult { outcomes, head: None, attribution, dispatch: Some(dispatch) },
        );
        Some(call)
    }

    /// Completes the call as delivered, in doubt, and resolves the doubt by this status.
    fn refute_delivery(&mut self, status: u16) -> Option<Call> {
        let call = self.complete(Outcome::Done, Attribution::InDoubt)?;
        let candidates = Candidates { call: SentCall::of(&call), responses: vec![response(status)] };
        self.exchange.resolve(vec![candidates]);
        Some(call)
    }

    fn kill(&mut self) {
        self.in_flight = None;
        self.check_restored();
        self.writes_fail = false;
        self.exchange = start(self.config, &self.files);
    }

    /// Compares what the next process restores with what happened to each packet.
    fn check_restored(&self) {
        for (number, state) in self.restored() {
            let sendings = || self.sendings.iter().filter(|sending| sending.packet == number);
            let known = sendings().find(|sending| sending.may_have_executed).map(|sending| sending.sent_at);
            let restored = state.possibly_executed_at.or(state.in_flight_since);
            let says_enough = match (known, restored) {
                (None, restored) => self.failed_once || restored.is_none(),
                (Some(known), Some(restored)) => {
                    restored == known || (self.failed_once && restored.unix <= known.unix)
                }
                (Some(_), None) => false,
            };
            assert!(says_enough, "packet {}: restored {state:?}, executed from {known:?} on", number.0);
            let dispatches = sendings().count() as u32;
            let counts_agree =
                state.dispatches == dispatches || (self.failed_once && state.dispatches > dispatches);
            assert!(counts_agree, "packet {}: restored {state:?}, {dispatches} dispatches", number.0);
        }
    }

    /// Performs a step; returns false if it is not possible here.
    async fn perform(&mut self, step: Step) -> bool {
        let kill_in_this_write = std::mem::take(&mut self.kill_in_next_write);
        let done = match step {
            Step::Send if self.in_flight.is_none() => match self.next_call().await {
                None => false,
                Some(call) => {
                    match self.permit(&call) {
                        Some(dispatch) => self.in_flight = Some((call, dispatch)),
                        None => self.not_sent(&call, Outcome::Unsent, None),
                    }
                    true
                }
            },
            Step::Refused => match self.complete(Outcome::Full(None), Attribution::Certain) {
                Some(call) => {
                    self.mark_not_executed(&call, false);
                    true
                }
                None => false,
            },
            Step::TimedOut => self.complete(Outcome::TimedOut, Attribution::First).is_some(),
            Step::RefusedInDoubt => self.complete(Outcome::Full(None), Attribution::InDoubt).is_some(),
            Step::DeliveryRefuted => match self.refute_delivery(503) {
                Some(call) => {
                    self.mark_not_executed(&call, false);
                    true
                }
                None => false,
            },
            Step::DeliveryFailed => self.refute_delivery(500).is_some(),
            Step::NotConnected if self.in_flight.is_none() => match self.next_call().await {
                None => false,
                Some(call) => {
                    self.not_sent(&call, Outcome::NoConnection, None);
                    true
                }
            },
            Step::NotSent if self.in_flight.is_none() => match self.next_call().await {
                None => false,
                Some(call) => {
                    if let Some(dispatch) = self.permit(&call) {
                        self.not_sent(&call, Outcome::Unsent, Some(dispatch));
                        self.mark_not_executed(&call, true);
                    } else {
                        self.not_sent(&call, Outcome::Unsent, None);
                    }
                    true
                }
            },
            Step::Kill => {
                self.kill();
                true
            }
            Step::KillAndCompact => {
                self.in_flight = None;
                self.check_restored();
                self.files.restart();
                let (mut store, _) = Store::open(self.files.clone(), OPTIONS).expect("the store opens");
                (0..8)
                    .for_each(|_| _ = store.compact(OPTIONS.capacity_bytes).expect("the store is compacted"));
                drop(store);
                self.kill();
                true
            }
            Step::FailWrites if !self.writes_fail => {
                let next = self.files.call_count() + 1;
                self.files.fail_calls(next..next + FAILING_CALLS, 0.5);
                (self.writes_fail, self.failed_once) = (true, true);
                true
            }
            Step::RepairWrites if self.writes_fail => {
                self.files.clear_failures();
                self.writes_fail = false;
                self.exchange.decide();
                true
            }
            Step::KillInNextWrite if !kill_in_this_write && !self.writes_fail => {
                self.files.crash_at(self.files.call_count() + 1, 0.5);
                (self.kill_in_next_write, self.failed_once) = (true, true);
                true
            }
            _ => false,
        };
        if kill_in_this_write && done {
            self.kill();
        }
        done
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime starts")
}

/// Plays a sequence and a kill behind it. Returns false if a step of it is not possible.
fn play(setup: Setup, config: &SenderConfig, steps: &[Step]) -> bool {
    runtime().block_on(async {
        let mut rig = Rig::new(setup, config);
        for step in steps {
            if !rig.perform(*step).await {
                return false;
            }
        }
        rig.kill();
        true
    })
}

fn play_all(setup: Setup, config: &SenderConfig, steps: &mut Vec<Step>, left: usize) -> usize {
    let mut played = 0;
    for step in STEPS {
        steps.push(step);
        let outcome = std::panic::catch_unwind(|| play(setup, config, steps));
        let possible = outcome.unwrap_or_else(|_| panic!("{setup:?}: {steps:?}"));
        played += usize::from(possible);
        if possible && left > 1 {
            played += play_all(setup, config, steps, left - 1);
        }
        steps.pop();
    }
    played
}

/// Runs `play` for each repeat setting and batch, each on a thread of its own.
fn for_each_setup(play: impl Fn(Setup, &SenderConfig) + Sync) {
    let play = &play;
    std::thread::scope(|scope| {
        for repeat in ["dedup", "fragile", "retryable"] {
            for batch in [1, 2] {
                let setup = Setup { repeat, batch };
                scope.spawn(move || play(setup, &sender_config(setup)));
            }
        }
    });
}

// Guards against a restart that restores less than the process before it knew of a packet's calls.
#[test]
fn no_short_sequence_of_calls_and_kills_forgets_a_call_that_may_have_executed() {
    for_each_setup(|setup, config| {
        let played = play_all(setup, config, &mut Vec::new(), 3);
        assert!(played > 200, "{setup:?}: {played} sequences");
    });
}

// Guards against the same in longer sequences, with many restarts.
#[test]
fn no_long_sequence_of_calls_and_kills_forgets_a_call_that_may_have_executed() {
    for_each_setup(|setup, config| {
        for seed in 0..LONG_SEQUENCES {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            runtime().block_on(async {
                let mut rig = Rig::new(setup, config);
                for _ in 0..LONG_SEQUENCE_STEPS {
                    let step = STEPS[rng.random_range(0..STEPS.len())];
                    rig.perform(step).await;
                }
                rig.kill();
            });
        }
    });
}
