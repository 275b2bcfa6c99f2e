//! Errors of the configuration.

use birchhub_settings::SettingsError;
use serde_json::Value;
use thiserror::Error;

/// Why the configuration cannot be used. At a start the text is the one line on standard error.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// Neither the file nor the environment has the value.
    #[error("{variable} is not set")]
    NotSet { variable: &'static str },
    #[error("{variable} is not an address and port: {text}")]
    NotAnAddress {
        variable: &'static str,
        text: String,
    },
    #[error("LB_CONFIG cannot be read: {path}: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("LB_CONFIG is not JSON: {path}: {error}")]
    InvalidJson {
        path: String,
        error: serde_json::Error,
    },
    #[error("{key} is missing in LB_CONFIG")]
    Missing { key: &'static str },
    #[error("{key} is not a text in LB_CONFIG: {value}")]
    NotAString { key: &'static str, value: Value },
    #[error("seed is not a hex number: {text}")]
    InvalidSeed { text: String },
    #[error("settings: {0}")]
    Settings(SettingsError),
    #[error("watch.{0}")]
    ShadowSettings(SettingsError),
    /// The shadow settings are about other methods, tenants or zones, so their decisions cannot be compared.
    #[error("watch.{key} has other names than settings.{key}")]
    ShadowNames { key: &'static str },
    #[error("LB_PASSED_SOCKET {problem}: {descriptor}")]
    InheritedListener {
        problem: InheritedListenerProblem,
        descriptor: String,
    },
}

/// Why a descriptor that the platform passed cannot be listened on.
#[derive(Debug, Error)]
pub(crate) enum InheritedListenerProblem {
    #[error("is not a number")]
    NotANumber,
    #[error("is not open")]
    NotOpen,
    #[error("is not a socket")]
    NotASocket,
    #[error("is not a listening TCP socket")]
    NotAListener,
    #[error(transparent)]
    Setup(#[from] std::io::Error),
}

/// Why a reload changed nothing.
#[derive(Debug, Error)]
pub(crate) enum ReloadError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("it could not be compared: {0}")]
    Comparison(#[from] tokio::task::JoinError),
}
