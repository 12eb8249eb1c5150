//! The directory of endpoints against a plain model, what it costs, and lists that are staged.

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
/// As many as the largest sender lists.
const LARGEST: u32 = 440_000;
const ANY: usize = usize::MAX;

/// A line as the tests write it; `kind` is `None` where the settings do not know it.
#[derive(Clone, Debug, PartialEq)]
struct Written {
    name: String,
    address: SocketAddr,
    destination: u64,
    kind: Option<u16>,
    live: bool,
    rate: f64,
}

impl Written {
    fn new(number: u32) -> Self {
        Written {
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

/// What the decision module hears of a line.
type Told = (u32, u64, usize, bool, u64);

fn told(line: &ListEntry) -> Told {
    (line.endpoint.0, line.destination.0, line.kind.0, line.live, line.rate.to_bits())
}

/// The list as it was kept in plain maps, each walked with each news.
#[derive(Default)]
struct Model {
    endpoints: HashMap<String, u32>,
    specs: HashMap<u32, (EndpointSpec, f64)>,
    next_endpoint: u32,
    destinations: HashMap<u64, Duration>,
}

impl Model {
    /// Lines of what is gone, in no order, and the others in theirs. Those that say nothing new are left out.
    fn list(&mut self, now: Duration, whole: bool, lines: &[Written]) -> (Vec<Told>, Vec<Told>) {
        let (mut gone, mut told) = (Vec::new(), Vec::new());
        if whole {
            let listed: HashSet<&str> = lines.iter().map(|line| &*line.name).collect();
            let names: Vec<String> = self.endpoints.keys().cloned().collect();
            for name in names.iter().filter(|name| !listed.contains(name.as_str())) {
                self.forget(name, &mut gone);
            }
        }
        for line in lines {
            self.read(now, line, &mut told);
        }
        self.destinations.extend(self.specs.values().map(|(spec, _)| (spec.destination.0, now)));
        self.destinations.retain(|_, listed| now.saturating_sub(*listed) < HOUR);
        (gone, told)
    }

    fn read(&mut self, now: Duration, line: &Written, told: &mut Vec<Told>) {
        let Some(kind) = line.kind else { return };
        let spec = line.spec(kind);
        self.destinations.insert(spec.destination.0, now);
        let old = self.endpoints.get(&line.name).copied();
        let same = old.filter(|id| self.specs.get(id).is_some_and(|(other, _)| *other == spec));
        if !line.live || same.is_none() {
            self.forget(&line.name, told);
        }
        if line.live {
            let endpoint = same.unwrap_or(self.next_endpoint);
            self.next_endpoint += u32::from(same.is_none());
            self.endpoints.insert(line.name.clone(), endpoint);
            let before = self.specs.insert(endpoint, (spec, line.rate));
            if before.is_none_or(|(_, rate)| rate != line.rate) {
                told.push((endpoint, line.destination, usize::from(kind), true, line.rate.to_bits()));
            }
        }
    }

    fn forget(&mut self, name: &str, told: &mut Vec<Told>) {
        let Some(endpoint) = self.endpoints.remove(name) else { return };
        if let Some((spec, _)) = self.specs.remove(&endpoint) {
            told.push((endpoint, spec.destination.0, usize::from(spec.kind), false, 0));
        }
    }

    /// Held lines, as a list would write them.
    fn held(&self) -> Vec<Written> {
        let mut held: Vec<Written> =
            self.endpoints.iter().map(|(name, id)| self.written(name, *id)).collect();
        held.sort_by(|a, b| a.name.cmp(&b.name));
        held
    }

    fn written(&self, name: &str, id: u32) -> Written {
        let (spec, rate) = self.specs[&id];
        let (address, destination) = (spec.address, spec.destination.0);
        Written { name: name.to_owned(), address, destination, kind: Some(spec.kind), live: true, rate }
    }
}

fn stage(directory: &mut Directory, most: usize, lines: &[Written]) -> Result<StagedList, ListTooLarge> {
    let mut staged = StagedList::new(directory, most);
    lines.iter().try_for_each(|line| line.add(&mut staged, directory))?;
    Ok(staged)
}

/// Puts a staged list in force: what each step tells, without those that tell nothing.
fn commit(directory: &mut Directory, staged: StagedList, whole: bool, now: Duration) -> Vec<Vec<ListEntry>> {
    let mut update = Update::new(staged, whole, directory, now);
    let mut slices = Vec::new();
    loop {
        match update.step(directory) {
            Step::Searched => {}
            Step::Changes(lines) => slices.push(lines),
            Step::Last(lines) => {
                slices.push(lines);
                return slices;
            }
        }
    }
}

fn list(directory: &mut Directory, whole: bool, now: Duration, lines: &[Written]) -> Vec<Vec<ListEntry>> {
    let staged = stage(directory, ANY, lines).expect("room");
    commit(directory, staged, whole, now)
}

/// The directory holds what the model holds, under the same ids, and knows the same destinations.
fn assert_alike(directory: &Directory, model: &Model, destinations: std::ops::Range<u64>, what: &str) {
    assert_eq!(directory.len(), model.endpoints.len(), "{what}");
    for (name, id) in &model.endpoints {
        assert_eq!(directory.endpoint(name), Some(EndpointId(*id)), "{what}: {name}");
        assert_eq!(directory.spec(EndpointId(*id)), Some(model.specs[id].0), "{what}: {name}");
    }
    for destination in destinations {
        let known = model.destinations.contains_key(&destination);
        assert_eq!(directory.knows(DestinationId(destination)), known, "{what}: destination {destination}");
    }
}

/// A small world, so that names are doubled, addresses taken over and destinations left often.
struct Generator {
    rng: ChaCha8Rng,
}

const DESTINATIONS: u64 = 12;

impl Generator {
    fn line(&mut self, held: &[Written]) -> Written {
        let rng = &mut self.rng;
        let mut line = match held.choose(rng) {
            Some(line) if rng.random_bool(0.6) => line.clone(),
            _ => Written {
                destination: rng.random_range(0..DESTINATIONS),
                ..Written::new(rng.random_range(0..30))
            },
        };
        if line.name.ends_with('7') && !line.name.starts_with("long") {
            line.name = format!("long-name-that-stands-on-the-heap-{}", line.name);
        }
        match rng.random_range(0..12) {
            0 => line.live = false,
            1 => line.address = SocketAddr::from(([10, 0, 0, rng.random_range(0..6)], 7001)),
            2 => line.address = SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, rng.random_range(0..4)], 7001)),
            3 => line.destination = rng.random_range(0..DESTINATIONS),
            4 => line.kind = Some(rng.random_range(0..3)),
            5 => line.kind = None,
            6 => line.rate = f64::from(rng.random_range(1..4)),
            _ => {}
        }
        line
    }

