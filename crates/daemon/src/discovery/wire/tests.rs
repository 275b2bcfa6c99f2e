use super::*;
use serde_json::json;

fn decode(value: &Value) -> EndpointUpdate {
    EndpointUpdate::decode(value).expect("an endpoint list")
}

#[test]
fn calls_have_the_path_and_parameters_of_the_protocol() {
    assert_eq!(snapshot_path(), "/registry/instances");
    assert_eq!(
        changes_path(7, Duration::from_millis(3500)),
        "/registry/instances?from=7&hold_ms=3500"
    );
}

#[test]
fn all_values_of_an_entry_are_decoded() {
    let update = decode(&json!({"rev": 7, "all": true, "targets": [{
        "uid": "s-1", "endpoint": "127.0.0.1:80", "az": "east", "pod_group": 4, "state": "Ready",
        "capacity_hint": 2.5, "boot_ms": 1000.0,
    }]}));
    let expected = ListedEndpoint {
        uid: "s-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "east".to_owned(),
        cell: Some(4),
        readiness: Readiness::Ready,
        size: 2.5,
        started_at_ms: 1000.0,
    };
    assert_eq!(update.version, 7);
    assert_eq!(update.kind, EndpointUpdateKind::Snapshot);
    assert_eq!(update.endpoints, [expected]);
    assert_eq!(update.changed_since, None);
}

#[test]
fn missing_and_malformed_values_have_defaults() {
    let update = decode(&json!({"rev": 1, "all": false, "targets": [
        {"uid": "s-1", "endpoint": 5, "az": 5, "pod_group": "x", "capacity_hint": 0, "boot_ms": "x"},
        {"endpoint": "127.0.0.1:80", "state": "Ready"},
    ]}));
    let expected = ListedEndpoint {
        uid: "s-1".to_owned(),
        address: SocketAddr::from(INVALID_ADDRESS),
        zone: String::new(),
        cell: None,
        readiness: Readiness::Draining,
        size: 1.0,
        started_at_ms: 0.0,
    };
    assert_eq!(update.kind, EndpointUpdateKind::Incremental);
    assert_eq!(
        update.endpoints,
        [expected],
        "an entry without a uid is ignored"
    );
}

#[test]
fn the_readiness_follows_the_state_and_the_address() {
    for (state, address, expected) in [
        ("Ready", "127.0.0.1:80", Readiness::Ready),
        ("Ready", "nowhere", Readiness::Draining),
        ("Terminating", "127.0.0.1:80", Readiness::Draining),
        ("Dreaming", "127.0.0.1:80", Readiness::Draining),
        ("Gone", "127.0.0.1:80", Readiness::Removed),
        ("Gone", "nowhere", Readiness::Removed),
    ] {
        let entry = json!({"uid": "s-1", "state": state, "endpoint": address});
        let endpoint = decode_endpoint(&entry).expect("an endpoint");
        assert_eq!(endpoint.readiness, expected, "{state} at {address}");
    }
}

#[test]
fn the_error_names_the_missing_key() {
    for (value, expected) in [
        (json!({"rev": "x"}), "rev is not a number"),
        (json!({"rev": 1}), "all is not true or false"),
        (json!({"rev": 1, "all": true}), "targets is not a list"),
    ] {
        let error = EndpointUpdate::decode(&value).expect_err("no endpoint list");
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn an_encoded_list_is_decoded_to_the_same_entries() {
    let update = decode(&json!({"rev": 7, "all": true, "targets": [
        {"uid": "s-1", "endpoint": "127.0.0.1:80", "az": "east", "pod_group": 4, "state": "Ready",
            "capacity_hint": 2.5, "boot_ms": 1796664916637.25},
        {"uid": "s-2", "endpoint": "127.0.0.1:81", "state": "Terminating"},
    ]}));
    let text = EndpointUpdate::encode_snapshot(update.version, &update.endpoints);
    assert_eq!(EndpointUpdate::parse(&text).expect("a list"), update);
}
