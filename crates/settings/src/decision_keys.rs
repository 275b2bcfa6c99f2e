//! Comparison of the keys that affect decisions as soon as new settings are applied, except methods and accounts.

use birchhub::interface::Settings;

/// Defines `differing_keys`, which compares the fields in `decision_keys`. Each of them is given with the path of its
/// key in the settings object. The fields that other modules compare are listed in `compared_elsewhere`: the function
/// destructures [`Settings`] completely, so that it does not compile if a new field is in neither list.
macro_rules! compare_fields {
    (
        decision_keys: { $($field:ident: $key:literal,)* },
        compared_elsewhere: [ $($other:ident,)* ] $(,)?
    ) => {
        /// Returns the paths of the keys whose values differ.
        pub(crate) fn differing_keys(active: &Settings, new: &Settings) -> Vec<&'static str> {
            let Settings { $($field,)* $($other: _,)* } = active;
            let mut keys = Vec::new();
            $(
                if *$field != new.$field {
                    keys.push($key);
                }
            )*
            keys
        }
    };
}

compare_fields! {
    decision_keys: {
        proxy_count: "balancers",
        max_attempts: "ceilings.most-picks",
        can_cancel: "ceilings.cancel",
        can_health_check: "ceilings.probes",
        key_affinity: "extra.warm-keys",
        can_hedge: "ceilings.second-copies",
        max_retry_after: "ceilings.max-retry-after-ns",
        health_check_cost: "penalties.probe",
        cross_zone_cost: "penalties.cross-zone",
        log_loss_weight: "goal.log-loss-part",
        target_nines: "goal.nines-wanted",
        load_report_source: "report.how",
        reports_include_queue: "report.fields",
        max_poll_interval: "contract.ask-within-ns",
        drain_grace: "contract.drain-grace-ns",
        only_draining_is_binding: "contract.removal-not-binding",
        key_cooldown: "contract.key-quiet-ns",
        slow_start_initial_fraction: "contract.cold-from",
        slow_start_duration: "contract.cold-ns",
        overload_multiple: "contract.fall-multiple",
        overload_window: "contract.tip-after-ns",
    },
    // `Change::between` compares methods and tenants by name. The other fields take effect only at a restart.
    compared_elsewhere: [
        methods,
        tenants,
        own_zone,
        zone_count,
        polls_endpoint_list,
    ],
}
