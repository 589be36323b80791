//! Random numbers that a seed determines.

use kestrellock_core::membership::RandomSource;

/// SplitMix64.
pub struct SeededRandom(pub u64);

impl RandomSource for SeededRandom {
    fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
}

impl SeededRandom {
    /// A number from `low` up to and including `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next_number() % (high - low + 1)
    }

    /// True in `percent` of all cases.
    pub fn happens(&mut self, percent: u64) -> bool {
        self.between(1, 100) <= percent
    }

    /// A number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.between(0, 1_000_000) as f64 / 1_000_000.0
    }
}
