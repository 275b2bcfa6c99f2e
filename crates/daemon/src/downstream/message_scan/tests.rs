use super::*;

const GET: &str = "GET /read HTTP/1.1\r\nHost: a\r\n\r\n";
const POST: &str = "POST /book HTTP/1.1\r\nContent-Length: 9\r\n\r\nGET / HT\n";
const CHUNKED: &str = "POST /book HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                       4;name=\"x\"\r\nbody\r\n0A\r\n0123\r\n\r\n89\r\n0\r\nX-Trailer: 1\r\n\r\n";
const TWICE: &str =
    "POST /book HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The messages of these bytes, fed in pieces of every size: whether the scan stands inside one at the end, and what
/// their heads declare.
fn scan(bytes: &str) -> (bool, Vec<Framings>) {
    let mut results = (1..=bytes.len()).map(|size| {
        let mut scan = MessageScan::default();
        let pieces = bytes.as_bytes().chunks(size);
        pieces.for_each(|piece| scan.feed(piece));
        let framings = std::iter::from_fn(|| scan.take_framings()).collect();
        (scan.is_inside_message(), framings)
    });
    let first: (bool, Vec<Framings>) = results.next().expect("bytes to scan");
    assert!(results.all(|result| result == first), "{bytes:?}");
    first
}

#[test]
fn the_end_of_each_message_is_found_in_pieces_of_any_size() {
    for messages in [
        GET.to_owned(),
        POST.to_owned(),
        CHUNKED.to_owned(),
        [GET, CHUNKED, POST, GET].concat(),
    ] {
        assert!(!scan(&messages).0, "{messages:?}");
    }
    assert_eq!(scan(&[GET, CHUNKED, POST, GET].concat()).1.len(), 4);
}

#[test]
fn every_cut_message_is_seen_as_begun() {
    for message in [GET, POST, CHUNKED] {
        for length in 1..message.len() {
            let cut = &message[..length];
            assert!(scan(cut).0, "{cut:?}");
            assert!(scan(&[POST, cut].concat()).0, "behind another: {cut:?}");
        }
    }
}

/// Prevents a smuggled request behind another one: the framing of each head counts, wherever it stands.
#[test]
fn the_framing_of_a_message_behind_another_is_counted() {
    let (is_inside, framings) = scan(&[GET, TWICE].concat());
    assert!(is_inside, "nothing behind it can be told apart");
    let clear: Vec<_> = framings
        .iter()
        .map(|found| found.is_unambiguous())
        .collect();
    assert_eq!(clear, [true, false]);
}

#[test]
fn a_chunk_size_beyond_all_limits_ends_the_scan() {
    let endless = CHUNKED.replace("0A\r\n", "FFFFFFFFFFFFFFFFF\r\n");
    assert!(scan(&endless).0);
}
