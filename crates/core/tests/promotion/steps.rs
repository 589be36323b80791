//! The steps of an attempt in their order, and the conditions that it waits for.

use std::time::{Duration, Instant};

use kestrellock_core::ids::NodeName;
use kestrellock_core::position::{LogOffset, Position, Term};
use kestrellock_core::promotion::{
    Attempt, Command, Event, Member, Need, Phase, PromotionAnswer, Reason, ReplacementId,
    ReplicationStatus, ReportingNodes, RestartReport, RestartReports, Successor, Timing,
};
use kestrellock_core::routing::Role;

use crate::support::*;

#[test]
fn promotes_the_replica_with_the_highest_position() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 11)]);
    assert_eq!(chosen, Some(name("c")));
}

#[test]
fn one_stopped_replica_of_two_is_not_enough() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("b", 10)]), None);
    assert!(matches!(attempt.phase(), Phase::Stopping { .. }));
}

#[test]
fn waits_for_evidence_to_expire_unless_all_nodes_revoked_it() {
    let timing = Timing::default();
    let wait = timing.evidence_lifetime - timing.min_promotion_time;

    let began = Instant::now();
    let mut now = began;
    let mut silent = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut silent, now);
    assert!(run_to_promotion(&mut silent, &mut now, &[("b", 10), ("c", 10)]).is_some());
    assert!(now - began >= wait);

    let mut now = began;
    let mut revoked = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut revoked, now);
    revoked.on_event(Event::EvidenceRevoked, now);
    assert!(run_to_promotion(&mut revoked, &mut now, &[("b", 10), ("c", 10)]).is_some());
    assert!(now - began < wait);
    assert!(now - began >= timing.unlisted_evidence_lifetime - timing.min_promotion_time);
}

/// Guards against a promotion while a new node still reads at the old primary. The coordinator's
/// list of nodes lacked a node that had registered since. The listed nodes revoked their evidence
/// before the coordinator knew that its intent was recorded, because the answer of the store was
/// lost. It considered them all the nodes and promoted after 100 ms, and a read of the new node
/// lacked a commit (simulation of replacements while nodes join, up to four faults, seed 1212314).
#[test]
fn ignores_reports_of_nodes_until_the_intent_is_recorded() {
    let timing = Timing::default();
    let began = Instant::now();
    let mut now = began;
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    let (old, new) = (NodeName::new("old"), NodeName::new("new"));
    let mut reports = RestartReports::default();
    reports.add(&old, RestartReport::default(), now);
    let nodes = |current: &[&NodeName]| ReportingNodes {
        current: current.iter().map(|node| (*node).clone()).collect(),
        ..ReportingNodes::default()
    };
    attempt.on_reports(&reports, &nodes(&[&old]), now);
    record_intent(&mut attempt, now);
    attempt.on_reports(&reports, &nodes(&[&old, &new]), now);
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
    assert!(now - began >= timing.evidence_lifetime - timing.min_promotion_time);
}

#[test]
fn planned_replacement_that_cannot_stop_the_replicas_is_cancelled() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Leaving, members(&["a"]));
    record_intent(&mut attempt, now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("b", 10)]), None);
    assert!(matches!(attempt.phase(), Phase::Cancelling { .. }));
}

/// The chosen replica crashed before it was promoted (simulation of replacements, seed 4149).
#[test]
fn replica_that_did_not_run_is_promoted_once_it_runs_again() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let offsets = [("b", 11), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
    let answer = PromotionAnswer::NotRunning;
    attempt.on_event(Event::Promoted { instance: name("b"), answer }, now);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &[("c", 10)]), None);
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
}

/// A primary that had crashed earlier was still listed as one (simulation of replacements, seed
/// 2029).
#[test]
fn earlier_primary_is_not_mistaken_for_the_successor() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a", "c"]));
    record_intent(&mut attempt, now);
    let commands = attempt.step(now + STEP);
    assert!(
        !commands.iter().any(|command| matches!(command, Command::RecordSuccessor(_))),
        "{commands:?}"
    );
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 9)]);
    assert_eq!(chosen, Some(name("b")));
    // Once it has stepped down, it may become the successor,
    attempt.on_event(Event::Members(members(&["a"])), now);
    // if it reports that it leads a newer term.
    attempt.on_event(Event::Members(members(&["a", "c"])), now);
    now += Timing::default().retry_interval;
    let commands = attempt.step(now);
    assert!(
        !commands.iter().any(|command| matches!(command, Command::RecordSuccessor(_))),
        "{commands:?}"
    );
    assert!(commands.contains(&Command::QueryStatus(name("c"))), "{commands:?}");
    attempt.on_event(primary_status("c", 3, 9, now), now);
    let commands = attempt.step(now + STEP);
    assert!(commands.contains(&Command::RecordSuccessor(name("c"))), "{commands:?}");
}

