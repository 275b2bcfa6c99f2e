//! The result of a run, as it is kept in JSON.
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

    fn series_mut(&mut self, name: &str) -> Result<&mut Series, String> {
        self.series
            .iter_mut()
            .find(|s| s.name == name)
            .ok_or_else(|| format!("there is no series {name}"))
    }

    pub fn add(&mut self, name: &str, x: f64, y: f64) -> Result<(), String> {
        let series = self.series_mut(name)?;
        series.points.push((x, y));
        series.load = series.load.max(usage::load_average());
        Ok(())
    }

    /// A point that could not be taken, and why.
    pub fn miss(&mut self, name: &str, why: String) -> Result<(), String> {
        self.series_mut(name)?.missing.push(why);
        Ok(())
    }

    pub fn finish(&mut self) {
        self.series.iter_mut().for_each(Series::finish);
    }

    pub fn get(&self, name: &str) -> Result<&Series, String> {
        self.series
            .iter()
            .find(|s| s.name == name)
            .ok_or_else(|| format!("there is no series {name}"))
    }

    /// What the line of a series gives at x. An error where it has none.
    pub fn at(&self, name: &str, x: f64) -> Result<f64, String> {
        let fit = self
            .get(name)?
            .fit
            .ok_or_else(|| format!("{name} has too few points"))?;
        Ok(fit.at(x))
    }

    pub fn slope(&self, name: &str) -> Result<f64, String> {
        Ok(self
            .get(name)?
            .fit
            .ok_or_else(|| format!("{name} has too few points"))?
            .slope)
    }

    pub fn read(path: &Path) -> Result<Self, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| told(&e))?;
        let value: serde_json::Value = serde_json::from_str(&text).map_err(|e| told(&e))?;
        match &value["form"] {
            form if *form == FORM => serde_json::from_value(value).map_err(|e| told(&e)),
            form => Err(told(&format!("form is {form}, and only {FORM} is read"))),
        }
    }

    /// Whole or not at all: an older result is replaced only by a whole one.
    pub fn write(&self, path: &Path) -> Result<(), String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = serde_json::to_string_pretty(self).map_err(|e| told(&e))? + "\n";
        let part = path.with_extension("part");
        std::fs::write(&part, text)
            .and_then(|()| std::fs::rename(&part, path))
            .map_err(|e| told(&e))
    }
}
