//! An old primary steps down however late it is back, and however the attempt goes on.

use std::time::{Duration, Instant};

use kestrellock_core::ids::InstanceName;
use kestrellock_core::promotion::{Attempt, Command, Reason};

use crate::support::*;

/// Time in which an old primary that is back can answer nothing yet: it is to be told to step down at least as
/// often.
const STEP_DOWN_WITHIN: Duration = Duration::from_millis(60);

/// Steps for a time; when each order to step down was given.
fn orders_to_step_down(
    attempt: &mut Attempt,
    now: &mut Instant,
    lasts: Duration,
) -> Vec<(Instant, InstanceName)> {
    let until = *now + lasts;
    let mut orders = Vec::new();
    while *now < until {
        *now += STEP;
        let commands = attempt.step(*now);
        let demoted = commands.into_iter().filter_map(|command| match command {
            Command::Demote { instance, .. } => Some((*now, instance)),
            _ => None,
        });
        orders.extend(demoted);
    }
    orders
}

/// A primary that crashed came back, as a primary, 72 ms before its successor led. The one order to step down
/// had met the process before; the next was due after 250 ms. The successor died 34 ms after it had led, and
/// the old primary answered two commits through a replica that the promotion had released (simulation of
/// replacements, up to nine faults, seed 9805: promotion sent at 2,571 ms, old primary back at 2,799, successor
/// led at 2,871 and was gone at 2,905, commits answered at 2,958 and 3,045, stepped down at 3,125).
#[test]
fn the_old_primary_is_told_to_step_down_as_long_as_the_successor_is_awaited() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    begin(&mut attempt, now);
    assert!(promotes(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
    let began = now;
    let orders = orders_to_step_down(&mut attempt, &mut now, Duration::from_millis(500));
    assert!(orders.iter().all(|(_, instance)| *instance == name(FORMER)), "{orders:?}");
    let times = [began].into_iter().chain(orders.iter().map(|(at, _)| *at)).chain([now]);
    let times: Vec<Instant> = times.collect();
    let longest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(longest <= Some(STEP_DOWN_WITHIN), "{longest:?}");
}

/// A replica stayed stopped for good and received nothing. The holder before had stopped the old primary as one of the
/// replicas, since it had stepped down; the next holder found that a successor led, and released the others alone.
#[test]
fn an_old_primary_that_an_earlier_holder_stopped_is_released_with_the_replicas() {
    let now = Instant::now();
    let mut attempt = attempt(Reason::Unfinished, members(&["b"]));
    begin(&mut attempt, now);
    let mut now = now;
    let commands = steps(&mut attempt, &mut now, Duration::from_secs(1));
    let releases = |instance: &str| commands.contains(&Command::Release(name(instance)));
    assert!(releases("c"), "{commands:?}");
    assert!(releases(FORMER), "{commands:?}");
}
