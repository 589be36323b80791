//! Client traffic at nodes: random reads and writes, when a node may send them to the primary, and
//! which answers it passes on to clients.

use std::time::{Duration, Instant};

use kestrellock_core::position::Term;
use kestrellock_core::primary_evidence::{CheckSource, Lead, MIN_PROMOTION_TIME, ReplicaTerms};
use kestrellock_core::primary_samples::PositionReport;
use kestrellock_core::promotion::{Command, Event};
use kestrellock_core::routing::Role;
use rand::RngExt;

use crate::messages::{Connection, Exchange, Message, Reply, Work};
use crate::node::{REPLICATION, UnconfirmedCommit, group_name, instance_name};
use crate::plan::{FaultKind, PlantedFault};
use crate::store::Operation;
use crate::world::{CALL_TIMEOUT_MS, World};

/// Mean interval between two client requests at a node.
const MEAN_REQUEST_INTERVAL_MS: f64 = 40.0;
/// Interval between two steps of a node.
const NODE_STEP_MS: f64 = 5.0;
/// Maximum time for which a request waits for evidence.
const EVIDENCE_TIMEOUT_MS: u64 = 400;
/// Timeout of a request to an instance.
const REQUEST_TIMEOUT_MS: u64 = 700;
/// Interval between two status queries for evidence.
const STATUS_QUERY_INTERVAL_MS: u64 = 20;
/// Time for which a node waits for replicas before it asks for a replacement check in place of the
/// reports that are missing.
const REPLICA_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);
/// Interval between two replacement checks.
const CHECK_INTERVAL_MS: u64 = 40;

/// A client's request that waits at a node.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// When it arrived.
    arrived: u64,
    /// Whether it writes.
    writes: bool,
}

impl World {
    /// Creates new client requests and continues the waiting ones.
    pub fn serve_clients(&mut self, node: usize) {
        let now = self.at(self.now);
        self.nodes[node].ignores_processes = self.planted_fault == PlantedFault::ProcessesIgnored;
        self.nodes[node].ignores_unchecked_reports = self.planted_fault != PlantedFault::None;
        self.nodes[node].counts_reports_of_all_replicas =
            self.planted_fault.counts_reports_of_all_replicas();
        self.nodes[node].expire_replacements(now);
        self.drop_expired_requests(node);
        self.confirm_commits(node);
        self.open_connections(node);
        let are_resting = self.is_active(FaultKind::ClientsRest(node));
        if self.rng.random_bool(NODE_STEP_MS / MEAN_REQUEST_INTERVAL_MS) && !are_resting {
            let (arrived, writes) = (self.now, self.rng.random_bool(0.5));
            match writes && self.writes_without_evidence() {
                true => self.write_without_evidence(node),
                false => self.requests[node].push(ClientRequest { arrived, writes }),
            }
        }
        self.serve_requests(node);
    }

    /// Abandons requests that have timed out, or whose primary is no longer the leader in this
    /// node's view. Whether they ran is not known.
    fn drop_expired_requests(&mut self, node: usize) {
        let now = self.at(self.now);
        let leader = self.nodes[node].leader();
        let was_replaced =
            self.nodes[node].last_leader.is_some() && self.nodes[node].last_leader != leader;
        self.nodes[node].last_leader = leader;
        let has_timed_out =
            |sent| now.saturating_duration_since(sent).as_millis() as u64 > REQUEST_TIMEOUT_MS;
        let pending = &mut self.nodes[node].pending_requests;
        let expired =
            pending.extract_if(.., |_, (_, sent, _)| was_replaced || has_timed_out(*sent));
        let in_doubt: Vec<u64> =
            expired.filter(|(_, (_, _, commits))| *commits).map(|(request, _)| request).collect();
        if self.planted_fault == PlantedFault::InDoubtReportedNotRun {
            in_doubt.into_iter().for_each(|request| self.checker.on_reported_not_run(request));
        }
    }

    /// Queries the instances for evidence, unless they were queried a moment ago.
    fn query_for_evidence(&mut self, node: usize) {
        if self.now >= self.nodes[node].status_queried_at + STATUS_QUERY_INTERVAL_MS {
            self.query_all_instances(node);
        }
    }

