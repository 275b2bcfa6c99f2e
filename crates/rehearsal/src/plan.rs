//! What will happen, drawn from scenario and seed: every arrival, every act of every trouble. The same scenario and
//! seed give the same plan to the byte; each purpose draws from a stream of its own, so that a further trouble
//! does not change the traffic.
use crate::scenario::{Fault, FaultKind, InvalidValue, Scenario, ScenarioError};
use crate::select;
use birchhub_audit::head;
use birchhub_backend_model::{Work, work::generator};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::HashMap;

// Streams of chance, one for each purpose; troubles take a hash of their name.
const TIMES: u64 = 1;
const KINDS: u64 = 2;
const ZONES: u64 = 3;
const LEAVES: u64 = 4;

const LEAD: f64 = 1.0; // s from the word of a drain until the node turns new work away
const STOP_AFTER: f64 = 5.0; // s from the word of a drain until the node ends, whatever it holds
const SUCCESSOR_AFTER: f64 = 0.5; // s from a node's end until its successor starts
const PROXY_BACK: f64 = 0.3; // s until a proxy is started again
const QUOTA_BURST: f64 = 1.0; // s of its quota that a tenant may use at once

/// One RPC that a client will want.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Arrival {
    pub due: f64,
    pub method: u8,
    pub tenant: u8,
    /// The zone whose proxies it comes to, and the chance by which it is dealt out among them.
    pub zone: u32,
    pub deal: u64,
    /// Within its tenant's quota.
    pub within_quota: bool,
    /// The client hangs up after this part of its patience.
    pub leaves: Option<f64>,
    /// Work, s of a standard core.
    pub work: f64,
}

/// A node that is there from the start, or a successor that a deploy brings.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedNode {
    pub name: String,
    pub zone: u32,
    pub rack: u32,
    /// Which of the scenario's machines.
    pub machine: usize,
    pub successor: bool,
}

/// A change that the schedule makes to the deployment.
///
/// `number` identifies one stall or one injected fault of a backend, so that the action that ends it names the same one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Action {
    /// Marks the beginning of a fault in the ledger; `fault` is its index in the scenario.
    BeginFault { fault: u16 },
    /// Marks the end of a fault in the ledger.
    EndFault { fault: u16 },
    /// Begins or ends a stall of a backend.
    Stall { node: u32, number: u64, on: bool },
    /// Multiplies the speed of a backend's machine.
    ScaleSpeed { node: u32, factor: f64 },
    /// Multiplies the work of a method on all backends.
    SlowMethod { method: usize, factor: f64 },
    /// Kills a backend's process.
    Crash { node: u32 },
    /// Starts a crashed backend again, with a cold cache.
    Restart { node: u32 },
    /// Announces in the endpoint list that a backend is draining.
    AnnounceDrain { node: u32 },
    /// Makes a draining backend reject new work.
    Drain { node: u32 },
    /// Ends a backend when it is idle, at the latest at `by` (s), and starts `successor` `after` seconds later.
    Retire {
        node: u32,
        by: f64,
        successor: u32,
        after: f64,
    },
    /// Begins or ends a fault at a backend's sockets.
    InjectFault {
        node: u32,
        number: u64,
        fault: BackendFault,
        on: bool,
    },
    /// Adds to the delay of all updates of the discovery service, s; negative to take it back.
    DelayDiscovery { by: f64 },
    /// Makes the discovery service unavailable, or available again.
    SetDiscoveryDown { down: bool },
    /// Freezes the endpoint list that a proxy receives, or releases it.
    SetDiscoveryStale { proxy: u16, stale: bool },
    /// Sends SIGKILL to a proxy.
    KillProxy { proxy: u16 },
    /// Sends SIGTERM to a proxy.
    TerminateProxy { proxy: u16 },
    /// Starts a proxy that was killed or terminated.
    StartProxy { proxy: u16 },
    /// Pauses a proxy with SIGSTOP, or resumes it.
    PauseProxy { proxy: u16, on: bool },
    /// Makes a proxy reload its configuration.
    ReloadProxy { proxy: u16 },
}

