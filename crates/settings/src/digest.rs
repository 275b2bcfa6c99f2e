//! Hashes that must be the same in every process and version: 64-bit FNV-1a.

use crate::keys;
use birchhub::interface::Settings;
use fnv::FnvHasher;
use serde_json::Value;
use std::hash::Hasher;
use std::io::{self, Write};

/// Adapts the hasher to [`Write`], so that JSON is hashed while it is serialized.
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

/// Returns the hash of an RPC's key. All proxies compute the same hash for a key.
pub fn hash_key(text: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Returns the digest of a settings object, which does not depend on the order of its keys.
///
/// The proxy's own zone is excluded, so that proxies with the same settings have the same digest in every zone.
/// Accounts are hashed by name and quota, from their parsed form: the document may no longer contain them.
pub(crate) fn settings_digest(document: &Value, tenants: &[String], settings: &Settings) -> u64 {
    let mut writer = HashWriter::default();
    let excluded = [keys::ACCOUNTS, keys::OWN_ZONE];
    let fields = document.as_object().into_iter().flatten();
    for field in fields.filter(|(key, _)| !excluded.contains(&key.as_str())) {
        serde_json::to_writer(&mut writer, &field).expect("a parsed value can be serialized");
    }
    for (name, tenant) in tenants.iter().zip(&settings.tenants) {
        writer.0.write(name.as_bytes());
        writer.0.write(&tenant.quota.to_le_bytes());
    }
    writer.0.finish()
}
