//! What becomes of writes while a group changes its primary.

mod support;

use std::time::Duration;

use kestrellock_daemon::policy::Policy;
use support::client::Client;
use support::scripted::{Scripted, ScriptedGroup};
use support::{Pair, wait_until};

const PATIENT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(1500);

fn started(deadline: Duration) -> (ScriptedGroup, Pair, Client) {
    let group = ScriptedGroup::start();
    let pair = Pair::start(&group, deadline, Policy::Standard);
    let mut client = Client::connect(pair.address, &[]);
    assert_eq!(client.query("INSERT INTO plain VALUES (0)").error, None);
    (group, pair, client)
}

/// Where the marked statements ran.
fn ran_on(group: &ScriptedGroup) -> Vec<usize> {
    let script = group.script();
    let marked = script.seen.iter().filter(|(_, sql)| sql.contains(support::MARK));
    marked.map(|(index, _)| *index).collect()
}

fn promote(group: &ScriptedGroup, index: usize, term: u32) {
    let mut script = group.script();
    script.primary = index;
    script.terms = vec![term; 3];
    // The former primary, if it still runs, keeps its term and its belief.
    if index != 0 {
        script.terms[0] = 1;
    }
}

#[test]
fn a_write_that_has_not_left_waits_for_the_next_primary() {
    let (group, _pair, mut client) = started(PATIENT);
    group.kill(0);
    client.send("INSERT INTO marked VALUES (1)");
    promote(&group, 1, 2);
    assert_eq!(client.answer().error, None);
    assert_eq!(ran_on(&group), [1]);
}

/// The old primary still answers and believes that it leads; one replica shows the new term.
#[test]
fn a_replaced_primary_gets_no_more_writes() {
    let (group, _pair, mut client) = started(PATIENT);
    promote(&group, 2, 2);
    wait_until("the new primary in use", || {
        client.query("INSERT INTO plain VALUES (1)").error.is_none()
            && group.script().seen.last().is_some_and(|(index, _)| *index == 2)
    });
    assert_eq!(client.query("INSERT INTO marked VALUES (2)").error, None);
    assert_eq!(ran_on(&group), [2]);
}

/// A second failover while clients wait for the first; the first new primary never took a write.
#[test]
fn a_failover_during_a_failover_is_followed() {
    let (group, _pair, mut client) = started(PATIENT);
    group.kill(0);
    client.send("INSERT INTO marked VALUES (1)");
    group.script().terms = vec![1, 2, 1];
    promote(&group, 2, 3);
    assert_eq!(client.answer().error, None);
    assert_eq!(ran_on(&group), [2]);
}

/// A write under way when the primary is replaced is in doubt at once, not at its deadline, and
/// is not sent to the next primary.
#[test]
fn a_write_under_way_at_the_replaced_primary_is_in_doubt_at_once() {
    let (group, _pair, mut client) = started(PATIENT);
    group.script().on_marked = Scripted::Hang;
    client.send("INSERT INTO marked VALUES (1)");
    wait_until("the statement at the back end", || group.seen("marked") == 1);
    promote(&group, 1, 2);
    assert_eq!(client.answer().code(), "KL1605");
    assert_eq!(ran_on(&group), [0]);
    assert_eq!(client.query("INSERT INTO plain VALUES (2)").error, None);
}

/// A commit that a majority never confirmed before a new term showed is not acknowledged.
#[test]
fn a_commit_of_a_replaced_primary_is_not_acknowledged() {
    let (group, _pair, mut client) = started(PATIENT);
    group.script().withheld = true;
    client.send("INSERT INTO marked VALUES (1)");
    wait_until("the statement at the back end", || group.seen("marked") == 1);
    promote(&group, 1, 2);
    assert_eq!(client.answer().code(), "KL1605");
}

/// Without a majority nothing can be confirmed, so nothing is sent.
#[test]
fn a_primary_without_a_majority_gets_no_writes() {
    let (group, _pair, mut client) = started(SHORT);
    group.kill(1);
    group.kill(2);
    wait_until("writes held", || client.query("INSERT INTO plain VALUES (1)").code() == "KL1302");
    assert_eq!(client.query("INSERT INTO marked VALUES (2)").code(), "KL1302");
    assert_eq!(group.seen("marked"), 0);
    group.revive(1);
    wait_until("writes again", || client.query("INSERT INTO plain VALUES (3)").error.is_none());
}
