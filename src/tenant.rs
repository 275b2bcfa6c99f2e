//! What this proxy keeps of the tenants: their slices of the quotas and how much of them was used lately.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{CarriedOver, Settings};
use std::mem::take;
use std::rc::Rc;

/// Part of a quota counted as used at the start: about what is usual.
const USED_AT_START: f64 = 0.75;
/// Time over which use of a quota is counted, s: lets a short burst through ...
const MIN_WINDOW: f64 = 3.0;
/// ... or so many RPCs, if longer: their chance variation is covered by the margin in `policy::fairness`.
const MIN_WINDOW_RPCS: f64 = 20.0;

/// How an RPC stands to its tenant's quota.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum QuotaShare {
    /// Within the tenant's share.
    Within,
    /// On what other tenants leave unused of theirs.
    Borrowed,
    /// Beyond both.
    Beyond,
}

/// Usage of one tenant's quota at this proxy.
#[derive(Default)]
pub(crate) struct Tenant {
    /// RPCs in `window`: an even split of the quota over the proxies.
    pub quota_slice: f64,
    /// Fraction of its RPCs that the throttle admits at the most, as a method's.
    pub throttle: Rc<Ewma>,
    window: f64,
    used: DecayingCounter,
}

impl Tenant {
    /// For each of `count` tenants the one that it was before, or one without a slice.
    pub(crate) fn carried_over(
        before: Vec<Self>,
        indexes: &[Option<usize>],
        count: usize,
    ) -> impl Iterator<Item = Self> {
        let mut before: Vec<_> = before.into_iter().map(Some).collect();
        let mut take = move |index: usize| before.get_mut(index).and_then(Option::take);
        let indexes: Vec<_> = (0..count)
            .map(|n| indexes.get(n).copied().flatten())
            .collect();
        indexes
            .into_iter()
            .map(move |index| index.and_then(&mut take).unwrap_or_default())
    }

    /// The tenant with another slice: the rate that it has used stays what it was. One that had no slice
    /// starts with the fraction `used_at_start` of it counted as used.
    pub(crate) fn with_slice(
        self,
        quota_slice: f64,
        window: f64,
        used_at_start: f64,
        now: f64,
    ) -> Self {
        let had_slice = self.window > 0.0;
        let ratio = Some(window / self.window)
            .filter(|ratio| ratio.is_finite() && *ratio > 0.0)
            .unwrap_or(1.0);
        let used = if had_slice {
            self.used.read(now, self.window) * ratio
        } else {
            quota_slice * used_at_start
        };
        let tenant = Self {
            quota_slice,
            window,
            used: DecayingCounter::default(),
            throttle: self.throttle,
        };
        tenant.record(used, now);
        tenant
    }

    /// It has used its quota for so many RPCs.
    pub(crate) fn record(&self, rpcs: f64, now: f64) {
        self.used.add(rpcs, now, self.window);
    }

    /// Fraction of its slice that it has used lately.
    pub(crate) fn used_fraction(&self, now: f64) -> f64 {
        self.used.read(now, self.window) / self.quota_slice
    }
}

/// The tenants, and all of them taken together.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    /// Usage by all tenants of the sum of their quotas.
    pub all_tenants: Tenant,
    tenants: Vec<Tenant>,
}

impl TenantQuotas {
    /// Splits the quotas that settings say; what was used stays.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, carried: &CarriedOver, now: f64) {
        let with_quota = |quota: f64, tenant: Tenant| {
            // Two RPCs that come together must not put a small tenant over its share.
            let interval = settings.proxy_count as f64 / quota;
            let slice = MIN_WINDOW_RPCS.max(MIN_WINDOW / interval);
            let window = MIN_WINDOW.max(MIN_WINDOW_RPCS * interval);
            // One that starts has no unused quota behind it, or there would be a rush in its first second.
            tenant.with_slice(slice, window, USED_AT_START, now)
        };
        let tenants = &settings.tenants;
        let before = Tenant::carried_over(take(&mut self.tenants), &carried.tenants, tenants.len());
        self.tenants = tenants
            .iter()
            .zip(before)
            .map(|(t, before)| with_quota(t.quota, before))
            .collect();
        let total = tenants.iter().map(|t| t.quota).sum();
        self.all_tenants = with_quota(total, take(&mut self.all_tenants));
    }

    /// The tenant of this index in the settings.
    pub(crate) fn tenant(&self, index: Option<usize>) -> Option<&Tenant> {
        index.map(|index| &self.tenants[index])
    }

    /// An RPC of a tenant was accepted; beyond all shares it uses no quota.
    pub(crate) fn record(&self, tenant: &Tenant, share: QuotaShare, now: f64) {
        if share < QuotaShare::Beyond {
            tenant.record(1.0, now);
            self.all_tenants.record(1.0, now);
        }
    }
}