#[test]
fn next_coordinator_accepts_the_promoted_instance_as_successor() {
    let now = Instant::now();
    let mut attempt = attempt(Reason::Unfinished, members(&["a", "b"]));
    record_intent(&mut attempt, now);
    let commands = attempt.step(now + STEP);
    assert!(commands.contains(&Command::RecordSuccessor(name("b"))), "{commands:?}");
}

/// Guards against losing acknowledged writes at an old primary that returns under another name. It
/// crashed, was suspected, and restarted as a primary at the same address, because no replica had
/// been promoted yet. While the promotion of a replica was pending, it was mistaken for the
/// successor and the replicas were released. It acknowledged writes that the promotion rolled back
/// some hundred milliseconds later.
#[test]
fn old_primary_restarted_under_another_name_is_not_mistaken_for_the_successor() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let offsets = [("b", 11), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
    let answer = PromotionAnswer::Accepted;
    attempt.on_event(Event::Promoted { instance: name("b"), answer }, now);
    let mut all = members(&["a"]);
    all.all.push(Member {
        name: name("d"),
        leaving: false,
        has_vanished: false,
        has_left: false,
        has_ended: false,
        leads: true,
        shares_address: true,
        incarnation: None,
        is_refilling: false,
    });
    all.all[0].shares_address = true;
    attempt.on_event(Event::Members(all.clone()), now);
    let mut commands = attempt.step(now + STEP);
    attempt.on_event(primary_status("d", 1, 11, now), now);
    commands.extend(attempt.step(now + STEP * 2));
    let installs =
        |command: &Command| matches!(command, Command::RecordSuccessor(_) | Command::Release(_));
    assert!(!commands.iter().any(installs), "{commands:?}");
    // It is an old primary and is demoted.
    let demoted = |command: &Command| matches!(command, Command::Demote { instance, .. } if *instance == name("d"));
    assert!(commands.iter().any(demoted), "{commands:?}");
    // The chosen replica becomes the successor.
    all.all[1].leads = true;
    attempt.on_event(Event::Members(all), now);
    let commands = attempt.step(now + STEP * 3);
    assert!(commands.contains(&Command::RecordSuccessor(name("b"))), "{commands:?}");
}

/// An instance that was promoted by a late request of an earlier coordinator reports a term not
/// below the one that the replicas are stopped with.
#[test]
fn accepts_another_instance_that_leads_a_newer_term_as_successor() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let offsets = [("b", 11), ("c", 11)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
    attempt.on_event(Event::Members(members(&["a", "c"])), now);
    now += Timing::default().retry_interval;
    let commands = attempt.step(now);
    assert!(commands.contains(&Command::QueryStatus(name("c"))), "{commands:?}");
    attempt.on_event(primary_status("c", 3, 11, now), now);
    let commands = attempt.step(now + STEP);
    assert!(commands.contains(&Command::RecordSuccessor(name("c"))), "{commands:?}");
}

/// Guards against an attempt that never ends. A new primary had one replica that received nothing
/// and one that had crashed, so it could not commit and was suspected. The attempt could stop only
/// one of the replicas.
#[test]
fn attempt_on_a_working_primary_is_cancelled_if_too_few_replicas_stop() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let mut cancellations = 0;
    for _ in 0..200 {
        now += STEP;
        for command in attempt.step(now) {
            if let Command::RecordIntent(intent) = command {
                assert!(intent.called_off);
                cancellations += 1;
                attempt.on_event(Event::IntentRecorded(intent), now);
            }
        }
        attempt.on_event(primary_status("a", 1, 10, now), now);
        attempt.on_event(stopped_replica_status("b", 10, now), now);
    }
    assert!(matches!(attempt.phase(), Phase::Cancelling { .. }), "{:?}", attempt.phase());
    // Nodes continue with the old primary while a replica cannot be released.
    assert_eq!(cancellations, 1);
    // The crashed replica needs no release: it is no longer stopped when it returns.
    attempt.on_event(Event::Released(name("b")), now);
    attempt.on_event(Event::Refused { instance: name("c"), sent: now }, now);
    assert!(attempt.step(now).contains(&Command::Finish { id: attempt.id(), successor: None }));
    assert_eq!(attempt.phase(), Phase::Over);
}

