//! The destination list read as a stream, without sockets: the same whatever the pieces, and what cannot be is a fault.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sailcart_sender::wire::discovery::{self, Entry};
use sailcart_sender::wire::list_reader::{ListReader, MAX_ENTRY_BYTES, Summary};
use sailcart_terms::{ValueError, member};
use serde_json::Value;

/// A list with all that is allowed: unknown members of any kind and place, indentation, escapes, entries that cannot be read.
const SAMPLE: &str = r#"
 { "extra" : { "instances": [ { "instanceId": "no" } ], "generation": 7, "a": [[], {}, "]}", -0.5e+3, null] } ,
	"instances" :
	[ {"instanceId":"a-1","hostPort":"127.0.0.1:1","zone":"z","machineType":"k","cell":7,"lifecycle":"Ready","weight":50.0},
	  { "weight" : 2, "lifecycle" : "Terminating", "cell" : 18446744073709551615, "machineType" : "k",
	    "hostPort" : "[::1]:65535", "instanceId" : "b\u002d2 \"\\ é \ud83d\ude00 ☃", "tags": {"deep": [1, [2, {"x": "y"}]]} },
	  { "instanceId": "no address", "hostPort": "here", "machineType": "k", "cell": 1, "lifecycle": "Ready" },
	  null , 17 , "word" , [ [ ] ] , { } ,
	  {"instanceId":"c","hostPort":"127.0.0.1:3","machineType":"k","cell":0,"lifecycle":"Ready"}
	] ,
  "r\u0065set" : true , "generation" : 43 , "end" : 1.5
 }
"#;

/// What a reader makes of a document that comes in these pieces.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<(Summary, Vec<Entry>), ValueError> {
    let mut reader = ListReader::default();
    let mut entries = Vec::new();
    for piece in pieces {
        entries.extend(reader.push(piece)?);
    }
    Ok((reader.finish()?, entries))
}

fn read_whole(text: &str) -> Result<(Summary, Vec<Entry>), ValueError> {
    read([text.as_bytes()])
}

fn fault(text: &str) -> String {
    read_whole(text).expect_err(text).0
}

/// Entries in a form that can be compared.
fn shown(read: (Summary, Vec<Entry>)) -> String {
    format!("{read:?}")
}

/// A list of these entries.
fn list(entries: &str) -> String {
    format!(r#"{{"generation":1,"reset":true,"instances":[{entries}]}}"#)
}

fn entry(name: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:1","machineType":"k","cell":7,"lifecycle":"Ready"}}"#
    )
}

/// As a list was read before it came as a stream: the whole document at once, as one value.
fn of_value(value: &Value) -> Result<discovery::List, ValueError> {
    let entries = member(value, "instances")?.as_array().ok_or("expected an array in instances")?;
    let version = member(value, "generation")?.as_u64().ok_or("expected a whole number in generation")?;
    let full = member(value, "reset")?.as_bool().ok_or("expected true or false in reset")?;
    let readable = entries.iter().filter_map(|value| discovery::read_entry(value).ok());
    Ok(discovery::List { version, full, entries: readable.collect() })
}

fn read_at_once(text: &str) -> Option<discovery::List> {
    of_value(&serde_json::from_str::<Value>(text).ok()?).ok()
}

#[test]
fn a_sample_is_read_to_its_last_member() {
    let (summary, entries) = read_whole(SAMPLE).expect("a list");
    assert_eq!(summary, Summary { version: 43, full: true, read: 3, skipped: 6 });
    let names: Vec<&str> = entries.iter().map(|entry| &*entry.name).collect();
    assert_eq!(names, ["a-1", "b-2 \"\\ é 😀 ☃", "c"]);
    let second = &entries[1];
    assert_eq!((second.destination, second.live, second.rate), (u64::MAX, false, 2.0));
    assert_eq!((entries[0].rate, entries[2].rate), (50.0, 1.0), "a rate that is not told is 1");
    let at_once = read_at_once(SAMPLE).expect("a list");
    assert_eq!(format!("{:?}", at_once.entries), format!("{entries:?}"), "as the whole document was read");
}

#[test]
fn every_split_gives_the_same_entries() {
    let whole = shown(read_whole(SAMPLE).expect("a list"));
    let bytes = SAMPLE.as_bytes();
    for cut in 0..=bytes.len() {
        let (front, back) = bytes.split_at(cut);
        assert_eq!(shown(read([front, back]).expect("a list")), whole, "cut at {cut}");
    }
    for size in 1..40 {
        assert_eq!(shown(read(bytes.chunks(size)).expect("a list")), whole, "pieces of {size}");
    }
}

#[test]
fn a_list_that_ends_anywhere_too_early_is_a_fault() {
    let bytes = SAMPLE.trim_end().as_bytes();
    for cut in 0..bytes.len() {
        assert!(read([&bytes[..cut]]).is_err(), "cut at {cut}");
    }
    assert!(read([bytes]).is_ok());
}

