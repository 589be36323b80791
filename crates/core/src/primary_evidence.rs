//! Evidence that no other primary acknowledges commits, which makes a read at the primary current.
//!
//! A replaced primary does not know that it was replaced and still serves reads, so a node needs
//! evidence that its primary is the current one. The coordinator first stops the replicas, then
//! waits until evidence has expired, then promotes (`promotion`). So a node that saw at T that the
//! replicas were not stopped knows that no other primary acknowledges a commit before T +
//! [`EVIDENCE_LIFETIME`], whatever happens to the node meanwhile: it may be suspended, cut off from
//! the network, or not notified. T is the time at which the request was sent.
//!
//! There are three kinds of evidence for the primary of a term:
//!
//! - a commit that the primary acknowledged after enough replicas had received it;
//! - reports of the primary and of as many replicas as are synchronous, if they show that it still
//!   leads, and that each replica follows no higher term and has not been stopped above the term,
//!   and if earlier evidence still holds when they are answered ([`PrimaryEvidence::renew_claim`]).
//!   No promotion has released a replica by then, so one of them has yet to be stopped, however many
//!   instances have joined that the node does not list. Without earlier evidence, a promotion of
//!   such an instance may have released them;
//! - reports of enough replicas ([`Replication::replicas_needed`]), if the store, or
//!   every other listed node, confirmed at about the same time that no replacement is running
//!   ([`PrimaryEvidence::on_no_replacement`]). A promotion also releases replicas that do not learn
//!   of it. Such a replica reports the same as before the replacement, and may confirm the
//!   successor's commits a moment later. Without the confirmation its report would count as evidence
//!   of the old primary on a node that cannot reach the store.
//!
//! Reports of all replicas without that confirmation cover only what arrived before they were
//! requested, and only if the primary itself was asked after that arrival and reported that it
//! leads. A successor has acknowledged no commit by then, even one that the node does not list: the
//! instance that would confirm its commits is one that reported, unless two have joined. So a group
//! whose replicas answer is served while the store is unreachable, at the price of queries for each
//! statement that no other evidence covers.
//!
//! A commit shows that a replica received it between its sending and its answer. That replica was
//! not stopped then: not yet, or no longer, since a promotion releases every replica, also one that
//! does not reach the successor. Only earlier evidence distinguishes the two. So the answer of a
//! commit has to be covered as an arrival has to be ([`PrimaryEvidence::answer_coverage`]). An
//! answer that is not covered is no evidence, and the commit is acknowledged only once replicas
//! that were queried after the answer confirm it ([`PrimaryEvidence::confirms_commit`]).
//!
//! An attempt never stops replicas with the same term for two different successors. A read that
//! arrived at A is current at the primary if A is covered; a read that may be up to D stale is
//! current enough if A - D is covered.

mod claim;
mod coverage;
mod replication;
mod reports;
mod transaction_writes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::InstanceName;
use crate::position::Term;
use crate::promotion::ReplacementId;

use claim::Claim;
pub use coverage::{Coverage, EvidenceKind};
pub use replication::Replication;
pub use reports::CheckSource;
use reports::{PerCheck, RecentReports, ReplicaReport};
pub use transaction_writes::TransactionWrites;

/// How long evidence covers reads that arrive. The coordinator waits that long after the replicas
/// have been stopped, unless every node has revoked its evidence. A longer lifetime makes a
/// failover slower when a node is unreachable; a shorter one costs more queries all the time.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_millis(1_000);
/// The same for a node that the others do not know yet, so that the coordinator cannot wait for it
/// to revoke its evidence. The coordinator always waits at least that long.
pub const UNLISTED_EVIDENCE_LIFETIME: Duration = Duration::from_millis(200);
/// Shortest time that the platform takes to promote an instance: 300 ms on current platforms, less
/// a margin. A replacement releases no replica sooner than that after its intent was recorded in
/// the store.
pub const MIN_PROMOTION_TIME: Duration = Duration::from_millis(100);

/// How long an instance whose entry is missing in the list still counts as a replica whose report is
/// missing. Instances return within seconds of a partition; one that has ended stays away.
const VANISHED_INSTANCE_MEMORY: Duration = Duration::from_secs(30);

/// An instance, and a term that it has been shown to lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lead<'a> {
    /// The instance.
    pub instance: &'a InstanceName,
    /// The term.
    pub term: Term,
}

