//! Watches the primaries: publishes which of them this node suspects, follows the replacements that
//! other nodes run, and makes this node the coordinator when it is its turn.
//!
//! Each step of the watcher
//!
//! * follows the catalog, and the replacement state as the store and coordinators report it;
//! * revokes this node's evidence for primaries that are being replaced, and reports that to the
//!   coordinator, which otherwise has to wait until the evidence expires;
//! * votes for the replacement of primaries that this node suspects, by its own exchanges and, if
//!   these are not recent, by a direct status query;
//! * computes from all votes which groups need a replacement, and starts the coordinator thread for
//!   them if no other node is the coordinator.
//!
//! `suspicion` and `coordinator_start` contain the last two.

mod coordinator_start;
mod suspicion;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use kestrellock_core::catalog::IndexedCatalog;
use kestrellock_core::ids::GroupName;
use kestrellock_core::promotion::{
    CoordinationView, Intent, NeedsEvaluator, NodeVotes, StoreEraTracker, Vote, active_intents,
};
use kestrellock_core::store_access::CoordinatorTurn;
use kestrellock_core::suspicion::FailureDetector;
use kestrellock_peer::message::PeerMessage;

use super::ReplacementServices;
use super::announcer::{FIRST_SHARD, ReplacementAnnouncer};
use super::coordinator::{CoordinatorInput, SharedCoordinatorInput};
use super::counted_coordination::CountedCoordination;
use super::electors::Electors;
use super::log_status::LogStatus;
use super::owned::OwnedGroups;
use super::replacement_checker::ReplacementChecker;
use super::status_queries::{ASSESSMENT_LIFETIME, StatusQueries};
use super::vote_exchange::VoteExchange;
use super::{caller_queries, vote_publisher, write_back};
use crate::context::NodeContext;
use crate::shard::mailbox::{Mailboxes, ShardMessage};
use crate::shared::replacement_checks::StoreCopy;
use crate::supervisor::StopFlag;

/// Time between two steps while a primary is suspected, replaced or queried.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two steps otherwise. A suspicion needs several hundred milliseconds without a
/// response, and each step wakes a node that has nothing to do.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two messages to a coordinator.
const REVOCATION_REPORT_INTERVAL: Duration = Duration::from_millis(60);

struct Watcher<'a> {
    context: &'a Arc<NodeContext>,
    services: &'a ReplacementServices,
    judge: FailureDetector,
    needs_judge: NeedsEvaluator,
    logs: LogStatus,
    /// The catalog of the last step.
    last_catalog: Arc<IndexedCatalog>,
    owned: OwnedGroups,
    view: Arc<CoordinationView>,
    /// `view` with the votes that other owners have sent directly.
    view_with_votes: Arc<CoordinationView>,
    /// Running replacements, as reported by the store or by their coordinators.
    intents: BTreeMap<GroupName, Intent>,
    announcer: ReplacementAnnouncer,
    era: StoreEraTracker,
    /// When the newest copy of the store was requested that shows all running replacements.
    replacements_known_at: Option<Instant>,
    electors: Electors,
    votes: NodeVotes,
    vote_exchange: VoteExchange,
    /// The part of `votes` that was last given to the vote publisher.
    store_votes: NodeVotes,
    vote_sender: Sender<NodeVotes>,
    status_queries: StatusQueries,
    coordinator_input: SharedCoordinatorInput,
    turn: CoordinatorTurn,
    /// Whether the store has refused this node the lease, and no coordinator was seen since.
    is_lease_refused: bool,
    coordinator_thread: Option<thread::JoinHandle<()>>,
    replacement_checker: ReplacementChecker,
    mailboxes: &'a Mailboxes,
    stop: &'a StopFlag,
    /// When this node last reported to coordinators which evidence it has revoked.
    last_report: Option<Instant>,
}

