//! The keys of the settings object that take effect at the next start of a proxy only.

use crate::parsed::ParsedSettings;
use birchhub::interface::Settings;

/// A key by its path in the configuration, and whether its values differ.
type ComparedKey = (&'static str, fn(&ParsedSettings, &ParsedSettings) -> bool);

const RESTART_KEYS: [ComparedKey; 6] = [
    ("settings.membership-mode", |before, now| {
        before.settings.polls_endpoint_list != now.settings.polls_endpoint_list
    }),
    ("settings.failure-domains", |before, now| {
        before.zones != now.zones
    }),
    // Among other zones the index of the own one says nothing.
    ("settings.my-zone", |before, now| {
        before.zones == now.zones && before.settings.own_zone != now.settings.own_zone
    }),
    ("settings.weight-source", |before, now| {
        before.lists_endpoint_sizes != now.lists_endpoint_sizes
    }),
    ("settings.ceilings.connect-timeout-ns", |before, now| {
        before.connect_timeout != now.connect_timeout
    }),
    ("settings.ceilings.conn-idle-ns", |before, now| {
        before.idle_timeout != now.idle_timeout
    }),
];

/// The keys whose values differ.
pub(crate) fn differing(before: &ParsedSettings, now: &ParsedSettings) -> Vec<&'static str> {
    let differing = RESTART_KEYS
        .iter()
        .filter(|(_, differs)| differs(before, now));
    differing.map(|(key, _)| *key).collect()
}

/// The new settings, but with the active values of the keys that need a restart.
pub fn with_restart_keys_from(active: &Settings, new: Settings) -> Settings {
    Settings {
        own_zone: active.own_zone,
        zone_count: active.zone_count,
        polls_endpoint_list: active.polls_endpoint_list,
        ..new
    }
}

impl ParsedSettings {
    /// The new settings, but with the active values of the keys that need a restart.
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
