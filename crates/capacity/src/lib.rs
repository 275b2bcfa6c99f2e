//! Capacity measurement: series of points from real and simulated proxies on loopback, lines fitted through them, and the
//! estimates of `docs/CAPACITY.md` for the planned size.

pub mod clients;
pub mod error;
pub mod estimate;
mod figure;
pub mod fit;
pub mod measurement;
pub mod page;
pub mod plan;
pub mod planned_size;
pub mod proxy;
mod proxy_settings;
pub mod report;
pub mod series;
mod service_thread;
pub mod simulated_proxies;
pub mod stub_backends;
pub mod synthetic_discovery;
pub mod usage;

pub use error::{MeasurementError, PageError, ReportFileError, SeriesError};
pub use measurement::{Options, measure};
pub use plan::Plan;
pub use report::Report;
