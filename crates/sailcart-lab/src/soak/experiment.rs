//! The day that a soak's troubles strike: all three effects of a repeat, order by key, calls of several packets, limits that tell waits.

use std::time::Duration;

use super::kinds::SoakKind;
use super::schedule::Planned;
use crate::experiment::{Experiment, Rules, Trouble, TroubleKind, read_text};

/// What a change is told after at the latest, and the grace of a drain behind that: links to discovery are cut in a soak.
const DRAIN_GRACE: Duration = Duration::from_secs(8);

/// The day without its troubles.
const DAY: &str = r#"
name = "soak"
about = "Troubles of peers, processes, machines and links that overlap."
mode = "sockets"
span = "16s"

[senders]
count = 24
slots = 8
hold = 60
retry_after = "1s"
rates_listed = true

[[categories]]
name = "notice"
repeat = "deduplicated"
memory = "5s"
soft_limit = "2s"
patience = "9s"
late_share = 0.5
share = 0.4

[[categories]]
name = "status"
repeat = "idempotent"
soft_limit = "2s"
patience = "8s"
share = 0.2

[[categories]]
name = "order"
repeat = "unrepeatable"
in_order = true
soft_limit = "2s"
patience = "8s"
late_share = 0.4
share = 0.4

[[kinds]]
name = "plain"

[[kinds]]
name = "large"
batch = 4

[[destinations]]
name = "large"
kind = "large"
count = 3
endpoints = 3
pace = "60ms"
pace_spread = 0.3
servers = 32
queue = 64
weight = 0.5

[[destinations]]
name = "small"
kind = "plain"
count = 10
endpoints = 2
pace = "80ms"
pace_spread = 0.4
servers = 16
queue = 32
weight = 0.4

[[destinations]]
name = "limited"
kind = "plain"
count = 2
pace = "60ms"
servers = 16
limit = { by = "rate", rate = 6.0, tells = 0.8 }
weight = 0.1

[load]
rate = 90.0
zipf = 0.5
clumped = 0.05
clump = 8
"#;

/// The day with those troubles of a schedule that peers and senders' lives make.
pub fn of(schedule: &[Planned], senders: usize, span: Duration, rate: f64) -> Experiment {
    let mut experiment = match read_text(DAY, &[]) {
        Ok(experiment) => experiment,
        Err(fault) => unreachable!("the soak's own day: {}", fault.0),
    };
    experiment.senders.count = senders;
    experiment.span = span;
    experiment.load.rate = rate;
    experiment.rules = Rules { drain_grace: DRAIN_GRACE, ..experiment.rules };
    experiment.troubles = schedule.iter().filter_map(trouble).collect();
    // An endpoint is replaced once: a second replacement strikes the other endpoint of each destination.
    let replaced = experiment.troubles.iter_mut().filter(|trouble| trouble.kind == TroubleKind::Replace);
    for (nth, trouble) in replaced.enumerate() {
        trouble.endpoint = Some(1 - nth % 2);
    }
    experiment
}

fn trouble(planned: &Planned) -> Option<Trouble> {
    let plain = |kind: TroubleKind, destinations: Option<&str>, share: Option<f64>| Trouble {
        kind,
        name: None,
        at: planned.from,
        after: None,
        lasts: planned.until - planned.from,
        destinations: destinations.map(str::to_owned),
        endpoint: None,
        senders: None,
        share,
        factor: None,
        tells: None,
        count: None,
        manner: None,
        same_address: None,
        every: None,
    };
    Some(match planned.kind {
        SoakKind::Silent => {
            Trouble { endpoint: Some(0), ..plain(TroubleKind::Silent, Some("large/0"), None) }
        }
        SoakKind::AnswerLost => plain(TroubleKind::AnswerLost, Some("small"), Some(0.2)),
        SoakKind::ResetAfter => plain(TroubleKind::ResetAfter, Some("small"), Some(0.2)),
        SoakKind::Spoilt => plain(TroubleKind::Spoilt, Some("large/1"), Some(0.3)),
        SoakKind::Replace => Trouble {
            endpoint: Some(1),
            same_address: Some(true),
            ..plain(TroubleKind::Replace, Some("small"), None)
        },
        SoakKind::ListSilent => plain(TroubleKind::ListSilent, None, None),
        SoakKind::BadClients => Trouble { count: Some(20), ..plain(TroubleKind::BadClients, None, None) },
        SoakKind::Kill => {
            Trouble { every: Some(Duration::from_millis(2500)), ..plain(TroubleKind::Kill, None, None) }
        }
        SoakKind::Stop => Trouble { count: Some(4), ..plain(TroubleKind::Roll, None, None) },
        SoakKind::Reload => plain(TroubleKind::Reload, None, None),
        _ => return None,
    })
}
