//! Replacement checks by other nodes: who has to confirm a group, which answers count, and what a
//! node may confirm.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::promotion::{
    CheckFailures, GroupKnowledge, MAX_GROUPS_PER_CHECK, OwnAttempts, PEER_ANSWER_TIMEOUT,
    PeerAnswer, PeerCheckOutcome, PeerCheckResult, PeerChecks, StoreCheck, Successor, nodes_digest,
};

const OWN: &str = "own";
const FIRST_NUMBER: u64 = 7;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn groups(names: &[&str]) -> BTreeSet<GroupName> {
    names.iter().copied().map(GroupName::new).collect()
}

fn nodes(names: &[&str]) -> BTreeSet<NodeName> {
    names.iter().copied().map(NodeName::new).collect()
}

/// A node's checks, with a check in progress that began at `began`.
struct Asker {
    checks: PeerChecks,
    began: Instant,
    nodes: BTreeSet<NodeName>,
}

impl Asker {
    fn ask(names: &[&str], asked: &[&str]) -> Self {
        let (began, nodes) = (Instant::now(), nodes(names));
        let mut checks = PeerChecks::new(FIRST_NUMBER);
        let query = checks.begin(&mut groups(asked), &nodes, BTreeSet::new(), began);
        assert!(query.is_sent);
        assert_eq!((query.number, query.groups), (FIRST_NUMBER, groups(asked)));
        Self { checks, began, nodes }
    }

    fn answer(&mut self, from: &str, unreplaced: &[&str], after: Duration) {
        self.answer_number(FIRST_NUMBER, from, unreplaced, after);
    }

    fn answer_number(&mut self, number: u64, from: &str, unreplaced: &[&str], after: Duration) {
        let (from, unreplaced) = (NodeName::new(from), groups(unreplaced));
        let arrived = self.began + after;
        self.checks.on_answer(&PeerAnswer { from, number, unreplaced, arrived });
    }

    fn result(&mut self, after: Duration) -> Option<PeerCheckResult> {
        self.checks.take_result(&self.nodes, self.began + after)
    }
}

/// Guards against a check that is confirmed without the node that replaces the primary.
#[test]
fn a_group_is_confirmed_once_every_node_has_confirmed_it() {
    let mut asker = Asker::ask(&[OWN, "b", "c"], &["orders"]);
    asker.answer(OWN, &["orders"], ms(0));
    asker.answer("b", &["orders"], ms(5));
    assert_eq!(asker.result(ms(6)), None, "c has not answered");
    asker.answer("c", &["orders"], ms(7));
    let result = asker.result(ms(8)).expect("all have answered");
    assert_eq!(result.outcome(), PeerCheckOutcome::Confirmed);
    assert_eq!(result.confirmed, groups(&["orders"]));
    assert_eq!(result.started_at, asker.began, "it proves nothing for later times");
    assert_eq!(result.nodes, 3);
    assert!(!asker.checks.is_open());
}

/// Guards against a node whose second answer is counted for another node.
#[test]
fn an_answer_counts_for_its_sender_alone() {
    let mut asker = Asker::ask(&[OWN, "b", "c"], &["orders"]);
    for from in [OWN, "b", "b", "unknown"] {
        asker.answer(from, &["orders"], ms(1));
    }
    assert_eq!(asker.result(ms(2)), None);
}

/// Guards against a group without writes because the primary of another one is being replaced, and
/// against a replacement that only one node knows.
#[test]
fn a_group_that_one_node_leaves_out_is_not_confirmed() {
    let mut asker = Asker::ask(&[OWN, "b", "c"], &["orders", "stock"]);
    asker.answer(OWN, &["orders", "stock"], ms(0));
    asker.answer("b", &["stock"], ms(1));
    asker.answer("c", &["orders", "stock"], ms(2));
    let result = asker.result(ms(3)).expect("all have answered");
    assert_eq!(result.outcome(), PeerCheckOutcome::Refused);
    assert_eq!(result.confirmed, groups(&["stock"]));
    assert_eq!(result.refusing, nodes(&["b"]));
}

/// Guards against a wait for nodes whose answers change nothing any more.
#[test]
fn a_check_ends_once_no_group_can_be_confirmed() {
    let mut asker = Asker::ask(&[OWN, "b", "c"], &["orders"]);
    asker.answer("b", &[], ms(1));
    let result = asker.result(ms(2)).expect("it is over");
    assert_eq!(result.outcome(), PeerCheckOutcome::Refused);
    assert!(result.confirmed.is_empty());
}

/// Guards against an answer of a node that a suspension or a partition has delayed, and against a
/// check that never ends.
#[test]
fn late_answers_do_not_count() {
    let mut asker = Asker::ask(&[OWN, "b"], &["orders"]);
    asker.answer(OWN, &["orders"], ms(0));
    assert_eq!(asker.result(PEER_ANSWER_TIMEOUT), None);
    let late = PEER_ANSWER_TIMEOUT + ms(1);
    asker.answer("b", &["orders"], late);
    let result = asker.result(late).expect("the time is over");
    assert_eq!(result.outcome(), PeerCheckOutcome::Unanswered);
    assert!(result.confirmed.is_empty());
    assert_eq!(result.unanswered, nodes(&["b"]));
}

