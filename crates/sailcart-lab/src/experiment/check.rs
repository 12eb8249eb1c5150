//! What must hold between the values of an experiment. A fault names the key.

use std::collections::HashSet;
use std::time::Duration;

use super::{Experiment, Fault, LimitBy, Repeat, Trouble, TroubleKind};
use crate::results::bounds;

impl TroubleKind {
    /// The keys beside its time that a kind of trouble takes.
    pub fn takes(self) -> &'static [&'static str] {
        use TroubleKind::*;
        match self {
            Refuse | BlackHole | Silent => &["destinations", "endpoint"],
            Errors | AnswerLost | ResetBefore | ResetAfter => &["destinations", "endpoint", "share"],
            Spoilt => &["destinations", "endpoint", "share", "manner"],
            Partial => &["destinations", "endpoint", "share"],
            Shut => &["destinations", "endpoint", "tells"],
            Slow => &["destinations", "endpoint", "factor"],
            Lower => &["destinations", "share"],
            Drain => &["destinations", "endpoint"],
            Replace => &["destinations", "endpoint", "same_address"],
            Hot => &["destinations", "share"],
            ListSilent | Reload => &["senders"],
            Kill => &["senders", "every"],
            Roll => &["senders", "count"],
            BadClients => &["senders", "count"],
        }
    }
}

/// # Errors
/// The first value that does not hold, by its key.
pub fn check(experiment: &Experiment) -> Result<(), Fault> {
    check_amounts(experiment)?;
    check_categories(experiment)?;
    check_destinations(experiment)?;
    for (at, trouble) in experiment.troubles.iter().enumerate() {
        check_trouble(experiment, trouble, &format!("troubles.{at}"))?;
    }
    begins(experiment)?;
    for bound in &experiment.bounds {
        bounds::Bound::read(bound).map_err(|words| Fault(format!("bounds: {words}")))?;
    }
    Ok(())
}

fn some(holds: bool, key: &str) -> Result<(), Fault> {
    if holds { Ok(()) } else { fault(key, "expected more than 0") }
}

fn check_amounts(experiment: &Experiment) -> Result<(), Fault> {
    some(!experiment.span.is_zero(), "span")?;
    some(experiment.senders.count > 0, "senders.count")?;
    some(experiment.senders.slots > 0, "senders.slots")?;
    some(experiment.senders.hold > 0, "senders.hold")?;
    some(!experiment.senders.round.is_zero(), "senders.round")?;
    some(experiment.load.rate > 0.0, "load.rate")?;
    some(!experiment.categories.is_empty(), "categories")?;
    some(!experiment.kinds.is_empty(), "kinds")?;
    some(!experiment.destinations.is_empty(), "destinations")?;
    some(!experiment.rules.cold.is_zero(), "rules.cold")?;
    some(!experiment.rules.fall.is_zero(), "rules.fall")?;
    share(experiment.load.clumped, "load.clumped")?;
    share(experiment.rules.cold_from, "rules.cold_from")
}

fn check_categories(experiment: &Experiment) -> Result<(), Fault> {
    for (at, category) in experiment.categories.iter().enumerate() {
        let key = |name: &str| format!("categories.{at}.{name}");
        some(!category.soft_limit.is_zero(), &key("soft_limit"))?;
        if category.patience < category.soft_limit {
            return fault(&key("patience"), "expected no less than soft_limit");
        }
        if (category.repeat == Repeat::Deduplicated) != category.memory.is_some() {
            return fault(&key("memory"), "expected with repeat = \"deduplicated\", and only there");
        }
    }
    Ok(())
}

fn check_destinations(experiment: &Experiment) -> Result<(), Fault> {
    for (at, group) in experiment.destinations.iter().enumerate() {
        let key = |name: &str| format!("destinations.{at}.{name}");
        if !experiment.kinds.iter().any(|kind| kind.name == group.kind) {
            return fault(&key("kind"), &format!("expected one of kinds, not {}", group.kind));
        }
        for (amount, name) in [(group.count, "count"), (group.endpoints, "endpoints")] {
            some(amount > 0, &key(name))?;
        }
        some(group.servers > 0, &key("servers"))?;
        some(!group.pace.is_zero(), &key("pace"))?;
        some(group.limit.by == LimitBy::None || group.limit.rate > 0.0, &key("limit.rate"))?;
        some(!group.limit.span.is_zero(), &key("limit.span"))?;
    }
    Ok(())
}

