//! Processor time of the nodes and memory of this process, from `/proc`.

use std::fs;
use std::io;
use std::path::Path;
use std::time::Duration;

const TASKS: &str = "/proc/self/task";
/// Length of one unit of processor time in `/proc`: `USER_HZ` is 100 on every Linux machine.
const TICK: Duration = Duration::from_millis(10);
/// Stands between supervisor and child in the names of a node's threads, and in no others.
const SUPERVISED_NAME_MARK: char = '/';
/// Positions of user and system time among the fields that follow the thread's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Processor time that the threads of every node in this process have used so far, to the
/// hundredth of a second for each thread.
///
/// A thread takes its name only after it has begun to run, so the threads are looked up anew at
/// every call.
pub fn processor_time_of_nodes() -> io::Result<Duration> {
    let mut ticks = 0;
    for entry in fs::read_dir(TASKS)? {
        let task = entry?.path();
        // A thread may end between the listing and the look at it.
        let Ok(name) = fs::read_to_string(task.join("comm")) else { continue };
        if name.contains(SUPERVISED_NAME_MARK) {
            ticks += ticks_of(&task).unwrap_or(0);
        }
    }
    Ok(ticks * TICK)
}

fn ticks_of(task: &Path) -> Option<u32> {
    let text = fs::read_to_string(task.join("stat")).ok()?;
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
