//! Which primaries have to be replaced, according to the catalog and the votes of the nodes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kestrellock_core::catalog::{Catalog, Elector, Group, IndexedCatalog, Instance};
use kestrellock_core::confirmation::ConfirmationRule;
use kestrellock_core::ids::{GroupName, InstanceName, NodeName, ZoneName};
use kestrellock_core::promotion::{
    CoordinationView, Intent, KnownInstances, Need, NeedsEvaluator, NeedsInput, NodeVotes,
    PromotionCaller, Reason, Vote,
};
use kestrellock_core::routing::Role;
use kestrellock_core::suspicion::Cause;

const GROUP: &str = "orders";

/// A group of instances with the given reported roles.
fn catalog(roles: &[(&str, Role)]) -> IndexedCatalog {
    let instance = |(number, (name, role)): (usize, &(&str, Role))| Instance {
        name: InstanceName::new(*name),
        zone: ZoneName::new("zone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number as u16)),
        slots: 3,
        connections: 40,
        leaving: false,
        incarnation: None,
        announced_role: Some(*role),
    };
    let group = Group {
        database: "orders".to_owned(),
        user: "kestrellock".to_owned(),
        instances: roles.iter().enumerate().map(instance).collect(),
        confirmation: ConfirmationRule::Answered,
        elector: Elector::Proxy,
        synchronous_replicas: 1,
        connections: 40,
        promoted: None,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert(GroupName::new(GROUP), group);
    IndexedCatalog::new(catalog)
}

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| NodeName::new(format!("node-{number}"))).collect()
}

