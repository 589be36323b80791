//! How votes on primaries reach the other owners of a group: directly, with the store as the
//! fallback.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use kestrellock_core::ids::{GroupName, InstanceName, NodeName};
use kestrellock_core::promotion::{
    CoordinationView, NodeVotes, PEER_VOTE_VALIDITY, PeerVotes, StoreReason,
    VOTE_CONFIRMATION_TIMEOUT, VOTE_REPEAT_INTERVAL, Vote, VoteDelivery, VoteDeliveryInput,
    VoteDeliveryStep,
};
use kestrellock_core::suspicion::Cause;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const GROUP: &str = "orders";
/// Interval of the steps of the watcher while votes stand.
const STEP: Duration = Duration::from_millis(20);

fn group() -> GroupName {
    GroupName::new(GROUP)
}

fn vote() -> NodeVotes {
    let vote = Vote { instance: InstanceName::new("a"), cause: Cause::Silent };
    NodeVotes::from([(group(), vote)])
}

fn node(number: usize) -> NodeName {
    NodeName::new(format!("node-{number}"))
}

/// One owner's delivery, and what it depends on.
struct Owner {
    delivery: VoteDelivery,
    owners: BTreeMap<GroupName, BTreeSet<NodeName>>,
    unable: BTreeSet<NodeName>,
    has_old_nodes: bool,
    coordinator: Option<NodeName>,
}

impl Owner {
    /// An owner of a group with eight others.
    fn new() -> Self {
        Self {
            delivery: VoteDelivery::default(),
            owners: BTreeMap::from([(group(), (1..9).map(node).collect())]),
            unable: BTreeSet::new(),
            has_old_nodes: false,
            coordinator: None,
        }
    }

    fn step(&mut self, votes: &NodeVotes, now: Instant) -> VoteDeliveryStep {
        let input = VoteDeliveryInput {
            votes,
            owners: &self.owners,
            unable: &self.unable,
            has_old_nodes: self.has_old_nodes,
            coordinator: self.coordinator.as_ref(),
            now,
        };
        self.delivery.step(&input)
    }

    /// Takes a step, and has the messages confirmed by the owners for which `confirms` holds.
    fn step_confirmed(
        &mut self,
        votes: &NodeVotes,
        now: Instant,
        confirms: impl Fn(&NodeName) -> bool,
    ) -> VoteDeliveryStep {
        let step = self.step(votes, now);
        for message in step.messages.iter().filter(|message| confirms(&message.to)) {
            self.delivery.on_confirmed(&message.to, message.round);
        }
        step
    }

    fn store_votes(&self, votes: &NodeVotes) -> NodeVotes {
        self.delivery.store_votes(votes)
    }
}

/// Guards against calls by every node for each vote: all nodes watch the votes in the store.
#[test]
fn confirmed_votes_never_reach_the_store() {
    let (start, mut owner) = (Instant::now(), Owner::new());
    let mut sent = 0;
    for step in 0..100 {
        let now = start + STEP * step;
        sent += owner.step_confirmed(&vote(), now, |_| true).messages.len();
        assert_eq!(owner.store_votes(&vote()), NodeVotes::new());
    }
    // Eight owners, at the first step and then each 250 ms, which is rounded up to whole steps.
    assert_eq!(sent, 8 * (1 + 1_980 / 260));
}

/// Guards against messages while there is nothing to report, and against votes that stand on.
#[test]
fn vote_is_withdrawn_once_and_nothing_is_sent_without_one() {
    let (start, mut owner) = (Instant::now(), Owner::new());
    let none = NodeVotes::new();
    assert_eq!(owner.step(&none, start), VoteDeliveryStep::default());
    owner.step_confirmed(&vote(), start, |_| true);
    let withdrawn = owner.step(&none, start + STEP);
    assert_eq!(withdrawn.messages.len(), 8);
    assert!(withdrawn.messages.iter().all(|message| message.votes.is_empty()));
    assert_eq!(owner.step(&none, start + 2 * STEP), VoteDeliveryStep::default());
}

