//! Outcome of writes while the primary of a group is replaced.

mod support;

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

const LONG_DEADLINE: Duration = Duration::from_secs(20);
const SHORT_DEADLINE: Duration = Duration::from_millis(1500);

fn start(deadline: Duration) -> (ScriptedGroup, Pair, Client) {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, deadline, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    (group, pair, client)
}

/// Indexes of the instances that ran marked statements.
fn instances_of_marked(group: &ScriptedGroup) -> Vec<usize> {
    let script = group.script();
    let marked = script.seen.iter().filter(|(_, sql)| sql.contains(support::MARK));
    marked.map(|(index, _)| *index).collect()
}

fn promote(group: &ScriptedGroup, index: usize, term: u32) {
    let mut script = group.script();
    script.primary = index;
    script.terms = vec![term; 3];
    // The old primary, if it still runs, keeps its term and still reports that it is primary.
    if index != 0 {
        script.terms[0] = 1;
    }
}

#[test]
fn an_unsent_write_waits_for_the_new_primary() {
    let (group, _pair, mut client) = start(LONG_DEADLINE);
    group.kill(0);
    client.send("INSERT INTO marked VALUES (1)");
    promote(&group, 1, 2);
    assert_eq!(client.answer().error, None);
    assert_eq!(instances_of_marked(&group), [1]);
}

/// The old primary still answers and reports that it is primary; one replica reports the new term.
#[test]
fn an_old_primary_gets_no_more_writes() {
    let (group, _pair, mut client) = start(LONG_DEADLINE);
    promote(&group, 2, 2);
    wait_until("the new primary is used", || {
        client.query("INSERT INTO plain VALUES (1)").error.is_none()
            && group.script().seen.last().is_some_and(|(index, _)| *index == 2)
    });
    assert_eq!(client.query("INSERT INTO marked VALUES (2)").error, None);
    assert_eq!(instances_of_marked(&group), [2]);
}

/// A second failover while clients wait for the first. The first new primary never accepts a write.
#[test]
fn a_write_waits_through_two_successive_failovers() {
    let (group, _pair, mut client) = start(LONG_DEADLINE);
    group.kill(0);
    client.send("INSERT INTO marked VALUES (1)");
    group.script().terms = vec![1, 2, 1];
    promote(&group, 2, 3);
    assert_eq!(client.answer().error, None);
    assert_eq!(instances_of_marked(&group), [2]);
}

/// A write that runs when the primary is replaced is in doubt at once and not only at its deadline,
/// and is not sent to the new primary.
#[test]
fn a_write_running_on_the_old_primary_is_in_doubt_at_once() {
    let (group, _pair, mut client) = start(LONG_DEADLINE);
    group.script().on_marked = Scripted::Hang;
    client.send("INSERT INTO marked VALUES (1)");
    wait_until("the statement at the instance", || group.seen("marked") == 1);
    promote(&group, 1, 2);
    assert_eq!(client.answer().code(), "KL1605");
    assert_eq!(instances_of_marked(&group), [0]);
    assert_eq!(client.query("INSERT INTO plain VALUES (2)").error, None);
}

/// A commit that no majority confirmed before an instance reported a new term is not acknowledged.
#[test]
fn an_unconfirmed_commit_of_an_old_primary_is_not_acknowledged() {
    let (group, _pair, mut client) = start(LONG_DEADLINE);
    group.script().withheld = true;
    client.send("INSERT INTO marked VALUES (1)");
    wait_until("the statement at the instance", || group.seen("marked") == 1);
    promote(&group, 1, 2);
    assert_eq!(client.answer().code(), "KL1605");
}

/// Without a majority nothing can be confirmed, so nothing is sent.
#[test]
fn a_primary_without_a_majority_gets_no_writes() {
    let (group, _pair, mut client) = start(SHORT_DEADLINE);
    group.kill(1);
    group.kill(2);
    wait_until("writes are refused", || {
        client.query("INSERT INTO plain VALUES (1)").code() == "KL1302"
    });
    assert_eq!(client.query("INSERT INTO marked VALUES (2)").code(), "KL1302");
    assert_eq!(group.seen("marked"), 0);
    group.restart(1);
    wait_until("writes succeed again", || {
        client.query("INSERT INTO plain VALUES (3)").error.is_none()
    });
}
