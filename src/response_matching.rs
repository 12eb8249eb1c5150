//! Matches the responses on a connection to the calls sent on it.
//!
//! HTTP/1.1 matches them by their order alone, so a response that a peer writes twice is read as the response
//! to the next call. Three facts narrow down which response belongs to which call:
//! - The first response on a connection belongs to the first call.
//! - A response that differs from all earlier ones on its connection is no copy of one of them.
//! - Responses have the order of their calls, one call at a time.
//!
//! A response that equals an earlier one may be a copy, and so its call is *in doubt* until a later response
//! shows whether it was. Doubt never ends by time: the response that a copy displaced may come late or never.
//! Once it is no longer awaited, its call is *forgotten*, and all later responses on the connection are in doubt.
//!
//! A delivery in doubt is confirmed by the deliveries that are reported after it on its connection: if so many
//! follow as there may be copies that went unnoticed, one of them is the response to its call.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of different responses that are remembered for each connection: the most recent ones. A copy of an
/// older one is not recognized.
const MAX_REMEMBERED_RESPONSES: usize = 256;
/// Number of calls in doubt that are remembered for each connection; the oldest are forgotten first.
const MAX_CALLS_IN_DOUBT: usize = 8;

/// Number of copies on one connection that may go unnoticed, each read as the response to a later call, before a
/// response that no call is waiting for reveals them.
const MAX_UNNOTICED_COPIES: usize = 2;

/// Whether a response is known to belong to its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// There was no earlier response on the connection with which it could be confused, or there is none to the
    /// call.
    First,
    /// It is the response to its call, as it differs from all earlier ones.
    Certain,
    /// It may be a copy of an earlier response, or the response to an earlier call.
    InDoubt,
}

/// A response whose call may be in doubt.
#[derive(Clone, Debug)]
struct OpenResponse<Response> {
    response: Response,
    may_be_copy: bool,
    received_at: Duration,
}

/// A call in doubt, with the responses that may belong to it, in the order in which they were received. A
/// single one belongs to it for certain.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidates<Call, Response> {
    pub call: Call,
    pub responses: Vec<Response>,
}

/// Matches the responses on one connection to its calls. Times are those of the caller's monotonic clock.
#[derive(Clone, Debug)]
pub struct ResponseMatcher<Call, Response> {
    /// Fingerprints of the most recent different responses, oldest first.
    fingerprints: VecDeque<u64>,
    /// The calls since the last one that was matched for certain, oldest first.
    open_calls: VecDeque<Call>,
    /// The responses since then.
    open_responses: VecDeque<OpenResponse<Response>>,
    /// Calls in doubt were forgotten: the response to one of them may still come.
    has_forgotten: bool,
    /// Deliveries in doubt that later deliveries may confirm, oldest first.
    unconfirmed: VecDeque<UnconfirmedDelivery<Call>>,
    /// A response reported something other than a delivery.
    has_refused: bool,
}

/// A delivery in doubt.
#[derive(Clone, Debug)]
struct UnconfirmedDelivery<Call> {
    call: Call,
    /// Number of deliveries reported after it.
    later_deliveries: usize,
}

impl<Call, Response> Default for ResponseMatcher<Call, Response> {
    fn default() -> Self {
        ResponseMatcher {
            fingerprints: VecDeque::new(),
            open_calls: VecDeque::new(),
            open_responses: VecDeque::new(),
            has_forgotten: false,
            unconfirmed: VecDeque::new(),
            has_refused: false,
        }
    }
}

impl<Call: Clone, Response: Clone> ResponseMatcher<Call, Response> {
    /// Records that a call is sent. No other call may be in flight on the connection.
    pub fn call_sent(&mut self, call: Call) {
        while self.open_calls.len() >= MAX_CALLS_IN_DOUBT {
            self.forget_oldest();
        }
        self.open_calls.push_back(call);
    }

    /// Records a response that was received while a call was in flight, and returns whether it belongs to
    /// that call. `fingerprint` is equal for equal responses, and `None` for an incomplete one.
    pub fn response_received(
        &mut self,
        now: Duration,
        fingerprint: Option<u64>,
        response: Response,
    ) -> Attribution {
        self.record(now, fingerprint, response);
        if !self.all_copies_known() {
            return Attribution::InDoubt;
        }
        self.open_calls.clear();
        self.open_responses.clear();
        Attribution::Certain
    }

