//! Tenants' quotas at this proxy: the slice of each quota, and its recent use.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{CarriedOver, Settings};
use std::mem::take;
use std::rc::Rc;

/// Fraction of a quota that counts as used at the start, so that a start is followed by no rush.
const INITIAL_USED_FRACTION: f64 = 0.75;
/// Shortest time over which the use of a quota is counted, in seconds; lets a short burst through.
const MIN_WINDOW_SECONDS: f64 = 3.0;
/// Fewest RPCs of a quota that its window covers. `policy::fairness` has a margin for the random
/// variation of this number.
const MIN_WINDOW_RPCS: f64 = 20.0;

/// How an RPC is classified by its tenant's use of its quota. The order is that of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuotaClass {
    /// Within the tenant's own quota.
    Within,
    /// Within what other tenants leave unused of theirs.
    Borrowed,
    /// Beyond both.
    Beyond,
}

/// The use of one tenant's quota at this proxy.
#[derive(Default)]
pub(crate) struct Tenant {
    /// RPCs per window of an even split of the quota over the proxies.
    pub quota_slice: f64,
    /// The throttle of the tenant's RPCs; see `policy::throttle`.
    pub throttle: Rc<Ewma>,
    window: f64,
    used: DecayingCounter,
}

impl Tenant {
    /// Returns `count` tenants in the order of new settings. `indexes` gives the former index of each;
    /// a tenant without one has no slice yet.
    fn carried_over(
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

    /// Returns the tenant with another slice; its rate of use stays as it was. For a tenant that had
    /// no slice, [`INITIAL_USED_FRACTION`] of it counts as used.
    fn with_slice(self, quota_slice: f64, window: f64, now: f64) -> Self {
        let had_slice = self.window > 0.0;
        let used = if had_slice {
            self.used.read(now, self.window) * self.window_ratio(window)
        } else {
            quota_slice * INITIAL_USED_FRACTION
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

    /// Returns the length of a new window relative to the present one; 1 where one of them is unbounded.
    fn window_ratio(&self, new_window: f64) -> f64 {
        let ratio = new_window / self.window;
        if ratio.is_finite() && ratio > 0.0 {
            ratio
        } else {
            1.0
        }
    }

    /// Counts the use of the quota by a number of RPCs.
    fn record(&self, rpcs: f64, now: f64) {
        self.used.add(rpcs, now, self.window);
    }

    /// Returns the recently used fraction of the slice; above 1 where more was used.
    pub(crate) fn used_fraction(&self, now: f64) -> f64 {
        self.used.read(now, self.window) / self.quota_slice
    }
}

/// The quotas of each tenant and of all tenants together.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    /// The sum of all quotas and its use by all tenants.
    pub all_tenants: Tenant,
    tenants: Vec<Tenant>,
}

impl TenantQuotas {
    /// Splits the quotas of new settings over the proxies and carries over what was used.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, carried: &CarriedOver, now: f64) {
        let with_quota = |quota: f64, tenant: Tenant| {
            // The window covers several RPCs: two that arrive together must not exceed a small quota.
            let interval = settings.proxy_count as f64 / quota;
            let slice = MIN_WINDOW_RPCS.max(MIN_WINDOW_SECONDS / interval);
            let window = MIN_WINDOW_SECONDS.max(MIN_WINDOW_RPCS * interval);
            tenant.with_slice(slice, window, now)
        };
        let tenants = &settings.tenants;
        let before = Tenant::carried_over(take(&mut self.tenants), &carried.tenants, tenants.len());
        self.tenants = tenants
            .iter()
            .zip(before)
            .map(|(tenant, before)| with_quota(tenant.quota, before))
            .collect();
        let total = tenants.iter().map(|tenant| tenant.quota).sum();
        self.all_tenants = with_quota(total, take(&mut self.all_tenants));
    }

    /// Returns the tenant with this index in the settings.
    pub(crate) fn tenant(&self, index: Option<usize>) -> Option<&Tenant> {
        index.map(|index| &self.tenants[index])
    }

    /// Counts an accepted RPC of a tenant. RPCs beyond all quotas use none.
    pub(crate) fn record(&self, tenant: &Tenant, class: QuotaClass, now: f64) {
        if class < QuotaClass::Beyond {
            tenant.record(1.0, now);
            self.all_tenants.record(1.0, now);
        }
    }
}
