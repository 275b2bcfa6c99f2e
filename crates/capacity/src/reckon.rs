//! What the planned size costs, worked out from the lines through measured points. What was not measured is called a guess.
use crate::error::SeriesError;
use crate::page::figure;
use crate::plan::size::*;
use crate::report::Report;

const DAY: f64 = 86_400.0; // s
const LINES_EACH: f64 = 3.0; // list lines that a restart of a backend makes: draining, gone or back, ready
const FAILURES: f64 = 15.0; // machines a day; each is one line or a few more
const DEPLOY: f64 = 0.1; // part of the backends that the busiest minute replaces
const HOLD: f64 = 4.0; // s that a call of a proxy waits: discovery/timing.rs, SERVICE.hold
const EMPTY: f64 = 0.3; // KB of a call and its answer that tell nothing
const ASKS: f64 = 1.0; // s between calls of a proxy that fail: half of 2 s, POLL_PART in policy/discovery.rs
const CALLS_MOST: f64 = 50.0; // list calls a second of a proxy at the most: discovery/timing.rs, MIN_CALL_INTERVAL
const BATCHES: f64 = 10.0; // a restart of all goes by tenths, so that nine of ten serve
const ENDING: f64 = 1.5; // s that a proxy goes on after SIGTERM: half a second and the longest deadline, 1 s
const ZONES: f64 = 10.0;
const CORE: f64 = 100.0; // % of a core

/// One line of the reckoning.
#[derive(Clone, Debug)]
pub struct Line {
    pub key: &'static str,
    pub role: &'static str,
    pub what: String,
    pub unit: &'static str,
    pub target: Option<f64>,
    pub reckoning: f64,
    /// Part of it was not measured.
    pub guess: bool,
    /// The machine had more to do than cores while a wall clock was read for it.
    pub crowded: bool,
    /// The series it is made of.
    pub of: String,
    /// What carries it, or what would.
    pub mechanism: &'static str,
}

impl Line {
    /// How often the target is used up; above 1 it is missed. None without a target or where it is void.
    pub fn factor(&self) -> Option<f64> {
        self.target
            .filter(|_| !self.is_void())
            .map(|target| self.reckoning / target)
    }

    /// It says nothing: a crowded machine can only add to a wall clock, so what meets its target all the same does so on a
    /// quiet one, and what misses it may be the crowd's. Less than nothing is a difference of two such readings.
    pub fn is_void(&self) -> bool {
        self.crowded
            && !self
                .target
                .is_some_and(|target| (0.0..=target).contains(&self.reckoning))
    }

    /// The figure with what is to be known of it.
    pub fn told(&self) -> String {
        let text = figure(self.reckoning);
        match () {
            () if self.is_void() => format!("void, the machine was crowded ({text})"),
            () if self.crowded => format!("at most {text}, on a crowded machine"),
            () if self.guess => format!("{text} (guess)"),
            () => text,
        }
    }
}

/// One line of a bad hour.
pub struct Hour {
    pub when: &'static str,
    pub what: String,
    pub unit: &'static str,
    pub reckoning: f64,
    pub guess: bool,
    pub of: String,
}

/// What would be built, and the lines of the reckoning that it is for.
pub struct Candidate {
    pub name: &'static str,
    pub keys: &'static [&'static str],
    pub expected: &'static str,
}

pub const CANDIDATES: &[Candidate] = &[
    Candidate {
        name: "settings in force without a restart",
        keys: &["settings", "settings-processor"],
        expected: "a changed setting costs what a reading of the file costs, at all proxies at once; nothing is drained, no \
            connection closed, no list taken anew",
    },
    Candidate {
        name: "subsets: which backends of a service a proxy uses at all",
        keys: &["latency", "latency-probes", "connect-probes"],
        expected: "a pair that is used meets more often, so its connection is still open; with 1 in 20 backends a \
            proxy meets each every 2 s",
    },
    Candidate {
        name: "the list told as what this proxy needs",
        keys: &["memory", "traffic", "busy-traffic", "busy-control"],
        expected: "with subsets of 1 in 20: lines, bytes, processor time of changes and memory of backends a twentieth",
    },
    Candidate {
        name: "fewer and shorter resident structures for a backend",
        keys: &["memory"],
        expected: "the line of memory.backends less steep, by what is kept twice in it",
    },
    Candidate {
        name: "a core that sleeps while nothing goes on",
        keys: &["control", "busy-control"],
        expected: "the base of idle.backends near nothing",
    },
    Candidate {
        name: "spread of a crowd at the list service",
        keys: &["crowd"],
        expected: "the calls of all proxies spread over seconds, when all start or hear of it at once",
    },
];

