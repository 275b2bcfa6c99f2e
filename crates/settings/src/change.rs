//! Comparison of the active settings with new ones.

use crate::list_difference::{ListDifference, NamedList, compare};
use crate::parsed::ParsedSettings;
use crate::{decision_keys, restart};
use birchhub::interface::{CarriedOver, MethodSettings, TenantSettings};
use std::fmt;

/// The difference between two settings objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    /// Index of each method and tenant in the active settings, matched by name.
    pub carried_over: CarriedOver,
    /// How the methods differ.
    pub methods: ListDifference,
    /// How the tenants differ.
    pub tenants: ListDifference,
    /// Whether the lists of method or tenant names differ, also if only in their order.
    pub reordered: bool,
    /// Other keys that differ and affect decisions as soon as they are applied.
    pub decision_keys: Vec<&'static str>,
    /// Keys that differ and take effect only when the proxy is restarted.
    pub restart_keys: Vec<&'static str>,
}

impl Change {
    /// Returns the difference between the active settings and new ones.
    pub fn between(active: &ParsedSettings, new: &ParsedSettings) -> Self {
        let methods = compare(&methods(active), &methods(new));
        let tenants = compare(&tenants(active), &tenants(new));
        Self {
            carried_over: CarriedOver {
                methods: methods.carried_over,
                tenants: tenants.carried_over,
            },
            methods: methods.difference,
            tenants: tenants.difference,
            reordered: active.methods != new.methods || active.tenants != new.tenants,
            decision_keys: decision_keys::differing_keys(&active.settings, &new.settings),
            restart_keys: restart::differing_keys(active, new),
        }
    }

    /// Whether applying the new settings has no effect. Keys that take effect only at a restart may differ.
    pub fn is_empty(&self) -> bool {
        self.methods.is_empty()
            && self.tenants.is_empty()
            && !self.reordered
            && self.decision_keys.is_empty()
    }
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            methods, tenants, ..
        } = self;
        write!(formatter, "methods {methods}; tenants {tenants}")?;
        if !self.decision_keys.is_empty() {
            let keys = self.decision_keys.join(", ");
            write!(formatter, "; other keys: {keys}")?;
        }
        Ok(())
    }
}

fn methods(parsed: &ParsedSettings) -> NamedList<'_, MethodSettings> {
    NamedList {
        names: &parsed.methods,
        values: &parsed.settings.methods,
    }
}

fn tenants(parsed: &ParsedSettings) -> NamedList<'_, TenantSettings> {
    NamedList {
        names: &parsed.tenants,
        values: &parsed.settings.tenants,
    }
}
