//! Makes a plan that fails smaller.
use crate::fault::SoakPlan;

/// Leaves out faults for as long as `fails` holds: first halves of what is left, then ever smaller parts, down to single
/// faults. Returns the smallest plan that was seen to fail.
pub fn shrink<E>(
    plan: &SoakPlan,
    mut fails: impl FnMut(&SoakPlan) -> Result<bool, E>,
) -> Result<SoakPlan, E> {
    let mut smallest = plan.clone();
    let mut part = smallest.faults.len().div_ceil(2);
    while part > 0 && !smallest.faults.is_empty() {
        let mut start = 0;
        while start < smallest.faults.len() {
            let mut smaller = smallest.clone();
            let end = (start + part).min(smaller.faults.len());
            smaller.faults.drain(start..end);
            if fails(&smaller)? {
                smallest = smaller;
            } else {
                start += part;
            }
        }
        part /= 2;
    }
    Ok(smallest)
}
