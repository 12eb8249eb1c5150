//! The endpoint directory: comparison with a plain model, cost of updates, and staging of lists.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sailcart::{DestinationId, EndpointId, ListEntry};
use sailcart_sender::exchange::directory::{Directory, EndpointEntry, EndpointSpec, SLOT_BYTES};
use sailcart_sender::exchange::staged::{ListTooLarge, MAX_CHANGES_PER_STEP, StagedList};
use sailcart_sender::exchange::update::{Step, Update};
use sailcart_sender::exchange::{Exchange, SubmitReply};
use sailcart_sender::memory::ledger::Ledger;
use sailcart_sender::wire::Put;
use sailcart_sender::wire::discovery::Entry;
use sailcart_sender::{config, outgoing::CallOwner};

const HOUR: Duration = Duration::from_secs(3600);
/// Number of endpoints that the largest sender lists.
const LARGEST_LIST: u32 = 440_000;
const NO_LIMIT: usize = usize::MAX;

/// An entry as the tests write it. `kind` is `None` for a kind that is not in the settings.
#[derive(Clone, Debug, PartialEq)]
struct TestEntry {
    name: String,
    address: SocketAddr,
    destination: u64,
    kind: Option<u16>,
    live: bool,
    rate: f64,
}

impl TestEntry {
    fn new(number: u32) -> Self {
        TestEntry {
            name: format!("endpoint-{number:08}"),
            address: SocketAddr::from(([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 7001)),
            destination: u64::from(number),
            kind: Some(0),
            live: true,
            rate: 50.0,
        }
    }

    fn spec(&self, kind: u16) -> EndpointSpec {
        EndpointSpec { address: self.address, destination: DestinationId(self.destination), kind }
    }

    fn add(&self, staged: &mut StagedList, directory: &mut Directory) -> Result<(), ListTooLarge> {
        match self.kind {
            None => staged.skip_entry(directory, &self.name),
            Some(kind) => {
                let (spec, live, rate) = (self.spec(kind), self.live, self.rate);
                staged.add(directory, &EndpointEntry { name: &self.name, spec, live, rate })
            }
        }
    }
}

/// What the decision module is passed for an entry, in a form that can be compared and sorted.
type Listing = (u32, u64, usize, bool, u64);

fn listing(entry: &ListEntry) -> Listing {
    (entry.endpoint.0, entry.destination.0, entry.kind.0, entry.live, entry.rate.to_bits())
}

/// Reference implementation of the directory: plain maps that are searched completely on each update.
#[derive(Default)]
struct Model {
    endpoints: HashMap<String, u32>,
    specs: HashMap<u32, (EndpointSpec, f64)>,
    next_endpoint: u32,
    destinations: HashMap<u64, Duration>,
}

impl Model {
    /// Applies a list. Returns the listings of removed endpoints, in no order, and the other listings in the
    /// order of the entries. Entries that change nothing lead to no listing.
    fn apply_list(
        &mut self,
        now: Duration,
        full: bool,
        entries: &[TestEntry],
    ) -> (Vec<Listing>, Vec<Listing>) {
        let (mut removed, mut listings) = (Vec::new(), Vec::new());
        if full {
            let listed_names: HashSet<&str> = entries.iter().map(|entry| &*entry.name).collect();
            let names: Vec<String> = self.endpoints.keys().cloned().collect();
            for name in names.iter().filter(|name| !listed_names.contains(name.as_str())) {
                self.remove_endpoint(name, &mut removed);
            }
        }
        for entry in entries {
            self.apply_entry(now, entry, &mut listings);
        }
        self.destinations.extend(self.specs.values().map(|(spec, _)| (spec.destination.0, now)));
        self.destinations.retain(|_, last_listed| now.saturating_sub(*last_listed) < HOUR);
        (removed, listings)
    }

