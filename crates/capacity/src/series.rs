//! The series that are measured: what each is of, and in which units.
use crate::fit::Fit;
use serde::{Deserialize, Serialize};

/// What a series is of.
pub struct Definition {
    pub name: &'static str,
    pub x: &'static str,
    pub y: &'static str,
    /// What stayed the same.
    pub held: &'static str,
    /// Told by a clock on the wall: as good as the machine was idle.
    pub wall: bool,
}

const fn counted(
    name: &'static str,
    x: &'static str,
    y: &'static str,
    held: &'static str,
) -> Definition {
    Definition {
        name,
        x,
        y,
        held,
        wall: false,
    }
}

const fn timed(
    name: &'static str,
    x: &'static str,
    y: &'static str,
    held: &'static str,
) -> Definition {
    Definition {
        name,
        x,
        y,
        held,
        wall: true,
    }
}

pub const SERIES: &[Definition] = &[
    counted(
        "memory.backends",
        "listed backends",
        "MB resident",
        "1 method, no tenants, after ready",
    ),
    counted(
        "memory.busy.backends",
        "listed backends",
        "MB resident",
        "after the RPCs and changes of its point",
    ),
    counted(
        "start.backends",
        "listed backends",
        "processor s to ready",
        "1 method, no tenants, list from discovery",
    ),
    timed(
        "start.wall.backends",
        "listed backends",
        "s to ready",
        "as start.backends",
    ),
    counted(
        "idle.backends",
        "listed backends",
        "% of a core",
        "no RPCs, no changes",
    ),
    counted(
        "change.backends",
        "listed backends",
        "processor ms a change",
        "above idle, one line each, changes 20 a second",
    ),
    counted(
        "rpc.backends",
        "listed backends",
        "processor us an RPC",
        "above idle, RPCs at the planned rate of a proxy",
    ),
    counted(
        "connect.backends",
        "listed backends",
        "connections an RPC",
        "as rpc.backends",
    ),
    timed(
        "latency.backends",
        "listed backends",
        "ms at p99, above direct",
        "as rpc.backends",
    ),
    counted(
        "rpc.probes.backends",
        "listed backends",
        "processor us an RPC",
        "as rpc.backends, where the proxy probes",
    ),
    counted(
        "connect.probes.backends",
        "listed backends",
        "connections an RPC",
        "as rpc.probes.backends",
    ),
    counted(
        "probes.backends",
        "listed backends",
        "probes an RPC",
        "as rpc.probes.backends",
    ),
    timed(
        "latency.probes.backends",
        "listed backends",
        "ms at p99, above direct",
        "as rpc.probes.backends",
    ),
    counted("memory.tenants", "tenants", "MB resident", "10 backends"),
    counted(
        "start.tenants",
        "tenants",
        "processor s to ready",
        "10 backends",
    ),
    counted("memory.methods", "methods", "MB resident", "10 backends"),
    counted(
        "start.methods",
        "methods",
        "processor s to ready",
        "10 backends",
    ),
    counted(
        "rpc.rate",
        "RPCs a second",
        "% of a core",
        "most backends of the plan",
    ),
    counted(
        "connect.rate",
        "RPCs a second",
        "connections an RPC",
        "most backends of the plan",
    ),
    timed(
        "latency.rate",
        "RPCs a second",
        "ms at p99, above direct",
        "most backends of the plan",
    ),
    counted(
        "change.rate",
        "changes a second",
        "% of a core",
        "most backends of the plan",
    ),
    counted(
        "connect.proxies",
        "proxies",
        "connections a second at a backend",
        "planned RPCs a second of each pair",
    ),
    counted(
        "connect.probes.proxies",
        "proxies",
        "connections a second at a backend",
        "as connect.proxies, where they probe",
    ),
    counted(
        "list.calls",
        "hollow proxies",
        "calls a change",
        "changes told one by one to all",
    ),
    counted(
        "list.bytes",
        "hollow proxies",
        "KB sent a change",
        "as list.calls",
    ),
    counted(
        "list.processor",
        "hollow proxies",
        "processor ms a change",
        "as list.calls",
    ),
    timed(
        "list.in_force",
        "hollow proxies",
        "s until in force at the last",
        "as list.calls",
    ),
    counted(
        "list.changes",
        "changes a second",
        "% of a core of the service",
        "most hollow proxies of the plan",
    ),
    counted(
        "list.whole.bytes",
        "listed backends",
        "KB a whole list",
        "one hollow proxy",
    ),
    counted(
        "list.whole.processor",
        "listed backends",
        "processor ms a whole list, at the proxy",
        "one hollow proxy",
    ),
    timed(
        "list.crowd",
        "hollow proxies",
        "s until the last has the whole list",
        "all connect at once",
    ),
    timed(
        "settings.restart",
        "proxies",
        "s until a method is known at the last",
        "all restarted at once",
    ),
    timed(
        "settings.reload",
        "proxies",
        "s until a method is known at the last",
        "SIGHUP to all at once",
    ),
];

/// Points of one series and the line through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub name: String,
    pub x: String,
    pub y: String,
    pub held: String,
    pub wall: bool,
    pub points: Vec<(f64, f64)>,
    /// None where the points are too few.
    pub fit: Option<Fit>,
    /// Highest load average of the machine while they were taken.
    pub load: f64,
    /// What kept points from being taken.
    pub missing: Vec<String>,
}

impl Series {
    pub fn new(of: &Definition) -> Self {
        let owned = |text: &str| text.to_owned();
        Self {
            name: owned(of.name),
            x: owned(of.x),
            y: owned(of.y),
            held: owned(of.held),
            wall: of.wall,
            points: Vec::new(),
            fit: None,
            load: 0.0,
            missing: Vec::new(),
        }
    }

    pub fn finish(&mut self) {
        self.points.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.fit = Fit::of(&self.points);
    }
}
