//! Comparison of two lists of named values.

use std::collections::{HashMap, HashSet};
use std::fmt;

/// Number of names that were added, changed and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListDifference {
    /// Number of names that are only in the new list.
    pub added: usize,
    /// Number of names whose values differ.
    pub changed: usize,
    /// Number of names that are only in the old list.
    pub removed: usize,
    /// Length of the new list.
    pub total: usize,
}

impl ListDifference {
    /// Whether no name was added, changed or removed. The order may have changed.
    pub(crate) fn is_empty(&self) -> bool {
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

/// The result of comparing two lists.
pub(crate) struct Comparison {
    /// Index in the old list for each item of the new list; `None` if the item is new.
    pub carried_over: Vec<Option<usize>>,
    /// Number of names that differ.
    pub difference: ListDifference,
}

/// Compares two lists by name.
///
/// If the old list contains a name several times after the common prefix, its last index is used. Each old index is
/// carried over at most once: otherwise two tenants of the same name would both start with the state of one.
pub(crate) fn compare<T: PartialEq>(old: &NamedList<T>, new: &NamedList<T>) -> Comparison {
    // Most changes leave most of the list unchanged: only names after the common prefix are looked up.
    let prefix_length = common_prefix_length(old.names, new.names);
    let old_indexes: HashMap<&String, usize> = indexes_by_name(old.names, prefix_length);
    let carried_over = carry_over(new.names, prefix_length, old_indexes.clone());
    let carried = carried_over[prefix_length..].iter().flatten().count();
    let new_names: HashSet<&String> = new.names[prefix_length..].iter().collect();
    let difference = ListDifference {
        added: new_names.len() - carried,
        changed: count_changed(old.values, new.values, &carried_over),
        removed: old_indexes.len() - carried,
        total: new.names.len(),
    };
    Comparison {
        carried_over,
        difference,
    }
}

/// Returns the length of the common prefix of both lists.
fn common_prefix_length(old: &[String], new: &[String]) -> usize {
    let pairs = old.iter().zip(new);
    pairs.take_while(|(old, new)| old == new).count()
}

/// Returns the last index of each name, among the names from index `from` on.
fn indexes_by_name(names: &[String], from: usize) -> HashMap<&String, usize> {
    let names = names.iter().enumerate().skip(from);
    names.map(|(index, name)| (name, index)).collect()
}

/// Returns the old index of each name of the new list. The first `prefix_length` names are unchanged.
fn carry_over(
    names: &[String],
    prefix_length: usize,
    mut old_indexes: HashMap<&String, usize>,
) -> Vec<Option<usize>> {
    let unchanged = (0..prefix_length).map(Some);
    // Removing an index ensures that it is carried over only once.
    let looked_up = names[prefix_length..]
        .iter()
        .map(|name| old_indexes.remove(name));
    unchanged.chain(looked_up).collect()
}

/// Returns the number of new values that differ from the old values with the same name.
fn count_changed<T: PartialEq>(old: &[T], new: &[T], carried_over: &[Option<usize>]) -> usize {
    let pairs = carried_over.iter().zip(new);
    pairs
        .filter(|(index, new)| index.is_some_and(|index| old[index] != **new))
        .count()
}
