//! Distribution of the work of RPCs.
use birchhub_backend_model::WorkDistribution;
use birchhub_backend_model::work::Spread;

/// Samples are reproducible, and their mean and coefficient of variation are those of the distribution.
#[test]
fn work_depends_on_seed_and_id_alone() {
    for (spread, variation) in [
        (Spread::Constant, 0.0),
        (Spread::Exponential, 1.0),
        (Spread::HeavyTail, 2.0),
    ] {
        let work = WorkDistribution { mean: 0.05, spread };
        assert_eq!(work.sample(1, 7), work.sample(1, 7));
        let samples: Vec<f64> = (0..200_000).map(|id| work.sample(3, id)).collect();
        let mean = samples.iter().sum::<f64>() / samples.len() as f64;
        let squares = samples.iter().map(|work| (work - mean).powi(2));
        let variance = squares.sum::<f64>() / samples.len() as f64;
        assert!((mean / 0.05 - 1.0).abs() < 0.02, "{spread:?}: {mean}");
        assert!(
            (variance.sqrt() / mean - variation).abs() < 0.15,
            "{spread:?}: {variance}"
        );
    }
}
