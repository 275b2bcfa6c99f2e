//! Converts a plan to the rehearsal that runs it.
use crate::error::SoakError;
use crate::plan::{Fault, FaultKind, SoakPlan};
use birchhub_backend_model::work::seeded_rng;
use birchhub_emulator::relay::Window;
use birchhub_rehearsal::duration::ScenarioDuration;
use birchhub_rehearsal::hooks::Hooks;
use birchhub_rehearsal::plan::Action;
use birchhub_rehearsal::{Plan, Scenario};
use rand::Rng;
use rand::seq::index::sample;

/// The part of the scenario that is the same for all plans.
const DEPLOYMENT: &str = include_str!("deployment.toml");
/// Name of the scenario in errors.
const SCENARIO_NAME: &str = "soak";
/// Stream of random numbers for the targets of faults. It is distinct from that of the plan, so that removing a fault
/// changes no other.
const STREAM: u64 = 0x50A5;
/// Duration and interval of the pauses of a proxy. The platform pauses one for no longer.
const PAUSE: &str = "pause = \"100ms\"\nevery = \"900ms\"\n";

/// Size and timing of the batches of a deploy.
const ROLLOUT: &str = "batch = 2\nevery = \"800ms\"\nlead = \"500ms\"\nstop-after = \"2s\"\n";
/// Interval between the ends of proxies, and the time until each is restarted.
const RESTARTS: &str = "every = \"400ms\"\nback-after = \"600ms\"\n";

/// A rehearsal that is ready to run.
pub(crate) struct PreparedRehearsal {
    pub scenario: Scenario,
    pub plan: Plan,
    pub hooks: Hooks,
}

impl PreparedRehearsal {
    /// Prepares the rehearsal of a plan. `shim` is the path of the library that makes system calls fail.
    pub(crate) fn new(plan: &SoakPlan, shim: &str) -> Result<Self, SoakError> {
        let troubles = plan.faults.iter().map(scenario_fault);
        let text: String = std::iter::once(DEPLOYMENT.to_owned())
            .chain(troubles)
            .collect();
        let scenario = scenario(plan, &text)?;
        let mut prepared = Plan::generate(&scenario, plan.seed, SCENARIO_NAME, &text)
            .map_err(|error| SoakError::Scenario(error.to_string()))?;
        prepared
            .actions
            .extend(plan.faults.iter().flat_map(|fault| reloads(plan, fault)));
        prepared.actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(Self {
            scenario,
            plan: prepared,
            hooks: hooks(plan, shim),
        })
    }
}

/// The scenario of a plan.
fn scenario(plan: &SoakPlan, text: &str) -> Result<Scenario, SoakError> {
    let mut scenario = Scenario::read(SCENARIO_NAME, text)
        .map_err(|error| SoakError::Scenario(error.to_string()))?;
    scenario.duration = ScenarioDuration(plan.seconds);
    scenario.fleet.machines[0].count = plan.backends;
    scenario.proxies.count = plan.proxies;
    scenario.traffic.rate_per_second = plan.requests_per_second;
    scenario.clients.cancelling_fraction = plan.cancelled_fraction;
    Ok(scenario)
}

/// A fault's kind in the form of a scenario's file.
struct ScenarioKind {
    name: &'static str,
    /// Lines with the kind's own keys.
    keys: String,
}

/// The kind of a fault in the form of a scenario's file; `None` if scenarios have no such fault.
fn scenario_kind(kind: &FaultKind) -> Option<ScenarioKind> {
    let nodes = |count: &usize| format!("nodes = {{ count = {count} }}\n");
    let proxies = |count: &usize| format!("proxies = {{ count = {count} }}\n");
    let share = |count: &usize, fraction: &f64| format!("{}share = {fraction}\n", nodes(count));
    let (name, keys) = match kind {
        FaultKind::BackendStall { count } => ("stall", nodes(count)),
        FaultKind::BackendCrash { count } => ("crash", nodes(count)),
        FaultKind::Deploy { count } => ("deploy", nodes(count) + ROLLOUT),
        FaultKind::ResetResponses { count, fraction } => ("reset", share(count, fraction)),
        FaultKind::MalformedResponses { count, fraction } => ("spoilt", share(count, fraction)),
        FaultKind::NoResponses { count, fraction } => ("mute", share(count, fraction)),
        FaultKind::ErrorResponses { count, fraction } => ("error", share(count, fraction)),
        FaultKind::Partition { count } => ("partition", nodes(count)),
        FaultKind::DiscoveryDown => ("list-down", String::new()),
        FaultKind::DiscoveryLate { delay_seconds } => {
            ("list-late", format!("by = \"{delay_seconds}s\"\n"))
        }
        FaultKind::ProxyKill { count } => ("proxy-kill", proxies(count)),
        FaultKind::ProxyRestart { count } => ("proxy-restart", proxies(count)),
        FaultKind::ProxyPause { count } => ("proxy-pause", proxies(count) + PAUSE),
        FaultKind::Network { .. }
        | FaultKind::ProxyReload { .. }
        | FaultKind::SystemCalls { .. }
        | FaultKind::ClockStep { .. }
        | FaultKind::StalledClients { .. }
        | FaultKind::SilentClients { .. } => return None,
    };
    Some(ScenarioKind { name, keys })
}

