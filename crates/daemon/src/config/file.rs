//! The configuration file that the platform writes for a proxy, and the environment variables that are read for some
//! keys if the file lacks them.

use crate::config::cached_endpoints::CachedEndpoints;
use crate::config::error::ConfigError;
use crate::config::keys::{self, KeyWithEnvFallback};
use birchhub::interface::Settings;
use birchhub_settings::ParsedSettings;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of open sockets if the file does not set one.
const DEFAULT_MAX_SOCKETS: u64 = 1024;
/// Upper bound of the memory per socket, in bytes: a body in each direction, an encoded body, and data that was read
/// ahead.
const BYTES_PER_SOCKET: u64 = 168 << 10;

/// Part of the memory limit that may hold request bodies which were read ahead of their backends.
const UPLOAD_MEMORY_FRACTION: u64 = 8;
/// Memory for such bodies if the file sets no limit, in bytes.
const DEFAULT_UPLOAD_MEMORY_BYTES: u64 = 16 << 20;

/// The configuration of a proxy.
pub(crate) struct Config {
    /// Name of the proxy.
    pub name: String,
    /// Address of the listening socket for clients.
    pub client_address: SocketAddr,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Address of the admin API; `None` if there is no admin API.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the balancer's random number generator.
    pub seed: u64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
    /// Maximum memory for request bodies that are read ahead of their backends, in bytes.
    pub upload_memory_bytes: usize,
    /// Cached endpoint list.
    pub cached_endpoints: CachedEndpoints,
    /// Parsed settings.
    pub parsed_settings: Arc<ParsedSettings>,
    /// Settings of the shadow evaluation; `None` if there is none.
    pub shadow_settings: Option<Settings>,
}

impl Config {
    /// Returns the keys outside of the settings whose values differ in `other`. They take effect at a start only.
    pub(super) fn restart_keys(&self, other: &Self) -> Vec<&'static str> {
        let keys = [
            (keys::NAME.key, self.name != other.name),
            (
                keys::CLIENT_ADDRESS.key,
                self.client_address != other.client_address,
            ),
            (
                keys::ADMIN_ADDRESS.key,
                self.admin_address != other.admin_address,
            ),
            (keys::SEED, self.seed != other.seed),
            (
                keys::LIMITS,
                self.max_sockets != other.max_sockets
                    || self.upload_memory_bytes != other.upload_memory_bytes,
            ),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}

/// Whether [`load`] decodes the cached endpoint list, which may take long.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum CachedEndpointsMode {
    /// Decodes the list.
    Decode,
    /// Skips the list, as if the file had none.
    Skip,
}

/// Reads the configuration file.
pub(crate) fn load(cached_endpoints: CachedEndpointsMode) -> Result<Config, ConfigError> {
    let variable = keys::FILE_VARIABLE;
    let path = std::env::var(variable).map_err(|_| ConfigError::NotSet { variable })?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(source) => return Err(ConfigError::Unreadable { path, source }),
    };
    match ConfigFile::parse(&bytes) {
        Ok(file) => file.config(cached_endpoints),
        Err(source) => Err(ConfigError::InvalidJson { path, source }),
    }
}

/// The content of the file. Large values are not parsed yet.
struct ConfigFile<'a> {
    values: Value,
    settings: Option<&'a RawValue>,
    shadow_settings: Option<&'a RawValue>,
    cached_endpoints: Option<&'a RawValue>,
}

