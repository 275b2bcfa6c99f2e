//! What a fleet of the planned size costs: slopes of a real `birchhubd` and of hollow proxies, measured on loopback before
//! hollow backends and a list service with as many lines as wanted, fitted, and the reckoning of `docs/CAPACITY.md` made of them.
#![expect(
    missing_docs,
    reason = "docs/ROADMAP.md lists the crates that are not documented yet"
)]

pub mod backends;
pub mod error;
pub mod estimate;
pub mod fit;
pub mod hollow;
pub mod list;
pub mod load;
pub mod page;
pub mod plan;
pub mod planned_size;
pub mod proxy;
pub mod report;
pub mod run;
pub mod series;
pub mod usage;

pub use error::{MeasurementError, PageError, ReportFileError, SeriesError};
pub use plan::Plan;
pub use report::Report;
pub use run::{Options, measure};
