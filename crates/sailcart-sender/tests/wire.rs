//! What is spoken on the wire, without sockets.

use std::time::Duration;

use sailcart::Outcome;
use sailcart_sender::wire::call::{self, CallPacket};
use sailcart_sender::wire::resp::{self, Command};
use sailcart_sender::wire::{chunked, discovery, http, notice};
use sailcart_terms::ReportFields;

const PUT: &[u8] = b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$2\r\nab\r\n$30\r\nc=n,t=a,d=8000,k=5c,dest=7,r=1\r\n\
    $6\r\nb\r\n*1\r\r\n";

#[test]
fn a_command_is_whole_only_with_its_last_byte() {
    for cut in 0..PUT.len() {
        assert_eq!(resp::parse_command(&PUT[..cut]), Ok(None), "{cut} bytes");
    }
    let both = [PUT, b"*1\r\n$4\r\nPING\r\n"].concat();
    let Ok(Some((Command::Put(put), used))) = resp::parse_command(&both) else {
        panic!("a packet handed in")
    };
    assert_eq!((put.id, put.category, put.customer, put.idempotency_key), ("ab", "n", Some("a"), Some("5c")));
    assert_eq!((put.destination, put.patience, put.order_key), (7, Duration::from_secs(8), None));
    assert_eq!(put.body, b"b\r\n*1\r");
    assert_eq!(resp::parse_command(&both[used..]), Ok(Some((Command::Ping(None), 14))));
}

/// lisboa-logs: the word before the id is the key of order, and zeros are none. It was passed over, and packets
/// of one key went out together.
#[test]
fn the_first_word_is_what_packets_in_order_are_about() {
    for (word, order_key) in [("000fbfff30a2d3e3", Some("000fbfff30a2d3e3")), ("0000000000000000", None)] {
        let input =
            format!("*5\r\n$7\r\nMSG.PUT\r\n$16\r\n{word}\r\n$1\r\na\r\n$14\r\nc=n,d=1,dest=7\r\n$0\r\n\r\n");
        let Ok(Some((Command::Put(put), _))) = resp::parse_command(input.as_bytes()) else {
            panic!("{word}")
        };
        assert_eq!(put.order_key, order_key);
    }
}

#[test]
fn bad_commands_are_told_apart() {
    assert!(resp::parse_command(b"GET / HTTP/1.1\r\n").is_err());
    assert!(resp::parse_command(b"*1\r\n$-1\r\n").is_err());
    assert!(resp::parse_command(b"*1\r\n$4\r\nPINGPONG\r\n").is_err(), "longer than it says");
    assert_eq!(resp::parse_command(b"*1\r\n$70000\r\n"), Err("too large"));
    assert_eq!(resp::parse_command(b"*999\r\n"), Err("too large"));
    let faulty = |input| matches!(resp::parse_command(input), Ok(Some((Command::Malformed(_), _))));
    assert_eq!(resp::parse_command(b"*1\r\n$5\r\nHELLO\r\n"), Ok(Some((Command::Unknown, 15))));
    assert!(faulty(b"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n"));
}

/// Ids go into headers and notices as they are: none may end a line there.
#[test]
fn words_that_would_break_a_header_are_refused() {
    for (id, fields) in
        [("a\r\nX", "c=n,d=1,dest=7"), ("a\"b", "c=n,d=1,dest=7"), ("a", "c=n,d=1,dest=7,k=\n")]
    {
        let bulk = |word: &str| format!("${}\r\n{word}\r\n", word.len());
        let words = ["MSG.PUT", "0", id, fields, ""].map(bulk).concat();
        let input = format!("*5\r\n{words}");
        let read = resp::parse_command(input.as_bytes());
        assert!(matches!(read, Ok(Some((Command::Malformed(_), _)))), "{id:?} {fields:?}");
    }
}

fn outcomes(answer: &str, body: &str, ids: &[&str]) -> Vec<call::PacketOutcome> {
    let (head, _) = http::head(answer.as_bytes()).expect("a good head").expect("a whole head");
    call::packet_outcomes(&head, body.as_bytes(), ids)
}