/// A fault in the form of a scenario's file; empty if scenarios have no such fault.
fn scenario_fault(fault: &Fault) -> String {
    let Some(ScenarioKind { name: kind, keys }) = scenario_kind(&fault.kind) else {
        return String::new();
    };
    let timing = match fault.kind {
        FaultKind::Deploy { .. } => String::new(),
        FaultKind::ProxyKill { .. } | FaultKind::ProxyRestart { .. } => RESTARTS.to_owned(),
        _ => format!("for = \"{}s\"\n", fault.duration_seconds),
    };
    let name = &fault.name;
    let start = fault.start_seconds;
    format!("[[trouble]]\nname = \"{name}\"\nkind = \"{kind}\"\nat = \"{start}s\"\n{keys}{timing}")
}

/// Selects `count` of the numbers below `all`, by random numbers that only this fault uses.
pub(crate) fn targets(plan: &SoakPlan, fault: &Fault, count: usize, all: usize) -> Vec<usize> {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let stream = fault.name.bytes().fold(STREAM, fold);
    let mut rng = seeded_rng(plan.seed, stream);
    sample(&mut rng, all, count.min(all)).into_vec()
}

/// The reloads of a fault with the times at which they happen.
fn reloads(plan: &SoakPlan, fault: &Fault) -> Vec<(f64, Action)> {
    let FaultKind::ProxyReload { count } = fault.kind else {
        return Vec::new();
    };
    let proxies = targets(plan, fault, count, plan.proxies).into_iter();
    let act = |proxy| Action::ReloadProxy {
        proxy: proxy as u16,
    };
    proxies
        .map(|proxy| (fault.start_seconds, act(proxy)))
        .collect()
}

/// The faults that scenarios don't have: of the network, of system calls and of the wall clock.
fn hooks(plan: &SoakPlan, shim: &str) -> Hooks {
    let mut hooks = Hooks {
        slow: plan.slow_fraction,
        ends_gracefully: true,
        ..Hooks::default()
    };
    let mut shim_faults = vec![Vec::new(); plan.proxies];
    for planned in &plan.faults {
        let start = planned.start_seconds;
        let end = planned.start_seconds + planned.duration_seconds;
        match &planned.kind {
            FaultKind::Network { count, fault } => {
                let window = Window {
                    from: start,
                    until: end,
                    fault: *fault,
                };
                for node in targets(plan, planned, *count, plan.backends) {
                    hooks.links.entry(node as u32).or_default().push(window);
                }
            }
            FaultKind::SystemCalls { count, faults } => {
                for proxy in targets(plan, planned, *count, plan.proxies) {
                    let timed = faults.iter().map(|call| format!("{call}:{start}-{end}"));
                    shim_faults[proxy].extend(timed);
                }
            }
            FaultKind::ClockStep { count, seconds } => {
                for proxy in targets(plan, planned, *count, plan.proxies) {
                    shim_faults[proxy].push(format!("clock={seconds:+}@1:{start}-{end}"));
                }
            }
            _ => {}
        }
    }
    let mut rng = seeded_rng(plan.seed, STREAM);
    for (proxy, faults) in shim_faults.into_iter().enumerate() {
        // Drawn for each proxy: its seed does not depend on the faults of the others.
        let seed: u32 = rng.random();
        if !faults.is_empty() {
            let variables = shim_environment(shim, seed, &faults);
            hooks.environment.insert(proxy as u16, variables);
        }
    }
    hooks
}

/// The environment that loads the shim into a proxy's process with these faults.
fn shim_environment(shim: &str, seed: u32, faults: &[String]) -> Vec<(String, String)> {
    let plan = format!("seed={seed},{}", faults.join(","));
    vec![
        ("LD_PRELOAD".to_owned(), shim.to_owned()),
        ("BIRCHHUB_FAULTS".to_owned(), plan),
    ]
}
