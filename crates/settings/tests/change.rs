//! The comparison of settings, against a plain model of it over generated pairs.
use birchhub::interface::CarriedOver;
use birchhub_settings::change::Change;
use birchhub_settings::{ParsedSettings, parse_value};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

/// Settings whose methods and tenants are these, each a name and a figure that sets it apart.
fn object(methods: &[(u8, u8)], tenants: &[(u8, u8)]) -> Value {
    let method = |(name, figure): &(u8, u8)| {
        json!({"name": format!("m{}", name % 12), "idempotency": "read_like", "utility": figure % 3,
            "latency-target-ns": 1e8})
    };
    let tenant = |(name, figure): &(u8, u8)| json!({"name": format!("t{}", name % 12), "quota-per-s": figure % 3});
    json!({"balancers": 2, "ceilings": {"most-picks": 3}, "failure-domains": ["a", "b"], "my-zone": "a",
        "methods": methods.iter().map(method).collect::<Vec<_>>(),
        "accounts": tenants.iter().map(tenant).collect::<Vec<_>>(),
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}})
}

fn conf(value: &Value) -> ParsedSettings {
    parse_value(value).expect("settings")
}

/// Those of these names that are there once, so that a plain search tells all there is to tell.
fn once(mut list: Vec<(u8, u8)>) -> Vec<(u8, u8)> {
    let mut seen = [false; 12];
    list.retain(|(name, _)| !std::mem::replace(&mut seen[usize::from(*name % 12)], true));
    list
}

type Lists = (Vec<(u8, u8)>, Vec<(u8, u8)>);

#[expect(clippy::too_many_lines)]
fn is_as_a_plain_search(before: Lists, now: Lists) -> bool {
    let (before, now) = ((once(before.0), once(before.1)), (once(now.0), once(now.1)));
    let (old, new) = (
        conf(&object(&before.0, &before.1)),
        conf(&object(&now.0, &now.1)),
    );
    let change = Change::between(&old, &new);
    let place = |names: &[String], name: &String| names.iter().position(|n| n == name);
    let kept = CarriedOver {
        methods: new
            .methods
            .iter()
            .map(|name| place(&old.methods, name))
            .collect(),
        tenants: new
            .tenants
            .iter()
            .map(|name| place(&old.tenants, name))
            .collect(),
    };
    let counts = |before: &[(u8, u8)], now: &[(u8, u8)]| {
        let find =
            |list: &[(u8, u8)], name: u8| list.iter().find(|(n, _)| n % 12 == name % 12).copied();
        let (mut added, mut changed) = (0, 0);
        for (name, figure) in now {
            match find(before, *name) {
                None => added += 1,
                Some((_, was)) => changed += usize::from(was % 3 != figure % 3),
            }
        }
        let removed = before
            .iter()
            .filter(|(name, _)| find(now, *name).is_none())
            .count();
        (added, changed, removed, now.len())
    };
    let told = |count: birchhub_settings::change::ListDifference| {
        (count.added, count.changed, count.removed, count.total)
    };
    let stays =
        old.settings == new.settings && old.methods == new.methods && old.tenants == new.tenants;
    change.carried_over == kept
        && told(change.methods) == counts(&before.0, &now.0)
        && told(change.tenants) == counts(&before.1, &now.1)
        && change.is_none() == stays
        && change.decision_keys.is_empty()
        && change.restart_keys.is_empty()
}

#[test]
fn names_are_matched_as_by_a_plain_search() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(14, 11));
    check.quickcheck(is_as_a_plain_search as fn(_, _) -> bool);
}

