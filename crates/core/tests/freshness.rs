//! Age of an instance's data, computed from the reports of the instances.

use std::time::Duration;

use kestrellock_core::freshness::{Freshness, Observation};
use kestrellock_core::ids::InstanceName;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::routing::Role::{self, Primary, Replica};
use proptest::prelude::*;

const MAJORITY: usize = 2;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn observe(freshness: &mut Freshness, report: (&str, Role, u32, u64, u64)) {
    let (instance, role, term, offset, requested_at) = report;
    let applied = Position { term: Term(term), offset: LogOffset(offset) };
    let observation = Observation { role, applied, requested_at: at(requested_at) };
    freshness.on_observation(&InstanceName::new(instance), observation);
}

#[test]
fn ages_match_the_reports() {
    type Report = (&'static str, Role, u32, u64, u64);
    // (reports: instance, role, term, offset, requested at; instance; age at 1000 ms)
    let table: &[(&[Report], &str, Option<u64>)] = &[
        (&[], "a", None),
        (&[("a", Primary, 1, 5, 900)], "a", None),
        (&[("a", Primary, 1, 5, 900), ("b", Replica, 1, 5, 800)], "a", Some(200)),
        (&[("a", Primary, 1, 5, 900), ("b", Replica, 1, 5, 800)], "b", Some(200)),
        (&[("a", Primary, 1, 5, 900), ("b", Replica, 1, 4, 950)], "b", None),
        (
            &[("a", Primary, 1, 4, 700), ("a", Primary, 1, 5, 900), ("b", Replica, 1, 4, 950)],
            "b",
            Some(300),
        ),
        // The primary does not advance, so a replica that has reached it does not age.
        (
            &[("a", Primary, 1, 5, 100), ("a", Primary, 1, 5, 980), ("b", Replica, 1, 5, 990)],
            "b",
            Some(20),
        ),
        // Partitioned: only the primary itself still reports.
        (
            &[("a", Primary, 1, 5, 100), ("b", Replica, 1, 5, 100), ("a", Primary, 1, 6, 990)],
            "a",
            Some(900),
        ),
        // Replaced: neither the old primary nor its replica is fresh.
        (
            &[("a", Primary, 1, 5, 990), ("c", Replica, 1, 5, 990), ("b", Primary, 2, 5, 980)],
            "a",
            None,
        ),
        (
            &[("a", Primary, 1, 5, 990), ("c", Replica, 2, 5, 990), ("b", Primary, 2, 5, 980)],
            "c",
            Some(20),
        ),
    ];
    for (reports, instance, expected) in table {
        let mut freshness = Freshness::default();
        reports.iter().for_each(|report| observe(&mut freshness, *report));
        let age = freshness.age(&InstanceName::new(*instance), MAJORITY, at(1000));
        assert_eq!(age, expected.map(at), "{instance} after {reports:?}");
    }
}

proptest! {
    /// A primary writes at known times. Whatever age is computed, the replica holds all writes that
    /// are older.
    #[test]
    fn replica_holds_every_write_older_than_its_age(
        writes in prop::collection::vec(1..40_u64, 1..60),
        applied in prop::collection::vec(0..60_usize, 1..10),
        step in 3..30_u64,
    ) {
        let mut moments = Vec::new();
        let mut now = 0;
        for gap in writes {
            now += gap;
            moments.push(now);
        }
        let written = |moment: u64| moments.iter().filter(|write| **write <= moment).count() as u64;
        let mut freshness = Freshness::default();
        let mut moment = 0;
        let mut replicated = 0;
        for count in applied {
            moment += step;
            observe(&mut freshness, ("a", Primary, 1, written(moment), moment));
            replicated = (count as u64).max(replicated).min(written(moment));
            observe(&mut freshness, ("b", Replica, 1, replicated, moment));
            let age = freshness.age(&InstanceName::new("b"), MAJORITY, at(moment));
            if let Some(age) = age {
                let complete = moment - age.as_millis() as u64;
                prop_assert!(replicated >= written(complete), "{replicated} at {moment}, age {age:?}");
            }
        }
    }
}
