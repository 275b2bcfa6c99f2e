//! Fairness between tenants: classifies each RPC by its tenant's use of its quota.
//!
//! Like max-min fair sharing, it lends the quota that other tenants leave unused. Each proxy decides
//! by its own traffic instead of a shared counter: a tenant may use an even split of its quota over
//! the proxies, or more where this proxy carries more of all tenants' traffic. RPCs that clients
//! mark as retries use lent quota only, so that retries do not crowd out other tenants.
use crate::tenant::{QuotaClass, Tenant, TenantQuotas};

/// Multiple of the mean use of all tenants that one tenant may reach, to allow for chance.
const USAGE_MARGIN: f64 = 1.2;

/// Classifies an RPC of this tenant.
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