impl<'a> ConfigFile<'a> {
    fn parse(bytes: &'a [u8]) -> Result<Self, serde_json::Error> {
        let mut fields: BTreeMap<String, &RawValue> = serde_json::from_slice(bytes)?;
        let settings = fields.remove(keys::SETTINGS);
        let shadow_settings = remove_unless_null(&mut fields, keys::SHADOW_SETTINGS);
        let cached_endpoints = remove_unless_null(&mut fields, keys::CACHED_ENDPOINTS);
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

    fn config(&self, cached_endpoints: CachedEndpointsMode) -> Result<Config, ConfigError> {
        let seed = self.seed_text()?;
        let parsed_settings = self.parsed_settings()?;
        let shadow_settings = self
            .shadow_settings
            .map(|shadow| parse_shadow_settings(shadow, &parsed_settings))
            .transpose()?;
        let cached_endpoints = self
            .cached_endpoints
            .filter(|_| cached_endpoints == CachedEndpointsMode::Decode)
            .map_or(CachedEndpoints::Absent, |list| {
                CachedEndpoints::decode(list.get())
            });
        Ok(Config {
            name: self.text(keys::NAME)?,
            client_address: self.address(keys::CLIENT_ADDRESS)?,
            discovery_address: self.address(keys::DISCOVERY_ADDRESS)?,
            admin_address: self.optional_address(keys::ADMIN_ADDRESS)?,
            seed: parse_seed(seed)?,
            max_sockets: self.max_sockets(),
            upload_memory_bytes: self.upload_memory_bytes(),
            cached_endpoints,
            parsed_settings: Arc::new(parsed_settings),
            shadow_settings,
        })
    }

    fn seed_text(&self) -> Result<&str, ConfigError> {
        let seed = self.values.get(keys::SEED).and_then(Value::as_str);
        seed.ok_or(ConfigError::Missing { key: keys::SEED })
    }

    fn parsed_settings(&self) -> Result<ParsedSettings, ConfigError> {
        let key = keys::SETTINGS;
        let settings = self.settings.ok_or(ConfigError::Missing { key })?;
        birchhub_settings::parse(settings.get()).map_err(ConfigError::Settings)
    }

    /// Returns a string from the file, or from the environment variable if the file has none.
    fn text(
        &self,
        KeyWithEnvFallback { key, variable }: KeyWithEnvFallback,
    ) -> Result<String, ConfigError> {
        let value = self.values.get(key).and_then(Value::as_str);
        value
            .map(str::to_owned)
            .or_else(|| std::env::var(variable).ok())
            .ok_or(ConfigError::NotSet { variable })
    }

    fn address(&self, key: KeyWithEnvFallback) -> Result<SocketAddr, ConfigError> {
        let text = self.text(key)?;
        text.parse().map_err(|_| ConfigError::NotAnAddress {
            variable: key.variable,
            text,
        })
    }

    /// Returns an address; `None` if neither the file nor the environment has it.
    fn optional_address(
        &self,
        key_with_fallback: KeyWithEnvFallback,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        let KeyWithEnvFallback { key, variable } = key_with_fallback;
        match self.values.get(key) {
            Some(Value::Null) | None if std::env::var_os(variable).is_none() => Ok(None),
            Some(Value::Null | Value::String(_)) | None => {
                self.address(key_with_fallback).map(Some)
            }
            Some(value) => Err(ConfigError::NotAString {
                key,
                value: value.clone(),
            }),
        }
    }

    /// Returns the maximum number of sockets that both the socket limit and the memory limit allow.
    fn max_sockets(&self) -> usize {
        let for_memory = self
            .memory_bytes()
            .map_or(u64::MAX, |bytes| bytes / BYTES_PER_SOCKET);
        let sockets = self.limit(keys::MAX_SOCKETS).unwrap_or(DEFAULT_MAX_SOCKETS);
        sockets.min(for_memory) as usize
    }

    /// Returns the maximum memory for request bodies that are read ahead of their backends, in bytes.
    fn upload_memory_bytes(&self) -> usize {
        let bytes = self
            .memory_bytes()
            .map_or(DEFAULT_UPLOAD_MEMORY_BYTES, |bytes| {
                bytes / UPLOAD_MEMORY_FRACTION
            });
        bytes as usize
    }

    /// Returns the memory limit, in bytes; none if the file sets none.
    fn memory_bytes(&self) -> Option<u64> {
        self.limit(keys::MEMORY).map(|mebibytes| mebibytes << 20)
    }

    /// Returns a resource limit; none if the file does not set it.
    fn limit(&self, key: &str) -> Option<u64> {
        self.values.get(keys::LIMITS)?.get(key)?.as_u64()
    }
}

/// Removes a field and returns its value, or `None` if the value is null.
fn remove_unless_null<'a>(
    fields: &mut BTreeMap<String, &'a RawValue>,
    key: &str,
) -> Option<&'a RawValue> {
    fields.remove(key).filter(|value| value.get() != "null")
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| ConfigError::InvalidSeed {
        text: text.to_owned(),
    })
}

/// Parses the shadow settings, which must have the same methods, tenants and zones as the settings.
fn parse_shadow_settings(
    text: &RawValue,
    settings: &ParsedSettings,
) -> Result<Settings, ConfigError> {
    let shadow = birchhub_settings::parse(text.get()).map_err(ConfigError::ShadowSettings)?;
    let same_names = [
        (keys::METHODS, shadow.methods == settings.methods),
        (keys::TENANTS, shadow.tenants == settings.tenants),
        (keys::ZONES, shadow.zones == settings.zones),
    ];
    match same_names.into_iter().find(|(_, same)| !same) {
        Some((key, _)) => Err(ConfigError::ShadowNames { key }),
        None => Ok(shadow.settings),
    }
}
