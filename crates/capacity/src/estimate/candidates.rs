//! Mechanisms that would lower the estimates that miss their targets.

/// A mechanism that could be built, with the estimates that it would lower.
pub struct Candidate {
    /// What would be built.
    pub name: &'static str,
    /// Keys of the estimates that the mechanism would lower.
    pub keys: &'static [&'static str],
    /// The expected effect, which is not measured.
    pub expected: &'static str,
}

/// All candidates, in no particular order.
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
