//! Variations of a seed: its faults, each shifted in time by a random amount, with other random
//! draws for everything else.
//!
//! A seed that once violated a guarantee proves little after a change of the code under test, since
//! the change shifts every random draw that follows. Its fault plan remains useful: the conditions
//! of the violation lie close to it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{FaultKind, Planned};

/// Maximum shift of a fault, earlier or later.
const MAX_SHIFT_MS: i64 = 60;
/// Distance between the derived seeds of two neighbouring seeds, so that their variations do not
/// overlap.
const SEED_STRIDE: u64 = 1_000_003;

/// The random number generator of one variation of a seed.
pub fn rng(seed: u64, variation: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE).wrapping_add(variation + 1))
}

/// Shifts each fault and keeps its duration. All store restores are shifted by the same time, which
/// keeps their distance as it was drawn.
pub fn shift_faults(plan: &mut [Planned], rng: &mut StdRng) {
    let restore_shift = draw_shift(rng);
    for planned in plan {
        let shift = match planned.kind {
            FaultKind::StoreRestore(_) => restore_shift,
            _ => draw_shift(rng),
        };
        let at = planned.at.saturating_add_signed(shift);
        planned.until = at + (planned.until - planned.at);
        planned.at = at;
        if let FaultKind::StoreRestore(age) = &mut planned.kind {
            *age = (*age).min(at);
        }
    }
}

fn draw_shift(rng: &mut StdRng) -> i64 {
    rng.random_range(-MAX_SHIFT_MS..=MAX_SHIFT_MS)
}