    /// Records a response that was received while no call was in flight: at least one response was written
    /// twice. Returns the calls in doubt with the responses that may belong to each.
    pub fn extra_response_received(
        &mut self,
        now: Duration,
        fingerprint: Option<u64>,
        response: Response,
    ) -> Vec<Candidates<Call, Response>> {
        self.record(now, fingerprint, response);
        self.unconfirmed.clear();
        if !self.all_copies_known() {
            let mut candidates = self.candidates();
            // The response to the last call may still come if an earlier one is late.
            candidates.retain(|candidates| !self.has_forgotten || candidates.responses.len() > 1);
            return candidates;
        }
        let responses = self.open_responses.drain(..).filter(|open| !open.may_be_copy);
        let pairs = self.open_calls.drain(..).zip(responses);
        pairs.map(|(call, open)| Candidates { call, responses: vec![open.response] }).collect()
    }

    /// Records that the last response reported the delivery of its call, and returns the calls whose deliveries
    /// this confirms.
    pub fn delivery_reported(&mut self, call: Call, attribution: Attribution) -> Vec<Call> {
        self.unconfirmed.iter_mut().for_each(|delivery| delivery.later_deliveries += 1);
        let is_confirmed =
            |delivery: &UnconfirmedDelivery<Call>| delivery.later_deliveries >= MAX_UNNOTICED_COPIES;
        let mut confirmed = Vec::new();
        while self.unconfirmed.front().is_some_and(is_confirmed) {
            confirmed.extend(self.unconfirmed.pop_front().map(|delivery| delivery.call));
        }
        if attribution == Attribution::InDoubt {
            self.unconfirmed.push_back(UnconfirmedDelivery { call, later_deliveries: 0 });
        }
        confirmed
    }

    /// Records that the last response reported something other than the delivery of its call. It may belong to an
    /// earlier call whose delivery is in doubt.
    pub fn refusal_reported(&mut self) {
        self.has_refused = true;
        self.unconfirmed.clear();
    }

    /// Whether a response equals an earlier one on this connection.
    pub fn is_repeated(&self, fingerprint: Option<u64>) -> bool {
        match fingerprint {
            Some(fingerprint) => self.fingerprints.contains(&fingerprint),
            // An incomplete response may be the beginning of any earlier one.
            None => !self.fingerprints.is_empty(),
        }
    }

    /// Whether a response is still awaited that may belong to an answered call.
    pub fn awaits_response(&self) -> bool {
        !self.open_responses.is_empty()
    }

    /// Whether any answered call is in doubt or was when it was forgotten.
    pub fn has_doubt(&self) -> bool {
        self.awaits_response() || self.has_forgotten
    }

    /// Whether the next response is certain to belong to its call if it reports anything but a delivery.
    pub fn next_refusal_is_certain(&self) -> bool {
        !self.has_doubt() && !self.has_refused
    }

    /// Forgets the calls in doubt whose response was received at least `settle_time` ago.
    pub fn settle(&mut self, now: Duration, settle_time: Duration) {
        let is_settled = |open: &OpenResponse<Response>| open.received_at.saturating_add(settle_time) <= now;
        while self.open_responses.front().is_some_and(is_settled) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        self.has_forgotten = true;
        self.open_calls.pop_front();
        self.open_responses.pop_front();
    }

    fn record(&mut self, now: Duration, fingerprint: Option<u64>, response: Response) {
        let may_be_copy = self.is_repeated(fingerprint);
        if let Some(fingerprint) = fingerprint.filter(|_| !may_be_copy) {
            if self.fingerprints.len() >= MAX_REMEMBERED_RESPONSES {
                self.fingerprints.pop_front();
            }
            self.fingerprints.push_back(fingerprint);
        }
        self.open_responses.push_back(OpenResponse { response, may_be_copy, received_at: now });
    }

    /// Whether the responses that cannot be copies are as many as the calls: then each call has its response,
    /// and all possible copies are copies.
    fn all_copies_known(&self) -> bool {
        !self.has_forgotten
            && self.open_responses.iter().filter(|open| !open.may_be_copy).count() == self.open_calls.len()
    }

    /// Each call with the responses that may belong to it: its own in order, or as many later as there may be
    /// copies.
    fn candidates(&self) -> Vec<Candidates<Call, Response>> {
        let max_copies = self.open_responses.iter().filter(|open| open.may_be_copy).count();
        let with_responses = |(index, call): (usize, &Call)| {
            let possible = self.open_responses.iter().skip(index).take(max_copies + 1);
            Candidates { call: call.clone(), responses: possible.map(|open| open.response.clone()).collect() }
        };
        self.open_calls.iter().enumerate().map(with_responses).collect()
    }
}
