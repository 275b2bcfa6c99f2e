//! The scenario file: a TOML description of a deployment, its traffic, the faults injected into it, and the targets that it
//! is judged by. Unknown keys are rejected, and every duration carries its unit.
mod checks;
mod clients;
mod discovery;
mod error;
mod fault_validation;
mod faults;
mod fleet;
mod proxies;
mod rules;
mod traffic;
mod validation;
mod workload;

pub use clients::Clients;
pub use discovery::Discovery;
pub(crate) use error::InvalidValue;
pub use error::ScenarioError;
pub use faults::{BackendSelector, Fault, FaultKind, ProxySelector};
pub use fleet::{Fleet, LoadReports, Machine};
pub use proxies::Proxies;
pub use rules::Rules;
pub use traffic::{Phase, Traffic};
pub use workload::{Method, MethodKind, Tenant};

use crate::duration::ScenarioDuration;
use birchhub_audit::header::ServiceTargets;
use serde::Deserialize;

/// A deployment, its traffic, its faults, and its service targets.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// One or two sentences: what is rehearsed, and what a good proxy does.
    #[serde(rename = "about")]
    pub description: String,
    /// Time during which RPCs arrive.
    #[serde(rename = "length")]
    pub duration: ScenarioDuration,
    /// Parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The backends.
    pub fleet: Fleet,
    /// The discovery service.
    #[serde(default, rename = "list")]
    pub discovery: Discovery,
    /// The methods that clients call.
    #[serde(rename = "method")]
    pub methods: Vec<Method>,
    /// The tenants that send the RPCs; may be empty.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// The proxies.
    pub proxies: Proxies,
    /// The rate at which RPCs arrive.
    pub traffic: Traffic,
    /// The retry behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// The faults, in the order of the file.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<Fault>,
    /// The service targets that the audit checks.
    #[serde(default, rename = "expect")]
    pub targets: ServiceTargets,
}

impl Scenario {
    /// Parses and validates a scenario; `file` names it in errors.
    ///
    /// # Errors
    /// Returns the first error of the syntax, of a key, or of a value, with its line.
    pub fn read(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let toml_error = |key: String, error: &toml::de::Error| ScenarioError {
            file: file.to_owned(),
            line: error
                .span()
                .map_or(0, |span| error::line_at(text, span.start)),
            key,
            message: error.message().to_owned(),
        };
        let document =
            toml::Deserializer::parse(text).map_err(|error| toml_error(String::new(), &error))?;
        let scenario: Self = serde_path_to_error::deserialize(document)
            .map_err(|error| toml_error(error.path().to_string(), error.inner()))?;
        validation::validate(&scenario).map_err(|invalid| invalid.located(file, text))?;
        Ok(scenario)
    }
}
