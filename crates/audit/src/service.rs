//! How well a rehearsal went: utility answered within the latency target over utility asked for, each RPC counted
//! from when it was due and a client's retries to its first try.
use crate::head::Head;
use serde::Serialize;
use std::collections::HashMap;

const WINDOW: usize = 10; // s: of which the worst one counts

/// Parts of 1; a method or tenant that asked for nothing has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    pub whole: f64,
    /// The worst 10 s, and when they began.
    pub worst_10s: f64,
    pub worst_from: f64,
    pub methods: Vec<(String, Option<f64>)>,
    pub tenants: Vec<(String, Option<f64>)>,
    /// By the second in which RPCs were due: utility asked for and got.
    pub seconds: Vec<(f64, f64)>,
    /// Times from due to ok, s: median, 99th and 99.9th percentile.
    pub latency: [f64; 3],
}

impl Service {
    fn worst(parts: &[(String, Option<f64>)]) -> Option<f64> {
        parts
            .iter()
            .filter_map(|(_, part)| *part)
            .min_by(f64::total_cmp)
    }
    pub fn worst_method(&self) -> Option<f64> {
        Self::worst(&self.methods)
    }
    pub fn worst_tenant(&self) -> Option<f64> {
        Self::worst(&self.tenants)
    }
}

#[derive(Clone, Copy, Default)]
struct Sum {
    asked: f64,
    got: f64,
}

impl Sum {
    fn part(self) -> Option<f64> {
        (self.asked > 0.0).then(|| self.got / self.asked)
    }
}

struct Open {
    due: f64,
    method: usize,
    tenant: usize,
    utility: f64,
    within_quota: bool,
}

/// Adds up what was asked for and what was answered.
pub struct Tally<'a> {
    head: &'a Head,
    open: HashMap<u32, Open>,
    whole: Sum,
    methods: Vec<Sum>,
    tenants: Vec<Sum>,
    seconds: Vec<Sum>,
    latencies: Vec<f64>,
}

impl<'a> Tally<'a> {
    pub fn new(head: &'a Head) -> Self {
        Self {
            head,
            open: HashMap::new(),
            whole: Sum::default(),
            methods: vec![Sum::default(); head.methods.len()],
            tenants: vec![Sum::default(); head.tenants.len()],
            seconds: Vec::new(),
            latencies: Vec::new(),
        }
    }

    /// Adds to every sum that the RPC belongs to; a tenant's own figure is taken within its quota.
    fn add(&mut self, rpc: &Open, asked: f64, got: f64) {
        let second = rpc.due.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Sum::default());
        }
        let tenant = self
            .tenants
            .get_mut(rpc.tenant)
            .filter(|_| rpc.within_quota);
        let sums = [
            Some(&mut self.whole),
            self.methods.get_mut(rpc.method),
            tenant,
            self.seconds.get_mut(second),
        ];
        for sum in sums.into_iter().flatten() {
            sum.asked += asked;
            sum.got += got;
        }
    }

    pub fn asked(&mut self, due: f64, rpc: u32, method: usize, tenant: usize, within_quota: bool) {
        let full = self.head.methods.get(method).map_or(0.0, |m| m.utility);
        let utility = if within_quota {
            full
        } else {
            full * self.head.rules.over_quota_utility
        };
        let open = Open {
            due,
            method,
            tenant,
            utility,
            within_quota,
        };
        self.add(&open, utility, 0.0);
        self.open.insert(rpc, open);
    }

    /// An ok; only the first one of an RPC counts.
    pub fn answered(&mut self, at: f64, rpc: u32) {
        let Some(open) = self.open.remove(&rpc) else {
            return;
        };
        let Some(method) = self.head.methods.get(open.method) else {
            return;
        };
        let took = at - open.due;
        self.latencies.push(took);
        let part = match took {
            took if took <= method.target => 1.0,
            took if took <= method.deadline => method.late_utility,
            _ => 0.0,
        };
        self.add(&open, 0.0, open.utility * part);
    }

    pub fn finish(mut self) -> Service {
        let sums = |names: Vec<&String>, sums: &[Sum]| {
            names
                .into_iter()
                .cloned()
                .zip(sums.iter().map(|s| s.part()))
                .collect()
        };
        let windows = self
            .seconds
            .windows(WINDOW.min(self.seconds.len()).max(1))
            .enumerate();
        let parts = windows.filter_map(|(from, window)| {
            let add = |a: Sum, b: &Sum| Sum {
                asked: a.asked + b.asked,
                got: a.got + b.got,
            };
            Some((from as f64, window.iter().fold(Sum::default(), add).part()?))
        });
        let worst = parts
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0.0, 0.0));
        self.latencies.sort_by(f64::total_cmp);
        let latency = |part: f64| {
            let place = (part * self.latencies.len() as f64).ceil() as usize;
            self.latencies.get(place.max(1) - 1).copied().unwrap_or(0.0)
        };
        Service {
            whole: self.whole.part().unwrap_or(0.0),
            worst_10s: worst.1,
            worst_from: worst.0,
            methods: sums(
                self.head.methods.iter().map(|m| &m.name).collect(),
                &self.methods,
            ),
            tenants: sums(self.head.tenants.iter().collect(), &self.tenants),
            latency: [latency(0.5), latency(0.99), latency(0.999)],
            seconds: self.seconds.iter().map(|s| (s.asked, s.got)).collect(),
        }
    }
}
