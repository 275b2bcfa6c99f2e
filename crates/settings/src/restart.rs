//! Comparison of the keys that take effect only when the proxy is restarted.

use crate::parsed::ParsedSettings;
use birchhub::interface::Settings;

/// Returns the keys whose values differ, as paths in the configuration file.
pub(crate) fn differing_keys(active: &ParsedSettings, new: &ParsedSettings) -> Vec<&'static str> {
    let same_zones = active.zones == new.zones;
    let own_zone_differs = active.settings.own_zone != new.settings.own_zone;
    let polling_differs = active.settings.polls_endpoint_list != new.settings.polls_endpoint_list;
    let keys = [
        ("settings.membership-mode", polling_differs),
        ("settings.failure-domains", !same_zones),
        // The indexes of the own zone can be compared only if they refer to the same list of zones.
        ("settings.my-zone", same_zones && own_zone_differs),
        (
            "settings.weight-source",
            active.lists_endpoint_sizes != new.lists_endpoint_sizes,
        ),
        (
            "settings.ceilings.connect-timeout-ns",
            active.connect_timeout != new.connect_timeout,
        ),
        (
            "settings.ceilings.conn-idle-ns",
            active.idle_timeout != new.idle_timeout,
        ),
    ];
    keys.into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
}

/// Returns the new settings, but with the active values of the keys that take effect only at a restart.
pub fn with_restart_keys_from(active: &Settings, new: Settings) -> Settings {
    Settings {
        own_zone: active.own_zone,
        zone_count: active.zone_count,
        polls_endpoint_list: active.polls_endpoint_list,
        ..new
    }
}

impl ParsedSettings {
    /// Returns these settings, but with the active values of the keys that take effect only at a restart.
    pub fn with_restart_keys_from(self, active: &Self) -> Self {
        Self {
            settings: with_restart_keys_from(&active.settings, self.settings),
            zones: active.zones.clone(),
            lists_endpoint_sizes: active.lists_endpoint_sizes,
            connect_timeout: active.connect_timeout,
            idle_timeout: active.idle_timeout,
            ..self
        }
    }
}