    fn apply_entry(&mut self, now: Duration, entry: &TestEntry, listings: &mut Vec<Listing>) {
        let Some(kind) = entry.kind else { return };
        let spec = entry.spec(kind);
        self.destinations.insert(spec.destination.0, now);
        let current = self.endpoints.get(&entry.name).copied();
        let unchanged =
            current.filter(|id| self.specs.get(id).is_some_and(|(current_spec, _)| *current_spec == spec));
        if !entry.live || unchanged.is_none() {
            self.remove_endpoint(&entry.name, listings);
        }
        if entry.live {
            let endpoint = unchanged.unwrap_or(self.next_endpoint);
            self.next_endpoint += u32::from(unchanged.is_none());
            self.endpoints.insert(entry.name.clone(), endpoint);
            let previous = self.specs.insert(endpoint, (spec, entry.rate));
            if previous.is_none_or(|(_, rate)| rate != entry.rate) {
                listings.push((endpoint, entry.destination, usize::from(kind), true, entry.rate.to_bits()));
            }
        }
    }

    fn remove_endpoint(&mut self, name: &str, listings: &mut Vec<Listing>) {
        let Some(endpoint) = self.endpoints.remove(name) else { return };
        if let Some((spec, _)) = self.specs.remove(&endpoint) {
            listings.push((endpoint, spec.destination.0, usize::from(spec.kind), false, 0));
        }
    }

    /// The live endpoints as entries, sorted by name.
    fn entries(&self) -> Vec<TestEntry> {
        let mut entries: Vec<TestEntry> =
            self.endpoints.iter().map(|(name, id)| self.entry(name, *id)).collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }

    fn entry(&self, name: &str, id: u32) -> TestEntry {
        let (spec, rate) = self.specs[&id];
        let (address, destination) = (spec.address, spec.destination.0);
        TestEntry { name: name.to_owned(), address, destination, kind: Some(spec.kind), live: true, rate }
    }
}

fn stage(
    directory: &mut Directory,
    max_endpoints: usize,
    entries: &[TestEntry],
) -> Result<StagedList, ListTooLarge> {
    let mut staged = StagedList::new(directory, max_endpoints);
    entries.iter().try_for_each(|entry| entry.add(&mut staged, directory))?;
    Ok(staged)
}

/// Applies a staged list. Returns the listings of each step but those that only search.
fn apply_staged(
    directory: &mut Directory,
    staged: StagedList,
    full: bool,
    now: Duration,
) -> Vec<Vec<ListEntry>> {
    let mut update = Update::new(staged, full, directory, now);
    let mut steps = Vec::new();
    loop {
        match update.step(directory) {
            Step::Searched => {}
            Step::Changes(listings) => steps.push(listings),
            Step::Last(listings) => {
                steps.push(listings);
                return steps;
            }
        }
    }
}

fn apply_list(
    directory: &mut Directory,
    full: bool,
    now: Duration,
    entries: &[TestEntry],
) -> Vec<Vec<ListEntry>> {
    let staged = stage(directory, NO_LIMIT, entries).expect("within the limit");
    apply_staged(directory, staged, full, now)
}

/// Asserts that the directory has the same endpoints as the model, with the same ids, and knows the same
/// destinations.
fn assert_matches_model(
    directory: &Directory,
    model: &Model,
    destinations: std::ops::Range<u64>,
    context: &str,
) {
    assert_eq!(directory.len(), model.endpoints.len(), "{context}");
    for (name, id) in &model.endpoints {
        assert_eq!(directory.endpoint(name), Some(EndpointId(*id)), "{context}: {name}");
        assert_eq!(directory.spec(EndpointId(*id)), Some(model.specs[id].0), "{context}: {name}");
    }
    for destination in destinations {
        let known = model.destinations.contains_key(&destination);
        assert_eq!(
            directory.knows(DestinationId(destination)),
            known,
            "{context}: destination {destination}"
        );
    }
}

/// Generates lists from few names, addresses and destinations, so that duplicate names, reused addresses
/// and abandoned destinations are frequent.
struct Generator {
    rng: ChaCha8Rng,
}

const DESTINATION_COUNT: u64 = 12;

impl Generator {
    fn entry(&mut self, current: &[TestEntry]) -> TestEntry {
        let rng = &mut self.rng;
        let mut entry = match current.choose(rng) {
            Some(entry) if rng.random_bool(0.6) => entry.clone(),
            _ => TestEntry {
                destination: rng.random_range(0..DESTINATION_COUNT),
                ..TestEntry::new(rng.random_range(0..30))
            },
        };
        if entry.name.ends_with('7') && !entry.name.starts_with("long") {
            entry.name = format!("long-name-that-stands-on-the-heap-{}", entry.name);
        }
        match rng.random_range(0..12) {
            0 => entry.live = false,
            1 => entry.address = SocketAddr::from(([10, 0, 0, rng.random_range(0..6)], 7001)),
            2 => entry.address = SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, rng.random_range(0..4)], 7001)),
            3 => entry.destination = rng.random_range(0..DESTINATION_COUNT),
            4 => entry.kind = Some(rng.random_range(0..3)),
            5 => entry.kind = None,
            6 => entry.rate = f64::from(rng.random_range(1..4)),
            _ => {}
        }
        entry
    }

    fn entries(&mut self, current: &[TestEntry]) -> Vec<TestEntry> {
        let mut entries = if self.rng.random_bool(0.3) { current.to_vec() } else { Vec::new() };
        for _ in 0..self.rng.random_range(0..25) {
            let entry = self.entry(current);
            let position = self.rng.random_range(0..=entries.len());
            entries.insert(position, entry.clone());
            if self.rng.random_bool(0.2) {
                let duplicate = self.entry(&[entry]);
                entries.push(duplicate);
            }
        }
        entries
    }
}