/// The need that the first of `count` nodes sees if `suspecting` other nodes suspect instance `a`.
fn evaluate(
    evaluator: &mut NeedsEvaluator,
    roles: &[(&str, Role)],
    (suspecting, count): (usize, usize),
    now: Instant,
) -> Option<Need> {
    let nodes = nodes(count);
    let mut view = CoordinationView { revision: 1, ..CoordinationView::default() };
    let vote = Vote { instance: InstanceName::new("a"), cause: Cause::Silent };
    let votes = NodeVotes::from([(GroupName::new(GROUP), vote)]);
    view.votes = nodes[1..=suspecting].iter().map(|node| (node.clone(), votes.clone())).collect();
    let catalog = catalog(roles);
    let own_votes = NodeVotes::new();
    let own = (&nodes[0], &own_votes);
    let input =
        NeedsInput { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
    evaluator.apply_catalog(&catalog);
    evaluator.evaluate(&input).remove(&GroupName::new(GROUP))
}

const PRIMARY: (&str, Role) = ("a", Role::Primary);
const REPLICA: (&str, Role) = ("b", Role::Replica);

#[test]
fn majority_or_a_lasting_third_of_the_voters_causes_a_replacement() {
    let start = Instant::now();
    let table = [
        // Suspecting nodes, all nodes, whether a need exists at once, and after a second.
        (0, 6, false, false),
        (1, 6, false, false),
        (2, 6, false, true),
        (3, 6, false, true),
        (4, 6, true, true),
        (1, 2, false, true),
        // Of many nodes seven own the group; the others send nothing to its primary.
        (2, 90, false, false),
        (3, 90, false, true),
        (4, 90, true, true),
    ];
    for (suspecting, count, at_once, later) in table {
        let mut evaluator = NeedsEvaluator::default();
        let roles = [PRIMARY, REPLICA];
        let votes = (suspecting, count);
        let first = evaluate(&mut evaluator, &roles, votes, start);
        assert_eq!(first.is_some(), at_once, "{suspecting} of {count}");
        let second = evaluate(&mut evaluator, &roles, votes, start + Duration::from_secs(1));
        assert_eq!(second.is_some(), later, "{suspecting} of {count} after a second");
    }
}

/// Guards against waiting for a primary that is cut off. It vanished from the store, and the
/// attempt considered it one of the replicas to be stopped, and waited for it as long as the
/// network partition lasted.
#[test]
fn vanished_primary_is_the_old_primary_of_the_need() {
    let start = Instant::now();
    let mut evaluator = NeedsEvaluator::default();
    assert_eq!(evaluate(&mut evaluator, &[PRIMARY, REPLICA], (0, 3), start), None);
    assert_eq!(
        evaluate(&mut evaluator, &[REPLICA], (0, 3), start),
        None,
        "its entry may only be late"
    );
    let need = evaluate(&mut evaluator, &[REPLICA], (0, 3), start + Duration::from_secs(1));
    let need = need.expect("the group has no primary");
    assert_eq!((need.reason, need.old_primary), (Reason::Missing, Some(InstanceName::new("a"))));
}

/// Guards against a replacement that does not wait for a promotion which had not ended when the
/// group's last replacement finished.
#[test]
fn need_names_the_callers_that_the_last_replacement_has_left() {
    let start = Instant::now();
    let nodes = nodes(3);
    let caller = PromotionCaller { node: nodes[1].clone(), process: 3, fence: 7 };
    let open_callers = [(GroupName::new(GROUP), vec![caller.clone()])].into();
    let view = CoordinationView { revision: 1, open_callers, ..CoordinationView::default() };
    let mut evaluator = NeedsEvaluator::default();
    let catalog = catalog(&[REPLICA]);
    evaluator.apply_catalog(&catalog);
    let own_votes = NodeVotes::new();
    let own = (&nodes[0], &own_votes);
    let mut need_at = |now| {
        let input =
            NeedsInput { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
        evaluator.evaluate(&input).remove(&GroupName::new(GROUP))
    };
    assert_eq!(need_at(start), None);
    let need = need_at(start + Duration::from_secs(3)).expect("the group has no primary");
    assert_eq!(need.callers, [caller]);
    assert_eq!(need.callers_known_since, Some(start), "the limit of the wait counts from then");
}

/// Guards against callers that are forgotten with an attempt that was cancelled: its intent names
/// none, and hides those that the last replacement has left.
#[test]
fn need_after_a_cancelled_attempt_names_the_callers_that_were_left() {
    let json = r#"{"holder":"n-1","id":{"fence":9,"attempt":1},"reason":"leaving","former":"a",
        "called_off":true}"#;
    let cancelled: Intent = serde_json::from_str(json).expect("an intent");
    let nodes = nodes(3);
    let caller = PromotionCaller { node: nodes[1].clone(), process: 3, fence: 7 };
    let group = GroupName::new(GROUP);
    let view = CoordinationView {
        revision: 1,
        open_callers: [(group.clone(), vec![caller.clone()])].into(),
        intents: [(group.clone(), cancelled)].into(),
        ..CoordinationView::default()
    };
    let mut evaluator = NeedsEvaluator::default();
    let catalog = catalog(&[PRIMARY, REPLICA]);
    evaluator.apply_catalog(&catalog);
    let own_votes = NodeVotes::new();
    let own = (&nodes[0], &own_votes);
    let now = Instant::now();
    let input =
        NeedsInput { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
    let need = evaluator.evaluate(&input).remove(&group).expect("the attempt is unfinished");
    assert_eq!(need.callers, [caller]);
}

/// Guards against the loss of commits that only an old primary has which stepped down for a planned
/// replacement: the coordinator that continued it did not require its log, since no primary left any
/// more, or since nodes suspected one whose replicas were stopped.
#[test]
fn continued_planned_replacement_requires_the_log_of_a_primary_that_has_stepped_down() {
    let recorded = |reason, promoting| {
        let json = format!(
            r#"{{"holder":"n-1","id":{{"fence":9,"attempt":1}},"reason":"{reason}","former":"a",
            "promoting":{promoting}}}"#
        );
        serde_json::from_str::<Intent>(&json).expect("an intent")
    };
    let now = Instant::now();
    let stepped_down = [("a", Role::Replica), REPLICA];
    let suspected = [PRIMARY, REPLICA];
    for (roles, delay, reason) in [
        (stepped_down, Duration::ZERO, Reason::Unfinished),
        (stepped_down, Duration::from_secs(3), Reason::Missing),
        (suspected, Duration::ZERO, Reason::Suspected),
    ] {
        let need = need_to_continue(recorded("leaving", true), &roles, now, delay);
        assert_eq!(need.reason, reason);
        assert_eq!(need.old_primary_required_until, Some(now + delay), "{reason:?}");
        for intent in [recorded("leaving", false), recorded("suspected", true)] {
            let need = need_to_continue(intent, &roles, now, delay);
            assert_eq!(need.old_primary_required_until, None, "{reason:?}");
        }
    }
}

