//! Parsers and encoders of the client protocol, HTTP calls, destination lists and notices, without sockets.

use std::time::Duration;

use sailcart::Outcome;
use sailcart_sender::wire::call::{self, CallPacket};
use sailcart_sender::wire::resp::{self, Command};
use sailcart_sender::wire::{chunked, discovery, http, notice};
use sailcart_terms::ReportFields;

const PUT: &[u8] = b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$2\r\nab\r\n$30\r\nc=n,t=a,d=8000,k=5c,dest=7,r=1\r\n\
    $6\r\nb\r\n*1\r\r\n";

#[test]
fn a_command_is_complete_only_with_its_last_byte() {
    for received in 0..PUT.len() {
        assert_eq!(resp::parse_command(&PUT[..received]), Ok(None), "{received} bytes");
    }
    let pipelined = [PUT, b"*1\r\n$4\r\nPING\r\n"].concat();
    let Ok(Some((Command::Put(put), consumed))) = resp::parse_command(&pipelined) else {
        panic!("expected a MSG.PUT command")
    };
    assert_eq!((put.id, put.category, put.customer, put.idempotency_key), ("ab", "n", Some("a"), Some("5c")));
    assert_eq!((put.destination, put.patience, put.order_key), (7, Duration::from_secs(8), None));
    assert_eq!(put.body, b"b\r\n*1\r");
    assert_eq!(resp::parse_command(&pipelined[consumed..]), Ok(Some((Command::Ping(None), 14))));
}

/// The argument before the id is the order key; zeros mean that there is none. At the site lisboa-logs it was
/// skipped, and packets with the same key were dispatched concurrently.
#[test]
fn the_first_argument_is_the_order_key() {
    for (argument, order_key) in [("000fbfff30a2d3e3", Some("000fbfff30a2d3e3")), ("0000000000000000", None)]
    {
        let input = format!(
            "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n{argument}\r\n$1\r\na\r\n$14\r\nc=n,d=1,dest=7\r\n$0\r\n\r\n"
        );
        let Ok(Some((Command::Put(put), _))) = resp::parse_command(input.as_bytes()) else {
            panic!("{argument}")
        };
        assert_eq!(put.order_key, order_key);
    }
}

#[test]
fn malformed_and_unknown_commands_are_distinguished() {
    assert!(resp::parse_command(b"GET / HTTP/1.1\r\n").is_err());
    assert!(resp::parse_command(b"*1\r\n$-1\r\n").is_err());
    assert!(resp::parse_command(b"*1\r\n$4\r\nPINGPONG\r\n").is_err(), "longer than its declared length");
    assert_eq!(resp::parse_command(b"*1\r\n$70000\r\n"), Err("too large"));
    assert_eq!(resp::parse_command(b"*999\r\n"), Err("too large"));
    let is_malformed = |input| matches!(resp::parse_command(input), Ok(Some((Command::Malformed(_), _))));
    assert_eq!(resp::parse_command(b"*1\r\n$5\r\nHELLO\r\n"), Ok(Some((Command::Unknown, 15))));
    assert!(is_malformed(b"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n"));
}

/// Ids and keys are written to headers and notices unescaped. A line break or a quote in one would corrupt
/// them.
#[test]
fn ids_and_keys_that_would_break_a_header_are_malformed() {
    for (id, fields) in
        [("a\r\nX", "c=n,d=1,dest=7"), ("a\"b", "c=n,d=1,dest=7"), ("a", "c=n,d=1,dest=7,k=\n")]
    {
        let bulk = |argument: &str| format!("${}\r\n{argument}\r\n", argument.len());
        let arguments = ["MSG.PUT", "0", id, fields, ""].map(bulk).concat();
        let input = format!("*5\r\n{arguments}");
        let parsed = resp::parse_command(input.as_bytes());
        assert!(matches!(parsed, Ok(Some((Command::Malformed(_), _)))), "{id:?} {fields:?}");
    }
}

fn parse_outcomes(response: &str, body: &str, ids: &[&str]) -> Vec<call::PacketOutcome> {
    let (head, _) = http::head(response.as_bytes()).expect("valid head").expect("complete head");
    call::packet_outcomes(&head, body.as_bytes(), ids)
}

