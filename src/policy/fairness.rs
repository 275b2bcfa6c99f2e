//! Fairness between tenants: classifies each RPC by its tenant's use of its quota.
//!
//! As in max-min fair sharing, a tenant may use quota that other tenants leave unused. Each proxy
//! decides by its own traffic rather than by a shared counter: a tenant may use an even share of
//! its quota at each proxy, or more at a proxy that receives more of the traffic of all tenants.
//! RPCs that clients mark as retries use only the unused quota of others, so that retries do not
//! crowd out other tenants.
use crate::tenant::{QuotaClass, Tenant, TenantQuotas};

/// Multiple of the mean use of all tenants that one tenant may reach; allows for random variation.
const USAGE_MARGIN: f64 = 1.2;

/// Returns the quota class of an RPC of this tenant.
pub(crate) fn quota_class(
    quotas: &TenantQuotas,
    tenant: &Tenant,
    client_retry: bool,
    now: f64,
) -> QuotaClass {
    let mean_use = quotas.all_tenants.used_fraction(now);
    let own_limit = (mean_use * USAGE_MARGIN).max(1.0);
    let is_within = tenant.used_fraction(now) < own_limit;
    if is_within && !client_retry {
        QuotaClass::Within
    } else if mean_use < 1.0 {
        QuotaClass::Borrowed
    } else {
        QuotaClass::Beyond
    }
}
