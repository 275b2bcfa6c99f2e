//! Lines fitted through points, and numbers as formatted on the page.
use birchhub_capacity::fit::Fit;
use birchhub_capacity::page::figure;

#[test]
fn a_line_is_fitted_with_its_residual() {
    let exact = Fit::of(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]).expect("a fitted line");
    assert!(
        (exact.slope - 2.0).abs() < 1e-9
            && (exact.base - 5.0).abs() < 1e-9
            && exact.residual < 1e-9
    );
    assert!((exact.at(8_700.0) - 17_405.0).abs() < 1e-6);
    // A level line with points one above and one below it.
    let rough =
        Fit::of(&[(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)]).expect("a fitted line");
    assert!(
        rough.slope.abs() < 1e-9 && (rough.residual - 1.0).abs() < 1e-9,
        "{rough:?}"
    );
}

#[test]
fn no_line_is_fitted_through_a_single_size() {
    for points in [vec![], vec![(1.0, 2.0)], vec![(1.0, 2.0), (1.0, 3.0)]] {
        assert_eq!(Fit::of(&points), None, "{points:?}");
    }
}

#[test]
fn figures_have_three_significant_digits() {
    let expected = [
        (0.0, "0"),
        (128.0, "128"),
        (8_713.2, "8710"),
        (1.2, "1.2"),
        (0.012_345, "0.0123"),
        (-0.5, "-0.5"),
        (100.0, "100"),
        (9.999, "10"),
        (f64::INFINITY, "-"),
    ];
    for (value, text) in expected {
        assert_eq!(figure(value), text, "{value}");
    }
}