/// Guards against a replacement that waits because an owner cannot be reached: its vote may be the
/// one that is missing for a majority.
#[test]
fn vote_that_an_owner_does_not_confirm_goes_through_the_store() {
    let (start, mut owner) = (Instant::now(), Owner::new());
    let silent = node(3);
    owner.step_confirmed(&vote(), start, |node| *node != silent);
    let in_time = start + VOTE_CONFIRMATION_TIMEOUT - STEP;
    assert_eq!(owner.step(&vote(), in_time).newly_in_store, []);
    let late = owner.step(&vote(), start + VOTE_CONFIRMATION_TIMEOUT);
    assert_eq!(late.newly_in_store, [(group(), StoreReason::UnconfirmedBy(silent))]);
    assert_eq!(owner.store_votes(&vote()), vote());
    // Removing it again would cost every node another call.
    owner.step_confirmed(&vote(), start + 2 * VOTE_REPEAT_INTERVAL, |_| true);
    assert_eq!(owner.store_votes(&vote()), vote());
    owner.step(&NodeVotes::new(), start + 3 * VOTE_REPEAT_INTERVAL);
    assert_eq!(owner.store_votes(&NodeVotes::new()), NodeVotes::new());
    let again = owner.step_confirmed(&vote(), start + 4 * VOTE_REPEAT_INTERVAL, |_| true);
    assert_eq!(again.newly_in_store, [], "the next vote is delivered directly again");
}

/// Guards against a vote that an owner has forgotten, because the owner became unreachable after it
/// had confirmed it. The store has to have the vote before it expires there.
#[test]
fn owner_that_becomes_unreachable_is_noticed_before_the_vote_expires() {
    let (start, mut owner) = (Instant::now(), Owner::new());
    owner.step_confirmed(&vote(), start, |_| true);
    let mut now = start;
    while owner.store_votes(&vote()).is_empty() {
        now += STEP;
        owner.step_confirmed(&vote(), now, |owner| *owner != node(5));
    }
    assert!(now + VOTE_REPEAT_INTERVAL < start + PEER_VOTE_VALIDITY, "{:?}", now - start);
}

/// Guards against votes that no node acts on: old nodes and a coordinator that does not own the
/// group see only those in the store.
#[test]
fn votes_go_through_the_store_at_once_where_some_node_needs_them_there() {
    type Prepare = fn(&mut Owner);
    let cases: [(Prepare, StoreReason); 4] = [
        (|owner| owner.has_old_nodes = true, StoreReason::OldNode),
        (|owner| owner.unable.extend([node(8)]), StoreReason::UnableOwner(node(8))),
        (|owner| owner.coordinator = Some(node(40)), StoreReason::Coordinator),
        (|owner| owner.owners.clear(), StoreReason::UnknownOwners),
    ];
    for (prepare, reason) in cases {
        let mut owner = Owner::new();
        prepare(&mut owner);
        let step = owner.step(&vote(), Instant::now());
        assert_eq!(step.newly_in_store, [(group(), reason)]);
    }
    let mut owner = Owner::new();
    owner.coordinator = Some(node(2));
    owner.unable.insert(node(40));
    let step = owner.step(&vote(), Instant::now());
    assert_eq!(step.newly_in_store, [], "the coordinator owns the group, another node is unable");
}

/// Guards against confirmations of earlier messages that hide that a newer vote was lost.
#[test]
fn confirmation_of_an_earlier_message_does_not_count() {
    let (start, mut owner) = (Instant::now(), Owner::new());
    let first = owner.step_confirmed(&vote(), start, |_| true);
    let other = Vote { instance: InstanceName::new("b"), cause: Cause::Refuses };
    let changed = NodeVotes::from([(group(), other)]);
    owner.step(&changed, start + STEP);
    for message in &first.messages {
        owner.delivery.on_confirmed(&message.to, message.round);
    }
    let late = owner.step(&changed, start + STEP + VOTE_CONFIRMATION_TIMEOUT);
    assert_eq!(late.newly_in_store.len(), 1);
}

