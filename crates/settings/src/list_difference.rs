//! The difference between two lists of named values.

use std::collections::{HashMap, HashSet};
use std::fmt;

/// Number of names that were added, changed and removed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ListDifference {
    /// Number of names that only the new list has.
    pub added: usize,
    /// Number of names whose values differ.
    pub changed: usize,
    /// Number of names that only the former list has.
    pub removed: usize,
    /// Length of the new list.
    pub total: usize,
}

impl ListDifference {
    /// Whether no name was added, changed or removed. The order may have changed.
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

/// The result of comparing two lists.
pub(crate) struct Comparison {
    /// Former index of each name of the new list; `None` for an added name.
    pub carried_over: Vec<Option<usize>>,
    /// Counts of names that differ.
    pub difference: ListDifference,
}

/// Compares two lists by name.
///
/// If a name is listed several times, its last index counts. Each former index is carried over once: otherwise two tenants
/// of the same name would both start with the state of one.
pub(crate) fn compare<T: PartialEq>(before: &NamedList<T>, now: &NamedList<T>) -> Comparison {
    // Most changes leave most of the list unchanged: only names after the common start are looked up.
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
    Comparison {
        carried_over,
        difference,
    }
}

/// Returns the length of the common start of both lists.
fn common_start(before: &[String], now: &[String]) -> usize {
    let pairs = before.iter().zip(now);
    pairs.take_while(|(before, now)| before == now).count()
}

/// Returns the last index of each name from this index on.
fn indexes_by_name(names: &[String], from: usize) -> HashMap<&String, usize> {
    let names = names.iter().enumerate().skip(from);
    names.map(|(index, name)| (name, index)).collect()
}

/// Returns the former index of each name. The first `same` names are unchanged.
fn carry_over(
    names: &[String],
    same: usize,
    mut indexes_before: HashMap<&String, usize>,
) -> Vec<Option<usize>> {
    let unchanged = (0..same).map(Some);
    let looked_up = names[same..].iter().map(|name| indexes_before.remove(name));
    unchanged.chain(looked_up).collect()
}

/// Returns the number of values that differ from their former values.
fn count_changed<T: PartialEq>(before: &[T], now: &[T], carried_over: &[Option<usize>]) -> usize {
    let pairs = carried_over.iter().zip(now);
    pairs
        .filter(|(index, now)| index.is_some_and(|index| before[index] != **now))
        .count()
}
