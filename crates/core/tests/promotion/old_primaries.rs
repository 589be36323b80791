//! An old primary steps down, however late it returns and however the attempt continues.

use std::time::{Duration, Instant};

use kestrellock_core::ids::InstanceName;
use kestrellock_core::promotion::{Attempt, Command, Reason};

use crate::support::*;

/// Time within which an old primary that has returned cannot acknowledge commits yet. The longest
/// allowed interval between two demotions.
const MAX_DEMOTE_INTERVAL: Duration = Duration::from_millis(60);

/// Runs the attempt for `duration`; returns when each demotion was sent.
fn demotions(
    attempt: &mut Attempt,
    now: &mut Instant,
    duration: Duration,
) -> Vec<(Instant, InstanceName)> {
    let until = *now + duration;
    let mut demotions = Vec::new();
    while *now < until {
        *now += STEP;
        let commands = attempt.step(*now);
        let demoted = commands.into_iter().filter_map(|command| match command {
            Command::Demote { instance, .. } => Some((*now, instance)),
            _ => None,
        });
        demotions.extend(demoted);
    }
    demotions
}

/// Guards against commits of an old primary that returns while the promotion is pending. It
/// returned 72 ms before its successor was primary, and the only demotion had reached its previous
/// process; the next was due after 250 ms. The successor crashed 34 ms after it had become primary,
/// and the old primary acknowledged two commits through a replica that the promotion had released
/// (simulation of replacements, up to nine faults, seed 9805).
#[test]
fn demotes_the_old_primary_repeatedly_until_a_successor_is_known() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
    let began = now;
    let demotions = demotions(&mut attempt, &mut now, Duration::from_millis(500));
    assert!(demotions.iter().all(|(_, instance)| *instance == name(OLD_PRIMARY)), "{demotions:?}");
    let times = [began].into_iter().chain(demotions.iter().map(|(at, _)| *at)).chain([now]);
    let times: Vec<Instant> = times.collect();
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(MAX_DEMOTE_INTERVAL), "{longest:?}");
}

/// Guards against an old primary that stays stopped forever. The previous coordinator had stopped
/// it as one of the replicas, since it had stepped down. The next coordinator found a successor and
/// released the other replicas only.
#[test]
fn releases_an_old_primary_that_an_earlier_coordinator_stopped() {
    let now = Instant::now();
    let mut attempt = attempt(Reason::Unfinished, members(&["b"]));
    record_intent(&mut attempt, now);
    let mut now = now;
    let commands = run_for(&mut attempt, &mut now, Duration::from_secs(1));
    let releases = |instance: &str| commands.contains(&Command::Release(name(instance)));
    assert!(releases("c"), "{commands:?}");
    assert!(releases(OLD_PRIMARY), "{commands:?}");
}