/// List lines a second on an ordinary day.
fn changes() -> f64 {
    (RESTARTS * LINES_EACH + FAILURES) / DAY
}

/// Processor time of a proxy of the planned size until it is ready, s.
fn start(report: &Report) -> Result<f64, SeriesError> {
    Ok(report.at("start.backends", BACKENDS)?
        + report.slope("start.tenants")? * TENANTS
        + report.slope("start.methods")? * METHODS)
}

/// List lines a second in the busiest minute.
fn deploy() -> f64 {
    BACKENDS * DEPLOY * LINES_EACH / 60.0
}

#[expect(clippy::too_many_lines)]
pub fn targets(report: &Report) -> Result<Vec<Line>, SeriesError> {
    let at = |name, x| report.at(name, x);
    let crowded = |name: &str| Ok::<_, SeriesError>(report.get(name)?.load > report.cores as f64);
    let rate = RPCS / PROXIES;
    let memory = at("memory.busy.backends", BACKENDS)?
        + report.slope("memory.tenants")? * TENANTS
        + report.slope("memory.methods")? * METHODS;
    let change = at("change.backends", BACKENDS)?; // ms
    let control = at("idle.backends", BACKENDS)? + change * changes() / 10.0;
    let start = start(report)?;
    let bytes = report.slope("list.bytes")?; // KB a change and proxy
    let crowd = report.plan.hollow_backends;
    Ok(vec![
        Line {
            key: "settings",
            role: "proxy",
            what: "a changed setting in force at all proxies, restarted by tenths".into(),
            unit: "s",
            target: Some(IN_FORCE),
            reckoning: BATCHES * (ENDING + start),
            guess: true,
            crowded: false,
            of: "start.backends, start.tenants, start.methods, each with a core; ten batches and 1.5 s of ending are assumed".into(),
            mechanism: "missing: settings in force without a restart",
        },
        Line {
            key: "settings-processor",
            role: "proxy",
            what: "processor time of a proxy for a restart with each change of a day".into(),
            unit: "% of a core",
            target: Some(PROCESSOR),
            reckoning: CORE * start * CHANGES / DAY,
            guess: false,
            crowded: false,
            of: "start.backends, start.tenants, start.methods".into(),
            mechanism: "missing: settings in force without a restart",
        },
        Line {
            key: "latency",
            role: "proxy",
            what: "added to an RPC for 99 in 100, at the planned rate".into(),
            unit: "ms",
            target: Some(ADDED),
            reckoning: at("latency.rate", rate)?,
            guess: false,
            crowded: crowded("latency.rate")?,
            of: "latency.rate at 235, before 8,700".into(),
            mechanism: "here: kept connections (daemon, backend.rs), and answers that bring the same few backends again",
        },
        Line {
            key: "latency-probes",
            role: "proxy",
            what: "added to an RPC for 99 in 100, at the planned rate, where proxies probe".into(),
            unit: "ms",
            target: Some(ADDED),
            reckoning: at("latency.probes.backends", BACKENDS)?,
            guess: false,
            crowded: crowded("latency.probes.backends")?,
            of: "latency.probes.backends".into(),
            mechanism: "missing: subsets, so that a pair meets before its connection is closed",
        },
        Line {
            key: "memory",
            role: "proxy",
            what: "memory of a proxy, with all backends, tenants and methods".into(),
            unit: "MB",
            target: Some(MEMORY),
            reckoning: memory,
            guess: false,
            crowded: false,
            of: "memory.busy.backends, memory.tenants, memory.methods".into(),
            mechanism: "here: an actor for each backend (daemon, upstream/endpoint.rs)",
        },
        Line {
            key: "control",
            role: "proxy",
            what: "processor time of a proxy for control, ordinary day".into(),
            unit: "% of a core",
            target: Some(PROCESSOR),
            reckoning: control,
            guess: false,
            crowded: false,
            of: "idle.backends, change.backends; 3 lines a restart are assumed".into(),
            mechanism: "here: the decision actor's heartbeat (daemon, decision/heartbeat.rs) and the list's changes (src/balancer/endpoint_list.rs)",
        },
        Line {
            key: "traffic",
            role: "proxy",
            what: "bytes of a proxy for control, ordinary day".into(),
            unit: "KB a second",
            target: Some(TRAFFIC),
            reckoning: bytes * changes() + EMPTY / HOLD,
            guess: true,
            crowded: false,
            of: "list.bytes; 0.3 KB for a call that tells nothing every 4 s are assumed".into(),
            mechanism: "here: long calls that tell changes only (daemon, discovery/client.rs)",
        },
        Line {
            key: "busy-control",
            role: "proxy",
            what: "processor time of a proxy for control, busiest minute".into(),
            unit: "% of a core",
            target: Some(PROCESSOR),
            reckoning: at("idle.backends", BACKENDS)? + change * deploy().min(CALLS_MOST) / 10.0,
            guess: true,
            crowded: false,
            of: "idle.backends, change.backends; a tenth of the backends replaced in a minute is assumed".into(),
            mechanism: "here: the list's changes (src/balancer/endpoint_list.rs); subsets told as such would be fewer",
        },
        Line {
            key: "busy-traffic",
            role: "proxy",
            what: "bytes of a proxy for control, busiest minute".into(),
            unit: "KB a second",
            target: Some(TRAFFIC),
            reckoning: bytes * deploy(),
            guess: true,
            crowded: false,
            of: "list.bytes; a tenth of the backends replaced in a minute is assumed".into(),
            mechanism: "missing: the list told as what this proxy needs",
        },
        Line {
            key: "in-force",
            role: "discovery and control machines",
            what: "a list change in force at the last of all proxies".into(),
            unit: "s",
            target: Some(IN_FORCE),
            reckoning: at("list.in_force", PROXIES)?,
            guess: false,
            crowded: crowded("list.in_force")?,
            of: "list.in_force, all on one machine".into(),
            mechanism: "here: long calls (daemon, discovery/client.rs)",
        },
        Line {
            key: "service",
            role: "discovery and control machines",
            what: "processor time of the list service, ordinary day".into(),
            unit: "% of a core",
            target: Some(MACHINES * CORE),
            reckoning: (at("list.processor", PROXIES)? * changes() / 10.0).max(0.0),
            guess: true,
            crowded: false,
            of: "list.processor; the stand-in, not the operators' own; a core of each machine is assumed"
                .into(),
            mechanism: "not ours: the operators' list service; the stand-in encodes an answer once for all",
        },
        Line {
            key: "crowd",
            role: "discovery and control machines",
            what: format!("all proxies take the whole list of {crowd} at once, until the last has it"),
            unit: "s",
            target: Some(IN_FORCE),
            reckoning: at("list.crowd", PROXIES)?,
            guess: false,
            crowded: crowded("list.crowd")?,
            of: "list.crowd, all on one machine, proxies included".into(),
            mechanism: "here: half a second of jitter at the start (src/policy/discovery.rs)",
        },
        Line {
            key: "connect",
            role: "backend",
            what: "connections opened at a backend by all proxies".into(),
            unit: "a second",
            target: None,
            reckoning: report.slope("connect.proxies")? * PROXIES,
            guess: false,
            crowded: false,
            of: "connect.proxies".into(),
            mechanism: "here: kept connections (daemon, backend.rs); subsets would open fewer",
        },
        Line {
            key: "connect-probes",
            role: "backend",
            what: "connections opened at a backend by all proxies, where they probe".into(),
            unit: "a second",
            target: None,
            reckoning: report.slope("connect.probes.proxies")? * PROXIES,
            guess: false,
            crowded: false,
            of: "connect.probes.proxies".into(),
            mechanism: "missing: subsets",
        },
        Line {
            key: "rpc-probes",
            role: "proxy",
            what: "processor time of a proxy for its RPCs at the peak, where proxies probe".into(),
            unit: "% of a core",
            target: None,
            reckoning: at("rpc.probes.backends", BACKENDS)? * rate / 1e4,
            guess: false,
            crowded: false,
            of: "rpc.probes.backends at 235 RPCs a second".into(),
            mechanism: "missing: subsets",
        },
        Line {
            key: "connect-rpc",
            role: "proxy",
            what: "connections opened for an RPC at the planned rate".into(),
            unit: "an RPC",
            target: None,
            reckoning: at("connect.rate", rate)?,
            guess: false,
            crowded: false,
            of: "connect.rate at 235, before 8,700".into(),
            mechanism: "here: kept connections (daemon, backend.rs); subsets would open fewer",
        },
        Line {
            key: "rpc",
            role: "proxy",
            what: "processor time of a proxy for its RPCs at the peak".into(),
            unit: "% of a core",
            target: None,
            reckoning: at("rpc.backends", BACKENDS)? * rate / 1e4,
            guess: false,
            crowded: false,
            of: "rpc.backends at 235 RPCs a second".into(),
            mechanism: "here: one thread a proxy (daemon, main.rs)",
        },
        Line {
            key: "client",
            role: "client side",
            what: "RPCs to a proxy at the peak; a connection for each that is under way".into(),
            unit: "a second",
            target: None,
            reckoning: rate,
            guess: true,
            crowded: false,
            of: "200,000 over 850, evenly dealt".into(),
            mechanism: "not ours: the layer before the proxies deals clients out",
        },
        Line {
            key: "backend",
            role: "backend",
            what: "RPCs to a backend at the peak".into(),
            unit: "a second",
            target: None,
            reckoning: RPCS / BACKENDS,
            guess: true,
            crowded: false,
            of: "200,000 over 8,700, evenly dealt".into(),
            mechanism: "here: Join-Idle-Queue (src/policy/)",
        },
        Line {
            key: "staff",
            role: "staff's machine",
            what: "calls for an order at all proxies, one to each".into(),
            unit: "calls",
            target: None,
            reckoning: PROXIES,
            guess: true,
            crowded: false,
            of: "one call a proxy (daemon, management.rs); not measured".into(),
            mechanism: "here for one proxy (daemon, management.rs); missing: an order to all by one call",
        },
    ])
}

