//! Conversion of a plan to the rehearsal that runs it.
use crate::error::SoakError;
use crate::plan::{Fault, FaultKind, SoakPlan};
use birchhub_backend_model::work::seeded_rng;
use birchhub_emulator::relay::FaultWindow;
use birchhub_rehearsal::duration::ScenarioDuration;
use birchhub_rehearsal::hooks::Hooks;
use birchhub_rehearsal::plan::Action;
use birchhub_rehearsal::{Plan, Scenario};
use rand::Rng;
use rand::seq::index::sample;

/// The part of the scenario file that all plans share.
const DEPLOYMENT: &str = include_str!("deployment.toml");
/// Name of the scenario in error messages.
const SCENARIO_NAME: &str = "soak";
/// Random stream for the targets of faults. It is distinct from the plan's stream, so that removing a fault does not
/// change the others.
const STREAM: u64 = 0x50A5;
/// Fraction of the clients that use their open connections to a proxy that ends until these are closed.
const STAYING_FRACTION: f64 = 0.25;
/// Duration and interval of the pauses of a proxy. The platform pauses a proxy for at most this duration.
const PAUSE_TIMING: &str = "pause = \"100ms\"\nevery = \"900ms\"\n";

/// Size and timing of the batches of a deploy.
const DEPLOY_TIMING: &str = "batch = 2\nevery = \"800ms\"\nlead = \"500ms\"\nstop-after = \"2s\"\n";
/// Interval between the shutdowns of proxies, and the delay until each proxy is restarted.
const RESTART_TIMING: &str = "every = \"400ms\"\nback-after = \"600ms\"\n";

/// A rehearsal that is ready to run.
pub(crate) struct PreparedRehearsal {
    pub scenario: Scenario,
    pub plan: Plan,
    pub hooks: Hooks,
}

impl PreparedRehearsal {
    /// Prepares the rehearsal of a plan. `shim` is the path of the fault shim.
    pub(crate) fn new(plan: &SoakPlan, shim: &str) -> Result<Self, SoakError> {
        let faults = plan.faults.iter().map(encode_fault);
        let text: String = std::iter::once(DEPLOYMENT.to_owned())
            .chain(faults)
            .collect();
        let scenario = read_scenario(plan, &text)?;
        let mut prepared = Plan::generate(&scenario, plan.seed, SCENARIO_NAME, &text)
            .map_err(|error| SoakError::Scenario(error.to_string()))?;
        prepared.actions.extend(
            plan.faults
                .iter()
                .flat_map(|fault| signal_actions(plan, fault)),
        );
        prepared.actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(Self {
            scenario,
            plan: prepared,
            hooks: hooks_of(plan, shim),
        })
    }
}

/// Parses the scenario file `text` and applies the sizes and rates of the plan.
fn read_scenario(plan: &SoakPlan, text: &str) -> Result<Scenario, SoakError> {
    let mut scenario = Scenario::read(SCENARIO_NAME, text)
        .map_err(|error| SoakError::Scenario(error.to_string()))?;
    scenario.duration = ScenarioDuration(plan.seconds);
    scenario.fleet.machines[0].count = plan.backends;
    scenario.proxies.count = plan.proxies;
    scenario.traffic.rate_per_second = plan.requests_per_second;
    scenario.clients.cancelling_fraction = plan.cancelled_fraction;
    Ok(scenario)
}

/// A kind of fault as a scenario file has it.
struct ScenarioKind {
    name: &'static str,
    /// Lines with the keys that are specific to the kind.
    keys: String,
}

/// Encodes a kind of fault for a scenario file; `None` if scenario files have no such fault.
fn encode_kind(kind: &FaultKind) -> Option<ScenarioKind> {
    let nodes = |count: &usize| format!("nodes = {{ count = {count} }}\n");
    let proxies = |count: &usize| format!("proxies = {{ count = {count} }}\n");
    let share = |count: &usize, fraction: &f64| format!("{}share = {fraction}\n", nodes(count));
    let (name, keys) = match kind {
        FaultKind::BackendStall { count } => ("stall", nodes(count)),
        FaultKind::BackendCrash { count } => ("crash", nodes(count)),
        FaultKind::Deploy { count } => ("deploy", nodes(count) + DEPLOY_TIMING),
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
        FaultKind::ProxyPause { count } => ("proxy-pause", proxies(count) + PAUSE_TIMING),
        FaultKind::Network { .. }
        | FaultKind::ProxyReload { .. }
        | FaultKind::SystemCalls { .. }
        | FaultKind::ClockStep { .. }
        | FaultKind::StalledClients { .. }
        | FaultKind::FloodingClients { .. }
        | FaultKind::Crowd { .. }
        | FaultKind::SignalSeries { .. }
        | FaultKind::SilentClients { .. } => return None,
    };
    Some(ScenarioKind { name, keys })
}