/// The need that a node sees `delay` after it first saw the replacement. All nodes suspect `a`.
fn need_to_continue(intent: Intent, roles: &[(&str, Role)], now: Instant, delay: Duration) -> Need {
    let nodes = nodes(3);
    let group = GroupName::new(GROUP);
    let intents = [(group.clone(), intent)].into();
    let mut view = CoordinationView { revision: 1, intents, ..CoordinationView::default() };
    let mut evaluator = NeedsEvaluator::default();
    let catalog = catalog(roles);
    evaluator.apply_catalog(&catalog);
    let vote = Vote { instance: InstanceName::new("a"), cause: Cause::Silent };
    let votes = NodeVotes::from([(group.clone(), vote)]);
    view.votes = nodes.iter().map(|node| (node.clone(), votes.clone())).collect();
    let own = (&nodes[0], &votes);
    let mut need_at = |now| {
        let input =
            NeedsInput { catalog: &catalog, view: &view, own, live: &nodes, listed: &nodes, now };
        evaluator.evaluate(&input).remove(&group).expect("the attempt is unfinished")
    };
    need_at(now);
    need_at(now + delay)
}

#[test]
fn primary_that_became_a_replica_is_treated_as_a_replica() {
    let start = Instant::now();
    let mut evaluator = NeedsEvaluator::default();
    evaluate(&mut evaluator, &[PRIMARY, REPLICA], (0, 3), start);
    let roles = [("a", Role::Replica), REPLICA];
    evaluate(&mut evaluator, &roles, (0, 3), start);
    let need = need_after_a_second(&mut evaluator, &roles, start);
    assert_eq!(need.old_primary, None);
    // It is listed and has every commit that it acknowledged, so not all instances have to be
    // stopped.
    assert!(need.last_primary_is_replica);
}

fn need_after_a_second(
    evaluator: &mut NeedsEvaluator,
    roles: &[(&str, Role)],
    start: Instant,
) -> Need {
    let later = start + Duration::from_secs(1);
    evaluate(evaluator, roles, (0, 3), later).expect("the group has no primary")
}

/// `count` groups, each with a primary and a replica.
fn healthy_catalog(count: usize) -> IndexedCatalog {
    let mut catalog = Catalog::default();
    let led = catalog_of_roles();
    for number in 0..count {
        catalog.groups.insert(GroupName::new(format!("group-{number}")), led.clone());
    }
    IndexedCatalog::new(catalog)
}

fn catalog_of_roles() -> Group {
    catalog(&[PRIMARY, REPLICA]).groups[&GroupName::new(GROUP)].clone()
}

/// Guards against idle cost that grows with the number of groups. Every node evaluated every group
/// and copied every instance twenty times a second, which took 85% of the processor time of an idle
/// node with 1,000 groups.
#[test]
fn groups_without_needs_are_not_evaluated_while_nothing_changes() {
    for count in [10, 1_000] {
        let start = Instant::now();
        let (catalog, nodes) = (healthy_catalog(count), nodes(3));
        let (mut evaluator, mut known) = (NeedsEvaluator::default(), KnownInstances::default());
        evaluator.apply_catalog(&catalog);
        known.apply_catalog(&catalog, start);
        let view = CoordinationView { revision: 1, ..CoordinationView::default() };
        let votes = NodeVotes::new();
        for look in 1..=100_u32 {
            let now = start + Duration::from_secs(5) + Duration::from_millis(50) * look;
            let own = (&nodes[0], &votes);
            let input = NeedsInput {
                catalog: &catalog,
                view: &view,
                own,
                live: &nodes,
                listed: &nodes,
                now,
            };
            assert!(evaluator.evaluate(&input).is_empty());
            // The first evaluation ends the time in which earlier restarts are not known.
            let evaluated_groups = known.advance_time(now);
            assert!(
                look == 1 || evaluated_groups == 0,
                "{evaluated_groups} of {count} groups evaluated"
            );
        }
        assert_eq!(evaluator.evaluation_count(), 0, "of {count} groups");
    }
}

/// A group is evaluated until the end of the suspicion is noticed, even after its votes are gone.
#[test]
fn ended_suspicion_resets_the_duration() {
    let start = Instant::now();
    let mut evaluator = NeedsEvaluator::default();
    let roles = [PRIMARY, REPLICA];
    assert_eq!(evaluate(&mut evaluator, &roles, (2, 6), start), None);
    assert_eq!(evaluate(&mut evaluator, &roles, (0, 6), start + Duration::from_millis(900)), None);
    let again = start + Duration::from_millis(1_800);
    assert_eq!(evaluate(&mut evaluator, &roles, (2, 6), again), None, "the duration begins again");
}
