//! Runs the adapter as a process: batches on standard input, actions on standard output, errors on standard
//! error.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"areas":["z"],"balancers":2,"bounds":{"cancel":true,"connect_timeout_ms":1000.0,
"max_open":50,"max_retry_after_ms":2000.0,"retry_after":true,"send_cap":6},"domain":{"call_slots":4,
"kind_batch":[1],"late":"halves","own_limits":[false]},"kinds":["k"],"lanes":[{"aim_ms":3000.0,
"gain":1.0,"hard_limit_ms":24000.0,"late_share":0.5,"name":"c","repeat":"retryable"}],"new":{"key":null},
"rules":{"cold_from":0.3,"cold_ms":9000.0,"fall_multiple":2.0},"weights":"nominal"}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sailcart-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a standard input");
    for line in lines {
        // The adapter exits at the first malformed line, so a later write may fail.
        let _ = writeln!(input, "{}", line.replace('\n', ""));
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(wall_ms: u64, events: &str) -> String {
    format!(r#"{{"wall_ms":{wall_ms},"groups":[{{"sender_id":3,"input":[{events}]}}]}}"#)
}

fn init() -> String {
    let list = r#"["DefineList",0,[["a:1","z","k",5,"live",8,null]]],["Update","SAVED",1,0]"#;
    batch(7000, &format!(r#"["Init",9,{SETTINGS}],{list}"#))
}

fn demand(id: &str, deadline_ms: u64) -> String {
    format!(r#"["Demand","{id}",null,0,{deadline_ms},null,5,"c",null]"#)
}

#[test]
fn a_packet_is_dispatched_and_completed_by_its_outcome() {
    let verdict = r#"["Verdict","p",0,20.5,null,true,0,"a:1",null]"#;
    let after = r#"["Verdict","p",0,20.5,null,true,0,"a:1",null],["Dropped","p"],["Ring",0],["Memo",1,""]"#;
    let output = run(&[init(), batch(8000, &demand("p", 32000)), batch(8020, verdict), batch(8025, after)]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4);
    assert!(lines[1].contains(r#"["Place","p","a:1","#), "{}", lines[1]);
    assert!(!lines[2].contains("\"p\"") && !lines[3].contains("\"p\""));
}

#[test]
fn a_sender_restarted_within_one_batch_knows_no_earlier_packet() {
    let restart =
        format!(r#"["Teardown"],["Init",9,{SETTINGS}],["Update","FULL",2,0],{}"#, demand("q", 33000));
    let output = run(&[init(), batch(8000, &demand("p", 32000)), batch(9000, &restart)]);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    let last = text.lines().last().expect("a reply");
    assert!(last.contains(r#"["Place","q","a:1""#) && !last.contains("\"p\""), "{last}");
}

#[test]
fn a_malformed_line_gives_one_line_of_error() {
    let cases = [
        ("{".to_owned(), "line 2: expected JSON"),
        (r#"{"wall_ms":1}"#.to_owned(), "line 2: expected groups"),
        (batch(8000, r#"["Whim"]"#), "line 2: expected a known event, not Whim"),
        (batch(8000, r#"["Update","FULL",2,11]"#), "line 2: expected the number of a DefineList in sheet"),
        (batch(8000, r#"["Demand",12]"#), "line 2: expected text in handle"),
        (batch(8000, r#"["Init",9,{}]"#), "line 2: expected bounds"),
        (batch(8000, r#"["Ring",0]"#).replace(":3,", ":4,"), "line 2: expected Init before Ring"),
        (
            batch(8000, r#"["Verdict","p",0,-4,null,true,0,"a:1",null]"#),
            "line 2: expected milliseconds from 0",
        ),
    ];
    for (line, expected) in cases {
        let output = run(&[init(), line]);
        let message = String::from_utf8(output.stderr).expect("UTF-8");
        assert!(!output.status.success());
        assert!(message.starts_with(expected) && message.lines().count() == 1, "{message}");
        assert_eq!(output.stdout.iter().filter(|b| **b == b'\n').count(), 1, "only the first line's reply");
    }
}