impl Action {
    /// Returns whether the action concerns a proxy's process rather than backends or discovery.
    pub fn is_of_proxies(&self) -> bool {
        matches!(
            self,
            Self::KillProxy { .. }
                | Self::TerminateProxy { .. }
                | Self::StartProxy { .. }
                | Self::PauseProxy { .. }
                | Self::ReloadProxy { .. }
        )
    }
}

/// A fault injected at the sockets of a backend; `share` is the fraction of attempts that it affects.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum BackendFault {
    /// Executes the request, then resets the connection.
    ConnectionReset { share: f64 },
    /// Executes the request, then sends half of the response.
    TruncatedResponse { share: f64 },
    /// Executes the request, then sends bytes that are not HTTP.
    MalformedResponse { share: f64 },
    /// Reads the request and never responds.
    NoResponse { share: f64 },
    /// Responds with an error without executing the request.
    ErrorResponse { share: f64 },
    /// Sends the response byte by byte, over `extra_seconds`.
    SlowResponse { share: f64, extra_seconds: f64 },
    /// Drops all traffic between the backend and one proxy, or all proxies.
    Partition { proxy: Option<u16> },
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub seed: u64,
    pub length: f64,
    pub nodes: Vec<PlannedNode>,
    pub arrivals: Vec<Arrival>,
    /// In the order of time.
    pub actions: Vec<(f64, Action)>,
    #[serde(skip)]
    pub faults: Vec<head::Fault>,
}

pub fn proxy_name(proxy: u16) -> String {
    format!("proxy-{proxy}")
}

/// FNV-1a of a name: a stream of its own for each.
fn stream(name: &str) -> u64 {
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, fold)
}

/// One of them by its weight.
fn weighted(weights: &[f64], at: f64) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = at * total;
    let fits = |weight: &f64| {
        left -= weight;
        left < 0.0
    };
    weights.iter().position(fits).unwrap_or(weights.len() - 1)
}

impl Plan {
    /// Draws the plan. `file` and `text` are for faults that only show here: selectors that choose nothing.
    pub fn generate(
        scenario: &Scenario,
        seed: u64,
        file: &str,
        text: &str,
    ) -> Result<Self, ScenarioError> {
        let mut plan = Self {
            seed,
            length: scenario.duration.0,
            nodes: nodes(scenario),
            arrivals: arrivals(scenario, seed),
            actions: Vec::new(),
            faults: Vec::new(),
        };
        let mut chosen = HashMap::new();
        for (n, trouble) in scenario.faults.iter().enumerate() {
            plan.add(scenario, n as u16, trouble, &mut chosen)
                .map_err(|invalid| invalid.in_fault(n).located(file, text))?;
        }
        plan.actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        Ok(plan)
    }

