//! Plays a plan.
use crate::fault::SoakPlan;
use crate::judge::Judgement;
use crate::scenario::Staged;
use crate::stopped_clients;
use birchhub_rehearsal::extras::Companion;
use birchhub_rehearsal::{Options, rehearse_with};
use std::path::PathBuf;
use std::sync::mpsc::channel;
use thiserror::Error;

/// The file of the plan in the folder of a run.
const PLAN_FILE: &str = "plan.toml";

/// With what a plan is played.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The proxies' program.
    pub program: PathBuf,
    /// The library that makes system calls fail.
    pub shim: PathBuf,
    /// Where the plan, the ledger, the report and the proxies' logs go; what is there is replaced.
    pub out: PathBuf,
}

/// Why a plan could not be played. None of these says anything of the proxies.
#[derive(Debug, Error)]
pub enum SoakError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The plan makes no sense.
    #[error("the plan: {0}")]
    Plan(String),
    /// The rehearsal could not be played to its end.
    #[error("{0}")]
    Rehearsal(String),
}

impl SoakError {
    fn io(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io { path, source }
    }
}

impl SoakPlan {
    /// The plan in a file.
    pub fn read(path: &std::path::Path) -> Result<Self, SoakError> {
        let text = std::fs::read_to_string(path).map_err(SoakError::io(path))?;
        toml::from_str(&text).map_err(|error| SoakError::Plan(error.to_string()))
    }

    /// The plan as a file.
    pub fn to_text(&self) -> String {
        toml::to_string(self).expect("a plan has a text")
    }
}

/// Plays a plan to its end and judges it.
pub fn play(plan: &SoakPlan, options: &SoakOptions) -> Result<Judgement, SoakError> {
    if !options.shim.is_file() {
        let shim = options.shim.display();
        let what = format!("there is no {shim}: build birchhub-fault-shim, or name it");
        return Err(SoakError::Rehearsal(what));
    }
    let out = &options.out;
    if out.exists() {
        std::fs::remove_dir_all(out).map_err(SoakError::io(out))?;
    }
    std::fs::create_dir_all(out).map_err(SoakError::io(out))?;
    let file = out.join(PLAN_FILE);
    std::fs::write(&file, plan.to_text()).map_err(SoakError::io(&file))?;
    let staged = Staged::of(plan, &options.shim.to_string_lossy()).map_err(SoakError::Plan)?;
    let (late, ends) = channel();
    let stopped = plan.clone();
    let companion: Companion =
        Box::new(move |clock, proxies| stopped_clients::start(stopped, clock, proxies, late));
    let rehearsal = Options {
        seed: plan.seed,
        out: out.clone(),
        program: options.program.clone(),
        progress: false,
    };
    let report = rehearse_with(
        &staged.scenario,
        &staged.plan,
        &rehearsal,
        &staged.extras,
        Some(companion),
    );
    let report = report.map_err(SoakError::Rehearsal)?;
    Ok(Judgement::of(&report, out, ends.try_iter().collect()))
}
