//! Comparison of settings: generated pairs, checked against a linear search; and the keys and the digest.
use birchhub::interface::CarriedOver;
use birchhub_settings::{Change, ListDifference, ParsedSettings, parse_value};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::{Value, json};

/// Number of different names in generated lists.
const NAMES: u8 = 12;
/// Number of different values in generated lists.
const VALUES: u8 = 3;

/// A generated method or tenant.
#[derive(Clone, Copy, Debug)]
struct Entry {
    name: u8,
    value: u8,
}

impl Entry {
    fn new(name: u8, value: u8) -> Self {
        Self {
            name: name % NAMES,
            value: value % VALUES,
        }
    }

    fn method(&self) -> Value {
        json!({"name": format!("m{}", self.name), "idempotency": "read_like", "utility": self.value,
            "latency-target-ns": 1e8})
    }

    fn tenant(&self) -> Value {
        json!({"name": format!("t{}", self.name), "quota-per-s": self.value})
    }
}

impl Arbitrary for Entry {
    fn arbitrary(generator: &mut Gen) -> Self {
        let name = u8::arbitrary(generator);
        let value = u8::arbitrary(generator);
        Self::new(name, value)
    }
}

/// Generated methods and tenants.
#[derive(Clone, Debug)]
struct Lists {
    methods: Vec<Entry>,
    tenants: Vec<Entry>,
}

impl Arbitrary for Lists {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self {
            methods: Vec::arbitrary(generator),
            tenants: Vec::arbitrary(generator),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let lists = (self.methods.clone(), self.tenants.clone());
        let shrunk = lists.shrink();
        Box::new(shrunk.map(|(methods, tenants)| Self { methods, tenants }))
    }
}

impl Lists {
    /// One method and one tenant.
    fn minimal() -> Self {
        Self {
            methods: vec![Entry::new(0, 1)],
            tenants: vec![Entry::new(0, 1)],
        }
    }

    fn without_duplicates(&self) -> Self {
        Self {
            methods: without_duplicates(&self.methods),
            tenants: without_duplicates(&self.tenants),
        }
    }

    /// Returns a settings object with these methods and tenants.
    fn settings(&self) -> Value {
        json!({"balancers": 2, "ceilings": {"most-picks": 3}, "failure-domains": ["a", "b"], "my-zone": "a",
            "methods": self.methods.iter().map(Entry::method).collect::<Vec<_>>(),
            "accounts": self.tenants.iter().map(Entry::tenant).collect::<Vec<_>>(),
            "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
                "tip-after-ns": 1e9}})
    }
}

fn parsed(value: &Value) -> ParsedSettings {
    parse_value(value).expect("settings")
}

/// Returns the first entry of each name.
fn without_duplicates(list: &[Entry]) -> Vec<Entry> {
    let mut seen = [false; NAMES as usize];
    let is_first = |entry: &&Entry| !std::mem::replace(&mut seen[usize::from(entry.name)], true);
    list.iter().filter(is_first).copied().collect()
}

/// Returns the index in the old list of each name in the new list, by linear search.
fn expected_indexes(old: &[String], new: &[String]) -> Vec<Option<usize>> {
    let index = |name: &String| old.iter().position(|other| other == name);
    new.iter().map(index).collect()
}

/// Returns the difference between two lists without duplicates, by linear search.
fn expected_difference(old: &[Entry], new: &[Entry]) -> ListDifference {
    let find = |list: &[Entry], name: u8| {
        let entry = list.iter().find(|other| other.name == name);
        entry.map(|entry| entry.value)
    };
    let mut difference = ListDifference {
        total: new.len(),
        ..ListDifference::default()
    };
    for Entry { name, value } in new {
        match find(old, *name) {
            None => difference.added += 1,
            Some(previous) => difference.changed += usize::from(previous != *value),
        }
    }
    let is_removed = |entry: &&Entry| find(new, entry.name).is_none();
    difference.removed = old.iter().filter(is_removed).count();
    difference
}

fn matches_linear_search(active_lists: Lists, new_lists: Lists) -> bool {
    let active_lists = active_lists.without_duplicates();
    let new_lists = new_lists.without_duplicates();
    let active = parsed(&active_lists.settings());
    let new = parsed(&new_lists.settings());
    let change = Change::between(&active, &new);
    let carried_over = CarriedOver {
        methods: expected_indexes(&active.methods, &new.methods),
        tenants: expected_indexes(&active.tenants, &new.tenants),
    };
    let is_same = active.settings == new.settings
        && active.methods == new.methods
        && active.tenants == new.tenants;
    change.carried_over == carried_over
        && change.methods == expected_difference(&active_lists.methods, &new_lists.methods)
        && change.tenants == expected_difference(&active_lists.tenants, &new_lists.tenants)
        && change.is_empty() == is_same
        && change.decision_keys.is_empty()
        && change.restart_keys.is_empty()
}