/// Guards against the vote of an owner that died and so cannot withdraw it.
#[test]
fn votes_expire_without_news_and_end_with_an_empty_vote() {
    let start = Instant::now();
    let mut received = PeerVotes::default();
    let view = CoordinationView { revision: 1, ..CoordinationView::default() };
    received.on_votes(&node(1), vote(), start);
    received.on_votes(&node(2), vote(), start);
    received.on_votes(&node(2), NodeVotes::new(), start + STEP);
    let expected = BTreeMap::from([(node(1), vote())]);
    received.expire(start + PEER_VOTE_VALIDITY - STEP);
    assert_eq!(received.added_to(&view).votes, expected);
    received.on_votes(&node(1), vote(), start + VOTE_REPEAT_INTERVAL);
    received.expire(start + PEER_VOTE_VALIDITY);
    assert_eq!(received.added_to(&view).votes, expected, "repeated");
    received.expire(start + VOTE_REPEAT_INTERVAL + PEER_VOTE_VALIDITY);
    assert!(received.is_empty());
    assert_eq!(received.added_to(&view), view);
}

/// Guards against the loss of votes in the store, which owners use as the fallback.
#[test]
fn direct_votes_are_added_to_those_in_the_store() {
    let mut received = PeerVotes::default();
    let elsewhere = GroupName::new("payments");
    let stored = Vote { instance: InstanceName::new("p"), cause: Cause::Refuses };
    let mut view = CoordinationView { revision: 1, ..CoordinationView::default() };
    view.votes.insert(node(1), NodeVotes::from([(elsewhere.clone(), stored.clone())]));
    view.votes.insert(node(2), vote());
    received.on_votes(&node(1), vote(), Instant::now());
    let votes = received.added_to(&view).votes;
    assert_eq!(votes[&node(1)].keys().collect::<Vec<_>>(), [&group(), &elsewhere]);
    assert_eq!(votes[&node(2)], vote());
}

/// Owners that all vote at the same time, with messages that are lost between two parts of them.
/// Returns after which time each owner knows every vote, directly or through the store.
fn play_partition(seed: u64) -> Duration {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let count = 9;
    let part: Vec<bool> = (0..count).map(|_| random.random_bool(0.5)).collect();
    let latency = Duration::from_millis(random.random_range(1..30));
    let mut owners: Vec<Owner> = (0..count).map(|_| Owner::new()).collect();
    for (number, owner) in owners.iter_mut().enumerate() {
        let others = (0..count).filter(|other| *other != number).map(node).collect();
        owner.owners.insert(group(), others);
    }
    let mut received = vec![PeerVotes::default(); count];
    let mut view = CoordinationView { revision: 1, ..CoordinationView::default() };
    // Votes that arrive, and confirmations: when, from, to, number.
    let mut votes_on_way: Vec<(Duration, usize, usize, u64)> = Vec::new();
    let mut confirmations: Vec<(Duration, usize, usize, u64)> = Vec::new();
    let mut elapsed = Duration::ZERO;
    loop {
        let now = start + elapsed;
        for (_, from, to, round) in votes_on_way.extract_if(.., |message| message.0 <= elapsed) {
            received[to].on_votes(&node(from), vote(), now);
            confirmations.push((elapsed + latency, to, from, round));
        }
        for (_, from, to, round) in confirmations.extract_if(.., |message| message.0 <= elapsed) {
            owners[to].delivery.on_confirmed(&node(from), round);
        }
        for (number, owner) in owners.iter_mut().enumerate() {
            for message in owner.step(&vote(), now).messages {
                let to = (0..count).find(|other| node(*other) == message.to).expect("an owner");
                if part[number] == part[to] {
                    votes_on_way.push((elapsed + latency, number, to, message.round));
                }
            }
            let stored = owner.store_votes(&vote());
            if !stored.is_empty() {
                view.votes.insert(node(number), stored);
            }
        }
        let knows_all = |number: &usize| {
            let mut known = received[*number].added_to(&view).votes;
            known.insert(node(*number), vote());
            known.len() == count
        };
        if (0..count).all(|number| knows_all(&number)) {
            return elapsed;
        }
        assert!(elapsed < Duration::from_secs(2), "seed {seed}: votes are missing");
        elapsed += Duration::from_millis(5);
    }
}

/// Guards against a replacement that becomes slower when owners cannot reach each other: all votes
/// are known one confirmation timeout after they would have been in the store.
#[test]
fn partitioned_owners_know_all_votes_after_the_confirmation_timeout() {
    for seed in 0..500 {
        let took = play_partition(seed);
        assert!(took <= VOTE_CONFIRMATION_TIMEOUT + STEP, "seed {seed}: {took:?}");
    }
}
