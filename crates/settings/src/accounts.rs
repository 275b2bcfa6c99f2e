//! The accounts of the settings object: the tenants and their quotas.
//!
//! There may be tens of thousands of them, so in a text they are read one by one: as a [`Value`] tree all of them
//! together would take several times the memory of the result.

use crate::error::{JsonPath, SettingsError};
use crate::parsed::Named;
use crate::reader::JsonReader;
use birchhub::interface::TenantSettings;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The key of the accounts in the settings object.
pub(crate) const KEY: &str = "accounts";

/// An account: a tenant by its name.
type Account = Named<TenantSettings>;

/// Where the accounts of a settings object are.
pub(crate) enum AccountSource<'a> {
    /// In the document, with all else.
    Document,
    /// Apart from it, each one not parsed yet.
    Raw(Vec<&'a RawValue>),
}

impl AccountSource<'_> {
    /// Parses the accounts of this document.
    pub(crate) fn parse(&self, document: &JsonReader) -> Result<Vec<Account>, SettingsError> {
        match self {
            Self::Document => {
                let accounts = document.optional(KEY);
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

/// An account without a fault, read without a tree of it.
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
    // Read again for the error that names the value.
    let path = JsonPath::default().key(KEY).index(index);
    match serde_json::from_str::<Value>(account.get()) {
        Ok(value) => parse_account(&JsonReader::at(&value, path)),
        Err(error) => Err(SettingsError::InvalidAccountJson {
            path,
            message: error.to_string(),
        }),
    }
}
