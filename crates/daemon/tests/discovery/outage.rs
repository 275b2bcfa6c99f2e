//! An outage of a discovery service that serves only a few of its many clients at a time.
use crate::harness::{PROGRAM, UPDATE_LIMIT};
use birchhub_audit::Event;
use birchhub_rehearsal::{Options, Plan, Scenario, rehearse};

/// Number of proxies in [`SCENARIO`].
const PROXIES: u16 = 12;

/// Start of the outage in [`SCENARIO`], in seconds.
const OUTAGE_START_SECONDS: f64 = 2.0;

/// End of the outage in [`SCENARIO`], in seconds.
const OUTAGE_END_SECONDS: f64 = 10.0;

/// An outage of discovery that ends during a deployment. The service then processes one call at a time, for 0.1 s each,
/// and rejects the others, while twelve proxies poll it.
const SCENARIO: &str = concat!(
    r#"
name = "crowd"
about = "Many callers of a service that takes few."
length = "18s"
[rules]
ask-within = "20s"
[fleet]
zones = ["a"]
[[fleet.machine]]
name = "m"
count = 8
[list]
calls = 1
call-takes = "100ms"
[[method]]
name = "read"
kind = "idempotent"
work = "1ms"
target = "250ms"
deadline = "800ms"
[proxies]
count = 12
[traffic]
rate = 20
"#,
    include_str!("../../../../tests/common/discovery_outage.toml"),
    r#"[[trouble]]
name = "release"
kind = "deploy"
at = "9s"
batch = 4
every = "5s"
stop-after = "1s"
nodes = { share = 0.5 }
"#
);

#[test]
fn each_of_many_proxies_is_updated_in_time_after_an_outage() {
    let scenario = Scenario::read("crowd", SCENARIO).expect("a scenario");
    let plan = Plan::generate(&scenario, 5, "crowd", SCENARIO).expect("a plan");
    let output_directory =
        std::env::temp_dir().join(format!("birchhubd-crowd-{}", std::process::id()));
    let options = Options {
        seed: 5,
        out: output_directory.clone(),
        program: PROGRAM.into(),
        progress: false,
    };
    rehearse(&scenario, &plan, &options).expect("a report");
    let (_, entries) =
        birchhub_rehearsal::run::open(&output_directory.join("ledger")).expect("a ledger");
    let _ = std::fs::remove_dir_all(output_directory);
    let drains = entries.iter().filter_map(|entry| match entry.event {
        Event::EndpointChanged { backend, .. }
            if (OUTAGE_START_SECONDS..OUTAGE_END_SECONDS).contains(&entry.at) =>
        {
            Some((backend, entry.at))
        }
        _ => None,
    });
    let drains: Vec<_> = drains.collect();
    assert_eq!(drains.len(), 4, "drains during the outage");
    for proxy in 0..PROXIES {
        for (drained_backend, drained_at) in &drains {
            // Every later update of this backend carries this state or a newer one.
            let notified = entries.iter().find(|entry| {
                entry.at > *drained_at
                    && matches!(entry.event, Event::ProxyNotified { proxy: notified_proxy, backend, .. }
                        if notified_proxy == proxy && backend == *drained_backend)
            });
            let delay = notified.map_or(f64::INFINITY, |entry| entry.at - OUTAGE_END_SECONDS);
            assert!(
                delay < UPDATE_LIMIT.as_secs_f64(),
                "proxy {proxy} was notified of backend {drained_backend} {delay:.1} s after the outage"
            );
        }
    }
}
