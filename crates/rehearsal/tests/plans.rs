//! Plans: the same for the same seed, with traffic that no further fault changes; and mistakes in scenarios are reported
//! with file, line and key.
use birchhub_rehearsal::plan::Action;
use birchhub_rehearsal::{Plan, Scenario, shipped};

const BASE: &str = r#"
name = "base"
about = "a test"
length = "10s"

[fleet]
zones = ["a", "b"]
racks = 2

[[fleet.machine]]
name = "m"
count = 8

[[method]]
name = "read"
kind = "idempotent"
work = "10ms"
target = "200ms"
deadline = "500ms"

[[tenant]]
name = "one"
quota = 40
share = 3

[[tenant]]
name = "two"
quota = 1000

[proxies]
count = 3

[traffic]
rate = 100
"#;

fn plan_of(text: &str, seed: u64) -> Result<Plan, String> {
    let scenario = Scenario::read("s.toml", text).map_err(|fault| fault.to_string())?;
    Plan::generate(&scenario, seed, "s.toml", text).map_err(|fault| fault.to_string())
}

fn with(more: &str) -> String {
    format!("{BASE}{more}")
}

#[test]
fn every_shipped_scenario_is_read_and_planned() {
    for shipped in shipped::ALL {
        let plan =
            plan_of(shipped.text, 1).unwrap_or_else(|fault| panic!("{}: {fault}", shipped.name));
        assert!(!plan.arrivals.is_empty(), "{}", shipped.name);
    }
}

#[test]
fn a_seed_gives_one_plan_and_another_seed_another() {
    for shipped in shipped::ALL {
        let hash = |seed| plan_of(shipped.text, seed).expect("a plan").hash();
        assert_eq!(hash(1), hash(1), "{}", shipped.name);
        assert_ne!(hash(1), hash(2), "{}", shipped.name);
    }
}

#[test]
fn a_further_fault_changes_neither_traffic_nor_other_faults() {
    let stall = "[[trouble]]\nname = \"s\"\nkind = \"stall\"\nat = \"1s\"\nfor = \"2s\"\nnodes = { share = 0.5 }\n";
    let before = "[[trouble]]\nname = \"t\"\nkind = \"crash\"\nat = \"1s\"\nfor = \"2s\"\nnodes = { count = 3 }\n";
    let (none, one, two) = (
        plan_of(BASE, 5),
        plan_of(&with(stall), 5),
        plan_of(&with(&format!("{before}{stall}")), 5),
    );
    let (none, one, two) = (none.unwrap(), one.unwrap(), two.unwrap());
    assert_eq!(none.arrivals, one.arrivals);
    assert_eq!(none.arrivals, two.arrivals);
    assert_eq!(one.faults[0].backends, two.faults[1].backends);
    assert_eq!(two.faults[0].backends.len(), 3);
}

#[test]
fn selectors_choose_the_nodes_of_another_fault_or_the_others() {
    let trouble = |name: &str, nodes: &str| {
        format!(
            "[[trouble]]\nname = \"{name}\"\nkind = \"crash\"\nat = \"1s\"\nfor = \"2s\"\nnodes = {nodes}\n"
        )
    };
    let text = with(
        &[
            trouble("rack", "{ zone = \"a\", rack = 1 }"),
            trouble("same", "{ among = \"rack\", count = 1 }"),
            trouble("rest", "{ zone = \"a\", without = \"rack\" }"),
            trouble("named", "{ named = [\"b-0-1\"] }"),
        ]
        .concat(),
    );
    let plan = plan_of(&text, 1).expect("a plan");
    let names = |n: usize| {
        plan.faults[n]
            .backends
            .iter()
            .map(|n| plan.nodes[*n as usize].name.as_str())
    };
    assert_eq!(names(0).collect::<Vec<_>>(), ["a-1-0", "a-1-1"]);
    assert!(names(1).count() == 1 && names(1).all(|name| name.starts_with("a-1")));
    assert_eq!(names(2).collect::<Vec<_>>(), ["a-0-0", "a-0-1"]);
    assert_eq!(names(3).collect::<Vec<_>>(), ["b-0-1"]);
}

#[test]
fn a_deploy_replaces_nodes_in_batches() {
    let text = with(
        "[[trouble]]\nname = \"d\"\nkind = \"deploy\"\nat = \"1s\"\nbatch = 3\nevery = \"2s\"\nnodes = { zone = \"a\" }\n",
    );
    let plan = plan_of(&text, 1).expect("a plan");
    let announced: Vec<_> = plan
        .actions
        .iter()
        .filter(|(_, act)| matches!(act, Action::AnnounceDrain { .. }))
        .map(|(at, _)| *at)
        .collect();
    assert_eq!(announced, [1.0, 1.0, 1.0, 3.0]);
    assert_eq!((plan.nodes.len(), plan.first_nodes()), (12, 8));
    assert!(
        plan.nodes[8..]
            .iter()
            .all(|node| node.successor && node.name.ends_with(".new") && node.zone == 0)
    );
}

