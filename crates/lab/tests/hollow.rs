//! Hollow nodes: a small cluster converges, carries changes and restarts, and reports them.

use kestrellock_lab::hollow::catalog::{catalog, changed};
use kestrellock_lab::hollow::report::ChangeTimes;
use kestrellock_lab::hollow::run;

#[test]
fn a_small_cluster_converges_and_puts_changes_in_force_under_churn() {
    let report = run(&[8], 20, 5, 3).expect("every node agrees at boot and after the churn");
    let size = &report.sizes[0];
    assert_eq!((size.nodes, size.databases), (8, 20));
    assert_eq!(size.quiet.deaths_declared, 0);
    assert!(size.churn.restarts > 0);
    assert!(size.changes.count > 0);
    assert!(size.churn.datagram_bytes_per_second > 0.0);
    assert!(report.status.message_bytes > report.status.further_status_bytes);
}

#[test]
fn a_change_touches_one_entry_at_the_next_revision() {
    let before = catalog(30);
    before.validate().expect("the catalog is valid");
    let after = changed(&before, 7);
    after.validate().expect("it stays valid");
    assert_eq!(after.revision.0, before.revision.0 + 1);
    let delta = after.delta_since(before.revision);
    assert_eq!(delta.revisions.len(), 1);
    assert_eq!(before.with(&delta).expect("the delta fits"), after);
}

#[test]
fn quantiles_of_change_times() {
    let times = ChangeTimes::of((1..=100).rev().map(f64::from).collect());
    assert_eq!((times.p50_seconds, times.p99_seconds, times.max_seconds), (50.0, 99.0, 100.0));
    assert_eq!(ChangeTimes::of(Vec::new()).count, 0);
}
