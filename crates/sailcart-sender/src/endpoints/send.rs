//! One call on a connection: writes the request, reads the response, and decides with the connection's
//! matcher whether the response belongs to the call.

use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::Outcome;
use sailcart::response_matching::Attribution;
use tokio::io::AsyncWriteExt;

use super::log_lines::{PacketIds, ResponseSummary, log_code};
use super::same_for_all;
use super::settle::record_extra_response;
use crate::deadline::until;
use crate::endpoint_connection::{EndpointConnection, RESPONSE_READ_TIMEOUT};
use crate::exchange::invariants::Permit;
use crate::outgoing::{Call, CallOwner, ReceivedResponse, SentCall};
use crate::response::{self, Response};
use crate::wire::MAX_BODY_BYTES;
use crate::wire::call::{self, CallPacket, PacketOutcome};
use crate::wire::http::Head;

/// Number of responses that a call skips at most because they belong to an earlier call.
const MAX_SKIPPED_RESPONSES: usize = 4;

/// What became of a connection with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// It must be closed, for the reason in the log.
    Close(&'static str),
    /// It can carry another call, as far as this call's response tells.
    Reusable,
}

/// What came of a call that was sent.
pub(super) struct SentResult {
    pub(super) outcomes: Vec<PacketOutcome>,
    pub(super) head: Option<Head>,
    pub(super) attribution: Attribution,
    pub(super) ending: Ending,
    /// Earlier calls on the connection whose deliveries the response confirms.
    pub(super) confirmed: Vec<Rc<SentCall>>,
}

impl SentResult {
    /// Whether the response is in doubt, reports anything but the completion of all packets, and the response
    /// that it may have displaced can still arrive.
    pub(super) fn is_undecided(&self) -> bool {
        self.attribution == Attribution::InDoubt
            && self.ending == Ending::Reusable
            && !self.outcomes.iter().all(is_completion)
    }
}

/// Sends a call and reads its response.
pub(super) async fn send(
    call: &Call,
    connection: &mut EndpointConnection,
    _permit: Permit,
    owner: &Rc<impl CallOwner>,
) -> SentResult {
    let deadline = call.started_at + call.timeout;
    let budget = deadline.saturating_duration_since(Instant::now());
    let call_packets: Vec<CallPacket> = call.packets.iter().map(|packet| CallPacket::of(packet)).collect();
    let request = call::write(&call.address.to_string(), &call_packets, budget);
    let (mut written, mut response) = (false, Response::default());
    log::debug!("{}: written on {connection}", PacketIds(call));
    let sent_call = SentCall::of(call);
    connection.begin_call(sent_call.clone());
    let result = tokio::select! {
        result = until(
            deadline.into(),
            round_trip(call, connection, &request, &mut written, &mut response, owner)
        ) => {
            result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        }
        () = call.cancelled.notified() => Err(io::ErrorKind::Interrupted.into()),
    };
    log::debug!("{}: read on {connection}: {}", PacketIds(call), ResponseSummary(&response, call));
    let ending = match &result {
        // A connection on which part of the request was not written cannot be reused.
        Ok(()) if written && response.leaves_open() => Ending::Reusable,
        Ok(()) => Ending::Close("answer_closes"),
        Err(error) => Ending::Close(log_code(error)),
    };
    let (head, fingerprint) = (response.head.clone(), response.fingerprint);
    let received = ReceivedResponse::of(response);
    let to_keep = received.to_keep(call.packets.len() > 1);
    let attribution = if received.status.is_some() {
        connection.matcher.response_received(connection.age(), fingerprint, to_keep)
    } else {
        Attribution::First
    };
    let attribution = if connection.calls == 1 { Attribution::First } else { attribution };
    // An error in a head that was received completely makes the response malformed.
    let usable = result.is_ok() || call::proves_delivery(received.status, call.packets.len());
    let outcomes = received.outcomes(&call.packet_ids()).filter(|_| usable);
    let outcomes = outcomes.unwrap_or_else(|| {
        let outcome = match &result {
            Err(error) => outcome_of_failure(written || received.status.is_some(), error),
            Ok(()) => Outcome::Reset,
        };
        same_for_all(call, outcome)
    });
    let confirmed = record_delivery(connection, &sent_call, &outcomes, attribution);
    let sent = SentResult { outcomes, head, attribution, ending, confirmed };
    if !sent.is_undecided() || !owner.must_settle_before_reuse() {
        return sent;
    }
    tokio::select! {
        sent = await_displaced_response(call, connection, &sent_call, sent, owner) => sent,
        () = call.cancelled.notified() => SentResult {
            outcomes: same_for_all(call, Outcome::Cancelled),
            head: None,
            attribution: Attribution::First,
            ending: Ending::Close("called_off"),
            confirmed: Vec::new(),
        },
    }
}

/// Records on the connection whether a call's packet was delivered. Returns the earlier calls whose deliveries
/// this confirms. A response to several packets confirms nothing: it names them.
fn record_delivery(
    connection: &mut EndpointConnection,
    call: &Rc<SentCall>,
    outcomes: &[PacketOutcome],
    attribution: Attribution,
) -> Vec<Rc<SentCall>> {
    match outcomes {
        [outcome] if is_completion(outcome) => {
            connection.matcher.delivery_reported(call.clone(), attribution)
        }
        _ => {
            connection.matcher.refusal_reported();
            Vec::new()
        }
    }
}