/// A node's evidence about one group's primary.
#[derive(Clone, Debug, Default)]
pub struct PrimaryEvidence {
    /// Highest term of an acknowledged commit, or that a replica follows.
    term: Term,
    /// Highest term that an instance is known from other sources to have led.
    highest_led_otherwise: Term,
    /// When the last acknowledged commit of `term` was sent.
    last_commit: Option<Instant>,
    /// The reports of each replica.
    replicas: BTreeMap<InstanceName, RecentReports>,
    /// The last report of each instance that it is primary.
    primaries: BTreeMap<InstanceName, PrimaryReport>,
    /// Instances that the group had and that are no longer listed, and since when. One of them may
    /// have returned and been promoted since this node last read the list.
    vanished: BTreeMap<InstanceName, Instant>,
    /// The instances that are listed.
    listed: BTreeSet<InstanceName>,
    /// The latest time at which no replacement of the primary was recorded in the store.
    no_replacement_at: Option<Instant>,
    /// When the latest replacement check of each source began.
    checks_started: PerCheck<Option<Instant>>,
    /// The newest claim that reports have yielded.
    claim: Option<Claim>,
    /// The replacement for which evidence was revoked, and the highest term of that evidence.
    revoked: Option<(ReplacementId, Term)>,
}

/// When the requests for the newest evidence of each source were sent, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NewestEvidence {
    /// The newest commit that counts as evidence.
    pub commit: Option<Instant>,
    /// The newest report of a replica.
    pub report: Option<Instant>,
}

/// A report of an instance that it is primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PrimaryReport {
    term: Term,
    /// When the query was sent.
    queried_at: Instant,
    /// When the answer arrived.
    answered: Instant,
}

/// The terms that a replica reports, as far as they are evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaTerms {
    /// Term that it follows.
    pub term: Term,
    /// Lowest term from which it accepts replication, if it has been stopped.
    pub min_term: Term,
}

impl ReplicaTerms {
    /// The lowest term for whose primary the report is evidence: the replica has received no commit
    /// of a higher term, and no coordinator has stopped it for a promotion to a higher term. It
    /// does not matter whether the replica knows that primary, because promotions also release
    /// replicas that do not learn of them.
    pub fn supported_term(&self) -> Term {
        self.term.max(self.min_term)
    }
}

impl PrimaryEvidence {
    /// Advances to `term` if it is higher, and discards the evidence of lower terms. Returns
    /// whether `term` is now the current one.
    fn advance_term(&mut self, term: Term) -> bool {
        if term > self.term {
            self.term = term;
            self.last_commit = None;
            self.no_replacement_at = None;
            self.claim = None;
            self.replicas.retain(|_, reports| reports.newest().term >= term);
        }
        term == self.term
    }

    /// The primary of `term` acknowledged a commit that was sent at `sent`, after synchronous
    /// replicas had received it.
    pub fn on_commit(&mut self, term: Term, sent: Instant) {
        if self.advance_term(term) {
            self.last_commit = self.last_commit.max(Some(sent));
        }
    }

    /// An instance has led `term`, according to its own report or the store. Evidence for primaries
    /// of lower terms no longer counts. The reports of replicas are kept, since the replicas may
    /// not know that instance.
    pub fn on_term_led(&mut self, term: Term) {
        self.highest_led_otherwise = self.highest_led_otherwise.max(term);
    }

    /// An instance answered at `answered` a query that was sent at `queried_at` that it is the
    /// primary of `term`.
    pub fn on_primary_report(
        &mut self,
        instance: &InstanceName,
        term: Term,
        queried_at: Instant,
        answered: Instant,
    ) {
        self.on_term_led(term);
        let report = PrimaryReport { term, queried_at, answered };
        let known = self.primaries.entry(instance.clone()).or_insert(report);
        if known.queried_at <= queried_at {
            *known = report;
        }
    }

    /// A replica answered at `answered` a query that was sent at `queried_at`.
    pub fn on_replica_report(
        &mut self,
        replica: &InstanceName,
        terms: ReplicaTerms,
        queried_at: Instant,
        answered: Instant,
    ) {
        self.advance_term(terms.term);
        self.primaries.remove(replica);
        let report = ReplicaReport { term: terms.supported_term(), queried_at, answered };
        // Statements wait until the report no longer contradicts the claim.
        self.claim.take_if(|claim| report.term > claim.term);
        if report.term < self.term {
            self.replicas.remove(replica);
            return;
        }
        match self.replicas.get_mut(replica) {
            Some(known) => {
                let PerCheck { store, nodes } = self.checks_started;
                let limit = |started: Option<Instant>| Some(started? + MIN_PROMOTION_TIME);
                known.add(report, PerCheck { store: limit(store), nodes: limit(nodes) });
            }
            None => drop(self.replicas.insert(replica.clone(), RecentReports::new(report))),
        }
    }