/// Watches the primaries until `stop` is set.
pub fn run(
    context: &Arc<NodeContext>,
    mailboxes: &Mailboxes,
    services: &ReplacementServices,
    stop: &StopFlag,
) {
    let coordination = CountedCoordination::new(services.coordination.clone(), context.clone());
    let services =
        &ReplacementServices { coordination: Arc::new(coordination), ..services.clone() };
    let mut watcher = Watcher {
        context,
        services,
        judge: FailureDetector::default(),
        needs_judge: NeedsEvaluator::default(),
        logs: LogStatus::new(),
        last_catalog: Arc::default(),
        owned: OwnedGroups::default(),
        view: Arc::default(),
        view_with_votes: Arc::default(),
        intents: BTreeMap::new(),
        announcer: ReplacementAnnouncer::default(),
        era: StoreEraTracker::default(),
        replacements_known_at: None,
        electors: Electors::default(),
        votes: NodeVotes::new(),
        vote_exchange: VoteExchange::default(),
        store_votes: NodeVotes::new(),
        vote_sender: vote_publisher::start(context, services, stop),
        status_queries: StatusQueries::new(ASSESSMENT_LIFETIME),
        coordinator_input: Arc::new(Mutex::new(CoordinatorInput::default())),
        turn: CoordinatorTurn::default(),
        is_lease_refused: false,
        coordinator_thread: None,
        replacement_checker: ReplacementChecker::start(context, services),
        mailboxes,
        stop,
        last_report: None,
    };
    while !stop.is_stopping() {
        stop.wait_while_paused();
        watcher.step();
        context.replacement_check_requests.wait(watcher.step_interval());
    }
}

