//! When the heartbeat of a link considers the other node silent.

use std::time::{Duration, Instant};

use kestrellock_daemon::links::heartbeat::{Heartbeat, HeartbeatAction};

const TICK: Duration = Duration::from_millis(10);

/// Ticks every 10 ms for `duration` and returns the resulting beats with their times in
/// milliseconds.
fn beats(
    heartbeat: &mut Heartbeat,
    start: Instant,
    duration: Duration,
) -> Vec<(u128, HeartbeatAction)> {
    let mut beats = Vec::new();
    let mut now = start;
    while now < start + duration {
        now += TICK;
        let beat = heartbeat.on_tick(now);
        if beat != HeartbeatAction::Nothing {
            beats.push((now.duration_since(start).as_millis(), beat));
        }
    }
    beats
}

#[test]
fn a_node_without_unanswered_messages_is_not_pinged() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    assert_eq!(beats(&mut heartbeat, start, Duration::from_secs(5)), []);
}

#[test]
fn a_node_that_does_not_answer_is_pinged_and_then_reported_silent_repeatedly() {
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
fn a_slow_statement_is_not_silence_while_the_node_answers_pings() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    heartbeat.on_sent(start);
    assert_eq!(
        beats(&mut heartbeat, start, Duration::from_millis(110)),
        [(100, HeartbeatAction::Ping)]
    );
    heartbeat.on_received();
    assert_eq!(beats(&mut heartbeat, start, Duration::from_secs(3)), []);
}

/// After a pause of its own process, a node has not yet read what arrived during the pause.
#[test]
fn a_paused_node_does_not_count_its_own_pause_as_silence_of_others() {
    let (mut heartbeat, start) = (Heartbeat::default(), Instant::now());
    heartbeat.on_tick(start);
    heartbeat.on_sent(start);
    let resumed = start + Duration::from_secs(2);
    assert_eq!(heartbeat.on_tick(resumed), HeartbeatAction::Nothing);
    assert_eq!(
        beats(&mut heartbeat, resumed, Duration::from_millis(110)),
        [(100, HeartbeatAction::Ping)]
    );
}
