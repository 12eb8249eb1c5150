//! A sender and lists that are large, cut, spoilt or endless: the last good one stays in force, packets go out meanwhile, and
//! memory is bounded.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

#[allow(dead_code)] // other tests use the rest of it
mod common;

use common::harness::{CONFIG, Harness};
use common::{http_response, list_entry, submit};

const WATCH: &str = "/v1/servers?from=";
const WHOLE: &str = "/v1/servers";

/// A call for the list.
#[derive(Clone, Debug)]
struct Asked {
    at: Instant,
    path: String,
}

/// A discovery of which each answer is written by hand.
struct Discovery {
    address: SocketAddr,
    asked: Arc<Mutex<Vec<Asked>>>,
}

impl Discovery {
    /// `reply` writes the n-th answer, from 0, to a call for this path; a fault closes the connection.
    fn start(
        reply: impl Fn(usize, &str, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let address = listener.local_addr().expect("an address");
        let asked = Arc::new(Mutex::new(Vec::new()));
        let (own, reply) = (asked.clone(), Arc::new(reply));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (asked, reply) = (own.clone(), reply.clone());
                thread::spawn(move || converse(stream, &asked, &*reply));
            }
        });
        Discovery { address, asked }
    }

    fn asked(&self) -> Vec<Asked> {
        self.asked.lock().expect("no panic").clone()
    }
}

fn converse(
    mut stream: TcpStream,
    asked: &Mutex<Vec<Asked>>,
    reply: &dyn Fn(usize, &str, &mut TcpStream) -> io::Result<()>,
) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut lines = BufReader::new(reading).lines().map_while(Result::ok);
    while let Some(start) = lines.next() {
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let path = start.split(' ').nth(1).unwrap_or_default().to_owned();
        let number = {
            let mut asked = asked.lock().expect("no panic");
            asked.push(Asked { at: Instant::now(), path: path.clone() });
            asked.len() - 1
        };
        if reply(number, &path, &mut stream).is_err() {
            return;
        }
    }
}