#[test]
fn each_status_is_mapped_to_an_outcome() {
    let wait = Some(Duration::from_millis(250));
    for (response, expected) in [
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
        assert_eq!(parse_outcomes(&format!("HTTP/1.1 {response}\r\n"), "", &["a"]), [expected], "{response}");
    }
}

/// Load reports are written by third-party programs and may be delayed. An implausible one is ignored.
#[test]
fn truncated_or_out_of_range_load_reports_are_ignored() {
    let report_fields = ReportFields { unused_share: (0, "x0".to_owned()), limit: (1, "x1".to_owned()) };
    let parse_report = |value: &str| {
        let response = format!("HTTP/1.1 200 OK\r\nx-load-report: {value}\r\n\r\n");
        let (head, _) = http::head(response.as_bytes()).expect("valid head").expect("complete head");
        call::limit_report(&head, &report_fields).map(|report| (report.unused_share, report.limit))
    };
    assert_eq!(parse_report("x0=0.4,x1=25"), Some((0.4, 25.0)));
    assert_eq!(parse_report("other=3, x1 = 25.5 , x0=0"), Some((0.0, 25.5)));
    let truncated = ["", "x0=0.4", "x0=0.4,x1", "x0=0.4,x1=", "x0=,x1=25", "x0x1", "x0=0.4;x1=2"];
    let out_of_range = ["x0=-0.1,x1=25", "x0=1.1,x1=25", "x0=0.4,x1=0", "x0=0.4,x1=-25", "x0=NaN,x1=25"];
    for value in truncated.iter().chain(&out_of_range).chain(&["x0=0.4,x1=NaN", "x0=0.4,x1=inf"]) {
        assert_eq!(parse_report(value), None, "{value}");
    }
}

#[test]
fn a_response_to_several_packets_has_an_outcome_for_each() {
    let body = r#"[{"id":"c","state":"deferred"},{"id":"a","state":"accepted"},{"id":"b","state":"expired"},
        {"id":"d","state":"no_more"},{"id":"e","state":"fault"}]"#;
    let reported =
        parse_outcomes("HTTP/1.1 200 OK\r\nRetry-After: 2\r\n\r\n", body, &["a", "b", "c", "d", "e", "f"]);
    let full = Outcome::Full(Some(Duration::from_secs(2)));
    let expected = [(Outcome::Done, true), (Outcome::Moot, true), (full, false), (Outcome::Moot, false)];
    assert_eq!(reported[..4], expected);
    assert_eq!(
        reported[4..],
        [(Outcome::Error, false); 2],
        "a packet with an error, and one missing from the response"
    );
    let busy = parse_outcomes("HTTP/1.1 503 No\r\n\r\n", "", &["a", "b"]);
    assert_eq!(busy, [(Outcome::Full(None), false); 2]);
    let unparsable = parse_outcomes("HTTP/1.1 200 OK\r\n\r\n", "<html>", &["a", "b"]);
    assert_eq!(unparsable, [(Outcome::Error, false); 2], "the packets may have executed");
}

