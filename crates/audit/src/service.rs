//! Quality of service of a rehearsal: the share of the requested utility that was obtained, and latencies.
//!
//! An RPC counts from the time at which it was due. Retries of a client belong to its first request.
use crate::header::{Header, Method};
use serde::Serialize;
use std::collections::HashMap;

/// Length in seconds of the window that [`Service::worst_10s`] reports.
const WORST_WINDOW_SECONDS: usize = 10;

/// Quality of service of a rehearsal. Shares are between 0 and 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// Share of the requested utility that was obtained over the whole rehearsal.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// The lowest share over any window of 10 s.
    pub worst_10s: f64,
    /// Start of the worst window, in seconds since the rehearsal began.
    #[serde(rename = "worst_from")]
    pub worst_10s_from: f64,
    /// Share of each method, in the order of the ledger's header.
    pub methods: Vec<NamedShare>,
    /// Share of each tenant within its quota, in the order of the ledger's header.
    pub tenants: Vec<NamedShare>,
    /// Utility by the second in which RPCs were due.
    pub seconds: Vec<Utility>,
    /// Times from due to answered of successful RPCs.
    pub latency: LatencySummary,
}

impl Service {
    /// Returns the lowest share of any method; `None` if no RPC was requested.
    pub fn worst_method(&self) -> Option<f64> {
        lowest_share(&self.methods)
    }

    /// Returns the lowest share of any tenant; `None` if no tenant requested an RPC.
    pub fn worst_tenant(&self) -> Option<f64> {
        lowest_share(&self.tenants)
    }
}

fn lowest_share(shares: &[NamedShare]) -> Option<f64> {
    shares
        .iter()
        .filter_map(|named| named.share)
        .min_by(f64::total_cmp)
}

/// Share of the requested utility that one method or tenant obtained; written as `[name, share]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(into = "(String, Option<f64>)")]
pub struct NamedShare {
    /// Name of the method or tenant.
    pub name: String,
    /// Share between 0 and 1; `None` if nothing was requested.
    pub share: Option<f64>,
}

impl From<NamedShare> for (String, Option<f64>) {
    fn from(named: NamedShare) -> Self {
        (named.name, named.share)
    }
}

/// Utility that RPCs requested and obtained; written as `[requested, obtained]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Utility {
    /// Utility of all RPCs that were due.
    pub requested: f64,
    /// Utility of the successful answers.
    pub obtained: f64,
}

impl From<Utility> for (f64, f64) {
    fn from(utility: Utility) -> Self {
        (utility.requested, utility.obtained)
    }
}

impl Utility {
    /// Returns the share of the requested utility that was obtained; `None` if nothing was requested.
    pub fn share(self) -> Option<f64> {
        (self.requested > 0.0).then(|| self.obtained / self.requested)
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            requested: self.requested + other.requested,
            obtained: self.obtained + other.obtained,
        }
    }
}

/// Latencies in seconds; written as `[median, 99th percentile, 99.9th percentile]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct LatencySummary {
    /// Median, in seconds.
    pub median: f64,
    /// 99th percentile, in seconds.
    pub percentile_99: f64,
    /// 99.9th percentile, in seconds.
    pub percentile_99_9: f64,
}

impl LatencySummary {
    /// Summarises the samples, which it sorts.
    fn of(samples: &mut [f64]) -> Self {
        samples.sort_by(f64::total_cmp);
        Self {
            median: quantile(samples, 0.5),
            percentile_99: quantile(samples, 0.99),
            percentile_99_9: quantile(samples, 0.999),
        }
    }
}

impl From<LatencySummary> for [f64; 3] {
    fn from(summary: LatencySummary) -> Self {
        [
            summary.median,
            summary.percentile_99,
            summary.percentile_99_9,
        ]
    }
}

/// Returns the quantile by nearest rank of sorted samples; 0 if there are none.
pub(crate) fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// An RPC that has no successful answer yet.
struct OpenRpc {
    due: f64,
    method: usize,
    tenant: usize,
    utility: f64,
    within_quota: bool,
}

