//! Which troubles stand at an endpoint at a time. Several may, and each has its effect.

use std::time::Duration;

use sailcart::EndpointId;

use crate::experiment::{Spoil, TroubleKind};
use crate::plan::{Plan, Standing, Struck};

/// What all troubles that stand at an endpoint at a time do together. Shares are from 0 to 1, of calls or, where
/// they concern a part of one, of its packets.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// It refuses connections.
    pub down: bool,
    /// Connections to it neither stand nor fail.
    pub black_hole: bool,
    /// It takes calls and never answers.
    pub silent: bool,
    /// All is turned away until then; the share of refusals that tell it.
    pub shut: Option<(Duration, f64)>,
    /// The share of calls answered with an error.
    pub errors: f64,
    /// How many times its usual time a call takes.
    pub slow: f64,
    /// What is left of its limit.
    pub limit: f64,
    /// The share of calls whose answer is lost.
    pub answer_lost: f64,
    /// The share of calls whose connection breaks before their last byte.
    pub reset_before: f64,
    /// The share of calls whose connection breaks in place of an answer.
    pub reset_after: f64,
    /// The share of answers that cannot be read, and in which way.
    pub spoilt: Option<(f64, Spoil)>,
    /// The share of packets, in calls with several, that are not accepted.
    pub partial: f64,
    /// The wait that an answer for several packets tells.
    pub wait: Duration,
    /// It takes leave of the list.
    pub drains: bool,
    /// From when on one that drains turns calls away.
    pub drained: Duration,
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
            spoilt: None,
            partial: 0.0,
            wait: Duration::from_millis(500),
            drains: false,
            drained: Duration::MAX,
        }
    }
}

/// All troubles of a plan's endpoints, with their times.
pub struct TroubleSchedule {
    /// By endpoint.
    struck: Vec<Vec<Struck>>,
}

/// Errors for most calls count as an outage.
const MOST: f64 = 0.5;

impl TroubleSchedule {
    /// The troubles of a plan's endpoints.
    pub fn new(plan: &Plan) -> Self {
        let mut struck = vec![Vec::new(); plan.places.len()];
        for one in &plan.struck {
            let light = Struck { endpoints: Vec::new(), senders: Vec::new(), ..one.clone() };
            for endpoint in &one.endpoints {
                struck[endpoint.0 as usize].push(light.clone());
            }
        }
        // What takes a place at the old address has the old one's troubles, but for its drain.
        for place in plan.places.iter().filter(|place| place.address != place.endpoint) {
            let inherited = struck[place.address.0 as usize].clone();
            let drains = |s: &Struck| matches!(s.trouble.kind, TroubleKind::Drain | TroubleKind::Replace);
            struck[place.endpoint.0 as usize] = inherited.into_iter().filter(|s| !drains(s)).collect();
        }
        debug_assert!(plan.changes.iter().all(|c| c.standing != Standing::Gone || c.at > Duration::ZERO));
        TroubleSchedule { struck }
    }

    /// What stands at an endpoint at a time.
    pub fn at(&self, now: Duration, endpoint: EndpointId) -> Conditions {
        use TroubleKind::*;
        let mut here = Conditions::default();
        for struck in self.struck[endpoint.0 as usize].iter().filter(|struck| struck.stands(now)) {
            let share = struck.trouble.share.unwrap_or(1.0);
            let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
            match struck.trouble.kind {
                Refuse => here.down = true,
                BlackHole => here.black_hole = true,
                Silent => here.silent = true,
                Shut => here.shut = Some((struck.until, struck.trouble.tells.unwrap_or(0.5))),
                Errors => here.errors = either(here.errors, share),
                Slow => here.slow *= struck.trouble.factor.unwrap_or(10.0),
                Lower => here.limit *= share,
                AnswerLost => here.answer_lost = either(here.answer_lost, share),
                ResetBefore => here.reset_before = either(here.reset_before, share),
                ResetAfter => here.reset_after = either(here.reset_after, share),
                Spoilt => here.spoilt = Some((share, struck.trouble.manner.unwrap_or(Spoil::Noise))),
                Partial => here.partial = either(here.partial, share),
                Drain | Replace => {
                    here.drains = true;
                    here.drained = here.drained.min(struck.from + (struck.until - struck.from) / 2);
                }
                Hot | ListSilent | Kill | Roll | Reload | BadClients => {}
            }
        }
        here
    }

    /// When it next stops working with calls at work.
    pub fn next_down(&self, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let refuse = |s: &&Struck| s.trouble.kind == TroubleKind::Refuse && s.from > now;
        self.struck[endpoint.0 as usize].iter().filter(refuse).map(|s| s.from).min()
    }

    /// When a trouble next begins or ends at an endpoint.
    pub fn next_change(&self, now: Duration, endpoint: EndpointId) -> Option<Duration> {
        let times = self.struck[endpoint.0 as usize].iter().flat_map(|struck| [struck.from, struck.until]);
        times.filter(|at| *at > now).min()
    }

    /// The times in which it is down, silent, shut or fails most calls.
    pub fn outages(&self, endpoint: EndpointId) -> Vec<(Duration, Duration)> {
        use TroubleKind::*;
        let out = |s: &&Struck| match s.trouble.kind {
            Refuse | BlackHole | Silent | Shut => true,
            Errors | AnswerLost | ResetAfter | ResetBefore => s.trouble.share.unwrap_or(1.0) > MOST,
            _ => false,
        };
        self.struck[endpoint.0 as usize].iter().filter(out).map(|s| (s.from, s.until)).collect()
    }
}
