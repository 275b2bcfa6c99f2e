//! Ledger files, and the timeline of one RPC.
use crate::builder::{BOOK, LOG, LedgerBuilder, header};
use birchhub_audit::timeline::Timeline;
use birchhub_audit::{Entry, ledger};

/// Returns two RPCs that were written out of chronological order.
fn two_rpcs() -> LedgerBuilder {
    let mut builder = LedgerBuilder::new();
    builder.succeeds(2.0, 7, BOOK).succeeds(1.0, 8, LOG);
    builder
}

fn ledger_bytes(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = ledger::Writer::new(&mut bytes, &header()).expect("a header");
    for entry in entries {
        writer.write(entry).expect("a record");
    }
    bytes
}

/// Returns the offset of the first record, after the two lines of the header.
fn first_record_offset(bytes: &[u8]) -> usize {
    let mut line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    let (header_end, _) = line_ends.nth(1).expect("a header");
    header_end + 1
}

#[test]
fn a_truncated_ledger_is_read_and_a_corrupt_record_is_located() {
    let mut builder = two_rpcs();
    let bytes = ledger_bytes(&builder.0);
    let read = ledger::read(bytes.as_slice()).expect("a ledger");
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    assert_eq!(
        (&read.header, &read.entries, read.truncated),
        (&header(), &builder.0, false)
    );
    let truncated = ledger::read(&bytes[..bytes.len() - 3]).expect("a ledger");
    assert_eq!(
        (truncated.entries.len(), truncated.truncated),
        (builder.0.len() - 1, true)
    );
    let mut corrupt = bytes.clone();
    corrupt[first_record_offset(&bytes) + 1] = 0xff;
    let error = ledger::read(corrupt.as_slice())
        .expect_err("a corrupt record")
        .to_string();
    assert!(
        error.starts_with("record 0 at byte 0: length prefix exceeds"),
        "{error}"
    );
    assert!(matches!(
        ledger::read(&b"{}"[..]),
        Err(ledger::LedgerError::Magic)
    ));
}

#[test]
fn the_timeline_of_an_rpc_is_chronological() {
    let mut builder = two_rpcs();
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    let header = header();
    let timeline = Timeline::new(&header, &builder.0);
    let lines: Vec<_> = builder
        .0
        .iter()
        .filter(|entry| timeline.rpc(&entry.event) == Some(7))
        .map(|entry| timeline.line(entry))
        .collect();
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(
        lines[0].ends_with("rpc 7 due: book of acme") && lines[6].ends_with("answered: Ok"),
        "{lines:#?}"
    );
}