    fn list(&mut self, held: &[Written]) -> Vec<Written> {
        let mut lines = if self.rng.random_bool(0.3) { held.to_vec() } else { Vec::new() };
        for _ in 0..self.rng.random_range(0..25) {
            let line = self.line(held);
            let at = self.rng.random_range(0..=lines.len());
            lines.insert(at, line.clone());
            if self.rng.random_bool(0.2) {
                let twin = self.line(&[line]);
                lines.push(twin);
            }
        }
        lines
    }
}

#[test]
fn tells_the_same_lines_under_the_same_ids_as_the_plain_model() {
    for seed in 0..150 {
        let mut generator = Generator { rng: ChaCha8Rng::seed_from_u64(seed) };
        let (mut directory, mut model, mut now) = (Directory::new(), Model::default(), Duration::ZERO);
        for news in 0..40 {
            let what = format!("seed {seed}, news {news}");
            now += Duration::from_secs(generator.rng.random_range(0..1500));
            let held = model.held();
            if generator.rng.random_bool(0.2) {
                let unused = generator.list(&held);
                drop(stage(&mut directory, ANY, &unused).expect("room"));
                assert_alike(&directory, &model, 0..DESTINATIONS, &format!("{what}: dropped"));
            }
            let (whole, lines) = (generator.rng.random_bool(0.3), generator.list(&held));
            let (mut gone, rest) = model.list(now, whole, &lines);
            let slices = list(&mut directory, whole, now, &lines);
            assert_eq!(slices.len(), 1, "{what}: at once");
            let mut heard: Vec<Told> = slices[0].iter().map(told).collect();
            heard[..gone.len()].sort_unstable();
            gone.sort_unstable();
            assert_eq!(heard, [gone, rest].concat(), "{what}: whole {whole}, {lines:#?}");
            assert_alike(&directory, &model, 0..DESTINATIONS, &what);
        }
    }
}