/// Guards against reads at the old primary. A replica was released before it followed the new
/// primary, reported that it followed the old one, and a node accepted that as evidence (simulation
/// with many faults at once, seed 339).
#[test]
fn replicas_are_not_released_while_the_old_primary_may_be_primary() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
    attempt.on_event(Event::Members(members(&["a", "b"])), now);
    let finishes = |commands: &[Command]| {
        commands.iter().any(|command| matches!(command, Command::Finish { .. }))
    };
    let mut commands = run_for(&mut attempt, &mut now, Duration::from_secs(3));
    // Without the term of the successor, nodes could not recognize the old primary.
    assert!(!finishes(&commands), "{commands:?}");
    attempt.on_event(primary_status("b", 2, 10, now), now);
    commands.extend(run_for(&mut attempt, &mut now, Duration::from_secs(3)));
    assert!(finishes(&commands), "{commands:?}");
    assert!(!commands.iter().any(|command| matches!(command, Command::Release(_))), "{commands:?}");
}

/// A promotion was lost, and before it was repeated a replica restarted and was no longer stopped
/// (simulation with many faults at once, seed 1530).
#[test]
fn promotion_is_repeated_only_while_the_replicas_are_stopped() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let offsets = [("b", 11), ("c", 10)];
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
    // The platform does not answer, and replica c reports that it is no longer stopped.
    let received = Position { term: Term(1), offset: LogOffset(12) };
    let status =
        ReplicationStatus { role: Role::Replica, term: Term(1), received, min_term: Term(0) };
    let until = now + Timing::default().announcement_timeout * 2;
    while now < until {
        now += STEP;
        let commands = attempt.step(now);
        assert!(
            !commands.iter().any(|command| matches!(command, Command::Promote(_))),
            "{commands:?}"
        );
        attempt.on_event(Event::StatusReported { instance: name("c"), status, sent: now }, now);
        attempt.on_event(stopped_replica_status("b", 11, now), now);
        // The first promotion may still take effect, so the attempt is not cancelled.
        attempt.on_event(Event::StillNeeded(false), now);
    }
    // Once the replicas are stopped again, the promotion of the same instance is repeated.
    assert_eq!(run_to_promotion(&mut attempt, &mut now, &offsets), Some(name("b")));
}

/// Guards against replicas that never follow the successor, because they were stopped with a term
/// above the one that it leads (simulation with many faults at once, seeds 65 and 192).
#[test]
fn replicas_are_released_once_the_old_primary_has_stepped_down() {
    for steps_down in [true, false] {
        let mut now = Instant::now();
        let mut attempt = attempt(Reason::Suspected, members(&["a"]));
        record_intent(&mut attempt, now);
        assert!(run_to_promotion(&mut attempt, &mut now, &[("b", 10), ("c", 10)]).is_some());
        attempt.on_event(Event::Members(members(&["a", "b"])), now);
        now += Timing::default().retry_interval;
        let settling = attempt.step(now);
        // The term is recorded with the successor, so it is queried.
        assert!(settling.contains(&Command::QueryStatus(name("b"))), "{settling:?}");
        now += STEP;
        let received = Position { term: Term(1), offset: LogOffset(10) };
        let status =
            ReplicationStatus { role: Role::Replica, term: Term(1), received, min_term: Term(0) };
        attempt.on_event(
            match steps_down {
                true => Event::StatusReported { instance: name("a"), status, sent: now },
                false => Event::Refused { instance: name("a"), sent: now },
            },
            now,
        );
        let commands = attempt.step(now);
        assert!(commands.contains(&Command::Release(name("c"))), "{steps_down}: {commands:?}");
        attempt.on_event(Event::Released(name("c")), now);
        assert_eq!(attempt.step(now), []);
        attempt.on_event(primary_status("b", 2, 10, now), now);
        let commands = attempt.step(now);
        let successor = Some(Successor { instance: name("b"), term: Some(Term(2)) });
        let id = attempt.id();
        assert!(commands.contains(&Command::Finish { id, successor }), "{commands:?}");
    }
}

