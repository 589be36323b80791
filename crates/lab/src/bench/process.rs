//! Processor time of chosen threads and memory of this process, from `/proc`.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::time::Duration;

const TASKS: &str = "/proc/self/task";
/// Length of one unit of processor time in `/proc`: `USER_HZ` is 100 on every Linux machine.
const TICK: Duration = Duration::from_millis(10);
/// Beginning of the names that a node's supervisor gives to its threads.
const NODE_THREAD_PREFIX: &str = "node/";
/// Positions of user and system time among the fields that follow the thread's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Threads of this process, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Threads {
    numbers: BTreeSet<u32>,
}

impl Threads {
    /// Every thread that a node of this process runs now.
    pub fn of_nodes() -> io::Result<Self> {
        let mut numbers = BTreeSet::new();
        for entry in fs::read_dir(TASKS)? {
            let name = entry?.file_name();
            let Some(number) = name.to_str().and_then(|text| text.parse().ok()) else { continue };
            // A thread may end between the listing and the look at it.
            let Ok(thread_name) = fs::read_to_string(format!("{TASKS}/{number}/comm")) else {
                continue;
            };
            if thread_name.starts_with(NODE_THREAD_PREFIX) {
                numbers.insert(number);
            }
        }
        Ok(Self { numbers })
    }

    /// The threads of this set that are not in `other`.
    pub fn without(&self, other: &Self) -> Self {
        Self { numbers: self.numbers.difference(&other.numbers).copied().collect() }
    }

    /// Processor time that they have used, to the hundredth of a second for each thread.
    pub fn processor_time(&self) -> Duration {
        self.numbers.iter().filter_map(|number| ticks_of(*number)).sum::<u32>() * TICK
    }
}

fn ticks_of(thread: u32) -> Option<u32> {
    let text = fs::read_to_string(format!("{TASKS}/{thread}/stat")).ok()?;
    // The name stands in parentheses and may hold anything; the fields follow the last one.
    let (_, fields) = text.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_ascii_whitespace().collect();
    let user: u32 = fields.get(USER_TIME_FIELD)?.parse().ok()?;
    let system: u32 = fields.get(SYSTEM_TIME_FIELD)?.parse().ok()?;
    Some(user + system)
}

/// Memory that this process holds resident, in bytes.
pub fn resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_ascii_whitespace().next())
        .and_then(|number| number.parse::<u64>().ok())
        .ok_or_else(|| io::Error::other("no VmRSS in /proc/self/status"))?;
    Ok(kilobytes * 1024)
}
