//! Validation of an experiment. An error names the key.

use std::collections::HashSet;
use std::time::Duration;

use super::{Experiment, LabError, LimitBy, Repeat, Trouble, TroubleKind};
use crate::results::bounds;

impl TroubleKind {
    /// The keys that a kind of trouble accepts in addition to its times.
    pub fn allowed_keys(self) -> &'static [&'static str] {
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

/// Validates an experiment.
///
/// # Errors
///
/// The first invalid value, by its key.
pub fn check(experiment: &Experiment) -> Result<(), LabError> {
    check_amounts(experiment)?;
    check_categories(experiment)?;
    check_destinations(experiment)?;
    for (index, trouble) in experiment.troubles.iter().enumerate() {
        check_trouble(experiment, trouble, &format!("troubles.{index}"))?;
    }
    start_times(experiment)?;
    for bound in &experiment.bounds {
        bounds::Bound::parse(bound).map_err(|error| LabError(format!("bounds: {error}")))?;
    }
    Ok(())
}

fn require_positive(is_positive: bool, key: &str) -> Result<(), LabError> {
    if is_positive { Ok(()) } else { error(key, "must be greater than 0 (a list: not empty)") }
}

fn check_amounts(experiment: &Experiment) -> Result<(), LabError> {
    require_positive(!experiment.span.is_zero(), "span")?;
    require_positive(experiment.senders.count > 0, "senders.count")?;
    require_positive(experiment.senders.slots > 0, "senders.slots")?;
    require_positive(experiment.senders.hold > 0, "senders.hold")?;
    require_positive(!experiment.senders.round.is_zero(), "senders.round")?;
    require_positive(experiment.load.rate > 0.0, "load.rate")?;
    require_positive(!experiment.categories.is_empty(), "categories")?;
    require_positive(!experiment.kinds.is_empty(), "kinds")?;
    require_positive(!experiment.destinations.is_empty(), "destinations")?;
    require_positive(!experiment.rules.cold.is_zero(), "rules.cold")?;
    require_positive(!experiment.rules.fall.is_zero(), "rules.fall")?;
    check_share(experiment.load.clumped, "load.clumped")?;
    check_share(experiment.rules.cold_from, "rules.cold_from")
}

fn check_categories(experiment: &Experiment) -> Result<(), LabError> {
    for (index, category) in experiment.categories.iter().enumerate() {
        let key = |name: &str| format!("categories.{index}.{name}");
        require_positive(!category.soft_limit.is_zero(), &key("soft_limit"))?;
        if category.patience < category.soft_limit {
            return error(&key("patience"), "must not be less than soft_limit");
        }
        if (category.repeat == Repeat::Deduplicated) != category.memory.is_some() {
            return error(&key("memory"), "required with repeat = \"deduplicated\", not allowed otherwise");
        }
    }
    Ok(())
}

fn check_destinations(experiment: &Experiment) -> Result<(), LabError> {
    for (index, group) in experiment.destinations.iter().enumerate() {
        let key = |name: &str| format!("destinations.{index}.{name}");
        if !experiment.kinds.iter().any(|kind| kind.name == group.kind) {
            return error(&key("kind"), &format!("no kind {} in kinds", group.kind));
        }
        for (amount, name) in [(group.count, "count"), (group.endpoints, "endpoints")] {
            require_positive(amount > 0, &key(name))?;
        }
        require_positive(group.servers > 0, &key("servers"))?;
        require_positive(!group.pace.is_zero(), &key("pace"))?;
        require_positive(group.limit.by == LimitBy::None || group.limit.rate > 0.0, &key("limit.rate"))?;
        require_positive(!group.limit.span.is_zero(), &key("limit.span"))?;
    }
    Ok(())
}

fn check_trouble(experiment: &Experiment, trouble: &Trouble, path: &str) -> Result<(), LabError> {
    let key = |name: &str| format!("{path}.{name}");
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
    if let Some((name, _)) =
        given.iter().find(|(name, is_given)| *is_given && !trouble.kind.allowed_keys().contains(name))
    {
        return error(&key(name), &format!("not a key of a trouble of kind {:?}", trouble.kind));
    }
    if trouble.lasts.is_zero() {
        return error(&key("for"), "must be greater than 0");
    }
    if trouble.every.is_some_and(|every| every.is_zero()) {
        return error(&key("every"), "must be greater than 0");
    }
    for value in [trouble.share, trouble.tells].into_iter().flatten() {
        check_share(value, &key("share or tells"))?;
    }
    if trouble.factor.is_some_and(|factor| factor <= 0.0) {
        return error(&key("factor"), "must be greater than 0");
    }
    if trouble.senders.iter().flatten().any(|sender| *sender >= experiment.senders.count) {
        return error(&key("senders"), "sender numbers must be less than senders.count");
    }
    match &trouble.destinations {
        Some(target) => check_target(experiment, target, &key("destinations")),
        None => Ok(()),
    }
}

/// Checks that a target names a group, or one destination of it by number.
fn check_target(experiment: &Experiment, target: &str, key: &str) -> Result<(), LabError> {
    let (name, number) = target.split_once('/').map_or((target, None), |(n, i)| (n, Some(i)));
    let Some(group) = experiment.destinations.iter().find(|group| group.name == name) else {
        return error(key, &format!("no group of destinations is named {name}"));
    };
    let exists = |number: &str| number.parse::<usize>().is_ok_and(|number| number < group.count);
    if !number.is_none_or(exists) {
        return error(key, &format!("the group has no destination {target}"));
    }
    Ok(())
}

/// The start time of each trouble. A trouble may start relative to the end of another one, but not in a
/// cycle.
pub fn start_times(experiment: &Experiment) -> Result<Vec<Duration>, LabError> {
    let troubles = &experiment.troubles;
    let find = |name: &str| troubles.iter().position(|t| t.name.as_deref() == Some(name));
    let mut starts = Vec::with_capacity(troubles.len());
    for (index, trouble) in troubles.iter().enumerate() {
        let (mut visited, mut start, mut next) =
            (HashSet::from([index]), trouble.at, trouble.after.as_deref());
        while let Some(name) = next {
            let Some(predecessor) = find(name) else {
                return error(&format!("troubles.{index}.after"), &format!("no trouble is named {name}"));
            };
            if !visited.insert(predecessor) {
                let text = format!("the trouble {name} would start after itself");
                return error(&format!("troubles.{index}.after"), &text);
            }
            start += troubles[predecessor].at + troubles[predecessor].lasts;
            next = troubles[predecessor].after.as_deref();
        }
        starts.push(start);
    }
    Ok(starts)
}

fn check_share(value: f64, key: &str) -> Result<(), LabError> {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { error(key, "must be a share from 0 to 1") }
}

fn error<T>(key: &str, text: &str) -> Result<T, LabError> {
    Err(LabError(format!("{key}: {text}")))
}