/// Lists whose difference takes several slices: the same in the end, with what goes before what comes.
#[test]
fn a_large_difference_comes_in_slices_and_ends_alike() {
    const NAMES: u32 = 9_000;
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (mut directory, mut model, mut now) = (Directory::new(), Model::default(), Duration::ZERO);
    let mut used = HashSet::new();
    for news in 0..12 {
        let what = format!("news {news}");
        now += Duration::from_secs(600);
        let mut lines = Vec::new();
        for number in 0..NAMES {
            let mut line = Written::new(number);
            line.destination = u64::from(number / 2);
            line.live = rng.random_bool(0.8);
            line.rate = f64::from(rng.random_range(1..4));
            line.address.set_port(rng.random_range(1..4));
            if rng.random_bool(0.7) {
                lines.push(line);
            }
        }
        let whole = news % 3 == 0;
        let held: Vec<(String, EndpointId)> = model
            .endpoints
            .keys()
            .map(|name| (name.clone(), directory.endpoint(name).expect("the model has it")))
            .collect();
        model.list(now, whole, &lines);
        let slices = list(&mut directory, whole, now, &lines);
        assert!(slices.len() > 1 && slices.iter().all(|slice| slice.len() <= MAX_CHANGES_PER_STEP), "{what}");
        let all: Vec<&ListEntry> = slices.iter().flatten().collect();
        let first_live = all.iter().position(|line| line.live).expect("some are live");
        let before: HashSet<EndpointId> = all[..first_live].iter().map(|line| line.endpoint).collect();
        let left = held.iter().filter(|(name, _)| !model.endpoints.contains_key(name));
        assert!(
            left.clone().all(|(_, endpoint)| before.contains(endpoint)),
            "{what}: what leaves goes first"
        );
        assert!(news == 0 || left.count() > 0, "{what}");
        let held: HashSet<EndpointId> = held.into_iter().map(|(_, endpoint)| endpoint).collect();
        for line in all.iter().filter(|line| line.live && !held.contains(&line.endpoint)) {
            assert!(used.insert(line.endpoint), "{what}: an id is used once");
        }
        assert_eq!(directory.len(), model.endpoints.len(), "{what}");
        for (name, id) in &model.endpoints {
            let endpoint = directory.endpoint(name).expect("the model has it");
            assert_eq!(directory.spec(endpoint), Some(model.specs[id].0), "{what}: {name}");
        }
        for destination in 0..u64::from(NAMES) {
            let known = model.destinations.contains_key(&destination);
            assert_eq!(directory.knows(DestinationId(destination)), known, "{what}: {destination}");
        }
    }
}

/// The last of two lines counts, also where the first or the second says nothing new, and also in slices.
#[test]
fn the_last_line_of_a_name_counts_also_in_slices() {
    let mut directory = Directory::new();
    let held = Written::new(1);
    let moved = Written { address: "10.9.9.9:1".parse().expect("an address"), ..held.clone() };
    let drains = Written { live: false, ..held.clone() };
    let many: Vec<Written> = (10..10 + MAX_CHANGES_PER_STEP as u32).map(Written::new).collect();
    let cases: [(&[&Written], Option<&Written>); 5] = [
        (&[&moved, &held], Some(&held)),
        (&[&held, &moved], Some(&moved)),
        (&[&drains, &moved], Some(&moved)),
        (&[&moved, &drains], None),
        (&[&held, &drains], None),
    ];
    for (number, (lines, left)) in cases.into_iter().enumerate() {
        list(&mut directory, true, HOUR, std::slice::from_ref(&held));
        let mut lines: Vec<Written> = lines.iter().copied().cloned().collect();
        lines.extend_from_slice(&many);
        assert!(list(&mut directory, false, HOUR, &lines).len() > 1, "case {number}");
        let spec = directory.endpoint(&held.name).and_then(|endpoint| directory.spec(endpoint));
        assert_eq!(spec, left.map(|line| line.spec(0)), "case {number}");
    }
}

#[test]
fn nothing_counts_until_it_is_committed_or_where_another_was_begun() {
    let mut directory = Directory::new();
    let old: Vec<Written> = (0..50).map(Written::new).collect();
    list(&mut directory, true, HOUR, &old);
    let new: Vec<Written> = (40..90).map(Written::new).collect();
    let staged = stage(&mut directory, ANY, &new).expect("room");
    assert_eq!((directory.len(), staged.differences()), (50, 40), "lines that say nothing new take no room");
    let later = stage(&mut directory, ANY, &old[..45]).expect("room");
    assert!(commit(&mut directory, staged, true, HOUR)[0].is_empty(), "superseded");
    assert_eq!(directory.len(), 50);
    let lines = commit(&mut directory, later, true, HOUR).concat();
    assert!(lines.iter().all(|line| !line.live) && lines.len() == 5, "{lines:?}");
}

