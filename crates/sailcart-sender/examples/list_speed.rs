//! Measures how fast the list of endpoints is parsed: a list of 440,000 entries, in pieces of 64 KiB.
//!
//!     cargo run --release -p sailcart-sender --example list_speed

use std::fmt::Write;
use std::time::Instant;

use sailcart_sender::response::MAX_PIECE_BYTES;
use sailcart_sender::wire::list_reader::ListReader;

const ENTRIES: usize = 440_000;
const REPETITIONS: usize = 5;

fn main() {
    let mut list = String::from(r#"{"generation":1,"reset":true,"instances":["#);
    for number in 0..ENTRIES {
        let comma = if number > 0 { "," } else { "" };
        let (high, low) = (number / 250 % 250, number % 250);
        let _ = write!(
            list,
            r#"{comma}{{"instanceId":"endpoint-{number:08}","hostPort":"10.20.{high}.{low}:8080","zone":"zone-1","#
        );
        let cell = number / 4;
        let _ = write!(
            list,
            r#""machineType":"plain","cell":{cell},"lifecycle":"Ready","weight":50.0,"startedAtMs":0}}"#
        );
    }
    list.push_str("]}");
    for _ in 0..REPETITIONS {
        let start = Instant::now();
        let mut reader = ListReader::default();
        let mut entries_read = 0;
        for piece in list.as_bytes().chunks(MAX_PIECE_BYTES) {
            entries_read += reader.push(piece).map_or(0, |entries| entries.len());
        }
        let seconds = start.elapsed().as_secs_f64();
        let megabytes = list.len() as f64 / 1e6;
        let complete = reader.finish().is_ok();
        println!(
            "{entries_read} entries, {megabytes:.1} MB in {seconds:.3} s: {:.0} MB/s, complete: {complete}",
            megabytes / seconds
        );
    }
}
