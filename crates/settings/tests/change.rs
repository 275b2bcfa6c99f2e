//! The comparison of settings, against a plain model of it on generated pairs.
use birchhub::interface::CarriedOver;
use birchhub_settings::{Change, ListDifference, ParsedSettings, parse_value};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

/// Settings with these methods and tenants: each is the number of a name, and a value.
fn settings(methods: &[(u8, u8)], tenants: &[(u8, u8)]) -> Value {
    let method = |(name, value): &(u8, u8)| {
        json!({"name": format!("m{}", name % 12), "idempotency": "read_like", "utility": value % 3,
            "latency-target-ns": 1e8})
    };
    let tenant = |(name, value): &(u8, u8)| json!({"name": format!("t{}", name % 12), "quota-per-s": value % 3});
    json!({"balancers": 2, "ceilings": {"most-picks": 3}, "failure-domains": ["a", "b"], "my-zone": "a",
        "methods": methods.iter().map(method).collect::<Vec<_>>(),
        "accounts": tenants.iter().map(tenant).collect::<Vec<_>>(),
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}})
}

fn parsed(value: &Value) -> ParsedSettings {
    parse_value(value).expect("settings")
}

/// The first of each name, so that a linear search finds all there is to find.
fn without_duplicates(mut list: List) -> List {
    let mut seen = [false; 12];
    list.retain(|(name, _)| !std::mem::replace(&mut seen[usize::from(*name % 12)], true));
    list
}

type List = Vec<(u8, u8)>;

/// Methods and tenants.
type Lists = (List, List);

/// The index before of each name, by linear search.
fn expected_indexes(before: &[String], now: &[String]) -> Vec<Option<usize>> {
    let index = |name: &String| before.iter().position(|other| other == name);
    now.iter().map(index).collect()
}

/// How two lists without duplicates differ, by linear search.
fn expected_difference(before: &List, now: &List) -> ListDifference {
    let find = |list: &List, name: u8| {
        let entry = list.iter().find(|(other, _)| other % 12 == name % 12);
        entry.map(|(_, value)| value % 3)
    };
    let mut difference = ListDifference {
        total: now.len(),
        ..ListDifference::default()
    };
    for (name, value) in now {
        match find(before, *name) {
            None => difference.added += 1,
            Some(previous) => difference.changed += usize::from(previous != value % 3),
        }
    }
    let is_removed = |(name, _): &&(u8, u8)| find(now, *name).is_none();
    difference.removed = before.iter().filter(is_removed).count();
    difference
}

fn matches_a_linear_search(before: Lists, now: Lists) -> bool {
    let unique = |(methods, tenants)| (without_duplicates(methods), without_duplicates(tenants));
    let (before, now) = (unique(before), unique(now));
    let active = parsed(&settings(&before.0, &before.1));
    let new = parsed(&settings(&now.0, &now.1));
    let change = Change::between(&active, &new);
    let carried_over = CarriedOver {
        methods: expected_indexes(&active.methods, &new.methods),
        tenants: expected_indexes(&active.tenants, &new.tenants),
    };
    let is_same = active.settings == new.settings
        && active.methods == new.methods
        && active.tenants == new.tenants;
    change.carried_over == carried_over
        && change.methods == expected_difference(&before.0, &now.0)
        && change.tenants == expected_difference(&before.1, &now.1)
        && change.is_none() == is_same
        && change.decision_keys.is_empty()
        && change.restart_keys.is_empty()
}

#[test]
fn names_are_matched_as_by_a_linear_search() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(14, 11));
    check.quickcheck(matches_a_linear_search as fn(_, _) -> bool);
}

/// Each index before is carried over at most once, to its own name, and each name in both lists has one.
fn is_carried_over_once(before: &[String], now: &[String], indexes: &[Option<usize>]) -> bool {
    let mut carried: Vec<_> = indexes.iter().flatten().collect();
    let count = carried.len();
    carried.sort();
    carried.dedup();
    let pairs = || now.iter().zip(indexes);
    let to_its_name =
        |(name, index): (&String, &Option<usize>)| index.is_none_or(|index| before[index] == *name);
    let is_carried = |name: &String| pairs().any(|(other, index)| other == name && index.is_some());
    carried.len() == count
        && indexes.len() == now.len()
        && pairs().all(to_its_name)
        && now
            .iter()
            .filter(|name| before.contains(name))
            .all(is_carried)
}

