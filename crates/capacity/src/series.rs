//! The measured series: what each of them varies and measures, and in which units.
use crate::fit::Fit;
use serde::{Deserialize, Serialize};

/// The definition of a series.
pub struct Definition {
    /// The name by which estimates refer to the series.
    pub name: &'static str,
    /// The quantity that is varied.
    pub x: &'static str,
    /// The quantity that is measured, with its unit.
    pub y: &'static str,
    /// The conditions that stay the same.
    pub conditions: &'static str,
    /// Whether the values are times on a wall clock, which other load on the machine lengthens.
    pub uses_wall_clock: bool,
}

/// Defines a series of counts or processor times.
const fn counted(
    name: &'static str,
    x: &'static str,
    y: &'static str,
    conditions: &'static str,
) -> Definition {
    Definition {
        name,
        x,
        y,
        conditions,
        uses_wall_clock: false,
    }
}

/// Defines a series of times on a wall clock.
const fn timed(
    name: &'static str,
    x: &'static str,
    y: &'static str,
    conditions: &'static str,
) -> Definition {
    Definition {
        name,
        x,
        y,
        conditions,
        uses_wall_clock: true,
    }
}

/// All series, in the order of the report.
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

/// The points of one series and the line through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The name by which estimates refer to the series.
    pub name: String,
    /// The quantity that is varied.
    pub x: String,
    /// The quantity that is measured, with its unit.
    pub y: String,
    /// The conditions that stay the same.
    #[serde(rename = "held")]
    pub conditions: String,
    /// Whether the values are times on a wall clock, which other load on the machine lengthens.
    #[serde(rename = "wall")]
    pub uses_wall_clock: bool,
    /// The measured points, x and y.
    pub points: Vec<(f64, f64)>,
    /// The line through the points; None if they are too few.
    pub fit: Option<Fit>,
    /// Highest load average of the machine while the points were taken.
    #[serde(rename = "load")]
    pub load_average: f64,
    /// The reasons for which points could not be taken.
    pub missing: Vec<String>,
}

impl Series {
    /// Creates a series without points.
    pub fn new(definition: &Definition) -> Self {
        Self {
            name: definition.name.to_owned(),
            x: definition.x.to_owned(),
            y: definition.y.to_owned(),
            conditions: definition.conditions.to_owned(),
            uses_wall_clock: definition.uses_wall_clock,
            points: Vec::new(),
            fit: None,
            load_average: 0.0,
            missing: Vec::new(),
        }
    }

    /// Sorts the points and fits the line.
    pub fn finish(&mut self) {
        self.points.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.fit = Fit::of(&self.points);
    }
}