#[test]
fn several_packets_are_sent_as_a_json_list() {
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
fn heads_and_chunks_are_parsed_incrementally() {
    let complete = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    for received in 0..complete.len() {
        assert_eq!(http::head(&complete[..received]), Ok(None), "{received} bytes");
    }
    let (head, consumed) = http::head(complete).expect("valid head").expect("complete head");
    assert_eq!((head.body_length, head.close, consumed), (http::BodyLength::Chunked, true, complete.len()));
    assert_eq!(chunked::size(b"5;x=y\r\nhello\r\n0\r\n"), Ok(Some((5, 7))));
    assert_eq!(chunked::end(b"\r\n0\r\n"), Ok(Some(((), 2))));
    assert_eq!(chunked::size(b"5\r"), Ok(None));
    assert_eq!(chunked::size(b"0\r\nTrailer: x\r\n\r\n"), Ok(Some((0, 3))));
    assert_eq!(chunked::trailer(b"Trailer: x\r\n\r\n"), Ok(Some((false, 12))));
    assert_eq!(chunked::trailer(b"\r\n"), Ok(Some((true, 2))));
    assert!(http::head(b"SSH-2.0-OpenSSH\r\n").is_err());
}

#[test]
fn lists_are_parsed_and_notices_encoded() {
    let list = r#"{"generation":43,"reset":false,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:1","zone":"a",
        "machineType":"m","cell":3,"lifecycle":"Terminating","weight":1.5,"startedAtMs":0}]}"#;
    let list = discovery::read_list(list.as_bytes()).expect("valid list");
    assert_eq!((list.version, list.full, list.entries.len()), (43, false, 1));
    let entry = &list.entries[0];
    assert_eq!((entry.destination, entry.live, entry.rate), (3, false, 1.5));
    let with_malformed_entry =
        br#"{"generation":1,"reset":true,"instances":[{"hostPort":"x"},{"instanceId":"s",
        "hostPort":"[::1]:1","machineType":"m","cell":3,"lifecycle":"Ready"}]}"#;
    assert_eq!(
        discovery::read_list(with_malformed_entry).expect("valid list").entries.len(),
        1,
        "a malformed entry does not hide the others"
    );
    let error = discovery::read_list(br#"{"generation":1,"instances":[]}"#);
    assert_eq!(error.expect_err("list without reset").0, "expected reset");
    let wait = Some(Duration::from_millis(500));
    assert_eq!(
        notice::dismissed("a", wait),
        "{\"message\":\"a\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n"
    );
    assert_eq!(notice::scrapped("a"), "{\"message\":\"a\",\"outcome\":\"given_up\"}\n");
}

/// Replaces each byte of valid inputs by every other value. Parsers may return an error or ask for more
/// input, but never panic and never consume more bytes than there are.
#[test]
fn parsers_tolerate_any_byte_at_any_position() {
    let head =
        b"HTTP/1.1 429 No\r\nRetry-After: 1.5\r\nX-Load-Report: x0=1,x1=2\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let list =
        br#"{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":"[::1]:1","cell":3}]}"#;
    let check_consumed =
        |consumed: Option<usize>, input: &[u8]| assert!(consumed.unwrap_or(0) <= input.len());
    for (valid, position) in [PUT, head, b"a;b\r\n0123456789\r\n", list]
        .iter()
        .flat_map(|valid| (0..valid.len()).map(move |position| (valid, position)))
    {
        for byte in 0..=255 {
            let mut input = valid.to_vec();
            input[position] = byte;
            check_consumed(resp::parse_command(&input).ok().flatten().map(|(_, consumed)| consumed), &input);
            check_consumed(http::head(&input).ok().flatten().map(|(_, consumed)| consumed), &input);
            check_consumed(chunked::size(&input).ok().flatten().map(|(_, consumed)| consumed), &input);
            check_consumed(chunked::end(&input).ok().flatten().map(|(_, consumed)| consumed), &input);
            check_consumed(chunked::trailer(&input).ok().flatten().map(|(_, consumed)| consumed), &input);
            let _ = discovery::read_list(&input);
        }
    }
}

/// In a corrupted response the status line counts on its own, and a Content-Length that cannot be parsed is
/// reported as invalid, so that nobody waits for a body of that length.
#[test]
fn the_status_line_is_parsed_independently_of_the_headers() {
    assert_eq!(
        http::status(b"HTTP/1.1 200 OK\r\n\xff\x00 no head").map(|parsed| parsed.map(|line| line.0)),
        Ok(Some(200))
    );
    assert_eq!(http::status(b"HTTP/1.1 200\r\n").map(|parsed| parsed.map(|line| line.0)), Ok(Some(200)));
    assert_eq!(http::status(b"HTTP/1.1 20"), Ok(None));
    for line in ["HTTP/1.1 2000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/3 200 OK\r\n", "\0\0\0\0"] {
        assert!(http::status(line.as_bytes()).is_err(), "{line}");
    }
    assert_eq!(http::status(&[b"HTTP/1.1 200 ".as_slice(), &[b'x'; 20_000]].concat()), Err("too large"));
    for length in ["-1", "+5", "12x", "99999999999999999999999", "5\r\nContent-Length: 6", ""] {
        let input = format!("HTTP/1.1 503 No\r\nContent-Length: {length}\r\n\r\n");
        let Ok(Some((head, _))) = http::head(input.as_bytes()) else { panic!("{length}") };
        assert_eq!(head.body_length, http::BodyLength::Invalid, "{length}");
    }
}
