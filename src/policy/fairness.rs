//! Fairness: how an RPC stands to its tenant's quota.
use crate::tenant::{QuotaShare, Tenant, TenantQuotas};

const USAGE_MARGIN: f64 = 1.2; // times what all tenants have used of theirs may one use of its own: chance

/// A tenant's share is an even split of its quota or, where this proxy carries more, a part of what it
/// carries. What others leave may be used, also by clients' retries, which are not to crowd out others.
pub(crate) fn share(
    quotas: &TenantQuotas,
    tenant: &Tenant,
    client_retry: bool,
    now: f64,
) -> QuotaShare {
    let all = quotas.all_tenants.used_fraction(now);
    let within = tenant.used_fraction(now) < (all * USAGE_MARGIN).max(1.0);
    match within {
        true if !client_retry => QuotaShare::Within,
        _ if all < 1.0 => QuotaShare::Borrowed,
        _ => QuotaShare::Beyond,
    }
}
