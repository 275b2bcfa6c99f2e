//! The rehearsal behind a plan: its deployment, and the faults that scenarios know.
use crate::fault::{Fault, FaultKind, SoakPlan};
use birchhub_backend_model::work::generator;
use birchhub_emulator::relay::Window;
use birchhub_rehearsal::duration::ScenarioDuration;
use birchhub_rehearsal::extras::Extras;
use birchhub_rehearsal::plan::Action;
use birchhub_rehearsal::{Plan, Scenario};
use rand::Rng;
use rand::seq::index::sample;
use std::fmt::Write;

/// The part of the scenario that no plan changes.
const DEPLOYMENT: &str = include_str!("deployment.toml");
/// Names the scenario in errors.
const FILE: &str = "soak";
/// Keeps what is drawn here apart from the plan's own draws: leaving out a fault changes no other.
const STREAM: u64 = 0x50A5;
/// For which a stopped proxy stands still, and how often. The platform holds one up for no longer.
const PAUSE: &str = "pause = \"100ms\"\nevery = \"900ms\"\n";

/// What a rehearsal is played with.
pub(crate) struct Staged {
    pub scenario: Scenario,
    pub plan: Plan,
    pub extras: Extras,
}

impl Staged {
    /// The rehearsal of a plan; an error names what is wrong with the plan.
    pub(crate) fn of(plan: &SoakPlan, shim: &str) -> Result<Self, String> {
        let troubles = plan.faults.iter().map(trouble_text);
        let text: String = std::iter::once(DEPLOYMENT.to_owned())
            .chain(troubles)
            .collect();
        let scenario = scenario(plan, &text)?;
        let mut drawn =
            Plan::generate(&scenario, plan.seed, FILE, &text).map_err(|error| error.to_string())?;
        drawn
            .actions
            .extend(plan.faults.iter().flat_map(|fault| reloads(plan, fault)));
        drawn.actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(Self {
            scenario,
            plan: drawn,
            extras: extras(plan, shim),
        })
    }
}

/// The scenario of a plan.
fn scenario(plan: &SoakPlan, text: &str) -> Result<Scenario, String> {
    let mut scenario = Scenario::read(FILE, text).map_err(|error| error.to_string())?;
    scenario.length = ScenarioDuration(plan.seconds);
    scenario.fleet.machine[0].count = plan.backends;
    scenario.proxies.count = plan.proxies;
    scenario.traffic.rate = plan.rate;
    scenario.clients.leave = plan.leaving;
    Ok(scenario)
}

/// The trouble of a scenario that a fault stands for; empty if scenarios know none like it.
fn trouble_text(fault: &Fault) -> String {
    let nodes = |count: &usize| format!("nodes = {{ count = {count} }}\n");
    let proxies = |count: &usize| format!("proxies = {{ count = {count} }}\n");
    let share = |count: &usize, share: &f64| format!("{}share = {share}\n", nodes(count));
    let (kind, more) = match &fault.kind {
        FaultKind::BackendStall { count } => ("stall", nodes(count)),
        FaultKind::BackendCrash { count } => ("crash", nodes(count)),
        FaultKind::Deploy { count } => {
            let pace = "batch = 2\nevery = \"800ms\"\nlead = \"500ms\"\nstop-after = \"2s\"\n";
            ("deploy", nodes(count) + pace)
        }
        FaultKind::ResetAnswers { count, share: part } => ("reset", share(count, part)),
        FaultKind::SpoiltAnswers { count, share: part } => ("spoilt", share(count, part)),
        FaultKind::NoAnswers { count, share: part } => ("mute", share(count, part)),
        FaultKind::Errors { count, share: part } => ("error", share(count, part)),
        FaultKind::Partition { count } => ("partition", nodes(count)),
        FaultKind::DiscoveryDown => ("list-down", String::new()),
        FaultKind::DiscoveryLate { by } => ("list-late", format!("by = \"{by}s\"\n")),
        FaultKind::ProxyKill { count } => ("proxy-kill", proxies(count)),
        FaultKind::ProxyRestart { count } => ("proxy-restart", proxies(count)),
        FaultKind::ProxyPause { count } => ("proxy-pause", proxies(count) + PAUSE),
        FaultKind::Network { .. }
        | FaultKind::Reload { .. }
        | FaultKind::SystemCalls { .. }
        | FaultKind::ClockStep { .. }
        | FaultKind::StoppedClients { .. }
        | FaultKind::SilentClients { .. } => return String::new(),
    };
    let mut text = String::new();
    let (name, at, lasts) = (&fault.name, fault.at, fault.lasts);
    let _ = write!(
        text,
        "[[trouble]]\nname = \"{name}\"\nkind = \"{kind}\"\nat = \"{at}s\"\n{more}"
    );
    let takes_length = !matches!(
        fault.kind,
        FaultKind::Deploy { .. } | FaultKind::ProxyKill { .. } | FaultKind::ProxyRestart { .. }
    );
    if takes_length {
        let _ = writeln!(text, "for = \"{lasts}s\"");
    } else if !matches!(fault.kind, FaultKind::Deploy { .. }) {
        let _ = writeln!(text, "every = \"400ms\"\nback-after = \"600ms\"");
    }
    text
}