#[test]
fn traffic_follows_its_rate_phases_and_quotas() {
    let text = with(
        "[[traffic.phase]]\nat = \"4s\"\nfor = \"2s\"\ntimes = 3\n[[traffic.phase]]\nat = \"8s\"\nfor = \"2s\"\ntimes = 0\n",
    );
    let plan = plan_of(&text, 9).expect("a plan");
    let count = |from: f64, to: f64| {
        plan.arrivals
            .iter()
            .filter(|a| a.due >= from && a.due < to)
            .count()
    };
    assert!((300..500).contains(&count(0.0, 4.0)), "{}", count(0.0, 4.0));
    assert!((500..700).contains(&count(4.0, 6.0)), "{}", count(4.0, 6.0));
    assert_eq!(count(8.0, 10.0), 0);
    // Tenant one sends some 75 a second and has a quota of 40, and a burst of as many.
    let within_quota = plan
        .arrivals
        .iter()
        .filter(|a| a.tenant == 0 && a.due < 4.0 && a.within_quota)
        .count();
    assert!((150..=200).contains(&within_quota), "{within_quota}");
    assert!(
        plan.arrivals
            .iter()
            .all(|a| a.tenant == 0 || a.within_quota)
    );
}

/// Mistakes outside the faults of a scenario, and how each is reported: file, line, key, and what is wrong.
fn mistakes_in_the_deployment() -> Vec<(String, &'static str)> {
    vec![
        (
            BASE.replace("rate = 100", "rat = 100"),
            "s.toml:34: traffic.rat: unknown field `rat`",
        ),
        (
            BASE.replace("\"10ms\"", "10"),
            "s.toml:17: method[0].work: invalid type: integer",
        ),
        (
            BASE.replace("\"10ms\"", "\"10\""),
            "s.toml:17: method[0].work: \"10\" is not a time with its unit",
        ),
        (
            BASE.replace("\"500ms\"", "\"100ms\""),
            "s.toml:19: method[0].deadline: is before the latency target",
        ),
        (
            BASE.replace("\"idempotent\"", "\"deduplicated\""),
            "s.toml:16: method[0].kind: group and window",
        ),
        (
            BASE.replace("rate = 100", "rate = 0"),
            "s.toml:34: traffic.rate: must be above 0",
        ),
        (
            BASE.replace("\"two\"", "\"one\""),
            "s.toml:27: tenant[1].name: \"one\" is there twice",
        ),
        (
            BASE.replace("[proxies]", "[proxies"),
            "s.toml:30: unclosed table",
        ),
    ]
}

/// Mistakes in the faults and expectations of a scenario, and how each is reported.
fn mistakes_in_the_faults() -> Vec<(String, &'static str)> {
    let trouble = "\n[[trouble]]\nname = \"t\"\nkind = \"stall\"\nat = \"1s\"\nfor = \"1s\"\n";
    vec![
        (
            with(trouble),
            "s.toml:38: trouble[0].kind: this kind needs the key `nodes`",
        ),
        (
            with(&format!("{trouble}nodes = {{ zone = \"c\" }}\n")),
            "s.toml:41: trouble[0].nodes.zone: there is no zone \"c\"",
        ),
        (
            with(&format!("{trouble}nodes = {{ rack = 7 }}\n")),
            "s.toml:41: trouble[0].nodes: chooses no node at all",
        ),
        (
            with(&format!("{trouble}nodes = {{ among = \"x\" }}\n")),
            "s.toml:41: trouble[0].nodes.among: no trouble above",
        ),
        (
            with(&format!("{trouble}nodes = {{}}\nshare = 0.5\n")),
            "s.toml:42: trouble[0].share: does not belong",
        ),
        (
            with("[expect]\nservice = 1.5\n"),
            "s.toml:36: expect.service: must be from 0 to 1",
        ),
    ]
}

#[test]
fn mistakes_are_reported_with_file_line_and_key() {
    for (text, expected) in [mistakes_in_the_deployment(), mistakes_in_the_faults()].concat() {
        let reported = plan_of(&text, 1).expect_err(expected);
        assert!(
            reported.starts_with(expected),
            "reported: {reported}\nexpected: {expected}"
        );
    }
}
