use super::*;

#[test]
fn framings_are_counted_in_any_pieces() {
    let head = b"\r\nPOST /content-length: HTTP/1.1\r\nCONTENT-Length: 4\r\nx: content-length: 5\r\n\
                 Transfer-encoding:chunked\r\ncontent-length:4\r\nContent-Length-X: 1\r\n\r\ncontent-length: 9\r\n";
    for size in 1..head.len() {
        let mut scan = HeadScan::default();
        head.chunks(size).for_each(|piece| scan.feed(piece));
        assert_eq!(
            scan.found(),
            Framings {
                lengths: 2,
                codings: 1
            },
            "pieces of {size}"
        );
    }
}