    /// The first bytes of a hash over all of it.
    pub fn hash(&self) -> String {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        Sha256::digest(&bytes)
            .iter()
            .take(8)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Nodes that are there from the start.
    pub fn first_nodes(&self) -> usize {
        self.nodes.iter().filter(|node| !node.successor).count()
    }

    #[expect(clippy::too_many_lines)]
    fn add<'s>(
        &mut self,
        scenario: &'s Scenario,
        number: u16,
        trouble: &'s Fault,
        chosen: &mut HashMap<&'s str, Vec<u32>>,
    ) -> Result<(), InvalidValue> {
        let mut chance = generator(self.seed, stream(&trouble.name));
        let first = &self.nodes[..self.first_nodes()];
        let nodes = match &trouble.backends {
            Some(selector) => select::backends(selector, scenario, first, chosen, &mut chance)?,
            None => Vec::new(),
        };
        let proxies = match &trouble.proxies {
            Some(selector) => select::proxies(selector, scenario, &mut chance)?,
            None => (0..scenario.proxies.count as u16).collect(),
        };
        let (at, length) = (trouble.start.0, trouble.duration.map_or(0.0, |l| l.0));
        let mut until = at + length;
        let mut acts: Vec<(f64, Action)> = Vec::new();
        // Numbers for what is ended one by one: the trouble's above, a counter below.
        let mut next = u64::from(number) << 32;
        let mut serial = || {
            next += 1;
            next
        };
        let share = trouble.share.unwrap_or(1.0);
        match trouble.kind {
            FaultKind::Stall => {
                let (pause, every) = match (trouble.pause, trouble.interval) {
                    (Some(pause), Some(every)) => (pause.0, every.0),
                    _ => (length, length.max(1.0)),
                };
                for node in &nodes {
                    // Pauses of different nodes don't fall together.
                    let mut from = at
                        + if pause < length {
                            chance.random::<f64>() * every
                        } else {
                            0.0
                        };
                    while from < until {
                        let number = serial();
                        acts.push((
                            from,
                            Action::Stall {
                                node: *node,
                                number,
                                on: true,
                            },
                        ));
                        acts.push((
                            (from + pause).min(until),
                            Action::Stall {
                                node: *node,
                                number,
                                on: false,
                            },
                        ));
                        from += every;
                    }
                }
            }
            FaultKind::Neighbour => {
                let left = 1.0 - trouble.capacity_taken.unwrap_or(0.5);
                for node in &nodes {
                    acts.push((
                        at,
                        Action::ScaleSpeed {
                            node: *node,
                            factor: left,
                        },
                    ));
                    acts.push((
                        until,
                        Action::ScaleSpeed {
                            node: *node,
                            factor: 1.0 / left,
                        },
                    ));
                }
            }
            FaultKind::SlowMethod => {
                let method = scenario
                    .methods
                    .iter()
                    .position(|m| Some(&m.name) == trouble.method.as_ref());
                let (method, factor) = (method.unwrap_or(0), trouble.factor.unwrap_or(1.0));
                acts.push((at, Action::SlowMethod { method, factor }));
                acts.push((
                    until,
                    Action::SlowMethod {
                        method,
                        factor: 1.0 / factor,
                    },
                ));
            }
            FaultKind::Crash => {
                for node in &nodes {
                    acts.push((at, Action::Crash { node: *node }));
                    acts.push((until, Action::Restart { node: *node }));
                }
            }
            FaultKind::Deploy => {
                let every = trouble.interval.map_or(1.0, |e| e.0);
                let lead = trouble.drain_notice.map_or(LEAD, |l| l.0);
                let stop = trouble.drain_timeout.map_or(STOP_AFTER, |s| s.0).max(lead);
                let after = trouble.restart_delay.map_or(SUCCESSOR_AFTER, |a| a.0);
                for (n, batch) in nodes.chunks(trouble.batch_size.unwrap_or(1)).enumerate() {
                    let from = at + n as f64 * every;
                    until = from + stop + after;
                    for node in batch {
                        let mut planned = self.nodes[*node as usize].clone();
                        planned.name.push_str(".new");
                        planned.successor = true;
                        let successor = self.nodes.len() as u32;
                        self.nodes.push(planned);
                        let (node, by) = (*node, from + stop);
                        acts.push((from, Action::AnnounceDrain { node }));
                        acts.push((from + lead, Action::Drain { node }));
                        acts.push((
                            from + lead,
                            Action::Retire {
                                node,
                                by,
                                successor,
                                after,
                            },
                        ));
                    }
                }
            }
            FaultKind::ListLate => {
                let by = trouble.delay.map_or(1.0, |by| by.0);
                acts.push((at, Action::DelayDiscovery { by }));
                acts.push((until, Action::DelayDiscovery { by: -by }));
            }
            FaultKind::ListDown => {
                acts.push((at, Action::SetDiscoveryDown { down: true }));
                acts.push((until, Action::SetDiscoveryDown { down: false }));
            }
            FaultKind::ListStale => {
                for proxy in &proxies {
                    acts.push((
                        at,
                        Action::SetDiscoveryStale {
                            proxy: *proxy,
                            stale: true,
                        },
                    ));
                    acts.push((
                        until,
                        Action::SetDiscoveryStale {
                            proxy: *proxy,
                            stale: false,
                        },
                    ));
                }
            }
            FaultKind::ProxyKill | FaultKind::ProxyRestart => {
                let every = trouble.interval.map_or(0.0, |e| e.0);
                let back = trouble.restart_delay.map_or(PROXY_BACK, |b| b.0);
                for (n, proxy) in proxies.iter().enumerate() {
                    let (proxy, from) = (*proxy, at + n as f64 * every);
                    until = from + back;
                    acts.push((
                        from,
                        match trouble.kind {
                            FaultKind::ProxyKill => Action::KillProxy { proxy },
                            _ => Action::TerminateProxy { proxy },
                        },
                    ));
                    acts.push((until, Action::StartProxy { proxy }));
                }
            }
            FaultKind::ProxyPause => {
                let (pause, every) = (
                    trouble.pause.map_or(0.1, |p| p.0),
                    trouble.interval.map_or(1.0, |e| e.0),
                );
                for proxy in &proxies {
                    let mut from = at + chance.random::<f64>() * every;
                    while from < until {
                        acts.push((
                            from,
                            Action::PauseProxy {
                                proxy: *proxy,
                                on: true,
                            },
                        ));
                        acts.push((
                            from + pause,
                            Action::PauseProxy {
                                proxy: *proxy,
                                on: false,
                            },
                        ));
                        from += every.max(pause);
                    }
                }
            }
            FaultKind::Spoilt => {
                // Half of them are cut short; of the others, as many are no HTTP at all.
                let tricks = [
                    BackendFault::TruncatedResponse { share: share / 2.0 },
                    BackendFault::MalformedResponse {
                        share: (share / 2.0) / (1.0 - share / 2.0),
                    },
                ];
                tricks
                    .into_iter()
                    .for_each(|trick| faulty(&mut acts, &nodes, trick, at, until, &mut serial));
            }
            FaultKind::Reset => faulty(
                &mut acts,
                &nodes,
                BackendFault::ConnectionReset { share },
                at,
                until,
                &mut serial,
            ),
            FaultKind::Mute => faulty(
                &mut acts,
                &nodes,
                BackendFault::NoResponse { share },
                at,
                until,
                &mut serial,
            ),
            FaultKind::Error => faulty(
                &mut acts,
                &nodes,
                BackendFault::ErrorResponse { share },
                at,
                until,
                &mut serial,
            ),
            FaultKind::Trickle => {
                let trick = BackendFault::SlowResponse {
                    share,
                    extra_seconds: trouble.response_duration.map_or(1.0, |over| over.0),
                };
                faulty(&mut acts, &nodes, trick, at, until, &mut serial);
            }
            FaultKind::Partition => {
                let from: Vec<_> = match trouble.proxies {
                    None => vec![None],
                    Some(_) => proxies.iter().copied().map(Some).collect(),
                };
                for proxy in from {
                    faulty(
                        &mut acts,
                        &nodes,
                        BackendFault::Partition { proxy },
                        at,
                        until,
                        &mut serial,
                    );
                }
            }
        }
        acts.push((at, Action::BeginFault { fault: number }));
        acts.push((until, Action::EndFault { fault: number }));
        self.actions.extend(acts);
        let touched = if trouble.proxies.is_some() {
            proxies
        } else {
            Vec::new()
        };
        self.faults.push(head::Fault {
            name: trouble.name.clone(),
            kind: format!("{:?}", trouble.kind),
            from: at,
            until,
            backends: nodes.clone(),
            proxies: touched,
        });
        chosen.insert(&trouble.name, nodes);
        Ok(())
    }
}

