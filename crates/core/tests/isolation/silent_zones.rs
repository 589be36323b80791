//! Owners of a zone are avoided after two of its nodes went silent: each further owner cost the
//! statements that were sent to it the time until its silence was noticed.

use std::time::{Duration, Instant};

use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::isolation::silent_zones::SilentZones;

fn zone() -> ZoneName {
    ZoneName::new("zone")
}

#[test]
fn a_second_silent_node_makes_its_zone_avoided_until_something_in_it_answers() {
    let (mut zones, now) = (SilentZones::default(), Instant::now());
    zones.on_silent(&NodeName::new("a"), &zone(), now);
    zones.on_silent(&NodeName::new("a"), &zone(), now);
    assert!(!zones.is_avoided(&zone(), now), "one node may be frozen");
    zones.on_silent(&NodeName::new("b"), &zone(), now);
    assert!(zones.is_avoided(&zone(), now));
    assert!(!zones.is_avoided(&ZoneName::new("other"), now));
    zones.on_answer(&zone());
    assert!(!zones.is_avoided(&zone(), now));
    assert!(zones.is_empty());
}

#[test]
fn an_answer_between_two_silences_shows_that_only_these_nodes_are_silent() {
    let (mut zones, now) = (SilentZones::default(), Instant::now());
    zones.on_silent(&NodeName::new("a"), &zone(), now);
    zones.on_answer(&zone());
    zones.on_silent(&NodeName::new("b"), &zone(), now);
    assert!(!zones.is_avoided(&zone(), now));
}

#[test]
fn a_silence_that_is_not_reported_again_is_forgotten() {
    let (mut zones, now) = (SilentZones::default(), Instant::now());
    zones.on_silent(&NodeName::new("a"), &zone(), now);
    zones.on_silent(&NodeName::new("b"), &zone(), now);
    assert!(zones.is_avoided(&zone(), now + Duration::from_secs(2)));
    assert!(!zones.is_avoided(&zone(), now + Duration::from_secs(4)));
}