    fn serve_requests(&mut self, node: usize) {
        let now = self.now;
        self.requests[node].retain(|waiting| now < waiting.arrived + EVIDENCE_TIMEOUT_MS);
        let Some(leader) = self.nodes[node].leader() else { return };
        if self.requests[node].is_empty() || self.nodes[node].delays_primary_requests() {
            return;
        }
        let mut sends_write = false;
        for waiting in std::mem::take(&mut self.requests[node]) {
            if !self.may_run(node, leader, waiting) {
                self.requests[node].push(waiting);
                continue;
            }
            sends_write |= waiting.writes;
            let (request, arrived) = (self.next_number(), waiting.arrived);
            let work = match waiting.writes {
                true => Work::Write { commit: request, arrived },
                false => Work::Read { arrived },
            };
            self.send_request(node, leader, request, work);
        }
        if !self.requests[node].is_empty() {
            self.query_for_evidence(node);
        }
        // The check for a write usually ends before its commit is answered, which then needs no
        // confirmation.
        let is_needed = sends_write || !self.requests[node].is_empty();
        if self.check_would_help(node, leader) || (is_needed && self.lacks_evidence(node, leader)) {
            self.check_for_replacement(node);
        }
    }

    /// Whether a request may be sent to the leader now.
    fn may_run(&self, node: usize, leader: usize, request: ClientRequest) -> bool {
        let lifetime = self.evidence_lifetime(node);
        let own = &self.nodes[node];
        let is_covered = own.may_read(leader, self.at(request.arrived), lifetime);
        let is_outdated = request.writes && own.is_outdated(leader);
        let ignores_evidence =
            !request.writes && self.planted_fault == PlantedFault::ReadsWithoutEvidence;
        !is_outdated && (is_covered || ignores_evidence)
    }

    /// Whether writes need no evidence, because a fault is planted: the evidence prevents what most
    /// planted faults lead to, and each of them must still be detected.
    fn writes_without_evidence(&self) -> bool {
        self.planted_fault != PlantedFault::None
    }

    /// Sends a write to the leader, or drops it if that is known not to take writes.
    fn write_without_evidence(&mut self, node: usize) {
        let own = &self.nodes[node];
        let Some(leader) = own.leader() else { return };
        if own.delays_primary_requests() || own.is_outdated(leader) {
            return;
        }
        let (commit, arrived) = (self.next_number(), self.now);
        self.send_request(node, leader, commit, Work::Write { commit, arrived });
    }

    /// Whether a replacement check would let the newest waiting request run.
    fn check_would_help(&self, node: usize, leader: usize) -> bool {
        let lifetime = self.evidence_lifetime(node);
        self.requests[node].last().is_some_and(|waiting| {
            let arrived = self.at(waiting.arrived);
            self.nodes[node].may_read_once_checked(leader, arrived, lifetime)
        })
    }

    /// Whether reports yield no evidence without a replacement check. Where those of all replicas do,
    /// nothing but a waiting request asks for one.
    fn lacks_evidence(&self, node: usize, leader: usize) -> bool {
        let (now, lifetime) = (self.at(self.now), self.evidence_lifetime(node));
        let own = &self.nodes[node];
        !own.counts_reports_of_all_replicas && !own.has_lasting_evidence(leader, now, lifetime)
    }

    /// Asks the store to confirm that the primary is not being replaced, unless a check is in progress
    /// or has just begun.
    fn check_for_replacement(&mut self, node: usize) {
        let (now, begun) = (self.now, self.at(self.now));
        let own = &mut self.nodes[node];
        let is_in_progress =
            own.replacement_check_sent.is_some_and(|sent| now < sent + CALL_TIMEOUT_MS);
        let is_early = now < own.replacement_checked_at + CHECK_INTERVAL_MS;
        if is_early || (is_in_progress && !own.counts_reports_of_all_replicas) {
            return;
        }
        own.replacement_checked_at = now;
        match self.planted_fault {
            PlantedFault::NoReplacementCheck => own.evidence.on_no_replacement(begun),
            _ => {
                if !own.counts_reports_of_all_replicas {
                    own.replacement_check_sent = Some(now);
                    own.evidence.on_check_started(CheckSource::Store, begun);
                }
                self.call(node, 0, Operation::ReadRevision);
            }
        }
    }

