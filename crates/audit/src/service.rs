//! Quality of service of a rehearsal: the share of the requested utility that was obtained, and latencies.
//!
//! Latency is measured from the time at which an RPC was due and includes the client's retries.
use crate::header::{Header, Method};
use serde::Serialize;
use std::collections::HashMap;

/// Length of the window that [`ServiceQuality::worst_10s`] reports, in seconds.
const WORST_WINDOW_SECONDS: usize = 10;

/// Quality of service of a rehearsal. Shares are between 0 and 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceQuality {
    /// Share of the requested utility that was obtained over the whole rehearsal.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Lowest share over any window of 10 s.
    pub worst_10s: f64,
    /// Start of the worst window, in seconds since the rehearsal began.
    #[serde(rename = "worst_from")]
    pub worst_10s_from: f64,
    /// Share for each method, in the order of the ledger's header.
    pub methods: Vec<NamedShare>,
    /// Share for each tenant, of its RPCs within quota, in the order of the ledger's header.
    pub tenants: Vec<NamedShare>,
    /// Utility of the RPCs that were due in each second.
    pub seconds: Vec<Utility>,
    /// Latency of successful RPCs.
    pub latency: LatencySummary,
}

impl ServiceQuality {
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

/// Share of the requested utility that one method or tenant obtained; serialized as `[name, share]`.
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

/// Requested and obtained utility; serialized as `[requested, obtained]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Utility {
    /// Utility of all RPCs that were due.
    pub requested: f64,
    /// Utility of the successful responses.
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

/// Percentiles of latencies, in seconds; serialized as `[median, 99th percentile, 99.9th percentile]`.
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
    /// Summarizes the samples, which it sorts. All values are 0 if there are no samples.
    fn from_samples(samples: &mut [f64]) -> Self {
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

/// Returns a quantile of sorted samples by the nearest-rank method; 0 if there are no samples.
pub(crate) fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(0.0)
}

/// An RPC without a successful response so far.
struct PendingRpc {
    due: f64,
    method: usize,
    tenant: usize,
    utility: f64,
    within_quota: bool,
}

/// Accumulates the requested and the obtained utility, and latencies.
pub(crate) struct ServiceAccumulator<'a> {
    header: &'a Header,
    pending: HashMap<u32, PendingRpc>,
    overall: Utility,
    methods: Vec<Utility>,
    tenants: Vec<Utility>,
    seconds: Vec<Utility>,
    latencies: Vec<f64>,
}

impl<'a> ServiceAccumulator<'a> {
    pub(crate) fn new(header: &'a Header) -> Self {
        Self {
            header,
            pending: HashMap::new(),
            overall: Utility::default(),
            methods: vec![Utility::default(); header.methods.len()],
            tenants: vec![Utility::default(); header.tenants.len()],
            seconds: Vec::new(),
            latencies: Vec::new(),
        }
    }

    /// Adds utility to each total that the RPC counts towards. Only RPCs within quota count towards their tenant.
    fn add(&mut self, rpc: &PendingRpc, added: Utility) {
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

    /// Records an RPC that is due at `due`, in seconds.
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
        let pending = PendingRpc {
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
        self.add(&pending, added);
        self.pending.insert(rpc, pending);
    }

    /// Records a successful response at `at`, in seconds. Only the first one for an RPC counts.
    pub(crate) fn record_success(&mut self, at: f64, rpc: u32) {
        let Some(pending) = self.pending.remove(&rpc) else {
            return;
        };
        let Some(method) = self.header.methods.get(pending.method) else {
            return;
        };
        let latency = at - pending.due;
        self.latencies.push(latency);
        let added = Utility {
            requested: 0.0,
            obtained: pending.utility * utility_share(method, latency),
        };
        self.add(&pending, added);
    }

    /// Returns the lowest share over any window, and the start of that window in seconds.
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

    /// Returns the quality of service over everything recorded.
    pub(crate) fn finish(mut self) -> ServiceQuality {
        let (worst_10s, worst_10s_from) = self.worst_window();
        let method_names = self.header.methods.iter().map(|method| &method.name);
        ServiceQuality {
            overall: self.overall.share().unwrap_or(0.0),
            worst_10s,
            worst_10s_from,
            methods: named_shares(method_names, &self.methods),
            tenants: named_shares(self.header.tenants.iter(), &self.tenants),
            latency: LatencySummary::from_samples(&mut self.latencies),
            seconds: self.seconds,
        }
    }
}

/// Returns the share of a method's utility that a response after `latency` seconds has.
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
