//! The keys of the configuration file, and the environment variables that stand in for some of them.
//!
//! The platform writes both: their names must not change.

/// Variable with the path of the configuration file.
pub(crate) const FILE_VARIABLE: &str = "LB_CONFIG";
/// Variable with the number of the inherited listening socket's descriptor.
pub(crate) const INHERITED_LISTENER_VARIABLE: &str = "LB_PASSED_SOCKET";

/// A key whose value is taken from an environment variable if the file has none.
#[derive(Clone, Copy)]
pub(crate) struct KeyWithEnvFallback {
    /// Key in the file.
    pub key: &'static str,
    /// Environment variable.
    pub variable: &'static str,
}

/// Name of the proxy.
pub(crate) const NAME: KeyWithEnvFallback = KeyWithEnvFallback {
    key: "name",
    variable: "LB_NAME",
};
/// Address for clients.
pub(crate) const CLIENT_ADDRESS: KeyWithEnvFallback = KeyWithEnvFallback {
    key: "listen",
    variable: "LB_LISTEN",
};
/// Address of the discovery service.
pub(crate) const DISCOVERY_ADDRESS: KeyWithEnvFallback = KeyWithEnvFallback {
    key: "discovery",
    variable: "LB_DISCOVERY",
};
/// Address of the admin API.
pub(crate) const ADMIN_ADDRESS: KeyWithEnvFallback = KeyWithEnvFallback {
    key: "management",
    variable: "LB_MANAGEMENT",
};

/// Seed of random choices, a hexadecimal number.
pub(crate) const SEED: &str = "seed";
/// Settings object of the decisions.
pub(crate) const SETTINGS: &str = "settings";
/// Settings object of the shadow evaluation.
pub(crate) const SHADOW_SETTINGS: &str = "watch";
/// Cached endpoint list.
pub(crate) const CACHED_ENDPOINTS: &str = "known";
/// Section of resource limits.
pub(crate) const LIMITS: &str = "limits";
/// Largest number of sockets, in [`LIMITS`].
pub(crate) const MAX_SOCKETS: &str = "sockets";
/// Memory in MiB, in [`LIMITS`].
pub(crate) const MEMORY: &str = "memory_mb";

/// Names of the methods, in a settings object.
pub(crate) const METHODS: &str = "methods";
/// Tenants, in a settings object.
pub(crate) const TENANTS: &str = "accounts";
/// Names of the zones, in a settings object.
pub(crate) const ZONES: &str = "failure-domains";
