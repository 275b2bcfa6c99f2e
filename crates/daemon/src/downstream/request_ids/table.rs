//! A table of `Request-Id`s with a fixed number of entries, which all processes of a proxy can share.
//!
//! It holds the ids of open requests, and of ended ones that a backend may have executed and must not execute again. An
//! entry is one word, changed by atomic operations only, so no process waits for another one, and one that is killed leaves
//! nothing locked. The table is set-associative: an id has one set, in which the oldest entry makes room for a new one.
use memmap2::{MmapOptions, MmapRaw};
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of entries in a set.
const WAYS: usize = 8;
/// Number of sets. With all entries in use the table takes 512 KiB.
const SETS: usize = 1 << 13;
/// Words before the first set: the sequence number of the next entry, and unused ones up to a cache line.
const HEADER_WORDS: usize = 8;
const WORDS: usize = HEADER_WORDS + SETS * WAYS;

/// State of an entry whose request is open, in the entry's two lowest bits.
const OPEN: u64 = 1;
/// State of an entry whose request has ended and may have been executed.
const EXECUTED: u64 = 2;
const STATE_MASK: u64 = 3;
/// Position of the entry's sequence number, which tells its age.
const SEQUENCE_SHIFT: u32 = 2;
const SEQUENCE_MASK: u64 = 0xFFFF << SEQUENCE_SHIFT;
/// Number of entries with the same sequence number. The number wraps around after 64 tables.
const ENTRIES_PER_SEQUENCE_NUMBER: u64 = 64;
/// The bits of an entry that identify its id within the set.
const TAG_MASK: u64 = !(STATE_MASK | SEQUENCE_MASK);

/// Length of the table in memory.
const TABLE_BYTES: usize = WORDS * size_of::<u64>();

/// A table of `Request-Id`s, in the memory of this process or in a file that other processes map too.
pub(crate) struct RequestIdTable(MmapRaw);

/// The entry of an open request.
#[derive(Debug)]
pub(super) struct TableEntry {
    index: usize,
    value: u64,
}

/// What the table says of an id.
#[derive(Debug)]
pub(super) enum TableClaim {
    /// The id is new, and has this entry now.
    Claimed(TableEntry),
    /// The table holds the id.
    Known,
}

impl RequestIdTable {
    /// Creates an empty table of this process.
    ///
    /// # Panics
    /// The system has no memory for it.
    pub(crate) fn private() -> Self {
        let map = MmapOptions::new().len(TABLE_BYTES).map_anon();
        Self(map.expect("memory for the table").into())
    }

    /// Opens the table in this file, or creates an empty one.
    ///
    /// # Errors
    /// The file can't be opened, extended or mapped.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)?;
        file.set_len(TABLE_BYTES as u64)?;
        let map = MmapOptions::new().len(TABLE_BYTES).map_raw(&file)?;
        Ok(Self(map))
    }

    fn words(&self) -> &[AtomicU64] {
        let words = self.0.as_mut_ptr().cast::<AtomicU64>();
        // SAFETY: the map is page-aligned, has this length and lives as long as the table; all processes access it by atomic
        // operations, and none shortens the file.
        unsafe { std::slice::from_raw_parts(words, WORDS) }
    }

    /// Gives an id an entry, unless the table holds it.
    pub(super) fn claim(&self, id: &[u8]) -> TableClaim {
        let hash = hash(id);
        let set = self.set_of(hash);
        loop {
            if self.find(set, hash, usize::MAX).is_some() {
                return TableClaim::Known;
            }
            let (index, former) = self.replaceable(set);
            let value = (hash & TAG_MASK) | self.next_sequence() | OPEN;
            let word = &self.words()[index];
            let exchanged =
                word.compare_exchange(former, value, Ordering::SeqCst, Ordering::SeqCst);
            if exchanged.is_err() {
                continue;
            }
            let entry = TableEntry { index, value };
            // Another process may have claimed the id in the same moment, in another entry: neither has it then.
            if self.find(set, hash, index).is_some() {
                self.release(&entry);
                return TableClaim::Known;
            }
            return TableClaim::Claimed(entry);
        }
    }

    /// Removes the entry of a request that was not executed.
    pub(super) fn release(&self, entry: &TableEntry) {
        self.replace(entry, 0);
    }

    /// Keeps the entry of a request that has ended and may have been executed.
    pub(super) fn keep_executed(&self, entry: &TableEntry) {
        self.replace(entry, (entry.value & !STATE_MASK) | EXECUTED);
    }

    /// Changes an entry unless it has made room for another one.
    fn replace(&self, entry: &TableEntry, value: u64) {
        let word = &self.words()[entry.index];
        let _ = word.compare_exchange(entry.value, value, Ordering::SeqCst, Ordering::SeqCst);
    }

    /// The index of the first entry in the set of this hash.
    fn set_of(&self, hash: u64) -> usize {
        HEADER_WORDS + (hash as usize % SETS) * WAYS
    }

    /// The index of the entry with this hash, other than `except`.
    fn find(&self, set: usize, hash: u64, except: usize) -> Option<usize> {
        (set..set + WAYS).find(|index| {
            let value = self.words()[*index].load(Ordering::SeqCst);
            *index != except && value & STATE_MASK != 0 && value & TAG_MASK == hash & TAG_MASK
        })
    }

    /// The index and value of the entry that makes room: an empty one, else the oldest of an ended request, else the oldest.
    fn replaceable(&self, set: usize) -> (usize, u64) {
        let now = self.words()[0].load(Ordering::Relaxed);
        let entries = (set..set + WAYS).map(|index| {
            let value = self.words()[index].load(Ordering::SeqCst);
            (index, value)
        });
        let rank = |value: u64| match value & STATE_MASK {
            0 => 2,
            EXECUTED => 1,
            _ => 0,
        };
        entries
            .max_by_key(|(_, value)| (rank(*value), age(*value, now)))
            .expect("a set has entries")
    }

    /// The sequence number of an entry that is made now, in its place within the word.
    fn next_sequence(&self) -> u64 {
        let number = self.words()[0].fetch_add(1, Ordering::Relaxed);
        sequence(number)
    }
}

/// How many sequence numbers ago an entry was made.
fn age(value: u64, now: u64) -> u64 {
    sequence(now).wrapping_sub(value & SEQUENCE_MASK) & SEQUENCE_MASK
}

fn sequence(number: u64) -> u64 {
    ((number / ENTRIES_PER_SEQUENCE_NUMBER) << SEQUENCE_SHIFT) & SEQUENCE_MASK
}

/// A hash that is the same in all processes.
fn hash(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
mod tests;