#[test]
fn each_answer_is_an_outcome() {
    let wait = Some(Duration::from_millis(250));
    for (answer, expected) in [
        ("200 OK\r\n", (Outcome::Done, true)),
        ("500 Internal Server Error\r\n", (Outcome::Error, false)),
        ("429 Too Many Requests\r\nretry-after: 0.25\r\n", (Outcome::Full(wait), false)),
        ("429 Too Many Requests\r\nRetry-After: 0\r\n", (Outcome::Full(None), false)),
        ("429 Too Many Requests\r\nRetry-After: -1\r\n", (Outcome::Full(None), false)),
        ("429 Too Many Requests\r\nRetry-After: NaN\r\n", (Outcome::Full(None), false)),
        ("429 Too Many Requests\r\nRetry-After: 1e300\r\n", (Outcome::Full(None), false)),
        ("503 Service Unavailable\r\n", (Outcome::Full(None), false)),
        ("503 Service Unavailable\r\nX-Line-Busy: 1\r\n", (Outcome::NoSlot, false)),
        ("503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n", (Outcome::NoRoom, false)),
        ("504 Gateway Timeout\r\n", (Outcome::Moot, false)),
        ("410 Gone\r\n", (Outcome::Moot, true)),
        ("418 Something else\r\n", (Outcome::Error, false)),
    ] {
        assert_eq!(outcomes(&format!("HTTP/1.1 {answer}\r\n"), "", &["a"]), [expected], "{answer}");
    }
}

/// What an answer tells of the limit, late and by other people's programs: one that cannot be meant so is none.
#[test]
fn a_report_that_is_cut_negative_or_absurd_is_none() {
    let report_fields = ReportFields { unused_share: (0, "x0".to_owned()), limit: (1, "x1".to_owned()) };
    let told = |value: &str| {
        let answer = format!("HTTP/1.1 200 OK\r\nx-load-report: {value}\r\n\r\n");
        let (head, _) = http::head(answer.as_bytes()).expect("a good head").expect("a whole head");
        call::limit_report(&head, &report_fields).map(|report| (report.unused_share, report.limit))
    };
    assert_eq!(told("x0=0.4,x1=25"), Some((0.4, 25.0)));
    assert_eq!(told("other=3, x1 = 25.5 , x0=0"), Some((0.0, 25.5)));
    let cut = ["", "x0=0.4", "x0=0.4,x1", "x0=0.4,x1=", "x0=,x1=25", "x0x1", "x0=0.4;x1=2"];
    let absurd = ["x0=-0.1,x1=25", "x0=1.1,x1=25", "x0=0.4,x1=0", "x0=0.4,x1=-25", "x0=NaN,x1=25"];
    for none in cut.iter().chain(&absurd).chain(&["x0=0.4,x1=NaN", "x0=0.4,x1=inf"]) {
        assert_eq!(told(none), None, "{none}");
    }
}

#[test]
fn a_call_with_several_packets_tells_of_each() {
    let body = r#"[{"id":"c","state":"deferred"},{"id":"a","state":"accepted"},{"id":"b","state":"expired"},
        {"id":"d","state":"no_more"},{"id":"e","state":"fault"}]"#;
    let told = outcomes("HTTP/1.1 200 OK\r\nRetry-After: 2\r\n\r\n", body, &["a", "b", "c", "d", "e", "f"]);
    let full = Outcome::Full(Some(Duration::from_secs(2)));
    let expected = [(Outcome::Done, true), (Outcome::Moot, true), (full, false), (Outcome::Moot, false)];
    assert_eq!(told[..4], expected);
    assert_eq!(told[4..], [(Outcome::Error, false); 2], "a fault, and one that is left out");
    let busy = outcomes("HTTP/1.1 503 No\r\n\r\n", "", &["a", "b"]);
    assert_eq!(busy, [(Outcome::Full(None), false); 2]);
    let unread = outcomes("HTTP/1.1 200 OK\r\n\r\n", "<html>", &["a", "b"]);
    assert_eq!(unread, [(Outcome::Error, false); 2], "they may have run");
}

