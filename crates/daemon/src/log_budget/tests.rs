use super::*;

#[test]
fn lines_beyond_the_budget_are_suppressed_and_counted() {
    let start = Instant::now();
    let budget = LogBudget::new(start);
    for _ in 0..LINES_PER_PERIOD {
        assert_eq!(budget.take(start), Some(0));
    }
    for _ in 0..7 {
        assert_eq!(budget.take(start), None);
    }
    assert_eq!(budget.take(start + PERIOD), Some(7));
    assert_eq!(budget.take(start + PERIOD), Some(0));
    assert_eq!(budget.take(start + PERIOD * 3), Some(0));
}