fn faulty(
    acts: &mut Vec<(f64, Action)>,
    nodes: &[u32],
    trick: BackendFault,
    at: f64,
    until: f64,
    serial: &mut impl FnMut() -> u64,
) {
    for node in nodes {
        let (node, number) = (*node, serial());
        acts.push((
            at,
            Action::InjectFault {
                node,
                number,
                fault: trick.clone(),
                on: true,
            },
        ));
        acts.push((
            until,
            Action::InjectFault {
                node,
                number,
                fault: trick.clone(),
                on: false,
            },
        ));
    }
}

fn nodes(scenario: &Scenario) -> Vec<PlannedNode> {
    let (zones, racks) = (scenario.fleet.zones.len(), scenario.fleet.racks_per_zone);
    let mut in_zone = vec![0; zones];
    let machines = scenario.fleet.machines.iter().enumerate();
    let each = machines.flat_map(|(machine, m)| std::iter::repeat_n(machine, m.count));
    let node = |(n, machine): (usize, usize)| {
        let zone = n % zones;
        let place = in_zone[zone];
        in_zone[zone] += 1;
        let rack = place % racks;
        let name = format!("{}-{rack}-{}", scenario.fleet.zones[zone], place / racks);
        PlannedNode {
            name,
            zone: zone as u32,
            rack: rack as u32,
            machine,
            successor: false,
        }
    };
    each.enumerate().map(node).collect()
}

