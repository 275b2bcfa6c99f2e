//! The keys of the settings object, besides methods and accounts, whose values bind decisions as soon as they change.

use birchhub::interface::Settings;

/// A key by its path, and whether its values differ.
type ComparedKey = (&'static str, fn(&Settings, &Settings) -> bool);

const DECISION_KEYS: [ComparedKey; 21] = [
    ("balancers", |a, b| a.proxy_count != b.proxy_count),
    ("ceilings.most-picks", |a, b| {
        a.max_attempts != b.max_attempts
    }),
    ("ceilings.cancel", |a, b| a.can_cancel != b.can_cancel),
    ("ceilings.probes", |a, b| {
        a.can_health_check != b.can_health_check
    }),
    ("extra.warm-keys", |a, b| a.key_affinity != b.key_affinity),
    ("ceilings.second-copies", |a, b| a.can_hedge != b.can_hedge),
    ("ceilings.max-retry-after-ns", |a, b| {
        a.max_retry_after != b.max_retry_after
    }),
    ("penalties.probe", |a, b| {
        a.health_check_cost != b.health_check_cost
    }),
    ("penalties.cross-zone", |a, b| {
        a.cross_zone_cost != b.cross_zone_cost
    }),
    ("goal.log-loss-part", |a, b| {
        a.log_loss_weight != b.log_loss_weight
    }),
    ("goal.nines-wanted", |a, b| a.target_nines != b.target_nines),
    ("report.how", |a, b| {
        a.load_report_source != b.load_report_source
    }),
    ("report.fields", |a, b| {
        a.reports_include_queue != b.reports_include_queue
    }),
    ("contract.ask-within-ns", |a, b| {
        a.max_poll_interval != b.max_poll_interval
    }),
    ("contract.drain-grace-ns", |a, b| {
        a.drain_grace != b.drain_grace
    }),
    ("contract.removal-not-binding", |a, b| {
        a.only_draining_is_binding != b.only_draining_is_binding
    }),
    ("contract.key-quiet-ns", |a, b| {
        a.key_cooldown != b.key_cooldown
    }),
    ("contract.cold-from", |a, b| {
        a.slow_start_initial_fraction != b.slow_start_initial_fraction
    }),
    ("contract.cold-ns", |a, b| {
        a.slow_start_duration != b.slow_start_duration
    }),
    ("contract.fall-multiple", |a, b| {
        a.overload_multiple != b.overload_multiple
    }),
    ("contract.tip-after-ns", |a, b| {
        a.overload_window != b.overload_window
    }),
];

/// The keys whose values differ.
pub(crate) fn differing(before: &Settings, now: &Settings) -> Vec<&'static str> {
    let differing = DECISION_KEYS
        .iter()
        .filter(|(_, differs)| differs(before, now));
    differing.map(|(key, _)| *key).collect()
}

/// Does not compile once `Settings` has another field: it belongs in [`DECISION_KEYS`], or among those marked here that
/// are compared elsewhere.
const _: fn(&Settings) = |settings| {
    let Settings {
        methods: _,             // by name
        tenants: _,             // by name
        own_zone: _,            // restart
        zone_count: _,          // restart
        polls_endpoint_list: _, // restart
        proxy_count: _,
        max_attempts: _,
        can_cancel: _,
        can_health_check: _,
        key_affinity: _,
        can_hedge: _,
        max_retry_after: _,
        health_check_cost: _,
        cross_zone_cost: _,
        log_loss_weight: _,
        target_nines: _,
        load_report_source: _,
        reports_include_queue: _,
        max_poll_interval: _,
        drain_grace: _,
        only_draining_is_binding: _,
        key_cooldown: _,
        slow_start_initial_fraction: _,
        slow_start_duration: _,
        overload_multiple: _,
        overload_window: _,
    } = settings;
};
