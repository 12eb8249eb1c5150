//! The troubles that are active at an endpoint at a given time. Several may be active at once; their effects
//! combine.

use std::time::Duration;

use sailcart::EndpointId;

use crate::experiment::{MalformedAnswer, TroubleKind};
use crate::plan::{ListState, Plan, ScheduledTrouble};

/// The combined effect of all troubles that are active at an endpoint. Shares are from 0 to 1, of calls or,
/// where they concern parts of a call, of its packets.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// The endpoint refuses connections.
    pub down: bool,
    /// Connection attempts are neither accepted nor refused.
    pub black_hole: bool,
    /// Calls are accepted and never answered.
    pub silent: bool,
    /// All calls are rejected until this time; the share of rejections that report the remaining time.
    pub shut: Option<(Duration, f64)>,
    /// Share of calls answered with an error.
    pub errors: f64,
    /// Factor on the service time.
    pub slow: f64,
    /// Share of the usual limit that remains.
    pub limit: f64,
    /// Share of calls whose answer is lost.
    pub answer_lost: f64,
    /// Share of calls whose connection breaks before their last byte.
    pub reset_before: f64,
    /// Share of calls whose connection breaks instead of an answer.
    pub reset_after: f64,
    /// Share of answers that are malformed, and in which way.
    pub malformed: Option<(f64, MalformedAnswer)>,
    /// Share of packets that are not accepted, in calls with several packets.
    pub partial: f64,
    /// The wait that an answer for several packets requests.
    pub retry_after: Duration,
    /// The endpoint is draining.
    pub is_draining: bool,
    /// Time from which a draining endpoint rejects calls.
    pub rejects_calls_from: Duration,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            down: false,
            black_hole: false,
            silent: false,
            shut: None,
            errors: 0.0,
            slow: 1.0,
            limit: 1.0,
            answer_lost: 0.0,
            reset_before: 0.0,
            reset_after: 0.0,
            malformed: None,
            partial: 0.0,
            retry_after: Duration::from_millis(500),
            is_draining: false,
            rejects_calls_from: Duration::MAX,
        }
    }
}

/// The troubles of all endpoints of a plan, with their times.
pub struct TroubleSchedule {
    /// Indexed by endpoint.
    troubles: Vec<Vec<ScheduledTrouble>>,
}

/// A share of failing calls above this counts as an outage.
const OUTAGE_SHARE: f64 = 0.5;

impl TroubleSchedule {
    /// Assigns the troubles of a plan to its endpoints.
    pub fn new(plan: &Plan) -> Self {
        let mut troubles = vec![Vec::new(); plan.endpoints.len()];
        for scheduled in &plan.scheduled_troubles {
            let without_targets =
                ScheduledTrouble { endpoints: Vec::new(), senders: Vec::new(), ..scheduled.clone() };
            for endpoint in &scheduled.endpoints {
                troubles[endpoint.0 as usize].push(without_targets.clone());
            }
        }
        // A replacement at the address of another endpoint inherits its troubles, except for its drain.
        for planned_endpoint in plan
            .endpoints
            .iter()
            .filter(|planned_endpoint| planned_endpoint.address_owner != planned_endpoint.endpoint)
        {
            let inherited = troubles[planned_endpoint.address_owner.0 as usize].clone();
            let is_drain =
                |s: &ScheduledTrouble| matches!(s.trouble.kind, TroubleKind::Drain | TroubleKind::Replace);
            troubles[planned_endpoint.endpoint.0 as usize] =
                inherited.into_iter().filter(|s| !is_drain(s)).collect();
        }
        debug_assert!(
            plan.list_changes.iter().all(|c| c.state != ListState::Removed || c.at > Duration::ZERO)
        );
        TroubleSchedule { troubles }
    }

    /// The conditions at an endpoint at a given time.
    pub fn at(&self, now: Duration, endpoint: EndpointId) -> Conditions {
        use TroubleKind::*;
        let mut conditions = Conditions::default();
        for scheduled in
            self.troubles[endpoint.0 as usize].iter().filter(|scheduled| scheduled.is_active(now))
        {
            let share = scheduled.trouble.share.unwrap_or(1.0);
            let combine = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
            match scheduled.trouble.kind {
                Refuse => conditions.down = true,
                BlackHole => conditions.black_hole = true,
                Silent => conditions.silent = true,
                Shut => conditions.shut = Some((scheduled.until, scheduled.trouble.tells.unwrap_or(0.5))),
                Errors => conditions.errors = combine(conditions.errors, share),
                Slow => conditions.slow *= scheduled.trouble.factor.unwrap_or(10.0),
                Lower => conditions.limit *= share,
                AnswerLost => conditions.answer_lost = combine(conditions.answer_lost, share),
                ResetBefore => conditions.reset_before = combine(conditions.reset_before, share),
                ResetAfter => conditions.reset_after = combine(conditions.reset_after, share),
                Spoilt => {
                    conditions.malformed =
                        Some((share, scheduled.trouble.manner.unwrap_or(MalformedAnswer::Noise)))
                }
                Partial => conditions.partial = combine(conditions.partial, share),
                Drain | Replace => {
                    conditions.is_draining = true;
                    conditions.rejects_calls_from = conditions
                        .rejects_calls_from
                        .min(scheduled.from + (scheduled.until - scheduled.from) / 2);
                }
                Hot | ListSilent | Kill | Roll | Reload | BadClients => {}
            }
        }
        conditions
    }

    /// When the endpoint next starts to refuse connections, which breaks the calls in progress.
    pub fn next_refusal(&self, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let future_refusal = |s: &&ScheduledTrouble| s.trouble.kind == TroubleKind::Refuse && s.from > now;
        self.troubles[endpoint.0 as usize].iter().filter(future_refusal).map(|s| s.from).min()
    }

    /// When a trouble next begins or ends at the endpoint.
    pub fn next_change(&self, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let times =
            self.troubles[endpoint.0 as usize].iter().flat_map(|scheduled| [scheduled.from, scheduled.until]);
        times.filter(|at| *at > now).min()
    }

    /// The times at which the endpoint refuses connections, does not answer, rejects all calls or fails most
    /// of them.
    pub fn outages(&self, endpoint: EndpointId) -> Vec<(Duration, Duration)> {
        use TroubleKind::*;
        let is_outage = |s: &&ScheduledTrouble| match s.trouble.kind {
            Refuse | BlackHole | Silent | Shut => true,
            Errors | AnswerLost | ResetAfter | ResetBefore => s.trouble.share.unwrap_or(1.0) > OUTAGE_SHARE,
            _ => false,
        };
        self.troubles[endpoint.0 as usize].iter().filter(is_outage).map(|s| (s.from, s.until)).collect()
    }
}