/// As many lines as one slice holds come at once: an endpoint that moved is two of them, one with another rate is one.
#[test]
fn a_difference_that_fits_one_slice_comes_at_once() {
    let mut directory = Directory::new();
    let mut lines: Vec<Written> = (0..MAX_CHANGES_PER_STEP as u32).map(Written::new).collect();
    let mut slices = |lines: &[Written]| -> Vec<usize> {
        list(&mut directory, false, HOUR, lines).iter().map(Vec::len).collect()
    };
    assert_eq!(slices(&lines), [MAX_CHANGES_PER_STEP]);
    lines.iter_mut().for_each(|line| line.rate += 1.0);
    assert_eq!(slices(&lines), [MAX_CHANGES_PER_STEP]);
    lines[..MAX_CHANGES_PER_STEP / 2].iter_mut().for_each(|line| line.address.set_port(9));
    assert_eq!(slices(&lines), [MAX_CHANGES_PER_STEP]);
    lines.iter_mut().for_each(|line| line.address.set_port(10));
    assert_eq!(slices(&lines), [MAX_CHANGES_PER_STEP, MAX_CHANGES_PER_STEP]);
    lines.iter_mut().for_each(|line| line.live = false);
    assert_eq!(slices(&lines), [MAX_CHANGES_PER_STEP]);
}

/// What is gone is looked for in steps too, and nothing changes before all is found.
#[test]
fn a_whole_list_is_searched_in_steps() {
    let mut directory = Directory::new();
    let all: Vec<Written> = (0..40_000).map(Written::new).collect();
    list(&mut directory, true, HOUR, &all);
    let staged = stage(&mut directory, ANY, &all[1..]).expect("room");
    let mut update = Update::new(staged, true, &directory, HOUR);
    for _ in 0..2 {
        assert!(matches!(update.step(&mut directory), Step::Searched));
        assert_eq!(directory.len(), all.len());
    }
    let Step::Last(lines) = update.step(&mut directory) else { panic!("expected the last step") };
    assert_eq!(lines.iter().map(told).collect::<Vec<_>>(), [(0, 0, 0, false, 0)]);
}

/// Guards against half of an old list that goes on over a newer one.
#[test]
fn a_list_on_its_way_ends_where_another_is_begun() {
    let mut directory = Directory::new();
    let all: Vec<Written> = (0..10_000).map(Written::new).collect();
    let staged = stage(&mut directory, ANY, &all).expect("room");
    let mut update = Update::new(staged, false, &directory, HOUR);
    let Step::Changes(first) = update.step(&mut directory) else { panic!("expected lines") };
    let newer = stage(&mut directory, ANY, &all[..10]).expect("room");
    assert!(matches!(update.step(&mut directory), Step::Last(lines) if lines.is_empty()));
    assert_eq!(directory.len(), first.len());
    commit(&mut directory, newer, true, HOUR);
    assert_eq!(directory.len(), 10);
}

#[test]
fn a_list_without_news_tells_nothing_once() {
    let mut directory = Directory::new();
    let all: Vec<Written> = (0..5_000).map(Written::new).collect();
    assert_eq!(list(&mut directory, true, HOUR, &all).concat().len(), 5_000);
    for (whole, lines) in [(true, &all[..]), (false, &all[..70]), (false, &[])] {
        let staged = stage(&mut directory, ANY, lines).expect("room");
        assert_eq!(staged.differences(), 0);
        let slices = commit(&mut directory, staged, whole, HOUR);
        assert_eq!(slices.iter().map(Vec::len).collect::<Vec<_>>(), [0]);
    }
}

