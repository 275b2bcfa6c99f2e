//! The committed page is made of the committed result.
use birchhub_capacity::{Report, page};
use std::path::Path;

/// `birchhub scale page docs/capacity.json` renews it.
#[test]
fn the_committed_page_is_not_stale() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let report = Report::read(&docs.join("capacity.json")).expect("a result");
    let text = std::fs::read_to_string(docs.join("CAPACITY.md")).expect("a page");
    assert!(
        !report.plan.quick,
        "figures of small sizes say nothing of the planned one"
    );
    let renewed = page::renew(&text, &report).expect("its tables");
    assert!(
        text == renewed,
        "docs/CAPACITY.md is stale: birchhub scale page docs/capacity.json"
    );
}
