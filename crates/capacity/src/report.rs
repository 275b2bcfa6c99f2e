//! The result of a measurement, which is stored as JSON.
use crate::error::{ReportFileError, SeriesError};
use crate::fit::Fit;
use crate::plan::Plan;
use crate::series::{SERIES, Series};
use crate::usage;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The version of the stored form.
const FORM: u32 = 1;

/// The result of a measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The version of the stored form.
    pub form: u32,
    /// The command that repeats the measurement.
    pub command: String,
    /// The sizes that were measured.
    pub plan: Plan,
    /// Number of cores of the machine.
    pub cores: usize,
    /// RPCs that had no response with status 200 in time.
    #[serde(rename = "failed")]
    pub failed_rpcs: u64,
    /// RPCs sent.
    pub rpcs: u64,
    /// Duration of the measurement, in seconds.
    #[serde(rename = "took")]
    pub duration_seconds: f64,
    /// All series, in the order of their definitions.
    pub series: Vec<Series>,
}

impl Report {
    /// Creates a report whose series have no points.
    pub fn new(plan: &Plan) -> Self {
        Self {
            form: FORM,
            command: plan.command(),
            plan: plan.clone(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            failed_rpcs: 0,
            rpcs: 0,
            duration_seconds: 0.0,
            series: SERIES.iter().map(Series::new).collect(),
        }
    }

    fn series_mut(&mut self, name: &str) -> Result<&mut Series, SeriesError> {
        self.series
            .iter_mut()
            .find(|series| series.name == name)
            .ok_or_else(|| SeriesError::Unknown(name.to_owned()))
    }

    /// Adds a point to a series.
    ///
    /// # Errors
    /// Fails if there is no such series.
    pub fn add(&mut self, name: &str, x: f64, y: f64) -> Result<(), SeriesError> {
        let series = self.series_mut(name)?;
        series.points.push((x, y));
        series.load_average = series.load_average.max(usage::load_average());
        Ok(())
    }

    /// Records the reason for which a point of a series could not be taken.
    ///
    /// # Errors
    /// Fails if there is no such series.
    pub fn add_missing(&mut self, name: &str, reason: String) -> Result<(), SeriesError> {
        self.series_mut(name)?.missing.push(reason);
        Ok(())
    }

    /// Sorts the points and fits the lines of all series.
    pub fn finish(&mut self) {
        self.series.iter_mut().for_each(Series::finish);
    }

    /// Returns a series by its name.
    ///
    /// # Errors
    /// Fails if there is no such series.
    pub fn get(&self, name: &str) -> Result<&Series, SeriesError> {
        self.series
            .iter()
            .find(|series| series.name == name)
            .ok_or_else(|| SeriesError::Unknown(name.to_owned()))
    }

    /// Returns the value of a series' line at x.
    ///
    /// # Errors
    /// Fails if there is no such series or its points are too few.
    pub fn at(&self, name: &str, x: f64) -> Result<f64, SeriesError> {
        Ok(self.fit(name)?.at(x))
    }

    /// Returns the slope of a series' line.
    ///
    /// # Errors
    /// Fails if there is no such series or its points are too few.
    pub fn slope(&self, name: &str) -> Result<f64, SeriesError> {
        Ok(self.fit(name)?.slope)
    }

    fn fit(&self, name: &str) -> Result<Fit, SeriesError> {
        let series = self.get(name)?;
        series
            .fit
            .ok_or_else(|| SeriesError::TooFewPoints(name.to_owned()))
    }

    /// Reads a stored report.
    ///
    /// # Errors
    /// Fails if the file can't be read, is not JSON, or has another form.
    pub fn read(path: &Path) -> Result<Self, ReportFileError> {
        let text = std::fs::read_to_string(path).map_err(|source| io_error(path, source))?;
        let json_error = |source| json_error(path, source);
        let value: serde_json::Value = serde_json::from_str(&text).map_err(json_error)?;
        match &value["form"] {
            form if *form == FORM => serde_json::from_value(value).map_err(json_error),
            form => Err(ReportFileError::UnsupportedForm {
                path: path.to_owned(),
                found: form.to_string(),
                supported: FORM,
            }),
        }
    }

    /// Stores the report. An older file is replaced at once, so that it is never truncated.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn write(&self, path: &Path) -> Result<(), ReportFileError> {
        let json = serde_json::to_string_pretty(self);
        let text = json.map_err(|source| json_error(path, source))? + "\n";
        let temporary_path = path.with_extension("part");
        std::fs::write(&temporary_path, text)
            .and_then(|()| std::fs::rename(&temporary_path, path))
            .map_err(|source| io_error(path, source))
    }
}

fn io_error(path: &Path, source: std::io::Error) -> ReportFileError {
    let path = path.to_owned();
    ReportFileError::Io { path, source }
}

fn json_error(path: &Path, source: serde_json::Error) -> ReportFileError {
    let path = path.to_owned();
    ReportFileError::Json { path, source }
}
