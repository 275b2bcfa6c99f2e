//! The result of a run, as it is kept in JSON.
use crate::error::{ReportFileError, SeriesError};
use crate::fit::Fit;
use crate::plan::Plan;
use crate::series::{SERIES, Series};
use crate::usage;
use serde::{Deserialize, Serialize};
use std::path::Path;

const FORM: u32 = 1; // of the file

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    pub form: u32,
    /// What makes it anew.
    pub command: String,
    pub plan: Plan,
    /// Cores of the machine it was measured on.
    pub cores: usize,
    /// RPCs that had no answer with status 200, of so many.
    pub failed: u64,
    pub rpcs: u64,
    /// How long the run took, s.
    pub took: f64,
    pub series: Vec<Series>,
}

impl Report {
    pub fn new(plan: &Plan) -> Self {
        Self {
            form: FORM,
            command: plan.command(),
            plan: plan.clone(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            failed: 0,
            rpcs: 0,
            took: 0.0,
            series: SERIES.iter().map(Series::new).collect(),
        }
    }

    fn series_mut(&mut self, name: &str) -> Result<&mut Series, SeriesError> {
        self.series
            .iter_mut()
            .find(|s| s.name == name)
            .ok_or_else(|| SeriesError::Unknown(name.to_owned()))
    }

    pub fn add(&mut self, name: &str, x: f64, y: f64) -> Result<(), SeriesError> {
        let series = self.series_mut(name)?;
        series.points.push((x, y));
        series.load = series.load.max(usage::load_average());
        Ok(())
    }

    /// A point that could not be taken, and why.
    pub fn miss(&mut self, name: &str, why: String) -> Result<(), SeriesError> {
        self.series_mut(name)?.missing.push(why);
        Ok(())
    }

    pub fn finish(&mut self) {
        self.series.iter_mut().for_each(Series::finish);
    }

    pub fn get(&self, name: &str) -> Result<&Series, SeriesError> {
        self.series
            .iter()
            .find(|s| s.name == name)
            .ok_or_else(|| SeriesError::Unknown(name.to_owned()))
    }

    /// What the line of a series gives at x. An error where it has none.
    pub fn at(&self, name: &str, x: f64) -> Result<f64, SeriesError> {
        Ok(self.fit(name)?.at(x))
    }

    pub fn slope(&self, name: &str) -> Result<f64, SeriesError> {
        Ok(self.fit(name)?.slope)
    }

    fn fit(&self, name: &str) -> Result<Fit, SeriesError> {
        let series = self.get(name)?;
        series
            .fit
            .ok_or_else(|| SeriesError::TooFewPoints(name.to_owned()))
    }

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

    /// Whole or not at all: an older result is replaced only by a whole one.
    pub fn write(&self, path: &Path) -> Result<(), ReportFileError> {
        let json = serde_json::to_string_pretty(self);
        let text = json.map_err(|source| json_error(path, source))? + "\n";
        let part = path.with_extension("part");
        std::fs::write(&part, text)
            .and_then(|()| std::fs::rename(&part, path))
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
