//! Random samples without repetition.

use crate::membership::RandomSource;
use crate::membership::random::below;

/// Chooses `count` of `items`, or all if there are no more. Costs as many steps as items are
/// chosen, apart from one copy of the references.
pub fn choose<'a, T>(items: &[&'a T], count: usize, random: &mut dyn RandomSource) -> Vec<&'a T> {
    let mut remaining = items.to_vec();
    let count = count.min(remaining.len());
    (0..count).map(|_| remaining.swap_remove(below(random, remaining.len()))).collect()
}