#[test]
fn updates_yield_the_same_listings_and_ids_as_the_model() {
    for seed in 0..150 {
        let mut generator = Generator { rng: ChaCha8Rng::seed_from_u64(seed) };
        let (mut directory, mut model, mut now) = (Directory::new(), Model::default(), Duration::ZERO);
        for update in 0..40 {
            let context = format!("seed {seed}, update {update}");
            now += Duration::from_secs(generator.rng.random_range(0..1500));
            let current = model.entries();
            if generator.rng.random_bool(0.2) {
                let unused_entries = generator.entries(&current);
                drop(stage(&mut directory, NO_LIMIT, &unused_entries).expect("within the limit"));
                assert_matches_model(
                    &directory,
                    &model,
                    0..DESTINATION_COUNT,
                    &format!("{context}: dropped"),
                );
            }
            let (full, entries) = (generator.rng.random_bool(0.3), generator.entries(&current));
            let (mut removed, other_listings) = model.apply_list(now, full, &entries);
            let steps = apply_list(&mut directory, full, now, &entries);
            assert_eq!(steps.len(), 1, "{context}: one step");
            let mut actual: Vec<Listing> = steps[0].iter().map(listing).collect();
            actual[..removed.len()].sort_unstable();
            removed.sort_unstable();
            assert_eq!(actual, [removed, other_listings].concat(), "{context}: full {full}, {entries:#?}");
            assert_matches_model(&directory, &model, 0..DESTINATION_COUNT, &context);
        }
    }
}

