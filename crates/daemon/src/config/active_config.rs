//! A summary of the active configuration, for `GET /settings` and the log.

use birchhub_settings::ParsedSettings;
use std::fmt;

/// A summary of the active configuration.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    /// Number of changes of the settings since this process started.
    pub version: u64,
    /// Digest of the settings that were last read from the file.
    digest: u64,
    method_count: usize,
    tenant_count: usize,
    /// Keys whose values in the file differ from the active ones and take effect at the next start.
    pub restart_keys: Vec<&'static str>,
    /// Longest deadline, in seconds, of any method since this process started; `None` if a method had no deadline.
    pub longest_deadline: Option<f64>,
}

impl ActiveConfig {
    /// Returns the summary of the configuration that a process starts with.
    pub(crate) fn new(settings: &ParsedSettings) -> Self {
        Self {
            version: 0,
            digest: settings.digest,
            method_count: settings.methods.len(),
            tenant_count: settings.tenants.len(),
            restart_keys: Vec::new(),
            longest_deadline: settings.longest_deadline,
        }
    }

    /// Returns the summary after a reload. `changed` tells whether the settings differ from the active ones.
    pub(super) fn reloaded(
        &self,
        settings: &ParsedSettings,
        changed: bool,
        restart_keys: Vec<&'static str>,
    ) -> Self {
        let deadlines = self.longest_deadline.zip(settings.longest_deadline);
        Self {
            version: self.version + u64::from(changed),
            restart_keys,
            longest_deadline: deadlines.map(|(before, now)| before.max(now)),
            ..Self::new(settings)
        }
    }
}

/// Formats the summary as one line. The text is part of the admin protocol and must not change.
impl fmt::Display for ActiveConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            version,
            digest,
            method_count,
            tenant_count,
            ..
        } = self;
        write!(
            formatter,
            "version {version}, digest {digest:016x}, {method_count} methods, {tenant_count} tenants"
        )?;
        if !self.restart_keys.is_empty() {
            let keys = self.restart_keys.join(", ");
            write!(formatter, "; at the next start: {keys}")?;
        }
        Ok(())
    }
}