fn check_trouble(experiment: &Experiment, trouble: &Trouble, place: &str) -> Result<(), Fault> {
    let key = |name: &str| format!("{place}.{name}");
    let given = [
        ("destinations", trouble.destinations.is_some()),
        ("endpoint", trouble.endpoint.is_some()),
        ("senders", trouble.senders.is_some()),
        ("share", trouble.share.is_some()),
        ("factor", trouble.factor.is_some()),
        ("tells", trouble.tells.is_some()),
        ("count", trouble.count.is_some()),
        ("manner", trouble.manner.is_some()),
        ("same_address", trouble.same_address.is_some()),
        ("every", trouble.every.is_some()),
    ];
    if let Some((name, _)) = given.iter().find(|(name, is)| *is && !trouble.kind.takes().contains(name)) {
        return fault(&key(name), &format!("not a key of kind {:?}", trouble.kind));
    }
    if trouble.lasts.is_zero() {
        return fault(&key("for"), "expected more than 0");
    }
    if trouble.every.is_some_and(|every| every.is_zero()) {
        return fault(&key("every"), "expected more than 0");
    }
    for part in [trouble.share, trouble.tells].into_iter().flatten() {
        share(part, &key("share or tells"))?;
    }
    if trouble.factor.is_some_and(|factor| factor <= 0.0) {
        return fault(&key("factor"), "expected more than 0");
    }
    if trouble.senders.iter().flatten().any(|at| *at >= experiment.senders.count) {
        return fault(&key("senders"), "expected numbers below senders.count");
    }
    match &trouble.destinations {
        Some(target) => check_target(experiment, target, &key("destinations")),
        None => Ok(()),
    }
}

/// A group, or one destination of it by its number.
fn check_target(experiment: &Experiment, target: &str, key: &str) -> Result<(), Fault> {
    let (name, number) = target.split_once('/').map_or((target, None), |(n, i)| (n, Some(i)));
    let Some(group) = experiment.destinations.iter().find(|group| group.name == name) else {
        return fault(key, &format!("no group {name}"));
    };
    let within = |number: &str| number.parse::<usize>().is_ok_and(|number| number < group.count);
    if !number.is_none_or(within) {
        return fault(key, &format!("no destination {target}"));
    }
    Ok(())
}

/// When each trouble begins. Troubles may follow one another, but not in a circle.
pub fn begins(experiment: &Experiment) -> Result<Vec<Duration>, Fault> {
    let troubles = &experiment.troubles;
    let find = |name: &str| troubles.iter().position(|t| t.name.as_deref() == Some(name));
    let mut starts = Vec::with_capacity(troubles.len());
    for (at, trouble) in troubles.iter().enumerate() {
        let (mut seen, mut start, mut next) = (HashSet::from([at]), trouble.at, trouble.after.as_deref());
        while let Some(name) = next {
            let Some(before) = find(name) else {
                return fault(&format!("troubles.{at}.after"), &format!("no trouble {name}"));
            };
            if !seen.insert(before) {
                let words = format!("{name} would begin only after itself");
                return fault(&format!("troubles.{at}.after"), &words);
            }
            start += troubles[before].at + troubles[before].lasts;
            next = troubles[before].after.as_deref();
        }
        starts.push(start);
    }
    Ok(starts)
}

fn share(part: f64, key: &str) -> Result<(), Fault> {
    if (0.0..=1.0).contains(&part) { Ok(()) } else { fault(key, "expected a share from 0 to 1") }
}

fn fault<T>(key: &str, words: &str) -> Result<T, Fault> {
    Err(Fault(format!("{key}: {words}")))
}
