//! The frame around the chunks of a body, without sockets.

use sailcart_sender::wire::chunked;

#[test]
fn a_frame_is_read_as_it_comes() {
    for (line, size) in [("5;x=y\r\n", 5), ("0\r\n", 0), ("fFfFfFf\r\n", 0x0fff_ffff), ("00a \r\n", 10)] {
        for cut in 0..line.len() {
            assert_eq!(chunked::size(&line.as_bytes()[..cut]), Ok(None), "{cut} bytes of {line:?}");
        }
        assert_eq!(chunked::size(format!("{line}hello").as_bytes()), Ok(Some((size, line.len()))));
    }
    assert_eq!(chunked::end(b"\r"), Ok(None));
    assert_eq!(chunked::end(b"\r\n5"), Ok(Some(((), 2))));
    assert_eq!(chunked::trailer(b"Trailer: x\r\n\r\n"), Ok(Some((false, 12))));
    assert_eq!(chunked::trailer(b"\r\n"), Ok(Some((true, 2))));
}

#[test]
fn what_is_no_frame_is_a_fault() {
    for line in ["\r\n", "x\r\n", "-1\r\n", " 5\r\n", "5\n", "5\rx"] {
        assert_eq!(chunked::size(line.as_bytes()), Err("expected a chunk"), "{line:?}");
    }
    assert_eq!(chunked::end(b"x\r\n"), Err("expected a chunk"), "a chunk longer than it says");
    let endless = ["5;", &"x".repeat(20_000)].concat();
    assert_eq!(chunked::size(endless.as_bytes()), Err("too large"));
    assert_eq!(chunked::trailer(endless.as_bytes()), Err("too large"));
    for byte in 0..=255 {
        for line in [&[byte][..], &[b'5', byte], &[b'5', b'\r', byte]] {
            let used = [chunked::size(line).ok().flatten().map(|(_, used)| used)];
            assert!(used.iter().flatten().all(|used| *used <= line.len()), "{line:?}");
        }
    }
}