#[test]
fn comparison_by_name_matches_a_linear_search() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(14, 11));
    check.quickcheck(matches_linear_search as fn(_, _) -> bool);
}

/// Whether each index in the old list is carried over at most once and to the same name, and each name that is in both
/// lists has one.
fn is_carried_over_once(old: &[String], new: &[String], indexes: &[Option<usize>]) -> bool {
    let mut carried: Vec<_> = indexes.iter().flatten().collect();
    let count = carried.len();
    carried.sort();
    carried.dedup();
    let pairs = || new.iter().zip(indexes);
    let to_same_name =
        |(name, index): (&String, &Option<usize>)| index.is_none_or(|index| old[index] == *name);
    let is_carried = |name: &String| pairs().any(|(other, index)| other == name && index.is_some());
    carried.len() == count
        && indexes.len() == new.len()
        && pairs().all(to_same_name)
        && new.iter().filter(|name| old.contains(name)).all(is_carried)
}

fn duplicates_are_carried_over_once(active: Lists, new: Lists) -> bool {
    let active = parsed(&active.settings());
    let new = parsed(&new.settings());
    let CarriedOver { methods, tenants } = Change::between(&active, &new).carried_over;
    is_carried_over_once(&active.methods, &new.methods, &methods)
        && is_carried_over_once(&active.tenants, &new.tenants, &tenants)
}

#[test]
fn state_of_duplicate_names_is_carried_over_once() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(20, 12));
    check.quickcheck(duplicates_are_carried_over_once as fn(_, _) -> bool);
}

/// The active settings, and new settings with one changed key.
struct ChangedSettings {
    active: ParsedSettings,
    new: ParsedSettings,
}

/// Changes a key of a section of minimal settings; with an empty section, a key of the object itself.
fn change_key(section: &str, key: &str, value: Value) -> ChangedSettings {
    let mut settings = Lists::minimal().settings();
    let active = parsed(&settings);
    match section {
        "" => settings[key] = value,
        section => settings[section][key] = value,
    }
    ChangedSettings {
        active,
        new: parsed(&settings),
    }
}

/// Returns the path of a key in a settings object.
fn path(section: &str, key: &str) -> String {
    if section.is_empty() {
        key.to_owned()
    } else {
        format!("{section}.{key}")
    }
}

#[test]
fn decision_keys_are_listed_and_applied() {
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
        let ChangedSettings { active, new } = change_key(section, key, value);
        let change = Change::between(&active, &new);
        let key = path(section, key);
        assert_eq!(change.decision_keys, [key.as_str()]);
        assert!(change.restart_keys.is_empty(), "{key}");
        let applied = new.clone().with_restart_keys_from(&active);
        assert_eq!(applied.settings, new.settings, "{key}");
    }
}

#[test]
fn restart_keys_are_listed_and_keep_their_active_value() {
    for (section, key, value) in [
        ("", "membership-mode", json!("on_request")),
        ("", "failure-domains", json!(["b", "a"])),
        ("", "my-zone", json!("b")),
        ("", "weight-source", json!("nominal")),
        ("ceilings", "connect-timeout-ns", json!(3e9)),
        ("ceilings", "conn-idle-ns", json!(3e9)),
    ] {
        let ChangedSettings { active, new } = change_key(section, key, value);
        let change = Change::between(&active, &new);
        let key = format!("settings.{}", path(section, key));
        assert!(change.is_empty(), "{key}");
        assert_eq!(change.restart_keys, [key.as_str()]);
        let mut applied = new.with_restart_keys_from(&active);
        applied.digest = active.digest;
        assert_eq!(applied, active, "{key}");
    }
}

/// Returns the digest of a settings object.
fn digest(value: &Value) -> u64 {
    parsed(value).digest
}

#[test]
fn digest_does_not_depend_on_the_order_of_keys() {
    let settings = Lists::minimal().settings();
    let fields = settings.as_object().expect("an object").iter().rev();
    let fields: Vec<_> = fields
        .map(|(key, value)| format!(" {key:?} : {value}"))
        .collect();
    let reversed = format!("{{{}}}", fields.join(","));
    let reversed: Value = serde_json::from_str(&reversed).expect("JSON");
    let text: Value = serde_json::from_str(&settings.to_string()).expect("JSON");
    assert_eq!(digest(&reversed), digest(&text));
}

#[test]
fn digest_does_not_depend_on_the_own_zone() {
    let settings = Lists::minimal().settings();
    let mut other_zone = settings.clone();
    other_zone["my-zone"] = "b".into();
    assert_eq!(digest(&other_zone), digest(&settings));
}

#[test]
fn digest_depends_on_methods_and_tenants() {
    let settings = Lists::minimal().settings();
    let mut other_method = Lists::minimal();
    other_method.methods[0].value = 2;
    assert_ne!(digest(&other_method.settings()), digest(&settings));
    let mut other_tenant = Lists::minimal();
    other_tenant.tenants[0].name = 1;
    assert_ne!(digest(&other_tenant.settings()), digest(&settings));
}