/// Whether a packet needs no further dispatch.
fn is_completion((outcome, completed): &PacketOutcome) -> bool {
    *completed || *outcome == Outcome::Done
}

/// Waits for the response that a copy of an earlier one may have displaced. If nothing more is received within
/// the settle time, the call stays in doubt.
async fn await_displaced_response(
    call: &Call,
    connection: &mut EndpointConnection,
    sent_call: &Rc<SentCall>,
    sent: SentResult,
    owner: &Rc<impl CallOwner>,
) -> SentResult {
    let received_at = Instant::now();
    if let Some(wait) = sent.head.as_ref().and_then(|head| head.retry_after) {
        owner.wait_requested(call.endpoint, wait);
    }
    let settled_at = (received_at + owner.settle_time()).min(call.started_at + call.timeout);
    loop {
        let mut response = Response::default();
        match until(settled_at.into(), connection.read_response(MAX_BODY_BYTES, &mut response)).await {
            Err(_) => {
                let outcomes = remaining_waits(&sent.outcomes, received_at.elapsed());
                return SentResult { outcomes, ending: Ending::Close("in_doubt"), ..sent };
            }
            Ok(Err(error)) => return SentResult { ending: Ending::Close(log_code(&error)), ..sent },
            Ok(Ok(())) => {}
        }
        log::debug!("{}: read on {connection}: {}", PacketIds(call), ResponseSummary(&response, call));
        let (head, leaves_open) = (response.head.clone(), response.leaves_open());
        let calls = record_extra_response(call.endpoint, connection, response, owner);
        let own = calls.iter().find(|candidates| Rc::ptr_eq(&candidates.call, sent_call));
        let resolved = own.and_then(|own| match &*own.responses {
            [response] => Some(sent_call.outcomes(response)),
            _ => None,
        });
        owner.resolve(calls);
        if let Some(outcomes) = resolved {
            let ending = if leaves_open { Ending::Reusable } else { Ending::Close("answer_closes") };
            return SentResult { outcomes, head, attribution: Attribution::Certain, ending, ..sent };
        }
    }
}

/// The outcomes of a response that was received some time ago: their waits count from then.
fn remaining_waits(outcomes: &[PacketOutcome], elapsed: Duration) -> Vec<PacketOutcome> {
    let remaining = |outcome: Outcome| match outcome {
        Outcome::Full(Some(wait)) => {
            Outcome::Full(Some(wait.saturating_sub(elapsed)).filter(|left| !left.is_zero()))
        }
        other => other,
    };
    outcomes.iter().map(|(outcome, completed)| (remaining(*outcome), *completed)).collect()
}

/// Writes a request and reads its response; nothing is sent again. A response may arrive before the request
/// is written completely; the rest of the request is then not written. An endpoint may also have responded
/// before it closes with unread input, so a failed write does not end the call.
async fn round_trip(
    call: &Call,
    connection: &mut EndpointConnection,
    request: &[u8],
    written: &mut bool,
    response: &mut Response,
    owner: &Rc<impl CallOwner>,
) -> io::Result<()> {
    {
        let (mut reader, mut writer) = connection.socket.split();
        let mut reading = pin!(response::read_collected(
            &mut reader,
            &mut connection.buffer,
            MAX_BODY_BYTES,
            RESPONSE_READ_TIMEOUT,
            response
        ));
        *written = tokio::select! {
            biased;
            sent = writer.write_all(request) => sent.is_ok(),
            early = &mut reading => return early,
        };
        reading.await?;
    }
    for _ in 0..MAX_SKIPPED_RESPONSES {
        if !is_response_to_earlier_call(call, connection, response) {
            break;
        }
        log::debug!("{}: skipped on {connection}: {}", PacketIds(call), ResponseSummary(response, call));
        owner.extra_response_received(call.endpoint, response.head.as_ref());
        *response = Response::default();
        connection.read_response(MAX_BODY_BYTES, response).await?;
    }
    Ok(())
}

/// Whether a response lists the packets of an earlier call with several packets: it equals an earlier response
/// and names no packet of this call.
fn is_response_to_earlier_call(call: &Call, connection: &EndpointConnection, response: &Response) -> bool {
    call.packets.len() > 1
        && response.status == Some(200)
        && connection.matcher.is_repeated(response.fingerprint)
        && !call::names_any(&response.body, &call.packet_ids())
}

/// Returns the outcome of a call without a complete response. The call was not executed unless it `began`:
/// its last byte was written, or a response to it began.
fn outcome_of_failure(began: bool, error: &io::Error) -> Outcome {
    match error.kind() {
        _ if !began => Outcome::NoConnection,
        io::ErrorKind::TimedOut => Outcome::TimedOut,
        io::ErrorKind::Interrupted => Outcome::Cancelled,
        io::ErrorKind::InvalidData => Outcome::Error, // a malformed response: the call may have been executed
        _ => Outcome::Reset,
    }
}
