//! When a node takes another one for silent.

use std::time::{Duration, Instant};

use kestrellock_daemon::links::heartbeat::{Heartbeat, HeartbeatAction};

const TICK: Duration = Duration::from_millis(10);

/// What ticks of 10 ms for `time` call for, with the moment of each.
fn beats(
    heartbeat: &mut Heartbeat,
    start: Instant,
    time: Duration,
) -> Vec<(u128, HeartbeatAction)> {
    let mut beats = Vec::new();
    let mut now = start;
    while now < start + time {
        now += TICK;
        let beat = heartbeat.on_tick(now);
        if beat != HeartbeatAction::Nothing {
            beats.push((now.duration_since(start).as_millis(), beat));
        }
    }
    beats
}

#[test]
fn a_node_that_owes_nothing_is_not_asked() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    assert_eq!(beats(&mut heartbeat, start, Duration::from_secs(5)), []);
}

#[test]
fn a_node_that_answers_nothing_is_asked_and_then_silent_again_and_again() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    heartbeat.on_sent(start);
    let expected = [
        (100, HeartbeatAction::Ping),
        (300, HeartbeatAction::Silent),
        (800, HeartbeatAction::Silent),
    ];
    assert_eq!(beats(&mut heartbeat, start, Duration::from_secs(1)), expected);
}

#[test]
fn a_slow_answer_to_a_statement_is_no_silence_as_long_as_the_node_says_that_it_runs() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    heartbeat.on_sent(start);
    assert_eq!(
        beats(&mut heartbeat, start, Duration::from_millis(110)),
        [(100, HeartbeatAction::Ping)]
    );
    heartbeat.on_received();
    assert_eq!(beats(&mut heartbeat, start, Duration::from_secs(3)), []);
}

/// After a freeze of its own a node has not yet read what arrived meanwhile.
#[test]
fn a_node_that_stood_still_takes_nobody_for_silent_for_that_time() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    heartbeat.on_tick(start);
    heartbeat.on_sent(start);
    let awake = start + Duration::from_secs(2);
    assert_eq!(heartbeat.on_tick(awake), HeartbeatAction::Nothing);
    assert_eq!(
        beats(&mut heartbeat, awake, Duration::from_millis(110)),
        [(100, HeartbeatAction::Ping)]
    );
}
