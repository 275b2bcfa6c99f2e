//! What turns from one settings object to the next: pure comparison, by name. Nothing here is put in force.
use crate::ParsedSettings;
use birchhub::interface::{CarriedOver, Settings};
use std::collections::HashMap;
use std::fmt;

/// How a list of named things differs from the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListDifference {
    pub added: usize,
    pub changed: usize,
    pub removed: usize,
    /// That there are now.
    pub total: usize,
}

impl ListDifference {
    fn is_none(&self) -> bool {
        (self.added, self.changed, self.removed) == (0, 0, 0)
    }
}

impl fmt::Display for ListDifference {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            added,
            changed,
            removed,
            total,
        } = self;
        write!(
            to,
            "{added} added, {changed} changed, {removed} removed, {total} in all"
        )
    }
}

/// What new settings change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Where each method and tenant stood before, by name.
    pub carried_over: CarriedOver,
    pub methods: ListDifference,
    pub tenants: ListDifference,
    /// Their order is another.
    pub reordered: bool,
    /// Other keys that change what is decided.
    pub decision_keys: Vec<&'static str>,
    /// Keys that differ and take effect at the next start only.
    pub restart_keys: Vec<&'static str>,
}

/// The place before of each name now, the last one where a name is there twice, and how they differ.
fn by_name<T: PartialEq>(
    (names_before, before): (&[String], &[T]),
    (names, now): (&[String], &[T]),
) -> (Vec<Option<usize>>, ListDifference) {
    // As a rule nothing moves: names are looked up only from where the lists part.
    let same = names
        .iter()
        .zip(names_before)
        .take_while(|(a, b)| a == b)
        .count();
    let known = |names: &[String]| {
        names
            .iter()
            .skip(same)
            .collect::<std::collections::HashSet<_>>()
            .len()
    };
    let places: HashMap<_, _> = names_before
        .iter()
        .enumerate()
        .skip(same)
        .map(|(n, name)| (name, n))
        .collect();
    // Each place goes on once: guards against one tenant's use counted for two of its name.
    let mut left = places.clone();
    let place = |(n, name)| if n < same { Some(n) } else { left.remove(name) };
    let kept: Vec<Option<usize>> = names.iter().enumerate().map(place).collect();
    let goes_on = kept.iter().skip(same).flatten().count();
    let pairs = kept.iter().zip(now);
    let changed = pairs
        .filter(|(was, now)| was.is_some_and(|was| before[was] != **now))
        .count();
    let count = ListDifference {
        added: known(names) - goes_on,
        changed,
        removed: places.len() - goes_on,
        total: names.len(),
    };
    (kept, count)
}

