//! Checks that every node activates each accepted configuration in time and never returns to an
//! earlier revision.

use super::history::{AcceptedChange, ConfigurationTrack, History, RunTime};
use super::violation::{Invariant, Verdict};

/// Time within which every node must have activated an accepted change, in microseconds. For a node
/// that starts later, it counts from its start.
pub const ACTIVATION_LIMIT: RunTime = RunTime(9_000_000);

/// Checks the revisions observed on every node.
pub fn check(history: &History, verdict: &mut Verdict) {
    for track in &history.configuration {
        check_order(track, verdict);
        for change in &history.accepted_changes {
            check_activated(track, change, verdict);
        }
    }
}

fn check_order(track: &ConfigurationTrack, verdict: &mut Verdict) {
    for pair in track.samples.windows(2) {
        if pair[1].revision < pair[0].revision {
            let detail = format!(
                "{} went from revision {} back to {}",
                track.node, pair[0].revision, pair[1].revision
            );
            verdict.add(Invariant::ConfigurationKept, detail);
        }
    }
}

/// Adds at most one violation per node and change.
fn check_activated(track: &ConfigurationTrack, change: &AcceptedChange, verdict: &mut Verdict) {
    let limit = RunTime(change.at.max(track.started).0 + ACTIVATION_LIMIT.0);
    let late =
        track.samples.iter().find(|sample| sample.at > limit && sample.revision < change.revision);
    if let Some(sample) = late {
        let detail = format!(
            "{} has revision {} instead of {}, {} us after that one was accepted",
            track.node,
            sample.revision,
            change.revision,
            sample.at.0 - change.at.0
        );
        verdict.add(Invariant::ConfigurationInForce, detail);
    }
}
