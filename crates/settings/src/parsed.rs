//! The parsed settings object.

use birchhub::interface::Settings;

/// A settings object after parsing: what the decisions need, and what the proxy around them needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedSettings {
    /// What decisions are made by.
    pub settings: Settings,
    /// Names of the methods, in the order of [`Settings::methods`].
    pub methods: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones; [`Settings::own_zone`] is an index into them.
    pub zones: Vec<String>,
    /// The endpoint list carries the sizes of the endpoints.
    pub lists_endpoint_sizes: bool,
    /// Longest wait for a connection to be established, s.
    pub connect_timeout: f64,
    /// The other side closes a connection that was idle for this long, s.
    pub idle_timeout: f64,
    /// Longest deadline of any method, s; none if a method has no deadline in the settings.
    pub longest_deadline: Option<f64>,
    /// Digest of the object without `my-zone`: proxies with the same settings have the same digest.
    pub digest: u64,
}

/// The settings of a method or tenant with its name.
pub(crate) struct Named<T> {
    pub name: String,
    pub settings: T,
}
