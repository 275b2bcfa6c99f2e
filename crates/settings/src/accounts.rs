//! Parsing of the accounts of the settings object: the tenants and their quotas.
//!
//! There may be tens of thousands of accounts. If the settings object is given as text, each account is parsed on its
//! own, because a [`Value`] tree of all accounts would take several times the memory of the result.

use crate::error::{JsonPath, SettingsError};
use crate::keys;
use crate::parsed::Named;
use crate::reader::JsonReader;
use birchhub::interface::TenantSettings;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// A tenant with its name.
type Account = Named<TenantSettings>;

/// Where the accounts of a settings object are read from.
pub(crate) enum AccountSource<'a> {
    /// The parsed document, which still contains the accounts.
    Document,
    /// The JSON text of each account. The document no longer contains the accounts.
    Raw(Vec<&'a RawValue>),
}

impl AccountSource<'_> {
    /// Parses the accounts. `document` is the settings object to which they belong.
    pub(crate) fn parse(&self, document: &JsonReader) -> Result<Vec<Account>, SettingsError> {
        match self {
            Self::Document => {
                let accounts = document.optional(keys::ACCOUNTS);
                let accounts = accounts.map_or(Ok(Vec::new()), |accounts| accounts.list())?;
                accounts.iter().map(parse_account).collect()
            }
            Self::Raw(accounts) => {
                let accounts = accounts.iter().enumerate();
                accounts
                    .map(|(index, account)| parse_raw_account(index, account))
                    .collect()
            }
        }
    }
}

fn parse_account(account: &JsonReader) -> Result<Account, SettingsError> {
    let name = account.required("name")?.string()?.to_owned();
    let quota = account.required("quota-per-s")?.number()?;
    Ok(Named {
        name,
        settings: TenantSettings { quota },
    })
}

/// An account as serde deserializes it if all its values are valid.
#[derive(Deserialize)]
struct ValidAccount<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(rename = "quota-per-s")]
    quota: f64,
}

fn parse_raw_account(index: usize, account: &RawValue) -> Result<Account, SettingsError> {
    if let Ok(ValidAccount { name, quota }) = serde_json::from_str(account.get())
        && quota >= 0.0
    {
        return Ok(Named {
            name: name.into_owned(),
            settings: TenantSettings { quota },
        });
    }
    // The account is invalid: parse it again with a reader whose error names the invalid value.
    let path = JsonPath::default().key(keys::ACCOUNTS).index(index);
    match serde_json::from_str::<Value>(account.get()) {
        Ok(value) => parse_account(&JsonReader::at(&value, path)),
        Err(error) => Err(SettingsError::InvalidAccountJson {
            path,
            message: error.to_string(),
        }),
    }
}
