//! Plays around a seed: its faults, each moved by a moment, with other draws for everything else.
//!
//! A seed that broke a promise once says little after a change of the product, which shifts every draw that
//! follows. Its plan does: whatever made it break lies near it.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{FaultKind, Planned};

/// Longest time by which a fault is moved, either way.
const MAX_SHIFT_MS: i64 = 60;
/// Between the seeds of two plays: those of one play do not meet those of the next seed's.
const SEED_STRIDE: u64 = 1_000_003;

/// The randomness of one play around a seed.
pub fn rng(seed: u64, variation: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE).wrapping_add(variation + 1))
}

/// Moves each fault; its length stays. Returns of the store follow each other at least as closely as they were
/// drawn, so they are moved together.
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