fn differing<const N: usize>(keys: [(&'static str, bool); N]) -> Vec<&'static str> {
    keys.into_iter()
        .filter(|(_, differs)| *differs)
        .map(|(key, _)| key)
        .collect()
}

/// Keys whose values bind decisions from the change on.
#[expect(clippy::too_many_lines)]
fn decision_keys(before: &Settings, now: &Settings) -> Vec<&'static str> {
    // By each field, so that none that is added can be forgotten here.
    let Settings {
        proxy_count: balancers,
        methods: _,
        tenants: _,
        max_attempts: most_picks,
        can_cancel: may_cancel,
        can_health_check: may_probe,
        key_affinity: warm_keys,
        can_hedge: second_copies,
        max_retry_after: come_back_max,
        health_check_cost: probe_price,
        cross_zone_cost: cross_price,
        own_zone: _,
        zone_count: _,
        log_loss_weight: log_loss_part,
        target_nines: nines_wanted,
        load_report_source: reports,
        reports_include_queue: reports_queue,
        polls_endpoint_list: _,
        poll_within: ask_within,
        drain_grace,
        only_draining_is_binding: only_draining_binds,
        key_cooldown: key_quiet,
        slow_start_initial_fraction: cold_from,
        slow_start_duration: cold_for,
        overload_multiple: fall_multiple,
        overload_window: fall_window,
    } = before;
    differing([
        ("balancers", *balancers != now.proxy_count),
        ("ceilings.most-picks", *most_picks != now.max_attempts),
        ("ceilings.cancel", *may_cancel != now.can_cancel),
        ("ceilings.probes", *may_probe != now.can_health_check),
        ("extra.warm-keys", *warm_keys != now.key_affinity),
        ("ceilings.second-copies", *second_copies != now.can_hedge),
        (
            "ceilings.max-retry-after-ns",
            *come_back_max != now.max_retry_after,
        ),
        ("penalties.probe", *probe_price != now.health_check_cost),
        ("penalties.cross-zone", *cross_price != now.cross_zone_cost),
        ("goal.log-loss-part", *log_loss_part != now.log_loss_weight),
        ("goal.nines-wanted", *nines_wanted != now.target_nines),
        ("report.how", *reports != now.load_report_source),
        ("report.fields", *reports_queue != now.reports_include_queue),
        ("contract.ask-within-ns", *ask_within != now.poll_within),
        ("contract.drain-grace-ns", *drain_grace != now.drain_grace),
        (
            "contract.removal-not-binding",
            *only_draining_binds != now.only_draining_is_binding,
        ),
        ("contract.key-quiet-ns", *key_quiet != now.key_cooldown),
        (
            "contract.cold-from",
            *cold_from != now.slow_start_initial_fraction,
        ),
        ("contract.cold-ns", *cold_for != now.slow_start_duration),
        (
            "contract.fall-multiple",
            *fall_multiple != now.overload_multiple,
        ),
        ("contract.tip-after-ns", *fall_window != now.overload_window),
    ])
}

impl Change {
    /// From the settings in force to those told now.
    pub fn between(before: &ParsedSettings, now: &ParsedSettings) -> Self {
        let (methods_kept, methods) = by_name(
            (&before.methods, &before.settings.methods),
            (&now.methods, &now.settings.methods),
        );
        let (tenants_kept, tenants) = by_name(
            (&before.tenants, &before.settings.tenants),
            (&now.tenants, &now.settings.tenants),
        );
        let restart_keys = differing([
            (
                "settings.membership-mode",
                before.settings.polls_endpoint_list != now.settings.polls_endpoint_list,
            ),
            ("settings.failure-domains", before.zones != now.zones),
            (
                "settings.my-zone",
                before.zones == now.zones && before.settings.own_zone != now.settings.own_zone,
            ),
            (
                "settings.weight-source",
                before.lists_endpoint_sizes != now.lists_endpoint_sizes,
            ),
            (
                "settings.ceilings.connect-timeout-ns",
                before.connect_timeout != now.connect_timeout,
            ),
            (
                "settings.ceilings.conn-idle-ns",
                before.idle_timeout != now.idle_timeout,
            ),
        ]);
        Self {
            carried_over: CarriedOver {
                methods: methods_kept,
                tenants: tenants_kept,
            },
            methods,
            tenants,
            reordered: before.methods != now.methods || before.tenants != now.tenants,
            decision_keys: decision_keys(&before.settings, &now.settings),
            restart_keys,
        }
    }

    /// What is in force would stay as it is.
    pub fn is_none(&self) -> bool {
        self.methods.is_none()
            && self.tenants.is_none()
            && !self.reordered
            && self.decision_keys.is_empty()
    }
}

impl fmt::Display for Change {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "methods {}; tenants {}", self.methods, self.tenants)?;
        if !self.decision_keys.is_empty() {
            write!(to, "; other keys: {}", self.decision_keys.join(", "))?;
        }
        Ok(())
    }
}

/// The new settings, with what can't change without a start as it was.
pub fn with_restart_keys_from(before: &Settings, now: Settings) -> Settings {
    Settings {
        own_zone: before.own_zone,
        zone_count: before.zone_count,
        polls_endpoint_list: before.polls_endpoint_list,
        ..now
    }
}

impl ParsedSettings {
    /// As `with_restart_keys_from` tells of `Settings`.
    pub fn with_restart_keys_from(self, before: &Self) -> Self {
        Self {
            settings: with_restart_keys_from(&before.settings, self.settings),
            zones: before.zones.clone(),
            lists_endpoint_sizes: before.lists_endpoint_sizes,
            connect_timeout: before.connect_timeout,
            idle_timeout: before.idle_timeout,
            ..self
        }
    }
}
