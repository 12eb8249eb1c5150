//! The experiment that a soak test runs. It covers all three effects of a repeated packet, per-key order,
//! calls with several packets, and limits that request waits.

use std::time::Duration;

use super::kinds::SoakKind;
use super::schedule::PlannedTrouble;
use crate::experiment::{Experiment, Rules, Trouble, TroubleKind, read_text};

/// The grace period of a draining endpoint. It includes the longest time by which discovery may report the
/// change late, as a soak test cuts the links to discovery.
const DRAIN_GRACE: Duration = Duration::from_secs(8);

/// The experiment without troubles.
const BASE_EXPERIMENT: &str = r#"
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

/// Builds the experiment with those troubles of the schedule that affect peers and the processes of senders.
/// The others are drawn by [`super::machine::draw_troubles`]. `rate` is in packets a second, over all
/// senders.
pub fn build(schedule: &[PlannedTrouble], senders: usize, span: Duration, rate: f64) -> Experiment {
    let mut experiment = match read_text(BASE_EXPERIMENT, &[]) {
        Ok(experiment) => experiment,
        Err(error) => unreachable!("the built-in experiment of the soak test: {}", error.0),
    };
    experiment.senders.count = senders;
    experiment.span = span;
    experiment.load.rate = rate;
    experiment.rules = Rules { drain_grace: DRAIN_GRACE, ..experiment.rules };
    experiment.troubles = schedule.iter().filter_map(trouble).collect();
    // An endpoint can be replaced only once: a second replacement affects the other endpoint of each
    // destination.
    let replacements = experiment.troubles.iter_mut().filter(|trouble| trouble.kind == TroubleKind::Replace);
    for (index, trouble) in replacements.enumerate() {
        trouble.endpoint = Some(1 - index % 2);
    }
    experiment
}

fn trouble(planned: &PlannedTrouble) -> Option<Trouble> {
    let plain_trouble = |kind: TroubleKind, destinations: Option<&str>, share: Option<f64>| Trouble {
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
            Trouble { endpoint: Some(0), ..plain_trouble(TroubleKind::Silent, Some("large/0"), None) }
        }
        SoakKind::AnswerLost => plain_trouble(TroubleKind::AnswerLost, Some("small"), Some(0.2)),
        SoakKind::ResetAfter => plain_trouble(TroubleKind::ResetAfter, Some("small"), Some(0.2)),
        SoakKind::Malformed => plain_trouble(TroubleKind::Spoilt, Some("large/1"), Some(0.3)),
        SoakKind::Replace => Trouble {
            endpoint: Some(1),
            same_address: Some(true),
            ..plain_trouble(TroubleKind::Replace, Some("small"), None)
        },
        SoakKind::DiscoverySilent => plain_trouble(TroubleKind::ListSilent, None, None),
        SoakKind::BadClients => {
            Trouble { count: Some(20), ..plain_trouble(TroubleKind::BadClients, None, None) }
        }
        SoakKind::Kill => Trouble {
            every: Some(Duration::from_millis(2500)),
            ..plain_trouble(TroubleKind::Kill, None, None)
        },
        SoakKind::Stop => Trouble { count: Some(4), ..plain_trouble(TroubleKind::Roll, None, None) },
        SoakKind::Reload => plain_trouble(TroubleKind::Reload, None, None),
        _ => return None,
    })
}
