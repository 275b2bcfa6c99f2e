//! What settings and load reports are read as, and how what can't be read is named.
use birchhub::interface::Settings;
use birchhub_settings::{ParsedSettings, parse, parse_load_report, parse_value};
use serde_json::{Value, json};

/// Guards against reports that say nothing because their names are those of the other page.
#[test]
fn reports_are_read_by_either_name() {
    for text in ["concurrent=7,depth=2,new=x", " inflight=7,queue=2\n"] {
        let load = parse_load_report(text, '=').expect("a report");
        assert_eq!(
            (load.in_flight, load.queued, load.utilisation),
            (Some(7.0), Some(2.0), None)
        );
    }
    assert!(
        parse_load_report("inflight", '=').is_err()
            && parse_load_report("inflight=many", '=').is_err()
    );
    assert_eq!(
        parse_load_report("util=-1", '=')
            .expect("a report")
            .utilisation,
        None
    );
}
/// A deployment's settings with the further ones changed.
fn further(change: impl FnOnce(&mut Value)) -> Result<Settings, String> {
    conf(change).map(|conf| conf.settings)
}

fn conf(change: impl FnOnce(&mut Value)) -> Result<ParsedSettings, String> {
    let mut value = json!({"balancers": 2, "ceilings": {"most-picks": 3},
        "methods": [{"name": "move", "idempotency": "non_idempotent", "latency-target-ns": 4e8}],
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}});
    change(&mut value);
    parse_value(&value)
}

/// Guards against a figure of one deployment that stands in for what another does not tell, and against times that no
/// clock can hold.
#[test]
fn what_is_not_told_is_nobodys_figure() {
    let untold = conf(|_| ()).expect("settings");
    assert_eq!(
        (
            untold.settings.poll_within,
            untold.connect_timeout,
            untold.idle_timeout
        ),
        (2.0, 1.0, 1.0)
    );
    assert_eq!(untold.longest_deadline, None);
    let odd = conf(|conf| {
        conf["ceilings"]["connect-timeout-ns"] = 0.into();
        conf["ceilings"]["conn-idle-ns"] = 1e300.into();
        conf["methods"][0]["hard-limit-ns"] = u64::MAX.into();
    });
    let odd = odd.expect("settings");
    assert_eq!(
        (odd.connect_timeout, odd.idle_timeout, odd.longest_deadline),
        (1e9, 1e9, Some(1e9))
    );
    let two = conf(|conf| {
        let mut second = conf["methods"][0].clone();
        second["hard-limit-ns"] = 2_000_000_000.into();
        conf["methods"]
            .as_array_mut()
            .expect("methods")
            .push(second);
    });
    assert_eq!(
        two.expect("settings").longest_deadline,
        None,
        "one of them is not told"
    );
}

#[test]
fn further_settings_are_read_and_change_nothing_where_they_are_absent() {
    let plain = further(|_| ()).expect("settings");
    assert_eq!(
        (
            plain.key_cooldown,
            plain.only_draining_is_binding,
            plain.methods[0].ordered_by_key
        ),
        (0.0, false, false)
    );
    assert_eq!((plain.log_loss_weight, plain.target_nines), (0.0, 0.0));
    let told = further(|conf| {
        conf["methods"][0]["keep-order"] = true.into();
        conf["contract"]["key-quiet-ns"] = 50_000_000.into();
        conf["contract"]["removal-not-binding"] = true.into();
        conf["goal"] = json!({"log-loss-part": 0.4, "nines-wanted": 2.0});
    });
    let told = told.expect("settings");
    assert_eq!(
        (
            told.key_cooldown,
            told.only_draining_is_binding,
            told.methods[0].ordered_by_key
        ),
        (0.05, true, true)
    );
    assert_eq!((told.log_loss_weight, told.target_nines), (0.4, 2.0));
}

#[test]
fn wrong_further_settings_name_place_and_value() {
    let wrong = [
        (
            "contract",
            "key-quiet-ns",
            json!(-1),
            "contract.key-quiet-ns is not a number of 0 or more: -1",
        ),
        (
            "contract",
            "key-quiet-ns",
            json!("5"),
            "contract.key-quiet-ns is not a number of 0 or more: \"5\"",
        ),
        (
            "contract",
            "removal-not-binding",
            json!(1),
            "contract.removal-not-binding is not true or false: 1",
        ),
        (
            "goal",
            "nines-wanted",
            json!(0),
            "goal.nines-wanted is 0: what is lost could not be set against it",
        ),
        (
            "goal",
            "log-loss-part",
            json!([]),
            "goal.log-loss-part is not a number of 0 or more: []",
        ),
    ];
    for (part, key, value, fault) in wrong {
        assert_eq!(
            further(|conf| conf[part][key] = value).err().as_deref(),
            Some(fault)
        );
    }
    let fault = further(|conf| conf["methods"][0]["keep-order"] = "yes".into()).err();
    assert_eq!(
        fault.as_deref(),
        Some("methods[0].keep-order is not true or false: \"yes\"")
    );
}

/// Accounts are read one by one from the text: as from the parsed object, also where one is odd or wrong.
#[test]
fn accounts_are_read_alike_from_text_and_object() {
    let mut settings = json!({"balancers": 2, "ceilings": {"most-picks": 3}, "my-zone": "a", "methods": [],
        "contract": {"drain-grace-ns": 5e8, "cold-from": 0.2, "cold-ns": 5e9, "fall-multiple": 3.0,
            "tip-after-ns": 1e9}});
    for accounts in [
        Value::Null,
        json!([]),
        json!({}),
        json!("many"),
        json!([{"name": "a\"\\\u{e9}", "quota-per-s": 3}, {"quota-per-s": 1e300, "name": "b", "more": [{}]}]),
        json!([{"name": "a", "quota-per-s": 3}, {"name": "b", "quota-per-s": -1}]),
        json!([{"name": "a", "quota-per-s": "3"}]),
        json!([{"name": "a", "quota-per-s": null}]),
        json!([{"name": 7, "quota-per-s": 1}]),
        json!([{"quota-per-s": 1}, 5]),
    ] {
        settings["accounts"] = accounts;
        let text = settings.to_string();
        assert_eq!(parse(&text), parse_value(&settings), "{text}");
        assert_eq!(
            parse(&format!(" {text}\n")),
            parse_value(&settings),
            "{text}"
        );
    }
    assert!(parse("[]").is_err_and(|fault| fault == "ceilings is missing"));
    assert!(parse("null").is_err_and(|fault| fault == "ceilings is missing"));
    assert!(parse("{\"a\":").is_err_and(|fault| fault.starts_with("is not JSON: ")));
}