/// How often the usual traffic comes at a time.
fn times(scenario: &Scenario, at: f64) -> f64 {
    let phases = scenario
        .traffic
        .phases
        .iter()
        .filter(|p| at >= p.start.0 && at < p.start.0 + p.duration.0);
    let factor = |p: &crate::scenario::Phase| match p.ramp {
        true => 1.0 + (p.rate_factor - 1.0) * (at - p.start.0) / p.duration.0,
        false => p.rate_factor,
    };
    phases.map(factor).product()
}

/// Poisson by thinning: drawn at the highest rate, kept in proportion.
#[expect(clippy::too_many_lines)]
fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let highest: f64 = scenario
        .traffic
        .phases
        .iter()
        .map(|p| p.rate_factor.max(1.0))
        .product();
    let (mut when, mut what) = (generator(seed, TIMES), generator(seed, KINDS));
    let (mut whereto, mut leaving) = (generator(seed, ZONES), generator(seed, LEAVES));
    let Ok(gap) = Exp::new(scenario.traffic.rate_per_second * highest) else {
        return Vec::new();
    };
    let methods: Vec<f64> = scenario.methods.iter().map(|m| m.traffic_weight).collect();
    let tenants: Vec<f64> = scenario.tenants.iter().map(|t| t.traffic_weight).collect();
    let mut credit: Vec<(f64, f64)> = scenario
        .tenants
        .iter()
        .map(|t| (0.0, t.quota_per_second * QUOTA_BURST))
        .collect();
    let (mut due, mut arrivals) = (0.0, Vec::new());
    loop {
        due += gap.sample(&mut when);
        if due >= scenario.duration.0 {
            return arrivals;
        }
        if when.random::<f64>() * highest >= times(scenario, due) {
            continue;
        }
        let method = weighted(&methods, what.random());
        let drawn = what.random();
        let tenant = if tenants.is_empty() {
            0
        } else {
            weighted(&tenants, drawn)
        };
        let within_quota = scenario.tenants.get(tenant).is_none_or(|settings| {
            let (last, credit) = &mut credit[tenant];
            *credit = (*credit + (due - *last) * settings.quota_per_second)
                .min((settings.quota_per_second * QUOTA_BURST).max(1.0));
            *last = due;
            let within_quota = *credit >= 1.0;
            *credit -= if within_quota { 1.0 } else { 0.0 };
            within_quota
        });
        let leaves = (leaving.random::<f64>() < scenario.clients.cancelling_fraction)
            .then(|| leaving.random());
        let m = &scenario.methods[method];
        let work = Work {
            mean: m.mean_work.0,
            spread: m.spread,
        }
        .sample(seed, arrivals.len() as u64);
        let zone = whereto.random_range(0..scenario.fleet.zones.len()) as u32;
        let (method, tenant, deal) = (method as u8, tenant as u8, whereto.random());
        arrivals.push(Arrival {
            due,
            method,
            tenant,
            zone,
            deal,
            within_quota,
            leaves,
            work,
        });
    }
}
