//! What this process uses: processor time of a thread, and memory.

use std::time::Duration;

const PAGE_BYTES: u64 = 4096;

/// Processor time that the calling thread has used.
pub fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or_default();
    Duration::from_nanos(first.parse().unwrap_or_default())
}

/// Memory of the process that is in use, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text.split_whitespace().nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
