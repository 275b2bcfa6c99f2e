//! The scenario's file: TOML, every key known or refused, every time with its unit. What is wrong is told with file,
//! line and key.
use crate::duration::ScenarioDuration;
use birchhub_audit::head::ServiceTargets;
use birchhub_audit::{DeduplicationScope, Idempotency};
use birchhub_backend_model::work::Spread;
use serde::Deserialize;
use std::collections::HashSet;
use std::fmt;

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ScenarioError {
    pub file: String,
    /// From 1; 0 where no line is to blame.
    pub line: usize,
    /// Such as `trouble[1].nodes.zone`.
    pub key: String,
    pub what: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(to, "{}: ", self.file)?,
            line => write!(to, "{}:{line}: ", self.file)?,
        }
        match self.key.as_str() {
            "" | "." => write!(to, "{}", self.what),
            key => write!(to, "{key}: {}", self.what),
        }
    }
}

/// A deployment, its traffic, its troubles, and what is expected of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    pub name: String,
    /// One or two sentences: what is rehearsed and what a good proxy does.
    pub about: String,
    /// Time over which RPCs come.
    pub length: ScenarioDuration,
    #[serde(default)]
    pub rules: Rules,
    pub fleet: Fleet,
    #[serde(default)]
    pub list: List,
    pub method: Vec<Method>,
    #[serde(default)]
    pub tenant: Vec<Tenant>,
    pub proxies: Proxies,
    pub traffic: Traffic,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub trouble: Vec<Fault>,
    #[serde(default)]
    pub expect: ServiceTargets,
}

/// Figures of the rules; proxies are told them, and the audit judges by them.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Rules {
    pub drain_grace: ScenarioDuration,
    pub cold_from: f64,
    pub cold_for: ScenarioDuration,
    pub fall_multiple: f64,
    pub fall_window: ScenarioDuration,
    pub most_picks: usize,
    pub second_copies: bool,
    pub cancel: bool,
    pub probes: bool,
    /// Longest wait that a push-back may ask for; 0 for none.
    pub retry_after: ScenarioDuration,
    pub ask_within: ScenarioDuration,
    /// Time limits are judged so much longer, for the way over sockets.
    pub slack: ScenarioDuration,
    /// Lateness of the kit itself (99th percentile) from which a verdict is void.
    pub kit_late: ScenarioDuration,
    pub over_quota_utility: f64,
    /// What proxies are told that a probe and a pick into another zone cost.
    pub probe_price: f64,
    pub cross_price: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace: ScenarioDuration(0.3),
            cold_from: 0.3,
            cold_for: ScenarioDuration(8.0),
            fall_multiple: 3.0,
            fall_window: ScenarioDuration(1.0),
            most_picks: 3,
            second_copies: false,
            cancel: true,
            probes: true,
            retry_after: ScenarioDuration(0.0),
            ask_within: ScenarioDuration(10.0),
            slack: ScenarioDuration(0.05),
            kit_late: ScenarioDuration(0.01),
            over_quota_utility: 0.05,
            probe_price: 0.002,
            cross_price: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    #[default]
    Answers,
    Probes,
    None,
}

/// The nodes. `count` of each machine is spread over the zones, and within a zone over its racks, in turn.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    pub zones: Vec<String>,
    #[serde(default = "one")]
    pub racks: usize,
    pub machine: Vec<Machine>,
    #[serde(default)]
    pub reports: Reports,
    #[serde(default = "report_every")]
    pub report_every: ScenarioDuration,
    /// Running work stops when its RPC is cancelled.
    #[serde(default = "yes")]
    pub cancel_stops: bool,
    #[serde(default = "idle_limit")]
    pub idle_limit: ScenarioDuration,
    #[serde(default)]
    pub probe_work: ScenarioDuration,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Machine {
    pub name: String,
    pub count: usize,
    #[serde(default = "one")]
    pub cores: usize,
    #[serde(default = "unit")]
    pub speed: f64,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default = "connections")]
    pub connections: usize,
    /// Work that a new connection brings with it.
    #[serde(default)]
    pub connection_work: ScenarioDuration,
}