/// If the changes of a list take several steps, the result is that of the model, and removals precede
/// additions.
#[test]
fn a_large_change_is_applied_in_steps_with_the_same_result() {
    const NAME_COUNT: u32 = 9_000;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut directory, mut model, mut now) = (Directory::new(), Model::default(), Duration::ZERO);
    let mut used_ids = HashSet::new();
    for update in 0..12 {
        let context = format!("update {update}");
        now += Duration::from_secs(600);
        let mut entries = Vec::new();
        for number in 0..NAME_COUNT {
            let mut entry = TestEntry::new(number);
            entry.destination = u64::from(number / 2);
            entry.live = rng.random_bool(0.8);
            entry.rate = f64::from(rng.random_range(1..4));
            entry.address.set_port(rng.random_range(1..4));
            if rng.random_bool(0.7) {
                entries.push(entry);
            }
        }
        let full = update % 3 == 0;
        let endpoints_before: Vec<(String, EndpointId)> = model
            .endpoints
            .keys()
            .map(|name| (name.clone(), directory.endpoint(name).expect("endpoint of the model")))
            .collect();
        model.apply_list(now, full, &entries);
        let steps = apply_list(&mut directory, full, now, &entries);
        assert!(steps.len() > 1 && steps.iter().all(|step| step.len() <= MAX_CHANGES_PER_STEP), "{context}");
        let listings: Vec<&ListEntry> = steps.iter().flatten().collect();
        let first_live = listings.iter().position(|listing| listing.live).expect("some are live");
        let removed_first: HashSet<EndpointId> =
            listings[..first_live].iter().map(|listing| listing.endpoint).collect();
        let removed = endpoints_before.iter().filter(|(name, _)| !model.endpoints.contains_key(name));
        assert!(
            removed.clone().all(|(_, endpoint)| removed_first.contains(endpoint)),
            "{context}: removals come first"
        );
        assert!(update == 0 || removed.count() > 0, "{context}");
        let ids_before: HashSet<EndpointId> =
            endpoints_before.into_iter().map(|(_, endpoint)| endpoint).collect();
        for listing in
            listings.iter().filter(|listing| listing.live && !ids_before.contains(&listing.endpoint))
        {
            assert!(used_ids.insert(listing.endpoint), "{context}: ids are not reused");
        }
        assert_eq!(directory.len(), model.endpoints.len(), "{context}");
        for (name, id) in &model.endpoints {
            let endpoint = directory.endpoint(name).expect("endpoint of the model");
            assert_eq!(directory.spec(endpoint), Some(model.specs[id].0), "{context}: {name}");
        }
        for destination in 0..u64::from(NAME_COUNT) {
            let known = model.destinations.contains_key(&destination);
            assert_eq!(directory.knows(DestinationId(destination)), known, "{context}: {destination}");
        }
    }
}

/// Of two entries with the same name the last one counts, also if one of them changes nothing and if the
/// update takes several steps.
#[test]
fn the_last_entry_of_a_name_counts_in_several_steps() {
    let mut directory = Directory::new();
    let current = TestEntry::new(1);
    let moved = TestEntry { address: "10.9.9.9:1".parse().expect("valid address"), ..current.clone() };
    let draining = TestEntry { live: false, ..current.clone() };
    let other_entries: Vec<TestEntry> = (10..10 + MAX_CHANGES_PER_STEP as u32).map(TestEntry::new).collect();
    let cases: [(&[&TestEntry], Option<&TestEntry>); 5] = [
        (&[&moved, &current], Some(&current)),
        (&[&current, &moved], Some(&moved)),
        (&[&draining, &moved], Some(&moved)),
        (&[&moved, &draining], None),
        (&[&current, &draining], None),
    ];
    for (number, (entries, expected)) in cases.into_iter().enumerate() {
        apply_list(&mut directory, true, HOUR, std::slice::from_ref(&current));
        let mut entries: Vec<TestEntry> = entries.iter().copied().cloned().collect();
        entries.extend_from_slice(&other_entries);
        assert!(apply_list(&mut directory, false, HOUR, &entries).len() > 1, "case {number}");
        let spec = directory.endpoint(&current.name).and_then(|endpoint| directory.spec(endpoint));
        assert_eq!(spec, expected.map(|entry| entry.spec(0)), "case {number}");
    }
}

#[test]
fn a_staged_list_has_no_effect_until_it_is_applied_or_if_it_is_superseded() {
    let mut directory = Directory::new();
    let old_entries: Vec<TestEntry> = (0..50).map(TestEntry::new).collect();
    apply_list(&mut directory, true, HOUR, &old_entries);
    let new_entries: Vec<TestEntry> = (40..90).map(TestEntry::new).collect();
    let staged = stage(&mut directory, NO_LIMIT, &new_entries).expect("within the limit");
    assert_eq!(
        (directory.len(), staged.differences()),
        (50, 40),
        "entries that change nothing are not stored"
    );
    let later = stage(&mut directory, NO_LIMIT, &old_entries[..45]).expect("within the limit");
    assert!(apply_staged(&mut directory, staged, true, HOUR)[0].is_empty(), "superseded");
    assert_eq!(directory.len(), 50);
    let listings = apply_staged(&mut directory, later, true, HOUR).concat();
    assert!(listings.iter().all(|listing| !listing.live) && listings.len() == 5, "{listings:?}");
}