/// Running totals of the requested and the obtained utility.
pub(crate) struct Totals<'a> {
    header: &'a Header,
    open: HashMap<u32, OpenRpc>,
    overall: Utility,
    methods: Vec<Utility>,
    tenants: Vec<Utility>,
    seconds: Vec<Utility>,
    latencies: Vec<f64>,
}

impl<'a> Totals<'a> {
    pub(crate) fn new(header: &'a Header) -> Self {
        Self {
            header,
            open: HashMap::new(),
            overall: Utility::default(),
            methods: vec![Utility::default(); header.methods.len()],
            tenants: vec![Utility::default(); header.tenants.len()],
            seconds: Vec::new(),
            latencies: Vec::new(),
        }
    }

    /// Adds to each total that the RPC belongs to. A tenant's total counts only RPCs within its quota.
    fn add(&mut self, rpc: &OpenRpc, added: Utility) {
        let second = rpc.due.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Utility::default());
        }
        let tenant = self
            .tenants
            .get_mut(rpc.tenant)
            .filter(|_| rpc.within_quota);
        let totals = [
            Some(&mut self.overall),
            self.methods.get_mut(rpc.method),
            tenant,
            self.seconds.get_mut(second),
        ];
        for total in totals.into_iter().flatten() {
            total.requested += added.requested;
            total.obtained += added.obtained;
        }
    }

    /// Counts an RPC that is due at `due`, in seconds.
    pub(crate) fn record_arrival(
        &mut self,
        due: f64,
        rpc: u32,
        method: usize,
        tenant: usize,
        within_quota: bool,
    ) {
        let full = self.header.methods.get(method).map_or(0.0, |m| m.utility);
        let utility = if within_quota {
            full
        } else {
            full * self.header.rules.over_quota_utility
        };
        let open = OpenRpc {
            due,
            method,
            tenant,
            utility,
            within_quota,
        };
        let added = Utility {
            requested: utility,
            obtained: 0.0,
        };
        self.add(&open, added);
        self.open.insert(rpc, open);
    }

    /// Counts a successful answer; only the first one of an RPC counts.
    pub(crate) fn record_success(&mut self, at: f64, rpc: u32) {
        let Some(open) = self.open.remove(&rpc) else {
            return;
        };
        let Some(method) = self.header.methods.get(open.method) else {
            return;
        };
        let latency = at - open.due;
        self.latencies.push(latency);
        let added = Utility {
            requested: 0.0,
            obtained: open.utility * utility_share(method, latency),
        };
        self.add(&open, added);
    }

    /// Returns the lowest share over any window and the second at which that window begins.
    fn worst_window(&self) -> (f64, f64) {
        let length = WORST_WINDOW_SECONDS.min(self.seconds.len()).max(1);
        let windows = self.seconds.windows(length).enumerate();
        let shares = windows.filter_map(|(from, window)| {
            let total = window
                .iter()
                .fold(Utility::default(), |total, second| total.plus(second));
            Some((total.share()?, from as f64))
        });
        shares
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .unwrap_or((0.0, 0.0))
    }

    pub(crate) fn finish(mut self) -> Service {
        let (worst_10s, worst_10s_from) = self.worst_window();
        let method_names = self.header.methods.iter().map(|method| &method.name);
        Service {
            overall: self.overall.share().unwrap_or(0.0),
            worst_10s,
            worst_10s_from,
            methods: named_shares(method_names, &self.methods),
            tenants: named_shares(self.header.tenants.iter(), &self.tenants),
            latency: LatencySummary::of(&mut self.latencies),
            seconds: self.seconds,
        }
    }
}

/// Returns the share of a method's utility that an answer after `latency` seconds obtains.
fn utility_share(method: &Method, latency: f64) -> f64 {
    if latency <= method.latency_target {
        1.0
    } else if latency <= method.deadline {
        method.late_utility
    } else {
        0.0
    }
}

fn named_shares<'n>(
    names: impl Iterator<Item = &'n String>,
    totals: &[Utility],
) -> Vec<NamedShare> {
    names
        .zip(totals)
        .map(|(name, total)| NamedShare {
            name: name.clone(),
            share: total.share(),
        })
        .collect()
}
