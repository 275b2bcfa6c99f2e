//! Digests that are the same in every process and version: FNV-1a with 64 bits.

use crate::accounts;
use crate::parse::OWN_ZONE;
use birchhub::interface::Settings;
use fnv::FnvHasher;
use serde_json::Value;
use std::hash::Hasher;
use std::io::{self, Write};

/// Hashes what is written to it.
#[derive(Default)]
struct HashWriter(FnvHasher);

impl Write for HashWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The hash of an RPC's key, the same at every proxy.
pub fn hash_key(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The digest of a settings object, whatever the order of its keys. A proxy's own zone does not count, and of an account
/// only its name and quota do.
pub(crate) fn settings_digest(document: &Value, tenants: &[String], settings: &Settings) -> u64 {
    let mut writer = HashWriter::default();
    let fields = document.as_object().into_iter().flatten();
    for field in fields.filter(|(key, _)| ![accounts::KEY, OWN_ZONE].contains(&key.as_str())) {
        serde_json::to_writer(&mut writer, &field).expect("a value that was parsed");
    }
    for (name, tenant) in tenants.iter().zip(&settings.tenants) {
        writer.0.write(name.as_bytes());
        writer.0.write(&tenant.quota.to_le_bytes());
    }
    writer.0.finish()
}