/// Guards against an answer from before the check began: the replacement may have begun since.
#[test]
fn answers_to_other_checks_do_not_count() {
    let mut asker = Asker::ask(&[OWN, "b"], &["orders"]);
    asker.answer(OWN, &["orders"], ms(0));
    asker.answer_number(FIRST_NUMBER - 1, "b", &["orders"], ms(1));
    assert_eq!(asker.result(ms(2)), None);
    let late = PEER_ANSWER_TIMEOUT + ms(1);
    assert!(asker.result(late).is_some());
    let (mut waiting, began) = (groups(&["orders"]), asker.began + late);
    let query = asker.checks.begin(&mut waiting, &asker.nodes, BTreeSet::new(), began);
    assert_eq!(query.number, FIRST_NUMBER + 1);
    asker.answer("b", &["orders"], late);
    asker.answer_number(FIRST_NUMBER + 1, OWN, &["orders"], late);
    assert_eq!(asker.result(late + ms(1)), None, "b has answered the first check only");
}

/// Guards against a node that was listed after the check began, and may coordinate.
#[test]
fn a_node_that_is_added_during_a_check_has_not_confirmed_it() {
    let mut asker = Asker::ask(&[OWN, "b"], &["orders"]);
    asker.answer(OWN, &["orders"], ms(0));
    asker.answer("b", &["orders"], ms(1));
    asker.nodes.insert(NodeName::new("new"));
    let result = asker.result(ms(2)).expect("all that were asked have answered");
    assert_eq!(result.outcome(), PeerCheckOutcome::Unanswered);
    assert!(result.confirmed.is_empty());
    assert_eq!(result.unanswered, nodes(&["new"]));
}

/// Guards against a check that is confirmed without a node of an older version, and against messages
/// that cannot confirm anything.
#[test]
fn nobody_is_asked_if_a_node_cannot_answer() {
    let (now, names) = (Instant::now(), nodes(&[OWN, "b", "old"]));
    let mut checks = PeerChecks::new(FIRST_NUMBER);
    let query = checks.begin(&mut groups(&["orders"]), &names, nodes(&["old"]), now);
    assert!(!query.is_sent);
    let result = checks.take_result(&names, now).expect("it is over at once");
    assert_eq!(result.outcome(), PeerCheckOutcome::Unanswered);
    assert!(result.confirmed.is_empty());
    assert_eq!(result.unanswered, nodes(&["old"]));
}

/// Guards against a lone node that waits for answers of others.
#[test]
fn a_lone_node_confirms_a_check_itself() {
    let mut asker = Asker::ask(&[OWN], &["orders"]);
    assert_eq!(asker.result(ms(0)), None, "it has not said what it knows");
    asker.answer(OWN, &["orders"], ms(0));
    let result = asker.result(ms(0)).expect("it is over");
    assert_eq!(result.confirmed, groups(&["orders"]));
}

/// Guards against more messages than nodes can process: one check at a time, and the more nodes the
/// fewer checks.
#[test]
fn checks_have_an_interval_that_grows_with_the_number_of_nodes() {
    let (now, names) = (Instant::now(), nodes(&[OWN]));
    let mut checks = PeerChecks::new(FIRST_NUMBER);
    assert!(checks.is_due(985, now));
    checks.begin(&mut groups(&["orders"]), &names, BTreeSet::new(), now);
    assert!(!checks.is_due(1, now + ms(60_000)), "one is in progress");
    checks.take_result(&names, now + ms(301)).expect("it is over");
    for (listed, interval) in [(1, ms(100)), (50, ms(100)), (985, ms(1_970))] {
        assert!(!checks.is_due(listed, now + interval - ms(1)), "{listed} nodes");
        assert!(checks.is_due(listed, now + interval), "{listed} nodes");
    }
}

/// Guards against messages without a bound, and against groups that others keep from their turn.
#[test]
fn waiting_groups_take_turns() {
    let name = |number: usize| GroupName::new(format!("group-{number:03}"));
    let (now, names) = (Instant::now(), nodes(&[OWN]));
    let all: BTreeSet<GroupName> = (0..MAX_GROUPS_PER_CHECK + 3).map(name).collect();
    let (mut waiting, mut checks) = (all.clone(), PeerChecks::new(FIRST_NUMBER));
    let first = checks.begin(&mut waiting, &names, BTreeSet::new(), now);
    assert_eq!(first.groups.len(), MAX_GROUPS_PER_CHECK);
    assert_eq!(waiting.len(), 3);
    assert!(first.groups.is_disjoint(&waiting));
    checks.take_result(&names, now + ms(301)).expect("it is over");
    // The groups of the first check wait again.
    let second = checks.begin(&mut all.clone(), &names, BTreeSet::new(), now + ms(301));
    assert!(second.groups.is_superset(&waiting));
    assert_eq!(second.groups.len(), MAX_GROUPS_PER_CHECK);
}

