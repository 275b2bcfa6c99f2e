//! Keys of the settings object that several modules use.

/// The list of tenants with their quotas.
pub(crate) const ACCOUNTS: &str = "accounts";
/// The name of the proxy's own zone.
pub(crate) const OWN_ZONE: &str = "my-zone";
