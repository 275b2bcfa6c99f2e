//! Errors of the configuration.

use birchhub_settings::SettingsError;
use serde_json::Value;
use std::io;
use thiserror::Error;

/// Why the configuration cannot be used.
///
/// If it prevents a start, the text is the only line on standard error. The operators' pages quote the texts.
#[derive(Debug, Error)]
pub(crate) enum ConfigError {
    /// Neither the file nor the environment has the value.
    #[error("{variable} is not set")]
    NotSet {
        /// Environment variable of the value.
        variable: &'static str,
    },
    /// A value is not a socket address.
    #[error("{variable} is not an address and port: {text}")]
    NotAnAddress {
        /// Environment variable of the value.
        variable: &'static str,
        /// The value.
        text: String,
    },
    /// The configuration file can't be read.
    #[error("LB_CONFIG cannot be read: {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the system call.
        source: io::Error,
    },
    /// The configuration file is not a JSON object.
    #[error("LB_CONFIG is not JSON: {path}: {source}")]
    InvalidJson {
        /// Path of the file.
        path: String,
        /// JSON error with its position.
        source: serde_json::Error,
    },
    /// The file lacks a value that has no environment variable.
    #[error("{key} is missing in LB_CONFIG")]
    Missing {
        /// Key of the value.
        key: &'static str,
    },
    /// A value of the file is not a string.
    #[error("{key} is not a text in LB_CONFIG: {value}")]
    NotAString {
        /// Key of the value.
        key: &'static str,
        /// The value.
        value: Value,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed is not a hex number: {text}")]
    InvalidSeed {
        /// The value.
        text: String,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(SettingsError),
    /// The settings of the shadow evaluation cannot be used.
    #[error("watch.{0}")]
    ShadowSettings(SettingsError),
    /// The shadow settings have other methods, tenants or zones than the settings: the decisions can't be compared.
    #[error("watch.{key} has other names than settings.{key}")]
    ShadowNames {
        /// Key of the list that differs.
        key: &'static str,
    },
    /// The inherited listening socket cannot be used.
    #[error("LB_PASSED_SOCKET {source}: {descriptor}")]
    InheritedListener {
        /// What is wrong with the descriptor.
        source: InheritedListenerError,
        /// Value of the environment variable.
        descriptor: String,
    },
}

/// Why a passed descriptor cannot be used as listening socket.
#[derive(Debug, Error)]
pub(crate) enum InheritedListenerError {
    /// The value of the environment variable is not a descriptor number.
    #[error("is not a number")]
    NotANumber,
    /// No descriptor with this number is open.
    #[error("is not open")]
    NotOpen,
    /// The descriptor is not a socket.
    #[error("is not a socket")]
    NotASocket,
    /// The socket does not listen, or is not a TCP socket.
    #[error("is not a listening TCP socket")]
    NotAListener,
    /// The socket could not be made non-blocking or close-on-exec.
    #[error(transparent)]
    Setup(#[from] io::Error),
}

/// Why a reload failed. The active configuration is kept.
#[derive(Debug, Error)]
pub(crate) enum ReloadError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The blocking task that reads and compares the configuration panicked.
    #[error("preparing the reload panicked: {0}")]
    Preparation(#[from] tokio::task::JoinError),
}
