//! How a list of named values differs from the one before.

use std::collections::{HashMap, HashSet};
use std::fmt;

/// Number of names that were added, changed and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListDifference {
    /// Names that are new.
    pub added: usize,
    /// Names whose value is another.
    pub changed: usize,
    /// Names that are no longer there.
    pub removed: usize,
    /// All values of the new list.
    pub total: usize,
}

impl ListDifference {
    /// No name was added, changed or removed; their order may have changed.
    pub(crate) fn is_none(&self) -> bool {
        (self.added, self.changed, self.removed) == (0, 0, 0)
    }
}

impl fmt::Display for ListDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            added,
            changed,
            removed,
            total,
        } = self;
        write!(
            formatter,
            "{added} added, {changed} changed, {removed} removed, {total} in all"
        )
    }
}

/// Values and their names, in the same order.
pub(crate) struct NamedList<'a, T> {
    pub names: &'a [String],
    pub values: &'a [T],
}

/// Compares two lists by name. Returns the index before of each name now, and how the lists differ.
///
/// Of a name that is listed several times the last index counts, and each index is carried over once: otherwise the state
/// of one tenant would count for two of the same name.
pub(crate) fn compare<T: PartialEq>(
    before: &NamedList<T>,
    now: &NamedList<T>,
) -> (Vec<Option<usize>>, ListDifference) {
    // Most changes leave most of the list as it is: only names behind the common start are looked up.
    let same = common_start(before.names, now.names);
    let indexes_before: HashMap<&String, usize> = indexes_by_name(before.names, same);
    let carried_over = carry_over(now.names, same, indexes_before.clone());
    let carried = carried_over[same..].iter().flatten().count();
    let names_now: HashSet<&String> = now.names[same..].iter().collect();
    let difference = ListDifference {
        added: names_now.len() - carried,
        changed: count_changed(before.values, now.values, &carried_over),
        removed: indexes_before.len() - carried,
        total: now.names.len(),
    };
    (carried_over, difference)
}

/// Number of names at the start of both lists that are the same.
fn common_start(before: &[String], now: &[String]) -> usize {
    let pairs = before.iter().zip(now);
    pairs.take_while(|(before, now)| before == now).count()
}

/// The last index of each name from this index on.
fn indexes_by_name(names: &[String], from: usize) -> HashMap<&String, usize> {
    let names = names.iter().enumerate().skip(from);
    names.map(|(index, name)| (name, index)).collect()
}

/// The index before of each name, where the first ones are the same.
fn carry_over(
    names: &[String],
    same: usize,
    mut indexes_before: HashMap<&String, usize>,
) -> Vec<Option<usize>> {
    let unchanged = (0..same).map(Some);
    let looked_up = names[same..].iter().map(|name| indexes_before.remove(name));
    unchanged.chain(looked_up).collect()
}

/// Number of values that differ from the one they had before.
fn count_changed<T: PartialEq>(before: &[T], now: &[T], carried_over: &[Option<usize>]) -> usize {
    let pairs = carried_over.iter().zip(now);
    pairs
        .filter(|(index, now)| index.is_some_and(|index| before[index] != **now))
        .count()
}
