//! Which updates about a member override the known record, as a table, and how a node handles
//! updates about itself.

use std::net::SocketAddr;
use std::time::Duration;

use kestrellock_core::catalog::Revision;
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::membership::{
    Body, Change, Health, Incarnation, MemberRecord, Membership, Message, Seed, Timing, Update,
};

const NOW: Duration = Duration::from_secs(1);

fn zero() -> u64 {
    0
}

fn record(node: &str, process: u64, refutation: u32, health: Health) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    MemberRecord {
        node: NodeName::new(node),
        zone: ZoneName::new("zone"),
        peer_address: address,
        admin_address: address,
        incarnation: Incarnation { process, refutation },
        health,
        leaving: false,
        revision: Revision(0),
        link_mbps: 0,
    }
}

fn node() -> Membership {
    let own = record("own", 5, 0, Health::Alive);
    let seed = Seed { node: NodeName::new("seed"), address: own.peer_address };
    Membership::new(own, Timing::default(), vec![seed], NOW, &mut zero)
}

fn gossip(updates: Vec<Update>) -> Message {
    Message { sender: record("teller", 1, 0, Health::Alive), body: Body::Gossip, updates }
}

fn health_of(membership: &Membership, name: &str) -> Option<(Incarnation, Health)> {
    let found = membership.members().find(|record| record.node.as_str() == name)?;
    Some((found.incarnation, found.health))
}

#[test]
fn updates_are_ordered_by_incarnation_then_by_health() {
    use Health::{Alive, Dead, Left, Suspect};
    struct Case(&'static str, (u64, u32, Health), (u64, u32, Health));
    // The known record of the member as (process, refutation, health), the received update, and the
    // expected record after merging it.
    let table = [
        (Case("suspicion, same incarnation", (1, 0, Alive), (1, 0, Suspect)), (1, 0, Suspect)),
        (Case("suspicion, older incarnation", (1, 1, Alive), (1, 0, Suspect)), (1, 1, Alive)),
        (Case("refutation", (1, 0, Suspect), (1, 1, Alive)), (1, 1, Alive)),
        (Case("alive, not refuted", (1, 0, Suspect), (1, 0, Alive)), (1, 0, Suspect)),
        (Case("death without a suspicion", (1, 0, Alive), (1, 0, Dead)), (1, 0, Suspect)),
        (Case("death of a recent suspect", (1, 0, Suspect), (1, 0, Dead)), (1, 0, Suspect)),
        (Case("death of an older process", (2, 0, Alive), (1, 9, Dead)), (2, 0, Alive)),
        (Case("leave message", (1, 0, Alive), (1, 0, Left)), (1, 0, Left)),
        (Case("a member that left stays so", (1, 0, Left), (1, 0, Alive)), (1, 0, Left)),
        (Case("a new process", (1, 3, Left), (2, 0, Alive)), (2, 0, Alive)),
        (Case("suspicion of a new process", (1, 3, Alive), (2, 0, Suspect)), (2, 0, Suspect)),
        (Case("death of a new process", (1, 3, Alive), (2, 0, Dead)), (1, 3, Alive)),
    ];
    for (Case(case, known, received), expected) in table {
        let mut membership = node();
        let first = record("member", known.0, known.1, Alive);
        membership.on_message(gossip(vec![Update::Full(first)]), NOW, &mut zero);
        let first = record("member", known.0, known.1, known.2);
        membership.on_message(gossip(vec![Update::Full(first)]), NOW, &mut zero);
        let update = record("member", received.0, received.1, received.2);
        membership.on_message(gossip(vec![Update::Full(update)]), NOW, &mut zero);
        let incarnation = Incarnation { process: expected.0, refutation: expected.1 };
        assert_eq!(health_of(&membership, "member"), Some((incarnation, expected.2)), "{case}");
    }
}

#[test]
fn unknown_members_are_added_only_if_alive_and_with_a_full_record() {
    let mut membership = node();
    let dead = record("dead", 1, 0, Health::Dead);
    let short = record("short", 1, 0, Health::Alive).state();
    membership.on_message(gossip(vec![Update::Full(dead), Update::State(short)]), NOW, &mut zero);
    assert_eq!(health_of(&membership, "dead"), None);
    assert_eq!(health_of(&membership, "short"), None);
    assert_eq!(membership.counters().unknown_updates, 1);
}

#[test]
fn a_node_refutes_updates_about_itself() {
    let mut membership = node();
    let received = record("own", 5, 2, Health::Dead).state();
    membership.on_message(gossip(vec![Update::State(received)]), NOW, &mut zero);
    assert_eq!(membership.own().incarnation, Incarnation { process: 5, refutation: 3 });
}

#[test]
fn a_node_whose_clock_went_back_raises_its_incarnation_above_the_previous_process() {
    let mut others = node();
    let previous = record("restarted", 90, 0, Health::Alive);
    others.on_message(gossip(vec![Update::Full(previous)]), NOW, &mut zero);
    others.take_outgoing();
    let own = record("restarted", 40, 0, Health::Alive);
    others.on_outdated_sender(&own);
    let answer = others.take_outgoing().pop().expect("the outdated sender gets an answer");
    let mut restarted = Membership::new(own, Timing::default(), Vec::new(), NOW, &mut zero);
    restarted.on_message(answer.message, NOW, &mut zero);
    assert_eq!(restarted.own().incarnation, Incarnation { process: 91, refutation: 0 });
    assert!(restarted.take_changes().contains(&Change::NameTaken));
}

#[test]
fn every_answer_to_a_suspect_carries_the_suspicion() {
    let mut membership = node();
    let member = record("member", 1, 0, Health::Alive);
    membership.on_message(gossip(vec![Update::Full(member.clone())]), NOW, &mut zero);
    let suspect = record("member", 1, 0, Health::Suspect);
    membership.on_message(gossip(vec![Update::Full(suspect.clone())]), NOW, &mut zero);
    membership.take_outgoing();
    let ping = Message { sender: member, body: Body::Ping { number: 8 }, updates: Vec::new() };
    membership.on_message(ping, NOW, &mut zero);
    let answer = membership.take_outgoing().pop().expect("a ping is answered").message;
    assert_eq!(answer.body, Body::Ack { number: 8 });
    assert!(answer.updates.contains(&Update::State(suspect.state())));
}

#[test]
fn a_node_is_settled_at_once_without_seeds_and_after_a_timeout_with_unreachable_seeds() {
    let alone = record("alone", 1, 0, Health::Alive);
    let alone = Membership::new(alone, Timing::default(), Vec::new(), NOW, &mut zero);
    assert!(alone.is_settled());
    let mut waiting = node();
    waiting.on_tick(NOW, &mut zero);
    assert!(!waiting.is_settled());
    waiting.on_tick(NOW + Timing::default().join_timeout, &mut zero);
    assert!(waiting.is_settled());
}