impl Watcher<'_> {
    fn step(&mut self) {
        let now = Instant::now();
        self.judge.tick(now);
        let catalog = self.context.catalog.load();
        self.follow_catalog(&catalog, now);
        self.announcer.step(self.context, self.mailboxes, now);
        caller_queries::send_queries(self.context, self.mailboxes);
        self.follow_store(now);
        self.add_peer_votes(now);
        if !self.era.replacement_may_be_lost(now) {
            self.replacement_checker.step(self.context, &self.view, self.mailboxes, now);
        }
        self.follow_logs(now);
        self.publish_votes(&catalog, now);
        let needs = self.compute_needs(&catalog, now);
        self.start_coordinator_if_due(needs, now);
    }

    /// Time until the next step.
    fn step_interval(&self) -> Duration {
        let has_no_votes = self.view_with_votes.votes.is_empty() && self.votes.is_empty();
        let has_no_replacements = self.intents.is_empty() && !self.turn.is_needed();
        let is_querying = self.status_queries.is_query_in_progress()
            || self.replacement_checker.is_asking_peers()
            || self.context.replacement_check_requests.is_waiting();
        let is_idle = has_no_votes && has_no_replacements && !is_querying;
        if is_idle { IDLE_STEP_INTERVAL } else { STEP_INTERVAL }
    }

    /// Updates the known instances if the catalog has changed since the last step.
    fn follow_catalog(&mut self, catalog: &Arc<IndexedCatalog>, now: Instant) {
        if Arc::ptr_eq(catalog, &self.last_catalog) {
            self.logs.advance_time(now);
            return;
        }
        self.logs.apply_catalog(catalog, now);
        self.needs_judge.apply_catalog(catalog);
        self.last_catalog = catalog.clone();
    }

    fn follow_store(&mut self, now: Instant) {
        // `CountedCoordination` adds the counts to the metrics; nothing else uses them here.
        let _ = self.services.coordination.take_watch_calls();
        let view = self.services.coordination.view();
        let is_new = view.revision != self.view.revision;
        if is_new && self.era.observe(view.era, now) {
            self.on_store_restored(&view);
        }
        // The terms come first: once a replacement is known to have ended, an answer of the old primary
        // is covered for longer, unless its successor's term is known.
        if view.promoted != self.view.promoted {
            self.follow_successors(&view);
        }
        let known_at = self.era.replacements_known_at(view.requested_at);
        // A later answer without changes shows as well which replacements have ended.
        if is_new || known_at > self.replacements_known_at {
            self.replacements_known_at = known_at;
            self.context.replacements.follow_store(&view.intents, known_at, now);
        }
        self.report_revoked_evidence();
        self.follow_intents(&view, now);
        self.context
            .replacement_checks
            .copy
            .store(StoreCopy { view: view.clone(), requested_at: known_at });
        if is_new {
            self.view = view;
        }
    }

    /// Adds the votes that other owners have sent directly to those in the store.
    fn add_peer_votes(&mut self, now: Instant) {
        let added = self.context.peer_votes.added_to(&self.view, now);
        self.view_with_votes = added.map_or_else(|| self.view.clone(), Arc::new);
    }

    /// Updates the running replacements, as reported by the store or by their coordinators.
    fn follow_intents(&mut self, view: &CoordinationView, now: Instant) {
        let intents = self.context.replacements.intents(now);
        if intents == self.intents {
            return;
        }
        // Evidence is revoked before that is reported to the coordinator: from here on no read
        // relies on it.
        let active_intents = active_intents(&intents);
        self.context.statuses.follow_replacements(&active_intents);
        log::info!(
            event = "intents",
            intents:? = intents,
            in_store = intents == view.intents,
            revision = view.revision;
            "replacements under way have changed"
        );
        self.context.intents.store(active_intents);
        self.intents = intents;
        self.last_report = None;
        self.report_revoked_evidence();
    }

    /// Handles a store restore: the copy may lack this node's votes and the replacement records of
    /// its groups, so the node writes both again. `StoreEraTracker` tracks for how long the replacement
    /// state in the store may be incomplete.
    fn on_store_restored(&mut self, view: &CoordinationView) {
        self.context.metrics.store_restores.inc();
        log::warn!(
            event = "store_era",
            era = view.era.0,
            era_before = self.view.era.0,
            intents = view.intents.len() as u64,
            votes = self.store_votes.len() as u64;
            "the store was restored from an older copy: writing this node's votes and replacement records again"
        );
        if !self.store_votes.is_empty() {
            // The vote publisher runs until the node stops.
            let _ = self.vote_sender.send(self.store_votes.clone());
        }
        let owned = self.owned.refresh(self.context);
        write_back::start(self.context, self.services, owned.to_vec(), self.stop);
    }

    /// Records the terms that promoted instances lead. An instance that leads a lower term is an
    /// old primary, whatever role it reports.
    fn follow_successors(&self, view: &CoordinationView) {
        for (group, successor) in &view.promoted {
            let is_new = self.view.promoted.get(group) != Some(successor);
            if let Some(term) = successor.term.filter(|_| is_new) {
                self.context.statuses.on_led(group, term);
            }
        }
    }

    /// Reports to each coordinator that this node has revoked its evidence of the primary being
    /// replaced. The message is repeated for as long as the replacement runs, because it may be
    /// lost.
    fn report_revoked_evidence(&mut self) {
        let now = Instant::now();
        let reported_recently = self
            .last_report
            .is_some_and(|last_report| now < last_report + REVOCATION_REPORT_INTERVAL);
        if self.intents.is_empty() || reported_recently {
            return;
        }
        self.last_report = Some(now);
        let own = &self.context.identity.node;
        for (group, intent) in &self.intents {
            let is_revoked = {
                let group_statuses = self.context.statuses.group(group);
                let known =
                    group_statuses.read().expect("a thread panicked while it held the status lock");
                known.evidence.revoked_for() == Some(intent.id)
            };
            if !is_revoked {
                continue;
            }
            let report = self.logs.report(group, intent, self.context, now);
            if intent.holder == *own {
                self.context.revoked_evidence.add(group, intent.id, own, report, now);
                continue;
            }
            let message = PeerMessage::EvidenceRevoked {
                node: own.clone(),
                group: group.clone(),
                id: intent.id,
                witness: report,
            };
            let message = ShardMessage::ToPeer { node: intent.holder.clone(), message };
            self.mailboxes.send(FIRST_SHARD, message);
        }
    }

    /// Processes the status reports of instances that were queried directly, and queries those whose
    /// logs are in an open state.
    fn follow_logs(&mut self, now: Instant) {
        self.logs.process_reports(self.status_queries.step(now), now);
        let owned = self.owned.refresh(self.context);
        self.logs.query(owned.iter(), self.context, self.services, now);
    }

    /// Publishes which primaries this node suspects, if that has changed.
    fn publish_votes(&mut self, catalog: &IndexedCatalog, now: Instant) {
        let mut votes = NodeVotes::new();
        // Only owners send requests to a group's primary. For other nodes a query would only take
        // up connections of the instance.
        for name in self.owned.refresh(self.context).iter() {
            let Some(group) = catalog.groups.get(name) else { continue };
            let Some(primary) = self.context.leader(name, group) else { continue };
            self.query_other_primaries(name, group, &primary.name);
            if let Some(cause) = self.suspect(name, &primary.name, now) {
                votes.insert(name.clone(), Vote { instance: primary.name.clone(), cause });
            }
        }
        if votes != self.votes {
            log::info!(event = "vote", votes:? = votes; "this node's votes have changed");
            self.votes = votes;
        }
        self.deliver_votes(now);
    }

    /// Sends this node's votes to the other owners, and publishes those that have to be in the
    /// store.
    fn deliver_votes(&mut self, now: Instant) {
        let own = &self.context.identity.node;
        let coordinator = self.view.coordinator.as_ref().map(|coordinator| &coordinator.node);
        let coordinator = coordinator.filter(|node| *node != own);
        let store_votes =
            self.vote_exchange.step(&self.votes, coordinator, self.context, self.mailboxes, now);
        if store_votes != self.store_votes {
            self.store_votes.clone_from(&store_votes);
            // The vote publisher runs until the node stops.
            let _ = self.vote_sender.send(store_votes);
        }
    }
}