fn successor(term: Option<Term>) -> Successor {
    Successor { instance: InstanceName::new("next"), term }
}

const UNREPLACED: GroupKnowledge =
    GroupKnowledge { may_be_replaced: false, highest_led: Term(3), promoted: None };

/// Guards against a node that denies a replacement that it knows or runs.
#[test]
fn a_node_that_knows_of_a_replacement_does_not_confirm() {
    assert!(UNREPLACED.confirms(Term(3)));
    assert!(!GroupKnowledge { may_be_replaced: true, ..UNREPLACED }.confirms(Term(3)));
}

/// Guards against an asker that does not know of the last replacement: its primary is the former
/// one.
#[test]
fn a_node_that_knows_a_later_primary_does_not_confirm() {
    assert!(UNREPLACED.confirms(Term(4)));
    assert!(!UNREPLACED.confirms(Term(2)));
    let cases = [(Some(Term(3)), true), (Some(Term(4)), false), (None, false)];
    for (term, confirms) in cases {
        let promoted = successor(term);
        let knowledge = GroupKnowledge { promoted: Some(&promoted), ..UNREPLACED };
        assert_eq!(knowledge.confirms(Term(3)), confirms, "{term:?}");
    }
}

/// Guards against a coordinator that denies its own attempt: before the store has answered that the
/// intent is recorded, and after the attempt until a copy of the store shows how it ended.
#[test]
fn attempts_of_this_process_count_until_a_copy_shows_their_end() {
    let (mut attempts, now) = (OwnAttempts::default(), Instant::now());
    let [orders, stock] = ["orders", "stock"].map(GroupName::new);
    assert!(!attempts.may_be_unknown_to_copy(&orders, now));
    attempts.begin(&orders);
    assert!(attempts.may_be_unknown_to_copy(&orders, now + ms(60_000)));
    assert!(!attempts.may_be_unknown_to_copy(&stock, now));
    attempts.end(&orders, now + ms(10));
    assert!(attempts.may_be_unknown_to_copy(&orders, now + ms(10)));
    assert!(!attempts.may_be_unknown_to_copy(&orders, now + ms(11)));
    attempts.begin(&orders);
    attempts.begin(&stock);
    attempts.end_all(now + ms(20));
    for group in [&orders, &stock] {
        assert!(attempts.may_be_unknown_to_copy(group, now + ms(20)));
        assert!(!attempts.may_be_unknown_to_copy(group, now + ms(21)));
    }
}

/// Guards against a coordinator that the asker does not know, and against names that look alike when
/// they are joined.
#[test]
fn the_digest_of_the_listed_nodes_depends_on_each_name_and_not_on_their_order() {
    let digest = |names: &[&str]| {
        let names: Vec<NodeName> = names.iter().copied().map(NodeName::new).collect();
        nodes_digest(&names)
    };
    assert_eq!(digest(&["a", "b"]), digest(&["b", "a"]));
    assert_ne!(digest(&["a", "b"]), digest(&["a", "b", "c"]));
    assert_ne!(digest(&["a", "bc"]), digest(&["ab", "c"]));
    assert_ne!(digest(&[]), digest(&["a"]));
}

/// Guards against writes that are held although checks succeed again, and against writes that are
/// held for ever since none is made any more.
#[test]
fn failed_checks_count_until_one_succeeds_or_two_seconds_have_passed() {
    let (mut failures, now) = (CheckFailures::default(), Instant::now());
    assert!(!failures.are_recent(now));
    failures.on_failure(now);
    assert!(failures.are_recent(now + ms(1_999)));
    assert!(!failures.are_recent(now + ms(2_000)));
    failures.on_failure(now + ms(3_000));
    failures.on_success();
    assert!(!failures.are_recent(now + ms(3_000)));
}

/// Guards against statements that wait for the end of a call to a store that has been cut off, which
/// takes seconds, and against queries to all nodes while the store answers.
#[test]
fn the_store_counts_as_silent_while_a_check_is_overdue_or_the_last_one_has_failed() {
    let (mut check, now) = (StoreCheck::default(), Instant::now());
    assert!(!check.is_unanswered(now));
    check.begin(now);
    assert!(!check.is_unanswered(now + ms(199)));
    assert!(check.is_unanswered(now + ms(200)));
    check.end(true);
    assert!(!check.is_unanswered(now + ms(200)));
    check.begin(now + ms(300));
    check.end(false);
    assert!(check.is_unanswered(now + ms(301)));
    check.begin(now + ms(400));
    assert!(check.is_unanswered(now + ms(401)), "the store has not answered yet");
    check.end(true);
    assert!(!check.is_unanswered(now + ms(402)));
}
