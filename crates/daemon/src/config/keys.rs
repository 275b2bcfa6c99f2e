//! The keys of the configuration file, and the environment variables that are read for keys that the file lacks.
//!
//! The platform sets both: their names must not change.

/// Environment variable with the path of the configuration file.
pub(crate) const FILE_VARIABLE: &str = "LB_CONFIG";
/// Environment variable with the descriptor number of the inherited listening socket.
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
/// Address of the listening socket for clients.
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

/// Seed of the balancer's random number generator, a hexadecimal number.
pub(crate) const SEED: &str = "seed";
/// Settings of the balancer.
pub(crate) const SETTINGS: &str = "settings";
/// Settings of the shadow evaluation.
pub(crate) const SHADOW_SETTINGS: &str = "watch";
/// Cached endpoint list.
pub(crate) const CACHED_ENDPOINTS: &str = "known";
/// Resource limits.
pub(crate) const LIMITS: &str = "limits";
/// Maximum number of sockets, in [`LIMITS`].
pub(crate) const MAX_SOCKETS: &str = "sockets";
/// Memory limit in MiB, in [`LIMITS`].
pub(crate) const MEMORY: &str = "memory_mb";

/// Names of the methods, in a settings object.
pub(crate) const METHODS: &str = "methods";
/// Tenants, in a settings object.
pub(crate) const TENANTS: &str = "accounts";
/// Names of the zones, in a settings object.
pub(crate) const ZONES: &str = "failure-domains";