/// Up to `MAX_CHANGES_PER_STEP` listings are returned in one step. An endpoint with another address leads to
/// two listings, one with another rate to one.
#[test]
fn changes_that_fit_one_step_are_applied_in_one_step() {
    let mut directory = Directory::new();
    let mut entries: Vec<TestEntry> = (0..MAX_CHANGES_PER_STEP as u32).map(TestEntry::new).collect();
    let mut step_lengths = |entries: &[TestEntry]| -> Vec<usize> {
        apply_list(&mut directory, false, HOUR, entries).iter().map(Vec::len).collect()
    };
    assert_eq!(step_lengths(&entries), [MAX_CHANGES_PER_STEP]);
    entries.iter_mut().for_each(|entry| entry.rate += 1.0);
    assert_eq!(step_lengths(&entries), [MAX_CHANGES_PER_STEP]);
    entries[..MAX_CHANGES_PER_STEP / 2].iter_mut().for_each(|entry| entry.address.set_port(9));
    assert_eq!(step_lengths(&entries), [MAX_CHANGES_PER_STEP]);
    entries.iter_mut().for_each(|entry| entry.address.set_port(10));
    assert_eq!(step_lengths(&entries), [MAX_CHANGES_PER_STEP, MAX_CHANGES_PER_STEP]);
    entries.iter_mut().for_each(|entry| entry.live = false);
    assert_eq!(step_lengths(&entries), [MAX_CHANGES_PER_STEP]);
}

/// The search for endpoints that a full list does not name runs in steps too, and nothing changes before it
/// is complete.
#[test]
fn unlisted_endpoints_are_searched_in_steps() {
    let mut directory = Directory::new();
    let all_entries: Vec<TestEntry> = (0..40_000).map(TestEntry::new).collect();
    apply_list(&mut directory, true, HOUR, &all_entries);
    let staged = stage(&mut directory, NO_LIMIT, &all_entries[1..]).expect("within the limit");
    let mut update = Update::new(staged, true, &directory, HOUR);
    for _ in 0..2 {
        assert!(matches!(update.step(&mut directory), Step::Searched));
        assert_eq!(directory.len(), all_entries.len());
    }
    let Step::Last(listings) = update.step(&mut directory) else { panic!("expected the last step") };
    assert_eq!(listings.iter().map(listing).collect::<Vec<_>>(), [(0, 0, 0, false, 0)]);
}

/// Guards against the rest of an old list being applied over a newer one.
#[test]
fn an_update_ends_early_when_another_list_is_begun() {
    let mut directory = Directory::new();
    let all_entries: Vec<TestEntry> = (0..10_000).map(TestEntry::new).collect();
    let staged = stage(&mut directory, NO_LIMIT, &all_entries).expect("within the limit");
    let mut update = Update::new(staged, false, &directory, HOUR);
    let Step::Changes(first_changes) = update.step(&mut directory) else { panic!("expected changes") };
    let newer_list = stage(&mut directory, NO_LIMIT, &all_entries[..10]).expect("within the limit");
    assert!(matches!(update.step(&mut directory), Step::Last(listings) if listings.is_empty()));
    assert_eq!(directory.len(), first_changes.len());
    apply_staged(&mut directory, newer_list, true, HOUR);
    assert_eq!(directory.len(), 10);
}