#[test]
fn a_list_that_names_too_many_is_refused_and_changes_nothing() {
    let mut directory = Directory::new();
    let too_large = Err(ListTooLarge { max_endpoints: 100 });
    let all: Vec<Written> = (0..300).map(Written::new).collect();
    let mut staged = StagedList::new(&mut directory, 100);
    let refused = all.iter().position(|line| line.add(&mut staged, &mut directory).is_err());
    assert_eq!((refused, directory.len()), (Some(100), 0), "as soon as there is one too many");
    // What is distinct counts, and what drains does not.
    let mut lines = [&all[..100], &all[..100]].concat();
    lines[0].live = false;
    lines.push(Written { live: false, ..all[150].clone() });
    let staged = stage(&mut directory, 100, &lines).expect("a hundred names");
    assert_eq!(staged.fits(&directory, true), Ok(()));
    commit(&mut directory, staged, true, HOUR);
    assert_eq!(directory.len(), 100);
    // A partial list is counted with what is held, a whole one by itself; endpoints of unknown kinds stay.
    let staged = stage(&mut directory, 100, &all[100..110]).expect("ten");
    assert_eq!((staged.fits(&directory, true), staged.fits(&directory, false)), (Ok(()), too_large));
    let drains = all[..10].iter().map(|line| Written { live: false, ..line.clone() });
    let lines: Vec<Written> = drains.chain(all[100..110].iter().cloned()).collect();
    let staged = stage(&mut directory, 100, &lines).expect("ten for ten");
    assert_eq!(staged.fits(&directory, false), Ok(()));
    let unknown = all[..91].iter().map(|line| Written { kind: None, ..line.clone() });
    let lines: Vec<Written> = unknown.chain(all[100..110].iter().cloned()).collect();
    assert_eq!(stage(&mut directory, 100, &lines).err(), too_large.err());
    // Endpoints that are not held and drain take room too while they are staged.
    let drains = (1_000..4_000).map(|number| Written { live: false, ..Written::new(number) });
    assert_eq!(stage(&mut directory, 100, &drains.collect::<Vec<_>>()).err(), too_large.err());
}

/// By count, not by time: a news costs what it changes, whatever is listed.
#[test]
fn a_news_visits_no_more_than_it_changes() {
    const CHANGES: u32 = 12;
    /// A line is compared, its endpoint found, removed and entered anew: each looks at a slot or two.
    const VISITS: u64 = 16;
    let mut most = BTreeMap::new();
    for listed in [20, 5_000, 100_000] {
        let mut directory = Directory::new();
        let all: Vec<Written> = (0..listed).map(Written::new).collect();
        list(&mut directory, true, HOUR, &all);
        for news in 0..20 {
            let mut lines: Vec<Written> = all[..CHANGES as usize].to_vec();
            for (number, line) in lines.iter_mut().enumerate() {
                match number % 4 {
                    0 => line.rate += f64::from(news),
                    1 => line.address.set_port(8000 + news as u16),
                    2 => line.destination = u64::from(listed + news),
                    _ => line.live = news % 2 == 1,
                }
            }
            let before = directory.visited();
            list(&mut directory, false, HOUR * (news + 1), &lines);
            let visited = directory.visited() - before;
            most.entry(listed).and_modify(|most: &mut u64| *most = visited.max(*most)).or_insert(visited);
            let before = directory.visited();
            list(&mut directory, false, HOUR * (news + 1), &[]);
            assert!(directory.visited() - before <= 1, "a news without lines looks at nothing");
        }
    }
    assert!(most.values().all(|visited| *visited <= VISITS * u64::from(CHANGES)), "{most:?}");
}

/// Also where an index grows: it does so in parts.
#[test]
fn no_line_looks_at_a_large_part_of_what_is_listed() {
    const LISTED: u32 = 60_000;
    let mut directory = Directory::new();
    for number in 0..LISTED {
        let before = directory.visited();
        list(&mut directory, false, HOUR, &[Written::new(number)]);
        let visited = directory.visited() - before;
        assert!(visited <= u64::from(LISTED) / 16, "{visited} at {number}");
    }
}

/// Where a thousand destinations leave in a row, no more than so many are remembered.
#[test]
fn destinations_that_left_are_bounded_and_the_oldest_go_first() {
    let mut directory = Directory::new();
    let at = |number: u32| Duration::from_secs(u64::from(number));
    let only = |directory: &mut Directory, number: u32| {
        let staged = stage(directory, 10, &[Written::new(number)]).expect("room");
        commit(directory, staged, true, at(number))
    };
    for number in 0..1_000 {
        only(&mut directory, number);
    }
    let known = |directory: &Directory| -> Vec<u64> {
        (0..1_000).filter(|number| directory.knows(DestinationId(*number))).collect()
    };
    assert_eq!(known(&directory), (989..1_000).collect::<Vec<_>>(), "the one that is listed, and ten");
    // One that comes and goes displaces nobody, nor does one that is told again and again to drain.
    for _ in 0..200 {
        only(&mut directory, 999);
        only(&mut directory, 998);
    }
    let drains = Written { live: false, ..Written::new(999) };
    for _ in 0..200 {
        let staged = stage(&mut directory, 10, std::slice::from_ref(&drains)).expect("room");
        commit(&mut directory, staged, false, at(1_000));
    }
    assert_eq!(known(&directory), (989..1_000).collect::<Vec<_>>());
}

