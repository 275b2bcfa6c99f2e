//! The calls of the admin API: their paths, HTTP methods and parameters.
//!
//! The strings in this module are part of the protocol with the operators' tools and must not change.

use crate::lifecycle::admin_state::AdminCommand;
use hyper::Method;
use thiserror::Error;

/// Query parameter that names an endpoint.
const MEMBER_PARAMETER: &str = "member";

/// Why the `member` parameter of a call is invalid.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub(super) enum MemberError {
    /// The query lacks the parameter.
    #[error("member is missing")]
    Missing,
    /// The query has the parameter more than once.
    #[error("member is there twice")]
    Duplicate,
    /// The value is not percent-encoded UTF-8.
    #[error("member is badly escaped")]
    BadEscape,
    /// The value is an empty string.
    #[error("member is empty")]
    Empty,
}

/// A call, identified by its path. Its parameters are not parsed yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AdminPath {
    Status,
    Settings,
    Standby,
    Activate,
    EnterMaintenance,
    ExitMaintenance,
}

/// A call with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AdminCall {
    /// Reads the state of this process.
    Status,
    /// Reads the version and digest of the active settings.
    Settings,
    /// Changes the administrative state.
    Command(AdminCommand),
}

impl AdminPath {
    /// Returns the call with this path, or `None` if there is none.
    pub(super) fn parse(path: &str) -> Option<Self> {
        match path {
            "/status" => Some(Self::Status),
            "/settings" => Some(Self::Settings),
            "/standby" => Some(Self::Standby),
            "/active" => Some(Self::Activate),
            "/maintenance/enter" => Some(Self::EnterMaintenance),
            "/maintenance/exit" => Some(Self::ExitMaintenance),
            _ => None,
        }
    }

    /// Returns the HTTP method of the call; no other method is allowed.
    pub(super) fn method(self) -> Method {
        match self {
            Self::Status | Self::Settings => Method::GET,
            Self::Standby | Self::Activate | Self::EnterMaintenance | Self::ExitMaintenance => {
                Method::POST
            }
        }
    }

    /// Parses the parameters of the call.
    pub(super) fn with_query(self, query: &str) -> Result<AdminCall, MemberError> {
        let command = match self {
            Self::Status => return Ok(AdminCall::Status),
            Self::Settings => return Ok(AdminCall::Settings),
            Self::Standby => AdminCommand::Standby,
            Self::Activate => AdminCommand::Activate,
            Self::EnterMaintenance => AdminCommand::EnterMaintenance(parse_member(query)?),
            Self::ExitMaintenance => AdminCommand::ExitMaintenance(parse_member(query)?),
        };
        Ok(AdminCall::Command(command))
    }
}

/// Returns the endpoint name in the `member` parameter of a query.
fn parse_member(query: &str) -> Result<String, MemberError> {
    let mut members = query
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
        .filter(|(name, _)| *name == MEMBER_PARAMETER)
        .map(|(_, value)| value);
    let member = members.next().ok_or(MemberError::Missing)?;
    if members.next().is_some() {
        return Err(MemberError::Duplicate);
    }
    let member = percent_decode(member).ok_or(MemberError::BadEscape)?;
    if member.is_empty() {
        return Err(MemberError::Empty);
    }
    Ok(member)
}

/// Decodes percent-encoded UTF-8. Returns `None` if an escape is malformed or the decoded bytes are not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut parts = text.split('%');
    let mut bytes = parts.next()?.as_bytes().to_vec();
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        // `from_str_radix` also accepts a sign, so the digits are checked too.
        let is_hex = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        bytes.push(u8::from_str_radix(digits, 16).ok().filter(|_| is_hex)?);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;