fn list(version: u64, whole: bool, entries: &str) -> String {
    format!(r#"{{"generation":{version},"reset":{whole},"instances":[{entries}]}}"#)
}

/// A whole answer with its length.
fn say(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    stream.write_all(http_response("200 OK", "", body).unwrap_or_default().as_bytes())
}

/// The answer to a watch in which nothing changes: at the end of its wait.
fn nothing_new(stream: &mut TcpStream, path: &str, version: u64) -> io::Result<()> {
    let hold = path.split("hold_ms=").nth(1).and_then(|hold| hold.parse().ok()).unwrap_or(0);
    sleep(Duration::from_millis(hold));
    say(stream, &list(version, false, ""))
}

/// The n-th of many endpoints, where nobody listens.
fn one_of_many(number: usize) -> String {
    let address = SocketAddr::from(([127, 9, (number / 250) as u8, (number % 250) as u8], 9));
    list_entry(&format!("many-{number}"), address, 8 + number as u64 % 100, "Ready")
}

fn many(numbers: std::ops::Range<usize>) -> String {
    numbers.map(one_of_many).collect::<Vec<_>>().join(",")
}

fn chunk(stream: &mut TcpStream, bytes: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{bytes}\r\n", bytes.len()).as_bytes())
}

/// A list of so many entries in chunks, the version last.
fn say_many(stream: &mut TcpStream, version: u64, count: usize) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    chunk(stream, r#"{"instances":["#)?;
    for first in (0..count).step_by(500) {
        let comma = if first > 0 { "," } else { "" };
        chunk(stream, &format!("{comma}{}", many(first..count.min(first + 500))))?;
    }
    chunk(stream, &format!(r#"],"reset":true,"generation":{version}}}"#))?;
    stream.write_all(b"0\r\n\r\n")
}

/// A sender that begins with another discovery, and this much memory.
fn world(story: &str, discovery: &Discovery, memory_mb: u32) -> Harness {
    let mut world = Harness::new(story, |_, _| http_response("200 OK", "", ""));
    world.kill();
    let limit = format!(r#""memory_mb": {memory_mb}"#);
    let config = world.config.replace(r#""memory_mb": 192"#, &limit);
    world.config = config.replace(&world.discovery_address.to_string(), &discovery.address.to_string());
    assert!(world.config.contains(&limit));
    fs::write(world.folder.join("log"), "").expect("an empty log");
    world.start();
    world
}

/// Where the world's endpoint is, once it is known.
type Endpoint = Arc<Mutex<Option<SocketAddr>>>;

/// The world's one endpoint as it is listed; discovery starts before it is known.
fn first_entry(endpoint: &Endpoint, destination: u64) -> String {
    let start = Instant::now();
    loop {
        if let Some(address) = *endpoint.lock().expect("no panic") {
            return list_entry("e", address, destination, "Ready");
        }
        assert!(start.elapsed() < Duration::from_secs(10), "no endpoint");
        sleep(Duration::from_millis(1));
    }
}

fn put_to(world: &Harness, id: &str, destination: u64) -> String {
    let fields = format!("c=notice,t=acme,d=8000,k={id},dest={destination}");
    submit(world.listen_address, id, &fields, "hello").expect("an answer")
}

/// Hands a packet in and sees it delivered.
fn delivers(world: &Harness, id: &str, destination: u64) {
    assert_eq!(put_to(world, id, destination), "+OK");
    world.wait_until("the call", |world| world.received_ids().iter().any(|came| came == id));
}

fn count(world: &Harness, words: &str) -> usize {
    world.log().matches(words).count()
}

/// Moves a world that has its first list to another discovery.
fn move_to(world: &mut Harness, discovery: &Discovery) {
    world.config = world.config.replace(&world.discovery_address.to_string(), &discovery.address.to_string());
    world.reload(&world.config);
}

/// Cut in the middle, by its length and in a chunk: nothing of it counts, and the last good list serves.
#[test]
fn a_list_that_is_cut_changes_nothing() {
    let mut world = Harness::new("cut", |_, _| http_response("200 OK", "", ""));
    let first = list_entry("e", world.endpoint_address, 7, "Ready");
    let gone_on = Arc::new(AtomicBool::new(false));
    let goes_on = gone_on.clone();
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => say(stream, &list(5, true, &first)),
        1 => {
            let whole = http_response("200 OK", "", &list(6, true, &many(0..2000))).unwrap_or_default();
            stream.write_all(&whole.as_bytes()[..whole.len() / 2])?;
            Err(io::ErrorKind::BrokenPipe.into())
        }
        2 => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            chunk(stream, &format!(r#"{{"generation":7,"reset":true,"instances":[{}"#, many(0..2000)))?;
            Err(io::ErrorKind::BrokenPipe.into())
        }
        _ if !goes_on.load(Ordering::SeqCst) => nothing_new(stream, path, 5),
        _ => say(stream, &list(8, true, &first)),
    });
    move_to(&mut world, &discovery);
    world.wait_until("both cuts", |_| discovery.asked().len() > 3);
    assert_eq!(count(&world, "code=no_list"), 1, "one line for the outage");
    assert!(discovery.asked()[1..4].iter().all(|asked| asked.path.starts_with(WATCH)), "the version stands");
    delivers(&world, "a1", 7);
    assert_eq!(put_to(&world, "a2", 8), "-ERR unknown destination", "nothing of the half counts");
    gone_on.store(true, Ordering::SeqCst);
    world.wait_until("the list after it", |world| world.log().contains("discovery: version 8, 1 entries"));
    assert!(!world.log().contains("discovery: version 6") && !world.log().contains("discovery: version 7"));
}

/// Two documents in a body, and the same member twice.
#[test]
fn a_list_that_is_doubled_changes_nothing() {
    let world = Harness::new("doubled", |_, _| http_response("200 OK", "", ""));
    let other = list(9, true, &many(0..100));
    let slips = [other.repeat(2), other.replace(r#""reset""#, r#""instances":[],"reset""#)];
    for (nth, slip) in slips.into_iter().enumerate() {
        *world.platform.next_list_response.lock().expect("no panic") = Some(slip);
        // A watch that is out hears of this first, and the call after it meets the slip; or else the next call does.
        world.platform.set_list(&[list_entry("e", world.endpoint_address, 7, "Ready")]);
        let version = format!("discovery: version {}, 1 entries", nth + 2);
        world.wait_until("the whole list after the slip", |world| {
            let log = world.log();
            let slips: Vec<&str> = log.split("code=no_list").collect();
            slips.len() == nth + 2 && slips[nth + 1].contains(&version)
        });
        delivers(&world, &format!("a{nth}"), 7);
    }
    assert!(!world.log().contains("discovery: version 9"));
    assert_eq!(put_to(&world, "b1", 8), "-ERR unknown destination");
}

/// A million endpoints for a sender of 16 MB, which has room for 31,250: refused while it is read. The last good list stays, one
/// line tells of it, and it is asked for again at growing pauses, of a second at least. Gathered, it would take 200 MB.
#[test]
fn a_list_of_a_million_endpoints_is_refused_in_bounded_memory() {
    let (endpoint, fits) = (Endpoint::default(), Arc::new(AtomicBool::new(false)));
    let (own, fitting) = (endpoint.clone(), fits.clone());
    let discovery = Discovery::start(move |number, _, stream| match number {
        0 => say(stream, &list(1, true, &first_entry(&own, 7))),
        _ if fitting.load(Ordering::SeqCst) => say(stream, &list(3, true, &first_entry(&own, 9))),
        _ => say_many(stream, 2, 1_000_000),
    });
    let mut world = Harness::new("million", |_, _| http_response("200 OK", "", ""));
    *endpoint.lock().expect("no panic") = Some(world.endpoint_address);
    world.kill();
    let small = world.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 16"#);
    world.config = small.replace(&world.discovery_address.to_string(), &discovery.address.to_string());
    world.start();
    world.wait_until("the refusal", |world| world.log().contains("discovery: code=list_too_large"));
    let start = Instant::now();
    let mut sent = 0;
    while discovery.asked().len() < 4 {
        delivers(&world, &format!("a{sent}"), 7);
        sent += 1;
        assert!(start.elapsed() < Duration::from_secs(20), "asked for again: {:?}", discovery.asked());
        sleep(Duration::from_millis(50));
    }
    fits.store(true, Ordering::SeqCst); // the answer that is being read may still be too large
    let asked = discovery.asked();
    for pair in asked[1..].windows(2) {
        let pause = pair[1].at - pair[0].at;
        assert!(pause >= Duration::from_secs(1), "asked for again after {pause:?}");
    }
    assert_eq!(count(&world, "code=list_too_large"), 1, "one line for the outage");
    assert_eq!(count(&world, "code=no_list"), 0);
    let memory = world.memory("VmHWM");
    println!("{memory} bytes at most");
    assert!(memory < 48_000_000, "{memory} bytes");
    let start = Instant::now();
    while !world.log().contains("discovery: version 3, 1 entries") {
        assert!(start.elapsed() < Duration::from_secs(20), "a list that fits is taken");
        sleep(Duration::from_millis(50));
    }
    delivers(&world, "b1", 9);
}

/// The whole list, asked for after one that was spoilt, is too large: changes after the last good list are heard meanwhile, and
/// the whole is asked for again.
#[test]
fn changes_are_heard_while_the_whole_list_is_too_large() {
    let (endpoint, heard) = (Endpoint::default(), Arc::new(AtomicBool::new(false)));
    let (own, told) = (endpoint.clone(), heard.clone());
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => say(stream, &list(1, true, &first_entry(&own, 7))),
        1 => say(stream, "{}"),
        _ if path == WHOLE => say_many(stream, 3, 1_000_000),
        _ if !told.swap(true, Ordering::SeqCst) => {
            let change = list_entry("f", own.lock().expect("no panic").expect("an endpoint"), 9, "Ready");
            say(stream, &list(2, false, &change))
        }
        _ => nothing_new(stream, path, 2),
    });
    let mut world = Harness::new("meanwhile", |_, _| http_response("200 OK", "", ""));
    *endpoint.lock().expect("no panic") = Some(world.endpoint_address);
    world.kill();
    let small = world.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 4"#);
    world.config = small.replace(&world.discovery_address.to_string(), &discovery.address.to_string());
    world.start();
    world.wait_until("the change", |world| world.log().contains("discovery: version 2, 1 entries"));
    delivers(&world, "a1", 9);
    delivers(&world, "a2", 7);
    let whole = || discovery.asked().into_iter().filter(|asked| asked.path == WHOLE).collect::<Vec<_>>();
    world.wait_until("the whole again", |_| whole().len() > 2);
    let asked = whole();
    let pauses = [asked[1].at - asked[0].at, asked[2].at - asked[1].at];
    assert!(pauses.iter().all(|pause| *pause >= Duration::from_secs(1)), "{pauses:?}");
    let between = discovery.asked();
    let watches = between.iter().filter(|one| one.path.starts_with(WATCH) && one.at > asked[0].at).count();
    assert!(watches >= 2, "the watch goes on: {between:?}");
    assert_eq!(count(&world, "code=list_too_large"), 1, "one line, although changes came");
}

/// A start does not wait for a list that fits.
#[test]
fn a_start_with_a_list_that_is_too_large_lets_clients_in() {
    let discovery = Discovery::start(|_, _, stream| say_many(stream, 2, 1_000_000));
    let world = world("start", &discovery, 4);
    world.wait_until("the refusal", |world| world.log().contains("discovery: code=list_too_large"));
    assert_eq!(world.submit("a1"), "+OK", "no list was ever told: any destination may be one");
}

/// A discovery whose second list never ends: so many bytes of it were written when it was refused.
fn written_until_refused(name: &str, row: &str) -> usize {
    let mut world = Harness::new(name, |_, _| http_response("200 OK", "", ""));
    let (first, written) =
        (list_entry("e", world.endpoint_address, 7, "Ready"), Arc::new(AtomicUsize::new(0)));
    let (bytes, row) = (written.clone(), row.repeat(200));
    let discovery = Discovery::start(move |number, _, stream| {
        if number == 0 {
            return say(stream, &list(1, true, &first));
        }
        // Without a length or chunks: until the connection ends.
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"generation\":2,\"reset\":true,\"instances\":[")?;
        loop {
            stream.write_all(row.as_bytes())?;
            bytes.fetch_add(row.len(), Ordering::SeqCst);
        }
    });
    world.kill();
    let small = world.config.replace(r#""memory_mb": 192"#, r#""memory_mb": 1"#);
    world.config = small.replace(&world.discovery_address.to_string(), &discovery.address.to_string());
    world.start();
    world.wait_until("the refusal", |world| world.log().contains("discovery: code=list_too_large"));
    let written = written.load(Ordering::SeqCst);
    delivers(&world, "a1", 7);
    written
}

/// Endpoints that 1 MB of memory are worth, as `sailcart check` tells.
const LISTED: usize = 1_953;

/// An endless list ends by its bytes, although it names no endpoint: 4,096 bytes for each that could be.
#[test]
fn a_list_without_end_is_refused() {
    let written = written_until_refused("endless", &" ".repeat(160));
    assert!(written > LISTED * 4_096, "refused after {written} bytes already");
}

/// One that names one endpoint again and again ends sooner: what is kept of its lines is bounded by their number.
#[test]
fn a_list_that_names_one_endpoint_without_end_is_refused() {
    let row = format!("{},", one_of_many(1));
    let written = written_until_refused("doubles", &row);
    assert!(written > LISTED * row.len(), "refused after {written} bytes already");
    assert!(written < LISTED * 4_096, "not refused until {written} bytes came");
}

/// A list that dribbles is given up in the time of its call, as before.
#[test]
fn a_list_that_dribbles_is_given_up() {
    let mut world = Harness::new("dribbles", |_, _| http_response("200 OK", "", ""));
    let first = list_entry("e", world.endpoint_address, 7, "Ready");
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => say(stream, &list(1, true, &first)),
        1 => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n")?;
            (0..9000).try_for_each(|_| {
                sleep(Duration::from_millis(10));
                stream.write_all(b" ")
            })
        }
        _ => nothing_new(stream, path, 1),
    });
    move_to(&mut world, &discovery);
    world.wait_until("the next call", |_| discovery.asked().len() > 2);
    let asked = discovery.asked();
    let took = asked[2].at - asked[1].at;
    assert!(took < Duration::from_secs(6), "given up after {took:?}");
    assert_eq!(count(&world, "code=no_list"), 1);
    delivers(&world, "a1", 7);
}

/// It is passed over with a line of its own; the rest of the list counts.
#[test]
fn an_entry_of_sixty_kilobytes_hides_no_other() {
    let world = Harness::new("sixty", |_, _| http_response("200 OK", "", ""));
    let large = list_entry("l", world.endpoint_address, 8, "Ready")
        .replace('{', &format!(r#"{{"x":"{}","#, "x".repeat(60_000)));
    let entries = [
        list_entry("e", world.endpoint_address, 7, "Ready"),
        large,
        list_entry("f", world.endpoint_address, 9, "Ready"),
    ];
    world.platform.set_list(&entries);
    world.wait_until("the list", |world| world.log().contains("discovery: version 2, 2 entries"));
    assert_eq!(count(&world, "discovery: code=entry_too_large"), 1);
    delivers(&world, "a1", 7);
    delivers(&world, "a2", 9);
    assert_eq!(put_to(&world, "a3", 8), "-ERR unknown destination");
}

/// Of entries that cannot be read the first few have a line each, all are counted.
#[test]
fn entries_that_cannot_be_read_are_counted() {
    let world = Harness::new("unread", |_, _| http_response("200 OK", "", ""));
    let mut entries = vec![r#"{"instanceId":"no address"}"#.to_owned(); 1000];
    entries.push(list_entry("e", world.endpoint_address, 7, "Ready"));
    world.platform.set_list(&entries);
    world.wait_until("the list", |world| world.log().contains("discovery: version 2, 1 entries"));
    assert!(world.log().contains("discovery: code=entry 1000 entries skipped"));
    assert_eq!(count(&world, "code=entry"), 4);
    delivers(&world, "a1", 7);
}

/// Each list names other endpoints: those of the lists before leave nothing.
#[test]
fn ids_that_change_with_each_list_take_no_more_memory() {
    let world = Harness::new("changing", |_, _| http_response("200 OK", "", ""));
    let mut early = 0;
    for nth in 0..16 {
        let names: String = (0..2000)
            .map(|number| one_of_many(number).replace("many-", &format!("{nth}-of-many-{number}-")) + ",")
            .collect();
        world.platform.set_list(&[names + &list_entry("e", world.endpoint_address, 7, "Ready")]);
        let version = format!("discovery: version {}, 2001 entries", nth + 2);
        world.wait_until("the list", |world| world.log().contains(&version));
        if nth == 5 {
            early = world.memory("VmHWM");
        }
    }
    let late = world.memory("VmHWM");
    println!("{early} bytes at most after six lists, {late} after sixteen");
    // Ten lists more, of 2,001 endpoints: 192 bytes each would be 3.8 MB.
    assert!(late < early + 2_000_000, "{early} bytes after six lists, {late} after sixteen");
    delivers(&world, "a1", 7);
}

/// 20,000 endpoints: half of them come, then the rest only when twenty packets more were answered and delivered.
#[test]
fn clients_are_answered_while_a_large_list_comes() {
    let mut world = Harness::new("throughout", |_, _| http_response("200 OK", "", ""));
    let first = list_entry("e", world.endpoint_address, 7, "Ready");
    let answered = Arc::new(AtomicUsize::new(0));
    let (seen, listed) = (answered.clone(), Arc::new(AtomicBool::new(false)));
    let reached = listed.clone();
    let discovery = Discovery::start(move |number, path, stream| match number {
        0 => say(stream, &list(1, true, &first)),
        1 => {
            let body = list(2, true, &format!("{first},{}", many(0..20_000)));
            let whole = http_response("200 OK", "", &body).unwrap_or_default();
            let (front, back) = whole.as_bytes().split_at(whole.len() / 2);
            stream.write_all(front)?;
            let before = seen.load(Ordering::SeqCst);
            let start = Instant::now();
            while seen.load(Ordering::SeqCst) < before + 20 && start.elapsed() < Duration::from_secs(2) {
                sleep(Duration::from_millis(1));
            }
            reached.store(seen.load(Ordering::SeqCst) >= before + 20, Ordering::SeqCst);
            stream.write_all(back)
        }
        _ => nothing_new(stream, path, 2),
    });
    move_to(&mut world, &discovery);
    world.wait_until("the first list", |world| world.log().contains("discovery: version 1, 1 entries"));
    let mut sent = 0;
    let mut longest = Duration::ZERO;
    while !world.log().contains("discovery: version 2, 20001 entries") {
        let start = Instant::now();
        assert_eq!(put_to(&world, &format!("a{sent}"), 7), "+OK");
        longest = longest.max(start.elapsed());
        answered.fetch_add(1, Ordering::SeqCst);
        sent += 1;
        assert!(sent < 5000, "{}", world.log());
    }
    println!("{sent} answers, {longest:?} at most");
    assert!(listed.load(Ordering::SeqCst), "answers came in the midst of the list, {sent} in all");
    assert!(longest < Duration::from_secs(2), "one took {longest:?}");
    delivers(&world, "b1", 7);
}

/// Discovery moves in the midst of a list: nothing of it counts, and the new one's list is in force.
#[test]
fn a_move_in_the_midst_of_a_list_leaves_nothing_of_it() {
    let mut world = Harness::new("midst", |_, _| http_response("200 OK", "", ""));
    let first = list_entry("e", world.endpoint_address, 7, "Ready");
    let half = Arc::new(AtomicBool::new(false));
    let (own, sent) = (first.clone(), half.clone());
    let left = Discovery::start(move |number, _, stream| {
        if number == 0 {
            return say(stream, &list(4, true, &own));
        }
        let whole = http_response("200 OK", "", &list(5, true, &many(0..2000))).unwrap_or_default();
        stream.write_all(&whole.as_bytes()[..whole.len() / 2])?;
        sent.store(true, Ordering::SeqCst);
        loop {
            thread::park();
        }
    });
    let moved = Discovery::start(move |number, path, stream| match number {
        0 => say(stream, &list(2, true, &first)),
        _ => nothing_new(stream, path, 2),
    });
    move_to(&mut world, &left);
    world.wait_until("half of a list", |_| half.load(Ordering::SeqCst));
    world.config = world.config.replace(&left.address.to_string(), &moved.address.to_string());
    world.reload(&world.config);
    world.wait_until("the new list", |world| world.log().contains("discovery: version 2, 1 entries"));
    assert_eq!(moved.asked()[0].path, WHOLE);
    delivers(&world, "a1", 7);
    assert_eq!(put_to(&world, "a2", 8), "-ERR unknown destination");
}

#[test]
fn the_bound_is_shown() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("config.json");
    let state = folder.path().to_str().expect("a plain path");
    for (memory, endpoints) in [("192", 375_000), ("16", 31_250)] {
        let config = CONFIG.replace("examples/state", state);
        let config = config.replace(r#""memory_mb": 192"#, &format!(r#""memory_mb": {memory}"#));
        fs::write(&file, config).expect("a file");
        let run =
            Command::new(env!("CARGO_BIN_EXE_sailcart")).arg("check").arg("--config").arg(&file).output();
        let said = String::from_utf8_lossy(&run.expect("a run").stdout).into_owned();
        assert!(said.contains(&format!("{endpoints} endpoints listed by discovery at most")), "{said}");
    }
}