/// Guards against losing commits that only the other replica has. It had restarted before the
/// promotion was repeated, and had received commits that the chosen replica lacked (simulation with
/// many faults at once, seed 589).
#[test]
fn repeated_promotion_goes_to_the_replica_that_is_ahead_by_then() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 11), ("c", 10)]);
    assert_eq!(chosen, Some(name("b")));
    let first_promotion = now;
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 11), ("c", 12)]);
    assert_eq!(chosen, Some(name("c")));
    // Evidence of the replica chosen first, which may be primary by now, has expired.
    assert!(
        now >= first_promotion
            + Timing::default().announcement_timeout
            + Duration::from_millis(900)
    );
}

/// Guards against an attempt that never ends. A coordinator that knew no term stopped the replicas
/// with a term that the old primary led, so they still accepted replication (simulation with many
/// faults at once, seed 399).
#[test]
fn replicas_are_stopped_with_a_term_that_no_primary_has_led() {
    let mut now = Instant::now();
    let id = ReplacementId { fence: 7, attempt: 1 };
    let coordinator = NodeName::new("node");
    let timing = Timing::default();
    let members = members(&["a"]);
    let mut attempt =
        Attempt::new(coordinator, id, &need(Reason::Suspected), members, Term(0), timing);
    record_intent(&mut attempt, now);
    let first = attempt.step(now);
    assert!(first.contains(&Command::QueryStatus(name("b"))), "{first:?}");
    for instance in ["b", "c"] {
        attempt.on_event(replica_status(instance, 10, Term(0), now), now);
    }
    now += STEP;
    let second = attempt.step(now);
    assert!(second.contains(&Command::Stop { instance: name("b"), term: Term(2) }), "{second:?}");
}

/// Nodes accept a replica that was stopped for a promotion as evidence for the promoted instance.
/// Another attempt must not promote with the same term, even if it knows nothing of the earlier
/// one.
#[test]
fn replica_stopped_by_another_coordinator_is_stopped_with_a_higher_term() {
    let now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    attempt.step(now);
    attempt.on_event(replica_status("b", 10, Term(0), now), now);
    attempt.on_event(replica_status("c", 10, Term(2), now), now);
    let commands = attempt.step(now + STEP);
    for instance in ["b", "c"] {
        let stop = Command::Stop { instance: name(instance), term: Term(3) };
        assert!(commands.contains(&stop), "{commands:?}");
    }
}

/// Guards against an interruption of ten seconds. With a replica that received nothing, a cancelled
/// attempt waited to release an instance that it had never stopped, and no node sent requests to
/// the primary meanwhile.
#[test]
fn only_replicas_that_may_be_stopped_are_released() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    attempt.step(now);
    attempt.on_event(replica_status("b", 10, Term(0), now), now);
    now += STEP;
    attempt.step(now);
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = attempt.step(now);
    assert!(commands.contains(&Command::Release(name("b"))), "{commands:?}");
    assert!(!commands.contains(&Command::Release(name("c"))), "{commands:?}");
    attempt.on_event(Event::Released(name("b")), now);
    assert!(attempt.step(now).contains(&Command::Finish { id: attempt.id(), successor: None }));
}

/// The next coordinator suspected the primary as well, and released only the replicas that it had
/// stopped itself (simulation with many faults at once, seed 2219).
#[test]
fn next_coordinator_releases_every_replica() {
    let now = Instant::now();
    let need = Need { has_begun: true, ..need(Reason::Suspected) };
    let id = ReplacementId { fence: 8, attempt: 1 };
    let (members, timing) = (members(&["a"]), Timing::default());
    let mut attempt = Attempt::new(NodeName::new("node"), id, &need, members, Term(1), timing);
    record_intent(&mut attempt, now);
    attempt.on_event(Event::StillNeeded(false), now);
    let commands = attempt.step(now);
    for instance in ["b", "c"] {
        assert!(commands.contains(&Command::Release(name(instance))), "{commands:?}");
    }
}

/// Guards against an attempt that stops replicas of a promoted primary. The store was down when the
/// successor became primary. The attempt queried the successor, considered it a replica that is no
/// longer stopped, and stopped the other replica with a higher term (simulation of replacements,
/// seed 16686).
#[test]
fn accepts_the_successor_by_its_own_report() {
    let mut now = Instant::now();
    let mut attempt = attempt(Reason::Suspected, members(&["a"]));
    record_intent(&mut attempt, now);
    let chosen = run_to_promotion(&mut attempt, &mut now, &[("b", 11), ("c", 10)]);
    assert_eq!(chosen, Some(name("b")));
    attempt.on_event(primary_status("b", 2, 11, now), now);
    let commands = attempt.step(now);
    assert!(commands.contains(&Command::RecordSuccessor(name("b"))), "{commands:?}");
}