#[test]
fn an_unchanged_list_yields_one_empty_step() {
    let mut directory = Directory::new();
    let all_entries: Vec<TestEntry> = (0..5_000).map(TestEntry::new).collect();
    assert_eq!(apply_list(&mut directory, true, HOUR, &all_entries).concat().len(), 5_000);
    for (full, entries) in [(true, &all_entries[..]), (false, &all_entries[..70]), (false, &[])] {
        let staged = stage(&mut directory, NO_LIMIT, entries).expect("within the limit");
        assert_eq!(staged.differences(), 0);
        let steps = apply_staged(&mut directory, staged, full, HOUR);
        assert_eq!(steps.iter().map(Vec::len).collect::<Vec<_>>(), [0]);
    }
}

#[test]
fn a_list_with_too_many_endpoints_is_rejected_and_changes_nothing() {
    let mut directory = Directory::new();
    let too_large = Err(ListTooLarge { max_endpoints: 100 });
    let all_entries: Vec<TestEntry> = (0..300).map(TestEntry::new).collect();
    let mut staged = StagedList::new(&mut directory, 100);
    let rejected_at = all_entries.iter().position(|entry| entry.add(&mut staged, &mut directory).is_err());
    assert_eq!((rejected_at, directory.len()), (Some(100), 0), "rejected at the first entry above the limit");
    // Each name counts once, and draining endpoints do not count.
    let mut entries = [&all_entries[..100], &all_entries[..100]].concat();
    entries[0].live = false;
    entries.push(TestEntry { live: false, ..all_entries[150].clone() });
    let staged = stage(&mut directory, 100, &entries).expect("100 names");
    assert_eq!(staged.fits(&directory, true), Ok(()));
    apply_staged(&mut directory, staged, true, HOUR);
    assert_eq!(directory.len(), 100);
    // An incremental list is counted together with the directory, a full one by itself. Endpoints that are
    // named with an unknown kind stay and count.
    let staged = stage(&mut directory, 100, &all_entries[100..110]).expect("ten names");
    assert_eq!((staged.fits(&directory, true), staged.fits(&directory, false)), (Ok(()), too_large));
    let draining = all_entries[..10].iter().map(|entry| TestEntry { live: false, ..entry.clone() });
    let entries: Vec<TestEntry> = draining.chain(all_entries[100..110].iter().cloned()).collect();
    let staged = stage(&mut directory, 100, &entries).expect("ten names for ten removed ones");
    assert_eq!(staged.fits(&directory, false), Ok(()));
    let unknown_kinds = all_entries[..91].iter().map(|entry| TestEntry { kind: None, ..entry.clone() });
    let entries: Vec<TestEntry> = unknown_kinds.chain(all_entries[100..110].iter().cloned()).collect();
    assert_eq!(stage(&mut directory, 100, &entries).err(), too_large.err());
    // Draining entries of endpoints that are not in the directory count against the limit on staged entries.
    let draining = (1_000..4_000).map(|number| TestEntry { live: false, ..TestEntry::new(number) });
    assert_eq!(stage(&mut directory, 100, &draining.collect::<Vec<_>>()).err(), too_large.err());
}

/// The cost of an update depends on its changes and not on the number of listed endpoints. Cost is measured
/// in visits, not in time.
#[test]
fn an_update_visits_slots_in_proportion_to_its_changes() {
    const CHANGES: u32 = 12;
    /// An entry is compared, and its endpoint is found, removed and inserted again. Each of these visits one
    /// or two slots.
    const MAX_VISITS_PER_CHANGE: u64 = 16;
    let mut max_visits = BTreeMap::new();
    for listed_count in [20, 5_000, 100_000] {
        let mut directory = Directory::new();
        let all_entries: Vec<TestEntry> = (0..listed_count).map(TestEntry::new).collect();
        apply_list(&mut directory, true, HOUR, &all_entries);
        for update in 0..20 {
            let mut entries: Vec<TestEntry> = all_entries[..CHANGES as usize].to_vec();
            for (number, entry) in entries.iter_mut().enumerate() {
                match number % 4 {
                    0 => entry.rate += f64::from(update),
                    1 => entry.address.set_port(8000 + update as u16),
                    2 => entry.destination = u64::from(listed_count + update),
                    _ => entry.live = update % 2 == 1,
                }
            }
            let visited_before = directory.visited();
            apply_list(&mut directory, false, HOUR * (update + 1), &entries);
            let visited = directory.visited() - visited_before;
            max_visits
                .entry(listed_count)
                .and_modify(|max: &mut u64| *max = visited.max(*max))
                .or_insert(visited);
            let visited_before = directory.visited();
            apply_list(&mut directory, false, HOUR * (update + 1), &[]);
            assert!(
                directory.visited() - visited_before <= 1,
                "an update without entries visits no endpoint"
            );
        }
    }
    assert!(
        max_visits.values().all(|visited| *visited <= MAX_VISITS_PER_CHANGE * u64::from(CHANGES)),
        "{max_visits:?}"
    );
}