fn duplicates_are_carried_over_once(before: Lists, now: Lists) -> bool {
    let active = parsed(&settings(&before.0, &before.1));
    let new = parsed(&settings(&now.0, &now.1));
    let CarriedOver { methods, tenants } = Change::between(&active, &new).carried_over;
    is_carried_over_once(&active.methods, &new.methods, &methods)
        && is_carried_over_once(&active.tenants, &new.tenants, &tenants)
}

#[test]
fn state_of_names_that_are_listed_twice_is_carried_over_once() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(20, 12));
    check.quickcheck(duplicates_are_carried_over_once as fn(_, _) -> bool);
}

/// Minimal settings, and the same with one key of a section, or of the object itself, changed.
fn changed(section: &str, key: &str, value: Value) -> (ParsedSettings, ParsedSettings) {
    let mut other = settings(&[(0, 1)], &[(0, 1)]);
    let active = parsed(&other);
    match section {
        "" => other[key] = value,
        section => other[section][key] = value,
    }
    (active, parsed(&other))
}

fn path(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}

#[test]
fn keys_that_change_decisions_are_listed_and_applied() {
    for (section, key, value) in [
        ("", "balancers", json!(5)),
        ("ceilings", "most-picks", json!(4)),
        ("ceilings", "cancel", json!(true)),
        ("ceilings", "probes", json!(true)),
        ("ceilings", "second-copies", json!(true)),
        ("extra", "warm-keys", json!(true)),
        ("penalties", "probe", json!(0.1)),
        ("penalties", "cross-zone", json!(0.1)),
        ("goal", "log-loss-part", json!(0.5)),
        ("report", "how", json!("probe")),
        ("contract", "ask-within-ns", json!(3e9)),
        ("contract", "drain-grace-ns", json!(3e9)),
        ("contract", "removal-not-binding", json!(true)),
        ("contract", "key-quiet-ns", json!(3e9)),
        ("contract", "cold-from", json!(0.5)),
        ("contract", "cold-ns", json!(3e9)),
        ("contract", "fall-multiple", json!(2.0)),
        ("contract", "tip-after-ns", json!(3e9)),
    ] {
        let (active, new) = changed(section, key, value);
        let change = Change::between(&active, &new);
        let key = path(section, key);
        assert_eq!(change.decision_keys, [key.as_str()]);
        assert!(change.restart_keys.is_empty(), "{key}");
        let applied = new.clone().with_restart_keys_from(&active);
        assert_eq!(applied.settings, new.settings, "{key}");
    }
}

#[test]
fn keys_that_need_a_restart_are_listed_and_keep_their_active_value() {
    for (section, key, value) in [
        ("", "membership-mode", json!("on_request")),
        ("", "failure-domains", json!(["b", "a"])),
        ("", "my-zone", json!("b")),
        ("", "weight-source", json!("nominal")),
        ("ceilings", "connect-timeout-ns", json!(3e9)),
        ("ceilings", "conn-idle-ns", json!(3e9)),
    ] {
        let (active, new) = changed(section, key, value);
        let change = Change::between(&active, &new);
        let key = format!("settings.{}", path(section, key));
        assert!(change.is_none(), "{key}");
        assert_eq!(change.restart_keys, [key.as_str()]);
        let mut applied = new.with_restart_keys_from(&active);
        applied.digest = active.digest;
        assert_eq!(applied, active, "{key}");
    }
}

fn digest(value: &Value) -> u64 {
    parsed(value).digest
}

#[test]
fn the_digest_does_not_depend_on_the_order_of_keys() {
    let plain = settings(&[(0, 1)], &[(0, 1)]);
    let fields = plain.as_object().expect("an object").iter().rev();
    let fields: Vec<_> = fields
        .map(|(key, value)| format!(" {key:?} : {value}"))
        .collect();
    let reversed = format!("{{{}}}", fields.join(","));
    let reversed: Value = serde_json::from_str(&reversed).expect("JSON");
    let text: Value = serde_json::from_str(&plain.to_string()).expect("JSON");
    assert_eq!(digest(&reversed), digest(&text));
}

#[test]
fn the_digest_does_not_depend_on_the_own_zone() {
    let plain = settings(&[(0, 1)], &[(0, 1)]);
    let mut elsewhere = plain.clone();
    elsewhere["my-zone"] = "b".into();
    assert_eq!(digest(&elsewhere), digest(&plain));
}

#[test]
fn other_methods_or_accounts_have_another_digest() {
    let plain = settings(&[(0, 1)], &[(0, 1)]);
    assert_ne!(digest(&settings(&[(0, 2)], &[(0, 1)])), digest(&plain));
    assert_ne!(digest(&settings(&[(0, 1)], &[(1, 1)])), digest(&plain));
}