/// How soon the list service knows, and how many calls it bears.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct List {
    /// Of what is planned: drains, starts.
    pub lag: ScenarioDuration,
    /// Of a death.
    pub notices: ScenarioDuration,
    /// Calls that it works on at a time; it refuses more. Without it there is no limit. A watch that waits for
    /// something new is none of them.
    pub calls: Option<usize>,
    /// That it works on a call, and longer by so much for each line that it tells.
    pub call_takes: ScenarioDuration,
    pub line_takes: ScenarioDuration,
    /// Proxies start with the list of that moment; else they know nothing, and are ready once they were told.
    pub known: bool,
}

impl Default for List {
    fn default() -> Self {
        let (call_takes, line_takes) = (ScenarioDuration(0.001), ScenarioDuration(0.0));
        Self {
            lag: ScenarioDuration(0.1),
            notices: ScenarioDuration(2.0),
            calls: None,
            call_takes,
            line_takes,
            known: true,
        }
    }
}

impl List {
    /// How long it works on a call that tells so many lines, s.
    pub fn takes(&self, lines: usize) -> f64 {
        self.call_takes.0 + self.line_takes.0 * lines as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MethodKind {
    Idempotent,
    NonIdempotent,
    Deduplicated,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Method {
    pub name: String,
    pub kind: MethodKind,
    /// Which nodes drop each other's repeats, and for how long: of a deduplicated method.
    pub group: Option<DeduplicationScope>,
    pub window: Option<ScenarioDuration>,
    /// Mean work on a standard core.
    pub work: ScenarioDuration,
    #[serde(default)]
    pub spread: Spread,
    pub target: ScenarioDuration,
    pub deadline: ScenarioDuration,
    #[serde(default = "unit")]
    pub utility: f64,
    #[serde(default)]
    pub late_utility: f64,
    /// Its part of the traffic, against the others'.
    #[serde(default = "unit")]
    pub share: f64,
    /// Bytes of a body, where it has one.
    #[serde(default = "body")]
    pub body: usize,
}

impl Method {
    pub fn idempotency(&self) -> Idempotency {
        match (self.kind, self.group, self.window) {
            (MethodKind::Deduplicated, Some(group), Some(window)) => Idempotency::Deduplicated {
                group,
                window: window.0,
            },
            (MethodKind::NonIdempotent, ..) => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    pub name: String,
    /// Its part of the traffic, against the others'.
    #[serde(default = "unit")]
    pub share: f64,
    /// RPCs a second that it has a right to.
    pub quota: f64,
}

/// The proxies, dealt out over the zones in turn.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Proxies {
    pub count: usize,
    #[serde(default = "sockets")]
    pub sockets: usize,
    #[serde(default = "memory")]
    pub memory_mb: usize,
    /// The layer before them goes on sending to a dead one for so long.
    #[serde(default = "front_notices")]
    pub front_notices: ScenarioDuration,
}

/// RPCs come at random (Poisson) at this rate, times what the phases make of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Traffic {
    /// RPCs a second.
    pub rate: f64,
    #[serde(default)]
    pub phase: Vec<Phase>,
}

/// From `at`, for `for`, the rate is multiplied: by `times` throughout, or rising from 1 to it (`ramp`).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Phase {
    pub at: ScenarioDuration,
    #[serde(rename = "for")]
    pub length: ScenarioDuration,
    pub times: f64,
    #[serde(default)]
    pub ramp: bool,
}

/// What clients do when they are not served.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Clients {
    pub retries: u8,
    /// Before a retry; doubled each time if `backoff`.
    pub wait: ScenarioDuration,
    pub backoff: bool,
    /// They wait as long as a push-back asks, if that is longer.
    pub obey_retry_after: bool,
    pub marks_retries: bool,
    /// A try waits for this part of the deadline at most.
    pub try_patience: f64,
    /// Part of the tries that hang up early.
    pub leave: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 2,
            wait: ScenarioDuration(0.02),
            backoff: true,
            obey_retry_after: true,
            marks_retries: true,
            try_patience: 1.0,
            leave: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes stand still: all the time, or for `pause` every `every`.
    Stall,
    /// A neighbour takes `takes` of the machine.
    Neighbour,
    /// A method's work grows by `factor`, on all nodes.
    SlowMethod,
    /// Nodes die at once and are back, cold, at the end.
    Crash,
    /// Nodes are replaced, `batch` every `every`.
    Deploy,
    /// The list service tells everything `by` later.
    ListLate,
    ListDown,
    /// Proxies get the list of the moment at which it began.
    ListStale,
    /// Proxies are killed, `every` apart, and each is started again after `back-after`.
    ProxyKill,
    /// The same with SIGTERM first.
    ProxyRestart,
    /// Proxies stand still for `pause` every `every`.
    ProxyPause,
    /// `share` of the RPCs: run, then reset.
    Reset,
    /// `share` of the RPCs: run, then half an answer, or no HTTP.
    Spoilt,
    /// `share` of the RPCs: taken and never answered.
    Mute,
    /// `share` of the RPCs: an error at once.
    Error,
    /// `share` of the RPCs: answered byte by byte, `over` so long.
    Trickle,
    /// Nodes and proxies don't hear each other.
    Partition,
}

/// What befalls whom, when. Which of the keys belong to a kind is checked.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    pub name: String,
    pub kind: FaultKind,
    pub at: ScenarioDuration,
    #[serde(rename = "for")]
    pub length: Option<ScenarioDuration>,
    pub nodes: Option<Selector>,
    pub proxies: Option<ProxySelector>,
    pub method: Option<String>,
    pub pause: Option<ScenarioDuration>,
    pub every: Option<ScenarioDuration>,
    pub takes: Option<f64>,
    pub factor: Option<f64>,
    pub batch: Option<usize>,
    /// Deploy: from the word of the drain until the node turns new work away, and until it ends at the latest.
    pub lead: Option<ScenarioDuration>,
    pub stop_after: Option<ScenarioDuration>,
    pub back_after: Option<ScenarioDuration>,
    pub by: Option<ScenarioDuration>,
    pub share: Option<f64>,
    pub over: Option<ScenarioDuration>,
}

