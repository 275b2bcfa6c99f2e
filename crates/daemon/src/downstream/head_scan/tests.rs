use super::*;

#[test]
fn framings_are_counted_in_pieces_of_any_size() {
    let head = b"\r\nPOST /content-length: HTTP/1.1\r\nCONTENT-Length: 4\r\nx: content-length: 5\r\n\
                 Transfer-encoding:chunked\r\ncontent-length:4\r\nContent-Length-X: 1\r\n\r\ncontent-length: 9\r\n";
    let bytes_after_head = "content-length: 9\r\n".len();
    for size in 1..head.len() {
        let mut scanner = HeadScanner::default();
        let mut found = None;
        let mut bytes_left = 0;
        for mut piece in head.chunks(size) {
            if found.is_none() {
                found = scanner.feed(&mut piece);
            }
            bytes_left += if found.is_some() { piece.len() } else { 0 };
        }
        let expected = ScannedHead {
            framing_counts: FramingCounts {
                content_lengths: 2,
                transfer_encodings: 1,
            },
            body: BodyFraming::Ambiguous,
        };
        assert_eq!(found, Some(expected), "pieces of {size}");
        assert_eq!(bytes_left, bytes_after_head, "pieces of {size}");
    }
}

#[test]
fn framing_of_a_body_is_parsed_from_the_head() {
    let body = |fields: &str| {
        let head = format!("POST /book HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
        let found = HeadScanner::default().feed(&mut head.as_bytes());
        found.expect("a complete head").body
    };
    assert_eq!(body(""), BodyFraming::Length(0));
    assert_eq!(body("Content-Length: 12\r\n"), BodyFraming::Length(12));
    assert_eq!(body("content-length:  7 \r\n"), BodyFraming::Length(7));
    assert_eq!(body("Transfer-Encoding: Chunked\r\n"), BodyFraming::Chunked);
    for fields in [
        "Transfer-Encoding: gzip\r\n",
        "Content-Length: many\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "no field\r\n",
    ] {
        assert_eq!(body(fields), BodyFraming::Ambiguous, "{fields}");
    }
}
