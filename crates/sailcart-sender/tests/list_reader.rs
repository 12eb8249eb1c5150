//! The streaming parser of destination lists, without sockets: the result does not depend on how the input is
//! split, and invalid input is an error.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sailcart_sender::wire::discovery::{self, Entry};
use sailcart_sender::wire::list_reader::{ListReader, MAX_ENTRY_BYTES, Summary};
use sailcart_terms::{ValueError, member};
use serde_json::Value;

/// A list with everything that is allowed: unknown members of any type at any position, indentation, escapes,
/// and entries that cannot be parsed.
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

/// Parses a document that arrives in these pieces.
fn parse<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<(Summary, Vec<Entry>), ValueError> {
    let mut reader = ListReader::default();
    let mut entries = Vec::new();
    for piece in pieces {
        entries.extend(reader.push(piece)?);
    }
    Ok((reader.finish()?, entries))
}

fn parse_at_once(text: &str) -> Result<(Summary, Vec<Entry>), ValueError> {
    parse([text.as_bytes()])
}

fn error_text(text: &str) -> String {
    parse_at_once(text).expect_err(text).0
}

/// Formats a result for comparison, as its types are not comparable.
fn debug_text(result: (Summary, Vec<Entry>)) -> String {
    format!("{result:?}")
}

/// A full list of these entries.
fn full_list(entries: &str) -> String {
    format!(r#"{{"generation":1,"reset":true,"instances":[{entries}]}}"#)
}

fn entry(name: &str) -> String {
    format!(
        r#"{{"instanceId":"{name}","hostPort":"127.0.0.1:1","machineType":"k","cell":7,"lifecycle":"Ready"}}"#
    )
}

/// Reference implementation: reads a list from the parsed JSON document, as the sender did before it read
/// lists as streams.
fn list_from_value(value: &Value) -> Result<discovery::List, ValueError> {
    let entries = member(value, "instances")?.as_array().ok_or("expected an array in instances")?;
    let version = member(value, "generation")?.as_u64().ok_or("expected a whole number in generation")?;
    let full = member(value, "reset")?.as_bool().ok_or("expected true or false in reset")?;
    let readable = entries.iter().filter_map(|value| discovery::read_entry(value).ok());
    Ok(discovery::List { version, full, entries: readable.collect() })
}

fn reference_list(text: &str) -> Option<discovery::List> {
    list_from_value(&serde_json::from_str::<Value>(text).ok()?).ok()
}

#[test]
fn the_sample_is_parsed_completely() {
    let (summary, entries) = parse_at_once(SAMPLE).expect("valid list");
    assert_eq!(summary, Summary { version: 43, full: true, entries_read: 3, entries_skipped: 6 });
    let names: Vec<&str> = entries.iter().map(|entry| &*entry.name).collect();
    assert_eq!(names, ["a-1", "b-2 \"\\ é 😀 ☃", "c"]);
    let second = &entries[1];
    assert_eq!((second.destination, second.live, second.rate), (u64::MAX, false, 2.0));
    assert_eq!((entries[0].rate, entries[2].rate), (50.0, 1.0), "the rate defaults to 1");
    let reference = reference_list(SAMPLE).expect("valid list");
    assert_eq!(
        format!("{:?}", reference.entries),
        format!("{entries:?}"),
        "same entries as in the reference"
    );
}

#[test]
fn the_result_does_not_depend_on_the_split() {
    let expected = debug_text(parse_at_once(SAMPLE).expect("valid list"));
    let bytes = SAMPLE.as_bytes();
    for position in 0..=bytes.len() {
        let (front, back) = bytes.split_at(position);
        assert_eq!(debug_text(parse([front, back]).expect("valid list")), expected, "split at {position}");
    }
    for piece_bytes in 1..40 {
        assert_eq!(
            debug_text(parse(bytes.chunks(piece_bytes)).expect("valid list")),
            expected,
            "pieces of {piece_bytes} bytes"
        );
    }
}

#[test]
fn a_truncated_list_is_an_error_at_every_length() {
    let bytes = SAMPLE.trim_end().as_bytes();
    for length in 0..bytes.len() {
        assert!(parse([&bytes[..length]]).is_err(), "{length} bytes");
    }
    assert!(parse([bytes]).is_ok());
}

#[test]
fn duplicated_documents_and_members_are_errors() {
    assert!(error_text(&SAMPLE.repeat(2)).contains("nothing after the end"));
    for duplicated in [
        r#"{"generation":1,"generation":1,"reset":true,"instances":[]}"#,
        r#"{"generation":1,"reset":true,"reset":true,"instances":[]}"#,
        r#"{"generation":1,"reset":true,"instances":[],"instances":[]}"#,
    ] {
        assert!(error_text(duplicated).contains("once each"), "{duplicated}");
    }
    let (summary, entries) =
        parse_at_once(&full_list(&[entry("a"), entry("a")].join(","))).expect("valid list");
    assert_eq!((summary.entries_read, entries.len()), (2, 2), "a repeated entry is returned twice");
}

#[test]
fn errors_name_the_missing_or_mistyped_member() {
    for (text, expected) in [
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
        assert_eq!(error_text(text), expected, "{text}");
    }
    let long = format!(r#"{{"generation":{},"reset":true,"instances":[]}}"#, "1".repeat(70_000));
    assert_eq!(error_text(&long), "expected a whole number in generation");
}

/// The parser accepts a text exactly if serde_json does, wherever in the list the value is.
#[test]
fn the_accepted_grammar_is_json() {
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
            full_list(value),
            full_list(&format!("{{\"x\":{value}}}")),
            format!("{}{value}", full_list("")),
        ] {
            assert_eq!(parse_at_once(&text).is_ok(), reference_list(&text).is_some(), "{text}");
        }
    }
}

