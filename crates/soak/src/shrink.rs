//! Shrinking of a failing plan to fewer faults.
use crate::plan::SoakPlan;

/// Removes faults from a plan while `fails` returns true for the rest: first half of them at a time, then smaller and
/// smaller parts, down to single faults. Returns the smallest plan that failed, or the first error of `fails`.
pub fn shrink<E>(
    plan: &SoakPlan,
    mut fails: impl FnMut(&SoakPlan) -> Result<bool, E>,
) -> Result<SoakPlan, E> {
    let mut smallest = plan.clone();
    let mut part_length = smallest.faults.len().div_ceil(2);
    while part_length > 0 && !smallest.faults.is_empty() {
        let mut start = 0;
        while start < smallest.faults.len() {
            let mut smaller = smallest.clone();
            let end = (start + part_length).min(smaller.faults.len());
            smaller.faults.drain(start..end);
            if fails(&smaller)? {
                smallest = smaller;
            } else {
                start += part_length;
            }
        }
        part_length /= 2;
    }
    Ok(smallest)
}