#[test]
fn several_packets_travel_as_a_list() {
    let one = CallPacket { id: "a", idempotency_key: Some("5c"), body: b"x\0y" };
    let single = String::from_utf8_lossy(&call::write("h", &[one], Duration::from_millis(1500))).into_owned();
    assert!(single.starts_with("POST /receive HTTP/1.1\r\n") && single.ends_with("\r\n\r\nx\0y"));
    for line in
        ["X-Call-Id: a\r\n", "Idempotency-Key: 5c\r\n", "X-Budget: 1500m\r\n", "Content-Length: 3\r\n"]
    {
        assert!(single.contains(line), "{line}");
    }
    let two = [
        CallPacket { id: "a", idempotency_key: Some("5c"), body: b"hello" },
        CallPacket { id: "b", idempotency_key: None, body: b"" },
    ];
    let list = String::from_utf8_lossy(&call::write("h", &two, Duration::ZERO)).into_owned();
    assert!(list.starts_with("POST /receive-many HTTP/1.1\r\n"));
    assert!(list.ends_with(r#"[{"body":"aGVsbG8=","id":"a","key":"5c"},{"body":"","id":"b"}]"#), "{list}");
}

#[test]
fn heads_and_chunks_are_read_as_they_come() {
    let whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    for cut in 0..whole.len() {
        assert_eq!(http::head(&whole[..cut]), Ok(None), "{cut} bytes");
    }
    let (head, used) = http::head(whole).expect("a good head").expect("a whole head");
    assert_eq!((head.body_length, head.close, used), (http::BodyLength::Chunked, true, whole.len()));
    assert_eq!(chunked::size(b"5;x=y\r\nhello\r\n0\r\n"), Ok(Some((5, 7))));
    assert_eq!(chunked::end(b"\r\n0\r\n"), Ok(Some(((), 2))));
    assert_eq!(chunked::size(b"5\r"), Ok(None));
    assert_eq!(chunked::size(b"0\r\nTrailer: x\r\n\r\n"), Ok(Some((0, 3))));
    assert_eq!(chunked::trailer(b"Trailer: x\r\n\r\n"), Ok(Some((false, 12))));
    assert_eq!(chunked::trailer(b"\r\n"), Ok(Some((true, 2))));
    assert!(http::head(b"SSH-2.0-OpenSSH\r\n").is_err());
}

#[test]
fn lists_and_notices() {
    let list = r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a",
        "machineType":"m","cell":3,"lifecycle":"Terminating","weight":1.5,"startedAtMs":0}]}"#;
    let list = discovery::read_list(list.as_bytes()).expect("a good list");
    assert_eq!((list.version, list.full, list.entries.len()), (43, false, 1));
    let entry = &list.entries[0];
    assert_eq!((entry.destination, entry.live, entry.rate), (3, false, 1.5));
    let holed = br#"{"generation":1,"reset":true,"instances":[{"hostPort":"x"},{"instanceId":"s",
        "hostPort":"[::1]:1","machineType":"m","cell":3,"lifecycle":"Ready"}]}"#;
    assert_eq!(discovery::read_list(holed).expect("a list").entries.len(), 1, "one line hides no other");
    let fault = discovery::read_list(br#"{"generation":1,"instances":[]}"#);
    assert_eq!(fault.expect_err("no list").0, "expected reset");
    let wait = Some(Duration::from_millis(500));
    assert_eq!(
        notice::dismissed("a", wait),
        "{\"message\":\"a\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n"
    );
    assert_eq!(notice::scrapped("a"), "{\"message\":\"a\",\"outcome\":\"given_up\"}\n");
}

/// Any byte anywhere: readers may refuse it or want more, but they neither panic nor take more than there is.
#[test]
fn no_byte_breaks_a_reader() {
    let head =
        b"HTTP/1.1 429 No\r\nRetry-After: 1.5\r\nX-Load-Report: x0=1,x1=2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let list =
        br#"{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"[::1]:1","cell":3}]}"#;
    let used = |read: Option<usize>, input: &[u8]| assert!(read.unwrap_or(0) <= input.len());
    for (good, at) in
        [PUT, head, b"a;b\r\n0123456789\r\n", list].iter().flat_map(|g| (0..g.len()).map(move |at| (g, at)))
    {
        for byte in 0..=255 {
            let mut input = good.to_vec();
            input[at] = byte;
            used(resp::parse_command(&input).ok().flatten().map(|(_, used)| used), &input);
            used(http::head(&input).ok().flatten().map(|(_, used)| used), &input);
            used(chunked::size(&input).ok().flatten().map(|(_, used)| used), &input);
            used(chunked::end(&input).ok().flatten().map(|(_, used)| used), &input);
            used(chunked::trailer(&input).ok().flatten().map(|(_, used)| used), &input);
            let _ = discovery::read_list(&input);
        }
    }
}

/// Spoilt answers: the first line counts alone, and a length that cannot be read is no length to wait for.
#[test]
fn the_first_line_of_an_answer_is_read_by_itself() {
    assert_eq!(
        http::status(b"HTTP/1.1 200 OK\r\n\xff\x00 no head").map(|read| read.map(|r| r.0)),
        Ok(Some(200))
    );
    assert_eq!(http::status(b"HTTP/1.1 200\r\n").map(|read| read.map(|r| r.0)), Ok(Some(200)));
    assert_eq!(http::status(b"HTTP/1.1 20"), Ok(None));
    for line in ["HTTP/1.1 2000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/3 200 OK\r\n", "\0\0\0\0"] {
        assert!(http::status(line.as_bytes()).is_err(), "{line}");
    }
    assert_eq!(http::status(&[b"HTTP/1.1 200 ".as_slice(), &[b'x'; 20_000]].concat()), Err("too large"));
    for lengths in ["-1", "+5", "12x", "99999999999999999999999", "5\r\nContent-Length: 6", ""] {
        let input = format!("HTTP/1.1 503 No\r\nContent-Length: {lengths}\r\n\r\n");
        let Ok(Some((head, _))) = http::head(input.as_bytes()) else { panic!("{lengths}") };
        assert_eq!(head.body_length, http::BodyLength::Invalid, "{lengths}");
    }
}
