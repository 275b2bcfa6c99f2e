//! The keys of the settings object that take effect at the next start of a proxy only.

use crate::parsed::ParsedSettings;
use birchhub::interface::Settings;

/// Returns the keys whose values differ, by their path in the configuration file.
pub(crate) fn differing(before: &ParsedSettings, now: &ParsedSettings) -> Vec<&'static str> {
    let same_zones = before.zones == now.zones;
    let other_own_zone = before.settings.own_zone != now.settings.own_zone;
    let other_list_mode = before.settings.polls_endpoint_list != now.settings.polls_endpoint_list;
    let keys = [
        ("settings.membership-mode", other_list_mode),
        ("settings.failure-domains", !same_zones),
        // The index of the own zone can be compared only among the same zones.
        ("settings.my-zone", same_zones && other_own_zone),
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
    ];
    keys.into_iter()
        .filter_map(|(key, differs)| differs.then_some(key))
        .collect()
}

/// Returns the new settings with the active values of the keys that take effect at a start only.
pub fn with_restart_keys_from(active: &Settings, new: Settings) -> Settings {
    Settings {
        own_zone: active.own_zone,
        zone_count: active.zone_count,
        polls_endpoint_list: active.polls_endpoint_list,
        ..new
    }
}

impl ParsedSettings {
    /// Returns these settings with the active values of the keys that take effect at a start only.
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
