//! The ledger file read back, and the timeline of one RPC.
use crate::builder::{BOOK, LOG, LedgerBuilder, head};
use birchhub_audit::ledger;
use birchhub_audit::timeline::Timeline;

#[test]
fn a_truncated_ledger_is_read_and_damage_is_located() {
    let mut builder = LedgerBuilder::new();
    builder.succeeds(2.0, 7, BOOK).succeeds(1.0, 8, LOG);
    let mut bytes = Vec::new();
    let mut writer = ledger::Writer::new(&mut bytes, &head()).expect("a head");
    builder
        .0
        .iter()
        .for_each(|entry| writer.write(entry).expect("a record"));
    let read = ledger::read(bytes.as_slice()).expect("a ledger");
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    assert_eq!(
        (&read.head, &read.entries, read.truncated),
        (&head(), &builder.0, false)
    );
    let truncated = ledger::read(&bytes[..bytes.len() - 3]).expect("a ledger");
    assert_eq!(
        (truncated.entries.len(), truncated.truncated),
        (builder.0.len() - 1, true)
    );
    let first = bytes
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == b'\n')
        .nth(1)
        .expect("a head")
        .0
        + 1;
    let mut damaged = bytes.clone();
    damaged[first + 1] = 0xff;
    let error = ledger::read(damaged.as_slice())
        .expect_err("damage")
        .to_string();
    assert!(error.starts_with("record 0 at byte 0: longer"), "{error}");
    assert!(matches!(
        ledger::read(&b"{}"[..]),
        Err(ledger::LedgerError::Magic)
    ));
}

#[test]
fn the_timeline_of_one_rpc_is_in_order() {
    let mut builder = LedgerBuilder::new();
    builder.succeeds(2.0, 7, BOOK).succeeds(1.0, 8, LOG);
    builder.0.sort_by(|a, b| a.at.total_cmp(&b.at));
    let head = head();
    let timeline = Timeline::new(&head, &builder.0);
    let lines: Vec<_> = builder
        .0
        .iter()
        .filter(|e| timeline.rpc(&e.event) == Some(7))
        .map(|e| timeline.line(e))
        .collect();
    assert_eq!(lines.len(), 7, "{lines:#?}");
    assert!(
        lines[0].ends_with("rpc 7 due: book of acme") && lines[6].ends_with("answered: Ok"),
        "{lines:#?}"
    );
}
