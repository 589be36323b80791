//! Sends replacement checks to the other nodes while the store does not answer them, and answers
//! those of other nodes (`core::promotion::PeerChecks`).

use std::collections::BTreeSet;
use std::time::Instant;

use kestrellock_core::ids::{GroupName, NodeName};
use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::CheckSource;
use kestrellock_core::promotion::{
    CoordinationView, GroupKnowledge, PeerAnswer, PeerCheckOutcome, PeerCheckResult, PeerChecks,
    nodes_digest,
};
use kestrellock_peer::message::{PeerMessage, REPLACEMENT_QUERY_VERSION};

use super::announcer::FIRST_SHARD;
use super::replacement_checker::is_unreplaced;
use crate::context::NodeContext;
use crate::metrics::ReplacementCheckEvent;
use crate::shard::mailbox::{Mailboxes, ShardMessage};

/// Most nodes that a log line names.
const MAX_LOGGED_NODES: usize = 4;

/// Runs the checks of a node by other nodes.
pub struct PeerChecker {
    checks: PeerChecks,
    /// What the check in progress asks.
    question: Question,
}

/// What a check asks the nodes.
#[derive(Clone, Debug, Default)]
struct Question {
    /// The groups, each with the highest term that this node knows to have been led.
    groups: Vec<(GroupName, Term)>,
    /// Digest of the listed nodes.
    nodes_digest: u64,
}

impl Default for PeerChecker {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerChecker {
    /// A checker that has made no check.
    pub fn new() -> Self {
        Self { checks: PeerChecks::new(rand::random()), question: Question::default() }
    }

    /// Whether a check is in progress.
    pub fn is_open(&self) -> bool {
        self.checks.is_open()
    }

    /// Processes the answers to the check in progress.
    pub fn receive(&mut self, context: &NodeContext, view: &CoordinationView, now: Instant) {
        for answer in context.replacement_checks.take_answers() {
            self.checks.on_answer(&answer);
        }
        if !self.checks.is_open() {
            return;
        }
        if let Some(result) = self.checks.take_result(&required_nodes(context), now) {
            apply_result(result, &self.question, context, view, now);
        }
    }

    /// Whether the next check may begin.
    pub fn is_due(&self, context: &NodeContext, now: Instant) -> bool {
        self.checks.is_due(context.listed_nodes.load().len(), now)
    }

    /// Begins a check of groups out of `waiting`.
    pub fn begin(
        &mut self,
        waiting: &mut BTreeSet<GroupName>,
        context: &NodeContext,
        view: &CoordinationView,
        mailboxes: &Mailboxes,
    ) {
        let nodes = required_nodes(context);
        let live = context.live.load();
        let is_live = |node: &NodeName| live.iter().any(|known| known.candidate.node == *node);
        // An entry in the machine list stays when its machine is gone: nobody else is asked then.
        let cannot_answer = |node: &&NodeName| is_older(node, context) || !is_live(node);
        let unable = nodes.iter().filter(cannot_answer).cloned().collect();
        // Read the clock before anything is asked: the check proves what holds from then on.
        let now = Instant::now();
        let query = self.checks.begin(waiting, &nodes, unable, now);
        if query.is_sent {
            for group in &query.groups {
                context.statuses.on_check_started(group, CheckSource::Nodes, now);
            }
        }
        let with_term = |group: GroupName| {
            let term = context.statuses.highest_led_term(&group);
            (group, term)
        };
        self.question = Question {
            groups: query.groups.into_iter().map(with_term).collect(),
            nodes_digest: nodes_digest(&context.listed_node_names()),
        };
        if query.is_sent {
            self.send(query.number, &nodes, context, mailboxes);
        }
        self.receive(context, view, now);
    }