    /// The instances in a list of the group that was requested at `requested_at`. An instance whose
    /// entry is missing may run, and its entry may be back before the next list arrives. It then
    /// counts in the group without this node's knowledge, so reports of all listed replicas are not
    /// reports of all. Lists that lack it for long end that: a node that still receives lists learns
    /// of its return. Time alone does not.
    pub fn on_instances_listed(&mut self, listed: BTreeSet<InstanceName>, requested_at: Instant) {
        for missing in self.listed.difference(&listed) {
            self.vanished.insert(missing.clone(), requested_at);
        }
        let is_recent = |since: &Instant| requested_at < *since + VANISHED_INSTANCE_MEMORY;
        self.vanished.retain(|name, since| !listed.contains(name) && is_recent(since));
        self.listed = listed;
    }

    /// The group with the instances that have vanished from the list and may have returned.
    fn with_vanished(&self, group: Replication) -> Replication {
        Replication { instances: group.instances + self.vanished.len(), ..group }
    }

    /// Number of reports that are those of all replicas.
    fn all_replicas(&self, group: Replication) -> usize {
        self.with_vanished(group).replicas()
    }

    /// Number of reports that are those of enough replicas.
    fn replicas_needed(&self, group: Replication) -> usize {
        self.with_vanished(group).replicas_needed()
    }

    /// A replacement check of the group begins. The reports that it can confirm are kept until its
    /// result arrives.
    pub fn on_check_started(&mut self, source: CheckSource, started_at: Instant) {
        *self.checks_started.of(source) = Some(started_at);
        self.replicas.values_mut().for_each(|reports| reports.on_check_started(source));
    }

    /// The store, queried at `queried_at`, showed no replacement of the primary that this node
    /// uses, neither running nor finished.
    pub fn on_no_replacement(&mut self, queried_at: Instant) {
        self.no_replacement_at = self.no_replacement_at.max(Some(queried_at));
    }

    /// When the replica was queried whose last report is evidence for `term`; `None` if the report
    /// is no such evidence.
    pub fn report_queried_at(&self, replica: &InstanceName, term: Term) -> Option<Instant> {
        let report = self.replicas.get(replica).map(RecentReports::newest);
        report.filter(|report| report.term <= term).map(|report| report.queried_at)
    }

    /// When the request for the newest evidence was sent.
    pub fn newest(&self) -> Option<Instant> {
        let NewestEvidence { commit, report } = self.newest_by_source();
        commit.max(report)
    }

    /// When the requests for the newest evidence of each source were sent.
    pub fn newest_by_source(&self) -> NewestEvidence {
        let report = self.replicas.values().map(|reports| reports.newest().queried_at).max();
        NewestEvidence { commit: self.last_commit, report }
    }

    /// Highest term for which there is any evidence.
    pub fn term(&self) -> Term {
        let reported = self.replicas.values().map(|reports| reports.newest().term);
        reported.fold(self.term, Term::max)
    }

    /// Highest term that an instance is known to have led, whether or not there is evidence for it.
    /// A higher minimum term of stopped replicas does not count: it only shows that a promotion is
    /// being prepared.
    pub fn highest_led(&self) -> Term {
        self.term.max(self.highest_led_otherwise)
    }

    /// Revokes the evidence, and accepts no other evidence of the current term, until the running
    /// replacement has finished. Evidence of the successor's term counts, unless the node knows no
    /// term yet: then no evidence counts.
    pub fn revoke(&mut self, id: ReplacementId) {
        if self.revoked.is_none_or(|(known, _)| known != id) {
            self.revoked = Some((id, self.term));
            self.no_replacement_at = None;
        }
    }

    /// Discards the evidence because a connection to the group broke: the process that gave the
    /// evidence may have terminated. A primary that crashed may return and serve reads while a
    /// replacement is running that did not wait for evidence to expire because the primary refused
    /// connections. New evidence counts.
    pub fn discard(&mut self) {
        self.last_commit = None;
        self.replicas.clear();
        self.primaries.clear();
        self.no_replacement_at = None;
        self.claim = None;
    }

