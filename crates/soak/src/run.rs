//! Execution of a plan.
use crate::active_clients;
use crate::error::SoakError;
use crate::plan::SoakPlan;
use crate::result::SoakResult;
use crate::scenario::PreparedRehearsal;
use crate::stalled_clients;
use birchhub_rehearsal::hooks::BackgroundTask;
use birchhub_rehearsal::{Options, rehearse_with};
use std::path::PathBuf;
use std::sync::mpsc::channel;

/// Name of the plan's file in the output folder of a run.
const PLAN_FILE: &str = "plan.toml";

/// Options for running a soak plan.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the proxies' executable.
    pub program: PathBuf,
    /// Path of the fault shim.
    pub shim: PathBuf,
    /// Output folder for the plan, the ledger, the report and the proxies' logs. An existing folder is deleted first.
    pub out: PathBuf,
}

/// Runs a plan to its end and checks the behaviour of the proxies.
pub fn run(plan: &SoakPlan, options: &SoakOptions) -> Result<SoakResult, SoakError> {
    if !options.shim.is_file() {
        return Err(SoakError::MissingShim(options.shim.clone()));
    }
    let out = &options.out;
    if out.exists() {
        std::fs::remove_dir_all(out).map_err(SoakError::io(out))?;
    }
    std::fs::create_dir_all(out).map_err(SoakError::io(out))?;
    let plan_file = out.join(PLAN_FILE);
    std::fs::write(&plan_file, plan.to_text()).map_err(SoakError::io(&plan_file))?;
    let prepared = PreparedRehearsal::new(plan, &options.shim.to_string_lossy())?;
    let (unterminated_sender, unterminated_clients) = channel();
    let client_plan = plan.clone();
    let clients: BackgroundTask = Box::new(move |clock, proxies| {
        let active_clients = active_clients::start(&client_plan, clock, &proxies);
        let stalled_clients =
            stalled_clients::start(client_plan, clock, proxies, unterminated_sender);
        std::thread::spawn(move || {
            for thread in active_clients.into_iter().chain([stalled_clients]) {
                let _ = thread.join();
            }
        })
    });
    let rehearsal = Options {
        seed: plan.seed,
        out: out.clone(),
        program: options.program.clone(),
        progress: false,
    };
    let report = rehearse_with(
        &prepared.scenario,
        &prepared.plan,
        &rehearsal,
        &prepared.hooks,
        Some(clients),
    )?;
    let unterminated_clients = unterminated_clients.try_iter().collect();
    Ok(SoakResult::new(&report, out, unterminated_clients))
}