/// An index grows in parts, so no single entry visits a large share of the directory.
#[test]
fn no_entry_visits_a_large_share_of_the_directory() {
    const LISTED_COUNT: u32 = 60_000;
    let mut directory = Directory::new();
    for number in 0..LISTED_COUNT {
        let visited_before = directory.visited();
        apply_list(&mut directory, false, HOUR, &[TestEntry::new(number)]);
        let visited = directory.visited() - visited_before;
        assert!(visited <= u64::from(LISTED_COUNT) / 16, "{visited} visits at entry {number}");
    }
}

/// If a thousand destinations are removed one after another, no more of them are remembered than endpoints
/// are allowed.
#[test]
fn removed_destinations_are_bounded_and_the_oldest_are_forgotten_first() {
    let mut directory = Directory::new();
    let seconds = |number: u32| Duration::from_secs(u64::from(number));
    let apply_only = |directory: &mut Directory, number: u32| {
        let staged = stage(directory, 10, &[TestEntry::new(number)]).expect("within the limit");
        apply_staged(directory, staged, true, seconds(number))
    };
    for number in 0..1_000 {
        apply_only(&mut directory, number);
    }
    let known_destinations = |directory: &Directory| -> Vec<u64> {
        (0..1_000).filter(|number| directory.knows(DestinationId(*number))).collect()
    };
    assert_eq!(
        known_destinations(&directory),
        (989..1_000).collect::<Vec<_>>(),
        "the listed one and ten removed ones"
    );
    // A destination that is added and removed repeatedly displaces no other, nor does one that drains
    // repeatedly.
    for _ in 0..200 {
        apply_only(&mut directory, 999);
        apply_only(&mut directory, 998);
    }
    let draining = TestEntry { live: false, ..TestEntry::new(999) };
    for _ in 0..200 {
        let staged = stage(&mut directory, 10, std::slice::from_ref(&draining)).expect("within the limit");
        apply_staged(&mut directory, staged, false, seconds(1_000));
    }
    assert_eq!(known_destinations(&directory), (989..1_000).collect::<Vec<_>>());
}

#[test]
fn the_largest_list_takes_at_most_90_bytes_per_endpoint() {
    assert_eq!(SLOT_BYTES, 64);
    let mut directory = Directory::new();
    let mut staged = StagedList::new(&mut directory, LARGEST_LIST as usize);
    for number in 0..LARGEST_LIST {
        TestEntry::new(number).add(&mut staged, &mut directory).expect("within the limit");
    }
    apply_staged(&mut directory, staged, true, HOUR);
    assert_eq!(directory.len(), LARGEST_LIST as usize);
    let bytes_per_endpoint = directory.bytes() as f64 / f64::from(LARGEST_LIST);
    assert!(bytes_per_endpoint <= 90.0, "{bytes_per_endpoint}");
}

/// An exchange with the settings of the example.
fn exchange(folder: &std::path::Path) -> Exchange {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let state = folder.to_str().expect("UTF-8 path");
    let environment = |name: &str| (name == "ROUTER_STATE").then(|| state.to_owned());
    let sender_config =
        config::read(Some(file.into()), &environment).unwrap_or_else(|error| panic!("{}", error.0));
    let ledger =
        Ledger::open(folder, 1_000_000, 100, sailcart_store::SyncPolicy::None).expect("open the ledger");
    Exchange::new(sender_config.settings, 1, sender_config.names, ledger)
}

