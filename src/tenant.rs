//! Quotas of tenants at this proxy: its share of each quota, and the recent use of that share.
use crate::ewma::{DecayingCounter, Ewma};
use crate::interface::{CarriedOver, Settings};
use std::mem::take;
use std::rc::Rc;

/// Fraction of a quota that counts as used initially, so that a start is not followed by a burst.
const INITIAL_USED_FRACTION: f64 = 0.75;
/// Minimum window over which the use of a quota is counted, in seconds; permits short bursts.
const MIN_WINDOW_SECONDS: f64 = 3.0;
/// Minimum number of RPCs of a quota that its window covers. `policy::fairness` has a margin for
/// the random variation of this number.
const MIN_WINDOW_RPCS: f64 = 20.0;

/// Class of an RPC by its tenant's use of its quota, in order of precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QuotaClass {
    /// Within the tenant's own quota.
    Within,
    /// Within the quota that other tenants leave unused.
    Borrowed,
    /// Beyond both.
    Beyond,
}

/// Use of one tenant's quota at this proxy.
#[derive(Default)]
pub(crate) struct Tenant {
    /// This proxy's share of the quota if it is split evenly over all proxies, in RPCs per window.
    pub quota_share: f64,
    /// Throttle of the tenant's RPCs; see `policy::throttle`.
    pub throttle: Rc<Ewma>,
    window: f64,
    used: DecayingCounter,
}

impl Tenant {
    /// Returns `count` tenants in the order of new settings. `indexes` contains the previous index
    /// of each; a tenant without one has no share yet.
    fn reordered(
        previous: Vec<Self>,
        indexes: &[Option<usize>],
        count: usize,
    ) -> impl Iterator<Item = Self> {
        let mut previous: Vec<_> = previous.into_iter().map(Some).collect();
        let mut take = move |index: usize| previous.get_mut(index).and_then(Option::take);
        let indexes: Vec<_> = (0..count)
            .map(|n| indexes.get(n).copied().flatten())
            .collect();
        indexes
            .into_iter()
            .map(move |index| index.and_then(&mut take).unwrap_or_default())
    }

    /// Returns the tenant with a new share and the same rate of use. For a tenant that had no
    /// share, [`INITIAL_USED_FRACTION`] of the new one counts as used.
    fn with_share(self, quota_share: f64, window: f64, now: f64) -> Self {
        let had_share = self.window > 0.0;
        let used = if had_share {
            self.used.read(now, self.window) * self.window_ratio(window)
        } else {
            quota_share * INITIAL_USED_FRACTION
        };
        let tenant = Self {
            quota_share,
            window,
            used: DecayingCounter::default(),
            throttle: self.throttle,
        };
        tenant.record(used, now);
        tenant
    }

    /// Returns the length of a new window relative to the current one; 1 if either is unbounded.
    fn window_ratio(&self, new_window: f64) -> f64 {
        let ratio = new_window / self.window;
        if ratio.is_finite() && ratio > 0.0 {
            ratio
        } else {
            1.0
        }
    }

    /// Counts a number of RPCs against the quota.
    fn record(&self, rpcs: f64, now: f64) {
        self.used.add(rpcs, now, self.window);
    }

    /// Returns the recently used fraction of the share; above 1 if more than the share was used.
    pub(crate) fn used_fraction(&self, now: f64) -> f64 {
        self.used.read(now, self.window) / self.quota_share
    }
}

/// Quotas of each tenant and of all tenants together.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    /// Sum of all quotas and its use by all tenants.
    pub all_tenants: Tenant,
    tenants: Vec<Tenant>,
}

impl TenantQuotas {
    /// Splits the quotas of new settings over the proxies, and carries over their recent use.
    pub(crate) fn apply_settings(&mut self, settings: &Settings, carried: &CarriedOver, now: f64) {
        let with_quota = |quota: f64, tenant: Tenant| {
            // The window covers several RPCs, so that two that arrive together do not exceed a
            // small quota.
            let interval = settings.proxy_count as f64 / quota;
            let share = MIN_WINDOW_RPCS.max(MIN_WINDOW_SECONDS / interval);
            let window = MIN_WINDOW_SECONDS.max(MIN_WINDOW_RPCS * interval);
            tenant.with_share(share, window, now)
        };
        let tenants = &settings.tenants;
        let previous = Tenant::reordered(take(&mut self.tenants), &carried.tenants, tenants.len());
        self.tenants = tenants
            .iter()
            .zip(previous)
            .map(|(tenant, previous)| with_quota(tenant.quota, previous))
            .collect();
        let total = tenants.iter().map(|tenant| tenant.quota).sum();
        self.all_tenants = with_quota(total, take(&mut self.all_tenants));
    }

    /// Returns the tenant with this index in the settings.
    pub(crate) fn tenant(&self, index: Option<usize>) -> Option<&Tenant> {
        index.map(|index| &self.tenants[index])
    }

    /// Counts an RPC against the quota of its tenant. RPCs of class [`QuotaClass::Beyond`] do not
    /// count.
    pub(crate) fn record(&self, tenant: &Tenant, class: QuotaClass, now: f64) {
        if class < QuotaClass::Beyond {
            tenant.record(1.0, now);
            self.all_tenants.record(1.0, now);
        }
    }
}