#[test]
fn so_many_as_the_largest_sender_lists_take_ninety_bytes_each() {
    assert_eq!(SLOT_BYTES, 64);
    let mut directory = Directory::new();
    let mut staged = StagedList::new(&mut directory, LARGEST as usize);
    for number in 0..LARGEST {
        Written::new(number).add(&mut staged, &mut directory).expect("room");
    }
    commit(&mut directory, staged, true, HOUR);
    assert_eq!(directory.len(), LARGEST as usize);
    let each = directory.bytes() as f64 / f64::from(LARGEST);
    assert!(each <= 90.0, "{each}");
}

/// An exchange on the example's settings.
fn exchange(folder: &std::path::Path) -> Exchange {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let state = folder.to_str().expect("a plain path");
    let environment = |name: &str| (name == "ROUTER_STATE").then(|| state.to_owned());
    let sender_config =
        config::read(Some(file.into()), &environment).unwrap_or_else(|fault| panic!("{}", fault.0));
    let ledger = Ledger::open(folder, 1_000_000, 100, sailcart_store::SyncPolicy::None).expect("a ledger");
    Exchange::new(sender_config.settings, 1, sender_config.names, ledger)
}

fn entries(numbers: std::ops::Range<u32>) -> Vec<Entry> {
    let entry = |line: Written| Entry {
        name: line.name,
        address: line.address,
        kind: "k".to_owned(),
        destination: line.destination,
        live: line.live,
        rate: line.rate,
    };
    numbers.map(|number| entry(Written::new(number))).collect()
}

/// Whether a packet for a destination is turned away at once, as for one that is not known.
fn unknown(exchange: &Exchange, destination: u64) -> bool {
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
fn a_large_list_is_told_in_slices_with_yields_and_counts_as_told_at_its_end() {
    let folder = tempfile::tempdir().expect("a folder");
    let exchange = exchange(folder.path());
    let mut staged = exchange.stage(100_000);
    exchange.add_entries(&mut staged, entries(0..10_000)).expect("room");
    assert!(!exchange.is_listed(EndpointId(0)), "nothing counts yet");
    let mut commit = pin!(exchange.apply(staged, true));
    let mut context = Context::from_waker(Waker::noop());
    let mut yields = 0;
    while commit.as_mut().poll(&mut context) == Poll::Pending {
        yields += 1;
        assert!(!unknown(&exchange, 1_000_000 + yields), "not told yet, so nothing is unknown");
    }
    assert_eq!(yields, 9, "ten chunks");
    assert!(exchange.is_listed(EndpointId(9_999)) && !exchange.is_listed(EndpointId(10_000)));
    assert!(unknown(&exchange, 2_000_000) && !unknown(&exchange, 1));

    let mut small = exchange.stage(100_000);
    exchange.add_entries(&mut small, entries(10_000..12_000)).expect("room");
    let mut commit = pin!(exchange.apply(small, false));
    assert_eq!(commit.as_mut().poll(&mut context), Poll::Ready(()), "at once");
    assert!(exchange.is_listed(EndpointId(11_999)));
}

#[test]
fn a_list_dropped_or_refused_half_way_leaves_what_was_told() {
    let folder = tempfile::tempdir().expect("a folder");
    let exchange = exchange(folder.path());
    let mut context = Context::from_waker(Waker::noop());
    let mut staged = exchange.stage(10);
    exchange.add_entries(&mut staged, entries(0..8)).expect("room");
    assert!(pin!(exchange.apply(staged, true)).poll(&mut context).is_ready());

    let mut dropped = exchange.stage(10);
    exchange.add_entries(&mut dropped, entries(7..9)).expect("room");
    drop(dropped);
    let mut large = exchange.stage(10);
    let refused = exchange.add_entries(&mut large, entries(0..11));
    assert_eq!(refused, Err(ListTooLarge { max_endpoints: 10 }));
    drop(large);
    let mut beside = exchange.stage(10);
    exchange.add_entries(&mut beside, entries(8..11)).expect("three");
    assert_eq!(exchange.fits(&beside, false), Err(ListTooLarge { max_endpoints: 10 }));
    assert!(pin!(exchange.apply(beside, false)).poll(&mut context).is_ready());
    let listed: Vec<u32> = (0..20).filter(|id| exchange.is_listed(EndpointId(*id))).collect();
    assert_eq!(listed, (0..8).collect::<Vec<_>>());
    assert!(unknown(&exchange, 8) && !unknown(&exchange, 7));
}
