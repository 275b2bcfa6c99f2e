//! The parsed settings object.

use birchhub::interface::Settings;

/// A parsed settings object: the settings that the decision logic uses, and those that the rest of the proxy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// Settings of the decision logic.
    pub settings: Settings,
    /// Names of the methods, in the order of [`Settings::methods`].
    pub methods: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; [`Settings::own_zone`] is an index into them.
    pub zones: Vec<String>,
    /// Whether the endpoint list contains the sizes of the endpoints.
    pub lists_endpoint_sizes: bool,
    /// Timeout for connecting to a backend, in seconds.
    pub connect_timeout: f64,
    /// Idle time after which backends may close a connection, in seconds.
    pub idle_timeout: f64,
    /// Longest of the methods' deadlines, in seconds; `None` if a method has no deadline.
    pub longest_deadline: Option<f64>,
    /// Digest of the settings object without the proxy's own zone: proxies of different zones that have otherwise the
    /// same settings have the same digest.
    pub digest: u64,
}

/// The settings of a method or tenant, with its name.
pub(crate) struct Named<T> {
    pub name: String,
    pub settings: T,
}
