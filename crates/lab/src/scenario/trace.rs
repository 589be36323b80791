//! The trace of a run that broke an invariant: what the groups went through, and every attempt
//! and commit in order of time and place, as text for a person to read.

use std::fmt::Write;
use std::time::Instant;

use super::deployment::Cluster;
use super::schedule::PlannedFault;
use crate::check::final_state::FinalState;
use crate::check::history::History;

/// Writes the trace.
pub fn write(
    cluster: &Cluster,
    planned: &[PlannedFault],
    began: Instant,
    history: &History,
    state: &FinalState,
) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = write_all(&mut text, cluster, planned, began, history, state);
    text
}

fn write_all(
    text: &mut String,
    cluster: &Cluster,
    planned: &[PlannedFault],
    began: Instant,
    history: &History,
    state: &FinalState,
) -> std::fmt::Result {
    for planned in planned {
        writeln!(text, "fault {planned:?}")?;
    }
    for group in &cluster.groups {
        for event in group.servers.events() {
            let at = event.at.saturating_duration_since(began).as_micros();
            writeln!(text, "event {} at {at}: {:?}", group.id, event.kind)?;
        }
    }
    for group in &state.groups {
        for commit in &group.discarded {
            writeln!(text, "discarded {} {:?} {:?}", group.group, commit.place, commit.changes)?;
        }
    }
    let mut attempts: Vec<_> = history.attempts.iter().collect();
    attempts.sort_by_key(|attempt| attempt.completed);
    for attempt in attempts {
        writeln!(text, "attempt {attempt:?}")?;
    }
    for group in &state.groups {
        for commit in &group.surviving {
            writeln!(text, "commit {} {:?} {:?}", group.group, commit.place, commit.changes)?;
        }
    }
    Ok(())
}