    /// Handles the store's position: if this node's copy is complete up to it and shows no
    /// replacement, the primary is not being replaced.
    pub fn on_store_revision(&mut self, node: usize, revision: u64, sent: u64) {
        let own = &mut self.nodes[node];
        own.replacement_check_sent = own.replacement_check_sent.filter(|other| *other != sent);
        let (sent, now) = (self.at(sent), self.at(self.now));
        let own = &mut self.nodes[node];
        let group = own.catalog.groups.get(&group_name());
        let is_recorded = group.is_some_and(|group| group.is_led_by_last_promoted());
        let is_newest = is_recorded || own.leads_above_record();
        let is_replaced = own.replacements.intents().contains_key(&group_name()) || !is_newest;
        let may_be_lost = own.era.replacement_may_be_lost(now);
        if own.view.revision >= revision && !is_replaced && !may_be_lost {
            own.evidence.on_no_replacement(sent);
            self.renew_claim(node);
        }
    }

    /// Keeps the claim that the newest reports to a node yield.
    fn renew_claim(&mut self, node: usize) {
        let lifetime = self.evidence_lifetime(node);
        let own = &mut self.nodes[node];
        if own.counts_reports_of_all_replicas {
            return;
        }
        let Some(leader) = own.leader() else { return };
        let name = instance_name(leader);
        let Some(lead) = own.lead_of(leader, &name) else { return };
        let process = own.processes.get(&leader).filter(|_| !own.ignores_processes);
        own.evidence.renew_claim(lead, REPLICATION, lifetime, process);
    }

    /// Sends a request to an instance.
    pub fn send_request(&mut self, node: usize, instance: usize, request: u64, work: Work) {
        let process = self.nodes[node].process;
        let sent = self.now;
        let at = self.at(sent);
        let connection = self.connection_for(node, instance);
        if !matches!(work, Work::Command(_) | Work::Connect) {
            let commits = matches!(work, Work::Write { .. });
            self.nodes[node].pending_requests.insert(request, (instance, at, commits));
        }
        self.send(Message::Request(Exchange {
            node,
            process,
            instance,
            request,
            sent,
            connection,
            work,
        }));
    }

    /// Handles the answer of an instance, or its refusal if no process runs there.
    pub fn on_answer(&mut self, exchange: Exchange, reply: Reply) {
        let now = self.at(self.now);
        let sent = self.at(exchange.sent);
        let opened = self.now;
        let own = &mut self.nodes[exchange.node];
        let was_pending = own.pending_requests.remove(&exchange.request).is_some();
        match reply {
            Reply::Refused => {
                let is_new = !own.refused_since.contains_key(&exchange.instance);
                own.refused_since.entry(exchange.instance).or_insert(now);
                // That it goes on to refuse connections shows nothing new. Worlds with a planted
                // fault keep the earlier rule, by which their seeds were found.
                if is_new || self.planted_fault != PlantedFault::None {
                    own.evidence.discard();
                }
            }
            Reply::Broken(process) => {
                let connection = Connection { process, established: opened };
                own.connections.insert(exchange.instance, vec![connection]);
                own.refused_since.remove(&exchange.instance);
                own.evidence.discard();
            }
            _ => {
                own.refused_since.remove(&exchange.instance);
                own.last_answers.insert(exchange.instance, now);
            }
        }
        self.observe_process(&exchange, &reply);
        let own = &mut self.nodes[exchange.node];
        if let Reply::Status(status) = &reply {
            let name = instance_name(exchange.instance);
            own.known_instances.on_status(&group_name(), &name, status, sent);
        }
        if let Work::Command(command) = &exchange.work {
            self.on_command_reply(
                exchange.node,
                command.clone(),
                exchange.instance,
                reply,
                exchange.sent,
            );
            return;
        }
        match reply {
            Reply::Committed(term, position) => {
                own.terms.insert(exchange.instance, term);
                own.led_terms.insert(exchange.instance, term);
                own.primary_samples.record(PositionReport {
                    instance: &instance_name(exchange.instance),
                    position,
                    led_term: Some(term),
                    is_read_only: false,
                    may_be_earlier: false,
                    queried_at: sent,
                    answered_at: now,
                });
                own.last_commits.insert(exchange.instance, now);
                self.on_committed(&exchange, term, was_pending);
            }
            Reply::Read(term) => {
                own.terms.insert(exchange.instance, term);
                own.led_terms.insert(exchange.instance, term);
                if self.planted_fault == PlantedFault::ReadAnswersAsEvidence {
                    own.evidence.on_commit(term, sent);
                }
            }
            Reply::Status(status) => {
                own.terms.insert(exchange.instance, status.term);
                if status.role == Role::Primary {
                    let primary = instance_name(exchange.instance);
                    own.evidence.on_primary_report(&primary, status.term, sent, now);
                    own.led_terms.insert(exchange.instance, status.term);
                }
                if status.role == Role::Replica {
                    own.led_terms.remove(&exchange.instance);
                    let terms = ReplicaTerms { term: status.term, min_term: status.min_term };
                    let replica = instance_name(exchange.instance);
                    own.evidence.on_replica_report(&replica, terms, sent, now);
                }
                self.renew_claim(exchange.node);
            }
            Reply::NotPrimary | Reply::Refused | Reply::Broken(_) => {
                if matches!(reply, Reply::NotPrimary) {
                    own.led_terms.remove(&exchange.instance);
                }
                if let (Work::Write { commit, .. }, true) = (&exchange.work, was_pending) {
                    self.checker.on_reported_not_run(*commit);
                }
            }
            Reply::Released | Reply::Connected(_) => {}
        }
    }