/// So many of `all`, drawn for this fault alone.
pub(crate) fn chosen(plan: &SoakPlan, fault: &Fault, count: usize, all: usize) -> Vec<usize> {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    let stream = fault.name.bytes().fold(STREAM, fold);
    let mut chance = generator(plan.seed, stream);
    sample(&mut chance, all, count.min(all)).into_vec()
}

fn reloads(plan: &SoakPlan, fault: &Fault) -> Vec<(f64, Action)> {
    let FaultKind::Reload { count } = fault.kind else {
        return Vec::new();
    };
    let chosen = chosen(plan, fault, count, plan.proxies).into_iter();
    let act = |proxy| Action::ReloadProxy {
        proxy: proxy as u16,
    };
    chosen.map(|proxy| (fault.at, act(proxy))).collect()
}

/// The faults that scenarios know nothing of.
fn extras(plan: &SoakPlan, shim: &str) -> Extras {
    let mut extras = Extras {
        slow: plan.slow,
        ends_gracefully: true,
        ..Extras::default()
    };
    let mut calls = vec![Vec::new(); plan.proxies];
    for fault in &plan.faults {
        let (at, until) = (fault.at, fault.at + fault.lasts);
        match &fault.kind {
            FaultKind::Network { count, disturbance } => {
                let window = Window {
                    from: at,
                    until,
                    disturbance: *disturbance,
                };
                for node in chosen(plan, fault, *count, plan.backends) {
                    extras.links.entry(node as u32).or_default().push(window);
                }
            }
            FaultKind::SystemCalls { count, faults } => {
                for proxy in chosen(plan, fault, *count, plan.proxies) {
                    let timed = faults.iter().map(|what| format!("{what}:{at}-{until}"));
                    calls[proxy].extend(timed);
                }
            }
            FaultKind::ClockStep { count, seconds } => {
                for proxy in chosen(plan, fault, *count, plan.proxies) {
                    calls[proxy].push(format!("clock={seconds:+}@1:{at}-{until}"));
                }
            }
            _ => {}
        }
    }
    let mut chance = generator(plan.seed, STREAM);
    for (proxy, calls) in calls.into_iter().enumerate() {
        let seed: u32 = chance.random();
        if !calls.is_empty() {
            let faults = format!("seed={seed},{}", calls.join(","));
            let variables = [("LD_PRELOAD", shim.to_owned()), ("BIRCHHUB_FAULTS", faults)];
            let variables = variables.map(|(name, value)| (name.to_owned(), value));
            extras.environment.insert(proxy as u16, variables.into());
        }
    }
    extras
}