#[expect(clippy::too_many_lines)]
pub fn hours(report: &Report) -> Result<Vec<Hour>, SeriesError> {
    let at = |name, x| report.at(name, x);
    let hour = |when, what: &str, unit, reckoning, guess, of: &str| Hour {
        when,
        what: what.to_owned(),
        unit,
        reckoning,
        guess,
        of: of.to_owned(),
    };
    let change = at("change.backends", BACKENDS)?; // ms
    let start = start(report)?;
    let told = report.slope("list.bytes")?; // KB a change and proxy
    let line = report.slope("list.whole.bytes")?; // KB a line
    let whole = at("list.whole.bytes", BACKENDS)? / 1e3; // MB
    let deploy = deploy();
    let zone = BACKENDS / ZONES;
    let missed = changes() * 3_600.0;
    Ok(vec![
        hour(
            "an ordinary day",
            "list lines that change",
            "a second",
            changes(),
            true,
            "3 lines a restart are assumed",
        ),
        hour(
            "an ordinary day",
            "list service sends",
            "KB a second",
            told * PROXIES * changes(),
            false,
            "list.bytes",
        ),
        hour(
            "the busiest minute",
            "list lines that change as a tenth of the backends is replaced in it",
            "a second",
            deploy,
            true,
            "a tenth in a minute is assumed",
        ),
        hour(
            "the busiest minute",
            "a proxy's processor time for them",
            "% of a core",
            change * deploy.min(CALLS_MOST) / 10.0,
            false,
            "change.backends, at that rate",
        ),
        hour(
            "the busiest minute",
            "bytes to a proxy",
            "KB a second",
            told * deploy,
            false,
            "list.bytes, at that rate",
        ),
        hour(
            "all proxies restarted",
            "list service sends",
            "MB",
            whole * PROXIES,
            false,
            "list.whole.bytes at 8,700, 850 times",
        ),
        hour(
            "all proxies restarted",
            "processor time of each proxy to take the list",
            "ms",
            at("list.whole.processor", BACKENDS)?,
            false,
            "list.whole.processor",
        ),
        hour(
            "all proxies restarted",
            "processor time of each to ready",
            "s",
            at("start.backends", BACKENDS)?,
            false,
            "start.backends",
        ),
        hour(
            "a zone lost and back",
            "list service sends, each way",
            "MB",
            line * zone * PROXIES / 1e3,
            false,
            "list.whole.bytes by line, 870 lines, 850 times",
        ),
        hour(
            "a zone lost and back",
            "connections refused before the list tells it, each pair once",
            "a proxy",
            zone,
            true,
            "each proxy meets each backend of the zone once; not measured",
        ),
        hour(
            "regions apart for an hour",
            "lines that change meanwhile and are told at the end",
            "lines",
            missed,
            true,
            "an ordinary hour is assumed; not measured",
        ),
        hour(
            "regions apart for an hour",
            "list service sends at the end, where it knows the versions",
            "MB",
            line * missed * PROXIES / 1e3,
            true,
            "list.whole.bytes by line",
        ),
        hour(
            "control down for ten minutes",
            "calls that fail meanwhile",
            "a second",
            PROXIES / ASKS,
            true,
            "one a second of each proxy by its code",
        ),
        hour(
            "control down for ten minutes",
            "until the last is told again",
            "s",
            ASKS + at("list.in_force", PROXIES)?,
            true,
            "one call a second; list.in_force",
        ),
        hour(
            "a route changed everywhere",
            "by a restart of all at once, each with a core of its own",
            "s",
            start,
            false,
            "start.backends, start.tenants, start.methods; its RPCs of that time are lost",
        ),
        match report.at("settings.reload", 1.0) {
            Ok(time) => hour(
                "a route changed everywhere",
                "by SIGHUP to all at once",
                "s",
                time,
                false,
                "settings.reload at 1",
            ),
            Err(_) => hour(
                "a route changed everywhere",
                "by SIGHUP to all at once: never came into force in this run",
                "s",
                f64::INFINITY,
                false,
                "settings.reload",
            ),
        },
    ])
}