    /// Handles a primary's answer to a commit. If the answer counts, the commit is acknowledged to
    /// the client: at once, or after confirmation by replicas if coordinators may not have notified
    /// this node of an active replacement.
    fn on_committed(&mut self, exchange: &Exchange, term: Term, is_awaited: bool) {
        let (node, instance) = (exchange.node, exchange.instance);
        let (sent, answered) = (self.at(exchange.sent), self.at(self.now));
        let Work::Write { commit, .. } = exchange.work else { return };
        if self.acknowledges_at_once(node, instance, term) {
            self.nodes[node].evidence.on_commit(term, sent);
            if is_awaited {
                self.checker.on_acknowledged(self.now, commit, term.0);
            }
        } else if is_awaited {
            let counts_earlier_evidence = self.is_informed(node, instance);
            let unconfirmed = UnconfirmedCommit {
                commit,
                instance,
                term,
                sent,
                answered,
                counts_earlier_evidence,
            };
            self.nodes[node].unconfirmed_commits.push(unconfirmed);
        }
    }

    /// Whether a node acknowledges a commit of `term` as soon as the instance has answered it.
    pub fn acknowledges_at_once(&self, node: usize, instance: usize, term: Term) -> bool {
        self.is_informed(node, instance)
            && self.answer_counts(node, instance)
            && self.is_answer_covered(node, instance, term)
    }

    /// Whether coordinators notify a node of replacements, and it knows how the last one of the
    /// instance ended.
    fn is_informed(&self, node: usize, instance: usize) -> bool {
        let is_notified =
            self.coordinator_waits_for(node) || self.planted_fault == PlantedFault::NoConfirmation;
        is_notified && !self.needs_confirmation(node, instance)
    }

    /// Whether evidence covers an answer that arrives now. Not required where a fault is planted: the
    /// evidence prevents what most planted faults lead to, and each of them must still be detected.
    fn is_answer_covered(&self, node: usize, instance: usize, term: Term) -> bool {
        let lifetime = self.evidence_lifetime(node);
        self.planted_fault != PlantedFault::None
            || self.partitions.acknowledges_uncovered_answers
            || self.nodes[node].covers_answer(instance, term, self.at(self.now), lifetime)
    }

    /// Whether a node does not know how a replacement of the instance ended.
    fn needs_confirmation(&self, node: usize, instance: usize) -> bool {
        let replacements = &self.nodes[node].replacements;
        replacements.needs_confirmation(&group_name(), &instance_name(instance))
            && self.planted_fault != PlantedFault::SilenceEndsReplacements
    }

    /// Whether an instance's answer to a commit still counts at this time.
    fn answer_counts(&self, node: usize, instance: usize) -> bool {
        let (name, now) = (instance_name(instance), self.at(self.now));
        let replacements = &self.nodes[node].replacements;
        let accepts = replacements.accepts_commit(&group_name(), &name, now);
        accepts || self.planted_fault == PlantedFault::LateCommitsAccepted
    }

