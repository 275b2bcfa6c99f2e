//! Comparison of the keys, besides methods and accounts, whose values affect decisions as soon as they change.

use birchhub::interface::Settings;

/// Defines the comparison of the listed fields. Each is given with the path of its key in the settings object. Fields that
/// other modules compare are listed apart, so that the comparison does not compile if a new field is in neither list.
macro_rules! compare_fields {
    (
        decision_keys: { $($field:ident: $key:literal,)* },
        compared_elsewhere: [ $($other:ident,)* ] $(,)?
    ) => {
        /// Returns the keys whose values differ.
        pub(crate) fn differing(before: &Settings, now: &Settings) -> Vec<&'static str> {
            let Settings { $($field,)* $($other: _,)* } = before;
            let mut keys = Vec::new();
            $(
                if *$field != now.$field {
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
    // Methods and tenants are compared by name, the others take effect at a restart.
    compared_elsewhere: [
        methods,
        tenants,
        own_zone,
        zone_count,
        polls_endpoint_list,
    ],
}