/// Encodes a fault for a scenario file; empty if scenario files have no such fault.
fn encode_fault(fault: &Fault) -> String {
    let Some(ScenarioKind { name: kind, keys }) = encode_kind(&fault.kind) else {
        return String::new();
    };
    let timing = match fault.kind {
        FaultKind::Deploy { .. } => String::new(),
        FaultKind::ProxyKill { .. } | FaultKind::ProxyRestart { .. } => RESTART_TIMING.to_owned(),
        _ => format!("for = \"{}s\"\n", fault.duration_seconds),
    };
    let name = &fault.name;
    let start = fault.start_seconds;
    format!("[[trouble]]\nname = \"{name}\"\nkind = \"{kind}\"\nat = \"{start}s\"\n{keys}{timing}")
}

/// Selects `count` of the numbers below `all` at random. The selection depends only on the plan's seed and the fault's
/// name.
pub(crate) fn select_targets(
    plan: &SoakPlan,
    fault: &Fault,
    count: usize,
    all: usize,
) -> Vec<usize> {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let stream = fault.name.bytes().fold(STREAM, fold);
    let mut rng = seeded_rng(plan.seed, stream);
    sample(&mut rng, all, count.min(all)).into_vec()
}

/// The signals of a fault that scenario files do not have, with their times.
fn signal_actions(plan: &SoakPlan, fault: &Fault) -> Vec<(f64, Action)> {
    let (FaultKind::ProxyReload { count } | FaultKind::SignalSeries { count }) = fault.kind else {
        return Vec::new();
    };
    let proxies = select_targets(plan, fault, count, plan.proxies).into_iter();
    let signals = proxies.flat_map(|proxy| match fault.kind {
        FaultKind::SignalSeries { .. } => signal_series(proxy as u16),
        _ => vec![(
            0.0,
            Action::ReloadProxy {
                proxy: proxy as u16,
            },
        )],
    });
    signals
        .map(|(after, action)| (fault.start_seconds + after, action))
        .collect()
}

/// Signals to one proxy in short succession, with the seconds from the start of the fault.
fn signal_series(proxy: u16) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::ReloadProxy { proxy }),
        (0.15, Action::PauseProxy { proxy, on: true }),
        (0.25, Action::PauseProxy { proxy, on: false }),
        (0.3, Action::ReloadProxy { proxy }),
        (0.45, Action::TerminateProxy { proxy }),
        (1.05, Action::StartProxy { proxy }),
    ]
}

/// The faults that scenario files do not have: of the network, of system calls and of the wall clock.
fn hooks_of(plan: &SoakPlan, shim: &str) -> Hooks {
    let mut hooks = Hooks {
        slow: plan.slow_fraction,
        staying: STAYING_FRACTION,
        ends_gracefully: true,
        ..Hooks::default()
    };
    let mut shim_faults = vec![Vec::new(); plan.proxies];
    for planned in &plan.faults {
        let start = planned.start_seconds;
        let end = planned.start_seconds + planned.duration_seconds;
        match &planned.kind {
            FaultKind::Network { count, fault } => {
                let window = FaultWindow {
                    from: start,
                    until: end,
                    fault: *fault,
                };
                for node in select_targets(plan, planned, *count, plan.backends) {
                    hooks.links.entry(node as u32).or_default().push(window);
                }
            }
            FaultKind::SystemCalls { count, faults } => {
                for proxy in select_targets(plan, planned, *count, plan.proxies) {
                    let timed = faults.iter().map(|call| format!("{call}:{start}-{end}"));
                    shim_faults[proxy].extend(timed);
                }
            }
            FaultKind::ClockStep { count, seconds } => {
                for proxy in select_targets(plan, planned, *count, plan.proxies) {
                    shim_faults[proxy].push(format!("clock={seconds:+}@1:{start}-{end}"));
                }
            }
            _ => {}
        }
    }
    let mut rng = seeded_rng(plan.seed, STREAM);
    for (proxy, faults) in shim_faults.into_iter().enumerate() {
        // Drawn also for proxies without faults, so that a seed does not depend on the faults of other proxies.
        let seed: u32 = rng.random();
        if !faults.is_empty() {
            let variables = shim_environment(shim, seed, &faults);
            hooks.environment.insert(proxy as u16, variables);
        }
    }
    hooks
}

/// Environment variables that load the shim into a proxy's process with these faults.
fn shim_environment(shim: &str, seed: u32, faults: &[String]) -> Vec<(String, String)> {
    let plan = format!("seed={seed},{}", faults.join(","));
    vec![
        ("LD_PRELOAD".to_owned(), shim.to_owned()),
        ("BIRCHHUB_FAULTS".to_owned(), plan),
    ]
}