#[test]
fn a_doubled_list_is_a_fault() {
    assert!(fault(&SAMPLE.repeat(2)).contains("nothing after the end"));
    for twice in [
        r#"{"generation":1,"generation":1,"reset":true,"instances":[]}"#,
        r#"{"generation":1,"reset":true,"reset":true,"instances":[]}"#,
        r#"{"generation":1,"reset":true,"instances":[],"instances":[]}"#,
    ] {
        assert!(fault(twice).contains("once each"), "{twice}");
    }
    let (summary, entries) = read_whole(&list(&[entry("a"), entry("a")].join(","))).expect("a list");
    assert_eq!((summary.read, entries.len()), (2, 2), "the same entry twice is told twice");
}

#[test]
fn what_is_missing_or_of_another_kind_is_named() {
    for (text, words) in [
        (r#"{"reset":true,"instances":[]}"#, "expected generation"),
        (r#"{"generation":1,"instances":[]}"#, "expected reset"),
        (r#"{"generation":1,"reset":true}"#, "expected instances"),
        (r#"{"generation":"1","reset":true,"instances":[]}"#, "expected a whole number in generation"),
        (r#"{"generation":-1,"reset":true,"instances":[]}"#, "expected a whole number in generation"),
        (r#"{"generation":1.5,"reset":true,"instances":[]}"#, "expected a whole number in generation"),
        (r#"{"generation":[1],"reset":true,"instances":[]}"#, "expected a whole number in generation"),
        (r#"{"generation":1,"reset":"true","instances":[]}"#, "expected true or false in reset"),
        (r#"{"generation":1,"reset":true,"instances":{}}"#, "expected an array in instances"),
        (r#"{"generation":1,"reset":true,"instances":null}"#, "expected an array in instances"),
        ("[]", "expected an object"),
        ("17", "expected an object"),
        ("", "expected JSON: it ends too early"),
    ] {
        assert_eq!(fault(text), words, "{text}");
    }
    let long = format!(r#"{{"generation":{},"reset":true,"instances":[]}}"#, "1".repeat(70_000));
    assert_eq!(fault(&long), "expected a whole number in generation");
}

/// Which texts are JSON and which are not, as serde_json has it.
#[test]
fn the_grammar_is_that_of_json() {
    let values = [
        "0",
        "-0",
        "-1.5e-7",
        "1E+2",
        "01",
        "-",
        "1.",
        ".5",
        "1e",
        "1e+",
        "+1",
        "tru",
        "truee",
        "nul",
        "[1,]",
        "[,1]",
        "[1 2]",
        "{,}",
        "{\"a\"}",
        "{\"a\":}",
        "{\"a\":1,}",
        "{a:1}",
        "{\"a\":1 \"b\":2}",
        "[1}",
        "{\"a\":1]",
        "\"\\x\"",
        "\"\\u12g4\"",
        "\"\\u123\"",
        "\"\n\"",
        "\"\u{1}\"",
        "\"\\/\\b\\f\\n\\r\\t\"",
        "\"\u{7f}\"",
        "[[[]]]",
        "{\"\":{\"\":{}}}",
        "'a'",
        "NaN",
        "/* */1",
        "1/*",
        "\u{feff}1",
        "\u{a0}1",
        "]",
        "}",
        ",",
        ":",
    ];
    for value in values {
        for text in [
            format!(r#"{{"x":{value},"generation":1,"reset":true,"instances":[]}}"#),
            list(value),
            list(&format!("{{\"x\":{value}}}")),
            format!("{}{value}", list("")),
        ] {
            assert_eq!(read_whole(&text).is_ok(), read_at_once(&text).is_some(), "{text}");
        }
    }
}

#[test]
fn what_is_not_utf_8_is_a_fault() {
    for bytes in [&b"\xff"[..], b"\xc3", b"\xe2\x98", b"\xf0\x9f\x98", b"\xed\xa0\x80", b"\xc0\x80"] {
        let name = [br#"{"generation":1,"reset":true,"instances":[],"x":""#, bytes, br#""}"#].concat();
        assert!(read([&name[..]]).is_err(), "{bytes:x?}");
        assert!(read(name.chunks(1)).is_err(), "{bytes:x?} byte by byte");
    }
}

/// Bounded in memory: the next entry is read as if it had not been there.
#[test]
fn an_entry_of_sixty_kilobytes_is_passed_over() {
    let large = entry("large").replace('{', &format!("{{\"x\":\"{}\",", "x".repeat(60_000)));
    for pieces in [1, 100, 4096, 1 << 20] {
        let text = list(&[entry("a"), large.clone(), entry("b")].join(" , "));
        let (summary, entries) = read(text.as_bytes().chunks(pieces)).expect("a list");
        assert_eq!((summary.read, summary.skipped), (2, 1));
        assert_eq!((&*entries[0].name, &*entries[1].name), ("a", "b"));
    }
    let fitting = MAX_ENTRY_BYTES - entry("").len();
    assert_eq!(read_whole(&list(&entry(&"n".repeat(fitting)))).expect("a list").0.read, 1);
    assert_eq!(read_whole(&list(&entry(&"n".repeat(fitting + 1)))).expect("a list").0.read, 0);
}

#[test]
fn nesting_is_bounded() {
    for (open, close) in [("[", "]"), (r#"{"x":"#, "}")] {
        let nested = |depth: usize| format!("{}1{}", open.repeat(depth), close.repeat(depth));
        assert_eq!(read_whole(&list(&nested(125))).expect("a list").0.skipped, 1);
        assert!(fault(&list(&nested(126))).contains("nested too deeply"));
        assert!(fault(&list(&open.repeat(1_000_000))).contains("nested too deeply"));
    }
}

/// Members of an entry that stand twice: the last one counts, as before.
#[test]
fn an_unusual_entry_is_read_with_care() {
    let twice = entry("a").replace('}', r#","instanceId":"b","weight":2}"#);
    let escaped = entry("c").replace("instanceId", r"instance\u0049d");
    let (_, entries) = read_whole(&list(&[twice, escaped].join(","))).expect("a list");
    assert_eq!((&*entries[0].name, entries[0].rate, &*entries[1].name), ("b", 2.0, "c"));
    for spoilt in [r#""weight":null"#, r#""weight":"1""#, r#""cell":1.0"#, r#""cell":-1"#, r#""hostPort":7"#]
    {
        let text = list(&entry("d").replace('}', &format!(",{spoilt}}}")));
        assert_eq!(read_whole(&text).expect("a list").0.skipped, 1, "{spoilt}");
    }
}

/// JSON of any shape.
fn json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (-1e9..1e9).prop_map(|number: f64| Value::from(number)),
        any::<String>().prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::vec((any::<String>(), inner), 0..4)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

/// An entry of which each member may be anything.
fn any_entry() -> impl Strategy<Value = Value> {
    let member = |good: Value| prop_oneof![8 => Just(good), 1 => json()];
    let name = prop_oneof![any::<String>().prop_map(Value::from), json()];
    let live = prop_oneof![Just(Value::from("Ready")), Just(Value::from("Gone"))];
    (name, member("127.0.0.1:1".into()), member("k".into()), member(7.into()), live, json()).prop_map(
        |(name, address, kind, cell, lifecycle, extra)| {
            serde_json::json!({
                "instanceId": name, "hostPort": address, "machineType": kind, "cell": cell,
                "lifecycle": lifecycle, "extra": extra,
            })
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7), // the same verdict each time
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_list_in_any_pieces_is_read_as_the_whole_document(
        entries in prop::collection::vec(any_entry(), 0..8),
        extra in json(),
        indented: bool,
        sizes in prop::collection::vec(1_usize..60, 1..20),
    ) {
        let value = serde_json::json!({"a": extra, "generation": 3, "instances": entries, "reset": false});
        let written = if indented { serde_json::to_string_pretty(&value) } else { serde_json::to_string(&value) };
        let text = written.expect("text");
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let size = sizes[pieces.len() % sizes.len()];
            let (piece, left) = rest.split_at(size.min(rest.len()));
            pieces.push(piece);
            rest = left;
        }
        let (summary, streamed) = read(pieces).expect("a list");
        let at_once = read_at_once(&text).expect("a list");
        prop_assert_eq!((summary.version, summary.full), (at_once.version, at_once.full));
        prop_assert_eq!(format!("{streamed:?}"), format!("{:?}", at_once.entries));
    }
}

/// Why serde_json finds no value in what is JSON by its grammar. In a stream this spoils one entry, not the list.
const NO_VALUE: [&str; 4] = [
    "number out of range",
    "lone leading surrogate in hex escape",
    "unexpected end of hex escape",
    "invalid unicode code point",
];

/// A byte that is another, anywhere: both ways of reading say the same of the list.
#[test]
fn a_spoilt_byte_is_judged_as_in_the_whole_document() {
    for at in 0..SAMPLE.len() {
        for byte in *b"{}[]:,\"\\ \n\x00\x1f\x7f\x80\xff09-+.eEtfnudDs/a" {
            let mut bytes = SAMPLE.as_bytes().to_vec();
            bytes[at] = byte;
            let shown = String::from_utf8_lossy(&bytes);
            let value = serde_json::from_slice::<Value>(&bytes);
            let told = value.as_ref().map_err(|fault| fault.to_string());
            match (read([&bytes[..]]), told.map(of_value)) {
                (Ok((_, streamed)), Ok(Ok(at_once))) => {
                    assert_eq!(format!("{streamed:?}"), format!("{:?}", at_once.entries), "{shown}");
                }
                (Ok(_), Err(words)) => {
                    assert!(NO_VALUE.iter().any(|known| words.starts_with(known)), "{words}: {shown}");
                }
                (Ok(_), Ok(Err(fault))) => panic!("taken, although {}: {shown}", fault.0),
                (Err(fault), Ok(Ok(_))) => panic!("refused, as {}: {shown}", fault.0),
                (Err(_), _) => {}
            }
        }
    }
}