    /// Whether evidence that arrived after the answer of a commit covers it.
    fn is_covered_since(&self, node: usize, commit: &UnconfirmedCommit) -> bool {
        let UnconfirmedCommit { instance, term, answered, .. } = *commit;
        let lifetime = self.evidence_lifetime(node);
        let own = &self.nodes[node];
        self.counts_earlier_evidence(node, commit)
            && own.led_terms.get(&instance) == Some(&term)
            && own.evidence.may_cover(term)
            && own.covers_answer(instance, term, answered, lifetime)
    }

    /// Whether evidence for a commit counts that was requested before its answer.
    fn counts_earlier_evidence(&self, node: usize, commit: &UnconfirmedCommit) -> bool {
        commit.counts_earlier_evidence && self.is_informed(node, commit.instance)
    }

    /// Whether a commit that waits lacks a replacement check.
    fn lacks_check(&self, node: usize, commit: &UnconfirmedCommit, now: Instant) -> bool {
        let own = &self.nodes[node];
        if own.counts_reports_of_all_replicas {
            return false;
        }
        if self.lacks_evidence(node, commit.instance) {
            return true;
        }
        let lifetime = match self.counts_earlier_evidence(node, commit) {
            true => self.evidence_lifetime(node).saturating_sub(MIN_PROMOTION_TIME),
            false => Duration::ZERO,
        };
        let name = instance_name(commit.instance);
        let lead = Lead { instance: &name, term: commit.term };
        let covered_until = own.evidence.would_cover_until(lead, REPLICATION, lifetime);
        // Reports may yet renew evidence that holds.
        let has_waited = now >= commit.answered + REPLICA_RESPONSE_TIMEOUT;
        has_waited && covered_until.is_some_and(|until| commit.answered <= until)
    }

    /// Acknowledges the commits that replicas have confirmed, or that evidence covers which arrived
    /// after their answers.
    fn confirm_commits(&mut self, node: usize) {
        let now = self.at(self.now);
        let has_timed_out = |commit: &UnconfirmedCommit| {
            now.saturating_duration_since(commit.sent).as_millis() as u64 > REQUEST_TIMEOUT_MS
        };
        self.nodes[node].unconfirmed_commits.retain(|commit| !has_timed_out(commit));
        for commit in std::mem::take(&mut self.nodes[node].unconfirmed_commits) {
            if !self.answer_counts(node, commit.instance) {
                // The outcome is in doubt and the client gets no acknowledgement.
                continue;
            }
            let is_covered = self.is_covered_since(node, &commit);
            let own = &mut self.nodes[node];
            let name = instance_name(commit.instance);
            let lead = Lead { instance: &name, term: commit.term };
            if own.confirms_commit(lead, commit.answered) {
                own.evidence.on_commit(commit.term, commit.sent);
                self.checker.on_acknowledged(self.now, commit.commit, commit.term.0);
            } else if is_covered {
                self.checker.on_acknowledged(self.now, commit.commit, commit.term.0);
            } else {
                own.unconfirmed_commits.push(commit);
            }
        }
        let waiting = &self.nodes[node].unconfirmed_commits;
        if waiting.iter().any(|commit| self.lacks_check(node, commit, now)) {
            self.check_for_replacement(node);
        }
        if !self.nodes[node].unconfirmed_commits.is_empty() {
            self.query_for_evidence(node);
        }
    }

    fn query_all_instances(&mut self, node: usize) {
        self.nodes[node].status_queried_at = self.now;
        for instance in 0..self.instances.len() {
            let request = self.next_number();
            self.send_request(node, instance, request, Work::StatusQuery);
        }
    }

    fn on_command_reply(
        &mut self,
        node: usize,
        command: Command,
        instance: usize,
        reply: Reply,
        sent: u64,
    ) {
        let name = instance_name(instance);
        let sent = self.at(sent);
        let event = match (reply, command) {
            (Reply::Released, Command::Release(_)) => Event::Released(name),
            (Reply::Status(status), _) => Event::StatusReported { instance: name, status, sent },
            (Reply::Refused, _) => Event::Refused { instance: name, sent },
            _ => return,
        };
        self.on_event(node, event);
    }

    /// The highest term that a node has seen.
    pub fn highest_term(&self, node: usize) -> Term {
        self.nodes[node].terms.values().copied().max().unwrap_or(Term(0))
    }
}