/// Lists in which names come twice: no place goes on twice, each one that goes on bears the name, and no count lies.
fn twins_share_nothing(before: Lists, now: Lists) -> bool {
    let (old, new) = (
        conf(&object(&before.0, &before.1)),
        conf(&object(&now.0, &now.1)),
    );
    let change = Change::between(&old, &new);
    let fair = |old: &[String], new: &[String], kept: &[Option<usize>]| {
        let mut places: Vec<_> = kept.iter().flatten().collect();
        let all = places.len();
        places.sort();
        places.dedup();
        let named = new
            .iter()
            .zip(kept)
            .all(|(name, was)| was.is_none_or(|was| old[was] == *name));
        // Every name that is on both sides goes on in some place.
        let goes_on = |name: &String| {
            new.iter()
                .zip(kept)
                .any(|(n, was)| n == name && was.is_some())
        };
        let both = new.iter().filter(|name| old.contains(name)).all(goes_on);
        places.len() == all && kept.len() == new.len() && named && both
    };
    fair(&old.methods, &new.methods, &change.carried_over.methods)
        && fair(&old.tenants, &new.tenants, &change.carried_over.tenants)
}

#[test]
fn names_that_come_twice_go_on_once() {
    let mut check = QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(20, 12));
    check.quickcheck(twins_share_nothing as fn(_, _) -> bool);
}

/// Each key that differs is named: in force now, or at the next start, where it then stays as it was.
#[test]
#[expect(clippy::too_many_lines)]
fn each_key_is_told_by_when_it_binds() {
    let plain = object(&[(0, 1)], &[(0, 1)]);
    let old = conf(&plain);
    let with = |place: &str, key: &str, value: Value| {
        let mut other = plain.clone();
        match place {
            "" => other[key] = value,
            place => other[place][key] = value,
        }
        conf(&other)
    };
    for (place, key, value) in [
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
        let new = with(place, key, value);
        let change = Change::between(&old, &new);
        let named = if place.is_empty() {
            key.to_owned()
        } else {
            format!("{place}.{key}")
        };
        assert_eq!(
            (change.decision_keys, change.restart_keys),
            (vec![named.as_str()], vec![]),
            "{named}"
        );
        assert_eq!(
            new.clone().with_restart_keys_from(&old).settings,
            new.settings,
            "{named}"
        );
    }
    for (place, key, value) in [
        ("", "membership-mode", json!("on_request")),
        ("", "failure-domains", json!(["b", "a"])),
        ("", "my-zone", json!("b")),
        ("", "weight-source", json!("nominal")),
        ("ceilings", "connect-timeout-ns", json!(3e9)),
        ("ceilings", "conn-idle-ns", json!(3e9)),
    ] {
        let new = with(place, key, value);
        let change = Change::between(&old, &new);
        let named = if place.is_empty() {
            format!("settings.{key}")
        } else {
            format!("settings.{place}.{key}")
        };
        assert!(change.is_none(), "{named}");
        assert_eq!(change.restart_keys, [named.as_str()]);
        let stays = new.clone().with_restart_keys_from(&old);
        assert_eq!(
            ParsedSettings {
                digest: old.digest,
                ..stays
            },
            old,
            "{named}"
        );
    }
}

/// The digest is of what is told, however it is written; the zone is each proxy's own.
#[test]
fn the_digest_is_that_of_the_object() {
    let plain = object(&[(0, 1)], &[(0, 1)]);
    let digest = |value: &Value| conf(value).digest;
    let text = plain.to_string();
    let mut turned = String::from("{");
    let fields: Vec<_> = plain.as_object().expect("an object").iter().rev().collect();
    turned += &fields
        .iter()
        .map(|(key, value)| format!(" {key:?} : {value}"))
        .collect::<Vec<_>>()
        .join(",");
    let turned: Value = serde_json::from_str(&(turned + "}")).expect("JSON");
    assert_eq!(
        digest(&turned),
        digest(&serde_json::from_str(&text).expect("JSON"))
    );
    let mut elsewhere = plain.clone();
    elsewhere["my-zone"] = "b".into();
    assert_eq!(digest(&elsewhere), digest(&plain));
    assert_ne!(digest(&object(&[(0, 2)], &[(0, 1)])), digest(&plain));
    assert_ne!(digest(&object(&[(0, 1)], &[(1, 1)])), digest(&plain));
}
