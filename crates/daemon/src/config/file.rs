//! The configuration file that the platform writes for a proxy, and the variables that stand in for some of its keys.

use crate::config::error::ConfigError;
use crate::discovery::update::{DecodeError, EndpointUpdate};
use birchhub::interface::Settings;
use birchhub_settings::ParsedSettings;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names the file.
const FILE_VARIABLE: &str = "LB_CONFIG";
const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// Memory that a socket takes at worst, in bytes: a body each way, an encoded one, and what is read ahead.
const SOCKET_MEMORY: u64 = 168 << 10;

/// The configuration of a proxy.
pub(crate) struct Config {
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The service that has the endpoint list.
    pub discovery: SocketAddr,
    /// Where staff and the platform call the proxy.
    pub management: Option<SocketAddr>,
    /// Of the random choices.
    pub seed: u64,
    pub max_sockets: usize,
    /// The endpoint list as this proxy last had it.
    pub cached_endpoints: Option<EndpointUpdate>,
    /// Why the cached list cannot be read; the proxy waits for the first one of discovery then.
    pub cached_endpoints_error: Option<DecodeError>,
    pub parsed_settings: Arc<ParsedSettings>,
    /// Settings whose decisions are compared with the actual ones, and counted only.
    pub shadow_settings: Option<Settings>,
}

impl Config {
    /// The keys beside the settings that differ in the other configuration and take effect at a start only.
    pub(crate) fn restart_keys(&self, other: &Self) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("management", self.management != other.management),
            ("seed", self.seed != other.seed),
            ("limits", self.max_sockets != other.max_sockets),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}

/// Whether the cached endpoint list in the file is decoded, which may take long.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CachedEndpoints {
    Decoded,
    Ignored,
}

/// Reads the configuration file.
pub(crate) fn load(cached_endpoints: CachedEndpoints) -> Result<Config, ConfigError> {
    let variable = FILE_VARIABLE;
    let path = std::env::var(variable).map_err(|_| ConfigError::NotSet { variable })?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) => return Err(ConfigError::Unreadable { path, error }),
    };
    match ConfigFile::parse(&bytes) {
        Ok(file) => file.config(cached_endpoints),
        Err(error) => Err(ConfigError::InvalidJson { path, error }),
    }
}

/// The file, with the keys that are large not parsed yet.
struct ConfigFile<'a> {
    values: Value,
    settings: Option<&'a RawValue>,
    shadow_settings: Option<&'a RawValue>,
    cached_endpoints: Option<&'a RawValue>,
}

impl<'a> ConfigFile<'a> {
    fn parse(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        let mut fields: BTreeMap<String, &RawValue> = serde_json::from_slice(bytes)?;
        let settings = fields.remove("settings");
        let [shadow_settings, cached_endpoints] =
            ["watch", "known"].map(|key| fields.remove(key).filter(|value| value.get() != "null"));
        let values = fields
            .into_iter()
            .map(|(key, raw)| Ok((key, serde_json::from_str(raw.get())?)));
        Ok(Self {
            values: Value::Object(values.collect::<Result<_, serde_json::Error>>()?),
            settings,
            shadow_settings,
            cached_endpoints,
        })
    }

    fn config(&self, cached_endpoints: CachedEndpoints) -> Result<Config, ConfigError> {
        let seed = self.values.get("seed").and_then(Value::as_str);
        let seed = seed.ok_or(ConfigError::Missing { key: "seed" })?;
        let settings = self
            .settings
            .ok_or(ConfigError::Missing { key: "settings" })?;
        let parsed_settings =
            birchhub_settings::parse(settings.get()).map_err(ConfigError::Settings)?;
        let shadow_settings = self
            .shadow_settings
            .map(|shadow| parse_shadow_settings(shadow, &parsed_settings))
            .transpose()?;
        // The list is replaced by discovery's a moment later: a fault in it must not keep a whole fleet from starting.
        let endpoints = self
            .cached_endpoints
            .filter(|_| cached_endpoints == CachedEndpoints::Decoded)
            .map(|list| EndpointUpdate::parse(list.get()))
            .transpose();
        let (cached_endpoints, cached_endpoints_error) = match endpoints {
            Ok(endpoints) => (endpoints, None),
            Err(error) => (None, Some(error)),
        };
        Ok(Config {
            name: self.text("name", "LB_NAME")?,
            listen: self.address("listen", "LB_LISTEN")?,
            discovery: self.address("discovery", "LB_DISCOVERY")?,
            management: self.optional_address("management", "LB_MANAGEMENT")?,
            seed: parse_seed(seed)?,
            max_sockets: self.max_sockets(),
            cached_endpoints,
            cached_endpoints_error,
            parsed_settings: Arc::new(parsed_settings),
            shadow_settings,
        })
    }

    /// A value of the file, or of the variable where the file has none.
    fn text(&self, key: &str, variable: &'static str) -> Result<String, ConfigError> {
        let value = self.values.get(key).and_then(Value::as_str);
        value
            .map(str::to_owned)
            .or_else(|| std::env::var(variable).ok())
            .ok_or(ConfigError::NotSet { variable })
    }

    fn address(&self, key: &str, variable: &'static str) -> Result<SocketAddr, ConfigError> {
        let text = self.text(key, variable)?;
        text.parse()
            .map_err(|_| ConfigError::NotAnAddress { variable, text })
    }

    /// An address that may be missing in the file and the environment.
    fn optional_address(
        &self,
        key: &'static str,
        variable: &'static str,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        match self.values.get(key) {
            Some(Value::Null) | None if std::env::var_os(variable).is_none() => Ok(None),
            Some(Value::Null | Value::String(_)) | None => self.address(key, variable).map(Some),
            Some(value) => Err(ConfigError::NotAString {
                key,
                value: value.clone(),
            }),
        }
    }

    /// The sockets that the limits allow, and for which the memory suffices.
    fn max_sockets(&self) -> usize {
        let limits = self.values.get("limits");
        let limit = |key| limits.and_then(|limits| limits.get(key)?.as_u64());
        let for_memory = limit("memory_mb").map_or(u64::MAX, |mb| (mb << 20) / SOCKET_MEMORY);
        let sockets = limit("sockets").unwrap_or(DEFAULT_MAX_SOCKETS);
        sockets.min(for_memory) as usize
    }
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidSeed {
        text: text.to_owned(),
    })
}

/// The shadow settings, which must be about the same methods, tenants and zones as the settings.
fn parse_shadow_settings(
    text: &RawValue,
    settings: &ParsedSettings,
) -> Result<Settings, ConfigError> {
    let shadow = birchhub_settings::parse(text.get()).map_err(ConfigError::ShadowSettings)?;
    let same_names = [
        ("methods", shadow.methods == settings.methods),
        ("accounts", shadow.tenants == settings.tenants),
        ("failure-domains", shadow.zones == settings.zones),
    ];
    match same_names.into_iter().find(|(_, same)| !same) {
        Some((key, _)) => Err(ConfigError::ShadowNames { key }),
        None => Ok(shadow.settings),
    }
}