fn discovery_entries(numbers: std::ops::Range<u32>) -> Vec<Entry> {
    let to_discovery_entry = |entry: TestEntry| Entry {
        name: entry.name,
        address: entry.address,
        kind: "k".to_owned(),
        destination: entry.destination,
        live: entry.live,
        rate: entry.rate,
    };
    numbers.map(|number| to_discovery_entry(TestEntry::new(number))).collect()
}

/// Whether a packet is rejected at once because its destination is unknown.
fn is_unknown(exchange: &Exchange, destination: u64) -> bool {
    let put = Put {
        id: &format!("p{destination}"),
        category: "notice",
        customer: Some("acme"),
        patience: Duration::from_secs(8),
        idempotency_key: None,
        destination,
        order_key: None,
        body: b"hello",
    };
    exchange.submit(&put).try_recv() == Ok(SubmitReply::Unknown("destination"))
}

#[test]
fn a_large_list_is_applied_with_yields_and_takes_effect_at_its_end() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let exchange = exchange(folder.path());
    let mut staged = exchange.stage(100_000);
    exchange.add_entries(&mut staged, discovery_entries(0..10_000)).expect("within the limit");
    assert!(!exchange.is_listed(EndpointId(0)), "the list is not applied yet");
    let mut update = pin!(exchange.apply(staged, true));
    let mut context = Context::from_waker(Waker::noop());
    let mut yields = 0;
    while update.as_mut().poll(&mut context) == Poll::Pending {
        yields += 1;
        assert!(
            !is_unknown(&exchange, 1_000_000 + yields),
            "no list is in force yet, so no destination is unknown"
        );
    }
    assert_eq!(yields, 9, "nine yields between ten chunks");
    assert!(exchange.is_listed(EndpointId(9_999)) && !exchange.is_listed(EndpointId(10_000)));
    assert!(is_unknown(&exchange, 2_000_000) && !is_unknown(&exchange, 1));

    let mut small = exchange.stage(100_000);
    exchange.add_entries(&mut small, discovery_entries(10_000..12_000)).expect("within the limit");
    let mut update = pin!(exchange.apply(small, false));
    assert_eq!(update.as_mut().poll(&mut context), Poll::Ready(()), "applied without a yield");
    assert!(exchange.is_listed(EndpointId(11_999)));
}

#[test]
fn a_dropped_or_rejected_list_leaves_the_previous_one_in_force() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let exchange = exchange(folder.path());
    let mut context = Context::from_waker(Waker::noop());
    let mut staged = exchange.stage(10);
    exchange.add_entries(&mut staged, discovery_entries(0..8)).expect("within the limit");
    assert!(pin!(exchange.apply(staged, true)).poll(&mut context).is_ready());

    let mut dropped = exchange.stage(10);
    exchange.add_entries(&mut dropped, discovery_entries(7..9)).expect("within the limit");
    drop(dropped);
    let mut large = exchange.stage(10);
    let rejection = exchange.add_entries(&mut large, discovery_entries(0..11));
    assert_eq!(rejection, Err(ListTooLarge { max_endpoints: 10 }));
    drop(large);
    let mut incremental = exchange.stage(10);
    exchange.add_entries(&mut incremental, discovery_entries(8..11)).expect("three names");
    assert_eq!(exchange.fits(&incremental, false), Err(ListTooLarge { max_endpoints: 10 }));
    assert!(pin!(exchange.apply(incremental, false)).poll(&mut context).is_ready());
    let listed: Vec<u32> = (0..20).filter(|id| exchange.is_listed(EndpointId(*id))).collect();
    assert_eq!(listed, (0..8).collect::<Vec<_>>());
    assert!(is_unknown(&exchange, 8) && !is_unknown(&exchange, 7));
}
