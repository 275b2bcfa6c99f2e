//! Parsing of a whole settings object.
//!
//! Values are parsed in a fixed order, so that an object with several errors always yields the same one.

use crate::accounts::AccountSource;
use crate::digest::settings_digest;
use crate::error::SettingsError;
use crate::keys;
use crate::method;
use crate::parsed::{Named, ParsedSettings};
use crate::reader::JsonReader;
use crate::sections::{Sections, check_target_availability};
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Connect timeout if the settings contain none. The timeout of an attempt is usually shorter.
const DEFAULT_CONNECT_TIMEOUT_SECONDS: f64 = 1.0;
/// Idle time after which backends are assumed to close a connection, if the settings contain none. The value is low
/// because reopening a connection costs less than losing an RPC on one that the backend closes.
const DEFAULT_IDLE_TIMEOUT_SECONDS: f64 = 1.0;

/// Parses the text of a settings object.
///
/// The result is that of [`parse_value`], but less memory is used if there are many accounts.
///
/// # Errors
///
/// The text is not JSON, or a value is missing or invalid. The first such value is reported.
pub fn parse(text: &str) -> Result<ParsedSettings, SettingsError> {
    let Ok(mut fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
        // The text is not a JSON object: parsing it as a value finds out why.
        let document = serde_json::from_str(text).map_err(invalid_json)?;
        return parse_value(&document);
    };
    let accounts = take_raw_accounts(&mut fields);
    let field = |(key, raw): (String, &RawValue)| Ok((key, serde_json::from_str(raw.get())?));
    let fields = fields.into_iter().map(field);
    let document = Value::Object(fields.collect::<Result<_, _>>().map_err(invalid_json)?);
    parse_document(&document, &accounts)
}

/// Parses a settings object that is given as a JSON value.
///
/// # Errors
///
/// A value is missing or invalid. The first such value is reported.
pub fn parse_value(document: &Value) -> Result<ParsedSettings, SettingsError> {
    parse_document(document, &AccountSource::Document)
}

fn invalid_json(error: serde_json::Error) -> SettingsError {
    SettingsError::InvalidJson {
        message: error.to_string(),
    }
}

/// Removes the accounts from the object if they are a list. Otherwise they stay, and parsing the document reports
/// an error unless they are null.
fn take_raw_accounts<'a>(fields: &mut BTreeMap<String, &'a RawValue>) -> AccountSource<'a> {
    let accounts = fields.get(keys::ACCOUNTS);
    match accounts.and_then(|raw| serde_json::from_str(raw.get()).ok()) {
        Some(accounts) => {
            fields.remove(keys::ACCOUNTS);
            AccountSource::Raw(accounts)
        }
        None => AccountSource::Document,
    }
}

fn parse_document(
    document: &Value,
    accounts: &AccountSource,
) -> Result<ParsedSettings, SettingsError> {
    let root = JsonReader::document(document);
    let ceilings = root.required("ceilings")?;
    let contract = root.required("contract")?;
    let method_list = root.required("methods")?.list()?;
    let methods = method_list.iter().map(method::parse);
    let (methods, method_settings) = split_names(methods.collect::<Result<_, _>>()?);
    let (tenants, tenant_settings) = split_names(accounts.parse(&root)?);
    let sections = Sections::parse(&root, &ceilings, &contract)?;
    check_target_availability(&root)?;
    let settings = sections.settings(method_settings, tenant_settings);
    Ok(ParsedSettings {
        digest: settings_digest(document, &tenants, &settings),
        settings,
        methods,
        tenants,
        zones: sections.zones.names,
        lists_endpoint_sizes: sections.lists_endpoint_sizes,
        longest_deadline: method::longest_deadline(&method_list)?,
        connect_timeout: ceilings
            .timeout_or("connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_SECONDS)?,
        idle_timeout: ceilings.seconds_or("conn-idle-ns", DEFAULT_IDLE_TIMEOUT_SECONDS)?,
    })
}

/// Returns the names and the settings as separate lists.
fn split_names<T>(named: Vec<Named<T>>) -> (Vec<String>, Vec<T>) {
    named
        .into_iter()
        .map(|named| (named.name, named.settings))
        .unzip()
}