#[test]
fn invalid_utf_8_is_an_error() {
    for invalid in [&b"\xff"[..], b"\xc3", b"\xe2\x98", b"\xf0\x9f\x98", b"\xed\xa0\x80", b"\xc0\x80"] {
        let text = [br#"{"generation":1,"reset":true,"instances":[],"x":""#, invalid, br#""}"#].concat();
        assert!(parse([&text[..]]).is_err(), "{invalid:x?}");
        assert!(parse(text.chunks(1)).is_err(), "{invalid:x?} byte by byte");
    }
}

/// An entry larger than the limit is skipped, so that memory stays bounded. It does not affect the entries
/// after it.
#[test]
fn an_oversized_entry_is_skipped() {
    let large = entry("large").replace('{', &format!("{{\"x\":\"{}\",", "x".repeat(60_000)));
    for piece_bytes in [1, 100, 4096, 1 << 20] {
        let text = full_list(&[entry("a"), large.clone(), entry("b")].join(" , "));
        let (summary, entries) = parse(text.as_bytes().chunks(piece_bytes)).expect("valid list");
        assert_eq!((summary.entries_read, summary.entries_skipped), (2, 1));
        assert_eq!((&*entries[0].name, &*entries[1].name), ("a", "b"));
    }
    let max_name_bytes = MAX_ENTRY_BYTES - entry("").len();
    assert_eq!(
        parse_at_once(&full_list(&entry(&"n".repeat(max_name_bytes)))).expect("valid list").0.entries_read,
        1
    );
    assert_eq!(
        parse_at_once(&full_list(&entry(&"n".repeat(max_name_bytes + 1))))
            .expect("valid list")
            .0
            .entries_read,
        0
    );
}

#[test]
fn nesting_depth_is_limited() {
    for (open, close) in [("[", "]"), (r#"{"x":"#, "}")] {
        let nested = |depth: usize| format!("{}1{}", open.repeat(depth), close.repeat(depth));
        assert_eq!(parse_at_once(&full_list(&nested(125))).expect("valid list").0.entries_skipped, 1);
        assert!(error_text(&full_list(&nested(126))).contains("nested too deeply"));
        assert!(error_text(&full_list(&open.repeat(1_000_000))).contains("nested too deeply"));
    }
}

/// Of a member that an entry has twice, the last one counts, as in the reference.
#[test]
fn duplicate_escaped_and_mistyped_members_of_entries_are_handled() {
    let duplicated = entry("a").replace('}', r#","instanceId":"b","weight":2}"#);
    let escaped = entry("c").replace("instanceId", r"instance\u0049d");
    let (_, entries) = parse_at_once(&full_list(&[duplicated, escaped].join(","))).expect("valid list");
    assert_eq!((&*entries[0].name, entries[0].rate, &*entries[1].name), ("b", 2.0, "c"));
    for mistyped in
        [r#""weight":null"#, r#""weight":"1""#, r#""cell":1.0"#, r#""cell":-1"#, r#""hostPort":7"#]
    {
        let text = full_list(&entry("d").replace('}', &format!(",{mistyped}}}")));
        assert_eq!(parse_at_once(&text).expect("valid list").0.entries_skipped, 1, "{mistyped}");
    }
}

/// Generates arbitrary JSON.
fn any_json() -> impl Strategy<Value = Value> {
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

/// Generates an entry; any of its members but `lifecycle` may be arbitrary JSON.
fn any_entry() -> impl Strategy<Value = Value> {
    let member_or_any = |valid: Value| prop_oneof![8 => Just(valid), 1 => any_json()];
    let name = prop_oneof![any::<String>().prop_map(Value::from), any_json()];
    let live = prop_oneof![Just(Value::from("Ready")), Just(Value::from("Gone"))];
    (
        name,
        member_or_any("127.0.0.1:1".into()),
        member_or_any("k".into()),
        member_or_any(7.into()),
        live,
        any_json(),
    )
        .prop_map(|(name, address, kind, cell, lifecycle, extra)| {
            serde_json::json!({
                "instanceId": name, "hostPort": address, "machineType": kind, "cell": cell,
                "lifecycle": lifecycle, "extra": extra,
            })
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7), // reproducible runs
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_list_split_anywhere_is_parsed_like_the_whole_document(
        entries in prop::collection::vec(any_entry(), 0..8),
        extra in any_json(),
        indented: bool,
        piece_sizes in prop::collection::vec(1_usize..60, 1..20),
    ) {
        let value = serde_json::json!({"a": extra, "generation": 3, "instances": entries, "reset": false});
        let formatted = if indented { serde_json::to_string_pretty(&value) } else { serde_json::to_string(&value) };
        let text = formatted.expect("write the JSON");
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let size = piece_sizes[pieces.len() % piece_sizes.len()];
            let (piece, after_piece) = rest.split_at(size.min(rest.len()));
            pieces.push(piece);
            rest = after_piece;
        }
        let (summary, streamed) = parse(pieces).expect("valid list");
        let reference = reference_list(&text).expect("valid list");
        prop_assert_eq!((summary.version, summary.full), (reference.version, reference.full));
        prop_assert_eq!(format!("{streamed:?}"), format!("{:?}", reference.entries));
    }
}

/// Errors of serde_json for texts that are valid by the grammar of JSON. In a stream these invalidate one
/// entry and not the whole list.
const VALUE_ERRORS: [&str; 4] = [
    "number out of range",
    "lone leading surrogate in hex escape",
    "unexpected end of hex escape",
    "invalid unicode code point",
];

/// Replaces each byte of the sample by others: the streaming parser and the reference agree on the list.
#[test]
fn a_corrupted_byte_has_the_same_effect_as_in_the_whole_document() {
    for position in 0..SAMPLE.len() {
        for byte in *b"{}[]:,\"\\ \n\x00\x1f\x7f\x80\xff09-+.eEtfnudDs/a" {
            let mut bytes = SAMPLE.as_bytes().to_vec();
            bytes[position] = byte;
            let input = String::from_utf8_lossy(&bytes);
            let value = serde_json::from_slice::<Value>(&bytes);
            let reference = value.as_ref().map_err(|error| error.to_string());
            match (parse([&bytes[..]]), reference.map(list_from_value)) {
                (Ok((_, streamed)), Ok(Ok(reference))) => {
                    assert_eq!(format!("{streamed:?}"), format!("{:?}", reference.entries), "{input}");
                }
                (Ok(_), Err(message)) => {
                    assert!(
                        VALUE_ERRORS.iter().any(|known| message.starts_with(known)),
                        "{message}: {input}"
                    );
                }
                (Ok(_), Ok(Err(error))) => panic!("accepted, although {}: {input}", error.0),
                (Err(error), Ok(Ok(_))) => panic!("rejected with {}: {input}", error.0),
                (Err(_), _) => {}
            }
        }
    }
}
