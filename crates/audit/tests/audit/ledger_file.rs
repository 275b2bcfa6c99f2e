//! The ledger file read back, and the timeline of one RPC.
use crate::builder::{BOOK, LOG, LedgerBuilder, header};
use birchhub_audit::timeline::Timeline;
use birchhub_audit::{Entry, ledger};

/// Two RPCs in the order of writing, which is not that of time.
fn two_rpcs() -> LedgerBuilder {
    let mut builder = LedgerBuilder::new();
    builder.succeeds(2.0, 7, BOOK).succeeds(1.0, 8, LOG);
    builder
}

fn written(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut writer = ledger::Writer::new(&mut bytes, &header()).expect("a header");
    for entry in entries {
        writer.write(entry).expect("a record");
    }
    bytes
}

/// Position of the first record: behind the second line.
fn first_record(bytes: &[u8]) -> usize {
    let mut line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    let (header_end, _) = line_ends.nth(1).expect("a header");
    header_end + 1
}

#[test]
fn a_truncated_ledger_is_read_and_damage_is_located() {
    let mut builder = two_rpcs();
    let bytes = written(&builder.0);
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
    let mut damaged = bytes.clone();
    damaged[first_record(&bytes) + 1] = 0xff;
    let error = ledger::read(damaged.as_slice())
        .expect_err("damage")
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
fn the_timeline_of_one_rpc_is_in_order() {
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
