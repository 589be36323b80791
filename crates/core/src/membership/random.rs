//! Randomness as an argument, so that runs are reproducible.

/// A source of random numbers.
pub trait RandomSource {
    /// The next number, uniformly distributed over all values.
    fn next_number(&mut self) -> u64;
}

impl<F: FnMut() -> u64> RandomSource for F {
    fn next_number(&mut self) -> u64 {
        self()
    }
}

/// A random number below `bound`; zero when `bound` is zero.
pub fn below(random: &mut dyn RandomSource, bound: usize) -> usize {
    if bound == 0 {
        return 0;
    }
    (random.next_number() % bound as u64) as usize
}

/// Shuffles `items`.
pub fn shuffle<T>(items: &mut [T], random: &mut dyn RandomSource) {
    for last in (1..items.len()).rev() {
        items.swap(last, below(random, last + 1));
    }
}