/// Which nodes: all that fit, and of them `count` or `share` by chance.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Selector {
    pub zone: Option<String>,
    pub rack: Option<u32>,
    pub machine: Option<String>,
    pub named: Option<Vec<String>>,
    /// Only nodes of this trouble, or none of them.
    pub among: Option<String>,
    pub without: Option<String>,
    pub count: Option<usize>,
    pub share: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ProxySelector {
    pub zone: Option<String>,
    pub named: Option<Vec<String>>,
    pub count: Option<usize>,
    pub share: Option<f64>,
}

fn one() -> usize {
    1
}
fn unit() -> f64 {
    1.0
}
fn yes() -> bool {
    true
}
fn queue() -> usize {
    32
}
fn connections() -> usize {
    512
}
fn body() -> usize {
    128
}
fn sockets() -> usize {
    1024
}
fn memory() -> usize {
    192
}
fn report_every() -> ScenarioDuration {
    ScenarioDuration(0.005)
}
fn idle_limit() -> ScenarioDuration {
    ScenarioDuration(15.0)
}
fn front_notices() -> ScenarioDuration {
    ScenarioDuration(1.0)
}

impl Scenario {
    /// Reads and checks a scenario; `file` names it in faults.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let line_of = |place: usize| text[..place.min(text.len())].matches('\n').count() + 1;
        let fault = |line, key: String, what: String| ScenarioError {
            file: file.to_owned(),
            line,
            key,
            what,
        };
        let of_toml = |key: String, e: &toml::de::Error| {
            let line = e.span().map_or(0, |span| line_of(span.start));
            fault(line, key, e.message().to_owned())
        };
        let parsed = toml::Deserializer::parse(text).map_err(|e| of_toml(String::new(), &e))?;
        let scenario: Self = serde_path_to_error::deserialize(parsed)
            .map_err(|e| of_toml(e.path().to_string(), e.inner()))?;
        scenario
            .check()
            .map_err(|(key, what)| fault(line_of_key(text, &key).unwrap_or(0), key, what))?;
        Ok(scenario)
    }

    /// What no type can say. The key of the first fault, and what it is.
    #[expect(clippy::too_many_lines)]
    fn check(&self) -> Result<(), (String, String)> {
        let wrong = |key: &str, what: String| Err((key.to_owned(), what));
        let positive = |key: &str, value: f64| match value {
            value if value > 0.0 && value.is_finite() => Ok(()),
            _ => Err((key.to_owned(), "must be above 0".to_owned())),
        };
        let part = |key: &str, value: f64| match value {
            value if (0.0..=1.0).contains(&value) => Ok(()),
            _ => Err((key.to_owned(), "must be from 0 to 1".to_owned())),
        };
        let unique = |kind: &str, names: Vec<&String>| {
            let mut seen = HashSet::new();
            match names.iter().position(|name| !seen.insert(*name)) {
                Some(n) => Err((
                    format!("{kind}[{n}].name"),
                    format!("\"{}\" is there twice", names[n]),
                )),
                None => Ok(()),
            }
        };
        positive("length", self.length.0)?;
        positive("traffic.rate", self.traffic.rate)?;
        positive("proxies.count", self.proxies.count as f64)?;
        positive("fleet.racks", self.fleet.racks as f64)?;
        positive("rules.fall-window", self.rules.fall_window.0)?;
        positive("rules.fall-multiple", self.rules.fall_multiple)?;
        positive("rules.most-picks", self.rules.most_picks as f64)?;
        positive("rules.cold-from", self.rules.cold_from)?;
        part("rules.cold-from", self.rules.cold_from)?;
        part("clients.leave", self.clients.leave)?;
        part("clients.try-patience", self.clients.try_patience)?;
        positive("clients.try-patience", self.clients.try_patience)?;
        if self.fleet.zones.is_empty() {
            return wrong("fleet.zones", "names no zone".into());
        }
        if self.fleet.machine.is_empty() {
            return wrong("fleet.machine", "names no machine".into());
        }
        if self.proxies.count > 200 {
            return wrong(
                "proxies.count",
                "at most 200 fit on one machine's loopback addresses".into(),
            );
        }
        if self.method.is_empty() || self.method.len() > 200 || self.tenant.len() > 200 {
            return wrong(
                "method",
                "from 1 to 200 methods, and at most 200 tenants".into(),
            );
        }
        for (n, machine) in self.fleet.machine.iter().enumerate() {
            positive(&format!("fleet.machine[{n}].cores"), machine.cores as f64)?;
            positive(&format!("fleet.machine[{n}].speed"), machine.speed)?;
        }
        if self.list.calls == Some(0) {
            return wrong("list.calls", "must be 1 or more".into());
        }
        unique("method", self.method.iter().map(|m| &m.name).collect())?;
        unique("tenant", self.tenant.iter().map(|t| &t.name).collect())?;
        unique("trouble", self.trouble.iter().map(|t| &t.name).collect())?;
        for (n, method) in self.method.iter().enumerate() {
            let key = |name: &str| format!("method[{n}].{name}");
            let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
            if method.name.is_empty() || !method.name.chars().all(fits) {
                return wrong(
                    &key("name"),
                    "takes letters, digits, - and _: it is the first part of a path".into(),
                );
            }
            positive(&key("work"), method.work.0)?;
            positive(&key("target"), method.target.0)?;
            positive(&key("share"), method.share)?;
            if method.deadline < method.target {
                return wrong(&key("deadline"), "is before the latency target".into());
            }
            let deduplicated = method.kind == MethodKind::Deduplicated;
            if deduplicated != method.group.is_some() || deduplicated != method.window.is_some() {
                return wrong(
                    &key("kind"),
                    "group and window belong to a deduplicated method, and it needs both".into(),
                );
            }
        }
        for (n, phase) in self.traffic.phase.iter().enumerate() {
            if !(phase.times >= 0.0 && phase.times.is_finite()) {
                return wrong(
                    &format!("traffic.phase[{n}].times"),
                    "must be 0 or more".into(),
                );
            }
        }
        for (n, trouble) in self.trouble.iter().enumerate() {
            self.check_trouble(n, trouble)?;
        }
        let bars = [
            ("service", self.expect.service),
            ("worst-10s", self.expect.worst_10s),
            ("worst-method", self.expect.worst_method),
            ("worst-tenant", self.expect.worst_tenant),
        ];
        bars.iter().try_for_each(|(name, bar)| {
            bar.map_or(Ok(()), |bar| part(&format!("expect.{name}"), bar))
        })
    }

    #[expect(clippy::too_many_lines)]
    fn check_trouble(&self, n: usize, trouble: &Fault) -> Result<(), (String, String)> {
        use FaultKind::*;
        let key = |name: &str| format!("trouble[{n}].{name}");
        let kind = trouble.kind;
        // Each key, whether it is there, the kinds that need it, and those that may have it.
        let keys: [(&str, bool, &[FaultKind], &[FaultKind]); 13] = [
            (
                "nodes",
                trouble.nodes.is_some(),
                &[
                    Stall, Neighbour, Crash, Deploy, Reset, Spoilt, Mute, Error, Trickle, Partition,
                ],
                &[],
            ),
            (
                "proxies",
                trouble.proxies.is_some(),
                &[ProxyKill, ProxyRestart, ProxyPause],
                &[ListStale, Partition],
            ),
            (
                "for",
                trouble.length.is_some(),
                &[
                    Stall, Neighbour, SlowMethod, Crash, ListLate, ListDown, ListStale, ProxyPause,
                    Reset, Spoilt, Mute, Error, Trickle, Partition,
                ],
                &[],
            ),
            ("method", trouble.method.is_some(), &[SlowMethod], &[]),
            ("pause", trouble.pause.is_some(), &[ProxyPause], &[Stall]),
            (
                "every",
                trouble.every.is_some(),
                &[Deploy, ProxyPause],
                &[Stall, ProxyKill, ProxyRestart],
            ),
            ("takes", trouble.takes.is_some(), &[Neighbour], &[]),
            ("factor", trouble.factor.is_some(), &[SlowMethod], &[]),
            ("batch", trouble.batch.is_some(), &[Deploy], &[]),
            ("by", trouble.by.is_some(), &[ListLate], &[]),
            (
                "share",
                trouble.share.is_some(),
                &[Reset, Spoilt, Mute, Error, Trickle],
                &[],
            ),
            ("over", trouble.over.is_some(), &[Trickle], &[]),
            (
                "back-after",
                trouble.back_after.is_some(),
                &[],
                &[ProxyKill, ProxyRestart, Deploy],
            ),
        ];
        for (name, there, needed, allowed) in keys {
            let needs = needed.contains(&kind);
            if needs && !there {
                return Err((key("kind"), format!("this kind needs the key `{name}`")));
            }
            if there && !needs && !allowed.contains(&kind) {
                return Err((key(name), "does not belong to this kind of trouble".into()));
            }
        }
        if (trouble.lead.is_some() || trouble.stop_after.is_some()) && kind != Deploy {
            return Err((key("kind"), "lead and stop-after belong to a deploy".into()));
        }
        if kind == Stall && trouble.pause.is_some() != trouble.every.is_some() {
            return Err((key("pause"), "pause and every go together".into()));
        }
        for (name, value) in [("takes", trouble.takes), ("share", trouble.share)] {
            if value.is_some_and(|value| !(0.0..=1.0).contains(&value)) {
                return Err((key(name), "must be from 0 to 1".into()));
            }
        }
        if trouble.takes == Some(1.0) {
            return Err((
                key("takes"),
                "a neighbour leaves something; use a stall".into(),
            ));
        }
        if trouble
            .factor
            .is_some_and(|factor| !(factor > 0.0 && factor.is_finite()))
            || trouble.batch == Some(0)
        {
            return Err((key("kind"), "factor and batch must be above 0".into()));
        }
        if trouble.every.is_some_and(|every| every.0 <= 0.0) {
            return Err((key("every"), "must be above 0".into()));
        }
        if trouble
            .method
            .as_ref()
            .is_some_and(|name| self.method.iter().all(|m| m.name != *name))
        {
            return Err((key("method"), "names no method of this scenario".into()));
        }
        Ok(())
    }
}

/// The line on which a key such as `trouble[1].nodes.zone` stands, or the nearest table above it.
pub(crate) fn line_of_key(text: &str, key: &str) -> Option<usize> {
    use toml::de::{DeTable, DeValue};
    let root = DeTable::parse(text).ok()?;
    let mut table: &DeTable = root.get_ref();
    let mut place = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some((at, mut value)) = table.iter().find(|(key, _)| key.get_ref().as_ref() == name)
        else {
            break;
        };
        place = Some(at.span().start);
        if let (Some(index), DeValue::Array(items)) = (index, value.get_ref()) {
            let Some(item) = items.get(index) else { break };
            place = Some(item.span().start);
            value = item;
        }
        match value.get_ref() {
            DeValue::Table(next) => table = next,
            _ => break,
        }
    }
    place.map(|place| text[..place].matches('\n').count() + 1)
}