    /// The replacement has finished: new evidence counts.
    pub fn end_revocation(&mut self) {
        if self.revoked.take().is_some() {
            self.discard();
        }
    }

    /// Whether a primary that is known to lead `term` is an old one, because a higher term was
    /// seen. Replicas usually reject its commits, but a replica that restarted without its log no
    /// longer knows the higher term.
    pub fn is_outdated(&self, term: Option<Term>) -> bool {
        term.is_some_and(|term| term < self.term().max(self.highest_led_otherwise))
    }

    /// An instance was restarted: the report of its previous process no longer counts.
    pub fn on_restart(&mut self, instance: &InstanceName) {
        self.replicas.remove(instance);
        self.primaries.remove(instance);
    }

    /// The replacement for which evidence was revoked.
    pub fn revoked_for(&self) -> Option<ReplacementId> {
        self.revoked.map(|(id, _)| id)
    }

    /// Until when evidence with the given lifetime covers reads that arrive at the primary; `None`
    /// if there is no evidence for that primary.
    pub fn covers_until(
        &self,
        lead: Lead,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Instant> {
        self.lasting_coverage(lead, group, lifetime).map(|coverage| coverage.until)
    }

    /// Whether a commit that the primary acknowledged at `answered` is known to be safe: instances
    /// that were queried after that show that no promotion was being prepared. For nodes that may
    /// not have been notified of a replacement or of its end.
    pub fn confirms_commit(&self, lead: Lead, group: Replication, answered: Instant) -> bool {
        let queried_at = self.checked_reports(lead, group).max(self.claimed_at(lead));
        self.may_cover(lead.term) && queried_at.is_some_and(|queried_at| queried_at >= answered)
    }

    /// Until when arriving reads would be covered if the store confirmed now that no replacement is
    /// running.
    pub fn would_cover_until(
        &self,
        lead: Lead,
        group: Replication,
        lifetime: Duration,
    ) -> Option<Instant> {
        if !self.may_cover(lead.term) {
            return None;
        }
        self.oldest_of_newest(self.replicas_needed(group), lead, |_| true)
            .map(|seen| seen + lifetime)
    }

    /// Whether evidence for `term` can count: no higher term is known and the evidence was not
    /// revoked.
    pub fn may_cover(&self, term: Term) -> bool {
        !self.is_outdated_term(term) && !self.is_revoked(term)
    }

    /// Whether an instance is known to have led a higher term.
    fn is_outdated_term(&self, term: Term) -> bool {
        term < self.term.max(self.highest_led_otherwise)
    }

    /// Whether the evidence for `term` was revoked for a replacement that has not finished.
    fn is_revoked(&self, term: Term) -> bool {
        let unknown = Term::default();
        self.revoked.is_some_and(|(_, until)| term <= until || until == unknown)
    }

    /// Whether the store's confirmation shows that no replacement can have released the replica
    /// before it answered.
    fn is_confirmed_by_store(&self, report: &ReplicaReport) -> bool {
        self.no_replacement_at
            .is_some_and(|queried_at| report.answered <= queried_at + MIN_PROMOTION_TIME)
    }

    /// When the oldest of the newest reports was requested that a replacement check confirms; `None`
    /// if there are too few.
    fn checked_reports(&self, lead: Lead, group: Replication) -> Option<Instant> {
        let count = self.replicas_needed(group);
        self.oldest_of_newest(count, lead, |report| self.is_confirmed_by_store(report))
    }

    /// Of the `count` most recently queried replicas that are evidence for the primary, the time of
    /// the oldest query; `None` if there are fewer. A report of that primary itself does not count:
    /// one that has stepped down reports as a replica of the term that it led.
    fn oldest_of_newest(
        &self,
        count: usize,
        lead: Lead,
        accepts: impl Fn(&ReplicaReport) -> bool,
    ) -> Option<Instant> {
        let others = self.replicas.iter().filter(|(replica, _)| *replica != lead.instance);
        let is_evidence = |report: &ReplicaReport| report.term <= lead.term && accepts(report);
        let reports = others.filter_map(|(_, reports)| reports.newest_of(is_evidence));
        let mut query_times: Vec<Instant> = reports.map(|report| report.queried_at).collect();
        query_times.sort_unstable_by(|left, right| right.cmp(left));
        query_times.get(count.checked_sub(1)?).copied()
    }
}
