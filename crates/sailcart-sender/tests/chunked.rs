//! Parsing of the framing of chunked bodies, without sockets.

use sailcart_sender::wire::chunked;

#[test]
fn chunk_framing_is_parsed_incrementally() {
    for (line, size) in [("5;x=y\r\n", 5), ("0\r\n", 0), ("fFfFfFf\r\n", 0x0fff_ffff), ("00a \r\n", 10)] {
        for received in 0..line.len() {
            assert_eq!(chunked::size(&line.as_bytes()[..received]), Ok(None), "{received} bytes of {line:?}");
        }
        assert_eq!(chunked::size(format!("{line}hello").as_bytes()), Ok(Some((size, line.len()))));
    }
    assert_eq!(chunked::end(b"\r"), Ok(None));
    assert_eq!(chunked::end(b"\r\n5"), Ok(Some(((), 2))));
    assert_eq!(chunked::trailer(b"Trailer: x\r\n\r\n"), Ok(Some((false, 12))));
    assert_eq!(chunked::trailer(b"\r\n"), Ok(Some((true, 2))));
}

#[test]
fn malformed_chunk_framing_is_an_error() {
    for line in ["\r\n", "x\r\n", "-1\r\n", " 5\r\n", "5\n", "5\rx"] {
        assert_eq!(chunked::size(line.as_bytes()), Err("expected a chunk"), "{line:?}");
    }
    assert_eq!(chunked::end(b"x\r\n"), Err("expected a chunk"), "chunk longer than its declared size");
    let unterminated = ["5;", &"x".repeat(20_000)].concat();
    assert_eq!(chunked::size(unterminated.as_bytes()), Err("too large"));
    assert_eq!(chunked::trailer(unterminated.as_bytes()), Err("too large"));
    for byte in 0..=255 {
        for line in [&[byte][..], &[b'5', byte], &[b'5', b'\r', byte]] {
            let consumed = [chunked::size(line).ok().flatten().map(|(_, consumed)| consumed)];
            assert!(consumed.iter().flatten().all(|consumed| *consumed <= line.len()), "{line:?}");
        }
    }
}