    fn send(
        &mut self,
        number: u64,
        nodes: &BTreeSet<NodeName>,
        context: &NodeContext,
        mailboxes: &Mailboxes,
    ) {
        let own = &context.identity.node;
        let Question { groups, nodes_digest } = &self.question;
        for node in nodes.iter().filter(|node| *node != own) {
            let message = PeerMessage::ReplacementQuery {
                number,
                groups: groups.clone(),
                nodes_digest: *nodes_digest,
            };
            mailboxes.send(FIRST_SHARD, ShardMessage::ToPeer { node: node.clone(), message });
        }
        // This node may have been the coordinator as well. One that is not listed does not know
        // whether its list is complete.
        let unreplaced = match context.is_listed() {
            true => self.question.unreplaced_groups(context),
            false => BTreeSet::new(),
        };
        let arrived = Instant::now();
        self.checks.on_answer(&PeerAnswer { from: own.clone(), number, unreplaced, arrived });
    }
}

impl Question {
    /// Those groups of which this node knows no replacement of the primary that leads the given term
    /// or a higher one.
    fn unreplaced_groups(&self, context: &NodeContext) -> BTreeSet<GroupName> {
        if self.nodes_digest != nodes_digest(&context.listed_node_names()) {
            return BTreeSet::new();
        }
        let confirmed = self.groups.iter().filter(|(group, term)| confirms(group, *term, context));
        confirmed.map(|(group, _)| group.clone()).collect()
    }
}

/// The nodes that have to confirm a check: all that are listed or live.
fn required_nodes(context: &NodeContext) -> BTreeSet<NodeName> {
    let (live, listed) = (context.live.load(), context.listed_nodes.load());
    let known = live.iter().chain(listed.iter()).map(|node| &node.candidate.node);
    known.chain([&context.identity.node]).cloned().collect()
}

/// Whether a node is known to run a version that does not know the message.
fn is_older(node: &NodeName, context: &NodeContext) -> bool {
    context.peer_versions.get(node).is_some_and(|version| version < REPLACEMENT_QUERY_VERSION)
}

/// Answers the check of another node.
pub fn answer(
    number: u64,
    groups: Vec<(GroupName, Term)>,
    nodes_digest: u64,
    context: &NodeContext,
) -> PeerMessage {
    let unreplaced = Question { groups, nodes_digest }.unreplaced_groups(context);
    let unreplaced = unreplaced.into_iter().collect();
    PeerMessage::ReplacementQueryAnswer { number, unreplaced }
}

fn confirms(group: &GroupName, term: Term, context: &NodeContext) -> bool {
    let copy = context.replacement_checks.copy.load();
    let knowledge = GroupKnowledge {
        may_be_replaced: context.replacement_checks.may_have_attempt(group, &copy)
            || copy.view.intents.contains_key(group)
            || context.replacements.knows_replacement(group),
        highest_led: context.statuses.highest_led_term(group),
        promoted: copy.view.promoted.get(group),
    };
    knowledge.confirms(term)
}

fn apply_result(
    mut result: PeerCheckResult,
    question: &Question,
    context: &NodeContext,
    view: &CoordinationView,
    now: Instant,
) {
    // This node may have learned of a replacement or of another node since the check began.
    let unreplaced = question.unreplaced_groups(context);
    let holds =
        |group: &GroupName| unreplaced.contains(group) && is_unreplaced(group, context, view);
    result.confirmed.retain(holds);
    for group in &result.confirmed {
        context.statuses.on_replacement_check(group, result.started_at);
        context.renew_claim(group);
    }
    let event = match result.outcome() {
        PeerCheckOutcome::Confirmed => ReplacementCheckEvent::PeersConfirmed,
        PeerCheckOutcome::Refused => ReplacementCheckEvent::PeersRefused,
        PeerCheckOutcome::Unanswered => ReplacementCheckEvent::PeersUnanswered,
    };
    context.metrics.replacement_checks.count(event);
    match result.confirmed.is_empty() {
        true => context.replacement_checks.on_failure(now),
        false => context.replacement_checks.on_success(),
    }
    log_result(&result, context);
}

fn log_result(result: &PeerCheckResult, context: &NodeContext) {
    let outcome = match result.outcome() {
        PeerCheckOutcome::Confirmed if result.confirmed == result.groups => "confirmed",
        PeerCheckOutcome::Confirmed => "replaced",
        PeerCheckOutcome::Refused => "refused",
        PeerCheckOutcome::Unanswered => "unanswered",
    };
    let unconfirmed = result.refusing.iter().chain(&result.unanswered);
    let names: Vec<&NodeName> = unconfirmed.clone().take(MAX_LOGGED_NODES).collect();
    log::info!(
        event = "peer_replacement_check",
        outcome = outcome,
        groups:? = result.groups,
        confirmed:? = result.confirmed,
        nodes_asked = result.nodes.saturating_sub(1) as u64,
        refusing = result.refusing.len() as u64,
        unanswered = result.unanswered.len() as u64,
        older_version = unconfirmed.filter(|node| is_older(node, context)).count() as u64,
        some_unconfirmed:? = names,
        began_ms_ago = result.started_at.elapsed().as_millis() as u64;
        "the store does not answer: all nodes were asked whether primaries are being replaced"
    );
}
